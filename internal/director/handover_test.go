package director

import (
	"fmt"
	"net/http"
	"net/netip"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"snipedyke/internal/logger"
)

// peersOf returns a number of nodes of a data centre.
func peersOf(centre string, count int) []Node {
	list := make([]Node, 0, count)
	for i := range count {
		list = append(list, Node{Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, centre[len(centre)-1], byte(i >> 8), byte(i)}), 9), DataCentre: centre})
	}

	return list
}

// strandedNode returns a node that is cut off from all endpoints and knows other nodes.
func strandedNode(peers []Node) *node {
	n := newNode()
	n.post(NodesKnown{peers})
	n.strand()
	n.now = n.now.Add(linkCheckInterval)

	return n
}

// accept posts a request that another node has handed over.
func (n *node) accept(h HandOver, q Request) []Effect {
	q.HandedOver, q.Attempts, q.Counted = true, h.Attempts, h.Counted

	return n.post(Arrived{q})
}

func request1(path string) Request {
	return Request{ID: 1, Name: "r1", Host: "h", Path: path, Key: "key", Deadline: time.Second}
}

// Guards against callers that are refused because the node to which they are connected is cut
// off, and against endpoints that are judged by what another node has answered.
func TestStrandedNodeHandsRequestsOver(t *testing.T) {
	c := qt.New(t)
	for _, path := range []string{"/pay/x", "/look/x", "/chat/x", "/draft/x"} {
		n := strandedNode(peersOf("kochi", 3))
		explained := n.Explain(n.now, request1(path), "")
		c.Check(explained.Outcome, qt.Equals, OutcomeSent)
		c.Check(explained.Node, qt.Not(qt.Equals), "")
		c.Check(n.link.handedOver, qt.Equals, 0)
		_, sent := find[Dispatch](n.post(Arrived{request1(path)}))
		c.Check(sent, qt.IsFalse)
		handed, ok := find[HandOver](n.effects)
		c.Assert(ok, qt.IsTrue)
		c.Check(handed.Counted, qt.IsFalse)
		n.post(ResponseStarted{ID: 1})
		before := fmt.Sprintf("%+v", n.endpoints["desk-0"].observed)
		effects := n.post(AttemptFinished{ID: 1, Result: Answered, Status: 500, Relayed: true, Connected: true})
		_, relayed := find[Relay](effects)
		c.Check(relayed, qt.IsTrue)
		c.Check(fmt.Sprintf("%+v", n.endpoints["desk-0"].observed), qt.Equals, before)
		answered := logged(effects, logger.RequestAnswered)
		c.Check(answered[0]["node"], qt.Equals, handed.Node.String())
		c.Check(n.stranded(), qt.IsTrue, qt.Commentf("a connection to a node says nothing of the endpoints"))
		c.Check(n.Active(), qt.Equals, 0)
	}
}

// Guards against requests that wait for endpoints or hang at them while other nodes could
// take them.
func TestRequestsInProgressAreHandedOver(t *testing.T) {
	c := qt.New(t)
	n := newNode()
	n.post(NodesKnown{peersOf("kochi", 3)})
	n.arrive(1, "/look/x")
	n.failLinks(2)
	for i := range uint64(3) {
		n.arrive(10+i, "/look/x")
		n.post(AttemptFinished{ID: 10 + i, Result: Unreached})
	}
	c.Assert(n.Status(n.now).Waiting > 0, qt.IsTrue)
	handed := 0
	for _, e := range n.post(LinksChecked{}) {
		if _, ok := e.(HandOver); ok {
			handed++
		}
	}
	c.Check(handed > 0, qt.IsTrue)
	c.Check(n.Status(n.now).Waiting, qt.Equals, 0)

	for _, e := range slices.Clone(n.services["desk"].endpoints) {
		if e != n.requests[1].endpoint {
			n.post(EntryRemoved{e.entry.ID})
		}
	}
	_, givenUp := find[GiveUp](n.post(AttemptStalled{ID: 1, Silent: time.Second}))
	c.Check(givenUp, qt.IsTrue)
	over, ok := find[HandOver](n.post(AttemptFinished{ID: 1, Result: TimedOut}))
	c.Assert(ok, qt.IsTrue)
	c.Check(over.Attempts, qt.Equals, 1)
	c.Check(over.Counted, qt.IsTrue)
}

