package director

import (
	"net/http"
	"time"

	"snipedyke/internal/logger"
	"snipedyke/internal/router"
)

// began notes that an endpoint answers.
func (d *Director) began(now time.Time, e Began) {
	req := d.requests[e.ID]
	if req == nil || req.at == nil {
		return
	}
	if req.first == 0 {
		req.first = now.Sub(req.arrived)
	}
	if req.pending {
		req.pending = false
		if req.cached {
			req.service.reader.Note(req.ahead+req.Need.PrefillTokens(), e.Wait)
		}
		req.at.load.Own.PrefillTokens -= req.Need.PrefillTokens()
		d.touch(req.at)
	}
	req.at.failures = 0
	if now.Before(req.at.suspended) {
		req.at.suspended = now
	}
	d.retryWaiting(now)
}

// finished takes the end of an attempt.
func (d *Director) finished(now time.Time, f Finished) {
	req := d.requests[f.ID]
	if req == nil {
		return
	}
	e := d.release(req)
	req.relayed = req.relayed || f.Relayed
	req.pause = max(req.pause, f.Pause)
	req.cause = f.Cause
	d.emit(Count{Counter: CounterAttempts, Label: f.Result.String()})
	d.notice(now, e, f)
	if req.gone {
		d.end(req, ReasonGone)

		return
	}
	switch f.Result {
	case Answered:
		d.answered(now, req, e, f)
	case Declined:
		req.tried = append(req.tried, e.entry.ID)
		d.again(now, req, f, ReasonDeclined)
	case Misdirected, Unreached:
		req.unreached++
		if req.unreached >= maxUnreached {
			d.giveUp(now, req, ReasonNoEndpoint)

			return
		}
		d.place(now, req)
	case Broken, Silent:
		req.ran = true
		req.tried = append(req.tried, e.entry.ID)
		if !req.route.Repeatable() {
			d.giveUp(now, req, failureReason(f.Result))

			return
		}
		d.again(now, req, f, failureReason(f.Result))
	case Cancelled:
		d.end(req, ReasonGone)
	}
	d.retryWaiting(now)
}

func failureReason(r Result) Reason {
	if r == Silent {
		return ReasonTimeout
	}

	return ReasonBroken
}

// notice learns from the end of an attempt about its endpoint.
func (d *Director) notice(now time.Time, e *endpoint, f Finished) {
	if e == nil {
		return
	}
	switch f.Result {
	case Answered:
		e.judge(f.Status >= http.StatusInternalServerError)
	case Declined:
		e.judge(false)
	case Misdirected, Unreached:
		d.suspend(now, e, f.Result)
	case Broken, Silent:
		e.judge(true)
	case Cancelled:
	}
	if f.Cold > 0 {
		d.chill(now, e, f.Cold)
	}
}

// answered passes a whole answer on, or tries a safe request again that has
// failed at the endpoint.
func (d *Director) answered(now time.Time, req *request, e *endpoint, f Finished) {
	if f.Status >= http.StatusInternalServerError && req.route.Kind == router.Safe && !req.relayed {
		req.ran = true
		req.tried = append(req.tried, e.entry.ID)
		if len(req.tried) < req.route.Attempts && req.until.Sub(now) >= leastLeft && d.mayRetry(now, req.service) {
			if next, holder := d.choose(now, req); next != nil {
				d.emit(Count{Counter: CounterRetries, Label: "status"})
				d.dispatch(now, req, next, holder)

				return
			}
		}
	}
	if req.generates && f.Status == http.StatusOK {
		req.service.reader.Stay(f.Took)
		if !req.Need.Long() && req.route.Gap > 0 && e.load.HadLongPrefill(req.arrived.Add(req.first)) {
			req.service.splitter.NoteMixedStream(req.pause > req.route.Gap)
		}
	}
	d.emit(Relay{ID: req.ID})
	d.emit(Observe{Kind: req.route.Kind, Value: now.Sub(req.arrived)})
	d.logAnswered(now, req, e, f)
	delete(d.requests, req.ID)
}

// logAnswered writes how a request was answered and what decided its time.
func (d *Director) logAnswered(now time.Time, req *request, e *endpoint, f Finished) {
	took := now.Sub(req.arrived)
	first := req.first
	if first == 0 {
		first = took
	}
	late := first > req.route.Target || req.route.Gap > 0 && req.pause > req.route.Gap
	d.log(logger.RequestAnswered, "request", req.Name, "route", req.route.Name, "endpoint", e.entry.ID, "status", f.Status,
		"took", took.String(), "first", first.String(), "pause", req.pause.String(), "attempts", len(req.tried)+1,
		"late", late, "engines", req.service.splitter.LongEngines())
}

// mayRetry tells whether the node's part of the retry budget allows another
// attempt, and notes it if so.
func (d *Director) mayRetry(now time.Time, s *service) bool {
	s.retries.Slack = d.opts.RetrySlack / float64(d.fleet.size(now))

	return s.retries.Retry(now)
}

// again sends a request to another endpoint if attempts and budget allow.
func (d *Director) again(now time.Time, req *request, f Finished, reason Reason) {
	if len(req.tried) >= req.route.Attempts || !d.mayRetry(now, req.service) {
		d.giveUp(now, req, reason)

		return
	}
	d.emit(Count{Counter: CounterRetries, Label: f.Result.String()})
	d.log(logger.RequestRetried, "request", req.Name, "route", req.route.Name, "endpoint", req.tried[len(req.tried)-1],
		"result", f.Result.String(), "cause", f.Cause, "took", f.Took.String(), "relayed", req.relayed)
	d.place(now, req)
}
