package aggregator

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"snipedyke/pkg/encoder"
)

const (
	// UpdateInterval is the time between two updates of a node. It is a part of
	// the time in which an engine reads a long prompt (100 ms).
	UpdateInterval = 20 * time.Millisecond
	// mostShifts bounds the shifts of an update. A shift has 5 bytes, so that a
	// node gets 10 KB of updates a second at most, of the 19 KB that control may
	// cost. The greatest ones go first.
	mostShifts = 40
)

// shifts are changes by endpoint.
type shifts map[uint32]encoder.Shift

func (s shifts) add(list encoder.Shifts, sign int) {
	for _, x := range list {
		old := s[x.Endpoint]
		s[x.Endpoint] = encoder.Shift{
			Endpoint: x.Endpoint, Running: old.Running + sign*x.Running, Chunks: old.Chunks + sign*x.Chunks,
		}
	}
}

// pending is a change that has not been told.
type pending struct {
	long, short int32
	shifts      shifts
}

func (p *pending) add(c encoder.Change) {
	if p.shifts == nil {
		p.shifts = shifts{}
	}
	p.long += c.Long
	p.short += c.Short
	p.shifts.add(c.Shifts, 1)
}

// change returns the change without the part of a node, whose own it is.
func (p *pending) change(name string, own *pending) encoder.Change {
	c := encoder.Change{Centre: name, Long: p.long, Short: p.short}
	if own != nil {
		c.Long -= own.long
		c.Short -= own.short
	}
	for endpoint, x := range p.shifts {
		if own != nil {
			o := own.shifts[endpoint]
			x.Running -= o.Running
			x.Chunks -= o.Chunks
		}
		if x.Running != 0 || x.Chunks != 0 {
			c.Shifts = append(c.Shifts, x)
		}
	}
	slices.SortFunc(c.Shifts, func(a, b encoder.Shift) int {
		if a.Endpoint < b.Endpoint {
			return -1
		}

		return 1
	})

	return c
}

func empty(c encoder.Change) bool { return c.Long == 0 && c.Short == 0 && len(c.Shifts) == 0 }

// Update takes what has changed in the node's own load, and returns the
// messages that tell of it. A speaker also passes on what it has heard.
func (a *Aggregator) Update(now time.Time, own encoder.Change) []Output {
	a.untold.add(own)
	speaker := a.speaker(now)
	if speaker != a.opts.Self {
		c := a.untold.change(a.opts.Centre, nil)
		a.forget()
		if empty(c) {
			return nil
		}

		return []Output{{speaker, &encoder.Update{Changes: []encoder.Change{c}}}}
	}

	return a.pass(now)
}

// pass returns the updates of a speaker.
func (a *Aggregator) pass(now time.Time) []Output {
	var all pending
	all.add(a.untold.change(a.opts.Centre, nil))
	for _, m := range a.members {
		all.add(m.untold.change(a.opts.Centre, nil))
	}
	names := a.names()
	// rest is what members are told.
	var rest pending
	rest.add(all.change(a.opts.Centre, nil))
	for _, name := range names {
		rest.add(a.centres[name].untold.change(name, nil))
	}
	chosen := greatest(&rest)
	var out []Output
	if c := only(all.change(a.opts.Centre, nil), chosen); !empty(c) {
		for _, name := range names {
			out = append(out, Output{a.centres[name].speaker, &encoder.Update{Changes: []encoder.Change{c}}})
		}
	}
	for _, addr := range a.live(now) {
		if c := only(rest.change("", &a.members[addr].untold), chosen); !empty(c) {
			out = append(out, Output{addr, &encoder.Update{Changes: []encoder.Change{c}}})
		}
	}
	a.told(chosen)

	return out
}

// greatest returns the endpoints whose load has changed most, or nil for all.
func greatest(p *pending) map[uint32]bool {
	list := p.change("", nil).Shifts
	if len(list) <= mostShifts {
		return nil
	}
	slices.SortFunc(list, func(x, y encoder.Shift) int { return cmp.Compare(weight(y), weight(x)) })
	chosen := make(map[uint32]bool, mostShifts)
	for _, x := range list[:mostShifts] {
		chosen[x.Endpoint] = true
	}

	return chosen
}

// weight is how much a shift matters: a request that runs counts like the
// reading of two chunks.
func weight(x encoder.Shift) int {
	return max(x.Chunks, -x.Chunks) + 2*max(x.Running, -x.Running)
}