// Guards against a body that goes to a node in a region where the request may not be (rule
// HOME).
func TestRequestsAreHandedOverInTheirRegionsOnly(t *testing.T) {
	c := qt.New(t)
	opts := options()
	opts.Regions["pune"] = "west"
	n := strandedNode(append(peersOf("pune", 20), peersOf("kollam", 1)...))
	n.post(OptionsChanged{opts})
	n.post(Arrived{request1("/look/x")})
	req := n.requests[1]
	account, route := *req.account, *req.route
	req.account, req.route = &account, &route
	for _, test := range []struct{ route, account []string }{{[]string{"kerala"}, nil}, {nil, []string{"kerala"}}, {[]string{"kerala", "west"}, []string{"kerala"}}} {
		req.route.Regions, req.account.Regions, req.peersTried = test.route, test.account, nil
		c.Check(n.chooseNode(n.now, req).DataCentre, qt.Equals, "kollam")
		req.peersTried = []netip.AddrPort{peersOf("kollam", 1)[0].Address}
		c.Check(n.chooseNode(n.now, req), qt.IsNil)
	}
	req.route.Regions, req.account.Regions = []string{"kerala"}, []string{"west"}
	c.Check(n.chooseNode(n.now, req), qt.IsNil)
}

// Guards against a request that is lost because the first node cannot take it, that goes to
// a node twice, or that goes from node to node for as long as it has time.
func TestRefusedRequestsAreHandedToOtherNodes(t *testing.T) {
	c := qt.New(t)
	for _, result := range []AttemptFinished{
		{Result: Refused, Status: 503, Reason: ReasonStranded, RetryAfter: time.Second},
		{Result: Refused, Status: 503, Reason: ReasonLeaving, RetryAfter: time.Second},
		{Result: Unreached},
	} {
		n := strandedNode(peersOf("kochi", 20))
		handed, ok := find[HandOver](n.post(Arrived{request1("/pay/x")}))
		tried := map[netip.AddrPort]bool{}
		for ok {
			c.Assert(tried[handed.Node], qt.IsFalse)
			c.Check(handed.Attempts, qt.Equals, 0)
			tried[handed.Node] = true
			result.ID = 1
			handed, ok = find[HandOver](n.post(result))
		}
		c.Check(tried, qt.HasLen, maxPeers)
		if result.Result == Refused {
			refuse, refused := find[Refuse](n.effects)
			c.Assert(refused, qt.IsTrue)
			c.Check(refuse, qt.Equals, Refuse{1, 503, result.Reason, time.Second})
		} else {
			_, sent := find[Dispatch](n.effects)
			c.Check(sent, qt.IsTrue, qt.Commentf("old connections to endpoints may live"))
			c.Check(n.requests[1].recorded, qt.IsTrue)
		}
	}
	n := strandedNode(peersOf("kochi", 2))
	n.arrive(2, "/pay/x")
	handed, _ := find[HandOver](n.post(AttemptFinished{ID: 2, Result: Refused, Status: 503, Reason: ReasonStranded}))
	for id := range uint64(10) {
		next, _ := find[HandOver](n.arrive(10+id, "/pay/x"))
		c.Check(next.Node, qt.Equals, handed.Node, qt.Commentf("the other one has refused a request"))
	}
	n.post(AttemptFinished{ID: 10, Result: Answered, Status: 200})
	c.Check(n.peers[handed.Node].serves(n.now), qt.IsTrue)
	n.post(AttemptFinished{ID: 11, Result: Refused, Status: 503, Reason: ReasonStranded})
	c.Check(n.peers[handed.Node].serves(n.now), qt.IsFalse)
	n = strandedNode(peersOf("kochi", 1))
	n.post(Arrived{Request{ID: 2, Host: "h", Path: "/draft/x", Key: "key"}})
	n.post(AttemptFinished{ID: 2, Result: TimedOut})
	n.now = n.now.Add(avoidTime)
	n.post(AttemptFinished{ID: 2, Result: Unreached})
	c.Check(n.requests[2].node.IsValid(), qt.IsFalse, qt.Commentf("the node has had the request"))
	n = strandedNode(peersOf("kochi", 20))
	n.post(Arrived{request1("/pay/x")})
	refuse, refused := find[Refuse](n.post(AttemptFinished{ID: 1, Result: Refused, Status: 503, Reason: ReasonOverload, RetryAfter: time.Second}))
	c.Check(refused, qt.IsTrue, qt.Commentf("the endpoints are the same for all nodes"))
	c.Check(refuse.RetryAfter, qt.Equals, time.Second)
}

