package forwarder

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"snipedyke/internal/acceptor"
)

func respondOK(conn net.Conn, r *http.Request) bool {
	return reply(conn, r, 200, "answer to "+r.Header.Get("Name"))
}

// Guards against requests that are modified when forwarded, and against header
// fields that reach an endpoint although they are meant for the node only.
func TestRequestIsForwardedUnchanged(t *testing.T) {
	c := qt.New(t)
	e := newEndpoint(t, respondOK)
	s := start(t, e)
	call := s.dial(c)
	const target = "/unsafe/a%2Fb/../c//d?x=%20&y"
	call.send("PUT", target, "r1", "the body")
	resp, body, err := call.receive()
	c.Assert(err, qt.IsNil)
	c.Check(resp.StatusCode, qt.Equals, 200)
	c.Check(body, qt.Equals, "answer to r1")
	got := e.requests()[0]
	c.Check(got.Method, qt.Equals, "PUT")
	c.Check(got.RequestURI, qt.Equals, target)
	c.Check(e.body[0], qt.Equals, "the body")
	c.Check(got.Header.Get("Account"), qt.Equals, "club")
	c.Check(got.Header.Get("Key"), qt.Equals, "")
	c.Check(got.Header.Get("X-Hop"), qt.Equals, "")
	c.Check(got.Header.Get("Instance"), qt.Equals, "e0")
}

// Guards against relaying a response as a success although it lacks the
// endpoint's seal, is incomplete or belongs to another request.
func TestInvalidResponsesAreFailures(t *testing.T) {
	for name, write := range map[string]string{
		"no seal":       "HTTP/1.1 200 OK\r\nName: r1\r\nContent-Length: 2\r\n\r\nok",
		"another name":  "HTTP/1.1 200 OK\r\nName: r0\r\nSeal: s\r\nContent-Length: 2\r\n\r\nok",
		"encoded":       "HTTP/1.1 200 OK\r\nName: r1\r\nSeal: s\r\nContent-Encoding: gzip\r\nContent-Length: 2\r\n\r\nok",
		"cut":           "HTTP/1.1 200 OK\r\nName: r1\r\nSeal: s\r\nContent-Length: 9\r\n\r\nok",
		"cut chunks":    "HTTP/1.1 200 OK\r\nName: r1\r\nSeal: s\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n",
		"no protocol":   "200 fine\r\n\r\n",
		"closed":        "",
		"header cut":    "HTTP/1.1 200 OK\r\nName: r1\r\nSe",
		"unsealed fail": "HTTP/1.1 404 X\r\nName: r1\r\nContent-Length: 2\r\n\r\nok",
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			bad := newEndpoint(t, func(conn net.Conn, _ *http.Request) bool {
				_, _ = io.WriteString(conn, write)

				return false
			})
			call := start(t, bad).dial(c)
			call.send("POST", "/unsafe/x", "r1", "")
			resp, _, err := call.receive()
			c.Assert(err, qt.IsNil)
			c.Check(resp.StatusCode, qt.Equals, 502)
			c.Check(bad.requests(), qt.HasLen, 1, qt.Commentf("the request may have run and must not be retried"))
		})
	}
}

// Guards against failing a retryable request when an endpoint fails.
func TestSafeRequestIsRetried(t *testing.T) {
	c := qt.New(t)
	bad := newEndpoint(t, func(conn net.Conn, _ *http.Request) bool { return false })
	call := start(t, bad, newEndpoint(t, respondOK), newEndpoint(t, respondOK)).dial(c)
	for i := range 10 {
		call.send("GET", "/safe/x", fmt.Sprint("r", i), "")
		resp, body, err := call.receive()
		c.Assert(err, qt.IsNil)
		c.Check(resp.StatusCode, qt.Equals, 200)
		c.Check(body, qt.Equals, fmt.Sprint("answer to r", i))
	}
}

// Guards against relaying an endpoint's refusal as its response, and against
// failing a request that is known not to have run.
func TestDeclinedRequests(t *testing.T) {
	c := qt.New(t)
	full := newEndpoint(t, func(conn net.Conn, r *http.Request) bool {
		_, err := fmt.Fprintf(conn, "HTTP/1.1 503 X\r\nName: %s\r\nDeclined: 1\r\nContent-Length: 0\r\n\r\n", r.Header.Get("Name"))

		return err == nil
	})
	call := start(t, full).dial(c)
	call.send("POST", "/unsafe/x", "r1", "")
	resp, _, err := call.receive()
	c.Assert(err, qt.IsNil)
	c.Check(resp.StatusCode, qt.Equals, 503)
	c.Check(resp.Header.Get("Retry-After"), qt.Not(qt.Equals), "")
	call = start(t, full, newEndpoint(t, respondOK)).dial(c)
	call.send("POST", "/unsafe/x", "r2", "")
	resp, _, err = call.receive()
	c.Assert(err, qt.IsNil)
	c.Check(resp.StatusCode, qt.Equals, 200)
}

