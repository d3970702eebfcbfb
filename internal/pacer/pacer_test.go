package pacer

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// Guards against more requests than the limit in some window, at any spacing of
// the attempts.
func TestLimitHoldsInEveryWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(1, 5).Draw(t, "limit")
		window := time.Duration(rapid.IntRange(200, 1000).Draw(t, "window")) * time.Millisecond
		p := Pacer{Longest: time.Second}
		now := start
		var sent []time.Time
		for range rapid.IntRange(1, 60).Draw(t, "attempts") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "pause")) * time.Millisecond)
			if p.Allowed(now, limit, window) {
				p.Record(now)
				sent = append(sent, now)
			}
		}
		for i := range sent {
			n := 0
			for _, s := range sent[i:] {
				if s.Sub(sent[i]) < window {
					n++
				}
			}
			if n > limit {
				t.Fatalf("%d requests within %s, want at most %d", n, window, limit)
			}
		}
	})
}

// Guards against a limit of zero that allows every request.
func TestZeroLimitAllowsNothing(t *testing.T) {
	qt.New(t).Check(new(Pacer).Allowed(start, 0, time.Second), qt.IsFalse)
}

// Guards against retries that double the load when a service fails all requests.
func TestBudgetBoundsRetries(t *testing.T) {
	c := qt.New(t)
	b := Budget{Window: 10 * time.Second, Ratio: 0.2, Slack: 3}
	retries := 0
	now := start
	for range 1000 {
		now = now.Add(10 * time.Millisecond)
		b.RecordRequest(now)
		if b.AllowRetry(now) {
			retries++
		}
	}
	c.Check(retries, qt.Equals, 203)
	// Retries are allowed again once the window has passed.
	c.Check(b.AllowRetry(now), qt.IsFalse)
	c.Check(b.AllowRetry(now.Add(11*time.Second)), qt.IsTrue)
}
