package forwarder

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
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

// oracle serves the same bytes as a node with net/http, whose framing of requests is taken
// to be right, and returns the names of the requests that it served.
func oracle(c *qt.C, message string) map[string]bool {
	served := map[string]bool{}
	var mu sync.Mutex
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if _, err := io.Copy(io.Discard, r.Body); err == nil {
			mu.Lock()
			served[r.Header.Get("Name")] = true
			mu.Unlock()
		}
	}))
	defer server.Close()
	exchange(c, netip.MustParseAddrPort(server.Listener.Addr().String()), message)
	mu.Lock()
	defer mu.Unlock()

	return served
}

// exchange sends a message on a new connection and returns all that is received until the
// server closes it.
func exchange(c *qt.C, address netip.AddrPort, message string) string {
	call := dial(c, address)
	go func() { _, _ = io.WriteString(call, message) }()
	received, err := io.ReadAll(call.br)
	if err != nil && !errors.Is(err, syscall.ECONNRESET) {
		c.Fatalf("%q: %v", message, err)
	}

	return string(received)
}

// Guards against a part of a request that is served as another request, however the body
// is framed and however the request is answered.
func TestNoPartOfARequestIsServed(t *testing.T) {
	const inner = "POST /unsafe/x HTTP/1.1\r\nHost: h\r\nName: inner\r\nKey: k\r\nHandover: 1,true\r\nContent-Length: 0\r\n\r\n"
	// The last request ends the connection if it is still open.
	const last = "GET /safe/x HTTP/1.1\r\nHost: h\r\nName: last\r\nKey: k\r\nHandover: 1,true\r\nConnection: close\r\n\r\n"
	chunked := fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(inner), inner)
	lines := map[string]string{
		"safe": "GET /safe/x HTTP/1.1", "unsafe": "POST /unsafe/x HTTP/1.1", "stream": "POST /stream/x HTTP/1.1", "head": "HEAD /safe/x HTTP/1.1",
		"no route": "POST /nowhere HTTP/1.1", "no host": "POST http:///x HTTP/1.1", "HTTP/1.0": "POST /unsafe/x HTTP/1.0", "HTTP/2.0": "POST /unsafe/x HTTP/2.0",
	}
	fields := map[string]string{
		"": "", "no key": "Key: none\r\n", "malformed": "Malformed: 1\r\nHandover: x\r\n", "continue": "Expect: 100-Continue\r\n", "expectation": "Expect: x\r\n", "close": "Connection: close\r\n",
	}
	framings := map[string]string{
		"none":              "\r\n" + inner,
		"length":            fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(inner), inner),
		"too large":         fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(inner)+2000, inner+strings.Repeat("x", 2000)),
		"chunks":            "Transfer-Encoding: chunked\r\n\r\n" + chunked,
		"chunks, trailer":   "Transfer-Encoding: chunked\r\n\r\n" + strings.TrimSuffix(chunked, "\r\n") + "Name: forged\r\n\r\n",
		"chunks, too large": fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n800\r\n%s\r\n%s", strings.Repeat("x", 0x800), chunked),
		"chunks and length": fmt.Sprintf("Content-Length: %d\r\nTransfer-Encoding: chunked\r\n\r\n%s", len(chunked), chunked),
		"two lengths":       fmt.Sprintf("Content-Length: 0\r\nContent-Length: %d\r\n\r\n%s", len(inner), inner),
		"signed length":     fmt.Sprintf("Content-Length: +%d\r\n\r\n%s", len(inner), inner),
		"identity":          "Transfer-Encoding: identity\r\n\r\n" + inner,
		"Identity, folded":  "Transfer-Encoding:\r\n Identity\r\n\r\n" + inner,
		"identity, length":  fmt.Sprintf("Transfer-Encoding: identity\r\nContent-Length: %d\r\n\r\n%s", len(inner), inner),
		"identity, chunked": "Transfer-Encoding: identity, chunked\r\n\r\n" + chunked,
		"two codings":       "Transfer-Encoding: identity\r\nTransfer-Encoding: chunked\r\n\r\n" + chunked,
		"gzip":              "Transfer-Encoding: gzip\r\n\r\n" + inner,
		"chunked, gzip":     "Transfer-Encoding: chunked, gzip\r\n\r\n" + chunked,
		"blank in name":     "Transfer-Encoding : chunked\r\n\r\n" + chunked,
		"damaged chunk":     "Transfer-Encoding: chunked\r\n\r\nx\r\n" + chunked,
		"damaged chunk end": "Transfer-Encoding: chunked\r\n\r\n1\r\nabc\r\n0\r\n\r\n" + inner,
	}
	for port, address := range map[string]func(*system) netip.AddrPort{
		"callers": func(s *system) netip.AddrPort { return s.Addr() },
		"nodes":   func(s *system) netip.AddrPort { return s.NodeAddr() },
	} {
		t.Run(port, func(t *testing.T) {
			c := qt.New(t)
			e := newEndpoint(t, func(conn net.Conn, r *http.Request) bool {
				if strings.HasPrefix(r.URL.Path, "/stream/") {
					stream(conn, r, events(1, 1))
					_, _ = io.WriteString(conn, "0\r\n\r\n")

					return true
				}

				return reply(conn, r, 204, "")
			})
			s := startWith(t, func(f *Forwarder) { f.opts.MaxBodyBytes = 1500 }, e)
			seen := 0
			for line := range lines {
				for field := range fields {
					for framing := range framings {
						message := lines[line] + "\r\nHost: h\r\nName: outer\r\nKey: k\r\nHandover: 1,true\r\n" + fields[field] + framings[framing] + last
						received := exchange(c, address(s), message)
						want := oracle(c, message)
						for _, r := range e.requests()[seen:] {
							seen++
							name := r.Header.Get("Name")
							c.Check(want[name], qt.IsTrue, qt.Commentf("%s, %q, %s: %q was run; received %q", line, field, framing, name, received))
						}
					}
				}
			}
		})
	}
}
