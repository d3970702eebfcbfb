package forwarder

import (
	"net"
	"net/http"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/valyala/fasthttp"

	"snipedyke/internal/director"
)

// faultyProtocol is a protocol that fails unexpectedly on messages with certain values.
type faultyProtocol struct{ protocol }

func (p faultyProtocol) ParseRequest(h *fasthttp.RequestHeader) (RequestMetadata, error) {
	if string(h.Peek("Name")) == "request" {
		panic("request")
	}

	return p.protocol.ParseRequest(h)
}

func (p faultyProtocol) ParseResponse(h *fasthttp.ResponseHeader) ResponseMetadata {
	if string(h.Peek("Seal")) == "response" {
		panic("response")
	}

	return p.protocol.ParseResponse(h)
}

// faultyMeter is a Meter that fails unexpectedly on a refusal.
type faultyMeter struct{ discardSink }

func (faultyMeter) Count(c director.Count) {
	if c.Label == string(director.ReasonNoRoute) {
		panic("meter")
	}
}

// Guards against one malformed message or unexpected error that ends the process, and
// with it the requests of all callers.
func TestUnexpectedErrorsEndOneRequestOnly(t *testing.T) {
	for name, test := range map[string]struct {
		path, request string
		status        int
	}{
		"request":  {"/unsafe/x", "request", 502},
		"response": {"/unsafe/bad", "r1", 502},
		"stream":   {"/stream/bad", "r1", 502},
		// The caller has its answer before the error.
		"decision": {"/nowhere/x", "r1", 404},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			e := newEndpoint(t, func(conn net.Conn, r *http.Request) bool {
				seal := "s"
				if strings.HasSuffix(r.URL.Path, "/bad") {
					seal = "response"
				}
				_, err := conn.Write([]byte("HTTP/1.1 200 OK\r\nName: " + r.Header.Get("Name") + "\r\nSeal: " + seal + "\r\nContent-Length: 2\r\n\r\nok"))

				return err == nil
			})
			f := startWith(t, func(f *Forwarder) { f.opts.Protocol, f.opts.Meter = faultyProtocol{}, faultyMeter{} }, e)
			other := f.dial(c)
			faulty := f.dial(c)
			faulty.send("POST", test.path, test.request, "")
			resp, _, err := faulty.receive()
			c.Assert(err, qt.IsNil)
			c.Check(resp.StatusCode, qt.Equals, test.status)
			other.send("POST", "/unsafe/x", "r2", "")
			resp, body, err := other.receive()
			c.Assert(err, qt.IsNil)
			c.Check(resp.StatusCode, qt.Equals, 200)
			c.Check(body, qt.Equals, "ok")
			f.stop()
			c.Check(<-f.done, qt.IsNil)
			c.Check(f.Status().Requests, qt.Equals, 0)
			c.Check(f.Memory().Used, qt.Equals, 0)
		})
	}
}
