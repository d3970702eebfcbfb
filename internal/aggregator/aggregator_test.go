package aggregator

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"snipedyke/pkg/encoder"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// fleet runs aggregators whose messages are delivered without delay.
type fleet struct {
	nodes map[netip.Addr]*Aggregator
	order []netip.Addr
	now   time.Time
	rng   *rand.Rand
	// loss is the fraction of messages that are lost.
	loss float64
	// blocked reports whether messages between two nodes are dropped.
	blocked func(a, b netip.Addr) bool
	// messages and bytes count all messages, foreign and foreignBytes those
	// between data centres.
	messages, bytes       int
	foreign, foreignBytes int
	// loads holds the load of each node. If it is nil, node i runs i+1 requests
	// at endpoint 7.
	loads  [][]encoder.Load
	centre map[netip.Addr]string
}

// newFleet returns a fleet of n nodes, assigned to the data centres in turn.
// The first three nodes are the seeds.
func newFleet(n, centres int) *fleet {
	f := &fleet{
		nodes: map[netip.Addr]*Aggregator{}, now: start, rng: rand.New(rand.NewPCG(1, 2)),
		blocked: func(netip.Addr, netip.Addr) bool { return false }, centre: map[netip.Addr]string{},
	}
	for i := range n {
		addr := netip.AddrFrom4([4]byte{10, byte(1 + i%centres), byte(i / 250), byte(i % 250)})
		f.order = append(f.order, addr)
		f.centre[addr] = fmt.Sprint("centre-", i%centres)
	}
	for _, addr := range f.order {
		f.startNode(addr)
	}

	return f
}

func (f *fleet) startNode(addr netip.Addr) {
	f.nodes[addr] = New(Options{Self: addr, Centre: f.centre[addr], Seeds: f.order[:min(3, len(f.order))]})
}

func (f *fleet) deliver(from netip.Addr, out []Output) {
	for _, o := range out {
		f.messages++
		if f.centre[from] != f.centre[o.To] {
			f.foreign++
		}
		buf, err := encoder.Append(nil, o.Message)
		if err != nil {
			panic(err)
		}
		f.bytes += len(buf)
		if f.centre[from] != f.centre[o.To] {
			f.foreignBytes += len(buf)
		}
		to := f.nodes[o.To]
		if to == nil || f.blocked(from, o.To) || f.rng.Float64() < f.loss {
			continue
		}
		m, err := encoder.Decode(buf)
		if err != nil {
			panic(err)
		}
		f.deliver(o.To, to.Receive(f.now, from, m))
	}
}

// run advances the time by d, one tick of each node per interval.
func (f *fleet) run(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); {
		f.now = f.now.Add(Interval)
		for i, addr := range f.order {
			n := f.nodes[addr]
			if n == nil {
				continue
			}
			own := encoder.LoadSum{Long: 1, Loads: []encoder.Load{{Endpoint: 7, Running: uint16(i + 1)}}}
			if f.loads != nil {
				own.Loads = f.loads[i]
			}
			f.deliver(addr, n.Tick(f.now, own, View{}))
		}
	}
}

// check fails the test unless each node knows the load of all other running
// nodes.
func (f *fleet) check(c *qt.C, comment string) {
	total, live := 0, 0
	for i, addr := range f.order {
		if f.nodes[addr] != nil {
			total += i + 1
			live++
		}
	}
	for i, addr := range f.order {
		n := f.nodes[addr]
		if n == nil {
			continue
		}
		others := n.Others(f.now)
		c.Assert(int(others.Nodes), qt.Equals, live-1, qt.Commentf("%s: node %d", comment, i))
		c.Assert(others.Loads, qt.HasLen, 1, qt.Commentf("%s: node %d", comment, i))
		c.Assert(int(others.Loads[0].Running), qt.Equals, total-i-1, qt.Commentf("%s: node %d", comment, i))
	}
}

// Guards against nodes that do not discover each other, or that count a load
// twice or not at all.
func TestEachNodeKnowsTheLoadOfAllOthers(t *testing.T) {
	c := qt.New(t)
	for _, size := range []struct{ nodes, centres int }{{1, 1}, {2, 1}, {6, 4}, {8, 3}, {73, 4}} {
		f := newFleet(size.nodes, size.centres)
		f.run(4 * time.Second)
		if size.nodes > 1 {
			f.check(c, fmt.Sprint(size))
		}
	}
}

// Guards against a data centre that gets no new speaker when its speaker
// stops, and against stopped nodes that are still counted.
func TestSpeakersAreReplaced(t *testing.T) {
	c := qt.New(t)
	f := newFleet(12, 3)
	f.run(4 * time.Second)
	for _, i := range []int{0, 1, 2} {
		f.nodes[f.order[i]] = nil
	}
	f.run(4 * time.Second)
	f.check(c, "all speakers and seeds stopped")
	for _, i := range []int{0, 1, 2} {
		f.startNode(f.order[i])
	}
	f.run(6 * time.Second)
	f.check(c, "speakers and seeds restarted")
}

// Guards against nodes that do not discover each other again after all
// processes have restarted at once.
func TestFleetReformsAfterFullRestart(t *testing.T) {
	c := qt.New(t)
	f := newFleet(8, 3)
	f.run(4 * time.Second)
	for _, addr := range f.order {
		f.startNode(addr)
	}
	f.run(4 * time.Second)
	f.check(c, "all restarted")
}

