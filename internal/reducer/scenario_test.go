package reducer

import (
	"fmt"
	"slices"
	"time"

	"snipedyke/pkg/cataloguer"
)

// Scenario runs a fleet under load in virtual time and records one of its
// nodes.
type Scenario struct {
	Name string
	// Outcomes are the bounds that are stored in the trace and checked by its
	// replay, as name, operator and bound. They come from the targets of the
	// design page.
	Outcomes [][3]string
	play     func(f *fleet)
	// node is the recorded node. If it is empty, the home of pool "chat" is
	// recorded.
	node string
}

// Process identifies a process of a node.
type Process struct {
	Name, Centre      string
	Incarnation, Seed uint64
}

// Play runs the scenario and calls watch with all events of all nodes. It
// returns the process to record and the violations.
func (s Scenario) Play(watch func(p Process, now time.Time, e Event)) (Process, []string) {
	f := newEmptyFleet(1)
	process := func(n *fakeNode) Process { return Process{n.name, f.dataCentre(n.name), n.incarnation, n.incarnation} }
	f.onEvent = func(n *fakeNode, e Event) { watch(process(n), f.now, e) }
	f.startNodes(5)
	for _, e := range f.endpoints {
		if e.Service == "chat" {
			e.runTime = scenarioRunTime
		}
	}
	f.repeat(scenarioWarmup-time.Second, 20, func(int) { f.sendModelRequest("draft", 0) })
	f.run(scenarioWarmup)
	s.play(f)
	f.checkSettled()
	name := s.node
	if name == "" {
		name = f.nodes["n0"].r.detector.Home(f.now, "chat")
	}

	return process(f.nodes[name]), f.violations
}

const (
	// scenarioRunTime is the length of a run at an engine. The four engines have
	// 32 slots, so they complete 80 requests per second. A cold engine is slower
	// but, without a queue, still meets the target of class "ask".
	scenarioRunTime  = 400 * time.Millisecond
	scenarioCapacity = 80
	// scenarioBoot is the time from the start of the nodes until they are
	// ready. Requests of class "draft" then warm up the engines, whose state is
	// unknown at first.
	scenarioBoot   = 4 * time.Second
	scenarioWarmup = 4 * time.Second
)

// paymentOutcomes are the targets that hold for payments in every scenario.
var paymentOutcomes = [][3]string{
	{"attainment.pay", ">=", "0.999"},
	{"refused.pay", "=", "0"},
}

