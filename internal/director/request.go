package director

import (
	"net/http"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"

	"snipedyke/internal/admitter"
	"snipedyke/internal/chooser"
	"snipedyke/internal/profiler"
	"snipedyke/internal/router"
)

const (
	// maxUrgencyRank is the last urgency rank that engines support.
	maxUrgencyRank = 9
	// maxUnreached limits the number of endpoints that a request tries without
	// reaching one.
	maxUnreached = 4
	// maxDeclined limits the number of endpoints that decline to resume a stream
	// without using up its attempts.
	maxDeclined = 3
	// A request waits for an endpoint for at most its target divided by
	// waitDivisor before it is refused.
	waitDivisor = 8
	// maxMoveWait is how long a request waits for an endpoint after its stream has
	// broken off, or after its endpoint was given up, and again after each endpoint
	// that it does not reach then. Refusing it would cut off or lose an answer.
	maxMoveWait = time.Second
	// minAttemptTime is the least remaining time for which an attempt is still
	// made.
	minAttemptTime = 20 * time.Millisecond
	// firstByteFactor times the target is how long a repeatable request waits for
	// the first byte of an answer before another endpoint is considered, but at
	// least minFirstByteTimeout.
	firstByteFactor     = 2
	minFirstByteTimeout = 250 * time.Millisecond
)

// request is a request in progress.
type request struct {
	Request
	route   *router.Route
	account *router.Account
	service *service
	// usesEngine reports whether the service has model engines.
	usesEngine bool
	// awaitingFirstByte reports whether the first byte of the answer is pending,
	// and prefillTokensAhead is the number of prompt tokens that the engine had to
	// prefill first when the request was sent.
	awaitingFirstByte  bool
	prefillTokensAhead float64
	// sentLoad is the load of the engine with the request when it was sent.
	sentLoad profiler.Load
	// prefixCached reports whether the engine of the last choice has cached the
	// shared parts of the prompt.
	prefixCached bool
	arrivedAt    time.Time
	// expiresAt is the time by which the answer must be complete.
	expiresAt time.Time
	// tried holds the endpoints that have declined the request or may have run
	// it.
	tried []string
	// declined is the number of endpoints that declined to resume the stream.
	declined int
	// unreachedCount is the number of attempts that did not reach an endpoint.
	unreachedCount int
	// erred holds the endpoints that have answered the request with an error status, until
	// another one answers it.
	erred []*endpoint
	// endpoint is the endpoint of the attempt in progress, or nil. sentLimited and
	// sentBrittle report whether it had named a limit, and whether it was brittle, when
	// the attempt began.
	endpoint                 *endpoint
	sentLimited, sentBrittle bool
	// unsettledAt is when the attempt in progress was sent to a brittle endpoint that may
	// still decline it, or zero.
	unsettledAt time.Time
	// node is the address of the node to which the request is handed over, lastNode that
	// of the last one, and peersTried holds all of them. peerRuns is the number of times
	// that it may have run there.
	node, lastNode netip.AddrPort
	peersTried     []netip.AddrPort
	peerRuns       int
	// sendBy is the SendBy of the last attempt, or zero.
	sendBy time.Time
	// replaced reports whether the attempt in progress has been given up for
	// another one, which the retry budget already includes. reserved is then the
	// place of that attempt; otherwise it is nil.
	replaced bool
	reserved *reservation
	// retriedAt is the time for which the retry budget includes the last retry, or zero,
	// and retryPending reports whether that retry has not been sent to an endpoint.
	retriedAt    time.Time
	retryPending bool
	// waitUntil, if not zero, extends the time for which the request may wait for
	// an endpoint.
	waitUntil time.Time
	// mayHaveRun reports whether an earlier attempt may have run.
	mayHaveRun bool
	// timeToFirstByte is the time from arrival to the first byte of the answer,
	// and longestPause is the longest pause between two events.
	timeToFirstByte, longestPause time.Duration
	// beyondShare reports whether the request is beyond the share of its account, and
	// shareRejected whether the preferred engine did not admit it for that. admitted reports
	// whether the request counts as admitted, and recorded whether it counts as one that
	// this node sends to endpoints.
	beyondShare, shareRejected, admitted, recorded bool
	// waitReason is why the request was last queued, or empty.
	waitReason Reason
	// rejection is why the preferred engine did not admit the request, or empty.
	rejection string
	// lastCause describes why the last attempt failed, for the log.
	lastCause string
	// started reports whether a streamed answer has begun, and relayed whether any
	// byte of it has reached the caller.
	started, relayed bool
	// beganAt is when the answer of the attempt in progress began, or zero.
	beganAt time.Time
	// version is the software version at which the stream began, if pinned is true.
	// Only endpoints of this version can go on with it.
	version string
	pinned  bool
	// doubted reports whether the version is uncertain, so that no endpoint can go on
	// with the stream.
	doubted bool
	// stream identifies the resumable stream that the request begins or takes up
	// again. If named is false, the caller has not named it, and any number of streams
	// have this key, so that nothing can be recorded under it.
	stream uint64
	named  bool
	// first is the Name of the request that brought the first event of the stream, or
	// that of this one.
	first string
	// begunAtPeer reports whether the stream has begun at another node.
	begunAtPeer bool
	// takenUpAt is when a request arrived that takes a stream up again. askedAt is,
	// while it waits for what other nodes know of the stream, when they or the store
	// were last asked.
	takenUpAt, askedAt time.Time
	// severalVersions reports whether another node knows of several versions that can
	// have begun the stream. soleAt holds the other nodes that know of one only, and
	// which one.
	severalVersions bool
	soleAt          map[netip.Addr]string
	// soleVersion is the only version that was in use until soleUntil, according to
	// another node. soleUntil is zero if none has answered so.
	soleVersion string
	soleUntil   time.Time
	// callerGone reports whether the caller has disconnected, and ended whether the
	// attempt in progress was cancelled at the end of a shutdown.
	callerGone, ended bool
	// queued reports whether the request is in the list of waiting requests, and
	// wasQueued whether it has ever been.
	queued, wasQueued bool
}

