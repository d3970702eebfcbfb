package soaker

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"snipedyke/platform/standin"
)

const (
	// returnBound is the time after a degradation in which the endpoint must get requests
	// again.
	returnBound = 10 * time.Second
	// minReturnRequests is the minimum number of requests to undisturbed nodes in
	// returnBound of which at least one must reach the endpoint. With fewer, none may be
	// sent there by chance.
	minReturnRequests = 100
	// minBurstRequests is the minimum number of requests of an account during a burst of
	// another one of which at least one must be answered.
	minBurstRequests = 10
	// budgetMargin is how much later than the retry budget allows a repeat may arrive: it
	// may wait for an endpoint, and then for a connection.
	budgetMargin = 1500 * time.Millisecond
	// budgetStep is the time between the windows for which the budget is checked.
	budgetStep = 250 * time.Millisecond
	// lastAttemptTime is the remaining time of a request below which nodes need not send
	// it again. They need some of it for the attempt before.
	lastAttemptTime = 500 * time.Millisecond
)

// degradation is a period in which an endpoint degrades while its registration is ready.
type degradation struct {
	period
	resets bool
}

// burst is a period in which an account sends many times its usual.
type burst struct {
	period
	account string
}

// LoadChecks counts the cases in which the promises under load applied.
type LoadChecks struct {
	// Resets is the number of requests that could be repeated after a reset, Returns that
	// of endpoints whose degradation ended, and Accounts that of accounts beside a burst.
	Resets, Returns, Accounts int
}

// MarkDegraded records that an endpoint degrades from now on for a time.
func (h *History) MarkDegraded(id string, resets bool, length time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	h.degraded[id] = append(h.degraded[id], degradation{period{now, now.Add(length)}, resets})
}

// MarkBurst records that an account sends many times its usual from now on for a time.
func (h *History) MarkBurst(account string, length time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	h.bursts = append(h.bursts, burst{period{now, now.Add(length)}, account})
}

// EndLoad records that no endpoint degrades and no account bursts from now on.
func (h *History) EndLoad() {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	for _, list := range h.degraded {
		for i := range list {
			list[i].end(now)
		}
	}
	for i := range h.bursts {
		h.bursts[i].end(now)
	}
}

// MarkEnd records that callers have sent nothing since the given time.
func (h *History) MarkEnd(at time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.end = at
}

// end shortens a period that lasts beyond a time.
func (p *period) end(at time.Time) {
	if p.to.After(at) {
		p.to = at
	}
}

func (p period) overlaps(from, to time.Time) bool { return p.from.Before(to) && from.Before(p.to) }

// unusable returns the periods in which an endpoint may fail requests or degrades. The
// caller holds mu.
func (h *History) unusable(id string) []period {
	list := slices.Clone(h.services[id].outages)
	for _, d := range h.degraded[id] {
		list = append(list, d.period)
	}

	return list
}

// undisturbed reports whether no fault of the store or of the process affects a node
// between two times, nor recoveryTime before. The caller holds mu.
func (h *History) undisturbed(node int, from, to time.Time) bool {
	return !h.interrupted(node, from.Add(-recoveryTime), to) &&
		!slices.ContainsFunc(h.storeFaults[node], func(p period) bool { return p.overlaps(from, to) })
}

// checkLoad returns the violations of what is promised while endpoints degrade and
// accounts burst. The caller holds mu.
func (h *History) checkLoad() []string {
	h.loadChecks = LoadChecks{}

	return slices.Concat(h.checkResets(), h.checkAccounts(), h.checkReturns())
}

// checkResets returns a violation for each request that may be repeated and met an
// endpoint that resets, but got no answer of an endpoint, while others were usable and
// its attempts, its time and the retry budget were not used up. While requests of a
// burst run, the other endpoints may be full. The caller holds mu.
func (h *History) checkResets() []string {
	arrivals := map[string][]standin.Arrival{}
	for _, a := range h.arrivals {
		if !a.Misdirected {
			arrivals[a.Request] = append(arrivals[a.Request], a)
		}
	}
	bursts := h.occupiedByBursts()
	var violations []string
	for _, request := range slices.Sorted(maps.Keys(arrivals)) {
		list, o := arrivals[request], h.outcomes[request]
		reset := slices.ContainsFunc(list, func(a standin.Arrival) bool {
			return slices.ContainsFunc(h.degraded[a.Server], func(d degradation) bool {
				return d.resets && contains([]period{d.period}, a.At)
			})
		})
		burst := slices.ContainsFunc(bursts, func(p period) bool { return p.overlaps(o.sent, o.ended) })
		if !reset || o.unsafe || o.takesUp || o.withRevokedKey || burst ||
			!h.undisturbed(o.node, o.sent, o.ended) || h.serving("", o.sent, o.ended) < minServing {
			continue
		}
		answered := o.status == 200 || len(o.servers) > 0
		if answered {
			h.loadChecks.Resets++

			continue
		}
		use, usedUp := h.budgetUse(o.node, o.ended)
		if usedUp || len(list) >= h.attempts || o.ended.Sub(o.sent) > routeTimeout-lastAttemptTime {
			continue
		}
		h.loadChecks.Resets++
		violations = append(violations, fmt.Sprintf("RESET: %s could be repeated, reached %s at %s and got status %d from node %d after %d of %d attempts, with %.0f percent of the node's retry budget used",
			request, list[0].Server, list[0].At.Format(clock), o.status, o.node, len(list), h.attempts, 100*use))
	}

	return violations
}

