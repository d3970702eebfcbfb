package registrar

import (
	"maps"
	"slices"
	"time"
)

const (
	// doubtedPublications is the number of publications for whose time an entry of
	// a restored copy is ignored. By then the service has removed it, unless the
	// endpoint is running: entries expire after three missed publications.
	doubtedPublications = 5
	// departureTime is how long a departed incarnation is remembered, and that a
	// known one drains; maxDepartures is how many departed ones are remembered.
	departureTime = 10 * time.Minute
	maxDepartures = 4096
)

// departure is the last entry of an endpoint and the time of its removal.
type departure struct {
	entry Entry
	at    time.Time
}

// Restored starts a hold period. It is called when the service has come back
// from an older copy; the next calls of SetOut and Replace provide the content of
// the copy.
func (r *Registrar) Restored(now time.Time) {
	r.Reconnected(now)
	r.restored, r.outRestored = true, true
	r.drainUntil = now.Add(departureTime)
	clear(r.outdated)
	clear(r.doubted)
}

// Reinstate uses the ignored entries of a restored copy that have not been removed
// or replaced in time. An endpoint of such an entry runs and publishes without a
// change, so what was known of it was not its own, or its entry had expired. An
// incarnation that is known to drain does not become ready again before
// departureTime.
func (r *Registrar) Reinstate(now time.Time) []Event {
	if len(r.doubted)+len(r.outdated) == 0 || now.Before(r.doubtUntil) {
		return nil
	}
	var events []Event
	for _, id := range slices.Sorted(maps.Keys(r.doubted)) {
		events = append(events, r.Put(r.doubted[id])...)
	}
	for _, id := range slices.Sorted(maps.Keys(r.outdated)) {
		e, known := r.outdated[id], r.entries[id]
		if known.Draining && known.Born == e.Born && now.Before(r.drainUntil) {
			continue
		}
		events = append(events, r.Put(e)...)
	}

	return events
}

// ReleaseCentres ends the delayed return of data centres if CentreHoldTime has
// passed, and returns those that are back in service, in sorted order.
func (r *Registrar) ReleaseCentres(now time.Time) (back []string) {
	if len(r.heldOut) == 0 || now.Before(r.centresHeldUntil) {
		return nil
	}
	back = slices.Sorted(maps.Keys(r.heldOut))
	clear(r.heldOut)

	return back
}

// isOutdated reports whether a listed entry is older than what is known of the
// endpoint.
func (r *Registrar) isOutdated(now time.Time, e Entry) bool {
	if !r.restored {
		outdated, ok := r.outdated[e.ID]
		doubted, doubtedOK := r.doubted[e.ID]

		return ok && outdated == e || doubtedOK && doubted == e
	}
	if known, ok := r.entries[e.ID]; ok {
		return e.olderThan(known) || e.sameAge(known) && known.Draining && !e.Draining
	}
	d, ok := r.departed[e.ID]

	return ok && now.Sub(d.at) < departureTime && (e.olderThan(d.entry) || e.sameAge(d.entry))
}

// olderThan reports whether e was published before other.
func (e Entry) olderThan(other Entry) bool {
	return e.Born < other.Born || e.Born == other.Born && e.Sequence < other.Sequence
}

func (e Entry) sameAge(other Entry) bool { return e.Born == other.Born && e.Sequence == other.Sequence }

// ignore records an outdated entry. The service still has an entry for the
// endpoint, so the removal of the known one is no longer delayed.
func (r *Registrar) ignore(e Entry) Event {
	delete(r.held, e.ID)
	if known, ok := r.entries[e.ID]; ok {
		r.outdated[e.ID] = e

		return Event{Change: Outdated, Entry: e, Known: known.Sequence}
	}
	r.doubted[e.ID] = e

	return Event{Change: Outdated, Entry: e, Known: r.departed[e.ID].entry.Sequence}
}

// forgetCopy is called when the service has a newer state of an endpoint than
// the restored copy.
func (r *Registrar) forgetCopy(id string) {
	delete(r.outdated, id)
	delete(r.doubted, id)
}

// forgetUnlisted drops ignored entries that the service no longer has.
func (r *Registrar) forgetUnlisted(listed map[string]bool) {
	unlisted := func(id string, _ Entry) bool { return !listed[id] }
	maps.DeleteFunc(r.outdated, unlisted)
	maps.DeleteFunc(r.doubted, unlisted)
}

// recordDeparture remembers the last entry of a removed endpoint. It drops the
// oldest departure if there are too many.
func (r *Registrar) recordDeparture(now time.Time, e Entry) {
	if len(r.departed) >= maxDepartures {
		oldest := now
		var oldestID string
		for id, d := range r.departed {
			if !d.at.After(oldest) {
				oldest, oldestID = d.at, id
			}
		}
		delete(r.departed, oldestID)
	}
	r.departed[e.ID] = departure{e, now}
}
