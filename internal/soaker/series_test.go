package soaker

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"snipedyke/platform/standin"
)

// Guards against a check that never finds servers that work for callers that have left, or
// that blames a node that was frozen meanwhile.
func TestWorkForGoneCallersIsFound(t *testing.T) {
	now := time.Now()
	for name, test := range map[string]struct {
		late, inTime, arrived int
		frozen                bool
		want                  string
	}{
		"in time":         {inTime: 20},
		"few":             {late: goneSlack, inTime: 1},
		"a quarter":       {late: 10, inTime: 30},
		"more":            {late: 11, inTime: 30, want: "servers still worked 600ms later for 11 of 41 callers that had left"},
		"frozen":          {late: 11, inTime: 30, frozen: true},
		"arrived":         {inTime: 30, arrived: goneSlack + 1, want: "6 requests reached servers over 600ms after their callers had left"},
		"few arrived":     {inTime: 30, arrived: goneSlack},
		"frozen, arrived": {arrived: goneSlack + 1, frozen: true},
	} {
		t.Run(name, func(t *testing.T) {
			h := NewHistory()
			count := 0
			add := func(ran, answered time.Duration) {
				count++
				request := fmt.Sprint("r", count)
				h.setOutcome(request, outcome{sent: now, left: now.Add(time.Second)})
				h.AddRun(standin.Run{Server: "i-1", Request: request, At: now.Add(ran)})
				if answered > 0 {
					h.AddAnswer(standin.Answer{Server: "i-1", Request: request, At: now.Add(answered)})
				}
			}
			for range test.late {
				add(0, 2*time.Second)
			}
			for range test.inTime {
				add(0, 0)
			}
			for range test.arrived {
				add(2*time.Second, 0)
			}
			if test.frozen {
				h.interruptions[0] = []period{{now.Add(500 * time.Millisecond), now.Add(1200 * time.Millisecond)}}
			}
			violations := h.Check()
			if test.want == "" {
				qt.Check(t, violations, qt.HasLen, 0)
			} else {
				qt.Check(t, violations, qt.DeepEquals, []string{test.want})
			}
		})
	}
}
