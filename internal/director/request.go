package director

import (
	"fmt"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

	"snipedyke/internal/chooser"
	"snipedyke/internal/logger"
	"snipedyke/internal/router"
)

const (
	// leastUrgent is the last rank that engines know.
	leastUrgent = 9
	// maxUnreached bounds the endpoints that a request tries without reaching
	// one.
	maxUnreached = 4
	// waitShare is the part of its target that a request waits for an endpoint
	// before it is refused.
	waitShare = 8
	// leastLeft is the time that an attempt needs to be worth its while.
	leastLeft = 20 * time.Millisecond
	// silenceFactor times the target is how long a repeatable request waits for
	// the first byte of an answer, but at least leastSilence.
	silenceFactor = 2
	leastSilence  = 250 * time.Millisecond
	// retryDelay is the least delay that refused callers are told, and
	// retrySpread the range over which they are spread.
	retryDelay  = 150 * time.Millisecond
	retrySpread = 350 * time.Millisecond
)

// request is a request in progress.
type request struct {
	Request
	route   *router.Route
	account *router.Account
	service *service
	// generates tells that the service has model engines.
	generates bool
	// pending tells that the first byte is awaited, and ahead is what the engine
	// had to read before when the request was sent, in tokens.
	pending bool
	ahead   float64
	// cached tells that the engine of the last choice keeps the shared parts of
	// the prompt.
	cached  bool
	arrived time.Time
	// until is when the answer must be there.
	until time.Time
	// tried holds the endpoints that may have run it or have declined it.
	tried []string
	// unreached counts the endpoints that could not be reached.
	unreached int
	// at is the endpoint of the attempt in progress, or nil.
	at *endpoint
	// ran tells that an attempt may have run.
	ran bool
	// first is the time to the first byte of the answer, and pause the longest
	// pause between events.
	first, pause time.Duration
	// full is the engine that did not take the request on, or nil.
	full *endpoint
	// cause tells why the last attempt has failed, for the log.
	cause string
	// relayed tells that a byte of the answer has reached the caller.
	relayed bool
	// gone tells that the caller has left.
	gone bool
	// waits tells that the request is among the waiting, and waited that it has
	// been.
	waits, waited bool
}

// arrive takes a request in or refuses it.
func (d *Director) arrive(now time.Time, q Request) {
	req := &request{Request: q, arrived: now}
	d.requests[q.ID] = req
	if d.table == nil || !d.listed {
		d.refuse(now, req, http.StatusServiceUnavailable, ReasonNotReady)

		return
	}
	fresh := !d.confirmed.IsZero() && now.Sub(d.confirmed) <= d.opts.FreshView
	req.route = d.table.Route(q.Host, q.Path)
	if req.route == nil {
		d.refuseUnknown(now, req, fresh, http.StatusNotFound, ReasonNoRoute)

		return
	}
	if !req.route.Public {
		if !d.keysValid(now) {
			d.refuse(now, req, http.StatusServiceUnavailable, ReasonStaleView)

			return
		}
		if req.account = d.table.Account(q.Key); req.account == nil {
			d.refuseUnknown(now, req, fresh, http.StatusUnauthorized, ReasonNoKey)

			return
		}
	}
	if most := d.table.MaxBodyBytes(); most > 0 && q.Body > most {
		d.refuse(now, req, http.StatusRequestEntityTooLarge, ReasonTooLarge)

		return
	}
	req.until = now.Add(req.route.Timeout)
	if q.Deadline > 0 && q.Deadline < req.route.Timeout {
		req.until = now.Add(q.Deadline)
	}
	req.service = d.service(req.route.Service(q.Name))
	req.Need.Seed, req.Need.Urgency = xxhash.Sum64String(q.Name), req.route.Priority
	req.service.retries.Request(now)
	if d.engine(req) != nil {
		req.generates = true
	}
	d.place(now, req)
}

// refuseUnknown refuses a request whose route or key is unknown. A view that is
// not fresh may lack what was added of late.
func (d *Director) refuseUnknown(now time.Time, req *request, fresh bool, status int, reason Reason) {
	if !fresh {
		status, reason = http.StatusServiceUnavailable, ReasonStaleView
	}
	d.refuse(now, req, status, reason)
}

func (d *Director) engine(req *request) *router.Engine {
	if s := d.table.Service(req.service.name); s != nil {
		return s.Engine
	}

	return nil
}

