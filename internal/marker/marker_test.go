package marker

import (
	"flag"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"snipedyke/pkg/encoder"
)

// A fixed seed gives the same verdict on every run; -rapid.seed overrides it.
func init() { _ = flag.Set("rapid.seed", "1") }

// Guards against nodes that receive the same marks in different orders and
// disagree on which fingerprints are blocked, and against a mark that counts as
// new twice, so that nodes forward it to each other without end.
func TestBlockedDoesNotDependOnOrder(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		now := time.Unix(10_000, 0)
		marks := rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) encoder.Mark {
			return encoder.Mark{
				Fingerprint: rapid.Uint64Range(0, 2).Draw(rt, "print"),
				State:       rapid.Uint8Range(encoder.MarkSuspect, encoder.MarkCleared).Draw(rt, "state"),
				Age:         rapid.Int64Range(0, 60e6).Draw(rt, "age"),
			}
		}), 1, 8).Draw(rt, "marks")
		a, b := New(), New()
		for _, m := range marks {
			a.Apply(now, m)
		}
		for _, m := range rapid.Permutation(marks).Draw(rt, "order") {
			b.Apply(now, m)
		}
		for f := range uint64(3) {
			if x, y := a.State(now, f), b.State(now, f); (x == encoder.MarkBlocked) != (y == encoder.MarkBlocked) {
				rt.Fatalf("fingerprint %[3]d has states %[1]d and %[2]d", x, y, f)
			}
		}
		for _, m := range a.All(now) {
			if a.Apply(now, m) {
				rt.Fatalf("Apply reported mark %v as new twice", m)
			}
		}
		if left := a.All(now.Add(markTTL)); len(left) > 0 {
			rt.Fatalf("marks %v did not expire", left)
		}
	})
}

// Guards against marks of many fingerprints that exceed the memory bound or
// evict blocked ones.
func TestEvictionKeepsBlockedMarks(t *testing.T) {
	c := qt.New(t)
	m, now := New(), time.Unix(10_000, 0)
	for f := range uint64(maxMarks) {
		m.Apply(now, encoder.Mark{Fingerprint: f, State: encoder.MarkSuspect})
	}
	c.Check(m.Apply(now, encoder.Mark{Fingerprint: 1 << 40, State: encoder.MarkBlocked}), qt.IsTrue)
	c.Check(m.Apply(now, encoder.Mark{Fingerprint: 1 << 41, State: encoder.MarkSuspect}), qt.IsTrue)
	c.Check(m.Size(), qt.Equals, maxMarks)
	c.Check(m.State(now, 1<<40), qt.Equals, encoder.MarkBlocked)
}
