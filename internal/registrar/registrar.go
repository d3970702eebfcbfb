// Package registrar keeps the entries that endpoints publish and the set of
// data centres that operators have taken out of service.
//
// Entries can expire during an outage of the service that publishes them,
// although their endpoints are still running. The registrar therefore delays
// the removal of entries until HoldTime after the connection is restored.
//
// The service can also come back from an older copy. What the copy says about an
// endpoint may then be older than what the registrar knows, and is ignored until
// the endpoint publishes again. Data centres that the copy lacks stay out of
// service for CentreHoldTime.
package registrar

import (
	"net/netip"
	"slices"
	"time"
)

// HoldTime is how long an entry that expired during an outage is kept after
// the connection is restored. Running endpoints publish again within 2 s.
const HoldTime = 2200 * time.Millisecond

// CentreHoldTime is how long a data centre that a restored copy lacks stays out of
// service, unless it is taken out again before. Operators can take as long to
// write again as a data centre may take to go out of service.
const CentreHoldTime = 5 * time.Second

// Entry is the information that an endpoint publishes about itself.
type Entry struct {
	// ID is unique among the running endpoints.
	ID string
	// Born is the start time of the endpoint in Unix milliseconds, or zero. ID
	// and Born together identify one incarnation.
	Born int64
	// Sequence is the number of times that the incarnation has published, or zero
	// if it is not known. It rises also if nothing else changes.
	Sequence   uint64
	Service    string
	Address    netip.AddrPort
	DataCentre string
	// Version is the version of the endpoint's software, or empty if it does not
	// publish one. An incarnation has one version for all of its life.
	Version string
	// Slots is the number of requests that the endpoint processes at the same time, or
	// zero if it is not known.
	Slots int
	// Draining reports whether the endpoint accepts no new work.
	Draining bool
	// Cold is the time for which the endpoint remains cold.
	Cold time.Duration
}

// differs reports whether the entries differ in more than their sequence
// numbers.
func (e Entry) differs(other Entry) bool {
	other.Sequence = e.Sequence

	return e != other
}

// Change is the kind of change of an endpoint.
type Change uint8

// The kinds of changes.
const (
	// Added is reported for an endpoint that is new or has restarted.
	Added Change = iota
	// Updated is reported for an endpoint whose published entry changed.
	Updated
	// Removed is reported for an endpoint, or an incarnation of it, that has
	// ended and will not return.
	Removed
	// Outdated is reported for an entry of a restored copy that is ignored because
	// it is older than what is known.
	Outdated
)

// Event describes a change of one endpoint.
type Event struct {
	Change Change
	Entry  Entry
	// Known is the sequence number of the known entry, for Outdated.
	Known uint64
}

// Registrar holds the endpoints. It is not safe for concurrent use.
type Registrar struct {
	// publicationInterval is the time between two publications of an endpoint.
	publicationInterval time.Duration
	entries             map[string]Entry
	// out is the set of data centres that are out of service.
	out map[string]bool
	// held maps the IDs of entries whose removal is delayed to the time at
	// which they are removed.
	held map[string]time.Time
	// holdUntil is the end of the present hold period, and centresHeldUntil the
	// time at which the data centres of heldOut return.
	holdUntil, centresHeldUntil time.Time

	// restored and outRestored report whether the next list of entries and the next
	// set of data centres are the first ones of a restored copy.
	restored, outRestored bool
	// heldOut is the set of data centres that were out of service before a
	// restored copy that lacks them. It does not overlap out.
	heldOut map[string]bool
	// outdated holds the ignored entries of known endpoints, as listed, and doubted
	// those of departed endpoints. Later lists may contain them unchanged.
	outdated, doubted map[string]Entry
	// doubtUntil is the time from which the outdated and doubted entries are used,
	// and drainUntil that for incarnations that are known to drain.
	doubtUntil, drainUntil time.Time
	// departed holds the last entries of removed endpoints.
	departed map[string]departure
}

// New returns an empty registrar for endpoints that publish at the interval.
func New(publicationInterval time.Duration) *Registrar {
	return &Registrar{
		publicationInterval: publicationInterval,
		entries:             map[string]Entry{}, out: map[string]bool{}, held: map[string]time.Time{},
		heldOut: map[string]bool{}, outdated: map[string]Entry{}, doubted: map[string]Entry{}, departed: map[string]departure{},
	}
}

// SetPublicationInterval sets the interval at which endpoints publish. It applies
// from the next hold period.
func (r *Registrar) SetPublicationInterval(interval time.Duration) { r.publicationInterval = interval }

