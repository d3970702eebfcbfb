package director

import (
	"time"

	"snipedyke/internal/logger"
)

// noteBrittle applies what the endpoint of an attempt says about whether it is brittle. A
// response to a request from before it was does not end that.
func (d *Director) noteBrittle(now time.Time, req *request, e EndpointNoticed) {
	id, service := req.endpoint.entry.ID, req.endpoint.entry.Service
	n := req.endpoint.notice
	switch {
	case e.InvalidBrittle != "":
		d.log(logger.BrittleIgnored, "request", req.Name, "endpoint", id, "value", e.InvalidBrittle)
	case e.Brittle:
		n = d.noticeOf(now, req.endpoint)
		n.maxDeclines = e.MaxDeclines
		if !n.brittle {
			n.brittle, n.brittleSince = true, now
			d.emit(Count{Counter: CounterNotices, Label: noticeBrittle})
			d.log(logger.EndpointBrittle, "request", req.Name, "endpoint", id, "service", service,
				"declines", e.MaxDeclines, "nodes", d.fleet.size())
		}
	case n != nil && n.brittle && req.sentBrittle:
		n.brittle = false
		d.log(logger.BrittlenessEnded, "request", req.Name, "endpoint", id, "service", service,
			"length", now.Sub(n.brittleSince).String())
	}
}

// brittle reports whether the endpoint has said that it fails if it declines too many
// requests.
func (e *endpoint) brittle() bool { return e.notice != nil && e.notice.brittle }
