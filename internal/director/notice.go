package director

import (
	"time"

	"snipedyke/internal/logger"
)

// noticeRetention is how long the notice of an endpoint without an entry is
// remembered. An entry that has expired may come back while the endpoint still
// runs.
const noticeRetention = 10 * time.Minute

// incarnation identifies one run of an endpoint.
type incarnation struct {
	id   string
	born int64
}

// notice holds what an endpoint has said about itself in its responses. It does
// not depend on what the shared view says, which may be older.
type notice struct {
	// leaving reports whether the endpoint shuts down. It never becomes false.
	leaving bool
	// removedAt is when the endpoint's entry was removed, or zero while there is
	// one.
	removedAt time.Time
}

// noticeOf returns the notice of an endpoint, and adds one if there is none.
func (d *Director) noticeOf(e *endpoint) *notice {
	if e.notice == nil {
		e.notice = &notice{}
		d.notices[e.incarnation()] = e.notice
	}

	return e.notice
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
func (d *Director) handleNotice(e EndpointNoticed) {
	req := d.requests[e.ID]
	if req == nil || req.endpoint == nil {
		return
	}
	if e.Leaving {
		d.markLeaving(req, req.endpoint)
	}
}

// markLeaving stops new requests to an endpoint that shuts down.
func (d *Director) markLeaving(req *request, e *endpoint) {
	if n := d.noticeOf(e); n.leaving {
		return
	}
	e.notice.leaving = true
	d.emit(CloseIdleConnections{Address: e.entry.Address})
	d.emit(Count{Counter: CounterNotices, Label: noticeLeaving})
	d.log(logger.EndpointLeaving, "request", req.Name, "endpoint", e.entry.ID, "service", e.entry.Service)
}

// Labels of CounterNotices.
const noticeLeaving = "leaving"

// NoticeLabels lists the labels of CounterNotices.
var NoticeLabels = []string{noticeLeaving}
