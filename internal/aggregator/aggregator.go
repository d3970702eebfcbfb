// Package aggregator sums up the load that the nodes of a fleet place on
// endpoints, so that each node can decide by the load of all.
//
// The nodes of a data centre report to the one with the lowest address, their
// speaker. Speakers exchange the sums of their data centres and hand each node
// the load of all others. Full sums go round five times a second, a part of the
// endpoints at a time in large fleets; updates tell of changes between them. So
// the messages of a node do not grow with the fleet, and those between data
// centres only with the number of data centres. Nodes find each other through
// seeds, which remember who has said hello.
//
// The Aggregator has no clock and no connections: time arrives with its calls.
package aggregator

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"snipedyke/pkg/encoder"
)

const (
	// Interval is the time between two ticks, which bring full sums.
	Interval = 200 * time.Millisecond
	// lifetime is how long a node counts as alive after its last message.
	lifetime = 1200 * time.Millisecond
	// helloInterval is the time between two greetings to the seeds, and
	// firstHello that before the node knows another one.
	helloInterval = 2 * time.Second
	firstHello    = 300 * time.Millisecond
	// vouchLife is how long a node counts as alive that a speaker has heard. It
	// outlasts the speaker, so that its members know each other at its end.
	vouchLife = 3 * time.Second
	// strangerLife is how long a node of another data centre is remembered.
	strangerLife = 5 * time.Second
	// maxKnown bounds the nodes that are remembered.
	maxKnown = 4096
)

// View is a node's shared view.
type View struct {
	Revision uint64
	// Confirmed is when the view was last known to be complete.
	Confirmed time.Time
	// Since returns the changes after a revision, or false if they are not
	// known.
	Since func(revision uint64) ([]encoder.Item, bool)
}

// Relayed is what the speaker told of the shared view.
type Relayed struct {
	Revision  uint64
	Confirmed time.Time
	Items     []encoder.Item
	// Gap tells that the items do not follow the node's revision.
	Gap bool
}

// Output is a message to a node.
type Output struct {
	To      netip.Addr
	Message encoder.Message
}

// Options are what an aggregator is made of.
type Options struct {
	// Self is the node's own IPv4 address and Centre its data centre.
	Self   netip.Addr
	Centre string
	// Seeds are nodes that may know others. Some may be gone.
	Seeds []netip.Addr
}

// member is another node of the own data centre.
type member struct {
	// heard is the last message from the node, and vouched the last digest of
	// the speaker that lists it.
	heard, vouched time.Time
	sum            encoder.Sum
	// sent and revision are those of the last report, which came at reported.
	sent, revision uint64
	reported       time.Time
	// untold is what its updates have told and the speaker has not passed on.
	untold pending
}

func (m *member) alive(now time.Time) bool {
	return now.Sub(m.heard) < lifetime || now.Sub(m.vouched) < vouchLife
}

// centre is what is known of another data centre.
type centre struct {
	// speaker is the address that last spoke for it, and deputy the one that is
	// tried when it is silent.
	speaker, deputy netip.Addr
	named           time.Time
	sum             encoder.Sum
	summed          time.Time
	// untold is like that of a member.
	untold pending
}

// stranger is a node of another data centre that has said hello.
type stranger struct {
	centre string
	heard  time.Time
}

// Aggregator holds what a node knows of the others. It is not safe for
// concurrent use.
type Aggregator struct {
	opts      Options
	members   map[netip.Addr]*member
	centres   map[string]*centre
	strangers map[netip.Addr]stranger
	// own is the load of the other nodes of the data centre, as the speaker
	// told it.
	own      encoder.Sum
	ownHeard time.Time
	greeted  time.Time
	// relayed is what the speaker told last, or nil.
	relayed *Relayed
	// since is what the speaker has told since its last digest.
	since pending
	// round counts the digests of the node as a speaker.
	round uint32
	// untold is what has changed in the own load since the last update.
	untold pending
	// moved holds the endpoints that updates have told of, and heard tells that
	// a digest has told of all.
	moved []uint32
	heard bool
}

// New returns an aggregator that knows its seeds only.
func New(opts Options) *Aggregator {
	return &Aggregator{
		opts: opts, members: map[netip.Addr]*member{}, centres: map[string]*centre{},
		strangers: map[netip.Addr]stranger{},
	}
}

// SetSeeds replaces the seeds.
func (a *Aggregator) SetSeeds(seeds []netip.Addr) { a.opts.Seeds = seeds }

// speaker returns the speaker of the own data centre.
func (a *Aggregator) speaker(now time.Time) netip.Addr {
	speaker, _ := a.lead(now)

	return speaker
}

