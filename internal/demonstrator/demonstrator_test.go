package demonstrator

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"snipedyke/internal/recorder"
	"snipedyke/internal/standin"
)

func testWorkload(c *qt.C) *workload {
	site, err := standin.Deployment("guild")
	c.Assert(err, qt.IsNil)

	return newWorkload(site)
}

// Guards against a demo that passes although a guarantee was violated.
func TestViolationsAreReported(t *testing.T) {
	c := qt.New(t)
	w := testWorkload(c)
	ok := func(c *call) *outcome { return &outcome{call: c, runStatement: "ran", text: c.want} }
	for _, test := range []struct {
		outcomes []*outcome
		ran      []int
		want     string
	}{
		{[]*outcome{ok(w.postCall(1)), ok(w.getCall(1)), ok(w.modelCall(w.batch, 1))}, []int{1}, ""},
		{[]*outcome{ok(w.postCall(1)), ok(w.postCall(1))}, []int{1, 1}, "/payments/payments-1 ran 2 times"},
		{[]*outcome{ok(w.postCall(1))}, nil, "payments-1 was answered but did not run"},
		{[]*outcome{{call: w.postCall(1), runStatement: runNotRun, code: "overload"}}, []int{1}, "/payments/payments-1 ran, but its caller was told that it did not"},
		{[]*outcome{{call: w.postCall(1), runStatement: runNotRun, code: "key_in_use"}, ok(w.postCall(1))}, []int{1}, ""},
		{[]*outcome{{call: w.postCall(1), runStatement: "may-have-run", code: codeConnectionLost}}, []int{1}, ""},
		{[]*outcome{{call: w.getCall(1), text: "other"}}, nil, "status-1 got a wrong answer of 5 bytes (whole)"},
		{[]*outcome{{call: w.modelCall(w.batch, 1), text: "other", code: codeConnectionLost}}, nil, "drafts-1 got a wrong answer of 5 bytes (connection_lost)"},
		{[]*outcome{{call: w.modelCall(w.batch, 1), text: w.modelCall(w.batch, 1).want[:9], code: codeConnectionLost}}, nil, ""},
	} {
		var runs []standin.Run
		for _, n := range test.ran {
			runs = append(runs, standin.Run{Path: w.postCall(n).endpointPath})
		}
		results := &collector{outcomes: test.outcomes}
		c.Check(strings.Join(results.violations(w, runs), "; "), qt.Equals, test.want)
	}
}

// Guards against a caller that treats a broken stream as complete, and against
// incomplete answers that count as meeting the targets.
func TestCallerReadsStreams(t *testing.T) {
	c := qt.New(t)
	call := testWorkload(c).modelCall(testWorkload(c).interactive, 1)
	for body, want := range map[string]outcome{
		"data: {\"choices\":[{\"delta\":{\"content\":\"a\"}}]}\n\ndata: [DONE]\n\n":                                                         {text: "a", tokens: 1},
		"data: {\"choices\":[{\"delta\":{\"content\":\"a\"}}]}\n\n":                                                                         {text: "a", tokens: 1, code: codeConnectionLost},
		"data: {\"choices\":[{\"delta\":{\"content\":\"a\"}}]}\n\nevent: error\ndata: {\"error\":{\"code\":\"timeout\",\"run\":\"ran\"}}\n": {text: "a", tokens: 1, code: "timeout"},
	} {
		srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(body)) }))
		got := send(context.Background(), srv.Client(), srv.URL, call)
		srv.Close()
		c.Check(got.text, qt.Equals, want.text)
		c.Check(got.tokens, qt.Equals, want.tokens)
		c.Check(got.code, qt.Equals, want.code)
		c.Check(got.meetsTargets(), qt.Equals, want.code == "" && got.firstToken <= call.class.FirstToken)
	}
}

// Guards against committed traces that state other outcomes than the targets.
func TestTracesStateTargets(t *testing.T) {
	c := qt.New(t)
	for _, name := range deploymentNames {
		site, err := standin.Deployment(name)
		c.Assert(err, qt.IsNil)
		body, err := os.ReadFile("../../traces/demo-" + name + ".trace.gz")
		c.Assert(err, qt.IsNil)
		trace, err := recorder.Decode(bytes.NewReader(body))
		c.Assert(err, qt.IsNil)
		c.Check(trace.Header.Complete, qt.IsTrue)
		c.Check(trace.Outcomes, qt.DeepEquals, newWorkload(site).targets())
		result := recorder.Replay(trace, []byte(standin.DemoSecret))
		c.Check(result.OK(), qt.IsTrue, qt.Commentf("%s", result))
	}
}

// Guards against a duration that is too short for the phases of the demo.
func TestDurationIsChecked(t *testing.T) {
	c := qt.New(t)
	_, err := Run(t.Context(), Options{Duration: time.Second})
	c.Assert(err, qt.ErrorMatches, "demonstrator: run: invalid option: duration 1s; accepted: 2s to 1h0m0s")
}
