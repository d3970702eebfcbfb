package aggregator

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"snipedyke/pkg/encoder"
)

// updatingFleet is a fleet whose nodes start and end requests between two full
// sums and report them by updates.
type updatingFleet struct {
	*fleet
	own     []map[uint32]encoder.Load
	changed []shifts
	// observed holds what each node has observed and not yet reported.
	observed [][]encoder.Observation
	rng      *rand.Rand
	ticks    int
	// updateBytes counts the bytes of updates, including the replies to them.
	updateBytes int
}

func newUpdatingFleet(nodes, centres int) *updatingFleet {
	s := &updatingFleet{fleet: newFleet(nodes, centres), rng: rand.New(rand.NewPCG(3, 4))}
	for range nodes {
		s.own = append(s.own, map[uint32]encoder.Load{})
		s.changed = append(s.changed, shifts{})
	}
	s.loads, s.observed = make([][]encoder.Load, nodes), make([][]encoder.Observation, nodes)

	return s
}

// place starts n requests of a node at an endpoint, or ends -n if n is
// negative.
func (s *updatingFleet) place(node int, endpoint uint32, n, chunks int) {
	x := encoder.Shift{Endpoint: endpoint, Running: n, Chunks: chunks}
	s.changed[node].add(encoder.Shifts{x}, 1)
	sum := encoder.LoadSum{Loads: sortedLoads(s.own[node])}
	apply(&sum, encoder.LoadChange{Shifts: encoder.Shifts{x}})
	delete(s.own[node], endpoint)
	for _, l := range sum.Loads {
		s.own[node][l.Endpoint] = l
	}
}

func sortedLoads(m map[uint32]encoder.Load) []encoder.Load {
	var sum encoder.LoadSum
	for _, l := range m {
		at, _ := findLoad(sum, l.Endpoint)
		sum.Loads = append(sum.Loads[:at:at], append([]encoder.Load{l}, sum.Loads[at:]...)...)
	}

	return sum.Loads
}

// step advances the time by one update interval.
func (s *updatingFleet) step() {
	s.now = s.now.Add(UpdateInterval)
	s.ticks++
	for i, addr := range s.order {
		c := (&delta{shifts: s.changed[i]}).change(s.centre[addr], nil)
		s.changed[i] = shifts{}
		before := s.bytes
		s.deliver(addr, s.nodes[addr].Update(s.now, c, s.observed[i]))
		s.observed[i] = nil
		s.updateBytes += s.bytes - before
		if s.ticks%int(Interval/UpdateInterval) == 0 {
			own := encoder.LoadSum{Loads: sortedLoads(s.own[i])}
			s.deliver(addr, s.nodes[addr].Tick(s.now, own, View{}))
		}
	}
}

// othersLoad returns the load of the other nodes at an endpoint, as the node
// knows it.
func (s *updatingFleet) othersLoad(node int, endpoint uint32) encoder.Load {
	others := s.nodes[s.order[node]].Others(s.now)
	if at, ok := findLoad(others, endpoint); ok {
		return others.Loads[at]
	}

	return encoder.Load{}
}

// Guards against a burst of long prompts that several nodes send to the same
// engine because they do not know of each other's requests. With full sums
// alone, others learn of a request after up to three intervals (600 ms), six
// times as long as the engine takes to process its prompt. All nodes must know
// of it within that time (100 ms).
func TestPlacementIsKnownWithinPromptTime(t *testing.T) {
	c := qt.New(t)
	for _, size := range []struct{ nodes, centres int }{{2, 1}, {6, 4}, {8, 3}, {60, 4}} {
		f := newUpdatingFleet(size.nodes, size.centres)
		for range 4 * int(time.Second/UpdateInterval) {
			f.step()
		}
		f.place(size.nodes-1, 7, 1, 12)
		for range int(100 * time.Millisecond / UpdateInterval) {
			f.step()
		}
		for i := range size.nodes - 1 {
			l := f.othersLoad(i, 7)
			c.Check(int(l.Running), qt.Equals, 1, qt.Commentf("%v: node %d", size, i))
			c.Check(int(l.PrefillTokens), qt.Equals, 12*encoder.Chunk, qt.Commentf("%v: node %d", size, i))
		}
		c.Check(int(f.othersLoad(size.nodes-1, 7).Running), qt.Equals, 0, qt.Commentf("%v: the node's own request is not another's", size))
	}
}

