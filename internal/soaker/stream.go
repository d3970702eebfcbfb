package soaker

import (
	"fmt"
	"slices"
	"time"

	"snipedyke/platform/standin"
)

// attempt is an attempt to receive a stream that can be taken up.
type attempt struct {
	id string
	// after is the number of the last event of the attempts before, or zero.
	after  int
	events []standin.Event
	// complete reports whether the answer ended as complete.
	complete       bool
	withRevokedKey bool
	// undisturbed reports whether no fault has affected the node for recoveryTime
	// before the attempt, nor during it.
	undisturbed bool
	sent, ended time.Time
	node        int
}

// serviceTime is the time for which an endpoint serves.
type serviceTime struct {
	version string
	// from is the time when the endpoint was registered, and to the time from which
	// it leaves or has crashed, or zero.
	from, to time.Time
	// outages are the periods in which it may fail requests.
	outages []period
}

// MarkServing records that an endpoint of a software version is registered now.
func (h *History) MarkServing(id, version string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.services[id] = &serviceTime{version: version, from: time.Now()}
}

// MarkUnusable records that an endpoint may fail requests from now on for a time.
func (h *History) MarkUnusable(id string, length time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	h.services[id].outages = append(h.services[id].outages, period{now, now.Add(length)})
}

// MarkEnding records that an endpoint leaves or crashes now.
func (h *History) MarkEnding(id string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.services[id].to = time.Now()
}

// addAttempt records an attempt to receive a stream when it has ended. The stream
// is named after its first attempt.
func (h *History) addAttempt(stream string, a attempt) {
	h.mu.Lock()
	defer h.mu.Unlock()
	a.undisturbed = a.sent.Sub(h.disturbedUntil[a.node]) > recoveryTime
	h.streams[stream] = append(h.streams[stream], a)
}

// checkEvents returns what is wrong with the events of an answer to an attempt
// after an event, or an empty string.
func checkEvents(id string, after int, events []standin.Event, complete bool) string {
	for i, e := range events {
		switch {
		case e.Version != events[0].Version:
			return fmt.Sprintf("%s holds event %d of version %s after events of version %s", id, e.Number, e.Version, events[0].Version)
		case e.Number != after+i+1:
			return fmt.Sprintf("%s holds event %d where %d is due", id, e.Number, after+i+1)
		case e.Request != id:
			return fmt.Sprintf("%s holds event %d of %s", id, e.Number, e.Request)
		}
	}
	if complete && after+len(events) != standin.Events {
		return fmt.Sprintf("%s ends as complete after event %d", id, after+len(events))
	}

	return ""
}

// checkStreams returns a violation for each attempt that goes on with a stream at
// another software version or another event than its next one. The caller holds mu.
func (h *History) checkStreams() []string {
	var violations []string
	for stream, attempts := range h.streams {
		var began standin.Event
		last := 0
		for _, a := range attempts {
			for i, e := range a.events {
				if began.Version == "" {
					began = e
				}
				// Within an answer, checkEvents has compared the events.
				if i == 0 && e.Version != began.Version {
					violations = append(violations, fmt.Sprintf("ORDER: stream %s began at version %s and goes on with event %d of version %s, answer to %s from node %d", stream, began.Version, e.Number, e.Version, a.id, a.node))
				}
				if i == 0 && e.Number != last+1 {
					violations = append(violations, fmt.Sprintf("ORDER: stream %s goes on with event %d after event %d, answer to %s from node %d", stream, e.Number, last, a.id, a.node))
				}
				last = e.Number
			}
		}
	}

	return violations
}

const (
	// minTakeUps is the minimum number of take-ups of which a share must go on:
	// minShare of the share of new streams that begin.
	minTakeUps = 12
	minShare   = 0.5
	// minServing is the minimum number of usable endpoints of the version that a
	// stream needs to go on.
	minServing = 2
)

// TakeUps holds the numbers of new streams and take-ups at undisturbed nodes, and of
// those that bring an event. Take-ups count while minServing endpoints can serve
// them.
type TakeUps struct{ New, Began, Taken, WentOn int }

// TakeUps counts the new streams and take-ups.
func (h *History) TakeUps() TakeUps {
	h.mu.Lock()
	defer h.mu.Unlock()

	return h.countTakeUps()
}

func (h *History) countTakeUps() TakeUps {
	var t TakeUps
	for _, attempts := range h.streams {
		for i, a := range attempts {
			brought := min(len(a.events), 1)
			switch {
			case !a.undisturbed || a.withRevokedKey:
			case i == 0:
				t.New++
				t.Began += brought
			case h.serving(attempts[0].events[0].Version, a.sent, a.ended) >= minServing:
				t.Taken++
				t.WentOn += brought
			}
		}
	}

	return t
}

// serving returns the number of endpoints of a version, or of any if it is empty, that
// nodes must know and that can run requests between two times. The caller holds mu.
func (h *History) serving(version string, from, to time.Time) int {
	count := 0
	for id, s := range h.services {
		known := (s.version == version || version == "") && from.Sub(s.from) > drainBound && (s.to.IsZero() || s.to.After(to))
		if known && !slices.ContainsFunc(h.unusable(id), func(p period) bool { return p.overlaps(from, to) }) {
			count++
		}
	}

	return count
}

// checkTakeUps returns a violation if too few of the streams that callers take up go
// on. The caller holds mu.
func (h *History) checkTakeUps() []string {
	t := h.countTakeUps()
	if t.Taken < minTakeUps || float64(t.WentOn)*float64(t.New) >= minShare*float64(t.Began)*float64(t.Taken) {
		return nil
	}

	return []string{fmt.Sprintf("LOST: %d of %d streams that were taken up went on, while %d of %d new ones began", t.WentOn, t.Taken, t.Began, t.New)}
}
