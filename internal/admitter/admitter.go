// Package admitter decides which requests an engine takes on.
//
// It answers the load pattern of a burst above capacity: without a bound, the
// queues of the engines grow until every first token is late, and an engine
// that reads one prompt after another makes the pauses of all its streams too
// long. The admitter keeps what an engine has yet to read so small that first
// tokens and pauses stay in time, and has the rest refused at once.
package admitter

import "time"

const (
	// targetShare is the part of the target that reading may take. The rest
	// covers the way and the steps of the requests that run.
	targetShare = 0.6
	// gapShare is the part of the longest pause that reading without a rest may
	// take.
	gapShare = 0.8
	// slotShare is the part of the target that the wait for a slot may take.
	slotShare = 0.5
	// stayWeight is the weight of a new time in the mean.
	stayWeight = 0.05
	// leastSample is the number of prompt tokens from which the time to the
	// first token shows the speed of reading.
	leastSample = 1500
	// decline is the part by which a slower sample lowers the speed. Samples
	// are slow for many reasons and fast for one.
	decline = 0.05
)

// Reader estimates how fast the engines of a service read prompts. The zero
// value knows nothing and takes everything on.
type Reader struct {
	// speed is in tokens by second.
	speed float64
	// stay is the moving mean of the time that a request runs.
	stay time.Duration
}

// Note takes the time to the first token of a request, in which its engine has
// read a number of tokens.
func (r *Reader) Note(unread float64, wait time.Duration) {
	if unread < leastSample || wait <= 0 {
		return
	}
	sample := unread / wait.Seconds()
	if sample > r.speed {
		r.speed = sample
	} else {
		r.speed += decline * (sample - r.speed)
	}
}

// Stay notes how long a request has run.
func (r *Reader) Stay(took time.Duration) {
	if r.stay == 0 {
		r.stay = took
	}
	r.stay += time.Duration(stayWeight * float64(took-r.stay))
}

// HasSlot tells whether an engine with a number of running requests has a slot
// for another one in time. An engine starts no more than slots requests; the
// next ones wait for the end of one.
func (r *Reader) HasSlot(running, slots int, target time.Duration) bool {
	if slots <= 0 || running < slots {
		return true
	}
	free := r.stay / time.Duration(slots)

	return time.Duration(running-slots+1)*free <= time.Duration(slotShare*float64(target))
}

// Wait returns how long an engine needs to read tokens, or zero if the speed is
// not known.
func (r *Reader) Wait(unread float64) time.Duration {
	if r.speed == 0 {
		return 0
	}

	return time.Duration(unread / r.speed * float64(time.Second))
}

// Admit tells whether an engine with unread tokens takes another request on,
// so that it gets its first token within the target. gap, if it is not zero, is
// the longest pause that the streams of the engine bear.
func (r *Reader) Admit(unread float64, target, gap time.Duration) bool {
	bound := time.Duration(targetShare * float64(target))
	if gap > 0 {
		bound = min(bound, time.Duration(gapShare*float64(gap)))
	}

	return r.Wait(unread) <= bound
}
