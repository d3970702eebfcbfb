package director

import (
	"maps"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"snipedyke/internal/logger"
	"snipedyke/internal/pacer"
	"snipedyke/internal/registrar"
	"snipedyke/internal/router"
)

const (
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
	// selectedPart is the number of nodes that send requests to a cold endpoint, as a
	// part of the requests that it may get in a window, if there are more nodes than
	// such requests. The selection is random, so their number varies, and nodes that do
	// not know each other select too many. With a third, more nodes than the 12 requests
	// that an endpoint with a rate of 5 may get are selected for one in 2,000 endpoints.
	selectedPart = 1.0 / 5
)

// pacing holds what limits the requests to one incarnation of an endpoint.
type pacing struct {
	// coldUntil is the time until which the endpoint counts as cold.
	coldUntil time.Time
	// pacer limits the requests while the endpoint is cold or names a limit. It records
	// them at any time, as this may begin just after the endpoint has got some.
	pacer pacer.Pacer
	// room limits the requests while the endpoint is brittle. It is nil until the first
	// one. soundAt is when the endpoint last responded without saying that it is brittle,
	// while it was taken for that, or zero.
	room    *room
	soundAt time.Time
	// removedAt is when the endpoint's entry was removed, or zero while there is one.
	removedAt time.Time
}

// pacingOf returns the pacing of an entry's incarnation, whose entry may have been
// removed and come back.
func (d *Director) pacingOf(entry registrar.Entry) *pacing {
	i := (&endpoint{entry: entry}).incarnation()
	p := d.pacings[i]
	if p == nil {
		p = &pacing{pacer: pacer.Pacer{Longest: limitWindow}}
		// Requests to an earlier incarnation may have reached this one, if it started
		// again at the same address before its entry was known.
		for other, former := range d.pacings {
			if other.id == i.id {
				p.pacer.Include(&former.pacer)
			}
		}
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

	return s != nil && s.ColdRate > 0 && now.Before(e.coldUntil)
}

// serviceOf returns the service of an endpoint, or nil if the table does not have it.
func (d *Director) serviceOf(e *endpoint) *router.Service {
	if d.table == nil {
		return nil
	}

	return d.table.Service(e.entry.Service)
}

// coldLimit returns the number of requests that the node may send to a cold endpoint
// in each coldWindow. It follows the table and the fleet, which may change while the
// endpoint is cold.
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
