package scheduler

import "time"

const (
	// retryFraction is the number of retries allowed per first attempt.
	retryFraction = 0.1
	// retrySlot and retrySlots are the length and the number of the slots of the
	// sliding window in which retries and first attempts are counted.
	retrySlot  = time.Second
	retrySlots = 10
	// minRetries is the number of retries allowed per window in any case, as 10%
	// of the requests of a pool with little traffic would be less than one.
	minRetries = 1
)

// retryBudget is the retry budget of a pool.
type retryBudget struct {
	firstAttempts, retryAttempts [retrySlots]int
	// slot is the number of the current slot, counted from the one at start.
	start time.Time
	slot  int
	// failed holds the fingerprints of dispatches that recently failed or were
	// cancelled. Another request with such a fingerprint counts as a retry, even
	// if the caller states that it is a first attempt.
	failed map[uint64]time.Time
}

// advance moves to the current slot and clears the slots that have left the
// window.
func (r *retryBudget) advance(now time.Time) {
	if r.start.IsZero() {
		r.start = now
	}
	slot := int(now.Sub(r.start) / retrySlot)
	for steps := min(slot-r.slot, retrySlots); steps > 0; steps-- {
		i := (slot - steps + 1) % retrySlots
		r.firstAttempts[i], r.retryAttempts[i] = 0, 0
	}
	r.slot = slot
}

// allow reports whether an attempt is within the budget, and counts it if it is.
func (r *retryBudget) allow(now time.Time, attempt uint32, fingerprint uint64) bool {
	r.advance(now)
	i := r.slot % retrySlots
	at, retry := r.failed[fingerprint]
	retry = retry && now.Sub(at) < retrySlot*retrySlots
	if attempt <= 1 && !retry {
		r.firstAttempts[i]++

		return true
	}
	firsts, retries := 0, 0
	for j := range r.firstAttempts {
		firsts += r.firstAttempts[j]
		retries += r.retryAttempts[j]
	}
	if float64(retries+1) > max(minRetries, retryFraction*float64(firsts)) {
		return false
	}
	r.retryAttempts[i]++

	return true
}

// recordFailure records the fingerprint of a dispatch that did not succeed.
func (r *retryBudget) recordFailure(now time.Time, fingerprint uint64) {
	if fingerprint != 0 {
		r.failed[fingerprint] = now
	}
}

// sweep removes the failures that have left the window.
func (r *retryBudget) sweep(now time.Time) {
	for f, at := range r.failed {
		if now.Sub(at) >= retrySlot*retrySlots {
			delete(r.failed, f)
		}
	}
}
