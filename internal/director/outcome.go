package director

import (
	"net/http"
	"time"

	"snipedyke/internal/logger"
	"snipedyke/internal/pacer"
	"snipedyke/internal/router"
)

// handleFirstByte records that an endpoint has begun to answer.
func (d *Director) handleFirstByte(now time.Time, e ResponseStarted) {
	req := d.requests[e.ID]
	if req == nil || !req.inProgress() {
		return
	}
	req.started = true
	if req.timeToFirstByte == 0 {
		req.timeToFirstByte = now.Sub(req.arrivedAt)
	}
	if req.endpoint == nil {
		return
	}
	if req.awaitingFirstByte {
		req.awaitingFirstByte = false
		if req.prefixCached {
			req.service.estimator.RecordFirstToken(req.prefillTokensAhead+req.Need.PrefillTokens(), e.Wait)
		}
		d.recordFirstToken(now, req, e.Wait)
		req.endpoint.load.Own.PrefillTokens -= req.Need.PrefillTokens()
		d.markChanged(req.endpoint)
	}
	d.noteResponse(now)
	req.settle(req.endpoint)
	d.recordOrigin(now, req)
	req.beganAt = now
	d.confirmAddress(now, req.endpoint)
	req.endpoint.consecutiveFailures = 0
	if now.Before(req.endpoint.suspendedUntil) {
		req.endpoint.suspendedUntil = now
	}
	d.retryWaiting(now)
}

// handleStalled gives up an attempt whose endpoint is silent if another endpoint
// can take over. Otherwise the attempt goes on, as the endpoint may be sound.
func (d *Director) handleStalled(now time.Time, s AttemptStalled) {
	req := d.requests[s.ID]
	if req == nil || req.endpoint == nil || req.callerGone || req.replaced {
		return
	}
	req.relayed = req.relayed || s.Relayed
	d.noteSilence(now, req.endpoint)
	req.replaced = d.takesOver(now, req) || d.reserveReplacement(now, req)
	if req.replaced {
		d.emit(GiveUp{ID: req.ID})
	}
	d.log(logger.EndpointSilent, "request", req.Name, "route", req.route.Name, "endpoint", req.endpoint.entry.ID,
		"silent", s.Silent.String(), "relayed", req.relayed, "replaced", req.replaced)
}

// handleFinished handles the end of an attempt.
func (d *Director) handleFinished(now time.Time, f AttemptFinished) {
	req := d.requests[f.ID]
	if req == nil {
		return
	}
	if f.Connected && !req.node.IsValid() {
		d.noteConnected(now, now.Add(-f.Took))
	}
	if req.node.IsValid() {
		d.handlePeerFinished(now, req, f)

		return
	}
	e, reserved := d.release(req), d.releaseReservation(req)
	if f.HostRefused && f.Result == Answered && d.crashed(e) {
		f.Result, f.Cause = Broken, "endpoint has ended with a response without a length"
	}
	req.relayed = req.relayed || f.Relayed
	req.longestPause = max(req.longestPause, f.LongestPause)
	req.lastCause = f.Cause
	d.emit(Count{Counter: CounterAttempts, Label: f.Result.String()})
	d.recordResult(now, req, e, f)
	if e != nil && (e.leaving() || d.displaced(now, e)) {
		// The attempt may have begun before.
		d.emit(CloseIdleConnections{Address: e.entry.Address})
	}
	if e != nil {
		d.recordEvidence(now, req, e, f)
	}
	if req.callerGone {
		d.abandon(req, ReasonGone)

		return
	}
	switch f.Result {
	case Answered:
		d.handleAnswered(now, req, e, f)
	case Declined:
		req.tried = append(req.tried, e.entry.ID)
		if req.relayed {
			req.declined++
		}
		d.retry(now, req, e, f, ReasonDeclined, reserved)
	case Misdirected, Unreached, Unsent:
		if heldUp := f.Result == Unsent && !req.sendBy.IsZero(); heldUp {
			e.pacer.Withdraw(req.sendBy.Add(-maxSendTime))
		} else {
			req.unreachedCount++
		}
		// A misdirected request has reached an endpoint, so that sending it again is a
		// retry.
		inBudget := f.Result != Misdirected || req.replaced || d.mayRetry(now, req)
		if req.unreachedCount >= maxUnreached || !inBudget {
			d.fail(now, req, ReasonNoEndpoint)

			return
		}
		if !req.waitUntil.IsZero() {
			req.waitUntil = now.Add(maxMoveWait)
		}
		if f.Result != Misdirected {
			d.renewRetry(now, req)
		}
		d.emit(Count{Counter: CounterRetries, Label: f.Result.String()})
		d.place(now, req)
	case Broken, TimedOut:
		req.mayHaveRun = true
		req.tried = append(req.tried, e.entry.ID)
		if !req.route.Repeatable() {
			d.fail(now, req, failureReason(f.Result))

			return
		}
		d.retry(now, req, e, f, failureReason(f.Result), reserved)
	case Cancelled:
		req.mayHaveRun = true
		d.fail(now, req, ReasonLeaving)
	case Refused:
		// Only nodes refuse requests.
	}
	d.retryWaiting(now)
}

