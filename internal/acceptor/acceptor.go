// Package acceptor accepts connections and outlasts errors that prevent it for a
// time, such as a lack of file descriptors. HTTP servers take each of them as
// the end of the listener.
package acceptor

import (
	"errors"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

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

	// drainUntil is the time until which connections that are waiting are accepted
	// before the listener is closed, in Unix nanoseconds, or zero.
	drainUntil atomic.Int64

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
		if until := l.drainUntil.Load(); until != 0 && errors.Is(err, os.ErrDeadlineExceeded) {
			if time.Now().UnixNano() >= until || !l.connectionWaits() || l.setDeadline(time.Now().Add(drainStep)) != nil {
				_ = l.Close()

				return nil, net.ErrClosed
			}
			delay = minDelay

			continue
		}
		l.logger.Event(logger.AcceptFailed, "listener", l.name, "error", err.Error())
		select {
		case <-l.closed:
		case <-time.After(delay):
		}
	}
}

// drainStep is the time for which a connection that is waiting is awaited.
const drainStep = 10 * time.Millisecond

// deadliner is a listener whose Accept has a deadline.
type deadliner interface{ SetDeadline(t time.Time) error }

func (l *Listener) setDeadline(t time.Time) error {
	d, ok := l.Listener.(deadliner)
	if !ok {
		return errors.ErrUnsupported
	}

	return d.SetDeadline(t)
}

// Drain closes the listener once Accept has returned the connections that are
// established but not yet accepted, or after the limit. Closing it at once would reset
// them, with the requests that they carry.
func (l *Listener) Drain(limit time.Duration) {
	l.drainUntil.Store(time.Now().Add(limit).UnixNano())
	// This ends the call of Accept in progress.
	if l.setDeadline(time.Unix(1, 0)) != nil {
		_ = l.Close()
	}
}

// connectionWaits reports whether a connection can be accepted at once.
func (l *Listener) connectionWaits() bool {
	sc, ok := l.Listener.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	ready := 0
	err = raw.Control(func(fd uintptr) {
		// A failure counts as no connection.
		ready, _ = unix.Poll([]unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}, 0)
	})

	return err == nil && ready > 0
}

// Close implements net.Listener.
func (l *Listener) Close() error {
	l.closeOnce.Do(func() { close(l.closed) })

	return l.Listener.Close()
}
