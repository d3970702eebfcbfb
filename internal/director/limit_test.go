package director

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"snipedyke/internal/registrar"
)

// Guards against more requests than an endpoint says that it takes from all nodes
// together, also from those selected one after the other, and against none at all.
func TestEndpointsGetNoMoreRequestsThanTheirLimit(t *testing.T) {
	const period = 4 * time.Second
	for _, test := range []struct {
		nodes int
		limit float64
		// endpoint decides which nodes are selected.
		endpoint int
	}{{6, 0.2, 0}, {6, 1.6, 0}, {6, 20, 0}, {73, 0.2, 0}, {73, 1.6, 0}, {73, 1.6, 8829}, {73, 1.9, 0}, {73, 20, 0}, {295, 1.6, 0}} {
		t.Run(fmt.Sprint(test.nodes, " nodes, limit ", test.limit, ", endpoint ", test.endpoint), func(t *testing.T) {
			c := qt.New(t)
			f := newTestFleet(test.nodes)
			desk := entry("desk", test.endpoint)
			f.post(EntriesListed{[]registrar.Entry{desk}})
			f.limit = test.limit
			f.load(500*time.Millisecond, Answered)
			f.sent = map[string][]time.Time{}
			f.load(20*time.Second, Answered)
			most := float64(f.most(desk.ID, period))
			c.Check(most <= 1.5*test.limit*period.Seconds()+5, qt.IsTrue, qt.Commentf("%g requests in %s", most, period))
			c.Check(len(f.sent[desk.ID]) > 0, qt.IsTrue)
		})
	}
}

// Guards against a limit that stays in force after the endpoint has ceased to name it.
func TestLimitEndsWithTheFirstResponseWithoutOne(t *testing.T) {
	c := qt.New(t)
	f := newTestFleet(6)
	f.post(EntriesListed{[]registrar.Entry{entry("desk", 0)}})
	f.limit = 1.6
	f.load(10*time.Second, Answered)
	f.limit = 0
	f.load(10*time.Second, Answered)
	f.sent = map[string][]time.Time{}
	f.load(time.Second, Answered)
	c.Check(len(f.sent["desk-0"]), qt.Equals, 6*50)
}

// Guards against an answer other than a truthful refusal where only the limits of the
// endpoints hold a request back.
func TestRequestsThatNoLimitAdmitsAreRefused(t *testing.T) {
	c := qt.New(t)
	f := newTestFleet(1)
	n := f.nodes[0]
	f.post(EntriesListed{[]registrar.Entry{entry("desk", 0)}})
	f.limit = 0.5
	f.load(20*time.Millisecond, Answered)
	n.arrive(500, "/pay/1")
	n.post(EndpointNoticed{ID: 500, Limit: f.limit, Limited: true})
	n.post(AttemptFinished{ID: 500, Result: Answered, Status: 200})
	_, sent := find[Dispatch](n.arrive(501, "/pay/1"))
	c.Check(sent, qt.IsFalse)
	n.now = n.now.Add(100 * time.Millisecond)
	refuse, _ := find[Refuse](n.post(Ticked{}))
	c.Check(refuse.Status, qt.Equals, 503)
	c.Check(refuse.Reason, qt.Equals, ReasonLimited)
	c.Check(refuse.RetryAfter > 0, qt.IsTrue)
}

// Guards against a limit that is ended by the response to a request from before it.
func TestEarlierResponseDoesNotEndALimit(t *testing.T) {
	c := qt.New(t)
	n := newNode()
	n.post(EntriesListed{[]registrar.Entry{entry("desk", 0)}})
	n.arrive(1, "/pay/1")
	n.arrive(2, "/pay/2")
	n.post(EndpointNoticed{ID: 1, Limit: 0.5, Limited: true})
	n.post(EndpointNoticed{ID: 2})
	c.Check(n.Status(n.now).Limited, qt.Equals, 1)
}
