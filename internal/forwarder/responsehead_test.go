package forwarder

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"
)

const sealedHead = "HTTP/1.1 200 OK\r\nName: r\r\nSeal: s\r\n"

// checkNotRelayed checks that an endpoint that sends the response and closes its
// connection gives callers a 502, or a stream that is cut off.
func checkNotRelayed(t *testing.T, response string, paths ...string) {
	for _, path := range paths {
		c := qt.New(t)
		h := func(conn net.Conn, _ *http.Request) bool {
			_, _ = io.WriteString(conn, response)

			return false
		}
		call := start(t, newEndpoint(t, h), newEndpoint(t, h), newEndpoint(t, h)).dial(c)
		call.send("POST", path, "r", "")
		resp, body, err := call.receive()
		c.Assert(resp, qt.IsNotNil, qt.Commentf("%s: %v", path, err))
		c.Check(resp.StatusCode == 502 || err != nil, qt.IsTrue, qt.Commentf("%s: %s, body %q, length %d", path, resp.Status, body, resp.ContentLength))
	}
}

// Guards against a damaged head that ends early, so that its rest is taken for a
// body that ends with the connection.
func TestHeadWithBareLineFeedIsRefused(t *testing.T) {
	for name, rest := range map[string]string{
		"blank line": "\n" + "Content-Length: 4\r\n\r\nbody",
		"line":       "X: 1\nContent-Length: 4\r\n\r\nbody",
		"all":        "\n\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) { checkNotRelayed(t, sealedHead+rest, "/safe/x", "/unsafe/x") })
	}
	t.Run("stream", func(t *testing.T) {
		checkNotRelayed(t, sealedHead+"\nX: 1\r\n\r\n"+events(1, 2), "/stream/x", "/resume/x")
	})
}

// Guards against chunks that are relayed as text, and as complete even if the last
// ones are missing.
func TestChunksBeforeHTTP11AreRefused(t *testing.T) {
	for _, field := range []string{"Transfer-Encoding: chunked\r\n", "transfer-encoding : chunked\r\nContent-Length: 4\r\n"} {
		checkNotRelayed(t, "HTTP/1.0"+sealedHead[8:]+field+"\r\n4\r\nbody\r\n", "/safe/x", "/unsafe/x")
	}
}

// Guards against a head that has lost its length, so that the end of the
// connection makes an empty or short body complete.
func TestUnframedResponseOfPersistentConnectionIsRefused(t *testing.T) {
	for name, rest := range map[string]string{
		"field":    "Keep-Alive: timeout=10\r\n\r\n" + events(1, 2),
		"option":   "Connection: x, Keep-Alive\r\n\r\n" + events(1, 2),
		"no field": "\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			checkNotRelayed(t, sealedHead+rest, "/safe/x", "/unsafe/x", "/stream/x", "/resume/x")
		})
	}
	t.Run("HTTP/1.0", func(t *testing.T) {
		checkNotRelayed(t, "HTTP/1.0"+sealedHead[8:]+"Connection: keep-alive\r\n\r\nbody", "/unsafe/x")
	})
}

// Guards against the loss of an empty response whose end was announced.
func TestAnnouncedEndOfConnectionEndsEmptyResponse(t *testing.T) {
	for _, head := range []string{sealedHead + "Keep-Alive: timeout=10\r\nConnection: x, Close\r\n", "HTTP/1.0" + sealedHead[8:]} {
		c := qt.New(t)
		call := start(t, newEndpoint(t, func(conn net.Conn, _ *http.Request) bool {
			_, _ = io.WriteString(conn, head+"\r\n")

			return false
		})).dial(c)
		call.send("POST", "/unsafe/x", "r", "")
		resp, body, err := call.receive()
		c.Assert(err, qt.IsNil)
		c.Check(resp.StatusCode, qt.Equals, 200)
		c.Check(body, qt.Equals, "")
	}
}

// Guards against a response to HEAD that is taken for one without a frame.
func TestResponseToHeadNeedsNoLength(t *testing.T) {
	c := qt.New(t)
	call := start(t, newEndpoint(t, func(conn net.Conn, _ *http.Request) bool {
		_, err := io.WriteString(conn, sealedHead+"Keep-Alive: timeout=10\r\n\r\n")

		return err == nil
	})).dial(c)
	call.send("HEAD", "/unsafe/x", "r", "")
	resp, err := http.ReadResponse(call.br, &http.Request{Method: "HEAD"})
	c.Assert(err, qt.IsNil)
	c.Check(resp.StatusCode, qt.Equals, 200)
}

// Guards against a change of protocol that nobody has asked for.
func TestSwitchOfProtocolsIsRefused(t *testing.T) {
	checkNotRelayed(t, "HTTP/1.1 101 Switching"+sealedHead[15:]+"Connection: Upgrade\r\nUpgrade: x\r\n\r\nbytes", "/unsafe/x", "/stream/x")
}

// Guards against a response that is cut off anywhere and relayed as complete.
func TestCutResponsesAreNotRelayedAsComplete(t *testing.T) {
	body := events(1, 2)
	length := fmt.Sprintf("Content-Length: %d\r\n", len(body))
	chunks := fmt.Sprintf("10\r\n%s\r\n10\r\n%s\r\n0\r\n", events(1, 1), events(2, 2))
	for name, response := range map[string]string{
		"length":       sealedHead + length + "\r\n" + body,
		"length first": "HTTP/1.1 200 OK\r\n" + length + sealedHead[17:] + "\r\n" + body,
		"chunks":       sealedHead + "Transfer-Encoding: chunked\r\n\r\n" + chunks + "\r\n",
		"trailer":      sealedHead + "Transfer-Encoding: chunked\r\n\r\n" + chunks + "X: y\r\n\r\n",
		"both":         sealedHead + "Transfer-Encoding: chunked\r\n" + length + "\r\n" + chunks + "\r\n",
		"interim":      "HTTP/1.1 103 Early Hints\r\nName: r\r\nSeal: s\r\n\r\n" + sealedHead + length + "\r\n" + body,
		"HTTP/1.0":     "HTTP/1.0" + sealedHead[8:] + length + "\r\n" + body,
		"204":          "HTTP/1.1 204 No Content\r\nName: r\r\nSeal: s\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			for _, path := range []string{"/unsafe/x", "/stream/x"} {
				c := qt.New(t)
				cut := 0
				s := start(t, newEndpoint(t, func(conn net.Conn, r *http.Request) bool {
					if r.Header.Get("Name") == "first" {
						return reply(conn, r, 404, "")
					}
					_, _ = io.WriteString(conn, response[:cut])

					return false
				}))
				for cut = range len(response) + 1 {
					call := s.dial(c)
					if cut%2 == 0 {
						// The connection to the endpoint is kept.
						call.send("POST", path, "first", "")
						_, _, _ = call.receive()
					}
					call.send("POST", path, "r", "")
					resp, _, err := call.receive()
					c.Assert(resp, qt.IsNotNil, qt.Commentf("%v", err))
					complete := resp.StatusCode < 500 && err == nil
					c.Check(complete, qt.Equals, cut == len(response), qt.Commentf("%s, cut after %q: %s, %v", path, response[:cut], resp.Status, err))
					_ = call.Close()
				}
			}
		})
	}
}
