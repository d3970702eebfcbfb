package director

import (
	"math"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"snipedyke/internal/sharer"
	"snipedyke/pkg/encoder"
)

// accountKey identifies the requests of an account among those of a service and priority.
func accountKey(req *request) sharer.Key {
	return sharer.Key{
		Group:   uint16(xxhash.Sum64String(req.service.name + " " + strconv.Itoa(req.route.Priority))),
		Account: 1 + uint32(xxhash.Sum64String(req.account.Name)%(encoder.EndpointLimit-1)),
	}
}

// shares reports whether the capacity for a request is shared between client accounts.
func (d *Director) shares(req *request) bool {
	return d.opts.Accounts && req.usesEngine && req.account != nil
}

// offerDemand counts what a new request asks for, and finds out whether it is beyond the
// share of its account.
func (d *Director) offerDemand(now time.Time, req *request) {
	if !d.shares(req) {
		return
	}
	key := accountKey(req)
	// A hash of the name gives each size of request the same part. The share must not
	// include this request, which is not admitted yet.
	point := float64(xxhash.Sum64String("share "+req.Name)) / math.MaxUint64
	req.beyondShare = point >= d.sharer.Share(now, key)
	if !req.Counted {
		d.sharer.Record(now, key, req.Need.PrefillTokens(), false)
	}
}

// admitDemand counts a request that is sent to an endpoint for the first time.
func (d *Director) admitDemand(now time.Time, req *request) {
	if !d.shares(req) || req.admitted {
		return
	}
	req.admitted = true
	d.sharer.Record(now, accountKey(req), req.Need.PrefillTokens(), true)
}

// TakeDemands returns what the client accounts ask of this node.
func (d *Director) TakeDemands(now time.Time) []encoder.Demand { return d.sharer.Own(now) }

// admitsSecond reports whether an engine that takes a request would admit another one like
// it. An idle engine admits any request.
func (d *Director) admitsSecond(req *request, e *endpoint, gap time.Duration) bool {
	if e.load.PrefillTokens() == 0 && e.load.Running() == 0 {
		return true
	}
	target, own := req.route.LatencyTarget, req.Need.PrefillTokens()

	return req.service.estimator.HasSlot(e.load.Running()+1, d.slotsOf(req), d.slotTarget(e, target)) &&
		(e.load.PrefillTokens() == 0 || d.prefillsInTime(req.service, e, req.route.Priority, e.load.PrefillTokens()+own, own, target, gap))
}
