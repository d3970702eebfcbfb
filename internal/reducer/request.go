package reducer

import (
	"time"

	"snipedyke/internal/claimer"
	"snipedyke/internal/issuer"
	"snipedyke/internal/limiter"
	"snipedyke/pkg/cataloguer"
	"snipedyke/pkg/encoder"
)

// maxAttempts limits the number of dispatches of one idempotent request.
const maxAttempts = 3

// phase is the state of a request in progress.
type phase int

const (
	// phaseQuota waits for a budget from the quota node of the entry.
	phaseQuota phase = iota
	// phaseClaimKey waits for the claim of the idempotency key.
	phaseClaimKey
	// phaseClaimRun waits for the claim of the fingerprint.
	phaseClaimRun
	// phaseSlot waits for an endpoint slot.
	phaseSlot
	// phaseRunning has been dispatched.
	phaseRunning
	// phaseEnded has been answered.
	phaseEnded
)

// request is a caller's request in progress.
type request struct {
	Request
	class   *cataloguer.Class
	arrived time.Time
	// deadline is zero if the caller has not set one.
	deadline time.Time
	phase    phase
	// phaseStart is the time at which the current phase began.
	phaseStart time.Time

	// admitted reports whether the limiter counts the request as in progress.
	admitted bool
	// key identifies the idempotency key in claims. It is zero without one.
	key encoder.Subject
	// keyClaimed reports whether this node holds the claim of key, and
	// issuedHere whether it issued the key, which then needs no claim.
	keyClaimed bool
	issuedHere bool
	// runClaimed reports whether this node holds the claim of the fingerprint.
	runClaimed bool
	// onlyEndpoint is the designated endpoint to which the request is
	// restricted. It is empty if there is no restriction.
	onlyEndpoint string
	// avoidEndpoint is the endpoint of the last attempt that failed.
	avoidEndpoint string
	suspect       bool
	// claimRetryAt is the time at which to retry a claim that was busy.
	claimRetryAt time.Time

	// attempt is the number of the current attempt: 1 plus the number of
	// earlier dispatches that may have reached an endpoint.
	attempt    uint32
	ask        askState
	permit     *permit
	relayed    bool
	resume     bool
	callerGone bool
	// lastFailure is the reason for which the last attempt failed.
	lastFailure Reason
}

// askState is the state of an ask that waits for its answer.
type askState struct {
	pool string
	// home is empty if the pool has no home yet.
	home string
	// incarnation is that of the home at the time of the ask.
	incarnation uint64
	sent        time.Time
	// refusedPools lists the pools that have refused the current attempt.
	refusedPools []string
}

// permit is the right to occupy a slot of an endpoint, in use by a request.
type permit struct {
	encoder.Permit
	request *request
	home    string
	// cold reports whether the endpoint was in cold start when the permit was
	// granted, and orphaned whether the dispatch was cancelled because no home
	// accounts for it.
	cold, orphaned bool
	dispatched     time.Time
}

// handleArrived accepts a new request or refuses it.
func (r *Reducer) handleArrived(now time.Time, q Request) {
	req := &request{Request: q, arrived: now, phaseStart: now, attempt: 1}
	if reason := r.unreadyReason(now); reason != "" {
		r.refuseNew(req, reason, time.Second)

		return
	}
	req.class = r.catalogue.Classes[q.Class]
	if req.class == nil {
		r.refuseNew(req, ReasonNotReady, time.Second)

		return
	}
	if r.marker.State(now, q.Fingerprint) == encoder.MarkBlocked {
		r.refuseNew(req, ReasonRequestBlocked, 0)

		return
	}
	if q.Deadline > 0 {
		req.deadline = now.Add(q.Deadline)
	}
	r.requests[q.ID] = req
	r.queue = append(r.queue, req)
	r.admit(now, req)
}

// maxQuotaWait is the time that a request waits for a budget from the quota
// node. It covers several round trips within a region.
const maxQuotaWait = 60 * time.Millisecond

// admit lets a request proceed if the limits of its entry allow it. A request
// without budget waits up to maxQuotaWait for the quota node before it is
// refused, since budgets are small and follow the demand.
func (r *Reducer) admit(now time.Time, req *request) {
	switch v := r.limiter.Admit(now, req.Entry).(type) {
	case limiter.Refused:
		if now.Sub(req.phaseStart) > maxQuotaWait {
			r.refuse(now, req, Reason(v.Reason), req.priorRun(), v.RetryAfter)
		}
	case limiter.Admitted:
		req.admitted = true
		if req.Once && req.Key != "" {
			r.claimKey(now, req)
		} else {
			r.claimRun(now, req)
		}
	}
}

