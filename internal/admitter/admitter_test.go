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
	var e Estimator
	const target, gap = 600 * time.Millisecond, 150 * time.Millisecond
	c.Check(e.Admit(1e9, target, gap), qt.IsTrue, qt.Commentf("the prefill rate is unknown"))
	e.RecordFirstToken(3000, 100*time.Millisecond)
	// The engine prefills 30 tokens per millisecond.
	c.Check(e.Admit(30*600*prefillShare, target, 0), qt.IsTrue)
	c.Check(e.Admit(30*600*prefillShare+30, target, 0), qt.IsFalse)
	c.Check(e.Admit(30*150*gapShare, target, gap), qt.IsTrue)
	c.Check(e.Admit(30*150*gapShare+30, target, gap), qt.IsFalse)
	// A prefill that takes the whole target is refused.
	c.Check(e.Admit(30*600, target, 0), qt.IsFalse)
}

// Guards against a single slow first token that makes the node refuse requests
// which engines could serve in time, and against an estimate that never falls.
func TestPrefillRateFollowsSamples(t *testing.T) {
	c := qt.New(t)
	var e Estimator
	e.RecordFirstToken(100, time.Second)
	c.Check(e.PrefillTime(1000), qt.Equals, time.Duration(0), qt.Commentf("the prompt is too short for a sample"))
	e.RecordFirstToken(3000, 100*time.Millisecond)
	c.Check(e.PrefillTime(3000), qt.Equals, 100*time.Millisecond)
	e.RecordFirstToken(3000, time.Second)
	c.Check(e.PrefillTime(3000) < 110*time.Millisecond, qt.IsTrue)
	for range 200 {
		e.RecordFirstToken(3000, time.Second)
	}
	c.Check(e.PrefillTime(3000) > 900*time.Millisecond, qt.IsTrue)
}

// Guards against urgent requests that queue at full engines until their callers
// disconnect: 143 of 5,452 requests did so on a day without bursts, at 16 slots.
func TestFullEngineAdmitsOnlyWhatItStartsInTime(t *testing.T) {
	c := qt.New(t)
	var e Estimator
	e.RecordRunTime(2 * time.Second)
	// A slot becomes free every 125 ms.
	c.Check(e.HasSlot(15, 16, 500*time.Millisecond), qt.IsTrue)
	c.Check(e.HasSlot(17, 16, 500*time.Millisecond), qt.IsTrue)
	c.Check(e.HasSlot(18, 16, 500*time.Millisecond), qt.IsFalse)
	c.Check(e.HasSlot(99, 0, 500*time.Millisecond), qt.IsTrue, qt.Commentf("the number of slots is unknown"))
}