// crashed reports whether an endpoint whose host refuses connections has crashed, as far
// as is known. One that shuts down may refuse connections while it completes its answers.
func (d *Director) crashed(e *endpoint) bool {
	return e != nil && d.current(e) && !e.entry.Draining && !e.leaving()
}

func failureReason(r Result) Reason {
	if r == TimedOut {
		return ReasonTimeout
	}

	return ReasonBroken
}

// recordResult updates the state of the endpoint from the result of an
// attempt.
func (d *Director) recordResult(now time.Time, req *request, e *endpoint, f AttemptFinished) {
	if e == nil {
		return
	}
	if f.Result == Answered || f.Result == Declined || f.Result == Misdirected {
		d.noteResponse(now)
	}
	switch f.Result {
	case Answered:
		d.confirmAddress(now, e)
		if f.Status >= http.StatusInternalServerError {
			d.recordErrorStatus(now, req, e)
		} else {
			d.recordOutcome(now, e, false)
			d.attributeErrors(now, req, true)
		}
	case Declined:
		d.confirmAddress(now, e)
		d.recordDeclined(now, e)
		// An endpoint that leaves or asks for time says so, and gets no requests for that.
		d.recordOutcome(now, e, !e.leaving() && !e.pausedUntil().After(now))
	case Misdirected:
		d.handleMisdirected(now, req, e, f)
		d.suspend(now, e, f.Result)
		d.isolator.RecordEnded(now, e.boot)
	case Unreached:
		d.recordUnreached(now, e)
	case Broken, TimedOut:
		// A caller with little time left says nothing about the endpoint, and neither does
		// a failure of the node's own links.
		if !d.link.stranded && (f.Result == Broken || f.Took >= firstByteFactor*req.route.LatencyTarget) {
			d.recordOutcome(now, e, true)
			d.noteSilence(now, e)
		}
	case Cancelled, Unsent, Refused:
	}
	if f.Cold > 0 {
		d.markCold(now, e, f.Cold)
	}
}

// handleAnswered relays a complete answer, or retries a safe request that
// failed at the endpoint.
func (d *Director) handleAnswered(now time.Time, req *request, e *endpoint, f AttemptFinished) {
	if f.Status >= http.StatusInternalServerError && d.retriesErrors(req) && !req.relayed {
		req.mayHaveRun = true
		req.tried = append(req.tried, e.entry.ID)
		if req.runs() < req.route.Attempts && d.deadline(req).Sub(now) >= minAttemptTime && d.mayRetry(now, req) {
			if next, holder := d.chooseAdmitted(now, req); next != nil {
				d.emit(Count{Counter: CounterRetries, Label: "status"})
				d.dispatch(now, req, next, holder)

				return
			}
		}
	}
	// Two endpoints with an error mean that it is the request's.
	d.attributeErrors(now, req, len(req.erred) == 1)
	if f.Status < http.StatusInternalServerError {
		req.recordDuration(now.Sub(req.arrivedAt))
	}
	if req.usesEngine && f.Status == http.StatusOK {
		req.service.estimator.RecordRunTime(f.Took)
		if !req.Need.Long() && req.route.MaxPause > 0 && e.load.HadLongPrefill(req.arrivedAt.Add(req.timeToFirstByte)) {
			req.service.splitter.NoteMixedStream(req.longestPause > req.route.MaxPause)
		}
	}
	d.relay(now, req)
	d.logAnswered(now, req, e, f)
}

// relay ends a request with the answer of the attempt that has just finished.
func (d *Director) relay(now time.Time, req *request) {
	req.withdrawRetry()
	d.emit(Relay{ID: req.ID})
	d.emit(Observe{Kind: req.route.Kind, Value: now.Sub(req.arrivedAt)})
	delete(d.requests, req.ID)
}

// retriesErrors reports whether a request that an endpoint has answered with an error
// status may be sent to another one.
func (d *Director) retriesErrors(req *request) bool {
	return req.route.Kind == router.Safe || d.opts.Outcomes && req.route.Repeatable()
}

// chooseAdmitted is like choose, but returns no endpoint if the engine does not admit the
// request.
func (d *Director) chooseAdmitted(now time.Time, req *request) (chosen, holder *endpoint) {
	e, holder := d.choose(now, req)
	if e != nil && d.opts.Outcomes && d.engineOf(req) != nil {
		e = d.admit(now, req, e)
	}

	return e, holder
}

