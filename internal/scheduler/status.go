package scheduler

import (
	"time"

	"snipedyke/internal/placer"
	"snipedyke/pkg/encoder"
)

// Status is the state of a pool at its home, as shown to operators.
type Status struct {
	Pool    string `json:"pool"`
	Leases  int    `json:"leases"`
	Lenders int    `json:"lenders"`
	// Complete reports whether all published nodes have reported their permits.
	Complete  bool             `json:"complete"`
	Endpoints []EndpointStatus `json:"endpoints"`
	Classes   []ClassStatus    `json:"classes"`
}

// EndpointStatus is the state of an endpoint. Gap is in microseconds.
type EndpointStatus struct {
	Name    string       `json:"name"`
	State   placer.State `json:"state"`
	Limit   int          `json:"limit"`
	Running int          `json:"running"`
	Gap     int64        `json:"gap"`
}

// ClassStatus is the state of a class. Oldest, the wait of the oldest ask, and
// Wait, the estimated wait of a new one, are in microseconds.
type ClassStatus struct {
	Name     string `json:"name"`
	Tier     int    `json:"tier"`
	Reserved int    `json:"reserved"`
	Running  int    `json:"running"`
	Queued   int    `json:"queued"`
	Oldest   int64  `json:"oldest"`
	Wait     int64  `json:"wait"`
}

// maxTiers bounds the number of tiers in a load summary.
const maxTiers = 64

// LoadSummary returns the load summary of the pool for heartbeats. A tier
// without a class gets the wait of the class in the next tier by number.
func (h *Home) LoadSummary(time.Time) encoder.PoolLoad {
	_, free := h.placer.Places()
	l := encoder.PoolLoad{Pool: h.pool, Free: int32(free), Full: 2*h.leases > h.lenders}
	for _, e := range h.placer.Endpoints() {
		if e.State() != placer.Warm {
			l.Cold = append(l.Cold, e.Name())
		}
	}
	h.reserve()
	for _, c := range h.classes {
		l.Queued += int32(c.queued)
		if c.conf.Tier >= maxTiers {
			continue
		}
		wait := h.estimateWait(c, false).Microseconds()
		for len(l.Wait) <= c.conf.Tier {
			l.Wait = append(l.Wait, wait)
		}
		l.Wait[c.conf.Tier] = max(l.Wait[c.conf.Tier], wait)
	}

	return l
}

// Status returns the state of the pool for operators.
func (h *Home) Status(now time.Time) Status {
	s := Status{Pool: h.pool, Leases: h.leases, Lenders: h.lenders, Complete: h.complete}
	for _, e := range h.placer.Endpoints() {
		s.Endpoints = append(s.Endpoints, EndpointStatus{
			Name: e.Name(), State: e.State(), Limit: h.placer.Limit(e),
			Running: e.Running(), Gap: e.Gap().Microseconds(),
		})
	}
	h.reserve()
	for i, c := range h.classes {
		cs := ClassStatus{
			Name: c.conf.Name, Tier: c.conf.Tier, Reserved: h.reserved[i],
			Running: c.running, Queued: c.queued, Wait: h.estimateWait(c, false).Microseconds(),
		}
		if q := c.oldest(); q != nil {
			cs.Oldest = now.Sub(q.arrived).Microseconds()
		}
		s.Classes = append(s.Classes, cs)
	}

	return s
}
