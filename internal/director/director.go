package director

import (
	"net/netip"
	"slices"
	"time"

	"snipedyke/internal/admitter"
	"snipedyke/internal/chooser"
	"snipedyke/internal/isolator"
	"snipedyke/internal/logger"
	"snipedyke/internal/pacer"
	"snipedyke/internal/pinner"
	"snipedyke/internal/profiler"
	"snipedyke/internal/registrar"
	"snipedyke/internal/router"
	"snipedyke/internal/sharer"
)

// Options are the limits of the deployment. All durations and counts must be
// greater than zero.
type Options struct {
	// DataCentre is the node's own data centre, and Regions maps each data centre
	// to its region.
	DataCentre string
	Regions    map[string]string
	// KeyLease is the maximum age of the view at which a node still accepts keys.
	// In an older view, keys may have been revoked.
	KeyLease time.Duration
	// FreshView is the maximum age of the view at which an unknown route or key
	// is refused permanently. With an older view, callers are asked to retry.
	FreshView time.Duration
	// PublicationInterval is the time between two publications of an endpoint.
	PublicationInterval time.Duration
	// Name is the node's name.
	Name string
	// AssumedNodes is the number of nodes assumed to share the limits of the fleet
	// until the other nodes are known. It must not be less than the true number.
	AssumedNodes int
	// ColdFactor and ColdSlack limit the requests per second to a cold endpoint:
	// its rate times the factor, plus the slack.
	ColdFactor, ColdSlack float64
	// RetryWindow, RetryRatio and RetrySlack limit the retries of the fleet for
	// each service.
	RetryWindow time.Duration
	RetryRatio  float64
	RetrySlack  float64
	// Outcomes reports whether endpoints that fail requests are avoided, Speeds whether
	// placement takes the speed of each endpoint into account, and Accounts whether
	// client accounts share the capacity where it is short.
	Outcomes, Speeds, Accounts bool
	// Restarted reports whether another process may have run at this node just before.
	// It may have used up the node's shares of the fleet's limits.
	Restarted bool
}

// missingTableTime bounds the wait for a version of the table that the store has
// lost. Operators can take as long to write it again as a data centre may take to
// go out of service.
const missingTableTime = registrar.CentreHoldTime

// Director holds the state on which a node's decisions are based. It is not
// safe for concurrent use.
type Director struct {
	opts  Options
	table *router.Table
	// startedAt is the time of the first event.
	startedAt time.Time

	registrar *registrar.Registrar
	endpoints map[string]*endpoint
	services  map[string]*service
	// notices holds what endpoints have said about themselves.
	notices map[incarnation]*notice
	// pacings holds what limits the requests to endpoints.
	pacings map[incarnation]*pacing
	// brittleServices holds the services with endpoints that have said that they are
	// brittle.
	brittleServices map[string]brittleness
	// addresses holds who has which address. addressesSweptAt is when those that no
	// endpoint has any more were last removed.
	addresses        map[netip.AddrPort]*address
	addressesSweptAt time.Time
	// centreReturns holds when data centres were last back in service.
	centreReturns map[string]time.Time
	// entriesListed reports whether the full list of endpoints has been read at
	// least once.
	entriesListed bool

	// confirmedAt is the latest time at which the view was known to be complete, and
	// steadySince the start of the period up to then without an outage in which entries
	// can expire.
	confirmedAt, steadySince time.Time
	// missingTable is the newest version of the table that the store is known to
	// have lost, and missingUntil the time until which the node waits for it.
	missingTable uint64
	missingUntil time.Time
	outage       outage
	// leaving reports whether a shutdown has begun, leavingSince when, and answerBy
	// by when requests must be answered.
	leaving                bool
	leavingSince, answerBy time.Time
	ready                  bool
	// readyAt is when the node last became ready.
	readyAt time.Time

	// link is what the node knows of its own links to the endpoints, and peers holds the
	// other nodes by address.
	link  link
	peers map[netip.AddrPort]*peer

	fleet fleet
	// sharer divides the capacity between client accounts where it is short.
	sharer *sharer.Sharer
	// isolator finds the requests and the prompt parts that crash endpoints.
	isolator isolator.Isolator

	// origins holds the versions at which streams have begun that callers may take
	// up again, for originLife. That is at least the longest time that a resumable
	// stream can last; it never becomes shorter.
	origins    pinner.Table
	originLife time.Duration
	// knownSince is the time since which all endpoints are known, or zero.
	knownSince time.Time
	// asking holds the requests that wait until other nodes say at which version
	// their streams began.
	asking []*request

	requests map[uint64]*request
	// waiting holds the requests that wait for an endpoint.
	waiting []*request

	// observedEndpoints holds the endpoints with outcomes or times to the first token that
	// were not reported to the other nodes.
	observedEndpoints []*endpoint
	// changedEndpoints holds the endpoints whose own load has changed since it
	// was last reported to the other nodes.
	changedEndpoints []*endpoint
	// endpointsByNumber maps the numbers used in messages between nodes to
	// endpoints.
	endpointsByNumber map[uint32]*endpoint
	// reportedLong and reportedShort are the numbers of running requests that
	// were last reported to the other nodes.
	reportedLong, reportedShort int

	effects []Effect
	// candidateBuffer is reused for the candidates of each choice.
	candidateBuffer []*chooser.Engine
	// shareBuffer is reused for the failure shares of a service.
	shareBuffer []float64
}

