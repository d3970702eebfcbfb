package chooser

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"snipedyke/internal/admitter"
	"snipedyke/internal/emulator"
)

// notice tells the other nodes of a change at an engine.
type notice struct {
	at           time.Duration
	node, engine int
	running      int
	unread       float64
	// long and short are the changes of the running requests by group.
	long, short int
}

// playNodes replays a pattern on some nodes that place requests in turn and
// know of each other's after a delay. It returns the share of the work that is
// on target.
func playNodes(list []*arrival, nodes int, delay time.Duration) float64 {
	type node struct {
		state    []*Engine
		splitter Splitter
		reader   admitter.Reader
		long     int
		short    int
	}
	all := make([]*node, nodes)
	machines := make([]*emulator.Engine, engines)
	for n := range all {
		all[n] = &node{}
		for i := range engines {
			all[n].state = append(all[n].state, NewEngine(fmt.Sprint("e", i), true))
		}
	}
	var notices []notice
	owner := map[*emulator.Request]int{}
	byRequest := map[*emulator.Request]*arrival{}
	ahead := map[*emulator.Request]float64{}
	tell := func(now time.Duration, n, engine, running int, unread float64, need Need) {
		own := &all[n].state[engine].Own
		own.Running += running
		own.Unread += unread
		x := notice{at: now + delay, node: n, engine: engine, running: running, unread: unread}
		if running != 0 {
			all[n].splitter.Add(need, running)
			if need.Long() {
				x.long = running
			} else {
				x.short = running
			}
		}
		notices = append(notices, x)
	}
	for i := range machines {
		machines[i] = emulator.New(emulator.Dense)
		machines[i].OnFirstToken = func(now time.Duration, r *emulator.Request) {
			need := byRequest[r].need
			tell(now, owner[r], i, 0, -need.Unread(), need)
			if r.PrefillTokens == int(need.Unread()) {
				all[owner[r]].reader.Note(ahead[r]+need.Unread(), r.TimeToFirstToken)
			}
		}
		machines[i].OnDone = func(now time.Duration, r *emulator.Request) {
			tell(now, owner[r], i, -1, 0, byRequest[r].need)
		}
	}
	for turn, a := range list {
		for _, m := range machines {
			m.RunUntil(a.Arrival)
		}
		rest := notices[:0]
		for _, x := range notices {
			if x.at > a.Arrival {
				rest = append(rest, x)

				continue
			}
			for n, o := range all {
				if n == x.node {
					continue
				}
				o.state[x.engine].Others.Running += x.running
				o.state[x.engine].Others.Unread += x.unread
				o.long += x.long
				o.short += x.short
				o.splitter.Hear(o.long, o.short)
			}
		}
		notices = rest
		n := turn % nodes
		byRequest[&a.Request], owner[&a.Request] = a, n
		at := ours(epoch.Add(a.Arrival), a, all[n].state, &all[n].splitter, &all[n].reader)
		if at < 0 {
			continue
		}
		ahead[&a.Request] = all[n].state[at].Unread()
		tell(a.Arrival, n, at, 1, a.need.Unread(), a.need)
		machines[at].Submit(&a.Request)
	}
	for _, m := range machines {
		m.RunUntil(length + 20*time.Second)
	}

	return onTarget(list)
}

// Guards against nodes that send long prompts to the same engine because they
// do not know of each other's. The target is that six nodes whose views are 60
// ms old, as with updates, lose at most a tenth of what one node on its own
// serves on target; with views of 400 ms, as with full sums alone, they lost
// more.
func TestReplayOfNodesWithDelayedViews(t *testing.T) {
	c := qt.New(t)
	for _, scale := range []float64{1, 1.5, 2} {
		one, updates, sums := 0.0, 0.0, 0.0
		for seed := range uint64(5) {
			one += playNodes(pattern(seed, scale), 1, 0) / 5
			updates += playNodes(pattern(seed, scale), 6, 60*time.Millisecond) / 5
			sums += playNodes(pattern(seed, scale), 6, 400*time.Millisecond) / 5
		}
		t.Logf("load %.1f: one node %.3f, six nodes with views of 60 ms %.3f, of 400 ms %.3f", scale, one, updates, sums)
		c.Check(updates >= 0.9*one, qt.IsTrue, qt.Commentf("load %.1f: %.3f against %.3f", scale, updates, one))
		c.Check(updates > sums, qt.IsTrue, qt.Commentf("load %.1f: %.3f against %.3f", scale, updates, sums))
	}
}
