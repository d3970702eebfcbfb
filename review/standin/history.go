package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["history"] = playHistory }

// The machines of the site prati-rota have 134 MB. big_config adds up to 1400 routes to
// a manifest, and config_storm writes a version every 0.33 s for 4 s.
const (
	smallMemoryMb = 134
	bigRoutes     = 2 * 1400
	stormLength   = 4 * time.Second
	stormGap      = 330 * time.Millisecond
	stormPause    = time.Second
	maxStorms     = 20
	// allowedLosses is the number of requests that may be lost.
	allowedLosses = 3
)

// playHistory writes storms of versions of a large manifest, while the platform ends
// each process that uses more memory than its machine has. It reports whether at most
// three requests from kept connections were passed on to a server and not answered.
func playHistory(root string, trouble bool) bool {
	st := newStore("127.0.0.1")
	record("trouble: %v", trouble)
	d := newDeployment(root, st.addr, "municipio", "municipio", "padiglione", "padiglione")
	d.memoryMb = smallMemoryMb
	for _, n := range d.nodes {
		d.writeSettings(n)
	}
	defer d.stop()
	book := &losses{running: map[string]bool{}}
	servers := make([]*server, 0, 4)
	for i := range 4 {
		s := newServer("127.0.0.1", fmt.Sprintf("i-%d", i+1), "rota-assistant", d.zones[i], nil)
		s.handle = func(conn net.Conn, r *http.Request, _ string) bool {
			id := r.Header.Get(fieldAttempt)
			book.begin(id)

			return serveChat(conn, id, s.id)
		}
		servers = append(servers, s)
	}
	routes := []route{{"swap-chat", "/swap/", "streaming", "rota-assistant", 12000, 500, 1, false}}
	for i := range bigRoutes {
		routes = append(routes, route{fmt.Sprintf("r-%07d", i), fmt.Sprintf("/path%07d/", i), "safe", "rota-assistant", 1500, 300, 2, false})
	}
	keys := map[string]string{"key-1": "club-1"}
	putManifest(st, 1, routes, keys)
	record("the manifest has %d bytes", len(st.items[manifestKey].Value)*3/4)
	for _, s := range servers {
		s.register(st, "ready")
	}
	for _, n := range d.nodes {
		d.start(n)
	}
	d.awaitReady()
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for _, n := range d.nodes {
		for range 6 {
			wg.Go(func() { chat(n, book, stop) })
		}
		wg.Go(func() { d.boundMemory(n, stop) })
	}
	version := 1
	for storm := 1; storm <= maxStorms && book.count() <= allowedLosses; storm++ {
		for begin := time.Now(); time.Since(begin) < stormLength && book.count() <= allowedLosses; time.Sleep(stormGap) {
			if trouble {
				version++
				putManifest(st, version, routes, keys)
			}
		}
		st.forget(40)
		for _, n := range d.nodes {
			rss, _ := n.memory()
			record("%s uses %d MB after storm %d, version %d", n.name, rss>>20, storm, version)
		}
		time.Sleep(stormPause)
	}
	close(stop)
	wg.Wait()
	fmt.Printf("%d requests lost after %d versions\n", book.count(), version)

	return book.count() <= allowedLosses
}

// boundMemory ends the process of a node that uses more memory than its machine has,
// and starts it again after a short delay, as the platform does.
func (d *deployment) boundMemory(n *node, stop chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(50 * time.Millisecond):
		}
		rss, _ := n.memory()
		if rss <= d.memoryMb<<20 {
			continue
		}
		record("%s uses %d MB of %d and is ended", n.name, rss>>20, d.memoryMb)
		fmt.Printf("%s uses %d MB of %d and is ended\n", n.name, rss>>20, d.memoryMb)
		n.signal(syscall.SIGKILL)
		<-n.ended
		time.Sleep(500 * time.Millisecond)
		d.start(n)
	}
}

// forget drops all but the last writes from the store's history.
func (s *store) forget(kept int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history = append([]item(nil), s.history[max(len(s.history)-kept, 0):]...)
}

// losses counts the requests that a server has begun and that were not answered.
type losses struct {
	mu      sync.Mutex
	running map[string]bool
	lost    int
}

func (l *losses) begin(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.running[id] = true
}

func (l *losses) end(id string, answered, kept bool, n *node) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !answered && kept && l.running[id] {
		l.lost++
		record("LOST: %s was passed on to a server by %s, and its connection has ended without a complete answer", id, n.name)
	}
	delete(l.running, id)
}

func (l *losses) count() int {
	l.mu.Lock()
	defer l.mu.Unlock()

	return l.lost
}

// chat sends one request after the other on a connection.
func chat(n *node, book *losses, stop chan struct{}) {
	var c *client
	kept := false
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
			kept = false
		}
		id := newAttempt()
		_ = c.SetDeadline(time.Now().Add(12 * time.Second))
		_, _ = io.WriteString(c, head("POST", "/swap/1", id, "key-1", 12*time.Second, 0))
		resp, _, err := c.receive()
		book.end(id, err == nil, kept, n)
		if err != nil || resp.Close {
			_ = c.Close()
			c = nil
		}
		kept = true
	}
}

// serveChat writes a stream of 20 events, one every 50 ms.
func serveChat(conn net.Conn, id, server string) bool {
	_, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: seal-%s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", fieldAttempt, id, fieldSeal, server)
	for i := 1; i <= 20 && err == nil; i++ {
		event := fmt.Sprintf("id: %d\ndata: %s\n\n", i, strings.Repeat("x", 40))
		_, err = fmt.Fprintf(conn, "%x\r\n%s\r\n", len(event), event)
		time.Sleep(50 * time.Millisecond)
	}
	if err == nil {
		_, err = io.WriteString(conn, "0\r\n\r\n")
	}

	return err == nil
}
