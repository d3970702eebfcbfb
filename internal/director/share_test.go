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

// testFleet is a number of nodes that share an endpoint of the service desk.
type testFleet struct {
	nodes []*node
	now   time.Time
	// sent holds the times at which requests were sent to each endpoint.
	sent   map[string][]time.Time
	lastID uint64
	// limit is the number of requests a second that endpoints name as their limit, or
	// zero if they name none.
	limit float64
}

// newTestFleet returns nodes that know each other. Each has the routes.
func newTestFleet(count int) *testFleet {
	f := &testFleet{now: start, sent: map[string][]time.Time{}}
	for k := range count {
		n := f.startNode(k)
		n.post(TableLoaded{table(1)})
		f.nodes = append(f.nodes, n)
	}
	f.post(OthersLoadReplaced{encoder.LoadSum{Nodes: uint16(count - 1)}, []string{"kollam"}})
	f.now = f.now.Add(discoveryPeriod)
	f.post(OthersLoadReplaced{encoder.LoadSum{Nodes: uint16(count - 1)}, []string{"kollam"}})

	return f
}

// startNode returns a node that has just started.
func (f *testFleet) startNode(k int) *node {
	o := options()
	o.Name, o.AssumedNodes, o.Restarted = fmt.Sprint("node-", k), 100, true

	return &node{Director: New(o), now: f.now}
}

// post posts an event to all nodes, and ends the requests that they send for it with an
// answer.
func (f *testFleet) post(e Event) {
	for _, n := range f.nodes {
		n.now = f.now
		f.finish(n, n.post(e), Answered)
	}
}

// load lets each node send as many requests as it may for a time. Attempts have the
// given result.
func (f *testFleet) load(length time.Duration, result Result) {
	for end := f.now.Add(length); f.now.Before(end); f.now = f.now.Add(20 * time.Millisecond) {
		f.post(ViewConfirmed{f.now})
		for _, n := range f.nodes {
			f.lastID++
			f.finish(n, n.arrive(f.lastID, "/open/1"), result)
			f.finish(n, n.post(Ticked{}), result)
		}
	}
}

// finish counts the requests that the effects send, and ends them with the given result.
func (f *testFleet) finish(n *node, effects []Effect, result Result) {
	for _, e := range effects {
		d, ok := e.(Dispatch)
		if !ok {
			continue
		}
		f.sent[d.Endpoint] = append(f.sent[d.Endpoint], f.now)
		if f.limit > 0 || d.AwaitsNotice {
			n.post(EndpointNoticed{ID: d.ID, Limit: f.limit, Limited: f.limit > 0})
		}
		f.finish(n, n.post(AttemptFinished{ID: d.ID, Result: result, Status: 200}), result)
	}
}

// most returns the greatest number of requests that were sent to an endpoint in any
// period of the given length.
func (f *testFleet) most(endpoint string, length time.Duration) int {
	times, most := f.sent[endpoint], 0
	for i, from := range times {
		n, _ := slices.BinarySearchFunc(times[i:], from.Add(length), time.Time.Compare)
		most = max(most, n)
	}

	return most
}

// coldLimit is the number of requests that a cold endpoint of the service desk may get
// in a second: 10 times the factor 1.5, and 5.
const coldLimit = 20

// Guards against a whole fleet that sends requests to an endpoint that becomes cold a
// second time, or while it cannot be used: each node may then have a permission that it
// has not used.
func TestUnusedSharesOfAColdEndpointDoNotAddUp(t *testing.T) {
	cold, warm := entry("desk", 0), entry("desk", 0)
	cold.Cold = 3 * time.Second
	for name, happen := range map[string]func(f *testFleet){
		"cold again": func(f *testFleet) {
			f.post(EntryPut{cold})
			f.now = f.now.Add(10 * time.Second)
			f.post(EntryPut{warm})
			f.now = f.now.Add(10 * time.Second)
			f.post(EntryPut{cold})
		},
		"out of service": func(f *testFleet) {
			f.post(CentresOut{[]string{"kochi"}})
			f.post(EntryPut{cold})
			f.now = f.now.Add(10 * time.Second)
			f.post(CentresOut{nil})
		},
		"not reached": func(f *testFleet) {
			f.load(300*time.Millisecond, Unreached)
			f.now = f.now.Add(10 * time.Second)
			f.sent = map[string][]time.Time{}
			f.post(EntryPut{cold})
		},
	} {
		t.Run(name, func(t *testing.T) {
			f := newTestFleet(73)
			f.post(EntriesListed{[]registrar.Entry{warm}})
			happen(f)
			f.load(3*time.Second, Answered)
			most := f.most("desk-0", time.Second)
			qt.Check(t, most > 0 && most <= coldLimit, qt.IsTrue, qt.Commentf("%d requests in a second", most))
		})
	}
}

