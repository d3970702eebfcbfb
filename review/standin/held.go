package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["held"] = playHeld }

// Bounds of the site prati-rota.
const (
	drainTime  = 2 * time.Second
	stableTime = 3 * time.Second
	// margin is added to stableTime, as the times are taken at different places.
	margin = 50 * time.Millisecond
)

// playHeld lets a server leave without reporting that it drains, while the nodes'
// open connections to the store go silent. It reports whether no request reached the
// server later than drainTime after the store acknowledged that it is gone, from a
// node in touch.
func playHeld(root string, trouble bool) bool {
	st := newStore("127.0.0.1")
	p := newProxy("127.0.0.1", st.addr)
	record("trouble: %v", trouble)
	d := newDeployment(root, p.addr, "municipio", "municipio", "padiglione", "padiglione")
	defer d.stop()
	var mu sync.Mutex
	var leftAt, silentAt time.Time
	var late []time.Duration
	handle := func(s *server) func(net.Conn, *http.Request, string) bool {
		return func(conn net.Conn, r *http.Request, _ string) bool {
			id, now := r.Header.Get(fieldAttempt), time.Now()
			s.run(id)
			mu.Lock()
			inTouch := silentAt.IsZero() || now.Sub(silentAt) >= stableTime+margin
			if s.id == "i-leaves" && !leftAt.IsZero() && inTouch && now.Sub(leftAt) > drainTime {
				late = append(late, now.Sub(leftAt))
				record("BROKEN: %s reaches %s %.3f s after the store acknowledged that it is gone", id, s.id, now.Sub(leftAt).Seconds())
			}
			mu.Unlock()
			if strings.HasPrefix(r.URL.Path, "/digest/") {
				return serveRest(conn, id, s.id)
			}
			time.Sleep(5 * time.Millisecond)

			return reply(conn, 200, id, "seal-"+s.id, "done by "+s.id)
		}
	}
	servers := make([]*server, 0, 4)
	for _, id := range []string{"i-leaves", "i-2", "i-3", "i-4"} {
		s := newServer("127.0.0.1", id, "booking-desk", "padiglione", nil)
		s.handle = handle(s)
		servers = append(servers, s)
	}
	model := newServer("127.0.0.1", "i-model", "rota-assistant", "padiglione", nil)
	model.handle = handle(model)
	putManifest(st, 7, []route{
		{"lawn-check", "/lawn/", "safe", "booking-desk", 800, 300, 2, false},
		{"rulebook-digest", "/digest/", "streaming", "rota-assistant", 4000, 500, 2, true},
	}, map[string]string{"key-1": "club-1"})
	for _, s := range append(servers, model) {
		s.register(st, "ready")
	}
	for _, n := range d.nodes {
		d.start(n)
	}
	d.awaitReady()
	time.Sleep(12 * time.Second)

	stop := make(chan struct{})
	var wg sync.WaitGroup
	for _, n := range d.nodes {
		for range 3 {
			wg.Go(func() { checkLawns(n, stop) })
		}
	}
	time.Sleep(2 * time.Second)
	for _, n := range d.nodes {
		resumeStream(n)
	}
	time.Sleep(time.Second)
	if trouble {
		mu.Lock()
		silentAt = time.Now()
		mu.Unlock()
		record("%d connections to the store go silent", p.silence())
	}
	time.Sleep(300 * time.Millisecond)
	st.remove("servers/i-leaves")
	mu.Lock()
	leftAt = time.Now()
	mu.Unlock()
	record("the store acknowledges that i-leaves is gone; it serves on for a while")
	time.Sleep(7 * time.Second)
	close(stop)
	wg.Wait()
	fmt.Printf("%d requests reached the server too late; latest %v\n", len(late), append(late, 0)[max(len(late)-1, 0)])

	return len(late) == 0
}

// checkLawns sends safe requests on one connection.
func checkLawns(n *node, stop chan struct{}) {
	var c *client
	for {
		select {
		case <-stop:
			return
		case <-time.After(20 * time.Millisecond):
		}
		if c == nil {
			var err error
			if c, err = dial(n.front); err != nil {
				continue
			}
		}
		id := newAttempt()
		_ = c.SetDeadline(time.Now().Add(time.Second))
		_, _ = io.WriteString(c, head("GET", "/lawn/1", id, "key-1", time.Second, 0))
		resp, _, err := c.receive()
		if err != nil || resp.Close {
			_ = c.Close()
			c = nil
		}
		if resp != nil {
			record("client gets %d for %s from %s", resp.StatusCode, id, n.name)
		}
	}
}

// resumeStream takes up a stream after its third event, as a client does whose
// connection has broken.
func resumeStream(n *node) {
	c, err := dial(n.front)
	must(err)
	defer func() { _ = c.Close() }()
	id := newAttempt()
	_ = c.SetDeadline(time.Now().Add(2 * time.Second))
	_, _ = io.WriteString(c, strings.Replace(head("POST", "/digest/1", id, "key-1", 2*time.Second, 0), "\r\n\r\n", "\r\nLast-Event-Id: 3\r\n\r\n", 1))
	resp, _, err := c.receive()
	must(err)
	record("client gets %d for stream %s from %s", resp.StatusCode, id, n.name)
}

// serveRest writes the events 4 to 6 of a stream.
func serveRest(conn net.Conn, id, server string) bool {
	_, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: seal-%s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", fieldAttempt, id, fieldSeal, server)
	for i := 4; i <= 6 && err == nil; i++ {
		event := fmt.Sprintf("id: %d\ndata: piece %d\n\n", i, i)
		_, err = fmt.Fprintf(conn, "%x\r\n%s\r\n", len(event), event)
		time.Sleep(10 * time.Millisecond)
	}
	if err == nil {
		_, err = io.WriteString(conn, "0\r\n\r\n")
	}

	return err == nil
}
