// Package limiter enforces the rate and concurrency limits of entries across
// the nodes. The quota node of an entry grants small budgets, which other nodes
// spend locally. A node without a valid budget uses its static share of the
// limit.
package limiter

import (
	"slices"
	"strings"
	"time"

	"snipedyke/pkg/cataloguer"
	"snipedyke/pkg/encoder"
)

const (
	// budgetLifetime is how long a budget is valid. A node counts it from the
	// time of its request, a quota node from its answer.
	budgetLifetime = time.Second
	// renewAfter is the age at which a node that uses an entry renews its
	// budget.
	renewAfter = budgetLifetime / 2
	// minSpendInterval is the minimum time between two spends of an entry, and
	// the minimum retry time of a request refused for the rate.
	minSpendInterval = 20 * time.Millisecond
	// scanInterval is the time between two scans of all entries in use.
	scanInterval = 100 * time.Millisecond
	// idleTimeout is the time without requests after which the state of an
	// entry is removed.
	idleTimeout = 3 * time.Second
	// prefetchWindow is the time for which a budget covers the measured demand.
	prefetchWindow = 500 * time.Millisecond
	// demandWindow is the time over which the demand is averaged.
	demandWindow = time.Second
)

// Limiter holds the state of the limits at one node. Only entries in use take
// memory. It is not safe for concurrent use.
type Limiter struct {
	self           string
	catalogue      *cataloguer.Catalogue
	publishedNodes int
	states         map[string]*usageState
	// names lists the entries with a state in the order of their creation, and
	// active those with a request since the last step. They make the order of
	// messages independent of map iteration.
	names       []string
	active      []string
	lastScan    time.Time
	quotas      map[string]*quota
	lastSweep   time.Time
	lastSpendID uint64
}

// New returns the limiter of the node self.
func New(self string) *Limiter {
	return &Limiter{self: self, publishedNodes: 1, states: map[string]*usageState{}, quotas: map[string]*quota{}}
}

// Verdict is the result of Admit. Only the types of this package implement it.
type Verdict interface{ verdict() }

// Admitted means that the request may start. Finish must be called when it
// ends.
type Admitted struct{}

// Refused means that the request must not start.
type Refused struct {
	Reason     Reason
	RetryAfter time.Duration
}

func (Admitted) verdict() {}
func (Refused) verdict()  {}

// Reason is the stable code of a refusal. The values are those of the
// reducer's reasons.
type Reason string

// Reasons of refusals.
const (
	ReasonRate       Reason = "rate_limit"
	ReasonConcurrent Reason = "concurrency_limit"
)

// Send is a message to another node.
type Send struct {
	To      string
	Message encoder.Message
}

// usageState is the state of an entry at a node that admits its requests.
type usageState struct {
	// running is the number of admitted requests that have not finished.
	running int
	// tokens and concurrent are the budget that the quota node has granted. It
	// is valid until it is older than budgetLifetime.
	tokens          int
	concurrent      int
	budgetRequested time.Time
	retryAt         time.Time
	// staticBucket is used while there is no valid budget. staticSpent is the
	// number of tokens taken from it since the last answer, and reportedSpent
	// the part of them that the pending spend reports.
	staticBucket  tokenBucket
	staticSpent   int
	reportedSpent int
	// pendingSpend is the ID of the unanswered spend, or zero; spendSent is the
	// time of the last spend.
	pendingSpend uint64
	spendSent    time.Time
	// demand is the decaying number of requests per second.
	demand   float64
	lastUsed time.Time
	// requested reports whether a request was admitted or refused since the
	// last spend.
	requested bool
	// active reports whether the entry is in the limiter's active list.
	active bool
}

type tokenBucket struct {
	level    float64
	refilled time.Time
}

// refill adds the tokens that have accrued since the last call.
func (b *tokenBucket) refill(now time.Time, rate, burst float64) {
	if b.refilled.IsZero() {
		b.level = burst
	} else {
		b.level = min(burst, b.level+rate*now.Sub(b.refilled).Seconds())
	}
	b.refilled = now
}

// untilToken returns the time until a whole token is available at the rate.
func (b *tokenBucket) untilToken(rate float64) time.Duration {
	if b.level >= 1 {
		return 0
	}

	return time.Duration((1 - b.level) / rate * float64(time.Second))
}

