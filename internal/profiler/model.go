// Package profiler learns how long engines take to the first token of a
// request, and by which factor each endpoint differs from a typical one of its
// service.
package profiler

import (
	"math"
	"time"
)

// Load is the state of an engine when a request is sent to it.
type Load struct {
	// Tokens is the number of prompt tokens to prefill before the first token of
	// the request, including its own.
	Tokens float64
	// Running is the number of requests at the engine, including this one.
	Running int
}

// The terms of a model.
const (
	termBase = iota
	termToken
	termRunning
	termCount
)

// initialTerms holds the initial base time, time per prompt token and time per
// running request in milliseconds. They are below the speed of common engines,
// so that the first burst after a start does not overload an engine.
var initialTerms = [termCount]float64{termBase: 30, termToken: 1.0 / 25, termRunning: 0.3}

// initialVariance holds the variances of the logarithms of the initial terms.
var initialVariance = [termCount]float64{termBase: 0.6, termToken: 0.6, termRunning: 0.6}

const (
	// sampleVariance is the variance of the logarithm of one time to the first
	// token, without outliers.
	sampleVariance = 0.05
	// termDrift is the variance that is added to the logarithm of each term per
	// sample. The weight of a sample then tends to about 0.08, which forgets half
	// within nine samples.
	termDrift = 3e-4
	// outlierDeviations is the number of standard deviations at which a residual
	// is clipped.
	outlierDeviations = 1.3
	// maxTermLog bounds the logarithm of the ratio of a term to its initial
	// value.
	maxTermLog = 4.0
	// minAveragingWeight is the minimum weight of a sample in the mean slowness.
	minAveragingWeight = 0.02
)

// Model estimates the time to the first token at an endpoint of typical speed
// as the sum of a constant, a time per token to prefill and a time per running
// request. The zero value is a conservative estimate, not one that admits
// everything.
//
// It applies an extended Kalman filter to the logarithms of the three terms, so
// that they stay positive and errors count by their ratio.
type Model struct {
	// logs holds the logarithm of the ratio of each term to its initial value.
	logs [termCount]float64
	// covariance is the covariance matrix of logs. It is valid if samples is
	// above 0.
	covariance [termCount][termCount]float64
	samples    int
	// meanSlowness is the moving average of the logarithms of the slowness of
	// the endpoints that samples come from. Only the difference from it is divided
	// out of a sample: otherwise an error common to all endpoints would add up,
	// because the slowness is itself measured against the model.
	meanSlowness float64
}

// term returns a term in milliseconds.
func (m *Model) term(i int) float64 { return initialTerms[i] * math.Exp(m.logs[i]) }

// expect returns the expected time in milliseconds and the share that each term
// has in it.
func (m *Model) expect(l Load) (total float64, shares [termCount]float64) {
	amounts := [termCount]float64{termBase: 1, termToken: max(l.Tokens, 0), termRunning: float64(max(l.Running, 0))}
	for i, amount := range amounts {
		shares[i] = amount * m.term(i)
		total += shares[i]
	}
	for i := range shares {
		shares[i] /= total
	}

	return total, shares
}

// Expect returns the expected time to the first token at a typical endpoint.
func (m *Model) Expect(l Load) time.Duration {
	total, _ := m.expect(l)

	return milliseconds(total)
}

// PrefillTime returns the time that a typical endpoint takes to prefill a number
// of tokens.
func (m *Model) PrefillTime(tokens float64) time.Duration {
	return milliseconds(max(tokens, 0) * m.term(termToken))
}

func milliseconds(x float64) time.Duration { return time.Duration(x * float64(time.Millisecond)) }

// Record records the time to the first token of a request at an endpoint with
// the given slowness. Residuals are clipped, so that outliers have little
// effect. Requests that found all slots taken must not be recorded, because the
// model does not cover the wait for a slot.
func (m *Model) Record(l Load, wait time.Duration, slowness float64) {
	if wait <= 0 || slowness <= 0 {
		return
	}
	if m.samples == 0 {
		for i, v := range initialVariance {
			m.covariance[i][i] = v
		}
	}
	m.samples++
	relative := math.Log(slowness)
	m.meanSlowness += max(1/float64(m.samples), minAveragingWeight) * (relative - m.meanSlowness)
	total, shares := m.expect(l)
	var cross [termCount]float64
	variance := sampleVariance
	for i := range cross {
		for j, share := range shares {
			cross[i] += m.covariance[i][j] * share
		}
		variance += cross[i] * shares[i]
	}
	residual := math.Log(float64(wait)/float64(time.Millisecond)/total) - (relative - m.meanSlowness)
	residual = Bound(residual, outlierDeviations*math.Sqrt(variance))
	for i := range m.logs {
		m.logs[i] = Bound(m.logs[i]+cross[i]/variance*residual, maxTermLog)
		for j := range cross {
			m.covariance[i][j] -= cross[i] * cross[j] / variance
		}
		// Terms that the samples do not determine stay as uncertain as at first.
		m.covariance[i][i] = min(m.covariance[i][i]+termDrift, initialVariance[i])
	}
}
