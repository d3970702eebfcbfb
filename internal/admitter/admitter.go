// Package admitter decides which requests a group of engines takes on.
//
// It answers the load pattern of a burst above capacity: without a bound, the
// queues of the engines grow until every first token is late, and the work
// spent on requests that their callers have left takes the place of those that
// could be on time. The admitter keeps the wait for the first token below a
// part of the target and has the rest refused at once.
//
// A node knows its own requests only. It takes the rate at which they get
// their first tokens as its part of the capacity, so that nodes need not tell
// each other anything.
package admitter

import (
	"math"
	"time"
)

const (
	// rateMemory is the time over which the rate of first tokens is averaged.
	rateMemory = 1500 * time.Millisecond
	// waitShare is the part of the target that the expected wait may take. The
	// rest covers the reading of the prompt itself.
	waitShare = 0.8
	// leastPending is the number of requests for each engine of the group that
	// may always wait for their first token, as a share among the nodes.
	leastPending = 0.5
)

// Group is the state of one group of engines at a node. The zero value has
// seen no requests.
type Group struct {
	// pending is the number of requests that have not got their first token.
	pending int
	// rate is the moving rate of first tokens by second.
	rate    float64
	updated time.Time
}

// Admit tells whether a request is taken on: whether it may get its first token
// within the target. engines is the number of engines of the group.
func (g *Group) Admit(now time.Time, target time.Duration, engines int) bool {
	least := max(leastPending*float64(engines), 1)
	if float64(g.pending) < least {
		return true
	}

	return g.Wait(now) <= time.Duration(waitShare*float64(target))
}

// Wait returns the expected wait for the first token of another request.
func (g *Group) Wait(now time.Time) time.Duration {
	g.decay(now)
	if g.rate == 0 {
		return time.Hour
	}

	return time.Duration(float64(g.pending) / g.rate * float64(time.Second))
}

// Send notes a request that is sent to an engine.
func (g *Group) Send() { g.pending++ }

// Begin notes the first token of a request.
func (g *Group) Begin(now time.Time) {
	g.pending--
	g.decay(now)
	g.rate += 1 / rateMemory.Seconds()
}

// Drop notes a request that ends without a first token.
func (g *Group) Drop() { g.pending-- }

func (g *Group) decay(now time.Time) {
	if d := now.Sub(g.updated); d > 0 && !g.updated.IsZero() {
		keep := math.Exp(-d.Seconds() / rateMemory.Seconds())
		g.rate *= keep
	}
	g.updated = now
}
