package scheduler

import (
	"cmp"
	"time"

	"snipedyke/internal/placer"
	"snipedyke/pkg/cataloguer"
)

// queuedAsk is an ask that waits for a place. It holds only the fields of the
// message that the home needs.
type queuedAsk struct {
	id   uint64
	node *node
	// seq is the order of arrival at this home.
	seq     uint64
	arrived time.Time
	// deadline is the caller's deadline, or zero if there is none.
	deadline time.Time
	// due is the deadline, or the time by which the class's target or maximum
	// wait requires a place.
	due           time.Time
	fingerprint   uint64
	prefix        uint64
	maxTokens     uint32
	nonIdempotent bool
	subqueue      *subqueue
	// dueIndex, lengthIndex and arrivalIndex are the indexes in the heaps byDue,
	// byLength and byArrival.
	dueIndex, lengthIndex, arrivalIndex int
	// parked reports whether the ask is in none of the heaps because its node has
	// no recent report.
	parked bool
}

// lengthLimit returns the sort key by the limit on the answer's length. An ask
// without a limit sorts last, as its zero wraps around to the greatest value.
func (q *queuedAsk) lengthLimit() uint32 { return q.maxTokens - 1 }

// subqueue holds the queued asks of a class that may run on the same endpoints.
type subqueue struct {
	class   *class
	request placer.Request
	// byDue holds the asks in order of their due times. byLength holds the same
	// asks in order of their length limits, and those with equal limits by
	// descending due time; it is empty unless the class is batch work.
	byDue, byLength heap[*queuedAsk]
	// blockedStep is the number of the last step in which no endpoint had a free
	// place for these asks.
	blockedStep uint64
}

// subqueueKey identifies a subqueue within its class.
type subqueueKey struct {
	model, adapter, only, avoid, centre string
	suspect, resume                     bool
}

// class is the state of a class of service in the pool.
type class struct {
	conf *cataloguer.Class
	// share is the fraction of the pool's places that is reserved for the class.
	// It is zero if the requests of the class cannot reach the pool's service.
	share float64
	// nonIdempotent reports whether the class has non-idempotent work.
	nonIdempotent bool
	subqueues     []*subqueue
	byKey         map[subqueueKey]*subqueue
	// byArrival holds all asks of the class in order of arrival.
	byArrival heap[*queuedAsk]
	queued    int
	running   int
	// demand is the moving average of the sum of queued and running.
	demand float64
	// runMillis records run times, and answerTokens the lengths of answers.
	runMillis, answerTokens histogram
	// expectedRun is the expected run time, corrected by the runs in progress.
	expectedRun time.Duration
	// usualRun is a run time that most runs do not exceed, and longRun one that
	// nearly all do not exceed.
	usualRun, longRun time.Duration
	// limitUsePerMille records how much of their length limits answers used, and
	// timePerToken is the run time per token of the limit that nearly all runs
	// do not exceed.
	limitUsePerMille histogram
	timePerToken     time.Duration
}

func newClass(conf *cataloguer.Class) *class {
	return &class{
		conf:  conf,
		byKey: map[subqueueKey]*subqueue{},
		byArrival: heap[*queuedAsk]{
			less: func(a, b *queuedAsk) bool { return before(a.arrived, b.arrived, a, b) },
			move: func(q *queuedAsk, i int) { q.arrivalIndex = i },
		},
	}
}

// before reports whether x, with time a, sorts before y, with time b. Equal times
// are ordered by arrival at the home.
func before(a, b time.Time, x, y *queuedAsk) bool {
	if c := a.Compare(b); c != 0 {
		return c < 0
	}

	return x.seq < y.seq
}

// subqueue returns the subqueue for the key and creates it if necessary.
func (c *class) subqueue(key subqueueKey) *subqueue {
	if s := c.byKey[key]; s != nil {
		return s
	}
	s := &subqueue{
		class: c,
		request: placer.Request{
			Class: c.conf.Name, Model: key.model, Adapter: key.adapter,
			Only: key.only, Avoid: key.avoid, Suspect: key.suspect, Resume: key.resume, Centre: key.centre,
		},
		byDue: heap[*queuedAsk]{
			less: func(a, b *queuedAsk) bool { return before(a.due, b.due, a, b) },
			move: func(q *queuedAsk, i int) { q.dueIndex = i },
		},
		byLength: heap[*queuedAsk]{
			less: func(a, b *queuedAsk) bool {
				if a.lengthLimit() != b.lengthLimit() {
					return a.lengthLimit() < b.lengthLimit()
				}

				return before(b.due, a.due, a, b)
			},
			move: func(q *queuedAsk, i int) { q.lengthIndex = i },
		},
	}
	c.byKey[key] = s
	c.subqueues = append(c.subqueues, s)

	return s
}

