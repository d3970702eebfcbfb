package director

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"snipedyke/internal/chooser"
)

// Placement is the answer to the question where a request would go now, and why.
type Placement struct {
	Outcome Outcome `json:"outcome"`
	// Endpoint is the ID of the endpoint to which the request is sent, and Probe
	// reports whether it is a failing one that is sent a probe request.
	Endpoint string `json:"endpoint,omitempty"`
	Probe    bool   `json:"probe,omitempty"`
	// Node is the address of the node to which the request is handed over, or empty.
	Node string `json:"node,omitempty"`
	// Status, Reason, Cause and Retry are those of the error with which a request is
	// rejected. If it is queued, it gets this error after Wait unless something changes
	// before. Retry is the value of Retry-After, in nanoseconds as all times here.
	Status int           `json:"status,omitempty"`
	Reason Reason        `json:"reason,omitempty"`
	Cause  string        `json:"cause,omitempty"`
	Retry  time.Duration `json:"retry,omitempty"`
	Wait   time.Duration `json:"wait,omitempty"`
	// Route, Service and Account are names, or empty if they are not known. Beyond
	// reports whether the request is beyond the share of its account.
	Route   string `json:"route,omitempty"`
	Service string `json:"service,omitempty"`
	Account string `json:"account,omitempty"`
	Beyond  bool   `json:"beyond,omitempty"`
	// Tokens is the number of prompt tokens that the request adds to its engine.
	Tokens float64 `json:"tokens,omitempty"`
	// Candidates holds the endpoints of the service: the one to which the request is
	// sent, those whose costs were compared, further candidates, and others. Each of
	// these parts is in the order of costs. Omitted is the number of those left out.
	Candidates []Candidate `json:"candidates"`
	Omitted    int         `json:"omitted,omitempty"`
}

// Candidate is an endpoint of the request's service with the terms of its cost. The
// request itself is not counted.
type Candidate struct {
	Endpoint string `json:"endpoint"`
	Centre   string `json:"centre"`
	State    State  `json:"state"`
	// Running is the number of requests of all nodes at the endpoint, and Tokens that of
	// the prompt tokens that it has yet to prefill.
	Running int     `json:"running"`
	Tokens  float64 `json:"tokens"`
	// Slowness multiplies the load. Failures is the share of failed attempts, and Loss
	// the load that the risk of losing the request is worth.
	Slowness float64 `json:"slowness"`
	Failures float64 `json:"failures"`
	Loss     float64 `json:"loss"`
	// Remote reports whether the endpoint is in another data centre, which adds to its
	// cost.
	Remote bool    `json:"remote,omitempty"`
	Cost   float64 `json:"cost"`
	// Why is why the engine does not admit the request, or empty if it does.
	Why string `json:"why,omitempty"`
}

// Outcome is what happens to a request on its arrival.
type Outcome string

// The outcomes.
const (
	OutcomeSent     Outcome = "sent"
	OutcomeQueued   Outcome = "queued"
	OutcomeRejected Outcome = "rejected"
)

// State is whether an endpoint can receive a request, and if not, why.
type State string

// The states of endpoints. Those from StateDraining on are no candidates.
const (
	// StateChosen is that of the endpoint to which the request is sent.
	StateChosen State = "chosen"
	// StateCompared is that of a candidate whose cost was compared, and StateCandidate
	// that of one of the other group or outside of the sample of the request.
	StateCompared  State = "compared"
	StateCandidate State = "candidate"
	StateDraining  State = "draining"
	// StateOut is that of an endpoint whose data centre is out of service.
	StateOut State = "out"
	// StateDisplaced is that of an endpoint whose address another one has.
	StateDisplaced State = "displaced"
	StateLeaving   State = "leaving"
	// StatePaused is that of an endpoint that has asked for time, and StateSuspended
	// that of one that could not be reached.
	StatePaused    State = "paused"
	StateSuspended State = "suspended"
	// StateCold and StateLimited are those of an endpoint to which the node has sent all
	// requests that it may send while the endpoint is cold or names a limit.
	StateCold    State = "cold"
	StateLimited State = "limited"
	// StateBrittle is that of a brittle endpoint that may decline a request for want of
	// room.
	StateBrittle State = "brittle"
	// StateRegion is that of an endpoint in a region where the request may not run.
	StateRegion State = "region"
	// StateFailing is that of an endpoint that gets only probe requests, and StateFull that
	// of an engine without a free slot where others have some.
	StateFailing State = "failing"
	StateFull    State = "full"
)

