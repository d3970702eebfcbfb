// Package scheduler implements the home of a pool: the node that queues the asks
// of all nodes for the pool's endpoints and grants them places.
//
// An ask is a node's request for a place, and a place is the capacity to run one
// request at an endpoint. A permit is a place in use. Lenders are the hosts whose
// leases allow a home to use the pool's endpoints.
package scheduler

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"snipedyke/internal/placer"
	"snipedyke/pkg/cataloguer"
	"snipedyke/pkg/encoder"
)

const (
	// sweepInterval is the time between two passes over all permits and asks.
	sweepInterval = 100 * time.Millisecond
	// estimateInterval is the time between two updates of the expected run times,
	// each of which visits every run in progress.
	estimateInterval = time.Second
	// unknownRun is the assumed run time until a run has ended.
	unknownRun = time.Second
	// unknownTarget and unknownWait are the first-token target and the maximum
	// wait of a class that the home's catalogue does not contain yet.
	unknownTarget = time.Second
	unknownWait   = 30 * time.Second
)

// Home is the state of a pool at its home. Methods that take the current time
// expect it not to go back. Home is not safe for concurrent use.
type Home struct {
	pool, self string
	service    string
	catalogue  *cataloguer.Catalogue
	placer     *placer.Pool

	// classes is sorted by tier and name.
	classes []*class
	byName  map[string]*class
	// reserved holds the number of reserved places by index in classes.
	reserved []int

	nodes map[string]*node
	// published holds the names of all published hosts, sorted.
	published []string
	// centres maps hosts to their data centres.
	centres map[string]string
	// complete reports whether all published nodes have reported their permits.
	complete bool
	// dead holds the nodes whose processes are known to have ended.
	dead map[string]bool
	// homeSince is the time at which this node became the pool's home.
	homeSince time.Time
	// views holds the latest view of each endpoint under the previous home. It
	// is nil once all live nodes have reported.
	views   map[string]endpointView
	leases  int
	lenders int

	permits map[uint64]*permit
	// endedPermits holds the end times of recently returned permits, so that a
	// delayed heartbeat does not bring them back.
	endedPermits map[uint64]time.Time
	nextPermit   uint64

	marks       map[uint64]mark
	retryBudget retryBudget

	seq       uint64
	steps     uint64
	lastSweep time.Time
	// lastEstimate is the time of the last update of the expected run times.
	lastEstimate time.Time
	decisions    []Decision
}

// New returns the state of a pool at a new home. The seed makes permit IDs unique
// across homes and incarnations; the caller passes the node's incarnation.
func New(pool, self string, seed uint64) *Home {
	d := xxhash.New()
	for _, s := range []string{pool, "\x00", self, "\x00"} {
		_, _ = d.WriteString(s)
	}
	var b [8]byte
	for i := range b {
		b[i] = byte(seed >> (8 * i))
	}
	_, _ = d.Write(b[:])

	return &Home{
		pool: pool, self: self, placer: placer.New(pool),
		byName: map[string]*class{}, nodes: map[string]*node{},
		permits: map[uint64]*permit{}, endedPermits: map[uint64]time.Time{},
		nextPermit: d.Sum64(), marks: map[uint64]mark{},
		views:       map[string]endpointView{},
		retryBudget: retryBudget{failed: map[uint64]time.Time{}},
	}
}

// Configure applies a catalogue. The function out reports whether an endpoint has
// been taken out of service by the catalogue, with its data centre or by an
// emergency order. Configure must be called again when its results change.
func (h *Home) Configure(now time.Time, c *cataloguer.Catalogue, out func(*cataloguer.Endpoint) bool) {
	changed := h.catalogue != c
	h.catalogue = c
	h.placer.Configure(now, c, out)
	if !changed {
		return
	}
	for _, e := range h.placer.Endpoints() {
		h.service = c.Endpoints[e.Name()].Service

		break
	}
	for _, conf := range c.Classes {
		h.class(conf.Name).conf = conf
	}
	reach := c.ServiceClasses(h.service)
	for _, cl := range h.classes {
		cl.nonIdempotent = hasNonIdempotentCalls(c, h.service, cl.conf.Name)
		// Places reserved for classes of other services would stay idle.
		cl.share = 0
		if len(reach) == 0 || reach[cl.conf.Name] {
			cl.share = cl.conf.Share
		}
	}
	slices.SortFunc(h.classes, byTier)
}

