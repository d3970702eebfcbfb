package director

import (
	"slices"
	"strings"
	"time"

	"snipedyke/internal/logger"
)

const (
	// doubtedPublications is the number of publications after which an entry that
	// the view still has was not left behind by an endpoint that has ended: entries
	// expire after three missed ones, and a little later after an outage.
	doubtedPublications = 5
	// addressSweepInterval is the least time between two searches for addresses that
	// no endpoint has any more.
	addressSweepInterval = time.Minute
)

// address is what the node knows of the endpoints at one address. An address names
// one server, so only one of the endpoints whose entries have it gets requests: its
// holder. Otherwise requests would reach the holder under the name of another
// endpoint, whatever is known of the holder.
type address struct {
	// claimants holds the endpoints whose entries have the address.
	claimants []*endpoint
	// holder is the endpoint that has the address as far as is known, or nil if it
	// is one without an entry. Its entry may have been removed.
	holder *endpoint
	// since is the latest time at which the holder changed, its entry was removed, or
	// another claimant was found not to be at the address.
	since time.Time
	// confirmed reports whether the holder has answered since it became the holder,
	// and still has an entry.
	confirmed bool
}

// claimAddress makes an added endpoint the holder of its address unless a later
// endpoint holds it.
func (d *Director) claimAddress(now time.Time, e *endpoint) {
	a := d.addresses[e.entry.Address]
	if a == nil {
		a = &address{}
		d.addresses[e.entry.Address] = a
	}
	e.address = a
	a.claimants = append(a.claimants, e)
	if a.holder == nil || a.holder.refuted || e.succeeds(a.holder) {
		d.setHolder(now, a, e)
	} else {
		d.logDisplaced(e)
	}
}

// succeeds reports whether an endpoint that the view shows now is a later one than
// the holder of its address. The start times tell; the view may show an older entry
// again. Without them, the order in which the view shows the endpoints tells.
func (e *endpoint) succeeds(holder *endpoint) bool {
	born, former := e.entry.Born, holder.entry.Born

	return e.entry.ID == holder.entry.ID || born == 0 || former == 0 || born >= former
}

// setHolder makes a claimant the holder of an address. The former holder has
// ended, and connections to it lead nowhere.
func (d *Director) setHolder(now time.Time, a *address, e *endpoint) {
	former := a.holder
	a.holder, a.since, a.confirmed = e, now, false
	if former == nil || former.incarnation() == e.incarnation() {
		return
	}
	d.emit(CloseIdleConnections{Address: e.entry.Address})
	if d.current(former) {
		d.isolator.RecordEnded(now, former.boot)
		d.logDisplaced(former)
	}
}

// releaseAddress is called when the entry of an endpoint has been removed. The
// endpoint may still run and remains the holder if it was, until another one is
// added, or until a claimant must be alive as its entry remains.
func (d *Director) releaseAddress(now time.Time, e *endpoint) {
	a := e.address
	a.claimants = slices.DeleteFunc(a.claimants, func(other *endpoint) bool { return other == e })
	if a.holder == e {
		a.since, a.confirmed = now, false
	}
	if now.Sub(d.addressesSweptAt) < addressSweepInterval {
		return
	}
	d.addressesSweptAt = now
	for key, a := range d.addresses {
		if len(a.claimants) == 0 && now.Sub(a.since) >= noticeRetention {
			delete(d.addresses, key)
		}
	}
}

// displaced reports whether an endpoint gets no requests because another one has
// its address. An endpoint whose entry outlasts the time in which the view loses
// those of ended endpoints is alive. It gets requests unless the holder has shown
// that it is at the address; the answer to the first one tells who is.
func (d *Director) displaced(now time.Time, e *endpoint) bool {
	a := e.address
	if a.holder == e {
		return false
	}
	from := a.since
	if d.outage.endedAt.After(from) {
		from = d.outage.endedAt
	}

	return a.confirmed || d.outage.present || now.Sub(from) < doubtedPublications*d.opts.PublicationInterval
}

// confirmAddress records that an endpoint has answered at its address.
func (d *Director) confirmAddress(now time.Time, e *endpoint) {
	switch {
	case !d.current(e):
	case e.address.holder == e:
		e.address.confirmed, e.refuted = true, false
	case !d.displaced(now, e):
		d.setHolder(now, e.address, e)
		e.address.confirmed, e.refuted = true, false
	}
}

// handleMisdirected records that another endpoint than e has answered at its
// address. The next claimant takes the place of e if e was the holder. What the
// answer says about its endpoint holds for the holder.
func (d *Director) handleMisdirected(now time.Time, req *request, e *endpoint, f AttemptFinished) {
	d.logMisdirected(req, e, f)
	if !d.current(e) {
		return
	}
	a := e.address
	e.refuted = true
	if a.holder != e {
		a.since = now
	} else {
		a.confirmed = false
		if next := a.next(e); next != nil {
			d.setHolder(now, a, next)
		}
	}
	switch {
	case !f.OtherLeaving:
	case a.holder != nil && a.holder != e && d.current(a.holder):
		d.markLeaving(now, req, a.holder)
	default:
		// An endpoint without an entry has the address, and wants no requests.
		a.holder, a.since, a.confirmed = nil, now, false
		d.logDisplaced(e)
	}
}

// next returns the latest claimant other than e that has not been found to be
// elsewhere, or nil if e is the only one. If all have been, it begins anew.
func (a *address) next(e *endpoint) *endpoint {
	latest := func() *endpoint {
		var found *endpoint
		for _, c := range a.claimants {
			if c != e && !c.refuted && (found == nil || c.succeeds(found)) {
				found = c
			}
		}

		return found
	}
	if found := latest(); found != nil {
		return found
	}
	for _, c := range a.claimants {
		if c != e {
			c.refuted = false
		}
	}

	return latest()
}

// holderID returns the ID of the holder, or an empty string if it is not known.
func (a *address) holderID() string {
	if a.holder == nil {
		return ""
	}

	return a.holder.entry.ID
}

func (d *Director) logDisplaced(e *endpoint) {
	d.log(logger.EndpointDisplaced, "endpoint", e.entry.ID, "service", e.entry.Service,
		"address", e.entry.Address.String(), "holder", e.address.holderID())
}

// logMisdirected logs an attempt that another endpoint than e answered.
func (d *Director) logMisdirected(req *request, e *endpoint, f AttemptFinished) {
	var known []string
	for _, other := range e.address.claimants {
		if other != e {
			known = append(known, other.entry.ID)
		}
	}
	d.log(logger.AttemptMisdirected, "request", req.Name, "route", req.route.Name, "endpoint", e.entry.ID,
		"address", e.entry.Address.String(), "answered", f.AnsweredBy, "known", strings.Join(known, ","), "leaving", f.OtherLeaving)
}
