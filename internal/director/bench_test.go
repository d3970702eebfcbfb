package director

import (
	"testing"
	"time"

	"snipedyke/internal/chooser"
)

// BenchmarkRequest measures the decisions of one request that is answered, on a node whose
// services have three endpoints each.
func BenchmarkRequest(b *testing.B) {
	for _, path := range []string{"/look/1", "/chat/1"} {
		b.Run(path[1:5], func(b *testing.B) {
			n := newNode()
			n.opts.Outcomes, n.opts.Speeds, n.opts.Accounts = true, true, true
			b.ReportAllocs()
			id := uint64(0)
			for b.Loop() {
				id++
				n.now = n.now.Add(10 * time.Millisecond)
				n.Reduce(n.now, ViewConfirmed{n.now})
				n.Reduce(n.now, Arrived{Request{
					ID: id, Name: "r", Host: "h", Path: path, Key: "key", Deadline: 5 * time.Second, Content: 1,
					Need: chooser.Need{PromptTokens: 500, SharedTokens: 100, SharedParts: []uint64{1, 2}},
				}})
				n.Reduce(n.now, ResponseStarted{ID: id, Wait: 5 * time.Millisecond})
				n.Reduce(n.now, AttemptFinished{ID: id, Result: Answered, Status: 200, Took: 5 * time.Millisecond})
			}
		})
	}
}
