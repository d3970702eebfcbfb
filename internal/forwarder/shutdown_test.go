package forwarder

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"snipedyke/internal/logger"
)

// Guards against a shutdown that cuts off a response that is still being written
// to a slow caller.
func TestShutdownWaitsForResponsesToBeWritten(t *testing.T) {
	c := qt.New(t)
	// The response is larger than the socket buffers.
	large := strings.Repeat("x", 12<<20)
	s := start(t, newEndpoint(t, func(conn net.Conn, r *http.Request) bool { return reply(conn, r, 200, large) }))
	idle, slow := s.dial(c), s.dial(c)
	c.Assert(slow.Conn.(*net.TCPConn).SetReadBuffer(16<<10), qt.IsNil)
	slow.send("GET", "/safe/x", "r1", "")
	_, err := slow.br.Peek(1)
	c.Assert(err, qt.IsNil)
	s.stop()
	_, err = idle.Read(make([]byte, 1))
	c.Assert(err, qt.Equals, io.EOF)
	select {
	case err := <-s.done:
		c.Errorf("the shutdown ended before the response was written: %v", err)
	default:
	}
	_, body, err := slow.receive()
	c.Assert(err, qt.IsNil)
	c.Check(len(body), qt.Equals, len(large))
	c.Check(<-s.done, qt.IsNil)
}

// Guards against a response that is lost because the connection is reset, when
// the caller has sent another request before it learned that the node closes the
// connection.
func TestUnreadRequestDoesNotResetTheResponse(t *testing.T) {
	c := qt.New(t)
	// The response fits into the socket buffer of the node, but not into that of
	// the caller.
	large := strings.Repeat("x", 1<<20)
	working, finish := make(chan bool), make(chan bool)
	s := start(t, newEndpoint(t, func(conn net.Conn, r *http.Request) bool {
		working <- true
		<-finish

		return reply(conn, r, 200, large)
	}))
	call := s.dial(c)
	c.Assert(call.Conn.(*net.TCPConn).SetReadBuffer(16<<10), qt.IsNil)
	call.send("GET", "/safe/x", "r1", "")
	<-working
	call.send("GET", "/safe/x", "r2", "")
	s.stop()
	for s.Ready() {
		continue
	}
	finish <- true
	// The node has closed the connection by then.
	c.Check(<-s.done, qt.IsNil)
	_, body, err := call.receive()
	c.Assert(err, qt.IsNil)
	c.Check(len(body), qt.Equals, len(large))
}

// interruptedConn calls onRead after it has read data, before Read returns.
type interruptedConn struct {
	net.Conn
	onRead func()
}

func (c interruptedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.onRead()

	return n, err
}

// Guards against a request that is served although its connection has been
// closed as idle.
func TestRequestOnClosedConnectionIsNotServed(t *testing.T) {
	c := qt.New(t)
	caller, accepted := net.Pipe()
	l := &listener{conns: map[*callerConn]struct{}{}}
	conn := &callerConn{Conn: interruptedConn{accepted, func() { l.closeIdle() }}, listener: l}
	l.conns[conn] = struct{}{}
	go func() { _, _ = io.WriteString(caller, "GET /safe/x HTTP/1.1\r\n") }()
	n, err := conn.Read(make([]byte, 1024))
	c.Check(n, qt.Equals, 0)
	c.Check(err, qt.ErrorIs, net.ErrClosed)
}

// Guards against a caller that connects just before the listener is closed and
// whose connection is closed before its request can arrive.
func TestNewConnectionsAwaitTheirFirstRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		l := &listener{conns: map[*callerConn]struct{}{}}
		caller, accepted := net.Pipe()
		conn := &callerConn{Conn: accepted, listener: l, acceptedAt: time.Now()}
		l.conns[conn] = struct{}{}
		c.Check(l.closeIdle(), qt.Equals, 1)
		time.Sleep(minConnAge)
		c.Check(l.closeIdle(), qt.Equals, 0)
		_, err := caller.Write([]byte("GET"))
		c.Check(err, qt.IsNotNil)
	})
}

// eventCounter counts log events by number.
type eventCounter struct {
	mu     sync.Mutex
	counts map[int]int
}

func (e *eventCounter) Event(number int, _ ...any) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.counts[number]++
}

