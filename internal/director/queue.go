package director

import (
	"cmp"
	"slices"
	"time"
)

// returnedMargin is the part of a route's timeout that the time of a caller that has come
// back must be below it. Callers of new requests may state slightly less than the timeout.
const returnedMargin = 1.0 / 50

// returned reports whether the caller has sent the request before: it states less time
// than the route allows.
func (r *request) returned() bool {
	return r.Deadline > 0 && float64(r.Deadline) < (1-returnedMargin)*float64(r.route.Timeout)
}

// compareWaiting orders waiting requests: the most urgent first, then those within the
// share of their account, then those that have come back, then the oldest.
func compareWaiting(a, b *request) int {
	return cmp.Or(
		cmp.Compare(a.route.Priority, b.route.Priority),
		compareBool(a.beyondShare, b.beyondShare),
		compareBool(b.returned(), a.returned()),
		a.arrivedAt.Compare(b.arrivedAt),
	)
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	default:
		return 1
	}
}

// placeInTurn places a new request after the waiting ones that come before it.
func (d *Director) placeInTurn(now time.Time, req *request) {
	if !d.opts.Accounts || len(d.waiting) == 0 {
		d.place(now, req)

		return
	}
	req.queued = true
	d.waiting = append(d.waiting, req)
	d.retryWaiting(now)
}

// retryWaiting tries to place the waiting requests.
func (d *Director) retryWaiting(now time.Time) {
	waiting := d.waiting
	d.waiting = nil
	if d.opts.Accounts {
		slices.SortStableFunc(waiting, compareWaiting)
	}
	for _, req := range waiting {
		req.queued = false
		if d.requests[req.ID] == req {
			d.place(now, req)
		}
	}
}

// maxRetryAfterPart is the part of the time that a caller has left that Retry-After may
// take. Callers do not wait longer for a second attempt.
const maxRetryAfterPart = 1.0 / 3

// timeUntilRoom returns the time after which engines admit requests like the given one
// again, by the mean of what waits at them. It is zero if their speeds are not learned.
func (d *Director) timeUntilRoom(now time.Time, req *request) time.Duration {
	if !d.opts.Speeds || !req.usesEngine {
		return 0
	}
	pending, engines := 0.0, 0
	for _, e := range req.service.endpoints {
		if d.serves(now, req, e) {
			pending += e.load.Slowness.Factor(e.load.Running()) * float64(req.service.model.Expect(e.loadWith(req)))
			engines++
		}
	}
	if engines == 0 {
		return 0
	}
	wait := time.Duration(pending/float64(engines)) - time.Duration(firstTokenShare*float64(req.route.LatencyTarget))
	left := time.Duration(maxRetryAfterPart * float64(req.expiresAt.Sub(now)))

	return max(min(wait, left), 0)
}
