package admitter

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against an estimate that most requests exceed, that one slow request moves
// far, or that stays far above what they take.
func TestDurationFollowsTheSamples(t *testing.T) {
	c := qt.New(t)
	var d Duration
	for i := range 100 {
		d.Record(time.Duration(1+i%3) * time.Second)
	}
	estimate := d.Estimate(2)
	c.Check(estimate > 3*time.Second, qt.IsTrue, qt.Commentf("%s", estimate))
	d.Record(10 * time.Second)
	c.Check(d.Estimate(2)-estimate < 2*time.Second, qt.IsTrue, qt.Commentf("%s", d.Estimate(2)))
	for range 200 {
		d.Record(10 * time.Millisecond)
	}
	estimate = d.Estimate(4)
	c.Check(estimate < 20*time.Millisecond, qt.IsTrue, qt.Commentf("%s", estimate))
}
