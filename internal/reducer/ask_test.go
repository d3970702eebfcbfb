package reducer

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"snipedyke/pkg/cataloguer"
)

// TestResumedAskExcludesRunTimeFromWait guards against a long stream that is
// refused as soon as it breaks, because the time for which it ran is counted as
// waiting time.
func TestResumedAskExcludesRunTimeFromWait(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	req := &request{arrived: now.Add(-time.Minute), phaseStart: now.Add(-time.Second), class: &cataloguer.Class{}}
	c.Check((&Reducer{}).newAsk(now, req).Waited, qt.Equals, time.Minute.Microseconds())
	req.resume = true
	ask := (&Reducer{}).newAsk(now, req)
	c.Check(ask.Resume, qt.IsTrue)
	c.Check(ask.Waited, qt.Equals, time.Second.Microseconds())
}
