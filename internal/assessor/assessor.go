// Package assessor judges the endpoints of a service by the outcomes of their
// attempts.
//
// It handles endpoints that fail at once. Such an endpoint has no running
// requests, so that placement by load alone sends it most of the requests that
// it then fails. The nodes of a fleet exchange the outcomes that they observe,
// because a single node sends too few requests to an endpoint to judge it in
// time.
//
// The types of this package have no clock: time is passed in.
package assessor

import (
	"math"
	"slices"
	"time"

	"snipedyke/pkg/encoder"
)

const (
	// decayTime is the time constant with which outcomes are forgotten. Faults of
	// endpoints last for seconds.
	decayTime = 1500 * time.Millisecond
	// priorAttempts is the number of successful attempts that are assumed of each
	// endpoint, so that one or two failures do not take it out of use.
	priorAttempts = 2
	// maxAttempts bounds the evidence. Without a bound an endpoint that many nodes
	// have tried would stay out of use for long after it has recovered.
	maxAttempts = 16
)

// Record holds the decayed outcomes of the attempts at one endpoint. The zero
// value has none.
type Record struct {
	// attempts is at least failures, and failures is at least 0.
	attempts, failures float64
	updated            time.Time
}

// Add adds attempts and those of them that have failed. Failures beyond the attempts are
// ignored, and evidence beyond maxAttempts is scaled down.
func (r *Record) Add(now time.Time, attempts, failures int) {
	decay := r.decay(now)
	r.attempts = decay*r.attempts + float64(attempts)
	r.failures = decay*r.failures + float64(min(failures, attempts))
	if r.attempts > maxAttempts {
		r.failures *= maxAttempts / r.attempts
		r.attempts = maxAttempts
	}
	r.updated = now
}

// Share returns the share of attempts that fail, between 0 and 1.
func (r *Record) Share(now time.Time) float64 {
	decay := r.decay(now)

	return decay * r.failures / (decay*r.attempts + priorAttempts)
}

// Attempts returns the decayed number of attempts.
func (r *Record) Attempts(now time.Time) float64 { return r.decay(now) * r.attempts }

func (r *Record) decay(now time.Time) float64 {
	if r.updated.IsZero() || !now.After(r.updated) {
		return 1
	}

	return math.Exp(-now.Sub(r.updated).Seconds() / decayTime.Seconds())
}

const (
	// failingShare is the share of failed attempts from which an endpoint counts as
	// failing. An endpoint that still serves most requests is worth its load.
	failingShare = 0.5
	// failingMargin is how much an endpoint must be above the median of its service
	// to count as failing: where most endpoints fail alike, leaving some out only
	// overloads the others.
	failingMargin = 0.25
)

// Threshold returns the share from which an endpoint counts as failing among
// endpoints with the given shares, which it sorts. At most half of the endpoints
// are at or above it.
func Threshold(shares []float64) float64 {
	if len(shares) == 0 {
		return failingShare
	}
	slices.Sort(shares)

	return max(failingShare, shares[(len(shares)-1)/2]+failingMargin)
}

// Suspect reports whether a share is high enough to compare it with Threshold.
func Suspect(share float64) bool { return share >= failingShare }

// probeInterval is the time between two probe requests to a failing endpoint, from
// all nodes together. Several fit into decayTime, so that successful ones bring the
// endpoint back.
const probeInterval = 500 * time.Millisecond

// Probes paces a node's share of the probe requests to one endpoint. The zero value
// is ready to use.
type Probes struct {
	next time.Time
}

// Due reports whether the node may send a probe request now. phase, which is at
// least 0 and less than 1, spreads the first probe requests of the nodes.
func (p *Probes) Due(now time.Time, nodes int, phase float64) bool {
	if interval := time.Duration(nodes) * probeInterval; p.next.IsZero() || now.Sub(p.next) > interval {
		// The endpoint has not been failing until now.
		p.next = now.Add(time.Duration(phase * float64(interval)))
	}

	return !now.Before(p.next)
}

// Sent records a probe request.
func (p *Probes) Sent(now time.Time, nodes int) {
	p.next = now.Add(time.Duration(nodes) * probeInterval)
}

// Tally counts the outcomes at one endpoint that other nodes have not been told
// of. The zero value has none.
type Tally struct{ Attempts, Failures int }

// Add adds the outcome of an attempt.
func (t *Tally) Add(failed bool) {
	t.Attempts++
	if failed {
		t.Failures++
	}
}

// reportedShare is the share from which the successful attempts at an endpoint
// are reported, too. They show that it still serves others, or again.
const reportedShare = 0.1

// Reports reports whether the outcomes are worth telling other nodes about an
// endpoint that fails the given share of its attempts.
func (t *Tally) Reports(share float64) bool {
	return t.Failures > 0 || t.Attempts > 0 && share >= reportedShare
}

// Take moves the outcomes into an observation.
func (t *Tally) Take(o *encoder.Observation) {
	o.Attempts, o.Failures = t.Attempts, t.Failures
	*t = Tally{}
}

const (
	// minUsed is the number of endpoints that a node must have used lately to find
	// out whether it is cut off, and usedAttempts is the decayed number of attempts
	// from which it has used one.
	minUsed      = 4
	usedAttempts = 0.25
	// cutOffPart is the part of these endpoints that must have failed most of the
	// node's attempts.
	cutOffPart = 2.0 / 3
)

// Isolation finds out whether a node may be partitioned from the endpoints, so that its
// failures say nothing about them. The zero value has seen no endpoint.
type Isolation struct{ used, failed int }

// Add adds an endpoint with the outcomes of the node's own attempts.
func (i *Isolation) Add(now time.Time, own *Record) {
	if own.Attempts(now) < usedAttempts {
		return
	}
	i.used++
	if 2*own.failures > own.attempts {
		i.failed++
	}
}

// CutOff reports whether most of the endpoints that the node has used lately have
// failed its attempts.
func (i *Isolation) CutOff() bool {
	return i.used >= minUsed && float64(i.failed) > cutOffPart*float64(i.used)
}