// Scenarios are the recorded scenarios. Their loads are stated as fractions of
// the capacity of the engines in requests per second.
var Scenarios = []Scenario{
	{
		Name: "burst",
		Outcomes: slices.Concat(paymentOutcomes, [][3]string{
			{"attainment.ask", ">=", "0.95"},
			{"refused.ask", "=", "0"},
			// The maximum wait of the class in seconds.
			{"wait.draft", "<=", "20"},
			{"wasted.ratio", "<=", "0.02"},
		}),
		play: func(f *fleet) {
			f.repeat(6*time.Second, 10, func(i int) { f.payWithRetries(fmt.Sprintf("k%d", i), 4) })
			f.repeat(6*time.Second, 0.2*scenarioCapacity, func(int) { f.sendModelRequest("ask", 0) })
			f.repeat(3*time.Second, 3*scenarioCapacity, func(int) { f.sendModelRequest("draft", 10*time.Second) })
			f.run(20 * time.Second)
		},
	},
	{
		Name: "centre",
		Outcomes: slices.Concat(paymentOutcomes, [][3]string{
			{"attainment.ask", ">=", "0.95"},
			{"attainment.draft", ">=", "0.95"},
		}),
		play: func(f *fleet) {
			// The load is 0.8 of the capacity that remains when half of the
			// engines are out.
			f.repeat(12*time.Second, 10, func(i int) { f.payWithRetries(fmt.Sprintf("k%d", i), 4) })
			f.repeat(12*time.Second, 0.2*scenarioCapacity, func(int) { f.sendModelRequest("ask", 0) })
			f.repeat(12*time.Second, 0.2*scenarioCapacity, func(int) { f.sendModelRequest("draft", 10*time.Second) })
			f.after(3*time.Second, func() {
				f.publish(func(c *cataloguer.Catalogue) { c.DataCentres["b"].OutOfService = true })
			})
			f.after(8*time.Second, func() {
				f.publish(func(c *cataloguer.Catalogue) { c.DataCentres["b"].OutOfService = false })
			})
			f.run(20 * time.Second)
		},
	},
	{
		Name: "crash",
		Outcomes: slices.Concat(paymentOutcomes, [][3]string{
			{"marks.blocked", ">=", "1"},
			// The request may crash two endpoints.
			{"failures", "<=", "2"},
		}),
		play: func(f *fleet) {
			f.repeat(8*time.Second, 10, func(i int) { f.payWithRetries(fmt.Sprintf("k%d", i), 4) })
			f.repeat(8*time.Second, 0.3*scenarioCapacity, func(int) { f.sendModelRequest("ask", 0) })
			f.after(time.Second, func() {
				for i := range 15 {
					f.after(time.Duration(i)*200*time.Millisecond, func() {
						f.call(f.names[i%len(f.names)], Request{Service: "chat", Class: "ask", Model: "m", Fingerprint: crashingFingerprint}, nil)
					})
				}
			})
			f.run(20 * time.Second)
			crashes := 0
			for _, e := range f.endpoints {
				crashes += e.crashes
			}
			if crashes > 2 {
				f.fail("the crashing request crashed %d endpoints", crashes)
			}
		},
	},
	{
		Name: "pause",
		node: "n1",
		// No new requests go to data centre b from 3 s after the publication.
		Outcomes: [][3]string{
			// Without a grant from before the pause the scenario would not test
			// stale grants.
			{"grants.stale", ">=", "1"},
			{"last.chat1", "<=", withdrawalBound(2 * time.Second)},
			{"last.chat3", "<=", withdrawalBound(2 * time.Second)},
			{"last.desk1", "<=", withdrawalBound(2 * time.Second)},
		},
		play: func(f *fleet) {
			f.repeat(36*time.Second, 4, func(i int) { f.payWithRetries(fmt.Sprintf("k%d", i), 4) })
			f.repeat(36*time.Second, 0.1*scenarioCapacity, func(int) { f.sendModelRequest("ask", 0) })
			// Some of these requests get their grants while the node is paused,
			// before the tick that would refuse them.
			const pause = time.Second + 3*time.Millisecond
			for i := range 24 {
				f.after(pause-time.Duration(i)*messageDelay, func() {
					f.call("n1", Request{Service: "chat", Class: "ask", Model: "m"}, nil)
				})
			}
			f.after(pause, func() { f.nodes["n1"].pausedUntil = f.now.Add(30 * time.Second) })
			f.after(2*time.Second, func() {
				f.publish(func(c *cataloguer.Catalogue) { c.DataCentres["b"].OutOfService = true })
			})
			f.run(60 * time.Second)
		},
	},
	{
		Name: "storm",
		Outcomes: slices.Concat(paymentOutcomes, [][3]string{
			{"dispatches.ratio", "<=", "1.1"},
		}),
		play: func(f *fleet) {
			f.repeat(10*time.Second, 10, func(i int) { f.payWithRetries(fmt.Sprintf("k%d", i), 4) })
			f.repeat(10*time.Second, 0.6*scenarioCapacity, func(int) {
				f.nextID++
				f.askWithRetries(f.nextID<<20, 4)
			})
			speed := func(factor time.Duration) func() {
				return func() {
					for _, e := range f.endpoints {
						if e.Service == "chat" {
							e.runTime = factor * scenarioRunTime
						}
					}
				}
			}
			f.after(2*time.Second, speed(10))
			f.after(5*time.Second, speed(1))
			f.run(30 * time.Second)
		},
	},
}

// withdrawalBound returns the time by which a data centre that is taken out must
// no longer get new requests: 3 s after the publication. It is in seconds since
// the start of the nodes, while published counts from the start of the load.
func withdrawalBound(published time.Duration) string {
	return fmt.Sprint((scenarioBoot + scenarioWarmup + published + 3*time.Second).Seconds())
}

// repeat calls do at a constant rate per second for the given length.
func (f *fleet) repeat(length time.Duration, rate float64, do func(i int)) {
	gap := time.Duration(float64(time.Second) / rate)
	for i, at := 0, time.Duration(0); at < length; i, at = i+1, at+gap {
		f.after(at, func() { do(i) })
	}
}

// sendModelRequest sends a request of a class with a deadline to a random node.
func (f *fleet) sendModelRequest(class string, deadline time.Duration) {
	q := Request{Service: "chat", Class: class, Model: "m", Deadline: deadline}
	f.call(f.names[f.rng.IntN(len(f.names))], q, nil)
}

// askWithRetries sends a request of class "ask". After 2 s without an answer it
// disconnects and retries through a random node while attempts are left.
func (f *fleet) askWithRetries(fingerprint uint64, attempts int) {
	if attempts == 0 {
		return
	}
	node := f.names[f.rng.IntN(len(f.names))]
	c := f.call(node, Request{Service: "chat", Class: "ask", Model: "m", Fingerprint: fingerprint}, nil)
	f.after(2*time.Second, func() {
		if c.answered == 0 {
			f.deliver(f.nodes[node], CallerGone{ID: c.request.ID})
			f.askWithRetries(fingerprint, attempts-1)
		}
	})
}
