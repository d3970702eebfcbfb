package director

import (
	"slices"
	"time"

	"snipedyke/internal/logger"
	"snipedyke/internal/pinner"
	"snipedyke/internal/registrar"
	"snipedyke/internal/router"
	"snipedyke/pkg/encoder"
)

const (
	// originMargin is the time after the end of a stream within which its caller
	// takes it up again, and maxOriginLife the most for which its version is
	// remembered.
	originMargin  = 2 * time.Second
	maxOriginLife = 10 * time.Minute
	// originTimeout bounds the wait for the answers of other nodes, and
	// originRepeat is the time after which they are asked again.
	originTimeout = 150 * time.Millisecond
	originRepeat  = 40 * time.Millisecond
)

// OriginsLearned provides the versions at which streams have begun, as announced
// by other nodes or sent in reply to a query.
type OriginsLearned struct{ List []encoder.Origin }

// AnnounceOrigins tells the chosen other nodes at which versions streams have
// begun.
type AnnounceOrigins struct{ List []encoder.Origin }

// AskOrigin asks the other nodes at which version a stream of a service has begun.
type AskOrigin struct {
	Key     uint64
	Service string
}

func (OriginsLearned) event()   {}
func (AnnounceOrigins) effect() {}
func (AskOrigin) effect()       {}

// The labels of CounterTakeUps: where the version came from at which a stream that
// its caller takes up again has begun.
const (
	takeUpRecorded = "recorded"
	takeUpSole     = "sole"
	takeUpAsked    = "asked"
	takeUpUnknown  = "unknown"
)

// TakeUpLabels lists the labels of CounterTakeUps.
var TakeUpLabels = []string{takeUpRecorded, takeUpSole, takeUpAsked, takeUpUnknown}

// Origin returns the version at which a stream of a service has begun, and reports
// whether it is known. Without a record it is known if only one version can have
// begun the stream.
func (d *Director) Origin(now time.Time, key uint64, name string) (encoder.Origin, bool) {
	if o, ok := d.origins.Lookup(now, key); ok {
		return o, true
	}
	if s := d.services[name]; s != nil {
		version, sole := d.soleVersion(now, s)

		return encoder.Origin{Key: key, Version: version, Sole: true}, sole
	}

	return encoder.Origin{}, false
}

// soleVersion returns the version at which all streams of a service must have
// begun that callers can still take up again, and reports whether there is only
// one. That is not known without a table, which says how long streams last, for the
// time before the node knew the endpoints, or in a view that is too old. Other nodes
// may have begun streams in views as old as those in which they accept keys.
func (d *Director) soleVersion(now time.Time, s *service) (string, bool) {
	within := d.originLife + d.opts.KeyLease
	if d.table == nil || d.knownSince.IsZero() || now.Sub(d.knownSince) < within || now.Sub(s.reroutedAt) < within || d.Age(now) > d.opts.FreshView {
		return "", false
	}

	return s.versions.Sole(now, within)
}

// recordOrigin binds the request to the version of the endpoint that has brought
// its first event.
func (d *Director) recordOrigin(now time.Time, req *request) {
	if !req.pinned {
		req.version, req.pinned = req.endpoint.entry.Version, true
		// The endpoint may have started again with another version meanwhile.
		current := d.endpoints[req.endpoint.entry.ID]
		req.doubted = current != nil && current.entry.Version != req.version
	}
	if !req.named || req.relayed || req.doubted {
		return
	}
	d.origins.Begin(now, req.stream, req.service.name, req.version, d.originLife)
	d.announceOrigins(now, req.service)
}

// doubtStreams forgets at which version the streams in progress at an endpoint began
// that has started again with another one. They may have begun after that.
func (d *Director) doubtStreams(former, e registrar.Entry) {
	if former.ID != e.ID || former.Version == e.Version {
		return
	}
	for _, req := range d.requests {
		if req.pinned && req.endpoint != nil && req.endpoint.entry.ID == e.ID {
			req.doubted = true
			d.origins.Forget(req.stream)
		}
	}
}

// announceOrigins tells other nodes of the streams of a service, unless one version
// has begun them all.
func (d *Director) announceOrigins(now time.Time, s *service) {
	if _, sole := d.soleVersion(now, s); sole {
		return
	}
	if list := d.origins.TakeUnannounced(now, s.name); len(list) > 0 {
		d.emit(AnnounceOrigins{List: list})
	}
}

