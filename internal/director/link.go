package director

import (
	"math"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"snipedyke/internal/assessor"
	"snipedyke/internal/logger"
)

const (
	// suspicionTime is how long a failed connection or attempt counts, and minSilence how
	// long no endpoint must have responded for failed attempts to count.
	suspicionTime = 3 * time.Second
	minSilence    = 500 * time.Millisecond
	// checkedLinks is the number of endpoints in a check, and linkCheckInterval the least
	// time between two checks. For a check that only silence causes, that is
	// suspicionTime. A check without a result is repeated after linkCheckTimeout.
	checkedLinks      = 4
	linkCheckInterval = 250 * time.Millisecond
	linkCheckTimeout  = time.Second
	// maxEndingDelay is how long the record of an ended endpoint waits for the result of a
	// check. Requests that crash endpoints are isolated by these records.
	maxEndingDelay = 2 * linkCheckInterval
)

// link is what the node knows of its own links to the endpoints. Only new connections tell
// whether the node is cut off, as established ones may outlast a cut. Attempts that fail on
// established ones are a reason to check that.
type link struct {
	// failed holds the endpoints to which connections have failed lately, in the order of
	// the failures. A connection that was begun later and established removes them.
	failed []failedLink
	// silent holds the endpoints at which attempts have failed since the last response of
	// any, which came at respondedAt, in the order of the failures.
	silent      []silence
	respondedAt time.Time
	// endings holds the ends of endpoints that are recorded if the node is not cut off.
	endings []ending
	// checking reports whether a CheckLinks is in progress, checkedAt is when the last
	// one began, and checked holds its addresses. offset rotates the endpoints.
	checking  bool
	checkedAt time.Time
	checked   []netip.AddrPort
	offset    int
	// stranded reports whether the node is cut off from all endpoints, since is when it
	// was found to be, and handedOver the number of requests it has handed over since.
	// added holds the endpoints that were added since and not checked.
	stranded   bool
	since      time.Time
	handedOver int
	added      []*endpoint
	// othersServe reports whether another node has reached endpoints meanwhile, and
	// othersCutOff whether one was cut off, too. If all were, the endpoints had ended.
	othersServe, othersCutOff bool
}

// failedLink is an endpoint to which a connection has failed.
type failedLink struct {
	endpoint *endpoint
	at       time.Time
	// coldUntil and outcomes are those of the endpoint without the failures, and coldAfter
	// is the coldUntil that the last failure has set.
	coldUntil, coldAfter time.Time
	outcomes             assessor.Record
}

// silence is an endpoint at which an attempt got no answer or no complete one.
type silence struct {
	endpoint *endpoint
	at       time.Time
}

// ending is the end of an incarnation of an endpoint.
type ending struct {
	at   time.Time
	boot uint32
}

// suspected reports whether the node may be cut off from all endpoints, as connections to
// several addresses have failed.
func (l *link) suspected() bool {
	return slices.ContainsFunc(l.failed, func(f failedLink) bool {
		return f.endpoint.entry.Address != l.failed[0].endpoint.entry.Address
	})
}

// isSilent reports whether several endpoints have failed attempts and none has responded.
func (l *link) isSilent(now time.Time) bool {
	return now.Sub(l.respondedAt) >= minSilence && l.severalSilent()
}

func (l *link) severalSilent() bool {
	return slices.ContainsFunc(l.silent, func(s silence) bool {
		return s.endpoint.entry.Address != l.silent[0].endpoint.entry.Address
	})
}

// noteSilence records that an attempt has got no answer from an endpoint, or no complete
// one.
func (d *Director) noteSilence(now time.Time, e *endpoint) {
	l := &d.link
	l.silent = slices.DeleteFunc(l.silent, func(s silence) bool { return s.endpoint == e })
	l.silent = append(l.silent, silence{e, now})
	d.checkLinks(now)
}

// noteResponse records that an endpoint has responded.
func (d *Director) noteResponse(now time.Time) { d.link.silent, d.link.respondedAt = nil, now }

// hasFailed reports whether connections to the address have failed lately.
func (l *link) hasFailed(address netip.AddrPort) bool {
	return slices.ContainsFunc(l.failed, func(f failedLink) bool { return f.endpoint.entry.Address == address })
}

