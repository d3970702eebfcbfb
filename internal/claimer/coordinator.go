package claimer

import (
	"slices"
	"time"

	"snipedyke/pkg/encoder"
)

type phase uint8

const (
	// voting waits for the votes of the witnesses.
	voting phase = iota
	// backingOff waits for the next attempt after a lost vote.
	backingOff
	// querying waits for the answer of another coordinator.
	querying
	// won has a quorum of grants and has not ended yet.
	won
)

// claim is a claim that this node coordinates.
type claim struct {
	kind    uint8
	subject encoder.Subject
	// ids are the requests that share the claim. Once the claim is won, the
	// first one holds it.
	ids   []uint64
	phase phase
	// startedAt is the time of the first attempt, and sentAt the time at which
	// votes were last requested or the query was last sent.
	startedAt time.Time
	sentAt    time.Time
	// round is the ID of the present attempt, version the version of its host
	// list, and witnesses the subject's witnesses under that list.
	round     uint64
	version   uint64
	witnesses []string
	votes     []vote
	// contacted holds all nodes that may have a record of this claim.
	contacted []string
	// retryAt is the time of the next attempt after a lost vote.
	retryAt time.Time
	// contended reports whether the last vote was lost to another coordinator.
	contended bool

	// holder is the coordinator that is queried, with round as the ID of the
	// query. heardAt is the time of its last sign of progress.
	holder  coordinator
	heardAt time.Time
	// waiters are the queries of other nodes that wait for the answer.
	waiters []waiter
}

// waiter is a query of another node for the outcome of a claim.
type waiter struct {
	node string
	id   uint64
}

// vote is the reply of a witness in the present round.
type vote struct {
	node       string
	receivedAt time.Time
	result     uint8
	// retried reports whether the witness could not vote and has been asked
	// again.
	retried bool
	// incarnation and fences are those of the witness.
	incarnation uint64
	fences      []encoder.Fence
	record      *encoder.Record
}

// fence returns the incarnation in the witness's fence for a node, or zero.
func (v *vote) fence(node string) uint64 {
	for _, f := range v.fences {
		if f.Node == node {
			return f.Incarnation
		}
	}

	return 0
}

// startRound requests votes from the witnesses under the present list.
func (c *Claimer) startRound(now time.Time, cl *claim) []Output {
	c.lastID++
	cl.phase, cl.round, cl.sentAt = voting, c.lastID, now
	cl.version = c.coverage.current.version
	cl.witnesses = c.coverage.current.witnesses(nil, cl.subject)
	cl.votes = nil
	out := c.requestVotes(now, cl)

	return append(out, c.evaluate(now, cl)...)
}

// requestVotes sends the claim to the witnesses that have not voted.
func (c *Claimer) requestVotes(now time.Time, cl *claim) []Output {
	var out []Output
	for _, w := range cl.witnesses {
		if slices.ContainsFunc(cl.votes, func(v vote) bool { return v.node == w && !v.retried }) {
			continue
		}
		if !slices.Contains(cl.contacted, w) {
			cl.contacted = append(cl.contacted, w)
		}
		m := &encoder.Claim{
			ID: cl.round, Kind: cl.kind, Subject: cl.subject,
			Hosts: cl.version, Incarnation: c.self.incarnation,
		}
		if w != c.self.node {
			out = append(out, Send{w, m})
		} else if reply := c.handleClaim(now, c.self, m); reply != nil {
			cl.addVote(now, w, reply)
		}
	}

	return out
}

// addVote adds the vote of a witness or replaces its earlier one. A vote of an
// older incarnation is ignored.
func (cl *claim) addVote(now time.Time, from string, m *encoder.ClaimReply) {
	v := vote{
		node: from, receivedAt: now, result: m.Result, incarnation: m.Incarnation,
		fences: m.Fences, record: m.Record,
	}
	for i := range cl.votes {
		if cl.votes[i].node == from {
			if cl.votes[i].incarnation <= m.Incarnation {
				cl.votes[i] = v
			}

			return
		}
	}
	cl.votes = append(cl.votes, v)
}

// handleClaimReply counts the vote of a witness.
func (c *Claimer) handleClaimReply(now time.Time, from string, m *encoder.ClaimReply) []Output {
	for _, cl := range c.active {
		if cl.phase != voting || cl.round != m.ID {
			continue
		}
		if !slices.Contains(cl.witnesses, from) || m.Result == encoder.ClaimGranted && m.Hosts != cl.version {
			return nil
		}
		// A reply that was buffered while this process was paused is still a
		// valid grant, but the caller has waited long enough.
		if now.Sub(cl.startedAt) > claimTimeout {
			return c.timeOut(now, cl)
		}
		cl.addVote(now, from, m)

		return c.evaluate(now, cl)
	}

	return nil
}

