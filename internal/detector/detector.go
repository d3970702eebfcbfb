// Package detector keeps the membership of the fleet as one node sees it,
// based on the published host list and on heartbeats. From the membership it
// derives the homes, lenders and leases of pools, the witnesses of claims, the
// quota nodes and the freshness of the view.
package detector

import (
	"encoding/binary"
	"time"

	"snipedyke/internal/ranker"
	"snipedyke/pkg/cataloguer"
	"snipedyke/pkg/encoder"
)

const (
	// fastPeriod is the time between heartbeats to a peer with which this node
	// shares leases or permits.
	fastPeriod = 300 * time.Millisecond
	// slowPeriod is the time between heartbeats to other peers. An echoed
	// heartbeat was sent at most two periods plus the time in transit ago, which
	// is less than freshWindow.
	slowPeriod = time.Second
	// lossTimeout is the silence after which a node counts as lost. It allows for
	// two lost heartbeats at fastPeriod.
	lossTimeout = time.Second
	// fastDuration is how long heartbeats to a peer stay at fastPeriod after a
	// lease, permit or request was shared with it.
	fastDuration = 3 * time.Second
	// pauseThreshold is the time between two steps above which this process
	// counts as having been paused. The loss timeouts of all peers start again
	// after a pause.
	pauseThreshold = 600 * time.Millisecond

	// contactWindow and freshWindow bound the age of a fresh view. A view is out
	// of date for at most freshWindow plus the time that a publication takes to
	// reach a majority. A data centre that operators take out must get no new
	// requests 3 s after the publication, which leaves 0.5 s for that; it takes
	// much less, because a new version is sent to the peers at once.
	contactWindow = 2 * time.Second
	freshWindow   = 2500 * time.Millisecond

	// leaseTerm is how long a home may use a lease. The lender adds leaseMargin
	// to it, which allows for clocks that differ in rate by up to 2.5%.
	leaseTerm   = 2 * time.Second
	leaseMargin = 50 * time.Millisecond
	// leaseStartDelay is how long a new lender waits after it has learnt that a
	// majority has its host list. After that time, homes and nodes with an older
	// list have no fresh view and dispatch nothing, and leases given by an
	// earlier incarnation have expired.
	leaseStartDelay = freshWindow + 500*time.Millisecond

	lenderCount  = 5
	witnessCount = 3
	readerCount  = 3

	// sentHistory is the number of heartbeats per peer whose send time is
	// remembered.
	sentHistory = 32
	// maxUnpublished bounds the number of peers that send heartbeats but are not
	// published.
	maxUnpublished = 1024
)

// Detector keeps the membership as one node sees it. It is not safe for
// concurrent use. The times passed to its methods must be monotonic and must
// not go back.
type Detector struct {
	self        string
	dataCentre  string
	incarnation uint64

	hosts      *cataloguer.Hosts
	published  map[string]*cataloguer.Host
	ranks      *ranker.Ranker // over all published hosts
	notLeaving *ranker.Ranker // over the published hosts that are not leaving
	peers      map[string]*peer
	// peerNames holds the sorted keys of peers.
	peerNames []string
	pools     map[string]*pool
	// poolNames holds the sorted keys of pools.
	poolNames []string

	catalogue uint64
	epoch     uint64
	// lastContact is the time of the last contact with the configuration service,
	// and hadContact reports whether there was one.
	lastContact time.Time
	hadContact  bool
	leaving     bool
	// lastStep is the time of the last step, and resumedAt the time at which the
	// last pause of this process ended.
	lastStep  time.Time
	resumedAt time.Time
	// majorityTime is the time at which more than half of the published hosts
	// were first known to have this host list, or zero before that.
	majorityTime time.Time
	newest       Newest
}

// Newest holds the highest versions in force that this node has heard of, and
// the nodes that announced them.
type Newest struct {
	Catalogue     uint64
	CatalogueFrom string
	Hosts         uint64
	HostsFrom     string
}

// Beat is a heartbeat to send.
type Beat struct {
	To        string
	Heartbeat *encoder.Heartbeat
}

// New returns a detector that knows no hosts.
func New(self, dataCentre string, incarnation uint64) *Detector {
	return &Detector{
		self: self, dataCentre: dataCentre, incarnation: incarnation,
		published:  map[string]*cataloguer.Host{},
		ranks:      ranker.New(nil),
		notLeaving: ranker.New(nil),
		peers:      map[string]*peer{},
		pools:      map[string]*pool{},
	}
}

