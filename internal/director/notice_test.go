package director

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"snipedyke/internal/logger"
	"snipedyke/internal/registrar"
)

// endpointsUsed returns the endpoints that get six requests at the same time, and
// answers them. id is the first of their IDs.
func (n *node) endpointsUsed(path string, id uint64) map[string]int {
	used := map[string]int{}
	for i := range uint64(6) {
		if sent, ok := find[Dispatch](n.arrive(id+i, path)); ok {
			used[sent.Endpoint]++
		}
	}
	for i := range uint64(6) {
		n.post(AttemptFinished{ID: id + i, Result: Answered, Status: 200})
	}

	return used
}

// Guards against new requests to an endpoint that has said that it shuts down,
// while the shared view shows it as ready, lacks it or brings it back.
func TestLeavingEndpointGetsNoNewRequests(t *testing.T) {
	c := qt.New(t)
	n := newNode()
	sent, _ := find[Dispatch](n.arrive(1, "/pay/1"))
	leaving := entry("desk", 0)
	for i := range 3 {
		if e := entry("desk", i); e.ID == sent.Endpoint {
			leaving = e
		}
	}
	closed, _ := find[CloseIdleConnections](n.post(EndpointNoticed{ID: 1, Leaving: true}))
	c.Check(closed.Address, qt.Equals, leaving.Address)
	_, answered := find[Relay](n.post(AttemptFinished{ID: 1, Result: Answered, Status: 200}))
	c.Check(answered, qt.IsTrue, qt.Commentf("a request that runs is left to end"))

	for step, change := range []func(){
		func() {},
		func() { n.post(EntryPut{leaving}) },
		func() { n.post(ViewLost{"down"}); n.post(ViewReachable{n.now}) },
		func() { n.post(EntryRemoved{leaving.ID}); n.now = n.now.Add(registrar.HoldTime); n.post(Ticked{}) },
		func() { n.post(EntryPut{leaving}) },
	} {
		change()
		n.post(ViewConfirmed{n.now})
		used := n.endpointsUsed("/pay/x", uint64(100*step+100))
		c.Check(used, qt.HasLen, 2, qt.Commentf("step %d", step))
		c.Check(used[leaving.ID], qt.Equals, 0, qt.Commentf("step %d", step))
	}
	leaving.Born++
	n.post(EntryPut{leaving})
	n.now = n.now.Add(10 * time.Second)
	n.post(ViewConfirmed{n.now})
	c.Check(n.endpointsUsed("/pay/x", 1000)[leaving.ID] > 0, qt.IsTrue, qt.Commentf("it has started anew"))
}

// Guards against retries, resumed streams and waiting requests that go to an
// endpoint that shuts down.
func TestLeavingEndpointGetsNoRetries(t *testing.T) {
	c := qt.New(t)
	n := newNode()
	for i := range 2 {
		id := uint64(i + 1)
		sent, _ := find[Dispatch](n.arrive(id, fmt.Sprint("/draft/", i)))
		n.post(EndpointNoticed{ID: id, Leaving: true})
		n.post(AttemptFinished{ID: id, Result: Broken, Relayed: true})
		c.Check(n.endpoints[sent.Endpoint].notice.leaving, qt.IsTrue)
	}
	for id := uint64(1); id <= 2; id++ {
		c.Check(n.requests[id].endpoint.notice, qt.IsNil)
	}
}

// Guards against losing the notice in a response to a request that was sent before
// the entry of the endpoint expired and came back.
func TestNoticeHoldsForEndpointWhoseEntryCameBack(t *testing.T) {
	c := qt.New(t)
	n := newNode()
	sent, _ := find[Dispatch](n.arrive(1, "/pay/1"))
	n.post(EntryRemoved{sent.Endpoint})
	for i := range 3 {
		n.post(EntryPut{entry("desk", i)})
	}
	n.post(EndpointNoticed{ID: 1, Leaving: true})
	c.Check(n.endpointsUsed("/pay/x", 100)[sent.Endpoint], qt.Equals, 0)
	n.post(EntryRemoved{sent.Endpoint})
	n.post(EntryPut{n.requests[1].endpoint.entry})
	c.Check(n.endpointsUsed("/pay/x", 200)[sent.Endpoint], qt.Equals, 0)
}

