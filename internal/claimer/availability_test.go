package claimer_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"snipedyke/internal/claimer"
)

// ratio counts requests and those of them with the wanted verdict.
type ratio struct{ total, matched int }

func (r ratio) String() string {
	return fmt.Sprintf("%6.2f%% of %d", 100*float64(r.matched)/float64(max(1, r.total)), r.total)
}

// sendRequests sends new keys and resends old ones through live nodes for the
// given time. It returns the ratio of new keys that ran and the ratio of old
// keys that got their answer.
func (f *fleet) sendRequests(d time.Duration, old []string, tag string) (fresh, resent ratio) {
	var freshIDs, resentIDs []uint64
	for end, i := f.now.Add(d), 0; f.now.Before(end); i++ {
		for _, name := range f.names {
			n := f.nodes[name]
			if !n.up || f.now.Before(n.pausedUntil) || n.leaving || n.claimer.Drained() {
				continue
			}
			freshIDs = append(freshIDs, f.claim(name, fmt.Sprint(tag, name, i)))
			resentIDs = append(resentIDs, f.claim(name, old[f.rng.IntN(len(old))]))
		}
		f.run(100 * time.Millisecond)
	}
	f.run(2 * time.Second)
	count := func(ids []uint64, want claimer.Result) (r ratio) {
		for _, id := range ids {
			r.total++
			if f.verdicts[id].Result == want {
				r.matched++
			}
		}

		return r
	}

	return count(freshIDs, claimer.Won), count(resentIDs, claimer.Answered)
}

// TestShares checks the availability requirement: from 1 s after the detection
// of one lost node, 99% of new keys run. It also measures the effect of each
// single fault in a fleet of eight; see docs/decisions/at-most-once.md.
func TestShares(t *testing.T) {
	c := qt.New(t)
	for _, ft := range faults {
		var during, after, doneDuring, doneAfter ratio
		add := func(sum *ratio, s ratio) { sum.total += s.total; sum.matched += s.matched }
		for seed := range uint64(20) {
			f := newFleet(seed, 8)
			f.abandonRate = 0
			old := make([]string, 0, 40)
			for i := range 40 {
				old = append(old, fmt.Sprint("old", i))
				f.claim(f.names[i%8], old[i])
			}
			f.run(2 * time.Second)
			ft.do(f, f.names[f.rng.IntN(8)])
			fresh, resent := f.sendRequests(2*time.Second, old, "a")
			add(&during, fresh)
			add(&doneDuring, resent)
			fresh, resent = f.sendRequests(2*time.Second, old, "b")
			add(&after, fresh)
			add(&doneAfter, resent)
			c.Check(f.failure, qt.Equals, "", qt.Commentf("%s, seed %d", ft.name, seed))
		}
		c.Logf("%-15s new: first 2 s %v, later %v; resent: first 2 s %v, later %v", ft.name, during, after, doneDuring, doneAfter)
		if ft.name == "crash" {
			c.Check(float64(after.matched) >= 0.99*float64(after.total), qt.IsTrue, qt.Commentf("%v of new keys", after))
		}
	}
}

// TestDoubleLoss measures how many keys are blocked after two hosts were lost at
// once, and checks that these keys had both hosts as witnesses.
func TestDoubleLoss(t *testing.T) {
	c := qt.New(t)
	var sum ratio
	for seed := range uint64(20) {
		f := newFleet(seed, 8)
		f.abandonRate = 0
		f.crash("h1")
		f.crash("h5")
		f.run(2 * time.Second)
		f.boot("h1")
		f.boot("h5")
		f.run(8 * time.Second)
		for i := range 200 {
			id := f.claim("h0", fmt.Sprint("key", i))
			f.run(3 * tick)
			sum.total++
			if f.verdicts[id].Result == claimer.Won {
				sum.matched++
			} else {
				s := claimer.KeySubject("account", fmt.Sprint("key", i))
				w := f.nodes["h0"].detector.Witnesses(s)
				c.Check(f.onBothLost(w), qt.IsTrue, qt.Commentf("%v blocked by the loss of h1 and h5", w))
			}
		}
	}
	c.Logf("new keys after two hosts restarted at once: %v", sum)
}

func (f *fleet) onBothLost(w []string) bool {
	n := 0
	for _, h := range w {
		if h == "h1" || h == "h5" {
			n++
		}
	}

	return n == 2
}
