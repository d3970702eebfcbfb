package director

import (
	"net/netip"
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
	// confirmTimeout bounds the wait for a read of the store, if only that is
	// missing to know the version. After agreeTimeout, the agreement of other nodes
	// replaces it. That leaves them time to answer a repeated query.
	confirmTimeout = 500 * time.Millisecond
	agreeTimeout   = 120 * time.Millisecond
)

// OriginsLearned provides the versions at which streams have begun, as announced
// by the node with the address From or sent in its reply to a query.
type OriginsLearned struct {
	List []encoder.Origin
	From netip.Addr
}

// AnnounceOrigins tells the chosen other nodes at which versions streams have
// begun.
type AnnounceOrigins struct{ List []encoder.Origin }

// AskOrigin asks the other nodes at which version a stream of a service has begun.
type AskOrigin struct {
	Key     uint64
	Service string
}

// ConfirmView reads the changes of the view at once. ViewConfirmed follows if the
// read succeeds.
type ConfirmView struct{}

func (OriginsLearned) event()   {}
func (AnnounceOrigins) effect() {}
func (AskOrigin) effect()       {}
func (ConfirmView) effect()     {}

// The labels of CounterTakeUps: where the version came from at which a stream that
// its caller takes up again has begun.
const (
	takeUpRecorded = "recorded"
	takeUpSole     = "sole"
	takeUpAsked    = "asked"
	takeUpAgreed   = "agreed"
	takeUpUnknown  = "unknown"
)

// TakeUpLabels lists the labels of CounterTakeUps.
var TakeUpLabels = []string{takeUpRecorded, takeUpSole, takeUpAsked, takeUpAgreed, takeUpUnknown}

// Origin returns the version at which a stream of a service has begun, and reports
// whether it is known. Without a record it returns the only version that was in use
// up to the time of the view; its age is then that of the view. If there were several,
// it returns that.
func (d *Director) Origin(now time.Time, key uint64, name string) (encoder.Origin, bool) {
	if o, ok := d.origins.Lookup(now, key); ok {
		return o, true
	}
	s := d.services[name]
	if s == nil {
		return encoder.Origin{}, false
	}
	if s.versions.Several(now, d.originLife+d.opts.KeyLease) {
		return encoder.Origin{Key: key, Several: true}, true
	}
	version, sole := d.soleVersion(now, s)

	return encoder.Origin{Key: key, Version: version, Sole: true, Age: ageMillis(d.Age(now))}, sole
}

// ageMillis returns an age in milliseconds, rounded up.
func ageMillis(age time.Duration) uint32 {
	return uint32((max(age, 0) + time.Millisecond - 1).Milliseconds())
}

// soleVersion returns the version at which all streams of a service have begun that
// callers could still take up again at the time of the view, and reports whether
// there is only one. Nothing is known of streams that have begun since: a new version
// may have appeared. It is not known either without a table, which says how long
// streams last, for the time before the node knew the endpoints, or in a view that is
// too old. Other nodes may have begun streams in views as old as those in which they
// accept keys.
func (d *Director) soleVersion(now time.Time, s *service) (string, bool) {
	within := d.originLife + d.opts.KeyLease
	if d.table == nil || d.knownSince.IsZero() || now.Sub(d.knownSince) < within || now.Sub(s.reroutedAt) < within || d.Age(now) > d.opts.FreshView {
		return "", false
	}

	return s.versions.Sole(now, within)
}

// provenVersion returns the only version that was in use at any time until the request
// arrived, and reports whether that is proven. The view must have been read since, as
// endpoints of another version may have joined after an older one. For the time before
// the node knew the endpoints, what another node knows suffices.
func (d *Director) provenVersion(now time.Time, req *request) (string, bool) {
	if d.confirmedAt.Before(req.takenUpAt) || !d.leadsToService(req) {
		return "", false
	}
	if version, sole := d.soleVersion(now, req.service); sole {
		return version, true
	}
	within := d.originLife + d.opts.KeyLease
	if d.knownSince.IsZero() || req.soleUntil.Before(d.knownSince) || now.Sub(req.service.reroutedAt) < within {
		return "", false
	}
	version, sole := req.service.versions.Sole(now, within)

	return version, sole && version == req.soleVersion
}

// leadsToService reports whether the table in force leads a request that takes a
// stream up again to the service that was chosen when it arrived. A newer table may
// have led the stream to another one when it began.
func (d *Director) leadsToService(req *request) bool {
	route := d.table.Route(req.Host, req.Path)

	return route != nil && route.Service(req.first) == req.service.name
}

