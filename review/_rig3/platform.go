package main

import (
	"context"
	"errors"
	"io"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"snipedyke/platform/standin"
)

const (
	host    = "desk.example"
	service = "desk"
	// keptKey stays in the manifest, and lostKey is taken away.
	keptKey, lostKey = "kept-key", "lost-key"
)

// putManifest writes a manifest to the stores.
func putManifest(version int, withLostKey bool, stores ...*standin.Store) error {
	routes := make([]standin.Route, 0, 4)
	for _, r := range []struct{ name, kind string }{{"safe", "safe"}, {"unsafe", "unsafe"}, {"stream", "streaming"}, {"resumable", "streaming"}} {
		routes = append(routes, standin.Route{
			Name: r.name, Host: host, Prefix: "/" + r.name + "/", Kind: r.kind, Service: service,
			Timeout: 15 * time.Second, Target: time.Second, Attempts: 2, Resumable: r.name == "resumable",
		})
	}
	keys := map[string]string{keptKey: "stayer"}
	if withLostKey {
		keys[lostKey] = "leaver"
	}
	for _, s := range stores {
		if err := s.PutManifest(version, routes, keys); err != nil {
			return err
		}
	}

	return nil
}

// reply is what a client got.
type reply struct {
	status int
	header http.Header
	body   string
	// err is why the answer is not complete, or nil.
	err error
}

// client sends requests to one node.
type client struct {
	rig  *rig
	node *node
	http *http.Client
}

func (r *rig) newClient(n *node) *client {
	return &client{rig: r, node: n, http: &http.Client{Transport: &http.Transport{
		DisableCompression: true, MaxIdleConnsPerHost: 64, IdleConnTimeout: 10 * time.Second,
		DialContext: (&net.Dialer{Timeout: time.Second}).DialContext,
	}}}
}

var attempts atomic.Int64

// newAttempt returns the ID of a new attempt.
func newAttempt() string {
	const digits = "0123456789abcdef"
	n := attempts.Add(1)
	id := []byte("9c41d07b00000000")
	for i := len(id) - 1; i >= 8; i-- {
		id[i] = digits[n&15]
		n >>= 4
	}

	return string(id)
}

// send sends a request and reads its answer.
func (c *client) send(attempt, method, path, key string, limit time.Duration) reply {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+c.node.front()+path, http.NoBody)
	if err != nil {
		return reply{err: err}
	}
	req.Host = host
	standin.SetRequestHeaders(req, attempt, key, limit)
	c.rig.note("client sends %s %s %s key=%s to %s", attempt, method, path, key, c.node.name)
	resp, err := c.http.Do(req)
	if err != nil {
		c.rig.note("client: %s has no answer: %v", attempt, err)

		return reply{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	server, sealed := standin.SealedBy(resp, attempt)
	c.rig.note("client: %s answered %d by %s (sealed: %v), %d bytes, leaving=%q, end: %v", attempt, resp.StatusCode,
		server, sealed, len(body), resp.Header.Get("Server-Leaving"), err)

	return reply{status: resp.StatusCode, header: resp.Header, body: string(body), err: err}
}

// repeat calls f at an interval, each in a goroutine of its own, until stop is closed, and
// returns when all calls have ended.
func repeat(interval time.Duration, stop <-chan struct{}, f func()) {
	var wg sync.WaitGroup
	defer wg.Wait()
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			return
		case <-ticker.C:
			wg.Add(1)
			go func() {
				defer wg.Done()
				f()
			}()
		}
	}
}

// retransmission is the time after which TCP sends a lost segment again at the earliest.
const retransmission = 200 * time.Millisecond

// link is the path from one machine to an address. It can lose segments and refuse new
// connections.
type link struct {
	address, target netip.AddrPort
	// loss holds the bits of the share of segments that are lost.
	loss atomic.Uint64

	ln net.Listener
}

func newLink(target netip.AddrPort) (*link, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l := &link{address: ln.Addr().(*net.TCPAddr).AddrPort(), target: target, ln: ln}
	go l.accept(ln)

	return l, nil
}

func (l *link) accept(ln net.Listener) {
	for {
		conn, err := ln.Accept()
		if err != nil {
			return
		}
		go l.serve(conn)
	}
}

func (l *link) serve(conn net.Conn) {
	upstream, err := net.Dial("tcp", l.target.String())
	if err != nil {
		reset(conn)

		return
	}
	var wg sync.WaitGroup
	for _, pair := range [][2]net.Conn{{conn, upstream}, {upstream, conn}} {
		wg.Add(1)
		go func() {
			defer wg.Done()
			if l.copy(pair[0], pair[1]) {
				_ = pair[0].(*net.TCPConn).CloseWrite()
			} else {
				reset(pair[0])
			}
		}()
	}
	wg.Wait()
	_ = conn.Close()
	_ = upstream.Close()
}

// copy copies data until its end and reports whether that is a proper one, not a reset. What is
// lost, the end too, arrives when it has been sent again.
func (l *link) copy(to, from net.Conn) bool {
	buf := make([]byte, 1460)
	for {
		n, err := from.Read(buf)
		if rand.Float64() < math.Float64frombits(l.loss.Load()) {
			time.Sleep(retransmission)
		}
		if n > 0 {
			if _, err := to.Write(buf[:n]); err != nil {
				return false
			}
		}
		if err != nil {
			return errors.Is(err, io.EOF)
		}
	}
}

// setLoss sets the share of segments that are lost.
func (l *link) setLoss(share float64) { l.loss.Store(math.Float64bits(share)) }

// refuse refuses new connections, as a machine does on which nothing listens.
func (l *link) refuse() { _ = l.ln.Close() }

// listen accepts connections again.
func (l *link) listen() error {
	ln, err := net.Listen("tcp", l.address.String())
	if err != nil {
		return err
	}
	l.ln = ln
	go l.accept(ln)

	return nil
}

func reset(conn net.Conn) {
	_ = conn.(*net.TCPConn).SetLinger(0)
	_ = conn.Close()
}
