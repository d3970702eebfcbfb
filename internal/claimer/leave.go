package claimer

import (
	"slices"
	"time"

	"snipedyke/internal/ranker"
	"snipedyke/pkg/encoder"
)

const (
	// transferInterval is the time between two attempts to transfer the records,
	// and transferTimeout bounds all attempts. A peer that does not answer for
	// that long counts as lost, and the other witnesses have its records.
	transferInterval = 500 * time.Millisecond
	transferTimeout  = 10 * time.Second
)

// leaveState is the state of a graceful shutdown.
type leaveState struct {
	leaving bool
	// handingOver reports whether this node has stopped voting and is
	// transferring its records.
	handingOver bool
	startedAt   time.Time
	sentAt      time.Time
	// remaining is the present list without this node.
	remaining *roster
	// unconfirmed holds the IDs of the parts that are not confirmed yet, by
	// receiving node.
	unconfirmed map[string][]uint64
	drained     bool
}

// remainingRoster returns the present list without this node.
func (c *Claimer) remainingRoster() *roster {
	r := c.coverage.current
	names := slices.DeleteFunc(slices.Clone(r.ranks.Names()), func(n string) bool { return n == c.self.node })

	return &roster{version: r.version, ranks: ranker.New(names)}
}

// Leave starts a graceful shutdown. The node keeps working as coordinator and
// witness until its own claims have ended, and then transfers its records.
func (c *Claimer) Leave(now time.Time) []Output {
	if c.leave.leaving {
		return nil
	}
	c.leave.leaving, c.leave.startedAt = true, now
	if c.coverage.current == nil {
		c.leave.drained = true
	}

	return c.stepLeave(now)
}

// Drained reports whether the transfer of the records has ended, so that the
// process may exit.
func (c *Claimer) Drained() bool { return c.leave.drained }

func (c *Claimer) stepLeave(now time.Time) []Output {
	l := &c.leave
	if !l.leaving || l.drained || len(c.own[0])+len(c.own[1]) > 0 {
		return nil
	}
	if !l.handingOver {
		l.handingOver, l.startedAt = true, now
		l.unconfirmed = map[string][]uint64{}

		return c.handOver(now)
	}
	waiting := false
	for _, ids := range l.unconfirmed {
		waiting = waiting || len(ids) > 0
	}
	for _, p := range c.pendingOutcomes {
		waiting = waiting || !c.storedByQuorum(p)
	}
	if !waiting || now.Sub(l.startedAt) > transferTimeout {
		l.drained = true
		return nil
	}
	if now.Sub(l.sentAt) >= transferInterval {
		return c.handOver(now)
	}

	return nil
}

// handOver sends the records to the witnesses under the list without this node,
// and to those under the present list, which may restart before the list
// changes. Each transfer also counts as the answer to a pull: it is complete, as
// this node does not vote any more.
func (c *Claimer) handOver(now time.Time) []Output {
	l := &c.leave
	l.sentAt = now
	var out []Output
	for _, n := range l.remaining.ranks.Names() {
		if ids, ok := l.unconfirmed[n]; ok && len(ids) == 0 {
			continue
		}
		records := c.recordsFor(now, n, l.remaining, 0)
		known := map[encoder.Subject]bool{}
		for _, r := range records {
			known[r.Subject] = true
		}
		for _, r := range c.recordsFor(now, n, c.coverage.current, 0) {
			if !known[r.Subject] {
				records = append(records, r)
			}
		}
		l.unconfirmed[n] = []uint64{}
		c.lastID++
		first := c.newPush(now, c.lastID)
		first.ID = 1
		out = append(out, c.sendParts(n, first, records)...)
	}

	return out
}

// confirm records that a node has stored a part of a transfer.
func (l *leaveState) confirm(from string, id uint64) {
	if ids, ok := l.unconfirmed[from]; ok {
		l.unconfirmed[from] = slices.DeleteFunc(ids, func(n uint64) bool { return n == id })
	}
}
