package director

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"snipedyke/internal/logger"
)

const (
	// limitPeriod is the period over which the limit of an endpoint is kept, and
	// limitWindow is slightly longer, because requests take different times to arrive.
	limitPeriod = 4 * time.Second
	limitWindow = limitPeriod + 100*time.Millisecond
	// minLimited is the number of requests that all nodes together may send to an
	// endpoint in limitWindow however low its limit is. A response without a limit is
	// what ends it.
	minLimited = 1
	// selectedLimitPart is the part of the nodes that send requests to an endpoint, for
	// each request that it takes in limitWindow, if there are more nodes than that. As
	// selectedPart, it leaves room for the variance of the selection.
	selectedLimitPart = 2.0 / 3
	// selectionPeriod is how long a node is selected or not, so that each finds out in
	// time whether the limit has ended. A selected node sends nothing in the first
	// limitWindow of it.
	selectionPeriod = 10 * time.Second
)

// noteLimit applies the limit of requests that the endpoint of an attempt has named, or
// its end. A response to a request from before the limit does not end it.
func (d *Director) noteLimit(now time.Time, req *request, e EndpointNoticed) {
	id, service := req.endpoint.entry.ID, req.endpoint.entry.Service
	n := req.endpoint.notice
	switch {
	case e.InvalidLimit != "":
		d.log(logger.LimitIgnored, "request", req.Name, "endpoint", id, "value", e.InvalidLimit)
	case e.Limited:
		n = d.noticeOf(now, req.endpoint)
		n.limit = e.Limit
		if !n.limited {
			n.limited, n.limitedSince = true, now
			d.emit(Count{Counter: CounterNotices, Label: noticeLimit})
			d.log(logger.EndpointLimited, "request", req.Name, "endpoint", id, "service", service,
				"limit", e.Limit, "nodes", d.fleet.size())
		}
	case n != nil && n.limited && req.sentLimited:
		n.limited = false
		d.log(logger.EndpointLimitEnded, "request", req.Name, "endpoint", id, "service", service,
			"length", now.Sub(n.limitedSince).String())
	}
}

// limited reports whether the endpoint has named a limit of requests.
func (e *endpoint) limited() bool { return e.notice != nil && e.notice.limited }

// withinLimit reports whether the node may send a request to an endpoint now as far as
// the limit goes that the endpoint has named.
func (d *Director) withinLimit(now time.Time, e *endpoint) bool {
	return !e.limited() || e.pacer.Allowed(now, d.limitShare(now, e), limitWindow)
}

// limitShare returns the number of requests that the node may send to an endpoint in
// each limitWindow, of those that all nodes together may send.
func (d *Director) limitShare(now time.Time, e *endpoint) int {
	share := max(e.notice.limit*limitPeriod.Seconds(), minLimited) / float64(d.fleet.size())
	if share >= 1 {
		return int(share)
	}
	// Nodes that start together begin their periods at different times, so that the
	// endpoint gets requests at any time.
	elapsed := now.Sub(d.startedAt) + phase(d.opts.Name, selectionPeriod)
	if elapsed%selectionPeriod < limitWindow {
		// Nodes of the period before may have sent their requests just now.
		return 0
	}
	period := strconv.Itoa(int(elapsed / selectionPeriod))
	if d.selected(e.entry.ID+" "+period, share*selectedLimitPart) {
		return 1
	}

	return 0
}

// phase returns a time within a period that differs between nodes.
func phase(node string, period time.Duration) time.Duration {
	return time.Duration(xxhash.Sum64String(node) % uint64(period))
}

// unavailableReason returns why no endpoint can take a request now.
func (d *Director) unavailableReason(now time.Time, req *request) Reason {
	reason := ReasonNoEndpoint
	for _, e := range req.service.endpoints {
		switch {
		case !d.serves(now, req, e):
		case !d.withinLimit(now, e):
			return ReasonLimited
		case !d.hasRoom(now, e):
			reason = ReasonBrittle
		}
	}

	return reason
}
