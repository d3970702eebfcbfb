// Package admitter decides whether an engine may take another request.
//
// It handles bursts above capacity. Without a bound the queues of the engines
// grow until every first token is late, and an engine that prefills one prompt
// after another makes the gaps between the tokens of its streams too long. The
// admitter bounds the prompt tokens that wait for prefill at an engine, so that
// first tokens and gaps stay within their targets; other requests are refused at
// once.
package admitter

import "time"

const (
	// prefillShare is the fraction of the first-token target that prefill may
	// take. The rest covers the network and the decode steps of the running
	// requests.
	prefillShare = 0.6
	// gapShare is the fraction of the maximum gap between tokens that
	// uninterrupted prefill may take.
	gapShare = 0.8
	// slotWaitShare is the fraction of the first-token target that the wait for
	// a slot may take.
	slotWaitShare = 0.5
	// runTimeWeight is the weight of a new sample in the mean run time.
	runTimeWeight = 0.05
	// minSampleTokens is the number of prompt tokens from which the time to the
	// first token reflects the prefill rate.
	minSampleTokens = 1500
	// slowSampleWeight is the weight of a sample that is below the estimated
	// rate. A sample can be slow for many reasons, but is fast only if the
	// engine is, so a faster sample replaces the estimate at once.
	slowSampleWeight = 0.05
)

// Estimator estimates the prefill rate and the run time of requests at the
// engines of a service. The zero value has no estimates and admits every
// request.
type Estimator struct {
	// tokensPerSecond is the estimated prefill rate, or zero if it is unknown.
	tokensPerSecond float64
	// runTime is the exponential moving average of the run time of requests.
	runTime time.Duration
}

// RecordFirstToken records the time to the first token of a request, during
// which its engine prefilled the given number of tokens.
func (e *Estimator) RecordFirstToken(tokens float64, wait time.Duration) {
	if tokens < minSampleTokens || wait <= 0 {
		return
	}
	sample := tokens / wait.Seconds()
	if sample > e.tokensPerSecond {
		e.tokensPerSecond = sample
	} else {
		e.tokensPerSecond += slowSampleWeight * (sample - e.tokensPerSecond)
	}
}

// RecordRunTime records the run time of a request.
func (e *Estimator) RecordRunTime(took time.Duration) {
	if e.runTime == 0 {
		e.runTime = took
	}
	e.runTime += time.Duration(runTimeWeight * float64(took-e.runTime))
}

// HasSlot reports whether an engine with the given number of running requests
// has a free slot for another one, or is expected to free one in time for the
// target. An engine runs at most slots requests at once; more requests wait until
// one ends.
func (e *Estimator) HasSlot(running, slots int, target time.Duration) bool {
	if slots <= 0 || running < slots {
		return true
	}
	interval := e.runTime / time.Duration(slots)

	return time.Duration(running-slots+1)*interval <= time.Duration(slotWaitShare*float64(target))
}

// PrefillTime returns the expected prefill time of a number of tokens, or zero
// if the prefill rate is unknown.
func (e *Estimator) PrefillTime(tokens float64) time.Duration {
	if e.tokensPerSecond == 0 {
		return 0
	}

	return time.Duration(tokens / e.tokensPerSecond * float64(time.Second))
}

// Admit reports whether an engine on which a number of prompt tokens wait for
// prefill may take another request and still meet the first-token target. If gap
// is not zero, it is the maximum gap between tokens for the engine's streams.
func (e *Estimator) Admit(pending float64, target, gap time.Duration) bool {
	bound := time.Duration(prefillShare * float64(target))
	if gap > 0 {
		bound = min(bound, time.Duration(gapShare*float64(gap)))
	}

	return e.PrefillTime(pending) <= bound
}