// lead returns the speaker of the own data centre and its deputy, which is
// invalid if there is none.
func (a *Aggregator) lead(now time.Time) (speaker, deputy netip.Addr) {
	speaker = a.opts.Self
	for addr, m := range a.members {
		switch {
		case !m.alive(now):
		case addr.Less(speaker):
			speaker, deputy = addr, speaker
		case !deputy.IsValid() || addr.Less(deputy):
			deputy = addr
		}
	}

	return speaker, deputy
}

// Tick forgets what is too old and returns the messages of the node. own is its
// load and view its shared view.
func (a *Aggregator) Tick(now time.Time, own encoder.Sum, view View) []Output {
	a.expire(now)
	out := a.greet(now)
	speaker := a.speaker(now)
	if speaker != a.opts.Self {
		own.Centre, own.Nodes, own.Age = a.opts.Centre, 1, 0
		a.forget()

		return append(out, Output{speaker, &encoder.Report{
			Sum: own, Sent: uint64(now.UnixMicro()), Revision: view.Revision,
		}})
	}

	return append(out, a.speak(now, own, view)...)
}

func (a *Aggregator) expire(now time.Time) {
	for addr, m := range a.members {
		if !m.alive(now) {
			delete(a.members, addr)
		}
	}
	for addr, s := range a.strangers {
		if now.Sub(s.heard) >= strangerLife {
			delete(a.strangers, addr)
		}
	}
	for name, c := range a.centres {
		if now.Sub(c.named) >= strangerLife {
			delete(a.centres, name)
		}
	}
}

// greet says hello to the seeds.
func (a *Aggregator) greet(now time.Time) []Output {
	pause := helloInterval
	if len(a.members)+len(a.centres) == 0 {
		pause = firstHello
	}
	if now.Sub(a.greeted) < pause {
		return nil
	}
	a.greeted = now
	var out []Output
	for _, seed := range a.opts.Seeds {
		if seed != a.opts.Self {
			out = append(out, Output{seed, &encoder.Hello{Centre: a.opts.Centre}})
		}
	}

	return out
}

// speak returns the messages of a speaker.
func (a *Aggregator) speak(now time.Time, own encoder.Sum, view View) []Output {
	total := encoder.Sum{Centre: a.opts.Centre, Nodes: 1, Long: own.Long, Short: own.Short, Loads: slices.Clone(own.Loads)}
	live := a.live(now)
	for _, addr := range live {
		total = Merge(total, a.members[addr].sum)
	}
	_, deputy := a.lead(now)
	var out []Output
	others, sums := a.speakers(), a.foreign(now)
	part := a.nextPart(append([]encoder.Sum{total}, sums...))
	for _, name := range a.names() {
		c := a.centres[name]
		digest := &encoder.Digest{
			Centre: a.opts.Centre, Speaker: number(a.opts.Self), Deputy: number(deputy),
		}
		part.into(digest, []encoder.Sum{total})
		out = append(out, Output{c.speaker, digest})
		if now.Sub(c.summed) >= lifetime && c.deputy.IsValid() && c.deputy != c.speaker {
			out = append(out, Output{c.deputy, digest})
		}
	}
	members := numbers(append([]netip.Addr{a.opts.Self}, live...))
	for _, addr := range live {
		rest := subtract(total, a.members[addr].sum)
		digest := &encoder.Digest{
			Centre: a.opts.Centre, Speaker: number(a.opts.Self), Deputy: number(deputy),
			Members: members, Others: others,
		}
		part.into(digest, append([]encoder.Sum{rest}, sums...))
		a.members[addr].relay(now, digest, view)
		out = append(out, Output{addr, digest})
	}
	a.settle(part)
	a.since = pending{}
	a.own, a.ownHeard = subtract(total, encoder.Sum{Nodes: 1, Long: own.Long, Short: own.Short, Loads: own.Loads}), now

	return out
}

// mostLoads is about the number of loads in a digest; with 10 bytes each, five
// digests a second take 3 KB of the 19 KB a second that control may cost.
const mostLoads = 48

// part is the part of the endpoints that digests tell of: those whose number is
// the index modulo the count. A count of at most 1 means all.
type part struct{ index, count uint32 }

// nextPart returns the part whose turn it is, by the loads of all sums.
func (a *Aggregator) nextPart(sums []encoder.Sum) part {
	n := 0
	for _, s := range sums {
		n += len(s.Loads)
	}
	a.round++
	p := part{count: uint32((n + mostLoads - 1) / mostLoads)}
	if p.count > 1 {
		p.index = a.round % p.count
	}

	return p
}

// has tells whether an endpoint is in the part.
func (p part) has(endpoint uint32) bool { return p.count <= 1 || endpoint%p.count == p.index }

// into puts the part of sums into a digest.
func (p part) into(d *encoder.Digest, sums []encoder.Sum) {
	d.Part, d.Parts = p.index, p.count
	for _, s := range sums {
		loads := s.Loads
		s.Loads = nil
		for _, l := range loads {
			if p.has(l.Endpoint) {
				s.Loads = append(s.Loads, l)
			}
		}
		d.Sums = append(d.Sums, s)
	}
}

