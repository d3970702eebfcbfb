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
