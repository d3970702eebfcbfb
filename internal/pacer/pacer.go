// Package pacer spaces the requests to an endpoint that bears only few of
// them, and keeps the retries of a node below its part of the fleet's budget.
//
// The load pattern that Pacer answers is a data centre that comes back cold
// while callers wait: every node would send its share of the backlog at once.
// Budget answers a service that fails many of its requests: retries must not
// add up to a second load.
package pacer

import "time"

// Pacer lets at most a number of requests pass in a window. The zero value
// lets nothing pass until Limit is set.
type Pacer struct {
	// Limit is the number of requests in a window.
	Limit int
	// Window is the length of the sliding window.
	Window time.Duration
	// sent holds the times of the last Limit requests.
	sent []time.Time
}

// Ready tells whether a request may pass.
func (p *Pacer) Ready(now time.Time) bool {
	if p.Limit <= 0 {
		return false
	}

	return len(p.sent) < p.Limit || now.Sub(p.sent[len(p.sent)-p.Limit]) >= p.Window
}

// Pass notes a request that passes.
func (p *Pacer) Pass(now time.Time) {
	p.sent = append(p.sent, now)
	if excess := len(p.sent) - p.Limit; excess > 0 {
		p.sent = append(p.sent[:0], p.sent[excess:]...)
	}
}

// Budget bounds retries to a part of the requests in a sliding window.
type Budget struct {
	// Window is the length of the window.
	Window time.Duration
	// Ratio is the number of retries for each request, and Slack the number
	// that is allowed besides.
	Ratio float64
	Slack float64

	requests, retries []time.Time
}

// Request notes the first attempt of a request.
func (b *Budget) Request(now time.Time) {
	b.requests = append(trim(b.requests, now.Add(-b.Window)), now)
}

// Retry tells whether another attempt is allowed, and notes it if so.
func (b *Budget) Retry(now time.Time) bool {
	b.requests = trim(b.requests, now.Add(-b.Window))
	b.retries = trim(b.retries, now.Add(-b.Window))
	if float64(len(b.retries)+1) > b.Ratio*float64(len(b.requests))+b.Slack {
		return false
	}
	b.retries = append(b.retries, now)

	return true
}

// trim drops the times before the limit.
func trim(times []time.Time, limit time.Time) []time.Time {
	n := 0
	for n < len(times) && times[n].Before(limit) {
		n++
	}
	if n == 0 {
		return times
	}

	return append(times[:0], times[n:]...)
}
