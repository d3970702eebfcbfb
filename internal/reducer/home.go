package reducer

import (
	"slices"
	"time"

	"snipedyke/internal/logger"
	"snipedyke/internal/placer"
	"snipedyke/internal/reconciler"
	"snipedyke/internal/scheduler"
	"snipedyke/pkg/cataloguer"
	"snipedyke/pkg/encoder"
)

// updateHomeNodes sets homeNodes to the current home of each pool.
func (r *Reducer) updateHomeNodes(now time.Time) {
	clear(r.homeNodes)
	for _, p := range r.pools {
		r.homeNodes[p.name] = r.detector.Home(now, p.name)
	}
}

// homeNode returns the node that was the home of a pool at the last heartbeat,
// or "".
func (r *Reducer) homeNode(pool string) string { return r.homeNodes[pool] }

// updateLocalHomes takes over the pools whose home this node has become, gives
// up those whose home it no longer is, and steps the rest.
func (r *Reducer) updateLocalHomes(now time.Time) {
	if r.catalogue == nil {
		return
	}
	for _, p := range r.pools {
		home := r.homeNode(p.name)
		h := r.localHomes[p.name]
		switch {
		case home == r.opts.Self && h == nil:
			r.becomeHome(now, p.name)
		case home != r.opts.Self && h != nil:
			if home != "" {
				l := r.localLoad(now, p.name)
				r.send(home, &l)
			}
			delete(r.localHomes, p.name)
			delete(r.reconcilers, p.name)
			r.log(logger.HomeMoved, "pool", p.name, "home", home)
		}
	}
	for _, name := range r.localPools() {
		r.stepHome(now, name)
	}
	if now.Sub(r.lastPoll) >= pollInterval {
		r.lastPoll = now
		r.reconcile(now)
	}
}

// pollInterval is the interval at which a home polls the load of its engines.
const pollInterval = time.Second

// reconcile polls the load of the engines in this node's pools and orders them
// to load the models and adapters that the catalogue lists. Only a home with
// leases from more than half of the lenders sends orders, so that at most one
// node does so for each pool.
func (r *Reducer) reconcile(now time.Time) {
	models := slices.DeleteFunc(slices.Clone(r.pools), func(p pool) bool {
		s := r.catalogue.Services[p.service]

		return s == nil || s.Kind != cataloguer.ModelService
	})
	for i, p := range models {
		rec := r.reconcilers[p.name]
		if rec == nil {
			continue
		}
		for _, name := range p.endpoints {
			if e := r.catalogue.Endpoints[name]; !r.outOfService(e) {
				r.emit(Poll{Endpoint: name})
			}
		}
		if leases, lenders := r.detector.Leases(now, p.name); 2*leases <= lenders || !r.detector.IsFresh(now) {
			continue
		}
		limit := r.catalogue.Downloads
		if limit == 0 {
			limit = cataloguer.DefaultDownloads
		}
		part := reconciler.DownloadShare(limit, len(models), i, r.catalogue.Version)
		orders := rec.Step(now, part)
		if len(orders) > 0 {
			r.broadcastLoad(now, p.name)
		}
		for _, o := range orders {
			r.emit(Prepare{Endpoint: o.Endpoint, Fence: o.Fence, Load: o.Load, Unload: o.Unload})
			r.log(logger.EngineOrdered, "endpoint", o.Endpoint, "fence", o.Fence, "load", o.Load, "unload", o.Unload)
		}
	}
}

// dropLocalHomes discards the state of all homes on this node, which are then
// taken over from scratch. After a pause or a partition, other nodes may have
// been the home in the meantime.
func (r *Reducer) dropLocalHomes() {
	clear(r.localHomes)
	clear(r.reconcilers)
}

// becomeHome starts to schedule a pool on this node.
func (r *Reducer) becomeHome(now time.Time, name string) {
	h := scheduler.New(name, r.opts.Self, r.opts.Incarnation)
	r.localHomes[name] = h
	r.reconcilers[name] = reconciler.New(name)
	r.reconcilers[name].Configure(r.catalogue, r.outOfService)
	r.reconcilers[name].Resume(now, r.loads[name].Ordered)
	h.SetPublished(now, r.detector.Published())
	h.SetCentres(now, r.hostDataCentres())
	h.Configure(now, r.catalogue, r.outOfService)
	for _, m := range r.marker.All(now) {
		h.ApplyMark(now, m.Fingerprint, m.State)
	}
	r.log(logger.HomeAcquired, "pool", name)
}

