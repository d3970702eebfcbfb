package director

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"snipedyke/internal/chooser"
	"snipedyke/internal/logger"
	"snipedyke/pkg/encoder"
)

// stall reports that the endpoint of a request is silent. It returns whether the
// attempt is given up, which is also what the log says.
func (n *node) stall(c *qt.C, id uint64, relayed bool) bool {
	effects := n.post(AttemptStalled{ID: id, Silent: time.Second, Relayed: relayed})
	_, givenUp := find[GiveUp](effects)
	line, logged := find[Log](effects)
	c.Assert(logged, qt.IsTrue)
	c.Check(line.Event, qt.Equals, logger.EndpointSilent)
	c.Check(line.Args[len(line.Args)-1], qt.Equals, any(givenUp))

	return givenUp
}

// Guards against giving up a silent endpoint although the request can't be sent
// to another one, which failed requests that the endpoint would have answered.
func TestSilentAttemptGoesOnWithoutReplacement(t *testing.T) {
	for name, test := range map[string]struct {
		path    string
		relayed bool
		prepare func(n *node)
	}{
		"unsafe request":        {path: "/pay/1", prepare: func(*node) {}},
		"stream cannot resume":  {path: "/chat/1", relayed: true, prepare: func(*node) {}},
		"budget of stream":      {path: "/draft/1", relayed: true, prepare: func(n *node) { n.useUpBudget(1) }},
		"budget of request":     {path: "/look/1", prepare: func(n *node) { n.useUpBudget(1) }},
		"no other endpoint":     {path: "/draft/1", relayed: true, prepare: removeOthers},
		"no other, no answer":   {path: "/look/1", prepare: removeOthers},
		"attempts used up":      {path: "/draft/1", relayed: true, prepare: func(n *node) { n.post(AttemptFinished{ID: 1, Result: Broken, Relayed: true}) }},
		"deadline about to end": {path: "/look/1", prepare: func(n *node) { n.now = n.now.Add(time.Second - minAttemptTime/2) }},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			n := newNode()
			_, sent := find[Dispatch](n.arrive(1, test.path))
			c.Assert(sent, qt.IsTrue)
			test.prepare(n)
			for range 2 {
				c.Check(n.stall(c, 1, test.relayed), qt.IsFalse)
			}
			_, relayed := find[Relay](n.post(AttemptFinished{ID: 1, Result: Answered, Status: 200, Relayed: test.relayed}))
			c.Check(relayed, qt.IsTrue)
			c.Check(n.Active(), qt.Equals, 0)
		})
	}
}

// useUpBudget uses up the retry budget of a request's service, and returns how
// many retries were left.
func (n *node) useUpBudget(id uint64) int {
	left := 0
	for n.mayRetry(n.now, n.requests[id]) {
		left++
	}

	return left
}

// removeOthers removes all endpoints but that of request 1.
func removeOthers(n *node) {
	for _, id := range n.endpointIDs() {
		if id != n.requests[1].endpoint.entry.ID {
			n.post(EntryRemoved{ID: id})
		}
	}
	n.now = n.now.Add(time.Second / 2)
	n.post(ViewConfirmed{n.now})
}

// Guards against a replacement that uses up the retry budget twice, or that is
// refused by the budget after the attempt was given up.
func TestReplacementOfSilentEndpointUsesBudgetOnce(t *testing.T) {
	c := qt.New(t)
	for _, test := range []struct {
		path    string
		relayed bool
	}{{"/look/1", false}, {"/draft/1", false}, {"/draft/1", true}} {
		n, other := newNode(), newNode()
		other.arrive(1, test.path)
		first, _ := find[Dispatch](n.arrive(1, test.path))
		c.Assert(n.stall(c, 1, test.relayed), qt.IsTrue)
		c.Check(n.useUpBudget(1), qt.Equals, other.useUpBudget(1)-1)
		effects := n.post(AttemptFinished{ID: 1, Result: TimedOut, Relayed: test.relayed})
		second, retried := find[Dispatch](effects)
		c.Assert(retried, qt.IsTrue)
		c.Check(second.Endpoint, qt.Not(qt.Equals), first.Endpoint)
		c.Check(second.Resume, qt.Equals, test.relayed)
		labels := map[Counter]string{}
		for _, e := range effects {
			if count, ok := e.(Count); ok {
				labels[count.Counter] = count.Label
			}
		}
		c.Check(labels, qt.DeepEquals, map[Counter]string{CounterAttempts: "silent", CounterRetries: "replaced"})
	}
}