// recordUnreached records that no connection to an endpoint could be established. While the
// node is cut off, that says nothing about the endpoint.
func (d *Director) recordUnreached(now time.Time, e *endpoint) {
	if d.link.stranded {
		d.suspend(now, e, Unreached)

		return
	}
	f := d.takeFailedLink(e)
	d.recordOutcome(now, e, true)
	d.suspend(now, e, Unreached)
	d.noteFailedLink(now, f)
	d.recordEnded(now, e)
	d.checkLinks(now)
}

// noteFailedLink records a failed connection after the state of its endpoint was changed.
func (d *Director) noteFailedLink(now time.Time, f failedLink) {
	if !d.link.stranded {
		f.at, f.coldAfter = now, f.endpoint.coldUntil
		d.link.failed = append(d.link.failed, f)
		d.expireFailedLinks(now)
	}
}

// takeFailedLink removes the failed connection to an endpoint from the list and returns it, or
// a new one if there is none.
func (d *Director) takeFailedLink(e *endpoint) failedLink {
	f := failedLink{endpoint: e, coldUntil: e.coldUntil, outcomes: e.observed.outcomes}
	i := slices.IndexFunc(d.link.failed, func(f failedLink) bool { return f.endpoint == e })
	if i < 0 {
		return f
	}
	former := d.link.failed[i]
	d.link.failed = slices.Delete(d.link.failed, i, i+1)
	f.outcomes = former.outcomes
	if e.coldUntil.Equal(former.coldAfter) {
		f.coldUntil = former.coldUntil
	}

	return f
}

// recordEnded records that an endpoint has refused a connection or could not be reached, so
// that it has ended unless the node is cut off.
func (d *Director) recordEnded(now time.Time, e *endpoint) {
	switch {
	case d.link.stranded:
	case d.link.suspected():
		d.link.endings = append(d.link.endings, ending{now, e.boot})
	default:
		d.isolator.RecordEnded(now, e.boot)
	}
}

// noteConnected records that a connection was established by an attempt that began at the
// given time.
func (d *Director) noteConnected(now, began time.Time) {
	if d.link.stranded {
		if !began.Before(d.link.since) {
			d.endStranded(now)
		}

		return
	}
	d.removeFailedLinks(now, began)
}

// expireFailedLinks removes the failures that no longer count.
func (d *Director) expireFailedLinks(now time.Time) {
	d.link.silent = slices.DeleteFunc(d.link.silent, func(s silence) bool { return now.Sub(s.at) >= suspicionTime })
	d.removeFailedLinks(now, now.Add(-suspicionTime))
}

// removeFailedLinks removes the failures up to the given time. If the node is then no longer
// suspected to be cut off, the endpoints have ended.
func (d *Director) removeFailedLinks(now, until time.Time) {
	l := &d.link
	if len(l.failed) == 0 {
		return
	}
	l.failed = slices.DeleteFunc(l.failed, func(f failedLink) bool { return !f.at.After(until) })
	l.endings = slices.DeleteFunc(l.endings, func(end ending) bool {
		certain := !l.suspected() || now.Sub(end.at) >= maxEndingDelay
		if certain {
			d.isolator.RecordEnded(end.at, end.boot)
		}

		return certain
	})
}

// checkLinks connects to endpoints if the node may be cut off, and again and again while it
// is.
func (d *Director) checkLinks(now time.Time) {
	l := &d.link
	wait := now.Sub(l.checkedAt)
	switch {
	case l.checking && wait < linkCheckTimeout, wait < linkCheckInterval:
		return
	case l.stranded || l.suspected():
	case !l.isSilent(now) || wait < suspicionTime:
		// Busy endpoints can be silent for long.
		return
	}
	l.checkedAt = now
	if l.checked = d.linksToCheck(now); len(l.checked) > 0 {
		l.checking = true
		d.emit(CheckLinks{Addresses: l.checked})
	}
}

