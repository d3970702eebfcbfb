package scheduler

import (
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"snipedyke/pkg/cataloguer"
	"snipedyke/pkg/encoder"
)

// policy distributes requests to endpoints.
type policy interface {
	begin(c *cataloguer.Catalogue)
	// arrive accepts an attempt, and leave ends it because its caller has
	// disconnected.
	arrive(a *attempt)
	leave(a *attempt)
	// started is called at the first token of an attempt, and end when it ends.
	started(a *attempt)
	end(a *attempt, outcome uint8)
	// changed is called when endpoints have been taken out of or returned to
	// service.
	changed()
}

// homePolicy distributes requests through a home, with message delays.
type homePolicy struct {
	sim       *simulation
	home      *Home
	catalogue *cataloguer.Catalogue
	asks      map[uint64]*attempt
	running   []map[uint64]*attempt
	beat      uint64
	changes   []timedChange
	// digest, if it is not nil, hashes all decisions.
	digest *xxhash.Digest
}

// timedChange is a change of an endpoint's state and its time.
type timedChange struct {
	Change
	at time.Time
}

func newHomePolicy(sim *simulation) policy {
	return &homePolicy{sim: sim, asks: map[uint64]*attempt{}}
}

func nodeName(i int) string { return fmt.Sprint("n", i) }

func (p *homePolicy) begin(c *cataloguer.Catalogue) {
	p.catalogue = c
	p.home = warmHome(c)
	names := make([]string, 0, p.sim.site.nodes)
	for i := range p.sim.site.nodes {
		names = append(names, nodeName(i))
		p.running = append(p.running, map[uint64]*attempt{})
		p.report(i)
	}
	p.home.SetPublished(start, names)
	p.tick()
}

// report sends a node's heartbeat to the home now and every 300 ms.
func (p *homePolicy) report(i int) {
	p.beat++
	permits := make([]encoder.Permit, 0, len(p.running[i]))
	for id, a := range p.running[i] {
		permits = append(permits, encoder.Permit{ID: id, Pool: "p", Endpoint: a.engine.conf.Name, Class: a.load.class.Name})
		if n := a.engine.decoded(a); n > 0 && p.beat%4 == 0 {
			p.home.Progress(p.sim.now, nodeName(i), &encoder.Progress{Permit: id, Tokens: uint32(n)})
		}
	}
	p.home.Report(p.sim.now, nodeName(i), 1, p.beat, permits, true)
	p.sim.after(300*time.Millisecond, func() { p.report(i) })
}

func (p *homePolicy) tick() {
	p.step()
	p.sim.after(100*time.Millisecond, p.tick)
}

// sendToHome delivers a message to the home after hopDelay.
func (p *homePolicy) sendToHome(f func()) {
	p.sim.after(hopDelay, func() {
		f()
		p.step()
	})
}

func (p *homePolicy) step() {
	for _, x := range p.home.Step(p.sim.now) {
		if p.digest != nil {
			_, _ = fmt.Fprintf(p.digest, "%T%v", x, x)
		}
		switch x := x.(type) {
		case Grant:
			a := p.asks[x.Grant.Ask]
			delete(p.asks, x.Grant.Ask)
			p.sim.after(hopDelay, func() { p.granted(a, x) })
		case Refuse:
			delete(p.asks, x.Refuse.Ask)
		case Change:
			p.changes = append(p.changes, timedChange{x, p.sim.now})
		case Probe:
			p.sim.after(hopDelay, func() {
				ok := !p.engine(x.Endpoint).down
				p.sendToHome(func() { p.home.ApplyProbe(p.sim.now, x.Endpoint, ok) })
			})
		}
	}
}

func (p *homePolicy) engine(name string) *engine {
	i := slices.IndexFunc(p.sim.engines, func(e *engine) bool { return e.conf.Name == name })

	return p.sim.engines[i]
}

func (p *homePolicy) granted(a *attempt, g Grant) {
	if a == nil || a.ended || a.current != a {
		p.sendToHome(func() { p.home.Done(p.sim.now, g.To, &encoder.Done{Permit: g.Grant.Permit}) })

		return
	}
	a.permit = g.Grant.Permit
	a.stage = waiting
	p.running[a.node][a.permit] = a
	p.engine(g.Grant.Endpoint).submit(a)
}

func (p *homePolicy) arrive(a *attempt) {
	ask := &encoder.Ask{
		ID: a.id, Pool: "p", Class: a.load.class.Name, Fingerprint: a.request.id, Attempt: a.number, Once: a.load.once, Tokens: a.limit,
	}
	if !a.deadline.IsZero() {
		ask.Deadline = a.deadline.Sub(p.sim.now).Microseconds()
	}
	from := nodeName(a.node)
	p.sendToHome(func() {
		p.asks[a.id] = a
		p.home.Ask(p.sim.now, from, ask)
	})
}

func (p *homePolicy) leave(a *attempt) {
	if a.permit != 0 {
		a.engine.cancel(a)

		return
	}
	from := nodeName(a.node)
	p.sendToHome(func() {
		delete(p.asks, a.id)
		p.home.Withdraw(p.sim.now, from, a.id)
	})
}

func (p *homePolicy) started(a *attempt) {
	id, first, from := a.permit, a.first.Sub(a.sent), nodeName(a.node)
	p.sendToHome(func() {
		p.home.Progress(p.sim.now, from, &encoder.Progress{Permit: id, First: first.Microseconds()})
	})
}