// service is the state of one service.
type service struct {
	name        string
	endpoints   []*endpoint
	splitter    chooser.Splitter
	retryBudget pacer.Budget
	estimator   admitter.Estimator
	model       profiler.Model
	mix         mix
	shedder     admitter.Shedder
	versions    pinner.Versions
	// reroutedAt is when a table last changed which requests the service gets.
	reroutedAt time.Time
	// durations estimates, for each kind of request, the time from its arrival to
	// the end of its answer.
	durations map[requestKind]*admitter.Duration
}

// New returns a director without routes or endpoints.
func New(opts Options) *Director {
	return &Director{
		opts: opts, registrar: registrar.New(opts.PublicationInterval),
		endpoints: map[string]*endpoint{}, notices: map[incarnation]*notice{}, pacings: map[incarnation]*pacing{}, brittleServices: map[string]brittleness{}, centreReturns: map[string]time.Time{}, addresses: map[netip.AddrPort]*address{}, services: map[string]*service{},
		requests: map[uint64]*request{}, endpointsByNumber: map[uint32]*endpoint{}, fleet: newFleet(opts), sharer: sharer.New(),
	}
}

// Reduce applies an event and returns the effects that must be carried out.
// The result is valid until the next call.
func (d *Director) Reduce(now time.Time, e Event) []Effect {
	clear(d.effects)
	d.effects = d.effects[:0]
	if d.startedAt.IsZero() {
		d.startedAt = now
	}
	switch e := e.(type) {
	case Arrived:
		d.handleArrival(now, e.Request)
	case ResponseStarted:
		d.handleFirstByte(now, e)
	case AttemptStalled:
		d.handleStalled(now, e)
	case EndpointNoticed:
		d.handleNotice(now, e)
	case AttemptFinished:
		d.handleFinished(now, e)
	case RequestLost:
		d.dropRequest(e.ID)
	case CallerDisconnected:
		d.handleDisconnect(e.ID)
	case Ticked:
		d.handleTick(now)
	case TableLoaded:
		d.setTable(now, e.Table)
	case EntriesListed:
		d.entriesListed = true
		d.noteList(now)
		d.applyEndpointEvents(now, d.registrar.Replace(now, e.Entries))
	case EntryPut:
		d.applyEndpointEvents(now, d.registrar.Put(e.Entry))
	case EntryRemoved:
		d.applyEndpointEvents(now, d.registrar.Remove(now, e.ID))
	case CentresOut:
		d.setCentresOut(now, e.Names)
	case ViewConfirmed:
		d.confirmView(now, e.At)
	case ViewReachable:
		d.endOutage(now, e.At)
	case OthersLoadReplaced:
		d.replaceOthersLoad(now, e.Others, e.Centres)
	case OthersLoadUpdated:
		d.updateOthersLoad(now, e.Others)
	case DemandsReceived:
		d.sharer.SetFleet(now, e.List)
	case ObservationsReceived:
		d.mergeObservations(now, e.List)
	case CrashesObserved:
		d.isolator.Merge(now, e.Crashes)
	case EndpointChecked:
		d.handleChecked(now, e)
	case LinksChecked:
		d.handleLinksChecked(now, e)
	case NodesKnown:
		d.setNodes(e.List)
	case OriginsLearned:
		d.learnOrigins(now, e.List, e.From)
	case ViewRestored:
		d.restoreView(now)
	case TableMissing:
		d.missTable(now, e.Version)
	case ViewLost:
		d.markViewLost(now, e.Cause)
	case StoreReached:
		d.noteStoreReached(now, e)
	case OptionsChanged:
		d.opts = e.Options
		d.registrar.SetPublicationInterval(d.opts.PublicationInterval)
		for _, s := range d.services {
			s.retryBudget.Window, s.retryBudget.Ratio = d.opts.RetryWindow, d.opts.RetryRatio
		}
	case ShutdownRequested:
		d.startShutdown(now, e.AnswerBy)
	case ShutdownEnded:
		d.logCutOff(now)
	}
	d.logIsolations(now)
	d.checkReady(now)

	return d.effects
}

