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
			now := start.Add(time.Duration(i) * Interval)
			for _, o := range member.Tick(now, encoder.LoadSum{}, test.member) {
				for _, answer := range speaker.Receive(now, high, o.Message) {
					member.Receive(now, low, answer.Message)
				}
			}
		}
		view := View{Era: 2, Revision: 9, Confirmed: start, Since: func(uint64) ([]encoder.Item, bool) {
			return []encoder.Item{{Key: "a", Revision: 9}}, true
		}}
		for _, o := range speaker.Tick(start.Add(Interval), encoder.LoadSum{}, view) {
			member.Receive(start.Add(Interval), low, o.Message)
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

// restartFleet is a speaker, whose clock is the reference, and a member that restarts.
type restartFleet struct {
	speaker, member *Aggregator
	now             time.Time
	// ahead is how far the member's clock is ahead of the speaker's.
	ahead time.Duration
}

// tick passes an interval. It returns the time up to which the speaker's view, which was
// complete at start, is complete for the member, and reports whether it was relayed.
func (f *restartFleet) tick() (confirmed time.Time, relayed bool) {
	low, high := netip.MustParseAddr("10.0.0.1"), netip.MustParseAddr("10.0.0.2")
	f.now = f.now.Add(Interval)
	for _, o := range f.member.Tick(f.now.Add(f.ahead), encoder.LoadSum{}, View{Era: 1, Revision: 9}) {
		for _, answer := range f.speaker.Receive(f.now, high, o.Message) {
			f.member.Receive(f.now.Add(f.ahead), low, answer.Message)
		}
	}
	view := View{Era: 1, Revision: 9, Confirmed: start, Since: func(uint64) ([]encoder.Item, bool) { return nil, true }}
	for _, o := range f.speaker.Tick(f.now, encoder.LoadSum{}, view) {
		f.member.Receive(f.now.Add(f.ahead), low, o.Message)
	}
	r, relayed := f.member.Relayed()

	return r.Confirmed.Add(-f.ahead), relayed
}

// Guards against a restarted node that dates the relayed view by the clock of its former
// process, to which the speaker still answers. If the time of day has stepped back
// meanwhile, the view counts as complete in the future, and revoked keys are accepted.
func TestRestartedNodeDatesViewsByItsOwnClock(t *testing.T) {
	low, high := netip.MustParseAddr("10.0.0.1"), netip.MustParseAddr("10.0.0.2")
	for _, step := range []time.Duration{-2400 * time.Millisecond, -100 * time.Millisecond, 0, 2400 * time.Millisecond} {
		for _, offset := range []uint64{0, 1, 1 << 63, 1<<64 - 1} {
			c := qt.New(t)
			newMember := func(offset uint64) *Aggregator {
				return New(Options{Self: high, Centre: "k", Seeds: []netip.Addr{low}, StampOffset: offset})
			}
			f := &restartFleet{speaker: New(Options{Self: low, Centre: "k"}), member: newMember(7), now: start}
			for range 4 {
				f.tick()
			}
			_, relayed := f.tick()
			c.Assert(relayed, qt.IsTrue)
			f.member, f.ahead = newMember(offset), step
			for range 8 {
				var at time.Time
				if at, relayed = f.tick(); relayed {
					c.Check(at.After(start), qt.IsFalse, qt.Commentf("step %v, offset %d: %v too late", step, offset, at.Sub(start)))
				}
			}
			c.Check(relayed, qt.IsTrue, qt.Commentf("the view is relayed again"))
		}
	}
}
