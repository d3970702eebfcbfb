package chooser

import (
	"slices"
	"time"
)

const (
	// slowPace is the ratio to the usual pace from which an engine counts as
	// slow: it is read beside streams that the same prompt leaves in time
	// elsewhere.
	slowPace = 1.15
	// usualShare is the share of the engines that are at least as fast as the
	// usual pace.
	usualShare = 0.25
	// paceWindow is the span whose least sample counts, with that of the span
	// before. It is long enough for a moment without prompts to read.
	paceWindow = 20 * time.Second
	// paceNews is how long a node tells others of a sample.
	paceNews = time.Second
)

// pace is the least gap between events of an engine's streams, which shows the
// speed of its steps while it reads no prompt.
type pace struct {
	// own is from the node's own requests, others from those of other nodes.
	// Zero is unknown.
	own, others time.Duration
	// current is the least sample since started, and former that of the window
	// before.
	current, former  time.Duration
	started, sampled time.Time
}

// NotePace takes the pace of a stream.
func (e *Engine) NotePace(now time.Time, sample time.Duration) {
	p := &e.pace
	if now.Sub(p.started) >= paceWindow {
		p.former, p.current, p.started = p.current, 0, now
	}
	p.current = lower(p.current, sample)
	p.own, p.sampled = lower(p.current, p.former), now
}

// HearPace takes the pace that other nodes have seen.
func (e *Engine) HearPace(others time.Duration) { e.pace.others = others }

// OwnPace returns the pace that the node has seen of late, or zero.
func (e *Engine) OwnPace(now time.Time) time.Duration {
	if e.pace.sampled.IsZero() || now.Sub(e.pace.sampled) > paceNews {
		return 0
	}

	return e.pace.own
}

// lower returns the lower of two paces that are known, where zero is not.
func lower(a, b time.Duration) time.Duration {
	if a == 0 || b > 0 && b < a {
		return b
	}

	return a
}

// known returns the pace, or zero.
func (p pace) known() time.Duration { return lower(p.own, p.others) }

// slow tells whether an engine is slower than others.
func (p pace) slow(usual time.Duration) bool {
	return usual > 0 && float64(p.known()) > slowPace*float64(usual)
}

// usualPace returns the pace that engines are compared with, or zero if none is
// known.
func usualPace(engines []*Engine) time.Duration {
	paces := make([]time.Duration, 0, len(engines))
	for _, e := range engines {
		if p := e.pace.known(); p > 0 {
			paces = append(paces, p)
		}
	}
	if len(paces) == 0 {
		return 0
	}
	slices.Sort(paces)

	return paces[int(usualShare*float64(len(paces)))]
}
