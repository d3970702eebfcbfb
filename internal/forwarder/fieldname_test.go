package forwarder

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"
)

// responseFields are the fields of the responses whose names are damaged, with the
// body that they describe.
var responseFields = map[string]struct {
	fields []string
	body   string
}{
	"length": {
		[]string{"Name: r", "Seal: s", "X-Note: y", fmt.Sprintf("Content-Length: %d", len(events(1, 2)))},
		events(1, 2),
	},
	"chunks": {
		[]string{"Name: r", "Seal: s", "Transfer-Encoding: chunked", "X-Note: y"},
		fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(events(1, 2)), events(1, 2)),
	},
}

// damagedNames returns the fields with a byte of a name replaced, or with one added to
// a name.
func damagedNames(fields []string) [][]string {
	var damaged [][]string
	for i, field := range fields {
		name, _, _ := strings.Cut(field, ":")
		for at := range len(name) + 1 {
			for _, b := range []string{" ", "\t", "\x00", "\x01", "\v", "\r", "\x1f", "\x7f"} {
				for _, rest := range []string{field[at:], field[min(at+1, len(name)):]} {
					changed := slices.Clone(fields)
					changed[i] = field[:at] + b + rest
					damaged = append(damaged, changed)
				}
			}
		}
	}

	return damaged
}

// Guards against a response with a blank or a control byte in the name of a field. The
// parser passes such a field on, or misses the frame of the body. A line that begins
// with a blank continues the value before it.
func TestInvalidFieldNameIsRefused(t *testing.T) {
	for name, test := range responseFields {
		t.Run(name, func(t *testing.T) {
			for _, path := range []string{"/unsafe/x", "/stream/x"} {
				for _, prefix := range []string{"", "HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n"} {
					c := qt.New(t)
					var response string
					s := start(t, newEndpoint(t, func(conn net.Conn, _ *http.Request) bool {
						_, _ = io.WriteString(conn, response)

						return false
					}))
					for _, fields := range damagedNames(test.fields) {
						response = prefix + "HTTP/1.1 200 OK\r\n" + strings.Join(fields, "\r\n") + "\r\n\r\n" + test.body
						call := s.dial(c)
						call.send("POST", path, "r", "")
						resp, body, err := call.receive()
						c.Assert(resp, qt.IsNotNil, qt.Commentf("%v", err))
						c.Check(resp.StatusCode, qt.Equals, 502, qt.Commentf("%s: %q: %v, body %q", path, response, resp.Header, body))
						_ = call.Close()
					}
				}
			}
		})
	}
}

// Guards against an invalid field name in an interim response, or in a refusal, that is
// passed over.
func TestInvalidFieldNameBeforeResponseIsRefused(t *testing.T) {
	checkNotRelayed(t, "HTTP/1.1 103 Early Hints\r\nX Note: y\r\n\r\n"+sealed("HTTP/1.1 200 OK", "body"), "/unsafe/x")
	checkNotRelayed(t, "HTTP/1.1 421 Misdirected\r\nName: r\r\nIs : e9\r\nContent-Length: 0\r\n\r\n", "/unsafe/x")
	checkNotRelayed(t, "HTTP/1.1 503 Busy\r\nName: r\r\nDeclined: 1\r\nX Note: y\r\nContent-Length: 0\r\n\r\n", "/unsafe/x")
}

// Guards against an invalid field name that ends a request which another endpoint can
// answer, and against a second attempt of one that must not run twice.
func TestInvalidFieldNameIsRetriedWhereAllowed(t *testing.T) {
	for path, retried := range map[string]bool{"/safe/x": true, "/resume/x": true, "/stream/x": false, "/unsafe/x": false} {
		c := qt.New(t)
		var attempts atomic.Int32
		h := func(conn net.Conn, _ *http.Request) bool {
			if attempts.Add(1) == 1 {
				_, _ = io.WriteString(conn, sealed("HTTP/1.1 200 OK\r\nX Note: y", events(1, 2)))
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
			c.Check(resp.StatusCode, qt.Equals, 200, qt.Commentf("%s", path))
			c.Check(body, qt.Equals, events(1, 3))
		} else {
			c.Check(resp.StatusCode, qt.Equals, 502, qt.Commentf("%s", path))
			c.Check(attempts.Load(), qt.Equals, int32(1))
		}
	}
}

// Guards against the refusal of the valid field names that are rare.
func TestValidFieldNameIsRelayed(t *testing.T) {
	c := qt.New(t)
	const name = "!#$%&'*+-.^_`|~9az"
	call := start(t, newEndpoint(t, func(conn net.Conn, _ *http.Request) bool {
		_, err := io.WriteString(conn, sealed("HTTP/1.1 200 OK\r\n"+name+": \ty z\t\r\nX-Empty:", "body"))

		return err == nil
	})).dial(c)
	call.send("POST", "/unsafe/x", "r", "")
	resp, body, err := call.receive()
	c.Assert(err, qt.IsNil)
	c.Check(resp.StatusCode, qt.Equals, 200)
	c.Check(body, qt.Equals, "body")
	c.Check(resp.Header.Values(name), qt.DeepEquals, []string{"y z"})
}

// Guards against a trailer that is passed on, or that ends a whole response: no part of
// the response that callers get depends on it.
func TestTrailerIsNotPassedOn(t *testing.T) {
	for _, path := range []string{"/unsafe/x", "/stream/x"} {
		c := qt.New(t)
		call := start(t, newEndpoint(t, func(conn net.Conn, _ *http.Request) bool {
			_, _ = io.WriteString(conn, sealedHead+"Transfer-Encoding: chunked\r\nTrailer: X-Sum\r\n\r\n"+
				strings.TrimSuffix(responseFields["chunks"].body, "\r\n")+"X Note: y\r\nX-Sum : 1\r\n z\r\n\r\n")

			return false
		})).dial(c)
		call.send("POST", path, "r", "")
		resp, body, err := call.receive()
		c.Assert(err, qt.IsNil)
		c.Check(resp.StatusCode, qt.Equals, 200)
		c.Check(body, qt.Equals, events(1, 2))
		c.Check(resp.Trailer, qt.HasLen, 0)
		for name := range resp.Header {
			c.Check(strings.HasPrefix(name, "X"), qt.IsFalse, qt.Commentf("%q", name))
		}
	}
}
