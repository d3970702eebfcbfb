package soaker

import (
	"fmt"
	"sync"
	"time"

	"snipedyke/platform/standin"
)

// outcome is what a caller saw of an attempt.
type outcome struct {
	unsafe bool
	// leaver tells that the key is the one that is withdrawn.
	leaver bool
	sent   time.Time
	// status is 0 if no answer came.
	status int
	ended  time.Time
	node   int
}

// Ledger keeps what callers and endpoints saw, and finds broken promises. Its
// methods are safe for concurrent use.
type Ledger struct {
	mu         sync.Mutex
	runs       map[string][]standin.Run
	outcomes   map[string]outcome
	violations []string
	// disturbed is when each node was last disturbed.
	disturbed map[int]time.Time
	// left is when an endpoint's leaving was acknowledged, and revoked when a
	// key's end was.
	left    map[string]time.Time
	revoked time.Time
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{
		runs: map[string][]standin.Run{}, outcomes: map[string]outcome{},
		disturbed: map[int]time.Time{}, left: map[string]time.Time{},
	}
}

// Run notes a run at an endpoint.
func (l *Ledger) Run(r standin.Run) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[r.Request] = append(l.runs[r.Request], r)
}

// Disturb notes that a node is disturbed until a time.
func (l *Ledger) Disturb(node int, until time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if until.After(l.disturbed[node]) {
		l.disturbed[node] = until
	}
}

// Left notes that an endpoint's leaving was acknowledged.
func (l *Ledger) Left(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.left[id] = time.Now()
}

// Revoked notes that the end of the key was acknowledged.
func (l *Ledger) Revoked() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.revoked = time.Now()
}

// Broken notes a broken promise.
func (l *Ledger) Broken(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.violations = append(l.violations, fmt.Sprintf(format, args...))
}

func (l *Ledger) note(request string, o outcome) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.outcomes[request] = o
}

// The bounds of the promises, as the users' pages state them.
const (
	drainBound  = 2 * time.Second
	revokeBound = 5 * time.Second
	stable      = 3 * time.Second
)

// Check returns the broken promises. Runs must have ended.
func (l *Ledger) Check() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	broken := append([]string(nil), l.violations...)
	for request, runs := range l.runs {
		o, known := l.outcomes[request]
		if !known {
			broken = append(broken, fmt.Sprintf("%s ran but was never sent", request))

			continue
		}
		if o.unsafe && len(runs) > 1 {
			broken = append(broken, fmt.Sprintf("%s ran %d times", request, len(runs)))
		}
		if o.status == 503 || o.status == 429 || o.status == 421 || o.status == 408 {
			if o.unsafe {
				broken = append(broken, fmt.Sprintf("%s ran at %s but its caller was told %d", request, runs[0].Server, o.status))
			}
		}
		for _, r := range runs {
			calm := r.At.Sub(l.disturbed[o.node]) > stable
			if left, leaves := l.left[r.Server]; leaves && calm && r.At.Sub(left) > drainBound {
				broken = append(broken, fmt.Sprintf("%s reached %s %s after it left", request, r.Server, r.At.Sub(left)))
			}
			if r.Tenant == revokedTenant && !l.revoked.IsZero() && o.sent.Sub(l.revoked) > revokeBound {
				broken = append(broken, fmt.Sprintf("%s ran with a key that ended %s before it was sent", request, o.sent.Sub(l.revoked)))
			}
		}
	}

	return broken
}

// Share returns the share of attempts sent in a span that succeeded. Attempts
// with a key that was withdrawn are refused rightly and do not count.
func (l *Ledger) Share(from, to time.Time) (share float64, sent int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	good := 0
	for _, o := range l.outcomes {
		refused := o.leaver && !l.revoked.IsZero() && o.status == 401
		if o.sent.After(from) && o.sent.Before(to) && !refused {
			sent++
			if o.status == 200 {
				good++
			}
		}
	}
	if sent == 0 {
		return 0, 0
	}

	return float64(good) / float64(sent), sent
}