// refuseNew refuses a request that has not been accepted.
func (r *Reducer) refuseNew(req *request, reason Reason, retryAfter time.Duration) {
	r.emit(Refuse{ID: req.ID, Reason: reason, Run: req.priorRun(), RetryAfter: retryAfter})
	r.emit(Decided{ID: req.ID, Entry: req.Entry, Class: req.Class, Verdict: string(reason)})
	r.count(CounterRefusals, string(reason), req.Class)
}

// priorRun returns one of the encoder's Run constants for a request that has
// not been dispatched in its current attempt: whether it may have run before.
// Until its key is claimed, an earlier request with the same key may have run
// through another node.
func (req *request) priorRun() uint8 {
	unclaimed := req.Once && req.Key != "" && !req.keyClaimed && !req.issuedHere
	if req.attempt > 1 || unclaimed {
		return encoder.MayHaveRun
	}

	return encoder.NotRun
}

// claimKey starts the claim of the request's idempotency key.
func (r *Reducer) claimKey(now time.Time, req *request) {
	req.phase, req.phaseStart = phaseClaimKey, now
	account := req.Entry
	if e := r.catalogue.Entries[req.Entry]; e != nil {
		account = e.Owner
	}
	req.key = claimer.KeySubject(account, req.Key)
	if issuer.Issued(req.Key) {
		r.handleIssuedKey(now, req)

		return
	}
	r.applyClaimerOutputs(now, r.claimer.Claim(now, req.ID, encoder.ClaimKey, req.key))
}

// claimRun claims the fingerprint of a request to a model, so that only one
// request with it runs at a time. A request to another service, or with a
// fingerprint that has completed before, skips the claim and requests a slot.
func (r *Reducer) claimRun(now time.Time, req *request) {
	if req.Model == "" || r.proven.has(req.Fingerprint) {
		r.requestSlot(now, req)

		return
	}
	if r.marker.State(now, req.Fingerprint) == encoder.MarkSuspect {
		req.suspect = true
		req.onlyEndpoint = r.designatedEndpoint(req, "")
	}
	req.phase, req.phaseStart = phaseClaimRun, now
	subject := claimer.RunSubject(req.Fingerprint)
	r.applyClaimerOutputs(now, r.claimer.Claim(now, req.ID, encoder.ClaimRun, subject))
}

// applyClaimerOutputs sends the messages and handles the verdicts of the
// claimer.
func (r *Reducer) applyClaimerOutputs(now time.Time, outputs []claimer.Output) {
	for _, o := range outputs {
		switch o := o.(type) {
		case claimer.Send:
			if _, ok := o.Message.(*encoder.Query); ok {
				// The loss of the coordinator must be detected soon.
				r.detector.UseFastPeriod(now, o.To)
			}
			r.deliver(now, o.To, o.Message)
		case claimer.Verdict:
			r.handleVerdict(now, o)
		}
	}
}

// handleVerdict continues the request that a claim was made for. A claim that
// was won but is no longer needed is abandoned.
func (r *Reducer) handleVerdict(now time.Time, v claimer.Verdict) {
	r.count(CounterClaims, v.Result.String(), "")
	req := r.requests[v.ID]
	waitingPhase := phaseClaimKey
	if v.Kind == encoder.ClaimRun {
		waitingPhase = phaseClaimRun
	}
	if req == nil || req.phase != waitingPhase {
		if v.Result == claimer.Won {
			r.applyClaimerOutputs(now, r.claimer.Abandon(now, v.Kind, v.Subject))
		}

		return
	}
	if v.Kind == encoder.ClaimRun {
		r.handleRunVerdict(now, req, v)

		return
	}
	switch v.Result {
	case claimer.Won:
		req.keyClaimed = true
		r.claimRun(now, req)
	case claimer.Answered:
		r.replyStored(now, req, v.Answer)
	case claimer.MayHaveRun:
		r.refuse(now, req, ReasonCoordinatorLost, encoder.MayHaveRun, 0)
	case claimer.Unverifiable:
		r.refuse(now, req, ReasonKeyUnverifiable, encoder.MayHaveRun, 0)
	case claimer.Full:
		r.refuse(now, req, ReasonRecordsFull, req.priorRun(), time.Minute)
	case claimer.Unavailable, claimer.Busy:
		r.refuse(now, req, ReasonClaimUnavailable, req.priorRun(), time.Second)
	}
}

// handleRunVerdict continues a request after the claim of its fingerprint.
// Without the claim the request may use only its designated endpoint, which
// limits the number of endpoints that it can crash.
func (r *Reducer) handleRunVerdict(now time.Time, req *request, v claimer.Verdict) {
	switch v.Result {
	case claimer.Won:
		req.runClaimed = true
	case claimer.Busy:
		req.claimRetryAt = now.Add(busyClaimInterval)

		return
	default:
		req.onlyEndpoint = r.designatedEndpoint(req, "")
	}
	r.requestSlot(now, req)
}

// busyClaimInterval is the delay before a claim is retried whose fingerprint is
// in use by another request.
const busyClaimInterval = 50 * time.Millisecond

