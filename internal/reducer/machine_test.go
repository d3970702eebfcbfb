package reducer

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"snipedyke/pkg/cataloguer"
)

// A fixed seed makes the test deterministic; -rapid.seed overrides it.
func init() { _ = flag.Set("rapid.seed", "1") }

// TestInvariantsUnderOperationSequences checks random sequences of requests,
// faults and publications that the fault schedules do not cover. It guards
// against a key that runs twice, a request that ran but is answered "not run",
// a catalogue version that decreases, and leaked requests or permits. A failing
// sequence is reduced to a short one.
func TestInvariantsUnderOperationSequences(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		f := newFleet(rapid.Uint64().Draw(rt, "seed"), 5)
		name := func() string { return f.names[rapid.IntRange(0, len(f.names)-1).Draw(rt, "node")] }
		down := func() (n int) {
			for _, node := range f.nodes {
				if !node.up {
					n++
				}
			}

			return n
		}
		rt.Repeat(map[string]func(*rapid.T){
			"pay": func(rt *rapid.T) { f.payWithRetries(fmt.Sprint("k", rapid.IntRange(0, 5).Draw(rt, "key")), 3) },
			"ask": func(*rapid.T) {
				if n := f.nodes[name()]; n.up {
					f.call(n.name, Request{Service: "chat", Class: "ask", Model: "m"}, nil)
				}
			},
			"run": func(rt *rapid.T) {
				f.run(time.Duration(rapid.IntRange(1, 400).Draw(rt, "ms")) * time.Millisecond)
			},
			"kill": func(*rapid.T) {
				if n := name(); f.nodes[n].up && down() < 2 {
					f.kill(n)
				}
			},
			"boot": func(*rapid.T) {
				for _, n := range f.names {
					if !f.nodes[n].up {
						f.startNode(n)
					}
				}
			},
			"pause": func(rt *rapid.T) {
				f.nodes[name()].pausedUntil = f.now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(rt, "ms")) * time.Millisecond)
			},
			"publish": func(*rapid.T) { f.publish(func(*cataloguer.Catalogue) {}) },
			"lose":    func(rt *rapid.T) { f.lossRate = rapid.Float64Range(0, 0.2).Draw(rt, "loss") },
			"double":  func(rt *rapid.T) { f.duplicateRate = rapid.Float64Range(0, 0.2).Draw(rt, "double") },
			"crash": func(rt *rapid.T) {
				f.crash(f.endpoints[fmt.Sprintf("desk%d", rapid.IntRange(0, 2).Draw(rt, "endpoint"))])
			},
			"": func(rt *rapid.T) {
				if len(f.violations) > 0 {
					rt.Fatal(f.violations[0])
				}
			},
		})
		f.lossRate, f.duplicateRate = 0, 0
		f.run(40 * time.Second)
		f.checkSettled()
		if len(f.violations) > 0 {
			rt.Fatal(f.violations[0])
		}
	})
}
