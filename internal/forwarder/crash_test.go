package forwarder

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"

	"snipedyke/internal/director"
	"snipedyke/internal/registrar"
)

// Guards against a truncated response without a length that passes as complete: the
// kernel ends the connections of a crashed endpoint without a reset.
func TestEndOfCrashedEndpointIsNotThatOfItsResponse(t *testing.T) {
	for name, test := range map[string]struct {
		path, part, want string
		crashes, drains  bool
		status           int
		complete         bool
	}{
		"resumable stream": {"/resume/x", events(1, 4), events(1, 6), true, false, 200, true},
		"stream":           {"/stream/x", events(1, 4), events(1, 4), true, false, 200, false},
		"safe":             {"/safe/x", "bo", "body", true, false, 200, true},
		"unsafe":           {"/unsafe/x", "bo", `{"error":{"code":"endpoint_broken"}}`, true, false, 502, true},
		"stream, sound":    {"/resume/x", events(1, 6), events(1, 6), false, false, 200, true},
		"unsafe, sound":    {"/unsafe/x", "body", "body", false, false, 200, true},
		"unsafe, drains":   {"/unsafe/x", "body", "body", true, true, 200, true},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			var s *system
			var attempts atomic.Int32
			endpoints := make([]*endpoint, 2)
			handle := func(i int) handler {
				return func(conn net.Conn, r *http.Request) bool {
					switch {
					case attempts.Add(1) == 1:
					case r.Header.Get("Event") != "":
						stream(conn, r, events(5, 6))
						_, _ = io.WriteString(conn, "0\r\n\r\n")

						return false
					default:
						return reply(conn, r, 200, "body")
					}
					_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nName: %s\r\nSeal: s\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n%s", r.Header.Get("Name"), test.part)
					if test.drains {
						s.Post(director.EntryPut{Entry: registrar.Entry{ID: r.Header.Get("Instance"), Service: "s", Address: endpoints[i].addr, Draining: true}})
					}
					if test.crashes {
						_ = endpoints[i].listener.Close()
					}

					return false
				}
			}
			for i := range endpoints {
				endpoints[i] = newEndpoint(t, handle(i))
			}
			s = start(t, endpoints...)
			call := s.dial(c)
			call.send("POST", test.path, "r1", "")
			resp, body, err := call.receive()
			c.Assert(resp, qt.IsNotNil, qt.Commentf("%v", err))
			c.Check(resp.StatusCode, qt.Equals, test.status)
			c.Check(body, qt.Equals, test.want)
			c.Check(err == nil, qt.Equals, test.complete, qt.Commentf("%v", err))
		})
	}
}
