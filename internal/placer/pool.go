package placer

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"snipedyke/pkg/cataloguer"
)

// Pool is the state of a pool's endpoints at the pool's home. It is not safe
// for concurrent use.
type Pool struct {
	name string
	// endpoints is sorted by name.
	endpoints []*Endpoint
	byName    map[string]*Endpoint
	// eligible caches the result of Eligible by requirement.
	eligible  map[requirement][]*Endpoint
	baselines map[string]*baseline

	regions   map[string]string
	leases    int
	lenders   int
	allowCold bool

	// limitSum and freeSum are the results of Places. They are valid unless stale
	// is set.
	limitSum, freeSum int
	stale             bool

	changes []Change
}

// requirement is what an endpoint must have loaded or support to run a
// request.
type requirement struct {
	model, adapter string
	resume         bool
}

// Endpoint is the state of one endpoint.
type Endpoint struct {
	conf  *cataloguer.Endpoint
	hash  uint64
	state State
	// since is the time of the last change of state.
	since time.Time
	// removed reports whether the endpoint is no longer in the catalogue, or is
	// in another pool there. It is kept, out of service, while requests run on
	// it.
	removed bool
	// unobserved reports whether nothing is known of the endpoint except its
	// catalogue entry.
	unobserved bool
	// runs holds the requests in progress, ordered by start.
	runs []*Run
	// silentRuns is the number of runs whose node has stopped reporting.
	silentRuns int
	// suspectRuns is the number of runs with suspect fingerprints.
	suspectRuns int
	// waitingRuns is the number of runs without a first token.
	waitingRuns int
	// rampLimit is the limit while the endpoint is warming.
	rampLimit int
	// successes counts the normal first tokens since the endpoint has been cold.
	successes int
	// coldTrials counts the first tokens since the endpoint last became cold.
	coldTrials int
	// slowStreak counts the slow first tokens in a row.
	slowStreak int
	// warmSlowness is the relative slowness at the warm endpoint's last normal
	// first token. Slow first tokens do not change it, so that an endpoint in a
	// cold start is not compared with itself.
	warmSlowness float64
	// foreignLoad is the smoothed number of requests that the endpoint reports
	// beyond the runs of this home.
	foreignLoad float64
	speed       speedEstimate

	// failedAt is the time of the last failure. Runs that began before it are
	// lost.
	failedAt      time.Time
	probeAt       time.Time
	probeInterval time.Duration
}

// New returns a pool without endpoints.
func New(name string) *Pool {
	return &Pool{
		name: name, byName: map[string]*Endpoint{}, eligible: map[requirement][]*Endpoint{},
		baselines: map[string]*baseline{}, stale: true,
	}
}

// Name returns the endpoint's name.
func (e *Endpoint) Name() string { return e.conf.Name }

// State returns the endpoint's state.
func (e *Endpoint) State() State { return e.state }

// Running returns the number of requests that count against the limit.
func (e *Endpoint) Running() int {
	if e.state == Warm {
		return len(e.runs) - e.silentRuns
	}

	return len(e.runs)
}

// Gap returns the mean time between tokens, or zero if it is unknown.
func (e *Endpoint) Gap() time.Duration { return time.Duration(e.speed.gap * float64(time.Second)) }

