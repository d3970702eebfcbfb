package soaker

import (
	"fmt"
	"slices"
	"time"

	"snipedyke/platform/standin"
)

const (
	// pauseGrace is the time after an endpoint has asked for no requests in which
	// they may still reach it, and maxPauseArrivals is how many may reach it after
	// that.
	pauseGrace       = 500 * time.Millisecond
	maxPauseArrivals = 2
)

// AddArrival records that a request has reached an endpoint.
func (h *History) AddArrival(a standin.Arrival) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.arrivals = append(h.arrivals, a)
}

// AddAnswer records an endpoint's answer to a request.
func (h *History) AddAnswer(a standin.Answer) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.answers[a.Request] = append(h.answers[a.Request], a)
}

// link identifies the requests from a node to an endpoint.
type link struct {
	node   int
	server string
}

// checkNotices returns the violations of what endpoints say about themselves. It
// takes only answers into account that the node has certainly received: of requests
// that it has answered in full, those that have turned the request away and those
// that it has relayed. The caller holds mu.
func (h *History) checkNotices() []string {
	leaving, pauses := map[link][]time.Time{}, map[link][]standin.Answer{}
	for request, answers := range h.answers {
		o := h.outcomes[request]
		if o.status == 0 || o.cut {
			continue
		}
		for _, a := range answers {
			l := link{o.node, a.Server}
			if a.Leaving && (a.Declined || slices.Contains(o.servers, a.Server)) {
				leaving[l] = append(leaving[l], o.ended)
			}
			if a.RetryAfter > 0 {
				pauses[l] = append(pauses[l], a)
			}
		}
	}
	arrivals := map[link][]standin.Arrival{}
	for _, a := range h.arrivals {
		if o, known := h.outcomes[a.Request]; known {
			l := link{o.node, a.Server}
			arrivals[l] = append(arrivals[l], a)
		}
	}
	violations := make([]string, 0, len(arrivals))
	for l, list := range arrivals {
		violations = append(violations, h.checkLeaving(l, leaving[l], list)...)
		violations = append(violations, h.checkPauses(l, pauses[l], list)...)
	}

	return violations
}

// checkLeaving returns a violation for each request that was sent later than
// drainBound after the node had answered with a notice of the endpoint that it
// leaves, and reached the endpoint nevertheless.
func (h *History) checkLeaving(l link, noticed []time.Time, arrivals []standin.Arrival) []string {
	var violations []string
	for _, a := range arrivals {
		sent := h.outcomes[a.Request].sent
		if i := slices.IndexFunc(noticed, func(at time.Time) bool {
			return sent.Sub(at) > drainBound && !h.interrupted(l.node, at, a.At)
		}); i >= 0 {
			violations = append(violations, fmt.Sprintf("%s was sent %s after node %d knew that %s leaves, and reached it", a.Request, sent.Sub(noticed[i]), l.node, l.server))
		}
	}

	return violations
}

// checkPauses returns a violation if more than maxPauseArrivals requests reached
// the endpoint in a pause after pauseGrace. It names the pause with the most.
func (h *History) checkPauses(l link, pauses []standin.Answer, arrivals []standin.Arrival) []string {
	worst, most := standin.Answer{}, maxPauseArrivals
	for _, p := range pauses {
		from, to := p.At.Add(pauseGrace), p.At.Add(p.RetryAfter)
		reached := 0
		for _, a := range arrivals {
			if a.At.After(from) && a.At.Before(to) && !h.interrupted(l.node, p.At, a.At) {
				reached++
			}
		}
		if reached > most {
			worst, most = p, reached
		}
	}
	if most == maxPauseArrivals {
		return nil
	}

	return []string{fmt.Sprintf("%d requests of node %d reached %s in the %s that it asked for with its answer to %s", most, l.node, l.server, worst.RetryAfter, worst.Request)}
}

// interrupted reports whether the process of a node was stopped, started or frozen
// between two times. The caller holds mu.
func (h *History) interrupted(node int, from, to time.Time) bool {
	return slices.ContainsFunc(h.interruptions[node], func(p period) bool { return p.from.Before(to) && from.Before(p.to) })
}
