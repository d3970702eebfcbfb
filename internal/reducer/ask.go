package reducer

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"snipedyke/internal/placer"
	"snipedyke/pkg/encoder"
)

const (
	// maxGrantAge is the age above which a grant is rejected. It leaves a
	// margin below the 3 s within which a data centre that is taken out must
	// stop receiving new requests.
	maxGrantAge = time.Second
	// askRetryInterval is the interval at which an unanswered ask is sent
	// again; homes ignore duplicates.
	askRetryInterval = time.Second
	// maxLoadAge is the age up to which a home's load summary is used.
	maxLoadAge = 2 * time.Second
	// remotePoolPenalty is added to the expected wait of a pool in another
	// data centre, so that a local pool is preferred among equal ones.
	remotePoolPenalty = time.Millisecond
)

// requestSlot asks the home of the best pool for an endpoint slot.
func (r *Reducer) requestSlot(now time.Time, req *request) {
	req.phase, req.phaseStart = phaseSlot, now
	req.ask = askState{refusedPools: req.ask.refusedPools}
	name := r.choosePool(now, req)
	if name == "" {
		reason := req.lastFailure
		if reason == "" {
			reason = ReasonNoEndpoint
		}
		r.refuseUndispatched(now, req, reason, time.Second)

		return
	}
	req.ask.pool = name
	r.sendAsk(now, req)
}

// sendAsk sends the request's ask to the current home of its pool.
func (r *Reducer) sendAsk(now time.Time, req *request) {
	req.ask.home = r.homeNode(req.ask.pool)
	req.ask.sent = now
	if req.ask.home == "" {
		return
	}
	req.ask.incarnation, _ = r.detector.Incarnation(req.ask.home)
	r.detector.UseFastPeriod(now, req.ask.home)
	r.deliver(now, req.ask.home, r.newAsk(now, req))
}

// newAsk returns the message that asks a home for a slot for the request.
func (r *Reducer) newAsk(now time.Time, req *request) *encoder.Ask {
	waiting := req.arrived
	if req.resume {
		// The time for which a stream has run is not waiting time. If it were
		// counted, it would soon exceed the maximum wait of the class.
		waiting = req.phaseStart
	}
	ask := &encoder.Ask{
		ID: req.ID, Pool: req.ask.pool, Class: req.Class, Entry: req.Entry,
		Model: req.Model, Adapter: req.Adapter,
		Fingerprint: req.Fingerprint, Prefix: req.Prefix,
		Waited: now.Sub(waiting).Microseconds(), Attempt: req.attempt,
		Only: req.onlyEndpoint, Avoid: req.avoidEndpoint, Suspect: req.suspect, Resume: req.resume,
		Once: req.Once, Tokens: req.Tokens,
	}
	if !req.deadline.IsZero() {
		ask.Deadline = max(1, req.deadline.Sub(now).Microseconds())
	}

	return ask
}

// choosePool returns the pool of the request's service with the shortest
// expected wait among those that have not refused it, or "" if there is none.
// Ties are broken by a hash of pool name and prompt prefix, so that prompts
// with the same prefix go to the same pool.
func (r *Reducer) choosePool(now time.Time, req *request) string {
	type candidate struct {
		name string
		wait time.Duration
		rank uint64
	}
	var best candidate
	for _, p := range r.pools {
		if p.service != req.Service || slices.Contains(req.ask.refusedPools, p.name) || !r.serves(&p, req) {
			continue
		}
		c := candidate{name: p.name, rank: xxhash.Sum64String(p.name) ^ req.Prefix}
		if l, ok := r.loads[p.name]; ok && now.Sub(l.at) < maxLoadAge && req.class.Tier < len(l.Wait) {
			c.wait = fromMicros(l.Wait[req.class.Tier])
		}
		if p.dataCentre != "" && p.dataCentre != r.opts.DataCentre {
			c.wait += remotePoolPenalty
		}
		if best.name == "" || c.wait < best.wait || c.wait == best.wait && c.rank > best.rank {
			best = c
		}
	}

	return best.name
}

// serves reports whether the pool has an endpoint in service that can run the
// request.
func (r *Reducer) serves(p *pool, req *request) bool {
	return slices.ContainsFunc(p.endpoints, func(name string) bool {
		e := r.catalogue.Endpoints[name]
		if req.onlyEndpoint != "" && req.onlyEndpoint != name || r.outOfService(e) || req.resume && !e.Resumes {
			return false
		}

		return req.Model == "" || slices.Contains(e.Models, req.Model)
	})
}

// designatedEndpoint returns the endpoint to which a suspect request, or one
// without a claim, is restricted. All nodes choose the same endpoint. The
// endpoint named by except is not considered.
func (r *Reducer) designatedEndpoint(req *request, except string) string {
	return placer.Designated(r.catalogue, req.Service, req.Model, except, req.Fingerprint)
}