// hostDataCentres returns the data centre of each host.
func (r *Reducer) hostDataCentres() map[string]string {
	centres := make(map[string]string)
	if r.hosts != nil {
		for _, h := range r.hosts.Hosts {
			centres[h.Name] = h.DataCentre
		}
	}

	return centres
}

// stepHome updates a local home with the node's view, steps it and carries out
// its decisions.
func (r *Reducer) stepHome(now time.Time, name string) {
	h := r.localHomes[name]
	if h == nil {
		return
	}
	leases, lenders := r.detector.Leases(now, name)
	h.SetLeases(now, leases, lenders)
	h.SetDead(r.dead)
	h.SetPublished(now, r.detector.Published())
	h.SetLive(now, r.detector.Live(now))
	if !r.detector.IsFresh(now) {
		return
	}
	worse := false
	for _, d := range h.Step(now) {
		switch d := d.(type) {
		case scheduler.Grant:
			r.deliver(now, d.To, &d.Grant)
		case scheduler.Refuse:
			r.deliver(now, d.To, &d.Refuse)
		case scheduler.Probe:
			r.emit(Probe{Endpoint: d.Endpoint})
		case scheduler.Mark:
			r.broadcastMark(now, d.Mark)
		case scheduler.Change:
			worse = worse || d.To == placer.Failed || d.To == placer.Cold || d.To == placer.Out
			r.count(CounterEndpoints, string(d.To), "")
			r.log(logger.EndpointState, "endpoint", d.Endpoint, "pool", name,
				"former", d.From, "state", d.To, "reason", d.Reason)
		}
	}
	if worse {
		// The next heartbeat may be 300 ms away, and a home that takes over
		// before it would consider the endpoint warm.
		r.broadcastLoad(now, name)
	}
}

// broadcastLoad sends the load summary of a pool to all nodes without waiting
// for the next heartbeat.
func (r *Reducer) broadcastLoad(now time.Time, name string) {
	l := r.localLoad(now, name)
	r.recordLoad(now, l)
	r.broadcast(now, &l)
}

// localLoad returns the load summary of a pool whose home is this node.
func (r *Reducer) localLoad(now time.Time, name string) encoder.PoolLoad {
	l := r.localHomes[name].LoadSummary(now)
	l.Ordered = r.reconcilers[name].Ordered()

	return l
}

// handleHomeMessage applies a message to the home of a pool. A node that is not
// the pool's home drops the message; the sender asks again.
func (r *Reducer) handleHomeMessage(now time.Time, from string, m encoder.Message) {
	switch m := m.(type) {
	case *encoder.Ask:
		if h := r.localHomes[m.Pool]; h != nil {
			h.Ask(now, from, m)
			r.stepHome(now, m.Pool)
		}
	case *encoder.Withdraw:
		if h := r.localHomes[m.Pool]; h != nil {
			h.Withdraw(now, from, m.Ask)
		}
	case *encoder.Done:
		if h := r.localHomes[m.Pool]; h != nil {
			h.Done(now, from, m)
			r.stepHome(now, m.Pool)
		}
	case *encoder.Progress:
		if h := r.localHomes[m.Pool]; h != nil {
			h.Progress(now, from, m)
		}
	}
}

// handleLoadReported passes an endpoint's load report to the home and the
// reconciler of its pool.
func (r *Reducer) handleLoadReported(now time.Time, e LoadReported) {
	if h := r.localHome(e.Endpoint); h != nil {
		h.RecordLoad(now, e.Endpoint, e.Running, e.Queued, e.Loading)
		r.reconcilers[r.catalogue.Endpoints[e.Endpoint].Pool].SetLoaded(now, e.Endpoint, e.Loaded)
	}
}

// handleProbed passes the result of a probe to the home of the endpoint's pool.
func (r *Reducer) handleProbed(now time.Time, e Probed) {
	if h := r.localHome(e.Endpoint); h != nil {
		h.ApplyProbe(now, e.Endpoint, e.OK)
	}
}

// localHome returns the home of an endpoint's pool, or nil if it is not on this
// node.
func (r *Reducer) localHome(endpoint string) *scheduler.Home {
	if r.catalogue == nil {
		return nil
	}
	e := r.catalogue.Endpoints[endpoint]
	if e == nil {
		return nil
	}

	return r.localHomes[e.Pool]
}
