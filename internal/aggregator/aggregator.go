// Package aggregator sums up the load that the nodes of a fleet place on
// endpoints, so that each node can base its decisions on the load of the whole
// fleet.
//
// The nodes of a data centre send reports to their speaker, the node with the
// lowest address among those that are alive. Speakers exchange the sums of
// their data centres and send each member the load of all other nodes. Full
// sums are sent five times a second, in large fleets for one part of the
// endpoints at a time; updates carry the changes in between. A node's messages
// therefore do not grow with the fleet, and those between data centres grow
// only with the number of data centres. Nodes discover each other through
// seeds, which remember the nodes that have sent them a hello.
//
// An Aggregator has no clock and no connections: its methods take the current
// time and return the messages to send.
package aggregator

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"snipedyke/pkg/encoder"
)

const (
	// Interval is the time between two ticks. Each tick sends full sums.
	Interval = 200 * time.Millisecond
	// nodeTimeout is how long a node counts as alive after its last message.
	nodeTimeout = 1200 * time.Millisecond
	// helloInterval is the time between two hellos to the seeds, and
	// bootstrapHelloInterval the shorter time used while the node knows no other
	// node.
	helloInterval          = 2 * time.Second
	bootstrapHelloInterval = 300 * time.Millisecond
	// listedTimeout is how long a node counts as alive after the speaker last
	// listed it as a member. It is longer than nodeTimeout, so that the members
	// still know each other when the speaker fails.
	listedTimeout = 3 * time.Second
	// foreignTimeout is how long a node of another data centre, or a data centre
	// itself, is remembered.
	foreignTimeout = 5 * time.Second
	// maxNodes bounds the number of members, and that of foreign nodes.
	maxNodes = 4096
)

// Output is a message to send to a node.
type Output struct {
	To      netip.Addr
	Message encoder.Message
}

// Options configures an Aggregator.
type Options struct {
	// Self is the node's own IPv4 address and Centre its data centre.
	Self   netip.Addr
	Centre string
	// Seeds are nodes that may know others. Some of them may no longer exist.
	Seeds []netip.Addr
	// StampOffset is added to the times in view reports, so that a process tells its own
	// from those of earlier processes with the same address. It should be random.
	StampOffset uint64
}

// member is another node of the local data centre.
type member struct {
	// lastHeard is the time of the last message from the node, and lastListed
	// that of the speaker's last digest that lists it.
	lastHeard, lastListed time.Time
	sum                   encoder.LoadSum
	// viewReport is the node's last report of its shared view, which was received
	// at viewReported. Sent is zero if there was none.
	viewReport   encoder.ViewReport
	viewReported time.Time
	// unsent holds the changes from the node's reports and updates that the
	// speaker has not yet passed on, and observed what the node has observed of
	// endpoints.
	unsent   delta
	observed observations
}

func (m *member) alive(now time.Time) bool {
	return now.Sub(m.lastHeard) < nodeTimeout || now.Sub(m.lastListed) < listedTimeout
}

// centre is the state of another data centre.
type centre struct {
	// speaker is the address of the data centre's current speaker, and deputy the
	// node that also gets digests when the speaker is silent.
	speaker, deputy netip.Addr
	lastSeen        time.Time
	sum             encoder.LoadSum
	sumTime         time.Time
	// unsent holds the changes of sum that the speaker has not yet passed on.
	unsent delta
	// nodes holds the addresses of its nodes as of nodesTime, if this node has asked.
	nodes     []uint32
	nodesTime time.Time
}

// foreignNode is a node of another data centre that has sent a hello.
type foreignNode struct {
	centre    string
	lastHeard time.Time
}

