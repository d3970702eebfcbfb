package director

import (
	"fmt"
	"time"

	"snipedyke/internal/admitter"
)

// admit returns the engine that admits a request, or nil. e is the preferred one.
func (d *Director) admit(now time.Time, req *request, e *endpoint) *endpoint {
	if req.pinned && d.hasSlot(req, e) {
		// Part of the stream has been generated already.
		return e
	}
	gap := req.demand().Gap
	cause := d.rejects(now, req, e, gap)
	req.shareRejected = cause == causeShare
	if cause == "" {
		return e
	}
	if other := d.admitElsewhere(now, req, e, gap); other != nil {
		return other
	}
	tokens := e.load.PrefillTokens()
	req.rejection = fmt.Sprintf("engine %s: %s; %.0f prompt tokens to prefill, estimated to take %s; %d requests running",
		e.entry.ID, cause, tokens, d.prefillTime(req.service, e, tokens), e.load.Running())

	return nil
}

// admitElsewhere returns the engine that admits a request which its preferred engine e
// does not admit in time, or nil. A request of the more urgent group goes to an engine
// of the other group or else to e, where it lengthens the pauses. For a short prompt, a
// free slot is enough, as engines prefill it before less urgent ones.
func (d *Director) admitElsewhere(now time.Time, req *request, e *endpoint, gap time.Duration) *endpoint {
	splitter, slots := &req.service.splitter, d.engineOf(req).Slots
	if !splitter.Urgent(req.Need) {
		return nil
	}
	var spillover *endpoint
	if other := splitter.ChooseSpillover(req.Need, slots, d.candidates(now, req)); other != nil {
		spillover = d.endpoints[other.ID]
	}
	switch {
	case spillover != nil && d.rejects(now, req, spillover, gap) == "":
		return spillover
	case d.rejects(now, req, e, 0) == "":
		return e
	case req.Need.Long() || req.beyondShare:
		return nil
	case spillover != nil && d.hasSlot(req, spillover) && d.leavesRoom(now, req, spillover):
		return spillover
	case d.hasSlot(req, e) && d.leavesRoom(now, req, e):
		return e
	default:
		return nil
	}
}

// demand returns what the request needs of an engine. Prefilling a long prompt takes
// longer than any limit of pauses on its own.
func (r *request) demand() admitter.Demand {
	demand := admitter.Demand{Target: r.route.LatencyTarget, Gap: r.route.MaxPause}
	if r.Need.Long() {
		demand.Gap = 0
	}

	return demand
}

// hasSlot reports whether an engine has a free slot for a request, or frees one
// in time.
func (d *Director) hasSlot(req *request, e *endpoint) bool {
	return req.service.estimator.HasSlot(e.load.Running(), d.engineOf(req).Slots, d.slotTarget(e, req.route.LatencyTarget))
}

// slotTarget returns a target for the wait for a slot in terms of the mean run time of
// the service. A slow engine frees its slots later.
func (d *Director) slotTarget(e *endpoint, target time.Duration) time.Duration {
	return time.Duration(float64(target) / e.load.Slowness.Factor(e.load.Running()))
}

// leavesRoom reports whether an engine that takes a request would still admit one like
// the more urgent ones that were refused recently.
func (d *Director) leavesRoom(now time.Time, req *request, e *endpoint) bool {
	reserved, yields := req.service.shedder.Reserved(now, req.class())
	if !yields {
		return true
	}

	return req.service.estimator.HasSlot(e.load.Running()+1, d.engineOf(req).Slots, d.slotTarget(e, reserved.Target)) &&
		d.prefillsInTime(req.service, e, req.route.Priority, e.load.PrefillTokens()+req.Need.PrefillTokens(), 0, reserved.Target, reserved.Gap)
}

// causeShare is why an engine does not admit a request that is beyond the share of its
// account.
const causeShare = "no room for two requests beyond the share of the account"

// rejects returns why an engine cannot admit a request without pauses longer than gap,
// or an empty string if it can.
func (d *Director) rejects(now time.Time, req *request, e *endpoint, gap time.Duration) string {
	switch {
	case !d.hasSlot(req, e):
		return "no slot in time"
	case !d.prefillsInTime(req.service, e, req.route.Priority, e.load.PrefillTokens(), req.Need.PrefillTokens(), req.route.LatencyTarget, gap):
		return "prefill takes too long"
	case !d.leavesRoom(now, req, e):
		return "no room beside more urgent requests"
	case req.beyondShare && !d.admitsSecond(req, e, gap):
		return causeShare
	default:
		return ""
	}
}