// Guards against an endpoint that is cold but does not count as such: the mark has ended
// before it is back, was lost with its entry, or was not renewed.
func TestEndpointsThatComeBackArePaced(t *testing.T) {
	e := entry("desk", 0)
	e.Born, e.Sequence = 7, 1
	cold := e
	cold.Cold = 3 * time.Second
	for name, comeBack := range map[string]func(f *testFleet){
		"not reached for its cold period": func(f *testFleet) {
			f.post(EntriesListed{[]registrar.Entry{e}})
			f.load(3100*time.Millisecond, Unreached)
			f.sent = map[string][]time.Time{}
		},
		"entry removed": func(f *testFleet) {
			f.post(EntriesListed{[]registrar.Entry{cold}})
			f.load(400*time.Millisecond, Answered)
			f.post(EntryRemoved{e.ID})
			f.post(EntryPut{cold})
		},
		"entry removed after the return of its centre": func(f *testFleet) {
			f.post(EntriesListed{[]registrar.Entry{e}})
			f.post(CentresOut{[]string{"kochi"}})
			f.post(CentresOut{nil})
			f.load(200*time.Millisecond, Answered)
			f.post(EntryRemoved{e.ID})
			f.post(EntryPut{e})
		},
		"entry added after the return of its centre": func(f *testFleet) {
			f.post(EntriesListed{[]registrar.Entry{e}})
			f.post(CentresOut{[]string{"kochi"}})
			f.post(EntryRemoved{e.ID})
			f.now = f.now.Add(5 * time.Second)
			f.post(CentresOut{nil})
			f.now = f.now.Add(100 * time.Millisecond)
			f.post(EntryPut{e})
		},
		"cold again for the same time": func(f *testFleet) {
			f.post(EntriesListed{[]registrar.Entry{cold}})
			f.now = f.now.Add(10 * time.Second)
			again := cold
			again.Sequence = 9
			f.post(EntriesListed{[]registrar.Entry{again}})
		},
	} {
		for _, nodes := range []int{6, 73} {
			t.Run(fmt.Sprint(name, ", ", nodes, " nodes"), func(t *testing.T) {
				f := newTestFleet(nodes)
				comeBack(f)
				f.load(1500*time.Millisecond, Answered)
				most := f.most("desk-0", time.Second)
				qt.Check(t, most <= coldLimit, qt.IsTrue, qt.Commentf("%d requests in a second", most))
			})
		}
	}
}

// Guards against an unlimited rate of requests to a cold endpoint whose entry was known
// before the table that states the rate of its service.
func TestColdEndpointKnownBeforeItsServiceIsPaced(t *testing.T) {
	f := newTestFleet(6)
	for k := range f.nodes {
		f.nodes[k] = f.startNode(k)
	}
	f.post(OthersLoadReplaced{encoder.LoadSum{Nodes: 5}, []string{"kollam"}})
	f.now = f.now.Add(discoveryPeriod + 7*time.Second)
	f.post(OthersLoadReplaced{encoder.LoadSum{Nodes: 5}, []string{"kollam"}})
	cold := entry("desk", 0)
	cold.Cold = 3 * time.Second
	f.post(EntriesListed{[]registrar.Entry{cold}})
	f.post(TableLoaded{table(1)})
	f.load(3*time.Second, Answered)
	most := f.most("desk-0", time.Second)
	qt.Check(t, most > 0 && most <= coldLimit, qt.IsTrue, qt.Commentf("%d requests in a second", most))
}

