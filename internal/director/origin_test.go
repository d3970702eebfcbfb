package director

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"snipedyke/internal/registrar"
	"snipedyke/internal/router"
	"snipedyke/pkg/encoder"
)

// newNodeWithVersions returns a node that has known three endpoints of the model
// service, with these versions, for long enough to know which versions were in use.
func newNodeWithVersions(versions ...string) *node {
	n := newNode()
	for i, version := range versions {
		n.putVersion(i, version)
	}
	n.advance(time.Minute)

	return n
}

// advance lets time pass in which the view is confirmed.
func (n *node) advance(d time.Duration) {
	for end := n.now.Add(d); n.now.Before(end); {
		n.now = n.now.Add(min(time.Second, end.Sub(n.now)))
		n.post(ViewConfirmed{n.now})
	}
}

// takeUp sends a request that takes up the stream of the request first, and returns
// the version of the endpoint that it is sent to, or an empty string.
func (n *node) takeUp(id uint64, first string) string {
	n.post(Arrived{Request{
		ID: id, Name: fmt.Sprint("r", id), Host: "h", Path: "/draft/1", Key: "key", Deadline: 5 * time.Second, Continues: true, Resumes: first,
	}})

	return n.sentTo()
}

// sentTo returns the version of the endpoint that the last event has sent a request
// to, or an empty string.
func (n *node) sentTo() string {
	if sent, ok := find[Dispatch](n.effects); ok {
		return n.endpoints[sent.Endpoint].entry.Version
	}

	return ""
}

// Guards against a caller's text that is joined from two software versions because
// its stream is taken up again at another version than the one that began it.
func TestTakenUpStreamGoesOnAtItsVersion(t *testing.T) {
	c := qt.New(t)
	n := newNodeWithVersions("1", "2", "3")
	for id := uint64(1); id < 30; id++ {
		first := n.endpoints[n.begin(id)]
		version := first.entry.Version
		n.post(CallerDisconnected{ID: id})
		n.post(AttemptFinished{ID: id, Result: Cancelled, Relayed: true})
		// A new request would go to an endpoint with less load.
		n.post(OthersLoadReplaced{Others: encoder.LoadSum{Nodes: 5, Loads: []encoder.Load{{Endpoint: first.number, Running: 3}}}})
		c.Check(n.takeUp(100+id, fmt.Sprint("r", id)), qt.Equals, version)
		// It is taken up a second time, after which the first attempt is still named.
		n.post(ResponseStarted{ID: 100 + id, Wait: time.Millisecond})
		n.advance(6 * time.Second)
		n.post(AttemptFinished{ID: 100 + id, Result: Broken, Relayed: true})
		c.Check(n.takeUp(200+id, fmt.Sprint("r", id)), qt.Equals, version)
		n.post(AttemptFinished{ID: 200 + id, Result: Answered, Status: 200})
	}
}

// Guards against joined texts after the first node of a stream was lost: what it
// announced must suffice for another node, whether it was told or asks.
func TestStreamOfLostNodeGoesOnAtItsVersion(t *testing.T) {
	c := qt.New(t)
	for _, told := range []bool{true, false} {
		lost := newNodeWithVersions("1", "1", "2")
		other, informed := newNodeWithVersions("2", "1", "2"), newNodeWithVersions("2", "2", "2")
		for id := uint64(1); id < 10; id++ {
			version := lost.endpoints[lost.begin(id)].entry.Version
			announced, ok := find[AnnounceOrigins](lost.effects)
			c.Assert(ok, qt.IsTrue)
			learner := informed
			if told {
				learner = other
			}
			learner.post(OriginsLearned{List: announced.List})
			sent := other.takeUp(id, fmt.Sprint("r", id))
			if !told {
				c.Check(sent, qt.Equals, "")
				asked, _ := find[AskOrigin](other.effects)
				reply, known := informed.Origin(informed.now, asked.Key, asked.Service)
				c.Assert(known, qt.IsTrue)
				other.post(OriginsLearned{List: []encoder.Origin{reply}})
				sent = other.sentTo()
			}
			c.Check(sent, qt.Equals, version)
		}
	}
}