// Guards against a shutdown that cuts off a request without a trace in the log. Only
// a stream that has begun cannot be answered with an error.
func TestShutdownLogsConnectionsItCutsOff(t *testing.T) {
	c := qt.New(t)
	finish := make(chan bool)
	defer close(finish)
	s := start(t, newEndpoint(t, func(conn net.Conn, r *http.Request) bool {
		stream(conn, r, events(1, 1))

		return <-finish
	}))
	counter := &eventCounter{counts: map[int]int{}}
	s.opts.Logger, s.opts.GracePeriod = counter, drainDelay
	call := s.dial(c)
	call.send("POST", "/stream/x", "r1", "")
	_, err := call.br.Peek(1)
	c.Assert(err, qt.IsNil)
	s.stop()
	c.Check(<-s.done, qt.IsNil)
	counter.mu.Lock()
	defer counter.mu.Unlock()
	c.Check(counter.counts[logger.ShutdownCutOff], qt.Equals, 1)
	c.Check(counter.counts[logger.RequestCutOff], qt.Equals, 1)
}

// lateListener returns the connection that it accepts only after it has been
// closed.
type lateListener struct {
	net.Listener
	closed chan struct{}
}

func (l *lateListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err == nil {
		<-l.closed
		// The shutdown goes on.
		<-time.After(5 * tickInterval)
	}

	return conn, err
}

func (l *lateListener) Close() error {
	close(l.closed)

	return l.Listener.Close()
}

// Guards against a shutdown that ends before it has served the connection that
// was accepted last.
func TestShutdownWaitsForConnectionAcceptedLast(t *testing.T) {
	c := qt.New(t)
	working, finish := make(chan bool), make(chan bool)
	s := startWith(t, func(f *Forwarder) {
		f.listener.Listener = &lateListener{f.listener.Listener, make(chan struct{})}
	}, newEndpoint(t, func(conn net.Conn, r *http.Request) bool {
		working <- true
		<-finish

		return respondOK(conn, r)
	}))
	call := s.dial(c)
	call.send("POST", "/unsafe/x", "r1", "")
	s.stop()
	<-working
	select {
	case err := <-s.done:
		c.Fatalf("the shutdown ended with a request in progress: %v", err)
	case <-time.After(10 * tickInterval):
	}
	close(finish)
	_, body, err := call.receive()
	c.Assert(err, qt.IsNil)
	c.Check(body, qt.Equals, "answer to r1")
	c.Check(<-s.done, qt.IsNil)
}

// Guards against a request that is sent to an endpoint late in a shutdown, on a
// connection whose stream began before it, and that is cut off at its end.
func TestStreamAtShutdownIsTheLastResponse(t *testing.T) {
	c := qt.New(t)
	working, finish := make(chan bool), make(chan bool)
	e := newEndpoint(t, func(conn net.Conn, r *http.Request) bool {
		stream(conn, r, events(1, 1))
		if r.Header.Get("Name") == "r1" {
			working <- true
			<-finish
		}
		chunk(conn, events(2, 2))
		_, err := io.WriteString(conn, "0\r\n\r\n")

		return err == nil
	})
	s := start(t, e)
	call := s.dial(c)
	call.send("POST", "/stream/x", "r1", "")
	<-working
	idle := s.dial(c)
	s.stop()
	// The listener has been closed once idle connections are.
	_, err := idle.Read(make([]byte, 1))
	c.Assert(err, qt.Equals, io.EOF)
	call.send("POST", "/stream/x", "r2", "")
	close(finish)
	_, body, err := call.receive()
	c.Assert(err, qt.IsNil)
	c.Check(body, qt.Equals, events(1, 2))
	c.Check(<-s.done, qt.IsNil)
	c.Check(e.requests(), qt.HasLen, 1)
}

// Guards against requests that are lost at a shutdown: each one that reaches an
// endpoint is answered. Half of the callers go on after "Connection: close".
func TestShutdownUnderLoadLosesNoRequest(t *testing.T) {
	c := qt.New(t)
	var received sync.Map
	busy := make(chan bool, 1)
	s := start(t, newEndpoint(t, func(conn net.Conn, r *http.Request) bool {
		received.Store(r.Header.Get("Name"), true)
		select {
		case busy <- true:
		default:
		}
		<-time.After(3 * time.Millisecond)

		return respondOK(conn, r)
	}))
	var wg sync.WaitGroup
	for i := range 24 {
		wg.Go(func() {
			sent := 0
			for {
				conn, err := net.Dial("tcp", s.Addr().String())
				if err != nil {
					return
				}
				call := &caller{conn, bufio.NewReader(conn)}
				for err == nil {
					sent++
					name := fmt.Sprint(i, "-", sent)
					call.send("POST", "/unsafe/x", name, "body")
					var resp *http.Response
					if resp, _, err = call.receive(); err != nil {
						if _, lost := received.Load(name); lost {
							c.Errorf("request %s: %v", name, err)
						}
					} else if resp.Close && i%2 == 0 {
						break
					}
				}
				_ = conn.Close()
			}
		})
	}
	<-busy
	s.stop()
	c.Check(<-s.done, qt.IsNil)
	wg.Wait()
}