// Guards against nodes that exceed the fleet's limits because each knows few of the
// others: they have just started, and discover each other one after the other.
func TestLimitsHoldWhileNodesDiscoverEachOther(t *testing.T) {
	for name, known := range map[string]func(node, second int) int{
		"few known":      func(int, int) int { return 15 },
		"slow discovery": func(_, second int) int { return min(10*second, 72) },
		"one cut off": func(node, _ int) int {
			if node == 0 {
				return 0
			}

			return 72
		},
	} {
		t.Run(name, func(t *testing.T) {
			f := newTestFleet(73)
			for k := range f.nodes {
				f.nodes[k] = f.startNode(k)
			}
			f.post(TableLoaded{table(1)})
			cold := entry("desk", 0)
			cold.Cold = time.Minute
			for second := range 10 {
				cold.Cold -= time.Second
				f.post(EntriesListed{[]registrar.Entry{cold}})
				for k, n := range f.nodes {
					n.now = f.now
					// Who knows fewer nodes than its data centre has knows no others.
					var others []string
					if known(k, second) > 18 {
						others = []string{"kollam"}
					}
					n.post(OthersLoadReplaced{encoder.LoadSum{Nodes: uint16(known(k, second))}, others})
				}
				f.load(time.Second, Answered)
			}
			most := f.most("desk-0", time.Second)
			qt.Check(t, most <= coldLimit, qt.IsTrue, qt.Commentf("%d requests in a second", most))
		})
	}
}

// Guards against a node that sends its share to an endpoint right after it becomes
// cold, beside what it has just sent before.
func TestRequestsJustBeforeAColdPeriodCount(t *testing.T) {
	f := newTestFleet(6)
	warm, cold := entry("desk", 0), entry("desk", 0)
	cold.Cold = 3 * time.Second
	f.post(EntriesListed{[]registrar.Entry{warm}})
	for range 3 {
		f.post(ViewConfirmed{f.now})
		for _, n := range f.nodes {
			f.lastID++
			_, ok := find[Dispatch](n.arrive(f.lastID, "/open/1"))
			qt.Assert(t, ok, qt.IsTrue)
			f.sent["desk-0"] = append(f.sent["desk-0"], f.now)
		}
	}
	f.post(EntryPut{cold})
	f.load(3*time.Second, Answered)
	most := f.most("desk-0", time.Second)
	qt.Check(t, most <= coldLimit, qt.IsTrue, qt.Commentf("%d requests in a second", most))
}

// Guards against a node that sends its share to an endpoint which has started again under
// its ID, beside what it has sent there before it knew of that.
func TestRequestsBeforeANewStartIsKnownCount(t *testing.T) {
	started := entry("desk", 0)
	started.Born, started.Sequence, started.Cold = 8, 1, 3*time.Second
	for name, learn := range map[string]func(f *testFleet){
		"entry replaced": func(f *testFleet) { f.post(EntryPut{started}) },
		"entry removed": func(f *testFleet) {
			f.post(EntryRemoved{started.ID})
			f.post(EntryPut{started})
		},
	} {
		t.Run(name, func(t *testing.T) {
			f := newTestFleet(6)
			former := entry("desk", 0)
			former.Born, former.Sequence = 7, 1
			f.post(EntriesListed{[]registrar.Entry{former}})
			f.load(60*time.Millisecond, Answered)
			learn(f)
			f.load(3*time.Second, Answered)
			most := f.most("desk-0", time.Second)
			qt.Check(t, most > 0 && most <= coldLimit, qt.IsTrue, qt.Commentf("%d requests in a second", most))
		})
	}
}

// Guards against cutting off a stream because attempts to resume it at cold endpoints
// were held up in the node.
func TestHeldUpAttemptsDoNotCutOffAStream(t *testing.T) {
	c := qt.New(t)
	n := newNode()
	entries := make([]registrar.Entry, 0, 8)
	for i := range cap(entries) {
		e := entry("model", i)
		e.Cold = time.Minute
		entries = append(entries, e)
	}
	n.post(EntriesListed{entries})
	_, sent := find[Dispatch](n.arrive(1, "/draft/1"))
	c.Assert(sent, qt.IsTrue)
	n.post(ResponseStarted{ID: 1, Wait: time.Millisecond})
	n.post(AttemptFinished{ID: 1, Result: Broken, Relayed: true})
	for range 2 * maxUnreached {
		n.now = n.now.Add(90 * time.Millisecond)
		_, sent = find[Dispatch](n.post(AttemptFinished{ID: 1, Result: Unsent}))
		c.Check(sent, qt.IsTrue)
	}
}

