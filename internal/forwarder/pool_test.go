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

// Guards against sets of open connections that are kept for addresses that are no longer used.
func TestClosedConnectionsAreForgotten(t *testing.T) {
	c := qt.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer func() { _ = ln.Close() }()
	address := ln.Addr().(*net.TCPAddr).AddrPort()
	p := newPool(1)
	for range 3 {
		conn, err := p.connect(address)
		c.Assert(err, qt.IsNil)
		c.Check(p.connected(address, time.Now()), qt.IsTrue)
		p.put(address, conn, time.Now(), &fasthttp.ResponseHeader{}, 8)
	}
	c.Check(p.open[address], qt.HasLen, 1)
	p.closeIdle(address)
	c.Check(p.connected(address, time.Now()), qt.IsFalse)
	c.Check(p.open, qt.HasLen, 0)
}
