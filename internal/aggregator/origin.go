package aggregator

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"snipedyke/pkg/encoder"
)

const (
	// localHolders and maxHolders are the numbers of other nodes that are told of
	// an origin: those of the local data centre, and all.
	localHolders = 2
	maxHolders   = 3
	// maxOriginBytes bounds a message with origins, so that it fits into a packet
	// of the network.
	maxOriginBytes = 1200
)

// holderChoice selects the holders of origins among the nodes that are alive at
// one time.
type holderChoice struct {
	// members are the other nodes of the local data centre. speakers and deputies
	// are those of the other data centres that are heard of.
	members, speakers, deputies []netip.Addr
}

func (a *Aggregator) holderChoice(now time.Time) holderChoice {
	h := holderChoice{members: a.aliveMembers(now)}
	for _, name := range a.centreNames() {
		c := a.centres[name]
		if now.Sub(c.sumTime) >= nodeTimeout {
			// Its speaker may have failed.
			continue
		}
		h.speakers = append(h.speakers, c.speaker)
		if c.deputy.IsValid() && c.deputy != c.speaker {
			h.deputies = append(h.deputies, c.deputy)
		}
	}

	return h
}

// holders returns the nodes that are told of the origin with a key: two of the
// local data centre and the speaker of another. If the data centre has fewer
// nodes, the rest are speakers or else deputies of others.
func (h holderChoice) holders(key uint64) []netip.Addr {
	list := appendBest(make([]netip.Addr, 0, maxHolders), localHolders, key, h.members)
	list = appendBest(list, maxHolders, key, h.speakers)
	if len(h.members) < localHolders {
		list = appendBest(list, maxHolders, key, h.deputies)
	}
	slices.SortFunc(list, netip.Addr.Compare)

	return list
}

// appendBest appends to list the candidates with the highest weights for a key,
// until it has n elements.
func appendBest(list []netip.Addr, n int, key uint64, candidates []netip.Addr) []netip.Addr {
	first := len(list)
	for _, addr := range candidates {
		at := first
		for at < len(list) && outranks(key, list[at], addr) {
			at++
		}
		if at < n {
			list = slices.Insert(list[:min(len(list), n-1)], at, addr)
		}
	}

	return list
}

// outranks reports whether x comes before y among the holders of a key.
func outranks(key uint64, x, y netip.Addr) bool {
	return cmp.Or(cmp.Compare(rendezvous(key, y), rendezvous(key, x)), x.Compare(y)) < 0
}

// rendezvous returns the weight of a node for a key.
func rendezvous(key uint64, addr netip.Addr) uint64 {
	return mix(key ^ mix(uint64(addrToUint32(addr))))
}

// mix is the finalizer of splitmix64.
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb

	return x ^ x>>31
}

// aliveMembers returns the sorted addresses of the other nodes of the local data
// centre that are alive.
func (a *Aggregator) aliveMembers(now time.Time) []netip.Addr {
	alive := make([]netip.Addr, 0, len(a.members))
	for addr, m := range a.members {
		if addr != a.opts.Self && m.alive(now) {
			alive = append(alive, addr)
		}
	}
	slices.SortFunc(alive, netip.Addr.Compare)

	return alive
}

// Holders returns the sorted addresses of the other nodes that are told of the
// origin with a key, at most three: two nodes of the local data centre and the
// speaker of another, so that a record is left when a data centre or any two nodes
// are lost. In a data centre with fewer nodes, the rest are of other data centres.
func (a *Aggregator) Holders(now time.Time, key uint64) []netip.Addr {
	return a.holderChoice(now).holders(key)
}

// Informants returns the sorted addresses of the nodes to ask for an origin: the
// other nodes of the local data centre, and the speakers and deputies of all
// others. A deputy may have been the speaker when the origin was announced.
func (a *Aggregator) Informants(now time.Time) []netip.Addr {
	list := a.aliveMembers(now)
	for _, c := range a.centres {
		list = append(list, c.speaker)
		if c.deputy.IsValid() {
			list = append(list, c.deputy)
		}
	}
	slices.SortFunc(list, netip.Addr.Compare)

	return slices.Compact(list)
}

// AnnounceOrigins returns the messages that tell the holders of each origin. The
// origins of one holder share messages.
func (a *Aggregator) AnnounceOrigins(now time.Time, list []encoder.Origin) []Output {
	choice := a.holderChoice(now)
	byHolder := map[netip.Addr][]encoder.Origin{}
	for _, o := range list {
		if len(o.Version) > encoder.MaxVersionBytes {
			// The receivers would refuse the whole message.
			continue
		}
		for _, addr := range choice.holders(o.Key) {
			byHolder[addr] = append(byHolder[addr], o)
		}
	}
	holders := make([]netip.Addr, 0, len(byHolder))
	for addr := range byHolder {
		holders = append(holders, addr)
	}
	slices.SortFunc(holders, netip.Addr.Compare)
	var out []Output
	for _, addr := range holders {
		for origins := byHolder[addr]; len(origins) > 0; {
			n := fittingOrigins(origins)
			out = append(out, Output{addr, &encoder.Origins{List: origins[:n:n]}})
			origins = origins[n:]
		}
	}

	return out
}

// fittingOrigins returns how many of the first origins fit into a message.
func fittingOrigins(list []encoder.Origin) int {
	// The kind byte is not part of the encoded message.
	size := 1 + (&encoder.Origins{}).Msgsize()
	for i := range list {
		size += list[i].Msgsize()
		if size > maxOriginBytes {
			return i
		}
	}

	return len(list)
}

// AskOrigin returns the messages that ask all informants for an origin.
func (a *Aggregator) AskOrigin(now time.Time, query *encoder.OriginQuery) []Output {
	informants := a.Informants(now)
	out := make([]Output, len(informants))
	for i, addr := range informants {
		out[i] = Output{addr, query}
	}

	return out
}

// adoptSpeakers replaces the speakers of the other data centres by those that the
// local speaker exchanges digests with. Other members do not hear of a new one.
func (a *Aggregator) adoptSpeakers(list []encoder.Speaker) {
	for _, s := range list {
		if c := a.centres[s.Centre]; c != nil && s.Address != 0 {
			c.speaker = uint32ToAddr(s.Address)
		}
	}
}
