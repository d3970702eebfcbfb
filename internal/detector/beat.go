package detector

import (
	"slices"
	"time"

	"snipedyke/pkg/encoder"
)

// peer is the state of another node.
type peer struct {
	name string
	// known reports whether the peer has ever sent a heartbeat; incarnation is
	// valid only then.
	known       bool
	incarnation uint64
	// alive reports whether the peer counts as alive. It is false before the first
	// heartbeat and after the peer was lost.
	alive   bool
	leaving bool
	// lastHeard is the time of the last heartbeat, and period the time to the
	// next one that the peer has announced.
	lastHeard time.Time
	period    time.Duration
	// highestSeq is the highest number received from this incarnation.
	highestSeq uint64
	// echoedSent is the time at which this node sent the last heartbeat that the
	// peer has echoed; it is valid only if echoed is set.
	echoedSent time.Time
	echoed     bool
	// catalogue and hosts are the versions that the peer has in force.
	catalogue uint64
	hosts     uint64

	// sentSeq is the number of the last heartbeat sent to the peer, and firstSeq
	// the lowest number ever sent to it. sentTimes holds the send times of the
	// last sentHistory heartbeats, indexed by number modulo sentHistory.
	sentSeq   uint64
	firstSeq  uint64
	sentTimes [sentHistory]time.Time
	// lastSent is the time of the last heartbeat to the peer, and nextSend that
	// of the next one. Both are zero before the first.
	lastSent time.Time
	nextSend time.Time
	// fastUntil is the time until which heartbeats to the peer use fastPeriod.
	fastUntil time.Time
}

// timedOut reports whether the peer's heartbeats are overdue for so long that
// it counts as lost. The timeout starts again when this process resumes after
// a pause.
func (p *peer) timedOut(now, resumedAt time.Time) bool {
	since := p.lastHeard
	if resumedAt.After(since) {
		since = resumedAt
	}
	timeout := lossTimeout
	if p.period > fastPeriod {
		timeout = 2*p.period + lossTimeout - 2*fastPeriod
	}

	return now.Sub(since) > timeout
}

// sentAt returns the time at which this node sent the heartbeat with the given
// number to the peer, and reports whether it is still known.
func (p *peer) sentAt(seq uint64) (time.Time, bool) {
	if seq < p.firstSeq || seq > p.sentSeq || p.sentSeq-seq >= sentHistory || p.sentSeq == 0 {
		return time.Time{}, false
	}

	return p.sentTimes[seq%sentHistory], true
}

// peer returns the state of a peer, adding it if there is none.
func (d *Detector) peer(name string) *peer {
	p := d.peers[name]
	if p == nil {
		// Different incarnations of this node use different numbers, so that the
		// echo of an earlier incarnation's heartbeat is not taken for a recent one.
		start := d.incarnation << 32
		p = &peer{name: name, sentSeq: start, firstSeq: start + 1}
		d.peers[name] = p
		at, _ := slices.BinarySearch(d.peerNames, name)
		d.peerNames = slices.Insert(d.peerNames, at, name)
	}

	return p
}

// HandleHeartbeat processes a heartbeat from a peer and returns the changes of
// the membership that follow.
func (d *Detector) HandleHeartbeat(now time.Time, from string, hb *encoder.Heartbeat) []Change {
	if from == d.self || from == "" {
		return nil
	}
	p := d.peers[from]
	if p == nil {
		if len(d.peers) >= len(d.published)+maxUnpublished {
			return nil
		}
		p = d.peer(from)
	}
	if p.known && hb.Incarnation < p.incarnation {
		return nil
	}
	var changes []Change
	published := d.published[from] != nil
	switch {
	case !p.known || hb.Incarnation > p.incarnation:
		if p.known && published {
			changes = append(changes, Restarted{from, p.incarnation, hb.Incarnation})
		} else if published {
			changes = append(changes, Joined{from, hb.Incarnation})
		}
		p.known, p.incarnation = true, hb.Incarnation
		p.leaving, p.echoed, p.highestSeq = false, false, 0
		p.catalogue, p.hosts = 0, 0
		d.dropLeases(from)
		// The new incarnation has no proof yet that this node is alive, so a
		// heartbeat is due at once.
		p.nextSend = now
	case !p.alive && published:
		changes = append(changes, Joined{from, p.incarnation})
	}
	p.alive, p.lastHeard = true, now
	if hb.Seq > p.highestSeq {
		// A heartbeat that arrives out of order must not restore older state.
		p.highestSeq, p.period = hb.Seq, time.Duration(hb.Period)*time.Microsecond
		if len(hb.Running) > 0 || len(hb.LeasedPools) > 0 {
			p.fastUntil = now.Add(fastDuration)
		}
	}
	if hb.Leaving && !p.leaving {
		p.leaving = true
		if published {
			changes = append(changes, Leaving{from, p.incarnation})
		}
	}
	p.catalogue, p.hosts = max(p.catalogue, hb.Catalogue), max(p.hosts, hb.Hosts)
	d.updateNewest(from, hb)
	if sent, ok := p.sentAt(hb.Echo); ok {
		if !p.echoed || sent.After(p.echoedSent) {
			p.echoedSent, p.echoed = sent, true
		}
		d.takeLeases(from, hb, sent)
	}
	d.checkMajority(now)

	return changes
}

