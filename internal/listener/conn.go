package listener

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"

	"snipedyke/internal/acceptor"
	"snipedyke/internal/dispatcher"
	"snipedyke/pkg/encoder"
)

// listen listens on the callers' address. The kernel closes connections to hosts
// that no longer respond.
func listen(opts Options) (net.Listener, error) {
	config := net.ListenConfig{KeepAliveConfig: dispatcher.KeepAlive, Control: dispatcher.SetTCPUserTimeout(opts.TCPUserTimeout)}
	ln, err := config.Listen(context.Background(), "tcp", opts.Address.String())
	if err != nil {
		return nil, err
	}

	return &callerListener{Listener: acceptor.New(ln, "callers", opts.Logger), writeTimeout: opts.WriteTimeout, maxOpen: int64(opts.MaxConnections)}, nil
}

// callerListener limits the number of connections and the time of each write.
// The limits of the HTTP server are unsuitable: its connection limit answers in
// a format of its own, and its write timeout applies to a whole answer, whereas
// a stream may take any time.
type callerListener struct {
	net.Listener
	writeTimeout time.Duration
	// maxOpen bounds open, the number of open connections; refusals is the
	// number of refused connections that are still open.
	maxOpen        int64
	open, refusals atomic.Int64
}

const (
	// maxRefusals is the maximum number of refused connections that stay open
	// until their caller has read the answer.
	maxRefusals = 64
	// lingerTimeout is the time that a refused caller has to read the answer.
	lingerTimeout = time.Second
	// maxLingerBytes is the maximum amount of data that is read and discarded
	// from a refused caller.
	maxLingerBytes = 1 << 20
)

// Accept implements net.Listener.
func (l *callerListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.open.Add(1) <= l.maxOpen {
			c := &callerConn{Conn: conn, listener: l}
			c.raw, _ = conn.(*net.TCPConn).SyscallConn()

			return c, nil
		}
		l.open.Add(-1)
		if l.refusals.Add(1) > maxRefusals {
			l.refusals.Add(-1)
			_ = conn.Close()

			continue
		}
		go l.refuse(conn)
	}
}

// refuse answers a connection above the limit. It reads the request header,
// because an earlier request with the same idempotency key may have run. It also
// reads the rest of the request, because closing a connection with unread data
// resets it and can discard the answer.
func (l *callerListener) refuse(conn net.Conn) {
	defer l.refusals.Add(-1)
	defer func() { _ = conn.Close() }()
	if conn.SetDeadline(time.Now().Add(lingerTimeout)) != nil {
		return
	}
	p := problemf(http.StatusServiceUnavailable, CodeConnectionLimit, "this node has too many connections")
	var header fasthttp.RequestHeader
	if err := header.Read(bufio.NewReader(conn)); err != nil || len(header.Peek(headerIdempotencyKey)) > 0 {
		p.Run = encoder.MayHaveRun
	}
	body := p.appendBody(nil)
	if _, err := fmt.Fprintf(conn, "HTTP/1.1 %d Service Unavailable\r\nContent-Type: application/json\r\n"+
		"%s: %s\r\nRetry-After: 1\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s",
		p.Status, dispatcher.HeaderRun, RunHeaderValue(p.Run), len(body), body); err != nil {
		return
	}
	if conn.(*net.TCPConn).CloseWrite() == nil {
		_, _ = io.CopyN(io.Discard, conn, maxLingerBytes)
	}
}

// callerConn is a caller's connection with a timeout for each write.
type callerConn struct {
	net.Conn
	listener *callerListener
	raw      syscall.RawConn
	closed   atomic.Bool
	// writeDeadline is extended in steps rather than at each write, because a
	// stream has many small writes.
	writeDeadline time.Time
}

// Write implements net.Conn.
func (c *callerConn) Write(b []byte) (int, error) {
	timeout, now := c.listener.writeTimeout, time.Now()
	if now.Add(timeout).After(c.writeDeadline) {
		c.writeDeadline = now.Add(timeout + timeout/16)
		if err := c.SetWriteDeadline(c.writeDeadline); err != nil {
			return 0, err
		}
	}

	return c.Conn.Write(b)
}

// Close implements net.Conn.
func (c *callerConn) Close() error {
	if !c.closed.Swap(true) {
		c.listener.open.Add(-1)
	}

	return c.Conn.Close()
}

// SyscallConn implements syscall.Conn.
func (c *callerConn) SyscallConn() (syscall.RawConn, error) {
	if c.raw == nil {
		return nil, syscall.EINVAL
	}

	return c.raw, nil
}
