package director

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

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
		func() { n.post(ViewLost{"down"}); n.post(ViewReachable{}) },
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
