package soaker

import (
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
