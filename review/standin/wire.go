package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// prefix begins the platform's header fields.
const prefix = "Snipedyke-"

var (
	fieldAttempt  = prefix + "Attempt-Id"
	fieldSeal     = prefix + "Server-Seal"
	fieldExpect   = prefix + "Expect-Instance"
	fieldNotRun   = prefix + "Not-Executed"
	fieldDeadline = prefix + "Deadline-Ms"
)

var lastAttempt atomic.Int64

func newAttempt() string { return fmt.Sprintf("a%015x", lastAttempt.Add(1)) }

// server is a stand-in for a server of the platform.
type server struct {
	id, service, zone string
	addr              string
	seq               int
	// handle answers a request, whose body was read. It reports whether the
	// connection stays open.
	handle func(conn net.Conn, r *http.Request, body string) bool

	mu   sync.Mutex
	runs map[string]int
}

func newServer(ip, id, service, zone string, handle func(net.Conn, *http.Request, string) bool) *server {
	ln, err := net.Listen("tcp", ip+":0")
	must(err)
	s := &server{id: id, service: service, zone: zone, addr: ln.Addr().String(), handle: handle, runs: map[string]int{}}
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go s.serve(conn)
		}
	}()

	return s
}

func (s *server) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	br := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		id := r.Header.Get(fieldAttempt)
		if want := r.Header.Get(fieldExpect); want != "" && want != s.id {
			record("server %s rejects %s with 421", s.id, id)
			if !reply(conn, 421, id, "", "") {
				return
			}

			continue
		}
		if !s.handle(conn, r, string(body)) {
			return
		}
	}
}

// run records that the server begins to run a request.
func (s *server) run(id string) {
	s.mu.Lock()
	s.runs[id]++
	n := s.runs[id]
	s.mu.Unlock()
	record("server %s runs %s (%d)", s.id, id, n)
}

// reply writes a response with a length. A seal is added if it is not empty.
func reply(conn net.Conn, status int, id, seal, body string) bool {
	var b strings.Builder
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n%s: %s\r\n", status, http.StatusText(status), fieldAttempt, id)
	if seal != "" {
		fmt.Fprintf(&b, "%s: %s\r\n", fieldSeal, seal)
	}
	fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n%s", len(body), body)
	_, err := io.WriteString(conn, b.String())

	return err == nil
}

// register writes the server's entry into the store.
func (s *server) register(st *store, state string) {
	s.seq++
	st.put("servers/"+s.id, map[string]any{
		"service": s.service, "addr": s.addr, "zone": s.zone, "version": "v1", "slots": 64, "state": state, "coldLeftMs": 0, "seq": s.seq,
	})
}

// route describes a route of a manifest.
type route struct {
	name, prefix, kind, service string
	timeoutMs, goalMs, attempts int
	resumable                   bool
}

const host = "site.example"

// manifestKey is the key of the manifest in the store.
const manifestKey = "op/" + "config"

// putManifest writes a manifest. keys maps API keys to tenants.
func putManifest(st *store, version int, routes []route, keys map[string]string) {
	var rs, services, tenants []any
	known := map[string]bool{}
	for _, r := range routes {
		m := map[string]any{
			"name": r.name, "host": host, "prefix": r.prefix, "type": r.kind, "service": r.service, "timeoutMs": r.timeoutMs,
			"goalMs": r.goalMs, "priority": 0, "attempts": r.attempts, "public": false, "resumable": r.resumable,
		}
		if r.kind == "streaming" {
			m["gapTargetMs"] = 250
		}
		rs = append(rs, m)
		if !known[r.service] {
			known[r.service] = true
			services = append(services, map[string]any{"name": r.service, "healthPath": "/healthz", "maxConns": 370, "protocol": "h1", "tls": false, "coldS": 0, "coldPerS": 0})
		}
	}
	for key, tenant := range keys {
		tenants = append(tenants, map[string]any{"name": tenant, "apiKeys": []string{key}, "priority": 1})
	}
	st.put(manifestKey, map[string]any{
		"version": version, "routes": rs, "services": services, "tenants": tenants,
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
}

// client is a connection of a client to a node.
type client struct {
	net.Conn
	br *bufio.Reader
}

func dial(addr string) (*client, error) {
	conn, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return nil, err
	}

	return &client{conn, bufio.NewReader(conn)}, nil
}

// head returns the head of a request.
func head(method, path, id, key string, deadline time.Duration, length int) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n",
		method, path, host, fieldAttempt, id, fieldDeadline, deadline.Milliseconds(), key, length)
}

// receive reads a response.
func (c *client) receive() (resp *http.Response, body string, err error) {
	resp, err = http.ReadResponse(c.br, nil)
	if err != nil {
		return nil, "", err
	}
	b, err := io.ReadAll(resp.Body)
	_ = resp.Body.Close()

	return resp, string(b), err
}
