package reducer

import (
	"maps"
	"slices"
	"strings"
	"time"

	"snipedyke/internal/logger"
	"snipedyke/pkg/cataloguer"
	"snipedyke/pkg/encoder"
)

// fetchInterval is the minimum time between attempts to fetch a newer catalogue
// or host list from a peer.
const fetchInterval = 500 * time.Millisecond

// loadCatalogue puts a catalogue in force if it is newer than the current one.
func (r *Reducer) loadCatalogue(now time.Time, c *cataloguer.Catalogue) {
	if r.catalogue != nil && c.Version <= r.catalogue.Version {
		return
	}
	r.catalogue = c
	r.pools = poolsOf(c)
	dataCentres := make(map[string]string, len(r.pools))
	for _, p := range r.pools {
		dataCentres[p.name] = p.dataCentre
	}
	r.detector.SetPools(dataCentres)
	r.updateHomeNodes(now)
	r.pruneRemoved()
	r.setDetectorVersions()
	r.applyClaimerOutputs(now, r.claimer.SetEpoch(now, c.Epoch))
	r.configure(now)
	r.log(logger.CatalogueInForce, "version", uint64(c.Version), "epoch", c.Epoch)
}

// pruneRemoved drops the state of endpoints and pools that are no longer in the
// catalogue.
func (r *Reducer) pruneRemoved() {
	removed := func(name string) bool {
		return !slices.ContainsFunc(r.pools, func(p pool) bool { return p.name == name })
	}
	maps.DeleteFunc(r.observed, func(name string, _ observation) bool { return r.catalogue.Endpoints[name] == nil })
	maps.DeleteFunc(r.loads, func(name string, _ poolLoad) bool { return removed(name) })
	maps.DeleteFunc(r.homeStarts, func(name string, _ homeStart) bool { return removed(name) })
	maps.DeleteFunc(r.lastFullLoad, func(name string, _ time.Time) bool { return removed(name) })
}

// loadHosts puts a host list in force if it is newer than the current one.
func (r *Reducer) loadHosts(now time.Time, h *cataloguer.Hosts) {
	if r.hosts != nil && h.Version <= r.hosts.Version {
		return
	}
	r.hosts = h
	r.detector.SetHosts(now, h)
	r.setDetectorVersions()
	r.applyClaimerOutputs(now, r.claimer.SetHosts(now, h))
	r.configure(now)
	r.log(logger.HostsInForce, "version", uint64(h.Version), "hosts", len(h.Hosts))
}

func (r *Reducer) setDetectorVersions() {
	if r.catalogue != nil {
		r.detector.SetVersions(uint64(r.catalogue.Version), r.catalogue.Epoch)
	}
}

// configure passes the catalogue and the host list in force to the limiter, the
// local homes and the reconcilers, and records endpoints that are out of
// service as cold.
func (r *Reducer) configure(now time.Time) {
	if r.catalogue == nil {
		return
	}
	for name, e := range r.catalogue.Endpoints {
		if r.outOfService(e) {
			r.observed[name] = observation{at: now, cold: true}
		}
	}
	r.limiter.Configure(r.catalogue, max(1, len(r.detector.Published())))
	for _, name := range r.localPools() {
		if h := r.localHomes[name]; h != nil {
			h.SetCentres(now, r.hostDataCentres())
			h.Configure(now, r.catalogue, r.outOfService)
			r.reconcilers[name].Configure(r.catalogue, r.outOfService)
		}
	}
}

// localPools returns the sorted names of the pools in localHomes. They include
// pools whose home has moved since the last call of updateLocalHomes.
func (r *Reducer) localPools() []string {
	names := make([]string, 0, len(r.localHomes))
	for name := range r.localHomes {
		names = append(names, name)
	}
	slices.Sort(names)

	return names
}

// poolsOf returns the pools of a catalogue, sorted by name.
func poolsOf(c *cataloguer.Catalogue) []pool {
	byName := make(map[string]*pool)
	for _, e := range c.Endpoints {
		p := byName[e.Pool]
		if p == nil {
			p = &pool{name: e.Pool, service: e.Service, dataCentre: e.DataCentre}
			byName[e.Pool] = p
		} else if p.dataCentre != e.DataCentre {
			p.dataCentre = ""
		}
		p.endpoints = append(p.endpoints, e.Name)
	}
	pools := make([]pool, 0, len(byName))
	for _, p := range byName {
		slices.Sort(p.endpoints)
		pools = append(pools, *p)
	}
	slices.SortFunc(pools, func(a, b pool) int { return strings.Compare(a.name, b.name) })

	return pools
}

// outOfService reports whether the catalogue or an emergency order takes the
// endpoint or its data centre out of service.
func (r *Reducer) outOfService(e *cataloguer.Endpoint) bool {
	if e.OutOfService || r.orders.takesOut("", e.Name) || r.orders.takesOut(e.DataCentre, "") {
		return true
	}
	dc := r.catalogue.DataCentres[e.DataCentre]

	return dc != nil && dc.OutOfService
}

// fetchNewer fetches a catalogue or host list from a peer that has announced a
// newer version than the one in force.
func (r *Reducer) fetchNewer(now time.Time) {
	if now.Sub(r.lastFetch) < fetchInterval {
		return
	}
	newest := r.detector.Newest()
	behind := newest.CatalogueFrom != "" && (r.catalogue == nil || newest.Catalogue > uint64(r.catalogue.Version))
	if behind {
		r.lastFetch = now
		r.emit(FetchFrom{Peer: newest.CatalogueFrom})

		return
	}
	if newest.HostsFrom != "" && (r.hosts == nil || newest.Hosts > uint64(r.hosts.Version)) {
		r.lastFetch = now
		r.emit(FetchFrom{Peer: newest.HostsFrom})
	}
}

// handleOrder applies an emergency order and broadcasts it if it is new.
func (r *Reducer) handleOrder(now time.Time, o encoder.Order) {
	if !r.orders.apply(now, o) {
		return
	}
	if o.Cancelled {
		r.log(logger.OrderCancelled, "order", o.ID)
	} else {
		r.log(logger.OrderInForce, "order", o.ID, "centre", o.DataCentre, "endpoint", o.Endpoint,
			"left", fromMicros(o.Left))
	}
	r.configure(now)
	r.broadcast(now, &o)
}

// sendOrdersAndMarks sends a peer what spreads by flooding: orders and marks.
func (r *Reducer) sendOrdersAndMarks(now time.Time, peer string) {
	for _, o := range r.orders.all(now) {
		r.send(peer, &o)
	}
	for _, m := range r.marker.All(now) {
		r.send(peer, &m)
	}
}

func fromMicros(us int64) time.Duration { return time.Duration(us) * time.Microsecond }
