package director

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"snipedyke/internal/chooser"
	"snipedyke/internal/logger"
	"snipedyke/internal/pacer"
	"snipedyke/internal/registrar"
)

const (
	// suspension is how long an endpoint gets nothing new after it could not be
	// reached. It doubles with each failure in a row, up to maxSuspension.
	suspension    = 250 * time.Millisecond
	maxSuspension = 2 * time.Second
	// defaultCold is how long an endpoint counts as cold that may have started
	// anew, where the catalogue does not say how long endpoints stay cold.
	defaultCold = 3 * time.Second
	// coldWindow is the span over which the requests of a cold endpoint are
	// counted. It is a little longer than the second of the bound, as requests
	// do not all take the same time on their way.
	coldWindow = 1100 * time.Millisecond
	// outcomeWeight is the weight of a new outcome in the moving share of
	// failures, and failurePenalty the penalty of an endpoint that fails all.
	outcomeWeight = 0.1
	// meetShare is the part of its share that a node uses of a cold endpoint
	// whose share is below one request.
	meetShare      = 0.5
	failurePenalty = 8.0
)

// endpoint is the state of one incarnation of an endpoint.
type endpoint struct {
	entry registrar.Entry
	// number names the endpoint among nodes.
	number uint32
	load   *chooser.Engine
	// told is the part of the own load that other nodes have been told of, and
	// changed tells that it differs.
	told    chooser.Load
	changed bool
	// failures is the number of attempts in a row that did not reach it.
	failures int
	// suspended is until when it gets nothing new.
	suspended time.Time
	// cold is until when it counts as cold, and pace spaces its requests then.
	cold time.Time
	pace pacer.Pacer
	// failed is the moving share of failed attempts.
	failed float64
}

func (d *Director) add(now time.Time, entry registrar.Entry) {
	e := &endpoint{
		entry:  entry,
		number: endpointNumber(entry.ID),
		load:   chooser.NewEngine(entry.ID, entry.DataCentre == d.opts.DataCentre),
	}
	d.endpoints[entry.ID], d.numbered[e.number] = e, e
	s := d.service(entry.Service)
	s.endpoints = append(s.endpoints, e)
	if entry.Cold > 0 {
		d.chill(now, e, entry.Cold)
	}
	d.log(logger.EndpointAdded, "endpoint", entry.ID, "service", entry.Service, "centre", entry.DataCentre,
		"draining", entry.Draining, "cold", entry.Cold.String())
}

func (d *Director) update(now time.Time, entry registrar.Entry) {
	e := d.endpoints[entry.ID]
	if e == nil {
		return
	}
	if entry.Draining && !e.entry.Draining {
		d.log(logger.EndpointDraining, "endpoint", entry.ID, "service", entry.Service)
	}
	e.entry = entry
	if entry.Cold > 0 {
		d.chill(now, e, entry.Cold)
	}
}

func (d *Director) remove(entry registrar.Entry) {
	e := d.endpoints[entry.ID]
	if e == nil {
		return
	}
	delete(d.endpoints, entry.ID)
	delete(d.numbered, e.number)
	s := d.service(entry.Service)
	s.endpoints = slices.DeleteFunc(s.endpoints, func(o *endpoint) bool { return o == e })
	d.emit(Forget{Address: entry.Address})
	d.log(logger.EndpointRemoved, "endpoint", entry.ID, "service", entry.Service)
}

// chill treats an endpoint as cold for a time, or as long as its service says
// if left is zero.
func (d *Director) chill(now time.Time, e *endpoint, left time.Duration) {
	rate, usual := 0.0, defaultCold
	if d.table != nil {
		if s := d.table.Service(e.entry.Service); s != nil {
			rate, usual = s.ColdRate, s.Cold
		}
	}
	if left == 0 {
		left = usual
	}
	if rate <= 0 || left <= 0 {
		return
	}
	if until := now.Add(left); until.After(e.cold) {
		e.cold = until
	}
	share := (rate*d.opts.ColdFactor + d.opts.ColdSlack) / float64(d.fleet.size(now))
	if share >= 1 {
		e.pace.Limit, e.pace.Window = int(share), coldWindow

		return
	}
	// Nodes that send less than one request in a window start at different
	// times, and stay below their share as they may still meet.
	window := time.Duration(float64(coldWindow) / (share * meetShare))
	if e.pace.Window != window {
		e.pace.Limit, e.pace.Window = 1, window
		phase := xxhash.Sum64String(d.opts.Name+e.entry.ID) % uint64(window)
		e.pace.Pass(now.Add(time.Duration(phase) - window))
	}
}

// usable tells whether an endpoint may get a request now.
func (d *Director) usable(now time.Time, e *endpoint) bool {
	if !d.registrar.Usable(e.entry.ID) || now.Before(e.suspended) {
		return false
	}

	return !now.Before(e.cold) || e.pace.Ready(now)
}

// suspend keeps new requests from an endpoint that could not be reached. It
// may be back as a new incarnation, which is cold.
func (d *Director) suspend(now time.Time, e *endpoint, result Result) {
	length := min(suspension<<min(e.failures, 4), maxSuspension)
	e.failures++
	if until := now.Add(length); until.After(e.suspended) {
		e.suspended = until
	}
	d.chill(e.suspended, e, 0)
	d.log(logger.EndpointSuspended, "endpoint", e.entry.ID, "service", e.entry.Service,
		"result", result.String(), "failures", e.failures, "length", length.String())
}

// judge notes the outcome of an attempt.
func (e *endpoint) judge(failed bool) {
	e.failed -= e.failed * outcomeWeight
	if failed {
		e.failed += outcomeWeight
	} else {
		e.failures = 0
	}
	e.load.Penalty = failurePenalty * e.failed
}
