package forwarder

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"

	qt "github.com/frankban/quicktest"
)

// invalidStatusLines are status lines of malformed responses.
var invalidStatusLines = []string{
	"HTTP/1.1 000 X", "HTTP/1.1 099 X", "HTTP/1.1 600 X", "HTTP/1.1 999 X", "HTTP/1.0 000 X", "HTTP/1.1 000",
	"HTTP/1.1 099", "HTTP/1.1  200 X", "HTTP/2.0 200 X", "HTTP/1.1 200\tX", "HTTP/1.1 20 X", "HTTP/1.1 2000 X",
	"HTTP/1.1 200 O\x00K", "HTTP/1.1 200 \x01", "HTTP/1.1 200 O\rK", "HTTP/1.1 200 OK\x7f", "HTTP/1.0 200 O\x1bK",
	"HTTP/1.1 101 X", "HTTP/1.1 103 X\r\n\r\nHTTP/1.1 000 X",
}

// sealed returns a response with the status line, a length and the seal.
func sealed(statusLine, body string) string {
	return fmt.Sprintf("%s\r\nName: r\r\nSeal: s\r\nContent-Length: %d\r\n\r\n%s", statusLine, len(body), body)
}

// Guards against a response with an invalid status line that reaches the caller: the parser
// reports the status 000 as 200, and passes 600, 999 and control bytes on.
func TestInvalidStatusIsRefused(t *testing.T) {
	c := qt.New(t)
	var line string
	s := start(t, newEndpoint(t, func(conn net.Conn, _ *http.Request) bool {
		_, _ = io.WriteString(conn, sealed(line, events(1, 2)))

		return false
	}))
	for _, line = range invalidStatusLines {
		for _, path := range []string{"/unsafe/x", "/stream/x"} {
			call := s.dial(c)
			call.send("POST", path, "r", "")
			resp, body, err := call.receive()
			c.Assert(err, qt.IsNil)
			c.Check(resp.StatusCode, qt.Equals, 502, qt.Commentf("%s: %q: body %q", path, line, body))
		}
	}
}

// Guards against an invalid status that ends a request which another endpoint can
// answer, and against a second attempt of one that must not run twice.
func TestInvalidStatusIsRetriedWhereAllowed(t *testing.T) {
	for path, retried := range map[string]bool{"/safe/x": true, "/resume/x": true, "/stream/x": false, "/unsafe/x": false} {
		for _, line := range []string{"HTTP/1.1 000 X", "HTTP/1.1 999 X"} {
			c := qt.New(t)
			var attempts atomic.Int32
			h := func(conn net.Conn, _ *http.Request) bool {
				if attempts.Add(1) == 1 {
					_, _ = io.WriteString(conn, sealed(line, events(1, 2)))
				} else {
					_, _ = io.WriteString(conn, sealed("HTTP/1.1 200 OK", events(1, 3)))
				}

				return false
			}
			call := start(t, newEndpoint(t, h), newEndpoint(t, h)).dial(c)
			call.send("POST", path, "r", "")
			resp, body, err := call.receive()
			c.Assert(err, qt.IsNil)
			if retried {
				c.Check(resp.StatusCode, qt.Equals, 200, qt.Commentf("%s: %q", path, line))
				c.Check(body, qt.Equals, events(1, 3))
			} else {
				c.Check(resp.StatusCode, qt.Equals, 502, qt.Commentf("%s: %q", path, line))
				c.Check(attempts.Load(), qt.Equals, int32(1))
			}
		}
	}
}

// Guards against the refusal of valid responses.
func TestValidStatusIsRelayed(t *testing.T) {
	c := qt.New(t)
	var line string
	s := start(t, newEndpoint(t, func(conn net.Conn, _ *http.Request) bool {
		_, err := io.WriteString(conn, sealed(line, "body"))

		return err == nil
	}))
	for _, status := range []int{200, 201, 299, 302, 399, 400, 404, 499, 500, 503, 599} {
		for _, format := range []string{"HTTP/1.1 %d X", "HTTP/1.0 %d X", "HTTP/1.1 %d", "HTTP/1.1 %d ", "\r\nHTTP/1.1 %d X", "HTTP/1.1 103 X\r\n\r\nHTTP/1.1 %d X"} {
			line = fmt.Sprintf(format, status)
			call := s.dial(c)
			call.send("POST", "/unsafe/x", "r", "")
			resp, body, err := call.receive()
			c.Assert(err, qt.IsNil)
			c.Check(resp.StatusCode, qt.Equals, status, qt.Commentf("%q", line))
			c.Check(body, qt.Equals, "body", qt.Commentf("%q", line))
		}
	}
}

// newResettingEndpoint returns an endpoint that reads a part of each request body,
// sends the response and resets the connection. Its receive buffer is small, so that
// the rest of the body is still being written.
func newResettingEndpoint(t *testing.T, part *int, response *string) *endpoint {
	config := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) { _ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4<<10) })
	}}
	ln, err := config.Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			if r, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
				_, _ = io.CopyN(io.Discard, r.Body, int64(*part))
				_, _ = io.WriteString(conn, *response)
			}
			_ = conn.(*net.TCPConn).SetLinger(0)
			_ = conn.Close()
		}
	}()

	return &endpoint{addr: ln.Addr().(*net.TCPAddr).AddrPort()}
}

// Guards against an early response without a length that is taken for complete after
// a reset: a write that has failed consumes the error, and reads then report the
// regular end of the connection.
func TestEarlyResponseThatIsResetIsNotComplete(t *testing.T) {
	c := qt.New(t)
	var part int
	var response string
	s := start(t, newResettingEndpoint(t, &part, &response))
	for _, upload := range []int{20 << 10, 1 << 20} {
		for _, part = range []int{0, 4 << 10} {
			for _, fields := range []string{"", "Connection: close\r\n"} {
				for _, path := range []string{"/unsafe/x", "/stream/x"} {
					response = sealedHead + fields + "\r\n" + events(1, 4)
					call := s.dial(c)
					go call.send("POST", path, "r", strings.Repeat("x", upload))
					resp, body, err := call.receive()
					c.Assert(resp, qt.IsNotNil, qt.Commentf("%v", err))
					c.Check(resp.StatusCode == 502 || err != nil, qt.IsTrue,
						qt.Commentf("%s, %q, reset after %d of %d bytes: %s, %d bytes", path, fields, part, upload, resp.Status, len(body)))
				}
			}
		}
	}
}
