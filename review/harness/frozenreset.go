package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	// freezes is the number of times that a machine freezes, and freezeTime how long.
	freezes    = 8
	freezeTime = time.Second
	// requestsPerSecond is what clients send to each machine.
	requestsPerSecond = 12
)

// frozenReset plays answers without a length whose connections are reset on the
// way, while the machine that awaits them stands still. Every success that a client
// gets must have the server's whole body.
func frozenReset(r *run) (bool, error) {
	r.store.put(manifestKey, manifest(7, key))
	var servers []*server
	for i, zone := range zones[:2] {
		s, err := newServer(fmt.Sprintf("i-7f3a91c%d", i), "booking", zone, r.store, r.rec)
		if err != nil {
			return false, err
		}
		servers = append(servers, s)
	}
	if err := r.startNodes(3); err != nil {
		return false, err
	}
	// One of the two servers breaks off answers, each of which announces itself on
	// partial. It does so for requests of the machine that freezes next.
	frozen := r.nodes[0]
	partial := make(chan string, 1)
	var armed sync.Mutex
	arms := 0
	faulty := servers[0]
	faulty.handle = func(conn net.Conn, q *http.Request, body []byte) bool {
		armed.Lock()
		breaks := arms > 0 && q.Method == http.MethodPost && string(body) == frozen.name
		if breaks {
			arms--
		}
		armed.Unlock()
		if !breaks {
			return faulty.answer(conn, q, body)
		}
		id := faulty.ran(q)
		time.Sleep(20 * time.Millisecond)
		whole := wholeBody(id)
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n"+fieldAttempt+": %s\r\n"+fieldSeal+": %s.%s\r\n\r\n", id, faulty.id, id)
		if !r.trouble {
			_, _ = io.WriteString(conn, whole)
			r.rec.log("server %s has sent the whole answer to %s without a length, %d bytes, and closes the connection", faulty.id, id, len(whole))
			partial <- id

			return false
		}
		_, _ = io.WriteString(conn, whole[:len(whole)/2])
		partial <- id
		time.Sleep(400 * time.Millisecond)
		reset(conn)
		r.rec.log("server %s has sent %d of the %d bytes of its answer to %s without a length, and resets the connection", faulty.id, len(whole)/2, len(whole), id)

		return false
	}

	var mu sync.Mutex
	answered, broken := 0, 0
	check := func(n *node, q request) {
		a := q.send(n.front())
		whole := a.body == wholeBody(q.id)
		mu.Lock()
		defer mu.Unlock()
		answered++
		if a.status/100 == 2 && a.complete && !whole {
			broken++
			r.rec.log("BROKEN: client gets for %s a complete answer of %d bytes, the server's body has %d: status %d, seal %q, Content-Length %q",
				q.id, len(a.body), len(wholeBody(q.id)), a.status, a.header.Get(fieldSeal), a.header.Get("Content-Length"))

			return
		}
		r.rec.log("client gets for %s: status %d, complete %t, the whole body %t, error %v", q.id, a.status, a.complete, whole, a.err)
	}
	stop, wg := make(chan struct{}), sync.WaitGroup{}
	for c, n := range r.nodes {
		wg.Add(1)
		go func() {
			defer wg.Done()
			ticker := time.NewTicker(time.Second / requestsPerSecond)
			defer ticker.Stop()
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				case <-ticker.C:
				}
				q := request{method: "POST", path: "/confirm/2f", id: fmt.Sprintf("9c41d0%02x%08x", c, i), body: n.name, limit: 1500 * time.Millisecond}
				if i%4 == 3 {
					q.method, q.path, q.body = "GET", "/check/2f", ""
				}
				wg.Add(1)
				go func() {
					defer wg.Done()
					check(n, q)
				}()
			}
		}()
	}
	for range freezes {
		time.Sleep(4 * time.Second)
		armed.Lock()
		arms++
		armed.Unlock()
		id := <-partial
		if !r.trouble {
			continue
		}
		time.Sleep(60 * time.Millisecond)
		r.rec.log("machine %s freezes while it waits for the rest of the answer to %s", frozen.name, id)
		frozen.signal(syscall.SIGSTOP)
		time.Sleep(freezeTime)
		frozen.signal(syscall.SIGCONT)
		r.rec.log("machine %s wakes", frozen.name)
	}
	time.Sleep(3 * time.Second)
	close(stop)
	wg.Wait()
	r.rec.log("%d requests answered, %d answers broken off by a server; %d successes lacked a part of the server's body", answered, freezes, broken)

	return broken > 0, nil
}