// Guards against a node that takes the whole of the fleet's limits because one message
// about the others is late when the highest number of nodes is forgotten.
func TestLateMessageDoesNotShrinkTheFleet(t *testing.T) {
	f := newTestFleet(73)
	n := f.nodes[0]
	for range 400 {
		n.now = n.now.Add(200 * time.Millisecond)
		n.post(OthersLoadReplaced{encoder.LoadSum{Nodes: 71}, []string{"kollam"}})
		n.now = n.now.Add(200 * time.Millisecond)
		n.post(OthersLoadReplaced{})
		qt.Assert(t, n.fleet.size() >= 72, qt.IsTrue, qt.Commentf("%d nodes", n.fleet.size()))
	}
}

// Guards against a node that sends its share to a cold endpoint again after a restart.
func TestRestartedNodesSpareColdEndpoints(t *testing.T) {
	f := newTestFleet(6)
	cold := entry("desk", 0)
	cold.Cold = time.Minute
	f.post(EntriesListed{[]registrar.Entry{cold}})
	f.load(300*time.Millisecond, Answered)
	f.restart([]registrar.Entry{cold})
	for _, n := range f.nodes {
		n.fleet.assumedNodes = len(f.nodes)
	}
	f.load(3*time.Second, Answered)
	most := f.most("desk-0", time.Second)
	qt.Check(t, most > 0 && most <= coldLimit, qt.IsTrue, qt.Commentf("%d requests in a second", most))
}

// Guards against a node that takes the nodes it knows for all while their number grows.
func TestGrowingNumberOfNodesIsNotComplete(t *testing.T) {
	f := newTestFleet(1)
	n := f.startNode(0)
	for second := range 8 {
		n.now = f.now.Add(time.Duration(second) * time.Second)
		n.post(OthersLoadReplaced{encoder.LoadSum{Nodes: uint16(second + 1)}, []string{"kollam"}})
		qt.Check(t, n.Status(n.now).Nodes, qt.Equals, 100, qt.Commentf("second %d", second))
	}
}

// Guards against a node that takes the few nodes it knows for all, as it is cut off from
// them or does not run just after its start.
func TestNodesThatAreNoLongerHeardAreNotComplete(t *testing.T) {
	for name, silent := range map[string][]time.Duration{
		"cut off": {200 * time.Millisecond, 1200 * time.Millisecond, 2200 * time.Millisecond, 3200 * time.Millisecond},
		"frozen":  {3200 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			f := newTestFleet(1)
			n := f.startNode(0)
			n.post(OthersLoadReplaced{encoder.LoadSum{Nodes: 14}, []string{"kollam"}})
			for _, at := range silent {
				n.now = f.now.Add(at)
				n.post(OthersLoadReplaced{})
			}
			c.Check(n.Status(n.now).Nodes, qt.Equals, 100)
			for range 2 {
				n.now = n.now.Add(discoveryPeriod)
				n.post(OthersLoadReplaced{encoder.LoadSum{Nodes: 72}, []string{"kollam"}})
			}
			c.Check(n.Status(n.now).Nodes, qt.Equals, 73)
		})
	}
}

// Guards against a cold endpoint for which, by chance, more nodes of a large fleet are
// selected than requests are allowed.
func TestSelectionForAColdEndpointStaysWithinItsLimit(t *testing.T) {
	const rate, factor, slack = 5.1, 1.5, 5
	// Thirteen nodes or more have a hash in the lowest third of the share.
	for _, i := range []int{2560, 4910, 8180, 10714, 12067, 13565, 19956} {
		f := newTestFleet(295)
		for _, n := range f.nodes {
			// The rate of the service desk is 10.
			n.opts.ColdFactor = rate / 10 * factor
		}
		cold := entry("desk", i)
		cold.Cold = 3 * time.Second
		f.post(EntriesListed{[]registrar.Entry{cold}})
		f.load(time.Second, Answered)
		most := f.most(cold.ID, time.Second)
		qt.Check(t, most > 0 && float64(most) <= rate*factor+slack, qt.IsTrue, qt.Commentf("%s: %d requests in a second", cold.ID, most))
	}
}
