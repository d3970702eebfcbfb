package claimer

import (
	"slices"
	"time"

	"snipedyke/pkg/encoder"
)

const (
	// pullInterval is the time between two pulls from a node that has not
	// answered, and pollInterval the time between two pulls from a node that has
	// answered but does not cover its keys yet.
	pullInterval = 500 * time.Millisecond
	pollInterval = 2 * time.Second
	// gapDelay is the time after which records are given up as lost if their
	// witnesses have restarted or left the list. It gives a leaving host time to
	// answer.
	gapDelay = 5 * time.Second
	// maxRosters bounds the stored host lists. The bound is reached only if many
	// lists are published while two hosts of each are unreachable.
	maxRosters = 64
	// maxGaps bounds the gaps, so that a push fits into a frame.
	maxGaps = 32
)

// coverage is the state from which a witness decides whether it can vouch for a
// key: the host lists under which claims may have been granted, and the nodes
// whose records it has.
type coverage struct {
	current *roster
	// closed is the highest list version for which all hosts but at most one
	// are known to cover their keys, or zero. Claims under older lists need
	// not be searched for.
	closed uint64
	// former holds the lists from closed up to the one before the present list,
	// oldest first.
	former []*roster
	// overflow reports whether lists or gaps were dropped. No key can be
	// vouched for then until a newer list is closed.
	overflow bool
	// memberSince is the first list version for which this incarnation covered
	// its keys, or zero. A restarted node is not a member until then, as its
	// earlier incarnation may have granted claims that it does not know of.
	memberSince uint64
	// ready reports whether all keys are covered or in a gap under the present
	// list. readyVersion is the version of the last list for which it was true.
	ready        bool
	readyVersion uint64
	// epochPending reports whether the epoch has grown and the other nodes have
	// not reported under it yet.
	epochPending bool
	epoch        uint64
	hasEpoch     bool
	gaps         []*gap
	// replies holds the answers to pulls under the present list, by node.
	replies map[string]*reply
	// pullFences holds the incarnation and the ID of the last pull that was
	// answered, by node.
	pullFences map[string]fence
	// transfers collects the parts of the records that leaving nodes transfer,
	// and handedOver holds the complete transfers, by node.
	transfers  map[string]*parts
	handedOver map[string]encoder.Transfer
	startedAt  time.Time
}

// fence identifies the last pull of a node that was answered.
type fence struct {
	incarnation uint64
	pull        uint64
	// previous is the preceding incarnation, or zero.
	previous uint64
}

// reply is the answer of a node to a pull.
type reply struct {
	incarnation uint64
	epoch       uint64
	memberSince uint64
	covering    bool
	// parts collects the parts of the answer.
	parts parts
	// complete reports whether all records have been received.
	complete bool
	// previous is the newest earlier incarnation of this node known to the peer.
	previous uint64
	// handedOver holds the transfers that the peer has received from leaving
	// nodes.
	handedOver []encoder.Transfer
	// lastPull is the ID of the last pull, and pulledAt its time.
	lastPull uint64
	pulledAt time.Time
}

// parts collects the parts of one answer.
type parts struct {
	// incarnation is that of the sender, and pull the ID of the pull or
	// transfer.
	incarnation uint64
	pull        uint64
	received    map[uint32]bool
	// total is the number of parts, or zero until the last one is received.
	total int
}

func newCoverage() coverage {
	return coverage{
		replies: map[string]*reply{}, pullFences: map[string]fence{},
		transfers: map[string]*parts{}, handedOver: map[string]encoder.Transfer{},
	}
}

// setRoster makes a roster the present one and starts to pull its records.
func (c *Claimer) setRoster(now time.Time, r *roster) []Output {
	v := &c.coverage
	if v.current != nil {
		v.former = append(v.former, v.current)
		v.trimFormer()
	}
	v.current, v.ready, v.startedAt = r, false, now
	v.replies = map[string]*reply{}
	c.leave.remaining = c.remainingRoster()

	return c.stepCoverage(now)
}

// SetEpoch sets the catalogue's epoch. By raising the epoch of a running fleet,
// the operator states that no older key will be sent again.
func (c *Claimer) SetEpoch(now time.Time, epoch uint64) []Output {
	v := &c.coverage
	if v.hasEpoch && epoch <= v.epoch {
		return nil
	}
	grown := v.hasEpoch
	v.epoch, v.hasEpoch = epoch, true
	if !grown || v.current == nil {
		return nil
	}
	v.former, v.gaps, v.memberSince, v.closed, v.overflow = nil, nil, v.current.version, 0, false
	v.ready, v.epochPending, v.startedAt = false, true, now
	v.replies = map[string]*reply{}

	return c.stepCoverage(now)
}