// withdrawAsk withdraws the request's outstanding ask.
func (r *Reducer) withdrawAsk(now time.Time, req *request) {
	if req.ask.home != "" {
		r.deliver(now, req.ask.home, &encoder.Withdraw{Ask: req.ID, Pool: req.ask.pool})
	}
	req.ask = askState{}
}

// checkAsk sends an ask again if its home has changed or has not answered, and
// refuses the request if no home has answered within the maximum wait of its
// class.
func (r *Reducer) checkAsk(now time.Time, req *request) {
	home := r.homeNode(req.ask.pool)
	incarnation, _ := r.detector.Incarnation(home)
	moved := home != req.ask.home || incarnation != req.ask.incarnation
	unanswered := now.Sub(req.ask.sent) > askRetryInterval
	if moved && req.ask.home != "" {
		r.deliver(now, req.ask.home, &encoder.Withdraw{Ask: req.ID, Pool: req.ask.pool})
	}
	if moved || unanswered {
		r.sendAsk(now, req)
	}
	if req.phase != phaseSlot {
		// The home is this node and has already answered.
		return
	}
	limit := max(2*req.class.FirstToken, req.class.MaxWait)
	if !req.class.Batch && limit > 0 && now.Sub(req.phaseStart) > limit {
		r.refuseUndispatched(now, req, ReasonOverload, time.Second)
	}
}

// handleAskRefusal tries the next pool after a home has refused the ask.
func (r *Reducer) handleAskRefusal(now time.Time, from string, m *encoder.Refuse) {
	req := r.requests[m.Ask]
	if req == nil || req.phase != phaseSlot || req.ask.home != from || req.ask.pool != m.Pool {
		return
	}
	req.ask.refusedPools = append(req.ask.refusedPools, m.Pool)
	refused := req.ask.refusedPools
	req.ask = askState{refusedPools: refused}
	if name := r.choosePool(now, req); name != "" && Reason(m.Reason) != ReasonRetryBudget {
		r.requestSlot(now, req)

		return
	}
	r.refuseUndispatched(now, req, Reason(m.Reason), fromMicros(m.Retry))
}

// refuseUndispatched refuses a request that gets no slot.
func (r *Reducer) refuseUndispatched(now time.Time, req *request, reason Reason, retryAfter time.Duration) {
	r.refuse(now, req, reason, req.priorRun(), retryAfter)
}

// handleGrant dispatches the request that a slot was granted for, or returns
// the slot if the grant is stale or no longer needed.
func (r *Reducer) handleGrant(now time.Time, from string, g *encoder.Grant) {
	if _, used := r.usedPermits[g.Permit]; used {
		// A duplicate grant must neither return the permit nor use it again.
		return
	}
	req := r.requests[g.Ask]
	unneeded := req == nil || req.phase != phaseSlot || req.ask.pool != g.Pool
	age := time.Duration(0)
	known := true
	if from != r.opts.Self {
		age, known = r.detector.HeartbeatAge(now, from, g.HeartbeatSeq)
	}
	endpoint := r.catalogue.Endpoints[g.Endpoint]
	stale := !known || age > maxGrantAge || endpoint == nil || r.outOfService(endpoint) || !r.detector.IsFresh(now)
	if unneeded || stale {
		label := "unneeded"
		if !unneeded {
			label = "stale"
		}
		r.count(CounterGrants, label, "")
		r.deliver(now, from, &encoder.Done{Permit: g.Permit, Pool: g.Pool, Endpoint: g.Endpoint})
		if !unneeded {
			r.sendAsk(now, req)
		}

		return
	}
	r.count(CounterGrants, "used", "")
	r.dispatch(now, from, req, g, now.Add(maxGrantAge-age))
}

// dispatch sends a request to the endpoint named by its grant.
func (r *Reducer) dispatch(now time.Time, home string, req *request, g *encoder.Grant, expires time.Time) {
	p := &permit{
		Permit: encoder.Permit{
			ID: g.Permit, Pool: g.Pool, Endpoint: g.Endpoint, Class: req.Class,
			Fingerprint: req.Fingerprint, Suspect: req.suspect,
		},
		request: req, home: home, cold: g.Cold, dispatched: now,
	}
	r.observed[g.Endpoint] = observation{at: now, cold: g.Cold}
	r.permits[g.Permit] = p
	r.usedPermits[g.Permit] = now
	req.permit = p
	req.phase, req.phaseStart = phaseRunning, now
	req.ask = askState{}
	r.emit(Observe{Histogram: HistogramQueue, Class: req.Class, Value: now.Sub(req.arrived)})
	r.recordDecision(req, "dispatched", g.Endpoint, home)
	r.emit(Dispatch{
		ID: req.ID, Endpoint: g.Endpoint, Permit: g.Permit, Attempt: req.attempt,
		Tier: req.class.Tier, Once: req.Once, Resume: req.resume, Expires: expires,
	})
}
