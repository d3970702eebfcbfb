package admitter

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against an engine that is given more to read than it can read within
// the target, or within the pause that its streams bear.
func TestAdmitBoundsUnreadTokens(t *testing.T) {
	c := qt.New(t)
	var r Reader
	const target, gap = 600 * time.Millisecond, 150 * time.Millisecond
	c.Check(r.Admit(1e9, target, gap), qt.IsTrue, qt.Commentf("nothing is known yet"))
	r.Note(3000, 100*time.Millisecond)
	// The engine reads 30 tokens in a millisecond.
	c.Check(r.Admit(30*600*targetShare, target, 0), qt.IsTrue)
	c.Check(r.Admit(30*600*targetShare+30, target, 0), qt.IsFalse)
	c.Check(r.Admit(30*150*gapShare, target, gap), qt.IsTrue)
	c.Check(r.Admit(30*150*gapShare+30, target, gap), qt.IsFalse)
	// What would certainly be late is never taken on.
	c.Check(r.Admit(30*600, target, 0), qt.IsFalse)
}

// Guards against one slow first token that makes the node refuse what engines
// could take, and against a speed that never falls.
func TestSpeedFollowsSamples(t *testing.T) {
	c := qt.New(t)
	var r Reader
	r.Note(100, time.Second)
	c.Check(r.Wait(1000), qt.Equals, time.Duration(0), qt.Commentf("a short prompt shows nothing"))
	r.Note(3000, 100*time.Millisecond)
	c.Check(r.Wait(3000), qt.Equals, 100*time.Millisecond)
	r.Note(3000, time.Second)
	c.Check(r.Wait(3000) < 110*time.Millisecond, qt.IsTrue)
	for range 200 {
		r.Note(3000, time.Second)
	}
	c.Check(r.Wait(3000) > 900*time.Millisecond, qt.IsTrue)
}

// Guards against urgent requests that wait at full engines until their callers
// have left (a calm day with 16 slots: 143 of 5,452 requests).
func TestFullEngineTakesOnlyWhatItStartsInTime(t *testing.T) {
	c := qt.New(t)
	var r Reader
	r.Stay(2 * time.Second)
	// A slot is free every 125 ms.
	c.Check(r.HasSlot(15, 16, 500*time.Millisecond), qt.IsTrue)
	c.Check(r.HasSlot(17, 16, 500*time.Millisecond), qt.IsTrue)
	c.Check(r.HasSlot(18, 16, 500*time.Millisecond), qt.IsFalse)
	c.Check(r.HasSlot(99, 0, 500*time.Millisecond), qt.IsTrue, qt.Commentf("no limit is known"))
}
