package aggregator

import (
	"fmt"
	"testing"

	"snipedyke/pkg/encoder"
)

// BenchmarkFleet measures the messages and bytes that a node sends per second,
// the bytes per second between data centres, and the processor time of a node,
// by the size of the fleet. Each node has load at up to 60 endpoints.
func BenchmarkFleet(b *testing.B) {
	for _, size := range []struct{ nodes, centres int }{{6, 4}, {73, 4}, {330, 9}} {
		b.Run(fmt.Sprintf("nodes=%d", size.nodes), func(b *testing.B) {
			f := newFleet(size.nodes, size.centres)
			for i := range f.order {
				loads := make([]encoder.Load, 0, 60)
				for e := range min(60, 5+i%60) {
					loads = append(loads, encoder.Load{Endpoint: uint32(1000 * e), Running: 1, PrefillTokens: 800})
				}
				f.loads = append(f.loads, loads)
			}
			f.run(20 * Interval)
			f.messages, f.foreign, f.bytes, f.foreignBytes = 0, 0, 0, 0
			b.ResetTimer()
			for range b.N {
				f.run(Interval)
			}
			per := float64(size.nodes) * float64(b.N) * Interval.Seconds()
			b.ReportMetric(float64(f.messages)/per, "messages/node/s")
			b.ReportMetric(float64(f.bytes)/per, "B/node/s")
			b.ReportMetric(float64(f.foreignBytes)/(float64(b.N)*Interval.Seconds()), "B/s-between-centres")
			b.ReportMetric(b.Elapsed().Seconds()/per*100, "%core/node")
		})
	}
}
