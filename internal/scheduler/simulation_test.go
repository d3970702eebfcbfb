package scheduler

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"snipedyke/pkg/cataloguer"
	"snipedyke/pkg/encoder"
)

// hopDelay is the one-way delay of a message between two nodes, or to an endpoint.
const hopDelay = 500 * time.Microsecond

// event is a scheduled event of a simulation.
type event struct {
	// at is the time since the start of the simulation.
	at  time.Duration
	seq int
	fn  func()
}

// simulation simulates one pool in virtual time.
type simulation struct {
	now     time.Time
	events  heap[*event]
	seq     int
	rng     *rand.Rand
	engines []*engine
	site    *site
	policy  policy
	// maxResends is the number of times that a caller resends a request after 2 s
	// without a first token.
	maxResends int
	requests   []*request
	// overshoot counts the requests that exceeded an endpoint's cold limit.
	overshoot int
}

func (sim *simulation) at(t time.Time, do func()) {
	sim.seq++
	sim.events.push(&event{at: t.Sub(start), seq: sim.seq, fn: do})
}

func (sim *simulation) after(w time.Duration, do func()) { sim.at(sim.now.Add(w), do) }

func (sim *simulation) run(length time.Duration) {
	for len(sim.events.items) > 0 && sim.events.items[0].at <= length {
		e := sim.events.items[0]
		sim.events.remove(0)
		sim.now = start.Add(e.at)
		e.fn()
	}
	sim.now = start.Add(length)
}

// workload is the traffic of a class in a simulation.
type workload struct {
	class *cataloguer.Class
	once  bool
	// rate returns the number of requests per second at a time since the start,
	// and maxRate is its maximum.
	rate    func(time.Duration) float64
	maxRate float64
	// prefill is the median time to the first token on an idle endpoint. tokens is
	// the median length of an answer, zero for plain calls, and spread the
	// standard deviation of the natural logarithm of the lengths.
	prefill time.Duration
	tokens  float64
	spread  float64
	// maxWindow is the maximum time from arrival to the deadline, or zero if there
	// are no deadlines. Batch requests have the deadlines of their callers'
	// batches.
	maxWindow time.Duration
	// minWindow is the minimum time from arrival to the deadline.
	minWindow time.Duration
	// statesLimits reports whether callers state a limit on the answer's length.
	statesLimits bool
}

// request is a caller's request. All of its attempts share it.
type request struct {
	load     *workload
	id       uint64
	node     int
	arrived  time.Time
	deadline time.Time
	prefill  time.Duration
	tokens   float64
	limit    uint32
	// first is the time of the first token of any attempt, done that of the
	// complete answer, and sends the number of times that the caller sent the
	// request.
	first time.Time
	done  time.Time
	sends int
	ended bool
	// current is the latest attempt; earlier ones are obsolete.
	current *attempt
	// generated is the number of tokens of all attempts, and dispatches the
	// number of attempts that an endpoint accepted.
	generated  float64
	dispatches int
}

// attempt is one attempt to serve a request.
type attempt struct {
	*request
	id     uint64
	number uint32
	permit uint64
	engine *engine
	// sent is the time of the dispatch, first the time of the attempt's first
	// token, and finish the engine's progress at which the attempt ends.
	sent   time.Time
	first  time.Time
	finish float64
	stage  stage
}

type stage int

const (
	waiting stage = iota
	prefilling
	decoding
	finished
)

func (sim *simulation) lognormal(median, spread float64) float64 {
	return median * math.Exp(sim.rng.NormFloat64()*spread)
}

// scheduleArrivals schedules the arrivals of a workload: a Poisson process with
// the workload's maximum rate, thinned to its rate.
func (sim *simulation) scheduleArrivals(w *workload, until time.Duration) {
	for t := 0.0; ; {
		t += sim.rng.ExpFloat64() / w.maxRate
		at := time.Duration(t * float64(time.Second))
		if at >= until {
			return
		}
		if sim.rng.Float64()*w.maxRate >= w.rate(at) {
			continue
		}
		r := &request{
			load: w, id: uint64(len(sim.requests) + 1), arrived: start.Add(at), node: sim.rng.IntN(sim.site.nodes),
			prefill: time.Duration(sim.lognormal(float64(w.prefill), 0.3)),
		}
		if w.tokens > 0 {
			r.tokens = math.Ceil(sim.lognormal(w.tokens, w.spread))
		}
		if w.statesLimits {
			// Answers use between half and all of their limit.
			r.limit = uint32(r.tokens * (1 + sim.rng.Float64()))
		}
		if w.maxWindow > 0 {
			r.deadline = r.arrived.Add(w.minWindow + time.Duration(sim.rng.Float64()*float64(w.maxWindow-w.minWindow)))
		}
		sim.requests = append(sim.requests, r)
		sim.at(r.arrived, func() { sim.send(r) })
	}
}

