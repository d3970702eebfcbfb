package director

import (
	"maps"
	"slices"
	"time"

	"snipedyke/internal/logger"
)

func (d *Director) startShutdown(now time.Time, e ShutdownRequested) {
	if !d.leaving {
		d.leaving, d.leavingSince, d.refuseStreamsFrom, d.answerBy = true, now, e.RefuseStreamsFrom, e.AnswerBy
		d.log(logger.ShutdownStarted, "requests", len(d.requests))
	}
}

// refusesStreams reports whether a stream that arrives could be cut off when the
// process ends.
func (d *Director) refusesStreams(now time.Time) bool {
	return d.leaving && !d.refuseStreamsFrom.IsZero() && !now.Before(d.refuseStreamsFrom)
}

// deadline returns the time by which the answer to a request must be complete. A
// stream that has begun may go on until the process ends.
func (d *Director) deadline(req *request) time.Time {
	if d.endsEarly(req) {
		return d.answerBy
	}

	return req.expiresAt
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

// endRequests cancels the attempts whose answers have not begun when the process
// is about to end, so that their requests are answered with an error.
func (d *Director) endRequests(now time.Time) {
	if !d.leaving || now.Before(d.answerBy) {
		return
	}
	for _, id := range slices.Sorted(maps.Keys(d.requests)) {
		req := d.requests[id]
		if req.endpoint != nil && !req.begun() && !req.callerGone && !req.ended {
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
