package main

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against a table without the terms of an endpoint or the reason of the outcome, and
// against descriptions that do not reach the node.
func TestPlace(t *testing.T) {
	c := qt.New(t)
	query := ""
	node := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		query = r.URL.RawQuery
		_, _ = w.Write([]byte(`{"outcome":"queued","status":503,"reason":"overload","cause":"no slot","retry":200000000,"wait":75000000,
			"candidates":[{"endpoint":"e1","centre":"kochi","state":"compared","running":4,"tokens":900,"slowness":1.5,"cost":4.25,"why":"no slot in time"}]}`))
	}))
	defer node.Close()
	var out, errs bytes.Buffer
	code := run(t.Context(), []string{"place", "--node", strings.TrimPrefix(node.URL, "http://"), "--host", "h", "--path", "/chat/1", "--account", "club", "--tokens", "9", "--deadline", "4s"}, &out, &errs)
	c.Assert(code, qt.Equals, exitOK, qt.Commentf("%s", &errs))
	c.Check(query, qt.Equals, "account=club&deadline=4s&host=h&path=%2Fchat%2F1&shared=0&tokens=9")
	c.Check(out.String(), qt.Contains, "queued for 75ms, then rejected unless something changes: status 503, reason overload (no slot), Retry-After 200ms\n")
	c.Check(strings.Join(strings.Fields(out.String()), " "), qt.Contains, "e1 kochi compared 4 900 1.50 0.00 0.00 - 4.25 no slot in time")
}
