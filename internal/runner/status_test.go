package runner

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"snipedyke/internal/reducer"
	"snipedyke/pkg/encoder"
)

// statusCalls are requests of each kind that the dispatcher sends.
var statusCalls = []struct{ method, path, body string }{
	{"POST", "/services/desk/pay", "{}"},
	{"GET", "/services/desk/status", ""},
	{"POST", "/v1/chat/completions", chatBody},
	{"POST", "/v1/chat/completions", streamBody},
}

// withLength returns a response with the status line and a length.
func withLength(statusLine, body string) string {
	return fmt.Sprintf("%s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", statusLine, len(body), body)
}

// A response with an invalid status must not reach the caller: the parser reports the
// status 000 as 200, and passes 600 and 999 on.
func TestInvalidStatusIsRefused(t *testing.T) {
	var line string
	e := startEndpoint(t, func(conn net.Conn, _ *http.Request) {
		send(conn, withLength(line, `{"a":1}`))
		_ = conn.Close()
	})
	n := startNode(t, testCatalogue(e.address(), e.address()), nil)
	for _, line = range []string{
		"HTTP/1.1 000 X", "HTTP/1.1 099 X", "HTTP/1.1 600 X", "HTTP/1.1 999 X", "HTTP/1.0 000 X", "HTTP/1.1 000",
		"HTTP/1.1  200 X", "HTTP/2.0 200 X", "HTTP/1.1 200\tX", "HTTP/1.1 20 X", "HTTP/1.1 2000 X",
		"HTTP/1.1 101 X", "HTTP/1.1 103 X\r\n\r\nHTTP/1.1 000 X",
	} {
		for _, call := range statusCalls {
			resp, body := n.do(t, n.request(t, call.method, call.path, call.body))
			ended := await[reducer.Ended](t, n)
			qt.Check(t, ended.Outcome, qt.Equals, encoder.OutcomeError, qt.Commentf("%s: %q", call.path, line))
			qt.Check(t, ended.Written, qt.IsTrue)
			qt.Check(t, resp.StatusCode, qt.Equals, http.StatusBadGateway, qt.Commentf("%s: %q: body %q", call.path, line, body))
		}
	}
}

// A valid response must not be refused because of its status line.
func TestValidStatusIsRelayed(t *testing.T) {
	var line string
	e := startEndpoint(t, func(conn net.Conn, _ *http.Request) { send(conn, withLength(line, `{"a":1}`)) })
	n := startNode(t, testCatalogue(e.address(), e.address()), nil)
	for _, status := range []int{200, 201, 299, 302, 399, 400, 404, 499, 500, 599} {
		for _, format := range []string{"HTTP/1.1 %d X", "HTTP/1.0 %d X", "HTTP/1.1 %d", "HTTP/1.1 %d ", "\r\nHTTP/1.1 %d X", "HTTP/1.1 103 X\r\n\r\nHTTP/1.1 %d X"} {
			line = fmt.Sprintf(format, status)
			resp, body := n.do(t, n.request(t, "POST", "/services/desk/pay", "{}"))
			qt.Check(t, resp.StatusCode, qt.Equals, status, qt.Commentf("%q", line))
			qt.Check(t, body, qt.Equals, `{"a":1}`, qt.Commentf("%q", line))
		}
	}
}

// startResettingEndpoint starts an endpoint that reads a part of each request body,
// sends the response and resets the connection.
func startResettingEndpoint(t *testing.T, part *int, response *string) netip.AddrPort {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			_ = conn.(*net.TCPConn).SetReadBuffer(4 << 10)
			if r, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
				_, _ = io.CopyN(io.Discard, r.Body, int64(*part))
				send(conn, *response)
			}
			_ = conn.(*net.TCPConn).SetLinger(0)
			_ = conn.Close()
		}
	}()

	return ln.Addr().(*net.TCPAddr).AddrPort()
}

// An early response without a length that is followed by a reset must not be accepted
// as complete: a write that has failed consumes the error, and reads then report the
// regular end of the connection.
func TestEarlyResponseThatIsResetIsNotComplete(t *testing.T) {
	var part int
	var response string
	address := startResettingEndpoint(t, &part, &response)
	n := startNode(t, testCatalogue(address, address), nil)
	for _, upload := range []int{20 << 10, 3 << 20} {
		padding := strings.Repeat("x", upload)
		for _, part = range []int{0, 4 << 10} {
			for _, fields := range []string{"", "Connection: close\r\n"} {
				for _, call := range []struct{ path, body, response string }{
					{"/services/desk/pay", padding, "Content-Type: application/json\r\n\r\n" + `{"a":1}`},
					{"/v1/chat/completions", strings.Replace(chatBody, "hi", padding, 1), "Content-Type: application/json\r\n\r\n" + `{"a":1}`},
					{"/v1/chat/completions", strings.Replace(streamBody, "hi", padding, 1), "Content-Type: text/event-stream\r\n\r\n" + `data: {"choices":[{"delta":{"content":"a"}}]}` + "\n\n"},
				} {
					response = "HTTP/1.1 200 OK\r\n" + fields + call.response
					resp, body := n.do(t, n.request(t, "POST", call.path, call.body))
					outcome := await[reducer.Ended](t, n).Outcome
					comment := qt.Commentf("%s, %q, reset after %d of %d bytes: %s, body %q", call.path, fields, part, upload, resp.Status, body)
					qt.Check(t, outcome == encoder.OutcomeLost || outcome == encoder.OutcomeError, qt.IsTrue, comment)
					qt.Check(t, resp.StatusCode == http.StatusBadGateway || strings.Contains(body, "event: error\n"), qt.IsTrue, comment)
					qt.Check(t, strings.Contains(body, "[DONE]"), qt.IsFalse, comment)
				}
			}
		}
	}
}
