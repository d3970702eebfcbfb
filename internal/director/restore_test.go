package director

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"snipedyke/internal/registrar"
	"snipedyke/internal/router"
)

// published returns the entry of an endpoint of service desk as of a
// publication.
func published(i int, born int64, sequence uint64) registrar.Entry {
	e := entry("desk", i)
	e.Born, e.Sequence = born, sequence

	return e
}

// newRestoredNode returns a node that knows the entries and has been told that
// the store came back from an older copy. Before, departed is removed.
func newRestoredNode(known []registrar.Entry, departed ...string) *node {
	n := &node{Director: New(options()), now: start}
	n.post(TableLoaded{table(1)})
	n.post(EntriesListed{known})
	n.post(ViewConfirmed{n.now})
	for _, id := range departed {
		n.post(EntryRemoved{id})
	}
	n.post(ViewRestored{})

	return n
}

// sends returns how many of 60 concurrent requests each endpoint gets.
func (n *node) sends() map[string]int {
	sent := map[string]int{}
	n.post(ViewConfirmed{n.now})
	n.post(Ticked{})
	var running []uint64
	for range 60 {
		n.lastID++
		if d, ok := find[Dispatch](n.arrive(n.lastID, "/look/1")); ok {
			sent[d.Endpoint]++
			running = append(running, n.lastID)
		} else {
			n.post(CallerDisconnected{n.lastID})
		}
	}
	for _, id := range running {
		n.post(AttemptFinished{ID: id, Result: Answered, Status: 200})
	}

	return sent
}

// Guards against new requests to an endpoint that drains, after the store came
// back from a copy in which it does not.
func TestDrainingEndpointGetsNoRequestsAfterRestore(t *testing.T) {
	c := qt.New(t)
	draining := published(0, 1, 8)
	draining.Draining = true
	for _, sequence := range []uint64{7, 8} {
		n := newRestoredNode([]registrar.Entry{draining, published(1, 1, 3)})
		list := EntriesListed{[]registrar.Entry{published(0, 1, sequence), published(1, 1, 3)}}
		n.post(list)
		c.Check(n.sends()[draining.ID], qt.Equals, 0, qt.Commentf("sequence %d", sequence))
		// The history of the restored store may be lost too.
		n.post(list)
		c.Check(n.sends()[draining.ID], qt.Equals, 0, qt.Commentf("sequence %d, second list", sequence))
	}
}

// Guards against new requests to an endpoint that has left, which a copy brings
// back, and against losing an endpoint that had only been cut off.
func TestDepartedEndpointGetsNoRequestsUntilItPublishes(t *testing.T) {
	c := qt.New(t)
	known := []registrar.Entry{published(0, 1, 8), published(1, 1, 3)}
	for _, copied := range []registrar.Entry{published(0, 1, 8), published(0, 1, 7), published(0, 0, 9)} {
		n := newRestoredNode(known, known[0].ID)
		n.post(EntriesListed{[]registrar.Entry{copied, known[1]}})
		c.Check(n.sends()[copied.ID], qt.Equals, 0)
		n.post(EntryPut{published(0, 1, 9)})
		c.Check(n.sends()[copied.ID] > 0, qt.IsTrue)

		n = newRestoredNode(known, known[0].ID)
		n.post(EntriesListed{[]registrar.Entry{copied, known[1]}})
		n.post(EntryRemoved{copied.ID})
		n.now = n.now.Add(time.Minute)
		c.Check(n.sends()[copied.ID], qt.Equals, 0, qt.Commentf("removed again"))

		// The entry of an endpoint that publishes without a change stays.
		n = newRestoredNode(known, known[0].ID)
		n.post(EntriesListed{[]registrar.Entry{copied, known[1]}})
		c.Check(n.NeedsTick(), qt.IsTrue)
		n.now = n.now.Add(time.Minute)
		c.Check(n.sends()[copied.ID] > 0, qt.IsTrue, qt.Commentf("not removed again"))
		c.Check(n.NeedsTick(), qt.IsFalse)
	}
}

// Guards against requests to a departed endpoint whose entry in the copy has not
// expired yet, since endpoints publish rarely or their interval has changed.
func TestDepartedEndpointStaysOutUntilItsEntryExpires(t *testing.T) {
	c := qt.New(t)
	known := []registrar.Entry{published(0, 1, 8), published(1, 1, 3)}
	for _, interval := range []time.Duration{time.Second, 5 * time.Second} {
		slow := options()
		slow.PublicationInterval = interval
		n := &node{Director: New(options()), now: start}
		n.post(OptionsChanged{slow})
		n.post(TableLoaded{table(1)})
		n.post(EntriesListed{known})
		n.post(EntryRemoved{known[0].ID})
		n.post(ViewRestored{})
		n.post(EntriesListed{known})
		n.now = n.now.Add(3*interval + time.Second)
		c.Check(n.sends()[known[0].ID], qt.Equals, 0, qt.Commentf("interval %s", interval))
		n.now = n.now.Add(2 * interval)
		c.Check(n.sends()[known[0].ID] > 0, qt.IsTrue, qt.Commentf("interval %s", interval))
	}
}

