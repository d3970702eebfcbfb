package scheduler

import (
	"slices"
	"time"

	"snipedyke/pkg/encoder"
)

// silentTimeout is the time after which a published node that has not reported to
// this home is assumed to have no work on cold endpoints. A node ends such work
// when it has had no contact with a home that has most leases for 6 s; the rest
// covers leases that a former home may still have had. A longer timeout would
// keep a pool in cold start closed while a published host is down.
const silentTimeout = 10 * time.Second

// endpointView is the last known state of an endpoint under the previous home.
type endpointView struct {
	at   time.Time
	cold bool
}

// SetLive sets the names of the live nodes. Once each of them has reported to a
// new home, the collected views decide which endpoints start as warm.
func (h *Home) SetLive(now time.Time, nodes []string) {
	if h.homeSince.IsZero() {
		h.homeSince = now
	}
	if h.views == nil {
		return
	}
	for _, name := range nodes {
		if n := h.nodes[name]; n == nil || !n.complete {
			return
		}
	}
	for _, e := range h.placer.Endpoints() {
		if v, ok := h.views[e.Name()]; ok && !v.cold {
			h.placer.MarkWarm(now, e.Name())
		}
	}
	h.views = nil
}

// RecordObservations records a node's views of endpoints from the time when
// another node was the home. The latest view of an endpoint counts.
func (h *Home) RecordObservations(now time.Time, observations []encoder.EndpointObservation) {
	if h.views == nil {
		return
	}
	for _, o := range observations {
		at := now.Add(-time.Duration(max(0, o.Age)) * time.Microsecond)
		if v, ok := h.views[o.Endpoint]; !ok || at.After(v.at) {
			h.views[o.Endpoint] = endpointView{at: at, cold: o.Cold}
		}
	}
}

// SetDead sets the nodes whose processes are known to have ended. Their requests
// ended with their connections, so no report from them is needed. The map must not
// be modified until the next call.
func (h *Home) SetDead(nodes map[string]bool) { h.dead = nodes }

// checkComplete opens cold endpoints when no report of a published node is
// missing, or when silentTimeout has passed.
func (h *Home) checkComplete(now time.Time) {
	waiting := h.homeSince.IsZero() || now.Sub(h.homeSince) < silentTimeout
	h.complete = len(h.published) > 0 && !slices.ContainsFunc(h.published, func(name string) bool {
		n := h.nodes[name]

		return waiting && !h.dead[name] && (n == nil || !n.complete)
	})
	h.placer.AllowCold(h.complete)
}
