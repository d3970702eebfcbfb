// Package sharer divides the capacity of a fleet between client accounts while it is
// short.
//
// A Sharer sums up what the accounts ask for at its own node and holds the sums of the
// whole fleet. From these it computes the max-min fair share of each account: small
// demands are met in full, and the accounts above a common level get that level. What is
// beyond the share is not refused for that reason alone; the caller admits it only where
// there is room for a second request like it.
//
// A Sharer has no clock and no connections: its methods take the current time.
package sharer

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"snipedyke/pkg/encoder"
)

const (
	// timeConstant is the time in which a rate decays to 1/e without requests.
	timeConstant = time.Second
	// retention is how long an account is kept after its last request. Less than 1% of
	// its rate is left then.
	retention = 5 * time.Second
	// fleetTimeout is how long the demands of the fleet are valid.
	fleetTimeout = 3 * time.Second
	// ownInterval is the time between two computations of shares from the node's own
	// rates.
	ownInterval = 500 * time.Millisecond
	// sufficient is the part of the offered tokens of a group that is admitted at least
	// if capacity is not short. The rest is the noise of rates measured over a second.
	sufficient = 0.98
	// headroom is the part of the capacity that is divided. If shares added up to all of
	// it, the queues would often be full for requests within their share. In replays of a
	// fleet of which a third is cut off, 1 lost 5% of the others' requests at 1.2 times
	// the capacity, and 0.9 left them 0.051 below their max-min share at 2 times.
	headroom = 0.97
	// maxAccounts bounds the accounts of the node itself. If there are more, the smaller
	// half is counted under account 0.
	maxAccounts = 4096
	// maxGroups bounds the groups. The requests of further ones are not counted, and
	// their shares are 1.
	maxGroups = 64
	// maxListed bounds the demands of Own, which is the most that a message holds.
	maxListed = 48
)

// Key identifies the requests of a client account in a group, as encoder.Demand does.
type Key struct {
	// Group is a hash of the service and the priority of the route.
	Group uint16
	// Account is a hash of the account's name, which is at least 1 and less than
	// encoder.EndpointLimit. Zero stands for all accounts that are not listed.
	Account uint32
}

// rate holds decayed sums of prompt tokens. Divided by timeConstant, they are rates.
type rate struct {
	offered, admitted float64
	// updated is the time up to which the sums have decayed.
	updated time.Time
}

func (r *rate) decay(now time.Time) {
	if elapsed := now.Sub(r.updated); elapsed > 0 {
		f := math.Exp(-elapsed.Seconds() / timeConstant.Seconds())
		r.offered *= f
		r.admitted *= f
		r.updated = now
	}
}

// Sharer holds the demands of a node and of its fleet. It is not safe for concurrent
// use. It holds at most maxAccounts accounts and maxGroups sums of others of the node
// itself, and as many shares as there are demands in the last list of the fleet, or
// accounts of the node if there is none.
type Sharer struct {
	own map[Key]*rate
	// groups holds the number of accounts in own by group.
	groups  map[uint16]int
	cleaned time.Time
	// shares holds the accounts whose share is less than 1. It was computed at computed
	// from the demands of the fleet, which were set at fleetSet, or else from own.
	shares             map[Key]float64
	computed, fleetSet time.Time
}

// New returns a sharer without demands, whose shares are 1.
func New() *Sharer {
	return &Sharer{own: map[Key]*rate{}, groups: map[uint16]int{}}
}

// Clone returns an independent copy.
func (s *Sharer) Clone() *Sharer {
	c := *s
	c.own, c.groups, c.shares = make(map[Key]*rate, len(s.own)), maps.Clone(s.groups), maps.Clone(s.shares)
	for k, r := range s.own {
		copied := *r
		c.own[k] = &copied
	}

	return &c
}

// Record counts the prompt tokens of a request of this node: as offered if admitted is
// false, and as admitted otherwise. It is called once when the request arrives and once
// when it is first sent to an endpoint; further attempts are not recorded, since they
// would look like capacity.
func (s *Sharer) Record(now time.Time, k Key, tokens float64, admitted bool) {
	if !(tokens > 0) || math.IsInf(tokens, 0) {
		return
	}
	s.clean(now)
	r := s.rate(now, k)
	if r == nil {
		return
	}
	r.decay(now)
	if admitted {
		r.admitted += tokens
	} else {
		r.offered += tokens
	}
}

