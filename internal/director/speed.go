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
	record := func(busy bool, sum encoder.SpeedSum) {
		if sum.Samples > 0 {
			e.observed.speed.Record(now, busy, sum.Samples, float64(sum.Log)/encoder.LogUnits)
		}
	}
	record(false, o.Light)
	record(true, o.Busy)
}

// setSlowness sets the slowness of the engines of a service, relative to their mean. What
// is common to all of them is an error of the nodes' models, which learn it themselves.
func (d *Director) setSlowness(now time.Time, s *service, slots int) {
	if !d.opts.Speeds || len(s.endpoints) == 0 {
		return
	}
	sum := 0.0
	for _, e := range s.endpoints {
		slowness := chooser.Slowness{
			Light: e.observed.speed.Slowness(now, false), Busy: e.observed.speed.Slowness(now, true), BusyFrom: slots / 2,
		}
		e.load.Slowness = slowness
		sum += math.Log(slowness.Factor(e.load.Running()))
	}
	mean := math.Exp(sum / float64(len(s.endpoints)))
	for _, e := range s.endpoints {
		e.load.Slowness.Light /= mean
		e.load.Slowness.Busy /= mean
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

// prefillTime returns the time that an engine is expected to take to prefill a number of
// tokens.
func (d *Director) prefillTime(s *service, e *endpoint, tokens float64) time.Duration {
	if !d.opts.Speeds {
		return s.estimator.PrefillTime(tokens)
	}

	return time.Duration(e.load.Slowness.Factor(e.load.Running()) * float64(s.model.PrefillTime(tokens)))
}

// prefillsInTime reports whether an engine on which a number of prompt tokens wait for
// prefill meets the first-token target of a request with a prompt of own tokens, and the
// maximum gap between tokens if that is not zero. Of the waiting tokens, only the part
// that is at least as urgent as the priority delays the first token.
func (d *Director) prefillsInTime(s *service, e *endpoint, priority int, pending, own float64, target, gap time.Duration) bool {
	if !d.opts.Speeds {
		return s.estimator.Admit(pending, target, gap)
	}
	if pending == 0 && e.load.Running() == 0 {
		// The model learns only from requests that are admitted, and may be too slow.
		return true
	}
	m, slowness := &s.model, e.load.Slowness.Factor(e.load.Running())
	ahead := profiler.Load{Tokens: pending * s.mix.ahead(priority), Running: e.load.Running() + 1}
	pendingTime := slowness * float64(m.Expect(ahead))
	ownTime := slowness * float64(m.PrefillTime(own))
	if gap > 0 && slowness*float64(m.PrefillTime(pending)) > pauseShare*float64(gap) {
		return false
	}

	return pendingTime+min(ownTime, maxOwnShare*float64(target)) <= firstTokenShare*float64(target)
}

// mixDecay is the time constant with which the mix of priorities is forgotten.
const mixDecay = 2 * time.Second

// mix holds decayed sums of the prompt tokens of a service's requests by priority. The zero
// value is empty.
type mix struct {
	tokens  [maxUrgencyRank + 1]float64
	updated time.Time
}

// record adds the prompt of a request.
func (m *mix) record(now time.Time, priority int, tokens float64) {
	decay := 0.0
	if !m.updated.IsZero() {
		decay = math.Exp(-now.Sub(m.updated).Seconds() / mixDecay.Seconds())
	}
	for i := range m.tokens {
		m.tokens[i] *= decay
	}
	m.updated = now
	m.tokens[min(max(priority, 0), maxUrgencyRank)] += tokens
}

// ahead returns the part of the tokens whose requests are at least as urgent as those of a
// priority: engines take more urgent requests first.
func (m *mix) ahead(priority int) float64 {
	ahead, total := 0.0, 0.0
	for i, tokens := range m.tokens {
		total += tokens
		if i <= priority {
			ahead += tokens
		}
	}
	if total == 0 {
		return 1
	}

	return ahead / total
}
