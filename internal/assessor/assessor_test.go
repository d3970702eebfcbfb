package assessor

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"snipedyke/pkg/encoder"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// Guards against an endpoint that is taken out of use for a single failure, one that fails
// each attempt and stays in use, and one that stays out of use for long after its fault.
func TestFailureShare(t *testing.T) {
	c := qt.New(t)
	var r Record
	r.Add(start, 1, 1)
	c.Check(Suspect(r.Share(start)), qt.IsFalse)
	r.Add(start, 100, 100)
	c.Check(Suspect(r.Share(start)), qt.IsTrue)
	c.Check(Suspect(r.Share(start.Add(4*time.Second))), qt.IsFalse)
	r.Add(start, 20, 0)
	c.Check(Suspect(r.Share(start)), qt.IsFalse)
}

// Guards against leaving out more than half of the endpoints of a service, and against a
// service of two endpoints whose failing one stays in use.
func TestAtMostHalfOfTheEndpointsAreFailing(t *testing.T) {
	c := qt.New(t)
	failing := func(shares ...float64) (n int) {
		threshold := Threshold(append([]float64(nil), shares...))
		for _, share := range shares {
			if share >= threshold {
				n++
			}
		}

		return n
	}
	c.Check(failing(0.9, 0), qt.Equals, 1)
	c.Check(failing(0.9, 0.9, 0.9), qt.Equals, 0)
	c.Check(failing(0.9, 0.9, 0, 0), qt.Equals, 2)
	c.Check(failing(0.9, 0.9, 0.9, 0), qt.Equals, 0)
	c.Check(failing(0.45, 0.4, 0.45, 0.5), qt.Equals, 0)
}

// Guards against successes that no node reports, so that failures reported by a node with
// trouble of its own outweigh them.
func TestSuccessesAtDoubtedEndpointsAreReported(t *testing.T) {
	c := qt.New(t)
	var tally Tally
	tally.Add(false)
	c.Check(tally.Reports(0), qt.IsFalse)
	c.Check(tally.Reports(0.2), qt.IsTrue)
	tally.Add(true)
	c.Check(tally.Reports(0), qt.IsTrue)
	var o encoder.Observation
	tally.Take(&o)
	c.Check(o, qt.Equals, encoder.Observation{Attempts: 2, Failures: 1})
	c.Check(tally, qt.Equals, Tally{})
}
