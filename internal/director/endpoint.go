package director

import (
	"slices"
	"time"

	"snipedyke/internal/chooser"
	"snipedyke/internal/logger"
	"snipedyke/internal/registrar"
)

const (
	// minSuspension is how long an endpoint receives no new requests after it
	// could not be reached. The time doubles with each consecutive failure, up to
	// maxSuspension.
	minSuspension = 250 * time.Millisecond
	maxSuspension = 2 * time.Second
)

// endpoint is the state of one incarnation of an endpoint.
type endpoint struct {
	entry registrar.Entry
	// number identifies the endpoint in messages between nodes, and boot the incarnation
	// in those about crashes.
	number, boot uint32
	load         *chooser.Engine
	// reported is the part of the own load that was reported to the other nodes,
	// and changed reports whether the own load has changed since.
	reported chooser.Load
	changed  bool
	// consecutiveFailures is the number of consecutive attempts that did not
	// reach the endpoint.
	consecutiveFailures int
	// checking reports whether a CheckEndpoint is in progress.
	checking bool
	// suspendedUntil is the time until which it receives no new requests.
	suspendedUntil time.Time
	// pacing is shared by all entries of the incarnation.
	*pacing
	// notice holds what the endpoint has said about itself, or is nil.
	notice *notice
	// address is shared by all endpoints whose entries have the same address, and
	// refuted reports whether another endpoint has answered there since this one was
	// added or last answered.
	address  *address
	refuted  bool
	observed observed
}

func (e *endpoint) incarnation() incarnation {
	i := incarnation{id: e.entry.ID, born: e.entry.Born}
	if i.born == 0 {
		i.address = e.entry.Address
	}

	return i
}

// leaving reports whether the endpoint has said that it shuts down.
func (e *endpoint) leaving() bool { return e.notice != nil && e.notice.leaving }

func (d *Director) addEndpoint(now time.Time, entry registrar.Entry) {
	e := &endpoint{
		entry:  entry,
		number: endpointNumber(entry.ID),
		load:   chooser.NewEngine(entry.ID, entry.DataCentre == d.opts.DataCentre),
		pacing: d.pacingOf(entry),
	}
	e.boot = e.incarnation().number()
	d.recallNotice(e)
	d.endpoints[entry.ID], d.endpointsByNumber[e.number] = e, e
	s := d.ensureService(entry.Service)
	s.endpoints = append(s.endpoints, e)
	s.versions.Add(entry.Version)
	d.announceOrigins(now, s)
	if entry.Cold > 0 {
		d.markCold(now, e, entry.Cold)
	}
	if returned, ok := d.centreReturns[entry.DataCentre]; ok && now.Sub(returned) < d.coldPeriod(e) {
		d.markCold(returned, e, 0)
	}
	d.log(logger.EndpointAdded, "endpoint", entry.ID, "service", entry.Service, "centre", entry.DataCentre,
		"version", entry.Version, "draining", entry.Draining, "cold", entry.Cold.String())
	d.claimAddress(now, e)
	if d.link.stranded {
		d.link.added = append(d.link.added, e)
	}
}

func (d *Director) updateEndpoint(now time.Time, entry registrar.Entry) {
	e := d.endpoints[entry.ID]
	if e == nil {
		return
	}
	if entry.Draining && !e.entry.Draining {
		d.log(logger.EndpointDraining, "endpoint", entry.ID, "service", entry.Service)
	}
	e.entry = entry
	if entry.Cold > 0 {
		d.markCold(now, e, entry.Cold)
	}
}

func (d *Director) removeEndpoint(now time.Time, entry registrar.Entry) {
	e := d.endpoints[entry.ID]
	if e == nil {
		return
	}
	delete(d.endpoints, entry.ID)
	delete(d.endpointsByNumber, e.number)
	d.link.added = slices.DeleteFunc(d.link.added, func(added *endpoint) bool { return added == e })
	d.markChanged(e)
	d.retainNotice(now, e)
	d.retainPacing(now, e)
	d.isolator.RecordEnded(now, e.boot)
	s := d.ensureService(entry.Service)
	s.endpoints = slices.DeleteFunc(s.endpoints, func(other *endpoint) bool { return other == e })
	s.versions.Remove(now, e.entry.Version)
	if d.releaseAddress(now, e); e.address.holder == e {
		d.emit(CloseIdleConnections{Address: e.entry.Address})
	}
	d.log(logger.EndpointRemoved, "endpoint", entry.ID, "service", entry.Service)
}

// current reports whether an endpoint has not been removed.
func (d *Director) current(e *endpoint) bool { return d.endpoints[e.entry.ID] == e }

// serves reports whether an endpoint can run requests like the given one, though
// perhaps not at once.
func (d *Director) serves(now time.Time, req *request, e *endpoint) bool {
	return d.registrar.Usable(e.entry.ID) && !d.displaced(now, e) && !e.leaving() && d.regionAllowed(req, e)
}

// usable reports whether an endpoint can receive a request now.
func (d *Director) usable(now time.Time, e *endpoint) bool { return d.obstacle(now, e) == "" }

// obstacle returns why an endpoint cannot receive a request now, or an empty state if it
// can.
func (d *Director) obstacle(now time.Time, e *endpoint) State {
	switch {
	case !d.registrar.Usable(e.entry.ID) && e.entry.Draining:
		return StateDraining
	case !d.registrar.Usable(e.entry.ID):
		return StateOut
	case d.displaced(now, e):
		return StateDisplaced
	case e.leaving():
		return StateLeaving
	case now.Before(e.pausedUntil()):
		return StatePaused
	case now.Before(e.suspendedUntil):
		return StateSuspended
	case now.Before(e.coldUntil) && !e.pacer.Allowed(now, d.coldLimit(now, e), coldWindow):
		return StateCold
	case !d.withinLimit(now, e):
		return StateLimited
	case !d.hasRoom(now, e):
		return StateBrittle
	default:
		return ""
	}
}

// suspend stops new requests to an endpoint that could not be reached. It may
// return as a new incarnation, which is cold.
func (d *Director) suspend(now time.Time, e *endpoint, result Result) {
	length := min(minSuspension<<min(e.consecutiveFailures, 4), maxSuspension)
	e.consecutiveFailures++
	if until := now.Add(length); until.After(e.suspendedUntil) {
		e.suspendedUntil = until
	}
	if result != Unreached || !d.link.stranded {
		// Its cold period begins when it is back. By then it has published its entry again,
		// or that has expired.
		d.markCold(e.suspendedUntil.Add((missedPublications+1)*d.opts.PublicationInterval), e, 0)
	}
	d.log(logger.EndpointSuspended, "endpoint", e.entry.ID, "service", e.entry.Service,
		"result", result.String(), "failures", e.consecutiveFailures, "length", length.String())
}
