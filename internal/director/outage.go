package director

import (
	"time"

	"snipedyke/internal/logger"
)

// outage is the present or the last period in which the node could not read the shared
// view.
type outage struct {
	// present reports whether the view could not be read at beganAt, and is not known to
	// have been read by any node since.
	present bool
	beganAt time.Time
	// answeredAt is the time at which the store answered again, as far as is known, and
	// endedAt the time at which this node learned of it.
	answeredAt, endedAt time.Time
	// reachedUntil is the time up to which this node or others could read the store,
	// without an outage of the store in which entries can expire.
	reachedUntil time.Time
	// held reports whether entries that are removed after the outage are held.
	held bool
}

// missedPublications is the number of missed publications after which an entry expires.
const missedPublications = 3

// expiryOutage returns the shortest outage of the store in which entries of running
// endpoints can expire. The last publication of an endpoint may precede the outage by
// an interval.
func (d *Director) expiryOutage() time.Duration {
	return (missedPublications - 1) * d.opts.PublicationInterval
}

func (d *Director) confirmView(now, at time.Time) {
	if at.After(d.confirmedAt) {
		if at.Sub(d.confirmedAt) >= d.expiryOutage() {
			d.steadySince = at
		}
		d.confirmedAt = at
		d.placeAsking(now)
	}
	d.endOutage(now, at)
}

// StoreContact returns the last period in which the node could read the store without
// an outage in which entries can expire. Both times are zero if there is none.
func (d *Director) StoreContact() (since, until time.Time) { return d.steadySince, d.confirmedAt }

func (d *Director) markViewLost(now time.Time, cause string) {
	if d.outage.present {
		return
	}
	d.outage.present, d.outage.beganAt, d.outage.reachedUntil = true, now, d.confirmedAt
	d.log(logger.ViewLost, "age", d.Age(now).String(), "cause", cause)
}

// endOutage ends the outage if the store has answered since it began. Entries that are
// then found to be removed are held if they may have expired although their endpoints
// are running.
func (d *Director) endOutage(now, answeredAt time.Time) {
	if !d.outage.present || answeredAt.Before(d.outage.beganAt) {
		return
	}
	d.outage.present, d.outage.answeredAt, d.outage.endedAt = false, answeredAt, now
	d.outage.held = d.mayHaveExpired()
	if d.outage.held {
		d.registrar.Reconnected(now)
	}
	d.log(logger.ViewRegained, "held", d.outage.held)
}

// mayHaveExpired reports whether the store may have been away long enough for entries of
// running endpoints to expire during the last outage.
func (d *Director) mayHaveExpired() bool {
	return d.outage.answeredAt.Sub(d.outage.reachedUntil) >= d.expiryOutage()
}

// noteStoreReached ends the hold of removed entries once it is known that other nodes
// could read the store during the outage. Endpoints could publish there, so an entry
// that is gone was not lost by an outage.
func (d *Director) noteStoreReached(now time.Time, e StoreReached) {
	if !d.outage.present && !d.outage.held || e.From.Sub(d.outage.reachedUntil) >= d.expiryOutage() || !e.To.After(d.outage.reachedUntil) {
		return
	}
	d.outage.reachedUntil = e.To
	if d.outage.held && !d.outage.present && !d.mayHaveExpired() {
		d.outage.held = false
		d.registrar.EndHold()
		d.applyEndpointEvents(now, d.registrar.Expire(now))
	}
}

// restoreView holds what the restored store may lack, until it has been written
// again.
func (d *Director) restoreView(now time.Time) {
	d.endOutage(now, now)
	d.outage.held = false
	d.registrar.Restored(now)
	d.missingTable, d.missingUntil = 0, time.Time{}
}