// Guards against cutting off a stream at once because no other endpoint takes
// requests at the moment at which its own one breaks off, and against a stream
// that waits without limit.
func TestBrokenStreamWaitsForAnEndpoint(t *testing.T) {
	c := qt.New(t)
	for _, suspended := range []time.Duration{maxMoveWait / 2, time.Minute} {
		n := newNode()
		d, _ := find[Dispatch](n.post(Arrived{Request{ID: 1, Name: "r1", Host: "h", Path: "/draft/1", Key: "key", Deadline: 5 * time.Second}}))
		n.now = n.now.Add(time.Second)
		for id, e := range n.endpoints {
			if id != d.Endpoint {
				e.suspendedUntil = n.now.Add(suspended)
			}
		}
		_, aborted := find[Abort](n.post(AttemptFinished{ID: 1, Result: Broken, Relayed: true}))
		c.Assert(aborted, qt.IsFalse)
		n.now = n.now.Add(min(suspended, maxMoveWait))
		_, aborted = find[Abort](n.post(Ticked{}))
		c.Assert(aborted, qt.IsFalse)
		n.now = n.now.Add(time.Millisecond)
		if suspended < maxMoveWait {
			c.Check(n.requests[1].endpoint, qt.IsNotNil, qt.Commentf("the stream is not resumed"))
		} else {
			_, aborted = find[Abort](n.post(Ticked{}))
			c.Check(aborted, qt.IsTrue)
		}
	}
}

// Guards against cutting off a stream because an endpoint is too busy to resume
// it, while another one is not; and against asking endpoints without limit.
func TestEndpointThatDeclinesToResumeIsNoAttempt(t *testing.T) {
	c := qt.New(t)
	n := newNode()
	for i := range 5 {
		n.post(EntryPut{entry("model", 3+i)})
	}
	n.arrive(1, "/draft/1")
	effects := n.post(AttemptFinished{ID: 1, Result: Broken, Relayed: true})
	declined := 0
	for ; ; declined++ {
		d, resumed := find[Dispatch](effects)
		if !resumed {
			break
		}
		c.Check(d.Resume, qt.IsTrue)
		effects = n.post(AttemptFinished{ID: 1, Result: Declined, Status: 503, Relayed: true})
	}
	_, aborted := find[Abort](effects)
	c.Check(aborted, qt.IsTrue)
	c.Check(declined, qt.Equals, 4)
}

// silentPair returns a node with requests 1 and 2 at draining engines, and the
// only other engine, which is idle.
func silentPair() (*node, *endpoint) {
	n := newNode()
	for id := uint64(1); id <= 2; id++ {
		n.post(Arrived{Request{ID: id, Name: "r", Host: "h", Path: "/draft/1", Key: "key", Deadline: 6 * time.Second}})
	}
	n.now = n.now.Add(time.Second)
	n.post(ViewConfirmed{n.now})
	used := []string{n.requests[1].endpoint.entry.ID, n.requests[2].endpoint.entry.ID}
	var other *endpoint
	for _, id := range n.endpointIDs() {
		e := n.endpoints[id]
		switch {
		case e.entry.Service != "model":
		case contains(used, id):
			draining := e.entry
			draining.Draining = true
			n.post(EntryPut{Entry: draining})
		case other == nil:
			other = e
		default:
			n.post(EntryRemoved{ID: id})
		}
	}

	return n, other
}

