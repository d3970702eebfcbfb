package detector

import (
	"slices"
	"time"

	"snipedyke/internal/ranker"
	"snipedyke/pkg/encoder"
)

// pool is the state of a pool, for this node as a lender and as the home.
type pool struct {
	dataCentre string
	key        uint64
	lenders    []string

	// newLender reports whether this node has become a lender, by its start or by
	// a new host list, and must wait before it gives its first lease.
	newLender bool
	// borrower and borrowerIncarnation identify the home to which this node lends
	// its share, and promisedUntil is the time at which that promise ends.
	borrower            string
	borrowerIncarnation uint64
	promisedUntil       time.Time

	// leaseEnds holds, by lender, the end of each lease that this node holds as
	// the home.
	leaseEnds map[string]time.Time
}

// SetPools sets the pools and their data centres. The data centre is empty for
// a pool that spans several.
func (d *Detector) SetPools(pools map[string]string) {
	for name := range d.pools {
		if _, ok := pools[name]; !ok {
			p := d.pools[name]
			// A promise outlives its pool, in case the pool is added again.
			if d.lastStep.After(p.promisedUntil) {
				delete(d.pools, name)
			}
		}
	}
	for name, dc := range pools {
		p := d.pools[name]
		if p == nil {
			p = &pool{key: ranker.HashKey("pool\x00" + name), leaseEnds: map[string]time.Time{}}
			d.pools[name] = p
			d.rankPool(name, p)
		}
		p.dataCentre = dc
	}
	d.poolNames = d.poolNames[:0]
	for name := range d.pools {
		d.poolNames = append(d.poolNames, name)
	}
	slices.Sort(d.poolNames)
}

func (d *Detector) rankPool(_ string, p *pool) {
	was := slices.Contains(p.lenders, d.self)
	p.lenders = d.notLeaving.Top(p.key, lenderCount)
	is := slices.Contains(p.lenders, d.self)
	if is && !was {
		p.newLender = true
	}
	// Leases under another host list do not count.
	clear(p.leaseEnds)
}

// checkMajority records the time at which more than half of the published
// hosts, including this one, are known to have this host list or a newer one.
func (d *Detector) checkMajority(now time.Time) {
	if !d.majorityTime.IsZero() || d.hosts == nil {
		return
	}
	count := 0
	for _, n := range d.ranks.Names() {
		if n == d.self {
			count++
		} else if p := d.peers[n]; p != nil && p.known && p.hosts >= uint64(d.hosts.Version) {
			count++
		}
	}
	if 2*count > len(d.published) {
		d.majorityTime = now
	}
}

// updateLending selects, for each pool, the home to which this node lends its
// share.
func (d *Detector) updateLending(now time.Time) {
	mayStart := !d.majorityTime.IsZero() && now.Sub(d.majorityTime) >= leaseStartDelay
	for _, name := range d.poolNames {
		p := d.pools[name]
		if !slices.Contains(p.lenders, d.self) || p.newLender && !mayStart {
			continue
		}
		p.newLender = false
		home := d.Home(now, name)
		if home == "" {
			continue
		}
		inc, ok := d.Incarnation(home)
		if !ok || (home != p.borrower || inc != p.borrowerIncarnation) && now.Before(p.promisedUntil) {
			continue
		}
		p.borrower, p.borrowerIncarnation = home, inc
		if home == d.self {
			p.promisedUntil = now.Add(leaseTerm + leaseMargin)
		}
	}
}

// lendsTo returns the pools whose share this node lends to the peer with the
// heartbeat that it is about to send, and extends the promises for them.
func (d *Detector) lendsTo(to string) []string {
	var out []string
	for _, name := range d.poolNames {
		p := d.pools[name]
		if p.borrower != to || to == d.self || p.newLender || !slices.Contains(p.lenders, d.self) {
			continue
		}
		inc, _ := d.Incarnation(to)
		if inc != p.borrowerIncarnation || d.Home(d.lastStep, name) != to {
			continue
		}
		p.promisedUntil = d.lastStep.Add(leaseTerm + leaseMargin)
		out = append(out, name)
	}

	return out
}

// takeLeases records the leases that a heartbeat gives. Their term counts from
// the time at which this node sent the heartbeat that hb echoes.
func (d *Detector) takeLeases(from string, hb *encoder.Heartbeat, sent time.Time) {
	if d.hosts == nil || hb.Hosts != uint64(d.hosts.Version) {
		return
	}
	end := sent.Add(leaseTerm)
	for _, name := range hb.LeasedPools {
		p := d.pools[name]
		if p != nil && slices.Contains(p.lenders, from) && end.After(p.leaseEnds[from]) {
			p.leaseEnds[from] = end
		}
	}
}

func (d *Detector) dropLeases(from string) {
	for _, p := range d.pools {
		delete(p.leaseEnds, from)
	}
}

// Home returns the home of a pool as this node sees it, or "" if there is
// none. Nodes of the pool's data centre are preferred.
func (d *Detector) Home(now time.Time, name string) string {
	p := d.pools[name]
	if p == nil {
		return ""
	}
	if p.dataCentre != "" {
		home := d.notLeaving.First(p.key, func(n string) bool {
			return d.published[n].DataCentre == p.dataCentre && d.candidate(now, n)
		})
		if home != "" {
			return home
		}
	}

	return d.notLeaving.First(p.key, func(n string) bool { return d.candidate(now, n) })
}

// Lenders returns the lenders of a pool under the host list in force.
func (d *Detector) Lenders(name string) []string {
	if p := d.pools[name]; p != nil {
		return slices.Clone(p.lenders)
	}

	return nil
}

// Leases returns the number of leases that this node holds as the home of a
// pool, and the number of the pool's lenders.
func (d *Detector) Leases(now time.Time, name string) (leases, lenders int) {
	p := d.pools[name]
	if p == nil {
		return 0, 0
	}
	for _, l := range p.lenders {
		if l == d.self {
			if p.borrower == d.self && now.Before(p.promisedUntil.Add(-leaseMargin)) {
				leases++
			}
		} else if now.Before(p.leaseEnds[l]) {
			leases++
		}
	}

	return leases, len(p.lenders)
}