// Guards against reading a late second response on a kept-alive connection as the
// response to the next request.
func TestLateResponseIsSkipped(t *testing.T) {
	c := qt.New(t)
	var last *http.Request
	e := newEndpoint(t, func(conn net.Conn, r *http.Request) bool {
		if last != nil {
			reply(conn, last, 200, "late")
		}
		last = r

		return respondOK(conn, r)
	})
	call := start(t, e).dial(c)
	for i := range 3 {
		call.send("GET", "/safe/x", fmt.Sprint("r", i), "")
		_, body, err := call.receive()
		c.Assert(err, qt.IsNil)
		c.Check(body, qt.Equals, fmt.Sprint("answer to r", i))
	}
}

// Guards against events that are lost, duplicated or joined when a stream is
// resumed at another endpoint, and against partial events that reach the caller.
func TestStreamIsResumedAtAnotherEndpoint(t *testing.T) {
	c := qt.New(t)
	handle := func(conn net.Conn, r *http.Request) bool {
		if r.Header.Get("Event") == "" {
			stream(conn, r, events(1, 2), "id: 3\nda")

			return false
		}
		c.Check(r.Header.Get("Event"), qt.Equals, "2")
		stream(conn, r, events(3, 4))
		_, _ = io.WriteString(conn, "0\r\n\r\n")

		return true
	}
	call := start(t, newEndpoint(t, handle), newEndpoint(t, handle)).dial(c)
	call.send("POST", "/resume/x", "r1", "")
	_, body, err := call.receive()
	c.Assert(err, qt.IsNil)
	c.Check(body, qt.Equals, events(1, 4))
}

// Guards against a response that appears complete although its stream broke.
func TestBrokenStreamIsReported(t *testing.T) {
	c := qt.New(t)
	e := newEndpoint(t, func(conn net.Conn, r *http.Request) bool {
		stream(conn, r, events(1, 2))

		return false
	})
	call := start(t, e).dial(c)
	call.send("POST", "/stream/x", "r1", "")
	_, body, err := call.receive()
	c.Check(err, qt.IsNotNil)
	c.Check(body, qt.Equals, events(1, 2))
	c.Check(e.requests(), qt.HasLen, 1)
}

// Guards against an endpoint that continues to process a request after the caller
// has disconnected, before the response and in the middle of a stream.
func TestCallerLeavesEndsTheWork(t *testing.T) {
	for _, begun := range []bool{false, true} {
		t.Run(fmt.Sprint("begun=", begun), func(t *testing.T) {
			c := qt.New(t)
			working, closed := make(chan bool), make(chan bool)
			e := newEndpoint(t, func(conn net.Conn, r *http.Request) bool {
				if begun {
					stream(conn, r, events(1, 1))
				}
				working <- true
				_, err := conn.Read(make([]byte, 1))
				closed <- err != nil

				return false
			})
			call := start(t, e).dial(c)
			call.send("POST", "/stream/x", "r1", "")
			<-working
			if begun {
				_, err := call.br.ReadString('\n')
				c.Assert(err, qt.IsNil)
			}
			c.Assert(call.Close(), qt.IsNil)
			// If the connection were not closed, the endpoint would work until
			// the route's timeout.
			select {
			case ended := <-closed:
				c.Check(ended, qt.IsTrue)
			case <-time.After(longWait):
				c.Fatal("endpoint connection is still open after the caller disconnected")
			}
		})
	}
}

// Guards against a shutdown that interrupts requests in progress, and against
// responses during a shutdown that keep the connection alive.
func TestShutdownFinishesRequests(t *testing.T) {
	c := qt.New(t)
	working, finish := make(chan bool), make(chan bool)
	e := newEndpoint(t, func(conn net.Conn, r *http.Request) bool {
		working <- true
		<-finish

		return respondOK(conn, r)
	})
	s := start(t, e)
	call := s.dial(c)
	call.send("POST", "/unsafe/x", "r1", "")
	<-working
	s.stop()
	for s.Ready() {
		continue
	}
	// A request on an open connection is still served.
	second := s.dial(c)
	second.send("POST", "/unsafe/x", "r2", "")
	<-working
	finish <- true
	finish <- true
	resp, body, err := call.receive()
	c.Assert(err, qt.IsNil)
	c.Check(body, qt.Equals, "answer to r1")
	c.Check(resp.Close, qt.IsTrue)
	resp, body, err = second.receive()
	c.Assert(err, qt.IsNil)
	c.Check(body, qt.Equals, "answer to r2")
	c.Check(resp.Close, qt.IsTrue)
	c.Check(<-s.done, qt.IsNil)
}