// Covering reports whether this node covers its keys, except those with two
// witnesses among at most two hosts that have not answered.
func (c *Claimer) Covering() bool {
	v := &c.coverage
	if v.current == nil || v.epochPending && !c.epochConfirmed() {
		return false
	}
	if v.ready {
		return true
	}
	for _, r := range c.pendingRosters() {
		if len(c.missingHosts(r)) > 2 {
			return false
		}
	}

	return true
}

// pendingRosters returns the lists under which claims may have been granted
// that this node must know of.
func (c *Claimer) pendingRosters() []*roster {
	v := &c.coverage
	if v.memberSince != 0 && v.closed < v.current.version || c.neverGranted() {
		return v.former
	}
	// Other nodes have applied lists before this one, or this one has
	// restarted, so it may miss claims under the present list as well.
	return append(slices.Clip(v.former), v.current)
}

// neverGranted reports whether no earlier incarnation of this node can have
// granted a claim: it is in none of the older lists, and too few witnesses
// under the closed list have ever answered a pull from it.
func (c *Claimer) neverGranted() bool {
	v := &c.coverage
	if v.memberSince != 0 || len(v.former) == 0 || v.former[0].version != v.closed {
		return false
	}
	for _, r := range v.former {
		if slices.Contains(r.ranks.Names(), c.self.node) {
			return false
		}
	}
	hosts := v.former[0].ranks.Names()
	for _, n := range hosts {
		if c.hasRecordsOf(n, v.closed) && v.replies[n].previous != 0 {
			return false
		}
	}

	return len(c.missingHosts(v.former[0])) <= maxMissingHosts(len(hosts))
}

// hasRecordsOf reports whether this node has the node's records up to the list
// version.
func (c *Claimer) hasRecordsOf(node string, version uint64) bool {
	if node == c.self.node {
		v := &c.coverage
		return v.memberSince != 0 && v.memberSince <= version && (v.ready || version < v.current.version)
	}
	r := c.coverage.replies[node]

	return r != nil && r.complete && r.memberSince != 0 && r.memberSince <= version
}

// missingHosts returns the hosts of a list whose records this node lacks.
func (c *Claimer) missingHosts(r *roster) []string {
	var out []string
	present := c.presentHosts(r)
	for _, n := range r.ranks.Names() {
		if !c.hasRecordsOf(n, r.version) && !c.recordsHandedOver(n, r, present) {
			out = append(out, n)
		}
	}

	return out
}

// presentHosts returns the other hosts of a list whose records this node has.
func (c *Claimer) presentHosts(r *roster) []string {
	var out []string
	for _, n := range r.ranks.Names() {
		if n != c.self.node && c.hasRecordsOf(n, r.version) {
			out = append(out, n)
		}
	}

	return out
}

// recordsHandedOver reports whether this node has the records of a host that
// left the list: all other hosts in present, which are those whose records this
// node has, have received the host's records.
func (c *Claimer) recordsHandedOver(node string, list *roster, present []string) bool {
	found := false
	for _, n := range present {
		if n == node {
			continue
		}
		found = true
		if !slices.ContainsFunc(c.coverage.replies[n].handedOver, func(t encoder.Transfer) bool {
			return t.Node == node && t.Hosts == list.version && c.noGrantsSince(node, t)
		}) {
			return false
		}
	}

	return found
}

// noGrantsSince reports whether no incarnation of the host can have granted a
// claim since it transferred its records: the host has not pulled records since
// then, or the incarnation that pulled does not cover its keys.
func (c *Claimer) noGrantsSince(node string, t encoder.Transfer) bool {
	if node == c.self.node {
		return c.coverage.memberSince == 0 && (t.Next == 0 || t.Next == c.self.incarnation)
	}
	r := c.coverage.replies[node]
	if r == nil || !r.complete {
		return t.Next == 0
	}

	return r.memberSince == 0 && (t.Next == 0 || t.Next == r.incarnation)
}

// covers reports whether this node has a record of every key with the subject
// that may have run: under each list, enough witnesses have reported that every
// quorum includes one of them.
func (c *Claimer) covers(s encoder.Subject) bool {
	v := &c.coverage
	if v.current == nil || v.overflow || v.epochPending && !c.epochConfirmed() {
		return false
	}
	var space [witnessCount]string
	for _, g := range v.gaps {
		if g.contains(s, space[:0]) {
			return false
		}
	}
	if v.ready {
		return true
	}
	for _, r := range c.pendingRosters() {
		w := r.witnesses(space[:0], s)
		absent := 0
		var present []string
		for _, n := range w {
			if c.hasRecordsOf(n, r.version) {
				continue
			}
			if present == nil {
				present = c.presentHosts(r)
			}
			if !c.recordsHandedOver(n, r, present) {
				absent++
			}
		}
		if absent > maxMissingWitnesses(len(w)) {
			return false
		}
	}

	return true
}

