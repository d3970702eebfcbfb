package isolator

import (
	"testing"
	"time"
)

// full returns an Isolator with as many subjects as it keeps, each cut off by two endpoints.
func full() (*Isolator, time.Time) {
	s, now := &Isolator{}, start
	for endpoint := range uint32(2) {
		now = now.Add(time.Second)
		for i := range uint64(maxSubjects) {
			s.RecordCutOff(now, now.Add(-testRun), []Subject{request(i + 1)}, endpoint+1)
		}
		s.RecordEnded(now, endpoint+1)
	}

	return s, now
}

// BenchmarkIsolated measures whether a request with two prompt parts is isolated, while
// nothing changes.
func BenchmarkIsolated(b *testing.B) {
	s, now := full()
	subjects := []Subject{request(7), {ID: 1}, {ID: 2}}
	b.ReportAllocs()
	for b.Loop() {
		s.Isolated(now, subjects)
	}
}

// BenchmarkJudge measures the verdicts after a new observation.
func BenchmarkJudge(b *testing.B) {
	s, now := full()
	b.ReportAllocs()
	for b.Loop() {
		s.changed = true
		s.judge(now)
	}
}

// BenchmarkObservations measures a message to other nodes.
func BenchmarkObservations(b *testing.B) {
	s, now := full()
	b.ReportAllocs()
	for b.Loop() {
		s.Observations(now)
	}
}