func (d *Director) emit(e Effect) { d.effects = append(d.effects, e) }

func (d *Director) log(event int, args ...any) { d.emit(Log{Event: event, Args: args}) }

// sharesSpent reports whether a process before this one may have used up the node's
// shares of limits in windows of the given length.
func (d *Director) sharesSpent(now time.Time, window time.Duration) bool {
	return d.opts.Restarted && now.Sub(d.startedAt) < window
}

// Ready reports whether the node can serve new requests.
func (d *Director) Ready() bool { return d.ready }

// Table returns the route table in force, or nil.
func (d *Director) Table() *router.Table { return d.table }

// Age returns the age of the view, or a negative value if there is no view.
func (d *Director) Age(now time.Time) time.Duration {
	if d.confirmedAt.IsZero() {
		return -1
	}

	return now.Sub(d.confirmedAt)
}

// Active returns the number of requests in progress.
func (d *Director) Active() int { return len(d.requests) }

// NeedsTick reports whether a Ticked event is needed soon, because requests are
// waiting for endpoints or other nodes, or must be answered before the process ends,
// vanished entries are held, entries or data centres are held back after the store
// was restored, or the node is or may be cut off from the endpoints.
func (d *Director) NeedsTick() bool {
	return d.link.stranded || d.link.suspected() || d.link.severalSilent() || len(d.waiting)+len(d.asking) > 0 || d.leaving && len(d.requests) > 0 || d.registrar.HasHeld()
}

func (d *Director) setTable(now time.Time, t *router.Table) {
	if d.table != nil && t.Version() <= d.table.Version() {
		return
	}
	former := uint64(0)
	if d.table != nil {
		former = d.table.Version()
	}
	d.noteRerouted(now, d.table, t)
	d.table = t
	d.log(logger.RouteTableInForce, "version", t.Version(), "former", former, "routes", t.NumRoutes())
}

// missTable waits for a version of the table that the store has lost. There is one
// wait for each copy of the store, so that a version which does not exist cannot
// keep the node out.
func (d *Director) missTable(now time.Time, version uint64) {
	if d.table != nil && version <= d.table.Version() {
		return
	}
	if d.missingUntil.IsZero() {
		d.missingUntil = now.Add(missingTableTime)
	}
	d.missingTable = max(d.missingTable, version)
}

// lacksTable reports whether the node waits for a newer version of the table. Keys
// may have been revoked, and routes and keys added.
func (d *Director) lacksTable(now time.Time) bool {
	return d.table != nil && d.table.Version() < d.missingTable && now.Before(d.missingUntil)
}

