package forwarder

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// listener wraps the connections of callers and knows which are idle.
type listener struct {
	net.Listener

	mu    sync.Mutex
	conns map[*callerConn]struct{}
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &callerConn{Conn: conn, listener: l}
	l.mu.Lock()
	l.conns[c] = struct{}{}
	l.mu.Unlock()

	return c, nil
}

// closeIdle closes the connections that have no request.
func (l *listener) closeIdle() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		if !c.busy.Load() {
			_ = c.Conn.Close()
		}
	}
}

// callerConn is the connection of a caller. While a request is served it reads
// ahead, as the HTTP server does not notice that the caller has left.
type callerConn struct {
	net.Conn
	listener *listener
	// busy tells that a request is being read or served.
	busy atomic.Bool

	// ahead holds a byte that was read while a request was served.
	ahead [1]byte
	full  bool
	// watched is closed when the reading ahead has ended, or nil.
	watched chan struct{}
}

// Read implements net.Conn.
func (c *callerConn) Read(p []byte) (int, error) {
	if len(p) > 0 && c.full {
		c.full = false
		p[0] = c.ahead[0]

		return 1, nil
	}
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.busy.Store(true)
	}

	return n, err
}

// Close implements net.Conn.
func (c *callerConn) Close() error {
	c.listener.mu.Lock()
	delete(c.listener.conns, c)
	c.listener.mu.Unlock()

	return c.Conn.Close()
}

// watch calls gone if the caller leaves before unwatch.
func (c *callerConn) watch(gone func()) {
	if c.full {
		return
	}
	done := make(chan struct{})
	c.watched = done
	_ = c.SetReadDeadline(time.Time{})
	go func() {
		defer close(done)
		n, err := c.Conn.Read(c.ahead[:])
		if n > 0 {
			c.full = true

			return
		}
		if err != nil && !isTimeout(err) {
			gone()
		}
	}()
}

// past is a deadline that ends a read at once.
var past = time.Unix(1, 0)

// unwatch ends watch. The connection is idle afterwards.
func (c *callerConn) unwatch() {
	if c.watched != nil {
		_ = c.SetReadDeadline(past)
		<-c.watched
		c.watched = nil
		_ = c.SetReadDeadline(time.Time{})
	}
	c.busy.Store(c.full)
}
