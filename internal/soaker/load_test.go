package soaker

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

// newLoadHistory returns a history of 40 s in which two endpoints besides i-1 serve.
func newLoadHistory() *limitHistory {
	h := newLimitHistory()
	h.attempts, h.nodes, h.end = 2, 1, h.now.Add(40*time.Second)
	for _, id := range []string{"i-1", "i-2", "i-3"} {
		h.services[id] = &serviceTime{from: h.now.Add(-time.Minute)}
	}

	return h
}

// ask adds requests of an account to node 0 that end with a status.
func (h *limitHistory) ask(account string, count, status int, from, step time.Duration) {
	for i := range count {
		h.sent++
		sent := h.now.Add(from + time.Duration(i)*step)
		h.setOutcome(fmt.Sprint("r", h.sent), outcome{account: account, status: status, sent: sent, ended: sent.Add(10 * time.Millisecond)})
	}
}

// Guards against checks of the promises under load that never fail, or find what is
// allowed. i-1 degrades from the start until 5 s, and account a bursts from 20 s until
// 25 s.
func TestLoadCheckFindsViolations(t *testing.T) {
	const s = time.Second
	// reset adds a request that meets i-1 while it resets and ends with a status.
	reset := func(h *limitHistory, status int) {
		h.arrive(0, 1, 2*s, 0, 0)
		h.setOutcome("r1", outcome{status: status, sent: h.now.Add(2 * s), ended: h.now.Add(2*s + s/100)})
	}
	for name, c := range map[string]struct {
		build func(h *limitHistory)
		want  string
	}{
		"reset, no answer": {func(h *limitHistory) { reset(h, 502) }, "RESET: r1 could be repeated, reached i-1"},
		"reset, refused":   {func(h *limitHistory) { reset(h, 503) }, "RESET"},
		"reset, answered":  {func(h *limitHistory) { reset(h, 200) }, ""},
		"reset, an endpoint's error": {func(h *limitHistory) {
			reset(h, 500)
			h.setOutcome("r1", outcome{status: 500, servers: []string{"i-2"}, sent: h.now.Add(2 * s), ended: h.now.Add(2 * s)})
		}, ""},
		"reset, must not run twice": {func(h *limitHistory) {
			reset(h, 502)
			h.setOutcome("r1", outcome{unsafe: true, status: 502, sent: h.now.Add(2 * s), ended: h.now.Add(2 * s)})
		}, ""},
		"reset, attempts used up": {func(h *limitHistory) { reset(h, 502); h.AddArrival(h.arrivals[0]) }, ""},
		"reset, time used up": {func(h *limitHistory) {
			reset(h, 502)
			h.setOutcome("r1", outcome{status: 502, sent: h.now.Add(-2 * s), ended: h.now.Add(2 * s)})
		}, ""},
		"answered with status 500": {func(h *limitHistory) { reset(h, 502); h.degraded["i-1"][0].resets = false }, ""},
		"reset after the fault":    {func(h *limitHistory) { reset(h, 502); h.degraded["i-1"][0].to = h.now.Add(2 * s) }, ""},
		"reset, budget used up":    {func(h *limitHistory) { reset(h, 502); h.arrive(0, 1, s, 0, 52) }, ""},
		"reset, budget left":       {func(h *limitHistory) { reset(h, 502); h.arrive(0, 1, s, 0, 51) }, "RESET"},
		"reset, budget of requests": {func(h *limitHistory) {
			reset(h, 502)
			h.ask("b", 50, 200, -9*s, 0)
			h.arrive(0, 1, s, 0, 60)
			h.arrivals[1].At = h.now.Add(-20 * s)
		}, ""},
		"reset, another node's budget": {func(h *limitHistory) { reset(h, 502); h.arrive(1, 1, s, 0, 52) }, "RESET"},
		"reset, node has started":      {func(h *limitHistory) { reset(h, 502); h.MarkInterrupted(0, 0) }, ""},
		"reset, one endpoint is left":  {func(h *limitHistory) { reset(h, 502); h.MarkUnusable("i-2", 3*s) }, ""},
		"reset, burst":                 {func(h *limitHistory) { reset(h, 502); h.bursts[0].from = h.now }, ""},

		"starved":          {func(h *limitHistory) { h.ask("b", 10, 503, 21*s, s/10) }, "STARVED: none of 10 requests of account b"},
		"one answer":       {func(h *limitHistory) { h.ask("b", 10, 503, 21*s, s/10); h.ask("b", 1, 200, 22*s, 0) }, ""},
		"an answer before": {func(h *limitHistory) { h.ask("b", 10, 503, 21*s, s/10); h.ask("b", 1, 200, 19*s, 0) }, "STARVED"},
		"few requests":     {func(h *limitHistory) { h.ask("b", 9, 503, 21*s, s/10) }, ""},
		"harmful requests are refused": {func(h *limitHistory) {
			h.ask("b", 10, 503, 21*s, s/10)
			for id, o := range h.outcomes {
				o.harmful = true
				h.outcomes[id] = o
			}
		}, ""},
		"the account that bursts": {func(h *limitHistory) { h.ask("a", 10, 503, 21*s, s/10) }, ""},
		"starved, disturbed node": {func(h *limitHistory) { h.ask("b", 10, 503, 21*s, s/10); h.MarkStoreFault(0, h.now.Add(30*s)) }, ""},
		"starved, no endpoints": {func(h *limitHistory) {
			h.ask("b", 10, 503, 21*s, s/10)
			h.services["i-2"].to, h.services["i-3"].to = h.now, h.now
		}, ""},
		"no return":                     {func(h *limitHistory) { h.ask("b", 100, 200, 6*s, s/100) }, "RETURN: i-1 got none of 100 requests"},
		"return":                        {func(h *limitHistory) { h.ask("b", 100, 200, 6*s, s/100); h.arrive(0, 1, 15*s, 0, 0) }, ""},
		"late return":                   {func(h *limitHistory) { h.ask("b", 100, 200, 6*s, s/100); h.arrive(0, 1, 16*s, 0, 0) }, "RETURN"},
		"no return, few requests":       {func(h *limitHistory) { h.ask("b", 99, 200, 6*s, s/100) }, ""},
		"no return, it leaves":          {func(h *limitHistory) { h.ask("b", 100, 200, 6*s, s/100); h.services["i-1"].to = h.now.Add(14 * s) }, ""},
		"no return, the test has ended": {func(h *limitHistory) { h.ask("b", 100, 200, 6*s, s/100); h.end = h.now.Add(14 * s) }, ""},
		"return after another fault": {func(h *limitHistory) {
			h.ask("b", 100, 200, 11*s, s/100)
			h.MarkUnusable("i-1", 10*s)
			h.arrive(0, 1, 19*s, 0, 0)
		}, ""},
		"no return after another fault": {func(h *limitHistory) { h.ask("b", 100, 200, 11*s, s/100); h.MarkUnusable("i-1", 10*s) }, "RETURN"},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newLoadHistory()
				h.MarkDegraded("i-1", true, 5*time.Second)
				h.bursts = []burst{{period{h.now.Add(20 * s), h.now.Add(25 * s)}, "a"}}
				c.build(h)
				h.check(t, c.want)
			})
		})
	}
}

// Guards against periods that outlast faults which the end of the test has cut short, so
// that nothing is checked after them.
func TestEndOfLoadShortensFaults(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newLoadHistory()
		h.MarkDegraded("i-1", true, time.Second)
		h.MarkDegraded("i-2", true, time.Minute)
		h.MarkBurst("a", time.Minute)
		time.Sleep(2 * time.Second)
		h.EndLoad()
		qt.Check(t, h.degraded["i-1"][0].to, qt.Equals, h.now.Add(time.Second))
		qt.Check(t, h.degraded["i-2"][0].to, qt.Equals, h.now.Add(2*time.Second))
		qt.Check(t, h.bursts[0].to, qt.Equals, h.now.Add(2*time.Second))
	})
}
