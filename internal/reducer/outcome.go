package reducer

import (
	"time"

	"snipedyke/pkg/encoder"
)

// handleStarted records the first token of a dispatch and reports it to the
// home.
func (r *Reducer) handleStarted(now time.Time, e Started) {
	p := r.permits[e.Permit]
	if p == nil || p.request.ID != e.ID {
		return
	}
	req := p.request
	if req.Stream {
		req.relayed = true
	}
	if req.attempt == 1 {
		r.emit(Observe{Histogram: HistogramFirstToken, Class: req.Class, Value: now.Sub(req.arrived)})
	}
	r.deliver(now, r.homeNodeOf(now, p), &encoder.Progress{
		Permit: p.ID, Pool: p.Pool, Tokens: 1, First: e.First.Microseconds(),
	})
}

// handleProgressed reports the number of tokens of a running answer to the
// home.
func (r *Reducer) handleProgressed(now time.Time, e Progressed) {
	p := r.permits[e.Permit]
	if p == nil || p.request.ID != e.ID {
		return
	}
	r.deliver(now, r.homeNodeOf(now, p), &encoder.Progress{Permit: p.ID, Pool: p.Pool, Tokens: e.Tokens})
}

// homeNodeOf returns the current home of the permit's pool, or the home that
// granted the permit if the pool has none.
func (r *Reducer) homeNodeOf(now time.Time, p *permit) string {
	if home := r.homeNode(p.Pool); home != "" {
		return home
	}

	return p.home
}

// handleEnded releases the permit of a dispatch that has ended, and answers or
// retries its request depending on the outcome.
func (r *Reducer) handleEnded(now time.Time, e Ended) {
	p := r.permits[e.Permit]
	if p == nil || p.request.ID != e.ID {
		return
	}
	delete(r.permits, e.Permit)
	r.deliver(now, r.homeNodeOf(now, p), &encoder.Done{
		Permit: p.ID, Pool: p.Pool, Endpoint: p.Endpoint, Outcome: e.Outcome,
		Tokens: e.Tokens, First: e.First.Microseconds(), Gap: e.Gap.Microseconds(),
		Run: e.Run.Microseconds(),
	})
	if e.Outcome == encoder.OutcomeLost || e.Outcome == encoder.OutcomeRefused {
		r.observed[p.Endpoint] = observation{at: now, cold: true}
	}
	req := p.request
	req.permit = nil
	req.relayed = req.relayed || e.Relayed
	switch e.Outcome {
	case encoder.OutcomeOK:
		r.succeed(now, req, e)
	case encoder.OutcomeUnused:
		r.requestSlotAgain(now, req)
	case encoder.OutcomeRefused:
		r.handleNotAccepted(now, req, p, e)
	case encoder.OutcomeCancelled:
		reason := ReasonCallerGone
		if p.orphaned {
			reason = ReasonStaleView
		}
		r.countWasted(req, e.Tokens)
		r.refuse(now, req, reason, encoder.MayHaveRun, 0)
	case encoder.OutcomeTimeout:
		r.countWasted(req, e.Tokens)
		r.refuse(now, req, ReasonTimeout, encoder.MayHaveRun, 0)
	default:
		r.handleFailure(now, req, p, e)
	}
}

// succeed answers the caller with a complete answer.
func (r *Reducer) succeed(now time.Time, req *request, e Ended) {
	if req.Model != "" {
		r.proven.add(req.Fingerprint)
		r.clearMark(now, req)
	}
	r.recordLatency(now, req, e)
	if req.Stream && e.Answer == nil {
		r.emit(Close{ID: req.ID})
	} else {
		r.emit(Reply{ID: req.ID, Answer: answerOf(e), Run: encoder.Ran})
	}
	if req.callerGone {
		r.countWasted(req, e.Tokens)
	}
	answer := answerOf(e)
	r.finishKey(now, req, &answer)
	r.endRequest(now, req)
}

func answerOf(e Ended) encoder.Answer {
	if e.Answer == nil {
		return encoder.Answer{}
	}

	return *e.Answer
}