// Guards against a fleet that stays split after a network partition ends.
func TestFleetRejoinsAfterPartition(t *testing.T) {
	c := qt.New(t)
	f := newFleet(9, 3)
	f.run(4 * time.Second)
	f.blocked = func(a, b netip.Addr) bool { return (f.centre[a] == "centre-0") != (f.centre[b] == "centre-0") }
	f.run(10 * time.Second)
	c.Check(int(f.nodes[f.order[0]].Others(f.now).Nodes), qt.Equals, 2)
	c.Check(int(f.nodes[f.order[1]].Others(f.now).Nodes), qt.Equals, 5)
	c.Check(f.nodes[f.order[0]].Centres(f.now), qt.HasLen, 0)
	c.Check(f.nodes[f.order[1]].Centres(f.now), qt.DeepEquals, []string{"centre-2"})
	f.blocked = func(netip.Addr, netip.Addr) bool { return false }
	f.run(6 * time.Second)
	f.check(c, "healed")
	c.Check(f.nodes[f.order[0]].Centres(f.now), qt.DeepEquals, []string{"centre-1", "centre-2"})
}

// Guards against sums that stay wrong after 5% of the messages were lost.
func TestFleetRecoversFromMessageLoss(t *testing.T) {
	c := qt.New(t)
	f := newFleet(12, 3)
	f.loss = 0.05
	f.run(20 * time.Second)
	f.loss = 0
	f.run(2 * time.Second)
	f.check(c, "after losses")
}

// Guards against traffic that grows with the square of the fleet's size.
func TestMessagesGrowWithTheFleet(t *testing.T) {
	c := qt.New(t)
	perNode := func(nodes, centres int) (all, foreign float64) {
		f := newFleet(nodes, centres)
		f.run(5 * time.Second)
		f.messages, f.foreign = 0, 0
		f.run(10 * time.Second)

		return float64(f.messages) / float64(nodes) / 10, float64(f.foreign) / float64(nodes) / 10
	}
	small, _ := perNode(12, 4)
	large, foreign := perNode(330, 9)
	c.Check(large < 2*small, qt.IsTrue, qt.Commentf("%.1f and %.1f messages per node and second", small, large))
	c.Check(foreign < 4, qt.IsTrue, qt.Commentf("%.1f between data centres", foreign))
	t.Logf("messages per node and second: 12 nodes %.1f, 330 nodes %.1f, of these between data centres %.1f", small, large, foreign)
}

// Guards against unsigned counters that wrap around when a node's report is
// newer than the sum it is subtracted from.
func TestSubtractDoesNotWrap(t *testing.T) {
	c := qt.New(t)
	rest := subtract(
		encoder.LoadSum{Nodes: 1, Long: 1, Loads: []encoder.Load{{Endpoint: 1, Running: 2, PrefillTokens: 5}, {Endpoint: 3, Running: 1}}},
		encoder.LoadSum{Nodes: 2, Long: 2, Loads: []encoder.Load{{Endpoint: 1, Running: 1, PrefillTokens: 9}, {Endpoint: 2, Running: 4}, {Endpoint: 3, Running: 1}}},
	)
	c.Check(rest.Nodes, qt.Equals, uint16(0))
	c.Check(rest.Long, qt.Equals, uint32(0))
	c.Check(rest.Loads, qt.DeepEquals, []encoder.Load{{Endpoint: 1, Running: 1}})
}

// Guards against a relayed view that looks newer than it is. Its age must be
// derived from the receiver's clock alone, however long a message was in
// transit.
func TestRelayedViewUsesTheReceiversClock(t *testing.T) {
	c := qt.New(t)
	low, high := netip.MustParseAddr("10.0.0.1"), netip.MustParseAddr("10.0.0.2")
	speaker := New(Options{Self: low, Centre: "k"})
	member := New(Options{Self: high, Centre: "k", Seeds: []netip.Addr{low}})
	// The two clocks differ by an hour.
	other := func(t time.Time) time.Time { return t.Add(time.Hour) }
	now := start
	for _, o := range member.Tick(other(now), encoder.LoadSum{}, View{}) {
		for _, answer := range speaker.Receive(now, high, o.Message) {
			member.Receive(other(now), low, answer.Message)
		}
	}
	reported := other(now)
	for _, o := range member.Tick(reported, encoder.LoadSum{}, View{Revision: 4}) {
		speaker.Receive(now, high, o.Message)
	}
	asked := uint64(0)
	view := View{Revision: 9, Confirmed: now.Add(-300 * time.Millisecond), Since: func(r uint64) ([]encoder.Item, bool) {
		asked = r

		return []encoder.Item{{Key: "a", Revision: 9}}, true
	}}
	now = now.Add(200 * time.Millisecond)
	for _, o := range speaker.Tick(now, encoder.LoadSum{}, view) {
		// The message is delayed by 5 s.
		member.Receive(other(now.Add(5*time.Second)), low, o.Message)
	}
	relayed, ok := member.Relayed()
	c.Assert(ok, qt.IsTrue)
	c.Check(asked, qt.Equals, uint64(4))
	c.Check(relayed.Revision, qt.Equals, uint64(9))
	c.Check(relayed.Items, qt.HasLen, 1)
	c.Check(relayed.Confirmed.Equal(reported.Add(-300*time.Millisecond)), qt.IsTrue, qt.Commentf("%s", relayed.Confirmed.Sub(reported)))
}