// Configure sets the catalogue and the number of published nodes. A limit of
// zero in an entry means that there is none.
func (l *Limiter) Configure(c *cataloguer.Catalogue, published int) {
	l.catalogue, l.publishedNodes = c, max(1, published)
}

func (l *Limiter) catalogueEntry(name string) *cataloguer.Entry {
	if l.catalogue == nil {
		return nil
	}

	return l.catalogue.Entries[name]
}

// Admit decides whether a request of an entry may start. It does not wait.
func (l *Limiter) Admit(now time.Time, entry string) Verdict {
	conf := l.catalogueEntry(entry)
	if conf == nil {
		return Refused{Reason: ReasonRate, RetryAfter: budgetLifetime}
	}
	u := l.states[entry]
	if u == nil {
		u = &usageState{}
		l.states[entry] = u
		l.names = append(l.names, entry)
	}
	if !u.active {
		u.active = true
		l.active = append(l.active, entry)
	}
	u.recordRequest(now)
	concurrent := u.concurrent
	hasBudget := u.hasBudget(now)
	if !hasBudget {
		concurrent = max(1, conf.MaxConcurrent/l.publishedNodes)
	}
	if conf.MaxConcurrent > 0 && u.running >= concurrent {
		return Refused{Reason: ReasonConcurrent, RetryAfter: budgetLifetime}
	}
	if conf.Rate > 0 && !u.takeToken(now, conf, l.publishedNodes, hasBudget) {
		after := u.retryAt.Sub(now)
		if !hasBudget {
			after = u.staticBucket.untilToken(conf.Rate / float64(l.publishedNodes))
		}

		return Refused{Reason: ReasonRate, RetryAfter: max(after, minSpendInterval)}
	}
	u.running++

	return Admitted{}
}

// Usage is the use of an entry at this node.
type Usage struct {
	Entry string `json:"entry"`
	// Running is the number of requests in progress, and Allowed the part of
	// the concurrency limit that this node may use now.
	Running int `json:"running"`
	Allowed int `json:"allowed"`
}

// Usage returns the entries in use at this node, sorted by name.
func (l *Limiter) Usage(now time.Time) []Usage {
	var out []Usage
	for _, name := range l.names {
		u, conf := l.states[name], l.catalogueEntry(name)
		if u == nil || conf == nil {
			continue
		}
		allowed := u.concurrent
		if !u.hasBudget(now) {
			allowed = max(1, conf.MaxConcurrent/l.publishedNodes)
		}
		out = append(out, Usage{Entry: name, Running: u.running, Allowed: allowed})
	}
	slices.SortFunc(out, func(a, b Usage) int { return strings.Compare(a.Entry, b.Entry) })

	return out
}

// takeToken takes a token from the budget or from the static bucket, and
// reports whether there was one.
func (u *usageState) takeToken(now time.Time, conf *cataloguer.Entry, published int, hasBudget bool) bool {
	if hasBudget {
		if u.tokens == 0 {
			return false
		}
		u.tokens--

		return true
	}
	n := float64(published)
	u.staticBucket.refill(now, conf.Rate/n, max(1, float64(conf.Burst)/n))
	if u.staticBucket.level < 1 {
		return false
	}
	u.staticBucket.level--
	u.staticSpent++

	return true
}

// hasBudget reports whether there is a valid budget.
func (u *usageState) hasBudget(now time.Time) bool {
	return !u.budgetRequested.IsZero() && now.Sub(u.budgetRequested) < budgetLifetime
}

// recordRequest adds a request to the demand.
func (u *usageState) recordRequest(now time.Time) {
	if !u.lastUsed.IsZero() {
		passed := float64(now.Sub(u.lastUsed)) / float64(demandWindow)
		u.demand *= max(0, 1-passed)
	}
	u.demand += 1 / demandWindow.Seconds()
	u.lastUsed = now
	u.requested = true
}

// Finish records the end of an admitted request.
func (l *Limiter) Finish(_ time.Time, entry string) {
	if u := l.states[entry]; u != nil && u.running > 0 {
		u.running--
	}
}