// recordLatency records the latencies of an answer and counts whether they met
// the targets of the class.
func (r *Reducer) recordLatency(now time.Time, req *request, e Ended) {
	total := now.Sub(req.arrived)
	first := total
	if req.Model != "" && e.First > 0 {
		first = total - e.Run + e.First
		r.emit(Observe{Histogram: HistogramGap, Class: req.Class, Value: e.Gap})
	}
	r.emit(Observe{Histogram: HistogramTotal, Class: req.Class, Value: total})
	late := first > req.class.FirstToken || req.class.Gap > 0 && e.Gap > req.class.Gap
	if req.class.Batch && !req.deadline.IsZero() {
		late = now.After(req.deadline)
	}
	if late {
		r.count(CounterAnswers, "late", req.Class)
	} else {
		r.count(CounterAnswers, "met", req.Class)
	}
}

// handleNotAccepted sends a request that its endpoint did not accept to another
// endpoint. Nothing has run, so this is safe for non-idempotent requests too.
func (r *Reducer) handleNotAccepted(now time.Time, req *request, p *permit, e Ended) {
	if req.callerGone {
		r.refuse(now, req, ReasonCallerGone, req.priorRun(), 0)

		return
	}
	req.avoidEndpoint = p.Endpoint
	if e.Written && !req.Once {
		r.retry(now, req, ReasonOverload)

		return
	}
	r.count(CounterRetries, "not_taken", req.Class)
	r.requestSlotAgain(now, req)
}

// handleFailure retries, resumes or refuses a request whose dispatch failed
// after it had been written.
func (r *Reducer) handleFailure(now time.Time, req *request, p *permit, e Ended) {
	reason := ReasonEndpointLost
	if e.Outcome == encoder.OutcomeError {
		reason = ReasonEndpointError
	}
	endpoint := r.catalogue.Endpoints[p.Endpoint]
	req.avoidEndpoint = p.Endpoint
	suspected := req.suspect
	if e.Written && e.Outcome == encoder.OutcomeLost && req.Model != "" {
		r.markSuspect(now, req, p)
	}
	switch {
	case !e.Written:
		r.handleNotAccepted(now, req, p, e)
	case suspected && e.Outcome == encoder.OutcomeLost:
		// This is the second loss; the home decides whether the request
		// caused it.
		r.countWasted(req, e.Tokens)
		r.refuse(now, req, reason, encoder.MayHaveRun, 0)
	case req.callerGone || req.Once:
		r.countWasted(req, e.Tokens)
		r.refuse(now, req, reason, encoder.MayHaveRun, 0)
	case req.relayed && (endpoint == nil || !endpoint.Resumes):
		r.countWasted(req, e.Tokens)
		r.refuse(now, req, reason, encoder.MayHaveRun, 0)
	case req.relayed:
		req.resume = true
		r.retry(now, req, "resume")
	default:
		r.countWasted(req, e.Tokens)
		r.retry(now, req, reason)
	}
}

// markSuspect marks the fingerprint of a request whose endpoint was lost while
// it ran, before another node can claim the fingerprint. The request may have
// crashed the endpoint, so it may run only once more, and only on its
// designated endpoint.
func (r *Reducer) markSuspect(now time.Time, req *request, p *permit) {
	if r.marker.State(now, req.Fingerprint) == 0 {
		r.broadcastMark(now, encoder.Mark{Fingerprint: req.Fingerprint, Service: req.Service, State: encoder.MarkSuspect})
	}
	req.suspect = true
	req.onlyEndpoint = r.designatedEndpoint(req, p.Endpoint)
}

// retry requests another slot for a failed request, up to maxAttempts. The home
// enforces the retry budget.
func (r *Reducer) retry(now time.Time, req *request, reason Reason) {
	req.lastFailure = reason
	if req.attempt >= maxAttempts {
		r.refuse(now, req, reason, encoder.MayHaveRun, time.Second)

		return
	}
	req.attempt++
	r.count(CounterRetries, string(reason), req.Class)
	r.requestSlotAgain(now, req)
}

// requestSlotAgain requests a slot again, from any pool including those that
// refused before.
func (r *Reducer) requestSlotAgain(now time.Time, req *request) {
	if r.marker.State(now, req.Fingerprint) == encoder.MarkBlocked {
		r.refuse(now, req, ReasonRequestBlocked, encoder.MayHaveRun, 0)

		return
	}
	req.ask = askState{}
	if req.suspect {
		req.avoidEndpoint = ""
	}
	r.requestSlot(now, req)
}

func (r *Reducer) countWasted(req *request, tokens uint32) {
	if tokens > 0 {
		r.emit(Count{Counter: CounterWasted, N: uint64(tokens), Label: "tokens", Class: req.Class})
	}
}
