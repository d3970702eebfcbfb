package acceptor

import (
	"errors"
	"io"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

type discardLogger struct{}

func (discardLogger) Event(int, ...any) {}

// Guards against a shutdown that resets connections which callers have established, and
// on which requests are under way, but which the process has not accepted yet.
func TestEstablishedConnectionsAreAcceptedBeforeTheEnd(t *testing.T) {
	c := qt.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	l := New(ln, "callers", discardLogger{})
	const callers = 20
	for range callers {
		conn, err := net.Dial("tcp", ln.Addr().String())
		c.Assert(err, qt.IsNil)
		c.Cleanup(func() { _ = conn.Close() })
		_, err = io.WriteString(conn, "request")
		c.Assert(err, qt.IsNil)
	}
	l.Drain(time.Minute)
	for range callers {
		conn, err := l.Accept()
		c.Assert(err, qt.IsNil)
		request := make([]byte, len("request"))
		_, err = io.ReadFull(conn, request)
		c.Check(err, qt.IsNil)
		c.Check(conn.Close(), qt.IsNil)
	}
	_, err = l.Accept()
	c.Check(errors.Is(err, net.ErrClosed), qt.IsTrue)
	_, err = net.Dial("tcp", ln.Addr().String())
	c.Check(err, qt.IsNotNil)
}

// Guards against a shutdown that does not end while callers go on to connect, or while
// Accept waits for the first connection.
func TestDrainEnds(t *testing.T) {
	c := qt.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	l := New(ln, "callers", discardLogger{})
	done := make(chan error, 1)
	go func() {
		_, err := l.Accept()
		done <- err
	}()
	l.Drain(time.Minute)
	c.Check(errors.Is(<-done, net.ErrClosed), qt.IsTrue)

	ln, err = net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	l = New(ln, "callers", discardLogger{})
	conn, err := net.Dial("tcp", ln.Addr().String())
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = conn.Close() })
	l.Drain(0)
	_, err = l.Accept()
	c.Check(errors.Is(err, net.ErrClosed), qt.IsTrue)
}
