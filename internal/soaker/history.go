package soaker

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"snipedyke/platform/standin"
)

// outcome is the result of an attempt as its caller observed it.
type outcome struct {
	unsafe bool
	// harmful reports whether the request crashes the endpoints that run it.
	harmful bool
	// takesUp reports whether the attempt takes up a stream that has begun.
	takesUp bool
	// account is the key of the client account.
	account string
	// withRevokedKey reports whether the attempt used the key that the test
	// revokes.
	withRevokedKey bool
	sent           time.Time
	// status is 0 if no response arrived.
	status int
	// cut reports whether the connection ended without a complete response.
	cut bool
	// servers holds the endpoints whose seal or events the response has.
	servers []string
	ended   time.Time
	// left is the time at which the caller closed the connection without waiting for a
	// response, or zero.
	left time.Time
	node int
}

// period is a period of time.
type period struct{ from, to time.Time }

// History records the requests that callers sent and endpoints ran, and checks
// them against the service guarantees. Its methods are safe for concurrent use.
type History struct {
	mu         sync.Mutex
	runs       map[string][]standin.Run
	outcomes   map[string]outcome
	violations []string
	// disturbedUntil is the end of the latest fault of each node.
	disturbedUntil map[int]time.Time
	// leftAt is the time when the store acknowledged the departure of each
	// endpoint, revokedAt the time when it acknowledged the removal of the key.
	leftAt    map[string]time.Time
	revokedAt time.Time
	// cuts holds, for each node, the periods in which its connections, or those
	// of servers, may be cut off.
	cuts map[int][]period
	// arrivals and answers hold what endpoints received and answered.
	arrivals []standin.Arrival
	answers  map[string][]standin.Answer
	// interruptions holds, for each node, the periods in which its process was
	// frozen, and the times at which it was stopped or started.
	interruptions map[int][]period
	// streams holds the attempts to receive each stream that can be taken up, in
	// order, and services when each endpoint serves.
	streams  map[string][]attempt
	services map[string]*serviceTime
	// cold holds the periods in which the limit of each cold endpoint applies.
	cold map[string][]period
	// limited holds the periods in which endpoints name limits.
	limited map[string][]limit
	// coldRate is the number of requests per second that a cold endpoint tolerates.
	coldRate float64
	// storeFaults holds, for each node, the periods in which it may not know what the
	// store says, with the recoveryTime after each.
	storeFaults map[int][]period
	// attempts is the number of attempts that routes allow, and nodes that of nodes.
	attempts, nodes int
	// degraded holds the periods in which each endpoint resets or fails all requests or
	// is slow, and bursts those in which accounts burst.
	degraded map[string][]degradation
	bursts   []burst
	// crashes holds the ends of endpoints under the harmful request.
	crashes []crash
	// falls holds the ends of brittle endpoints that have declined too many requests, and
	// brittleEndpoints is the number of endpoints. countedFalls is set by Check.
	falls                          []fall
	brittleEndpoints, countedFalls int
	// end is the time from which callers send no more.
	end time.Time
	// peaks and loadChecks are set by Check.
	peaks      Peaks
	loadChecks LoadChecks
}

// NewHistory returns an empty history.
func NewHistory() *History {
	return &History{
		runs: map[string][]standin.Run{}, outcomes: map[string]outcome{},
		disturbedUntil: map[int]time.Time{}, leftAt: map[string]time.Time{}, cuts: map[int][]period{},
		answers: map[string][]standin.Answer{}, interruptions: map[int][]period{},
		streams: map[string][]attempt{}, services: map[string]*serviceTime{},
		cold: map[string][]period{}, storeFaults: map[int][]period{}, limited: map[string][]limit{},
		degraded: map[string][]degradation{},
	}
}

// AddRun records that an endpoint ran a request.
func (h *History) AddRun(r standin.Run) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.runs[r.Request] = append(h.runs[r.Request], r)
}

// MarkDisturbed records that a fault affects a node until the given time.
func (h *History) MarkDisturbed(node int, until time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if until.After(h.disturbedUntil[node]) {
		h.disturbedUntil[node] = until
	}
}

// MarkCuts records that, from now on for a time, connections of a node may be
// cut off by a fault.
func (h *History) MarkCuts(node int, length time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	h.cuts[node] = append(h.cuts[node], period{now, now.Add(length)})
}

