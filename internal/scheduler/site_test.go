package scheduler

import (
	"math"
	"time"

	"snipedyke/pkg/cataloguer"
)

// Pools of the two sites that the design page describes: guild (draftsmith and
// orderdesk) and valcollina (rota-assistant and booking-desk).
var (
	draftsmith = &site{name: "draftsmith", nodes: 8, servers: 9, slots: 8, cold: 3, centres: 4}
	orderdesk  = &site{name: "orderdesk", nodes: 8, servers: 4, slots: 8, cold: 3, centres: 4}
	rota       = &site{name: "rota-assistant", nodes: 8, servers: 12, slots: 8, cold: 3, centres: 3}
	booking    = &site{name: "booking-desk", nodes: 8, servers: 3, slots: 8, cold: 3, centres: 3}
)

// Classes of the guild site. The corresponding classes of the other site (chat,
// summaries, bookings and availability checks) have the same targets and shares.
var (
	fit      = &cataloguer.Class{Name: "fit", Tier: 1, FirstToken: 660 * time.Millisecond, Gap: 31 * time.Millisecond, Share: 0.35, MaxWait: 5 * time.Second}
	drafts   = &cataloguer.Class{Name: "drafts", Tier: 3, FirstToken: 30 * time.Second, Gap: 60 * time.Millisecond, Share: 0.4, MaxWait: 3 * time.Minute, Batch: true}
	payments = &cataloguer.Class{Name: "payments", Tier: 0, FirstToken: 300 * time.Millisecond, Share: 0.4, MaxWait: time.Second}
	checks   = &cataloguer.Class{Name: "checks", Tier: 2, FirstToken: 300 * time.Millisecond, Share: 0.4, MaxWait: time.Second}
)

// spread is the standard deviation of the natural logarithm of answer lengths.
const spread = 0.6

// meanLength returns the mean of log-normally distributed answer lengths with the
// given median.
func meanLength(median float64) float64 { return median * math.Exp(spread*spread/2) }

// requestRate returns the number of requests per second that keeps a fraction of
// the slots of warm servers busy. A full batch makes the time between tokens 1.4
// times as long.
func requestRate(fraction float64, servers, slots int, prefill time.Duration, tokens float64) float64 {
	run := prefill.Seconds() + meanLength(tokens)*fastGap.Seconds()*1.4

	return fraction * float64(servers*slots) / run
}

func steady(r float64) func(time.Duration) float64 { return func(time.Duration) float64 { return r } }

// chats uses half of its share of the remaining servers in the mean and all of
// it in the peaks of each minute.
func chats(fraction float64, servers, slots int) *workload {
	r := requestRate(fraction, servers, slots, 100*time.Millisecond, 120)

	return &workload{
		class: fit, maxRate: 1.5 * r, prefill: 100 * time.Millisecond, tokens: 120, spread: spread,
		rate: func(t time.Duration) float64 { return r * (1 + 0.5*math.Sin(t.Minutes()*2*math.Pi)) },
	}
}

// draftWindow is the time before its batch deadline in which a client account
// sends its drafts.
const draftWindow = 5 * time.Minute

// batch returns a workload of drafts with a median of 1500 tokens, which take about
// 45 s.
func batch(fraction float64, servers, slots int) *workload {
	r := requestRate(fraction, servers, slots, 300*time.Millisecond, 1500)

	return &workload{
		class: drafts, rate: steady(r), maxRate: r, prefill: 300 * time.Millisecond, tokens: 1500, spread: spread,
		maxWindow: draftWindow,
	}
}

// calls returns workloads of plain calls of 60 ms that keep a fraction of the slots
// of the servers busy.
func calls(fraction float64, servers, slots int) []*workload {
	r := fraction * float64(servers*slots) / 0.063
	newWorkload := func(c *cataloguer.Class, ratio float64, once bool) *workload {
		return &workload{class: c, rate: steady(r * ratio), maxRate: r * ratio, prefill: 60 * time.Millisecond, once: once}
	}

	return []*workload{newWorkload(payments, 0.4, true), newWorkload(checks, 0.6, false)}
}
