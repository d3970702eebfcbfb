package director

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"snipedyke/internal/logger"
	"snipedyke/internal/registrar"
)

// failLinks fails the connections of a new request to two endpoints, and returns the check
// that follows and whether there is one. The request is then cancelled.
func (n *node) failLinks(id uint64) (CheckLinks, bool) {
	n.arrive(id, "/look/x")
	n.post(AttemptFinished{ID: id, Result: Unreached})
	check, ok := find[CheckLinks](n.post(AttemptFinished{ID: id, Result: Unreached}))
	n.post(CallerDisconnected{id})
	n.post(AttemptFinished{ID: id, Result: Cancelled})

	return check, ok
}

// strand cuts the node off from all endpoints.
func (n *node) strand() {
	n.failLinks(900)
	n.post(LinksChecked{})
}

func (n *node) stranded() bool { return n.Status(n.now).Stranded }

// Guards against a node that goes on to dial endpoints that it cannot reach, and against one
// that takes the end of some endpoints for the loss of its own links.
func TestNodeIsStrandedOnlyIfNoConnectionSucceeds(t *testing.T) {
	c := qt.New(t)
	n := newNode()
	_, checked := n.failLinks(1)
	c.Assert(checked, qt.IsTrue)
	c.Check(n.stranded(), qt.IsFalse)
	begun := logged(n.post(LinksChecked{}), logger.NodeStranded)
	c.Check(begun, qt.HasLen, 1)
	c.Check(n.stranded(), qt.IsTrue)

	n = newNode()
	check, _ := n.failLinks(1)
	n.post(LinksChecked{Reached: check.Addresses[:1]})
	n.now = n.now.Add(linkCheckInterval)
	_, checked = find[CheckLinks](n.post(Ticked{}))
	c.Check(checked, qt.IsFalse, qt.Commentf("an endpoint was reached"))

	n = newNode()
	n.failLinks(1)
	n.arrive(2, "/look/x")
	n.post(AttemptFinished{ID: 2, Result: Broken, Connected: true})
	n.post(LinksChecked{})
	c.Check(n.stranded(), qt.IsFalse, qt.Commentf("an attempt has connected"))

	n = newNode()
	n.arrive(1, "/chat/x")
	n.now = n.now.Add(time.Second)
	n.failLinks(2)
	n.post(AttemptFinished{ID: 1, Result: Answered, Status: 200, Connected: true, Took: time.Second})
	n.post(LinksChecked{})
	c.Check(n.stranded(), qt.IsTrue, qt.Commentf("a stream has ended that had connected before"))

	n = newNode()
	n.arrive(1, "/look/x")
	n.post(AttemptFinished{ID: 1, Result: Unreached})
	n.now = n.now.Add(suspicionTime)
	_, checked = find[CheckLinks](n.post(AttemptFinished{ID: 1, Result: Unreached}))
	c.Check(checked, qt.IsFalse, qt.Commentf("the failures are far apart"))
}

// Guards against requests that hang at endpoints for as long as the node has old connections
// to them, and against many checks while endpoints are only slow.
func TestLinksAreCheckedIfSeveralEndpointsAreSilent(t *testing.T) {
	c := qt.New(t)
	n := newNode()
	n.arrive(1, "/open/x")
	n.arrive(2, "/chat/x")
	n.now = n.now.Add(minSilence)
	_, checked := find[CheckLinks](n.post(AttemptStalled{ID: 1, Silent: minSilence}))
	c.Check(checked, qt.IsFalse, qt.Commentf("one endpoint is silent"))
	_, checked = find[CheckLinks](n.post(AttemptStalled{ID: 2, Silent: minSilence}))
	c.Check(checked, qt.IsTrue)
	n.post(LinksChecked{Reached: n.link.checked[:1]})
	c.Check(n.NeedsTick(), qt.IsFalse)
	checks := 0
	for range 12 {
		n.now = n.now.Add(linkCheckInterval)
		for _, e := range append(n.post(AttemptStalled{ID: 1}), n.post(AttemptStalled{ID: 2})...) {
			if _, checked := e.(CheckLinks); checked {
				checks++
			}
		}
	}
	c.Check(checks, qt.Equals, 1)
	n.post(LinksChecked{})
	c.Check(n.stranded(), qt.IsTrue)

	n = newNode()
	n.arrive(1, "/look/x")
	n.arrive(2, "/draft/x")
	n.arrive(3, "/chat/x")
	n.post(AttemptStalled{ID: 1})
	n.post(ResponseStarted{ID: 3})
	n.now = n.now.Add(minSilence)
	_, checked = find[CheckLinks](n.post(AttemptStalled{ID: 2}))
	c.Check(checked, qt.IsFalse, qt.Commentf("an endpoint has responded"))

	n = newNode()
	n.arrive(1, "/open/x")
	n.arrive(2, "/chat/x")
	n.arrive(3, "/open/x")
	n.arrive(4, "/open/x")
	n.post(AttemptFinished{ID: 3, Result: Answered, Status: 200})
	n.post(AttemptFinished{ID: 1, Result: Broken})
	_, checked = find[CheckLinks](n.post(AttemptFinished{ID: 2, Result: Broken}))
	c.Check(checked, qt.IsFalse, qt.Commentf("the endpoints may have ended together"))
	c.Check(n.NeedsTick(), qt.IsTrue)
	n.now = n.now.Add(minSilence)
	_, checked = find[CheckLinks](n.post(Ticked{}))
	c.Check(checked, qt.IsTrue)
	n.post(AttemptFinished{ID: 4, Result: Answered, Status: 200})
	c.Check(n.NeedsTick(), qt.IsFalse)
}