// rank orders the parts of Placement.Candidates.
func (s State) rank() int {
	switch s {
	case StateChosen:
		return 0
	case StateCompared:
		return 1
	case StateCandidate:
		return 2
	default:
		return 3
	}
}

// maxCandidates bounds the candidates of a Placement. With 200 to 300 bytes each, its
// JSON stays below 64 KB.
const maxCandidates = 200

// Explain returns what would happen to a request that arrived now. It does not change the
// director: the request is placed on a copy of the state that an arrival can change. If
// account is not empty, it names the account of the caller, whatever q.Key is. Requests
// that take a stream up again are treated as new ones.
//
// The name of the request selects the service, the sample of compared endpoints and
// whether it is beyond the share of its account, so that another name may lead elsewhere.
func (d *Director) Explain(now time.Time, q Request, account string) Placement {
	// No request in progress has this ID.
	q.ID, q.Continues, q.Resumes = math.MaxUint64, false, ""
	service := ""
	if d.table != nil {
		if account != "" {
			q.Key, _ = d.table.Key(account)
		}
		if route := d.table.Route(q.Host, q.Path); route != nil {
			service = route.Service(q.Name)
		}
	}
	c := d.copyFor(service)
	req := &request{Request: q, arrivedAt: now}
	if c.receive(now, req) {
		// Those that come after the request do not matter to it.
		c.waiting = slices.DeleteFunc(c.waiting, func(w *request) bool { return compareWaiting(w, req) > 0 })
		c.placeInTurn(now, req)
	}

	return c.describe(now, req)
}

// describe returns what has happened to a request that has just arrived, and withdraws
// the request.
func (d *Director) describe(now time.Time, req *request) Placement {
	p := Placement{Outcome: OutcomeRejected, Tokens: req.Need.PrefillTokens(), Candidates: []Candidate{}, Beyond: req.beyondShare}
	if req.route != nil {
		p.Route = req.route.Name
	}
	if req.account != nil {
		p.Account = req.account.Name
	}
	chosen := d.release(req)
	if chosen != nil {
		chosen.pacer.Withdraw(now)
		p.Outcome, p.Endpoint = OutcomeSent, chosen.entry.ID
	}
	if req.node.IsValid() {
		p.Outcome, p.Node = OutcomeSent, req.node.String()
	}
	if req.service != nil {
		p.Service = req.service.name
		candidates := d.candidates(now, req)
		p.Probe = chosen != nil && !slices.Contains(candidates, chosen.load)
		p.Candidates = d.describeCandidates(now, req, chosen, candidates)
	}
	if len(p.Candidates) > maxCandidates {
		p.Omitted = len(p.Candidates) - maxCandidates
		p.Candidates = p.Candidates[:maxCandidates]
	}
	if req.queued {
		p.Outcome, p.Wait = OutcomeQueued, req.waitLimit().Sub(now)
		d.fail(now, req, req.waitReason)
	}
	for _, e := range d.effects {
		if refuse, ok := e.(Refuse); ok && refuse.ID == req.ID {
			p.Status, p.Reason, p.Retry, p.Cause = refuse.Status, refuse.Reason, refuse.RetryAfter, req.lastCause
		}
	}

	return p
}

