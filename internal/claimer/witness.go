package claimer

import (
	"slices"
	"time"

	"snipedyke/pkg/encoder"
)

// handleClaim votes on a claim as a witness. It returns nil if the claim is
// outdated.
func (c *Claimer) handleClaim(now time.Time, who coordinator, m *encoder.Claim) *encoder.ClaimReply {
	if m.Kind > encoder.ClaimRun {
		return nil
	}
	reply := &encoder.ClaimReply{ID: m.ID, Incarnation: c.self.incarnation}
	if c.coverage.current == nil {
		reply.Result = encoder.ClaimStale
		return reply
	}
	reply.Hosts = c.coverage.current.version
	witnesses := c.coverage.current.witnesses(nil, m.Subject)
	if m.Hosts != reply.Hosts || c.leave.handingOver || !slices.Contains(witnesses, c.self.node) {
		reply.Result = encoder.ClaimStale
		return reply
	}
	t, limit := c.keys, maxRecords
	if m.Kind == encoder.ClaimRun {
		t, limit = c.runs, maxRunRecords
	}
	old, ok := t.get(now, m.Subject)
	switch {
	case ok && old.state == encoder.RecordClaimed && t.coordinators[old.coordinator] == who:
		if m.ID < old.claim {
			return nil
		}
		if m.Kind == encoder.ClaimKey && !c.covers(m.Subject) {
			reply.Result = encoder.ClaimUncovered
			return reply
		}
		old.claim = m.ID
		t.put(m.Subject, old)
	case ok:
		reply.Result = encoder.ClaimHeld
		r := t.wireRecord(now, m.Subject, old)
		reply.Record = &r

		return reply
	case m.Kind == encoder.ClaimKey && !c.covers(m.Subject):
		reply.Result = encoder.ClaimUncovered
		return reply
	case len(t.records) >= limit:
		reply.Result = encoder.ClaimFull
		return reply
	default:
		t.put(m.Subject, record{claim: m.ID, createdS: t.seconds(now), coordinator: t.intern(who), state: encoder.RecordClaimed})
	}
	for _, w := range witnesses {
		if f := c.coverage.pullFences[w]; f.incarnation > 0 && w != c.self.node {
			reply.Fences = append(reply.Fences, encoder.Fence{Node: w, Incarnation: f.incarnation})
		}
	}

	return reply
}

// handleRelease removes the record of a claim that its coordinator releases. A
// claim with a higher ID is kept, as the release may be late.
func (c *Claimer) handleRelease(who coordinator, m *encoder.Release) {
	if m.Kind > encoder.ClaimRun {
		return
	}
	t := c.keys
	if m.Kind == encoder.ClaimRun {
		t = c.runs
	}
	r, ok := t.records[m.Subject]
	if ok && r.state == encoder.RecordClaimed && t.coordinators[r.coordinator] == who && r.claim <= m.Claim {
		t.remove(m.Subject)
	}
}

// handleFinish stores an outcome.
func (c *Claimer) handleFinish(now time.Time, from string, m *encoder.Finish) []Output {
	if m.Record.State != encoder.RecordDone || m.Record.Node != from || !c.keys.merge(now, m.Record) {
		return nil
	}
	out := []Output{Send{from, &encoder.ClaimReply{
		ID: m.ID, Result: encoder.ClaimStored, Incarnation: c.self.incarnation,
	}}}
	// A request that queries its coordinator need not wait for the reply.
	if cl := c.own[encoder.ClaimKey][m.Record.Subject]; cl != nil && cl.phase != won {
		out = append(out, c.endClaimDone(now, cl, m.Record.Answer)...)
	}

	return out
}

func (c *Claimer) endClaimDone(now time.Time, cl *claim, answer *encoder.Answer) []Output {
	if answer == nil {
		return c.endClaim(now, cl, MayHaveRun, nil)
	}

	return c.endClaim(now, cl, Answered, answer)
}
