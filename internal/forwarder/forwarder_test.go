package forwarder

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func good(conn net.Conn, r *http.Request) bool {
	return reply(conn, r, 200, "answer to "+r.Header.Get("Name"))
}

// Guards against requests that are changed on their way, and fields that reach
// an endpoint although they concern the node only.
func TestRequestIsPassedOnAsItCame(t *testing.T) {
	c := qt.New(t)
	e := newEndpoint(t, good)
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

// Guards against answers that are not the endpoint's, not whole, or another
// request's, and that reach the caller as a success.
func TestUnsoundAnswersAreFailures(t *testing.T) {
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
			c.Check(bad.requests(), qt.HasLen, 1, qt.Commentf("it may have run"))
		})
	}
}

// Guards against the loss of what may be repeated when an endpoint fails.
func TestSafeRequestGoesToAnotherEndpoint(t *testing.T) {
	c := qt.New(t)
	bad := newEndpoint(t, func(conn net.Conn, _ *http.Request) bool { return false })
	call := start(t, bad, newEndpoint(t, good), newEndpoint(t, good)).dial(c)
	for i := range 10 {
		call.send("GET", "/safe/x", fmt.Sprint("r", i), "")
		resp, body, err := call.receive()
		c.Assert(err, qt.IsNil)
		c.Check(resp.StatusCode, qt.Equals, 200)
		c.Check(body, qt.Equals, fmt.Sprint("answer to r", i))
	}
}

// Guards against a refusal that is passed on as the endpoint's answer, and
// against the loss of a request that has certainly not run.
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
	call = start(t, full, newEndpoint(t, good)).dial(c)
	call.send("POST", "/unsafe/x", "r2", "")
	resp, _, err = call.receive()
	c.Assert(err, qt.IsNil)
	c.Check(resp.StatusCode, qt.Equals, 200)
}

// Guards against a second answer on a kept connection that is taken for the
// answer to the next request.
func TestLateSecondAnswerIsPassedOver(t *testing.T) {
	c := qt.New(t)
	var last *http.Request
	e := newEndpoint(t, func(conn net.Conn, r *http.Request) bool {
		if last != nil {
			reply(conn, last, 200, "late")
		}
		last = r

		return good(conn, r)
	})
	call := start(t, e).dial(c)
	for i := range 3 {
		call.send("GET", "/safe/x", fmt.Sprint("r", i), "")
		_, body, err := call.receive()
		c.Assert(err, qt.IsNil)
		c.Check(body, qt.Equals, fmt.Sprint("answer to r", i))
	}
}

// Guards against events that are lost, doubled or joined when a stream goes on
// at another endpoint, and against parts of an event that reach the caller.
func TestStreamGoesOnAtAnotherEndpoint(t *testing.T) {
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

// Guards against an answer that looks whole although its stream has broken.
func TestBrokenStreamDoesNotLookWhole(t *testing.T) {
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

// Guards against an endpoint that works on for a caller that has left, before
// the answer and in the middle of a stream.
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
			// Without a notice the work would end with the route's timeout.
			select {
			case ended := <-closed:
				c.Check(ended, qt.IsTrue)
			case <-time.After(longWait):
				c.Fatal("the endpoint still works for a caller that has left")
			}
		})
	}
}

// Guards against a shutdown that cuts requests in progress, and against answers
// that invite further requests.
func TestShutdownFinishesRequests(t *testing.T) {
	c := qt.New(t)
	working, finish := make(chan bool), make(chan bool)
	e := newEndpoint(t, func(conn net.Conn, r *http.Request) bool {
		working <- true
		<-finish

		return good(conn, r)
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
	_, body, err := call.receive()
	c.Assert(err, qt.IsNil)
	c.Check(body, qt.Equals, "answer to r1")
	resp, body, err := second.receive()
	c.Assert(err, qt.IsNil)
	c.Check(body, qt.Equals, "answer to r2")
	c.Check(resp.Close, qt.IsTrue)
	c.Check(<-s.done, qt.IsNil)
}

// Guards against bad input that reaches an endpoint or is answered with a
// success.
func TestMalformedRequests(t *testing.T) {
	c := qt.New(t)
	e := newEndpoint(t, good)
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

// Guards against parts of events that are passed on, and identifiers that are
// read from the data of an event.
func TestEventReader(t *testing.T) {
	c := qt.New(t)
	e := &eventReader{r: strings.NewReader("id: 1\ndata: x\n\nid: 2\ndata: id: 9\n\nid: 3\nda")}
	got, err := e.next()
	c.Assert(err, qt.IsNil)
	c.Check(string(got), qt.Equals, "id: 1\ndata: x\n\nid: 2\ndata: id: 9\n\n")
	c.Check(string(lastID(got)), qt.Equals, "2")
	_, err = e.next()
	c.Check(err, qt.Equals, io.ErrUnexpectedEOF)
	c.Check(lastID([]byte("data: id: 9\n\n")), qt.IsNil)
}

// Guards against a request that is held past its route's timeout by an endpoint
// that does not answer, and against a refusal that says that it has not run.
func TestSilentEndpointEndsWithTheTimeout(t *testing.T) {
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