// Aggregator holds what a node knows about the other nodes. It is not safe for
// concurrent use.
type Aggregator struct {
	opts         Options
	members      map[netip.Addr]*member
	centres      map[string]*centre
	foreignNodes map[netip.Addr]foreignNode
	// localOthers is the load of the other nodes of the local data centre: on a
	// member as the speaker sent it, on the speaker its own sum.
	localOthers     encoder.LoadSum
	localOthersTime time.Time
	lastHello       time.Time
	// relayed is the speaker's shared view that Relayed has not yet returned, or
	// nil.
	relayed *RelayedView
	// firstReport is the time of the first view report, or zero.
	firstReport time.Time
	// tableStates holds what TableStates has not yet returned.
	tableStates []TableState
	// sinceDigest accumulates the updates received from the speaker. A digest
	// removes the changes of the endpoints that it covers.
	sinceDigest delta
	// round counts the ticks in which the node was the speaker; it selects the
	// part of the endpoints that a digest covers.
	round uint32
	// unsent is the change of the node's own load that neither an update nor a
	// full sum has carried yet.
	unsent delta
	// observed holds what the node has observed of endpoints and has not sent yet, and
	// received the observations of other nodes that Observations has not returned yet.
	observed observations
	received []encoder.Observation
	// centreObserved and fleetObserved are, on a speaker, the sums of the observations of
	// its data centre and of all nodes that it has not passed on yet.
	centreObserved, fleetObserved observations
	// samplesSent is when observations were last sent.
	samplesSent time.Time
	// changed holds the endpoints whose load has changed through updates, reports
	// and digests of other data centres since ChangedLoads was last called.
	// digestReceived reports whether the speaker has sent a digest since
	// DigestReceived was last called.
	changed        []uint32
	digestReceived bool
	demands        demandTable
}

// New returns an aggregator that knows only its seeds.
func New(opts Options) *Aggregator {
	return &Aggregator{
		opts: opts, members: map[netip.Addr]*member{}, centres: map[string]*centre{},
		foreignNodes: map[netip.Addr]foreignNode{},
		observed:     observations{}, centreObserved: observations{}, fleetObserved: observations{},
	}
}

// SetSeeds replaces the seeds.
func (a *Aggregator) SetSeeds(seeds []netip.Addr) { a.opts.Seeds = seeds }

// speaker returns the speaker of the local data centre.
func (a *Aggregator) speaker(now time.Time) netip.Addr {
	speaker, _ := a.speakerAndDeputy(now)

	return speaker
}

