package director

import (
	"maps"
	"slices"
	"time"

	"snipedyke/internal/admitter"
	"snipedyke/internal/logger"
	"snipedyke/internal/router"
)

func (d *Director) startShutdown(now, answerBy time.Time) {
	if !d.leaving {
		d.leaving, d.leavingSince, d.answerBy = true, now, answerBy
		d.log(logger.ShutdownStarted, "requests", len(d.requests))
	}
}

// deadline returns the time by which the answer to a request must be complete. A
// stream that has begun may go on until the process ends.
func (d *Director) deadline(req *request) time.Time {
	if d.endsEarly(req) {
		return d.answerBy
	}

	return req.expiresAt
}

// deadlineOfAttempt returns the time by which the endpoint must have answered. A
// stream is not bounded by the shutdown, as it may go on once it has begun.
func (d *Director) deadlineOfAttempt(req *request) time.Time {
	if req.route.Kind == router.Stream {
		return req.expiresAt
	}

	return d.deadline(req)
}

// endsEarly reports whether the shutdown leaves a request less time than it has.
func (d *Director) endsEarly(req *request) bool {
	return d.leaving && !req.begun() && d.answerBy.Before(req.expiresAt)
}

// timeoutReason returns the reason why there is no time left for a request.
func (d *Director) timeoutReason(req *request) Reason {
	if d.endsEarly(req) {
		return ReasonLeaving
	}

	return ReasonTimeout
}

const (
	// finishDeviations is the number of mean deviations by which requests may exceed
	// the mean to be finished before the process ends. For unsafe requests it is
	// unsafeDeviations, as their callers cannot send them again.
	finishDeviations = 2
	unsafeDeviations = 4
	// unknownShare is the part of its time that a request is taken to need where
	// none of its kind has been answered yet.
	unknownShare = 0.5
)

// requestKind is a kind of requests that take similar times at one service.
type requestKind struct {
	kind      router.Kind
	resumable bool
}

func (r *request) kind() requestKind { return requestKind{r.route.Kind, r.route.Resumable} }

// recordDuration records how long it took to answer the request.
func (r *request) recordDuration(took time.Duration) {
	e := r.service.durations[r.kind()]
	if e == nil {
		e = &admitter.Duration{}
		r.service.durations[r.kind()] = e
	}
	e.Record(took)
}

// canFinish reports whether a request that has not run can be expected to be
// answered before the process ends. If not, it is refused while another node can
// serve it.
func (d *Director) canFinish(now time.Time, req *request) bool {
	if !d.endsEarly(req) || req.mayHaveRun {
		return true
	}
	left := d.answerBy.Sub(now)
	e := req.service.durations[req.kind()]
	if e == nil {
		return time.Duration(unknownShare*float64(req.expiresAt.Sub(now))) <= left
	}
	deviations := finishDeviations
	if req.route.Kind == router.Unsafe {
		deviations = unsafeDeviations
	}

	return e.Estimate(deviations) <= left
}

// endRequests cancels the attempts whose answers have not begun when the process
// is about to end, so that their requests are answered with an error.
func (d *Director) endRequests(now time.Time) {
	if !d.leaving || now.Before(d.answerBy) {
		return
	}
	for _, id := range slices.Sorted(maps.Keys(d.requests)) {
		req := d.requests[id]
		if req.inProgress() && !req.begun() && !req.callerGone && !req.ended {
			req.ended = true
			d.emit(Cancel{ID: id})
		}
	}
}

// logCutOff logs the requests that the end of the process cuts off.
func (d *Director) logCutOff(now time.Time) {
	for _, id := range slices.Sorted(maps.Keys(d.requests)) {
		req := d.requests[id]
		route, endpoint := "", ""
		if req.route != nil {
			route = req.route.Name
		}
		if req.endpoint != nil {
			endpoint = req.endpoint.entry.ID
		}
		d.log(logger.RequestCutOff, "request", req.Name, "route", route, "endpoint", endpoint,
			"age", now.Sub(req.arrivedAt).String(), "leaving", now.Sub(d.leavingSince).String(), "begun", req.begun())
	}
}