// Guards against nodes that get no requests of any service because the endpoints of one
// service fail.
func TestNodesAreNotAvoidedForTheFailuresOfEndpoints(t *testing.T) {
	c := qt.New(t)
	for _, result := range []AttemptFinished{
		{Result: Refused, Status: 503, Reason: ReasonNoEndpoint},
		{Result: Refused, Status: 502, Reason: ReasonBroken},
		{Result: Broken, Relayed: true},
		{Result: TimedOut},
	} {
		n := strandedNode(peersOf("kochi", 4))
		n.arrive(1, "/draft/x")
		for handed := true; handed; {
			result.ID = 1
			_, handed = find[HandOver](n.post(result))
		}
		for _, p := range n.peers {
			c.Check(n.now.Before(p.avoidUntil), qt.IsFalse, qt.Commentf("%+v", result))
		}
	}
}

// Guards against a repeatable request that is lost, or runs too often, because the node that
// took it over was cut off as well.
func TestRequestsAreRetriedAfterANodeThatIsCutOffMeanwhile(t *testing.T) {
	c := qt.New(t)
	for path, want := range map[string]bool{"/look/x": true, "/pay/x": false, "/open/x": false} {
		n := strandedNode(peersOf("kochi", 5))
		n.post(Arrived{request1(path)})
		again, handed := find[HandOver](n.post(AttemptFinished{ID: 1, Result: Refused, Status: 502, Reason: ReasonStranded}))
		c.Check(handed, qt.Equals, want, qt.Commentf(path))
		if want {
			c.Check(again.Attempts, qt.Equals, 1)
			n.post(AttemptFinished{ID: 1, Result: Refused, Status: 502, Reason: ReasonStranded})
		}
		refuse, _ := find[Refuse](n.effects)
		c.Check(refuse.Status, qt.Equals, http.StatusBadGateway)
	}
}

// Guards against requests that nobody tries where no other node can take them, and against
// requests that stranded nodes send to each other.
func TestStrandedNodesDoNotPassRequestsOn(t *testing.T) {
	c := qt.New(t)
	n := strandedNode(nil)
	_, sent := find[Dispatch](n.post(Arrived{request1("/look/x")}))
	c.Check(sent, qt.IsTrue)

	a, b := strandedNode(peersOf("kochi", 1)), strandedNode(peersOf("kochi", 3))
	handed, _ := find[HandOver](a.post(Arrived{request1("/look/x")}))
	refuse, refused := find[Refuse](b.accept(handed, request1("/look/x")))
	c.Assert(refused, qt.IsTrue)
	c.Check(refuse.Status, qt.Equals, http.StatusServiceUnavailable)
	c.Check(refuse.Reason, qt.Equals, ReasonStranded)
	c.Check(slices.Contains(b.effects, Effect(Count{CounterHanded, LabelRefused})), qt.IsTrue)
	a.post(AttemptFinished{ID: 1, Result: Refused, Status: refuse.Status, Reason: refuse.Reason, RetryAfter: refuse.RetryAfter})
	c.Check(a.Active(), qt.Equals, 0)

	b = newNode()
	_, sent = find[Dispatch](b.accept(handed, request1("/look/x")))
	c.Check(sent, qt.IsTrue)
	b.failLinks(2)
	b.post(NodesKnown{peersOf("kochi", 3)})
	b.post(LinksChecked{})
	refuse, refused = find[Refuse](b.post(AttemptFinished{ID: 1, Result: Unreached}))
	c.Assert(refused, qt.IsTrue)
	c.Check(refuse.Reason, qt.Equals, ReasonStranded)
}