// describeCandidates returns the endpoints of the request's service, ordered as
// Placement.Candidates.
func (d *Director) describeCandidates(now time.Time, req *request, chosen *endpoint, candidates []*chooser.Engine) []Candidate {
	list := make([]Candidate, 0, len(req.service.endpoints))
	gap := req.demand().Gap
	available := make(map[*chooser.Engine]bool, len(candidates))
	for _, engine := range candidates {
		available[engine] = true
	}
	for _, e := range req.service.endpoints {
		e.load.Loss = d.loss(now, req, e)
		c := Candidate{
			Endpoint: e.entry.ID, Centre: e.entry.DataCentre, State: StateCandidate,
			Running: e.load.Running(), Tokens: e.load.PrefillTokens(), Slowness: e.load.Slowness.Factor(e.load.Running()),
			Loss: e.load.Loss, Remote: !e.load.Local, Cost: e.load.Cost(),
		}
		if d.opts.Outcomes {
			c.Failures = e.observed.outcomes.Share(now)
		}
		switch {
		case e == chosen:
			c.State = StateChosen
		case available[e.load]:
			if e.load.Compared() {
				c.State = StateCompared
			}
			if req.usesEngine {
				c.Why = d.rejects(now, req, e, gap)
			}
		case !d.usable(now, e):
			c.State = d.obstacle(now, e)
		case !d.regionAllowed(req, e):
			c.State = StateRegion
		case e.observed.failing:
			c.State = StateFailing
		default:
			c.State = StateFull
		}
		list = append(list, c)
	}
	slices.SortFunc(list, func(a, b Candidate) int {
		return cmp.Or(cmp.Compare(a.State.rank(), b.State.rank()), cmp.Compare(a.Cost, b.Cost), cmp.Compare(a.Endpoint, b.Endpoint))
	})

	return list
}

// copyFor returns a copy of the director in which the arrival of a request for a service
// changes nothing of the original. It has only this service, with the endpoints and the
// waiting requests of it. What an arrival only reads is shared. What it does not use at
// all is left out, so that an access fails instead of changing the original.
func (d *Director) copyFor(name string) *Director {
	c := *d
	c.notices, c.pacings, c.addresses, c.centreReturns, c.endpointsByNumber = nil, nil, nil, nil, nil
	c.asking, c.waiting, c.observedEndpoints, c.changedEndpoints = nil, nil, nil, nil
	c.effects, c.candidateBuffer, c.shareBuffer = nil, nil, nil
	c.requests, c.services, c.endpoints = map[uint64]*request{}, map[string]*service{}, map[string]*endpoint{}
	c.sharer, c.brittleServices = d.sharer.Clone(), maps.Clone(d.brittleServices)
	former := d.services[name]
	if former == nil {
		return &c
	}
	s := *former
	s.splitter, s.shedder, s.retryBudget = former.splitter.Clone(), former.shedder.Clone(), former.retryBudget.Clone()
	s.endpoints = c.copyEndpoints(former.endpoints)
	c.services[name] = &s
	for _, w := range d.waiting {
		if w.service != former || d.requests[w.ID] != w {
			continue
		}
		// Only the end of an attempt uses erred.
		waiting := *w
		waiting.service, waiting.erred, waiting.tried = &s, nil, slices.Clone(w.tried)
		c.waiting = append(c.waiting, &waiting)
		c.requests[w.ID] = &waiting
	}

	return &c
}

// copyEndpoints returns copies of the endpoints and adds them to the director.
func (d *Director) copyEndpoints(former []*endpoint) []*endpoint {
	copies := make(map[*endpoint]*endpoint, len(former))
	list := make([]*endpoint, 0, len(former))
	for _, e := range former {
		copied, load := *e, *e.load
		copied.load = &load
		copied.pacing = &pacing{coldUntil: e.coldUntil, pacer: e.pacer.Clone(), removedAt: e.removedAt, room: e.room.clone(), soundAt: e.soundAt}
		copies[e] = &copied
		list = append(list, &copied)
		d.endpoints[e.entry.ID] = &copied
	}
	for _, e := range list {
		// An address may be held by an endpoint of another service.
		a := *e.address
		if holder := copies[a.holder]; holder != nil {
			a.holder = holder
		}
		e.address = &a
	}

	return list
}
