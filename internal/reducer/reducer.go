package reducer

import (
	"maps"
	"time"

	"snipedyke/internal/claimer"
	"snipedyke/internal/detector"
	"snipedyke/internal/issuer"
	"snipedyke/internal/limiter"
	"snipedyke/internal/logger"
	"snipedyke/internal/marker"
	"snipedyke/internal/reconciler"
	"snipedyke/internal/scheduler"
	"snipedyke/pkg/cataloguer"
	"snipedyke/pkg/encoder"
)

// Options configures a Reducer.
type Options struct {
	// Self is the host's name in the host list.
	Self       string
	DataCentre string
	// Incarnation is unique for each start of a node and increases.
	Incarnation uint64
	// Secret authenticates issued keys.
	Secret []byte
	// Seed seeds the random number generator.
	Seed uint64
}

// pauseThreshold is the time between two ticks above which the process is
// considered to have been paused. Ticks come every 10 ms.
const pauseThreshold = time.Second

// peerVersionWait is the time that a starting node waits to learn the versions
// of its peers before it accepts requests, so that a stale configuration
// service cannot put an old catalogue in force.
const peerVersionWait = 2 * time.Second

// Reducer is the state of a node. It is not safe for concurrent use.
type Reducer struct {
	opts Options

	// catalogue and hosts are the highest versions received so far. They are
	// never replaced by lower ones.
	catalogue *cataloguer.Catalogue
	hosts     *cataloguer.Hosts

	detector *detector.Detector
	claimer  *claimer.Claimer
	limiter  *limiter.Limiter
	issuer   *issuer.Issuer
	marker   *marker.Marker

	// localHomes holds the homes on this node, by pool.
	localHomes map[string]*scheduler.Home
	// reconcilers holds the reconciler of each pool in localHomes.
	reconcilers map[string]*reconciler.Reconciler
	// pools lists the pools of the catalogue, sorted by name.
	pools []pool
	// homeNodes holds the node that is the home of each pool, as of the last
	// heartbeat or change of the catalogue.
	homeNodes map[string]string
	// loads holds the last load summary from the home of each pool.
	loads map[string]poolLoad

	// observed holds the last known state of the endpoints that this node has
	// used.
	observed map[string]observation
	// homeStarts holds the time since when each pool has its current home.
	homeStarts map[string]homeStart
	// lastFullLoad holds the time of the last summary, by pool, from a home
	// with leases from more than half of the lenders.
	lastFullLoad map[string]time.Time

	requests map[uint64]*request
	// queue holds the same requests in order of arrival, and also those that
	// have ended since the last tick.
	queue []*request
	// permits holds the permits that this node uses, by ID.
	permits map[uint64]*permit
	// dead holds the peers whose addresses refused the last connection; their
	// processes are known to have ended.
	dead map[string]bool
	// usedPermits holds the time at which each permit was used, for as long as
	// a duplicate of its grant could be accepted.
	usedPermits map[uint64]time.Time
	// issuedKeys holds the state of each key that this node issued and that
	// has been used.
	issuedKeys map[encoder.Subject]*issuedKey
	// issuedFloor is the number up to which issued keys are refused, because
	// the outcomes of some of them have been dropped.
	issuedFloor uint64
	proven      provenSet
	orders      orderStore

	started       time.Time
	lastTick      time.Time
	lastHeartbeat time.Time
	lastFetch     time.Time
	lastPoll      time.Time
	// lastExpiry is the time when old outcomes of issued keys were last
	// dropped.
	lastExpiry time.Time
	// fresh reports whether the view was fresh at the last tick.
	fresh   bool
	leaving bool
	left    bool

	effects []Effect
}

// pool is a set of endpoints that one home schedules.
type pool struct {
	name    string
	service string
	// dataCentre is empty if the pool spans several data centres.
	dataCentre string
	// endpoints holds the sorted names of the pool's endpoints.
	endpoints []string
}

// poolLoad is a home's load summary of its pool with the time of its receipt.
type poolLoad struct {
	encoder.PoolLoad
	at time.Time
}

// New returns the initial state of a node.
func New(opts Options) *Reducer {
	return &Reducer{
		opts:         opts,
		detector:     detector.New(opts.Self, opts.DataCentre, opts.Incarnation),
		claimer:      claimer.New(opts.Self, opts.Incarnation, opts.Seed),
		limiter:      limiter.New(opts.Self),
		issuer:       issuer.New(opts.Self, opts.Incarnation, opts.Secret),
		marker:       marker.New(),
		localHomes:   make(map[string]*scheduler.Home),
		homeNodes:    make(map[string]string),
		reconcilers:  make(map[string]*reconciler.Reconciler),
		loads:        make(map[string]poolLoad),
		observed:     make(map[string]observation),
		homeStarts:   make(map[string]homeStart),
		lastFullLoad: make(map[string]time.Time),
		requests:     make(map[uint64]*request),
		dead:         make(map[string]bool),
		usedPermits:  make(map[uint64]time.Time),
		permits:      make(map[uint64]*permit),
		issuedKeys:   make(map[encoder.Subject]*issuedKey),
		proven:       newProvenSet(),
		orders:       newOrderStore(),
	}
}

