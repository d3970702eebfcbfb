package director

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"snipedyke/internal/assessor"
	"snipedyke/internal/logger"
	"snipedyke/internal/profiler"
	"snipedyke/pkg/encoder"
)

// observed is what is known of how an endpoint serves requests.
type observed struct {
	// outcomes holds the outcomes of the attempts of all nodes as far as they are
	// known, and own those of this node.
	outcomes, own assessor.Record
	// speed is the speed of the endpoint as all nodes have measured it.
	speed profiler.Speed
	// unreported and unreportedSpeeds hold the own outcomes and times that the other nodes
	// have not been told of.
	unreported       assessor.Tally
	unreportedSpeeds speedSums
	// listed reports whether the endpoint is in Director.observedEndpoints.
	listed bool
	probes assessor.Probes
	// failing reports whether the endpoint was left out of the last choice because it
	// fails most requests.
	failing bool
}

// recordOutcome records whether an attempt has failed because of its endpoint.
func (d *Director) recordOutcome(now time.Time, e *endpoint, failed bool) {
	if !failed {
		e.consecutiveFailures = 0
	}
	if !d.opts.Outcomes || !d.current(e) {
		return
	}
	failures := 0
	if failed {
		failures = 1
	}
	o := &e.observed
	o.outcomes.Add(now, 1, failures)
	o.own.Add(now, 1, failures)
	o.unreported.Add(failed)
	d.markObserved(e)
}

// markObserved records that something was observed of an endpoint that the other nodes
// have not been told of.
func (d *Director) markObserved(e *endpoint) {
	if !e.observed.listed {
		e.observed.listed = true
		d.observedEndpoints = append(d.observedEndpoints, e)
	}
}

// recordErrorStatus records an answer with an error status. Where another endpoint may
// answer the request, that endpoint's answer decides whose error it is.
func (d *Director) recordErrorStatus(now time.Time, req *request, e *endpoint) {
	if !req.route.Repeatable() || req.route.Attempts <= 1 {
		d.recordOutcome(now, e, true)

		return
	}
	req.erred = append(req.erred, e)
}

// attributeErrors records whether the endpoints that have answered a request with an error
// status have failed, or the error is the request's.
func (d *Director) attributeErrors(now time.Time, req *request, failed bool) {
	for _, e := range req.erred {
		d.recordOutcome(now, e, failed)
	}
	req.erred = nil
}

// TakeObservations returns what the node has observed of endpoints since the last call
// as far as other nodes need to know it.
func (d *Director) TakeObservations(now time.Time) []encoder.Observation {
	if len(d.observedEndpoints) == 0 {
		return nil
	}
	cutOff := d.cutOff(now)
	var list []encoder.Observation
	for _, e := range d.observedEndpoints {
		o := encoder.Observation{Endpoint: e.number}
		if !cutOff && d.current(e) && e.observed.unreported.Reports(e.observed.outcomes.Share(now)) {
			e.observed.unreported.Take(&o)
		}
		if speeds := &e.observed.unreportedSpeeds; d.current(e) {
			o.Light, o.Busy = speeds.light.take(), speeds.busy.take()
		}
		e.observed.unreported, e.observed.listed = assessor.Tally{}, false
		if o != (encoder.Observation{Endpoint: e.number}) {
			list = append(list, o)
		}
	}
	clear(d.observedEndpoints)
	d.observedEndpoints = d.observedEndpoints[:0]

	return list
}

// cutOff reports whether the node's own attempts fail at most endpoints, so that it may
// be cut off from them itself.
func (d *Director) cutOff(now time.Time) bool {
	failed := false
	for _, e := range d.observedEndpoints {
		failed = failed || e.observed.unreported.Failures > 0
	}
	if !failed {
		return false
	}
	var isolation assessor.Isolation
	for _, e := range d.endpoints {
		isolation.Add(now, &e.observed.own)
	}

	return isolation.CutOff()
}

// mergeObservations adds what other nodes have observed of endpoints.
func (d *Director) mergeObservations(now time.Time, list []encoder.Observation) {
	for _, o := range list {
		e := d.endpointsByNumber[o.Endpoint]
		if e == nil {
			continue
		}
		if d.opts.Outcomes {
			e.observed.outcomes.Add(now, o.Attempts, o.Failures)
		}
		d.mergeSpeeds(now, e, o)
	}
}

const (
	// lossIfRetried is the load that losing an attempt is worth if the request can be
	// sent to another endpoint: it then waits a second time.
	lossIfRetried = 8.0
	// lossIfFinal is that load if the request is lost with the attempt. An endpoint that
	// fails all attempts is then worse than a full one.
	lossIfFinal = 40.0
)

// loss returns the load that the risk of losing a request at an endpoint is worth.
func (d *Director) loss(now time.Time, req *request, e *endpoint) float64 {
	if !d.opts.Outcomes {
		return 0
	}
	weight := lossIfFinal
	if req.hasRetryLeft() {
		weight = lossIfRetried
	}

	return weight * e.observed.outcomes.Share(now)
}

// hasRetryLeft reports whether the route allows that the request is sent to another
// endpoint if its next attempt may have run and fails.
func (r *request) hasRetryLeft() bool {
	return r.route.Repeatable() && r.attemptsUsed()+1 < r.route.Attempts
}

// failingThreshold returns the share of failed attempts from which the endpoints of a
// service are left out.
func (d *Director) failingThreshold(now time.Time, s *service) float64 {
	if !d.opts.Outcomes {
		return math.Inf(1)
	}
	suspected := false
	d.shareBuffer = d.shareBuffer[:0]
	for _, e := range s.endpoints {
		if d.registrar.Usable(e.entry.ID) {
			share := e.observed.outcomes.Share(now)
			suspected = suspected || assessor.Suspect(share)
			d.shareBuffer = append(d.shareBuffer, share)
		}
	}
	if !suspected {
		return math.Inf(1)
	}

	return assessor.Threshold(d.shareBuffer)
}

// assess brings up to date whether an endpoint is failing.
func (d *Director) assess(now time.Time, e *endpoint, threshold float64) {
	share := 0.0
	if d.opts.Outcomes {
		share = e.observed.outcomes.Share(now)
	}
	failing := share >= threshold
	if failing == e.observed.failing {
		return
	}
	e.observed.failing = failing
	if failing {
		d.log(logger.EndpointFailing, "endpoint", e.entry.ID, "service", e.entry.Service, "share", share)
	} else {
		d.log(logger.EndpointRecovered, "endpoint", e.entry.ID, "service", e.entry.Service, "share", share)
	}
}

// probe returns a failing endpoint to which a request is sent to find out whether it
// still fails, or nil. Only requests that another endpoint can take over are used.
func (d *Director) probe(now time.Time, req *request) *endpoint {
	if !d.opts.Outcomes || req.endpoint != nil || req.runs() > 0 || req.relayed || !req.hasRetryLeft() || !d.canRetry(now, req) {
		return nil
	}
	for _, e := range req.service.endpoints {
		if !e.observed.failing || !d.takes(now, req, e) {
			continue
		}
		nodes := d.fleet.size()
		phase := float64(xxhash.Sum64String(d.opts.Name+e.entry.ID)%1024) / 1024
		if e.observed.probes.Due(now, nodes, phase) {
			e.observed.probes.Sent(now, nodes)
			d.emit(Count{Counter: CounterProbes, Label: e.entry.Service})

			return e
		}
	}

	return nil
}
