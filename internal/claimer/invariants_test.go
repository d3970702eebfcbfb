package claimer_test

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// A fixed seed makes runs reproducible; -rapid.seed overrides it.
func init() { _ = flag.Set("rapid.seed", "1") }

// TestInvariantsUnderOperationSequences searches for a short sequence of
// requests and faults that violates an invariant, including sequences that
// TestSchedules does not generate.
func TestInvariantsUnderOperationSequences(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		f := newFleet(rapid.Uint64().Draw(rt, "seed"), rapid.IntRange(1, 6).Draw(rt, "hosts"))
		host := func() string { return f.names[rapid.IntRange(0, len(f.names)-1).Draw(rt, "host")] }
		down := 0
		rt.Repeat(map[string]func(*rapid.T){
			"claim": func(rt *rapid.T) {
				f.claim(host(), fmt.Sprint("k", rapid.IntRange(0, 2).Draw(rt, "key")))
			},
			"run": func(rt *rapid.T) {
				f.run(time.Duration(rapid.IntRange(1, 100).Draw(rt, "ticks")) * tick)
			},
			"crash": func(rt *rapid.T) {
				if h := host(); f.nodes[h].up && down < 2 {
					f.crash(h)
					down++
				}
			},
			"boot": func(*rapid.T) {
				for _, h := range f.names {
					if !f.nodes[h].up {
						f.boot(h)
					}
				}
				down = 0
			},
			"pause": func(rt *rapid.T) {
				f.nodes[host()].pausedUntil = f.now.Add(time.Duration(rapid.IntRange(1, 300).Draw(rt, "ticks")) * tick)
			},
			"split": func(rt *rapid.T) {
				for _, h := range f.names {
					f.partition[h] = rapid.IntRange(0, 1).Draw(rt, "side")
				}
			},
			"heal": func(*rapid.T) { clear(f.partition) },
			"weather": func(rt *rapid.T) {
				f.loss = rapid.Float64Range(0, 0.5).Draw(rt, "loss")
				f.dup = rapid.Float64Range(0, 0.5).Draw(rt, "dup")
				f.delay = time.Duration(rapid.IntRange(1, 200).Draw(rt, "delay")) * time.Millisecond
			},
			"": func(rt *rapid.T) {
				if f.failure != "" {
					rt.Fatal(f.failure)
				}
			},
		})
	})
}
