package director

import (
	"math"
	"time"

	"snipedyke/internal/chooser"
	"snipedyke/internal/profiler"
	"snipedyke/pkg/encoder"
)

const (
	// firstTokenShare is the part of the first-token target that the expected time may
	// take. The rest covers the network.
	firstTokenShare = 0.9
	// maxOwnShare is the part of the target that the prefill of a request's own prompt
	// counts for at most. A longer prompt cannot be on time at any engine, and would
	// otherwise never be admitted.
	maxOwnShare = 0.5
	// pauseShare is the part of the maximum pause that uninterrupted prefill may take.
	pauseShare = 0.8
)

// speedSums holds measured times to the first token that the other nodes have not been
// told of.
type speedSums struct{ light, busy speedSum }

// speedSum is the number of times and the sum of their log ratios.
type speedSum struct {
	samples int
	log     float64
}

func (s *speedSum) take() encoder.SpeedSum {
	sum := encoder.SpeedSum{Samples: s.samples, Log: int(math.Round(encoder.LogUnits * s.log))}
	*s = speedSum{}

	return sum
}

// loadWith returns the load of an engine with a request that is placed there.
func (e *endpoint) loadWith(req *request) profiler.Load {
	return profiler.Load{Tokens: e.load.PrefillTokens() + req.Need.PrefillTokens(), Running: e.load.Running() + 1}
}

// isBusy reports whether at least half of an engine's slots are in use.
func isBusy(l profiler.Load, slots int) bool { return slots > 0 && 2*l.Running >= slots }

// recordFirstToken learns from the time to the first token of a request that was sent to
// an engine with a free slot. Otherwise the time includes the wait for a slot.
func (d *Director) recordFirstToken(now time.Time, req *request, wait time.Duration) {
	slots := d.slotsOf(req)
	if !d.opts.Speeds || slots > 0 && req.sentLoad.Running > slots {
		return
	}
	e, s := req.endpoint, req.service
	busy := isBusy(req.sentLoad, slots)
	ratio := profiler.LogRatio(wait, s.model.Expect(req.sentLoad))
	e.observed.speed.Record(now, busy, 1, ratio)
	s.model.Record(req.sentLoad, wait, e.observed.speed.Slowness(now, busy))
	sum := &e.observed.unreportedSpeeds.light
	if busy {
		sum = &e.observed.unreportedSpeeds.busy
	}
	sum.samples++
	sum.log += ratio
	d.markObserved(e)
}

// mergeSpeeds adds the times to the first token that other nodes have measured.
func (d *Director) mergeSpeeds(now time.Time, e *endpoint, o encoder.Observation) {
	if !d.opts.Speeds {
		return
	}
	for busy, sum := range map[bool]encoder.SpeedSum{false: o.Light, true: o.Busy} {
		if sum.Samples > 0 {
			e.observed.speed.Record(now, busy, sum.Samples, float64(sum.Log)/encoder.LogUnits)
		}
	}
}

// slowness returns the learned slowness of an engine.
func (d *Director) slowness(now time.Time, e *endpoint, slots int) chooser.Slowness {
	if !d.opts.Speeds {
		return chooser.Slowness{}
	}

	return chooser.Slowness{
		Light: e.observed.speed.Slowness(now, false), Busy: e.observed.speed.Slowness(now, true), BusyFrom: slots / 2,
	}
}

// slotsOf returns the maximum batch size of the engines for a request, or zero if it is
// not known.
func (d *Director) slotsOf(req *request) int {
	if engine := d.engineOf(req); engine != nil {
		return engine.Slots
	}

	return 0
}

// prefillsInTime reports whether an engine meets the first-token target of a request, and
// its maximum pause if that is not zero. extra is the number of prompt tokens to prefill
// besides those that wait at the engine.
func (d *Director) prefillsInTime(req *request, e *endpoint, extra float64, target, gap time.Duration) bool {
	pending := e.load.PrefillTokens() + extra
	if !d.opts.Speeds {
		return req.service.estimator.Admit(pending, target, gap)
	}
	m, slowness := &req.service.model, e.load.Slowness.Factor(e.load.Running())
	pendingTime := slowness * float64(m.Expect(profiler.Load{Tokens: pending, Running: e.load.Running() + 1}))
	ownTime := slowness * float64(m.PrefillTime(req.Need.PrefillTokens()))
	if gap > 0 && slowness*float64(m.PrefillTime(pending)) > pauseShare*float64(gap) {
		return false
	}

	return pendingTime+min(ownTime, maxOwnShare*float64(target)) <= firstTokenShare*float64(target)
}