// Guards against malformed or unauthorized requests that reach an endpoint or
// succeed.
func TestMalformedRequests(t *testing.T) {
	c := qt.New(t)
	e := newEndpoint(t, respondOK)
	s := start(t, e)
	for text, want := range map[string]int{
		"BAD\r\n\r\n": 400,
		"GET /safe/x HTTP/1.1\r\nHost: h\r\nX: " + strings.Repeat("x", 9<<10) + "\r\n\r\n": 431,
		"POST /safe/x HTTP/1.1\r\nHost: h\r\nKey: k\r\nContent-Length: 2000000\r\n\r\n":    413,
		"POST /safe/x HTTP/1.1\r\nHost: h\r\nKey: none\r\nContent-Length: 0\r\n\r\n":       401,
		"POST /none/x HTTP/1.1\r\nHost: h\r\nKey: k\r\nContent-Length: 0\r\n\r\n":          404,
	} {
		call := s.dial(c)
		_, err := io.WriteString(call, text)
		c.Assert(err, qt.IsNil)
		resp, _, err := call.receive()
		c.Assert(err, qt.IsNil, qt.Commentf("%.40q", text))
		c.Check(resp.StatusCode, qt.Equals, want, qt.Commentf("%.40q", text))
	}
	c.Check(e.requests(), qt.HasLen, 0)
}

// Guards against returning partial events, and against reading event IDs from the
// data of an event.
func TestEventReader(t *testing.T) {
	c := qt.New(t)
	e := &eventReader{r: strings.NewReader("id: 1\ndata: x\n\nid: 2\ndata: id: 9\n\nid: 3\nda")}
	got, err := e.next()
	c.Assert(err, qt.IsNil)
	c.Check(string(got), qt.Equals, "id: 1\ndata: x\n\nid: 2\ndata: id: 9\n\n")
	c.Check(string(lastEventID(got)), qt.Equals, "2")
	_, err = e.next()
	c.Check(err, qt.Equals, io.ErrUnexpectedEOF)
	c.Check(lastEventID([]byte("data: id: 9\n\n")), qt.IsNil)
}

// Guards against an endpoint that does not respond and holds a request past its
// route's timeout, and against a refusal that states that the request has not
// run.
func TestUnresponsiveEndpointTimesOut(t *testing.T) {
	c := qt.New(t)
	release := make(chan bool)
	e := newEndpoint(t, func(net.Conn, *http.Request) bool { return <-release })
	defer close(release)
	call := start(t, e).dial(c)
	call.send("POST", "/brief/x", "r1", "")
	resp, _, err := call.receive()
	c.Assert(err, qt.IsNil)
	c.Check(resp.StatusCode, qt.Equals, 504)
}

// Guards against a response on a connection that has not sent a request, which its
// caller would take for the response to the next one.
func TestConnectionWithoutRequestGetsNoResponse(t *testing.T) {
	c := qt.New(t)
	s := startWith(t, func(f *Forwarder) { f.server.ReadTimeout = 10 * time.Millisecond })
	got, err := io.ReadAll(s.dial(c))
	c.Assert(err, qt.IsNil)
	c.Check(string(got), qt.Equals, "")
}

// exhaustedListener closes its second connection and reports that the process
// has no file descriptor left.
type exhaustedListener struct {
	net.Listener
	accepted int
}

func (l *exhaustedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if l.accepted++; err != nil || l.accepted != 2 {
		return conn, err
	}
	_ = conn.Close()

	return nil, &net.OpError{Op: "accept", Net: "tcp", Err: syscall.EMFILE}
}

// Guards against a node that ends, and cuts off all requests, because it has no
// descriptor for a connection.
func TestNodeOutlastsLackOfDescriptors(t *testing.T) {
	c := qt.New(t)
	working, finish := make(chan bool), make(chan bool)
	e := newEndpoint(t, func(conn net.Conn, r *http.Request) bool {
		working <- true
		<-finish

		return reply(conn, r, 200, "answer")
	})
	s := startWith(t, func(f *Forwarder) {
		l := f.listener.Listener.(*acceptor.Listener)
		l.Listener = &exhaustedListener{Listener: l.Listener}
	}, e)
	call := s.dial(c)
	call.send("POST", "/unsafe/x", "r1", "")
	<-working
	_, _ = s.dial(c).Read(make([]byte, 1))
	next := s.dial(c)
	next.send("POST", "/unsafe/x", "r2", "")
	select {
	case <-working:
	case err := <-s.done:
		c.Fatalf("Run returned with a request in progress: %v", err)
	}
	close(finish)
	for _, call := range []*caller{call, next} {
		_, body, err := call.receive()
		c.Assert(err, qt.IsNil)
		c.Check(body, qt.Equals, "answer")
	}
}
