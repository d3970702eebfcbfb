package scheduler

import (
	"cmp"
	"math"
	"slices"
	"time"

	"snipedyke/internal/placer"
	"snipedyke/pkg/encoder"
)

const (
	// returnFraction is the fraction of a class's first-token target within
	// which a place taken by a lower tier must be expected to become free again.
	returnFraction = 0.25
	// urgentFraction is the fraction of the first-token target after which a
	// non-idempotent ask takes precedence over the shares of lower tiers.
	urgentFraction = 0.25
	// holdDeviations is the number of standard deviations by which the places
	// held free for a class exceed its mean demand.
	holdDeviations = 2
	// demandWindow is the time constant of the moving average of a class's
	// demand.
	demandWindow = 30 * time.Second
)

// Step grants free places and returns all decisions since the last step: those
// of other calls first, then the grants, then the state changes of endpoints. It
// must be called after each batch of events and at least every 100 ms.
func (h *Home) Step(now time.Time) []Decision {
	h.steps++
	if now.Sub(h.lastSweep) >= sweepInterval {
		h.lastSweep = now
		h.sweepAll(now)
	}
	h.grantAll(now)
	for _, c := range h.placer.Changes() {
		h.decisions = append(h.decisions, Change(c))
	}
	out := h.decisions
	h.decisions = nil

	return out
}

// sweepAll does the periodic work that iterates over all permits and asks.
func (h *Home) sweepAll(now time.Time) {
	h.sweepPermits(now)
	h.sweepMarks(now)
	h.retryBudget.sweep(now)
	for _, name := range h.placer.Step(now) {
		h.decisions = append(h.decisions, Probe{Endpoint: name})
	}
	h.reserve()
	if now.Sub(h.lastEstimate) >= estimateInterval {
		h.lastEstimate = now
		h.updateEstimates(now)
	}
	for _, c := range h.classes {
		c.demand += (float64(c.running+c.queued) - c.demand) * float64(sweepInterval) / float64(demandWindow)
		h.sweepAsks(now, c)
		c.dropEmptySubqueues()
	}
}

// sweepAsks refuses the asks of a class that have waited too long.
func (h *Home) sweepAsks(now time.Time, c *class) {
	bound := c.conf.MaxWait + c.conf.FirstToken
	for _, s := range c.subqueues {
		h.refuseLate(now, c, &s.byDue)
	}
	if c.conf.Batch || c.nonIdempotent {
		return
	}
	for q := c.oldest(); q != nil && now.Sub(q.arrived) > bound; q = c.oldest() {
		h.unqueue(q)
		h.refuse(q.node.name, q.id, ReasonOverload, h.estimateWait(c, false))
	}
}

// refuseLate refuses the asks of a heap whose deadline cannot be met. Those
// that are due first are looked at only as far as they are late; the other
// order is looked at as a whole.
func (h *Home) refuseLate(now time.Time, c *class, asks *heap[*queuedAsk]) {
	var late []*queuedAsk
	for _, q := range asks.items {
		if !q.deadline.IsZero() && !now.Before(q.deadline) || c.conf.Batch && h.likelyLate(now, c, q) {
			late = append(late, q)
		}
	}
	slices.SortFunc(late, func(a, b *queuedAsk) int { return cmp.Compare(a.seq, b.seq) })
	for _, q := range late {
		h.unqueue(q)
		h.refuse(q.node.name, q.id, ReasonDeadline, 0)
	}
}

// updateEstimates updates the expected run times of each class. Runs in progress
// that outlast the recorded ones raise the estimate at once: in a steady state
// the age and the remaining time of a run add up to at most twice the mean.
func (h *Home) updateEstimates(now time.Time) {
	sums := make(map[*class]float64, len(h.classes))
	for _, p := range h.permits {
		// Whole milliseconds are summed, so that map order does not affect the
		// floating-point sum.
		sums[p.class] += float64(now.Sub(p.Started).Milliseconds()) + float64(p.remaining(now).Milliseconds())
	}
	for _, c := range h.classes {
		ms := c.runMillis.mean(float64(unknownRun.Milliseconds()))
		if c.running > 0 {
			ms = max(ms, sums[c]/float64(2*c.running))
		}
		c.expectedRun = time.Duration(ms * float64(time.Millisecond))
		if mean := c.answerTokens.mean(0); mean > 0 {
			perToken := c.runMillis.mean(0) / mean * c.limitUsePerMille.quantile(limitUseQuantile) / 1000
			c.timePerToken = time.Duration(perToken * float64(time.Millisecond))
		}
		c.usualRun = time.Duration(c.runMillis.quantile(usualRunQuantile) * float64(time.Millisecond))
		c.longRun = time.Duration(longRunFactor * c.runMillis.quantile(longRunQuantile) * float64(time.Millisecond))
	}
}

// remaining returns the expected remaining time of a run.
func (p *permit) remaining(now time.Time) time.Duration {
	age := now.Sub(p.Started)
	if p.tokens == 0 || p.First == 0 || age <= p.First {
		rest := p.class.runMillis.meanRest(float64(age.Milliseconds()), float64(unknownRun.Milliseconds()))

		return time.Duration(max(rest, 0) * float64(time.Millisecond))
	}
	tokens := float64(p.tokens)
	rest := p.class.answerTokens.meanRest(tokens, tokens)
	if p.maxTokens > 0 {
		rest = min(rest, float64(p.maxTokens)-tokens)
	}

	return time.Duration(max(rest, 0) * float64(age-p.First) / tokens)
}

