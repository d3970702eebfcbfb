package scheduler

import (
	"slices"
	"time"

	"snipedyke/internal/placer"
	"snipedyke/pkg/encoder"
)

const (
	// reportTimeout is the time after which a permit that its node does not
	// report is released, and after which a node without reports is silent.
	reportTimeout = 3 * time.Second
	// maxReportAge is the age of a node's last report beyond which it gets no
	// grants. Nodes drop grants whose heartbeat is older than 1 s; the difference
	// covers the network delay of the heartbeat and of the grant.
	maxReportAge = 800 * time.Millisecond
)

// node is the state of a node that sends asks.
type node struct {
	name        string
	incarnation uint64
	// heartbeatSeq is the highest sequence number of a heartbeat of this
	// incarnation.
	heartbeatSeq uint64
	// reported is the time of the last report.
	reported time.Time
	// complete reports whether the node has reported all of its permits.
	complete bool
	// asks holds the queued asks by ID.
	asks map[uint64]*queuedAsk
	// parked holds the asks that wait for the node's next report.
	parked []*queuedAsk
}

// permit is a place in use.
type permit struct {
	placer.Run
	node  *node
	class *class
	// lastSeen is the time of the grant or of the last report of the permit.
	lastSeen time.Time
	// tokens is the number of tokens that the node has reported so far.
	tokens uint32
	// maxTokens is the limit on the answer's length, or zero if there is none.
	maxTokens uint32
}

// node returns the state of a node and creates it if necessary.
func (h *Home) node(name string) *node {
	n := h.nodes[name]
	if n == nil {
		n = &node{name: name, asks: map[uint64]*queuedAsk{}}
		h.nodes[name] = n
	}

	return n
}

// Report applies the list of permits in use from a node's heartbeat and ignores
// those of other pools. rebuilt reports whether the list is complete. Permits that
// are missing from complete reports for 3 s are released; unknown ones are adopted.
func (h *Home) Report(now time.Time, node string, incarnation, heartbeatSeq uint64, running []encoder.Permit, rebuilt bool) {
	n := h.node(node)
	if incarnation < n.incarnation {
		return
	}
	if incarnation > n.incarnation {
		if n.incarnation != 0 {
			h.releaseAll(n)
			h.dropAsks(n)
			n.complete = false
		}
		n.incarnation, n.heartbeatSeq = incarnation, 0
	}
	n.heartbeatSeq = max(n.heartbeatSeq, heartbeatSeq)
	n.reported = now
	for i := range running {
		r := &running[i]
		if r.Pool != h.pool && r.Pool != "" {
			continue
		}
		if p := h.permits[r.ID]; p != nil {
			if p.node == n {
				p.lastSeen, p.Reported = now, true
				h.placer.SetSilent(&p.Run, false)
			}

			continue
		}
		if _, ok := h.endedPermits[r.ID]; !ok {
			h.adopt(now, n, r)
		}
	}
	if rebuilt && !n.complete {
		n.complete = true
		h.checkComplete(now)
	}
	for _, q := range n.parked {
		if n.asks[q.id] == q {
			h.requeue(q)
		}
	}
	n.parked = nil
}

// adopt adds a permit that a former home granted.
func (h *Home) adopt(now time.Time, n *node, r *encoder.Permit) {
	p := &permit{
		Run: placer.Run{
			ID: r.ID, Endpoint: r.Endpoint, Class: r.Class,
			Fingerprint: r.Fingerprint, Suspect: r.Suspect, Started: now,
		},
		node: n, class: h.class(r.Class), lastSeen: now,
	}
	h.permits[r.ID] = p
	p.class.running++
	h.placer.Adopt(&p.Run)
}

// release returns a permit without recording its run in the statistics.
func (h *Home) release(p *permit) {
	h.placer.Remove(&p.Run)
	h.deletePermit(p)
}

// deletePermit removes a permit from the home's state, but not from the placer's.
func (h *Home) deletePermit(p *permit) {
	p.class.running--
	delete(h.permits, p.ID)
}

// releaseAll releases all permits of a node.
func (h *Home) releaseAll(n *node) {
	for _, p := range h.permits {
		if p.node == n {
			h.release(p)
		}
	}
}

// DropAsks removes the asks of a node that is suspected or no longer alive. Its
// permits stay until it reports again or is no longer published.
func (h *Home) DropAsks(_ time.Time, node string) {
	if n := h.nodes[node]; n != nil {
		h.dropAsks(n)
	}
}

func (h *Home) dropAsks(n *node) {
	for _, q := range n.asks {
		h.unqueue(q)
	}
	n.parked = nil
}

// Progress applies a progress report of a running request.
func (h *Home) Progress(now time.Time, from string, r *encoder.Progress) {
	p := h.permits[r.Permit]
	if p == nil || p.node.name != from {
		return
	}
	p.tokens = max(p.tokens, r.Tokens)
	h.placer.RecordFirstToken(now, &p.Run, time.Duration(r.First)*time.Microsecond)
}

// Done returns a permit and records the outcome of its run.
func (h *Home) Done(now time.Time, from string, d *encoder.Done) {
	p := h.permits[d.Permit]
	if p == nil || p.node.name != from {
		return
	}
	h.endedPermits[p.ID] = now
	first := time.Duration(d.First) * time.Microsecond
	if first == 0 && d.Outcome == encoder.OutcomeOK {
		first = time.Duration(d.Run) * time.Microsecond
	}
	crashed := h.placer.End(now, &p.Run, d.Outcome, first, time.Duration(d.Gap)*time.Microsecond)
	h.deletePermit(p)
	switch d.Outcome {
	case encoder.OutcomeOK:
		p.class.runMillis.add(float64(d.Run) / 1000)
		if d.Tokens > 0 {
			p.class.answerTokens.add(float64(d.Tokens))
			if p.maxTokens > 0 {
				p.class.limitUsePerMille.add(1000 * float64(d.Tokens) / float64(p.maxTokens))
			}
		}
		h.clearSuspect(now, p)
	case encoder.OutcomeCancelled, encoder.OutcomeTimeout:
		// Runs that were cut off count with their expected total; otherwise the
		// statistics would lack long runs.
		p.class.runMillis.add(float64((now.Sub(p.Started) + p.remaining(now)).Milliseconds()))
		h.retryBudget.recordFailure(now, p.Fingerprint)
	case encoder.OutcomeLost, encoder.OutcomeError:
		h.retryBudget.recordFailure(now, p.Fingerprint)
	}
	h.handleCrash(now, crashed)
}

// sweepPermits releases the permits that their nodes no longer report, and detects
// the nodes that have become silent.
func (h *Home) sweepPermits(now time.Time) {
	for _, p := range h.permits {
		p.NodeStale = now.Sub(p.node.reported) > maxReportAge
		switch {
		case now.Sub(p.node.reported) >= reportTimeout:
			h.placer.SetSilent(&p.Run, true)
		case p.node.complete && p.node.reported.Sub(p.lastSeen) >= reportTimeout:
			h.release(p)
		}
	}
	for id, ended := range h.endedPermits {
		if now.Sub(ended) >= reportTimeout {
			delete(h.endedPermits, id)
		}
	}
	for name, n := range h.nodes {
		_, published := slices.BinarySearch(h.published, name)
		if !published && len(n.asks) == 0 && now.Sub(n.reported) >= reportTimeout {
			h.releaseAll(n)
			delete(h.nodes, name)
		}
	}
}