// Configure puts the pool's part of a catalogue in force. out reports whether
// an endpoint is taken out of service.
func (p *Pool) Configure(now time.Time, c *cataloguer.Catalogue, out func(*cataloguer.Endpoint) bool) {
	p.stale = true
	clear(p.eligible)
	p.regions = make(map[string]string, len(c.DataCentres))
	for name, d := range c.DataCentres {
		p.regions[name] = d.Region
	}
	kept := make([]*Endpoint, 0, len(p.endpoints))
	for _, e := range p.endpoints {
		conf := c.Endpoints[e.Name()]
		if e.removed = conf == nil || conf.Pool != p.name; e.removed {
			if e.state != Out {
				p.setState(now, e, Out, ReasonRemoved)
			}
			if len(e.runs) == 0 {
				delete(p.byName, e.Name())
			} else {
				kept = append(kept, e)
			}

			continue
		}
		if conf.Address != e.conf.Address && e.state != Out {
			p.turnCold(now, e, ReasonNew)
		}
		e.conf = conf
		kept = append(kept, e)
	}
	for _, conf := range c.Endpoints {
		if conf.Pool != p.name || p.byName[conf.Name] != nil {
			continue
		}
		e := &Endpoint{conf: conf, hash: xxhash.Sum64String(conf.Name), state: Cold, since: now, unobserved: true}
		p.byName[conf.Name] = e
		kept = append(kept, e)
	}
	slices.SortFunc(kept, func(a, b *Endpoint) int { return cmp.Compare(a.Name(), b.Name()) })
	p.endpoints = kept
	for _, e := range p.endpoints {
		switch outOfService := e.removed || out(e.conf); {
		case outOfService && e.state != Out:
			p.setState(now, e, Out, ReasonOutOfService)
		case !outOfService && e.state == Out:
			p.turnCold(now, e, ReasonReturned)
		}
	}
}

// SetLeases sets how many of the pool's lenders lend to this home.
func (p *Pool) SetLeases(leases, lenders int) {
	p.stale = p.stale || p.leases != leases || p.lenders != lenders
	p.leases, p.lenders = leases, lenders
}

// AllowCold sets whether cold endpoints may get work. They may not as long as
// the work that a former home granted on them is not completely known.
func (p *Pool) AllowCold(allow bool) {
	p.stale = p.stale || p.allowCold != allow
	p.allowCold = allow
}

// Limit returns the number of requests that the home may run on e.
func (p *Pool) Limit(e *Endpoint) int {
	switch e.state {
	case Cold:
		if !p.allowCold {
			return 0
		}

		return p.coldShare(e.conf.ColdSlots)
	case Warming:
		return p.leasedShare(e.rampLimit)
	case Warm:
		return p.leasedShare(e.conf.Slots)
	default:
		return 0
	}
}

// coldShare returns the part of a cold limit that this home may use. A host
// list change may have replaced one lender whose lease another home may still
// hold. All other leases together therefore leave that lender its part.
func (p *Pool) coldShare(limit int) int {
	if p.leases == p.lenders {
		return limit - limit/(p.lenders+1)
	}

	return limit * p.leases / (p.lenders + 1)
}

// leasedShare returns the part of a warming or warm endpoint's limit that the
// leases allow.
func (p *Pool) leasedShare(limit int) int {
	if 2*p.leases > p.lenders {
		return limit
	}

	return limit * p.leases / max(p.lenders, 1)
}

// Endpoints returns all endpoints sorted by name. The caller must not change
// the slice.
func (p *Pool) Endpoints() []*Endpoint { return p.endpoints }

// Endpoint returns the endpoint with the given name, or nil.
func (p *Pool) Endpoint(name string) *Endpoint { return p.byName[name] }

// Places returns the sum of the endpoints' limits, and how many of these slots
// are free.
func (p *Pool) Places() (places, free int) {
	if p.stale {
		p.limitSum, p.freeSum = 0, 0
		for _, e := range p.endpoints {
			limit := p.Limit(e)
			p.limitSum += limit
			p.freeSum += max(0, limit-e.Running())
		}
		p.stale = false
	}

	return p.limitSum, p.freeSum
}

// Changes returns the changes of state since the last call.
func (p *Pool) Changes() []Change {
	c := p.changes
	p.changes = nil

	return c
}

// setState puts an endpoint into another state.
func (p *Pool) setState(now time.Time, e *Endpoint, to State, reason Reason) {
	p.changes = append(p.changes, Change{Endpoint: e.Name(), From: e.state, To: to, Reason: reason})
	e.state, e.since, e.unobserved = to, now, false
	e.slowStreak, e.successes = 0, 0
	if to == Cold {
		e.coldTrials = 0
	}
	p.stale = true
}

// turnCold makes an endpoint cold, or restarts the cold period of one that is
// cold already.
func (p *Pool) turnCold(now time.Time, e *Endpoint, reason Reason) {
	if e.state == Cold {
		e.successes, e.since = 0, now

		return
	}
	p.setState(now, e, Cold, reason)
}
