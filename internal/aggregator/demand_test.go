package aggregator

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"runtime"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"snipedyke/pkg/encoder"
)

// runDemands advances the time by d. Each node exchanges demands once per second, at
// different times.
func (f *fleet) runDemands(d time.Duration, own func(node int) []encoder.Demand) {
	for end := f.now.Add(d); f.now.Before(end); {
		f.run(Interval)
		phase := int(f.now.Sub(start) / Interval)
		for i, addr := range f.order {
			if n := f.nodes[addr]; n != nil && (phase+i)%int(DemandInterval/Interval) == 0 {
				f.deliver(addr, n.Demand(f.now, own(i)))
			}
		}
	}
}

// demandsOf returns the demands of a node in the tests: each account asks the node for
// its own number of units, of which half are admitted.
func demandsOf(node int) []encoder.Demand {
	list := make([]encoder.Demand, 0, 25)
	list = append(list, encoder.Demand{Group: 2, Account: 9, Offered: 2 * (node + 1), Admitted: node + 1})
	for a := range 24 {
		list = append(list, encoder.Demand{Group: 1, Account: uint32(a + 1), Offered: 200 + 2*a, Admitted: 100 + a})
	}

	return list
}

// fleetSum returns what all nodes ask for, the largest first.
func (f *fleet) fleetSum() []encoder.Demand {
	var lists [][]encoder.Demand
	for i, addr := range f.order {
		if f.nodes[addr] != nil {
			lists = append(lists, demandsOf(i))
		}
	}

	return sumDemands(lists...)
}

func (f *fleet) checkDemands(c *qt.C, want []encoder.Demand, comment string) {
	for i, addr := range f.order {
		if n := f.nodes[addr]; n != nil {
			got, ok := n.FleetDemand(f.now)
			c.Assert(ok, qt.IsTrue, qt.Commentf("%s: node %d", comment, i))
			c.Assert(got, qt.DeepEquals, want, qt.Commentf("%s: node %d", comment, i))
		}
	}
}

// Guards against nodes that divide capacity by different sums, and against demands that
// are counted twice or not at all, also after a speaker has stopped.
func TestAllNodesLearnTheDemandsOfTheFleet(t *testing.T) {
	c := qt.New(t)
	f := newFleet(12, 3)
	f.runDemands(4*time.Second, demandsOf)
	f.checkDemands(c, f.fleetSum(), "started")
	f.nodes[f.order[0]] = nil
	// The deputy takes over after nodeTimeout. Its sum is complete a second later and
	// reaches the members of other data centres after one more second.
	f.runDemands(nodeTimeout+2*DemandInterval+Interval, demandsOf)
	f.checkDemands(c, f.fleetSum(), "a speaker stopped")
}

// Guards against a member that goes on to divide the capacity of a fleet it is cut off
// from, against a fleet that goes on to count that member, and against a node that takes
// itself for a fleet.
func TestCutOffMemberKnowsNoFleet(t *testing.T) {
	c := qt.New(t)
	f := newFleet(9, 3)
	f.runDemands(4*time.Second, demandsOf)
	last, first := f.order[8], f.order[0]
	f.blocked = func(a, b netip.Addr) bool { return a == last || b == last }
	f.runDemands(2*time.Second, demandsOf)
	_, ok := f.nodes[last].FleetDemand(f.now)
	c.Check(ok, qt.IsTrue, qt.Commentf("the last message is less than 3 s old"))
	f.runDemands(time.Second, demandsOf)
	_, ok = f.nodes[last].FleetDemand(f.now)
	c.Check(ok, qt.IsFalse)
	f.runDemands(DemandInterval, demandsOf)
	rest, ok := f.nodes[first].FleetDemand(f.now)
	c.Check(ok, qt.IsTrue)
	want := make([][]encoder.Demand, 0, 8)
	for i := range 8 {
		want = append(want, demandsOf(i))
	}
	c.Check(rest, qt.DeepEquals, sumDemands(want...))
	f.blocked = func(netip.Addr, netip.Addr) bool { return false }
	f.runDemands(4*time.Second, demandsOf)
	f.checkDemands(c, f.fleetSum(), "healed")
}

// Guards against old sums of a speaker that sends loads and no demands, such as one with
// an earlier version.
func TestDemandsOfASilentSpeakerExpire(t *testing.T) {
	c := qt.New(t)
	f := newFleet(2, 1)
	f.runDemands(4*time.Second, demandsOf)
	f.run(demandTimeout)
	_, ok := f.nodes[f.order[1]].FleetDemand(f.now)
	c.Check(ok, qt.IsFalse)
}

