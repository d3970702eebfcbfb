package forwarder

import (
	"bufio"
	"container/list"
	"context"
	"errors"
	"net"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"snipedyke/internal/dispatcher"
)

const (
	// dialTimeout limits the time to connect. Connecting takes a few
	// milliseconds, and a lost SYN packet is retransmitted only after a second.
	dialTimeout = 250 * time.Millisecond
	// lateDial is the delay of a timeout from which the process is taken to have
	// been suspended.
	lateDial = 20 * time.Millisecond
	// unackedTimeout is the maximum time that sent data may remain unacknowledged
	// by the endpoint's host. A sound host may be silent for a second or so, and
	// retransmissions may take as long again to get through.
	unackedTimeout = 3 * time.Second
	// defaultKeepAlive is the time that an idle connection is kept if its
	// endpoint states none. If it states one, the connection is closed
	// keepAliveMargin earlier.
	defaultKeepAlive = 4 * time.Second
	keepAliveMargin  = time.Second
	// maxIdleUnrepeatable is the maximum idle time of a connection that is reused
	// for a request that must not run twice. The longer a connection has been
	// idle, the more likely the endpoint is just closing it.
	maxIdleUnrepeatable = 500 * time.Millisecond
	// readBufferBytes is the size of the read buffer of a connection to an endpoint.
	readBufferBytes = 16 << 10
)

// endpointConn is a connection to an endpoint.
type endpointConn struct {
	net.Conn
	// pool is the pool that has opened the connection, at openedAt.
	pool     *pool
	openedAt time.Time
	address  netip.AddrPort
	br       *bufio.Reader
	// onTimeout reports whether a read or write that has exceeded its deadline
	// goes on. arrived reports whether a read would return at once. It is nil while
	// the connection is idle.
	onTimeout func(arrived bool) bool
	// lastUsed is the time at which the last response ended. idleTimeout is the
	// time that the connection may be kept idle.
	lastUsed    time.Time
	idleTimeout time.Duration
	// reused reports whether the connection has carried a request before the present
	// attempt. One that was opened for a check has not.
	reused bool
	// element is the connection's element in pool.byAge while it is idle.
	element *list.Element
}

// Read implements io.Reader. It is the source of br, since readers of HTTP cannot
// go on after a timeout.
func (c *endpointConn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		// A read after the deadline fails without trying the socket, which may
		// hold data that arrived in time if the process did not run meanwhile.
		if n > 0 || !isTimeout(err) || !c.goesOn(socketState(c.Conn) != dispatcher.SocketIdle) {
			return n, err
		}
	}
}

// Write implements io.Writer.
func (c *endpointConn) Write(p []byte) (int, error) {
	written := 0
	for {
		n, err := c.Conn.Write(p[written:])
		written += n
		if written == len(p) || !isTimeout(err) || !c.goesOn(false) {
			return written, err
		}
	}
}

// Close implements net.Conn.
func (c *endpointConn) Close() error {
	if c.pool != nil {
		c.pool.mu.Lock()
		c.pool.removeOpen(c)
		c.pool.mu.Unlock()
	}

	return c.Conn.Close()
}

func (c *endpointConn) goesOn(arrived bool) bool {
	return c.onTimeout != nil && c.onTimeout(arrived)
}

// socketState returns the state of a connection, even if its deadline has passed
// or another goroutine is reading from it.
func socketState(conn net.Conn) dispatcher.SocketState {
	raw := dispatcher.RawConn(conn)
	if raw == nil {
		return dispatcher.SocketIdle
	}
	state := dispatcher.SocketClosed
	_ = raw.Control(func(fd uintptr) { state = dispatcher.PeekSocket(fd) })

	return state
}

// pool opens connections to endpoints and holds the idle ones.
type pool struct {
	dialer net.Dialer
	// bufferBytes is the size of the read buffer of a connection. It limits the size of a
	// response header.
	bufferBytes int
	// maxTotal is the maximum number of idle connections to all addresses. It is
	// positive.
	maxTotal int

	mu sync.Mutex
	// idle holds the idle connections by address, and byAge the *endpointConn of
	// all of them; both have those that have been idle longest first.
	idle  map[netip.AddrPort][]*endpointConn
	byAge list.List
	// open holds the connections by address that have not been closed, idle or in use. It
	// has no empty sets.
	open map[netip.AddrPort]map[*endpointConn]struct{}
}

func newPool(maxTotal int) *pool {
	return &pool{
		maxTotal: max(maxTotal, 1), bufferBytes: readBufferBytes,
		idle: map[netip.AddrPort][]*endpointConn{},
		open: map[netip.AddrPort]map[*endpointConn]struct{}{},
		dialer: net.Dialer{
			Timeout: dialTimeout,
			Control: dispatcher.SetTCPUserTimeout(unackedTimeout),
			// Keep-alive probes detect the loss of the endpoint's host while a
			// response is awaited, after unackedTimeout without an answer.
			KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 2},
		},
	}
}

