package forwarder

import (
	"errors"
	"net"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sys/unix"

	"snipedyke/internal/dispatcher"
)

// Guards against a truncated response without a length that is taken for complete: its
// connection was reset while the process did not run, past the time limit of the read.
func TestResetPastTheTimeLimitIsReported(t *testing.T) {
	c := qt.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer func() { _ = ln.Close() }()
	conn, err := newPool(1).dial(ln.Addr().(*net.TCPAddr).AddrPort())
	c.Assert(err, qt.IsNil)
	defer func() { _ = conn.Close() }()
	remote, err := ln.Accept()
	c.Assert(err, qt.IsNil)
	arrived := false
	ec := &endpointConn{Conn: conn, onTimeout: func(b bool) bool {
		arrived = b

		return conn.SetDeadline(time.Now().Add(longWait)) == nil
	}}
	c.Assert(conn.SetDeadline(expiredDeadline), qt.IsNil)
	c.Assert(remote.(*net.TCPConn).SetLinger(0), qt.IsNil)
	c.Assert(remote.Close(), qt.IsNil)
	var n int
	c.Assert(dispatcher.RawConn(conn).Control(func(fd uintptr) {
		err = unix.EINTR
		for errors.Is(err, unix.EINTR) {
			n, err = unix.Poll([]unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}, int(longWait.Milliseconds()))
		}
	}), qt.IsNil)
	c.Assert(err, qt.IsNil)
	c.Assert(n, qt.Equals, 1)
	_, err = ec.Read(make([]byte, 1))
	c.Check(err, qt.ErrorIs, syscall.ECONNRESET)
	c.Check(arrived, qt.IsTrue)
}
