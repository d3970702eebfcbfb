package scheduler

import "math"

const (
	// bucketCount is the number of buckets of a histogram. Two buckets span an
	// octave, so they cover values up to 2^23: tokens, or milliseconds up to
	// 2.3 h.
	bucketCount = 46
	// decay is the factor per value by which older values lose weight, so that
	// about the last 500 count.
	decay = 1 - 1.0/500
)

// histogram is an exponentially decaying histogram of positive values with a
// bucket for each half octave.
type histogram struct {
	counts [bucketCount]float32
	weight float64
	sum    float64
	n      int
}

func bucket(x float64) int {
	if x < 1 {
		return 0
	}

	return min(int(2*math.Log2(x)), bucketCount-1)
}

// bucketMiddles holds the geometric mean of each bucket's bounds.
var bucketMiddles = func() (m [bucketCount]float64) {
	for i := range m {
		m[i] = math.Exp2((float64(i) + 0.5) / 2)
	}

	return m
}()

// add records a value.
func (e *histogram) add(x float64) {
	if e.n++; e.n%32 == 0 {
		// The decay is applied once per 32 values to avoid a pass over all
		// buckets for each value.
		f := math.Pow(decay, 32)
		for i := range e.counts {
			e.counts[i] *= float32(f)
		}
		e.weight *= f
		e.sum *= f
	}
	e.counts[bucket(x)]++
	e.weight++
	e.sum += x
}

// mean returns the mean, or def if there are no values.
func (e *histogram) mean(def float64) float64 {
	if e.weight == 0 {
		return def
	}

	return e.sum / e.weight
}

// meanRest returns the expected remainder of a value that has reached x, which is
// x/2 if the histogram has no greater values, or at least def-x if it has none at
// all.
func (e *histogram) meanRest(x, def float64) float64 {
	if e.weight == 0 {
		return max(def-x, x/2)
	}
	from := 0
	if x >= 1 {
		from = bucket(x) + 1
	}
	var weight, sum float64
	for i := from; i < bucketCount; i++ {
		weight += float64(e.counts[i])
		sum += float64(e.counts[i]) * bucketMiddles[i]
	}
	if weight < 0.5 {
		return x / 2
	}

	return sum/weight - x
}

// quantile returns the q-quantile of the values, or zero if there are none.
func (e *histogram) quantile(q float64) float64 {
	left := q * e.weight
	for i, c := range e.counts {
		n := float64(c)
		if n > 0 && left <= n {
			return math.Exp2((float64(i) + left/n) / 2)
		}
		left -= n
	}

	return 0
}
