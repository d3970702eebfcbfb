package admitter

import "time"

// durationWeight is the weight of a new sample in the mean and in its deviation.
// Requests vary more than the load does, so it is small.
const durationWeight = 1.0 / 16

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
	d.deviation += time.Duration(durationWeight * float64((took-d.mean).Abs()-d.deviation))
	d.mean += time.Duration(durationWeight * float64(took-d.mean))
}

// Estimate returns the mean plus a number of mean deviations.
func (d *Duration) Estimate(deviations int) time.Duration {
	return d.mean + time.Duration(deviations)*d.deviation
}
