package dispatcher

import (
	"errors"
	"net"
	"os"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// tcpUserTimeout is the socket option TCP_USER_TIMEOUT of Linux, which package
// syscall does not define.
const tcpUserTimeout = 0x12

// SetTCPUserTimeout returns a control function for new sockets that sets
// TCP_USER_TIMEOUT. It bounds the time until a connection to an unreachable host
// fails: keep-alive probes detect that only while no sent data is unacknowledged.
func SetTCPUserTimeout(after time.Duration) func(network, address string, c syscall.RawConn) error {
	return func(_, _ string, c syscall.RawConn) error {
		var failed error
		err := c.Control(func(fd uintptr) {
			failed = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(after.Milliseconds()))
		})

		return errors.Join(err, failed)
	}
}

// KeepAlive is the keep-alive configuration that detects an unreachable peer of
// an idle connection within about 20 s.
var KeepAlive = net.KeepAliveConfig{Enable: true, Idle: 10 * time.Second, Interval: 5 * time.Second, Count: 2}

// ConnState returns the state of a connection without blocking or consuming
// data. While there is unread data, it does not detect that the peer has closed
// the connection.
func ConnState(conn net.Conn) SocketState {
	raw := RawConn(conn)
	if raw == nil {
		return SocketIdle
	}
	state := SocketClosed
	err := raw.Read(func(fd uintptr) bool {
		state = PeekSocket(fd)

		return true
	})
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return SocketIdle
	}

	return state
}

// ConnEnded reports whether the peer has ended a connection, even if there is unread data,
// or the connection has been closed.
func ConnEnded(conn net.Conn) bool {
	raw := RawConn(conn)
	if raw == nil {
		return false
	}
	ended := true
	_ = raw.Control(func(fd uintptr) { ended = SocketEnded(fd) })

	return ended
}

// AwaitEnd waits until the peer has ended a connection, even if there is unread data, and
// reports whether it has. It returns false once the read deadline has passed, or at once if
// conn is no network connection.
func AwaitEnd(conn net.Conn) bool {
	raw := RawConn(conn)
	if raw == nil {
		return false
	}
	err := raw.Read(SocketEnded)

	return err == nil || !errors.Is(err, os.ErrDeadlineExceeded)
}

// RawConn returns the raw network connection of conn, or nil if it has none.
func RawConn(conn net.Conn) syscall.RawConn {
	c, ok := conn.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := c.SyscallConn()
	if err != nil {
		return nil
	}

	return raw
}

// SocketState is the result that a read from a socket would have: no data yet,
// data, or the end of the connection.
type SocketState uint8

// The socket states.
const (
	SocketIdle SocketState = iota
	SocketReadable
	SocketClosed
)

// PeekSocket returns the state of a socket without consuming data or its pending error.
// The kernel reports a reset once: after a recv, even with MSG_PEEK, or getsockopt with
// SO_ERROR, a read returns the plain end.
func PeekSocket(fd uintptr) SocketState {
	if !pollSocket(fd, unix.POLLIN|unix.POLLRDHUP) {
		return SocketIdle
	}
	if unread, err := unix.IoctlGetInt(int(fd), unix.TIOCINQ); err == nil && unread > 0 {
		return SocketReadable
	}

	return SocketClosed
}

// SocketEnded reports whether the peer has ended a connection, even if there is unread data.
// It does not consume the pending error.
func SocketEnded(fd uintptr) bool { return pollSocket(fd, unix.POLLRDHUP) }

// pollSocket reports whether any of the events, an error or a hang-up is pending on a socket.
func pollSocket(fd uintptr, events int16) bool {
	fds := []unix.PollFd{{Fd: int32(fd), Events: events}}
	for {
		n, err := unix.Poll(fds, 0)
		if err != unix.EINTR {
			return err == nil && n == 1
		}
	}
}
