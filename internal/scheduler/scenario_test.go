package scheduler

import (
	"fmt"
	"math"
	"os"
	"runtime/debug"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"snipedyke/pkg/cataloguer"
)

const seeds = 5

var inf = math.Inf(1)

// Guards against a burst of drafts that displaces other classes, wastes tokens or
// finishes fewer drafts than the baselines do.
func TestBurst(t *testing.T) {
	const calm, length = 3 * time.Minute, 10 * time.Minute
	for _, x := range []struct {
		site   *site
		limits bool
	}{{draftsmith, false}, {rota, false}, {draftsmith, true}, {rota, true}} {
		s := x.site
		t.Run(fmt.Sprintf("%s/limits=%v", s.name, x.limits), func(t *testing.T) {
			t.Parallel()
			var f figures
			scenario := func(factor float64, length time.Duration) func(uint64, func(*simulation) policy) result {
				return func(seed uint64, p func(*simulation) policy) result {
					loads := []*workload{chats(0.15, s.servers, s.slots), batch(0.85*factor, s.servers, s.slots)}
					// Both classes have traffic before the burst begins.
					loads[1].statesLimits = x.limits
					high := loads[1].maxRate
					loads[1].rate = func(t time.Duration) float64 {
						if t < calm {
							return high / factor / 2
						}

						return high
					}
					sim := newSimulation(s, seed, loads, p, calm+length)
					sim.run(calm + length + draftWindow)

					return sim.sum(calm, calm+length)
				}
			}
			for seed := range uint64(seeds) {
				atCapacity := scenario(1, length/2)(seed, newHomePolicy)
				ours, others := compare(seed, scenario(3, length))
				high := best(others, func(r result) float64 { return float64(r.finished) })
				f.add("chats on target", ours.met["fit"])
				f.add("goodput relative to that at capacity", ours.goodput/atCapacity.goodput)
				f.add("wasted tokens", ours.wasted)
				f.add("longest wait of a draft in s", ours.oldest.Seconds())
				f.add("drafts relative to best baseline", float64(ours.finished)/high)
				f.add("requests above cold limit", float64(ours.overshoot))
				for n, r := range others {
					f.add(n+": chats on target", r.met["fit"])
					f.add(n+": goodput", r.goodput/atCapacity.goodput)
					f.add(n+": wasted tokens", r.wasted)
					f.add(n+": drafts", float64(r.finished)/high)
				}
			}
			f.log(t)
			c := qt.New(t)
			f.check(c, "chats on target", 0.95, 1)
			f.check(c, "goodput relative to that at capacity", 0.95, inf)
			f.check(c, "wasted tokens", 0, 0.02)
			f.check(c, "longest wait of a draft in s", 0, (draftWindow + drafts.MaxWait).Seconds())
			f.check(c, "drafts relative to best baseline", 1.2, inf)
			f.check(c, "requests above cold limit", 0, 0)
		})
	}
	for _, s := range []*site{orderdesk, booking} {
		t.Run(s.name, func(t *testing.T) {
			t.Parallel()
			var f figures
			for seed := range uint64(seeds) {
				// Plain calls share no pool with drafts, so one minute suffices
				// instead of ten.
				sim := newSimulation(s, seed, calls(0.7, s.servers, s.slots), newHomePolicy, time.Minute)
				sim.run(time.Minute + 2*time.Second)
				r := sim.sum(0, time.Minute)
				f.add("payments on target", r.met["payments"])
				f.add("checks on target", r.met["checks"])
			}
			f.log(t)
			c := qt.New(t)
			f.check(c, "payments on target", 0.999, 1)
			f.check(c, "checks on target", 0.999, 1)
		})
	}
}