// Guards against taking an endpoint that does not state its start time for the one
// that left, although it has another address.
func TestNoticeEndsWithTheAddressIfTheStartIsUnknown(t *testing.T) {
	c := qt.New(t)
	for _, born := range []int64{0, 1} {
		n := newNode()
		moved := entry("desk", 0)
		moved.Born = born
		n.post(EntryPut{moved})
		for id := uint64(1); n.Status(n.now).Leaving == 0; id++ {
			sent, _ := find[Dispatch](n.arrive(id, "/pay/1"))
			n.post(EndpointNoticed{ID: id, Leaving: sent.Endpoint == moved.ID})
		}
		moved.Address = entry("desk", 9).Address
		n.post(EntryPut{moved})
		n.now = n.now.Add(10 * time.Second)
		n.post(ViewConfirmed{n.now})
		c.Check(n.endpointsUsed("/pay/x", 1000)[moved.ID] > 0, qt.Equals, born == 0)
	}
}

// Guards against a notice that is kept for good because it came after the entry of
// its endpoint was removed.
func TestNoticeOfRemovedEndpointExpires(t *testing.T) {
	c := qt.New(t)
	n := newNode()
	sent, _ := find[Dispatch](n.arrive(1, "/pay/1"))
	n.post(EntryRemoved{sent.Endpoint})
	n.post(EndpointNoticed{ID: 1, Leaving: true})
	n.now = n.now.Add(noticeRetention)
	n.post(EntryRemoved{"model-0"})
	c.Check(n.notices, qt.HasLen, 0)
}

// Guards against a notice that is kept for endpoints that are gone.
func TestNoticesExpire(t *testing.T) {
	c := qt.New(t)
	n := newNode()
	sent, _ := find[Dispatch](n.arrive(1, "/pay/1"))
	n.post(EndpointNoticed{ID: 1, Leaving: true})
	n.post(EntryRemoved{sent.Endpoint})
	n.now = n.now.Add(noticeRetention)
	n.post(EntryRemoved{"model-0"})
	c.Check(n.notices, qt.HasLen, 0)
}

// decline lets the endpoint of a request turn it away and ask for time.
func (n *node) decline(id uint64, pause time.Duration) []Effect {
	n.post(EndpointNoticed{ID: id, Pause: pause})

	return n.post(AttemptFinished{ID: id, Result: Declined, Status: 503})
}

// Guards against requests to an endpoint during the time that it has asked for,
// against taking the wish for a fault, and against a pause that outlasts the
// endpoint.
func TestEndpointGetsTheTimeThatItAsksFor(t *testing.T) {
	c := qt.New(t)
	n := newNode()
	sent, _ := find[Dispatch](n.arrive(1, "/pay/1"))
	n.decline(1, 4*time.Second)
	paused := n.endpoints[sent.Endpoint]
	c.Check(paused.consecutiveFailures, qt.Equals, 0)
	c.Check(paused.observed.outcomes.Share(n.now), qt.Equals, 0.0)
	for id := uint64(100); id < 4000; id += 100 {
		c.Check(n.endpointsUsed("/pay/x", id)[sent.Endpoint], qt.Equals, 0)
		n.now = n.now.Add(100 * time.Millisecond)
		n.post(ViewConfirmed{n.now})
	}
	n.now = n.now.Add(100*time.Millisecond + time.Second)
	c.Check(n.endpointsUsed("/pay/x", 5000)[sent.Endpoint] > 0, qt.IsTrue)

	n = newNode()
	sent, _ = find[Dispatch](n.arrive(1, "/pay/1"))
	n.decline(1, time.Minute)
	restarted := n.endpoints[sent.Endpoint].entry
	restarted.Born++
	n.post(EntryPut{restarted})
	c.Check(n.endpointsUsed("/pay/x", 100)[sent.Endpoint] > 0, qt.IsTrue)
}

// Guards against callers that wait until their deadline, or that are told to come
// back too early, while all endpoints have asked for time.
func TestCallersAreToldWhenPausedEndpointsReturn(t *testing.T) {
	c := qt.New(t)
	n := newNode()
	n.arrive(1, "/pay/1")
	n.decline(1, 10*time.Second)
	n.decline(1, 2*time.Second)
	n.arrive(2, "/pay/2")
	n.decline(2, 5*time.Second)
	refuse, refused := find[Refuse](n.arrive(3, "/look/3"))
	c.Assert(refused, qt.IsTrue)
	c.Check(refuse.Status, qt.Equals, 503)
	c.Check(refuse.Reason, qt.Equals, ReasonPaused)
	c.Check(refuse.RetryAfter >= 2*time.Second, qt.IsTrue, qt.Commentf("%s", refuse.RetryAfter))
	c.Check(refuse.RetryAfter <= 3*time.Second, qt.IsTrue, qt.Commentf("%s", refuse.RetryAfter))
	n.now = n.now.Add(refuse.RetryAfter)
	n.post(ViewConfirmed{n.now})
	_, sent := find[Dispatch](n.arrive(4, "/look/4"))
	c.Check(sent, qt.IsTrue)
}