// push adds an ask to its subqueue.
func (c *class) push(q *queuedAsk) {
	q.subqueue.byDue.push(q)
	if c.conf.Batch {
		q.subqueue.byLength.push(q)
	}
	c.byArrival.push(q)
	c.queued++
}

// remove removes an ask from the queue.
func (c *class) remove(q *queuedAsk) {
	q.subqueue.byDue.remove(q.dueIndex)
	if len(q.subqueue.byLength.items) > 0 {
		q.subqueue.byLength.remove(q.lengthIndex)
	}
	c.byArrival.remove(q.arrivalIndex)
	c.queued--
}

// oldest returns the ask that has waited longest, or nil.
func (c *class) oldest() *queuedAsk {
	if len(c.byArrival.items) == 0 {
		return nil
	}

	return c.byArrival.items[0]
}

// overloaded reports whether a batch class has more work than it can finish in
// time: some ask that is first in its subqueue may miss its deadline even if it
// starts now.
func (c *class) overloaded(now time.Time) bool {
	if !c.conf.Batch {
		return false
	}
	for _, s := range c.subqueues {
		if len(s.byDue.items) == 0 {
			continue
		}
		q := s.byDue.items[0]
		if !q.deadline.IsZero() && q.deadline.Before(now.Add(c.timeNeeded(q, c.longRun))) {
			return true
		}
	}

	return false
}

// next returns the ask that is due first among the subqueues that are not blocked
// in this step, or nil. In an overloaded class the asks with the lowest length
// limits go first, since more of them can be finished, and among equal limits the
// one with the latest deadline, since its work is the least likely to be wasted.
func (c *class) next(now time.Time, step uint64) *queuedAsk {
	var first *queuedAsk
	overloaded := c.overloaded(now)
	for _, s := range c.subqueues {
		if s.blockedStep == step || len(s.byDue.items) == 0 {
			continue
		}
		asks := &s.byDue
		if overloaded {
			asks = &s.byLength
		}
		if q := asks.items[0]; first == nil || asks.less(q, first) {
			first = q
		}
	}

	return first
}

// timeNeeded returns the run time to allow for an ask before its deadline. It
// follows from the ask's limit on the answer's length and the measured time per
// token; it is run if there is no limit or no measurement yet.
func (c *class) timeNeeded(q *queuedAsk, run time.Duration) time.Duration {
	if q.maxTokens == 0 || c.timePerToken == 0 {
		return run
	}

	return time.Duration(q.maxTokens) * c.timePerToken
}

// dropEmptySubqueues removes the empty subqueues, so that their number stays
// bounded by the number of queued asks.
func (c *class) dropEmptySubqueues() {
	kept := c.subqueues[:0]
	for _, s := range c.subqueues {
		if len(s.byDue.items) > 0 {
			kept = append(kept, s)

			continue
		}
		delete(c.byKey, s.key())
	}
	clear(c.subqueues[len(kept):])
	c.subqueues = kept
}

func (s *subqueue) key() subqueueKey {
	return subqueueKey{s.request.Model, s.request.Adapter, s.request.Only, s.request.Avoid, s.request.Centre, s.request.Suspect, s.request.Resume}
}

// byTier orders classes by tier, then by name.
func byTier(a, b *class) int {
	return cmp.Or(cmp.Compare(a.conf.Tier, b.conf.Tier), cmp.Compare(a.conf.Name, b.conf.Name))
}

// heap is a binary heap that passes the index of each moved item to move, so that
// items can be removed by index.
type heap[T any] struct {
	items []T
	less  func(a, b T) bool
	move  func(item T, i int)
}

func (h *heap[T]) push(item T) {
	h.items = append(h.items, item)
	h.move(item, len(h.items)-1)
	h.up(len(h.items) - 1)
}

func (h *heap[T]) remove(i int) {
	last := len(h.items) - 1
	h.swap(i, last)
	var zero T
	h.items[last] = zero
	h.items = h.items[:last]
	if i < last {
		h.down(i)
		h.up(i)
	}
}

func (h *heap[T]) swap(i, j int) {
	h.items[i], h.items[j] = h.items[j], h.items[i]
	h.move(h.items[i], i)
	h.move(h.items[j], j)
}

func (h *heap[T]) up(i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if !h.less(h.items[i], h.items[parent]) {
			return
		}
		h.swap(i, parent)
		i = parent
	}
}

func (h *heap[T]) down(i int) {
	for {
		child := 2*i + 1
		if child >= len(h.items) {
			return
		}
		if child+1 < len(h.items) && h.less(h.items[child+1], h.items[child]) {
			child++
		}
		if !h.less(h.items[child], h.items[i]) {
			return
		}
		h.swap(i, child)
		i = child
	}
}
