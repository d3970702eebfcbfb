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

	"snipedyke/internal/director"
)

// testGrace is the grace period of these tests. It leaves a part of a second after
// the listener is closed.
const testGrace = drainDelay + exitMargin + 800*time.Millisecond

// startWithGrace starts a forwarder with a short grace period.
func startWithGrace(t *testing.T, endpoints ...*endpoint) *system {
	return startWith(t, func(f *Forwarder) { f.opts.GracePeriod = testGrace }, endpoints...)
}

// sendHalf sends the first part of a request, and returns the rest.
func (c *caller) sendHalf(method, target, name string) string {
	_, _ = fmt.Fprintf(c, "%s %s HTTP/1.1\r\nHost: h\r\nKey: k\r\n", method, target)

	return fmt.Sprintf("Name: %s\r\nContent-Length: 4\r\n\r\nbody", name)
}

// awaitListenerClosed waits until the shutdown has closed the listener, which it
// does before it closes idle connections.
func awaitListenerClosed(c *qt.C, idle *caller) {
	_, err := idle.Read(make([]byte, 1))
	c.Assert(err, qt.Equals, io.EOF)
}

// Guards against requests that are completed late in a shutdown, passed on, and
// cut off without an answer at its end.
func TestLateRequestsAreAnsweredBeforeShutdownEnds(t *testing.T) {
	c := qt.New(t)
	finish := make(chan bool)
	defer close(finish)
	e := newEndpoint(t, func(conn net.Conn, r *http.Request) bool {
		switch {
		case r.Header.Get("Name") != "prompt":
			return <-finish
		case strings.HasPrefix(r.URL.Path, "/safe/") || strings.HasPrefix(r.URL.Path, "/unsafe/"):
			return reply(conn, r, 200, "")
		default:
			stream(conn, r, events(1, 1))
			_, err := io.WriteString(conn, "0\r\n\r\n")

			return err == nil
		}
	})
	s := startWithGrace(t, e)
	idle := s.dial(c)
	targets := map[string]string{"/safe/x": "GET", "/unsafe/x": "POST", "/stream/x": "POST", "/resume/x": "POST"}
	calls, rests := map[string]*caller{}, map[string]string{}
	for target, method := range targets {
		calls[target] = s.dial(c)
		calls[target].send(method, target, "prompt", "")
		resp, _, err := calls[target].receive()
		c.Assert(err, qt.IsNil)
		c.Assert(resp.StatusCode, qt.Equals, http.StatusOK)
		rests[target] = calls[target].sendHalf(method, target, target)
	}
	s.stop()
	awaitListenerClosed(c, idle)
	for target, call := range calls {
		_, _ = io.WriteString(call, rests[target])
	}
	// The process ends when Run returns.
	c.Check(<-s.done, qt.IsNil)
	for target, call := range calls {
		c.Assert(call.SetDeadline(time.Now().Add(time.Second)), qt.IsNil)
		resp, _, err := call.receive()
		if !c.Check(err, qt.IsNil, qt.Commentf("%s", target)) {
			continue
		}
		c.Check(resp.StatusCode, qt.Equals, http.StatusBadGateway, qt.Commentf("%s", target))
		c.Check(resp.Close, qt.IsTrue, qt.Commentf("%s", target))
	}
	c.Check(len(e.requests()), qt.Equals, 2*len(targets))
}

// Guards against requests that are passed on late in a shutdown although the
// process ends before they can be finished.
func TestLateRequestsThatTakeLongAreRefused(t *testing.T) {
	c := qt.New(t)
	e := newEndpoint(t, func(conn net.Conn, r *http.Request) bool {
		<-time.After(testGrace - drainDelay)

		return reply(conn, r, 200, "")
	})
	s := startWithGrace(t, e)
	idle, call := s.dial(c), s.dial(c)
	call.send("POST", "/unsafe/x", "r1", "")
	_, _, err := call.receive()
	c.Assert(err, qt.IsNil)
	rest := call.sendHalf("POST", "/unsafe/x", "r2")
	s.stop()
	awaitListenerClosed(c, idle)
	_, _ = io.WriteString(call, rest)
	resp, body, err := call.receive()
	c.Assert(err, qt.IsNil)
	c.Check(resp.StatusCode, qt.Equals, http.StatusServiceUnavailable)
	c.Check(resp.Close, qt.IsTrue)
	c.Check(resp.Header.Get("Retry-After"), qt.Not(qt.Equals), "")
	c.Check(body, qt.Contains, string(director.ReasonLeaving))
	c.Check(<-s.done, qt.IsNil)
	c.Check(e.requests(), qt.HasLen, 1)
}

// Guards against streams that are completed late in a shutdown, passed on, and cut off
// at its end after their first events.
func TestLateStreamsAreNotBegunAndCutOff(t *testing.T) {
	c := qt.New(t)
	finish := make(chan bool)
	defer close(finish)
	s := startWithGrace(t, newEndpoint(t, func(conn net.Conn, r *http.Request) bool {
		stream(conn, r, events(1, 1))
		<-finish

		return false
	}))
	idle := s.dial(c)
	calls, rests := map[string]*caller{}, map[string]string{}
	for _, target := range []string{"/stream/x", "/resume/x"} {
		calls[target] = s.dial(c)
		rests[target] = calls[target].sendHalf("POST", target, target)
	}
	s.stop()
	awaitListenerClosed(c, idle)
	for target, call := range calls {
		_, _ = io.WriteString(call, rests[target])
	}
	// The process ends when Run returns.
	c.Check(<-s.done, qt.IsNil)
	for target, call := range calls {
		c.Assert(call.SetDeadline(time.Now().Add(time.Second)), qt.IsNil)
		_, _, err := call.receive()
		c.Check(err, qt.IsNil, qt.Commentf("%s", target))
	}
}
