package forwarder

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"snipedyke/internal/dispatcher"
)

// listener accepts the connections of callers, or of other nodes, and keeps track of which are idle.
type listener struct {
	net.Listener
	// nodes reports whether the connections are of other nodes, which hand requests over.
	// limit is the maximum number of connections whose requests are served, or zero if the
	// HTTP server limits them.
	nodes bool
	limit int

	// stopped reports whether connections are closed after their present request.
	stopped atomic.Bool

	mu    sync.Mutex
	conns map[*callerConn]struct{}
}

// maxDrain bounds the time in which connections that callers have established are
// still accepted. Accepting takes that long only on a busy host.
const maxDrain = time.Second

// stop closes the listener after the connections that callers have established are
// accepted. Connections serve their present request, or their first one, and no further
// one.
func (l *listener) stop() {
	l.stopped.Store(true)
	if d, ok := l.Listener.(drainer); ok {
		d.Drain(maxDrain)
	} else {
		_ = l.Close()
	}
}

// drainer is a listener that accepts the connections that are waiting before it closes.
type drainer interface{ Drain(limit time.Duration) }

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &callerConn{Conn: conn, listener: l, acceptedAt: time.Now()}
	l.mu.Lock()
	l.conns[c] = struct{}{}
	c.refused = l.limit > 0 && len(l.conns) > l.limit
	l.mu.Unlock()

	return c, nil
}

// closeIdle closes the idle connections and returns the number of those that
// remain.
func (l *listener) closeIdle() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	remaining := 0
	for c := range l.conns {
		if !c.closeIfIdle() {
			remaining++
		}
	}

	return remaining
}

// connState is the state of a callerConn.
type connState = int32

const (
	// connIdle is a connection without a request: no byte of the next request
	// has been read, and the last response has been written.
	connIdle connState = iota
	// connActive is a connection on which a request is being read or served, or
	// a response is being written.
	connActive
	// connClosed is a connection that was closed while it was idle. Nothing that
	// arrives on it is served.
	connClosed
)

// callerConn is a connection from a caller. While a request is served, it reads
// ahead to detect that the caller has disconnected, which the HTTP server does
// not detect.
type callerConn struct {
	net.Conn
	listener   *listener
	acceptedAt time.Time
	// refused reports whether requests are refused, as there are too many connections.
	refused bool
	// state changes from connIdle by compare-and-swap only, so that a connection
	// is either closed or has its next request served.
	state atomic.Int32
	// awaiting reports whether the HTTP server has written all responses and
	// awaits the first byte of the next request.
	awaiting bool

	// peeked holds the byte that was read ahead, if hasPeeked is set.
	peeked    [1]byte
	hasPeeked bool
	// watchDone is closed when the read started by watch has returned. It is nil
	// if there is none.
	watchDone chan struct{}
}

// ofNode reports whether the connection is of another node.
func (c *callerConn) ofNode() bool { return c.listener.nodes }

// setServerState follows the state that the HTTP server gives the connection.
// With a part of the next request in its buffer, the server may hold a response
// back, but then it becomes active again without a call of Read.
func (c *callerConn) setServerState(state fasthttp.ConnState) {
	c.awaiting = state == fasthttp.StateIdle
}

// Read implements net.Conn.
func (c *callerConn) Read(p []byte) (int, error) {
	if c.awaiting && c.listener.stopped.Load() {
		// The response may have begun before the shutdown and lack
		// "Connection: close".
		return 0, io.EOF
	}
	if len(p) > 0 && c.hasPeeked {
		c.hasPeeked = false
		p[0] = c.peeked[0]

		return 1, nil
	}
	if c.awaiting {
		c.awaiting = false
		c.state.Store(connIdle)
	}
	n, err := c.Conn.Read(p)
	if n == 0 && isTimeout(err) && c.state.Load() == connIdle {
		// The HTTP server responds with 408 to a new connection without a request.
		return 0, io.EOF
	}
	if n > 0 && !c.state.CompareAndSwap(connIdle, connActive) && c.state.Load() == connClosed {
		return 0, net.ErrClosed
	}

	return n, err
}

// lingerTimeout limits the time to deliver the last response to a caller that
// has sent more than was read.
const lingerTimeout = time.Second

// Close implements net.Conn.
func (c *callerConn) Close() error {
	if c.state.Load() == connActive && socketState(c.Conn) == dispatcher.SocketReadable {
		c.linger()
	}
	c.listener.mu.Lock()
	delete(c.listener.conns, c)
	c.listener.mu.Unlock()

	return c.Conn.Close()
}

// linger ends the output and discards input until the caller closes the
// connection. Closing it with unread bytes would reset it, and discard what the
// caller has not yet received of the last response.
func (c *callerConn) linger() {
	conn, ok := c.Conn.(*net.TCPConn)
	if !ok || conn.CloseWrite() != nil || conn.SetReadDeadline(time.Now().Add(lingerTimeout)) != nil {
		return
	}
	_, _ = io.Copy(io.Discard, conn)
}

// minConnAge is the age from which a connection is closed as idle. Until then,
// its first request may be on its way.
const minConnAge = 250 * time.Millisecond

// closeIfIdle closes the connection if it is idle, and reports whether it is
// closed. A connection with unread bytes is left open: its next request is about
// to be read.
func (c *callerConn) closeIfIdle() bool {
	switch c.state.Load() {
	case connActive:
		return false
	case connClosed:
		return true
	}
	if time.Since(c.acceptedAt) < minConnAge || socketState(c.Conn) == dispatcher.SocketReadable || !c.state.CompareAndSwap(connIdle, connClosed) {
		return false
	}
	_ = c.Conn.Close()

	return true
}

// watch calls onClose if the caller disconnects before unwatch is called.
func (c *callerConn) watch(onClose func()) {
	done := make(chan struct{})
	c.watchDone = done
	_ = c.SetReadDeadline(time.Time{})
	go func() {
		defer close(done)
		if c.awaitClose() {
			onClose()
		}
	}()
}

// awaitClose waits until the caller disconnects, and reports whether it has. It reads at
// most one byte: what follows belongs to the next request and stays in the socket.
func (c *callerConn) awaitClose() bool {
	if !c.hasPeeked {
		n, err := c.Conn.Read(c.peeked[:])
		if n == 0 {
			return err != nil && !isTimeout(err)
		}
		c.hasPeeked = true
	}

	return dispatcher.AwaitEnd(c.Conn)
}

// expiredDeadline is a deadline in the past, which interrupts a read
// immediately.
var expiredDeadline = time.Unix(1, 0)

// unwatch stops the read started by watch.
func (c *callerConn) unwatch() {
	if c.watchDone != nil {
		_ = c.SetReadDeadline(expiredDeadline)
		<-c.watchDone
		c.watchDone = nil
		_ = c.SetReadDeadline(time.Time{})
	}
}