// Guards against a request that runs more often than its route allows because two nodes count
// its attempts, and against one that two nodes count for the retry budget.
func TestAttemptsAndBudgetAreCountedOnceAcrossNodes(t *testing.T) {
	c := qt.New(t)
	a, b := newNode(), newNode()
	a.post(NodesKnown{peersOf("kochi", 1)})
	a.arrive(1, "/look/x")
	a.strand()
	handed, ok := find[HandOver](a.post(AttemptFinished{ID: 1, Result: Broken}))
	c.Assert(ok, qt.IsTrue)
	_, sent := find[Dispatch](b.accept(handed, request1("/look/x")))
	c.Assert(sent, qt.IsTrue)
	refuse, refused := find[Refuse](b.post(AttemptFinished{ID: 1, Result: Broken}))
	c.Assert(refused, qt.IsTrue, qt.Commentf("the route allows two attempts"))
	refuse, refused = find[Refuse](a.post(AttemptFinished{ID: 1, Result: Refused, Status: refuse.Status, Reason: refuse.Reason}))
	c.Check(refused, qt.IsTrue)
	c.Check(refuse.Status, qt.Equals, http.StatusBadGateway)

	// The slack allows no retry, and the ratio one for two requests.
	opts := options()
	opts.RetrySlack, opts.RetryRatio = 0, 0.5
	retries := func(counted bool) (allowed int) {
		n := newNode()
		n.post(OptionsChanged{opts})
		for id := range uint64(20) {
			q := request1("/look/x")
			q.ID, q.Name = id, fmt.Sprint(id)
			n.accept(HandOver{Counted: counted}, q)
			if _, again := find[Dispatch](n.post(AttemptFinished{ID: id, Result: Broken})); again {
				allowed++
			}
			n.post(CallerDisconnected{id})
			n.post(AttemptFinished{ID: id, Result: Cancelled})
		}

		return allowed
	}
	c.Check(retries(true), qt.Equals, 0)
	c.Check(retries(false) > 0, qt.IsTrue)
}

// Guards against a second run of a request that may run only once, and against a refusal
// stating that it has not run.
func TestUnsafeRequestIsHandedOverOnce(t *testing.T) {
	c := qt.New(t)
	for _, result := range []Result{Broken, TimedOut} {
		n := strandedNode(peersOf("kochi", 5))
		n.post(Arrived{request1("/pay/x")})
		effects := n.post(AttemptFinished{ID: 1, Result: result})
		refuse, refused := find[Refuse](effects)
		c.Assert(refused, qt.IsTrue)
		c.Check(refuse.Status == 502 || refuse.Status == 504, qt.IsTrue)
		c.Check(n.Active(), qt.Equals, 0)
	}
	n := newNode()
	n.post(NodesKnown{peersOf("kochi", 5)})
	n.arrive(1, "/pay/x")
	n.arrive(2, "/look/x")
	n.strand()
	_, handed := find[HandOver](n.post(AttemptFinished{ID: 1, Result: Broken}))
	c.Check(handed, qt.IsFalse)
	n.post(AttemptFinished{ID: 2, Result: Broken})
	retried, _ := find[HandOver](n.effects)
	c.Check(retried.Attempts, qt.Equals, 1)
	refuse, _ := find[Refuse](n.post(AttemptFinished{ID: 2, Result: Refused, Status: 503, Reason: ReasonOverload}))
	c.Check(refuse.Status, qt.Equals, http.StatusBadGateway, qt.Commentf("it may have run at an endpoint"))
}

