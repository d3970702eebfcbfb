package soaker

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"snipedyke/platform/standin"
)

// The limits that all nodes share. The manifest and the settings of the nodes state
// them.
const (
	// Together, all nodes may send a cold server coldFactor times the rate that it
	// tolerates and coldSlack more requests in any coldWindow.
	coldFactor = 1.5
	coldSlack  = 5
	coldWindow = time.Second
	// noticeBound is the time after the store has acknowledged that a server is cold in
	// which the limit does not apply yet.
	noticeBound = time.Second
	// A service may get retryRatio times its requests and retrySlack further arrivals in
	// any retryWindow.
	retryWindow = 10 * time.Second
	retryRatio  = 0.2
	retrySlack  = 52
)

// MarkCold records that the store has acknowledged just now that an endpoint is cold
// until the given time.
func (h *History) MarkCold(id string, until time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.cold[id] = append(h.cold[id], period{time.Now().Add(noticeBound), until})
}

// MarkStoreFault records that a node may not learn what the store says from now on
// until the given time. It includes MarkDisturbed.
func (h *History) MarkStoreFault(node int, until time.Time) {
	h.MarkDisturbed(node, until)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.storeFaults[node] = append(h.storeFaults[node], period{time.Now(), until.Add(recoveryTime)})
}

// contains reports whether one of the periods contains a time.
func contains(periods []period, at time.Time) bool {
	return slices.ContainsFunc(periods, func(p period) bool { return !at.Before(p.from) && at.Before(p.to) })
}

// Peaks states how near a test has come to the limits that all nodes share.
type Peaks struct {
	// Cold is the highest number of requests that a cold server got in coldWindow.
	Cold int
	// Repeats is the number of further arrivals in the retryWindow that had the most
	// in proportion to AllowedRepeats.
	Repeats        int
	AllowedRepeats float64
}

// checkCold returns a violation for each endpoint that got too many requests in a
// coldWindow while it was cold. Requests that are for another endpoint do not count,
// nor those of nodes that a fault of the store affects. A node that was killed reads
// the store before it serves, so its requests count. The caller holds mu.
func (h *History) checkCold() []string {
	arrivals := map[string][]standin.Arrival{}
	for _, a := range h.arrivals {
		o, known := h.outcomes[a.Request]
		if known && !a.Misdirected && contains(h.cold[a.Server], a.At) && !contains(h.storeFaults[o.node], a.At) {
			arrivals[a.Server] = append(arrivals[a.Server], a)
		}
	}
	limit := h.coldRate*coldFactor + coldSlack
	var violations []string
	for _, server := range slices.Sorted(maps.Keys(arrivals)) {
		list := arrivals[server]
		slices.SortFunc(list, func(a, b standin.Arrival) int { return a.At.Compare(b.At) })
		first, last := 0, -1
		for i, j := 0, 0; i < len(list); i++ {
			for list[i].At.Sub(list[j].At) >= coldWindow {
				j++
			}
			if i-j > last-first {
				first, last = j, i
			}
		}
		count := last - first + 1
		h.peaks.Cold = max(h.peaks.Cold, count)
		if float64(count) > limit {
			violations = append(violations, fmt.Sprintf("FAILBACK: cold %s got %d requests in a second from %s on, at most %v may reach it; by node: %v",
				server, count, list[first].At.Format(clock), limit, h.countNodes(list[first:last+1])))
		}
	}

	return violations
}

// clock is the layout of times in logs and violations.
const clock = "15:04:05.000"

// countNodes returns the number of arrivals that came from each node. The caller holds mu.
func (h *History) countNodes(arrivals []standin.Arrival) map[int]int {
	counts := map[int]int{}
	for _, a := range arrivals {
		counts[h.outcomes[a.Request].node]++
	}

	return counts
}

// checkRetries returns a violation if endpoints got more arrivals beyond the first of
// each request than the retry budget in a retryWindow. It names the worst window of
// those that begin or end with such an arrival. No fault is an excuse. The caller holds mu.
func (h *History) checkRetries() []string {
	arrivals := slices.SortedFunc(slices.Values(h.arrivals), func(a, b standin.Arrival) int { return a.At.Compare(b.At) })
	seen := map[string]bool{}
	var repeats []standin.Arrival
	for _, a := range arrivals {
		if seen[a.Request] {
			repeats = append(repeats, a)
		}
		seen[a.Request] = true
	}
	sent := make([]time.Time, 0, len(h.outcomes))
	for _, o := range h.outcomes {
		sent = append(sent, o.sent)
	}
	slices.SortFunc(sent, time.Time.Compare)
	index := func(at time.Time) int {
		i, _ := slices.BinarySearchFunc(repeats, at, func(a standin.Arrival, at time.Time) int { return a.At.Compare(at) })

		return i
	}
	worst, use := "", 0.0
	check := func(from, to time.Time) {
		window := repeats[index(from):index(to)]
		requests := max(countTimes(sent, from, to), countTimes(sent, from.Add(-retryWindow), from),
			countTimes(sent, from.Add(-retryWindow/2), to.Add(-retryWindow/2)))
		allowed := retryRatio*float64(requests) + retrySlack
		if float64(len(window))/allowed > use {
			use, h.peaks.Repeats, h.peaks.AllowedRepeats = float64(len(window))/allowed, len(window), allowed
			worst = fmt.Sprintf("BUDGET: %d repeats in %s from %s on, %.1f are allowed with %d requests; by node: %v",
				len(window), retryWindow, from.Format(clock), allowed, requests, h.countNodes(window))
		}
	}
	for _, a := range repeats {
		check(a.At, a.At.Add(retryWindow))
		// The window must contain the arrival with which it ends.
		end := a.At.Add(time.Nanosecond)
		check(end.Add(-retryWindow), end)
	}
	if use <= 1 {
		return nil
	}

	return []string{worst}
}

// countTimes returns the number of ascending times from one time until before another.
func countTimes(times []time.Time, from, to time.Time) int {
	first, _ := slices.BinarySearchFunc(times, from, time.Time.Compare)
	last, _ := slices.BinarySearchFunc(times, to, time.Time.Compare)

	return last - first
}
