package aggregator

import (
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"snipedyke/pkg/encoder"
)

// Guards against items that are sent to a member of another era, whose revisions
// say nothing about what it has.
func TestItemsAreSentWithinOneEra(t *testing.T) {
	c := qt.New(t)
	low, high := netip.MustParseAddr("10.0.0.1"), netip.MustParseAddr("10.0.0.2")
	for _, test := range []struct {
		member View
		gap    bool
	}{{View{Era: 2, Revision: 4}, false}, {View{Era: 1, Revision: 4}, true}, {View{Era: 3, Revision: 4}, true}, {View{Era: 1, Revision: 12}, true}} {
		speaker := New(Options{Self: low, Centre: "k"})
		member := New(Options{Self: high, Centre: "k", Seeds: []netip.Addr{low}})
		for i := range 2 {
			for _, o := range member.Tick(start.Add(time.Duration(i)*Interval), encoder.LoadSum{}, test.member) {
				for _, answer := range speaker.Receive(start, high, o.Message) {
					member.Receive(start, low, answer.Message)
				}
			}
		}
		view := View{Era: 2, Revision: 9, Confirmed: start, Since: func(uint64) ([]encoder.Item, bool) {
			return []encoder.Item{{Key: "a", Revision: 9}}, true
		}}
		for _, o := range speaker.Tick(start.Add(Interval), encoder.LoadSum{}, view) {
			member.Receive(start, low, o.Message)
		}
		relayed, ok := member.Relayed()
		c.Assert(ok, qt.IsTrue)
		c.Check(relayed.Era, qt.Equals, uint64(2))
		c.Check(relayed.Revision, qt.Equals, uint64(9))
		c.Check(relayed.Gap, qt.Equals, test.gap)
		c.Check(len(relayed.Items) == 0, qt.Equals, test.gap)
	}
}

// Guards against a speaker or a member that does not learn of the other's newer
// routing table.
func TestTableStatesAreExchanged(t *testing.T) {
	c := qt.New(t)
	low, high := netip.MustParseAddr("10.0.0.1"), netip.MustParseAddr("10.0.0.2")
	speaker := New(Options{Self: low, Centre: "k"})
	member := New(Options{Self: high, Centre: "k", Seeds: []netip.Addr{low}})
	for i := range 2 {
		for _, o := range member.Tick(start.Add(time.Duration(i)*Interval), encoder.LoadSum{}, View{Era: 1, Revision: 9, Table: 8}) {
			for _, answer := range speaker.Receive(start, high, o.Message) {
				member.Receive(start, low, answer.Message)
			}
		}
	}
	c.Check(speaker.TableStates(), qt.DeepEquals, []TableState{{1, 9, 8}})
	c.Check(speaker.TableStates(), qt.HasLen, 0)
	view := View{Era: 2, Revision: 4, Table: 7, Confirmed: start, Since: func(uint64) ([]encoder.Item, bool) { return nil, true }}
	for _, o := range speaker.Tick(start.Add(Interval), encoder.LoadSum{}, view) {
		member.Receive(start, low, o.Message)
	}
	c.Check(member.TableStates(), qt.DeepEquals, []TableState{{2, 4, 7}})
}
