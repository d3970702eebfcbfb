// Package claimer ensures that at most one node dispatches a request with an
// idempotency key, and that at most one run of a fingerprint proceeds at a
// time. It holds the claims that this node coordinates and the records that it
// stores as a witness.
//
// docs/decisions/at-most-once.md gives the rules and the reasons.
package claimer

import (
	"encoding/binary"
	"math/rand/v2"
	"time"

	"snipedyke/internal/ranker"
	"snipedyke/pkg/cataloguer"
	"snipedyke/pkg/encoder"
)

const (
	// witnessCount is the number of witnesses of a subject.
	witnessCount = 3
	// claimTimeout is the time within which a claim must collect its votes.
	claimTimeout = 250 * time.Millisecond
	// resendInterval is the time after which an unanswered claim is sent again.
	resendInterval = 60 * time.Millisecond
	// retryInterval is the time after which a witness that could not vote is
	// asked again.
	retryInterval = 25 * time.Millisecond
	// minJitter and maxJitter bound the random delay after a split vote. They
	// span several network transits, so that one of the competing coordinators
	// gets ahead of the others.
	minJitter = 4 * time.Millisecond
	maxJitter = 40 * time.Millisecond
	// queryInterval is the time between two queries to the same coordinator. A
	// coordinator that does not reply for queryTimeout counts as lost.
	queryInterval = 200 * time.Millisecond
	queryTimeout  = time.Second
	// finishInterval is the time between two attempts to store an outcome.
	// maxFinishAttempts bounds the attempts once a quorum has stored it.
	finishInterval    = 200 * time.Millisecond
	maxFinishAttempts = 5
	// maxOwnClaims bounds the claims that this node coordinates at once.
	maxOwnClaims = 50_000
	// maxRunRecords bounds the run claims that a witness stores.
	maxRunRecords = 100_000
)

// Claimer holds the claims and records of one node. It is not safe for
// concurrent use. The times passed to its methods must be monotonic and must
// not decrease.
type Claimer struct {
	self coordinator
	rng  *rand.Rand

	keys *table
	runs *table
	own  [2]map[encoder.Subject]*claim
	// active holds the claims that wait for votes, replies or a retry, in the
	// order of their start.
	active []*claim
	// pendingOutcomes holds the outcomes that are still being sent to witnesses.
	pendingOutcomes []*pendingOutcome
	// lastID is the ID of the last claim, query, pull or transfer.
	lastID   uint64
	coverage coverage
	leave    leaveState
}

// New returns a claimer that has no host list and covers no keys.
func New(self string, incarnation uint64, seed uint64) *Claimer {
	return &Claimer{
		self: coordinator{self, incarnation},
		// The IDs of two incarnations start at different points, so that a late
		// reply to an earlier incarnation does not match a request of this one.
		lastID:   rand.NewPCG(incarnation, 0).Uint64() >> 1,
		rng:      rand.New(rand.NewPCG(seed, incarnation)),
		keys:     newTable(),
		runs:     newTable(),
		own:      [2]map[encoder.Subject]*claim{{}, {}},
		coverage: newCoverage(),
	}
}

// roster holds the hosts of one host list that have shared duties.
type roster struct {
	version uint64
	ranks   *ranker.Ranker
}

func newRoster(version uint64, names []string) *roster {
	return &roster{version: version, ranks: ranker.New(names)}
}

// witnesses appends the witnesses of a subject to out.
func (r *roster) witnesses(out []string, s encoder.Subject) []string {
	return r.ranks.AppendTop(out, binary.BigEndian.Uint64(s[:8]), witnessCount)
}

// quorum returns the number of grants out of n witnesses that win a claim. Any
// two quorums have a witness in common.
func quorum(n int) int { return n/2 + 1 }

// maxMissingWitnesses returns the number of witnesses out of n that may be
// missing while every quorum still includes one of the others.
func maxMissingWitnesses(n int) int { return quorum(n) - 1 }

// SetHosts applies a host list. A list that is not newer than the present one
// is ignored.
func (c *Claimer) SetHosts(now time.Time, hosts *cataloguer.Hosts) []Output {
	if hosts == nil || c.leave.handingOver || c.coverage.current != nil && uint64(hosts.Version) <= c.coverage.current.version {
		return nil
	}
	out := c.setRoster(now, newRoster(uint64(hosts.Version), ranker.NotLeaving(hosts)))
	// Votes under the previous list are void.
	for _, cl := range append([]*claim(nil), c.active...) {
		if cl.phase == voting || cl.phase == backingOff {
			out = append(out, c.startRound(now, cl)...)
		}
	}

	return out
}

