package forwarder

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// leave sends further input on the connection, closes it, and waits until the node serves
// nobody.
func (s *system) leave(c *qt.C, call *caller, input string) {
	_, err := call.Write([]byte(input))
	c.Assert(err, qt.IsNil)
	c.Assert(call.Close(), qt.IsNil)
	s.awaitNoCallers(c)
}

// awaitNoCallers waits until the node has closed all connections of callers, and fails if
// it serves one for longer than longWait.
func (s *system) awaitNoCallers(c *qt.C) {
	open := func() int {
		s.listener.mu.Lock()
		defer s.listener.mu.Unlock()

		return len(s.listener.conns)
	}
	for end := time.Now().Add(longWait); open() > 0; time.Sleep(time.Millisecond) {
		c.Assert(time.Now().Before(end), qt.IsTrue, qt.Commentf("a request goes on without its caller"))
	}
}

// newPatientEndpoint returns an endpoint that works on a request with a body until its
// connection ends. working gets a value if it has room for one.
func newPatientEndpoint(t *testing.T, working chan<- bool) *endpoint {
	return newEndpoint(t, func(conn net.Conn, r *http.Request) bool {
		if r.ContentLength <= 0 {
			return respondOK(conn, r)
		}
		select {
		case working <- true:
		default:
		}
		_, err := conn.Read(make([]byte, 1))

		return err == nil
	})
}

// Guards against the close of a caller that leaves just after its request, and is seen
// before the request is known to the director.
func TestCallerLeavesWithItsRequest(t *testing.T) {
	for _, path := range []string{"/safe/x", "/stream/x", "/resume/x"} {
		t.Run(path, func(t *testing.T) {
			c := qt.New(t)
			const size = 8 << 20
			s := startWith(t, func(f *Forwarder) { f.opts.MaxBodyBytes = size }, newPatientEndpoint(t, nil))
			for i := range 10 {
				call := s.dial(c)
				// The connection is accepted once there is a response.
				call.send("GET", "/safe/x", "r0", "")
				_, _, err := call.receive()
				c.Assert(err, qt.IsNil)
				call.send("POST", path, fmt.Sprint("r", i), strings.Repeat("x", size))
				c.Assert(call.Close(), qt.IsNil)
				s.awaitNoCallers(c)
			}
		})
	}
}

// Guards against running a request whose caller had left before it was read.
func TestRequestOfGoneCallerIsNotForwarded(t *testing.T) {
	for _, path := range []string{"/safe/x", "/unsafe/x", "/stream/x"} {
		t.Run(path, func(t *testing.T) {
			c := qt.New(t)
			e := newEndpoint(t, respondOK)
			// The node accepts connections only after this.
			var half *caller
			s := startWith(t, func(f *Forwarder) {
				call := dial(c, f.Addr())
				call.send("POST", path, "gone", "body")
				c.Assert(call.Close(), qt.IsNil)
				half = dial(c, f.Addr())
				half.send("POST", path, "gone", "body")
				c.Assert(half.Conn.(*net.TCPConn).CloseWrite(), qt.IsNil)
			}, e)
			// A caller that has ended its output only gets no response of the node's own.
			resp, _, err := half.receive()
			c.Check(err, qt.IsNotNil, qt.Commentf("%v", resp))
			call := s.dial(c)
			call.send("POST", path, "here", "body")
			_, _, _ = call.receive()
			c.Assert(half.Close(), qt.IsNil)
			c.Assert(call.Close(), qt.IsNil)
			s.awaitNoCallers(c)
			received := e.requests()
			c.Assert(received, qt.HasLen, 1)
			c.Check(received[0].Header.Get("Name"), qt.Equals, "here")
		})
	}
}

// Guards against a caller that is no longer watched once it has sent something behind its
// request.
func TestCallerLeavesAfterFurtherInput(t *testing.T) {
	for _, path := range []string{"/safe/x", "/stream/x", "/resume/x"} {
		for name, input := range map[string]string{
			"line end": "\r\n", "request": "GET /safe/x HTTP/1.1\r\nHost: h\r\nName: next\r\nKey: k\r\n\r\n", "half a request": "GET /safe/x HTTP/1.1\r\nHo",
			"large request": "POST /safe/x HTTP/1.1\r\nHost: h\r\nName: next\r\nKey: k\r\nContent-Length: 100000\r\n\r\n" + strings.Repeat("x", 100000),
		} {
			t.Run(path+" "+name, func(t *testing.T) {
				c := qt.New(t)
				working := make(chan bool, 1)
				s := start(t, newPatientEndpoint(t, working))
				call := s.dial(c)
				call.send("POST", path, "r1", "body")
				<-working
				s.leave(c, call, input)
			})
		}
	}
}

// Guards against a caller whose close is lost while its request is tried again or its stream
// is resumed.
func TestCallerLeavesDuringAnotherAttempt(t *testing.T) {
	for _, path := range []string{"/safe/x", "/resume/x"} {
		for _, input := range []string{"", "\r\n"} {
			t.Run(fmt.Sprintf("%s %q", path, input), func(t *testing.T) {
				c := qt.New(t)
				working := make(chan bool)
				var attempts atomic.Int32
				handle := func(conn net.Conn, r *http.Request) bool {
					if attempts.Add(1) == 1 {
						if path == "/resume/x" {
							stream(conn, r, events(1, 2))
						}

						return false
					}
					working <- true
					_, err := conn.Read(make([]byte, 1))

					return err == nil
				}
				s := start(t, newEndpoint(t, handle), newEndpoint(t, handle))
				call := s.dial(c)
				call.send("POST", path, "r1", "body")
				<-working
				s.leave(c, call, input)
				c.Check(attempts.Load(), qt.Equals, int32(2))
			})
		}
	}
}
