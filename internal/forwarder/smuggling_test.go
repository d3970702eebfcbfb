package forwarder

import (
	"errors"
	"fmt"
	"io"
	"net/netip"
	"strings"
	"syscall"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against a body that is too large, and is not read, being served as the next
// request if its request is refused for another reason.
func TestBodyOfRefusedRequestIsNotServed(t *testing.T) {
	callers := func(s *system) netip.AddrPort { return s.Addr() }
	nodes := func(s *system) netip.AddrPort { return s.NodeAddr() }
	for name, tc := range map[string]struct {
		address func(s *system) netip.AddrPort
		fields  string
		status  int
	}{
		"too large":          {callers, "", 413},
		"malformed":          {callers, "Malformed: 1\r\n", 400},
		"malformed, Expect":  {callers, "Malformed: 1\r\nExpect: 100-continue\r\n", 400},
		"malformed handover": {nodes, "Handover: x\r\n", 400},
		"too large handover": {nodes, "Handover: 1,true\r\n", 413},
	} {
		for _, method := range []string{"POST", "GET"} {
			t.Run(name+"/"+method, func(t *testing.T) {
				c := qt.New(t)
				e := newEndpoint(t, respondOK)
				s := start(t, e)
				call := dial(c, tc.address(s))
				inner := "POST /unsafe/x HTTP/1.1\r\nHost: h\r\nName: inner\r\nKey: k\r\nHandover: 1,true\r\nContent-Length: 0\r\n\r\n"
				body := inner + strings.Repeat("x", s.opts.MaxBodyBytes)
				go func() {
					_, _ = fmt.Fprintf(call, "%s /unsafe/x HTTP/1.1\r\nHost: h\r\nName: outer\r\nKey: k\r\n%sContent-Length: %d\r\n\r\n%s", method, tc.fields, len(body), body)
				}()
				resp, _, err := call.receive()
				if err == nil && resp.StatusCode == 100 {
					resp, _, err = call.receive()
				}
				c.Assert(err, qt.IsNil)
				c.Check(resp.StatusCode, qt.Equals, tc.status)
				c.Check(resp.Close, qt.IsTrue)
				rest, err := io.ReadAll(call.br)
				if err != nil && !errors.Is(err, syscall.ECONNRESET) {
					c.Fatal(err)
				}
				c.Check(string(rest), qt.Equals, "", qt.Commentf("a second response to one request"))
				c.Check(len(e.requests()), qt.Equals, 0, qt.Commentf("an endpoint ran a request inside a body"))
			})
		}
	}
}
