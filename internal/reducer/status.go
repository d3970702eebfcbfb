package reducer

import (
	"time"

	"snipedyke/internal/detector"
	"snipedyke/internal/limiter"
	"snipedyke/internal/scheduler"
	"snipedyke/pkg/encoder"
)

// Status is a node's view of the system, as shown to operators.
type Status struct {
	Node        string `json:"node"`
	Incarnation uint64 `json:"incarnation"`
	Ready       bool   `json:"ready"`
	// Reason is the reason why the node is not ready. It is empty if the node
	// is ready.
	Reason  Reason `json:"reason,omitempty"`
	Leaving bool   `json:"leaving"`
	// Catalogue, Epoch and Hosts are the versions in force here.
	Catalogue uint64          `json:"catalogue"`
	Epoch     uint64          `json:"epoch"`
	Hosts     uint64          `json:"hosts"`
	Members   detector.Status `json:"members"`
	Pools     []PoolStatus    `json:"pools"`
	Records   RecordStatus    `json:"records"`
	// Requests counts the requests in progress here by class and phase.
	Requests []RequestCount `json:"requests"`
	// Usage lists the entries in use at this node.
	Usage  []limiter.Usage `json:"usage"`
	Orders []encoder.Order `json:"orders"`
	Marks  []encoder.Mark  `json:"marks"`
}

// PoolStatus is the state of a pool as a node sees it.
type PoolStatus struct {
	Pool    string `json:"pool"`
	Service string `json:"service"`
	Home    string `json:"home"`
	// LocalHome is the state of the home. It is nil unless this node is the home.
	LocalHome *scheduler.Status `json:"here,omitempty"`
	// Load is the last load summary from the home.
	Load *encoder.PoolLoad `json:"load,omitempty"`
}

// RecordStatus describes the records of idempotency keys.
type RecordStatus struct {
	Covering bool `json:"covering"`
	Size     int  `json:"size"`
	Issued   int  `json:"issued"`
}

// RequestCount counts requests in progress.
type RequestCount struct {
	Class string `json:"class"`
	Phase string `json:"phase"`
	Count int    `json:"count"`
}

// String returns the name of the phase that is shown to operators.
func (p phase) String() string {
	switch p {
	case phaseQuota:
		return "quota"
	case phaseClaimKey:
		return "claiming_key"
	case phaseClaimRun:
		return "claiming_run"
	case phaseSlot:
		return "waiting"
	case phaseRunning:
		return "running"
	default:
		return "ended"
	}
}

// Status returns the node's view of the system at now.
func (r *Reducer) Status(now time.Time) Status {
	s := Status{
		Node: r.opts.Self, Incarnation: r.opts.Incarnation,
		Reason: r.unreadyReason(now), Leaving: r.leaving,
		Members: r.detector.Status(now),
		Records: RecordStatus{Covering: r.claimer.Covering(), Size: r.claimer.RecordCount(), Issued: len(r.issuedKeys)},
		Usage:   r.limiter.Usage(now),
		Orders:  r.orders.all(now), Marks: r.marker.All(now),
	}
	s.Ready = s.Reason == ""
	if r.catalogue != nil {
		s.Catalogue, s.Epoch = uint64(r.catalogue.Version), r.catalogue.Epoch
	}
	if r.hosts != nil {
		s.Hosts = uint64(r.hosts.Version)
	}
	for _, p := range r.pools {
		ps := PoolStatus{Pool: p.name, Service: p.service, Home: r.homeNode(p.name)}
		if h := r.localHomes[p.name]; h != nil {
			home := h.Status(now)
			ps.LocalHome = &home
		}
		if l, ok := r.loads[p.name]; ok {
			ps.Load = &l.PoolLoad
		}
		s.Pools = append(s.Pools, ps)
	}
	s.Requests = r.countRequests()

	return s
}

// countRequests counts the requests in progress by class and phase, in order of
// the first arrival of each pair.
func (r *Reducer) countRequests() []RequestCount {
	var counts []RequestCount
	index := make(map[RequestCount]int)
	for _, req := range r.queue {
		if req.phase == phaseEnded {
			continue
		}
		key := RequestCount{Class: req.Class, Phase: req.phase.String()}
		i, ok := index[key]
		if !ok {
			i = len(counts)
			index[key] = i
			counts = append(counts, key)
		}
		counts[i].Count++
	}

	return counts
}
