package director

import (
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"

	"snipedyke/internal/logger"
)

const (
	// noticeRetention is how long the notice of an endpoint without an entry is
	// remembered. An entry that has expired may come back while the endpoint still
	// runs.
	noticeRetention = 10 * time.Minute
	// returnSpreadDivisor is the part of a pause over which the nodes spread their
	// return to the endpoint, and maxReturnSpread the most that it takes.
	returnSpreadDivisor = 4
	maxReturnSpread     = time.Second
)

// incarnation identifies one run of an endpoint.
type incarnation struct {
	id   string
	born int64
	// address tells runs with unknown start times apart. It is zero if born is
	// known.
	address netip.AddrPort
}

// notice holds what an endpoint has said about itself in its responses. It does
// not depend on what the shared view says, which may be older.
type notice struct {
	// leaving reports whether the endpoint shuts down. It never becomes false.
	leaving bool
	// pausedUntil is the time until which the endpoint gets no requests.
	pausedUntil time.Time
	// limit is the number of requests a second that the endpoint takes from all nodes
	// together since limitedSince, if limited is true.
	limit        float64
	limited      bool
	limitedSince time.Time
	// maxDeclines is the number of requests that the endpoint can decline in a second for
	// want of room without failing since brittleSince, if brittle is true. It last said so
	// at brittleAt.
	maxDeclines             float64
	brittle                 bool
	brittleSince, brittleAt time.Time
	// removedAt is when the endpoint's entry was removed, or zero while there is
	// one.
	removedAt time.Time
}

// noticeOf returns the notice of an endpoint, and adds one if there is none. The
// entry of the endpoint may have been removed, and may have come back, since it was
// sent the request that it answers.
func (d *Director) noticeOf(now time.Time, e *endpoint) *notice {
	n := d.notices[e.incarnation()]
	if n == nil {
		n = &notice{}
		d.notices[e.incarnation()] = n
	}
	e.notice = n
	if current := d.endpoints[e.entry.ID]; current != nil && current.incarnation() == e.incarnation() {
		current.notice = n
	} else if n.removedAt.IsZero() {
		n.removedAt = now
	}

	return n
}

// recallNotice gives an added endpoint the notice that its incarnation gave
// before.
func (d *Director) recallNotice(e *endpoint) {
	if e.notice = d.notices[e.incarnation()]; e.notice != nil {
		e.notice.removedAt = time.Time{}
	}
}

// retainNotice keeps the notice of a removed endpoint for noticeRetention.
func (d *Director) retainNotice(now time.Time, e *endpoint) {
	if e.notice != nil {
		e.notice.removedAt = now
	}
	for i, n := range d.notices {
		if !n.removedAt.IsZero() && now.Sub(n.removedAt) >= noticeRetention {
			delete(d.notices, i)
		}
	}
}

// handleNotice applies what the endpoint of an attempt has said about itself.
func (d *Director) handleNotice(now time.Time, e EndpointNoticed) {
	req := d.requests[e.ID]
	if req == nil || req.endpoint == nil {
		return
	}
	if e.Leaving {
		d.markLeaving(now, req, req.endpoint)
	}
	switch {
	case e.InvalidPause != "":
		d.log(logger.PauseIgnored, "request", req.Name, "endpoint", req.endpoint.entry.ID, "value", e.InvalidPause)
	case e.Pause > 0:
		d.pause(now, req, req.endpoint, e.Pause)
	}
	d.noteLimit(now, req, e)
	d.noteBrittle(now, req, e)
}

// pause stops requests to an endpoint that has asked for time. The nodes return at
// different times, so that they do not overload it again.
func (d *Director) pause(now time.Time, req *request, e *endpoint, length time.Duration) {
	spread := min(length/returnSpreadDivisor, maxReturnSpread)
	until := now.Add(length + time.Duration(xxhash.Sum64String(d.opts.Name+e.entry.ID)%uint64(spread+1)))
	if n := d.noticeOf(now, e); until.After(n.pausedUntil) {
		n.pausedUntil = until
	}
	d.emit(Count{Counter: CounterNotices, Label: noticePause})
	d.log(logger.EndpointPaused, "request", req.Name, "endpoint", e.entry.ID, "service", e.entry.Service, "length", length.String())
}

// pausedUntil returns the time until which the endpoint gets no requests, or zero.
func (e *endpoint) pausedUntil() time.Time {
	if e.notice == nil {
		return time.Time{}
	}

	return e.notice.pausedUntil
}

// earliestReturn returns the time at which the first endpoint, except for some,
// takes requests like req again. It reports false if one does so now, as far as it
// has said, or if none will.
func (d *Director) earliestReturn(now time.Time, req *request, except []string) (time.Time, bool) {
	var first time.Time
	for _, e := range req.service.endpoints {
		if !d.serves(now, req, e) || !req.fits(e) || contains(except, e.entry.ID) {
			continue
		}
		until := e.pausedUntil()
		if !until.After(now) {
			return time.Time{}, false
		}
		if first.IsZero() || until.Before(first) {
			first = until
		}
	}

	return first, !first.IsZero()
}

// markLeaving stops new requests to an endpoint that shuts down.
func (d *Director) markLeaving(now time.Time, req *request, e *endpoint) {
	n := d.noticeOf(now, e)
	if n.leaving {
		return
	}
	n.leaving = true
	d.emit(CloseIdleConnections{Address: e.entry.Address})
	d.emit(Count{Counter: CounterNotices, Label: noticeLeaving})
	d.log(logger.EndpointLeaving, "request", req.Name, "endpoint", e.entry.ID, "service", e.entry.Service)
}

// Labels of CounterNotices.
const (
	noticeLeaving = "leaving"
	noticePause   = "pause"
	noticeLimit   = "limit"
	noticeBrittle = "brittle"
)

// NoticeLabels lists the labels of CounterNotices.
var NoticeLabels = []string{noticeLeaving, noticePause, noticeLimit, noticeBrittle}
