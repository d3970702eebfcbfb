package profiler

import (
	"math"
	"time"
)

const (
	// maxLog bounds log ratios and the slowness, to a factor of 4 either way.
	maxLog = 2 * math.Ln2
	// maxDeviation bounds the difference of the mean of new samples from the
	// estimate, as a logarithm, so that outliers move it little.
	maxDeviation = 0.7
	// forgettingTime is the time constant with which older samples lose weight,
	// and sampleWeightKept is the minimum weight that they keep per new sample:
	// at fewer than five samples per second, the estimate covers about as many
	// samples as at five.
	forgettingTime   = time.Second
	sampleWeightKept = 0.82
	// priorWeight is the number of samples that the initial estimate counts for:
	// typical for a light endpoint, and the light estimate for a busy one.
	priorWeight = 0.5
	// halfLife is the time in which the slowness of an endpoint without
	// measurements halves, so that one that has recovered is tried again.
	halfLife = 4 * time.Second
	// fadeDelay is the time after a measurement from which its effect fades.
	fadeDelay = time.Second
)

// Bound returns x, limited to the range from -limit to limit.
func Bound(x, limit float64) float64 { return min(max(x, -limit), limit) }

// Fade returns what is left of a value that was measured a time ago and is to
// be forgotten with a half-life. It does not change within the first second.
func Fade(x float64, age, halfLife time.Duration) float64 {
	if age <= fadeDelay {
		return x
	}

	return x * math.Exp2(-float64(age)/float64(halfLife))
}

// LogRatio returns the bounded logarithm of the ratio of measured to expected
// time, or 0 if one of them is not positive.
func LogRatio(measured, expected time.Duration) float64 {
	if measured <= 0 || expected <= 0 {
		return 0
	}

	return Bound(math.Log(float64(measured)/float64(expected)), maxLog)
}

// Speed is the learned slowness of one endpoint relative to its service, by
// occupancy: below half of its slots (light) and above (busy). The zero value
// is typical.
type Speed struct {
	light, busy estimate
}

// estimate is a moving average of log ratios. The zero value has no samples.
type estimate struct {
	// log is the average, and weight is the number of samples that it stands for,
	// at the time of the last sample.
	log, weight float64
	at          time.Time
}

// value returns the average, which fades towards the prior.
func (e *estimate) value(now time.Time, prior float64) float64 {
	if e.weight == 0 {
		return prior
	}

	return prior + Fade(e.log-prior, now.Sub(e.at), halfLife)
}

// record adds samples with the given mean.
func (e *estimate) record(now time.Time, prior, samples, mean float64) {
	age := max(now.Sub(e.at), 0)
	kept := max(math.Exp(-float64(age)/float64(forgettingTime)), math.Pow(sampleWeightKept, samples))
	e.log = e.value(now, prior)
	e.weight = e.weight*Fade(kept, age, halfLife) + samples
	e.log += Bound(mean-e.log, maxDeviation) * samples / (e.weight + priorWeight)
	if age > 0 {
		e.at = now
	}
}

// Record records samples of this node or another one. logSum is the sum of
// their log ratios.
func (s *Speed) Record(now time.Time, busy bool, samples int, logSum float64) {
	if samples <= 0 {
		return
	}
	n := float64(samples)
	if busy {
		s.busy.record(now, s.light.value(now, 0), n, logSum/n)
	} else {
		s.light.record(now, 0, n, logSum/n)
	}
}

// Slowness returns the factor by which requests take longer than at a typical
// endpoint. With few samples of a busy endpoint, it is that of a light one.
func (s *Speed) Slowness(now time.Time, busy bool) float64 {
	value := s.light.value(now, 0)
	if busy {
		value = s.busy.value(now, value)
	}

	return math.Exp(Bound(value, maxLog))
}
