package claimer

import (
	"maps"
	"slices"
	"time"

	"snipedyke/pkg/encoder"
)

const (
	// maxPartRecords and maxPartBytes bound one part of a push, which must fit
	// into a frame of 1 MiB.
	maxPartRecords = 2000
	maxPartBytes   = 512 << 10
)

// sendPulls requests records from the hosts of all lists, as long as records
// are missing or older lists are not closed.
func (c *Claimer) sendPulls(now time.Time) []Output {
	v := &c.coverage
	if v.ready && v.closed == v.current.version || c.leave.handingOver {
		return nil
	}
	var out []Output
	for _, n := range c.sources() {
		r := v.replies[n]
		if r == nil {
			r = &reply{}
			v.replies[n] = r
		}
		// A member that has sent its records needs to report only its state.
		known := r.complete && (v.ready || r.memberSince != 0)
		interval := pullInterval
		if known {
			interval = pollInterval
		}
		done := v.ready && r.complete && r.covering && r.epoch >= v.epoch
		if done || r.lastPull != 0 && now.Sub(r.pulledAt) < interval {
			continue
		}
		c.lastID++
		r.lastPull, r.pulledAt = c.lastID, now
		m := &encoder.Pull{ID: c.lastID, Hosts: v.current.version, Incarnation: c.self.incarnation, Since: v.readyVersion}
		if known {
			m.Since = v.current.version
		}
		out = append(out, Send{n, m})
	}

	return out
}

// sources returns the sorted names of the hosts of all lists except this node.
func (c *Claimer) sources() []string {
	names := slices.Clone(c.coverage.current.ranks.Names())
	for _, r := range c.coverage.former {
		names = append(names, r.ranks.Names()...)
	}
	slices.Sort(names)

	return slices.DeleteFunc(slices.Compact(names), func(n string) bool { return n == c.self.node })
}

// newPush returns a push with the state of this node.
func (c *Claimer) newPush(now time.Time, pull uint64) *encoder.Push {
	v := &c.coverage
	p := &encoder.Push{
		Pull: pull, Hosts: v.current.version, Incarnation: c.self.incarnation, Epoch: v.epoch,
		Covering: v.ready, Member: v.memberSince, Closed: v.closed, Last: true,
	}
	for _, r := range v.former {
		p.Former = append(p.Former, encoder.Roster{Hosts: r.version, Names: r.ranks.Names()})
	}
	for _, n := range slices.Sorted(maps.Keys(v.handedOver)) {
		p.Transferred = append(p.Transferred, v.handedOver[n])
	}
	for _, g := range v.gaps {
		p.Gaps = append(p.Gaps, encoder.Gap{
			Roster:  encoder.Roster{Hosts: g.roster.version, Names: g.roster.ranks.Names()},
			Missing: g.missing, Age: now.Sub(g.createdAt).Microseconds(),
		})
	}

	return p
}

// handlePull answers with the records of which the peer is a witness. It
// answers only under the same host list: as this node grants nothing under
// older lists from then on, the peer misses no claim.
func (c *Claimer) handlePull(now time.Time, from string, m *encoder.Pull) []Output {
	v := &c.coverage
	if v.current == nil || m.Hosts != v.current.version || c.leave.handingOver {
		return nil
	}
	f := v.pullFences[from]
	// The receiver could mistake parts of two answers to one pull for one
	// answer.
	if m.Incarnation < f.incarnation || m.Incarnation == f.incarnation && m.ID <= f.pull {
		return nil
	}
	previous := f.previous
	if f.incarnation < m.Incarnation {
		previous = f.incarnation
	}
	v.pullFences[from] = fence{m.Incarnation, m.ID, previous}
	if t, ok := v.handedOver[from]; ok && t.Next == 0 && m.Incarnation > t.Incarnation {
		t.Next = m.Incarnation
		v.handedOver[from] = t
	}

	push := c.newPush(now, m.ID)
	push.Past = previous

	return c.sendParts(from, push, c.recordsFor(now, from, v.current, m.Since))
}

// recordsFor returns the records of which the node is a witness under the list.
// It omits records whose witnesses have not changed since a list for which the
// node had all its records.
func (c *Claimer) recordsFor(now time.Time, node string, list *roster, since uint64) []encoder.Record {
	v := &c.coverage
	rosters := c.rostersSince(since)
	var space, other [witnessCount]string
	subjects := c.keys.subjects(func(s encoder.Subject, _ record) bool {
		if _, ok := c.keys.get(now, s); !ok {
			return false
		}
		w := list.witnesses(space[:0], s)
		if !slices.Contains(w, node) {
			return false
		}
		for _, r := range rosters {
			if !slices.Equal(w, r.witnesses(other[:0], s)) {
				return true
			}
		}

		return len(rosters) == 0 && since != v.current.version
	})
	out := make([]encoder.Record, 0, len(subjects))
	for _, s := range subjects {
		out = append(out, c.keys.wireRecord(now, s, c.keys.records[s]))
	}

	return out
}