// begun reports whether the answer to the caller has begun.
func (r *request) begun() bool { return r.relayed || r.started }

// runs returns the number of attempts that may have run or were declined.
func (r *request) runs() int { return r.Attempts + r.peerRuns + len(r.tried) }

// attemptsUsed returns the number of attempts that count towards those of the
// route. A stream that has begun can no longer be refused, so a few endpoints that
// decline to resume it do not count.
func (r *request) attemptsUsed() int { return r.runs() - min(r.declined, maxDeclined) }

// waitLimit returns the time until which the request may wait for an endpoint.
func (r *request) waitLimit() time.Time {
	limit := r.arrivedAt.Add(r.route.LatencyTarget / waitDivisor)
	if r.waitUntil.After(limit) {
		limit = r.waitUntil
	}

	return limit
}

// class returns the request's class for shedding.
func (r *request) class() admitter.Class {
	c := admitter.Class{Route: r.route.Priority}
	if r.account != nil && r.account.Priority != nil {
		c.Account = *r.account.Priority
	}

	return c
}

// handleArrival places a new request or refuses it.
func (d *Director) handleArrival(now time.Time, q Request) {
	req := &request{Request: q, arrivedAt: now}
	received := d.receive(now, req)
	if q.HandedOver {
		label := LabelAccepted
		if !received {
			label = LabelRefused
		}
		d.emit(Count{Counter: CounterHanded, Label: label})
	}
	switch {
	case !received:
	case req.takesUp() && d.chooseNode(now, req) == nil:
		d.takeUp(now, req)
	default:
		d.placeInTurn(now, req)
	}
}

// resumable reports whether callers can take up the streams of the request's route again.
func (r *request) resumable() bool { return r.route.Kind == router.Stream && r.route.Resumable }

