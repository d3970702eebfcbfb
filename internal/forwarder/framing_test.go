package forwarder

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

const unframedHead = "HTTP/1.1 200 OK\r\nName: r1\r\nSeal: s\r\n\r\n"

// Guards against responses with neither a length nor chunks that are lost, cut
// off, or taken for complete although they end inside an event.
func TestResponsesThatEndWithTheirConnection(t *testing.T) {
	for name, test := range map[string]struct {
		path, body, want string
		complete         bool
	}{
		"plain":         {"/unsafe/x", "the body", "the body", true},
		"stream":        {"/stream/x", events(1, 4), events(1, 4), true},
		"broken stream": {"/stream/x", events(1, 4) + "id: 5\ndata:", events(1, 4), false},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			e := newEndpoint(t, func(conn net.Conn, _ *http.Request) bool {
				_, _ = io.WriteString(conn, unframedHead+test.body)

				return false
			})
			call := start(t, e).dial(c)
			call.send("POST", test.path, "r1", "")
			resp, body, err := call.receive()
			c.Assert(resp, qt.IsNotNil)
			c.Check(resp.StatusCode, qt.Equals, 200)
			c.Check(body, qt.Equals, test.want)
			c.Check(err == nil, qt.Equals, test.complete, qt.Commentf("%v", err))
		})
	}
}

// Guards against a stream that ends as complete although one of its chunks is not
// followed by CRLF.
func TestStreamWithBrokenChunkIsNotComplete(t *testing.T) {
	for _, end := range []string{"\n", "x", "\rx"} {
		c := qt.New(t)
		e := newEndpoint(t, func(conn net.Conn, r *http.Request) bool {
			stream(conn, r)
			_, _ = fmt.Fprintf(conn, "%x\r\n%s%s0\r\n\r\n", len(events(1, 2)), events(1, 2), end)

			return false
		})
		call := start(t, e).dial(c)
		call.send("POST", "/stream/x", "r1", "")
		_, _, err := call.receive()
		c.Check(err, qt.IsNotNil, qt.Commentf("%q", end))
	}
}

// Guards against bytes without end that are read until the caller's time limit
// or into memory without bound.
func TestEndlessResponsesAreCutOff(t *testing.T) {
	for name, test := range map[string]struct{ begin, repeat string }{
		"head":     {"HTTP/1.1 200 OK\r\n", "X-Field: value\r\n"},
		"line":     {"", "x"},
		"body":     {unframedHead, "bytes"},
		"chunks":   {"HTTP/1.1 200 OK\r\nName: r1\r\nSeal: s\r\nTransfer-Encoding: chunked\r\n\r\n", "3e8\r\n" + strings.Repeat("x", 1000) + "\r\n"},
		"trailer":  {"HTTP/1.1 200 OK\r\nName: r1\r\nSeal: s\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X-Field: value\r\n"},
		"informal": {"", "HTTP/1.1 100 Continue\r\n\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			closed := make(chan struct{})
			e := newEndpoint(t, func(conn net.Conn, _ *http.Request) bool {
				defer close(closed)
				block := make([]byte, 0, 64<<10)
				for len(block)+len(test.repeat) <= cap(block) {
					block = append(block, test.repeat...)
				}
				_, err := io.WriteString(conn, test.begin)
				// The bound is four times the largest body that is accepted.
				for sent := 0; err == nil && sent < 4*maxResponseBytes; sent += len(block) {
					_, err = conn.Write(block)
				}
				c.Check(err, qt.IsNotNil, qt.Commentf("the forwarder read all %d bytes", 4*maxResponseBytes))

				return false
			})
			call := start(t, e).dial(c)
			call.send("POST", "/unsafe/x", "r1", "")
			resp, _, err := call.receive()
			c.Assert(err, qt.IsNil)
			c.Check(resp.StatusCode, qt.Equals, 502)
			<-closed
		})
	}
}

// Guards against losing the response of an endpoint that answers before it has
// read the request and closes the connection, and against taking the reset of
// that connection for the end of a response.
func TestEarlyRefusalIsRead(t *testing.T) {
	for name, test := range map[string]struct {
		path, response string
		status         int
	}{
		"refusal":           {"/unsafe/x", "HTTP/1.1 503 Full\r\nName: r1\r\nDeclined: 1\r\nContent-Length: 0\r\n\r\n", 503},
		"answer":            {"/unsafe/x", "HTTP/1.1 400 Bad\r\nName: r1\r\nSeal: s\r\nContent-Length: 3\r\n\r\nbad", 400},
		"cut off":           {"/unsafe/x", "HTTP/1.1 400 Bad\r\nName: r1\r\nSeal: s\r\nContent-Length: 3\r\n\r\nba", 502},
		"without length":    {"/unsafe/x", unframedHead + "body", 502},
		"stream":            {"/stream/x", unframedHead + events(1, 4), 502},
		"of other request":  {"/unsafe/x", "HTTP/1.1 400 Bad\r\nName: r2\r\nSeal: s\r\nContent-Length: 3\r\n\r\nbad", 502},
		"without a newline": {"/unsafe/x", "HTTP/1.1 503 Full", 502},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			c.Assert(err, qt.IsNil)
			defer func() { _ = ln.Close() }()
			go func() {
				for {
					conn, err := ln.Accept()
					if err != nil {
						return
					}
					_, _ = conn.Read(make([]byte, 256))
					_, _ = io.WriteString(conn, test.response)
					_ = conn.Close()
				}
			}()
			body := strings.Repeat("x", 8<<20)
			e := &endpoint{addr: ln.Addr().(*net.TCPAddr).AddrPort()}
			call := startWith(t, func(f *Forwarder) { f.opts.MaxBodyBytes = len(body) }, e).dial(c)
			call.send("POST", test.path, "r1", body)
			resp, _, err := call.receive()
			c.Assert(err, qt.IsNil)
			c.Check(resp.StatusCode, qt.Equals, test.status)
		})
	}
}

// Guards against a response without a body that is awaited to the end of the
// timeout, and against an interim response that is taken for the final one.
func TestResponseWithoutContentIsRelayed(t *testing.T) {
	for name, response := range map[string]string{
		"204":         "HTTP/1.1 204 No Content\r\n",
		"204 kept":    "HTTP/1.1 204 No Content\r\nKeep-Alive: timeout=10\r\n",
		"304":         "HTTP/1.1 304 Not Modified\r\n",
		"304 chunked": "HTTP/1.1 304 Not Modified\r\nTransfer-Encoding: chunked\r\n",
		"304 length":  "HTTP/1.1 304 Not Modified\r\nContent-Length: 10\r\n",
		"103":         "HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\nHTTP/1.1 204 No Content\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			e := newEndpoint(t, func(conn net.Conn, r *http.Request) bool {
				_, err := fmt.Fprintf(conn, "%sName: %s\r\nSeal: s\r\n\r\n", response, r.Header.Get("Name"))

				return err == nil
			})
			call := start(t, e).dial(c)
			for _, name := range []string{"r1", "r2"} {
				call.send("POST", "/unsafe/x", name, "")
				resp, body, err := call.receive()
				c.Assert(err, qt.IsNil)
				c.Check(resp.StatusCode < 400, qt.IsTrue, qt.Commentf("%s", resp.Status))
				c.Check(resp.Header.Get("Name"), qt.Equals, name)
				c.Check(body, qt.Equals, "")
			}
		})
	}
}
