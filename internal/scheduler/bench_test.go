package scheduler

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"snipedyke/pkg/cataloguer"
	"snipedyke/pkg/encoder"
)

func heapSize() float64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)

	return float64(m.HeapAlloc)
}

// BenchmarkCycle measures one ask, its grant and the return of its permit in a
// pool with a queue and no free places.
func BenchmarkCycle(b *testing.B) {
	chat := &cataloguer.Class{Name: "chat", Tier: 1, FirstToken: time.Hour, Share: 0.5, MaxWait: time.Hour}
	for _, endpoints := range []int{10, 50, 200, 1000} {
		for _, queue := range []int{100, 1000, 10000} {
			b.Run(fmt.Sprintf("endpoints=%d/queued=%d", endpoints, queue), func(b *testing.B) {
				cat := fleet(endpoints, 8, 4, chat)
				before := heapSize()
				h := warmHome(cat)
				perEndpoint := (heapSize() - before) / float64(endpoints)
				now := start
				id := uint64(0)
				ask := func() {
					id++
					h.Ask(now, "n0", &encoder.Ask{ID: id, Pool: "p", Class: "chat", Fingerprint: id, Prefix: id % 100})
				}
				var running []uint64
				collect := func() {
					for _, d := range h.Step(now) {
						if g, ok := d.(Grant); ok {
							running = append(running, g.Grant.Permit)
						}
					}
				}
				for range 8 * endpoints {
					ask()
				}
				collect()
				before = heapSize()
				for range queue {
					ask()
				}
				perAsk := (heapSize() - before) / float64(queue)
				collect()
				b.ResetTimer()
				for range b.N {
					now = now.Add(time.Millisecond)
					if id%100 == 0 {
						h.Report(now, "n0", 1, id, nil, false)
					}
					p := running[0]
					running = running[1:]
					h.Done(now, "n0", &encoder.Done{Permit: p, Outcome: encoder.OutcomeOK, First: 100000, Run: 1000000, Tokens: 40})
					ask()
					collect()
				}
				b.ReportMetric(perAsk, "B/ask")
				b.ReportMetric(perEndpoint, "B/endpoint")
				runtime.KeepAlive(h)
			})
		}
	}
}
