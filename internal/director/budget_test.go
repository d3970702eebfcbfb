package director

import (
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"snipedyke/internal/registrar"
	"snipedyke/pkg/encoder"
)

// restart replaces all nodes by ones that have just started.
func (f *testFleet) restart(entries []registrar.Entry) {
	for k := range f.nodes {
		f.nodes[k] = f.startNode(k)
	}
	f.post(TableLoaded{table(1)})
	f.post(EntriesListed{entries})
}

// Guards against nodes that use up their shares of the retry budget again after each
// start, in a time of constant load.
func TestRestartedNodesDoNotExceedTheRetryBudget(t *testing.T) {
	const step = 20 * time.Millisecond
	o := options()
	for name, test := range map[string]struct {
		// sound is the time before endpoints fail all requests, and restarts are the
		// times after that at which all nodes are started again.
		sound    time.Duration
		restarts []time.Duration
	}{
		"two restarts":        {0, []time.Duration{3 * time.Second, 6 * time.Second}},
		"restart after burst": {2 * o.RetryWindow, []time.Duration{3 * time.Second}},
	} {
		t.Run(name, func(t *testing.T) {
			f := newTestFleet(6)
			entries := []registrar.Entry{entry("desk", 0), entry("desk", 1)}
			f.post(EntriesListed{entries})
			f.now = f.now.Add(o.RetryWindow)
			failing := f.now.Add(test.sound)
			for f.now.Before(failing.Add(o.RetryWindow)) {
				f.now = f.now.Add(step)
				for _, at := range test.restarts {
					if f.now.Equal(failing.Add(at)) {
						f.restart(entries)
					}
				}
				f.post(OthersLoadReplaced{encoder.LoadSum{Nodes: uint16(len(f.nodes) - 1)}, []string{"kollam"}})
				f.post(ViewConfirmed{f.now})
				for _, n := range f.nodes {
					f.lastID++
					status := 200
					if f.now.After(failing) {
						status = 500
					}
					if _, ok := find[Dispatch](n.arrive(f.lastID, "/look/1")); !ok {
						continue
					}
					if d, ok := find[Dispatch](n.post(AttemptFinished{ID: f.lastID, Result: Answered, Status: status})); ok {
						f.sent["retries"] = append(f.sent["retries"], f.now)
						n.post(AttemptFinished{ID: d.ID, Result: Answered, Status: 200})
					}
				}
			}
			requests := len(f.nodes) * int(o.RetryWindow/step)
			limit := o.RetryRatio*float64(requests) + o.RetrySlack
			most := f.most("retries", o.RetryWindow)
			qt.Check(t, most > 0 && float64(most) <= limit, qt.IsTrue, qt.Commentf("%d retries of %d requests, want at most %g", most, requests, limit))
		})
	}
}

// Guards against repeats that the retry budget does not include: of requests that
// another endpoint has received and turned away.
func TestMisdirectedRequestsUseTheRetryBudget(t *testing.T) {
	c := qt.New(t)
	o := options()
	n := newNode()
	entries := make([]registrar.Entry, 0, 200)
	for i := range 200 {
		entries = append(entries, entry("desk", i))
	}
	n.post(EntriesListed{entries})
	n.now = n.now.Add(o.RetryWindow)
	n.post(ViewConfirmed{n.now})
	const requests = 40
	repeats := 0
	for id := range uint64(requests) {
		_, sent := find[Dispatch](n.arrive(id, "/pay/1"))
		c.Assert(sent, qt.IsTrue)
		for range maxUnreached {
			if _, sent = find[Dispatch](n.post(AttemptFinished{ID: id, Result: Misdirected})); !sent {
				break
			}
			repeats++
		}
	}
	limit := o.RetryRatio*requests + o.RetrySlack/6
	c.Check(float64(repeats) <= limit, qt.IsTrue, qt.Commentf("%d repeats of %d requests, want at most %g", repeats, requests, limit))
}

// Guards against retries that are in the budget when they are allowed, but reach the
// endpoint later, together with the first ones of the next window.
func TestRetriesThatWaitStayWithinTheBudget(t *testing.T) {
	c := qt.New(t)
	o := options()
	f := newTestFleet(1)
	n := f.nodes[0]
	f.post(EntriesListed{[]registrar.Entry{entry("model", 0), entry("model", 1)}})
	f.now = f.now.Add(time.Minute)
	requests := 0
	breakStreams := func() {
		f.post(ViewConfirmed{f.now})
		for id := range uint64(60) {
			id += f.lastID
			if _, ok := find[Dispatch](n.arrive(id, "/draft/1")); ok {
				requests++
				n.post(ResponseStarted{ID: id, Wait: time.Millisecond})
			}
		}
		f.post(CentresOut{[]string{"kochi"}})
		for id := range uint64(60) {
			n.post(AttemptFinished{ID: id + f.lastID, Result: Broken, Relayed: true})
		}
		f.lastID += 60
	}
	// centreReturns ends the wait of the broken streams. Their endpoints are warm.
	centreReturns := func() {
		n.now = f.now
		n.post(CentresOut{nil})
		for _, e := range n.endpoints {
			e.coldUntil = time.Time{}
		}
		for _, e := range n.post(Ticked{}) {
			if _, ok := e.(Dispatch); ok {
				f.sent["retries"] = append(f.sent["retries"], f.now)
			}
		}
	}
	breakStreams()
	f.now = f.now.Add(maxMoveWait - 100*time.Millisecond)
	centreReturns()
	f.now = f.now.Add(o.RetryWindow - maxMoveWait + 150*time.Millisecond)
	breakStreams()
	centreReturns()
	limit := o.RetryRatio*float64(requests) + o.RetrySlack
	most := f.most("retries", o.RetryWindow)
	c.Check(most > 0 && float64(most) <= limit, qt.IsTrue, qt.Commentf("%d retries of %d requests, want at most %g", most, requests, limit))
}