// renew takes the sum of a digest, which may tell of a part of the endpoints.
func renew(known, sum encoder.Sum, d *encoder.Digest) encoder.Sum {
	p := part{d.Part, d.Parts}
	loads := make([]encoder.Load, 0, len(known.Loads)+len(sum.Loads))
	for _, l := range known.Loads {
		if !p.has(l.Endpoint) {
			loads = append(loads, l)
		}
	}
	sum.Loads = append(loads, sum.Loads...)
	slices.SortFunc(sum.Loads, func(a, b encoder.Load) int { return cmp.Compare(a.Endpoint, b.Endpoint) })

	return sum
}

// live returns the sorted members that have been heard of late.
func (a *Aggregator) live(now time.Time) []netip.Addr {
	var live []netip.Addr
	for addr, m := range a.members {
		if now.Sub(m.heard) < lifetime {
			live = append(live, addr)
		}
	}
	slices.SortFunc(live, netip.Addr.Compare)

	return live
}

// relay adds the shared view to a digest for the member.
func (m *member) relay(now time.Time, d *encoder.Digest, view View) {
	if m.sent == 0 || view.Since == nil || view.Confirmed.IsZero() {
		return
	}
	d.Echo, d.Held = m.sent, uint64(now.Sub(m.reported).Microseconds())
	d.Revision, d.Age = view.Revision, uint64(max(now.Sub(view.Confirmed), 0).Microseconds())
	items, known := view.Since(m.revision)
	d.Items, d.Gap = items, !known
}

// Speaks tells whether the node speaks for others of its data centre.
func (a *Aggregator) Speaks(now time.Time) bool {
	return len(a.members) > 0 && a.speaker(now) == a.opts.Self
}

// Relayed returns what the speaker told of the shared view since the last call.
func (a *Aggregator) Relayed() (Relayed, bool) {
	r := a.relayed
	a.relayed = nil
	if r == nil {
		return Relayed{}, false
	}

	return *r, true
}

// names returns the sorted names of the other data centres.
func (a *Aggregator) names() []string {
	names := make([]string, 0, len(a.centres))
	for name := range a.centres {
		names = append(names, name)
	}
	slices.Sort(names)

	return names
}

func (a *Aggregator) speakers() []encoder.Speaker {
	names := a.names()
	list := make([]encoder.Speaker, 0, len(names))
	for _, name := range names {
		c := a.centres[name]
		list = append(list, encoder.Speaker{Centre: name, Address: number(c.speaker), Deputy: number(c.deputy)})
	}

	return list
}

// foreign returns the load of the other data centres.
func (a *Aggregator) foreign(now time.Time) []encoder.Sum {
	var sums []encoder.Sum
	for _, name := range a.names() {
		if c := a.centres[name]; now.Sub(c.summed) < lifetime {
			sum := c.sum
			sum.Age = uint16(min(now.Sub(c.summed).Milliseconds(), 1<<16-1))
			sums = append(sums, sum)
		}
	}

	return sums
}

// Receive takes a message from a node and returns the answers.
func (a *Aggregator) Receive(now time.Time, from netip.Addr, m encoder.Message) []Output {
	if from == a.opts.Self {
		return nil
	}
	switch m := m.(type) {
	case *encoder.Hello:
		return a.hello(now, from, m)
	case *encoder.Report:
		if m.Sum.Centre != a.opts.Centre {
			return nil
		}
		if known := a.member(from); known != nil {
			// What the updates have left out is passed on with the next one.
			rest := difference(known.sum, m.Sum)
			known.untold.add(rest)
			apply(&a.own, rest)
			a.move(rest)
			known.heard, known.sum = now, m.Sum
			known.sent, known.revision, known.reported = m.Sent, m.Revision, now
		}
		if a.speaker(now) != a.opts.Self {
			// The sender does not know the speaker yet.
			return []Output{{from, a.introduction(now, a.opts.Centre)}}
		}
	case *encoder.Digest:
		return a.digest(now, from, m)
	case *encoder.Update:
		a.update(now, from, m)
	}

	return nil
}

// member returns the record of a node of the own data centre, or nil if too
// many are known.
func (a *Aggregator) member(addr netip.Addr) *member {
	m := a.members[addr]
	if m == nil && len(a.members) < maxKnown {
		m = &member{}
		a.members[addr] = m
	}

	return m
}

func (a *Aggregator) hello(now time.Time, from netip.Addr, m *encoder.Hello) []Output {
	if m.Centre == a.opts.Centre {
		if known := a.member(from); known != nil {
			known.heard = now
		}
	} else if len(a.strangers) < maxKnown {
		a.strangers[from] = stranger{m.Centre, now}
		if c := a.centres[m.Centre]; c == nil {
			a.centres[m.Centre] = &centre{speaker: from, named: now}
		}
	}

	return []Output{{from, a.introduction(now, m.Centre)}}
}

