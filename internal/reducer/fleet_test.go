package reducer

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"snipedyke/pkg/cataloguer"
	"snipedyke/pkg/encoder"
)

// fleet simulates several nodes in virtual time, with delayed, lost and
// duplicated messages, fake endpoints and callers that retry.
type fleet struct {
	rng       *rand.Rand
	now       time.Time
	start     time.Time
	seq       int
	queue     timerQueue
	names     []string
	nodes     map[string]*fakeNode
	endpoints map[string]*fakeEndpoint
	// catalogue and hosts are what the configuration service serves.
	catalogue *cataloguer.Catalogue
	hosts     *cataloguer.Hosts
	// unreachable reports whether two nodes cannot reach each other; "service"
	// is the configuration service.
	unreachable     func(a, b string) bool
	lossRate        float64
	duplicateRate   float64
	outSince        map[string]time.Time
	calls           map[string]*call
	nextID          uint64
	violations      []string
	answersByReason map[string]int
	// staleCatalogue is an old catalogue that the configuration service returns
	// for half of the reads. It is nil if the service is not stale.
	staleCatalogue *cataloguer.Catalogue
	// holdBack reports whether to hold a message back until deliverHeldBack. It
	// may be nil.
	holdBack   func(to string, m encoder.Message) bool
	heldBack   []Received
	dispatches int
	// traffic counts messages if it is not nil.
	traffic *traffic
	// onEvent is called with all events of all nodes if it is not nil.
	onEvent func(n *fakeNode, e Event)
}

// fakeNode simulates the process of a node around its reducer.
type fakeNode struct {
	name             string
	r                *Reducer
	incarnation      uint64
	up               bool
	pausedUntil      time.Time
	left             bool
	catalogueVersion cataloguer.Version
	calls            map[uint64]*call
}

// call is one attempt of a caller.
type call struct {
	node     string
	request  Request
	key      string
	sent     time.Time
	ran      bool
	answered int
	run      uint8
	reason   Reason
	done     func(*call)
}

// fakeEndpoint simulates an endpoint and its cold start.
type fakeEndpoint struct {
	*cataloguer.Endpoint
	up            bool
	cold          bool
	runsSinceCold int
	// crashUnnoticed reports whether the endpoint crashed while it was idle.
	// Then no node can know that it is cold before it has been slow (seed
	// 259).
	crashUnnoticed bool
	loaded         []string
	loading        int
	fence          uint64
	running        map[uint64]*fakeRun
	runs           map[string]int
	crashes        int
	runTime        time.Duration
}

type fakeRun struct {
	node        *fakeNode
	call        *call
	dispatch    Dispatch
	incarnation uint64
}

type timer struct {
	at  time.Time
	seq int
	do  func()
}

type timerQueue []timer

func (q timerQueue) Len() int { return len(q) }
func (q timerQueue) Less(i, j int) bool {
	return q[i].at.Before(q[j].at) || q[i].at.Equal(q[j].at) && q[i].seq < q[j].seq
}
func (q timerQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *timerQueue) Push(x any)   { *q = append(*q, x.(timer)) }
func (q *timerQueue) Pop() any {
	old := *q
	x := old[len(old)-1]
	*q = old[:len(old)-1]

	return x
}

// crashingFingerprint is the fingerprint of a request that crashes endpoints.
const crashingFingerprint = 666

const (
	messageDelay = 500 * time.Microsecond
	// warmupRuns is the number of runs after which a cold endpoint is warm, and
	// coldSlowdown the factor by which it is slower until then.
	warmupRuns   = 5
	coldSlowdown = 4
)

// newEmptyFleet returns a fleet with a configuration service but no nodes and
// no endpoints.
func newEmptyFleet(seed uint64) *fleet {
	return &fleet{
		rng: rand.New(rand.NewPCG(seed, 1)), start: time.Unix(1000, 0), now: time.Unix(1000, 0),
		nodes: map[string]*fakeNode{}, endpoints: map[string]*fakeEndpoint{},
		unreachable: func(string, string) bool { return false },
		outSince:    map[string]time.Time{}, calls: map[string]*call{}, answersByReason: map[string]int{},
		catalogue: testCatalogue(1), hosts: &cataloguer.Hosts{Version: 1},
	}
}

