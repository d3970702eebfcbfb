package forwarder

import (
	"fmt"
	"net"
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"

	"snipedyke/internal/logger"
)

// misdirectedSink is a Logger that passes on the lines about attempts that another
// endpoint has answered.
type misdirectedSink chan []any

func (s misdirectedSink) Event(number int, args ...any) {
	if number == logger.AttemptMisdirected {
		s <- args
	}
}

// Guards against a log that does not tell which endpoint answered in place of the
// expected one, and whether it shuts down.
func TestMisdirectedAttemptNamesTheEndpointThatAnswered(t *testing.T) {
	c := qt.New(t)
	misdirect := func(conn net.Conn, r *http.Request) bool {
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected Request\r\nName: %s\r\nIs: stranger\r\nLeaving: 1\r\nContent-Length: 0\r\n\r\n", r.Header.Get("Name"))

		return true
	}
	lines := make(misdirectedSink, 1)
	s := startWith(t, func(f *Forwarder) { f.opts.Logger = lines }, newEndpoint(t, misdirect), newEndpoint(t, respondOK))
	call := s.dial(c)
	for i := 0; len(lines) == 0; i++ {
		c.Assert(i < 10, qt.IsTrue, qt.Commentf("no attempt went to the first endpoint"))
		call.send("POST", "/unsafe/x", fmt.Sprint("r", i), "")
		_, body, err := call.receive()
		c.Assert(err, qt.IsNil)
		c.Check(body, qt.Equals, fmt.Sprint("answer to r", i))
	}
	line := fmt.Sprint(<-lines)
	for _, part := range []string{"endpoint e0", "answered stranger", "leaving true"} {
		c.Check(line, qt.Contains, part)
	}
}