// Reconnected starts a hold period. It is called when the connection is
// restored after an outage.
func (r *Registrar) Reconnected(now time.Time) {
	r.holdUntil = now.Add(HoldTime)
	r.centresHeldUntil = now.Add(CentreHoldTime)
	r.doubtUntil = now.Add(doubtedPublications * r.publicationInterval)
}

// EndHold ends the hold period. Expire then removes the entries whose removal was
// delayed.
func (r *Registrar) EndHold() {
	r.holdUntil = time.Time{}
	for id := range r.held {
		r.held[id] = time.Time{}
	}
}

// Put adds or updates the entry of an endpoint.
func (r *Registrar) Put(e Entry) []Event {
	delete(r.held, e.ID)
	delete(r.departed, e.ID)
	r.forgetCopy(e.ID)
	old, known := r.entries[e.ID]
	r.entries[e.ID] = e
	switch {
	case !known:
		return []Event{{Change: Added, Entry: e}}
	case old.Born != e.Born || old.Address != e.Address || old.Service != e.Service || old.Version != e.Version:
		return []Event{{Change: Removed, Entry: old}, {Change: Added, Entry: e}}
	case old.differs(e), e.Cold > 0 && e.Sequence != old.Sequence:
		// The cold time counts from each publication.
		return []Event{{Change: Updated, Entry: e}}
	default:
		return nil
	}
}

// Remove removes an entry. During a hold period it delays the removal, unless
// the endpoint is draining.
func (r *Registrar) Remove(now time.Time, id string) []Event {
	r.forgetCopy(id)
	e, known := r.entries[id]
	if !known {
		return nil
	}
	if now.Before(r.holdUntil) && !e.Draining {
		if _, held := r.held[id]; !held {
			r.held[id] = r.holdUntil
		}

		return nil
	}

	return r.remove(now, e)
}

func (r *Registrar) remove(now time.Time, e Entry) []Event {
	delete(r.entries, e.ID)
	delete(r.held, e.ID)
	r.recordDeparture(now, e)

	return []Event{{Change: Removed, Entry: e}}
}

// Replace adds or updates all entries of a complete list and removes those that
// the list does not contain.
func (r *Registrar) Replace(now time.Time, entries []Entry) []Event {
	var events []Event
	listed := make(map[string]bool, len(entries))
	for _, e := range entries {
		listed[e.ID] = true
		if r.isOutdated(now, e) {
			events = append(events, r.ignore(e))
		} else {
			events = append(events, r.Put(e)...)
		}
	}
	r.restored = false
	for _, id := range r.ids() {
		if !listed[id] {
			events = append(events, r.Remove(now, id)...)
		}
	}
	r.forgetUnlisted(listed)

	return events
}

// Expire removes the held entries whose hold period has ended.
func (r *Registrar) Expire(now time.Time) []Event {
	var events []Event
	for _, id := range r.ids() {
		if until, held := r.held[id]; held && !now.Before(until) {
			events = append(events, r.remove(now, r.entries[id])...)
		}
	}

	return events
}

// HasHeld reports whether the removal of any entry or the return of any data
// centre is delayed, or an entry of a restored copy is ignored.
func (r *Registrar) HasHeld() bool {
	return len(r.held)+len(r.heldOut)+len(r.doubted)+len(r.outdated) > 0
}

// ids returns the IDs of all entries in sorted order, so that the order of
// events does not depend on map iteration.
func (r *Registrar) ids() []string {
	ids := make([]string, 0, len(r.entries))
	for id := range r.entries {
		ids = append(ids, id)
	}
	slices.Sort(ids)

	return ids
}

// SetOut replaces the set of data centres that are out of service. It returns
// those that are back in service, and those that a restored copy lacks and that
// stay out for CentreHoldTime, both in sorted order.
func (r *Registrar) SetOut(centres []string) (back, held []string) {
	out := make(map[string]bool, len(centres))
	for _, c := range centres {
		out[c] = true
		delete(r.heldOut, c)
	}
	for c := range r.out {
		switch {
		case out[c]:
		case r.outRestored:
			r.heldOut[c] = true
			held = append(held, c)
		default:
			back = append(back, c)
		}
	}
	slices.Sort(back)
	slices.Sort(held)
	r.out, r.outRestored = out, false

	return back, held
}

// Out reports whether a data centre is out of service.
func (r *Registrar) Out(centre string) bool { return r.out[centre] || r.heldOut[centre] }

// Usable reports whether an endpoint may be given new work.
func (r *Registrar) Usable(id string) bool {
	e, known := r.entries[id]

	return known && !e.Draining && !r.Out(e.DataCentre)
}

// Len returns the number of entries.
func (r *Registrar) Len() int { return len(r.entries) }