// maxMissingHosts returns the number of hosts in a list of n that may be
// missing without affecting any key.
func maxMissingHosts(n int) int { return maxMissingWitnesses(min(n, witnessCount)) }

// epochConfirmed reports whether enough nodes have reported under the new epoch
// that no other list can have been used for claims without this node knowing it.
func (c *Claimer) epochConfirmed() bool {
	v := &c.coverage
	absent := 0
	for _, n := range v.current.ranks.Names() {
		r := v.replies[n]
		if n != c.self.node && (r == nil || !r.complete || r.memberSince == 0 || r.epoch < v.epoch) {
			absent++
		}
	}

	return absent <= maxMissingHosts(len(v.current.ranks.Names()))
}

// stepCoverage pulls missing records and updates the state of the coverage.
func (c *Claimer) stepCoverage(now time.Time) []Output {
	v := &c.coverage
	if v.current == nil {
		return nil
	}
	v.gaps = slices.DeleteFunc(v.gaps, func(g *gap) bool { return now.Sub(g.createdAt) > recordTTL })
	var out []Output
	if !v.ready {
		out = append(out, c.tryReady(now)...)
	}
	c.closeRosters()

	return append(out, c.sendPulls(now)...)
}

// tryReady makes this node ready once all its keys are covered or in a gap.
func (c *Claimer) tryReady(now time.Time) []Output {
	v := &c.coverage
	if v.overflow || v.epochPending && !c.epochConfirmed() {
		return nil
	}
	var lost []*gap
	for _, r := range c.pendingRosters() {
		missing := c.missingHosts(r)
		if len(missing) <= maxMissingHosts(len(r.ranks.Names())) {
			continue
		}
		// Records are given up only if they are certain to be lost. Hosts that do
		// not answer may still have them.
		if now.Sub(v.startedAt) < gapDelay || slices.ContainsFunc(missing, func(n string) bool { return !c.recordsLost(n) }) {
			return nil
		}
		lost = append(lost, &gap{r, missing, now})
	}
	if len(v.gaps)+len(lost) > maxGaps {
		return nil
	}
	v.gaps = append(v.gaps, lost...)
	v.ready, v.epochPending, v.readyVersion = true, false, v.current.version
	if v.memberSince == 0 {
		v.memberSince = v.current.version
	}
	var out []Output
	announcement := c.newPush(now, 0)
	for _, n := range v.current.ranks.Names() {
		if n != c.self.node {
			out = append(out, Send{n, announcement})
		}
	}

	return out
}

// recordsLost reports whether the records of a host under older lists are
// certain to be lost: it has restarted, or it is no longer in the list.
func (c *Claimer) recordsLost(node string) bool {
	if node == c.self.node {
		return true
	}
	if r := c.coverage.replies[node]; r != nil && r.complete {
		return true
	}

	return !slices.Contains(c.coverage.current.ranks.Names(), node)
}

// closeRosters drops older lists once at most one host does not cover its keys
// under the present list. From then on, every key has witnesses under the
// present list that know of all its earlier claims.
func (c *Claimer) closeRosters() {
	v := &c.coverage
	if !v.ready || v.closed == v.current.version {
		return
	}
	absent := 0
	for _, n := range v.current.ranks.Names() {
		if n == c.self.node {
			continue
		}
		if r := v.replies[n]; r == nil || !r.covering {
			absent++
		}
	}
	if absent <= maxMissingHosts(len(v.current.ranks.Names())) {
		v.closed = v.current.version
		v.trimFormer()
	}
}

// trimFormer drops the lists that are no longer needed.
func (v *coverage) trimFormer() {
	v.former = slices.DeleteFunc(v.former, func(r *roster) bool { return r.version < v.closed })
	if len(v.former) > maxRosters {
		v.former = v.former[len(v.former)-maxRosters:]
		v.overflow = true
	}
}

// addFormer adds lists that a peer used under the present epoch.
func (c *Claimer) addFormer(closed uint64, former []encoder.Roster) {
	v := &c.coverage
	if closed > v.closed && closed <= v.current.version {
		v.closed, v.overflow = closed, false
	}
	for _, f := range former {
		if f.Hosts >= v.current.version || f.Hosts < v.closed {
			continue
		}
		at, found := slices.BinarySearchFunc(v.former, f.Hosts, func(r *roster, version uint64) int {
			switch {
			case r.version < version:
				return -1
			case r.version > version:
				return 1
			}

			return 0
		})
		if !found {
			v.former = slices.Insert(v.former, at, newRoster(f.Hosts, f.Names))
		}
	}
	v.trimFormer()
}