// MarkInterrupted records that the process of a node is stopped or started now, or
// frozen for a time.
func (h *History) MarkInterrupted(node int, length time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	h.interruptions[node] = append(h.interruptions[node], period{now, now.Add(length)})
}

// MarkEndpointLeft records that the departure of an endpoint was acknowledged
// now.
func (h *History) MarkEndpointLeft(id string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.leftAt[id] = time.Now()
}

// MarkKeyRevoked records that the removal of the key was acknowledged now.
func (h *History) MarkKeyRevoked() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.revokedAt = time.Now()
}

// AddViolation records a violated guarantee.
func (h *History) AddViolation(format string, args ...any) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.violations = append(h.violations, fmt.Sprintf(format, args...))
}

// setOutcome records the outcome of a request, or replaces it.
func (h *History) setOutcome(request string, o outcome) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.outcomes[request] = o
}

// The bounds of the guarantees, as the user documentation states them.
const (
	// drainBound is the time after the departure of an endpoint in which requests
	// may still reach it.
	drainBound = 2 * time.Second
	// revokeBound is the time after the removal of a key in which requests that
	// are sent with it may still run.
	revokeBound = 5 * time.Second
	// recoveryTime is the time after a fault in which drainBound doesn't apply to
	// the affected node.
	recoveryTime = 3 * time.Second
)

// Check returns the violations found. All runs must have ended before the call.
func (h *History) Check() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	violations := append([]string(nil), h.violations...)
	for request, runs := range h.runs {
		o, known := h.outcomes[request]
		if !known {
			violations = append(violations, fmt.Sprintf("%s ran but was never sent", request))

			continue
		}
		if o.unsafe && len(runs) > 1 {
			violations = append(violations, fmt.Sprintf("%s ran %d times", request, len(runs)))
		}
		if o.status == 503 || o.status == 429 || o.status == 421 || o.status == 408 {
			if o.unsafe {
				violations = append(violations, fmt.Sprintf("%s ran at %s but its caller received status %d", request, runs[0].Server, o.status))
			}
		}
		if o.cut && !h.cutExpected(o) {
			violations = append(violations, fmt.Sprintf("%s ran at %s but its connection to node %d was cut off after %s", request, runs[0].Server, o.node, o.ended.Sub(o.sent)))
		}
		for _, r := range runs {
			undisturbed := r.At.Sub(h.disturbedUntil[o.node]) > recoveryTime
			if left, leaves := h.leftAt[r.Server]; leaves && undisturbed && r.At.Sub(left) > drainBound {
				violations = append(violations, fmt.Sprintf("%s reached %s %s after it left", request, r.Server, r.At.Sub(left)))
			}
			if r.Tenant == revokedTenant && !h.revokedAt.IsZero() && o.sent.Sub(h.revokedAt) > revokeBound {
				violations = append(violations, fmt.Sprintf("%s ran with a key that was revoked %s before the request was sent", request, o.sent.Sub(h.revokedAt)))
			}
		}
	}

	violations = append(violations, h.checkStreams()...)
	violations = append(violations, h.checkTakeUps()...)
	violations = append(violations, h.checkCold()...)
	violations = append(violations, h.checkRetries()...)
	violations = append(violations, h.checkLimits()...)
	violations = append(violations, h.checkLoad()...)
	violations = append(violations, h.checkHarmful()...)
	violations = append(violations, h.checkFalls()...)
	violations = append(violations, h.checkGone()...)

	return append(violations, h.checkNotices()...)
}

// cutExpected reports whether a fault may have cut off the attempt. Shutdowns,
// reloads, manifests and silent servers are no such faults.
func (h *History) cutExpected(o outcome) bool {
	return slices.ContainsFunc(h.cuts[o.node], func(p period) bool { return o.sent.Before(p.to) && p.from.Before(o.ended) })
}

// SuccessRate returns the ratio of the attempts sent between two times that
// succeeded, and the number of these attempts. Attempts that were refused with
// status 401 because their key was revoked are correct and not counted.
func (h *History) SuccessRate(from, to time.Time) (rate float64, sent int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	succeeded := 0
	for _, o := range h.outcomes {
		refused := o.withRevokedKey && !h.revokedAt.IsZero() && o.status == 401
		if o.sent.After(from) && o.sent.Before(to) && !refused && o.left.IsZero() {
			sent++
			if o.status == 200 {
				succeeded++
			}
		}
	}
	if sent == 0 {
		return 0, 0
	}

	return float64(succeeded) / float64(sent), sent
}