// occupiedByBursts returns the periods from the begin of each burst until its last
// request has ended. The caller holds mu.
func (h *History) occupiedByBursts() []period {
	periods := make([]period, 0, len(h.bursts))
	for _, b := range h.bursts {
		p := b.period
		for _, o := range h.outcomes {
			if o.account == b.account && contains([]period{b.period}, o.sent) && o.ended.After(p.to) {
				p.to = o.ended
			}
		}
		periods = append(periods, p)
	}

	return periods
}

// budgetUse returns the part of its share of the retry budget that a node has used with
// one more repeat, and whether it could have used up the share. A process that has started
// sends no repeats in the first retryWindow, and has no slack in the second one. In each
// retryWindow, the repeats are bounded by the requests of the retryWindow before. The
// caller holds mu.
func (h *History) budgetUse(node int, at time.Time) (use float64, usedUp bool) {
	if h.interrupted(node, at.Add(-retryWindow), at) {
		return 1, true
	}
	slack := retrySlack / float64(max(h.nodes, 1))
	if h.interrupted(node, at.Add(-2*retryWindow), at) {
		slack = 0
	}
	var sent, repeats []time.Time
	for _, o := range h.outcomes {
		if o.node == node {
			sent = append(sent, o.sent)
		}
	}
	seen := map[string]bool{}
	for _, a := range h.arrivals {
		if seen[a.Request] && h.outcomes[a.Request].node == node {
			repeats = append(repeats, a.At)
		}
		seen[a.Request] = true
	}
	slices.SortFunc(sent, time.Time.Compare)
	slices.SortFunc(repeats, time.Time.Compare)
	for from := at.Add(-retryWindow); !from.After(at); from = from.Add(budgetStep) {
		allowed := retryRatio*float64(countTimes(sent, from.Add(-retryWindow), from)) + slack
		count := float64(countTimes(repeats, from.Add(-budgetMargin), at) + 1)
		use, usedUp = max(use, count/allowed), usedUp || count > allowed
	}

	return use, usedUp
}

// checkAccounts returns a violation for each account that got no answer during the burst
// of another one, while endpoints could run requests. The caller holds mu.
func (h *History) checkAccounts() []string {
	var violations []string
	for _, b := range h.bursts {
		if !h.alwaysServing(b.from, b.to) {
			continue
		}
		sent, answered := map[string]int{}, map[string]int{}
		for _, o := range h.outcomes {
			if o.account == b.account || o.withRevokedKey || o.harmful || o.sent.Before(b.from) || o.ended.After(b.to) || !h.undisturbed(o.node, o.sent, o.ended) {
				continue
			}
			sent[o.account]++
			if o.status == 200 {
				answered[o.account]++
			}
		}
		for _, account := range slices.Sorted(maps.Keys(sent)) {
			if sent[account] < minBurstRequests {
				continue
			}
			h.loadChecks.Accounts++
			if answered[account] == 0 {
				violations = append(violations, fmt.Sprintf("STARVED: none of %d requests of account %s was answered during the burst of %s from %s to %s",
					sent[account], account, b.account, b.from.Format(clock), b.to.Format(clock)))
			}
		}
	}

	return violations
}

// alwaysServing reports whether minServing endpoints can run requests at any time between
// two times. The caller holds mu.
func (h *History) alwaysServing(from, to time.Time) bool {
	const step = 500 * time.Millisecond
	for ; from.Before(to); from = from.Add(step) {
		if h.serving("", from, from.Add(step)) < minServing {
			return false
		}
	}

	return true
}

// checkReturns returns a violation for each endpoint that got no request within
// returnBound after a degradation. If other faults of the endpoint follow, the time counts
// from the end of the last one. The caller holds mu.
func (h *History) checkReturns() []string {
	var violations []string
	for _, id := range slices.Sorted(maps.Keys(h.degraded)) {
		service, unusable := h.services[id], h.unusable(id)
		slices.SortFunc(unusable, func(a, b period) int { return a.from.Compare(b.from) })
		for _, d := range h.degraded[id] {
			from := d.to
			for _, p := range unusable {
				if p.overlaps(from, from.Add(returnBound)) {
					from = p.to
				}
			}
			until := from.Add(returnBound)
			if until.After(h.end) || !service.to.IsZero() && service.to.Before(until) || d.from.Sub(service.from) < drainBound {
				continue
			}
			requests := 0
			for _, o := range h.outcomes {
				if !o.sent.Before(from) && o.ended.Before(until) && h.undisturbed(o.node, o.sent, o.ended) {
					requests++
				}
			}
			if requests < minReturnRequests {
				continue
			}
			h.loadChecks.Returns++
			if !slices.ContainsFunc(h.arrivals, func(a standin.Arrival) bool {
				return a.Server == id && !a.Misdirected && a.At.After(d.to) && !a.At.After(until)
			}) {
				violations = append(violations, fmt.Sprintf("RETURN: %s got none of %d requests until %s, its degradation ended at %s",
					id, requests, until.Format(clock), d.to.Format(clock)))
			}
		}
	}

	return violations
}