// budgetExcess describes the window that begins in the given period and has most retries
// beyond those that the fleet may send. It is empty if there is none.
func (f *testFleet) budgetExcess(begin, end time.Time) string {
	o := options()
	count := func(key string, from time.Time) int {
		first, _ := slices.BinarySearchFunc(f.sent[key], from, time.Time.Compare)
		last, _ := slices.BinarySearchFunc(f.sent[key], from.Add(o.RetryWindow), time.Time.Compare)

		return last - first
	}
	worst, description := 0.0, ""
	for from := begin; from.Before(end); from = from.Add(20 * time.Millisecond) {
		// The requests count of the window, the one half a window before or the one before.
		requests := max(count("requests", from), count("requests", from.Add(-o.RetryWindow/2)), count("requests", from.Add(-o.RetryWindow)))
		retries, limit := count("retries", from), o.RetryRatio*float64(requests)+o.RetrySlack
		if excess := float64(retries) - limit; excess > worst {
			worst = excess
			description = fmt.Sprintf("%d retries of %d requests in the window that begins at %s, want at most %g", retries, requests, from.Sub(begin), limit)
		}
	}

	return description
}

// Guards against more retries than the requests of any window allow, where endpoints fail
// at the end of a burst that is shorter than two windows.
func TestRetriesAfterABurstStayWithinTheBudget(t *testing.T) {
	const step = 20 * time.Millisecond
	o := options()
	for _, length := range []time.Duration{9 * time.Second, 12 * time.Second} {
		t.Run(length.String(), func(t *testing.T) {
			f := newTestFleet(6)
			f.post(EntriesListed{[]registrar.Entry{entry("desk", 0), entry("desk", 1)}})
			f.now = f.now.Add(time.Minute)
			begin := f.now
			fail := begin.Add(3 * o.RetryWindow)
			// The load is threefold for a while, and endpoints fail in the last two seconds
			// of it.
			for f.now.Before(fail.Add(o.RetryWindow)) {
				f.now = f.now.Add(step)
				f.post(OthersLoadReplaced{encoder.LoadSum{Nodes: uint16(len(f.nodes) - 1)}, []string{"kollam"}})
				f.post(ViewConfirmed{f.now})
				count, status := 1, 200
				if f.now.After(fail.Add(-length)) && !f.now.After(fail) {
					count = 3
				}
				if f.now.After(fail.Add(-2*time.Second)) && !f.now.After(fail) {
					status = 500
				}
				for _, n := range f.nodes {
					for range count {
						f.lastID++
						f.sent["requests"] = append(f.sent["requests"], f.now)
						n.arrive(f.lastID, "/look/1")
						if d, ok := find[Dispatch](n.post(AttemptFinished{ID: f.lastID, Result: Answered, Status: status})); ok {
							f.sent["retries"] = append(f.sent["retries"], f.now)
							n.post(AttemptFinished{ID: d.ID, Result: Answered, Status: 200})
						}
					}
				}
			}
			excess := f.budgetExcess(begin.Add(2*o.RetryWindow), fail)
			qt.Check(t, len(f.sent["retries"]) > 0 && excess == "", qt.IsTrue, qt.Commentf("%s", excess))
		})
	}
}