// Guards against requests that other nodes go on to serve for callers that have gone, and
// against unsafe ones that are cut off.
func TestHandedRequestsAreCancelled(t *testing.T) {
	c := qt.New(t)
	n := strandedNode(peersOf("kochi", 5))
	n.post(Arrived{request1("/look/x")})
	_, cancelled := find[Cancel](n.post(CallerDisconnected{1}))
	c.Check(cancelled, qt.IsTrue)
	c.Check(n.Active(), qt.Equals, 1, qt.Commentf("the attempt has not finished"))
	n.post(AttemptFinished{ID: 1, Result: Cancelled})
	c.Check(n.Active(), qt.Equals, 0)

	n.post(Arrived{request1("/pay/x")})
	_, cancelled = find[Cancel](n.post(CallerDisconnected{1}))
	c.Check(cancelled, qt.IsFalse)
	n.post(AttemptFinished{ID: 1, Result: Answered, Status: 200})
	c.Check(n.Active(), qt.Equals, 0)

	n.arrive(2, "/chat/x")
	n.post(ShutdownRequested{AnswerBy: n.now.Add(time.Second)})
	n.now = n.now.Add(time.Second)
	cancel, _ := find[Cancel](n.post(Ticked{}))
	c.Check(cancel.ID, qt.Equals, uint64(2))
	refuse, _ := find[Refuse](n.post(AttemptFinished{ID: 2, Result: Cancelled}))
	c.Check(refuse.Status, qt.Equals, http.StatusBadGateway)
}

// Guards against a stream that is joined from two versions or cut off because it has begun at
// another node.
func TestStreamsGoOnAfterTheNodeThatBeganThem(t *testing.T) {
	c := qt.New(t)
	n := strandedNode(peersOf("kochi", 5))
	n.post(Arrived{request1("/draft/x")})
	n.post(ResponseStarted{ID: 1})
	handed, ok := find[HandOver](n.post(AttemptFinished{ID: 1, Result: Broken, Relayed: true}))
	c.Assert(ok, qt.IsTrue)
	c.Check(handed.Resume, qt.IsTrue)
	c.Check(handed.Attempts, qt.Equals, 1)
	n.post(LinksChecked{Reached: n.link.checked})
	effects := n.post(AttemptFinished{ID: 1, Result: Unreached, Relayed: true})
	_, sent := find[Dispatch](effects)
	c.Check(sent, qt.IsFalse, qt.Commentf("the version of the stream is unknown here"))
	_, asked := find[AskOrigin](effects)
	c.Check(asked, qt.IsTrue)
}

// Guards against callers of stranded nodes that are served less often than those of others
// (rule RECOVER) because they are handed to nodes that are stranded, too, and against a few
// nodes that get most of their requests.
func TestMostRequestsOfStrandedNodesFindANodeThatServes(t *testing.T) {
	c := qt.New(t)
	nodes := append(peersOf("kochi", 150), peersOf("kollam", 150)...)
	for name, isStranded := range map[string]func(i int) bool{
		"a third":      func(i int) bool { return i%3 == 0 },
		"data centre":  func(i int) bool { return i < 150 },
		"three fifths": func(i int) bool { return i%5 < 3 },
	} {
		for _, interval := range []time.Duration{20 * time.Millisecond, time.Second} {
			stranded := map[netip.AddrPort]bool{}
			for i, p := range nodes {
				stranded[p.Address] = isStranded(i)
			}
			n := strandedNode(nodes)
			const requests = 400
			tries, failed, served := 0, 0, map[netip.AddrPort]int{}
			for id := range uint64(requests) {
				n.now = n.now.Add(interval)
				n.post(ViewConfirmed{n.now})
				n.arrive(id+2000, "/pay/x")
				for handed, ok := find[HandOver](n.effects); ok; handed, ok = find[HandOver](n.effects) {
					tries++
					if stranded[handed.Node] {
						n.post(AttemptFinished{ID: handed.ID, Result: Refused, Status: 503, Reason: ReasonStranded})
					} else {
						served[handed.Node]++
						n.post(AttemptFinished{ID: handed.ID, Result: Answered, Status: 200})
					}
				}
				if _, refused := find[Refuse](n.effects); refused {
					failed++
				}
			}
			most := 0
			for _, count := range served {
				most = max(most, count)
			}
			report := fmt.Sprintf("%s, a request every %s: %.2f nodes tried for each, %d of %d failed, at most %d at one node",
				name, interval, float64(tries)/requests, failed, requests, most)
			t.Log(report)
			c.Check(failed <= 10+requests/50, qt.IsTrue, qt.Commentf(report))
			c.Check(most <= requests/10, qt.IsTrue, qt.Commentf(report))
		}
	}
}