// Guards against classes that miss their targets while a data centre leaves and
// returns, and against overload of its cold endpoints on return.
func TestDataCentreLeaves(t *testing.T) {
	for _, s := range []*site{draftsmith, rota, orderdesk, booking} {
		leaves, returns, length := 40*time.Second, 80*time.Second, 130*time.Second
		model := s == draftsmith || s == rota
		if !model {
			// Plain calls are short and frequent, so a shorter run suffices.
			leaves, returns, length = 10*time.Second, 25*time.Second, 40*time.Second
		}
		t.Run(s.name, func(t *testing.T) {
			t.Parallel()
			var f figures
			left := 0
			for i := range s.servers {
				if i%s.centres != 0 {
					left++
				}
			}
			for seed := range uint64(seeds) {
				run := func(seed uint64, p func(*simulation) policy) result {
					loads := calls(0.8, left, s.slots)
					end := length + time.Second
					if model {
						// The deadlines leave enough time for the longest drafts,
						// so that only scheduling can cause a miss.
						loads = []*workload{chats(0.2, left, s.slots), batch(0.6, left, s.slots)}
						loads[1].minWindow, loads[1].maxWindow = 6*time.Minute, 8*time.Minute
						end = length + loads[1].maxWindow
					}
					sim := newSimulation(s, seed, loads, p, length)
					set := func(out bool) func() {
						return func() {
							for _, e := range sim.engines {
								if e.conf.DataCentre != "dc0" {
									continue
								}
								if e.out = out; !out {
									e.cold, e.firstTokens = true, 0
								}
							}
							sim.policy.changed()
						}
					}
					sim.at(start.Add(leaves), set(true))
					sim.at(start.Add(returns), set(false))
					sim.run(end)

					return sim.sum(0, length)
				}
				ours, others := compare(seed, run)
				for name, v := range ours.worst {
					f.add(name+" in the worst 10 s", v)
				}
				f.add("requests above cold limit", float64(ours.overshoot))
				for n, r := range others {
					f.add(n+": above cold limit", float64(r.overshoot))
					for name, v := range r.worst {
						f.add(n+": "+name, v)
					}
				}
			}
			f.log(t)
			c := qt.New(t)
			for _, cl := range []*cataloguer.Class{fit, drafts, payments, checks} {
				f.check(c, cl.Name+" in the worst 10 s", 0.95, 1)
			}
			f.check(c, "requests above cold limit", 0, 0)
		})
	}
}

// Guards against requests that are sent to servers which run at a third of their
// speed while load reports are delayed by 2 s.
func TestStragglers(t *testing.T) {
	for _, s := range []*site{draftsmith, rota} {
		t.Run(s.name, func(t *testing.T) {
			t.Parallel()
			var f figures
			for seed := range uint64(seeds) {
				run := func(seed uint64, p func(*simulation) policy) result {
					const length = 3 * time.Minute
					// The load is 0.8 of the capacity that remains with the
					// stragglers.
					loads := []*workload{chats(0.2, s.servers, s.slots), batch(0.49, s.servers, s.slots)}
					loads[1].minWindow, loads[1].maxWindow = 6*time.Minute, 8*time.Minute
					sim := newSimulation(s, seed, loads, p, length)
					for i, e := range sim.engines {
						if i%5 == 2 {
							e.speed = 1.0 / 3
						}
					}
					sim.sendLoadReports(2 * time.Second)
					sim.run(length + 10*time.Second)

					return sim.sum(30*time.Second, length)
				}
				ours, others := compare(seed, run)
				low := best(others, func(r result) float64 { return -r.p95.Seconds() })
				f.add("first token p95 relative to best baseline", ours.p95.Seconds()/-low)
				f.add("first token p95 in s", ours.p95.Seconds())
				f.add("chats on target", ours.met["fit"])
				f.add("requests above cold limit", float64(ours.overshoot))
				for n, r := range others {
					f.add(n+": p95 in s", r.p95.Seconds())
				}
			}
			f.log(t)
			c := qt.New(t)
			f.check(c, "first token p95 relative to best baseline", 0, 0.7)
			f.check(c, "requests above cold limit", 0, 0)
		})
	}
}