// Guards against losing a restarted endpoint of which the copy contains an
// earlier incarnation, and against ignoring what the copy says that is newer.
func TestNewerIncarnationIsUsedAfterRestore(t *testing.T) {
	c := qt.New(t)
	restarted := published(0, 2, 1)
	gone := published(2, 1, 5)
	n := newRestoredNode([]registrar.Entry{restarted, published(1, 1, 3), gone}, gone.ID)
	earlier := published(0, 1, 90)
	earlier.Draining = true
	draining := published(1, 1, 4)
	draining.Draining = true
	n.post(EntriesListed{[]registrar.Entry{earlier, draining, published(2, 2, 1)}})
	sent := n.sends()
	c.Check(sent[restarted.ID] > 0, qt.IsTrue)
	c.Check(sent[draining.ID], qt.Equals, 0)
	c.Check(sent[gone.ID] > 0, qt.IsTrue)
}

// Guards against losing running endpoints that the copy lacks, and against
// keeping those that do not publish again.
func TestEndpointsMissingInCopyAreHeld(t *testing.T) {
	c := qt.New(t)
	draining := published(2, 1, 5)
	draining.Draining = true
	n := newRestoredNode([]registrar.Entry{published(0, 1, 8), published(1, 1, 3), draining})
	n.post(EntriesListed{nil})
	c.Check(n.Status(n.now).Endpoints, qt.Equals, 2, qt.Commentf("a draining endpoint is not held"))
	n.post(EntryPut{published(1, 1, 4)})
	c.Check(n.sends(), qt.HasLen, 2)
	n.now = n.now.Add(registrar.HoldTime)
	c.Check(n.sends(), qt.HasLen, 1)
	c.Check(n.Status(n.now).Endpoints, qt.Equals, 1)
	c.Check(n.NeedsTick(), qt.IsFalse)
}

// Guards against new requests to a data centre that is out of service, after the
// store came back from a copy that lacks this.
func TestDataCentreStaysOutAfterRestore(t *testing.T) {
	c := qt.New(t)
	usable := func(n *node) bool { return len(n.sends()) > 0 }
	restored := func() *node {
		n := newRestoredNode(nil)
		n.post(CentresOut{[]string{"kochi"}})
		n.post(ViewRestored{})
		n.post(CentresOut{nil})
		n.post(EntriesListed{[]registrar.Entry{published(0, 1, 3)}})
		c.Check(usable(n), qt.IsFalse)

		return n
	}
	// The operator does not write it again.
	n := restored()
	n.post(CentresOut{[]string{"kollam"}})
	n.now = n.now.Add(registrar.CentreHoldTime - time.Millisecond)
	c.Check(usable(n), qt.IsFalse)
	n.now = n.now.Add(time.Millisecond)
	c.Check(usable(n), qt.IsTrue)
	c.Check(n.NeedsTick(), qt.IsFalse)

	// The operator writes it again, and takes it back.
	n = restored()
	n.post(CentresOut{[]string{"kochi"}})
	n.now = n.now.Add(time.Minute)
	c.Check(usable(n), qt.IsFalse)
	n = restored()
	n.post(CentresOut{[]string{"kochi"}})
	n.post(CentresOut{nil})
	c.Check(usable(n), qt.IsTrue)

	// The store is away again before the operator can write.
	n = restored()
	n.post(ViewLost{"down"})
	n.now = n.now.Add(time.Minute)
	n.post(Ticked{})
	n.post(ViewReachable{n.now})
	c.Check(usable(n), qt.IsFalse)
	n.now = n.now.Add(registrar.CentreHoldTime)
	c.Check(usable(n), qt.IsTrue)

	// A data centre that the copy shows as out is not used.
	n = newRestoredNode(nil)
	n.post(CentresOut{[]string{"kochi"}})
	n.post(EntriesListed{[]registrar.Entry{published(0, 1, 3)}})
	n.now = n.now.Add(time.Minute)
	c.Check(usable(n), qt.IsFalse)
	n.post(CentresOut{nil})
	c.Check(usable(n), qt.IsTrue)
}

