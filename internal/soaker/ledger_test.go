package soaker

import (
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"snipedyke/platform/standin"
)

// Guards against checks that notice nothing: each broken promise is staged, and
// its calm twin beside it.
func TestLedgerFindsBrokenPromises(t *testing.T) {
	now := time.Now()
	run := func(request string, at time.Time) standin.Run {
		return standin.Run{Server: "i-1", Request: request, At: at, Tenant: revokedTenant}
	}
	for name, c := range map[string]struct {
		stage func(l *Ledger)
		want  string
	}{
		"calm": {func(l *Ledger) {
			l.note("r", outcome{unsafe: true, status: 200, sent: now})
			l.Run(run("r", now))
		}, ""},
		"twice": {func(l *Ledger) {
			l.note("r", outcome{unsafe: true, status: 200, sent: now})
			l.Run(run("r", now))
			l.Run(run("r", now))
		}, "ran 2 times"},
		"safe twice": {func(l *Ledger) {
			l.note("r", outcome{status: 200, sent: now})
			l.Run(run("r", now))
			l.Run(run("r", now))
		}, ""},
		"refused": {func(l *Ledger) {
			l.note("r", outcome{unsafe: true, status: 503, sent: now})
			l.Run(run("r", now))
		}, "its caller was told 503"},
		"unasked": {func(l *Ledger) { l.Run(run("r", now)) }, "never sent"},
		"drained": {func(l *Ledger) {
			l.note("r", outcome{status: 200, sent: now})
			l.left["i-1"] = now.Add(-drainBound - time.Second)
			l.Run(run("r", now))
		}, "after it left"},
		"drained at a disturbed node": {func(l *Ledger) {
			l.note("r", outcome{status: 200, sent: now})
			l.left["i-1"] = now.Add(-drainBound - time.Second)
			l.Disturb(0, now)
			l.Run(run("r", now))
		}, ""},
		"revoked": {func(l *Ledger) {
			l.note("r", outcome{status: 200, sent: now})
			l.revoked = now.Add(-revokeBound - time.Second)
			l.Disturb(0, now)
			l.Run(run("r", now))
		}, "with a key that ended"},
	} {
		t.Run(name, func(t *testing.T) {
			l := NewLedger()
			c.stage(l)
			found := strings.Join(l.Check(), "; ")
			if c.want == "" {
				qt.New(t).Check(found, qt.Equals, "")
			} else {
				qt.New(t).Check(found, qt.Contains, c.want)
			}
		})
	}
}
