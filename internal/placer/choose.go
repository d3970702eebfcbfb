package placer

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"snipedyke/pkg/cataloguer"
)

const (
	// cachedFactor is the expected first-token time on the endpoint that has the
	// prompt's prefix in its cache, relative to that on other endpoints.
	cachedFactor = 0.5
	// affinityLoadBound is the load relative to the mean up to which prefix
	// affinity is applied.
	affinityLoadBound = 1.25
	// loadWeight is the fraction of the first-token time that a full endpoint's
	// batch adds to that of an idle one.
	loadWeight = 0.5
	// centreDelaySeconds and regionDelaySeconds are rough costs of a call to
	// another data centre and to another region.
	centreDelaySeconds = 0.001
	regionDelaySeconds = 0.030
	// deadlinePenalty is added to the cost of an endpoint that is too slow for
	// the request's deadline. It exceeds the cost of any other endpoint.
	deadlinePenalty = 100
	// defaultFirstTokenSeconds is the first-token time that is assumed for a
	// class without measurements.
	defaultFirstTokenSeconds = 0.2
)

// Request describes a request that needs an endpoint.
type Request struct {
	Class   string
	Model   string
	Adapter string
	// Only names the single endpoint that may run the request. If it is empty,
	// any may.
	Only string
	// Avoid names an endpoint on which the request has failed. It is used only if
	// no other endpoint is in service.
	Avoid   string
	Suspect bool
	// Resume reports whether the request needs an endpoint that can resume
	// streams.
	Resume bool
	Prefix uint64
	// Batch reports whether the end time of the work matters instead of its
	// first-token time. Run is the time that it takes on an endpoint of typical
	// speed, and Left the time to its deadline, or zero if it has none.
	Batch     bool
	Run, Left time.Duration
	// Centre is the data centre of the node that holds the request.
	Centre string
}

// Eligible returns the endpoints that can run req, whatever their state. The
// caller must not change the slice.
func (p *Pool) Eligible(req *Request) []*Endpoint {
	key := requirement{req.Model, req.Adapter, req.Resume}
	list, ok := p.eligible[key]
	if !ok {
		for _, e := range p.endpoints {
			if !e.removed && matches(e.conf.Models, req.Model) && matches(e.conf.Adapters, req.Adapter) && (!req.Resume || e.conf.Resumes) {
				list = append(list, e)
			}
		}
		p.eligible[key] = list
	}
	if req.Only != "" {
		i := slices.IndexFunc(list, func(e *Endpoint) bool { return e.Name() == req.Only })
		if i < 0 {
			return nil
		}

		return list[i : i+1]
	}

	return list
}

// matches reports whether the name is empty or in the list.
func matches(list []string, name string) bool { return name == "" || slices.Contains(list, name) }

// InService reports whether an endpoint that can run req is neither taken out
// nor failed.
func (p *Pool) InService(req *Request) bool {
	for _, e := range p.Eligible(req) {
		if e.inService() {
			return true
		}
	}

	return false
}

func (e *Endpoint) inService() bool {
	return e.state == Cold || e.state == Warming || e.state == Warm
}

// Choose returns the endpoint with the lowest expected first-token time among
// those with a free slot, or the least loaded one for batch work. It returns
// nil if there is none.
func (p *Pool) Choose(now time.Time, req *Request) *Endpoint {
	list := p.Eligible(req)
	var running, serving int
	var preferred *Endpoint
	var highest uint64
	alternative := false
	for _, e := range list {
		if !e.inService() {
			continue
		}
		running += e.Running()
		serving++
		alternative = alternative || e.Name() != req.Avoid
		if req.Prefix == 0 {
			continue
		}
		if x := mix64(req.Prefix ^ e.hash); preferred == nil || x > highest {
			preferred, highest = e, x
		}
	}
	if serving == 0 {
		return nil
	}
	bound := math.Ceil(affinityLoadBound * float64(running+1) / float64(serving))

	var best *Endpoint
	var lowest float64
	for _, e := range list {
		limit := p.Limit(e)
		if e.Running() >= limit || alternative && e.Name() == req.Avoid || req.Suspect && e.suspectRuns > 0 {
			continue
		}
		cost := p.cost(now, e, req, limit)
		if e == preferred && float64(e.Running()+1) <= bound {
			cost *= cachedFactor
		}
		if best == nil || cost < lowest {
			best, lowest = e, cost
		}
	}

	return best
}

// cost returns the expected first-token time of req on e in seconds.
func (p *Pool) cost(now time.Time, e *Endpoint, req *Request, limit int) float64 {
	if req.Batch {
		return p.batchCost(now, e, req, limit)
	}
	pending := float64(e.waitingRuns) + e.foreignLoad
	cost := p.expectedFirstToken(now, e, req.Class, pending)
	if cost == 0 {
		cost = defaultFirstTokenSeconds * math.Exp(e.speed.slowness(now)) * (1 + defaultQueueWeight*pending)
	}
	cost *= 1 + loadWeight*float64(e.Running())/float64(limit)
	if req.Centre != "" && req.Centre != e.conf.DataCentre {
		cost += centreDelaySeconds
		if p.regions[req.Centre] != p.regions[e.conf.DataCentre] {
			cost += regionDelaySeconds
		}
	}

	return cost
}

// batchCost spreads batch work evenly, also over slow endpoints, so that slots
// on fast ones stay free for work that needs its first token soon. An endpoint
// that is so slow that it would miss the deadline is used last.
func (p *Pool) batchCost(now time.Time, e *Endpoint, req *Request, limit int) float64 {
	cost := (float64(e.Running()) + e.foreignLoad) / float64(limit)
	if req.Left > 0 && float64(req.Run)*math.Exp(e.speed.slowness(now)) > float64(req.Left) {
		cost += deadlinePenalty
	}

	return cost
}

// mix64 is a bijective hash of 64 bits.
func mix64(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53

	return x ^ x>>33
}

// Designated returns the only endpoint of a service that may run requests with
// a suspect fingerprint: the one with the highest rendezvous hash among the
// service's endpoints in the catalogue that have the model, without an
// endpoint that the fingerprint is known to have crashed. It returns "" if
// there is none.
func Designated(c *cataloguer.Catalogue, service, model, except string, fingerprint uint64) string {
	var name string
	var highest uint64
	for _, e := range c.Endpoints {
		if e.Service != service || e.Name == except || model != "" && !slices.Contains(e.Models, model) {
			continue
		}
		x := mix64(fingerprint ^ xxhash.Sum64String(e.Name))
		if name == "" || x > highest || x == highest && e.Name < name {
			name, highest = e.Name, x
		}
	}

	return name
}
