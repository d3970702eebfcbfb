package soaker

import (
	"fmt"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"snipedyke/platform/standin"
)

// Guards against checks that never fail: builds a history for each violation,
// and similar histories without one.
func TestHistoryCheckFindsViolations(t *testing.T) {
	now := time.Now()
	run := func(request string, at time.Time) standin.Run {
		return standin.Run{Server: "i-1", Request: request, At: at, Tenant: revokedTenant}
	}
	answered := func(h *History, request string, o outcome, a standin.Answer) {
		a.Server, a.Request = "i-1", request
		h.setOutcome(request, o)
		h.AddAnswer(a)
	}
	// leave lets node 0 relay the notice that i-1 leaves and then send it a request
	// that arrives at the given time.
	leave := func(h *History, sent, arrived time.Time) {
		answered(h, "r1", outcome{status: 200, servers: []string{"i-1"}, ended: now}, standin.Answer{Leaving: true})
		h.setOutcome("r2", outcome{status: 503, sent: sent})
		h.AddArrival(standin.Arrival{Server: "i-1", Request: "r2", At: arrived})
	}
	// pause lets i-1 ask node 0 for two seconds and then receive three requests.
	pause := func(h *History, node int, at ...time.Duration) {
		answered(h, "r0", outcome{status: 503}, standin.Answer{Declined: true, RetryAfter: 2 * time.Second, At: now})
		for i, after := range at {
			request := fmt.Sprint("r", i+1)
			h.setOutcome(request, outcome{status: 503, node: node})
			h.AddArrival(standin.Arrival{Server: "i-1", Request: request, At: now.Add(after)})
		}
	}
	late, second := now.Add(drainBound+time.Second), time.Second
	for name, c := range map[string]struct {
		build func(h *History)
		want  string
	}{
		"no violation": {func(h *History) {
			h.setOutcome("r", outcome{unsafe: true, status: 200, sent: now})
			h.AddRun(run("r", now))
		}, ""},
		"twice": {func(h *History) {
			h.setOutcome("r", outcome{unsafe: true, status: 200, sent: now})
			h.AddRun(run("r", now))
			h.AddRun(run("r", now))
		}, "ran 2 times"},
		"safe twice": {func(h *History) {
			h.setOutcome("r", outcome{status: 200, sent: now})
			h.AddRun(run("r", now))
			h.AddRun(run("r", now))
		}, ""},
		"refused": {func(h *History) {
			h.setOutcome("r", outcome{unsafe: true, status: 503, sent: now})
			h.AddRun(run("r", now))
		}, "its caller received status 503"},
		"never sent": {func(h *History) { h.AddRun(run("r", now)) }, "never sent"},
		"drained": {func(h *History) {
			h.setOutcome("r", outcome{status: 200, sent: now})
			h.leftAt["i-1"] = now.Add(-drainBound - time.Second)
			h.AddRun(run("r", now))
		}, "after it left"},
		"drained at a disturbed node": {func(h *History) {
			h.setOutcome("r", outcome{status: 200, sent: now})
			h.leftAt["i-1"] = now.Add(-drainBound - time.Second)
			h.MarkDisturbed(0, now)
			h.AddRun(run("r", now))
		}, ""},
		"revoked": {func(h *History) {
			h.setOutcome("r", outcome{status: 200, sent: now})
			h.revokedAt = now.Add(-revokeBound - time.Second)
			h.MarkDisturbed(0, now)
			h.AddRun(run("r", now))
		}, "with a key that was revoked"},
		"cut off": {func(h *History) {
			h.setOutcome("r", outcome{cut: true, sent: now.Add(-time.Second), ended: now})
			h.AddRun(run("r", now))
			h.MarkDisturbed(0, now)
			h.MarkCuts(1, time.Second)
		}, "was cut off after 1s"},
		"leaving": {func(h *History) { leave(h, late, late) }, "after node 0 knew that i-1 leaves"},
		"leaving in a refusal": {func(h *History) {
			answered(h, "r1", outcome{status: 503, ended: now}, standin.Answer{Leaving: true, Declined: true})
			h.setOutcome("r2", outcome{status: 503, sent: late})
			h.AddArrival(standin.Arrival{Server: "i-1", Request: "r2", At: late})
		}, "after node 0 knew that i-1 leaves"},
		"leaving, sent in time": {func(h *History) { leave(h, now.Add(drainBound), late) }, ""},
		"leaving, unknown to the node": {func(h *History) {
			leave(h, late, late)
			h.setOutcome("r1", outcome{status: 200, servers: []string{"i-1"}, ended: now, node: 1})
		}, ""},
		"leaving, in an answer that was given up": {func(h *History) {
			leave(h, late, late)
			h.setOutcome("r1", outcome{status: 200, servers: []string{"i-2"}, ended: now})
		}, ""},
		"leaving, in an answer that another endpoint went on with": {func(h *History) {
			leave(h, late, late)
			h.AddAnswer(standin.Answer{Server: "i-2", Request: "r1"})
			h.setOutcome("r1", outcome{status: 200, servers: []string{"i-1", "i-2"}, ended: now})
		}, "after node 0 knew that i-1 leaves"},
		"leaving, never answered": {func(h *History) {
			leave(h, late, late)
			h.setOutcome("r1", outcome{cut: true, ended: now})
		}, ""},
		"leaving, at a cut node": {func(h *History) {
			h.MarkDisturbed(0, late)
			leave(h, late, late)
		}, "after node 0 knew that i-1 leaves"},
		"leaving, at a restarted node": {func(h *History) {
			leave(h, late, late)
			h.interruptions[0] = []period{{now.Add(second), now.Add(second)}}
		}, ""},
		"leaving, at a node that was restarted before": {func(h *History) {
			leave(h, late, late)
			h.interruptions[0] = []period{{now.Add(-second), now.Add(-second)}}
		}, "after node 0 knew that i-1 leaves"},
		"paused":                  {func(h *History) { pause(h, 0, second, second, second) }, "3 requests of node 0 reached i-1"},
		"paused, two requests":    {func(h *History) { pause(h, 0, second, second, pauseGrace, 2*second) }, ""},
		"paused for another node": {func(h *History) { pause(h, 1, second, second, second) }, ""},
		"paused, at a frozen node": {func(h *History) {
			pause(h, 0, second, second, second)
			h.interruptions[0] = []period{{now.Add(-second), now.Add(second / 2)}}
		}, ""},
		"cut off before it ran": {func(h *History) { h.setOutcome("r", outcome{cut: true, sent: now.Add(-time.Second), ended: now}) }, ""},
		"cut off by a fault": {func(h *History) {
			h.MarkCuts(0, time.Second)
			h.setOutcome("r", outcome{cut: true, sent: now.Add(-time.Second), ended: time.Now()})
			h.AddRun(run("r", now))
		}, ""},
	} {
		t.Run(name, func(t *testing.T) {
			h := NewHistory()
			c.build(h)
			found := strings.Join(h.Check(), "; ")
			if c.want == "" {
				qt.New(t).Check(found, qt.Equals, "")
			} else {
				qt.New(t).Check(found, qt.Contains, c.want)
			}
		})
	}
}
