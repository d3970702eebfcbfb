package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// server is a server of the platform. It serves one request at a time on a
// connection and publishes its entry in the store.
type server struct {
	id, service, zone, addr string
	store                   *store
	rec                     *recorder
	born                    time.Time
	ln                      net.Listener
	// handle answers a request; it returns whether the connection is kept.
	handle func(conn net.Conn, r *http.Request, body []byte) bool

	mu       sync.Mutex
	seq      int
	state    string
	silent   bool
	conns    map[net.Conn]bool
	runs     map[string]int
	arrivals map[string]int
}

func newServer(id, service, zone string, st *store, rec *recorder) (*server, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &server{
		id: id, service: service, zone: zone, addr: ln.Addr().String(), store: st, rec: rec, born: time.Now(), ln: ln,
		state: "ready", conns: map[net.Conn]bool{}, runs: map[string]int{}, arrivals: map[string]int{},
	}
	s.handle = s.answer
	go s.accept()
	s.beat()
	go func() {
		for range time.Tick(1200 * time.Millisecond) {
			s.mu.Lock()
			silent := s.silent
			s.mu.Unlock()
			if !silent {
				s.beat()
			}
		}
	}()

	return s, nil
}

// beat writes the entry of the server.
func (s *server) beat() {
	s.mu.Lock()
	s.seq++
	entry := map[string]any{
		"service": s.service, "addr": s.addr, "zone": s.zone, "version": "v1", "slots": 6, "state": s.state, "coldLeftMs": 0,
		"stage": "unified", "models": []any{}, "seq": s.seq, "born": s.born.UnixMilli(),
	}
	s.mu.Unlock()
	s.store.put("servers/"+s.id, entry)
}

func (s *server) setState(state string) {
	s.mu.Lock()
	s.state = state
	s.mu.Unlock()
	s.beat()
}

func (s *server) accept() {
	for {
		conn, err := s.ln.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.conns[conn] = true
		s.mu.Unlock()
		go s.serve(conn)
	}
}

func (s *server) serve(conn net.Conn) {
	defer func() {
		_ = conn.Close()
		s.mu.Lock()
		delete(s.conns, conn)
		s.mu.Unlock()
	}()
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
		s.mu.Lock()
		s.arrivals[id]++
		s.mu.Unlock()
		if want := r.Header.Get(fieldExpected); want != "" && want != s.id {
			fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected Request\r\nSnipedyke-Instance-Id: %s\r\n"+fieldAttempt+": %s\r\n"+fieldNotExecuted+": 1\r\nContent-Length: 0\r\n\r\n", s.id, id)

			continue
		}
		if !s.handle(conn, r, body) {
			return
		}
	}
}

// ran records that the server began to work on a request.
func (s *server) ran(r *http.Request) string {
	id := r.Header.Get(fieldAttempt)
	s.mu.Lock()
	s.runs[id]++
	s.mu.Unlock()
	s.rec.log("server %s runs request %s (tenant %s)", s.id, id, r.Header.Get("Snipedyke-Tenant"))

	return id
}

// answer is the answer of a sound server.
func (s *server) answer(conn net.Conn, r *http.Request, _ []byte) bool {
	id := s.ran(r)
	time.Sleep(20 * time.Millisecond)
	body := wholeBody(id)
	fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n"+fieldAttempt+": %s\r\n"+fieldSeal+": %s.%s\r\nContent-Length: %d\r\nKeep-Alive: timeout=5\r\n\r\n%s", id, s.id, id, len(body), body)

	return true
}

// wholeBody is the whole body of the answer to a request.
func wholeBody(id string) string {
	body := "begin of the answer to " + id + "\n"
	for i := range 20 {
		body += fmt.Sprintf("line %02d of the answer to %s\n", i, id)
	}

	return body + "end of the answer to " + id + "\n"
}

// reset ends a connection with a reset.
func reset(conn net.Conn) {
	if c, ok := conn.(*net.TCPConn); ok {
		_ = c.SetLinger(0)
	}
	_ = conn.Close()
}
