package director

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"snipedyke/internal/chooser"
	"snipedyke/internal/logger"
	"snipedyke/internal/pacer"
	"snipedyke/internal/registrar"
	"snipedyke/internal/router"
)

const (
	// minSuspension is how long an endpoint receives no new requests after it
	// could not be reached. The time doubles with each consecutive failure, up to
	// maxSuspension.
	minSuspension = 250 * time.Millisecond
	maxSuspension = 2 * time.Second
	// defaultCold is how long an endpoint counts as cold that may have started
	// anew, where the catalogue does not say how long endpoints stay cold.
	defaultCold = 3 * time.Second
	// coldWindow is the window in which the requests to a cold endpoint are
	// counted. It is slightly longer than the second in which the limit is
	// defined, because requests take different times to arrive.
	coldWindow = 1100 * time.Millisecond
	// maxSendTime is the time in which a request to an endpoint that is cold or names a
	// limit must be sent. It and the differences of the network delay are what
	// coldWindow and limitWindow allow for.
	maxSendTime = 50 * time.Millisecond
	// outcomeWeight is the weight of a new outcome in the moving failure share,
	// and maxFailurePenalty is the penalty of an endpoint that fails all
	// requests.
	outcomeWeight = 0.1
	// selectedPart is the number of nodes that send requests to a cold endpoint, as a
	// part of the requests that it may get in a window, if there are more nodes than
	// such requests. The selection is random, so their number varies, and nodes that do
	// not know each other select too many.
	selectedPart      = 1.0 / 3
	maxFailurePenalty = 8.0
)

// pacing holds what limits the requests to one incarnation of an endpoint.
type pacing struct {
	// coldUntil is the time until which the endpoint counts as cold.
	coldUntil time.Time
	// pacer limits the requests while the endpoint is cold or names a limit. It records
	// them at any time, as this may begin just after the endpoint has got some.
	pacer pacer.Pacer
	// removedAt is when the endpoint's entry was removed, or zero while there is one.
	removedAt time.Time
}

// endpoint is the state of one incarnation of an endpoint.
type endpoint struct {
	entry registrar.Entry
	// number identifies the endpoint in messages between nodes.
	number uint32
	load   *chooser.Engine
	// reported is the part of the own load that was reported to the other nodes,
	// and changed reports whether the own load has changed since.
	reported chooser.Load
	changed  bool
	// consecutiveFailures is the number of consecutive attempts that did not
	// reach the endpoint.
	consecutiveFailures int
	// suspendedUntil is the time until which it receives no new requests.
	suspendedUntil time.Time
	// pacing is shared by all entries of the incarnation.
	*pacing
	// notice holds what the endpoint has said about itself, or is nil.
	notice *notice
	// address is shared by all endpoints whose entries have the same address, and
	// refuted reports whether another endpoint has answered there since this one was
	// added or last answered.
	address *address
	refuted bool
	// failureShare is the moving share of failed attempts.
	failureShare float64
}

func (e *endpoint) incarnation() incarnation {
	i := incarnation{id: e.entry.ID, born: e.entry.Born}
	if i.born == 0 {
		i.address = e.entry.Address
	}

	return i
}

// pacingOf returns the pacing of an entry's incarnation, whose entry may have been
// removed and come back.
func (d *Director) pacingOf(entry registrar.Entry) *pacing {
	i := (&endpoint{entry: entry}).incarnation()
	p := d.pacings[i]
	if p == nil {
		p = &pacing{pacer: pacer.Pacer{Longest: limitWindow}}
		d.pacings[i] = p
	}
	p.removedAt = time.Time{}

	return p
}

// retainPacing keeps the pacing of a removed endpoint for noticeRetention.
func (d *Director) retainPacing(now time.Time, e *endpoint) {
	e.removedAt = now
	maps.DeleteFunc(d.pacings, func(_ incarnation, p *pacing) bool {
		return !p.removedAt.IsZero() && now.Sub(p.removedAt) >= noticeRetention
	})
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
	d.markChanged(e)
	d.retainNotice(now, e)
	d.retainPacing(now, e)
	d.isolator.RecordEnded(now, e.number)
	s := d.ensureService(entry.Service)
	s.endpoints = slices.DeleteFunc(s.endpoints, func(other *endpoint) bool { return other == e })
	s.versions.Remove(now, e.entry.Version)
	if d.releaseAddress(now, e); e.address.holder == e {
		d.emit(CloseIdleConnections{Address: e.entry.Address})
	}
	d.log(logger.EndpointRemoved, "endpoint", entry.ID, "service", entry.Service)
}

