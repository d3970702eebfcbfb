package reducer

import (
	"time"

	"snipedyke/internal/detector"
	"snipedyke/internal/logger"
	"snipedyke/pkg/encoder"
)

// heartbeatInterval is the interval at which heartbeats are sent; the detector
// decides which peers get one.
const heartbeatInterval = 100 * time.Millisecond

// handleMessage applies a message from a peer, or from this node to itself.
func (r *Reducer) handleMessage(now time.Time, from string, m encoder.Message) {
	switch m := m.(type) {
	case *encoder.Heartbeat:
		r.handleHeartbeat(now, from, m)
	case *encoder.Grant:
		r.handleGrant(now, from, m)
	case *encoder.Refuse:
		r.handleAskRefusal(now, from, m)
	case *encoder.Ask, *encoder.Withdraw, *encoder.Done, *encoder.Progress:
		r.handleHomeMessage(now, from, m)
	case *encoder.Claim, *encoder.ClaimReply, *encoder.Release, *encoder.Finish,
		*encoder.Query, *encoder.QueryReply, *encoder.Pull, *encoder.Push:
		r.applyClaimerOutputs(now, r.claimer.Receive(now, from, m))
	case *encoder.Mark:
		r.applyMark(now, *m)
	case *encoder.Spend:
		if budget := r.limiter.HandleSpend(now, from, m); budget != nil {
			r.deliver(now, from, budget)
		}
	case *encoder.Budget:
		r.limiter.HandleBudget(now, m)
	case *encoder.Order:
		r.handleOrder(now, *m)
	case *encoder.PoolLoad:
		r.recordPeerLoad(now, *m)
	}
}

// handleHeartbeat applies a heartbeat to the detector and to the local homes.
func (r *Reducer) handleHeartbeat(now time.Time, from string, hb *encoder.Heartbeat) {
	delete(r.dead, from)
	r.handleMembershipChanges(now, r.detector.HandleHeartbeat(now, from, hb))
	for _, l := range hb.Loads {
		r.recordPeerLoad(now, l)
	}
	for _, name := range r.localPools() {
		h := r.localHomes[name]
		var running []encoder.Permit
		for _, p := range hb.Running {
			if p.Pool == name {
				running = append(running, p)
			}
		}
		rebuilt := false
		for _, pool := range hb.Rebuilt {
			rebuilt = rebuilt || pool == name
		}
		h.RecordObservations(now, hb.Seen)
		h.Report(now, from, hb.Incarnation, hb.Seq, running, rebuilt)
	}
}

// recordLoad stores a home's load summary of its pool.
func (r *Reducer) recordLoad(now time.Time, l encoder.PoolLoad) {
	r.loads[l.Pool] = poolLoad{PoolLoad: l, at: now}
	if l.Full {
		r.lastFullLoad[l.Pool] = now
		r.recordObservations(now, l)
	}
}

// recordPeerLoad stores the load summary of another home, from which this node
// may take over the pool later. If it has already done so, its reconciler
// continues from the orders in the summary.
func (r *Reducer) recordPeerLoad(now time.Time, l encoder.PoolLoad) {
	r.recordLoad(now, l)
	if rec := r.reconcilers[l.Pool]; rec != nil {
		rec.Resume(now, l.Ordered)
	}
}

// sendHeartbeats sends the heartbeats that are due, and reports this node's own
// permits and observations to its local homes.
func (r *Reducer) sendHeartbeats(now time.Time) {
	if now.Sub(r.lastHeartbeat) < heartbeatInterval {
		return
	}
	r.lastHeartbeat = now
	r.updateHomeNodes(now)
	beats, changes := r.detector.Step(now, func(to string, hb *encoder.Heartbeat) { r.fillHeartbeat(now, to, hb) })
	for _, b := range beats {
		r.send(b.To, b.Heartbeat)
	}
	r.handleMembershipChanges(now, changes)
	for _, name := range r.localPools() {
		h := r.localHomes[name]
		h.RecordObservations(now, r.observations(now, name))
		h.Report(now, r.opts.Self, r.opts.Incarnation, 0, r.running(name), true)
		r.recordLoad(now, r.localLoad(now, name))
	}
}

