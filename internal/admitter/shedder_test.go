package admitter

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against requests of an urgent account that yield to those of a less
// urgent one, and against yielding to requests that are no more urgent.
func TestYieldsOnlyToMoreUrgentRequests(t *testing.T) {
	c := qt.New(t)
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	var s Shedder
	demand := Demand{Target: time.Second}
	draft, chat := Class{Route: 1}, Class{Route: 0}
	c.Check(yields(&s, now, draft), qt.IsFalse)
	s.RecordRefusal(now, draft, demand)
	c.Check(yields(&s, now, chat), qt.IsFalse)
	c.Check(yields(&s, now, draft), qt.IsFalse)
	s.RecordRefusal(now, Class{Route: 0, Account: 1}, demand)
	c.Check(yields(&s, now, draft), qt.IsFalse, qt.Commentf("the account of the refused request is less urgent"))
	c.Check(yields(&s, now, Class{Route: 1, Account: 1}), qt.IsTrue)
	c.Check(yields(&s, now.Add(yieldTime), Class{Route: 1, Account: 1}), qt.IsFalse)
}

func yields(s *Shedder, now time.Time, c Class) bool {
	_, found := s.Reserved(now, c)

	return found
}

// Guards against room that suffices for one of the refused requests only.
func TestStrictestDemandIsReserved(t *testing.T) {
	c := qt.New(t)
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	for _, gaps := range [][2]time.Duration{{0, 3}, {3, 0}, {3, 5}, {5, 3}} {
		var s Shedder
		s.RecordRefusal(now, Class{Route: 0}, Demand{Target: 10, Gap: gaps[0]})
		s.RecordRefusal(now, Class{Route: 1}, Demand{Target: 8, Gap: gaps[1]})
		demand, found := s.Reserved(now, Class{Route: 2})
		c.Check(found, qt.IsTrue)
		c.Check(demand, qt.Equals, Demand{Target: 8, Gap: 3})
	}
}