// Guards against streams that began before a second version appeared, and that no
// other node knows of when their node is lost.
func TestRunningStreamsAreAnnouncedWhenVersionAppears(t *testing.T) {
	c := qt.New(t)
	n := newNodeWithVersions("1", "1", "1")
	n.begin(1)
	_, announced := find[AnnounceOrigins](n.effects)
	c.Check(announced, qt.IsFalse)
	n.putVersion(3, "2")
	list, _ := find[AnnounceOrigins](n.effects)
	c.Assert(list.List, qt.HasLen, 1)
	c.Check(list.List[0].Version, qt.Equals, "1")
}

// Guards against a joined text where nothing is known of a stream, as after all
// nodes were lost at once, and against a refusal that comes late or is untrue.
func TestStreamOfUnknownVersionIsRefused(t *testing.T) {
	c := qt.New(t)
	for _, versions := range [][]string{{"1", "2", "2"}, {"2", "2", "2"}} {
		// The endpoints of version 1 may have left before this node started.
		n := newNode()
		for i, version := range versions {
			n.putVersion(i, version)
		}
		c.Check(n.takeUp(1, "x"), qt.Equals, "")
		for range 20 {
			n.now = n.now.Add(10 * time.Millisecond)
			n.post(Ticked{})
			if _, refused := find[Refuse](n.effects); refused {
				break
			}
		}
		refuse, _ := find[Refuse](n.effects)
		c.Check(refuse.Status, qt.Equals, 503)
		c.Check(refuse.Reason, qt.Equals, ReasonVersionUnknown)
		c.Check(n.now.Sub(start.Add(discoveryPeriod)) <= 200*time.Millisecond, qt.IsTrue)
		c.Check(n.NeedsTick(), qt.IsFalse)
	}
}

// Guards against streams that are refused although only one version can have begun
// them, whether their callers name the first attempt or not.
func TestStreamOfSoleVersionGoesOn(t *testing.T) {
	c := qt.New(t)
	n := newNodeWithVersions("1", "1", "1")
	c.Check(n.takeUp(1, "x"), qt.Equals, "1")
	c.Check(n.takeUp(2, ""), qt.Equals, "1")
	// The last endpoint of another version left a minute ago.
	n.putVersion(3, "2")
	c.Check(n.takeUp(3, "x"), qt.Equals, "")
	n.post(EntryRemoved{ID: entry("model", 3).ID})
	c.Check(n.takeUp(4, "x"), qt.Equals, "")
	n.advance(time.Minute)
	c.Check(n.takeUp(5, "x"), qt.Equals, "1")
}

// Guards against a node that has just started, or whose view had a gap, taking the
// versions that it sees for all that were in use, although others know better.
func TestNodeThatMayHaveMissedVersionsAsks(t *testing.T) {
	c := qt.New(t)
	n := newNodeWithVersions("1", "1", "1")
	n.now = n.now.Add(5 * time.Second)
	n.post(EntriesListed{n.entries("model")})
	n.post(ViewConfirmed{n.now})
	c.Check(n.takeUp(1, "x"), qt.Equals, "")
	asked, _ := find[AskOrigin](n.effects)
	informed := newNodeWithVersions("1", "1", "1")
	informed.advance(5 * time.Second)
	reply, known := informed.Origin(informed.now, asked.Key, asked.Service)
	c.Check(known && reply.Sole, qt.IsTrue)
	n.post(OriginsLearned{List: []encoder.Origin{reply}})
	c.Check(n.sentTo(), qt.Equals, "1")
	n.advance(time.Minute)
	c.Check(n.takeUp(2, "x"), qt.Equals, "1")
}