// rate returns the rate of a key, adding one if needed. It returns nil if there are too
// many groups.
func (s *Sharer) rate(now time.Time, k Key) *rate {
	if r := s.own[k]; r != nil {
		return r
	}
	if _, known := s.groups[k.Group]; !known && len(s.groups) >= maxGroups {
		return nil
	}
	if len(s.own) >= maxAccounts+len(s.groups) {
		s.mergeSmallest(now)
	}
	r := &rate{updated: now}
	s.own[k] = r
	s.groups[k.Group]++

	return r
}

func (s *Sharer) remove(k Key) {
	delete(s.own, k)
	if s.groups[k.Group]--; s.groups[k.Group] == 0 {
		delete(s.groups, k.Group)
	}
}

// clean removes the accounts that have not been seen for the retention period. It does
// so once per time constant.
func (s *Sharer) clean(now time.Time) {
	if now.Sub(s.cleaned) < timeConstant {
		return
	}
	s.cleaned = now
	for k, r := range s.own {
		if now.Sub(r.updated) >= retention {
			s.remove(k)
		}
	}
}

// mergeSmallest adds the smaller half of the accounts to account 0 of their groups, so
// that a large account which has just appeared finds a place.
func (s *Sharer) mergeSmallest(now time.Time) {
	keys := make([]Key, 0, len(s.own))
	for k, r := range s.own {
		r.decay(now)
		if k.Account != 0 {
			keys = append(keys, k)
		}
	}
	slices.SortFunc(keys, func(x, y Key) int {
		return cmp.Or(cmp.Compare(s.own[x].offered, s.own[y].offered), cmp.Compare(x.Group, y.Group), cmp.Compare(x.Account, y.Account))
	})
	for _, k := range keys[:len(keys)/2] {
		zero := Key{Group: k.Group}
		rest := s.own[zero]
		if rest == nil {
			rest = &rate{updated: now}
			s.own[zero] = rest
			s.groups[k.Group]++
		}
		rest.offered += s.own[k].offered
		rest.admitted += s.own[k].admitted
		s.remove(k)
	}
}

// demand is the demand of a key in prompt tokens per second.
type demand struct {
	key               Key
	offered, admitted float64
}

// demands returns the node's own demands, sorted by key.
func (s *Sharer) demands(now time.Time) []demand {
	list := make([]demand, 0, len(s.own))
	for k, r := range s.own {
		if now.Sub(r.updated) >= retention {
			continue
		}
		f := math.Exp(-max(now.Sub(r.updated), 0).Seconds()/timeConstant.Seconds()) / timeConstant.Seconds()
		list = append(list, demand{k, f * r.offered, f * r.admitted})
	}
	slices.SortFunc(list, func(x, y demand) int {
		return cmp.Or(cmp.Compare(x.key.Group, y.key.Group), cmp.Compare(x.key.Account, y.key.Account))
	})

	return list
}

// Own returns the demands of the node's own accounts, the largest first. All but the
// largest are summed under account 0 of their group, together with what rounding to
// encoder.DemandUnit leaves out: the rates of many small accounts would otherwise be
// rounded to zero at each node of a large fleet.
func (s *Sharer) Own(now time.Time) []encoder.Demand {
	list := s.demands(now)
	slices.SortStableFunc(list, func(x, y demand) int { return cmp.Compare(y.offered, x.offered) })
	rest := map[uint16]demand{}
	add := func(group uint16, offered, admitted float64) {
		r := rest[group]
		rest[group] = demand{Key{Group: group}, r.offered + offered, r.admitted + admitted}
	}
	var out []encoder.Demand
	for _, d := range list {
		offered, admitted := math.Floor(d.offered/encoder.DemandUnit), math.Floor(d.admitted/encoder.DemandUnit)
		if d.key.Account == 0 || len(out) >= maxListed-len(s.groups) || offered == 0 {
			add(d.key.Group, d.offered, d.admitted)

			continue
		}
		add(d.key.Group, d.offered-offered*encoder.DemandUnit, d.admitted-admitted*encoder.DemandUnit)
		out = append(out, encoder.Demand{Group: d.key.Group, Account: d.key.Account, Offered: int(offered), Admitted: int(admitted)})
	}
	for group, r := range rest {
		d := encoder.Demand{
			Group: group, Offered: int(math.Round(r.offered / encoder.DemandUnit)), Admitted: int(math.Round(r.admitted / encoder.DemandUnit)),
		}
		if d.Offered+d.Admitted > 0 {
			out = append(out, d)
		}
	}
	slices.SortFunc(out, func(x, y encoder.Demand) int {
		return cmp.Or(cmp.Compare(y.Offered, x.Offered), cmp.Compare(x.Group, y.Group), cmp.Compare(x.Account, y.Account))
	})

	return out[:min(len(out), maxListed)]
}

