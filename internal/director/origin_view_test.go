package director

import (
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"snipedyke/internal/registrar"
	"snipedyke/pkg/encoder"
)

// entries returns the entries of a service's endpoints.
func (n *node) entries(service string) []registrar.Entry {
	list := make([]registrar.Entry, 0, len(n.services[service].endpoints))
	for _, e := range n.services[service].endpoints {
		list = append(list, e.entry)
	}

	return list
}

// tickUntilRefused lets time pass in which nothing is learned until a request is
// refused, for one second at most, and returns the refusal.
func (n *node) tickUntilRefused() Refuse {
	for range 100 {
		n.now = n.now.Add(10 * time.Millisecond)
		n.post(Ticked{})
		if refuse, ok := find[Refuse](n.effects); ok {
			return refuse
		}
	}

	return Refuse{}
}

// Guards against a joined text at a node that was cut off, or stood still, while
// endpoints of another version joined: its view is accepted, but does not show them.
func TestOlderViewDoesNotProveTheSoleVersion(t *testing.T) {
	c := qt.New(t)
	for _, age := range []time.Duration{100 * time.Millisecond, 2400 * time.Millisecond, options().FreshView} {
		n := newNodeWithVersions("1", "1", "1")
		n.now = n.now.Add(age)
		c.Check(n.takeUp(1, "x"), qt.Equals, "", qt.Commentf("view of age %v", age))
		_, confirming := find[ConfirmView](n.effects)
		c.Check(confirming, qt.IsTrue)
		n.putVersion(3, "2")
		n.now = n.now.Add(5 * time.Millisecond)
		n.post(ViewConfirmed{n.now})
		c.Check(n.sentTo(), qt.Equals, "")
		c.Check(n.tickUntilRefused().Reason, qt.Equals, ReasonVersionUnknown)
	}
}

// Guards against streams that are refused although the store says at once that no
// other version has joined.
func TestTakeUpGoesOnWhenTheViewIsConfirmed(t *testing.T) {
	c := qt.New(t)
	n := newNodeWithVersions("1", "1", "1")
	n.now = n.now.Add(1200 * time.Millisecond)
	c.Check(n.takeUp(1, "x"), qt.Equals, "")
	// A read that began before the request says nothing of the time in between.
	n.post(ViewConfirmed{n.now.Add(-time.Millisecond)})
	c.Check(n.sentTo(), qt.Equals, "")
	n.now = n.now.Add(5 * time.Millisecond)
	n.post(ViewConfirmed{n.now})
	c.Check(n.sentTo(), qt.Equals, "1")
	c.Check(n.NeedsTick(), qt.IsFalse)
}

// Guards against a request that hangs, or is sent, at a node that reaches neither the
// store nor other nodes.
func TestTakeUpAtNodeThatReachesNobodyIsRefused(t *testing.T) {
	c := qt.New(t)
	n := newNodeWithVersions("1", "1", "1")
	n.now = n.now.Add(2 * time.Second)
	arrived := n.now
	c.Check(n.takeUp(1, "x"), qt.Equals, "")
	refuse := n.tickUntilRefused()
	c.Check(refuse.Status, qt.Equals, 503)
	c.Check(refuse.Reason, qt.Equals, ReasonVersionUnknown)
	c.Check(n.now.Sub(arrived) <= confirmTimeout, qt.IsTrue)
}

// Guards against a joined text where the node that is asked is the one that was cut
// off: its view ends before the asking node's begins, or has fewer versions.
func TestOlderViewOfAnotherNodeDoesNotProveTheSoleVersion(t *testing.T) {
	c := qt.New(t)
	for _, seen := range [][]string{{"1", "1", "2"}, {"1", "1", "1"}} {
		outdated := newNodeWithVersions("1", "1", "1")
		outdated.now = outdated.now.Add(3 * time.Second)
		n := newNodeWithVersions(seen...)
		n.now = outdated.now
		if seen[2] == "1" {
			// Its view had a longer gap, in which endpoints may have come and gone.
			n.now = n.now.Add(3 * time.Second)
			outdated.now = n.now
			outdated.post(ViewConfirmed{n.now.Add(-3 * time.Second)})
			n.post(EntriesListed{n.entries("model")})
		}
		n.post(ViewConfirmed{n.now})
		c.Check(n.takeUp(1, "x"), qt.Equals, "")
		asked, _ := find[AskOrigin](n.effects)
		reply, known := outdated.Origin(outdated.now, asked.Key, asked.Service)
		c.Assert(known && reply.Sole, qt.IsTrue)
		n.post(OriginsLearned{List: []encoder.Origin{reply}})
		c.Check(n.sentTo(), qt.Equals, "")
	}
}

// Guards against streams that are refused while the store is down although most nodes
// agree, and against joined texts at a node that is cut off from the store, alone or
// with others that it reaches.
func TestMostNodesReplaceAStoreThatDoesNotAnswer(t *testing.T) {
	c := qt.New(t)
	for _, test := range []struct {
		name string
		// versions holds, for each other node that answers, its third version.
		versions []string
		want     string
	}{
		{name: "four of seven", versions: []string{"1", "1", "1"}, want: "1"},
		{name: "three of seven", versions: []string{"1", "1"}},
		{name: "one knows of another version", versions: []string{"1", "1", "1", "2"}},
		{name: "no answer"},
	} {
		n := newNodeWithVersions("1", "1", "1")
		n.post(OthersLoadReplaced{Others: encoder.LoadSum{Nodes: 6}})
		n.now = n.now.Add(2 * time.Second)
		sent := n.takeUp(1, "x")
		for range 100 {
			n.now = n.now.Add(10 * time.Millisecond)
			n.post(Ticked{})
			sent += n.sentTo()
			asked, ok := find[AskOrigin](n.effects)
			if !ok {
				continue
			}
			for i, version := range test.versions {
				other := newNodeWithVersions("1", "1", version)
				other.now = n.now
				reply, known := other.Origin(other.now, asked.Key, asked.Service)
				c.Assert(known, qt.IsTrue)
				from := netip.AddrFrom4([4]byte{10, 0, 0, byte(i)})
				n.post(OriginsLearned{List: []encoder.Origin{reply}, From: from})
				sent += n.sentTo()
			}
		}
		c.Check(sent, qt.Equals, test.want, qt.Commentf(test.name))
	}
}