// Guards against requests to a data centre between the end of the hold of entries
// and the operator's repeated write, which may come 5 s after the restore.
func TestDataCentreStaysOutUntilOperatorWritesAgain(t *testing.T) {
	c := qt.New(t)
	n := newRestoredNode(nil)
	n.post(CentresOut{[]string{"kochi"}})
	n.post(ViewRestored{})
	n.post(CentresOut{nil})
	n.post(EntriesListed{[]registrar.Entry{published(0, 1, 3)}})
	for range 49 {
		n.now = n.now.Add(100 * time.Millisecond)
		c.Assert(n.sends(), qt.HasLen, 0, qt.Commentf("%s after the restore", n.now.Sub(start)))
	}
	n.post(CentresOut{[]string{"kochi"}})
	n.now = n.now.Add(time.Minute)
	c.Check(n.sends(), qt.HasLen, 0)
}

// Guards against accepting a key again that was revoked by a version of the
// table which a restored store lacks, and against nodes that do not become ready
// again because their version is newer.
func TestRevokedKeyStaysRevokedAfterRestore(t *testing.T) {
	c := qt.New(t)
	revoked, err := router.New(router.Definition{
		Version: 7, Services: []router.Service{{Name: "desk"}},
		Routes: []router.Route{{Name: "look", Host: "h", Prefix: "/look/", Kind: router.Safe, Timeout: time.Second, LatencyTarget: time.Second, Attempts: 1, Shares: []router.Share{{Service: "desk", Weight: 1}}}},
	})
	c.Assert(err, qt.IsNil)
	n := newNode()
	n.post(TableLoaded{revoked})
	n.post(ViewLost{"down"})
	n.now = n.now.Add(options().KeyLease + time.Millisecond)
	refuse, _ := find[Refuse](n.arrive(1, "/look/1"))
	c.Check(refuse.Status, qt.Equals, 503, qt.Commentf("the view is too old to refuse for good"))
	c.Check(n.Ready(), qt.IsFalse)
	n.post(ViewRestored{})
	n.post(TableLoaded{table(6)})
	n.post(CentresOut{})
	n.post(EntriesListed{[]registrar.Entry{published(0, 1, 3)}})
	c.Check(n.Ready(), qt.IsFalse, qt.Commentf("the view is not confirmed yet"))
	n.post(ViewConfirmed{n.now})
	c.Check(n.Ready(), qt.IsTrue)
	refuse, _ = find[Refuse](n.arrive(2, "/look/1"))
	c.Check(refuse.Status, qt.Equals, 401)
	c.Check(n.Table().Version(), qt.Equals, uint64(7))
	n.post(TableLoaded{table(8)})
	_, sent := find[Dispatch](n.arrive(3, "/look/1"))
	c.Check(sent, qt.IsTrue)
}

// Guards against a node that starts after a restore and accepts revoked keys, or
// refuses added routes and keys for good, since it has read the older table only;
// and against one that waits longer than missingTableTime for a version which is
// not written.
func TestNodeWaitsForTableThatStoreHasLost(t *testing.T) {
	c := qt.New(t)
	n := newNode()
	statuses := func() []int {
		n.post(ViewConfirmed{n.now})
		list := make([]int, 0, 2)
		for _, path := range []string{"/look/1", "/added/1"} {
			n.lastID++
			refuse, _ := find[Refuse](n.arrive(n.lastID, path))
			list = append(list, refuse.Status)
			n.post(CallerDisconnected{n.lastID})
		}

		return list
	}
	c.Check(n.Ready(), qt.IsTrue)
	c.Check(statuses(), qt.DeepEquals, []int{0, 404})
	version := n.Table().Version()
	n.post(TableMissing{version})
	c.Check(n.Ready(), qt.IsTrue)

	n.post(TableMissing{version + 2})
	c.Check(n.Ready(), qt.IsFalse)
	c.Check(statuses(), qt.DeepEquals, []int{503, 503})
	n.post(TableLoaded{table(version + 1)})
	c.Check(statuses(), qt.DeepEquals, []int{503, 503})
	n.post(TableLoaded{table(version + 2)})
	c.Check(n.Ready(), qt.IsTrue)
	c.Check(statuses(), qt.DeepEquals, []int{0, 404})

	// The next copy of the store has lost a version too, and it is not written.
	n.post(ViewRestored{})
	end := n.now.Add(missingTableTime)
	for n.now.Before(end) {
		n.post(TableMissing{version + 3 + uint64(n.now.Sub(start))})
		c.Assert(n.Ready(), qt.IsFalse, qt.Commentf("%s", end.Sub(n.now)))
		c.Assert(statuses(), qt.DeepEquals, []int{503, 503})
		n.now = n.now.Add(missingTableTime / 10)
	}
	n.post(TableMissing{version + 4 + uint64(n.now.Sub(start))})
	c.Check(statuses(), qt.DeepEquals, []int{0, 404})
	c.Check(n.Ready(), qt.IsTrue)
}
