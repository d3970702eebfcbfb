package soaker

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"snipedyke/platform/standin"
)

// limitHistory is a history with times relative to now.
type limitHistory struct {
	*History
	now  time.Time
	sent int
}

func newLimitHistory() *limitHistory {
	h := &limitHistory{History: NewHistory(), now: time.Now()}
	h.coldRate = 4

	return h
}

// arrive adds requests of a node that arrive at i-1 from a time on, step by step, each
// with the given number of repeats.
func (h *limitHistory) arrive(node, count int, from, step time.Duration, repeats int) {
	for i := range count {
		h.sent++
		a := standin.Arrival{Server: "i-1", Request: fmt.Sprint("r", h.sent), At: h.now.Add(from + time.Duration(i)*step)}
		h.setOutcome(a.Request, outcome{status: 503, sent: a.At, node: node})
		for range 1 + repeats {
			h.AddArrival(a)
		}
	}
}

func (h *limitHistory) check(t *testing.T, want string) {
	found := strings.Join(h.Check(), "; ")
	if want == "" {
		qt.Check(t, found, qt.Equals, "")
	} else {
		qt.Check(t, found, qt.Contains, want)
	}
}

// Guards against a check that misses nodes that together send too many requests to a
// cold endpoint, or finds requests that are allowed. An endpoint that tolerates four
// requests per second may get 11.
func TestColdCheckFindsViolations(t *testing.T) {
	const ms = time.Millisecond
	for name, c := range map[string]struct {
		build func(h *limitHistory)
		want  string
	}{
		"as many as allowed":      {func(h *limitHistory) { h.arrive(0, 11, 2000*ms, 0, 0) }, ""},
		"one too many":            {func(h *limitHistory) { h.arrive(0, 12, 2000*ms, 90*ms, 0) }, "FAILBACK: cold i-1 got 12 requests"},
		"one too many, two nodes": {func(h *limitHistory) { h.arrive(0, 6, 2000*ms, 0, 0); h.arrive(1, 6, 2999*ms, 0, 0) }, "map[0:6 1:6]"},
		"in two seconds":          {func(h *limitHistory) { h.arrive(0, 6, 2000*ms, 0, 0); h.arrive(1, 6, 3000*ms, 0, 0) }, ""},
		"before the limit":        {func(h *limitHistory) { h.arrive(0, 30, 999*ms, 0, 0) }, ""},
		"from the limit on":       {func(h *limitHistory) { h.arrive(0, 30, 1000*ms, 0, 0) }, "30 requests"},
		"just before it ends":     {func(h *limitHistory) { h.arrive(0, 30, 3999*ms, 0, 0) }, "30 requests"},
		"when it has ended":       {func(h *limitHistory) { h.arrive(0, 30, 4000*ms, 0, 0) }, ""},
		"cold again": {func(h *limitHistory) {
			h.cold["i-1"] = append(h.cold["i-1"], period{h.now.Add(9000 * ms), h.now.Add(10000 * ms)})
			h.arrive(0, 30, 9500*ms, 0, 0)
		}, "30 requests"},
		"across two cold times": {func(h *limitHistory) {
			h.cold["i-1"] = append(h.cold["i-1"], period{h.now.Add(4000 * ms), h.now.Add(6000 * ms)})
			h.arrive(0, 6, 3800*ms, 0, 0)
			h.arrive(0, 6, 4200*ms, 0, 0)
		}, "12 requests"},
		"another endpoint": {func(h *limitHistory) {
			h.arrive(0, 30, 2000*ms, 0, 0)
			h.cold["i-2"], h.cold["i-1"] = h.cold["i-1"], nil
		}, ""},
		"misdirected": {func(h *limitHistory) {
			h.arrive(0, 30, 2000*ms, 0, 0)
			for i := range h.arrivals {
				h.arrivals[i].Misdirected = true
			}
		}, ""},
		"a node that cannot reach the store": {func(h *limitHistory) {
			h.storeFaults[0] = []period{{h.now, h.now.Add(2500 * ms)}}
			h.arrive(0, 30, 2000*ms, 0, 0)
		}, ""},
		"a node that has recovered": {func(h *limitHistory) {
			h.storeFaults[0] = []period{{h.now, h.now.Add(2000 * ms)}}
			h.arrive(0, 30, 2000*ms, 0, 0)
		}, "30 requests"},
		"a node that cannot reach the store later": {func(h *limitHistory) {
			h.arrive(0, 30, 2000*ms, 0, 0)
			h.MarkStoreFault(0, h.now.Add(time.Hour))
			h.storeFaults[0][0].from = h.now.Add(2001 * ms)
		}, "30 requests"},
		"a node that was killed": {func(h *limitHistory) {
			h.arrive(0, 30, 2000*ms, 0, 0)
			h.MarkDisturbed(0, h.now.Add(time.Hour))
		}, "30 requests"},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newLimitHistory()
				h.MarkCold("i-1", h.now.Add(4*time.Second))
				c.build(h)
				h.check(t, c.want)
			})
		})
	}
}

