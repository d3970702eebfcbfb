package aggregator

import (
	"cmp"
	"maps"
	"math"
	"net/netip"
	"slices"
	"time"

	"snipedyke/pkg/encoder"
)

const (
	// DemandInterval is the time between two calls of Demand.
	DemandInterval = time.Second
	// demandTimeout is how long demands are valid after their message has arrived.
	demandTimeout = 3 * time.Second
	// maxDemands bounds the demands of a message, which then takes at most 450 bytes.
	maxDemands = 48
	// demandShifts is the number of shifts by which updates are shorter while demands
	// are exchanged. In a second, 50 updates leave out 500 bytes, which is more than a
	// message with demands takes.
	demandShifts = 2
	// maxRate is the largest rate that an element of a list can hold.
	maxRate = math.MaxUint16
)

// receivedDemands is the list of a message that arrived at a time.
type receivedDemands struct {
	list []encoder.Demand
	at   time.Time
}

func (r receivedDemands) valid(now time.Time) bool {
	return !r.at.IsZero() && now.Sub(r.at) < demandTimeout
}

// demandTable holds the demands that a node knows. It has at most one list of maxDemands
// elements for each member and each other data centre.
type demandTable struct {
	own     []encoder.Demand
	members map[netip.Addr]receivedDemands
	centres map[string]receivedDemands
	// fleet is what the speaker has sent.
	fleet receivedDemands
	// called is the time of the last call of Demand.
	called time.Time
}

// Demand takes the demands of the node's own client accounts and returns the messages to
// send. A member sends them to its speaker. A speaker sends the sum of its data centre to
// the other speakers and the sum of the fleet to each member, even if it is empty, so
// that members can tell an idle fleet from a cut-off one. It is called once per second.
func (a *Aggregator) Demand(now time.Time, own []encoder.Demand) []Output {
	t := &a.demands
	t.own, t.called = sumDemands(own), now
	maps.DeleteFunc(t.members, func(_ netip.Addr, r receivedDemands) bool { return !r.valid(now) })
	maps.DeleteFunc(t.centres, func(_ string, r receivedDemands) bool { return !r.valid(now) })
	if speaker := a.speaker(now); speaker != a.opts.Self {
		return []Output{{speaker, &encoder.Demands{Centre: a.opts.Centre, List: t.own}}}
	}
	var out []Output
	local := a.localDemands(now)
	for _, name := range a.centreNames() {
		out = append(out, Output{a.centres[name].speaker, &encoder.Demands{Centre: a.opts.Centre, List: local}})
	}
	fleet, _ := a.FleetDemand(now)
	for _, addr := range a.heardMembers(now) {
		out = append(out, Output{addr, &encoder.Demands{List: fleet}})
	}

	return out
}

// FleetDemand returns the demands of the client accounts in the whole fleet, including
// those of this node. It reports false if no message with demands has arrived for 3 s.
// All nodes get the same list as soon as messages have passed twice.
func (a *Aggregator) FleetDemand(now time.Time) ([]encoder.Demand, bool) {
	t := &a.demands
	if a.speaker(now) != a.opts.Self {
		return t.fleet.list, t.fleet.valid(now)
	}
	known := false
	for _, r := range t.members {
		known = known || r.valid(now)
	}
	lists := [][]encoder.Demand{a.localDemands(now)}
	for _, r := range t.centres {
		if r.valid(now) {
			lists, known = append(lists, r.list), true
		}
	}

	return sumDemands(lists...), known
}

// localDemands returns the sum of the demands of the local data centre, as its speaker
// knows it.
func (a *Aggregator) localDemands(now time.Time) []encoder.Demand {
	lists := [][]encoder.Demand{a.demands.own}
	for _, r := range a.demands.members {
		if r.valid(now) {
			lists = append(lists, r.list)
		}
	}

	return sumDemands(lists...)
}

// receiveDemands handles demands from a node. Those of members are kept even if the node
// does not know yet that it is the speaker.
func (a *Aggregator) receiveDemands(now time.Time, from netip.Addr, m *encoder.Demands) {
	t := &a.demands
	received := receivedDemands{sumDemands(m.List), now}
	switch m.Centre {
	case "":
		if from == a.speaker(now) {
			t.fleet = received
		}
	case a.opts.Centre:
		if a.members[from] != nil {
			if t.members == nil {
				t.members = map[netip.Addr]receivedDemands{}
			}
			t.members[from] = received
		}
	default:
		if c := a.centres[m.Centre]; c != nil && from == c.speaker {
			if t.centres == nil {
				t.centres = map[string]receivedDemands{}
			}
			t.centres[m.Centre] = received
		}
	}
}

// shiftLimit returns the number of shifts that an update may hold.
func (a *Aggregator) shiftLimit(now time.Time) int {
	if a.demands.called.IsZero() || now.Sub(a.demands.called) >= demandTimeout {
		return maxShifts
	}

	return maxShifts - demandShifts
}

// account identifies the demands that are added up.
type account struct {
	group  uint16
	number uint32
}

// elements returns the number of elements that a demand takes in a message. A rate that
// exceeds maxRate is spread over several.
func elements(d encoder.Demand) int {
	return max((max(d.Offered, d.Admitted)+maxRate-1)/maxRate, 1)
}

// sumDemands adds up lists of demands and returns at most maxDemands elements, the
// largest first. The accounts that do not fit are summed under account 0 of their group.
func sumDemands(lists ...[]encoder.Demand) []encoder.Demand {
	sums := map[account]encoder.Demand{}
	add := func(d encoder.Demand) (former, sum encoder.Demand) {
		k := account{d.Group, d.Account}
		former = sums[k]
		sum = d
		sum.Offered += former.Offered
		sum.Admitted += former.Admitted
		sums[k] = sum

		return former, sum
	}
	for _, list := range lists {
		for _, d := range list {
			add(d)
		}
	}
	listed, used := make([]encoder.Demand, 0, len(sums)), 0
	for _, d := range sums {
		used += elements(d)
		if d.Account != 0 {
			listed = append(listed, d)
		}
	}
	slices.SortFunc(listed, compareDemands)
	for used > maxDemands && len(listed) > 0 {
		d := listed[len(listed)-1]
		listed = listed[:len(listed)-1]
		delete(sums, account{d.Group, d.Account})
		used -= elements(d)
		d.Account = 0
		former, sum := add(d)
		used += elements(sum)
		if former != (encoder.Demand{}) {
			used -= elements(former)
		}
	}
	out := make([]encoder.Demand, 0, min(used, maxDemands))
	for _, d := range sums {
		n := elements(d)
		for i := range n {
			part := d
			// The parts of a rate differ by at most 1 and add up to it.
			part.Offered = d.Offered*(i+1)/n - d.Offered*i/n
			part.Admitted = d.Admitted*(i+1)/n - d.Admitted*i/n
			out = append(out, part)
		}
	}
	slices.SortFunc(out, compareDemands)

	return out[:min(len(out), maxDemands)]
}

// compareDemands sorts the largest offered rate first.
func compareDemands(x, y encoder.Demand) int {
	return cmp.Or(cmp.Compare(y.Offered, x.Offered), cmp.Compare(y.Admitted, x.Admitted),
		cmp.Compare(x.Group, y.Group), cmp.Compare(x.Account, y.Account))
}
