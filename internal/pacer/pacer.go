// Package pacer limits the rate of requests to an endpoint with little capacity,
// and the retries of a node to its share of the fleet's budget.
//
// Pacer is for a data centre that returns cold while callers wait, and for an endpoint
// that names a limit: without it every node would send its share of the backlog at
// once. Budget is for a service that fails many of its requests: without it retries
// could double the load.
package pacer

import (
	"slices"
	"time"
)

// Pacer limits the number of requests in sliding windows.
type Pacer struct {
	// Longest is the length of the longest window.
	Longest time.Duration
	// sent holds the times of the requests in the longest window, oldest first.
	sent []time.Time
}

// Allowed reports whether a request may be sent at the given time, if at most limit
// requests may be sent in any window of the given length.
func (p *Pacer) Allowed(now time.Time, limit int, window time.Duration) bool {
	return len(p.sent) < limit || limit > 0 && now.Sub(p.sent[len(p.sent)-limit]) >= window
}

// Record records that a request is sent.
func (p *Pacer) Record(now time.Time) {
	p.sent = append(trim(p.sent, now.Add(-p.Longest)), now)
}

// Include adds the requests that another pacer has recorded.
func (p *Pacer) Include(other *Pacer) {
	p.sent = append(p.sent, other.sent...)
	slices.SortFunc(p.sent, time.Time.Compare)
}

// Clone returns an independent copy.
func (p *Pacer) Clone() Pacer { return Pacer{Longest: p.Longest, sent: slices.Clone(p.sent)} }

// Withdraw removes a request that was recorded for the given time but not sent.
func (p *Pacer) Withdraw(at time.Time) {
	if i := slices.IndexFunc(p.sent, at.Equal); i >= 0 {
		p.sent = slices.Delete(p.sent, i, i+1)
	}
}

// Budget bounds the retries in a sliding window to a fraction of the requests in the
// window before. The sum over the nodes then bounds those of the fleet, also where callers
// go from one node to another. Windows that begin in the first one with requests have
// none before; there, the requests in the window, or half a window earlier, count if they
// are more and their callers do not come from other nodes.
type Budget struct {
	// Window is the length of the sliding window of requests and retries.
	Window time.Duration
	// Margin is how much later than it is allowed a retry may be sent. Retries count for
	// that much longer than Window.
	Margin time.Duration
	// Ratio is the number of retries allowed for each request.
	Ratio float64
	// Slack is the number of retries allowed in addition, independent of the
	// number of requests.
	Slack float64
	// Ready is when the node last became ready, or zero if that is not known. If requests
	// come soon after that, other nodes have had their callers before.
	Ready time.Time

	requests, retries []time.Time
	// begun is the time of the first request after two windows without any, or zero if
	// its caller comes from another node.
	begun time.Time
}

// Clone returns an independent copy.
func (b *Budget) Clone() Budget {
	c := *b
	c.requests, c.retries = slices.Clone(b.requests), slices.Clone(b.retries)

	return c
}

// RecordRequest records the first attempt of a request.
func (b *Budget) RecordRequest(now time.Time) {
	b.requests = append(trim(b.requests, now.Add(-2*b.Window)), now)
	if len(b.requests) == 1 {
		b.begun = time.Time{}
		if now.Sub(b.Ready) >= b.Window/2 {
			b.begun = now
		}
	}
}

// windowSteps is the number of windows that are checked for each retry. They begin at
// regular intervals.
const windowSteps = 40

// AllowRetry reports whether a retry is allowed, and records it if it is.
func (b *Budget) AllowRetry(now time.Time) bool {
	if !b.Allows(now) {
		return false
	}
	b.retries = append(b.retries, now)

	return true
}

// Allows reports whether a retry is allowed. It must be allowed in all windows that
// include it, even if no requests follow.
func (b *Budget) Allows(now time.Time) bool {
	b.requests = trim(b.requests, now.Add(-2*b.Window))
	b.retries = trim(b.retries, now.Add(-b.Window-b.Margin))
	if float64(len(b.retries)+1) > b.Ratio*float64(count(b.requests, now.Add(-b.Window), b.Window))+b.Slack {
		return false
	}
	for step := range windowSteps + 1 {
		from := now.Add(-b.Window * time.Duration(step) / windowSteps)
		requests := count(b.requests, from.Add(-b.Window), b.Window)
		if from.Sub(b.begun) < b.Window {
			requests = max(requests, count(b.requests, from, b.Window), count(b.requests, from.Add(-b.Window/2), b.Window))
		}
		retries := count(b.retries, from.Add(-b.Margin), b.Window+b.Margin) + 1
		if float64(retries) > b.Ratio*float64(requests)+b.Slack {
			return false
		}
	}

	return true
}

// Renew counts a retry that was allowed at the given time, but has not arrived, from now
// on.
func (b *Budget) Renew(at, now time.Time) {
	b.Withdraw(at)
	b.retries = append(b.retries, now)
}

// Withdraw removes a retry that was allowed at the given time but not sent.
func (b *Budget) Withdraw(at time.Time) {
	if i := slices.IndexFunc(b.retries, at.Equal); i >= 0 {
		b.retries = slices.Delete(b.retries, i, i+1)
	}
}

// count returns the number of times in a window that begins at the given time. The times
// must be in ascending order.
func count(times []time.Time, from time.Time, window time.Duration) int {
	first, _ := slices.BinarySearchFunc(times, from, time.Time.Compare)
	next, _ := slices.BinarySearchFunc(times[first:], from.Add(window+1), time.Time.Compare)

	return next
}

// trim removes the times before the limit. The times must be in ascending order.
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