// receive finds the route, the account and the service of a new request and counts it.
// It refuses the request if it lacks one of them, and reports whether it has not.
func (d *Director) receive(now time.Time, req *request) bool {
	q := &req.Request
	d.requests[q.ID] = req
	if d.table == nil || !d.entriesListed {
		d.refuse(now, req, http.StatusServiceUnavailable, ReasonNotReady)

		return false
	}
	if d.link.stranded && q.HandedOver {
		d.refuse(now, req, http.StatusServiceUnavailable, ReasonStranded)

		return false
	}
	fresh := !d.confirmedAt.IsZero() && now.Sub(d.confirmedAt) <= d.opts.FreshView && !d.lacksTable(now)
	req.route = d.table.Route(q.Host, q.Path)
	if req.route == nil {
		d.refuseUnknown(now, req, fresh, http.StatusNotFound, ReasonNoRoute)

		return false
	}
	if !req.route.Public {
		if !d.keysValid(now) {
			d.refuse(now, req, http.StatusServiceUnavailable, ReasonStaleView)

			return false
		}
		if req.account = d.table.Account(q.Key); req.account == nil {
			d.refuseUnknown(now, req, fresh, http.StatusUnauthorized, ReasonNoKey)

			return false
		}
	}
	if limit := d.table.MaxBodyBytes(); limit > 0 && q.Body > limit {
		d.refuse(now, req, http.StatusRequestEntityTooLarge, ReasonTooLarge)

		return false
	}
	req.expiresAt = now.Add(req.route.Timeout)
	if q.Deadline > 0 && q.Deadline < req.route.Timeout {
		req.expiresAt = now.Add(q.Deadline)
	}
	resumable := req.resumable()
	first := q.Name
	if q.Continues && resumable {
		first = q.Resumes
	}
	req.service, req.first = d.ensureService(req.route.Service(first)), first
	if resumable {
		req.stream, req.named = streamKey(req, first), first != ""
	}
	req.Need.Seed, req.Need.Urgency = xxhash.Sum64String(q.Name), req.route.Priority
	if d.opts.Restarted {
		req.service.retryBudget.Ready = d.readyAt
	}
	if d.engineOf(req) != nil {
		req.usesEngine = true
	}
	if d.chooseNode(now, req) == nil {
		d.recordRequest(now, req)
	}

	return true
}

// recordRequest counts a request that this node sends to endpoints, unless another node has
// counted it.
func (d *Director) recordRequest(now time.Time, req *request) {
	if req.recorded {
		return
	}
	req.recorded = true
	if !req.Counted {
		req.service.retryBudget.RecordRequest(now)
		req.service.mix.record(now, req.route.Priority, req.Need.PrefillTokens())
	}
	d.offerDemand(now, req)
}

func (d *Director) engineOf(req *request) *router.Engine {
	if s := d.table.Service(req.service.name); s != nil {
		return s.Engine
	}

	return nil
}

// place sends a request to an endpoint, or queues it until one is available. If this node is
// cut off from the endpoints, it hands the request over to another one.
func (d *Director) place(now time.Time, req *request) {
	if d.deadline(req).Sub(now) < minAttemptTime {
		d.fail(now, req, d.timeoutReason(req))

		return
	}
	if !d.canFinish(now, req) {
		d.fail(now, req, ReasonLeaving)

		return
	}
	if d.failIsolated(now, req) {
		return
	}
	if d.handOver(now, req) {
		return
	}
	if d.link.stranded && req.HandedOver {
		d.fail(now, req, ReasonStranded)

		return
	}
	d.recordRequest(now, req)
	if req.takesUp() {
		d.takeUp(now, req)

		return
	}
	e, holder := d.choose(now, req)
	if e == nil && req.pinned && d.versionGone(now, req) {
		d.fail(now, req, ReasonVersionGone)

		return
	}
	if e == nil {
		back, ok := d.earliestReturn(now, req, req.tried)
		if !ok {
			// All that could take it may have been tried.
			back, ok = d.earliestReturn(now, req, nil)
		}
		if ok && back.After(req.waitLimit()) {
			d.fail(now, req, ReasonPaused)

			return
		}
		d.enqueue(now, req, d.unavailableReason(now, req))

		return
	}
	if d.engineOf(req) != nil && !req.relayed {
		if e = d.admit(now, req, e); e == nil {
			if !req.wasQueued {
				req.service.splitter.NoteRefusal(now, req.Need)
			}
			reason := ReasonOverload
			if req.shareRejected {
				reason = ReasonAccountShare
			}
			d.enqueue(now, req, reason)

			return
		}
	}
	d.dispatch(now, req, e, holder)
}

