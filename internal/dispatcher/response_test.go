package dispatcher

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"

	"snipedyke/internal/reducer"
	"snipedyke/pkg/cataloguer"
)

// Guards against an endpoint that passes its probe with an invalid status, and against
// a status line that is refused because it arrives in parts.
func TestProbeNeedsValidStatus(t *testing.T) {
	for line, ok := range map[string]bool{
		"HTTP/1.1 000 X": false, "HTTP/1.1 099 X": false, "HTTP/1.1 600 X": false, "HTTP/1.1 101 X": false,
		"HTTP/1.1 200 X": true, "HTTP/1.0 404": true, "HTTP/1.1 100 X\r\n\r\nHTTP/1.1 200 X": true,
	} {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		qt.Assert(t, err, qt.IsNil)
		go func() {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			defer func() { _ = conn.Close() }()
			if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
				return
			}
			for _, b := range []byte(line + "\r\nContent-Length: 0\r\n\r\n") {
				_, _ = conn.Write([]byte{b})
			}
			_, _ = io.Copy(io.Discard, conn)
		}()
		probed := make(chan reducer.Event, 1)
		d := New(Options{}, func(e reducer.Event) { probed <- e })
		d.Probe(&cataloguer.Endpoint{Name: "e", Address: ln.Addr().(*net.TCPAddr).AddrPort()})
		qt.Check(t, <-probed, qt.Equals, reducer.Event(reducer.Probed{Endpoint: "e", OK: ok}), qt.Commentf("%q", line))
		d.Close()
		_ = ln.Close()
	}
}