// get returns a pooled connection that has been idle for less than maxIdle, or
// a new connection.
func (p *pool) get(address netip.AddrPort, now time.Time, maxIdle time.Duration) (*endpointConn, error) {
	for {
		c := p.pop(address)
		if c == nil {
			break
		}
		// Unread bytes would be read as the next response.
		if now.Sub(c.lastUsed) < min(maxIdle, c.idleTimeout) && dispatcher.ConnState(c.Conn) == dispatcher.SocketIdle {
			return c, nil
		}
		_ = c.Close()
	}

	return p.connect(address)
}

// connect returns a new connection.
func (p *pool) connect(address netip.AddrPort) (*endpointConn, error) {
	conn, err := p.dial(address)
	if err != nil {
		return nil, err
	}

	return p.add(conn, address), nil
}

// connectOnce is like connect, but ends with ctx and does not repeat a late dial.
func (p *pool) connectOnce(ctx context.Context, address netip.AddrPort) (*endpointConn, error) {
	conn, err := p.dialer.DialContext(ctx, "tcp", address.String())
	if err != nil {
		return nil, err
	}

	return p.add(conn, address), nil
}

// add adds a new connection.
func (p *pool) add(conn net.Conn, address netip.AddrPort) *endpointConn {
	c := &endpointConn{Conn: conn, pool: p, address: address, openedAt: time.Now()}
	c.br = bufio.NewReaderSize(c, p.bufferBytes)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.open[address] == nil {
		p.open[address] = map[*endpointConn]struct{}{}
	}
	p.open[address][c] = struct{}{}

	return c
}

// removeOpen removes a connection from open. p.mu must be held.
func (p *pool) removeOpen(c *endpointConn) {
	conns := p.open[c.address]
	delete(conns, c)
	if len(conns) == 0 {
		delete(p.open, c.address)
	}
}

// connected reports whether any connection to an address that was opened before the given
// time is open at both ends, as far as is known.
func (p *pool) connected(address netip.AddrPort, opened time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.open[address] {
		if c.openedAt.Before(opened) && !dispatcher.ConnEnded(c.Conn) {
			return true
		}
	}

	return false
}

// dial connects to an address. It repeats a dial that ends much later than its
// timeout: the process did not run for a while, and the dialer reports a timeout
// even if the connection was established meanwhile.
func (p *pool) dial(address netip.AddrPort) (net.Conn, error) {
	start := time.Now()
	conn, err := p.dialer.Dial("tcp", address.String())
	if err != nil && time.Since(start) >= dialTimeout+lateDial {
		return p.dialer.Dial("tcp", address.String())
	}

	return conn, err
}

// pop removes and returns the most recently used connection, or returns nil if
// there is none.
func (p *pool) pop(address netip.AddrPort) *endpointConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := p.idle[address]
	if len(conns) == 0 {
		return nil
	}
	c := conns[len(conns)-1]
	p.idle[address] = conns[:len(conns)-1]
	p.byAge.Remove(c.element)

	return c
}

// put returns a connection to the pool after a complete response. The pool
// keeps at most the given number of idle connections to an address.
func (p *pool) put(address netip.AddrPort, c *endpointConn, now time.Time, h *fasthttp.ResponseHeader, maxIdle int) {
	c.lastUsed, c.idleTimeout, c.onTimeout = now, defaultKeepAlive, nil
	if stated, ok := parseKeepAlive(string(h.Peek("Keep-Alive"))); ok {
		c.idleTimeout = stated - keepAliveMargin
	}
	if c.idleTimeout <= 0 || c.br.Buffered() > 0 || c.SetDeadline(time.Time{}) != nil {
		_ = c.Close()

		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := p.idle[address]
	// Endpoints close the connections that have been idle longest first.
	for len(conns) > 0 && (len(conns) >= maxIdle || now.Sub(conns[0].lastUsed) >= conns[0].idleTimeout) {
		p.closeOldest(address)
		conns = p.idle[address]
	}
	if p.byAge.Len() >= p.maxTotal {
		p.closeOldest(p.byAge.Front().Value.(*endpointConn).address)
	}
	c.element = p.byAge.PushBack(c)
	p.idle[address] = append(p.idle[address], c)
}

// closeOldest closes the connection to the address that has been idle longest.
func (p *pool) closeOldest(address netip.AddrPort) {
	conns := p.idle[address]
	p.byAge.Remove(conns[0].element)
	p.removeOpen(conns[0])
	_ = conns[0].Conn.Close()
	p.idle[address] = conns[1:]
}

// closeIdle closes the idle connections to an address.
func (p *pool) closeIdle(address netip.AddrPort) {
	p.mu.Lock()
	conns := p.idle[address]
	delete(p.idle, address)
	for _, c := range conns {
		p.byAge.Remove(c.element)
	}
	p.mu.Unlock()
	for _, c := range conns {
		_ = c.Close()
	}
}

// parseKeepAlive returns the timeout parameter of a Keep-Alive header field and
// reports whether it is valid.
func parseKeepAlive(field string) (time.Duration, bool) {
	for part := range strings.SplitSeq(field, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if strings.EqualFold(name, "timeout") {
			n, err := strconv.Atoi(value)

			return time.Duration(n) * time.Second, err == nil
		}
	}

	return 0, false
}

func isTimeout(err error) bool { return errors.Is(err, os.ErrDeadlineExceeded) }