// Guards against a retry that waits for endpoints that return too late, because the
// one that it has tried is not paused, and against a caller who is then told to
// stay away although that one takes new requests.
func TestRetryIsRefusedIfAllOthersPause(t *testing.T) {
	c := qt.New(t)
	n := newNode()
	n.arrive(1, "/pay/1")
	for _, e := range n.endpoints {
		if e != n.requests[1].endpoint {
			n.noticeOf(n.now, e).pausedUntil = n.now.Add(time.Minute)
		}
	}
	refuse, refused := find[Refuse](n.post(AttemptFinished{ID: 1, Result: Declined, Status: 503}))
	c.Assert(refused, qt.IsTrue)
	c.Check(refuse.Reason, qt.Equals, ReasonPaused)
	c.Check(refuse.RetryAfter < time.Second, qt.IsTrue, qt.Commentf("%s", refuse.RetryAfter))
}

// Guards against a retry that waits although the only endpoint has asked for time.
func TestRetryIsRefusedIfTheOnlyEndpointPauses(t *testing.T) {
	c := qt.New(t)
	n := newNode()
	n.arrive(1, "/pay/1")
	removeOthers(n)
	refuse, refused := find[Refuse](n.decline(1, time.Minute))
	c.Assert(refused, qt.IsTrue)
	c.Check(refuse.Reason, qt.Equals, ReasonPaused)
	c.Check(refuse.RetryAfter >= time.Minute, qt.IsTrue, qt.Commentf("%s", refuse.RetryAfter))
}

// Guards against nodes that all return to an endpoint at the same time.
func TestNodesReturnAtDifferentTimes(t *testing.T) {
	c := qt.New(t)
	returns := map[time.Time]bool{}
	for i := range 20 {
		n := newNode()
		n.opts.Name = fmt.Sprint("n", i)
		sent, _ := find[Dispatch](n.arrive(1, "/pay/1"))
		n.decline(1, 4*time.Second)
		back := n.endpoints[sent.Endpoint].pausedUntil()
		c.Check(back.Sub(n.now) >= 4*time.Second, qt.IsTrue)
		c.Check(back.Sub(n.now) <= 5*time.Second, qt.IsTrue)
		returns[back] = true
	}
	c.Check(len(returns) > 15, qt.IsTrue)
}

// Guards against a malformed request for time that goes unnoticed or has an effect.
func TestMalformedRequestForTimeIsLogged(t *testing.T) {
	c := qt.New(t)
	n := newNode()
	sent, _ := find[Dispatch](n.arrive(1, "/pay/1"))
	line, _ := find[Log](n.post(EndpointNoticed{ID: 1, InvalidPause: "soon"}))
	c.Check(line.Event, qt.Equals, logger.PauseIgnored)
	c.Check(n.endpoints[sent.Endpoint].notice, qt.IsNil)
}

// Guards against cutting off a stream at once because all other endpoints have
// asked for time, although one of them returns soon.
func TestBrokenStreamWaitsForPausedEndpoints(t *testing.T) {
	c := qt.New(t)
	n := newNode()
	n.post(Arrived{Request{ID: 1, Name: "r1", Host: "h", Path: "/draft/1", Key: "key", Deadline: 5 * time.Second}})
	n.now = n.now.Add(time.Second)
	for _, e := range n.endpoints {
		if e != n.requests[1].endpoint {
			n.noticeOf(n.now, e).pausedUntil = n.now.Add(maxMoveWait / 2)
		}
	}
	n.noticeOf(n.now, n.requests[1].endpoint).pausedUntil = n.now.Add(time.Minute)
	_, aborted := find[Abort](n.post(AttemptFinished{ID: 1, Result: Broken, Relayed: true}))
	c.Assert(aborted, qt.IsFalse)
	n.now = n.now.Add(maxMoveWait / 2)
	resumed, _ := find[Dispatch](n.post(Ticked{}))
	c.Check(resumed.Resume, qt.IsTrue)
}
