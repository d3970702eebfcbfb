// Package registrar keeps the endpoints that take work: what the endpoints
// published of themselves and which data centres the operators have taken out.
//
// Entries can lapse while the service that publishes them is away, although
// their endpoints live. The registrar therefore holds entries that vanish
// right after contact is regained for a time.
package registrar

import (
	"net/netip"
	"slices"
	"time"
)

// HoldTime is how long an entry that vanished during an outage is kept after
// the contact is back. Endpoints that live publish themselves again within 2 s.
const HoldTime = 2200 * time.Millisecond

// Entry is what an endpoint publishes of itself.
type Entry struct {
	// ID names one endpoint at a time.
	ID string
	// Born is the start of the endpoint in Unix milliseconds, or zero. With ID
	// it names one incarnation.
	Born       int64
	Service    string
	Address    netip.AddrPort
	DataCentre string
	// Draining endpoints take no new work.
	Draining bool
	// Cold is how much longer the endpoint stays cold.
	Cold time.Duration
}

// Change tells how an endpoint changed.
type Change uint8

// The changes.
const (
	// Added is an endpoint that was not known, or that started again.
	Added Change = iota
	// Updated is an endpoint that published something new.
	Updated
	// Removed is an endpoint that takes no more work for good.
	Removed
)

// Notice is a change of one endpoint.
type Notice struct {
	Change Change
	Entry  Entry
}

// Registrar holds the endpoints. It is not safe for concurrent use.
type Registrar struct {
	entries map[string]Entry
	// out holds the data centres that are taken out.
	out map[string]bool
	// held holds the entries that have vanished but may come back, with the
	// time at which they are given up.
	held map[string]time.Time
	// heldUntil is the end of the time in which vanished entries are held.
	heldUntil time.Time
}

// New returns an empty registrar.
func New() *Registrar {
	return &Registrar{entries: map[string]Entry{}, out: map[string]bool{}, held: map[string]time.Time{}}
}

// Regained tells that the contact is back after an outage.
func (r *Registrar) Regained(now time.Time) { r.heldUntil = now.Add(HoldTime) }

// Put takes what an endpoint has published.
func (r *Registrar) Put(e Entry) []Notice {
	delete(r.held, e.ID)
	old, known := r.entries[e.ID]
	r.entries[e.ID] = e
	switch {
	case !known:
		return []Notice{{Added, e}}
	case old.Born != e.Born || old.Address != e.Address || old.Service != e.Service:
		return []Notice{{Removed, old}, {Added, e}}
	case old != e:
		return []Notice{{Updated, e}}
	default:
		return nil
	}
}

// Remove takes the end of an entry.
func (r *Registrar) Remove(now time.Time, id string) []Notice {
	e, known := r.entries[id]
	if !known {
		return nil
	}
	if now.Before(r.heldUntil) && !e.Draining {
		if _, held := r.held[id]; !held {
			r.held[id] = r.heldUntil
		}

		return nil
	}
	delete(r.entries, id)
	delete(r.held, id)

	return []Notice{{Removed, e}}
}

// Replace takes the whole list: entries that it lacks are gone.
func (r *Registrar) Replace(now time.Time, entries []Entry) []Notice {
	var notices []Notice
	listed := make(map[string]bool, len(entries))
	for _, e := range entries {
		listed[e.ID] = true
		notices = append(notices, r.Put(e)...)
	}
	for _, id := range r.ids() {
		if !listed[id] {
			notices = append(notices, r.Remove(now, id)...)
		}
	}

	return notices
}

// Expire gives up the entries that were held and have not come back.
func (r *Registrar) Expire(now time.Time) []Notice {
	var notices []Notice
	for _, id := range r.ids() {
		if until, held := r.held[id]; held && !now.Before(until) {
			notices = append(notices, Notice{Removed, r.entries[id]})
			delete(r.entries, id)
			delete(r.held, id)
		}
	}

	return notices
}

// Held tells whether entries wait for their return.
func (r *Registrar) Held() bool { return len(r.held) > 0 }

// ids returns the sorted identifiers, so that notices do not depend on the
// order of a map.
func (r *Registrar) ids() []string {
	ids := make([]string, 0, len(r.entries))
	for id := range r.entries {
		ids = append(ids, id)
	}
	slices.Sort(ids)

	return ids
}

// SetOut replaces the set of data centres that are taken out and returns the
// ones that have come back.
func (r *Registrar) SetOut(centres []string) (back []string) {
	out := make(map[string]bool, len(centres))
	for _, c := range centres {
		out[c] = true
	}
	for c := range r.out {
		if !out[c] {
			back = append(back, c)
		}
	}
	slices.Sort(back)
	r.out = out

	return back
}

// Out tells whether a data centre is taken out.
func (r *Registrar) Out(centre string) bool { return r.out[centre] }

// Usable tells whether an endpoint takes new work.
func (r *Registrar) Usable(id string) bool {
	e, known := r.entries[id]

	return known && !e.Draining && !r.out[e.DataCentre]
}

// Len returns the number of entries.
func (r *Registrar) Len() int { return len(r.entries) }
