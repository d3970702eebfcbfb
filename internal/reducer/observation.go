package reducer

import (
	"slices"
	"strings"
	"time"

	"snipedyke/pkg/encoder"
)

const (
	// newHomePeriod is the time for which a new home is sent the earlier
	// observations of its endpoints.
	newHomePeriod = 2 * time.Second
	// maxObservationAge is the age up to which an observation is sent.
	maxObservationAge = 30 * time.Second
	// orphanTimeout is the time after which a request on a cold endpoint is
	// cancelled if nothing has been received from a home with leases from more
	// than half of the lenders. A new home that cannot hear this node counts it
	// as idle 10 s after the takeover: 2 s for the leases of a former home,
	// orphanTimeout, and a margin.
	orphanTimeout = 6 * time.Second
)

// observation is the last known state of an endpoint.
type observation struct {
	at   time.Time
	cold bool
}

// homeStart records since when a node has been the home of a pool.
type homeStart struct {
	home        string
	incarnation uint64
	since       time.Time
}

// recordObservations stores the endpoint states from a home's load summary.
func (r *Reducer) recordObservations(now time.Time, l encoder.PoolLoad) {
	i := slices.IndexFunc(r.pools, func(p pool) bool { return p.name == l.Pool })
	if i < 0 {
		return
	}
	for _, name := range r.pools[i].endpoints {
		r.observed[name] = observation{at: now, cold: slices.Contains(l.Cold, name)}
	}
}

// isNewHome reports whether home became the home of the pool less than
// newHomePeriod ago.
func (r *Reducer) isNewHome(now time.Time, pool, home string) bool {
	t := r.homeStarts[pool]
	incarnation, _ := r.detector.Incarnation(home)
	if t.home != home || t.incarnation != incarnation {
		t = homeStart{home: home, incarnation: incarnation, since: now}
		r.homeStarts[pool] = t
	}

	return now.Sub(t.since) < newHomePeriod
}

// observations returns the recent observations of the endpoints of a pool,
// sorted by endpoint.
func (r *Reducer) observations(now time.Time, pool string) []encoder.EndpointObservation {
	var observations []encoder.EndpointObservation
	for name, s := range r.observed {
		age := now.Sub(s.at)
		if e := r.catalogue.Endpoints[name]; e == nil || e.Pool != pool || age > maxObservationAge {
			continue
		}
		observations = append(observations, encoder.EndpointObservation{Endpoint: name, Cold: s.cold, Age: age.Microseconds()})
	}
	slices.SortFunc(observations, func(a, b encoder.EndpointObservation) int { return strings.Compare(a.Endpoint, b.Endpoint) })

	return observations
}

// cancelOrphaned cancels idempotent requests on cold endpoints of pools for
// which no home with leases from more than half of the lenders has been heard
// for orphanTimeout, since another home may send new requests to the endpoint.
func (r *Reducer) cancelOrphaned(now time.Time) {
	for _, req := range r.queue {
		p := req.permit
		if p == nil || !p.cold || p.orphaned || req.Once {
			continue
		}
		attended := r.lastFullLoad[p.Pool]
		if attended.Before(p.dispatched) {
			attended = p.dispatched
		}
		if now.Sub(attended) > orphanTimeout {
			p.orphaned = true
			r.emit(Cancel{ID: req.ID, Permit: p.ID})
		}
	}
}