// Guards against callers whose resent requests multiply the load, so that the
// overload outlasts its cause.
func TestRetryStorm(t *testing.T) {
	const begins, ends, length = 30 * time.Second, 60 * time.Second, 100 * time.Second
	for _, s := range []*site{draftsmith, rota} {
		t.Run(s.name, func(t *testing.T) {
			t.Parallel()
			var f figures
			for seed := range uint64(seeds) {
				run := func(seed uint64, p func(*simulation) policy) result {
					loads := []*workload{chats(0.6, s.servers, s.slots)}
					loads[0].rate = steady(loads[0].maxRate / 1.5)
					sim := newSimulation(s, seed, loads, p, length)
					sim.maxResends = 3
					sim.sendLoadReports(2 * time.Second)
					speed := func(v float64) func() {
						return func() {
							for i, e := range sim.engines {
								if i%3 != 0 {
									e.setSpeed(v)
								}
							}
						}
					}
					sim.at(start.Add(begins), speed(0.1))
					sim.at(start.Add(ends), speed(1))
					sim.run(length + 40*time.Second)
					before, after := sim.sum(0, begins), sim.sum(ends+10*time.Second, length)
					after.goodput /= before.goodput
					during := sim.sum(begins, ends)
					after.dispatches, after.met = during.dispatches, during.met

					return after
				}
				ours, others := compare(seed, run)
				f.add("dispatches for each request", ours.dispatches)
				f.add("goodput 10 s after the end", ours.goodput)
				f.add("on target in the storm", ours.met["fit"])
				f.add("requests above cold limit", float64(ours.overshoot))
				for n, r := range others {
					f.add(n+": dispatches", r.dispatches)
					f.add(n+": goodput", r.goodput)
					f.add(n+": on target in the storm", r.met["fit"])
				}
			}
			f.log(t)
			c := qt.New(t)
			f.check(c, "dispatches for each request", 0, 1.1)
			f.check(c, "goodput 10 s after the end", 0.95, inf)
		})
	}
}

// Guards against drafts that take the reserved places of payments in a shared
// pool, and against drafts that get no places there.
func TestSharedPool(t *testing.T) {
	const length = 3 * time.Minute
	s := draftsmith
	var f figures
	for seed := range uint64(seeds) {
		ours, others := compare(seed, func(seed uint64, p func(*simulation) policy) result {
			// Payments use a quarter of what they have reserved.
			loads := append(calls(0.1, s.servers, s.slots)[:1], batch(3, s.servers, s.slots))
			sim := newSimulation(s, seed, loads, p, length)
			sim.run(length + draftWindow)

			return sim.sum(0, length)
		})
		f.add("payments on target", ours.met["payments"])
		f.add("drafts finished", float64(ours.finished))
		f.add("requests above cold limit", float64(ours.overshoot))
		for n, r := range others {
			f.add(n+": payments on target", r.met["payments"])
		}
	}
	f.log(t)
	c := qt.New(t)
	f.check(c, "payments on target", 0.999, 1)
	f.check(c, "drafts finished", 1, inf)
	f.check(c, "requests above cold limit", 0, 0)
}

// Guards against an endpoint that becomes cold without a report and still gets the
// work of a warm one. There is no target for the detection time and the overshoot;
// the test only requires a detection before the end and an overshoot below the
// difference of slots and cold limit.
func TestUnannouncedCold(t *testing.T) {
	const turns, length = 40 * time.Second, 80 * time.Second
	for _, s := range []*site{draftsmith, rota} {
		var f figures
		for seed := range uint64(seeds) {
			sim := newSimulation(s, seed, []*workload{chats(0.6, s.servers, s.slots)}, newHomePolicy, length)
			e := sim.engines[0]
			sim.at(start.Add(turns), func() {
				e.cold, e.survivesOverload, e.firstTokens = true, true, 0
				e.setSpeed(0.2)
			})
			p := sim.policy.(*homePolicy)
			sim.run(length)
			var detected time.Duration
			for _, x := range p.changes {
				if at := x.at.Sub(start) - turns; x.Endpoint == e.conf.Name && at >= 0 && detected == 0 {
					detected = at
				}
			}
			f.add("detected after s", detected.Seconds())
			f.add("overshoot", float64(sim.overshoot))
		}
		t.Log(s.name)
		f.log(t)
		c := qt.New(t)
		f.check(c, "detected after s", 0.001, (length - turns).Seconds())
		f.check(c, "overshoot", 0, float64(s.slots-s.cold-1))
	}
}

// TestMain lets the heap grow to 1 GiB before it is collected: simulations allocate
// a lot, and collections are slow under the race detector.
func TestMain(m *testing.M) {
	debug.SetGCPercent(-1)
	debug.SetMemoryLimit(1 << 30)
	os.Exit(m.Run())
}