// SetFleet sets the demands of the whole fleet, including those of this node. They are
// valid for 3 s. After that, and if the list is empty, only the node's own rates count.
// Several demands with the same key are added up.
func (s *Sharer) SetFleet(now time.Time, list []encoder.Demand) {
	if len(list) == 0 {
		s.fleetSet = time.Time{}

		return
	}
	sums := map[Key]demand{}
	for _, d := range list {
		k := Key{d.Group, d.Account}
		sum := sums[k]
		sums[k] = demand{k, sum.offered + float64(d.Offered), sum.admitted + float64(d.Admitted)}
	}
	demands := make([]demand, 0, len(sums))
	for _, d := range sums {
		demands = append(demands, d)
	}
	s.shares, s.computed, s.fleetSet = computeShares(demands), now, now
}

// Share returns the fraction of an account's demand that is within its fair share: 1 if
// capacity is not short. Accounts that are not listed are within their share.
func (s *Sharer) Share(now time.Time, k Key) float64 {
	if s.fleetSet.IsZero() || now.Sub(s.fleetSet) > fleetTimeout {
		s.fleetSet = time.Time{}
		if now.Sub(s.computed) >= ownInterval {
			s.shares, s.computed = computeShares(s.demands(now)), now
		}
	}
	if share, ok := s.shares[k]; ok {
		return share
	}

	return 1
}

// computeShares returns the shares that are less than 1. The capacity of a group is what
// is admitted.
func computeShares(list []demand) map[Key]float64 {
	// The order decides how sums are rounded, and nodes must get the same shares.
	slices.SortFunc(list, func(x, y demand) int {
		return cmp.Or(cmp.Compare(x.key.Group, y.key.Group), cmp.Compare(x.offered, y.offered), cmp.Compare(x.key.Account, y.key.Account))
	})
	shares := map[Key]float64{}
	for len(list) > 0 {
		n := 1
		for n < len(list) && list[n].key.Group == list[0].key.Group {
			n++
		}
		shareGroup(list[:n], shares)
		list = list[n:]
	}

	return shares
}

// shareGroup adds the shares of one group that are less than 1. The demands are sorted
// by the offered tokens.
func shareGroup(list []demand, shares map[Key]float64) {
	var offered, capacity, rest float64
	var listed []demand
	for _, d := range list {
		offered += d.offered
		capacity += d.admitted
		switch {
		case d.key.Account == 0:
			rest += d.offered
		case d.offered > 0:
			listed = append(listed, d)
		}
	}
	// Nothing is known of the capacity if nothing is admitted.
	if capacity <= 0 || capacity >= sufficient*offered || len(listed) == 0 {
		return
	}
	level := fairLevel(listed, rest, headroom*capacity)
	for _, d := range listed {
		if d.offered > level {
			shares[d.key] = level / d.offered
		}
	}
}

// fairLevel returns the most that an account gets of a capacity that is less than the
// sum of the demands. rest is the demand of the accounts that are not listed. None of
// them is larger than the smallest listed one, so they are met first. Where the capacity
// is too small even for that, they count as accounts of that size; otherwise the listed
// accounts would get nothing.
func fairLevel(listed []demand, rest, capacity float64) float64 {
	smallest := listed[0].offered
	if rest+smallest*float64(len(listed)) > capacity {
		return capacity / (rest/smallest + float64(len(listed)))
	}
	left := capacity - rest
	for i, d := range listed {
		level := left / float64(len(listed)-i)
		if level <= d.offered {
			return level
		}
		left -= d.offered
	}

	return listed[len(listed)-1].offered
}