// HandleBudget applies the answer of a quota node.
func (l *Limiter) HandleBudget(_ time.Time, b *encoder.Budget) {
	u := l.states[b.Entry]
	if u == nil || u.pendingSpend == 0 || u.pendingSpend != b.ID {
		return
	}
	u.pendingSpend = 0
	u.budgetRequested = u.spendSent
	u.tokens += int(b.Granted)
	u.concurrent = int(b.Concurrent)
	u.retryAt = u.spendSent.Add(time.Duration(b.Retry) * time.Microsecond)
	u.staticSpent -= u.reportedSpent
	u.reportedSpent = 0
}

// Step returns the requests for budgets that are due. quotaNode returns the
// quota node of an entry, or an empty name if none is reachable. Budgets of
// entries whose quota node is this node are granted within the call.
func (l *Limiter) Step(now time.Time, quotaNode func(entry string) string) []Send {
	var out []Send
	list := l.active
	if now.Sub(l.lastScan) >= scanInterval {
		l.lastScan = now
		l.removeIdleStates(now, quotaNode)
		list = l.names
	}
	for _, name := range list {
		u := l.states[name]
		if u == nil {
			continue
		}
		to := quotaNode(name)
		if !u.spendDue(now, l.catalogueEntry(name)) || to == "" {
			continue
		}
		spend := l.newSpend(now, name, u)
		if to != l.self {
			out = append(out, Send{To: to, Message: spend})
		} else if b := l.HandleSpend(now, to, spend); b != nil {
			l.HandleBudget(now, b)
		}
	}
	for _, name := range l.active {
		if u := l.states[name]; u != nil {
			u.active = false
		}
	}
	l.active = l.active[:0]
	l.removeIdleQuotas(now)

	return out
}

// removeIdleStates removes the state of entries that are not in use. The state
// of an entry with unreported static tokens is kept while its quota node is
// reachable.
func (l *Limiter) removeIdleStates(now time.Time, quotaNode func(entry string) string) {
	kept := l.names[:0]
	for _, name := range l.names {
		u := l.states[name]
		idle := u.running == 0 && now.Sub(u.lastUsed) >= idleTimeout
		if l.catalogueEntry(name) == nil || idle && (u.staticSpent == 0 || quotaNode(name) == "") {
			delete(l.states, name)

			continue
		}
		kept = append(kept, name)
	}
	clear(l.names[len(kept):])
	l.names = kept
}

// spendDue reports whether the entry needs a new budget.
func (u *usageState) spendDue(now time.Time, conf *cataloguer.Entry) bool {
	if conf == nil || conf.Rate <= 0 && conf.MaxConcurrent <= 0 {
		return false
	}
	if !u.spendSent.IsZero() && now.Sub(u.spendSent) < minSpendInterval || u.pendingSpend != 0 && now.Sub(u.spendSent) < budgetLifetime {
		return false
	}
	if !u.hasBudget(now) {
		return u.requested || u.running > 0 || u.staticSpent > 0
	}
	if now.Sub(u.budgetRequested) >= renewAfter {
		return u.requested || u.running > 0
	}

	short := conf.Rate > 0 && 2*u.tokens < u.wantedTokens()
	full := conf.MaxConcurrent > 0 && u.running >= u.concurrent

	return u.requested && !now.Before(u.retryAt) && (short || full)
}

// wantedTokens returns the number of tokens that covers the demand.
func (u *usageState) wantedTokens() int { return 1 + int(u.demand*prefetchWindow.Seconds()) }

// newSpend returns a request for a budget. Tokens of an expired budget are
// discarded, so that they do not accumulate.
func (l *Limiter) newSpend(now time.Time, name string, u *usageState) *encoder.Spend {
	if !u.hasBudget(now) {
		u.tokens = 0
	}
	want := 0
	if u.requested {
		want = max(0, u.wantedTokens()-u.tokens)
	}
	l.lastSpendID++
	u.pendingSpend, u.spendSent, u.requested = l.lastSpendID, now, false
	u.reportedSpent = u.staticSpent

	return &encoder.Spend{
		ID: u.pendingSpend, Entry: name, Want: uint32(want), Running: uint32(u.running), Spent: uint32(u.reportedSpent),
	}
}