// choose returns the endpoint for a request, or nil, and the endpoint that
// probably has the shared parts of its prompt in its cache, or nil.
func (d *Director) choose(now time.Time, req *request) (chosen, holder *endpoint) {
	req.prefixCached = false
	if d.suspected(req) {
		return d.chooseForSuspect(req, d.candidates(now, req)), nil
	}
	if e := d.probe(now, req); e != nil {
		return e, nil
	}
	candidates := d.candidates(now, req)
	var choice chooser.Choice
	if engine := d.engineOf(req); engine != nil {
		choice = req.service.splitter.Choose(now, req.Need, engine.Slots, candidates)
	} else {
		choice.Engine = chooser.ChoosePlain(candidates)
	}
	if choice.Engine == nil {
		return nil, nil
	}
	req.prefixCached = choice.Cached
	if choice.Holder != nil {
		holder = d.endpoints[choice.Holder.ID]
	}

	return d.endpoints[choice.Engine.ID], holder
}

func (d *Director) dispatch(now time.Time, req *request, e, holder *endpoint) {
	e.pacer.Record(now)
	d.admitDemand(now, req)
	req.retryPending, req.beganAt = false, time.Time{}
	req.endpoint, req.sentLimited, req.replaced = e, e.limited(), false
	d.occupy(now, req, e)
	if req.usesEngine && !req.relayed {
		req.awaitingFirstByte, req.prefillTokensAhead = true, e.load.PrefillTokens()
		req.sentLoad = e.loadWith(req)
		e.load.Own.PrefillTokens += req.Need.PrefillTokens()
		e.load.NoteLongPrefill(now)
	}
	e.load.Own.Running++
	d.markChanged(e)
	if req.usesEngine {
		req.service.splitter.AddRunning(req.Need, 1)
		req.service.splitter.RecordUse(now, req.Need, e.load)
	}
	account := ""
	if req.account != nil {
		account = req.account.Name
	}
	dispatch := Dispatch{
		ID: req.ID, Endpoint: e.entry.ID, Address: e.entry.Address, Account: account,
		Urgency: min(d.table.Urgency(req.route, req.account), maxUrgencyRank), Route: req.route, Deadline: d.deadlineOfAttempt(req),
		Resume: req.relayed, AwaitsNotice: req.sentLimited || req.sentBrittle, MaxIdle: d.idleLimit(now, req.service.name),
	}
	req.sendBy = time.Time{}
	if req.sentLimited || d.paced(now, e) {
		req.sendBy = now.Add(maxSendTime)
	}
	dispatch.SendBy = req.sendBy
	if holder != nil && !d.displaced(now, holder) {
		dispatch.CacheHolder = holder.entry.Address
	}
	if req.route.Repeatable() && req.runs()+1 < req.route.Attempts {
		if firstByteBy := now.Add(max(firstByteFactor*req.route.LatencyTarget, minFirstByteTimeout)); firstByteBy.Before(dispatch.Deadline) {
			dispatch.FirstByteDeadline = firstByteBy
		}
	}
	d.emit(dispatch)
}

const (
	// maxIdle is the maximum number of idle connections from a node to an
	// endpoint, and idleShare is the part of an endpoint's connections that all
	// nodes together may keep idle.
	maxIdle   = 8
	idleShare = 0.5
)

// idleLimit returns the number of idle connections that the node may keep to
// each endpoint of a service.
func (d *Director) idleLimit(now time.Time, name string) int {
	s := d.table.Service(name)
	if s == nil || s.MaxConnections == 0 {
		return maxIdle
	}

	return min(max(int(idleShare*float64(s.MaxConnections))/d.fleet.size(), 1), maxIdle)
}

// release removes the current attempt from the load of its endpoint, and
// returns the endpoint.
func (d *Director) release(req *request) *endpoint {
	e := req.endpoint
	if e == nil {
		return nil
	}
	req.endpoint = nil
	req.settle(e)
	if req.awaitingFirstByte {
		req.awaitingFirstByte = false
		e.load.Own.PrefillTokens -= req.Need.PrefillTokens()
	}
	e.load.Own.Running--
	d.markChanged(e)
	if req.usesEngine {
		req.service.splitter.AddRunning(req.Need, -1)
	}

	return e
}

// enqueue keeps a request until an endpoint can admit it, for a small part of
// its target or until its waitUntil.
func (d *Director) enqueue(now time.Time, req *request, reason Reason) {
	if now.After(req.waitLimit()) || len(req.service.endpoints) == 0 {
		d.fail(now, req, reason)

		return
	}
	req.waitReason = reason
	if !req.queued {
		req.queued, req.wasQueued = true, true
		d.waiting = append(d.waiting, req)
	}
}
