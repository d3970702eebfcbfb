package forwarder

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"
)

// refusals are responses without an ID which state that a request has not run.
var refusals = map[string]string{
	"declined":    "HTTP/1.1 503 X\r\nDeclined: 1\r\nContent-Length: 0\r\n\r\n",
	"misdirected": "HTTP/1.1 421 X\r\nContent-Length: 0\r\n\r\n",
}

// Guards against a refusal of an earlier request on a connection that is taken
// for proof that an unrepeatable request has not run.
func TestRefusalOfEarlierRequestIsNoProof(t *testing.T) {
	for name, refusal := range refusals {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			var mu sync.Mutex
			used, hit := map[net.Conn]bool{}, ""
			handle := func(conn net.Conn, r *http.Request) bool {
				mu.Lock()
				defer mu.Unlock()
				if used[conn] && hit == "" {
					hit = r.Header.Get("Name")
					_, _ = io.WriteString(conn, refusal)
				}
				used[conn] = true

				return respondOK(conn, r)
			}
			first, second := newEndpoint(t, handle), newEndpoint(t, handle)
			call := start(t, first, second).dial(c)
			sent, name, status := 0, "", 0
			for refused := false; !refused; sent++ {
				name = fmt.Sprint("r", sent)
				call.send("POST", "/unsafe/x", name, "")
				resp, _, err := call.receive()
				c.Assert(err, qt.IsNil)
				status = resp.StatusCode
				mu.Lock()
				refused = hit == name
				mu.Unlock()
			}
			c.Check(status, qt.Equals, 502)
			c.Check(len(first.requests())+len(second.requests()), qt.Equals, sent, qt.Commentf("%s may have run and must not be sent again", name))
		})
	}
}

// Guards against failing a request that was refused on a new connection, where
// the refusal cannot belong to another request.
func TestRefusalOnNewConnectionIsProof(t *testing.T) {
	for name, refusal := range refusals {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			e := newEndpoint(t, func(conn net.Conn, _ *http.Request) bool {
				_, _ = io.WriteString(conn, refusal)

				return false
			})
			call := start(t, e).dial(c)
			call.send("POST", "/unsafe/x", "r1", "")
			resp, _, err := call.receive()
			c.Assert(err, qt.IsNil)
			c.Check(resp.StatusCode, qt.Equals, 503)
		})
	}
}

// Guards against a refusal of another request on a new connection that is taken
// for proof that an unrepeatable request has not run.
func TestRefusalOfAnotherRequestIsNoProof(t *testing.T) {
	c := qt.New(t)
	e := newEndpoint(t, func(conn net.Conn, _ *http.Request) bool {
		_, _ = io.WriteString(conn, "HTTP/1.1 503 X\r\nName: r0\r\nDeclined: 1\r\nContent-Length: 0\r\n\r\n")

		return false
	})
	call := start(t, e).dial(c)
	call.send("POST", "/unsafe/x", "r1", "")
	resp, _, err := call.receive()
	c.Assert(err, qt.IsNil)
	c.Check(resp.StatusCode, qt.Equals, 502)
}

// Guards against responses to earlier requests that are skipped only in part, or
// that mark the endpoint as cold.
func TestLateResponseIsSkippedWhole(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nName: r0\r\nSeal: s\r\nCold: 1h\r\n"
	for name, late := range map[string]string{
		"length":  head + "Content-Length: 2\r\n\r\nok",
		"chunks":  head + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
		"trailer": head + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX-Sum: 1\r\n\r\n",
		"no body": "HTTP/1.1 204 X\r\nName: r0\r\nCold: 1h\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			e := newEndpoint(t, func(conn net.Conn, r *http.Request) bool {
				if r.Header.Get("Name") == "r1" {
					_, _ = io.WriteString(conn, late)
				}

				return respondOK(conn, r)
			})
			call := start(t, e).dial(c)
			for i := range 4 {
				call.send("GET", "/safe/x", fmt.Sprint("r", i), "")
				resp, body, err := call.receive()
				c.Assert(err, qt.IsNil)
				c.Check(resp.StatusCode, qt.Equals, 200)
				c.Check(body, qt.Equals, fmt.Sprint("answer to r", i))
			}
			c.Check(e.requests(), qt.HasLen, 4)
		})
	}
}
