package forwarder

import (
	"bufio"
	"io"
	"net"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/valyala/fasthttp"
)

// Guards against idle connections to many endpoints that use up the descriptors
// of the process.
func TestIdleConnectionsAreLimitedInTotal(t *testing.T) {
	c := qt.New(t)
	p := newPool(3)
	now := time.Now()
	address := func(i int) netip.AddrPort { return netip.AddrPortFrom(netip.IPv4Unspecified(), uint16(i)) }
	var endpoints [5]net.Conn
	for i := range endpoints {
		conn, endpoint := net.Pipe()
		endpoints[i] = endpoint
		p.put(address(i), &endpointConn{Conn: conn, address: address(i), br: bufio.NewReader(conn)}, now, &fasthttp.ResponseHeader{}, 8)
	}
	for i, endpoint := range endpoints[:2] {
		c.Assert(p.pop(address(i)), qt.IsNil)
		_, err := endpoint.Read(make([]byte, 1))
		c.Check(err, qt.Equals, io.EOF)
	}
	for i := 2; i < 5; i++ {
		c.Check(p.pop(address(i)), qt.IsNotNil)
	}
	c.Check(p.byAge.Len(), qt.Equals, 0)
}
