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
					unframed(conn, r, test.part)
					if test.drains {
						s.Post(director.EntryPut{Entry: registrar.Entry{ID: r.Header.Get("Instance"), Service: "s", Address: endpoints[i].addr, Draining: true}})
					}
					if test.crashes {
						endpoints[i].crash()
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

// Guards against a sound answer that is withheld or cut off because its endpoint accepts no
// more connections.
func TestLiveEndpointMayRefuseConnections(t *testing.T) {
	for _, path := range []string{"/unsafe/x", "/stream/x"} {
		for _, idle := range []bool{false, true} {
			t.Run(fmt.Sprint(path, " idle=", idle), func(t *testing.T) {
				c := qt.New(t)
				var e *endpoint
				arrived, refuse, finish := make(chan bool), make(chan bool), make(chan bool)
				e = newEndpoint(t, func(conn net.Conn, r *http.Request) bool {
					if r.Header.Get("Name") == "other" {
						arrived <- true
						if !idle {
							<-finish
						}

						return reply(conn, r, 200, "")
					}
					arrived <- true
					<-refuse
					_ = e.listener.Close()
					unframed(conn, r, events(1, 2))

					return false
				})
				s := start(t, e)
				call, other := s.dial(c), s.dial(c)
				call.send("POST", path, "r1", "")
				<-arrived
				other.send("GET", "/safe/x", "other", "")
				<-arrived
				if idle {
					_, _, err := other.receive()
					c.Assert(err, qt.IsNil)
				}
				close(refuse)
				resp, body, err := call.receive()
				c.Assert(err, qt.IsNil)
				c.Check(resp.StatusCode, qt.Equals, 200)
				c.Check(body, qt.Equals, events(1, 2))
				close(finish)
			})
		}
	}
}

// unframed writes a response that ends with its connection.
func unframed(conn net.Conn, r *http.Request, body string) {
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nName: %s\r\nSeal: s\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n%s", r.Header.Get("Name"), body)
}