// newFleet returns a fleet with running nodes and warm endpoints, and raises the
// epoch.
func newFleet(seed uint64, nodes int) *fleet {
	f := newEmptyFleet(seed)
	f.startNodes(nodes)

	return f
}

// startNodes adds the endpoints, starts the nodes and raises the epoch.
func (f *fleet) startNodes(nodes int) {
	for i := range nodes {
		name := fmt.Sprintf("n%d", i)
		f.names = append(f.names, name)
		f.hosts.Hosts = append(f.hosts.Hosts, cataloguer.Host{
			Name: name, DataCentre: []string{"a", "b"}[i%2], Peer: netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(i+100)),
		})
	}
	f.addEndpoints(40 * time.Millisecond)
	for _, name := range f.names {
		f.startNode(name)
	}
	f.run(3 * time.Second)
	f.publish(func(c *cataloguer.Catalogue) { c.Epoch++ })
	f.run(time.Second)
}

// addEndpoints adds the endpoints of the catalogue. Each run takes length.
func (f *fleet) addEndpoints(length time.Duration) {
	for name, e := range f.catalogue.Endpoints {
		f.endpoints[name] = &fakeEndpoint{
			Endpoint: e, up: true, loaded: []string{"m"}, running: map[uint64]*fakeRun{}, runs: map[string]int{},
			runTime: length,
		}
	}
}

// testCatalogue returns a catalogue with a model service and a plain service in
// two data centres.
func testCatalogue(version cataloguer.Version) *cataloguer.Catalogue {
	c := &cataloguer.Catalogue{
		Version: version, Epoch: 1,
		Services: map[string]*cataloguer.Service{
			"chat": {Name: "chat", Kind: cataloguer.ModelService, Models: []string{"m"}},
			"desk": {Name: "desk", Kind: cataloguer.PlainService, Routes: []cataloguer.Route{{Method: "POST", Path: "/pay", Class: "pay"}}},
		},
		Classes: map[string]*cataloguer.Class{
			"pay":   {Name: "pay", Tier: 0, FirstToken: 500 * time.Millisecond, Share: 0.3, MaxWait: 2 * time.Second},
			"ask":   {Name: "ask", Tier: 2, FirstToken: time.Second, Gap: time.Second, Share: 0.3, MaxWait: 5 * time.Second},
			"draft": {Name: "draft", Tier: 3, FirstToken: time.Minute, Share: 0.2, MaxWait: 20 * time.Second, Batch: true},
		},
		DataCentres: map[string]*cataloguer.DataCentre{"a": {Name: "a", Region: "r"}, "b": {Name: "b", Region: "r"}},
		Endpoints:   map[string]*cataloguer.Endpoint{},
		Entries: map[string]*cataloguer.Entry{
			"e": {Name: "e", Owner: "o", Class: "ask", Rate: 1e6, Burst: 1e6, MaxConcurrent: 1e6, Keys: []cataloguer.KeyHash{{1}}},
		},
	}
	add := func(name, service, centre string) {
		c.Endpoints[name] = &cataloguer.Endpoint{
			Name: name, Service: service, DataCentre: centre, Pool: service, Slots: 8, ColdSlots: 3,
			Models:  c.Services[service].Models,
			Address: netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(len(c.Endpoints)+1)),
		}
	}
	for i := range 4 {
		add(fmt.Sprintf("chat%d", i), "chat", []string{"a", "b"}[i%2])
	}
	for i := range 3 {
		add(fmt.Sprintf("desk%d", i), "desk", []string{"a", "b"}[i%2])
	}

	return c
}

