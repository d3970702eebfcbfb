package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

const (
	// largeLimit is the operator's maxBodyBytes in this case, and largeBody the size of
	// a body that stays within it.
	largeLimit = 8 << 20
	largeBody  = 5 << 20
	// smugglers is the number of clients that send a request inside a body.
	smugglers = 5
)

// smuggled plays clients whose body holds another request. No server may run that.
func smuggled(r *run) (bool, error) {
	m := manifest(7, key)
	m["limits"].(map[string]any)["maxBodyBytes"] = largeLimit
	r.store.put(manifestKey, m)
	s, err := newServer("i-7f3a91c0", "booking", zones[0], r.store, r.rec)
	if err != nil {
		return false, err
	}
	if err := r.startNodes(3); err != nil {
		return false, err
	}
	time.Sleep(time.Second)
	limit := "1500"
	if r.trouble {
		limit = "1500ms"
	}
	for i := range smugglers {
		n := r.nodes[i%len(r.nodes)]
		inner := fmt.Sprintf("e71100%010x", i)
		body := request{method: "POST", path: "/confirm/2f", id: inner, body: "slot", limit: 1500 * time.Millisecond}.bytes()
		body += strings.Repeat("x", largeBody-len(body))
		outer := fmt.Sprintf("9c41d0%010x", i)
		head := fmt.Sprintf("POST /confirm/2f HTTP/1.1\r\nHost: %s\r\n"+fieldAttempt+": %s\r\nSnipedyke-Deadline-Ms: %s\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n",
			host, outer, limit, key, len(body))
		r.rec.log("client sends %s to %s: one request with a body of %d bytes, whose text begins like a request with the id %s; Snipedyke-Deadline-Ms: %s", outer, n.name, len(body), inner, limit)
		if err := sendRaw(r, n.front(), outer, head+body); err != nil {
			return false, err
		}
	}
	time.Sleep(time.Second)
	broken := 0
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range smugglers {
		if inner := fmt.Sprintf("e71100%010x", i); s.runs[inner] > 0 {
			broken++
			r.rec.log("BROKEN: server %s has run %s, which is only text in the body of another request", s.id, inner)
		}
	}
	r.rec.log("%d of %d requests inside a body were run", broken, smugglers)

	return broken > 0, nil
}

// sendRaw sends bytes on a new connection and records the answers that come within
// two seconds.
func sendRaw(r *run, addr, id, text string) error {
	conn, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return err
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(2 * time.Second))
	go func() { _, _ = io.WriteString(conn, text) }()
	br := bufio.NewReader(conn)
	for {
		resp, err := http.ReadResponse(br, nil)
		if err != nil {
			r.rec.log("no further answer on the connection of %s: %v", id, err)

			return nil
		}
		body, err := io.ReadAll(resp.Body)
		if err != nil {
			return nil
		}
		r.rec.log("answer on the connection of %s: status %d, id %q, seal %q, %.60q", id, resp.StatusCode,
			resp.Header.Get(fieldAttempt), resp.Header.Get(fieldSeal), body)
	}
}
