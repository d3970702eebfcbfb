package director

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against a joined text where a stream has begun at an endpoint that only a
// node with an older view still used: nodes accept keys in a view of that age.
func TestStreamOfNodeWithOlderViewDoesNotGoOnAtAnotherVersion(t *testing.T) {
	c := qt.New(t)
	other := newNodeWithVersions("1", "2", "2")
	// The endpoint leaves the view that the other node sees. The node where the
	// stream begins does not, and sends requests to it while its view is accepted.
	other.post(EntryRemoved{ID: entry("model", 0).ID})
	other.advance(options().KeyLease)
	// The stream lasts as long as its route allows.
	other.advance(other.table.LongestResumable())
	c.Check(other.takeUp(1, "x"), qt.Equals, "")
}

// Guards against a stream that goes on at the version that its endpoint had before it
// started again under its ID, shortly before the stream began.
func TestStreamOfRestartedEndpointDoesNotGoOnAtItsFormerVersion(t *testing.T) {
	c := qt.New(t)
	n := newNodeWithVersions("1", "1", "1")
	// The endpoint starts again at version 2 before the request is sent, and the view
	// shows it only later.
	born := n.now
	n.now = n.now.Add(50 * time.Millisecond)
	first := n.begin(1)
	n.now = n.now.Add(50 * time.Millisecond)
	restarted := n.endpoints[first].entry
	restarted.Version, restarted.Born = "2", born.UnixMilli()
	n.post(EntryPut{restarted})
	n.post(AttemptFinished{ID: 1, Result: Broken, Relayed: true})
	c.Check(n.sentTo(), qt.Not(qt.Equals), "1")
	c.Check(n.takeUp(2, "r1"), qt.Not(qt.Equals), "1")
}

// Guards against a stream that is bound to the version that its endpoint had when the
// request was sent, after the endpoint has started again with another one.
func TestStreamThatBeginsAfterItsEndpointHasRestartedIsNotBound(t *testing.T) {
	c := qt.New(t)
	n := newNodeWithVersions("1", "1", "1")
	sent, _ := find[Dispatch](n.arrive(1, "/draft/1"))
	restarted := n.endpoints[sent.Endpoint].entry
	restarted.Version, restarted.Born = "2", n.now.UnixMilli()
	n.post(EntryPut{restarted})
	n.post(ResponseStarted{ID: 1, Wait: time.Millisecond})
	n.post(AttemptFinished{ID: 1, Result: Broken, Relayed: true})
	c.Check(n.sentTo(), qt.Equals, "")
	c.Check(n.takeUp(2, "r1"), qt.Equals, "")
}
