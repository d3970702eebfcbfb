package director

import (
	"encoding/binary"
	"net/http"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxPeers limits the number of nodes to which a request is handed over.
	maxPeers = 4
	// avoidTime is how long a node gets no requests that could not take one, and
	// servingTime how long a node is taken to serve requests that has answered one.
	avoidTime   = 2 * time.Second
	servingTime = 10 * time.Second
)

// peer is another node and how it has lately taken requests.
type peer struct {
	Node
	// hash is that of the address.
	hash uint64
	// avoidUntil is the time until which it gets no requests, and servedAt when it last
	// answered one, or zero if it could not take one since.
	avoidUntil, servedAt time.Time
}

// serves reports whether the node has answered a request lately.
func (p *peer) serves(now time.Time) bool {
	return !p.servedAt.IsZero() && now.Sub(p.servedAt) < servingTime
}

// setNodes replaces the list of the other nodes.
func (d *Director) setNodes(list []Node) {
	former := d.peers
	d.peers = make(map[netip.AddrPort]*peer, len(list))
	for _, n := range list {
		p := former[n.Address]
		if p == nil {
			p = &peer{hash: xxhash.Sum64String(n.Address.String())}
		}
		p.Node = n
		d.peers[n.Address] = p
	}
}

// avoid hands over no requests to a node for a time.
func (d *Director) avoid(now time.Time, address netip.AddrPort) {
	if p := d.peers[address]; p != nil {
		p.avoidUntil, p.servedAt = now.Add(avoidTime), time.Time{}
	}
}

// centreRecord counts the nodes of a data centre.
type centreRecord struct{ known, avoided, serving int }

// doubted reports whether most nodes of the data centre seem to be unable to take requests.
// They may be cut off together.
func (c centreRecord) doubted() bool {
	return c.avoided > c.serving+1 || 2*c.avoided > c.known
}

// chooseNode returns the node to which a request is handed over now, or nil. The requests
// are spread over the nodes of the own data centre, or of others if most there seem to be
// unable to take requests. After two nodes that were, those come first that have served
// requests.
func (d *Director) chooseNode(now time.Time, req *request) *peer {
	if !d.link.stranded || req.HandedOver || len(req.peersTried) >= maxPeers {
		return nil
	}
	centres := map[string]*centreRecord{}
	for _, p := range d.peers {
		c := centres[p.DataCentre]
		if c == nil {
			c = &centreRecord{}
			centres[p.DataCentre] = c
		}
		c.known++
		switch {
		case now.Before(p.avoidUntil):
			c.avoided++
		case p.serves(now):
			c.serving++
		}
	}
	var key [16]byte
	seed := xxhash.Sum64String(d.opts.Name + " " + req.Name)
	binary.LittleEndian.PutUint64(key[:], seed+req.ID)
	var chosen *peer
	var least int
	var highest uint64
	for _, p := range d.peers {
		if slices.Contains(req.peersTried, p.Address) || !d.centreAllowed(req, p.DataCentre) {
			continue
		}
		rank := d.distance(p.DataCentre)
		if now.Before(p.avoidUntil) {
			// It may be able to take requests again, and the endpoints cannot be reached.
			rank += 12
		}
		if centres[p.DataCentre].doubted() {
			rank += 3
		}
		if len(req.peersTried) >= maxPeers/2 && !p.serves(now) {
			rank += 6
		}
		binary.LittleEndian.PutUint64(key[8:], p.hash)
		score := xxhash.Sum64(key[:])
		if chosen == nil || rank < least || rank == least && score > highest {
			chosen, least, highest = p, rank, score
		}
	}

	return chosen
}

// distance returns 0 for the own data centre, 1 for others of the region and 2 for the
// rest.
func (d *Director) distance(centre string) int {
	switch {
	case centre == d.opts.DataCentre:
		return 0
	case d.opts.Regions[centre] == d.opts.Regions[d.opts.DataCentre]:
		return 1
	default:
		return 2
	}
}

// handOver hands a request over to another node if this one is cut off from the endpoints,
// and reports whether it has.
func (d *Director) handOver(now time.Time, req *request) bool {
	p := d.chooseNode(now, req)
	if p == nil {
		return false
	}
	d.link.handedOver++
	req.node, req.replaced, req.retryPending = p.Address, false, false
	req.peersTried = append(req.peersTried, p.Address)
	d.emit(HandOver{
		ID: req.ID, Node: p.Address, Route: req.route, Deadline: d.deadlineOfAttempt(req),
		Resume: req.relayed, Attempts: req.attemptsUsed(), Counted: req.recorded,
	})

	return true
}

// takesOver reports whether another node can take over a request from the attempt in
// progress, and uses up the retry budget if one can.
func (d *Director) takesOver(now time.Time, req *request) bool {
	if !req.route.Repeatable() || req.attemptsUsed()+1 >= req.route.Attempts || d.deadline(req).Sub(now) < minAttemptTime {
		return false
	}
	if _, isolated := d.isolated(now, req); isolated {
		return false
	}

	return d.chooseNode(now, req) != nil && d.mayRetry(now, req)
}