// publish publishes the next version of the catalogue at the configuration
// service.
func (f *fleet) publish(change func(*cataloguer.Catalogue)) {
	next := testCatalogue(f.catalogue.Version + 1)
	next.Epoch = f.catalogue.Epoch
	for name, dc := range f.catalogue.DataCentres {
		next.DataCentres[name].OutOfService = dc.OutOfService
	}
	change(next)
	f.catalogue = next
	for name, e := range next.Endpoints {
		out := e.OutOfService || next.DataCentres[e.DataCentre].OutOfService
		_, was := f.outSince[name]
		switch {
		case out && !was:
			// The time is set when the first node reads the publication, since
			// no node can act on it before; in seed 1344 no node can reach the
			// service at that time.
			f.outSince[name] = time.Time{}
		case !out && was:
			// An endpoint that was out for less than 3 s has not been
			// restarted; in seed 24 no home had read that it was out.
			if at := f.outSince[name]; !at.IsZero() && f.now.Sub(at) >= 3*time.Second {
				f.endpoints[name].cold, f.endpoints[name].runsSinceCold = true, 0
			}
			delete(f.outSince, name)
		}
	}
}

func (f *fleet) after(d time.Duration, do func()) {
	f.seq++
	heap.Push(&f.queue, timer{at: f.now.Add(d), seq: f.seq, do: do})
}

func (f *fleet) run(d time.Duration) {
	end := f.now.Add(d)
	for len(f.queue) > 0 && !f.queue[0].at.After(end) {
		q := heap.Pop(&f.queue).(timer)
		f.now = q.at
		q.do()
	}
	f.now = end
}

// startNode starts a node without any state from an earlier run.
func (f *fleet) startNode(name string) {
	f.nextID++
	n := &fakeNode{name: name, incarnation: f.nextID, up: true, calls: map[uint64]*call{}}
	n.r = New(Options{
		Self: name, DataCentre: f.dataCentre(name), Incarnation: n.incarnation, Secret: []byte("s"), Seed: f.nextID,
	})
	f.nodes[name] = n
	f.tick(n)
	f.pollService(n)
}

func (f *fleet) dataCentre(name string) string {
	for _, h := range f.hosts.Hosts {
		if h.Name == name {
			return h.DataCentre
		}
	}

	return ""
}

func (f *fleet) tick(n *fakeNode) {
	if !n.up {
		return
	}
	f.deliver(n, Tick{})
	f.after(10*time.Millisecond, func() { f.tick(n) })
}

// pollService reads the host list and the catalogue from the configuration
// service every 500 ms.
func (f *fleet) pollService(n *fakeNode) {
	if !n.up {
		return
	}
	if !f.unreachable(n.name, "service") {
		for name, at := range f.outSince {
			if at.IsZero() {
				f.outSince[name] = f.now
			}
		}
		served := f.catalogue
		if f.staleCatalogue != nil && f.rng.IntN(2) == 0 {
			served = f.staleCatalogue
		}
		f.deliver(n, HostsLoaded{f.hosts})
		f.deliver(n, CatalogueLoaded{served})
		if served.Version >= n.catalogueVersion {
			f.deliver(n, ServiceContacted{})
		}
	}
	f.after(500*time.Millisecond, func() { f.pollService(n) })
}

// deliver applies an event to a node and carries out the effects. Events for a
// paused node wait until the pause ends.
func (f *fleet) deliver(n *fakeNode, e Event) {
	if !n.up || f.nodes[n.name] != n {
		return
	}
	if n.pausedUntil.After(f.now) {
		f.after(n.pausedUntil.Sub(f.now), func() { f.deliver(n, e) })

		return
	}
	if debugHook != nil {
		debugHook(f, n.name, e)
		if rc, ok := e.(Received); ok {
			debugHook(f, n.name+"<-"+rc.From, rc.Message)
		}
	}
	if f.onEvent != nil {
		f.onEvent(n, e)
	}
	for _, effect := range n.r.Reduce(f.now, e) {
		if debugHook != nil {
			debugHook(f, n.name+" effect", effect)
			if rc, ok := effect.(Send); ok {
				debugHook(f, n.name+"->"+rc.To, rc.Message)
			}
		}
		f.apply(n, effect)
	}
	if c := n.r.Catalogue(); c != nil {
		if c.Version < n.catalogueVersion {
			f.fail("node %s returned to catalogue version %d", n.name, c.Version)
		}
		n.catalogueVersion = c.Version
	}
}

