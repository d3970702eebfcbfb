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

// Guards against requests to a cold endpoint that leave the node together, though they
// were allowed one after the other: those that were held up on the way out.
func TestRequestsHeldUpOnTheWayToAColdEndpointAreNotSent(t *testing.T) {
	c := qt.New(t)
	e := newEndpoint(t, func(conn net.Conn, r *http.Request) bool {
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nName: %s\r\nSeal: s\r\nCold: 1h\r\nConnection: close\r\nContent-Length: 0\r\n\r\n", r.Header.Get("Name"))

		return false
	})
	var ahead, delay atomic.Int64
	s := startWith(t, func(f *Forwarder) {
		f.opts.Clock = func() time.Time { return time.Now().Add(time.Duration(ahead.Load())) }
		control := f.pool.dialer.Control
		f.pool.dialer.Control = func(network, address string, conn syscall.RawConn) error {
			ahead.Add(delay.Swap(0))

			return control(network, address, conn)
		}
	}, e)
	defer s.stop()
	status := func(name string) int {
		caller := s.dial(c)
		caller.send("GET", "/safe/", name, "")
		resp, _, err := caller.receive()
		c.Assert(err, qt.IsNil)

		return resp.StatusCode
	}
	c.Assert(status("r0"), qt.Equals, 200)
	// The endpoint may now get one request in a second. The first is held up for longer.
	ahead.Add(int64(2 * time.Second))
	delay.Store(int64(2 * time.Second))
	c.Check(status("r1"), qt.Equals, 200)
	c.Check(status("r2"), qt.Equals, 503)
	c.Check(e.requests(), qt.HasLen, 2)
}
