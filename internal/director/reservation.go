package director

import "time"

// reservation is the place of the next attempt of a request whose attempt in
// progress has been given up. It is part of the load of its endpoint.
type reservation struct {
	endpoint *endpoint
	// holder is the endpoint that probably has the shared parts of the prompt in
	// its cache, or nil, and prefixCached reports whether endpoint has them.
	holder       *endpoint
	prefixCached bool
	// prefillTokens is the number of prompt tokens that the reservation adds to the
	// load.
	prefillTokens float64
	// at is the time of the reservation, for which the pacer of the endpoint has
	// recorded the attempt.
	at time.Time
}

// reserveReplacement reports whether another endpoint can take over a request
// from that of the attempt in progress. If it can, reserveReplacement reserves the
// place there and uses up the retry budget.
func (d *Director) reserveReplacement(now time.Time, req *request) bool {
	if !req.route.Repeatable() || req.attemptsUsed()+1 >= req.route.Attempts || d.deadline(req).Sub(now) < minAttemptTime {
		return false
	}
	if _, isolated := d.isolated(now, req); isolated {
		return false
	}
	cached := req.prefixCached
	e, holder := d.choose(now, req)
	r := &reservation{endpoint: e, holder: holder, prefixCached: req.prefixCached, at: now}
	req.prefixCached = cached
	if e != nil && d.engineOf(req) != nil && !req.relayed {
		r.endpoint = d.admit(now, req, e)
	}
	if r.endpoint == nil || !d.mayRetry(now, req) {
		return false
	}
	r.endpoint.pacer.Record(now)
	if req.usesEngine && !req.relayed {
		r.prefillTokens = req.Need.PrefillTokens()
	}
	r.endpoint.load.Own.PrefillTokens += r.prefillTokens
	r.endpoint.load.Own.Running++
	d.markChanged(r.endpoint)
	req.reserved = r

	return true
}

// releaseReservation removes the reservation of a request from the load of its
// endpoint, and returns it, or nil if there is none. Until the next event, the
// place remains free for the request.
func (d *Director) releaseReservation(req *request) *reservation {
	r := req.reserved
	if r == nil {
		return nil
	}
	req.reserved = nil
	r.endpoint.pacer.Withdraw(r.at)
	r.endpoint.load.Own.PrefillTokens -= r.prefillTokens
	r.endpoint.load.Own.Running--
	d.markChanged(r.endpoint)

	return r
}
