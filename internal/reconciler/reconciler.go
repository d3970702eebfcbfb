// Package reconciler reconciles the models and adapters that the engines of a
// pool have loaded with the catalogue. It runs on the pool's home node.
package reconciler

import (
	"slices"
	"strings"
	"time"

	"snipedyke/pkg/cataloguer"
)

const (
	// orderTimeout is the time for which an order counts as in progress. It is
	// long enough for a download of large weights.
	orderTimeout = 5 * time.Minute
	// minOrderInterval is the minimum time between two orders to one endpoint.
	minOrderInterval = 10 * time.Second
	// maxReportAge is the age above which an endpoint's report is ignored.
	maxReportAge = 10 * time.Second
)

// Order lists what an engine must load and unload. Orders are idempotent: all
// orders to an endpoint with the same fence have the same goal.
type Order struct {
	Endpoint string
	// Fence is the catalogue version. It never decreases, and all nodes derive
	// the same goal from the same version.
	Fence uint64
	Load  []string
	// Unload is empty for endpoints that do not check the fence, as a delayed
	// order could otherwise undo a newer one.
	Unload []string
}

// Reconciler is the state of one pool. It is not safe for concurrent use.
type Reconciler struct {
	pool      string
	version   cataloguer.Version
	endpoints []*engine
}

// engine is the state of one endpoint.
type engine struct {
	conf *cataloguer.Endpoint
	// out reports whether the endpoint is out of service.
	out bool
	// loaded holds the models and adapters of the last report.
	loaded     []string
	reportedAt time.Time
	// orderedAt is the time of the last order, or zero if it has been fulfilled.
	orderedAt time.Time
	// fence is the fence of the last order.
	fence uint64
}

// New returns a reconciler without endpoints.
func New(pool string) *Reconciler { return &Reconciler{pool: pool} }

// Configure applies a catalogue. The function out reports whether an endpoint
// is out of service.
func (r *Reconciler) Configure(c *cataloguer.Catalogue, out func(*cataloguer.Endpoint) bool) {
	r.version = c.Version
	known := make(map[string]*engine, len(r.endpoints))
	for _, e := range r.endpoints {
		known[e.conf.Name] = e
	}
	r.endpoints = r.endpoints[:0]
	for name, conf := range c.Endpoints {
		service := c.Services[conf.Service]
		if conf.Pool != r.pool || service == nil || service.Kind != cataloguer.ModelService {
			continue
		}
		e := known[name]
		if e == nil {
			e = &engine{}
		}
		e.conf, e.out = conf, out(conf)
		r.endpoints = append(r.endpoints, e)
	}
	slices.SortFunc(r.endpoints, func(a, b *engine) int { return strings.Compare(a.conf.Name, b.conf.Name) })
}

// Ordered returns the names of the endpoints with an unfulfilled order.
func (r *Reconciler) Ordered() []string {
	var names []string
	for _, e := range r.endpoints {
		if !e.orderedAt.IsZero() {
			names = append(names, e.conf.Name)
		}
	}

	return names
}

// Resume marks the endpoints to which the previous home node gave orders that
// they have not fulfilled, as if the orders were given now.
func (r *Reconciler) Resume(now time.Time, endpoints []string) {
	for _, e := range r.endpoints {
		if e.orderedAt.IsZero() && slices.Contains(endpoints, e.conf.Name) {
			e.orderedAt, e.fence = now, uint64(r.version)
		}
	}
}

// SetLoaded records the models and adapters that an endpoint reports as loaded.
func (r *Reconciler) SetLoaded(now time.Time, endpoint string, loaded []string) {
	for _, e := range r.endpoints {
		if e.conf.Name == endpoint {
			e.loaded, e.reportedAt = loaded, now
		}
	}
}

// Step returns the orders to give now. They keep the downloads in progress in
// the pool at or below limit. Only a home node that holds a majority of the
// leases may call it.
func (r *Reconciler) Step(now time.Time, limit int) []Order {
	var waiting []*engine
	loading := 0
	for _, e := range r.endpoints {
		load, unload := e.diff()
		switch {
		case e.out || e.reportedAt.IsZero() || now.Sub(e.reportedAt) > maxReportAge:
		case len(load) == 0 && len(unload) == 0:
			e.orderedAt = time.Time{}
		case !e.orderedAt.IsZero() && len(load) > 0 && e.fence == uint64(r.version) && now.Sub(e.orderedAt) < orderTimeout:
			loading++
		case e.orderedAt.IsZero() || now.Sub(e.orderedAt) >= minOrderInterval:
			waiting = append(waiting, e)
		}
	}
	var orders []Order
	for _, e := range waiting {
		load, unload := e.diff()
		if len(load) > 0 {
			if loading >= limit {
				continue
			}
			loading++
		}
		e.orderedAt, e.fence = now, uint64(r.version)
		orders = append(orders, Order{Endpoint: e.conf.Name, Fence: e.fence, Load: load, Unload: unload})
	}

	return orders
}

// diff returns the models and adapters that the endpoint must load and unload.
func (e *engine) diff() (load, unload []string) {
	wanted := slices.Concat(e.conf.Models, e.conf.Adapters)
	for _, name := range wanted {
		if !slices.Contains(e.loaded, name) {
			load = append(load, name)
		}
	}
	if !e.conf.Fences {
		return load, nil
	}
	for _, name := range e.loaded {
		if !slices.Contains(wanted, name) {
			unload = append(unload, name)
		}
	}

	return load, unload
}

// DownloadShare returns the number of downloads that a pool may have in
// progress: its share of the fleet's limit. If the limit is lower than the
// number of pools, the shares rotate with each catalogue version, so that every
// pool gets its turn without coordination between home nodes.
func DownloadShare(limit, pools, index int, version cataloguer.Version) int {
	if pools <= 0 {
		return 0
	}
	i := int((uint64(index) + uint64(version)) % uint64(pools))

	return (i+1)*limit/pools - i*limit/pools
}