// Guards against a check of endpoints that may have failed together.
func TestLinksAreCheckedAtSeveralCentresAndServices(t *testing.T) {
	c := qt.New(t)
	n := newNode()
	for i, centre := range []string{"kochi", "kollam", "kollam", "chennai"} {
		e := entry("desk", 10+i)
		e.DataCentre = centre
		n.post(EntryPut{e})
	}
	centres, services := map[string]bool{}, map[string]bool{}
	check, _ := n.failLinks(1)
	c.Assert(check.Addresses, qt.HasLen, checkedLinks)
	for i, address := range check.Addresses {
		for _, e := range n.endpoints {
			if e.entry.Address == address {
				centres[e.entry.DataCentre], services[e.entry.Service] = true, true
				c.Check(i > 0 || e.entry.DataCentre == "kochi", qt.IsTrue)
				c.Check(n.link.hasFailed(address), qt.IsFalse)
			}
		}
	}
	c.Check(centres, qt.HasLen, 3)
	c.Check(services, qt.HasLen, 2)
}

// Guards against a node that takes long to reach the first endpoints that start after all have
// ended.
func TestStartedEndpointsAreCheckedFirst(t *testing.T) {
	c := qt.New(t)
	n := newNode()
	for i := range 40 {
		n.post(EntryPut{entry("desk", 10+i)})
	}
	n.strand()
	n.post(EntryPut{entry("desk", 90)})
	n.post(EntryPut{entry("desk", 91)})
	n.post(EntryRemoved{entry("desk", 91).ID})
	n.now = n.now.Add(linkCheckInterval)
	check, _ := find[CheckLinks](n.post(Ticked{}))
	c.Assert(check.Addresses, qt.HasLen, checkedLinks)
	c.Check(check.Addresses[0], qt.Equals, entry("desk", 90).Address)
	c.Check(n.link.added, qt.HasLen, 0)
}

// Guards against checks of all nodes at the same few endpoints.
func TestNodesCheckDifferentEndpoints(t *testing.T) {
	c := qt.New(t)
	checked := map[string]bool{}
	for i := range 20 {
		n := newNode()
		opts := options()
		opts.Name = fmt.Sprint("n", i)
		n.post(OptionsChanged{opts})
		for i := range 40 {
			n.post(EntryPut{entry("desk", 10+i)})
		}
		check, _ := n.failLinks(1)
		checked[fmt.Sprint(check.Addresses)] = true
	}
	c.Check(len(checked) >= 10, qt.IsTrue, qt.Commentf("%d different checks", len(checked)))
}

// Guards against endpoints that are avoided, or reported to other nodes, for what the node's
// own links have failed.
func TestFailuresOfTheNodesLinksAreUndone(t *testing.T) {
	c := qt.New(t)
	n := newNode()
	opts := options()
	opts.Outcomes = true
	n.post(OptionsChanged{opts})
	n.failLinks(1)
	c.Check(n.Status(n.now).Cold > 0, qt.IsTrue)
	n.post(LinksChecked{})
	n.failLinks(2)
	n.arrive(3, "/draft/x")
	_, checked := find[CheckEndpoint](n.post(AttemptFinished{ID: 3, Result: Broken}))
	c.Check(checked, qt.IsFalse)
	for _, id := range []string{"model-0", "model-1", "model-2"} {
		n.post(EndpointChecked{Endpoint: id, Address: n.endpoints[id].entry.Address, Refused: true})
	}
	c.Check(n.Status(n.now).Cold, qt.Equals, 0)
	for _, o := range n.TakeObservations(n.now) {
		c.Check(o.Failures, qt.Equals, 0)
	}
	c.Check(len(n.Crashes(n.now)) <= 1, qt.IsTrue, qt.Commentf("only the first failure can be taken for the end of an endpoint"))
	n.post(LinksChecked{Reached: n.link.checked})
	for _, e := range n.endpoints {
		c.Check(n.usable(n.now, e), qt.IsTrue, qt.Commentf(e.entry.ID))
	}
}