// rostersSince returns the lists from version since up to the one before the
// present list, or nil if this node does not know all of them.
func (c *Claimer) rostersSince(since uint64) []*roster {
	for i, r := range c.coverage.former {
		if r.version == since {
			return c.coverage.former[i:]
		}
	}

	return nil
}

// sendParts sends records in parts of limited size.
func (c *Claimer) sendParts(to string, first *encoder.Push, records []encoder.Record) []Output {
	parts := []*encoder.Push{first}
	first.Last = false
	p, bytes := first, 0
	for _, r := range records {
		n := 80 + len(r.Node) + answerSize(r.Answer)
		if len(p.Records) >= maxPartRecords || len(p.Records) > 0 && bytes+n > maxPartBytes {
			p = &encoder.Push{
				Pull: first.Pull, Hosts: first.Hosts, Incarnation: first.Incarnation, Epoch: first.Epoch,
				Covering: first.Covering, Member: first.Member, Part: uint32(len(parts)),
			}
			parts = append(parts, p)
			bytes = 0
		}
		p.Records = append(p.Records, r)
		bytes += n
	}
	p.Last = true
	out := make([]Output, 0, len(parts))
	for _, p := range parts {
		if first.ID != 0 {
			c.lastID++
			p.ID = c.lastID
			c.leave.unconfirmed[to] = append(c.leave.unconfirmed[to], c.lastID)
		}
		out = append(out, Send{to, p})
	}

	return out
}

// handlePush stores the records of a push and the reported state of the peer.
func (c *Claimer) handlePush(now time.Time, from string, m *encoder.Push) []Output {
	v := &c.coverage
	stored := true
	for _, r := range m.Records {
		stored = c.keys.merge(now, r) && stored
	}
	var out []Output
	if m.ID != 0 && stored {
		out = append(out, Send{from, &encoder.ClaimReply{
			ID: m.ID, Result: encoder.ClaimStored, Incarnation: c.self.incarnation,
		}})
		c.addTransferPart(from, m)
	}
	if v.current == nil || m.Hosts != v.current.version {
		return out
	}
	r := v.replies[from]
	if r == nil {
		r = &reply{}
		v.replies[from] = r
	}
	if m.Incarnation < r.incarnation {
		return out
	}
	if m.Incarnation > r.incarnation {
		*r = reply{incarnation: m.Incarnation, lastPull: r.lastPull, pulledAt: r.pulledAt}
	}
	if m.Part == 0 && m.Epoch >= v.epoch {
		c.addFormer(m.Closed, m.Former)
		c.addGaps(now, m.Gaps)
	}
	if m.Pull == 0 && m.ID == 0 {
		// The push announces that the peer is ready, and has no records.
		r.covering = r.covering || m.Covering
		return append(out, c.stepCoverage(now)...)
	}
	switch {
	case m.ID == 0 && stored:
		r.addPart(m)
	case m.ID != 0 && v.handedOver[from].Incarnation == m.Incarnation && v.handedOver[from].Hosts == m.Hosts:
		// The peer does not vote any more, so its transfer is equivalent to an
		// answer to a pull.
		r.setState(m)
	}

	return append(out, c.stepCoverage(now)...)
}

// addTransferPart records a part of the records that a leaving node transfers,
// whichever list it left.
func (c *Claimer) addTransferPart(from string, m *encoder.Push) {
	v := &c.coverage
	if m.Incarnation <= v.handedOver[from].Incarnation || m.Incarnation < v.pullFences[from].incarnation {
		return
	}
	p := v.transfers[from]
	if p == nil {
		p = &parts{}
		v.transfers[from] = p
	}
	if p.add(m) {
		delete(v.transfers, from)
		v.handedOver[from] = encoder.Transfer{Node: from, Incarnation: m.Incarnation, Hosts: m.Hosts}
	}
}

// addPart records a part of an answer.
func (r *reply) addPart(m *encoder.Push) {
	if m.Part == 0 {
		r.handedOver, r.previous = m.Transferred, m.Past
	}
	if r.parts.add(m) {
		r.setState(m)
	}
}

// setState sets the state that the sender reports with a complete answer.
func (r *reply) setState(m *encoder.Push) {
	r.complete = true
	r.covering = r.covering || m.Covering
	r.memberSince, r.epoch = m.Member, m.Epoch
}

// add records a part and reports whether the answer is complete with it.
func (p *parts) add(m *encoder.Push) bool {
	if m.Incarnation < p.incarnation || m.Incarnation == p.incarnation && m.Pull < p.pull {
		return false
	}
	if m.Incarnation > p.incarnation || m.Pull > p.pull {
		*p = parts{incarnation: m.Incarnation, pull: m.Pull, received: map[uint32]bool{}}
	}
	p.received[m.Part] = true
	if m.Last {
		p.total = int(m.Part) + 1
	}

	return p.total > 0 && len(p.received) >= p.total
}
