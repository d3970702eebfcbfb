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
	draft, chat := Class{Route: 1}, Class{Route: 0}
	c.Check(s.Yields(now, draft), qt.IsFalse)
	s.RecordRefusal(now, draft)
	c.Check(s.Yields(now, chat), qt.IsFalse)
	c.Check(s.Yields(now, draft), qt.IsFalse)
	s.RecordRefusal(now, Class{Route: 0, Account: 1})
	c.Check(s.Yields(now, draft), qt.IsFalse, qt.Commentf("the account of the refused request is less urgent"))
	c.Check(s.Yields(now, Class{Route: 1, Account: 1}), qt.IsTrue)
	c.Check(s.Yields(now.Add(yieldTime), Class{Route: 1, Account: 1}), qt.IsFalse)
}