// replyStored answers a request with the stored answer of an earlier request
// that had the same key.
func (r *Reducer) replyStored(now time.Time, req *request, answer *encoder.Answer) {
	if answer == nil || answer.Cut {
		r.refuse(now, req, ReasonCoordinatorLost, encoder.MayHaveRun, 0)

		return
	}
	r.emit(Reply{ID: req.ID, Answer: *answer, Run: encoder.Ran})
	r.recordDecision(req, "kept_answer", "", "")
	r.endRequest(now, req)
}

// refuse answers a request with an error and ends it.
func (r *Reducer) refuse(now time.Time, req *request, reason Reason, run uint8, retryAfter time.Duration) {
	if req.relayed {
		r.emit(Close{ID: req.ID, Reason: reason})
	} else {
		r.emit(Refuse{ID: req.ID, Reason: reason, Run: run, RetryAfter: retryAfter})
	}
	r.count(CounterRefusals, string(reason), req.Class)
	r.recordDecision(req, string(reason), "", req.ask.home)
	if run != encoder.NotRun {
		r.finishKey(now, req, nil)
	}
	r.endRequest(now, req)
}

// endRequest removes a request. It withdraws its ask, releases its claims and
// reports it to the limiter as finished.
func (r *Reducer) endRequest(now time.Time, req *request) {
	if req.phase == phaseSlot {
		r.withdrawAsk(now, req)
	}
	req.phase = phaseEnded
	r.abandonKey(now, req)
	r.releaseRun(now, req)
	if req.admitted {
		r.limiter.Finish(now, req.Entry)
	}
	delete(r.requests, req.ID)
}

func (r *Reducer) releaseRun(now time.Time, req *request) {
	if req.runClaimed {
		req.runClaimed = false
		r.applyClaimerOutputs(now, r.claimer.Release(now, encoder.ClaimRun, claimer.RunSubject(req.Fingerprint)))
	}
}

// abandonKey releases the claim of a key whose request was never dispatched, so
// that the key can be used again.
func (r *Reducer) abandonKey(now time.Time, req *request) {
	if req.issuedHere {
		req.issuedHere = false
		r.finishIssued(now, req.key, nil, true)
	}
	if req.keyClaimed {
		req.keyClaimed = false
		r.applyClaimerOutputs(now, r.claimer.Abandon(now, encoder.ClaimKey, req.key))
	}
}

// finishKey records the outcome of a key. A nil answer means that the request
// may have run.
func (r *Reducer) finishKey(now time.Time, req *request, answer *encoder.Answer) {
	if req.issuedHere {
		req.issuedHere = false
		r.finishIssued(now, req.key, answer, false)
	}
	if req.keyClaimed {
		req.keyClaimed = false
		r.applyClaimerOutputs(now, r.claimer.Finish(now, req.key, answer))
	}
}

// handleGone cancels the request of a caller that has disconnected. A
// non-idempotent request that has been dispatched continues, and its answer is
// stored.
func (r *Reducer) handleGone(now time.Time, id uint64) {
	req := r.requests[id]
	if req == nil {
		return
	}
	req.callerGone = true
	if req.phase == phaseRunning {
		if !req.Once {
			r.emit(Cancel{ID: id, Permit: req.permit.ID})
		}

		return
	}
	r.refuse(now, req, ReasonCallerGone, req.priorRun(), 0)
}

// sweep checks the waiting requests for expired deadlines, lost homes and
// claims to retry, and removes the ended ones from the queue.
func (r *Reducer) sweep(now time.Time) {
	kept := r.queue[:0]
	for _, req := range r.queue {
		if req.phase != phaseEnded {
			r.sweepOne(now, req)
		}
		if req.phase != phaseEnded {
			kept = append(kept, req)
		}
	}
	clear(r.queue[len(kept):])
	r.queue = kept
}

func (r *Reducer) sweepOne(now time.Time, req *request) {
	if req.phase == phaseRunning {
		return
	}
	run := req.priorRun()
	switch {
	case !req.deadline.IsZero() && now.After(req.deadline):
		r.refuse(now, req, ReasonDeadline, run, 0)
	case !r.fresh:
		r.refuse(now, req, ReasonStaleView, run, time.Second)
	case req.phase == phaseQuota:
		r.admit(now, req)
	case req.phase == phaseClaimRun && !req.claimRetryAt.IsZero() && !now.Before(req.claimRetryAt):
		req.claimRetryAt = time.Time{}
		r.claimRun(now, req)
	case req.phase == phaseSlot:
		r.checkAsk(now, req)
	}
}

// recordDecision emits a Decided effect for a request.
func (r *Reducer) recordDecision(req *request, verdict, endpoint, home string) {
	r.emit(Decided{
		ID: req.ID, Entry: req.Entry, Class: req.Class,
		Verdict: verdict, Endpoint: endpoint, Home: home,
	})
}