// Guards against messages that grow with the number of accounts, against demand that is
// lost when accounts are left out or rates exceed their field, and against a large
// account that is left out.
func TestDemandsOfManyAccountsAreBounded(t *testing.T) {
	c := qt.New(t)
	list := make([]encoder.Demand, 0, 12_000)
	offered, admitted := 0, 0
	for a := range 12_000 {
		d := encoder.Demand{Group: uint16(a % 2), Account: uint32(a + 1), Offered: 20 + a%7, Admitted: 10}
		if a == 5000 {
			d.Offered, d.Admitted = 3*maxRate, 1000
		}
		offered += d.Offered
		admitted += d.Admitted
		list = append(list, d)
	}
	sum := sumDemands(list)
	c.Assert(len(sum) <= maxDemands, qt.IsTrue, qt.Commentf("%d", len(sum)))
	buf, err := encoder.Append(nil, &encoder.Demands{Centre: "centre", List: sum})
	c.Assert(err, qt.IsNil)
	c.Check(len(buf) <= demandShifts*5*int(time.Second/UpdateInterval), qt.IsTrue, qt.Commentf("%d bytes", len(buf)))
	m, err := encoder.Decode(buf)
	c.Assert(err, qt.IsNil)
	large := 0
	for _, d := range m.(*encoder.Demands).List {
		offered -= d.Offered
		admitted -= d.Admitted
		if d.Account == 5001 {
			large += d.Offered
		}
	}
	c.Check(offered, qt.Equals, 0)
	c.Check(admitted, qt.Equals, 0)
	c.Check(large, qt.Equals, 3*maxRate)
	c.Check(sumDemands(m.(*encoder.Demands).List), qt.DeepEquals, sum, qt.Commentf("a node that passes the list on"))
}

// Guards against updates that stay as long as before while demands take bytes, and
// against shorter ones without demands.
func TestUpdatesLeaveRoomForDemands(t *testing.T) {
	c := qt.New(t)
	longest := func(exchange bool) int {
		f := newFleet(3, 1)
		f.run(4 * time.Second)
		speaker := f.nodes[f.order[0]]
		if exchange {
			speaker.Demand(f.now, nil)
		}
		var change encoder.LoadChange
		for e := range 100 {
			change.Shifts = append(change.Shifts, encoder.Shift{Endpoint: uint32(e), Running: 1})
		}
		longest := 0
		for _, o := range speaker.Update(f.now, change, nil) {
			longest = max(longest, len(o.Message.(*encoder.Update).Changes[0].Shifts))
		}

		return longest
	}
	c.Check(longest(false), qt.Equals, maxShifts)
	c.Check(longest(true), qt.Equals, maxShifts-demandShifts)
}

// BenchmarkDemands measures the bytes of demands that a node sends per second, the most
// that a speaker sends, the memory of a node on average and the processor time of a
// node.
func BenchmarkDemands(b *testing.B) {
	for _, size := range []struct{ nodes, centres int }{{83, 3}, {330, 9}} {
		for _, accounts := range []int{24, 12_000} {
			b.Run(fmt.Sprintf("nodes=%d/accounts=%d", size.nodes, accounts), func(b *testing.B) {
				f := newFleet(size.nodes, size.centres)
				f.run(4 * time.Second)
				own := make([][]encoder.Demand, size.nodes)
				r := rand.New(rand.NewPCG(1, 2))
				for i := range own {
					for range min(accounts, 200) {
						own[i] = append(own[i], encoder.Demand{Group: 1, Account: uint32(1 + r.IntN(accounts)), Offered: 1 + r.IntN(100), Admitted: 1})
					}
				}
				var before, after runtime.MemStats
				runtime.GC()
				runtime.ReadMemStats(&before)
				total, most := 0, 0
				b.ResetTimer()
				for range b.N {
					total, most = 0, 0
					for i, addr := range f.order {
						out, sent := f.nodes[addr].Demand(f.now, own[i]), f.bytes
						f.deliver(addr, out)
						total += f.bytes - sent
						most = max(most, f.bytes-sent)
					}
				}
				b.StopTimer()
				runtime.GC()
				runtime.ReadMemStats(&after)
				b.ReportMetric(float64(total)/float64(size.nodes), "B/node/s")
				b.ReportMetric(float64(most), "B/s-of-speaker")
				b.ReportMetric(float64(int64(after.HeapAlloc)-int64(before.HeapAlloc))/float64(size.nodes), "B-memory/node")
				b.ReportMetric(b.Elapsed().Seconds()/float64(b.N)/float64(size.nodes)*100, "%core/node")
				runtime.KeepAlive(own)
				runtime.KeepAlive(f)
			})
		}
	}
}
