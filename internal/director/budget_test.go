package director

import (
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
