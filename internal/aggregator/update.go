package aggregator

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"snipedyke/pkg/encoder"
)

const (
	// UpdateInterval is the time between two updates of a node. It is a fraction
	// of the time that an engine takes to process a long prompt (100 ms).
	UpdateInterval = 20 * time.Millisecond
	// maxShifts bounds the shifts of an update. A shift takes 5 bytes, so a node
	// receives at most 10 KB/s of updates, of the 19 KB/s that control traffic
	// may use. The largest shifts are sent first.
	maxShifts = 40
)

// shifts holds changes of load by endpoint.
type shifts map[uint32]encoder.Shift

func (s shifts) add(list encoder.Shifts, sign int) {
	for _, x := range list {
		old := s[x.Endpoint]
		s[x.Endpoint] = encoder.Shift{
			Endpoint: x.Endpoint, Running: old.Running + sign*x.Running, Chunks: old.Chunks + sign*x.Chunks,
		}
	}
}

// delta accumulates changes of a sum.
type delta struct {
	long, short int32
	shifts      shifts
}

func (d *delta) add(c encoder.LoadChange) {
	if d.shifts == nil {
		d.shifts = shifts{}
	}
	d.long += c.Long
	d.short += c.Short
	d.shifts.add(c.Shifts, 1)
}

// change returns the accumulated change minus own, the part that one node
// contributed. own may be nil.
func (d *delta) change(name string, own *delta) encoder.LoadChange {
	c := encoder.LoadChange{Centre: name, Long: d.long, Short: d.short}
	if own != nil {
		c.Long -= own.long
		c.Short -= own.short
	}
	for endpoint, x := range d.shifts {
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

func isEmpty(c encoder.LoadChange) bool { return c.Long == 0 && c.Short == 0 && len(c.Shifts) == 0 }

// Update takes the change of the node's own load and what it has observed of
// endpoints since the last call, and returns the messages to send. A speaker also
// passes on what it has received.
func (a *Aggregator) Update(now time.Time, own encoder.LoadChange, observed []encoder.Observation) []Output {
	a.unsent.add(own)
	a.observe(observed)
	speaker := a.speaker(now)
	if speaker != a.opts.Self {
		out := a.memberObservations(now, speaker)
		c := a.unsent.change(a.opts.Centre, nil)
		a.discardAllUnsent()
		if isEmpty(c) {
			return out
		}

		return append(out, Output{speaker, &encoder.Update{Changes: []encoder.LoadChange{c}}})
	}
	out, n := a.speakerObservations(now)

	return append(out, a.speakerUpdates(now, a.shiftLimit(now)-shiftsPerObservation*n)...)
}

// speakerUpdates returns the updates that the node sends as the speaker, with at most
// limit shifts each.
func (a *Aggregator) speakerUpdates(now time.Time, limit int) []Output {
	var all delta
	all.add(a.unsent.change(a.opts.Centre, nil))
	for _, m := range a.members {
		all.add(m.unsent.change(a.opts.Centre, nil))
	}
	names := a.centreNames()
	// rest is the change of the whole fleet, which goes to the members.
	var rest delta
	rest.add(all.change(a.opts.Centre, nil))
	for _, name := range names {
		rest.add(a.centres[name].unsent.change(name, nil))
	}
	chosen := largestShifts(&rest, limit)
	var out []Output
	if c := filterShifts(all.change(a.opts.Centre, nil), chosen); !isEmpty(c) {
		for _, name := range names {
			out = append(out, Output{a.centres[name].speaker, &encoder.Update{Changes: []encoder.LoadChange{c}}})
		}
	}
	for _, addr := range a.heardMembers(now) {
		if c := filterShifts(rest.change("", &a.members[addr].unsent), chosen); !isEmpty(c) {
			out = append(out, Output{addr, &encoder.Update{Changes: []encoder.LoadChange{c}}})
		}
	}
	a.discardSent(chosen)

	return out
}

// largestShifts returns the endpoints with the largest changes of load, or nil
// if those of all endpoints are no more than limit.
func largestShifts(p *delta, limit int) map[uint32]bool {
	list := p.change("", nil).Shifts
	if len(list) <= limit {
		return nil
	}
	slices.SortFunc(list, func(x, y encoder.Shift) int { return cmp.Compare(weight(y), weight(x)) })
	chosen := make(map[uint32]bool, limit)
	for _, x := range list[:limit] {
		chosen[x.Endpoint] = true
	}

	return chosen
}

// weight ranks a shift: a running request counts as much as two unprocessed
// prompt chunks.
func weight(x encoder.Shift) int {
	return max(x.Chunks, -x.Chunks) + 2*max(x.Running, -x.Running)
}

// filterShifts removes the shifts of all but the chosen endpoints. If chosen
// is nil, it keeps all.
func filterShifts(c encoder.LoadChange, chosen map[uint32]bool) encoder.LoadChange {
	if chosen != nil {
		c.Shifts = slices.DeleteFunc(c.Shifts, func(x encoder.Shift) bool { return !chosen[x.Endpoint] })
	}

	return c
}

// discardSent removes the unsent changes of the chosen endpoints, or all if
// chosen is nil, after they have been sent.
func (a *Aggregator) discardSent(chosen map[uint32]bool) {
	if chosen == nil {
		a.discardAllUnsent()

		return
	}
	drop := func(p *delta) {
		p.long, p.short = 0, 0
		for endpoint := range chosen {
			delete(p.shifts, endpoint)
		}
	}
	drop(&a.unsent)
	for _, m := range a.members {
		drop(&m.unsent)
	}
	for _, c := range a.centres {
		drop(&c.unsent)
	}
}

// discardAllUnsent removes all unsent changes, after they have been sent.
func (a *Aggregator) discardAllUnsent() { a.discardUnsent(part{}) }

// receiveUpdate handles an update from a node.
func (a *Aggregator) receiveUpdate(now time.Time, from netip.Addr, u *encoder.Update) {
	speaker := a.speaker(now)
	for _, c := range u.Changes {
		switch {
		case c.Centre == "":
			if from == speaker {
				a.sinceDigest.add(c)
				a.markChanged(c)
			}
		case speaker != a.opts.Self:
			// The sender does not know the speaker; the next digest names it.
		case c.Centre != a.opts.Centre:
			if known := a.centres[c.Centre]; known != nil && from == known.speaker {
				apply(&known.sum, c)
				known.unsent.add(c)
				a.markChanged(c)
			}
		default:
			if m := a.members[from]; m != nil {
				apply(&m.sum, c)
				m.unsent.add(c)
				apply(&a.localOthers, c)
				a.markChanged(c)
			}
		}
	}
}

// markChanged records the endpoints of a change for ChangedLoads.
func (a *Aggregator) markChanged(c encoder.LoadChange) {
	for _, x := range c.Shifts {
		a.changed = append(a.changed, x.Endpoint)
	}
}

// discard removes the changes of the endpoints in a part, because full sums of
// that part include them.
func (d *delta) discard(sent part) {
	d.long, d.short = 0, 0
	for endpoint := range d.shifts {
		if sent.contains(endpoint) {
			delete(d.shifts, endpoint)
		}
	}
}

// discardUnsent removes the unsent changes of the endpoints in a part, after
// digests have carried the full sums of that part.
func (a *Aggregator) discardUnsent(sent part) {
	a.unsent.discard(sent)
	for _, m := range a.members {
		m.unsent.discard(sent)
	}
	for _, c := range a.centres {
		c.unsent.discard(sent)
	}
}

// DigestReceived reports whether the speaker has sent a digest since the last
// call. If so, the load of any endpoint may have changed.
func (a *Aggregator) DigestReceived() bool {
	received := a.digestReceived
	a.digestReceived = false
	if received {
		a.changed = nil
	}

	return received
}

// ChangedLoads returns the load of the other nodes at the endpoints whose load
// has changed since the last call, and reports whether there are any.
func (a *Aggregator) ChangedLoads(now time.Time) (encoder.LoadSum, bool) {
	if len(a.changed) == 0 {
		return encoder.LoadSum{}, false
	}
	slices.Sort(a.changed)
	changed := slices.Compact(a.changed)
	a.changed = nil
	sums := a.foreignSums(now)
	if now.Sub(a.localOthersTime) < nodeTimeout {
		sums = append(sums, a.localOthers)
	}
	total := encoder.LoadSum{Loads: make([]encoder.Load, len(changed))}
	for i, endpoint := range changed {
		total.Loads[i].Endpoint = endpoint
	}
	for _, s := range sums {
		total.Nodes += s.Nodes
		total.Long += s.Long
		total.Short += s.Short
		for i := range total.Loads {
			if at, ok := findLoad(s, total.Loads[i].Endpoint); ok {
				total.Loads[i].Running += s.Loads[at].Running
				total.Loads[i].PrefillTokens += s.Loads[at].PrefillTokens
			}
		}
	}
	a.sinceDigest.addTo(&total)

	return total, true
}

// addTo adds the accumulated changes to a sum, at the endpoints that it
// already contains.
func (d *delta) addTo(s *encoder.LoadSum) {
	s.Long = uint32(max(int64(s.Long)+int64(d.long), 0))
	s.Short = uint32(max(int64(s.Short)+int64(d.short), 0))
	for i := range s.Loads {
		l := &s.Loads[i]
		x := d.shifts[l.Endpoint]
		l.Running = uint16(max(int(l.Running)+x.Running, 0))
		l.PrefillTokens = uint32(max(int(l.PrefillTokens)+x.Chunks*encoder.Chunk, 0))
	}
}
