package forwarder

import (
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against a path or a query that is changed on the way.
func TestRequestTargetIsForwardedUnchanged(t *testing.T) {
	c := qt.New(t)
	e := newEndpoint(t, respondOK)
	call := start(t, e).dial(c)
	for target, want := range map[string]string{
		"/safe/x?": "", "/safe/x??": "", "/safe/x?a": "", "/safe/x?a=&b": "", "/safe/x#c": "", "/safe/x?#": "", "/safe/x?a#c": "", "/safe/%2f/../x": "", "/safe//x": "",
		"/safe/./x;p": "", "/safe/x?/../y": "", "/safe/\"<>^`{|}": "", "/safe/x%00": "", "/safe/x+y?z+w": "", "/safe/\xc3\xa9": "", "/safe/x?http://h/y": "",
		"http://h/safe/x?a=b": "/safe/x?a=b", "HTTP://h/safe/x#c": "/safe/x#c", "http://h/safe/": "/safe/",
	} {
		if want == "" {
			want = target
		}
		for _, method := range []string{"GET", "POST", "DELETE", "OPTIONS", "TRACE", "x"} {
			call.send(method, target, "r", "")
			resp, _, err := call.receive()
			c.Assert(err, qt.IsNil)
			c.Check(resp.StatusCode, qt.Equals, http.StatusOK, qt.Commentf("%s %s", method, target))
			received := e.requests()
			got := received[len(received)-1]
			c.Check([]string{got.Method, got.RequestURI, got.Host}, qt.DeepEquals, []string{method, want, "h"})
		}
	}
}

// Guards against a request whose authority is not that of its route, and against CONNECT,
// whose response would turn the connection to the endpoint into a tunnel.
func TestRequestsToOtherServersAreRefused(t *testing.T) {
	c := qt.New(t)
	e := newEndpoint(t, respondOK)
	s := start(t, e)
	for _, request := range [][2]string{{"GET", "http://other/safe/x"}, {"GET", "//h/safe/x"}, {"GET", "http://u:p@h/safe/x"}, {"CONNECT", "h:80"}, {"CONNECT", "/safe/x"}, {"CONNECT", "http://h/safe/x"}} {
		call := s.dial(c)
		call.send(request[0], request[1], "r", "")
		resp, _, err := call.receive()
		c.Assert(err, qt.IsNil)
		c.Check(resp.StatusCode/100, qt.Equals, 4, qt.Commentf("%v", request))
	}
	c.Check(e.requests(), qt.HasLen, 0)
}