// send starts an attempt of a request. The caller gives up at the deadline, or
// after 30 s if there is none. If maxResends is not zero, it instead resends the
// request after 2 s without a first token, and gives up after the last resend.
func (sim *simulation) send(r *request) {
	r.sends++
	a := &attempt{request: r, id: uint64(sim.seq), number: 1}
	r.current = a
	sim.policy.arrive(a)
	timeout := 30 * time.Second
	switch {
	case sim.maxResends > 0:
		timeout = 2 * time.Second
	case !r.deadline.IsZero():
		timeout = r.deadline.Sub(sim.now)
	}
	sim.after(timeout, func() {
		if r.ended || r.current != a || sim.maxResends > 0 && !r.first.IsZero() {
			return
		}
		if sim.maxResends > 0 && r.sends <= sim.maxResends {
			sim.policy.leave(a)
			r.node = sim.rng.IntN(sim.site.nodes)
			sim.send(r)

			return
		}
		r.ended = true
		sim.policy.leave(a)
	})
}

// engine is a simple model of an endpoint. It prefills one request at a time, in
// the order of tiers, and its decoding requests share the decode rate. Plain calls
// run in parallel.
type engine struct {
	sim         *simulation
	conf        *cataloguer.Endpoint
	speed       float64
	cold        bool
	firstTokens int
	down        bool
	out         bool
	// survivesOverload reports whether the engine survives more requests than its
	// cold limit instead of crashing.
	survivesOverload bool
	// queue holds the requests that wait for a slot, running those that have one,
	// and prefilling the one in prefill, if any.
	queue, running []*attempt
	prefilling     *attempt
	// progress is the number of tokens, as of the time updated, of a hypothetical
	// request that has been decoded since the start of the simulation.
	progress float64
	updated  time.Time
	// epoch counts the calls of schedule, so that outdated events are ignored.
	epoch int
}

const (
	// warmAfter is the number of first tokens after which an engine is warm.
	warmAfter = 6
	// restartTime is the time for which an engine is down after a crash.
	restartTime = 10 * time.Second
	// fastGap is the time between tokens on an idle engine. With a full batch it
	// is 1.4 times as long.
	fastGap = 20 * time.Millisecond
)

func (e *engine) submit(a *attempt) {
	a.engine, a.sent = e, e.sim.now
	if e.down {
		e.sim.policy.end(a, encoder.OutcomeRefused)

		return
	}
	a.dispatches++
	if e.cold && len(e.running)+len(e.queue) >= e.conf.ColdSlots {
		e.sim.overshoot++
		if !e.survivesOverload {
			e.queue = append(e.queue, a)
			e.crash()

			return
		}
	}
	e.queue = append(e.queue, a)
	e.startQueued()
}

// startQueued moves queued requests into free slots and starts the next prefill.
func (e *engine) startQueued() {
	for len(e.queue) > 0 && len(e.running) < e.conf.Slots {
		a := e.queue[0]
		e.queue = e.queue[1:]
		e.advance()
		e.running = append(e.running, a)
		if a.tokens == 0 {
			e.startPrefill(a)
		}
	}
	if e.prefilling != nil {
		return
	}
	var next *attempt
	for _, a := range e.running {
		if a.stage == waiting && (next == nil || a.load.class.Tier < next.load.class.Tier) {
			next = a
		}
	}
	if next != nil {
		e.prefilling = next
		e.startPrefill(next)
	}
	e.schedule()
}

func (e *engine) startPrefill(a *attempt) {
	a.stage = prefilling
	speed := e.speed
	if e.cold {
		speed /= 2
	}
	e.sim.after(time.Duration(float64(a.prefill)/speed), func() {
		if a.stage != prefilling {
			return
		}
		if e.prefilling == a {
			e.prefilling = nil
		}
		e.advance()
		a.stage = decoding
		a.first = e.sim.now
		a.finish = e.progress + a.tokens
		if a.request.first.IsZero() {
			a.request.first = e.sim.now
		}
		if e.firstTokens++; e.firstTokens >= warmAfter {
			e.cold = false
		}
		e.sim.policy.started(a)
		if a.tokens == 0 {
			e.remove(a, encoder.OutcomeOK)
		}
		e.startQueued()
	})
}