// Guards against a check that misses repeats beyond the retry budget, or finds those
// that it allows: 52 in 10 s and a fifth of the requests.
func TestRetryCheckFindsViolations(t *testing.T) {
	const s = time.Second
	for name, c := range map[string]struct {
		build func(h *limitHistory)
		want  string
	}{
		"no repeats":       {func(h *limitHistory) { h.arrive(0, 1000, 0, 0, 0) }, ""},
		"slack":            {func(h *limitHistory) { h.arrive(0, 1, 0, 0, 52) }, ""},
		"beyond the slack": {func(h *limitHistory) { h.arrive(0, 1, 0, 0, 53) }, "BUDGET: 53 repeats in 10s"},
		"with requests":    {func(h *limitHistory) { h.arrive(0, 100, 0, 0, 0); h.arrive(1, 1, s, 0, 72) }, ""},
		"too many with requests": {func(h *limitHistory) {
			h.arrive(0, 100, 0, 0, 0)
			h.arrive(1, 1, s, 0, 73)
		}, "73 repeats in 10s"},
		"summed over nodes":        {func(h *limitHistory) { h.arrive(0, 1, 0, 0, 30); h.arrive(1, 1, 9*s, 0, 30) }, "by node: map[0:30 1:30]"},
		"in two windows":           {func(h *limitHistory) { h.arrive(0, 1, 0, 0, 30); h.arrive(1, 1, 10*s, 0, 30) }, ""},
		"requests before":          {func(h *limitHistory) { h.arrive(0, 100, 0, 0, 0); h.arrive(0, 1, 9*s, 0, 70) }, ""},
		"requests long before":     {func(h *limitHistory) { h.arrive(0, 100, 0, 0, 0); h.arrive(0, 1, 11*s, 0, 70) }, "70 repeats"},
		"requests that come later": {func(h *limitHistory) { h.arrive(0, 1, 0, 0, 70); h.arrive(0, 100, 11*s, 0, 0) }, "70 repeats"},
		"requests of half a window before": {func(h *limitHistory) {
			h.arrive(0, 46, -3*s, 0, 0)
			h.arrive(0, 46, 4*s, 0, 0)
			h.arrive(0, 1, 0, 0, 35)
			h.arrive(0, 1, 6*s, 0, 35)
		}, ""},
		"at several endpoints": {func(h *limitHistory) {
			h.arrive(0, 1, 0, 0, 60)
			for i := range h.arrivals {
				h.arrivals[i].Server = fmt.Sprint("i-", i)
			}
		}, "60 repeats"},
		"misdirected": {func(h *limitHistory) {
			h.arrive(0, 1, 0, 0, 60)
			for i := range h.arrivals {
				h.arrivals[i].Misdirected = true
			}
		}, "60 repeats"},
		"faults of the store": {func(h *limitHistory) { h.arrive(0, 1, 0, 0, 60); h.MarkStoreFault(0, h.now.Add(time.Hour)) }, "60 repeats"},
		"requests that did not arrive": {func(h *limitHistory) {
			h.arrive(0, 100, 0, 0, 0)
			h.arrivals = nil
			h.arrive(0, 1, s, 0, 72)
		}, ""},
	} {
		t.Run(name, func(t *testing.T) {
			h := newLimitHistory()
			c.build(h)
			h.check(t, c.want)
		})
	}
}

// Guards against a check that misses nodes that together send more requests than the
// limit that an endpoint names, or finds requests of nodes that cannot know of it. With a
// limit of one request a second, an endpoint may get 11 in 4 s.
func TestLimitCheckFindsViolations(t *testing.T) {
	const s = time.Second
	tell := func(h *limitHistory, node int, at time.Duration) {
		request := fmt.Sprint("told-", node)
		h.setOutcome(request, outcome{status: 200, sent: h.now.Add(at), ended: h.now.Add(at), node: node, servers: []string{"i-1"}})
		h.AddAnswer(standin.Answer{Server: "i-1", Request: request, Limit: 1, At: h.now.Add(at)})
	}
	for name, c := range map[string]struct {
		build func(h *limitHistory)
		want  string
	}{
		"as many as allowed": {func(h *limitHistory) { tell(h, 0, s); h.arrive(0, 11, 5*s, 0, 0) }, ""},
		"one too many":       {func(h *limitHistory) { tell(h, 0, s); h.arrive(0, 12, 5*s, 0, 0) }, "LIMIT: i-1 got 12 requests"},
		"two nodes": {func(h *limitHistory) {
			tell(h, 0, s)
			tell(h, 1, s)
			h.arrive(0, 6, 5*s, 0, 0)
			h.arrive(1, 6, 8*s, 0, 0)
		}, "12 requests"},
		"in two windows": {func(h *limitHistory) { tell(h, 0, s); h.arrive(0, 6, 5*s, 0, 0); h.arrive(0, 6, 9*s, 0, 0) }, ""},
		"just named":     {func(h *limitHistory) { tell(h, 0, s); h.arrive(0, 30, 2900*time.Millisecond, 0, 0) }, ""},
		"named no more":  {func(h *limitHistory) { tell(h, 0, s); h.arrive(0, 30, 10*s, 0, 0) }, ""},
		"not told":       {func(h *limitHistory) { tell(h, 1, s); h.arrive(0, 30, 5*s, 0, 0) }, ""},
		"just told":      {func(h *limitHistory) { tell(h, 0, 4600*time.Millisecond); h.arrive(0, 30, 5*s, 0, 0) }, ""},
		"restarted": {func(h *limitHistory) {
			tell(h, 0, s)
			h.interruptions[0] = []period{{h.now.Add(2 * s), h.now.Add(2 * s)}}
			h.arrive(0, 30, 5*s, 0, 0)
		}, ""},
	} {
		t.Run(name, func(t *testing.T) {
			h := newLimitHistory()
			h.coldRate = 1000
			h.limited["i-1"] = []limit{{period{h.now, h.now.Add(10 * s)}, 1}}
			c.build(h)
			h.check(t, c.want)
		})
	}
}