func (d *Detector) updateNewest(from string, hb *encoder.Heartbeat) {
	if hb.Catalogue > d.newest.Catalogue {
		d.newest.Catalogue, d.newest.CatalogueFrom = hb.Catalogue, from
	}
	if hb.Hosts > d.newest.Hosts {
		d.newest.Hosts, d.newest.HostsFrom = hb.Hosts, from
	}
}

// UseFastPeriod switches heartbeats to a peer to fastPeriod for a while,
// because this node has just sent it a request. The loss of the peer is then
// noticed within about 1 s.
func (d *Detector) UseFastPeriod(now time.Time, node string) {
	if p := d.peers[node]; p != nil {
		p.fastUntil = now.Add(fastDuration)
		if next := p.lastSent.Add(fastPeriod); p.nextSend.After(next) {
			p.nextSend = next
		}
	}
}

// Step returns the heartbeats that are due and the nodes that were lost since
// the last step. It calls fill, if it is not nil, to complete each heartbeat.
func (d *Detector) Step(now time.Time, fill func(to string, hb *encoder.Heartbeat)) ([]Beat, []Change) {
	if !d.lastStep.IsZero() && now.Sub(d.lastStep) > pauseThreshold {
		d.resumedAt = now
	}
	d.lastStep = now
	var changes []Change
	for _, n := range d.peerNames {
		p := d.peers[n]
		if p.alive && p.timedOut(now, d.resumedAt) {
			p.alive = false
			if d.published[n] != nil {
				changes = append(changes, Lost{n, p.incarnation})
			}
		}
	}
	d.updateLending(now)
	var beats []Beat
	lostUnpublished := 0
	for _, n := range d.peerNames {
		p := d.peers[n]
		if d.published[n] == nil && !p.alive {
			lostUnpublished++
			continue
		}
		if now.Before(p.nextSend) {
			continue
		}
		beats = append(beats, Beat{n, d.nextHeartbeat(now, p, fill)})
	}
	if lostUnpublished > 0 {
		d.dropUnpublished()
	}

	return beats, changes
}

func (d *Detector) nextHeartbeat(now time.Time, p *peer, fill func(string, *encoder.Heartbeat)) *encoder.Heartbeat {
	hb := &encoder.Heartbeat{
		Echo: p.highestSeq, Incarnation: d.incarnation, Leaving: d.leaving,
		Catalogue: d.catalogue, Epoch: d.epoch, Contact: -1,
	}
	if d.hosts != nil {
		hb.Hosts = uint64(d.hosts.Version)
	}
	if d.hadContact {
		hb.Contact = now.Sub(d.lastContact).Microseconds()
	}
	hb.LeasedPools = d.lendsTo(p.name)
	if fill != nil {
		fill(p.name, hb)
	}
	if len(hb.Running) > 0 || len(hb.LeasedPools) > 0 {
		p.fastUntil = now.Add(fastDuration)
	}
	period := slowPeriod
	if now.Before(p.fastUntil) {
		period = fastPeriod
	}
	p.sentSeq++
	hb.Seq = p.sentSeq
	hb.Period = period.Microseconds()
	p.sentTimes[p.sentSeq%sentHistory] = now
	p.lastSent, p.nextSend = now, now.Add(period)

	return hb
}

// HeartbeatAge returns the time since this node sent the heartbeat with the
// given number to the node, which is zero for this node itself. It returns
// false if the number is unknown or too old to be remembered.
func (d *Detector) HeartbeatAge(now time.Time, node string, seq uint64) (time.Duration, bool) {
	if node == d.self {
		return 0, true
	}
	p := d.peers[node]
	if p == nil {
		return 0, false
	}
	sent, ok := p.sentAt(seq)
	if !ok {
		return 0, false
	}

	return now.Sub(sent), true
}

// Seen returns the highest heartbeat number received from the node's current
// incarnation. Grants to the node carry it.
func (d *Detector) Seen(node string) uint64 {
	if p := d.peers[node]; p != nil {
		return p.highestSeq
	}

	return 0
}

// hastenHeartbeats makes the heartbeats to all peers due, but sends no more
// than one per fastPeriod/3 to each, so that several changes in a row do not
// multiply the traffic.
func (d *Detector) hastenHeartbeats(now time.Time) {
	for _, p := range d.peers {
		if p.lastSent.IsZero() {
			continue
		}
		if next := p.lastSent.Add(fastPeriod / 3); next.After(now) {
			if p.nextSend.After(next) {
				p.nextSend = next
			}
		} else if p.nextSend.After(now) {
			p.nextSend = now
		}
	}
}

// dropUnpublished removes lost peers that are not published, one minute after
// their last heartbeat.
func (d *Detector) dropUnpublished() {
	d.peerNames = slices.DeleteFunc(d.peerNames, func(n string) bool {
		p := d.peers[n]
		if d.published[n] != nil || p.alive || p.known && d.lastStep.Sub(p.lastHeard) < time.Minute {
			return false
		}
		delete(d.peers, n)
		d.dropLeases(n)

		return true
	})
}
