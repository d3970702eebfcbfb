package claimer

import (
	"slices"
	"time"

	"snipedyke/pkg/encoder"
)

// pendingOutcome is an outcome that is being sent to the witnesses.
type pendingOutcome struct {
	id        uint64
	record    encoder.Record
	createdAt time.Time
	// sentTo holds the nodes to which the outcome was sent, and storedBy those
	// that have confirmed it.
	sentTo   []string
	storedBy []string
	sentAt   time.Time
	attempts int
}

// Finish ends the claim of a key that was won and dispatched. The answer is nil
// if it is unknown whether the request ran; requests with the same key then get
// MayHaveRun.
func (c *Claimer) Finish(now time.Time, subject encoder.Subject, answer *encoder.Answer) []Output {
	cl := c.own[encoder.ClaimKey][subject]
	if cl == nil || cl.phase != won {
		return nil
	}
	answer = withoutLongBody(answer)
	r := encoder.Record{
		Subject: subject, State: encoder.RecordDone, Node: c.self.node,
		Incarnation: c.self.incarnation, Claim: cl.round, Answer: answer,
	}
	// The coordinator stores the record as well, so that it never reports the
	// key as abandoned.
	c.keys.put(subject, record{
		claim: cl.round, answer: answer, createdS: c.keys.seconds(now),
		coordinator: c.keys.intern(c.self), state: encoder.RecordDone,
	})
	c.removeClaim(cl)
	result := Answered
	if answer == nil {
		result = MayHaveRun
	}
	var out []Output
	for _, id := range cl.ids[1:] {
		out = append(out, Verdict{ID: id, Kind: cl.kind, Subject: subject, Result: result, Answer: answer})
	}
	for _, a := range cl.waiters {
		out = append(out, Send{a.node, &encoder.QueryReply{ID: a.id, Record: r}})
	}
	c.lastID++
	p := &pendingOutcome{id: c.lastID, record: r, createdAt: now, sentTo: slices.Clone(cl.contacted)}
	c.pendingOutcomes = append(c.pendingOutcomes, p)

	return append(out, c.sendOutcome(now, p)...)
}

// sendOutcome sends an outcome to the nodes that have not stored it: those that
// granted the claim, and the witnesses under the present list.
func (c *Claimer) sendOutcome(now time.Time, p *pendingOutcome) []Output {
	p.sentAt = now
	p.attempts++
	for _, w := range c.outcomeWitnesses(p) {
		if !slices.Contains(p.sentTo, w) {
			p.sentTo = append(p.sentTo, w)
		}
	}
	r := p.record
	r.Age = now.Sub(p.createdAt).Microseconds()
	if now.Sub(p.createdAt) >= answerTTL {
		r.Answer = nil
	}
	var out []Output
	for _, w := range p.sentTo {
		if w == c.self.node {
			if !slices.Contains(p.storedBy, w) {
				p.storedBy = append(p.storedBy, w)
			}
		} else if !slices.Contains(p.storedBy, w) {
			out = append(out, Send{w, &encoder.Finish{ID: p.id, Record: r}})
		}
	}

	return out
}

// outcomeWitnesses returns the witnesses that must store an outcome. For a node
// that is leaving, these are the witnesses under the list without it.
func (c *Claimer) outcomeWitnesses(p *pendingOutcome) []string {
	r := c.coverage.current
	if c.leave.leaving {
		r = c.leave.remaining
	}

	return r.witnesses(nil, p.record.Subject)
}

// storedByQuorum reports whether a quorum of the witnesses has stored the
// outcome.
func (c *Claimer) storedByQuorum(p *pendingOutcome) bool {
	targets, n := c.outcomeWitnesses(p), 0
	for _, w := range targets {
		if slices.Contains(p.storedBy, w) {
			n++
		}
	}

	return n >= quorum(len(targets))
}