// speakerAndDeputy returns the speaker of the local data centre and its
// deputy: the nodes with the lowest and the second lowest address that are
// alive. The deputy is invalid if there is none.
func (a *Aggregator) speakerAndDeputy(now time.Time) (speaker, deputy netip.Addr) {
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

// Tick removes expired state and returns the messages to send. own is the
// node's load and view its copy of the shared view.
func (a *Aggregator) Tick(now time.Time, own encoder.LoadSum, view View) []Output {
	a.expire(now)
	out := a.hellos(now)
	speaker := a.speaker(now)
	if speaker != a.opts.Self {
		own.Centre, own.Nodes, own.Age = a.opts.Centre, 1, 0
		a.discardAllUnsent()

		return append(out, Output{speaker, &encoder.Report{Sum: own}}, Output{speaker, a.viewReport(now, view)})
	}

	return append(out, a.digests(now, own, view)...)
}

func (a *Aggregator) expire(now time.Time) {
	for addr, m := range a.members {
		if !m.alive(now) {
			delete(a.members, addr)
		}
	}
	for addr, n := range a.foreignNodes {
		if now.Sub(n.lastHeard) >= foreignTimeout {
			delete(a.foreignNodes, addr)
		}
	}
	for name, c := range a.centres {
		if now.Sub(c.lastSeen) >= foreignTimeout {
			delete(a.centres, name)
		}
	}
}

// hellos returns the hellos to the seeds if they are due.
func (a *Aggregator) hellos(now time.Time) []Output {
	interval := helloInterval
	if len(a.members)+len(a.centres) == 0 {
		interval = bootstrapHelloInterval
	}
	if now.Sub(a.lastHello) < interval {
		return nil
	}
	a.lastHello = now
	var out []Output
	for _, seed := range a.opts.Seeds {
		if seed != a.opts.Self {
			out = append(out, Output{seed, &encoder.Hello{Centre: a.opts.Centre}})
		}
	}

	return out
}

// digests returns the digests that the node sends as the speaker.
func (a *Aggregator) digests(now time.Time, own encoder.LoadSum, view View) []Output {
	total := encoder.LoadSum{Centre: a.opts.Centre, Nodes: 1, Long: own.Long, Short: own.Short, Loads: slices.Clone(own.Loads)}
	live := a.heardMembers(now)
	for _, addr := range live {
		total = Merge(total, a.members[addr].sum)
	}
	_, deputy := a.speakerAndDeputy(now)
	var out []Output
	speakers, sums := a.speakers(), a.foreignSums(now)
	part := a.nextPart(append([]encoder.LoadSum{total}, sums...))
	for _, name := range a.centreNames() {
		c := a.centres[name]
		digest := &encoder.Digest{
			Centre: a.opts.Centre, Speaker: addrToUint32(a.opts.Self), Deputy: addrToUint32(deputy),
		}
		part.fill(digest, []encoder.LoadSum{total})
		out = append(out, Output{c.speaker, digest})
		if now.Sub(c.sumTime) >= nodeTimeout && c.deputy.IsValid() && c.deputy != c.speaker {
			out = append(out, Output{c.deputy, digest})
		}
	}
	members := addrsToUint32(append([]netip.Addr{a.opts.Self}, live...))
	for _, addr := range live {
		rest := subtract(total, a.members[addr].sum)
		digest := &encoder.Digest{
			Centre: a.opts.Centre, Speaker: addrToUint32(a.opts.Self), Deputy: addrToUint32(deputy),
			Members: members, Others: speakers,
		}
		part.fill(digest, append([]encoder.LoadSum{rest}, sums...))
		out = append(out, Output{addr, digest})
		if d := a.members[addr].viewDigest(now, view); d != nil {
			out = append(out, Output{addr, d})
		}
	}
	a.discardUnsent(part)
	a.sinceDigest = delta{}
	a.localOthers, a.localOthersTime = subtract(total, encoder.LoadSum{Nodes: 1, Long: own.Long, Short: own.Short, Loads: own.Loads}), now

	return out
}

// targetLoads is the approximate number of loads in a digest. With 10 bytes
// per load, five digests a second take about 3 KB/s of the 19 KB/s that
// control traffic may use.
const targetLoads = 48

// part selects the endpoints that a digest covers: those whose number modulo
// count equals index. A count of at most 1 selects all.
type part struct{ index, count uint32 }

// nextPart returns the next part in turn. The number of parts follows from the
// number of loads in sums.
func (a *Aggregator) nextPart(sums []encoder.LoadSum) part {
	n := 0
	for _, s := range sums {
		n += len(s.Loads)
	}
	a.round++
	p := part{count: uint32((n + targetLoads - 1) / targetLoads)}
	if p.count > 1 {
		p.index = a.round % p.count
	}

	return p
}

// contains reports whether an endpoint is in the part.
func (p part) contains(endpoint uint32) bool { return p.count <= 1 || endpoint%p.count == p.index }

// fill adds the sums to a digest, with only the loads of the part's endpoints.
func (p part) fill(d *encoder.Digest, sums []encoder.LoadSum) {
	d.Part, d.Parts = p.index, p.count
	for _, s := range sums {
		loads := s.Loads
		s.Loads = nil
		for _, l := range loads {
			if p.contains(l.Endpoint) {
				s.Loads = append(s.Loads, l)
			}
		}
		d.Sums = append(d.Sums, s)
	}
}

// replacePart returns the sum received in digest d, completed by the loads of
// known for the endpoints that d does not cover.
func replacePart(known, sum encoder.LoadSum, d *encoder.Digest) encoder.LoadSum {
	p := part{d.Part, d.Parts}
	loads := make([]encoder.Load, 0, len(known.Loads)+len(sum.Loads))
	for _, l := range known.Loads {
		if !p.contains(l.Endpoint) {
			loads = append(loads, l)
		}
	}
	sum.Loads = append(loads, sum.Loads...)
	slices.SortFunc(sum.Loads, func(a, b encoder.Load) int { return cmp.Compare(a.Endpoint, b.Endpoint) })

	return sum
}

// heardMembers returns the sorted addresses of the members that have sent a
// message within nodeTimeout.
func (a *Aggregator) heardMembers(now time.Time) []netip.Addr {
	var live []netip.Addr
	for addr, m := range a.members {
		if now.Sub(m.lastHeard) < nodeTimeout {
			live = append(live, addr)
		}
	}
	slices.SortFunc(live, netip.Addr.Compare)

	return live
}

// Announce returns the messages that bring m one step closer to all nodes. A
// member sends it to its speaker, a speaker to its members and to the speakers
// of the other data centres.
func (a *Aggregator) Announce(now time.Time, m encoder.Message) []Output {
	speaker := a.speaker(now)
	if speaker != a.opts.Self {
		return []Output{{speaker, m}}
	}
	var out []Output
	for _, name := range a.centreNames() {
		out = append(out, Output{a.centres[name].speaker, m})
	}
	for _, addr := range a.heardMembers(now) {
		out = append(out, Output{addr, m})
	}

	return out
}

// IsSpeaker reports whether the node is the speaker of other nodes in its data
// centre.
func (a *Aggregator) IsSpeaker(now time.Time) bool {
	return len(a.members) > 0 && a.speaker(now) == a.opts.Self
}

// centreNames returns the sorted names of the other data centres.
func (a *Aggregator) centreNames() []string {
	names := make([]string, 0, len(a.centres))
	for name := range a.centres {
		names = append(names, name)
	}
	slices.Sort(names)

	return names
}

// speakers returns the speakers and deputies of the other data centres.
func (a *Aggregator) speakers() []encoder.Speaker {
	names := a.centreNames()
	list := make([]encoder.Speaker, 0, len(names))
	for _, name := range names {
		c := a.centres[name]
		list = append(list, encoder.Speaker{Centre: name, Address: addrToUint32(c.speaker), Deputy: addrToUint32(c.deputy)})
	}

	return list
}

// foreignSums returns the sums of the other data centres that are not too old.
func (a *Aggregator) foreignSums(now time.Time) []encoder.LoadSum {
	var sums []encoder.LoadSum
	for _, name := range a.centreNames() {
		if c := a.centres[name]; now.Sub(c.sumTime) < nodeTimeout {
			sum := c.sum
			sum.Age = uint16(min(now.Sub(c.sumTime).Milliseconds(), 1<<16-1))
			sums = append(sums, sum)
		}
	}

	return sums
}

// Receive handles a message from a node and returns the replies.
func (a *Aggregator) Receive(now time.Time, from netip.Addr, m encoder.Message) []Output {
	if from == a.opts.Self {
		return nil
	}
	switch m := m.(type) {
	case *encoder.Hello:
		return a.receiveHello(now, from, m)
	case *encoder.Report:
		if m.Sum.Centre != a.opts.Centre {
			return nil
		}
		if known := a.member(from); known != nil {
			// The difference from the known sum is what earlier updates left out or
			// lost; it is passed on with the next update.
			rest := difference(known.sum, m.Sum)
			known.unsent.add(rest)
			apply(&a.localOthers, rest)
			a.markChanged(rest)
			known.lastHeard, known.sum = now, m.Sum
		}
		if a.speaker(now) != a.opts.Self {
			// The sender does not know the speaker yet.
			return []Output{{from, a.introduction(now, a.opts.Centre)}}
		}
	case *encoder.Digest:
		return a.receiveDigest(now, from, m)
	case *encoder.Update:
		a.receiveUpdate(now, from, m)
	case *encoder.Observations:
		a.receiveObservations(now, from, m)
	case *encoder.ViewReport:
		a.receiveViewReport(now, from, m)
	case *encoder.ViewDigest:
		a.receiveViewDigest(now, from, m)
	case *encoder.Demands:
		a.receiveDemands(now, from, m)
	case *encoder.NodeQuery:
		return []Output{{from, a.nodeList(now, from)}}
	case *encoder.NodeList:
		a.receiveNodeList(now, m)
	}

	return nil
}

// member returns the record of a node of the local data centre, adding one if
// needed. It returns nil if too many are known.
func (a *Aggregator) member(addr netip.Addr) *member {
	m := a.members[addr]
	if m == nil && len(a.members) < maxNodes {
		m = &member{}
		a.members[addr] = m
	}

	return m
}

func (a *Aggregator) receiveHello(now time.Time, from netip.Addr, m *encoder.Hello) []Output {
	if m.Centre == a.opts.Centre {
		if known := a.member(from); known != nil {
			known.lastHeard = now
		}
	} else if len(a.foreignNodes) < maxNodes {
		a.foreignNodes[from] = foreignNode{m.Centre, now}
		if c := a.centres[m.Centre]; c == nil {
			a.centres[m.Centre] = &centre{speaker: from, lastSeen: now}
		}
	}

	return []Output{{from, a.introduction(now, m.Centre)}}
}

// introduction returns a digest without sums that lists the known nodes of the
// named data centre, the local speaker and the speakers of other data centres.
func (a *Aggregator) introduction(now time.Time, name string) *encoder.Digest {
	speaker, deputy := a.speakerAndDeputy(now)
	d := &encoder.Digest{Centre: a.opts.Centre, Speaker: addrToUint32(speaker), Deputy: addrToUint32(deputy), Others: a.speakers()}
	if name == a.opts.Centre {
		for addr, m := range a.members {
			if m.alive(now) {
				d.Members = append(d.Members, addrToUint32(addr))
			}
		}
	} else {
		for addr, n := range a.foreignNodes {
			if n.centre == name {
				d.Members = append(d.Members, addrToUint32(addr))
			}
		}
	}
	slices.Sort(d.Members)

	return d
}

func (a *Aggregator) receiveDigest(now time.Time, from netip.Addr, d *encoder.Digest) []Output {
	var out []Output
	for _, s := range d.Others {
		if s.Centre != a.opts.Centre && a.centres[s.Centre] == nil && len(a.centres) < maxNodes {
			a.centres[s.Centre] = &centre{speaker: uint32ToAddr(s.Address), lastSeen: now}
		}
		if c := a.centres[s.Centre]; c != nil && s.Deputy != 0 {
			c.deputy = uint32ToAddr(s.Deputy)
		}
	}
	if d.Centre != a.opts.Centre {
		return append(out, a.receiveForeignDigest(now, from, d)...)
	}
	if m := a.member(from); m != nil {
		m.lastHeard = now
	}
	fromSpeaker := len(d.Sums) > 0
	if fromSpeaker && from == a.speaker(now) {
		a.adoptSpeakers(d.Others)
	}
	for _, n := range d.Members {
		addr := uint32ToAddr(n)
		if addr == a.opts.Self || addr == from {
			continue
		}
		known := a.members[addr]
		if known == nil {
			// Send a hello to a node that this node has not heard of before.
			out = append(out, Output{addr, &encoder.Hello{Centre: a.opts.Centre}})
		}
		if fromSpeaker {
			if known = a.member(addr); known != nil {
				known.lastListed = now
			}
		}
	}
	if fromSpeaker {
		a.digestReceived = true
		a.sinceDigest.discard(part{d.Part, d.Parts})
	}
	for _, sum := range d.Sums {
		if sum.Centre == a.opts.Centre {
			a.localOthers, a.localOthersTime = replacePart(a.localOthers, sum, d), now
		} else if c := a.centres[sum.Centre]; c != nil {
			c.sum, c.sumTime, c.lastSeen = replacePart(c.sum, sum, d), now.Add(-time.Duration(sum.Age)*time.Millisecond), now
		}
	}

	return out
}

// receiveForeignDigest handles a digest from a node of another data centre.
func (a *Aggregator) receiveForeignDigest(now time.Time, from netip.Addr, d *encoder.Digest) []Output {
	c := a.centres[d.Centre]
	if c == nil {
		if len(a.centres) >= maxNodes {
			return nil
		}
		c = &centre{}
		a.centres[d.Centre] = c
	}
	c.speaker, c.lastSeen = uint32ToAddr(d.Speaker), now
	if d.Deputy != 0 {
		c.deputy = uint32ToAddr(d.Deputy)
	}
	for _, sum := range d.Sums {
		if sum.Centre == d.Centre {
			former := c.sum
			c.sum, c.sumTime = replacePart(c.sum, sum, d), now
			// The difference from the former sum is what updates left out or lost; it
			// is passed on with the next update.
			rest := difference(former, c.sum)
			c.unsent.add(rest)
			a.markChanged(rest)
		}
	}
	var out []Output
	for _, n := range d.Members {
		if addr := uint32ToAddr(n); addr != a.opts.Self && a.members[addr] == nil {
			out = append(out, Output{addr, &encoder.Hello{Centre: a.opts.Centre}})
		}
	}
	if len(d.Sums) > 0 && a.speaker(now) != a.opts.Self {
		// The sender does not know the speaker of the local data centre.
		out = append(out, Output{from, a.introduction(now, d.Centre)})
	}

	return out
}

// Centres returns the sorted names of the other data centres whose nodes Others
// includes.
func (a *Aggregator) Centres(now time.Time) []string {
	return slices.DeleteFunc(a.centreNames(), func(name string) bool { return now.Sub(a.centres[name].sumTime) >= nodeTimeout })
}

// Others returns the load of all other nodes, without sums that are too old.
func (a *Aggregator) Others(now time.Time) encoder.LoadSum {
	var total encoder.LoadSum
	if now.Sub(a.localOthersTime) < nodeTimeout {
		total = Merge(total, a.localOthers)
	}
	for _, sum := range a.foreignSums(now) {
		total = Merge(total, sum)
	}
	// addTo changes only loads that are present, so insert one for each endpoint
	// that is known only from updates.
	for endpoint := range a.sinceDigest.shifts {
		if at, ok := findLoad(total, endpoint); !ok {
			total.Loads = slices.Insert(total.Loads, at, encoder.Load{Endpoint: endpoint})
		}
	}
	a.sinceDigest.addTo(&total)

	return total
}