// replaceSilent reports both endpoints silent, ends the attempts that are given
// up, and checks that only one is, and that no request is lost.
func (n *node) replaceSilent(c *qt.C, relayed bool) {
	var givenUp []uint64
	for id := uint64(1); id <= 2; id++ {
		if n.stall(c, id, relayed) {
			givenUp = append(givenUp, id)
		}
	}
	for _, id := range givenUp {
		n.post(AttemptFinished{ID: id, Result: TimedOut, Relayed: relayed})
	}
	n.now = n.now.Add(maxMoveWait + time.Millisecond)
	n.post(Ticked{})
	c.Check(givenUp, qt.HasLen, 1)
	c.Check(n.Active(), qt.Equals, 2)
}

// Guards against streams that are given up for the same place at a cold
// endpoint, which cuts off all but one.
func TestStreamsAreNotGivenUpForTheSamePlace(t *testing.T) {
	n, other := silentPair()
	entry := other.entry
	entry.Cold = 3 * time.Second
	n.post(EntryPut{Entry: entry})
	// One request in each window is this node's share.
	n.opts.ColdFactor, n.opts.ColdSlack = 0, 6
	n.replaceSilent(qt.New(t), true)
}

// Guards against requests that are given up for the same slot, all but one of
// which then fail.
func TestRequestsAreNotGivenUpForTheSameSlot(t *testing.T) {
	n, other := silentPair()
	other.load.Own.Running = 3
	n.services["model"].estimator.RecordRunTime(10 * time.Second)
	n.replaceSilent(qt.New(t), false)
}

// Guards against fetching the cache of a prompt from an engine that was
// considered for a request but has not received it.
func TestCacheHolderHasReceivedThePrompt(t *testing.T) {
	c := qt.New(t)
	n := newNode()
	send := func(id uint64) Dispatch {
		need := chooser.Need{PromptTokens: 3000, SharedTokens: 2800, SharedHash: 7, SharedParts: []uint64{7}}
		d, sent := find[Dispatch](n.post(Arrived{Request{ID: id, Name: "r", Host: "h", Path: "/draft/1", Key: "key", Need: need}}))
		c.Assert(sent, qt.IsTrue)

		return d
	}
	first := send(1)
	n.useUpBudget(1)
	c.Assert(n.stall(c, 1, false), qt.IsFalse)
	// All engines are busy but the one that ranks last for the prompt.
	others := encoder.LoadSum{Nodes: 5}
	for _, e := range n.endpoints {
		if e.entry.Address == first.Address || e.entry.Address == first.CacheHolder {
			others.Loads = append(others.Loads, encoder.Load{Endpoint: e.number, Running: 40})
		}
	}
	n.post(OthersLoadReplaced{Others: others})
	second := send(2)
	c.Assert(second.Address, qt.Not(qt.Equals), first.CacheHolder)
	c.Check(second.CacheHolder, qt.Equals, first.Address)
}

// Guards against cutting off a stream because the endpoint that was to resume it
// is not reached, and the time to wait for another one has passed.
func TestBrokenStreamWaitsAgainAfterUnreachedEndpoint(t *testing.T) {
	c := qt.New(t)
	n := newNode()
	_, sent := find[Dispatch](n.post(Arrived{Request{ID: 1, Name: "r1", Host: "h", Path: "/draft/1", Key: "key", Deadline: 5 * time.Second}}))
	c.Assert(sent, qt.IsTrue)
	n.now = n.now.Add(time.Second)
	next, resumed := find[Dispatch](n.post(AttemptFinished{ID: 1, Result: Broken, Relayed: true}))
	c.Assert(resumed, qt.IsTrue)
	for id, e := range n.endpoints {
		if id != next.Endpoint {
			e.suspendedUntil = n.now.Add(maxMoveWait * 3 / 2)
		}
	}
	n.now = n.now.Add(maxMoveWait + time.Millisecond)
	_, aborted := find[Abort](n.post(AttemptFinished{ID: 1, Result: Unreached}))
	c.Assert(aborted, qt.IsFalse)
	n.now = n.now.Add(maxMoveWait / 2)
	_, resumed = find[Dispatch](n.post(Ticked{}))
	c.Check(resumed, qt.IsTrue)
}