// markCold treats an endpoint as cold for the remaining time or, if that is
// zero, for the cold period of its service.
func (d *Director) markCold(now time.Time, e *endpoint, remaining time.Duration) {
	if remaining == 0 {
		remaining = d.coldPeriod(e)
	}
	wasCold := now.Before(e.coldUntil)
	if until := now.Add(remaining); until.After(e.coldUntil) {
		e.coldUntil = until
	}
	if !wasCold && d.paced(now, e) {
		d.log(logger.EndpointCold, "endpoint", e.entry.ID, "service", e.entry.Service, "length", remaining.String(),
			"requests", d.coldLimit(now, e), "window", coldWindow.String(), "nodes", d.fleet.size())
	}
}

// coldPeriod returns how long an endpoint is cold after its start.
func (d *Director) coldPeriod(e *endpoint) time.Duration {
	if s := d.serviceOf(e); s != nil {
		return s.ColdPeriod
	}

	return defaultCold
}

// paced reports whether requests to an endpoint are limited because it is cold.
func (d *Director) paced(now time.Time, e *endpoint) bool {
	s := d.serviceOf(e)

	return now.Before(e.coldUntil) && (s == nil || s.ColdRate > 0)
}

// serviceOf returns the service of an endpoint, or nil if the table does not have it.
func (d *Director) serviceOf(e *endpoint) *router.Service {
	if d.table == nil {
		return nil
	}

	return d.table.Service(e.entry.Service)
}

// coldLimit returns the number of requests that the node may send to a cold endpoint
// in each coldWindow. It depends on the table and the fleet as they are now, not when
// the endpoint became cold.
func (d *Director) coldLimit(now time.Time, e *endpoint) int {
	s := d.serviceOf(e)
	if s == nil || s.ColdRate <= 0 {
		return math.MaxInt
	}
	if d.sharesSpent(now, coldWindow) {
		return 0
	}
	share := (s.ColdRate*d.opts.ColdFactor + d.opts.ColdSlack) / float64(d.fleet.size())
	if share >= 1 {
		return int(share)
	}
	// If a node's share is below one request, few of the nodes send one in each
	// window. A share of longer windows does not hold the limit: those who have not
	// used theirs for a while may send at the same time.
	if d.selected(e.entry.ID, share*selectedPart) {
		return 1
	}

	return 0
}

// selected reports whether the node is one of a part of all nodes, which is a
// different one for each endpoint.
func (d *Director) selected(endpoint string, part float64) bool {
	const steps = 1 << 20

	return float64(xxhash.Sum64String(d.opts.Name+" "+endpoint)%steps) < part*steps
}

// current reports whether an endpoint has not been removed.
func (d *Director) current(e *endpoint) bool { return d.endpoints[e.entry.ID] == e }

// serves reports whether an endpoint can run requests like the given one, though
// perhaps not at once.
func (d *Director) serves(now time.Time, req *request, e *endpoint) bool {
	return d.registrar.Usable(e.entry.ID) && !d.displaced(now, e) && !e.leaving() && d.regionAllowed(req, e)
}

// usable reports whether an endpoint can receive a request now.
func (d *Director) usable(now time.Time, e *endpoint) bool {
	if !d.registrar.Usable(e.entry.ID) || d.displaced(now, e) || e.leaving() || now.Before(e.pausedUntil()) || now.Before(e.suspendedUntil) {
		return false
	}

	if now.Before(e.coldUntil) && !e.pacer.Allowed(now, d.coldLimit(now, e), coldWindow) {
		return false
	}

	return d.withinLimit(now, e)
}

// suspend stops new requests to an endpoint that could not be reached. It may
// return as a new incarnation, which is cold.
func (d *Director) suspend(now time.Time, e *endpoint, result Result) {
	length := min(minSuspension<<min(e.consecutiveFailures, 4), maxSuspension)
	e.consecutiveFailures++
	if until := now.Add(length); until.After(e.suspendedUntil) {
		e.suspendedUntil = until
	}
	// Its cold period begins when it is back. By then it has published its entry again,
	// or that has expired.
	d.markCold(e.suspendedUntil.Add((missedPublications+1)*d.opts.PublicationInterval), e, 0)
	d.log(logger.EndpointSuspended, "endpoint", e.entry.ID, "service", e.entry.Service,
		"result", result.String(), "failures", e.consecutiveFailures, "length", length.String())
}

// recordOutcome updates the failure share with the outcome of an attempt.
func (e *endpoint) recordOutcome(failed bool) {
	e.failureShare -= e.failureShare * outcomeWeight
	if failed {
		e.failureShare += outcomeWeight
	} else {
		e.consecutiveFailures = 0
	}
	e.load.Penalty = maxFailurePenalty * e.failureShare
}