// evaluate ends the round if the votes so far decide it.
func (c *Claimer) evaluate(now time.Time, cl *claim) []Output {
	n := len(cl.witnesses)
	var heldBy *encoder.Record
	count := [5]int{}
	for i := range cl.votes {
		v := &cl.votes[i]
		if int(v.result) < len(count) {
			count[v.result]++
		}
		if v.result != encoder.ClaimHeld || v.record == nil {
			continue
		}
		if v.record.State == encoder.RecordDone {
			if v.record.Answer == nil {
				return c.endClaim(now, cl, MayHaveRun, nil)
			}

			return c.endClaim(now, cl, Answered, v.record.Answer)
		}
		if heldBy == nil || v.record.State == encoder.RecordContested {
			heldBy = v.record
		}
	}
	switch {
	case cl.compatibleGrants() >= quorum(n):
		return c.winClaim(cl)
	case heldBy != nil && (count[encoder.ClaimHeld] > n-quorum(n) || len(cl.votes) == n ||
		now.Sub(cl.sentAt) >= resendInterval):
		return c.loseVote(now, cl, heldBy)
	case count[encoder.ClaimFull] > n-quorum(n):
		return c.endClaim(now, cl, Full, nil)
	}

	return nil
}

// compatibleGrants returns the size of the largest set of compatible grants.
//
// A witness that restarted has pulled its records from the others. A grant
// that one of them gave after that pull is not compatible with a grant of the
// witness's earlier incarnation, because the pull did not include a record of
// it.
func (cl *claim) compatibleGrants() int {
	best := 0
	for i := range cl.votes {
		v := &cl.votes[i]
		if v.result != encoder.ClaimGranted {
			continue
		}
		n := 1
		for j := range cl.votes {
			w := &cl.votes[j]
			if j != i && w.result == encoder.ClaimGranted &&
				v.fence(w.node) <= w.incarnation && w.fence(v.node) <= v.incarnation {
				n++
			}
		}
		// With three witnesses, a quorum is a pair that includes v.
		best = max(best, n)
	}

	return best
}

func (c *Claimer) winClaim(cl *claim) []Output {
	cl.phase = won
	c.deactivate(cl)
	out := []Output{Verdict{ID: cl.ids[0], Kind: cl.kind, Subject: cl.subject, Result: Won}}
	if cl.kind == encoder.ClaimRun {
		for _, id := range cl.ids[1:] {
			out = append(out, Verdict{ID: id, Kind: cl.kind, Subject: cl.subject, Result: Busy})
		}
		cl.ids = cl.ids[:1]
	}

	return out
}

// loseVote releases the claim and, for a key, queries the holder for its
// answer.
func (c *Claimer) loseVote(now time.Time, cl *claim, r *encoder.Record) []Output {
	holder := coordinator{r.Node, r.Incarnation}
	if cl.kind == encoder.ClaimKey && r.State == encoder.RecordContested ||
		holder.node == c.self.node && holder.incarnation != c.self.incarnation {
		return c.endClaim(now, cl, MayHaveRun, nil)
	}
	out := c.sendReleases(cl)
	cl.contended = true
	if holder == c.self {
		// A record of this incarnation without a claim is left over from an
		// earlier claim.
		return append(out, c.backOff(now, cl)...)
	}
	c.lastID++
	cl.round, cl.holder = c.lastID, holder
	query := Send{holder.node, &encoder.Query{ID: cl.round, Subject: cl.subject, Incarnation: holder.incarnation}}
	out = append(out, query)
	if cl.kind == encoder.ClaimRun {
		// The query makes the holder release claims that it does not run any more.
		return append(out, c.backOff(now, cl)...)
	}
	cl.phase, cl.heardAt, cl.sentAt = querying, now, now

	return out
}

// backOff schedules the next attempt after a random delay.
func (c *Claimer) backOff(now time.Time, cl *claim) []Output {
	jitter := minJitter + time.Duration(c.rng.Int64N(int64(maxJitter-minJitter)))
	cl.phase, cl.retryAt, cl.votes = backingOff, now.Add(jitter), nil

	return nil
}

