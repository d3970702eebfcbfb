// Package acceptor accepts connections and outlasts errors that prevent it for a
// time, such as a lack of file descriptors. HTTP servers take each of them as
// the end of the listener.
package acceptor

import (
	"errors"
	"net"
	"sync"
	"time"

	"snipedyke/internal/logger"
)

// Logger writes numbered log events.
type Logger interface {
	// Event writes an event. The args alternate between keys and values.
	Event(number int, args ...any)
}

// The delay after a failure grows from minDelay to maxDelay.
const (
	minDelay = 5 * time.Millisecond
	maxDelay = 100 * time.Millisecond
)

// Listener is a net.Listener whose Accept fails only once it is closed.
type Listener struct {
	net.Listener
	name   string
	logger Logger

	closeOnce sync.Once
	// closed is closed by Close.
	closed chan struct{}
}

// New returns a listener that accepts the connections of ln. The name is that of
// the listener in log events.
func New(ln net.Listener, name string, l Logger) *Listener {
	return &Listener{Listener: ln, name: name, logger: l, closed: make(chan struct{})}
}

// Accept implements net.Listener. The error wraps net.ErrClosed.
func (l *Listener) Accept() (net.Conn, error) {
	for delay := minDelay; ; delay = min(2*delay, maxDelay) {
		conn, err := l.Listener.Accept()
		if err == nil || errors.Is(err, net.ErrClosed) {
			return conn, err
		}
		l.logger.Event(logger.AcceptFailed, "listener", l.name, "error", err.Error())
		select {
		case <-l.closed:
		case <-time.After(delay):
		}
	}
}

// Close implements net.Listener.
func (l *Listener) Close() error {
	l.closeOnce.Do(func() { close(l.closed) })

	return l.Listener.Close()
}