// only leaves the shifts of the chosen endpoints, or all of them if chosen is
// nil.
func only(c encoder.Change, chosen map[uint32]bool) encoder.Change {
	if chosen != nil {
		c.Shifts = slices.DeleteFunc(c.Shifts, func(x encoder.Shift) bool { return !chosen[x.Endpoint] })
	}

	return c
}

// told drops what has been told of the chosen endpoints, or all if chosen is
// nil.
func (a *Aggregator) told(chosen map[uint32]bool) {
	if chosen == nil {
		a.forget()

		return
	}
	drop := func(p *pending) {
		p.long, p.short = 0, 0
		for endpoint := range chosen {
			delete(p.shifts, endpoint)
		}
	}
	drop(&a.untold)
	for _, m := range a.members {
		drop(&m.untold)
	}
	for _, c := range a.centres {
		drop(&c.untold)
	}
}

// forget drops the changes that have been told.
func (a *Aggregator) forget() { a.settle(part{}) }

// update takes the update of a node.
func (a *Aggregator) update(now time.Time, from netip.Addr, u *encoder.Update) {
	speaker := a.speaker(now)
	for _, c := range u.Changes {
		switch {
		case c.Centre == "":
			if from == speaker {
				a.since.add(c)
				a.move(c)
			}
		case speaker != a.opts.Self:
			// The sender does not know the speaker; the next digest tells it.
		case c.Centre != a.opts.Centre:
			if known := a.centres[c.Centre]; known != nil && from == known.speaker {
				apply(&known.sum, c)
				known.untold.add(c)
				a.move(c)
			}
		default:
			if m := a.members[from]; m != nil {
				apply(&m.sum, c)
				m.untold.add(c)
				apply(&a.own, c)
				a.move(c)
			}
		}
	}
}

// move notes the endpoints of a change.
func (a *Aggregator) move(c encoder.Change) {
	for _, x := range c.Shifts {
		a.moved = append(a.moved, x.Endpoint)
	}
}

// settle drops the changes that the full sums of a part contain.
func (p *pending) settle(told part) {
	p.long, p.short = 0, 0
	for endpoint := range p.shifts {
		if told.has(endpoint) {
			delete(p.shifts, endpoint)
		}
	}
}

// settle drops the changes that the digests of a part have told.
func (a *Aggregator) settle(told part) {
	a.untold.settle(told)
	for _, m := range a.members {
		m.untold.settle(told)
	}
	for _, c := range a.centres {
		c.untold.settle(told)
	}
}

// Heard tells whether a digest has come since the last call, after which the
// load of all endpoints may have changed.
func (a *Aggregator) Heard() bool {
	heard := a.heard
	a.heard = false
	if heard {
		a.moved = nil
	}

	return heard
}

// Moved returns the load of the other nodes at the endpoints that updates have
// told of since the last call, or false.
func (a *Aggregator) Moved(now time.Time) (encoder.Sum, bool) {
	if len(a.moved) == 0 {
		return encoder.Sum{}, false
	}
	slices.Sort(a.moved)
	moved := slices.Compact(a.moved)
	a.moved = nil
	sums := a.foreign(now)
	if now.Sub(a.ownHeard) < lifetime {
		sums = append(sums, a.own)
	}
	total := encoder.Sum{Loads: make([]encoder.Load, len(moved))}
	for i, endpoint := range moved {
		total.Loads[i].Endpoint = endpoint
	}
	for _, s := range sums {
		total.Nodes += s.Nodes
		total.Long += s.Long
		total.Short += s.Short
		for i := range total.Loads {
			if at, ok := find(s, total.Loads[i].Endpoint); ok {
				total.Loads[i].Running += s.Loads[at].Running
				total.Loads[i].Unread += s.Loads[at].Unread
			}
		}
	}
	a.since.amend(&total)

	return total, true
}

// amend adds the changes to a sum, at the endpoints that it has.
func (p *pending) amend(s *encoder.Sum) {
	s.Long = uint32(max(int64(s.Long)+int64(p.long), 0))
	s.Short = uint32(max(int64(s.Short)+int64(p.short), 0))
	for i := range s.Loads {
		l := &s.Loads[i]
		x := p.shifts[l.Endpoint]
		l.Running = uint16(max(int(l.Running)+x.Running, 0))
		l.Unread = uint32(max(int(l.Unread)+x.Chunks*encoder.Chunk, 0))
	}
}
