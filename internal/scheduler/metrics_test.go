package scheduler

import (
	"math"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// result holds the metrics of a simulation.
type result struct {
	// met is the part of each class that met its target, late those refused
	// or too late in the worst window of 10 s.
	met, worst map[string]float64
	offered    map[string]int
	// goodput is the number of useful tokens, or calls, per second.
	goodput float64
	wasted  float64
	// finished is the number of drafts that ended in time, and oldest the longest
	// time from a draft's arrival to its first token.
	finished int
	oldest   time.Duration
	// p95 is the 95th percentile of the time to the first token of chats.
	p95 time.Duration
	// dispatches is the mean number of dispatches per request.
	dispatches float64
	overshoot  int
}

// useful reports whether a request met its target.
func (r *request) useful() bool {
	c := r.load.class
	switch {
	case r.done.IsZero():
		return false
	case c.Batch:
		return r.deadline.IsZero() || !r.done.After(r.deadline)
	case r.first.Sub(r.arrived)+2*hopDelay > c.FirstToken:
		return false
	}

	return c.Gap == 0 || r.done.Sub(r.first) <= time.Duration(max(1, r.tokens)*float64(c.Gap))
}

// sum returns the metrics of the requests that arrived between two times.
func (sim *simulation) sum(from, to time.Duration) result {
	res := result{met: map[string]float64{}, worst: map[string]float64{}, offered: map[string]int{}, overshoot: sim.overshoot}
	type window struct{ met, all int }
	windows := map[string]map[int]*window{}
	var good, delivered, generated float64
	dispatches, offered := 0, 0
	var firsts []time.Duration
	for _, r := range sim.requests {
		at := r.arrived.Sub(start)
		if at < from || at >= to {
			continue
		}
		name := r.load.class.Name
		res.offered[name]++
		if windows[name] == nil {
			windows[name] = map[int]*window{}
		}
		w := windows[name][int(at/(10*time.Second))]
		if w == nil {
			w = &window{}
			windows[name][int(at/(10*time.Second))] = w
		}
		w.all++
		generated += r.generated
		dispatches += r.dispatches
		offered++
		if r.useful() {
			w.met++
			res.met[name]++
			good += max(1, r.tokens)
			delivered += r.tokens
			if r.load.class.Batch {
				res.finished++
			}
		}
		if r.load.class == fit && !r.first.IsZero() {
			firsts = append(firsts, r.first.Sub(r.arrived))
		} else if r.load.class == fit {
			firsts = append(firsts, time.Hour)
		}
		if r.load.class.Batch && !r.first.IsZero() {
			res.oldest = max(res.oldest, r.first.Sub(r.arrived))
		}
	}
	for name, n := range res.offered {
		res.met[name] /= float64(n)
		res.worst[name] = 1
		for _, w := range windows[name] {
			res.worst[name] = min(res.worst[name], float64(w.met)/float64(w.all))
		}
	}
	res.goodput = good / (to - from).Seconds()
	if generated > 0 {
		res.wasted = 1 - delivered/generated
	}
	slices.Sort(firsts)
	if len(firsts) > 0 {
		res.p95 = firsts[len(firsts)*95/100]
	}
	res.dispatches = float64(dispatches) / float64(max(1, offered))

	return res
}

// compare runs the simulation with the home and with each baseline, on the same
// arrivals.
func compare(seed uint64, run func(seed uint64, p func(*simulation) policy) result) (ours result, others map[string]result) {
	others = map[string]result{}
	for name, p := range baselines {
		others[name] = run(seed, p)
	}

	return run(seed, newHomePolicy), others
}

// best returns the highest value among the baselines.
func best(rs map[string]result, value func(result) float64) float64 {
	high := math.Inf(-1)
	for _, r := range rs {
		high = max(high, value(r))
	}

	return high
}

// figures collects measured values by name, with one value for each seed.
type figures struct {
	names  []string
	values map[string][]float64
}

func (f *figures) add(name string, v float64) {
	if f.values == nil {
		f.values = map[string][]float64{}
	}
	if f.values[name] == nil {
		f.names = append(f.names, name)
	}
	f.values[name] = append(f.values[name], v)
}

// check logs the spread of a value and asserts its bounds in each seed.
func (f *figures) check(c *qt.C, name string, low, high float64) {
	for seed, v := range f.values[name] {
		c.Check(v >= low && v <= high, qt.IsTrue, qt.Commentf("%s at seed %d is %.4f, not in [%v, %v]", name, seed, v, low, high))
	}
}

// log logs the minimum, the median and the maximum of each value.
func (f *figures) log(t *testing.T) {
	for _, name := range f.names {
		v := slices.Sorted(slices.Values(f.values[name]))
		t.Logf("%-34s least %8.4f  median %8.4f  most %8.4f", name, v[0], v[len(v)/2], v[len(v)-1])
	}
}
