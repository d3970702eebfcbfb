package dispatcher

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"snipedyke/internal/reducer"
	"snipedyke/pkg/cataloguer"
	"snipedyke/pkg/encoder"
)

// respondOnce returns the address of an endpoint that answers one request with the bytes,
// one at a time.
func respondOnce(t *testing.T, response string) netip.AddrPort {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		conn, err := ln.Accept()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
			return
		}
		for _, b := range []byte(response) {
			_, _ = conn.Write([]byte{b})
		}
		_, _ = io.Copy(io.Discard, conn)
	}()

	return ln.Addr().(*net.TCPAddr).AddrPort()
}

// Guards against an endpoint that passes its probe with an invalid head, and against
// one that is refused because it arrives in parts.
func TestProbeNeedsValidStatus(t *testing.T) {
	for line, ok := range map[string]bool{
		"HTTP/1.1 000 X": false, "HTTP/1.1 099 X": false, "HTTP/1.1 600 X": false, "HTTP/1.1 101 X": false, "HTTP/1.1 200 X\r\nX Note: y": false,
		"HTTP/1.1 200 X": true, "HTTP/1.0 404": true, "HTTP/1.1 100 X\r\n\r\nHTTP/1.1 200 X": true,
	} {
		probed := make(chan reducer.Event, 1)
		d := New(Options{}, func(e reducer.Event) { probed <- e })
		d.Probe(&cataloguer.Endpoint{Name: "e", Address: respondOnce(t, line+"\r\nContent-Length: 0\r\n\r\n")})
		qt.Check(t, <-probed, qt.Equals, reducer.Event(reducer.Probed{Endpoint: "e", OK: ok}), qt.Commentf("%q", line))
		d.Close()
	}
}

// discardSink is a Sink that drops the events.
type discardSink struct{}

func (discardSink) Relay([]byte) error { return nil }

// Guards against a response with a damaged head whose fields or body are passed on, or that
// proves that the request did not run: with a blank in the name of a field, a folded line, a
// line that ends the head early, or a transfer coding that the parser ignores.
func TestDamagedHeadIsNotTheResponse(t *testing.T) {
	const event = "data: {\"choices\":[{\"delta\":{\"content\":\"a\"}}]}\n\ndata: [DONE]\n\n"
	for _, test := range []struct{ head, body string }{
		{"HTTP/1.1 200 OK\r\nX Note: y\r\nContent-Length: 4\r\n\r\n", "body"},
		{"HTTP/1.1 200 OK\r\nContent-Length : 4\r\n\r\n", "body"},
		{"HTTP/1.1 503 Busy\r\nSnipedyke-Run: not-run\r\nX Note: y\r\nContent-Length: 4\r\n\r\n", "body"},
		{"HTTP/1.1 200 OK\r\nX-Note: y\r\n X-Other: z\r\nContent-Length: 4\r\n\r\n", "body"},
		{"HTTP/1.1 103 Early Hints\r\nX Note: y\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n", "body"},
		{"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\nX-Note: y\r\n\r\n", "body"},
		{"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Length: 14\r\n\r\n", "4\r\nbody\r\n0\r\n\r\n"},
		{"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX Note: y\r\n\r\n", event},
		{"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer Encoding: chunked\r\n\r\n", event},
	} {
		stream := strings.Contains(test.head, "event-stream")
		service := cataloguer.PlainService
		if stream {
			service = cataloguer.ModelService
		}
		ended := make(chan reducer.Ended, 1)
		d := New(Options{ReadTimeout: 10 * time.Second}, func(e reducer.Event) {
			if e, ok := e.(reducer.Ended); ok {
				ended <- e
			}
		})
		d.Start(reducer.Dispatch{ID: 1, Once: !stream}, &cataloguer.Endpoint{Name: "e", Address: respondOnce(t, test.head+test.body)},
			&Work{Kind: service, Stream: stream, Method: "POST", Path: "/", Sink: discardSink{}})
		e := <-ended
		qt.Check(t, e.Outcome, qt.Equals, encoder.OutcomeError, qt.Commentf("%q", test.head))
		qt.Check(t, e.Answer, qt.IsNil, qt.Commentf("%q", test.head))
		qt.Check(t, e.Written, qt.IsTrue, qt.Commentf("%q", test.head))
		qt.Check(t, e.Relayed, qt.IsFalse, qt.Commentf("%q", test.head))
		d.Close()
	}
}