// advance updates the decode progress to the current time.
func (e *engine) advance() {
	n := float64(len(e.running)) / float64(e.conf.Slots)
	rate := e.speed / (fastGap.Seconds() * (1 + 0.4*n))
	e.progress += e.sim.now.Sub(e.updated).Seconds() * rate
	e.updated = e.sim.now
}

// schedule schedules the end of the request with the fewest tokens left to decode.
func (e *engine) schedule() {
	e.advance()
	e.epoch++
	epoch := e.epoch
	var next *attempt
	for _, a := range e.running {
		if a.stage == decoding && (next == nil || a.finish < next.finish) {
			next = a
		}
	}
	if next == nil {
		return
	}
	n := float64(len(e.running)) / float64(e.conf.Slots)
	left := max(0, next.finish-e.progress) * fastGap.Seconds() * (1 + 0.4*n) / e.speed
	e.sim.after(time.Duration(left*float64(time.Second))+time.Microsecond, func() {
		if e.epoch == epoch && next.stage == decoding {
			e.remove(next, encoder.OutcomeOK)
			e.startQueued()
		}
	})
}

// setSpeed changes the engine's speed relative to its normal one.
func (e *engine) setSpeed(v float64) {
	e.advance()
	e.speed = v
	e.startQueued()
	e.schedule()
}

// sendLoadReports sends each engine's load to the home every 500 ms, with a delay.
func (sim *simulation) sendLoadReports(delay time.Duration) {
	p, ok := sim.policy.(*homePolicy)
	if !ok {
		return
	}
	for _, e := range sim.engines {
		running, queued := len(e.running), len(e.queue)
		sim.after(delay, func() { p.home.RecordLoad(sim.now, e.conf.Name, running, queued, e.cold) })
	}
	sim.after(500*time.Millisecond, func() { sim.sendLoadReports(delay) })
}

// decoded returns the number of tokens that an attempt has received.
func (e *engine) decoded(a *attempt) float64 {
	if a.stage != decoding {
		return 0
	}
	e.advance()

	return min(a.tokens, max(0, a.tokens-(a.finish-e.progress)))
}

// remove ends an attempt with an outcome.
func (e *engine) remove(a *attempt, outcome uint8) {
	e.advance()
	tokens := e.decoded(a)
	if outcome == encoder.OutcomeOK {
		tokens = a.tokens
		if a.done.IsZero() {
			a.done = e.sim.now
		}
		a.ended = true
	}
	a.generated += tokens
	same := func(x *attempt) bool { return x == a }
	e.running = slices.DeleteFunc(e.running, same)
	e.queue = slices.DeleteFunc(e.queue, same)
	if e.prefilling == a {
		e.prefilling = nil
	}
	a.stage = finished
	e.sim.policy.end(a, outcome)
}

// cancel ends an attempt whose caller has disconnected.
func (e *engine) cancel(a *attempt) {
	if a.stage != finished {
		e.remove(a, encoder.OutcomeCancelled)
		e.startQueued()
	}
}

func (e *engine) crash() {
	e.down, e.cold, e.firstTokens = true, true, 0
	for _, a := range slices.Concat(e.running, e.queue) {
		e.remove(a, encoder.OutcomeLost)
	}
	e.sim.after(restartTime, func() { e.down = false })
}

// site describes one pool of a deployment on the design page.
type site struct {
	name    string
	nodes   int
	servers int
	slots   int
	cold    int
	centres int
}

// newSimulation returns a simulation of a pool whose endpoints are warm.
func newSimulation(s *site, seed uint64, loads []*workload, p func(*simulation) policy, until time.Duration) *simulation {
	sim := &simulation{now: start, rng: rand.New(rand.NewPCG(seed, 7)), site: s}
	sim.events = heap[*event]{
		less: func(a, b *event) bool { return a.at < b.at || a.at == b.at && a.seq < b.seq },
		move: func(*event, int) {},
	}
	classes := make([]*cataloguer.Class, 0, len(loads))
	for _, w := range loads {
		classes = append(classes, w.class)
		sim.scheduleArrivals(w, until)
	}
	c := fleet(s.servers, s.slots, s.cold, classes...)
	for i := range s.servers {
		conf := c.Endpoints[fmt.Sprintf("e%04d", i)]
		conf.DataCentre = fmt.Sprint("dc", i%s.centres)
		c.DataCentres[conf.DataCentre] = &cataloguer.DataCentre{Name: conf.DataCentre}
		sim.engines = append(sim.engines, &engine{sim: sim, conf: conf, speed: 1, updated: start, firstTokens: warmAfter})
	}
	sim.policy = p(sim)
	sim.policy.begin(c)

	return sim
}