// logAnswered logs how a request was answered and what its latency consisted
// of. e is the endpoint, or nil if another node has answered it.
func (d *Director) logAnswered(now time.Time, req *request, e *endpoint, f AttemptFinished) {
	took := now.Sub(req.arrivedAt)
	first := req.timeToFirstByte
	if first == 0 {
		first = took
	}
	late := first > req.route.LatencyTarget || req.route.MaxPause > 0 && req.longestPause > req.route.MaxPause
	endpoint, version, node := "", "", ""
	if e != nil {
		endpoint, version = e.entry.ID, e.entry.Version
	} else {
		node = req.lastNode.String()
	}
	d.log(logger.RequestAnswered, "request", req.Name, "route", req.route.Name, "endpoint", endpoint, "version", version, "node", node, "handed", req.HandedOver, "status", f.Status,
		"took", took.String(), "first", first.String(), "pause", req.longestPause.String(), "events", f.Events, "framing", string(f.Framing), "attempts", req.runs()+1,
		"late", late, "engines", req.service.splitter.LongEngines())
}

// retryMargin is how much later than it is allowed a retry may be sent: it may wait for
// an endpoint, and then for a connection.
const retryMargin = maxMoveWait + 500*time.Millisecond

// retryBudget returns the node's share of the retry budget of a request's service.
func (d *Director) retryBudget(req *request) *pacer.Budget {
	budget := &req.service.retryBudget
	budget.Slack = d.opts.RetrySlack / float64(d.fleet.size())

	return budget
}

// canRetry reports whether the retry budget would allow another attempt.
func (d *Director) canRetry(now time.Time, req *request) bool {
	return !d.sharesSpent(now, d.opts.RetryWindow) && d.retryBudget(req).Allows(now)
}

// mayRetry reports whether the node's share of the retry budget allows another
// attempt, and uses up the budget if it does.
func (d *Director) mayRetry(now time.Time, req *request) bool {
	if d.sharesSpent(now, d.opts.RetryWindow) {
		return false
	}
	if !d.retryBudget(req).AllowRetry(now) {
		return false
	}
	req.retriedAt, req.retryPending = now, true

	return true
}

// withdrawRetry gives a retry back to the budget that the request ends without.
func (r *request) withdrawRetry() {
	if r.retryPending {
		r.retryPending = false
		r.service.retryBudget.Withdraw(r.retriedAt)
	}
}

// renewRetry counts the retry in progress from now on. It has not arrived, and may do so
// later than the margin of the budget allows.
func (d *Director) renewRetry(now time.Time, req *request) {
	if !req.retriedAt.IsZero() {
		req.service.retryBudget.Renew(req.retriedAt, now)
		req.retriedAt = now
	}
}

// retry sends a request to another endpoint than e, that of its reservation if there is
// one, if the attempts of its route and the retry budget allow it. If e is nil, another node
// has failed the request.
func (d *Director) retry(now time.Time, req *request, e *endpoint, f AttemptFinished, reason Reason, reserved *reservation) {
	if d.failIsolated(now, req) {
		return
	}
	if d.deadline(req).Sub(now) < minAttemptTime {
		d.fail(now, req, d.timeoutReason(req))

		return
	}
	if req.attemptsUsed() >= req.route.Attempts || !req.replaced && !d.mayRetry(now, req) {
		d.fail(now, req, reason)

		return
	}
	if req.relayed || req.replaced {
		req.waitUntil = now.Add(maxMoveWait)
	}
	label := f.Result.String()
	if req.replaced {
		label = LabelReplaced
	}
	endpoint, version, node := "", "", ""
	if e != nil {
		endpoint, version = e.entry.ID, e.entry.Version
	} else {
		node = req.lastNode.String()
	}
	d.emit(Count{Counter: CounterRetries, Label: label})
	d.log(logger.RequestRetried, "request", req.Name, "route", req.route.Name, "endpoint", endpoint, "version", version, "node", node,
		"result", f.Result.String(), "cause", f.Cause, "took", f.Took.String(), "framing", string(f.Framing), "parts", formatParts(req.Need.SharedParts), "relayed", req.relayed)
	if reserved != nil && !d.link.stranded && d.current(reserved.endpoint) && d.takes(now, req, reserved.endpoint) {
		req.prefixCached = reserved.prefixCached
		if reserved.holder != nil && !d.current(reserved.holder) {
			reserved.holder = nil
		}
		d.dispatch(now, req, reserved.endpoint, reserved.holder)

		return
	}
	d.place(now, req)
}