// grantAll grants free places until none is left or no ask can use one.
func (h *Home) grantAll(now time.Time) {
	_, free := h.placer.Places()
	if free == 0 {
		return
	}
	h.reserve()
	for free > 0 {
		q, e := h.pick(now, free)
		if q == nil {
			return
		}
		h.grant(now, q, e)
		_, free = h.placer.Places()
	}
}

// pick returns the next ask and its endpoint, or nil. In order of precedence it
// serves classes whose oldest ask exceeds the maximum wait while they run fewer
// requests than reserved, classes with urgent non-idempotent asks, other classes
// below their reserved places, and the rest.
func (h *Home) pick(now time.Time, free int) (*queuedAsk, *placer.Endpoint) {
	for i, c := range h.classes {
		q := c.oldest()
		if q == nil || now.Sub(q.arrived) <= c.conf.MaxWait || c.running >= max(1, h.reserved[i]) {
			continue
		}
		if c.running > 0 && !h.mayTakePlace(i, free) {
			continue
		}
		// Batch asks with a deadline are ordered by deadline instead of age.
		if !c.conf.Batch || q.deadline.IsZero() {
			if e := h.chooseEndpoint(now, q); e != nil {
				return q, e
			}
		}
		if q, e := h.nextPlaceable(now, c); e != nil {
			return q, e
		}
	}
	for i, c := range h.classes {
		q := c.oldest()
		if q == nil || !c.nonIdempotent || float64(now.Sub(q.arrived)) <= urgentFraction*float64(c.conf.FirstToken) || !h.mayTakePlace(i, free) {
			continue
		}
		if q, e := h.nextPlaceable(now, c); e != nil {
			return q, e
		}
	}
	for i, c := range h.classes {
		if c.queued == 0 || c.running >= h.reserved[i] || !h.mayTakePlace(i, free) {
			continue
		}
		if q, e := h.nextPlaceable(now, c); e != nil {
			return q, e
		}
	}
	for i, c := range h.classes {
		if c.queued == 0 || !h.mayTakePlace(i, free) {
			continue
		}
		if q, e := h.nextPlaceable(now, c); e != nil {
			return q, e
		}
	}

	return nil, nil
}

// mayTakePlace reports whether the class at index i may take one of the free
// places. The places held for higher tiers must stay free, except for a tier
// whose target allows it to wait until the class's run is expected to end.
func (h *Home) mayTakePlace(i, free int) bool {
	c := h.classes[i]
	reserved := 0
	for j, d := range h.classes[:i] {
		if d.conf.Tier == c.conf.Tier || float64(c.expectedRun) < returnFraction*float64(d.conf.FirstToken) {
			continue
		}
		reserved += h.heldPlaces(j)
	}

	return free > reserved
}

// heldPlaces returns the number of free places to hold for the class at index i.
// For non-idempotent work these are all of its unused reserved places. For other
// work they are the ones that its demand may need before other places become
// free: the standard deviation of the number of independent requests in progress
// is the square root of its mean.
func (h *Home) heldPlaces(i int) int {
	c := h.classes[i]
	unused := max(0, h.reserved[i]-c.running)
	if c.nonIdempotent || unused == 0 {
		return unused
	}
	demand := max(c.demand, float64(c.running+c.queued))
	need := demand + holdDeviations*math.Sqrt(demand+1)

	return min(unused, max(0, int(math.Ceil(need))-c.running))
}

// nextPlaceable returns the class's next ask for which an endpoint has a free
// place, and that endpoint, or nil.
func (h *Home) nextPlaceable(now time.Time, c *class) (*queuedAsk, *placer.Endpoint) {
	for q := c.next(now, h.steps); q != nil; q = c.next(now, h.steps) {
		if e := h.chooseEndpoint(now, q); e != nil {
			return q, e
		}
	}

	return nil, nil
}

// chooseEndpoint returns an endpoint for the ask, or nil. An ask whose node has
// no recent report is parked until the next one.
func (h *Home) chooseEndpoint(now time.Time, q *queuedAsk) *placer.Endpoint {
	if q.subqueue.blockedStep == h.steps {
		return nil
	}
	if now.Sub(q.node.reported) > maxReportAge {
		q.subqueue.class.remove(q)
		q.parked = true
		q.node.parked = append(q.node.parked, q)

		return nil
	}
	request := q.subqueue.request
	request.Prefix = q.prefix
	if c := q.subqueue.class; c.conf.Batch {
		request.Batch, request.Run = true, c.timeNeeded(q, c.longRun)
		if !q.deadline.IsZero() {
			request.Left = q.deadline.Sub(now)
		}
	}
	e := h.placer.Choose(now, &request)
	if e == nil {
		q.subqueue.blockedStep = h.steps
	}

	return e
}

// grant grants the ask a place at the endpoint.
func (h *Home) grant(now time.Time, q *queuedAsk, e *placer.Endpoint) {
	h.unqueue(q)
	c := q.subqueue.class
	h.nextPermit++
	p := &permit{
		Run: placer.Run{
			ID: h.nextPermit, Endpoint: e.Name(), Class: c.conf.Name,
			Fingerprint: q.fingerprint, Suspect: q.subqueue.request.Suspect, Started: now,
		},
		node: q.node, class: c, lastSeen: now, maxTokens: q.maxTokens,
	}
	h.permits[p.ID] = p
	c.running++
	h.placer.Begin(&p.Run)
	h.decisions = append(h.decisions, Grant{To: q.node.name, Grant: encoder.Grant{
		Ask: q.id, Pool: h.pool, Permit: p.ID, Endpoint: e.Name(),
		HeartbeatSeq: q.node.heartbeatSeq, Cold: e.State() != placer.Warm,
	}})
}