// Guards against retries that reach an endpoint long after they are allowed, because those
// that they were sent to first could not be reached: they arrive together with the first
// retries of the next window.
func TestRetriesAfterUnreachedEndpointsStayWithinTheBudget(t *testing.T) {
	const streams = 60
	c := qt.New(t)
	o := options()
	f := newTestFleet(1)
	n := f.nodes[0]
	f.post(EntriesListed{[]registrar.Entry{entry("model", 0), entry("model", 1)}})
	f.now = f.now.Add(time.Minute)
	advance := func(length time.Duration) {
		f.now = f.now.Add(length)
		f.post(ViewConfirmed{f.now})
	}
	// retries returns the requests that are sent now, or counts them if they arrive.
	retries := func(effects []Effect, arrive bool) (ids []uint64) {
		for _, e := range effects {
			if d, ok := e.(Dispatch); ok && arrive {
				f.sent["retries"] = append(f.sent["retries"], f.now)
			} else if ok {
				ids = append(ids, d.ID)
			}
		}

		return ids
	}
	breakStreams := func() (effects []Effect) {
		first := f.lastID + 1
		for range streams {
			f.lastID++
			n.post(Arrived{Request{ID: f.lastID, Name: fmt.Sprint("r", f.lastID), Host: "h", Path: "/draft/1", Key: "key", Deadline: 6 * time.Second}})
			n.post(ResponseStarted{ID: f.lastID, Wait: time.Millisecond})
		}
		f.post(CentresOut{[]string{"kochi"}})
		for id := first; id <= f.lastID; id++ {
			effects = append(effects, n.post(AttemptFinished{ID: id, Result: Broken, Relayed: true})...)
		}

		return effects
	}
	// centreReturns ends the wait of the broken streams. Their endpoints are warm.
	centreReturns := func() []Effect {
		f.post(CentresOut{nil})
		for _, e := range n.endpoints {
			e.coldUntil = time.Time{}
		}

		return n.post(Ticked{})
	}
	// The node has been ready for a while.
	advance(0)
	advance(o.RetryWindow)
	breakStreams()
	advance(maxMoveWait - 100*time.Millisecond)
	unreached := retries(centreReturns(), false)
	c.Assert(unreached, qt.HasLen, streams)
	advance(250 * time.Millisecond)
	for _, id := range unreached {
		retries(n.post(AttemptFinished{ID: id, Result: Unreached, Relayed: true}), true)
	}
	// Endpoints that start take them.
	advance(maxMoveWait - 100*time.Millisecond)
	for i := range 3 {
		retries(n.post(EntryPut{entry("model", 2+i)}), true)
	}
	advance(o.RetryWindow - 400*time.Millisecond)
	breakStreams()
	retries(centreReturns(), true)
	limit := o.RetryRatio*2*streams + o.RetrySlack
	most := f.most("retries", o.RetryWindow)
	c.Check(most > 0 && float64(most) <= limit, qt.IsTrue, qt.Commentf("%d retries of %d requests, want at most %g", most, 2*streams, limit))
}

// Guards against more retries than the requests of any window allow, where callers of lost
// nodes go on at the others, or go back when the nodes return, so that their requests count
// at both.
func TestRetriesStayWithinTheBudgetWhenCallersMove(t *testing.T) {
	const step = 20 * time.Millisecond
	o := options()
	entries := []registrar.Entry{entry("desk", 0), entry("desk", 1)}
	for name, test := range map[string]struct {
		// first and second are when endpoints fail for some seconds, after half of the
		// nodes are lost.
		first, second, length time.Duration
		// back is when these nodes return, or zero, and ready when they are ready.
		back, ready time.Duration
	}{
		"lost":   {first: -2 * time.Second, second: 6 * time.Second, length: 2 * time.Second},
		"return": {first: 10 * time.Second, second: 17 * time.Second, length: 4 * time.Second, back: 4 * time.Second, ready: 4 * time.Second},
		"late":   {first: 17 * time.Second, second: 24 * time.Second, length: 4 * time.Second, back: 4 * time.Second, ready: 11 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			f := newTestFleet(6)
			f.post(EntriesListed{entries})
			f.now = f.now.Add(time.Minute)
			begin := f.now
			lost := begin.Add(3 * o.RetryWindow)
			for f.now.Before(lost.Add(4 * o.RetryWindow)) {
				f.now = f.now.Add(step)
				since, status, nodes := f.now.Sub(lost), 200, f.nodes
				if since > test.first && since <= test.first+test.length || since > test.second && since <= test.second+test.length {
					status = 500
				}
				if since == test.back && since > 0 {
					for k := 3; k < 6; k++ {
						f.nodes[k] = f.startNode(k)
						f.nodes[k].post(TableLoaded{table(1)})
						f.nodes[k].post(EntriesListed{entries})
					}
				}
				// Callers notice that nodes are ready after two seconds.
				if since > 0 && (test.back == 0 || since <= test.ready+2*time.Second) {
					nodes = f.nodes[:3]
				}
				f.post(OthersLoadReplaced{encoder.LoadSum{Nodes: 5}, []string{"kollam"}})
				for k, n := range f.nodes {
					if k < 3 || since <= 0 || since > test.ready {
						n.post(ViewConfirmed{f.now})
					}
				}
				for k := range f.nodes {
					n := nodes[k%len(nodes)]
					f.lastID++
					f.sent["requests"] = append(f.sent["requests"], f.now)
					n.arrive(f.lastID, "/look/1")
					if d, ok := find[Dispatch](n.post(AttemptFinished{ID: f.lastID, Result: Answered, Status: status})); ok {
						f.sent["retries"] = append(f.sent["retries"], f.now)
						n.post(AttemptFinished{ID: d.ID, Result: Answered, Status: 200})
					}
				}
			}
			excess := f.budgetExcess(begin.Add(2*o.RetryWindow), lost.Add(3*o.RetryWindow))
			qt.Check(t, len(f.sent["retries"]) > 0 && excess == "", qt.IsTrue, qt.Commentf("%s", excess))
		})
	}
}
