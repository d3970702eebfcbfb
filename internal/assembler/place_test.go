package assembler

import (
	"encoding/json"
	"net"
	"net/http"
	"net/url"
	"testing"

	qt "github.com/frankban/quicktest"

	"snipedyke/internal/director"
)

// Guards against an answer that is not the node's, and against malformed descriptions that
// are answered as if they were sound.
func TestNodeTellsWhereARequestWouldGo(t *testing.T) {
	c := qt.New(t)
	n := startRoutedFleet(c, 1, "v1").nodes[0]
	l, err := net.Listen("tcp", loopback.String())
	c.Assert(err, qt.IsNil)
	defer func() { _ = l.Close() }()
	go n.serveHTTP(l, n.handleMonitoring)
	ask := func(query string, answer any) int {
		response, err := http.Get("http://" + l.Addr().String() + "/place?" + query)
		c.Assert(err, qt.IsNil)
		defer func() { _ = response.Body.Close() }()
		c.Assert(json.NewDecoder(response.Body).Decode(answer), qt.IsNil)

		return response.StatusCode
	}
	var p director.Placement
	c.Assert(ask("host=h&path=/stream/1&account=club&tokens=100&deadline=4s", &p), qt.Equals, http.StatusOK)
	c.Check([]any{p.Outcome, p.Endpoint, p.Account, len(p.Candidates)}, qt.DeepEquals, []any{director.OutcomeSent, "e0", "club", 1})
	for field, query := range map[string]string{
		"host": "path=/", "path": "host=h&path=x", "tokens": "host=h&path=/&tokens=-1", "part": "host=h&path=/&part=" + url.QueryEscape("z"),
		"shared": "host=h&path=/&shared=1", "deadline": "host=h&path=/&deadline=0s", "key": "host=h&path=/&key=k",
	} {
		var failure struct{ Field string }
		c.Check(ask(query, &failure), qt.Equals, http.StatusBadRequest)
		c.Check(failure.Field, qt.Equals, field)
	}
}
