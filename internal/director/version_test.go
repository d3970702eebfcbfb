package director

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"snipedyke/internal/router"
	"snipedyke/pkg/encoder"
)

// putVersion publishes an endpoint of the model service with a version.
func (n *node) putVersion(i int, version string) {
	e := entry("model", i)
	e.Version = version
	n.post(EntryPut{e})
}

// begin sends a resumable stream and reports its first event. It returns the
// endpoint.
func (n *node) begin(id uint64) string {
	sent, _ := find[Dispatch](n.arrive(id, "/draft/1"))
	n.post(ResponseStarted{ID: id, Wait: time.Millisecond})

	return sent.Endpoint
}

// newNodeWithStream returns a node with a stream that has begun at version 1. The
// other two endpoints of the service have the given versions.
func newNodeWithStream(c *qt.C, versions ...string) *node {
	first := newNode().begin(1)
	n := newNode()
	for i := range 3 {
		if entry("model", i).ID == first {
			n.putVersion(i, "1")
		} else {
			n.putVersion(i, versions[0])
			versions = versions[1:]
		}
	}
	c.Assert(n.begin(1), qt.Equals, first)

	return n
}

// Guards against a stream that goes on at another software version than the one
// that began it, after its endpoint has failed, declined or fallen silent.
func TestStreamDoesNotGoOnAtAnotherVersion(t *testing.T) {
	c := qt.New(t)
	for _, result := range []Result{Broken, TimedOut, Declined} {
		n := newNodeWithStream(c, "2", "2")
		n.post(AttemptStalled{ID: 1, Silent: time.Second, Relayed: true})
		_, replaced := find[GiveUp](n.effects)
		c.Check(replaced, qt.IsFalse)
		n.post(AttemptFinished{ID: 1, Result: result, Relayed: true})
		_, resumed := find[Dispatch](n.effects)
		c.Check(resumed, qt.IsFalse, qt.Commentf("%s", result))
		aborted, _ := find[Abort](n.effects)
		c.Check(aborted.Reason, qt.Equals, ReasonVersionGone)
	}
}

// Guards against a stream that is cut off although its version still serves.
func TestStreamGoesOnAtItsVersion(t *testing.T) {
	c := qt.New(t)
	for _, versions := range [][]string{{"1", "2"}, {"2", "1"}} {
		n := newNodeWithStream(c, versions...)
		n.post(AttemptFinished{ID: 1, Result: Broken, Relayed: true})
		resumed, _ := find[Dispatch](n.effects)
		c.Check(resumed.Resume, qt.IsTrue)
		c.Check(n.endpoints[resumed.Endpoint].entry.Version, qt.Equals, "1")
	}
}

// Guards against callers that take a stream up again and again at endpoints that are
// full, as they are not told to wait.
func TestTakeUpAtFullEndpointsIsToldToWait(t *testing.T) {
	c := qt.New(t)
	n := newNodeWithVersions("1", "2", "2")
	n.post(OriginsLearned{List: []encoder.Origin{{Key: streamKey(&request{account: &router.Account{Name: "club"}, service: &service{name: "model"}}, "x"), Version: "1"}}})
	c.Assert(n.takeUp(1, "x"), qt.Equals, "1")
	refused, _ := find[Refuse](n.post(AttemptFinished{ID: 1, Result: Declined}))
	c.Check(refused.Status, qt.Equals, 503)
	c.Check(refused.RetryAfter > 0, qt.IsTrue)
	// Callers have no reason to wait for a version that has left.
	n.post(EntryRemoved{ID: entry("model", 0).ID})
	n.takeUp(2, "x")
	refused, _ = find[Refuse](n.effects)
	c.Check(refused.Reason, qt.Equals, ReasonVersionGone)
	c.Check(refused.RetryAfter, qt.Equals, time.Duration(0))
}
