package forwarder

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against new requests to an endpoint that has said in the head of a
// stream that it shuts down, while the stream goes on.
func TestEndpointLeavesDuringItsStream(t *testing.T) {
	c := qt.New(t)
	finish := make(chan bool)
	handle := func(conn net.Conn, r *http.Request) bool {
		if r.URL.Path != "/stream/x" {
			return respondOK(conn, r)
		}
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nName: r1\r\nSeal: s\r\nLeaving: 1\r\nTransfer-Encoding: chunked\r\n\r\n")
		chunk(conn, events(1, 1))
		<-finish
		chunk(conn, events(2, 2))
		_, _ = io.WriteString(conn, "0\r\n\r\n")

		return true
	}
	endpoints := []*endpoint{newEndpoint(t, handle), newEndpoint(t, handle)}
	s := start(t, endpoints...)
	streaming := s.dial(c)
	streaming.send("POST", "/stream/x", "r1", "")
	_, err := streaming.br.Peek(1)
	c.Assert(err, qt.IsNil)
	leaving := endpoints[0]
	if len(leaving.requests()) == 0 {
		leaving = endpoints[1]
	}
	call := s.dial(c)
	for i := range 10 {
		call.send("GET", "/safe/x", fmt.Sprint("s", i), "")
		_, body, err := call.receive()
		c.Assert(err, qt.IsNil)
		c.Check(body, qt.Equals, fmt.Sprint("answer to s", i))
	}
	finish <- true
	_, body, err := streaming.receive()
	c.Assert(err, qt.IsNil)
	c.Check(body, qt.Equals, events(1, 2))
	c.Check(leaving.requests(), qt.HasLen, 1)
}

// Guards against keeping a connection to an endpoint that shuts down, which was in
// use when the endpoint said so.
func TestConnectionToLeavingEndpointIsClosedAfterItsStream(t *testing.T) {
	c := qt.New(t)
	finish, closed := make(chan bool), make(chan error, 1)
	e := newEndpoint(t, func(conn net.Conn, r *http.Request) bool {
		if r.URL.Path != "/stream/x" {
			_, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nName: %s\r\nSeal: s\r\nLeaving: 1\r\nContent-Length: 0\r\n\r\n", r.Header.Get("Name"))

			return err == nil
		}
		stream(conn, r, events(1, 1))
		<-finish
		_, _ = io.WriteString(conn, "0\r\n\r\n")
		_ = conn.SetReadDeadline(time.Now().Add(longWait / 2))
		_, err := conn.Read(make([]byte, 1))
		closed <- err

		return false
	})
	s := start(t, e)
	streaming := s.dial(c)
	streaming.send("POST", "/stream/x", "r1", "")
	_, err := streaming.br.Peek(1)
	c.Assert(err, qt.IsNil)
	call := s.dial(c)
	call.send("GET", "/safe/x", "s1", "")
	_, _, err = call.receive()
	c.Assert(err, qt.IsNil)
	finish <- true
	c.Check(<-closed, qt.Equals, io.EOF)
}

// Guards against a notice that is taken from a response to another request or of
// another endpoint at the address.
func TestNoticesOfOtherResponsesAreIgnored(t *testing.T) {
	for name, head := range map[string]string{
		"no ID":            "HTTP/1.1 200 OK\r\nSeal: s\r\nLeaving: 1\r\nContent-Length: 0\r\n\r\n",
		"another request":  "HTTP/1.1 200 OK\r\nName: r0\r\nSeal: s\r\nLeaving: 1\r\nContent-Length: 0\r\n\r\n",
		"another endpoint": "HTTP/1.1 421 X\r\nName: r1\r\nLeaving: 1\r\nContent-Length: 0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			var answers int
			e := newEndpoint(t, func(conn net.Conn, r *http.Request) bool {
				if answers++; answers > 1 {
					return respondOK(conn, r)
				}
				_, _ = io.WriteString(conn, head)

				return false
			})
			s := start(t, e)
			call := s.dial(c)
			call.send("POST", "/unsafe/x", "r1", "")
			_, _, err := call.receive()
			c.Assert(err, qt.IsNil)
			c.Check(s.Status().Leaving, qt.Equals, 0)
		})
	}
}

// Guards against requests to an endpoint that has turned one away and asked for
// time.
func TestEndpointThatAsksForTimeGetsNoRequests(t *testing.T) {
	c := qt.New(t)
	busy := newEndpoint(t, func(conn net.Conn, r *http.Request) bool {
		_, err := fmt.Fprintf(conn, "HTTP/1.1 503 X\r\nName: %s\r\nDeclined: 1\r\nBusy: 1\r\nContent-Length: 0\r\n\r\n", r.Header.Get("Name"))

		return err == nil
	})
	call := start(t, busy, newEndpoint(t, respondOK)).dial(c)
	for i := range 20 {
		call.send("POST", "/unsafe/x", fmt.Sprint("r", i), "")
		resp, _, err := call.receive()
		c.Assert(err, qt.IsNil)
		c.Check(resp.StatusCode, qt.Equals, 200)
	}
	c.Check(len(busy.requests()) <= 1, qt.IsTrue, qt.Commentf("%d", len(busy.requests())))
}

// Guards against a brittle endpoint that is not known as such, or for longer than it is.
func TestBrittleEndpointIsNoticed(t *testing.T) {
	c := qt.New(t)
	fields := []string{"Brittle: 9\r\n", ""}
	e := newEndpoint(t, func(conn net.Conn, r *http.Request) bool {
		_, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nName: %s\r\nSeal: s\r\n%sContent-Length: 0\r\n\r\n", r.Header.Get("Name"), fields[0])
		fields = fields[1:]

		return err == nil
	})
	s := start(t, e)
	for i, want := range []int{1, 0} {
		c.Check(s.status(c, fmt.Sprint("r", i)), qt.Equals, 200)
		c.Check(s.Status().Brittle, qt.Equals, want)
	}
}