// Guards against callers that are refused for a route or key that their node knows, because
// another node has an older table.
func TestAnOlderTableOfAnotherNodeRefusesNobody(t *testing.T) {
	c := qt.New(t)
	for reason, status := range map[Reason]int{ReasonNoKey: http.StatusUnauthorized, ReasonNoRoute: http.StatusNotFound} {
		n := strandedNode(peersOf("kochi", 2))
		n.post(Arrived{request1("/pay/x")})
		_, again := find[HandOver](n.post(AttemptFinished{ID: 1, Result: Refused, Status: status, Reason: reason}))
		c.Check(again, qt.IsTrue, qt.Commentf("%s", reason))
		n.post(AttemptFinished{ID: 1, Result: Refused, Status: status, Reason: reason})
		refuse, refused := find[Refuse](n.effects)
		c.Check(refused, qt.IsTrue)
		c.Check(refuse.Status, qt.Equals, http.StatusServiceUnavailable, qt.Commentf("%s", reason))
	}
}

// Guards against endpoints that all crash, are taken for unreachable and get too much load
// when they are back cold.
func TestEndpointsThatHaveAllCrashedAreCold(t *testing.T) {
	c := qt.New(t)
	n := strandedNode(peersOf("kochi", 2))
	n.arrive(3, "/look/x")
	for range 2 {
		n.post(AttemptFinished{ID: 3, Result: Refused, Status: 503, Reason: ReasonStranded})
	}
	n.now = n.now.Add(2 * time.Second)
	n.post(Ticked{})
	n.post(LinksChecked{Reached: n.link.checked[:1]})
	c.Assert(n.stranded(), qt.IsFalse)
	cold := 0
	for _, e := range n.services["desk"].endpoints {
		if n.now.Before(e.coldUntil) {
			cold++
		}
	}
	c.Check(cold >= 2, qt.IsTrue, qt.Commentf("%d", cold))
}

// Guards against more attempts than the route allows after a node that has made all of them.
func TestAttemptsOfANodeThatVanishesAreNotForgotten(t *testing.T) {
	c := qt.New(t)
	n := strandedNode(peersOf("kochi", 5))
	r := *n.table.Route("h", "/look/x")
	r.Attempts = 3
	n.post(Arrived{request1("/look/x")})
	n.requests[1].route = &r
	again, handed := find[HandOver](n.post(AttemptFinished{ID: 1, Result: Broken}))
	c.Assert(handed, qt.IsTrue)
	c.Check(again.Attempts, qt.Equals, 2, qt.Commentf("the node may have made 3 attempts"))
}

// Guards against a request that is counted at several nodes.
func TestRequestsAreCountedOnceOverSeveralNodes(t *testing.T) {
	c := qt.New(t)
	a, b1, b2 := strandedNode(peersOf("kochi", 2)), newNode(), newNode()
	first, _ := find[HandOver](a.post(Arrived{request1("/look/x")}))
	b1.accept(first, request1("/look/x"))
	c.Check(b1.requests[1].recorded, qt.IsTrue)
	second, handed := find[HandOver](a.post(AttemptFinished{ID: 1, Result: Refused, Status: 503, Reason: ReasonNoEndpoint}))
	c.Assert(handed, qt.IsTrue)
	b2.accept(second, request1("/look/x"))
	c.Check(second.Counted, qt.IsTrue)
}

// Guards against requests that go to endpoints, which cannot be reached, because all other nodes
// have lately refused requests or restarted.
func TestNodesThatWereAvoidedAreUsedIfThereAreNoOthers(t *testing.T) {
	c := qt.New(t)
	n := strandedNode(peersOf("kochi", 1))
	n.post(Arrived{request1("/look/x")})
	n.post(AttemptFinished{ID: 1, Result: Unreached})
	_, handed := find[HandOver](n.arrive(2, "/look/x"))
	c.Check(handed, qt.IsTrue)
}
