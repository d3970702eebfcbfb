package director

import (
	"slices"
	"time"

	"snipedyke/internal/admitter"
	"snipedyke/internal/chooser"
	"snipedyke/internal/logger"
	"snipedyke/internal/pacer"
	"snipedyke/internal/registrar"
	"snipedyke/internal/router"
)

// Options are the bounds of the deployment. All durations and counts must be
// above zero.
type Options struct {
	// DataCentre is the node's own, and Regions holds the region of each.
	DataCentre string
	Regions    map[string]string
	// KeyLease is the age of the view from which a node no longer accepts keys,
	// as they may have been withdrawn.
	KeyLease time.Duration
	// FreshView is the age of the view up to which an unknown route or key is
	// refused for good.
	FreshView time.Duration
	// Name is the node's name.
	Name string
	// Nodes is the number of nodes that is assumed to share the bounds of the
	// fleet until others are known. It is at least the true number.
	Nodes int
	// ColdFactor and ColdSlack bound the requests of a cold endpoint in a
	// second: its rate times the factor, plus the slack.
	ColdFactor, ColdSlack float64
	// RetryWindow, RetryRatio and RetrySlack bound the retries of the fleet for
	// each service.
	RetryWindow time.Duration
	RetryRatio  float64
	RetrySlack  float64
}

// Director holds the state of a node's decisions. It is not safe for
// concurrent use.
type Director struct {
	opts  Options
	table *router.Table

	registrar *registrar.Registrar
	endpoints map[string]*endpoint
	services  map[string]*service
	// listed tells that the endpoints have been read once.
	listed bool

	// confirmed is when the view was last known to be complete.
	confirmed time.Time
	// lost tells that the last contact failed.
	lost    bool
	leaving bool
	ready   bool

	fleet fleet

	requests map[uint64]*request
	// waiting holds the requests that wait for an endpoint, oldest first.
	waiting []*request

	// changed holds the endpoints whose own load has changed since it was told.
	changed []*endpoint
	// numbered holds the endpoints by the numbers that nodes exchange.
	numbered map[uint32]*endpoint
	// toldLong and toldShort are the running requests that others were told of.
	toldLong, toldShort int

	effects []Effect
	// space holds the candidates of a choice.
	space []*chooser.Engine
}

// service is the state of one service.
type service struct {
	name      string
	endpoints []*endpoint
	splitter  chooser.Splitter
	retries   pacer.Budget
	reader    admitter.Reader
}

// New returns a director that knows no routes.
func New(opts Options) *Director {
	return &Director{
		opts: opts, registrar: registrar.New(),
		endpoints: map[string]*endpoint{}, services: map[string]*service{},
		requests: map[uint64]*request{}, numbered: map[uint32]*endpoint{}, fleet: fleet{assumed: opts.Nodes},
	}
}

// Reduce takes an event and returns what must be done. The result is valid
// until the next call.
func (d *Director) Reduce(now time.Time, e Event) []Effect {
	clear(d.effects)
	d.effects = d.effects[:0]
	switch e := e.(type) {
	case Arrived:
		d.arrive(now, e.Request)
	case Began:
		d.began(now, e)
	case Finished:
		d.finished(now, e)
	case Gone:
		d.gone(e.ID)
	case Ticked:
		d.sweep(now)
	case TableLoaded:
		d.load(e.Table)
	case EntriesListed:
		d.listed = true
		d.apply(now, d.registrar.Replace(now, e.Entries))
	case EntryPut:
		d.apply(now, d.registrar.Put(e.Entry))
	case EntryRemoved:
		d.apply(now, d.registrar.Remove(now, e.ID))
	case CentresOut:
		d.takeOut(now, e.Names)
	case Confirmed:
		d.confirm(now, e.At)
	case Heard:
		d.hear(now, e.Others)
	case Moved:
		d.move(now, e.Others)
	case Lost:
		d.lose(now)
	case Configured:
		d.opts = e.Options
		for _, s := range d.services {
			s.retries.Window, s.retries.Ratio = d.opts.RetryWindow, d.opts.RetryRatio
		}
	case Leaving:
		d.leave()
	}
	d.checkReady(now)

	return d.effects
}

func (d *Director) emit(e Effect) { d.effects = append(d.effects, e) }

func (d *Director) log(event int, args ...any) { d.emit(Log{Event: event, Args: args}) }

// Ready tells whether the node can serve new requests.
func (d *Director) Ready() bool { return d.ready }

// Table returns the table in force, or nil.
func (d *Director) Table() *router.Table { return d.table }