// Guards against a node that stays cut off for longer than its links are, and against one
// that takes an old connection for a sign of sound links.
func TestStrandedNodeReconnects(t *testing.T) {
	c := qt.New(t)
	n := newNode()
	n.arrive(1, "/chat/x")
	n.strand()
	n.now = n.now.Add(linkCheckInterval)
	c.Check(n.NeedsTick(), qt.IsTrue)
	first, _ := find[CheckLinks](n.post(Ticked{}))
	n.post(LinksChecked{})
	_, again := find[CheckLinks](n.post(Ticked{}))
	c.Check(again, qt.IsFalse, qt.Commentf("it is too soon"))
	n.now = n.now.Add(linkCheckInterval)
	second, _ := find[CheckLinks](n.post(Ticked{}))
	c.Check(fmt.Sprint(first.Addresses), qt.Not(qt.Equals), fmt.Sprint(second.Addresses))
	n.post(AttemptFinished{ID: 1, Result: Answered, Status: 200, Connected: true, Took: time.Second})
	c.Check(n.stranded(), qt.IsTrue)
	ended := logged(n.post(LinksChecked{Reached: second.Addresses[:1]}), logger.NodeReconnected)
	c.Check(ended, qt.HasLen, 1)
	c.Check(n.stranded(), qt.IsFalse)
	c.Check(n.NeedsTick(), qt.IsFalse)

	n.now = n.now.Add(linkCheckInterval)
	n.strand()
	n.arrive(2, "/look/x")
	n.post(AttemptFinished{ID: 2, Result: Answered, Status: 200, Connected: true})
	c.Check(n.stranded(), qt.IsFalse)
}

// Guards against crashed endpoints whose ends are not recorded because the node checks its
// links.
func TestEndsOfEndpointsAreRecordedWhileLinksAreChecked(t *testing.T) {
	c := qt.New(t)
	ended := func(n *node) int { return len(n.Crashes(n.now)) }
	for _, test := range []struct {
		reached bool
		after   time.Duration
		want    int
	}{{true, 0, 2}, {false, maxEndingDelay, 2}, {false, 0, 1}} {
		n := newNode()
		check, _ := n.failLinks(1)
		if test.reached {
			n.post(LinksChecked{Reached: check.Addresses})
		}
		n.now = n.now.Add(test.after)
		n.post(Ticked{})
		c.Check(ended(n), qt.Equals, test.want, qt.Commentf("%+v", test))
	}
}

// Guards against endpoints that count as ended, and isolate the requests that a cut has broken
// off at them, because connections to all of them are refused.
func TestRefusedConnectionsAreAReasonToCheckLinks(t *testing.T) {
	c := qt.New(t)
	n := newNode()
	checks := 0
	for _, id := range []string{"desk-0", "desk-1", "model-0"} {
		for _, e := range n.post(EndpointChecked{Endpoint: id, Address: n.endpoints[id].entry.Address, Refused: true}) {
			if _, ok := e.(CheckLinks); ok {
				checks++
			}
		}
	}
	c.Check(checks, qt.Equals, 1)
	c.Check(n.Crashes(n.now), qt.HasLen, 1)
	n.post(LinksChecked{})
	n.now = n.now.Add(maxEndingDelay)
	n.post(Ticked{})
	c.Check(n.Crashes(n.now), qt.HasLen, 1)
}

// Guards against a check without endpoints, or one that blocks the next if its result is
// lost.
func TestLinkChecksAreRepeated(t *testing.T) {
	c := qt.New(t)
	n := newNode()
	n.failLinks(1)
	n.now = n.now.Add(linkCheckTimeout)
	_, again := find[CheckLinks](n.post(Ticked{}))
	c.Check(again, qt.IsTrue)
	n.post(LinksChecked{})
	n.post(EntriesListed{[]registrar.Entry{}})
	n.now = n.now.Add(time.Minute)
	_, again = find[CheckLinks](n.post(Ticked{}))
	c.Check(again, qt.IsFalse)
}
