package runner

import (
	"sync"
	"time"

	"snipedyke/internal/reducer"
)

// Decision is a decision of the reducer about a request, with its time.
type Decision struct {
	Time time.Time
	reducer.Decided
}

// maxDecisions is the number of latest decisions that are kept.
const maxDecisions = 1000

// decisionRing is a ring buffer of the latest decisions. Its zero value is empty.
type decisionRing struct {
	mu    sync.Mutex
	items []Decision
	// oldest is the index of the oldest item once the ring is full.
	oldest int
}

func (r *decisionRing) add(d Decision) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.items) < maxDecisions {
		r.items = append(r.items, d)

		return
	}
	r.items[r.oldest] = d
	r.oldest = (r.oldest + 1) % maxDecisions
}

// snapshot returns a copy of the decisions, oldest first.
func (r *decisionRing) snapshot() []Decision {
	r.mu.Lock()
	defer r.mu.Unlock()

	return append(append(make([]Decision, 0, len(r.items)), r.items[r.oldest:]...), r.items[:r.oldest]...)
}

// Decisions returns the latest decisions of the reducer, oldest first.
func (n *Node) Decisions() []Decision { return n.decisions.snapshot() }