// Guards against sums that drift from the actual load through updates, also
// when messages are lost: once the load stops changing, all nodes must know
// the same sums as with full sums alone.
func TestSumsStayCorrectAfterUpdates(t *testing.T) {
	c := qt.New(t)
	for _, loss := range []float64{0, 0.1} {
		f := newUpdatingFleet(24, 3)
		f.loss = loss
		running := make([]map[uint32]int, 24)
		for i := range running {
			running[i] = map[uint32]int{}
		}
		for range 400 {
			for i := range running {
				endpoint := uint32(f.rng.IntN(40))
				if running[i][endpoint] > 0 && f.rng.IntN(2) == 0 {
					running[i][endpoint]--
					f.place(i, endpoint, -1, 0)
				} else {
					running[i][endpoint]++
					f.place(i, endpoint, 1, 0)
				}
			}
			f.step()
		}
		f.loss = 0
		for range 4 * int(Interval/UpdateInterval) {
			f.step()
		}
		for i := range running {
			for endpoint := range uint32(40) {
				want := 0
				for j := range running {
					if j != i {
						want += running[j][endpoint]
					}
				}
				c.Assert(int(f.othersLoad(i, endpoint).Running), qt.Equals, want, qt.Commentf("loss %v: node %d, endpoint %d", loss, i, endpoint))
			}
		}
	}
}

// Guards against control traffic above the limit of 19 KB/s per node at the
// target size: 330 nodes in 9 data centres, 2,600 requests a second at 2,100
// endpoints.
func TestBytesAtTheTargetSize(t *testing.T) {
	c := qt.New(t)
	const nodes, centres, endpoints, rate = 330, 9, 2100, 2600
	for _, observes := range []bool{false, true} {
		all, updates := bytesAtTheTargetSize(nodes, centres, endpoints, rate, observes)
		t.Logf("observations %t: %.0f bytes per node and second, %.0f of them updates and observations", observes, all, updates)
		c.Check(all <= 19_000, qt.IsTrue, qt.Commentf("%.0f bytes per node and second", all))
	}
}

// bytesAtTheTargetSize returns the bytes that a node sends per second, and those of
// updates and observations among them. If observes is set, nodes report the time to the
// first token of each request.
func bytesAtTheTargetSize(nodes, centres, endpoints, rate int, observes bool) (all, updates float64) {
	f := newUpdatingFleet(nodes, centres)
	for range int(2 * time.Second / UpdateInterval) {
		f.step()
	}
	f.bytes, f.updateBytes = 0, 0
	const seconds = 1
	updateRate := int(time.Second / UpdateInterval)
	type run struct {
		node     int
		endpoint uint32
	}
	var running []run
	for range seconds * updateRate {
		for range rate / updateRate {
			r := run{f.rng.IntN(nodes), uint32(f.rng.IntN(endpoints)) + 1<<20}
			f.place(r.node, r.endpoint, 1, 10)
			if observes {
				f.observed[r.node] = append(f.observed[r.node], encoder.Observation{Endpoint: r.endpoint, Light: encoder.SpeedSum{Samples: 1, Log: 3}})
			}
			running = append(running, r)
			if len(running) > rate {
				old := running[0]
				running = running[1:]
				f.place(old.node, old.endpoint, -1, -10)
			}
		}
		f.step()
	}

	return float64(f.bytes) / float64(nodes) / seconds, float64(f.updateBytes) / float64(nodes) / seconds
}

// Guards against observations that come back to the node that made them, that reach a node
// twice, or that do not reach all nodes within a tenth of a second: an endpoint that fails
// each request would draw work until then.
func TestObservationsReachEachOtherNodeOnce(t *testing.T) {
	c := qt.New(t)
	f := newUpdatingFleet(24, 3)
	for range 4 * int(time.Second/UpdateInterval) {
		f.step()
	}
	for i := range f.order {
		f.observed[i] = []encoder.Observation{{Endpoint: 7, Attempts: 2, Failures: 1}}
	}
	for range int(100 * time.Millisecond / UpdateInterval) {
		f.step()
	}
	for _, addr := range f.order {
		var total encoder.Observation
		for _, o := range f.nodes[addr].Observations() {
			c.Check(o.Endpoint, qt.Equals, uint32(7))
			total.Attempts, total.Failures = total.Attempts+o.Attempts, total.Failures+o.Failures
		}
		c.Check(total, qt.Equals, encoder.Observation{Attempts: 46, Failures: 23}, qt.Commentf("node %s", addr))
	}
}

// Guards against changes that an update has no room for and that then wait
// until a full sum covers their endpoint. All nodes must know of them within
// the time that an engine takes to process a long prompt (100 ms).
func TestManyChangesAreKnownWithinPromptTime(t *testing.T) {
	c := qt.New(t)
	f := newUpdatingFleet(8, 3)
	for endpoint := range uint32(300) {
		f.place(int(endpoint)%8, endpoint, 1, 0)
	}
	for range 3 * int(time.Second/UpdateInterval) {
		f.step()
	}
	for round := range int(Interval / UpdateInterval) {
		// Each round ends at a different time between two full sums.
		for endpoint := range uint32(100) {
			f.place(7, endpoint, 1, 4)
		}
		for range 100*time.Millisecond/UpdateInterval + 1 {
			f.step()
		}
		for endpoint := range uint32(100) {
			want := round + 1
			if endpoint%8 != 0 {
				want++
			}
			c.Assert(int(f.othersLoad(0, endpoint).Running), qt.Equals, want, qt.Commentf("round %d, endpoint %d", round, endpoint))
		}
	}
}
