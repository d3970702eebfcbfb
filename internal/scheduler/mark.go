package scheduler

import (
	"cmp"
	"slices"
	"time"

	"snipedyke/internal/placer"
	"snipedyke/pkg/encoder"
)

// markTTL is the time after which a mark expires.
const markTTL = time.Hour

// mark is the state of a fingerprint that was in flight when an endpoint crashed.
type mark struct {
	// state is one of the encoder's Mark constants.
	state   uint8
	created time.Time
}

// ApplyMark applies a mark that another node created; state is one of the
// encoder's Mark constants.
func (h *Home) ApplyMark(now time.Time, fingerprint uint64, state uint8) {
	if m := h.marks[fingerprint]; state <= m.state || fingerprint == 0 {
		return
	}
	h.setMark(now, fingerprint, state)
}

// setMark records a mark and applies it to the queued asks of the fingerprint.
func (h *Home) setMark(now time.Time, fingerprint uint64, state uint8) {
	h.marks[fingerprint] = mark{state: state, created: now}
	if state == encoder.MarkCleared {
		return
	}
	for _, c := range h.classes {
		for _, q := range c.matching(fingerprint) {
			c.remove(q)
			h.requeue(q)
		}
	}
}

// requeue queues an ask again that was removed from its subqueue, or refuses it if
// its fingerprint has been blocked.
func (h *Home) requeue(q *queuedAsk) {
	key := q.subqueue.key()
	switch h.marks[q.fingerprint].state {
	case encoder.MarkBlocked:
		delete(q.node.asks, q.id)
		h.refuse(q.node.name, q.id, ReasonBlocked, 0)

		return
	case encoder.MarkSuspect:
		key = h.suspectKey(key, q.fingerprint)
	}
	q.parked = false
	q.subqueue = q.subqueue.class.subqueue(key)
	q.subqueue.class.push(q)
}

// matching returns the queued asks of a fingerprint in order of arrival.
func (c *class) matching(fingerprint uint64) []*queuedAsk {
	var list []*queuedAsk
	for _, q := range c.byArrival.items {
		if q.fingerprint == fingerprint {
			list = append(list, q)
		}
	}
	slices.SortFunc(list, func(a, b *queuedAsk) int { return cmp.Compare(a.seq, b.seq) })

	return list
}

// suspectKey restricts a subqueue's key to the endpoint that may run a suspect
// fingerprint.
func (h *Home) suspectKey(key subqueueKey, fingerprint uint64) subqueueKey {
	key.suspect = true
	key.avoid = ""
	if key.only == "" && h.catalogue != nil {
		key.only = placer.Designated(h.catalogue, h.service, key.model, "", fingerprint)
	}

	return key
}

// handleCrash marks the fingerprints that were in flight on an endpoint when it
// crashed. Suspects among them are assumed to be the cause and are blocked.
// Otherwise all become suspects, as it is unknown which of them is the cause, if
// any: a host can also fail for other reasons while it runs a single request.
func (h *Home) handleCrash(now time.Time, runs []*placer.Run) {
	var fingerprints, suspects []uint64
	seen := map[uint64]bool{}
	for _, r := range runs {
		if r.Fingerprint == 0 || seen[r.Fingerprint] {
			continue
		}
		seen[r.Fingerprint] = true
		fingerprints = append(fingerprints, r.Fingerprint)
		if r.Suspect || h.marks[r.Fingerprint].state == encoder.MarkSuspect {
			suspects = append(suspects, r.Fingerprint)
		}
	}
	state := encoder.MarkSuspect
	if len(suspects) > 0 {
		fingerprints, state = suspects, encoder.MarkBlocked
	}
	for _, f := range fingerprints {
		if h.marks[f].state == encoder.MarkBlocked {
			continue
		}
		h.setMark(now, f, state)
		h.broadcastMark(f, state)
	}
}

// clearSuspect clears the fingerprint of a completed run if it was a suspect.
func (h *Home) clearSuspect(now time.Time, p *permit) {
	if p.Fingerprint == 0 || !p.Suspect && h.marks[p.Fingerprint].state != encoder.MarkSuspect {
		return
	}
	h.setMark(now, p.Fingerprint, encoder.MarkCleared)
	h.broadcastMark(p.Fingerprint, encoder.MarkCleared)
}

// broadcastMark adds a mark for all nodes to the decisions of the next step.
func (h *Home) broadcastMark(fingerprint uint64, state uint8) {
	h.decisions = append(h.decisions, Mark{Mark: encoder.Mark{Fingerprint: fingerprint, Service: h.service, State: state}})
}

// sweepMarks removes the expired marks.
func (h *Home) sweepMarks(now time.Time) {
	for f, m := range h.marks {
		if now.Sub(m.created) >= markTTL {
			delete(h.marks, f)
		}
	}
}