// fillHeartbeat adds to a heartbeat what the peer needs as the home of its
// pools, and the load summaries of the pools whose home is this node.
func (r *Reducer) fillHeartbeat(now time.Time, to string, hb *encoder.Heartbeat) {
	for _, p := range r.pools {
		switch r.homeNode(p.name) {
		case to:
			hb.Rebuilt = append(hb.Rebuilt, p.name)
			hb.Running = append(hb.Running, r.running(p.name)...)
			if r.isNewHome(now, p.name, to) {
				hb.Seen = append(hb.Seen, r.observations(now, p.name)...)
			}
		case r.opts.Self:
			if r.localHomes[p.name] != nil {
				hb.Loads = append(hb.Loads, r.localLoad(now, p.name))
			}
		}
	}
}

// running returns the permits of a pool that this node uses, in order of
// arrival of their requests.
func (r *Reducer) running(name string) []encoder.Permit {
	var permits []encoder.Permit
	for _, req := range r.queue {
		if req.permit != nil && req.permit.Pool == name {
			permits = append(permits, req.permit.Permit)
		}
	}

	return permits
}

// handleMembershipChanges logs changes of the membership and passes them to the
// claimer and the local homes.
func (r *Reducer) handleMembershipChanges(now time.Time, changes []detector.Change) {
	for _, c := range changes {
		switch c := c.(type) {
		case detector.Joined:
			r.log(logger.NodeJoined, "node", c.Node, "incarnation", c.Incarnation)
			r.applyClaimerOutputs(now, r.claimer.NodeJoined(now, c.Node, c.Incarnation))
			r.sendOrdersAndMarks(now, c.Node)
		case detector.Restarted:
			r.log(logger.NodeRestarted, "node", c.Node, "incarnation", c.Incarnation)
			r.applyClaimerOutputs(now, r.claimer.NodeLost(now, c.Node, c.Former))
			r.applyClaimerOutputs(now, r.claimer.NodeJoined(now, c.Node, c.Incarnation))
			r.sendOrdersAndMarks(now, c.Node)
			r.dropFromHomes(now, c.Node)
		case detector.Lost:
			r.log(logger.NodeLost, "node", c.Node, "incarnation", c.Incarnation)
			r.applyClaimerOutputs(now, r.claimer.NodeLost(now, c.Node, c.Incarnation))
			r.dropFromHomes(now, c.Node)
		case detector.Leaving:
			r.log(logger.NodeLeaving, "node", c.Node)
		}
	}
}

func (r *Reducer) dropFromHomes(now time.Time, node string) {
	for _, name := range r.localPools() {
		r.localHomes[name].DropAsks(now, node)
	}
}

// broadcastMark applies a mark that this node has made and sends it to all live
// nodes. The receivers do not relay it, since the traffic would grow with the
// square of the fleet size; a node that was unreachable gets it when its link
// is up again.
func (r *Reducer) broadcastMark(now time.Time, m encoder.Mark) {
	if r.applyMark(now, m) {
		r.broadcast(now, &m)
	}
}

// applyMark applies the mark of a fingerprint and reports whether it is new.
func (r *Reducer) applyMark(now time.Time, m encoder.Mark) bool {
	if !r.marker.Apply(now, m) {
		return false
	}
	switch m.State {
	case encoder.MarkSuspect:
		r.count(CounterMarks, "suspect", "")
		r.log(logger.FingerprintSuspect, "fingerprint", m.Fingerprint, "service", m.Service)
	case encoder.MarkBlocked:
		r.count(CounterMarks, "blocked", "")
		r.log(logger.FingerprintBlocked, "fingerprint", m.Fingerprint, "service", m.Service)
	case encoder.MarkCleared:
		r.count(CounterMarks, "cleared", "")
	}
	for _, name := range r.localPools() {
		r.localHomes[name].ApplyMark(now, m.Fingerprint, m.State)
	}

	return true
}

// clearMark clears the suspect mark of a request that has completed.
func (r *Reducer) clearMark(now time.Time, req *request) {
	if r.marker.State(now, req.Fingerprint) == encoder.MarkSuspect {
		r.broadcastMark(now, encoder.Mark{Fingerprint: req.Fingerprint, Service: req.Service, State: encoder.MarkCleared})
	}
}
