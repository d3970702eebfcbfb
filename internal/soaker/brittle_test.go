package soaker

import (
	"fmt"
	"testing"
	"time"
)

// Guards against a check that misses brittle endpoints that fail too often, or counts those
// whose declined requests came from nodes that a fault affects. Of ten endpoints, three may
// fail.
func TestFallCheckFindsViolations(t *testing.T) {
	for name, c := range map[string]struct {
		falls, ofRestarted int
		want               string
	}{
		"as many as allowed":                 {3, 0, ""},
		"one too many":                       {4, 0, "LIMIT: brittle endpoints have failed 4 times"},
		"half of it from a restarted node":   {4, 2, ""},
		"a part of it from a restarted node": {4, 1, "4 times"},
	} {
		t.Run(name, func(t *testing.T) {
			h := newLimitHistory()
			h.brittleEndpoints = 10
			at := h.now.Add(time.Minute)
			h.interruptions[1] = []period{{at.Add(-2 * time.Second), at.Add(-2 * time.Second)}}
			for i := range c.falls {
				f := fall{server: fmt.Sprint("i-", i), at: at}
				for k := range 4 {
					request, node := fmt.Sprint("d", i, k), 0
					if k < c.ofRestarted {
						node = 1
					}
					h.setOutcome(request, outcome{status: 503, sent: at, node: node})
					f.requests = append(f.requests, request)
				}
				h.falls = append(h.falls, f)
			}
			h.check(t, c.want)
		})
	}
}