// handlePeerFinished handles the end of an attempt at another node. It says nothing about
// the endpoints.
func (d *Director) handlePeerFinished(now time.Time, req *request, f AttemptFinished) {
	node := req.node
	req.node, req.lastNode = netip.AddrPort{}, node
	req.relayed = req.relayed || f.Relayed
	req.begunAtPeer = req.begunAtPeer || req.relayed && !req.pinned
	req.longestPause = max(req.longestPause, f.LongestPause)
	req.lastCause = f.Cause
	d.emit(Count{Counter: CounterHandovers, Label: f.Result.String()})
	if req.callerGone {
		d.abandon(req, ReasonGone)

		return
	}
	switch f.Result {
	case Answered:
		d.link.othersServe = true
		if p := d.peers[node]; p != nil {
			p.servedAt, p.avoidUntil = now, time.Time{}
		}
		d.attributeErrors(now, req, f.Status < http.StatusInternalServerError)
		d.relay(now, req)
		d.logAnswered(now, req, nil, f)
	case Refused:
		d.handlePeerRefusal(now, req, node, f)
	case Broken, TimedOut:
		req.mayHaveRun, req.recorded = true, true
		req.countPeerRuns()
		if f.Result == Broken && !req.relayed {
			// Failures of a service's endpoints end otherwise.
			d.avoid(now, node)
		}
		if !req.route.Repeatable() {
			d.fail(now, req, failureReason(f.Result))

			break
		}
		d.retry(now, req, nil, f, failureReason(f.Result), nil)
	case Cancelled:
		req.mayHaveRun = true
		d.fail(now, req, ReasonLeaving)
	case Declined, Misdirected, Unreached, Unsent:
		if f.Result != Unsent {
			d.avoid(now, node)
		}
		d.placeAgain(now, req)
	}
	d.retryWaiting(now)
}

// nodeReasons are the reasons for which a node refuses requests of any service, and
// untakenReasons all for which it refuses requests that others can take.
var (
	nodeReasons    = []Reason{ReasonStranded, ReasonNotReady, ReasonLeaving, ReasonStaleView}
	untakenReasons = append([]Reason{ReasonNoEndpoint, ReasonMemory}, nodeReasons...)
)

// uncountedReasons are those for which a node refuses requests before it counts them.
var uncountedReasons = []Reason{ReasonStranded, ReasonNotReady, ReasonStaleView, ReasonNoRoute, ReasonNoKey, ReasonTooLarge, ReasonMemory, ReasonMalformed}

// handlePeerRefusal hands a request over to the next node if the last one could not take
// it, and retries one that may have run there. Otherwise it passes on the error.
func (d *Director) handlePeerRefusal(now time.Time, req *request, node netip.AddrPort, f AttemptFinished) {
	status := f.Status
	if !slices.Contains(uncountedReasons, f.Reason) {
		// The other node has counted the request.
		req.recorded = true
	}
	if d.permits(req, f.Reason) {
		// The table of the other node is an older one.
		status, f.Reason, f.RetryAfter = http.StatusServiceUnavailable, ReasonStaleView, minRetryAfter
	}
	untaken := slices.Contains(untakenReasons, f.Reason)
	d.link.othersCutOff = d.link.othersCutOff || f.Reason == ReasonStranded
	d.link.othersServe = d.link.othersServe || !untaken
	if slices.Contains(nodeReasons, f.Reason) {
		d.avoid(now, node)
	}
	switch {
	case untaken && status == http.StatusServiceUnavailable && (!d.link.stranded || d.chooseNode(now, req) != nil):
		d.placeAgain(now, req)

		return
	case untaken && status != http.StatusServiceUnavailable && req.route.Repeatable():
		req.mayHaveRun = true
		req.countPeerRuns()
		d.retry(now, req, nil, f, f.Reason, nil)

		return
	}
	if req.mayHaveRun && status == http.StatusServiceUnavailable {
		status = d.failureStatus(req, f.Reason)
	}
	req.withdrawRetry()
	d.refuseAfter(now, req, status, f.Reason, f.RetryAfter)
}

// permits reports whether the table of this node has the route or the key that another node
// has refused a request for.
func (d *Director) permits(req *request, refused Reason) bool {
	switch refused {
	case ReasonNoRoute:
		return d.table.Route(req.Host, req.Path) != nil
	case ReasonNoKey:
		return d.table.Account(req.Key) != nil
	default:
		return false
	}
}

// placeAgain places a request that has not run at the node to which it was handed over.
func (d *Director) placeAgain(now time.Time, req *request) {
	req.unreachedCount++
	if !req.waitUntil.IsZero() {
		req.waitUntil = now.Add(maxMoveWait)
	}
	d.renewRetry(now, req)
	d.place(now, req)
}

// countPeerRuns counts the attempts of a node that has not said how many it has made. At most
// one attempt is left then.
func (r *request) countPeerRuns() {
	r.peerRuns += max(1, r.route.Attempts-1-r.attemptsUsed())
}

// takesUp reports whether the version is unknown at which the stream of a request began.
// Another node knows it if it began there.
func (r *request) takesUp() bool {
	return r.resumable() && !r.pinned && (r.Continues || r.begunAtPeer)
}

// inProgress reports whether an attempt of the request is in progress.
func (r *request) inProgress() bool { return r.endpoint != nil || r.node.IsValid() }
