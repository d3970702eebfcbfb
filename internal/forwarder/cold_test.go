package forwarder

import (
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// coldEndpoint returns an endpoint that is cold, and a running forwarder that knows it and
// may send it one request in a second. Each connection to it takes delay more on the
// clock of the forwarder, which ahead advances.
func coldEndpoint(t *testing.T, persistent bool) (e *endpoint, s *system, ahead, delay *atomic.Int64) {
	ahead, delay = new(atomic.Int64), new(atomic.Int64)
	connection := "close"
	if persistent {
		connection = "keep-alive"
	}
	e = newEndpoint(t, func(conn net.Conn, r *http.Request) bool {
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nName: %s\r\nSeal: s\r\nCold: 1h\r\nConnection: %s\r\nContent-Length: 0\r\n\r\n", r.Header.Get("Name"), connection)

		return persistent
	})
	s = startWith(t, func(f *Forwarder) {
		f.opts.Clock = func() time.Time { return time.Now().Add(time.Duration(ahead.Load())) }
		control := f.pool.dialer.Control
		f.pool.dialer.Control = func(network, address string, conn syscall.RawConn) error {
			ahead.Add(delay.Load())

			return control(network, address, conn)
		}
	}, e)
	t.Cleanup(s.stop)

	return e, s, ahead, delay
}

// status sends a request and returns the status of its response.
func (s *system) status(c *qt.C, name string) int {
	caller := s.dial(c)
	caller.send("GET", "/safe/", name, "")
	resp, _, err := caller.receive()
	c.Assert(err, qt.IsNil)

	return resp.StatusCode
}

// Guards against requests to a cold endpoint that leave the node together, though they
// were allowed one after the other: those that were held up on the way out.
func TestRequestsHeldUpOnTheWayToAColdEndpointAreNotSent(t *testing.T) {
	c := qt.New(t)
	e, s, ahead, delay := coldEndpoint(t, false)
	c.Assert(s.status(c, "r0"), qt.Equals, 200)
	// The first request is held up for longer than the second in which it counts.
	ahead.Add(int64(2 * time.Second))
	delay.Store(int64(2 * time.Second))
	held := s.status(c, "r1")
	delay.Store(0)
	second := s.status(c, "r2")
	c.Check(held == 200 && second == 200, qt.IsFalse)
	c.Check(len(e.requests()) <= 2, qt.IsTrue, qt.Commentf("%d requests", len(e.requests())))
}

// Guards against a cold endpoint that gets nothing from a node whose connections take
// longer than a request may take to be sent, as each is closed unused.
func TestSlowConnectionsToAColdEndpointAreUsed(t *testing.T) {
	c := qt.New(t)
	e, s, ahead, delay := coldEndpoint(t, true)
	c.Assert(s.status(c, "r0"), qt.Equals, 200)
	delay.Store(int64(60 * time.Millisecond))
	s.pool.closeIdle(e.addr)
	ahead.Add(int64(2 * time.Second))
	c.Check(s.status(c, "r1"), qt.Equals, 200)
}

// Guards against a limit that an endpoint names without effect, and against one that stays
// in force after it has ceased to name it.
func TestLimitOfAnEndpointIsKept(t *testing.T) {
	c := qt.New(t)
	var named atomic.Bool
	named.Store(true)
	limited := newEndpoint(t, func(conn net.Conn, r *http.Request) bool {
		field := ""
		if named.Load() {
			field = "Limit: 0.5\r\n"
		}
		_, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nName: %s\r\nSeal: s\r\n%sContent-Length: 0\r\n\r\n", r.Header.Get("Name"), field)

		return err == nil
	})
	var ahead atomic.Int64
	s := startWith(t, func(f *Forwarder) {
		f.opts.Clock = func() time.Time { return time.Now().Add(time.Duration(ahead.Load())) }
	}, limited)
	defer s.stop()
	// It takes two requests in 4 s.
	c.Check([]int{s.status(c, "a1"), s.status(c, "a2"), s.status(c, "a3")}, qt.DeepEquals, []int{200, 200, 503})
	named.Store(false)
	ahead.Add(int64(5 * time.Second))
	for i := range 5 {
		c.Check(s.status(c, fmt.Sprint("b", i)), qt.Equals, 200)
	}
}
