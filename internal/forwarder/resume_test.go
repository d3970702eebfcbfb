package forwarder

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against an error, a second beginning or a gap in the middle of a stream
// that is resumed at another endpoint, and against a stream that ends as complete
// before its last event.
func TestOnlyTheNextEventResumesAStream(t *testing.T) {
	const problem = `{"error":"failed"}` + "\n\n"
	const plain = "Content-Type: text/event-stream\r\n"
	const ended = "0\r\n\r\n"
	chunked := func(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }
	for name, test := range map[string]struct {
		status              int
		header, body, after string
		complete            bool
	}{
		"next event":            {200, plain, chunked(events(5, 6)) + ended, events(5, 6), true},
		"comment first":         {200, plain, chunked(": hello\n\n") + chunked(events(5, 6)) + ended, ": hello\n\n" + events(5, 6), true},
		"parameter":             {200, "Content-Type: Text/Event-Stream; charset=utf-8\r\n", chunked(events(5, 6)) + ended, events(5, 6), true},
		"name with a blank":     {200, plain + "X Note: y\r\n", chunked(events(5, 6)) + ended, "", false},
		"status":                {500, plain, chunked(events(5, 6)) + ended, "", false},
		"error":                 {200, "Content-Type: application/json\r\n", chunked(problem) + ended, "", false},
		"events of error type":  {200, "Content-Type: application/json\r\n", chunked(events(5, 6)) + ended, "", false},
		"error in stream":       {200, plain, chunked(problem) + ended, "", false},
		"error after comment":   {200, plain, chunked(": hello\n\n"+problem) + ended, "", false},
		"error event":           {200, plain, chunked("event: error\ndata: failed\n\n") + ended, "", false},
		"empty":                 {200, plain, ended, "", false},
		"comment only":          {200, plain, chunked(": hello\n\n") + ended, "", false},
		"first event":           {200, plain, chunked(events(1, 6)) + ended, "", false},
		"last event":            {200, plain, chunked(events(4, 6)) + ended, "", false},
		"gap":                   {200, plain, chunked(events(6, 7)) + ended, "", false},
		"repeated":              {200, plain, chunked(events(5, 6)+events(6, 7)) + ended, events(5, 6), false},
		"repeated in next read": {200, plain, chunked(events(5, 6)) + chunked(events(6, 7)) + ended, events(5, 6), false},
		"error after events":    {200, plain, chunked(events(5, 6)+problem) + ended, events(5, 6), false},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			var attempts atomic.Int32
			handle := func(conn net.Conn, r *http.Request) bool {
				switch attempts.Add(1) {
				case 1:
					stream(conn, r, events(1, 4))
				case 2:
					_, _ = fmt.Fprintf(conn, "HTTP/1.1 %d X\r\nName: r1\r\nSeal: s\r\n%sTransfer-Encoding: chunked\r\n\r\n%s", test.status, test.header, test.body)
				}

				return false
			}
			call := start(t, newEndpoint(t, handle), newEndpoint(t, handle), newEndpoint(t, handle)).dial(c)
			call.send("POST", "/resume/x", "r1", "")
			_, body, err := call.receive()
			c.Check(body, qt.Equals, events(1, 4)+test.after)
			c.Check(err == nil, qt.Equals, test.complete, qt.Commentf("%v", err))
		})
	}
}

// Guards against events without an ID that are repeated when a stream is
// resumed.
func TestStreamWithoutIDsIsNotResumed(t *testing.T) {
	c := qt.New(t)
	handle := func(conn net.Conn, r *http.Request) bool {
		stream(conn, r, "data: a\n\n")

		return false
	}
	call := start(t, newEndpoint(t, handle), newEndpoint(t, handle)).dial(c)
	call.send("POST", "/resume/x", "r1", "")
	_, body, err := call.receive()
	c.Check(err, qt.IsNotNil)
	c.Check(body, qt.Equals, "data: a\n\n")
}

// Guards against the head of an error, and against repeated events, that an
// endpoint writes into its own stream.
func TestStreamThatDoesNotGoOnIsCut(t *testing.T) {
	for name, bad := range map[string]string{
		"error head": "HTTP/1.1 500 X\r\nContent-Type: application/json\r\n\r\n",
		"repeated":   events(1, 1),
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			e := newEndpoint(t, func(conn net.Conn, _ *http.Request) bool {
				_, _ = io.WriteString(conn, unframedHead+events(1, 2)+bad)

				return false
			})
			call := start(t, e).dial(c)
			call.send("POST", "/stream/x", "r1", "")
			_, body, err := call.receive()
			c.Check(err, qt.IsNotNil)
			c.Check(body, qt.Equals, events(1, 2))
		})
	}
}