// linksToCheck returns the addresses of the next check. They are those of endpoints of
// different data centres and services as far as possible, beginning with the own data
// centre. Those to which connections have failed are used only if there are no others, or
// while the node is cut off.
func (d *Director) linksToCheck(now time.Time) []netip.AddrPort {
	l := &d.link
	ids := d.endpointIDs()
	var others, failed []*endpoint
	known := map[netip.AddrPort]bool{}
	// The nodes begin at different endpoints.
	first := l.offset + int(xxhash.Sum64String(d.opts.Name)%math.MaxInt32)
	for i := range ids {
		e := d.endpoints[ids[(first+i)%len(ids)]]
		if known[e.entry.Address] || d.displaced(now, e) {
			continue
		}
		known[e.entry.Address] = true
		if !l.stranded && l.hasFailed(e.entry.Address) {
			failed = append(failed, e)
		} else {
			others = append(others, e)
		}
	}
	l.offset += checkedLinks
	if len(others) == 0 {
		others = failed
	}
	var addresses []netip.AddrPort
	used := map[string]int{}
	for len(addresses) < checkedLinks && len(others) > 0 {
		best, least := 0, 0
		for i, e := range others {
			cost := 2*used["centre "+e.entry.DataCentre] + used["service "+e.entry.Service]
			switch {
			case slices.Contains(l.added, e):
				// If all endpoints have ended, those that have started are the first to
				// be reached.
				cost = -1
			case len(addresses) == 0 && !e.load.Local:
				cost = 1
			}
			if i == 0 || cost < least {
				best, least = i, cost
			}
		}
		e := others[best]
		others = slices.Delete(others, best, best+1)
		l.added = slices.DeleteFunc(l.added, func(added *endpoint) bool { return added == e })
		used["centre "+e.entry.DataCentre]++
		used["service "+e.entry.Service]++
		addresses = append(addresses, e.entry.Address)
	}

	return addresses
}

// handleLinksChecked finds out from a check whether the node is cut off.
func (d *Director) handleLinksChecked(now time.Time, c LinksChecked) {
	d.link.checking = false
	switch reached := len(c.Reached) > 0; {
	case reached && d.link.stranded:
		d.endStranded(now)
	case reached:
		d.link.silent = nil
		d.removeFailedLinks(now, now)
	case !d.link.stranded && (d.link.suspected() || d.link.isSilent(now)):
		d.beginStranded(now)
	}
}

// beginStranded records that the node is cut off from all endpoints. It undoes what the
// failed connections have changed, as they say nothing about the endpoints.
func (d *Director) beginStranded(now time.Time) {
	l := &d.link
	ids := make([]string, 0, len(l.failed)+len(l.silent))
	since := now
	for _, f := range l.failed {
		ids = append(ids, f.endpoint.entry.ID)
		since = earlier(since, f.at)
	}
	for _, s := range l.silent {
		ids = append(ids, s.endpoint.entry.ID)
		since = earlier(since, s.at)
	}
	slices.Sort(ids)
	ids = slices.Compact(ids)
	checked := make([]string, 0, len(l.checked))
	for _, address := range l.checked {
		checked = append(checked, address.String())
	}
	d.log(logger.NodeStranded, "endpoints", strings.Join(ids, ","), "checked", strings.Join(checked, ","), "suspected", now.Sub(since).String())
	l.stranded, l.since, l.handedOver = true, now, 0
	l.othersServe, l.othersCutOff = false, false
	for _, f := range l.failed {
		f.restore()
	}
	for _, e := range d.endpoints {
		e.observed.own = assessor.Record{}
		e.observed.unreported.Attempts -= e.observed.unreported.Failures
		e.observed.unreported.Failures = 0
	}
	l.failed, l.silent, l.endings = nil, nil, nil
	d.retryWaiting(now)
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}

	return a
}

// restore gives the endpoint back the state that it has without the failures.
func (f *failedLink) restore() {
	e := f.endpoint
	e.suspendedUntil, e.consecutiveFailures = time.Time{}, 0
	if e.coldUntil.Equal(f.coldAfter) {
		e.coldUntil = f.coldUntil
	}
	e.observed.outcomes = f.outcomes
}

// endStranded records that the node reaches endpoints again, and retries the waiting
// requests there.
func (d *Director) endStranded(now time.Time) {
	l := &d.link
	d.log(logger.NodeReconnected, "length", now.Sub(l.since).String(), "requests", l.handedOver)
	l.stranded, l.silent, l.added = false, nil, nil
	for _, e := range d.endpoints {
		if e.consecutiveFailures > 0 {
			e.suspendedUntil, e.consecutiveFailures = time.Time{}, 0
		}
		if l.othersCutOff && !l.othersServe {
			d.markCold(now, e, 0)
		}
	}
	d.retryWaiting(now)
}
