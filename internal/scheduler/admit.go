package scheduler

import (
	"math"
	"time"

	"snipedyke/pkg/encoder"
)

const (
	// minRetryAfter and maxRetryAfter bound the retry delay in a refusal.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 30 * time.Second
	// minWaitFraction is the fraction of a class's first-token target that its
	// requests may always wait, even if the first token alone is expected to
	// take the whole target.
	minWaitFraction = 0.25
	// usualRunQuantile is the quantile of a batch class's run times that must
	// fit before the deadline of a request.
	usualRunQuantile = 0.95
	// longRunQuantile is a quantile of a class's run times that few samples
	// suffice to estimate. Nearly all runs take at most longRunFactor times as
	// long.
	longRunQuantile = 0.9
	longRunFactor   = 2.5
	// limitUseQuantile is the quantile of the used fractions of length limits
	// that is taken as an upper bound.
	limitUseQuantile = 0.95
)

// admit returns the refusal of an ask that must not be queued, or nil.
func (h *Home) admit(now time.Time, c *class, q *queuedAsk, attempt uint32) *Refuse {
	refuse := func(reason Reason, retry time.Duration) *Refuse {
		r := refusal(q.node.name, q.id, h.pool, reason, retry)

		return &r
	}
	if q.fingerprint != 0 && h.marks[q.fingerprint].state == encoder.MarkBlocked {
		return refuse(ReasonBlocked, 0)
	}
	if h.catalogue != nil && len(h.placer.Eligible(&q.subqueue.request)) == 0 {
		return refuse(ReasonNoEndpoint, 0)
	}
	if !c.conf.Batch && h.catalogue != nil && !h.placer.InService(&q.subqueue.request) {
		return refuse(ReasonNoEndpoint, time.Second)
	}
	// A resumed stream repeats no work, and its caller, which has the first
	// token, would lose the rest. It is therefore exempt from the retry budget
	// and from the first-token target.
	resumes := q.subqueue.request.Resume
	if q.nonIdempotent {
		h.retryBudget.allow(now, 1, 0)
	} else if !h.retryBudget.allow(now, attempt, q.fingerprint) && !resumes {
		return refuse(ReasonRetryBudget, retrySlot*retrySlots)
	}
	if c.conf.Batch {
		if h.likelyLate(now, c, q) {
			return refuse(ReasonDeadline, 0)
		}

		return nil
	}
	wait := h.estimateWait(c, q.nonIdempotent)
	if !q.deadline.IsZero() && now.Add(wait).After(q.deadline) {
		return refuse(ReasonDeadline, wait)
	}
	if !resumes && wait+now.Sub(q.arrived) > h.waitLimit(c) {
		return refuse(ReasonOverload, wait)
	}

	return nil
}

// waitLimit returns the time that a request of the class may wait for a place and
// still meet its first-token target.
func (h *Home) waitLimit(c *class) time.Duration {
	target := c.conf.FirstToken

	return max(target-h.placer.ExpectedFirstToken(c.conf.Name), time.Duration(minWaitFraction*float64(target)))
}

// likelyLate reports whether a batch request is unlikely to end before its
// deadline.
func (h *Home) likelyLate(now time.Time, c *class, q *queuedAsk) bool {
	return !q.deadline.IsZero() && now.Add(c.timeNeeded(q, c.usualRun)).After(q.deadline)
}

// estimateWait estimates the wait of a new request of the class from the queue
// and the measured run times. It returns zero while the pool has no places, as no
// estimate is possible then.
func (h *Home) estimateWait(c *class, once bool) time.Duration {
	h.reserve()
	places, free := h.placer.Places()
	if places == 0 {
		return 0
	}
	excess := c.running + c.queued + 1 - h.classPlaces(c, places, once)
	if excess <= 0 {
		if free > 0 {
			return 0
		}

		return h.drainTime(c.queued + 1)
	}
	available := max(1, h.classPlaces(c, places, once))

	return time.Duration(float64(c.expectedRun) * float64(excess) / float64(available))
}

// drainTime returns the expected time until n running requests have ended.
func (h *Home) drainTime(n int) time.Duration {
	var rate float64
	for _, c := range h.classes {
		rate += float64(c.running) / float64(max(c.expectedRun, time.Millisecond))
	}
	if rate == 0 {
		return 0
	}

	return time.Duration(float64(n) / rate)
}

// classPlaces returns the number of places that the class gets when every class
// uses as many as it can: first each its reserved share, then the rest in the
// order of tiers. The shares of lower tiers do not count against non-idempotent
// work.
func (h *Home) classPlaces(c *class, places int, once bool) int {
	left := places
	var own int
	for i, d := range h.classes {
		if once && d.conf.Tier > c.conf.Tier {
			break
		}
		demand := d.running + d.queued
		if d == c {
			demand++
			own = min(demand, h.reserved[i])
		}
		left -= min(demand, h.reserved[i])
	}
	for i, d := range h.classes {
		if d == c {
			break
		}
		left -= max(0, min(d.running+d.queued-h.reserved[i], left))
	}

	return own + max(0, left)
}

// reserve computes the reserved places of all classes. Non-idempotent classes
// with a share get at least one, however small the pool is.
func (h *Home) reserve() {
	places, _ := h.placer.Places()
	h.reserved = h.reserved[:0]
	for _, c := range h.classes {
		n := c.share * float64(places)
		if c.nonIdempotent && c.share > 0 {
			n = math.Ceil(n)
		}
		h.reserved = append(h.reserved, int(n))
	}
}

// refusal returns the message that refuses an ask.
func refusal(to string, id uint64, pool string, reason Reason, retry time.Duration) Refuse {
	if retry > 0 {
		retry = min(max(retry, minRetryAfter), maxRetryAfter)
	}

	return Refuse{To: to, Refuse: encoder.Refuse{
		Ask: id, Pool: pool, Reason: string(reason), Retry: retry.Microseconds(),
	}}
}

// refuse adds a refusal to the decisions of the next step.
func (h *Home) refuse(to string, id uint64, reason Reason, retry time.Duration) {
	h.decisions = append(h.decisions, refusal(to, id, h.pool, reason, retry))
}