// place sends a request to an endpoint, or lets it wait for one.
func (d *Director) place(now time.Time, req *request) {
	if req.until.Sub(now) < leastLeft {
		d.giveUp(now, req, ReasonTimeout)

		return
	}
	e, holder := d.choose(now, req)
	if e == nil {
		d.wait(now, req, ReasonNoEndpoint)

		return
	}
	if d.engine(req) != nil && !req.relayed {
		first := e
		if e = d.admit(now, req, e); e == nil {
			req.full = first
			if !req.waited {
				req.service.splitter.NoteRefusal(now, req.Need)
			}
			d.wait(now, req, ReasonOverload)

			return
		}
	}
	d.dispatch(now, req, e, holder)
}

// admit returns the engine that takes a request on, or nil. A request of the
// more urgent group that its own engines cannot take on in time goes to those
// of the other group, or else makes the pauses at its own longer.
func (d *Director) admit(now time.Time, req *request, e *endpoint) *endpoint {
	gap := req.route.Gap
	if req.Need.Long() {
		// Reading a long prompt takes longer than any pause by itself.
		gap = 0
	}
	if d.admits(req, e, gap) {
		return e
	}
	splitter := &req.service.splitter
	if !splitter.Urgent(req.Need) {
		return nil
	}
	if other := splitter.ChooseSpillover(req.Need, d.engine(req).Slots, d.candidates(now, req)); other != nil {
		if o := d.endpoints[other.ID]; d.admits(req, o, gap) {
			return o
		}
	}
	if d.admits(req, e, 0) {
		return e
	}

	return nil
}

// admits tells whether an engine takes a request on without pauses above gap.
func (d *Director) admits(req *request, e *endpoint, gap time.Duration) bool {
	reader := &req.service.reader

	return reader.Admit(e.load.PrefillTokens(), req.route.Target, gap) &&
		reader.HasSlot(e.load.Running(), d.engine(req).Slots, req.route.Target)
}

// choose returns the endpoint for a request, or nil, and the endpoint that
// probably keeps the shared parts of its prompt, or nil.
func (d *Director) choose(now time.Time, req *request) (chosen, holder *endpoint) {
	req.cached = false
	candidates := d.candidates(now, req)
	var choice chooser.Choice
	if engine := d.engine(req); engine != nil {
		choice = req.service.splitter.Choose(now, req.Need, engine.Slots, candidates)
	} else {
		choice.Engine = chooser.ChoosePlain(candidates)
	}
	if choice.Engine == nil {
		return nil, nil
	}
	req.cached = choice.Cached
	if choice.Holder != nil {
		holder = d.endpoints[choice.Holder.ID]
	}

	return d.endpoints[choice.Engine.ID], holder
}

// candidates returns the endpoints that may get a request now. The result is
// valid until the next call.
func (d *Director) candidates(now time.Time, req *request) []*chooser.Engine {
	d.space = d.space[:0]
	for _, e := range req.service.endpoints {
		if d.usable(now, e) && !contains(req.tried, e.entry.ID) && d.allowed(req, e) {
			d.space = append(d.space, e.load)
		}
	}

	return d.space
}

// allowed tells whether a request may be run in an endpoint's region.
func (d *Director) allowed(req *request, e *endpoint) bool {
	region := d.opts.Regions[e.entry.DataCentre]
	if len(req.route.Regions) > 0 && !contains(req.route.Regions, region) {
		return false
	}

	return req.account == nil || len(req.account.Regions) == 0 || contains(req.account.Regions, region)
}

func contains(list []string, s string) bool {
	for _, x := range list {
		if x == s {
			return true
		}
	}

	return false
}

func (d *Director) dispatch(now time.Time, req *request, e, holder *endpoint) {
	if now.Before(e.cold) {
		e.pace.Pass(now)
	}
	req.at = e
	if req.generates && !req.relayed {
		req.pending, req.ahead = true, e.load.PrefillTokens()
		e.load.Own.PrefillTokens += req.Need.PrefillTokens()
		e.load.NoteLongPrefill(now)
	}
	e.load.Own.Running++
	d.touch(e)
	if req.generates {
		req.service.splitter.AddRunning(req.Need, 1)
	}
	account := ""
	if req.account != nil {
		account = req.account.Name
	}
	dispatch := Dispatch{
		ID: req.ID, Endpoint: e.entry.ID, Address: e.entry.Address, Account: account,
		Urgency: min(d.table.Urgency(req.route, req.account), leastUrgent), Route: req.route, Until: req.until,
		Resume: req.relayed, Idle: d.idle(now, req.service.name),
	}
	if holder != nil {
		dispatch.Holder = holder.entry.Address
	}
	if req.route.Repeatable() && len(req.tried)+1 < req.route.Attempts {
		if first := now.Add(max(silenceFactor*req.route.Target, leastSilence)); first.Before(req.until) {
			dispatch.First = first
		}
	}
	d.emit(dispatch)
}

