package admitter

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against an engine that gets more prompt tokens than it can prefill
// within the first-token target, or within the maximum gap of its streams.
func TestAdmitBoundsPendingTokens(t *testing.T) {
	c := qt.New(t)
	var r Reader
	const target, gap = 600 * time.Millisecond, 150 * time.Millisecond
	c.Check(r.Admit(1e9, target, gap), qt.IsTrue, qt.Commentf("the prefill rate is unknown"))
	r.Note(3000, 100*time.Millisecond)
	// The engine prefills 30 tokens per millisecond.
	c.Check(r.Admit(30*600*prefillShare, target, 0), qt.IsTrue)
	c.Check(r.Admit(30*600*prefillShare+30, target, 0), qt.IsFalse)
	c.Check(r.Admit(30*150*gapShare, target, gap), qt.IsTrue)
	c.Check(r.Admit(30*150*gapShare+30, target, gap), qt.IsFalse)
	// A prefill that takes the whole target is refused.
	c.Check(r.Admit(30*600, target, 0), qt.IsFalse)
}

// Guards against a single slow first token that makes the node refuse requests
// which engines could serve in time, and against an estimate that never falls.
func TestPrefillRateFollowsSamples(t *testing.T) {
	c := qt.New(t)
	var r Reader
	r.Note(100, time.Second)
	c.Check(r.Wait(1000), qt.Equals, time.Duration(0), qt.Commentf("the prompt is too short for a sample"))
	r.Note(3000, 100*time.Millisecond)
	c.Check(r.Wait(3000), qt.Equals, 100*time.Millisecond)
	r.Note(3000, time.Second)
	c.Check(r.Wait(3000) < 110*time.Millisecond, qt.IsTrue)
	for range 200 {
		r.Note(3000, time.Second)
	}
	c.Check(r.Wait(3000) > 900*time.Millisecond, qt.IsTrue)
}

// Guards against urgent requests that queue at full engines until their callers
// disconnect: 143 of 5,452 requests did so on a day without bursts, at 16 slots.
func TestFullEngineAdmitsOnlyWhatItStartsInTime(t *testing.T) {
	c := qt.New(t)
	var r Reader
	r.Stay(2 * time.Second)
	// A slot becomes free every 125 ms.
	c.Check(r.HasSlot(15, 16, 500*time.Millisecond), qt.IsTrue)
	c.Check(r.HasSlot(17, 16, 500*time.Millisecond), qt.IsTrue)
	c.Check(r.HasSlot(18, 16, 500*time.Millisecond), qt.IsFalse)
	c.Check(r.HasSlot(99, 0, 500*time.Millisecond), qt.IsTrue, qt.Commentf("the number of slots is unknown"))
}