// keysValid reports whether the view is recent enough to accept keys.
func (d *Director) keysValid(now time.Time) bool {
	return !d.confirmedAt.IsZero() && now.Sub(d.confirmedAt) <= d.opts.KeyLease && !d.lacksTable(now)
}

func (d *Director) checkReady(now time.Time) {
	reason := ""
	switch {
	case d.leaving:
		reason = "leaving"
	case d.table == nil:
		reason = "no routes"
	case !d.entriesListed:
		reason = "no endpoints"
	case d.lacksTable(now):
		reason = "routes lost"
	case !d.keysValid(now):
		reason = "view too old"
	}
	ready := reason == ""
	if ready == d.ready {
		return
	}
	d.ready = ready
	if ready {
		d.readyAt = now
		d.log(logger.NodeReady, "catalogue", d.table.Version(), "hosts", d.registrar.Len())
	} else {
		d.log(logger.NodeNotReady, "reason", reason)
	}
}

func (d *Director) setCentresOut(now time.Time, centres []string) {
	for _, centre := range centres {
		if !d.registrar.Out(centre) {
			d.log(logger.CentreTakenOut, "centre", centre)
		}
	}
	back, held := d.registrar.SetOut(centres)
	for _, centre := range held {
		d.log(logger.CentreHeld, "centre", centre)
	}
	d.returnCentres(now, back)
}

// returnCentres uses data centres that are back in service.
func (d *Director) returnCentres(now time.Time, centres []string) {
	for _, centre := range centres {
		d.log(logger.CentreRestored, "centre", centre)
		d.centreReturns[centre] = now
		// Its endpoints have had no requests for a while, and may be cold.
		for _, id := range d.endpointIDs() {
			if e := d.endpoints[id]; e.entry.DataCentre == centre {
				d.markCold(now, e, 0)
			}
		}
	}
}

func (d *Director) endpointIDs() []string {
	ids := make([]string, 0, len(d.endpoints))
	for id := range d.endpoints {
		ids = append(ids, id)
	}
	slices.Sort(ids)

	return ids
}

// applyEndpointEvents applies changes of endpoints and then retries the waiting
// requests.
func (d *Director) applyEndpointEvents(now time.Time, events []registrar.Event) {
	for i, e := range events {
		switch e.Change {
		case registrar.Added:
			d.addEndpoint(now, e.Entry)
		case registrar.Updated:
			d.updateEndpoint(now, e.Entry)
		case registrar.Removed:
			if i+1 < len(events) && events[i+1].Change == registrar.Added {
				d.doubtStreams(e.Entry, events[i+1].Entry)
			}
			d.removeEndpoint(now, e.Entry)
		case registrar.Outdated:
			d.log(logger.EntryOutdated, "endpoint", e.Entry.ID, "service", e.Entry.Service,
				"sequence", e.Entry.Sequence, "known", e.Known)
		}
	}
	if len(events) > 0 {
		d.retryWaiting(now)
	}
}

func (d *Director) ensureService(name string) *service {
	s := d.services[name]
	if s == nil {
		s = &service{
			name: name, durations: map[requestKind]*admitter.Duration{},
			retryBudget: pacer.Budget{Window: d.opts.RetryWindow, Margin: retryMargin, Ratio: d.opts.RetryRatio},
		}
		d.services[name] = s
	}

	return s
}

// handleTick drops held entries that have expired, ends requests at the end of a
// shutdown and retries the waiting ones. While the view can be read, it also uses the entries and data centres
// that are no longer held back.
func (d *Director) handleTick(now time.Time) {
	d.applyEndpointEvents(now, d.registrar.Expire(now))
	if !d.outage.present {
		d.applyEndpointEvents(now, d.registrar.Reinstate(now))
		d.returnCentres(now, d.registrar.ReleaseCentres(now))
	}
	d.endRequests(now)
	d.expireFailedLinks(now)
	d.checkLinks(now)
	d.askAgain(now)
	d.retryWaiting(now)
}