// hasNonIdempotentCalls reports whether non-idempotent calls of the service can
// belong to the class.
func hasNonIdempotentCalls(c *cataloguer.Catalogue, service, class string) bool {
	s := c.Services[service]
	if s == nil {
		return false
	}
	inherits := false
	for _, r := range s.Routes {
		switch {
		case r.Idempotent:
		case r.Class == class:
			return true
		case r.Class == "":
			inherits = true
		}
	}
	if !inherits {
		return false
	}
	for _, e := range c.Entries {
		if e.Class == class && (len(e.Services) == 0 || slices.Contains(e.Services, service)) {
			return true
		}
	}

	return false
}

// class returns the state of a class and creates it if necessary.
func (h *Home) class(name string) *class {
	if c := h.byName[name]; c != nil {
		return c
	}
	c := newClass(&cataloguer.Class{
		Name: name, Tier: math.MaxInt32, FirstToken: unknownTarget, MaxWait: unknownWait,
	})
	c.expectedRun = unknownRun
	h.byName[name] = c
	h.classes = append(h.classes, c)
	slices.SortFunc(h.classes, byTier)

	return c
}

// SetLeases sets the number of leases that this home has from the pool's lenders,
// and the number of lenders.
func (h *Home) SetLeases(_ time.Time, leases, lenders int) {
	h.leases, h.lenders = leases, lenders
	h.placer.SetLeases(leases, lenders)
}

// SetPublished sets the names of all published hosts. Cold endpoints get no work
// until each of them has reported all of its permits or is known to be dead, or
// until this node has been the home for silentTimeout.
func (h *Home) SetPublished(now time.Time, nodes []string) {
	h.published = slices.Sorted(slices.Values(nodes))
	for name, n := range h.nodes {
		if _, ok := slices.BinarySearch(h.published, name); !ok {
			h.releaseAll(n)
			n.complete = false
		}
	}
	h.checkComplete(now)
}

// SetCentres sets the data centre of each host, which affects the choice of an
// endpoint. Without it all distances count as equal.
func (h *Home) SetCentres(_ time.Time, centres map[string]string) { h.centres = centres }

// Ask queues an ask or refuses it in the next step. An ask with the sender and ID
// of a queued one is ignored. Asks get no grant until their node has a recent
// Report, as the node would drop the grant; this includes the home's own node.
func (h *Home) Ask(now time.Time, from string, ask *encoder.Ask) {
	n := h.node(from)
	if n.asks[ask.ID] != nil {
		return
	}
	c := h.class(ask.Class)
	c.nonIdempotent = c.nonIdempotent || ask.Once
	h.seq++
	q := &queuedAsk{
		id: ask.ID, node: n, seq: h.seq, fingerprint: ask.Fingerprint, prefix: ask.Prefix,
		maxTokens: ask.Tokens, nonIdempotent: ask.Once,
		arrived: now.Add(-time.Duration(ask.Waited) * time.Microsecond),
	}
	if ask.Deadline > 0 {
		q.deadline = now.Add(time.Duration(ask.Deadline) * time.Microsecond)
	}
	q.due = q.deadline
	if q.due.IsZero() && c.conf.Batch {
		q.due = q.arrived.Add(c.conf.MaxWait)
	} else if q.due.IsZero() {
		q.due = q.arrived.Add(c.conf.FirstToken)
	}
	key := subqueueKey{ask.Model, ask.Adapter, ask.Only, ask.Avoid, h.centres[from], ask.Suspect, ask.Resume}
	if h.marks[ask.Fingerprint].state == encoder.MarkSuspect && ask.Fingerprint != 0 {
		key = h.suspectKey(key, ask.Fingerprint)
	}
	q.subqueue = c.subqueue(key)
	if r := h.admit(now, c, q, ask.Attempt); r != nil {
		h.decisions = append(h.decisions, *r)

		return
	}
	n.asks[ask.ID] = q
	c.push(q)
}

// Withdraw removes an ask that its node no longer needs.
func (h *Home) Withdraw(_ time.Time, from string, id uint64) {
	if n := h.nodes[from]; n != nil && n.asks[id] != nil {
		h.unqueue(n.asks[id])
	}
}

// unqueue removes an ask from its node and from the queue.
func (h *Home) unqueue(q *queuedAsk) {
	delete(q.node.asks, q.id)
	if !q.parked {
		q.subqueue.class.remove(q)
	}
}

// RecordLoad applies an endpoint's own load report, which lags behind its state.
func (h *Home) RecordLoad(now time.Time, endpoint string, running, queued int, loading bool) {
	h.placer.RecordLoad(now, endpoint, running, queued, loading)
}

// ApplyProbe applies the result of a Probe.
func (h *Home) ApplyProbe(now time.Time, endpoint string, ok bool) {
	h.placer.RecordProbe(now, endpoint, ok)
}