// Status is what metrics show of a director.
type Status struct {
	// Version is that of the table in force, or zero.
	Version uint64
	// Age is the age of the view, or negative if there is none.
	Age time.Duration
	// Nodes is the number of nodes by which bounds are divided.
	Nodes, Endpoints, Requests, Waiting int
	Ready                               bool
}

// Status returns what metrics show.
func (d *Director) Status(now time.Time) Status {
	s := Status{
		Age: d.Age(now), Nodes: d.fleet.size(now), Endpoints: d.registrar.Len(),
		Requests: len(d.requests), Waiting: len(d.waiting), Ready: d.ready,
	}
	if d.table != nil {
		s.Version = d.table.Version()
	}

	return s
}

// Age returns the age of the view. It is negative if there is none.
func (d *Director) Age(now time.Time) time.Duration {
	if d.confirmed.IsZero() {
		return -1
	}

	return now.Sub(d.confirmed)
}

// Active returns the number of requests in progress.
func (d *Director) Active() int { return len(d.requests) }

// Busy tells whether a Ticked event is needed soon.
func (d *Director) Busy() bool { return len(d.waiting) > 0 || d.registrar.Held() }

func (d *Director) load(t *router.Table) {
	if d.table != nil && t.Version() <= d.table.Version() {
		return
	}
	former := uint64(0)
	if d.table != nil {
		former = d.table.Version()
	}
	d.table = t
	d.log(logger.TableInForce, "version", t.Version(), "former", former, "routes", t.NumRoutes())
}

func (d *Director) confirm(now, at time.Time) {
	if at.After(d.confirmed) {
		d.confirmed = at
	}
	if d.lost {
		d.lost = false
		d.registrar.Regained(now)
		d.log(logger.ViewRegained)
	}
}

func (d *Director) lose(now time.Time) {
	if !d.lost {
		d.lost = true
		d.log(logger.ViewLost, "age", d.Age(now).String())
	}
}

func (d *Director) leave() {
	if !d.leaving {
		d.leaving = true
		d.log(logger.ShutdownStarted, "requests", len(d.requests))
	}
}

// keysValid tells whether keys can be accepted.
func (d *Director) keysValid(now time.Time) bool {
	return !d.confirmed.IsZero() && now.Sub(d.confirmed) <= d.opts.KeyLease
}

func (d *Director) checkReady(now time.Time) {
	reason := ""
	switch {
	case d.leaving:
		reason = "leaving"
	case d.table == nil:
		reason = "no routes"
	case !d.listed:
		reason = "no endpoints"
	case !d.keysValid(now):
		reason = "view too old"
	}
	ready := reason == ""
	if ready == d.ready {
		return
	}
	d.ready = ready
	if ready {
		d.log(logger.NodeReady, "catalogue", d.table.Version(), "hosts", d.registrar.Len())
	} else {
		d.log(logger.NodeNotReady, "reason", reason)
	}
}

func (d *Director) takeOut(now time.Time, centres []string) {
	for _, centre := range centres {
		if !d.registrar.Out(centre) {
			d.log(logger.CentreOut, "centre", centre)
		}
	}
	for _, centre := range d.registrar.SetOut(centres) {
		d.log(logger.CentreBack, "centre", centre)
		// Its endpoints have had no work, and may be cold.
		for _, id := range d.ids() {
			if e := d.endpoints[id]; e.entry.DataCentre == centre {
				d.chill(now, e, 0)
			}
		}
	}
}

func (d *Director) ids() []string {
	ids := make([]string, 0, len(d.endpoints))
	for id := range d.endpoints {
		ids = append(ids, id)
	}
	slices.Sort(ids)

	return ids
}

// apply takes the changes of endpoints.
func (d *Director) apply(now time.Time, notices []registrar.Notice) {
	for _, n := range notices {
		switch n.Change {
		case registrar.Added:
			d.add(now, n.Entry)
		case registrar.Updated:
			d.update(now, n.Entry)
		case registrar.Removed:
			d.remove(n.Entry)
		}
	}
	if len(notices) > 0 {
		d.retryWaiting(now)
	}
}

func (d *Director) service(name string) *service {
	s := d.services[name]
	if s == nil {
		s = &service{name: name, retries: pacer.Budget{
			Window: d.opts.RetryWindow, Ratio: d.opts.RetryRatio,
		}}
		d.services[name] = s
	}

	return s
}

// sweep looks after the requests that wait and the entries that are held.
func (d *Director) sweep(now time.Time) {
	d.apply(now, d.registrar.Expire(now))
	d.retryWaiting(now)
}
