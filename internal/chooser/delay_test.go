package chooser

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"snipedyke/internal/admitter"
	"snipedyke/internal/emulator"
)

// loadChange is a change at an engine that the other nodes learn of later.
type loadChange struct {
	visibleAt     time.Duration
	node, engine  int
	running       int
	prefillTokens float64
	// long and short are the changes of the running requests by group.
	long, short int
}

// replayNodes replays arrivals on several nodes, which place requests in turn
// and learn of each other's load after a delay. It returns the share of the
// work that is on target.
func replayNodes(arrivals []*arrival, nodes int, delay time.Duration) float64 {
	type node struct {
		state    []*Engine
		splitter Splitter
		reader   admitter.Estimator
		long     int
		short    int
	}
	all := make([]*node, nodes)
	emulators := make([]*emulator.Engine, engineCount)
	for n := range all {
		all[n] = &node{}
		for i := range engineCount {
			all[n].state = append(all[n].state, NewEngine(fmt.Sprint("e", i), true))
		}
	}
	var pending []loadChange
	owner := map[*emulator.Request]int{}
	byRequest := map[*emulator.Request]*arrival{}
	ahead := map[*emulator.Request]float64{}
	recordChange := func(now time.Duration, n, engine, running int, prefillTokens float64, need Need) {
		own := &all[n].state[engine].Own
		own.Running += running
		own.PrefillTokens += prefillTokens
		change := loadChange{visibleAt: now + delay, node: n, engine: engine, running: running, prefillTokens: prefillTokens}
		if running != 0 {
			all[n].splitter.AddRunning(need, running)
			if need.Long() {
				change.long = running
			} else {
				change.short = running
			}
		}
		pending = append(pending, change)
	}
	for i := range emulators {
		emulators[i] = emulator.New(emulator.Dense)
		emulators[i].OnFirstToken = func(now time.Duration, r *emulator.Request) {
			need := byRequest[r].need
			recordChange(now, owner[r], i, 0, -need.PrefillTokens(), need)
			if r.PrefillTokens == int(need.PrefillTokens()) {
				all[owner[r]].reader.RecordFirstToken(ahead[r]+need.PrefillTokens(), r.TimeToFirstToken)
			}
		}
		emulators[i].OnDone = func(now time.Duration, r *emulator.Request) {
			recordChange(now, owner[r], i, -1, 0, byRequest[r].need)
		}
	}
	for turn, a := range arrivals {
		for _, m := range emulators {
			m.RunUntil(a.Arrival)
		}
		remaining := pending[:0]
		for _, change := range pending {
			if change.visibleAt > a.Arrival {
				remaining = append(remaining, change)

				continue
			}
			for n, o := range all {
				if n == change.node {
					continue
				}
				o.state[change.engine].Others.Running += change.running
				o.state[change.engine].Others.PrefillTokens += change.prefillTokens
				o.long += change.long
				o.short += change.short
				o.splitter.SetOthers(o.long, o.short)
			}
		}
		pending = remaining
		n := turn % nodes
		byRequest[&a.Request], owner[&a.Request] = a, n
		chosen := placeAndAdmit(epoch.Add(a.Arrival), a, all[n].state, &all[n].splitter, &all[n].reader)
		if chosen < 0 {
			continue
		}
		ahead[&a.Request] = all[n].state[chosen].PrefillTokens()
		recordChange(a.Arrival, n, chosen, 1, a.need.PrefillTokens(), a.need)
		emulators[chosen].Submit(&a.Request)
	}
	for _, m := range emulators {
		m.RunUntil(replayLength + 20*time.Second)
	}

	return onTarget(arrivals)
}

// Guards against nodes that send long prompts to the same engine because they
// do not know of each other's requests. The target is that six nodes whose
// views are 60 ms old, as with updates, lose at most a tenth of what a single
// node serves on target. With views that are 400 ms old, as with full sums
// alone, they lost more.
func TestReplayOfNodesWithDelayedViews(t *testing.T) {
	c := qt.New(t)
	for _, scale := range []float64{1, 1.5, 2} {
		one, updates, sums := 0.0, 0.0, 0.0
		for seed := range uint64(5) {
			one += replayNodes(generateArrivals(seed, scale), 1, 0) / 5
			updates += replayNodes(generateArrivals(seed, scale), 6, 60*time.Millisecond) / 5
			sums += replayNodes(generateArrivals(seed, scale), 6, 400*time.Millisecond) / 5
		}
		t.Logf("load %.1f: one node %.3f, six nodes with views of 60 ms %.3f, of 400 ms %.3f", scale, one, updates, sums)
		c.Check(updates >= 0.9*one, qt.IsTrue, qt.Commentf("load %.1f: %.3f against %.3f", scale, updates, one))
		c.Check(updates > sums, qt.IsTrue, qt.Commentf("load %.1f: %.3f against %.3f", scale, updates, sums))
	}
}
