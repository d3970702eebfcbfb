package registrar

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// fleet is a model of endpoints, the service that they publish to and a
// registrar that follows it.
type fleet struct {
	*Registrar
	now time.Time
	// running holds the present state of each running endpoint, stored what the
	// service holds and saved an earlier copy of it.
	running, stored, saved map[string]Entry
	born                   int64
}

func (f *fleet) publish(id string) {
	e, ok := f.running[id]
	if !ok {
		delete(f.stored, id)
		f.Remove(f.now, id)

		return
	}
	e.Sequence++
	f.running[id], f.stored[id] = e, e
	f.Put(e)
}

// change starts, restarts, drains or ends an endpoint.
func (f *fleet) change(random *rand.Rand, id string) {
	e, running := f.running[id]
	switch {
	case !running || random.IntN(8) == 0:
		f.born++
		f.running[id] = Entry{ID: id, Born: f.born}
	case e.Draining:
		delete(f.running, id)
	default:
		e.Draining = random.IntN(2) == 0
		f.running[id] = e
	}
	f.publish(id)
}

// restore brings the service back from the earlier copy. Some endpoints publish
// before the copy is read.
func (f *fleet) restore(random *rand.Rand, ids []string) {
	f.stored = maps.Clone(f.saved)
	for _, id := range ids {
		if e, ok := f.running[id]; ok && random.IntN(4) == 0 {
			e.Sequence++
			f.running[id], f.stored[id] = e, e
		}
	}
	f.Restored(f.now)
	f.Replace(f.now, slices.Collect(maps.Values(f.stored)))
}

// Guards against work for endpoints that drain or have left, and against the
// loss of running ones, after restores from copies of any age.
func TestRandomRestores(t *testing.T) {
	c := qt.New(t)
	ids := make([]string, 6)
	for i := range ids {
		ids[i] = fmt.Sprint("e", i)
	}
	for seed := range uint64(500) {
		random := rand.New(rand.NewPCG(seed, 0))
		f := &fleet{Registrar: New(publicationInterval), now: start, running: map[string]Entry{}, stored: map[string]Entry{}, saved: map[string]Entry{}}
		check := func() {
			for _, id := range ids {
				e, running := f.running[id]
				usable := running && !e.Draining
				c.Assert(f.Usable(id), qt.Equals, usable, qt.Commentf("seed %d, %s", seed, id))
			}
		}
		for range 40 {
			f.now = f.now.Add(time.Duration(random.IntN(300)) * time.Millisecond)
			id := ids[random.IntN(len(ids))]
			switch random.IntN(6) {
			case 0:
				f.saved = maps.Clone(f.stored)
			case 1:
				f.restore(random, ids)
				if random.IntN(2) == 0 {
					f.Replace(f.now, slices.Collect(maps.Values(f.stored)))
				}
				for _, id := range ids {
					// An endpoint that started after the copy is known and held.
					f.Expire(f.now)
					check()
					f.publish(id)
				}
			default:
				f.change(random, id)
			}
			f.Expire(f.now)
			f.Reinstate(f.now)
			check()
		}
		f.Expire(f.now.Add(HoldTime))
		f.Reinstate(f.now.Add(doubtedPublications * publicationInterval))
		check()
		c.Assert(f.HasHeld(), qt.IsFalse)
	}
}

// Guards against a memory of departed endpoints that grows without bound.
func TestDeparturesAreBounded(t *testing.T) {
	c := qt.New(t)
	r := New(publicationInterval)
	for i := range maxDepartures + 10 {
		id := fmt.Sprint(i)
		r.Put(Entry{ID: id})
		r.Remove(start.Add(time.Duration(i)), id)
	}
	c.Check(r.departed, qt.HasLen, maxDepartures)
	r.Restored(start.Add(time.Second))
	last := Entry{ID: fmt.Sprint(maxDepartures + 9)}
	events := r.Replace(start.Add(time.Second), []Entry{{ID: "0"}, last})
	c.Check(changes(events), qt.DeepEquals, []Change{Added, Outdated})
}

// Guards against a sound endpoint that stays unused after a restore, since an entry
// of another writer with a large sequence number was known before.
func TestSoundEntryOfCopyIsUsedInTheEnd(t *testing.T) {
	c := qt.New(t)
	sound := Entry{ID: "e", Born: 1, Sequence: 5, Service: "s"}
	drains := Entry{ID: "e", Born: 1, Sequence: 1 << 53, Service: "s", Draining: true}
	for known, wait := range map[Entry]time.Duration{
		{ID: "e", Born: 1, Sequence: 1 << 53, Service: "other"}:           doubtedPublications * publicationInterval,
		{ID: "e", Born: 2, Sequence: 1, Service: "other"}:                 doubtedPublications * publicationInterval,
		{ID: "e", Born: 2, Sequence: 1, Service: "other", Draining: true}: doubtedPublications * publicationInterval,
		drains: departureTime,
	} {
		r := New(publicationInterval)
		r.Put(sound)
		r.Put(known)
		r.Restored(start)
		// The endpoint publishes without a change, which is no event. The store is
		// listed again each second.
		for at := time.Duration(0); at < wait; at += time.Second {
			r.Replace(start.Add(at), []Entry{sound})
			r.Reinstate(start.Add(at))
			c.Assert(r.entries["e"], qt.Equals, known, qt.Commentf("after %s", at))
		}
		c.Check(r.HasHeld(), qt.IsTrue)
		r.Reinstate(start.Add(wait))
		c.Check(r.entries["e"], qt.Equals, sound)
		c.Check(r.Usable("e"), qt.IsTrue)
		r.Replace(start.Add(wait), []Entry{sound})
		c.Check(r.Usable("e"), qt.IsTrue)
		c.Check(r.HasHeld(), qt.IsFalse)
	}
}

// Guards against an endpoint that stays in use after a restore, although the store
// no longer has an entry of it that is ignored.
func TestIgnoredEntryEndsWithItsRemoval(t *testing.T) {
	c := qt.New(t)
	r := New(publicationInterval)
	r.Put(Entry{ID: "e", Born: 1, Sequence: 8, Draining: true})
	r.Restored(start)
	r.Replace(start, []Entry{{ID: "e", Born: 1, Sequence: 5}})
	r.Remove(start.Add(time.Second), "e")
	r.Reinstate(start.Add(time.Hour))
	c.Check(r.Len(), qt.Equals, 0)
	c.Check(r.HasHeld(), qt.IsFalse)
}