func (p *homePolicy) end(a *attempt, outcome uint8) {
	run := p.sim.now.Sub(a.sent)
	done := &encoder.Done{
		Permit: a.permit, Outcome: outcome, Tokens: uint32(a.tokens), Run: run.Microseconds(),
	}
	if !a.first.IsZero() {
		done.First = a.first.Sub(a.sent).Microseconds()
		done.Gap = int64(float64(p.sim.now.Sub(a.first).Microseconds()) / max(1, a.tokens))
	}
	from := nodeName(a.node)
	delete(p.running[a.node], a.permit)
	p.sendToHome(func() { p.home.Done(p.sim.now, from, done) })
	if !a.ended && (outcome == encoder.OutcomeRefused || outcome == encoder.OutcomeLost && !a.load.once && a.request.first.IsZero()) {
		again := &attempt{request: a.request, id: uint64(p.sim.seq), number: a.number + 1}
		a.current = again
		p.arrive(again)
	}
}

func (p *homePolicy) changed() {
	out := func(conf *cataloguer.Endpoint) bool { return p.engine(conf.Name).out }
	p.home.Configure(p.sim.now, p.catalogue, out)
}

// directPolicy is the policy of the baselines: a node sends a request at once to
// the endpoint that choose returns, or queues it if there is none.
type directPolicy struct {
	sim    *simulation
	choose func(p *directPolicy, a *attempt) *engine
	// queues has one queue for each node and class, or a single one if fifo is
	// set. byKey holds the same queues by key.
	queues []*[]*attempt
	byKey  map[string]*[]*attempt
	fifo   bool
	// nodeRunning counts the requests in progress by node and endpoint.
	nodeRunning []map[*engine]int
	// classRunning counts them by node and class, and totalRunning by endpoint.
	classRunning []map[string]int
	totalRunning map[*engine]int
}

func baseline(fifo bool, choose func(*directPolicy, *attempt) *engine) func(*simulation) policy {
	return func(sim *simulation) policy {
		return &directPolicy{sim: sim, choose: choose, fifo: fifo, totalRunning: map[*engine]int{}, byKey: map[string]*[]*attempt{}}
	}
}

func (p *directPolicy) begin(*cataloguer.Catalogue) {
	for range p.sim.site.nodes {
		p.nodeRunning = append(p.nodeRunning, map[*engine]int{})
		p.classRunning = append(p.classRunning, map[string]int{})
	}
}

func (p *directPolicy) arrive(a *attempt) {
	key := ""
	if !p.fifo {
		key = fmt.Sprint(a.node, a.load.class.Name)
	}
	q := p.byKey[key]
	if q == nil {
		q = &[]*attempt{}
		p.byKey[key] = q
		p.queues = append(p.queues, q)
	}
	*q = append(*q, a)
	p.dispatchQueued()
}

// dispatchQueued dispatches the queued requests that have an endpoint, in order of
// arrival within each queue.
func (p *directPolicy) dispatchQueued() {
	for _, q := range p.queues {
		for len(*q) > 0 {
			a := (*q)[0]
			if !a.ended && a.current == a {
				e := p.choose(p, a)
				if e == nil {
					break
				}
				p.dispatch(a, e)
			}
			*q = (*q)[1:]
		}
	}
}

func (p *directPolicy) dispatch(a *attempt, e *engine) {
	p.count(a, e, 1)
	p.sim.after(hopDelay, func() {
		if a.ended || a.current != a {
			p.count(a, e, -1)

			return
		}
		e.submit(a)
	})
}

func (p *directPolicy) count(a *attempt, e *engine, n int) {
	a.engine = e
	p.nodeRunning[a.node][e] += n
	p.classRunning[a.node][a.load.class.Name] += n
	p.totalRunning[e] += n
}

func (p *directPolicy) leave(a *attempt) {
	if a.engine != nil && !a.sent.IsZero() {
		a.engine.cancel(a)
	}
}

func (p *directPolicy) started(*attempt) {}

func (p *directPolicy) end(a *attempt, outcome uint8) {
	p.count(a, a.engine, -1)
	p.sim.after(0, func() {
		again := outcome == encoder.OutcomeRefused || outcome == encoder.OutcomeLost && !a.load.once
		if again && !a.ended && a.number < 3 && a.current == a {
			next := &attempt{request: a.request, number: a.number + 1}
			a.current = next
			p.arrive(next)
		}
		p.dispatchQueued()
	})
}

func (p *directPolicy) changed() { p.sim.after(0, p.dispatchQueued) }

// least returns the engine in service with the lowest count; if bounded, only
// counts below the engine's slots qualify.
func (p *directPolicy) least(count map[*engine]int, bounded bool) *engine {
	var best *engine
	for _, e := range p.sim.engines {
		if e.out || e.down || bounded && count[e] >= e.conf.Slots {
			continue
		}
		if best == nil || count[e] < count[best] {
			best = e
		}
	}

	return best
}

// baselines holds the simple policies that the home is compared with.
var baselines = map[string]func(*simulation) policy{
	"random": baseline(false, func(p *directPolicy, _ *attempt) *engine {
		list := slices.DeleteFunc(slices.Clone(p.sim.engines), func(e *engine) bool { return e.out || e.down })
		if len(list) == 0 {
			return nil
		}

		return list[p.sim.rng.IntN(len(list))]
	}),
	"least local": baseline(false, func(p *directPolicy, a *attempt) *engine { return p.least(p.nodeRunning[a.node], false) }),
	"static shares": baseline(false, func(p *directPolicy, a *attempt) *engine {
		places := float64(p.sim.site.servers*p.sim.site.slots) / float64(p.sim.site.nodes)
		if p.classRunning[a.node][a.load.class.Name] >= max(1, int(places*a.load.class.Share)) {
			return nil
		}

		return p.least(p.nodeRunning[a.node], false)
	}),
	"fifo": baseline(true, func(p *directPolicy, _ *attempt) *engine { return p.least(p.totalRunning, true) }),
}