const (
	// maxIdle bounds the idle connections of a node to an endpoint, and idleShare
	// is the part of an endpoint's connections that all nodes may hold idle.
	maxIdle   = 8
	idleShare = 0.5
)

// idle returns the number of idle connections that the node may keep to each
// endpoint of a service.
func (d *Director) idle(now time.Time, name string) int {
	s := d.table.Service(name)
	if s == nil || s.Connections == 0 {
		return maxIdle
	}

	return min(max(int(idleShare*float64(s.Connections))/d.fleet.size(now), 1), maxIdle)
}

// release ends the use of the endpoint of the attempt, and returns it.
func (d *Director) release(req *request) *endpoint {
	e := req.at
	if e == nil {
		return nil
	}
	req.at = nil
	if req.pending {
		req.pending = false
		e.load.Own.PrefillTokens -= req.Need.PrefillTokens()
	}
	e.load.Own.Running--
	d.touch(e)
	if req.generates {
		req.service.splitter.AddRunning(req.Need, -1)
	}

	return e
}

// wait keeps a request until an endpoint can take it, for a small part of its
// target.
func (d *Director) wait(now time.Time, req *request, reason Reason) {
	patience := req.arrived.Add(req.route.Target / waitShare)
	if now.After(patience) || len(req.service.endpoints) == 0 {
		d.giveUp(now, req, reason)

		return
	}
	if !req.waits {
		req.waits, req.waited = true, true
		d.waiting = append(d.waiting, req)
	}
}

// retryWaiting places the requests that wait.
func (d *Director) retryWaiting(now time.Time) {
	waiting := d.waiting
	d.waiting = nil
	for _, req := range waiting {
		req.waits = false
		if d.requests[req.ID] == req {
			d.place(now, req)
		}
	}
}

// giveUp ends a request without an answer of an endpoint. What has not run is
// refused with a status that says so.
func (d *Director) giveUp(now time.Time, req *request, reason Reason) {
	if reason == ReasonOverload && req.full != nil {
		req.cause = fmt.Sprintf("engine %s: %.0f tokens unread, read in %s; %d requests running",
			req.full.entry.ID, req.full.load.PrefillTokens(), req.service.reader.Wait(req.full.load.PrefillTokens()), req.full.load.Running())
	}
	status := http.StatusServiceUnavailable
	switch {
	case req.ran && reason == ReasonTimeout:
		status = http.StatusGatewayTimeout
	case req.ran:
		status = http.StatusBadGateway
	}
	d.refuse(now, req, status, reason)
}

// refuse ends a request with an error of the node's own.
func (d *Director) refuse(now time.Time, req *request, status int, reason Reason) {
	if req.relayed {
		d.emit(Abort{ID: req.ID, Reason: reason})
	} else {
		var after time.Duration
		if status == http.StatusServiceUnavailable {
			after = retryDelay + time.Duration(xxhash.Sum64String(req.Name)%uint64(retrySpread))
		}
		d.emit(Refuse{ID: req.ID, Status: status, Reason: reason, RetryAfter: after})
	}
	d.emit(Count{Counter: CounterRefusals, Label: string(reason)})
	route, service := "", ""
	if req.route != nil {
		route = req.route.Name
	}
	if req.service != nil {
		service = req.service.name
	}
	d.log(logger.RequestFailed, "request", req.Name, "route", route, "service", service, "status", status,
		"reason", string(reason), "cause", req.cause, "waited", now.Sub(req.arrived).String(), "tried", req.tried,
		"unreached", req.unreached, "relayed", req.relayed, "age", d.Age(now).String())
	delete(d.requests, req.ID)
}

// end forgets a request whose caller needs no answer.
func (d *Director) end(req *request, reason Reason) {
	d.emit(Count{Counter: CounterRefusals, Label: string(reason)})
	d.emit(Abort{ID: req.ID, Reason: reason})
	delete(d.requests, req.ID)
}

// gone cancels the work of a caller that has disconnected. What runs at most
// once goes on, as its effect may still be wanted.
func (d *Director) gone(id uint64) {
	req := d.requests[id]
	if req == nil || req.gone {
		return
	}
	req.gone = true
	switch {
	case req.at == nil:
		d.end(req, ReasonGone)
	case req.route.Kind != router.Unsafe:
		d.emit(Cancel{ID: id})
	}
}
