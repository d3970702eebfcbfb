package forwarder

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/valyala/fasthttp"
)

// newFragileEndpoint returns an endpoint that ends when it receives a request for /unsafe/crash.
func newFragileEndpoint(t *testing.T) *endpoint {
	var once sync.Once
	var e *endpoint
	e = newEndpoint(t, func(conn net.Conn, r *http.Request) bool {
		if r.URL.Path != "/unsafe/crash" {
			return respondOK(conn, r)
		}
		once.Do(func() { _ = e.listener.Close() })

		return false
	})

	return e
}

// Guards against a request that goes on to crash endpoints because their ends are found only
// when other requests are sent there.
func TestEndOfAQuietEndpointIsFound(t *testing.T) {
	c := qt.New(t)
	endpoints := make([]*endpoint, 0, 8)
	for range cap(endpoints) {
		endpoints = append(endpoints, newFragileEndpoint(t))
	}
	s := start(t, endpoints...)
	call := s.dial(c)
	for i := range 3 {
		c.Check(s.Status().Isolated, qt.Equals, 0)
		call.send("POST", "/unsafe/crash", fmt.Sprint("r", i), "body")
		resp, _, err := call.receive()
		c.Assert(err, qt.IsNil)
		c.Check(resp.StatusCode, qt.Equals, http.StatusBadGateway)
		awaitChecks(c, s)
	}
	c.Check(s.Status().Isolated, qt.Equals, 1)
	call.send("POST", "/unsafe/crash", "fourth", "body")
	resp, body, err := call.receive()
	c.Assert(err, qt.IsNil)
	c.Check(resp.StatusCode, qt.Equals, http.StatusServiceUnavailable)
	c.Check(body, qt.Contains, "harmful_request")
	// Another request of the account is served.
	call.send("POST", "/unsafe/other", "other", "body")
	_, body, err = call.receive()
	c.Assert(err, qt.IsNil)
	c.Check(body, qt.Equals, "answer to other")
}

// Guards against requests that are refused for others with the same path, and against one
// that is not recognized because its header differs.
func TestContentNamesWhatARequestAsksFor(t *testing.T) {
	c := qt.New(t)
	hash := func(method, host, target, name, body string) uint32 {
		var h fasthttp.RequestHeader
		h.SetMethod(method)
		h.SetHost(host)
		h.SetRequestURI(target)
		h.Set("Name", name)

		return contentHash(&h, []byte(body))
	}
	first := hash("POST", "h", "/a?b=1", "r1", "body")
	c.Check(hash("POST", "h", "/a?b=1", "r2", "body"), qt.Equals, first)
	for _, other := range []uint32{
		hash("PUT", "h", "/a?b=1", "r1", "body"), hash("POST", "i", "/a?b=1", "r1", "body"), hash("POST", "h", "/c?b=1", "r1", "body"),
		hash("POST", "h", "/a?b=2", "r1", "body"), hash("POST", "h", "/a?b=1", "r1", "other"),
	} {
		c.Check(other, qt.Not(qt.Equals), first)
	}
}

// awaitChecks waits until all ends of endpoints so far are known.
func awaitChecks(c *qt.C, s *system) {
	for end := time.Now().Add(longWait); s.Status().Checking > 0; {
		c.Assert(time.Now().Before(end), qt.IsTrue)
	}
}
