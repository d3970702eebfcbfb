package soaker

import (
	"fmt"
	"slices"
	"time"

	"snipedyke/platform/standin"
)

// An endpoint that names a limit gets, from limitBound after it has begun to, at most
// limitFactor times that rate and limitSlack more requests in any limitWindow, from nodes
// that have passed on such an answer at least toldBound before.
const (
	limitBound  = 3 * time.Second
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
	toldBound   = 500 * time.Millisecond
)

// limit is a period in which an endpoint names a limit of requests a second.
type limit struct {
	period
	rate float64
}

// MarkLimit records that an endpoint names a limit of requests a second from now on for
// a time.
func (h *History) MarkLimit(id string, rate float64, length time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	h.limited[id] = append(h.limited[id], limit{period{now, now.Add(length)}, rate})
}

// EndLimits records that endpoints name no limit from now on.
func (h *History) EndLimits() {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	for _, limits := range h.limited {
		for i := range limits {
			if limits[i].to.After(now) {
				limits[i].to = now
			}
		}
	}
}

// checkLimits returns a violation for each period in which an endpoint got more requests
// than the limit that it named. Nodes that were stopped, started or frozen after they had
// passed such an answer on do not count until they have done so again. The caller holds
// mu.
func (h *History) checkLimits() []string {
	var violations []string
	for server, limits := range h.limited {
		for _, l := range limits {
			told := h.toldLimit(server, l)
			var at []time.Time
			for _, a := range h.arrivals {
				node := h.outcomes[a.Request].node
				counts := a.Server == server && !a.Misdirected && a.At.Sub(l.from) >= limitBound && a.At.Before(l.to)
				if counts && slices.ContainsFunc(told[node], func(t time.Time) bool {
					return a.At.Sub(t) >= toldBound && !h.interrupted(node, t, a.At)
				}) {
					at = append(at, a.At)
				}
			}
			slices.SortFunc(at, time.Time.Compare)
			most := 0
			for _, from := range at {
				most = max(most, countTimes(at, from, from.Add(limitWindow)))
			}
			if allowed := limitFactor*l.rate*limitWindow.Seconds() + limitSlack; float64(most) > allowed {
				violations = append(violations, fmt.Sprintf("LIMIT: %s got %d requests in %s, at most %.1f may reach it with a limit of %.1f",
					server, most, limitWindow, allowed, l.rate))
			}
		}
	}

	return violations
}

// toldLimit returns when each node had passed on the answers of an endpoint that named
// the limit. The caller holds mu.
func (h *History) toldLimit(server string, l limit) map[int][]time.Time {
	told := map[int][]time.Time{}
	for request, answers := range h.answers {
		o := h.outcomes[request]
		passedOn := func(a standin.Answer) bool {
			return a.Server == server && a.Limit > 0 && !a.At.Before(l.from) && a.At.Before(l.to) && slices.Contains(o.servers, server)
		}
		if o.status != 0 && !o.cut && slices.ContainsFunc(answers, passedOn) {
			told[o.node] = append(told[o.node], o.ended)
		}
	}

	return told
}

// nameLimits makes some servers name limits in their answers.
func (f *limitFaults) nameLimits() {
	for _, server := range f.most() {
		if server.Limit() > 0 {
			continue
		}
		rate, length := 0.5+float64(f.rng.IntN(80))/10, f.between(6000, 12000)
		f.logFault(fmt.Sprintf("server %s names a limit of %.1f", server.ID(), rate), -1, length)
		f.history.MarkUnusable(server.ID(), length)
		f.history.MarkLimit(server.ID(), rate, length)
		server.SetLimit(rate)
		time.AfterFunc(length, func() { server.SetLimit(0) })
	}
}
