package admitter

import "time"

// The weights of a new sample in the mean and in its deviation, as in the estimate
// of round-trip times of RFC 6298.
const (
	meanWeight      = 1.0 / 8
	deviationWeight = 1.0 / 4
)

// Duration estimates how long requests of one kind take. The estimate of the zero
// value is zero.
type Duration struct {
	mean, deviation time.Duration
}

// Record records how long a request has taken.
func (d *Duration) Record(took time.Duration) {
	if d.mean == 0 {
		d.mean, d.deviation = took, took/2

		return
	}
	d.deviation += time.Duration(deviationWeight * float64((took-d.mean).Abs()-d.deviation))
	d.mean += time.Duration(meanWeight * float64(took-d.mean))
}

// Estimate returns the mean plus a number of mean deviations.
func (d *Duration) Estimate(deviations int) time.Duration {
	return d.mean + time.Duration(deviations)*d.deviation
}
