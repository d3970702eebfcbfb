package limiter

import (
	"slices"
	"strings"
	"time"

	"snipedyke/pkg/encoder"
)

// silenceTimeout is the time without a spend after which a node is assumed to
// run no requests. It is long enough for several lost messages.
const silenceTimeout = 5 * time.Second

// quota is the state of an entry at its quota node.
type quota struct {
	bucket tokenBucket
	// nodes is sorted by name.
	nodes    []nodeUsage
	lastUsed time.Time
}

// nodeUsage is the part of an entry's limits that a node uses.
type nodeUsage struct {
	name    string
	running int
	// granted is the part of the concurrency limit in the last answer to the
	// node, and previouslyGranted the part in the answer before, which the node
	// may use until it receives the last one.
	granted, previouslyGranted int
	lastSeen                   time.Time
}

func (n *nodeUsage) reserved() int { return max(n.running, n.granted, n.previouslyGranted) }

// HandleSpend answers a node's request for a budget; this node is the quota
// node of the entry. It returns nil if the entry is unknown.
func (l *Limiter) HandleSpend(now time.Time, from string, s *encoder.Spend) *encoder.Budget {
	conf := l.catalogueEntry(s.Entry)
	if conf == nil {
		return nil
	}
	q := l.quotas[s.Entry]
	if q == nil {
		q = &quota{}
		l.quotas[s.Entry] = q
	}
	q.lastUsed = now
	n := q.node(now, from)
	b := &encoder.Budget{ID: s.ID, Entry: s.Entry, Granted: s.Want}
	if conf.Rate > 0 {
		q.bucket.refill(now, conf.Rate, max(1, float64(conf.Burst)))
		q.bucket.level -= float64(s.Spent)
		b.Granted = uint32(q.grant(int(s.Want)))
		q.bucket.level -= float64(b.Granted)
		if b.Granted < s.Want {
			b.Retry = q.bucket.untilToken(conf.Rate).Microseconds()
		}
	}
	n.previouslyGranted, n.running, n.lastSeen = n.granted, int(s.Running), now
	n.granted = 0
	if conf.MaxConcurrent > 0 {
		free := conf.MaxConcurrent
		for i := range q.nodes {
			if other := &q.nodes[i]; other != n {
				free -= other.reserved()
			}
		}
		// Half of the free part is left for the next node that asks.
		spare := min(max(int(s.Want), 1), max(1, (free-n.running+1)/2))
		n.granted = max(0, min(free, n.running+spare))
	}
	b.Concurrent = uint32(n.granted)

	return b
}

// grant returns how many of the wanted tokens a node gets. A request for more
// than half of the tokens gets at most an equal share of them, but one token if
// there is one.
func (q *quota) grant(want int) int {
	level := int(max(0, q.bucket.level))
	if want <= level/2 {
		return want
	}

	return min(want, max(1, level/len(q.nodes)), level)
}

// node returns the state of a node, and removes the nodes that have timed out.
func (q *quota) node(now time.Time, name string) *nodeUsage {
	q.nodes = slices.DeleteFunc(q.nodes, func(n nodeUsage) bool {
		return n.name != name && now.Sub(n.lastSeen) >= silenceTimeout
	})
	i, ok := slices.BinarySearchFunc(q.nodes, name, func(n nodeUsage, name string) int { return strings.Compare(n.name, name) })
	if !ok {
		q.nodes = slices.Insert(q.nodes, i, nodeUsage{name: name})
	}

	return &q.nodes[i]
}

// removeIdleQuotas removes the entries that no node uses and whose bucket is
// full.
func (l *Limiter) removeIdleQuotas(now time.Time) {
	if now.Sub(l.lastSweep) < budgetLifetime {
		return
	}
	l.lastSweep = now
	for name, q := range l.quotas {
		conf := l.catalogueEntry(name)
		if conf == nil {
			delete(l.quotas, name)

			continue
		}
		idle := now.Sub(q.lastUsed)
		full := q.bucket.level+conf.Rate*idle.Seconds() >= float64(conf.Burst)
		if idle >= silenceTimeout && full {
			delete(l.quotas, name)
		}
	}
}