// agreedVersion returns the only version that most nodes know of, if none that was
// asked knows of another. This takes the place of a read of the store while the store
// does not answer: no endpoint can then join. Fewer nodes may be cut off from the store
// and the others together. In a large fleet, fewer than most are asked.
func (d *Director) agreedVersion(now time.Time, req *request) (string, bool) {
	if req.severalVersions || !d.leadsToService(req) || now.Sub(req.takenUpAt) < agreeTimeout {
		return "", false
	}
	version, sole := d.soleVersion(now, req.service)

	agreed := 1
	for _, other := range req.soleAt {
		if other == version {
			agreed++
		}
	}

	return version, sole && 2*agreed > d.fleet.size()
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
	req.takenUpAt = now
	if d.bindKnown(now, req) {
		return
	}
	req.askedAt = now
	d.asking = append(d.asking, req)
	d.emit(ConfirmView{})
	if _, sole := d.soleVersion(now, req.service); !sole {
		d.emit(AskOrigin{Key: req.stream, Service: req.service.name})
	}
}

// bindKnown places a request that takes a stream up again if the node knows at which
// version the stream began, and reports whether it has.
func (d *Director) bindKnown(now time.Time, req *request) bool {
	if o, ok := d.origins.Lookup(now, req.stream); ok {
		d.bind(now, req, o.Version, takeUpRecorded)

		return true
	}
	version, proven := d.provenVersion(now, req)
	if proven {
		d.bind(now, req, version, takeUpSole)
	}

	return proven
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
	d.log(logger.StreamTakenUp, "request", req.Name, "resumes", req.first, "route", req.route.Name, "service", req.service.name,
		"version", req.version, "source", source, "serving", req.service.sortedVersions())
}

// learnOrigins records what other nodes know of streams, and places the requests
// that wait for it.
func (d *Director) learnOrigins(now time.Time, list []encoder.Origin, from netip.Addr) {
	for _, o := range list {
		if !o.Sole && !o.Several {
			d.origins.Learn(now, o, d.originLife)
		}
		asking := d.asking
		d.asking = nil
		for _, req := range asking {
			switch {
			case d.requests[req.ID] != req:
			case req.stream != o.Key:
				d.asking = append(d.asking, req)
			case o.Several:
				req.severalVersions = true
				d.asking = append(d.asking, req)
			case !o.Sole:
				d.bind(now, req, o.Version, takeUpAsked)
			default:
				// The other node has answered after it was asked.
				if until := req.takenUpAt.Add(-time.Duration(o.Age) * time.Millisecond); until.After(req.soleUntil) {
					req.soleVersion, req.soleUntil = o.Version, until
				}
				if req.soleAt == nil {
					req.soleAt = map[netip.Addr]string{}
				}
				req.soleAt[from] = o.Version
				if !d.bindKnown(now, req) {
					d.asking = append(d.asking, req)
				}
			}
		}
	}
}

// placeAsking places the requests whose versions a newer view proves.
func (d *Director) placeAsking(now time.Time) {
	asking := d.asking
	d.asking = nil
	for _, req := range asking {
		if d.requests[req.ID] == req && !d.bindKnown(now, req) {
			d.asking = append(d.asking, req)
		}
	}
}

// askAgain repeats the reads and queries that may have been lost, and refuses the
// requests whose versions remain unknown.
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
		if now.Sub(req.takenUpAt) >= d.askTimeout(now, req) {
			d.logTakeUp(req, takeUpUnknown)
			d.fail(now, req, ReasonVersionUnknown)

			continue
		}
		if version, agreed := d.agreedVersion(now, req); agreed {
			d.bind(now, req, version, takeUpAgreed)

			continue
		}
		if now.Sub(req.askedAt) >= originRepeat {
			req.askedAt = now
			if d.confirmedAt.Before(req.takenUpAt) {
				d.emit(ConfirmView{})
			}
			d.emit(AskOrigin{Key: req.stream, Service: req.service.name})
		}
		d.asking = append(d.asking, req)
	}
}

// askTimeout returns how long a request waits until the version of its stream is
// known. It is longer if only a read of the store is missing.
func (d *Director) askTimeout(now time.Time, req *request) time.Duration {
	if _, sole := d.soleVersion(now, req.service); sole && d.confirmedAt.Before(req.takenUpAt) {
		return confirmTimeout
	}

	return originTimeout
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

// noteList records that the endpoints are known from now on, unless the list follows
// so soon on the former view that no endpoint can have come and gone between them. An
// older view that is continued by a watch has no such gap.
func (d *Director) noteList(now time.Time) {
	if d.knownSince.IsZero() || now.Sub(d.confirmedAt) > d.opts.FreshView {
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