// takeUp places a request that takes a stream up again at an endpoint of the
// version at which the stream began. If the node does not know it, the request
// waits for the answers of other nodes.
func (d *Director) takeUp(now time.Time, req *request) {
	if d.deadline(req).Sub(now) < minAttemptTime {
		d.fail(now, req, d.timeoutReason(req))

		return
	}
	req.waitUntil = now.Add(maxMoveWait)
	if o, ok := d.Origin(now, req.stream, req.service.name); ok {
		source := takeUpRecorded
		if o.Sole {
			source = takeUpSole
		}
		d.bind(now, req, o.Version, source)

		return
	}
	req.askedAt, req.askUntil = now, now.Add(originTimeout)
	d.asking = append(d.asking, req)
	d.emit(AskOrigin{Key: req.stream, Service: req.service.name})
}

// bind places a request that takes up a stream which began at the version.
func (d *Director) bind(now time.Time, req *request, version, source string) {
	req.version, req.pinned = version, true
	d.logTakeUp(req, source)
	d.place(now, req)
}

// logTakeUp logs and counts a request that takes a stream up again, and where the
// version of the stream is known from.
func (d *Director) logTakeUp(req *request, source string) {
	d.emit(Count{Counter: CounterTakeUps, Label: source})
	d.log(logger.StreamTakenUp, "request", req.Name, "resumes", req.Resumes, "route", req.route.Name, "service", req.service.name,
		"version", req.version, "source", source, "serving", req.service.sortedVersions())
}

// learnOrigins records what other nodes know of streams, and places the requests
// that wait for it.
func (d *Director) learnOrigins(now time.Time, list []encoder.Origin) {
	for _, o := range list {
		if !o.Sole {
			d.origins.Learn(now, o, d.originLife)
		}
		asking := d.asking
		d.asking = nil
		for _, req := range asking {
			switch {
			case d.requests[req.ID] != req:
			case req.stream == o.Key:
				d.bind(now, req, o.Version, takeUpAsked)
			default:
				d.asking = append(d.asking, req)
			}
		}
	}
}

// askAgain repeats the queries that may have been lost, and refuses the requests
// whose streams no node knows.
func (d *Director) askAgain(now time.Time) {
	asking := d.asking
	d.asking = nil
	for _, req := range asking {
		if d.requests[req.ID] != req {
			continue
		}
		if d.deadline(req).Sub(now) < minAttemptTime {
			d.fail(now, req, d.timeoutReason(req))

			continue
		}
		if !now.Before(req.askUntil) {
			d.logTakeUp(req, takeUpUnknown)
			d.fail(now, req, ReasonVersionUnknown)

			continue
		}
		if now.Sub(req.askedAt) >= originRepeat {
			req.askedAt = now
			d.emit(AskOrigin{Key: req.stream, Service: req.service.name})
		}
		d.asking = append(d.asking, req)
	}
}

// noteRerouted records which services get requests of other routes, or other
// shares of them, than in the former table. Streams of such requests may have begun
// at another service.
func (d *Director) noteRerouted(now time.Time, former, t *router.Table) {
	d.originLife = min(max(d.originLife, t.LongestResumable()+originMargin), maxOriginLife)
	if former == nil {
		return
	}
	for _, name := range t.Rerouted(former) {
		s := d.ensureService(name)
		s.reroutedAt = now
		d.announceOrigins(now, s)
	}
}

// noteGap starts the time anew for which the endpoints are known, if the view was
// not confirmed for so long that endpoints may have come and gone.
func (d *Director) noteGap(now, confirmed time.Time) {
	if !d.confirmedAt.IsZero() && confirmed.Sub(d.confirmedAt) > d.opts.FreshView {
		d.knownSince = now
	}
}

// versionGone reports whether the endpoints that can go on with the request's
// stream, now or later, are all of other versions than that at which it began.
func (d *Director) versionGone(now time.Time, req *request) bool {
	others := false
	for _, e := range req.service.endpoints {
		if !d.serves(now, req, e) || contains(req.tried, e.entry.ID) {
			continue
		}
		if req.fits(e) {
			return false
		}
		others = true
	}

	return others
}

// versionServes reports whether an endpoint of the version at which the request's
// stream began serves, even if it has declined the request.
func (d *Director) versionServes(now time.Time, req *request) bool {
	return slices.ContainsFunc(req.service.endpoints, func(e *endpoint) bool { return req.fits(e) && d.serves(now, req, e) })
}

func (s *service) sortedVersions() []string {
	list := s.versions.List()
	slices.Sort(list)

	return list
}

// streamKey returns the key of the stream that a request begins or takes up again.
func streamKey(req *request, first string) uint64 {
	account := ""
	if req.account != nil {
		account = req.account.Name
	}

	return pinner.Key(account, req.service.name, first)
}
