package sharer

import (
	"fmt"
	"math"
	"runtime"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"snipedyke/pkg/encoder"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func offers(account uint32, offered, admitted int) encoder.Demand {
	return encoder.Demand{Group: 1, Account: account, Offered: offered, Admitted: admitted}
}

// Guards against a common level at which shares do not add up to the capacity, against
// small accounts that do not get what they ask for, and against shares below 1 where
// nothing is refused.
func TestSharesAreMaxMinFair(t *testing.T) {
	c := qt.New(t)
	for _, test := range []struct {
		list []encoder.Demand
		want []float64
	}{
		// 0.97 of 200 leaves 194 - 14 - 30 = 150 for two accounts.
		{[]encoder.Demand{offers(1, 30, 30), offers(2, 100, 60), offers(3, 300, 96), offers(0, 14, 14)}, []float64{1, 0.75, 0.25}},
		// Small accounts take more than there is. They count as 10 like the smallest.
		{[]encoder.Demand{offers(1, 20, 10), offers(2, 80, 10), offers(0, 200, 80)}, []float64{0.97 * 100 / 12 / 20, 0.97 * 100 / 12 / 80}},
		{[]encoder.Demand{offers(1, 20, 20), offers(2, 80, 79)}, []float64{1, 1}},
		{[]encoder.Demand{offers(1, 20, 0), offers(2, 80, 0)}, []float64{1, 1}},
		// The same key twice.
		{[]encoder.Demand{offers(1, 50, 10), offers(1, 50, 90), offers(2, 100, 0)}, []float64{0.485, 0.485}},
	} {
		s := New()
		s.SetFleet(start, append(test.list, encoder.Demand{Group: 2, Account: 1, Offered: 1000, Admitted: 1000}))
		for i, want := range test.want {
			got := s.Share(start, Key{1, uint32(i + 1)})
			c.Check(math.Abs(got-want) < 1e-9, qt.IsTrue, qt.Commentf("%v: account %d has %f, not %f", test.list, i+1, got, want))
		}
		c.Check(s.Share(start, Key{2, 1}), qt.Equals, 1.0, qt.Commentf("another group"))
		c.Check(s.Share(start, Key{1, 77}), qt.Equals, 1.0, qt.Commentf("not listed"))
	}
}

// Guards against a node that goes on to use sums of a fleet from which it is cut off, and
// against one that does not limit accounts by its own rates then.
func TestOldSumsOfTheFleetDoNotCount(t *testing.T) {
	c := qt.New(t)
	s := New()
	s.SetFleet(start, []encoder.Demand{offers(1, 100, 50)})
	c.Check(s.Share(start.Add(fleetTimeout), Key{1, 1}) < 1, qt.IsTrue)
	now := start.Add(fleetTimeout + time.Millisecond)
	c.Check(s.Share(now, Key{1, 1}), qt.Equals, 1.0)
	s.Record(now, Key{1, 2}, 9000, false)
	s.Record(now, Key{1, 2}, 3000, true)
	s.Record(now, Key{1, 3}, 1000, false)
	s.Record(now, Key{1, 3}, 1000, true)
	now = now.Add(ownInterval)
	c.Check(math.Abs(s.Share(now, Key{1, 2})-(0.97*4000-1000)/9000) < 1e-9, qt.IsTrue)
	c.Check(s.Share(now, Key{1, 3}), qt.Equals, 1.0)
	s.SetFleet(now, []encoder.Demand{offers(3, 100, 50)})
	c.Check(s.Share(now, Key{1, 3}) < 1, qt.IsTrue)
	s.SetFleet(now, nil)
	c.Check(s.Share(now.Add(ownInterval), Key{1, 3}), qt.Equals, 1.0, qt.Commentf("no message has arrived"))
}

// Guards against memory that grows with the number of accounts or groups, against
// accounts that are never dropped, and against demand that is lost when accounts are
// merged or rates rounded.
func TestManyAccountsAreBounded(t *testing.T) {
	c := qt.New(t)
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	s := New()
	const accounts, tokens = 12_000, 700
	for a := range accounts {
		s.Record(start, Key{1, uint32(a + 1)}, tokens, false)
		s.Record(start, Key{1, uint32(a + 1)}, tokens, true)
	}
	s.Record(start, Key{1, 50_000}, 1e6, false)
	for g := range 1000 {
		s.Record(start, Key{uint16(g + 2), 1}, math.NaN(), false)
		s.Record(start, Key{uint16(g + 2), 1}, 1, false)
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	t.Logf("%d accounts: %d kept, %d KB", accounts, len(s.own), (after.HeapAlloc-before.HeapAlloc)>>10)
	c.Check(len(s.own) <= maxAccounts+2*maxGroups, qt.IsTrue, qt.Commentf("%d", len(s.own)))
	c.Check(after.HeapAlloc-before.HeapAlloc < 1<<20, qt.IsTrue)
	s = New()
	for a := range accounts {
		s.Record(start, Key{1, uint32(a + 1)}, tokens, false)
	}
	s.Record(start, Key{1, 50_000}, 1e6, false)
	list := s.Own(start)
	c.Check(len(list) <= maxListed, qt.IsTrue)
	sum := 0
	for _, d := range list {
		sum += d.Offered * encoder.DemandUnit
	}
	c.Check(math.Abs(float64(sum)-1e6-accounts*tokens) <= encoder.DemandUnit, qt.IsTrue, qt.Commentf("%d", sum))
	c.Check(list[1].Account, qt.Equals, uint32(50_000), qt.Commentf("the largest after the sum of the others"))
	s.Record(start.Add(retention), Key{1, 5}, 1, false)
	c.Check(s.own, qt.HasLen, 1)
}

// BenchmarkSharer measures a second of a node: 100 requests, its own demands and the sums
// of the fleet.
func BenchmarkSharer(b *testing.B) {
	for _, accounts := range []int{24, 12_000} {
		for _, fleet := range []bool{true, false} {
			b.Run(fmt.Sprintf("accounts=%d/fleet=%t", accounts, fleet), func(b *testing.B) {
				s, now, id := New(), start, 0
				b.ReportAllocs()
				for range b.N {
					for range 100 {
						id++
						now = now.Add(10 * time.Millisecond)
						k := Key{1, uint32(1 + id*7919%accounts)}
						s.Record(now, k, 1000, false)
						if s.Share(now, k) > 0.5 {
							s.Record(now, k, 1000, true)
						}
					}
					if list := s.Own(now); fleet {
						s.SetFleet(now, list)
					}
				}
				b.ReportMetric(b.Elapsed().Seconds()/float64(b.N)*100, "%core")
			})
		}
	}
}
