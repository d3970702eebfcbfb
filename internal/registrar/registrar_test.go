package registrar

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func changes(notices []Notice) []Change {
	list := make([]Change, 0, len(notices))
	for _, n := range notices {
		list = append(list, n.Change)
	}

	return list
}

// Guards against the loss of all endpoints when their entries lapsed during an
// outage, and against endpoints that stay although they are gone.
func TestLapsedEntriesAreHeldAfterAnOutage(t *testing.T) {
	c := qt.New(t)
	r := New()
	r.Put(Entry{ID: "lives"})
	r.Put(Entry{ID: "gone"})
	r.Put(Entry{ID: "drains", Draining: true})
	r.Regained(start)
	c.Check(r.Remove(start, "lives"), qt.HasLen, 0)
	c.Check(r.Remove(start, "gone"), qt.HasLen, 0)
	// An endpoint that announced its end needs no second chance.
	c.Check(changes(r.Remove(start, "drains")), qt.DeepEquals, []Change{Removed})
	c.Check(r.Usable("lives"), qt.IsTrue)

	c.Check(r.Put(Entry{ID: "lives"}), qt.HasLen, 0)
	c.Check(r.Expire(start.Add(HoldTime-time.Millisecond)), qt.HasLen, 0)
	notices := r.Expire(start.Add(HoldTime))
	c.Assert(notices, qt.HasLen, 1)
	c.Check(notices[0].Entry.ID, qt.Equals, "gone")
	c.Check(r.Usable("lives"), qt.IsTrue)
	c.Check(r.Held(), qt.IsFalse)
}

// Guards against work for an endpoint whose entry ended in calm times.
func TestRemovalIsAtOnceWithoutOutage(t *testing.T) {
	c := qt.New(t)
	r := New()
	r.Put(Entry{ID: "a"})
	c.Check(changes(r.Remove(start, "a")), qt.DeepEquals, []Change{Removed})
	c.Check(r.Usable("a"), qt.IsFalse)
}

// Guards against a restart under the same identifier that goes unnoticed: the
// new incarnation holds nothing of before.
func TestRestartIsANewIncarnation(t *testing.T) {
	c := qt.New(t)
	r := New()
	r.Put(Entry{ID: "a", Born: 1})
	c.Check(changes(r.Put(Entry{ID: "a", Born: 1, Cold: time.Second})), qt.DeepEquals, []Change{Updated})
	c.Check(changes(r.Put(Entry{ID: "a", Born: 2})), qt.DeepEquals, []Change{Removed, Added})
}

// Guards against work in a data centre that is taken out.
func TestDataCentreOut(t *testing.T) {
	c := qt.New(t)
	r := New()
	r.Put(Entry{ID: "a", DataCentre: "kochi"})
	r.Put(Entry{ID: "b", DataCentre: "kollam"})
	c.Check(r.SetOut([]string{"kochi"}), qt.HasLen, 0)
	c.Check(r.Usable("a"), qt.IsFalse)
	c.Check(r.Usable("b"), qt.IsTrue)
	c.Check(r.SetOut(nil), qt.DeepEquals, []string{"kochi"})
	c.Check(r.Usable("a"), qt.IsTrue)
}

// Guards against entries that a complete list lacks and that stay usable.
func TestListReplacesEntries(t *testing.T) {
	c := qt.New(t)
	r := New()
	r.Put(Entry{ID: "a"})
	r.Put(Entry{ID: "b"})
	c.Check(changes(r.Replace(start, []Entry{{ID: "b"}, {ID: "c"}})), qt.DeepEquals, []Change{Added, Removed})
	c.Check(r.Usable("a"), qt.IsFalse)
	c.Check(r.Len(), qt.Equals, 2)
}