// Claim claims a subject for the request with the given ID. Requests of this
// node for the same idempotency key share one claim.
func (c *Claimer) Claim(now time.Time, id uint64, kind uint8, subject encoder.Subject) []Output {
	if kind > encoder.ClaimRun {
		return nil
	}
	if cl := c.own[kind][subject]; cl != nil {
		if kind == encoder.ClaimRun {
			return []Output{Verdict{ID: id, Kind: kind, Subject: subject, Result: Busy}}
		}
		cl.ids = append(cl.ids, id)

		return nil
	}
	result := Result(0)
	if r, ok := c.keys.get(now, subject); ok && kind == encoder.ClaimKey && r.state == encoder.RecordDone {
		// The witnesses may not have the outcome yet, and would then grant the
		// claim to this coordinator again.
		result = Answered
		if r.answer == nil {
			result = MayHaveRun
		}

		return []Output{Verdict{ID: id, Kind: kind, Subject: subject, Result: result, Answer: r.answer}}
	}
	switch {
	case c.coverage.current == nil || c.leave.handingOver:
		result = Unavailable
	case len(c.own[0])+len(c.own[1]) >= maxOwnClaims:
		result = Full
	}
	if result != 0 {
		return []Output{Verdict{ID: id, Kind: kind, Subject: subject, Result: result}}
	}
	cl := &claim{kind: kind, subject: subject, ids: []uint64{id}, startedAt: now}
	c.own[kind][subject] = cl
	c.active = append(c.active, cl)

	return c.startRound(now, cl)
}

// Receive handles a message from a peer. Messages of unrelated types are
// ignored.
func (c *Claimer) Receive(now time.Time, from string, m encoder.Message) []Output {
	switch m := m.(type) {
	case *encoder.Claim:
		if reply := c.handleClaim(now, coordinator{from, m.Incarnation}, m); reply != nil {
			return []Output{Send{from, reply}}
		}
	case *encoder.ClaimReply:
		if m.Result == encoder.ClaimStored {
			c.handleStored(from, m.ID)
			return nil
		}

		return c.handleClaimReply(now, from, m)
	case *encoder.Release:
		c.handleRelease(coordinator{from, m.Incarnation}, m)
	case *encoder.Finish:
		return c.handleFinish(now, from, m)
	case *encoder.Query:
		return c.handleQuery(now, from, m)
	case *encoder.QueryReply:
		return c.handleQueryReply(now, from, m)
	case *encoder.Pull:
		return c.handlePull(now, from, m)
	case *encoder.Push:
		return c.handlePush(now, from, m)
	}

	return nil
}

// NodeJoined records that an incarnation of a node is reachable, which means
// that all older incarnations have ended.
func (c *Claimer) NodeJoined(now time.Time, node string, incarnation uint64) []Output {
	if incarnation == 0 {
		return nil
	}

	return c.endIncarnation(now, coordinator{node, incarnation - 1})
}

// NodeLost records that an incarnation of a node, and all older ones, have
// restarted or are unreachable. Requests that wait for its answer get a verdict.
func (c *Claimer) NodeLost(now time.Time, node string, incarnation uint64) []Output {
	if ids, ok := c.leave.unconfirmed[node]; ok && len(ids) > 0 {
		// A lost peer cannot confirm transfers, and when a whole fleet shuts
		// down, its nodes must not wait for each other. The other witnesses
		// have the records.
		c.leave.unconfirmed[node] = ids[:0]
	}
	return c.endIncarnation(now, coordinator{node, incarnation})
}

// endIncarnation removes the run claims of a coordinator and its older
// incarnations, and ends the claims that wait for their answer.
func (c *Claimer) endIncarnation(now time.Time, who coordinator) []Output {
	for _, s := range c.runs.subjects(func(_ encoder.Subject, r record) bool {
		h := c.runs.coordinators[r.coordinator]
		return h.node == who.node && h.incarnation <= who.incarnation
	}) {
		c.runs.remove(s)
	}
	var out []Output
	for _, cl := range append([]*claim(nil), c.active...) {
		if cl.phase == querying && cl.holder.node == who.node && cl.holder.incarnation <= who.incarnation {
			out = append(out, c.endClaim(now, cl, MayHaveRun, nil)...)
		}
	}

	return out
}

// Step performs all actions that are due.
func (c *Claimer) Step(now time.Time) []Output {
	c.keys.sweep(now)
	c.runs.sweep(now)
	var out []Output
	for _, cl := range append([]*claim(nil), c.active...) {
		out = append(out, c.stepClaim(now, cl)...)
	}
	out = append(out, c.stepOutcomes(now)...)
	out = append(out, c.stepCoverage(now)...)

	return append(out, c.stepLeave(now)...)
}

// RecordCount returns the number of records of idempotency keys.
func (c *Claimer) RecordCount() int { return len(c.keys.records) }
