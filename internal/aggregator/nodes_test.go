package aggregator

import (
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"snipedyke/pkg/encoder"
)

// Guards against nodes that do not know to which others they can hand requests over, or that
// hand them over to nodes that no longer run.
func TestNodesThatRunAreKnown(t *testing.T) {
	c := qt.New(t)
	f := newFleet(73, 4)
	known := func(self netip.Addr) (own, foreign int) {
		for _, n := range f.nodes[self].Nodes(f.now) {
			c.Check(f.centre[n.Address], qt.Equals, n.Centre)
			c.Check(n.Address, qt.Not(qt.Equals), self)
			if n.Centre == f.centre[self] {
				own++
			} else {
				foreign++
			}
		}

		return own, foreign
	}
	f.run(4 * time.Second)
	f.nodes[f.order[16]], f.nodes[f.order[19]] = nil, nil
	f.run(foreignTimeout + Interval)
	for i, self := range f.order {
		if f.nodes[self] == nil {
			continue
		}
		// Data centre 0 has 19 nodes, and the others have 18 each. One of 0 and of 3 has ended.
		wantOwn, all := 17, 71-18
		if i%4 == 3 {
			wantOwn, all = 16, 71-17
		}
		own, foreign := known(self)
		c.Check(own, qt.Equals, wantOwn, qt.Commentf("node %d", i))
		c.Check(foreign >= 6, qt.IsTrue, qt.Commentf("node %d knows %d nodes of other data centres", i, foreign))
		f.deliver(self, f.nodes[self].AskNodes())
		_, foreign = known(self)
		c.Check(foreign, qt.Equals, all, qt.Commentf("node %d", i))
	}
	f.run(listedTimeout + Interval)
	_, foreign := known(f.order[70])
	c.Check(foreign < 53, qt.IsTrue, qt.Commentf("the replies have expired"))
}

// Guards against a list of nodes that its receiver rejects, or that always lacks the same ones.
func TestLongListOfNodesIsDivided(t *testing.T) {
	c := qt.New(t)
	self := netip.MustParseAddr("10.1.0.1")
	a := New(Options{Self: self, Centre: "a"})
	for i := range 2 * encoder.MaxNodes {
		a.Receive(start, netip.AddrFrom4([4]byte{10, 1, 1 + byte(i/250), byte(i % 250)}), &encoder.Hello{Centre: "a"})
	}
	listed := map[uint32]bool{}
	for i := range 250 {
		list := a.nodeList(start, netip.AddrFrom4([4]byte{10, 2, 0, byte(i)}))
		c.Assert(list.Addresses, qt.HasLen, encoder.MaxNodes)
		for _, n := range list.Addresses {
			listed[n] = true
		}
	}
	c.Check(len(listed) > encoder.MaxNodes, qt.IsTrue)
}