// handleStored records that a node has stored an outcome or a transfer.
func (c *Claimer) handleStored(from string, id uint64) {
	for _, p := range c.pendingOutcomes {
		if p.id == id && !slices.Contains(p.storedBy, from) {
			p.storedBy = append(p.storedBy, from)
		}
	}
	c.leave.confirm(from, id)
}

func (c *Claimer) stepOutcomes(now time.Time) []Output {
	var out []Output
	c.pendingOutcomes = slices.DeleteFunc(c.pendingOutcomes, func(p *pendingOutcome) bool {
		all := !slices.ContainsFunc(p.sentTo, func(n string) bool { return !slices.Contains(p.storedBy, n) })
		if c.storedByQuorum(p) && (all || p.attempts >= maxFinishAttempts) || now.Sub(p.createdAt) >= recordTTL {
			return true
		}
		// The interval grows with each attempt, as the witnesses may be
		// unreachable for a long time.
		interval := min(finishInterval*time.Duration(max(1, p.attempts)), 10*time.Second)
		if now.Sub(p.sentAt) >= interval {
			out = append(out, c.sendOutcome(now, p)...)
		}

		return false
	})

	return out
}

// handleQuery answers another node that waits for the outcome of a key. The
// first reply states whether the request is in progress. If it is, a second one
// follows when the request has ended.
func (c *Claimer) handleQuery(now time.Time, from string, m *encoder.Query) []Output {
	r := encoder.Record{
		Subject: m.Subject, State: encoder.RecordAbandoned,
		Node: c.self.node, Incarnation: c.self.incarnation,
	}
	reply := Send{from, &encoder.QueryReply{ID: m.ID, Record: r}}
	body := &reply.Message.(*encoder.QueryReply).Record
	if m.Incarnation != c.self.incarnation {
		body.State = encoder.RecordUnknown
		return []Output{reply}
	}
	for kind := range c.own {
		cl := c.own[kind][m.Subject]
		if cl == nil || kind == int(encoder.ClaimKey) && cl.phase == querying {
			// A claim that waits for another node has released its votes and
			// counts as abandoned.
			continue
		}
		body.State, body.Claim = encoder.RecordClaimed, cl.round
		if a := (waiter{from, m.ID}); !slices.Contains(cl.waiters, a) && len(cl.waiters) < maxWaiters {
			cl.waiters = append(cl.waiters, a)
		}

		return []Output{reply}
	}
	if old, ok := c.keys.get(now, m.Subject); ok && old.state == encoder.RecordDone {
		*body = c.keys.wireRecord(now, m.Subject, old)
		return []Output{reply}
	}
	// Release any earlier claim of this incarnation, because the original release
	// may have been lost.
	out := []Output{reply}
	if c.coverage.current == nil {
		return out
	}
	for kind := range c.own {
		release := &encoder.Release{
			Kind: uint8(kind), Subject: m.Subject, Incarnation: c.self.incarnation, Claim: c.lastID,
		}
		for _, w := range c.coverage.current.witnesses(nil, m.Subject) {
			if w == c.self.node {
				c.handleRelease(c.self, release)
			} else {
				out = append(out, Send{w, release})
			}
		}
	}

	return out
}

// maxWaiters bounds the nodes that wait for one outcome.
const maxWaiters = 1024

func (c *Claimer) handleQueryReply(now time.Time, from string, m *encoder.QueryReply) []Output {
	cl := c.own[encoder.ClaimKey][m.Record.Subject]
	if cl == nil || cl.phase != querying || cl.round != m.ID || cl.holder.node != from {
		return nil
	}
	switch m.Record.State {
	case encoder.RecordClaimed:
		cl.heardAt = now
		return nil
	case encoder.RecordDone:
		return c.endClaimDone(now, cl, m.Record.Answer)
	case encoder.RecordAbandoned:
		if c.leave.handingOver {
			return c.endClaim(now, cl, Unavailable, nil)
		}
		cl.startedAt = now

		return c.backOff(now, cl)
	default:
		return c.endClaim(now, cl, MayHaveRun, nil)
	}
}