// introduction tells a node of a data centre who is there.
func (a *Aggregator) introduction(now time.Time, name string) *encoder.Digest {
	speaker, deputy := a.lead(now)
	d := &encoder.Digest{Centre: a.opts.Centre, Speaker: number(speaker), Deputy: number(deputy), Others: a.speakers()}
	if name == a.opts.Centre {
		for addr, m := range a.members {
			if m.alive(now) {
				d.Members = append(d.Members, number(addr))
			}
		}
	} else {
		for addr, s := range a.strangers {
			if s.centre == name {
				d.Members = append(d.Members, number(addr))
			}
		}
	}
	slices.Sort(d.Members)

	return d
}

func (a *Aggregator) digest(now time.Time, from netip.Addr, d *encoder.Digest) []Output {
	var out []Output
	for _, s := range d.Others {
		if s.Centre != a.opts.Centre && a.centres[s.Centre] == nil && len(a.centres) < maxKnown {
			a.centres[s.Centre] = &centre{speaker: address(s.Address), named: now}
		}
		if c := a.centres[s.Centre]; c != nil && s.Deputy != 0 {
			c.deputy = address(s.Deputy)
		}
	}
	if d.Centre != a.opts.Centre {
		return append(out, a.foreignDigest(now, from, d)...)
	}
	if m := a.member(from); m != nil {
		m.heard = now
	}
	if d.Echo > 0 {
		// The sender's clock showed its present time no earlier than this one
		// showed Echo and Held together.
		known := time.UnixMicro(int64(d.Echo + d.Held)).Add(-time.Duration(d.Age) * time.Microsecond)
		a.relayed = &Relayed{Revision: d.Revision, Confirmed: known, Items: d.Items, Gap: d.Gap}
	}
	spoken := len(d.Sums) > 0
	for _, n := range d.Members {
		addr := address(n)
		if addr == a.opts.Self || addr == from {
			continue
		}
		known := a.members[addr]
		if known == nil {
			// What others know of a node is checked once.
			out = append(out, Output{addr, &encoder.Hello{Centre: a.opts.Centre}})
		}
		if spoken {
			if known = a.member(addr); known != nil {
				known.vouched = now
			}
		}
	}
	if spoken {
		a.heard = true
		a.since.settle(part{d.Part, d.Parts})
	}
	for _, sum := range d.Sums {
		if sum.Centre == a.opts.Centre {
			a.own, a.ownHeard = renew(a.own, sum, d), now
		} else if c := a.centres[sum.Centre]; c != nil {
			c.sum, c.summed, c.named = renew(c.sum, sum, d), now.Add(-time.Duration(sum.Age)*time.Millisecond), now
		}
	}

	return out
}

// foreignDigest takes a digest of a node of another data centre.
func (a *Aggregator) foreignDigest(now time.Time, from netip.Addr, d *encoder.Digest) []Output {
	c := a.centres[d.Centre]
	if c == nil {
		if len(a.centres) >= maxKnown {
			return nil
		}
		c = &centre{}
		a.centres[d.Centre] = c
	}
	c.speaker, c.named = address(d.Speaker), now
	if d.Deputy != 0 {
		c.deputy = address(d.Deputy)
	}
	for _, sum := range d.Sums {
		if sum.Centre == d.Centre {
			former := c.sum
			c.sum, c.summed = renew(c.sum, sum, d), now
			// What updates have left out or lost is passed on with the next one.
			rest := difference(former, c.sum)
			c.untold.add(rest)
			a.move(rest)
		}
	}
	var out []Output
	for _, n := range d.Members {
		if addr := address(n); addr != a.opts.Self && a.members[addr] == nil {
			out = append(out, Output{addr, &encoder.Hello{Centre: a.opts.Centre}})
		}
	}
	if len(d.Sums) > 0 && a.speaker(now) != a.opts.Self {
		// The speaker of the other data centre does not know the own one.
		out = append(out, Output{from, a.introduction(now, d.Centre)})
	}

	return out
}

// Others returns the load of all other nodes that is known and not too old.
func (a *Aggregator) Others(now time.Time) encoder.Sum {
	var total encoder.Sum
	if now.Sub(a.ownHeard) < lifetime {
		total = Merge(total, a.own)
	}
	for _, sum := range a.foreign(now) {
		total = Merge(total, sum)
	}
	// Endpoints that only updates have told of have no load in the sums.
	for endpoint := range a.since.shifts {
		if at, ok := find(total, endpoint); !ok {
			total.Loads = slices.Insert(total.Loads, at, encoder.Load{Endpoint: endpoint})
		}
	}
	a.since.amend(&total)

	return total
}