func (f *fleet) fail(format string, args ...any) {
	f.violations = append(f.violations, fmt.Sprintf("%v: ", f.now.Sub(f.start))+fmt.Sprintf(format, args...))
}

func (f *fleet) apply(n *fakeNode, e Effect) {
	switch e := e.(type) {
	case Send:
		f.send(n, e)
	case Dispatch:
		f.dispatches++
		f.after(messageDelay, func() { f.dispatch(n, e) })
	case Cancel:
		f.after(messageDelay, func() { f.cancel(n, e) })
	case Refuse:
		f.recordAnswer(n, e.ID, e.Run, e.Reason)
	case Reply:
		f.recordAnswer(n, e.ID, e.Run, "")
	case Close:
		f.recordAnswer(n, e.ID, encoder.Ran, e.Reason)
	case Probe:
		up := f.endpoints[e.Endpoint].up
		f.after(2*messageDelay, func() { f.deliver(n, Probed{Endpoint: e.Endpoint, OK: up}) })
	case Poll:
		f.poll(n, e)
	case Prepare:
		f.after(messageDelay, func() { f.prepare(e) })
	case FetchFrom:
		f.after(2*messageDelay, func() {
			if p := f.nodes[e.Peer]; p != nil && p.up && !f.unreachable(n.name, e.Peer) && p.r.Catalogue() != nil {
				f.deliver(n, HostsLoaded{p.r.Hosts()})
				f.deliver(n, CatalogueLoaded{p.r.Catalogue()})
			}
		})
	case Left:
		n.left = true
		f.kill(n.name)
	}
}

// deliverHeldBack delivers the messages that were held back.
func (f *fleet) deliverHeldBack(n *fakeNode) {
	for _, m := range f.heldBack {
		f.deliver(n, m)
	}
	f.heldBack = nil
}

func (f *fleet) send(n *fakeNode, e Send) {
	if f.holdBack != nil && f.holdBack(e.To, e.Message) {
		f.heldBack = append(f.heldBack, Received{From: n.name, Message: e.Message})

		return
	}
	if f.traffic != nil {
		f.traffic.record(e.Message)
	}
	copies := 1
	if f.rng.Float64() < f.lossRate {
		copies = 0
	} else if f.rng.Float64() < f.duplicateRate {
		copies = 2
	}
	for range copies {
		delay := messageDelay + time.Duration(f.rng.Int64N(int64(messageDelay)))
		if f.duplicateRate > 0 && f.rng.Float64() < 0.02 {
			delay += time.Duration(f.rng.Int64N(int64(time.Second)))
		}
		f.after(delay, func() {
			if to := f.nodes[e.To]; to != nil && !f.unreachable(n.name, e.To) {
				f.deliver(to, Received{From: n.name, Message: e.Message})
			}
		})
	}
}

func (f *fleet) recordAnswer(n *fakeNode, id uint64, run uint8, reason Reason) {
	c := n.calls[id]
	if c == nil {
		return
	}
	c.answered++
	c.run, c.reason = run, reason
	f.answersByReason[string(reason)]++
	if c.answered > 1 {
		f.fail("call %d at %s answered %d times", id, n.name, c.answered)
	}
	if run == encoder.NotRun && (c.ran || f.runs(c.key) > 0) {
		f.fail("call %d with key %q at %s answered not run, but it ran", id, c.key, n.name)
	}
	if c.done != nil {
		c.done(c)
	}
}

// runs returns the number of runs of a key at all endpoints.
func (f *fleet) runs(key string) int {
	total := 0
	for _, e := range f.endpoints {
		total += e.runs[key]
	}

	return total
}

var debugHook func(f *fleet, what string, v any)