// Reduce applies an event that happened at now and returns the effects to carry
// out. The time must not be before that of the last event.
func (r *Reducer) Reduce(now time.Time, e Event) []Effect {
	if r.started.IsZero() {
		r.started = now
		r.lastTick = now
	}
	r.effects = nil
	switch e := e.(type) {
	case Tick:
		r.tick(now)
	case Arrived:
		r.handleArrived(now, e.Request)
	case CallerGone:
		r.handleGone(now, e.ID)
	case Started:
		r.handleStarted(now, e)
	case Progressed:
		r.handleProgressed(now, e)
	case Ended:
		r.handleEnded(now, e)
	case Received:
		r.handleMessage(now, e.From, e.Message)
	case Connected:
		delete(r.dead, e.Peer)
		r.sendOrdersAndMarks(now, e.Peer)
	case Disconnected:
	case ConnectionRefused:
		r.dead[e.Peer] = true
	case CatalogueLoaded:
		r.loadCatalogue(now, e.Catalogue)
	case HostsLoaded:
		r.loadHosts(now, e.Hosts)
	case ServiceContacted:
		r.detector.RecordContact(now)
	case LoadReported:
		r.handleLoadReported(now, e)
	case Probed:
		r.handleProbed(now, e)
	case OrderGiven:
		r.handleOrder(now, e.Order)
	case ShutdownRequested:
		r.startLeaving(now)
	}

	return r.effects
}

// Ready reports whether the node may accept new requests.
func (r *Reducer) Ready(now time.Time) bool {
	return r.unreadyReason(now) == ""
}

// Catalogue returns the catalogue in force, or nil.
func (r *Reducer) Catalogue() *cataloguer.Catalogue { return r.catalogue }

// Hosts returns the host list in force, or nil.
func (r *Reducer) Hosts() *cataloguer.Hosts { return r.hosts }

// IssueKeys returns n new idempotency keys.
func (r *Reducer) IssueKeys(n int) []string { return r.issuer.Issue(n) }

// unreadyReason returns the reason why the node accepts no requests, or "" if
// it is ready.
func (r *Reducer) unreadyReason(now time.Time) Reason {
	switch {
	case r.leaving:
		return ReasonLeaving
	case r.catalogue == nil || r.hosts == nil || now.Sub(r.started) < r.startDelay():
		return ReasonNotReady
	case !r.detector.IsFresh(now):
		return ReasonStaleView
	default:
		return ""
	}
}

// startDelay returns peerVersionWait, or zero for a node without peers.
func (r *Reducer) startDelay() time.Duration {
	if len(r.hosts.Hosts) <= 1 {
		return 0
	}

	return peerVersionWait
}

func (r *Reducer) emit(e Effect) { r.effects = append(r.effects, e) }

func (r *Reducer) send(to string, m encoder.Message) {
	r.emit(Send{To: to, Message: m})
}

func (r *Reducer) count(c Counter, label, class string) {
	r.emit(Count{Counter: c, Label: label, Class: class})
}

func (r *Reducer) log(event int, args ...any) {
	r.emit(Log{Event: event, Args: args})
}

// broadcast sends m to all live peers.
func (r *Reducer) broadcast(now time.Time, m encoder.Message) {
	for _, node := range r.detector.Live(now) {
		if node != r.opts.Self {
			r.send(node, m)
		}
	}
}

// tick performs the periodic work.
func (r *Reducer) tick(now time.Time) {
	if gap := now.Sub(r.lastTick); gap > pauseThreshold {
		r.log(logger.PauseDetected, "length", gap)
		r.dropLocalHomes()
	}
	r.lastTick = now
	r.sendHeartbeats(now)
	r.updateFreshness(now)
	r.cancelOrphaned(now)
	r.fetchNewer(now)
	r.updateLocalHomes(now)
	r.applyClaimerOutputs(now, r.claimer.Step(now))
	for _, s := range r.limiter.Step(now, func(entry string) string { return r.detector.QuotaNode(now, entry) }) {
		r.deliver(now, s.To, s.Message)
	}
	r.sweep(now)
	if r.orders.expire(now, func(id string) { r.log(logger.OrderExpired, "order", id) }) {
		r.configure(now)
	}
	if now.Sub(r.lastExpiry) > time.Minute {
		r.lastExpiry = now
		r.expireIssued(now)
		maps.DeleteFunc(r.usedPermits, func(id uint64, at time.Time) bool {
			return r.permits[id] == nil && now.Sub(at) > maxGrantAge
		})
	}
	r.finishLeaving(now)
}

// deliver sends m to a node. A message to this node is handled immediately.
func (r *Reducer) deliver(now time.Time, to string, m encoder.Message) {
	if to == r.opts.Self {
		r.handleMessage(now, to, m)

		return
	}
	r.send(to, m)
}

// updateFreshness logs when the view becomes stale or fresh. It drops the local
// homes when the view becomes fresh again.
func (r *Reducer) updateFreshness(now time.Time) {
	fresh := r.detector.IsFresh(now)
	if fresh == r.fresh {
		return
	}
	r.fresh = fresh
	if fresh {
		r.log(logger.ViewFresh)
		r.dropLocalHomes()
	} else {
		r.log(logger.ViewStale)
	}
}

// startLeaving starts a graceful shutdown.
func (r *Reducer) startLeaving(now time.Time) {
	if r.leaving {
		return
	}
	r.leaving = true
	r.detector.Leave(now)
	r.log(logger.ShutdownStarted, "requests", len(r.requests))
	r.lastHeartbeat = time.Time{}
	r.sendHeartbeats(now)
}

// finishLeaving hands over the records of idempotency keys once no request is
// left, and then reports that the node may exit.
func (r *Reducer) finishLeaving(now time.Time) {
	if !r.leaving || r.left || len(r.requests) > 0 {
		return
	}
	r.applyClaimerOutputs(now, r.claimer.Leave(now))
	if r.claimer.Drained() {
		r.left = true
		r.log(logger.ShutdownComplete)
		r.emit(Left{})
	}
}
