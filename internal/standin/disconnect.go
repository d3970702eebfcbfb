package standin

import (
	"net"
	"syscall"
)

// isDisconnected reports whether the peer has closed or reset the connection.
// It peeks at the socket, as the HTTP server does not read from it while a
// handler runs.
func isDisconnected(conn net.Conn) bool {
	sc, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return true
	}
	disconnected := false
	err = raw.Read(func(fd uintptr) bool {
		var buf [1]byte
		n, _, err := syscall.Recvfrom(int(fd), buf[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		disconnected = err == nil && n == 0 || err != nil && err != syscall.EAGAIN && err != syscall.EINTR

		return true
	})

	return disconnected || err != nil
}
