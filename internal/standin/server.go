// Package standin provides stand-ins of the external systems: model engine,
// plain service, configuration service and host list. They implement the
// protocols of these systems over HTTP, simulate faults on request, and log the
// requests that they ran.
package standin

import (
	"fmt"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"
)

const (
	maxBody = 8 << 20
	// reopenDelay is the time between two attempts to listen again after a
	// crash.
	reopenDelay = 20 * time.Millisecond
)

// server is an HTTP server that can simulate a crash and a restart at the same
// address.
type server struct {
	handler fasthttp.RequestHandler
	// onCrash is called when the server crashes, and onOpen when it listens
	// again; both may be nil.
	onCrash func()
	onOpen  func()
	serving conc.WaitGroup

	mu          sync.Mutex
	addr        netip.AddrPort
	listener    net.Listener
	conns       map[*trackedConn]struct{}
	reopenTimer *time.Timer
	closed      bool
}

// start listens on the address; port 0 takes a free port.
func (s *server) start(addr netip.AddrPort) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns = map[*trackedConn]struct{}{}

	return s.listen(addr)
}

// listen must be called with the lock held.
func (s *server) listen(addr netip.AddrPort) error {
	l, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(addr))
	if err != nil {
		return &Error{Op: "listen", Kind: KindAddress, Err: err}
	}
	s.listener = l
	s.addr = l.Addr().(*net.TCPAddr).AddrPort()
	srv := &fasthttp.Server{
		Handler:               s.handler,
		MaxRequestBodySize:    maxBody,
		NoDefaultServerHeader: true,
		Logger:                discardLogger{},
	}
	s.serving.Go(func() {
		// Serve returns only after the listener has been closed.
		_ = srv.Serve(&trackedListener{TCPListener: l, server: s})
	})

	return nil
}

// address returns the address that the server listens on.
func (s *server) address() netip.AddrPort {
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.addr
}

// crash resets all connections and refuses new ones for the given time. It has
// no effect on a server that has crashed and does not listen again yet.
func (s *server) crash(downtime time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || s.reopenTimer != nil {
		return
	}
	// Runs must end as crashed before they see the end of their connections.
	if s.onCrash != nil {
		s.onCrash()
	}
	s.closeConnections()
	s.reopenTimer = time.AfterFunc(downtime, s.reopen)
}

func (s *server) reopen() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return
	}
	if s.listen(s.addr) != nil {
		s.reopenTimer = time.AfterFunc(reopenDelay, s.reopen)

		return
	}
	s.reopenTimer = nil
	if s.onOpen != nil {
		s.onOpen()
	}
}

// closeConnections closes the listener and resets the connections. It must be
// called with the lock held.
func (s *server) closeConnections() {
	if s.listener != nil {
		_ = s.listener.Close()
		s.listener = nil
	}
	for c := range s.conns {
		c.reset()
	}
	clear(s.conns)
}

// close stops the server permanently.
func (s *server) close() {
	s.mu.Lock()
	s.closed = true
	if s.reopenTimer != nil {
		s.reopenTimer.Stop()
	}
	s.closeConnections()
	s.mu.Unlock()
	s.serving.Wait()
}

// trackedListener registers its connections with the server.
type trackedListener struct {
	*net.TCPListener
	server *server
}

// Accept waits for the next connection.
func (l *trackedListener) Accept() (net.Conn, error) {
	c, err := l.AcceptTCP()
	if err != nil {
		return nil, err
	}
	t := &trackedConn{TCPConn: c, server: l.server}
	l.server.mu.Lock()
	defer l.server.mu.Unlock()
	if l.server.listener != l.TCPListener {
		// The server has crashed since it accepted the connection.
		t.reset()

		return t, nil
	}
	l.server.conns[t] = struct{}{}

	return t, nil
}

// trackedConn is a connection that the server can reset.
type trackedConn struct {
	*net.TCPConn
	server *server
}

// reset closes the connection with a TCP reset, as the kernel does for a killed
// process.
func (c *trackedConn) reset() {
	_ = c.SetLinger(0)
	_ = c.TCPConn.Close()
}

// Close closes the connection and removes it from the server.
func (c *trackedConn) Close() error {
	c.server.mu.Lock()
	delete(c.server.conns, c)
	c.server.mu.Unlock()

	return c.TCPConn.Close()
}

// discardLogger discards the log of the HTTP server, which reports broken
// connections. Stand-ins break connections on purpose.
type discardLogger struct{}

// Printf discards the message.
func (discardLogger) Printf(string, ...any) {}

// Kind classifies an Error.
type Kind string

// The kinds of errors.
const (
	KindAddress   Kind = "cannot listen"
	KindControl   Kind = "invalid control"
	KindDocuments Kind = "invalid documents"
	KindName      Kind = "unknown name"
)

// Error is an error of this package.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error returns the operation, the kind and the cause.
func (e *Error) Error() string { return fmt.Sprintf("standin: %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// controlDelay is the time between the handling of a control and the crash that
// it requests. The answer to the control is sent in this time.
const controlDelay = 50 * time.Millisecond

// afterResponse calls f after controlDelay.
func afterResponse(f func()) { time.AfterFunc(controlDelay, f) }
