package reducer

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"snipedyke/pkg/cataloguer"
)

// Guards against a long stream that is refused as soon as it breaks, as if it
// had waited while it ran.
func TestResumedAskHasNotWaited(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	req := &request{arrived: now.Add(-time.Minute), phaseStart: now.Add(-time.Second), class: &cataloguer.Class{}}
	c.Check((&Reducer{}).newAsk(now, req).Waited, qt.Equals, time.Minute.Microseconds())
	req.resume = true
	ask := (&Reducer{}).newAsk(now, req)
	c.Check(ask.Resume, qt.IsTrue)
	c.Check(ask.Waited, qt.Equals, time.Second.Microseconds())
}
