package acceptor

import (
	"net"
	"syscall"
	"testing"
	"testing/synctest"

	qt "github.com/frankban/quicktest"
)

// failingListener fails to accept with each of the errors, and then accepts.
type failingListener struct {
	net.Listener
	errs   []error
	closed bool
}

func (l *failingListener) Accept() (net.Conn, error) {
	if l.closed {
		return nil, net.ErrClosed
	}
	if len(l.errs) == 0 {
		return &net.TCPConn{}, nil
	}
	err := l.errs[0]
	l.errs = l.errs[1:]

	return nil, &net.OpError{Op: "accept", Err: err}
}

func (l *failingListener) Close() error {
	l.closed = true

	return nil
}

type eventRecorder []int

func (r *eventRecorder) Event(number int, _ ...any) { *r = append(*r, number) }

// Guards against a listener that ends for good because of an error that passes.
func TestAcceptOutlastsTemporaryErrors(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		inner := &failingListener{errs: []error{
			syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ECONNABORTED, syscall.EPROTO, syscall.ENETDOWN,
		}}
		var events eventRecorder
		conn, err := New(inner, "callers", &events).Accept()
		c.Assert(err, qt.IsNil)
		c.Check(conn, qt.IsNotNil)
		c.Check(events, qt.DeepEquals, eventRecorder{730, 730, 730, 730, 730, 730, 730})
	})
}

// closingLogger closes the listener when an event is written.
type closingLogger struct{ listener *Listener }

func (l *closingLogger) Event(int, ...any) { _ = l.listener.Close() }

// Guards against a shutdown that waits for a listener that cannot accept.
func TestAcceptEndsAtClose(t *testing.T) {
	c := qt.New(t)
	logger := &closingLogger{}
	logger.listener = New(&failingListener{errs: []error{syscall.EMFILE}}, "callers", logger)
	_, err := logger.listener.Accept()
	c.Check(err, qt.ErrorIs, net.ErrClosed)
}
