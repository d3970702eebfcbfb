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

const (
	// leaveShare is the share of clients that leave, in tenths, and uploadBytes the
	// size of the body that they have sent by then.
	leaveShare  = 3
	uploadBytes = 4_000_000
	// workTime is how long a server works on a request before its first event.
	workTime = 1500 * time.Millisecond
	// goneTime is the time after which no server should work for a client that left.
	goneTime = 500 * time.Millisecond
	// playTime is how long clients send requests.
	playTime = 25 * time.Second
)

// gone plays clients that close their connections when they have sent a request
// that may be repeated. Servers may still work for a quarter of them half a second
// later.
func gone(r *run) (bool, error) {
	r.store.put(manifestKey, manifest(7, key))
	var mu sync.Mutex
	// left holds when clients left, and worked until when a server worked on a request.
	left, worked := map[string]time.Time{}, map[string]time.Time{}
	for i, zone := range zones {
		s, err := newServer(fmt.Sprintf("i-7f3a91c%d", i), "booking", zone, r.store, r.rec)
		if err != nil {
			return false, err
		}
		s.handle = func(conn net.Conn, q *http.Request, body []byte) bool {
			id := s.ran(q)
			work := workTime
			if len(body) < uploadBytes {
				work = 20 * time.Millisecond
			}
			// A server drops a request when its connection closes.
			_ = conn.SetReadDeadline(time.Now().Add(work))
			_, err := conn.Read(make([]byte, 1))
			timeout, ok := err.(net.Error)
			closed := !ok || !timeout.Timeout()
			mu.Lock()
			worked[id] = time.Now()
			mu.Unlock()
			if closed {
				return false
			}
			_ = conn.SetReadDeadline(time.Time{})
			event := "id: 1\ndata: the only piece of " + id + "\n\n"
			_, err = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n"+fieldAttempt+": %s\r\n"+fieldSeal+": %s.%s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n",
				id, s.id, id, len(event), event)

			return err == nil
		}
	}
	if err := r.startNodes(3); err != nil {
		return false, err
	}
	// Machines are in touch after stableMs.
	time.Sleep(3500 * time.Millisecond)

	wg := sync.WaitGroup{}
	end := time.Now().Add(playTime)
	for c, n := range r.nodes {
		wg.Add(1)
		go func() {
			defer wg.Done()
			ticker := time.NewTicker(time.Second / requestsPerSecond)
			defer ticker.Stop()
			for i := 0; time.Now().Before(end); i++ {
				<-ticker.C
				q := request{method: "POST", path: "/digest/2f", id: fmt.Sprintf("9c41d0%02x%08x", c, i), body: "rules", limit: 4 * time.Second}
				wg.Add(1)
				go func() {
					defer wg.Done()
					if i%10 >= leaveShare {
						a := q.send(n.front())
						r.rec.log("client gets for %s: status %d, complete %t, error %v", q.id, a.status, a.complete, a.err)

						return
					}
					q.body = strings.Repeat("rules of the lawn\n", uploadBytes/18+1)
					if !r.trouble {
						a := q.send(n.front())
						r.rec.log("client stays, and gets for %s: status %d, complete %t, error %v", q.id, a.status, a.complete, a.err)

						return
					}
					at, err := sendAndLeave(n.front(), q)
					if err != nil {
						r.rec.log("client could not send %s: %v", q.id, err)

						return
					}
					r.rec.log("client of %s has sent its request and leaves", q.id)
					mu.Lock()
					left[q.id] = at
					mu.Unlock()
				}()
			}
		}()
	}
	wg.Wait()
	time.Sleep(2 * time.Second)
	mu.Lock()
	defer mu.Unlock()
	late := 0
	for id, at := range left {
		if d := worked[id].Sub(at); d > goneTime+100*time.Millisecond {
			late++
			r.rec.log("a server worked on %s until %.3f s after its client had left", id, d.Seconds())
		}
	}
	r.rec.log("servers still worked half a second later for %d of %d clients that left", late, len(left))

	return late > 5 && 4*late > len(left), nil
}

// sendAndLeave sends a request and closes the connection. It returns when it did.
func sendAndLeave(addr string, q request) (time.Time, error) {
	conn, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return time.Time{}, err
	}
	_, err = io.WriteString(conn, q.bytes())

	return time.Now(), firstError(err, conn.Close())
}

func firstError(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}

	return nil
}