// timeOut ends a claim that did not collect its votes in time.
func (c *Claimer) timeOut(now time.Time, cl *claim) []Output {
	result := Unavailable
	uncovered := 0
	for _, v := range cl.votes {
		if v.result == encoder.ClaimUncovered {
			uncovered++
		}
	}
	switch {
	case cl.kind == encoder.ClaimRun && cl.contended:
		result = Busy
	case uncovered > len(cl.witnesses)-quorum(len(cl.witnesses)):
		result = Unverifiable
	}

	return c.endClaim(now, cl, result, nil)
}

func (c *Claimer) stepClaim(now time.Time, cl *claim) []Output {
	switch cl.phase {
	case voting, backingOff:
		if now.Sub(cl.startedAt) > claimTimeout {
			return c.timeOut(now, cl)
		}
		if cl.phase == backingOff {
			if now.Before(cl.retryAt) {
				return nil
			}

			return c.startRound(now, cl)
		}
		if out := c.evaluate(now, cl); len(out) > 0 {
			return out
		}
		// Witnesses that could not vote may be able to vote now.
		retry := false
		for i := range cl.votes {
			v := &cl.votes[i]
			if v.result != encoder.ClaimGranted && v.result != encoder.ClaimHeld && now.Sub(v.receivedAt) >= retryInterval {
				v.retried, v.receivedAt, retry = true, now, true
			}
		}
		if retry || now.Sub(cl.sentAt) >= resendInterval {
			cl.sentAt = now
			out := c.requestVotes(now, cl)

			return append(out, c.evaluate(now, cl)...)
		}
	case querying:
		if now.Sub(cl.heardAt) > queryTimeout {
			return c.endClaim(now, cl, MayHaveRun, nil)
		}
		if now.Sub(cl.sentAt) >= queryInterval {
			cl.sentAt = now

			return []Output{Send{cl.holder.node, &encoder.Query{
				ID: cl.round, Subject: cl.subject, Incarnation: cl.holder.incarnation,
			}}}
		}
	}

	return nil
}

// Abandon ends a claim that led to no dispatch, or only to dispatches that are
// known not to have run. If another request of this node shares the claim, the
// claim passes to it.
func (c *Claimer) Abandon(now time.Time, kind uint8, subject encoder.Subject) []Output {
	if kind > encoder.ClaimRun {
		return nil
	}
	cl := c.own[kind][subject]
	if cl == nil {
		return nil
	}
	if len(cl.ids) > 1 {
		cl.ids = cl.ids[1:]
		if cl.phase == won {
			return []Output{Verdict{ID: cl.ids[0], Kind: kind, Subject: subject, Result: Won}}
		}

		return nil
	}
	cl.ids = nil

	return c.endClaim(now, cl, Unavailable, nil)
}

// Release ends a run claim. For a key it is the same as Abandon.
func (c *Claimer) Release(now time.Time, kind uint8, subject encoder.Subject) []Output {
	return c.Abandon(now, kind, subject)
}

// sendReleases releases the claim at all nodes that may have a record of it.
func (c *Claimer) sendReleases(cl *claim) []Output {
	m := &encoder.Release{
		Kind: cl.kind, Subject: cl.subject, Incarnation: c.self.incarnation, Claim: cl.round,
	}
	var out []Output
	for _, w := range cl.contacted {
		if w == c.self.node {
			c.handleRelease(c.self, m)
		} else {
			out = append(out, Send{w, m})
		}
	}

	return out
}

// endClaim ends a claim that led to no run on this node, and notifies all
// requests and nodes that wait for it.
func (c *Claimer) endClaim(_ time.Time, cl *claim, result Result, answer *encoder.Answer) []Output {
	out := c.sendReleases(cl)
	c.removeClaim(cl)
	for _, id := range cl.ids {
		out = append(out, Verdict{ID: id, Kind: cl.kind, Subject: cl.subject, Result: result, Answer: answer})
	}
	for _, a := range cl.waiters {
		out = append(out, Send{a.node, &encoder.QueryReply{ID: a.id, Record: encoder.Record{
			Subject: cl.subject, State: encoder.RecordAbandoned,
			Node: c.self.node, Incarnation: c.self.incarnation, Claim: cl.round,
		}}})
	}

	return out
}

func (c *Claimer) removeClaim(cl *claim) {
	delete(c.own[cl.kind], cl.subject)
	c.deactivate(cl)
}

func (c *Claimer) deactivate(cl *claim) {
	if i := slices.Index(c.active, cl); i >= 0 {
		c.active = slices.Delete(c.active, i, i+1)
	}
}
