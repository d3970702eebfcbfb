package placer

import (
	"math"
	"time"

	"snipedyke/internal/profiler"
)

const (
	// defaultQueueWeight is the fraction of a first-token time that each request
	// that still waits for its first token is assumed to add to the next one,
	// until there are measurements of the class. It would be 1 if an engine
	// handled prompts one after the other, and 0 if requests did not slow each
	// other down.
	defaultQueueWeight = 0.5
	maxQueueWeight     = 1.5
	// queueWeightGain is the weight of one measurement in a class's queue weight.
	queueWeightGain = 0.05
	// slowFactor is the ratio of measured to expected first-token time above
	// which an endpoint counts as cold.
	slowFactor = 3
	// slowStreakLimit is the number of slow first tokens in a row that make an
	// endpoint cold; a single one may be due to a long prompt. One that takes
	// this many times the slow limit is enough, because a slow endpoint gets few
	// requests.
	slowStreakLimit = 2
	// spreadFactor widens the slow limit for classes whose first-token times vary
	// much, so that long prompts are not taken for cold starts.
	spreadFactor = 4
	// initialSpread is the spread that is assumed of a new class.
	initialSpread = 0.3
	// maxError limits how far one measurement moves an estimate, as a natural
	// logarithm; it corresponds to a factor of two.
	maxError = 0.7
	// speedGain is the minimum weight of one measurement in an endpoint's
	// slowness, and the weight of one in its token gap.
	speedGain = 0.25
	// minBaselineGain is the minimum weight of one measurement in a class's
	// baseline.
	minBaselineGain = 1.0 / 256
	// minSamples is the number of measurements after which a class's baseline is
	// trusted. With 8, the first requests of a new home made warm endpoints look
	// cold.
	minSamples = 32
	// slownessHalfLife is the time in which an unused endpoint's measured
	// slowness halves, so that one that has recovered is tried again.
	slownessHalfLife = 60 * time.Second
	// overdueSlack is added to the expected first-token time of a request in
	// progress, to allow for the time that its report takes to reach the home.
	overdueSlack = 300 * time.Millisecond
)

// baseline is the estimate of a class's first-token times on an idle endpoint
// of typical speed. Times are natural logarithms of seconds.
type baseline struct {
	first  float64
	spread float64
	// queue is the class's queue weight.
	queue float64
	n     int
}

// queueFactor returns the factor by which waiting requests slow the next one.
func (b *baseline) queueFactor(pending float64) float64 { return 1 + b.queue*pending }

// speedEstimate is the measured slowness of an endpoint relative to its pool,
// as a natural logarithm, and its token gap.
type speedEstimate struct {
	first float64
	n     int
	at    time.Time
	// gap is the mean time between tokens in seconds, or zero if unknown.
	gap float64
}

// slowness returns the relative slowness, which decays while nothing is
// measured.
func (s *speedEstimate) slowness(now time.Time) float64 {
	if s.n == 0 {
		return 0
	}

	return profiler.Fade(s.first, now.Sub(s.at), slownessHalfLife)
}

// expectedFirstToken returns the expected first-token time in seconds of a
// request of the class on e with pending requests ahead of it, or zero if the
// class has no measurements.
func (p *Pool) expectedFirstToken(now time.Time, e *Endpoint, class string, pending float64) float64 {
	b := p.baselines[class]
	if b == nil || b.n == 0 {
		return 0
	}

	return math.Exp(b.first+e.speed.slowness(now)) * b.queueFactor(pending)
}

// slowLimit returns the first-token time in seconds above which a request
// counts as slow, or zero if there are too few measurements.
func (p *Pool) slowLimit(now time.Time, e *Endpoint, r *Run) float64 {
	b := p.baselines[r.Class]
	if b == nil || b.n < minSamples || e.speed.n < 2 {
		return 0
	}
	factor := max(slowFactor, math.Exp(spreadFactor*b.spread))

	return factor * p.expectedFirstToken(now, e, r.Class, r.pendingAtStart)
}

// coldLimit returns the first-token time in seconds above which a request on
// an endpoint that is not yet warm counts as slow: factor times what was
// normal when the endpoint was last warm. It returns zero if there are too few
// measurements.
func (p *Pool) coldLimit(e *Endpoint, r *Run, factor float64) float64 {
	b := p.baselines[r.Class]
	if b == nil || b.n < minSamples {
		return 0
	}

	return factor * math.Exp(b.first+e.warmSlowness) * b.queueFactor(r.pendingAtStart)
}

// learnFirstToken updates the estimates with a first-token time. Its steps are
// bounded, which tracks the median of the errors, so a few outliers have
// little effect.
func (p *Pool) learnFirstToken(now time.Time, e *Endpoint, r *Run) {
	if r.First <= 0 {
		return
	}
	b := p.baselines[r.Class]
	if b == nil {
		b = &baseline{queue: defaultQueueWeight, spread: initialSpread}
		p.baselines[r.Class] = b
	}
	factor := b.queueFactor(r.pendingAtStart)
	x := math.Log(r.First.Seconds() / factor)
	if b.n == 0 {
		b.first = x
	}
	slow := e.speed.slowness(now)
	deviation := x - b.first - slow
	step := profiler.Bound(deviation, maxError)
	gain := max(1/float64(b.n+1), minBaselineGain)
	if e.state == Cold && b.n >= minSamples {
		// Measurements during a cold start do not describe the class.
		gain = 0
	}
	b.n++
	b.first += step * gain
	if gain > 0 {
		b.queue += queueWeightGain * step * r.pendingAtStart / factor
		b.queue = min(max(b.queue, 0), maxQueueWeight)
	}
	b.spread += (math.Abs(step) - b.spread) * gain
	e.speed.n++
	e.speed.first = slow + step*max(1/float64(e.speed.n+1), speedGain)
	e.speed.at = now
}

// learnGap updates the mean time between tokens with that of a finished run.
func (e *Endpoint) learnGap(gap time.Duration) {
	if gap <= 0 {
		return
	}
	x := gap.Seconds()
	if e.speed.gap == 0 {
		e.speed.gap = x

		return
	}
	x = min(max(x, e.speed.gap/2), e.speed.gap*2)
	e.speed.gap += (x - e.speed.gap) * speedGain
}

// ExpectedFirstToken returns the expected first-token time of a class on an
// idle endpoint, or zero if it is not known.
func (p *Pool) ExpectedFirstToken(class string) time.Duration {
	b := p.baselines[class]
	if b == nil || b.n == 0 {
		return 0
	}

	return time.Duration(math.Exp(b.first) * float64(time.Second))
}