// SetHosts puts a host list in force. It ignores a list that is not newer than
// the current one.
func (d *Detector) SetHosts(now time.Time, hosts *cataloguer.Hosts) {
	if hosts == nil || d.hosts != nil && hosts.Version <= d.hosts.Version {
		return
	}
	d.hosts = hosts
	d.published = make(map[string]*cataloguer.Host, len(hosts.Hosts))
	names := make([]string, 0, len(hosts.Hosts))
	for i := range hosts.Hosts {
		h := &hosts.Hosts[i]
		d.published[h.Name] = h
		names = append(names, h.Name)
	}
	d.ranks = ranker.New(names)
	d.notLeaving = ranker.New(ranker.NotLeaving(hosts))
	for _, n := range names {
		if n != d.self {
			d.peer(n)
		}
	}
	d.majorityTime = time.Time{}
	for _, name := range d.poolNames {
		d.rankPool(name, d.pools[name])
	}
	d.checkMajority(now)
	d.hastenHeartbeats(now)
}

// SetVersions sets the catalogue version and epoch in force. Heartbeats that
// carry them are sent at once.
func (d *Detector) SetVersions(catalogue, epoch uint64) {
	if catalogue <= d.catalogue && epoch <= d.epoch {
		return
	}
	d.catalogue, d.epoch = max(catalogue, d.catalogue), max(epoch, d.epoch)
	d.hastenHeartbeats(d.lastStep)
}

// RecordContact records an answer of the configuration service. It must be
// called after the answer has been put in force.
func (d *Detector) RecordContact(now time.Time) { d.lastContact, d.hadContact = now, true }

// Leave marks this node as leaving.
func (d *Detector) Leave(now time.Time) {
	d.leaving = true
	d.hastenHeartbeats(now)
}

// Published returns the sorted names of the published hosts.
func (d *Detector) Published() []string { return append([]string(nil), d.ranks.Names()...) }

// Live returns the sorted names of the published hosts that are alive,
// including this one.
func (d *Detector) Live(now time.Time) []string {
	var out []string
	for _, n := range d.ranks.Names() {
		if d.alive(now, n) {
			out = append(out, n)
		}
	}

	return out
}

// Incarnation returns the highest incarnation heard of a node, and reports
// whether one is known.
func (d *Detector) Incarnation(node string) (uint64, bool) {
	if node == d.self {
		return d.incarnation, true
	}
	p := d.peers[node]
	if p == nil || !p.known {
		return 0, false
	}

	return p.incarnation, true
}

// Newest returns the highest versions announced by other nodes.
func (d *Detector) Newest() Newest { return d.newest }

// Witnesses returns the witnesses of a claim under the host list in force.
func (d *Detector) Witnesses(subject encoder.Subject) []string {
	return d.notLeaving.Top(binary.BigEndian.Uint64(subject[:8]), witnessCount)
}

// QuotaNode returns the node that enforces the quota of an entry, or "" if
// there is none.
func (d *Detector) QuotaNode(now time.Time, entry string) string {
	return d.notLeaving.First(ranker.HashKey("quota\x00"+entry), func(n string) bool { return d.candidate(now, n) })
}

// IsReader reports whether this node is one of the nodes of its data centre
// that read from the configuration service.
func (d *Detector) IsReader(now time.Time) bool {
	if d.published[d.self] == nil {
		// A node that is not yet published must look for the host list that includes
		// it.
		return true
	}
	var local []string
	for _, n := range d.ranks.Names() {
		if d.published[n].DataCentre == d.dataCentre && d.candidate(now, n) {
			local = append(local, n)
		}
	}
	for _, n := range ranker.New(local).Top(ranker.HashKey("reader\x00"+d.dataCentre), readerCount) {
		if n == d.self {
			return true
		}
	}

	return false
}

// IsFresh reports whether this node may dispatch new work: either it had recent
// contact with the configuration service, or it has recent proof that more
// than half of the published hosts have no newer version in force than itself.
//
// The proof is a heartbeat that echoes one sent by this node. Its age counts
// from the time at which this node sent the echoed heartbeat, which is before
// the peer sent its own. Heartbeats that were buffered while this process was
// paused therefore prove nothing.
func (d *Detector) IsFresh(now time.Time) bool {
	if d.hadContact && now.Sub(d.lastContact) <= contactWindow {
		return true
	}
	if d.hosts == nil || len(d.published) == 0 {
		return false
	}
	count := 0
	if d.published[d.self] != nil {
		count++
	}
	for _, n := range d.ranks.Names() {
		if p := d.peers[n]; p != nil && p.echoed && now.Sub(p.echoedSent) <= freshWindow &&
			p.catalogue <= d.catalogue && p.hosts <= uint64(d.hosts.Version) {
			count++
		}
	}

	return 2*count > len(d.published)
}

// alive reports whether a published node counts as running.
func (d *Detector) alive(now time.Time, node string) bool {
	if d.published[node] == nil {
		return false
	}
	if node == d.self {
		return true
	}
	p := d.peers[node]

	return p != nil && p.alive && !p.timedOut(now, d.resumedAt)
}

// candidate reports whether a node may be given new duties.
func (d *Detector) candidate(now time.Time, node string) bool {
	if !d.alive(now, node) || d.published[node].Leaving {
		return false
	}
	if node == d.self {
		return !d.leaving
	}

	return !d.peers[node].leaving
}