// Guards against an account that learns of another account's stream, or steers it.
func TestStreamsOfOtherAccountsAreUnknown(t *testing.T) {
	c := qt.New(t)
	a, b := router.Account{Name: "a"}, router.Account{Name: "b"}
	key := func(account *router.Account) uint64 {
		return streamKey(&request{account: account, service: &service{name: "model"}}, "r1")
	}
	c.Check(key(&a), qt.Not(qt.Equals), key(&b))
	n := newNodeWithVersions("1", "2", "2")
	n.post(OriginsLearned{List: []encoder.Origin{{Key: key(&a), Version: "1"}}})
	c.Check(n.takeUp(1, "r1"), qt.Equals, "")
}

// Guards against a joined text after a stream's requests have moved to another
// service, where only one version serves.
func TestMovedRouteDoesNotTakeUpStreamsOfItsFormerService(t *testing.T) {
	c := qt.New(t)
	n := newNodeWithVersions("1", "1", "1")
	definition := func(version uint64, serviceName string) *router.Table {
		table, err := router.New(router.Definition{
			Version: version, Services: []router.Service{{Name: "model"}, {Name: "desk"}},
			Routes: []router.Route{{Name: "draft", Host: "h", Prefix: "/draft/", Kind: router.Stream, Resumable: true, Public: true, Timeout: 6 * time.Second,
				LatencyTarget: 600 * time.Millisecond, Attempts: 2, Shares: []router.Share{{Service: serviceName, Weight: 1}}}},
		})
		c.Assert(err, qt.IsNil)

		return table
	}
	n.post(TableLoaded{definition(2, "model")})
	c.Check(n.takeUp(1, "x"), qt.Equals, "1")
	outdated := newNodeWithVersions("1", "1", "1")
	outdated.post(TableLoaded{definition(2, "model")})
	outdated.now = outdated.now.Add(time.Second)
	outdated.takeUp(1, "x")
	outdated.post(TableLoaded{definition(3, "desk")})
	outdated.post(ViewConfirmed{outdated.now})
	c.Check(outdated.sentTo(), qt.Equals, "")
	c.Check(outdated.tickUntilRefused().Reason, qt.Equals, ReasonVersionUnknown)
	n.post(TableLoaded{definition(3, "desk")})
	n.takeUp(2, "x")
	_, sent := find[Dispatch](n.effects)
	c.Check(sent, qt.IsFalse)
	n.advance(time.Minute)
	n.takeUp(3, "x")
	_, sent = find[Dispatch](n.effects)
	c.Check(sent, qt.IsTrue)
}

// Guards against a joined text where callers do not name the streams that they take
// up again: what is known of one of them says nothing about another.
func TestUnnamedStreamsAreNotTakenForEachOther(t *testing.T) {
	c := qt.New(t)
	n := newNodeWithVersions("1", "1", "1")
	c.Assert(n.takeUp(1, ""), qt.Equals, "1")
	n.post(ResponseStarted{ID: 1, Wait: time.Millisecond})
	n.post(AttemptFinished{ID: 1, Result: Answered, Status: 200, Relayed: true})
	n.putVersion(0, "2")
	n.putVersion(1, "2")
	c.Check(n.takeUp(2, ""), qt.Equals, "")
}

// Guards against a stream without a name that is taken for those that callers take up
// again without naming them.
func TestStreamsWithoutNameAreNotTakenForUnnamedOnes(t *testing.T) {
	c := qt.New(t)
	n := newNodeWithVersions("1", "2", "2")
	n.post(Arrived{Request{ID: 1, Host: "h", Path: "/draft/1", Key: "key", Deadline: 5 * time.Second}})
	c.Assert(n.sentTo(), qt.Not(qt.Equals), "")
	n.post(ResponseStarted{ID: 1, Wait: time.Millisecond})
	c.Check(n.takeUp(2, ""), qt.Equals, "")
}

// Guards against a joined text because a node that has not yet read the routes after
// its start tells another node that only one version was in use.
func TestNodeWithoutRoutesKnowsNoOrigin(t *testing.T) {
	c := qt.New(t)
	n := &node{Director: New(options()), now: start}
	n.post(EntriesListed{[]registrar.Entry{entry("model", 0)}})
	n.post(ViewConfirmed{n.now})
	_, known := n.Origin(n.now, 1, "model")
	c.Check(known, qt.IsFalse)
}
