package forwarder

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// listener accepts the connections of callers and keeps track of which are idle.
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

// closeIdle closes the connections without a request in progress.
func (l *listener) closeIdle() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		if !c.busy.Load() {
			_ = c.Conn.Close()
		}
	}
}

// callerConn is a connection from a caller. While a request is served, it reads
// ahead to detect that the caller has disconnected, which the HTTP server does
// not detect.
type callerConn struct {
	net.Conn
	listener *listener
	// busy reports whether a request is being read or served.
	busy atomic.Bool

	// peeked holds the byte that was read ahead, if hasPeeked is set.
	peeked    [1]byte
	hasPeeked bool
	// watchDone is closed when the read started by watch has returned. It is nil
	// if there is none.
	watchDone chan struct{}
}

// Read implements net.Conn.
func (c *callerConn) Read(p []byte) (int, error) {
	if len(p) > 0 && c.hasPeeked {
		c.hasPeeked = false
		p[0] = c.peeked[0]

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

// watch calls onClose if the caller disconnects before unwatch is called.
func (c *callerConn) watch(onClose func()) {
	if c.hasPeeked {
		return
	}
	done := make(chan struct{})
	c.watchDone = done
	_ = c.SetReadDeadline(time.Time{})
	go func() {
		defer close(done)
		n, err := c.Conn.Read(c.peeked[:])
		if n > 0 {
			c.hasPeeked = true

			return
		}
		if err != nil && !isTimeout(err) {
			onClose()
		}
	}()
}

// expiredDeadline is a deadline in the past, which interrupts a read
// immediately.
var expiredDeadline = time.Unix(1, 0)

// unwatch stops the read started by watch. The connection is idle afterwards
// unless a byte of the next request was read ahead.
func (c *callerConn) unwatch() {
	if c.watchDone != nil {
		_ = c.SetReadDeadline(expiredDeadline)
		<-c.watchDone
		c.watchDone = nil
		_ = c.SetReadDeadline(time.Time{})
	}
	c.busy.Store(c.hasPeeked)
}
