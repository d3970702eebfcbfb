package registrar

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

const publicationInterval = 1200 * time.Millisecond

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func changes(events []Event) []Change {
	list := make([]Change, 0, len(events))
	for _, e := range events {
		list = append(list, e.Change)
	}

	return list
}

// Entries that expired during an outage must stay usable until the end of the
// hold period. They must then be removed if their endpoints have not published
// again.
func TestExpiredEntriesAreHeldAfterOutage(t *testing.T) {
	c := qt.New(t)
	r := New(publicationInterval)
	r.Put(Entry{ID: "lives"})
	r.Put(Entry{ID: "gone"})
	r.Put(Entry{ID: "drains", Draining: true})
	r.Reconnected(start)
	c.Check(r.Remove(start, "lives"), qt.HasLen, 0)
	c.Check(r.Remove(start, "gone"), qt.HasLen, 0)
	// The entry of a draining endpoint is not held, because the endpoint is
	// expected to end.
	c.Check(changes(r.Remove(start, "drains")), qt.DeepEquals, []Change{Removed})
	c.Check(r.Usable("lives"), qt.IsTrue)

	c.Check(r.Put(Entry{ID: "lives"}), qt.HasLen, 0)
	c.Check(r.Expire(start.Add(HoldTime-time.Millisecond)), qt.HasLen, 0)
	events := r.Expire(start.Add(HoldTime))
	c.Assert(events, qt.HasLen, 1)
	c.Check(events[0].Entry.ID, qt.Equals, "gone")
	c.Check(r.Usable("lives"), qt.IsTrue)
	c.Check(r.HasHeld(), qt.IsFalse)
}

// Without a recent outage, an endpoint must get no work after its entry is
// removed.
func TestRemovalIsImmediateWithoutOutage(t *testing.T) {
	c := qt.New(t)
	r := New(publicationInterval)
	r.Put(Entry{ID: "a"})
	c.Check(changes(r.Remove(start, "a")), qt.DeepEquals, []Change{Removed})
	c.Check(r.Usable("a"), qt.IsFalse)
}

// A restart with the same ID must be reported as a removal and an addition,
// because the new incarnation has none of the earlier one's state.
func TestRestartIsANewIncarnation(t *testing.T) {
	c := qt.New(t)
	r := New(publicationInterval)
	r.Put(Entry{ID: "a", Born: 1})
	c.Check(changes(r.Put(Entry{ID: "a", Born: 1, Cold: time.Second})), qt.DeepEquals, []Change{Updated})
	c.Check(changes(r.Put(Entry{ID: "a", Born: 2})), qt.DeepEquals, []Change{Removed, Added})
}

// Endpoints in a data centre that is out of service must get no work.
func TestDataCentreOut(t *testing.T) {
	c := qt.New(t)
	r := New(publicationInterval)
	r.Put(Entry{ID: "a", DataCentre: "kochi"})
	r.Put(Entry{ID: "b", DataCentre: "kollam"})
	back, _ := r.SetOut([]string{"kochi"})
	c.Check(back, qt.HasLen, 0)
	c.Check(r.Usable("a"), qt.IsFalse)
	c.Check(r.Usable("b"), qt.IsTrue)
	back, held := r.SetOut(nil)
	c.Check(back, qt.DeepEquals, []string{"kochi"})
	c.Check(held, qt.HasLen, 0)
	c.Check(r.Usable("a"), qt.IsTrue)
}

// Entries that a complete list does not contain must be removed.
func TestListReplacesEntries(t *testing.T) {
	c := qt.New(t)
	r := New(publicationInterval)
	r.Put(Entry{ID: "a"})
	r.Put(Entry{ID: "b"})
	c.Check(changes(r.Replace(start, []Entry{{ID: "b"}, {ID: "c"}})), qt.DeepEquals, []Change{Added, Removed})
	c.Check(r.Usable("a"), qt.IsFalse)
	c.Check(r.Len(), qt.Equals, 2)
}

// An endpoint that publishes again without a change must not be reported as
// updated, because an update marks it as cold again.
func TestRepeatedPublicationIsNoChange(t *testing.T) {
	c := qt.New(t)
	r := New(publicationInterval)
	r.Put(Entry{ID: "a", Born: 1, Sequence: 4, Cold: time.Second})
	c.Check(r.Put(Entry{ID: "a", Born: 1, Sequence: 4, Cold: time.Second}), qt.HasLen, 0)
	c.Check(changes(r.Put(Entry{ID: "a", Born: 1, Sequence: 5, Cold: time.Second})), qt.DeepEquals, []Change{Updated})
	c.Check(changes(r.Put(Entry{ID: "a", Born: 1, Sequence: 6})), qt.DeepEquals, []Change{Updated})
	c.Check(r.Put(Entry{ID: "a", Born: 1, Sequence: 7}), qt.HasLen, 0)
}

// Guards against an endpoint that has started again with other software being taken
// for the one that ran before, where its entry does not say when it started.
func TestNewVersionIsANewIncarnation(t *testing.T) {
	c := qt.New(t)
	r := New(publicationInterval)
	former := Entry{ID: "e", Service: "s", Version: "1"}
	r.Put(former)
	e := former
	e.Version = "2"
	events := r.Put(e)
	c.Assert(events, qt.HasLen, 2)
	c.Check(events[0], qt.Equals, Event{Change: Removed, Entry: former})
	c.Check(events[1], qt.Equals, Event{Change: Added, Entry: e})
}
