package dispatcher

import (
	"net"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// peekTimeout limits the wait for a state that is expected.
const peekTimeout = 15 * time.Second

// connPair returns the two ends of a connection.
func connPair(c *qt.C) (local, remote *net.TCPConn) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer func() { _ = ln.Close() }()
	conn, err := net.Dial("tcp", ln.Addr().String())
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = conn.Close() })
	accepted, err := ln.Accept()
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = accepted.Close() })

	return conn.(*net.TCPConn), accepted.(*net.TCPConn)
}

// peek returns the state of the socket of a connection.
func peek(c *qt.C, conn *net.TCPConn) SocketState {
	state := SocketIdle
	c.Assert(RawConn(conn).Control(func(fd uintptr) { state = PeekSocket(fd) }), qt.IsNil)

	return state
}

// ended reports whether the peer has ended a connection.
func ended(c *qt.C, conn *net.TCPConn) bool {
	ended := false
	c.Assert(RawConn(conn).Control(func(fd uintptr) { ended = SocketEnded(fd) }), qt.IsNil)

	return ended
}

// awaitState peeks at a connection until it has a state.
func awaitState(c *qt.C, conn *net.TCPConn, want SocketState) {
	for end := time.Now().Add(peekTimeout); peek(c, conn) != want; {
		c.Assert(time.Now().Before(end), qt.IsTrue, qt.Commentf("state %d never seen", want))
	}
}

// Guards against a reset that a look at the socket takes off it, so that the next read
// reports the plain end of a response.
func TestPeekKeepsTheReset(t *testing.T) {
	c := qt.New(t)
	local, remote := connPair(c)
	c.Check(peek(c, local), qt.Equals, SocketIdle)
	_, err := remote.Write([]byte("ab"))
	c.Assert(err, qt.IsNil)
	awaitState(c, local, SocketReadable)
	var b [2]byte
	n, err := local.Read(b[:])
	c.Check(n, qt.Equals, 2)
	c.Assert(err, qt.IsNil)
	c.Assert(remote.SetLinger(0), qt.IsNil)
	c.Assert(remote.Close(), qt.IsNil)
	awaitState(c, local, SocketClosed)
	c.Check(ended(c, local), qt.IsTrue)
	c.Check(ConnState(local), qt.Equals, SocketClosed)
	_, err = local.Read(b[:])
	c.Check(err, qt.ErrorIs, syscall.ECONNRESET)
}

// Guards against unread data that is taken for the end of a connection, or the reverse.
func TestPeekSeesDataBeforeTheEnd(t *testing.T) {
	c := qt.New(t)
	local, remote := connPair(c)
	_, err := remote.Write([]byte("a"))
	c.Assert(err, qt.IsNil)
	c.Assert(remote.CloseWrite(), qt.IsNil)
	for end := time.Now().Add(peekTimeout); !ended(c, local); {
		c.Assert(time.Now().Before(end), qt.IsTrue, qt.Commentf("end never seen"))
	}
	awaitState(c, local, SocketReadable)
	c.Check(ended(c, remote), qt.IsFalse)
	var b [1]byte
	_, err = local.Read(b[:])
	c.Assert(err, qt.IsNil)
	awaitState(c, local, SocketClosed)
}
