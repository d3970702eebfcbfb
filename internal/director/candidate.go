package director

import (
	"time"

	"snipedyke/internal/chooser"
)

// candidates returns the endpoints that can receive a request now. The result
// is valid until the next call.
func (d *Director) candidates(now time.Time, req *request) []*chooser.Engine {
	d.candidateBuffer = d.candidateBuffer[:0]
	d.setSlowness(now, req.service, d.slotsOf(req))
	threshold, failing := d.failingThreshold(now, req.service), 0
	for _, e := range req.service.endpoints {
		d.assess(now, e, threshold)
		if !d.takes(now, req, e) {
			continue
		}
		e.load.Loss = d.loss(now, req, e)
		d.candidateBuffer = append(d.candidateBuffer, e.load)
		if e.observed.failing {
			last := len(d.candidateBuffer) - 1
			d.candidateBuffer[failing], d.candidateBuffer[last] = d.candidateBuffer[last], d.candidateBuffer[failing]
			failing++
		}
	}
	if failing == len(d.candidateBuffer) {
		// There is nothing better.
		return d.withSlots(req, d.candidateBuffer)
	}

	return d.withSlots(req, d.candidateBuffer[failing:])
}

// withSlots returns the engines that have a slot for a request in time, or all if none has.
// The slowness and the risk of losing a request can make a full engine the best one.
func (d *Director) withSlots(req *request, engines []*chooser.Engine) []*chooser.Engine {
	if !req.usesEngine || !d.opts.Outcomes && !d.opts.Speeds {
		return engines
	}
	slots := d.slotsOf(req)
	full := 0
	for i, e := range engines {
		if slots > 0 && e.Running() >= slots {
			engines[full], engines[i] = engines[i], engines[full]
			full++
		}
	}
	if full == len(engines) {
		return engines
	}

	return engines[full:]
}

// takes reports whether an endpoint of the request's service can receive the
// request now.
func (d *Director) takes(now time.Time, req *request, e *endpoint) bool {
	return e != req.endpoint && d.usable(now, e) && !contains(req.tried, e.entry.ID) && d.regionAllowed(req, e) && req.fits(e)
}

// fits reports whether an endpoint has the version at which the request's stream
// began, if it has begun.
func (r *request) fits(e *endpoint) bool {
	return !r.pinned || !r.doubted && e.entry.Version == r.version
}

// regionAllowed reports whether a request may run in an endpoint's region.
func (d *Director) regionAllowed(req *request, e *endpoint) bool {
	return d.centreAllowed(req, e.entry.DataCentre)
}

// centreAllowed reports whether a request may go to a data centre.
func (d *Director) centreAllowed(req *request, centre string) bool {
	region := d.opts.Regions[centre]
	if len(req.route.Regions) > 0 && !contains(req.route.Regions, region) {
		return false
	}

	return req.account == nil || len(req.account.Regions) == 0 || contains(req.account.Regions, region)
}

func contains(list []string, s string) bool {
	for _, x := range list {
		if x == s {
			return true
		}
	}

	return false
}
