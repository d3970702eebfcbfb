package aggregator

import (
	"net/netip"
	"slices"
	"time"

	"snipedyke/pkg/encoder"
)

// Node is another node of the fleet.
type Node struct {
	Address netip.Addr
	Centre  string
}

// Nodes returns the other nodes that are known to run, ordered by address: those of the
// local data centre, and those that the node knows of others.
func (a *Aggregator) Nodes(now time.Time) []Node {
	known := map[netip.Addr]string{}
	add := func(addr netip.Addr, centre string) {
		if addr.IsValid() && !addr.IsUnspecified() && addr != a.opts.Self && known[addr] == "" {
			known[addr] = centre
		}
	}
	for _, addr := range a.runningMembers(now) {
		add(addr, a.opts.Centre)
	}
	for _, name := range a.centreNames() {
		c := a.centres[name]
		if now.Sub(c.sumTime) < nodeTimeout {
			add(c.speaker, name)
			add(c.deputy, name)
		}
		if now.Sub(c.nodesTime) < listedTimeout {
			for _, n := range c.nodes {
				add(uint32ToAddr(n), name)
			}
		}
	}
	for addr, n := range a.foreignNodes {
		if now.Sub(n.lastHeard) < foreignTimeout {
			add(addr, n.centre)
		}
	}
	nodes := make([]Node, 0, len(known))
	for addr, centre := range known {
		nodes = append(nodes, Node{addr, centre})
	}
	slices.SortFunc(nodes, func(a, b Node) int { return a.Address.Compare(b.Address) })

	return nodes
}

// runningMembers returns the other nodes of the local data centre that have sent a message
// within nodeTimeout, or that the speaker has listed as such within that time.
func (a *Aggregator) runningMembers(now time.Time) []netip.Addr {
	var list []netip.Addr
	for addr, m := range a.members {
		if now.Sub(m.lastHeard) < nodeTimeout || now.Sub(m.lastListed) < nodeTimeout {
			list = append(list, addr)
		}
	}
	slices.SortFunc(list, netip.Addr.Compare)

	return list
}

// AskNodes returns messages that ask for the nodes of the other data centres. Nodes includes
// those in the replies for listedTimeout.
func (a *Aggregator) AskNodes() []Output {
	var out []Output
	for _, name := range a.centreNames() {
		c := a.centres[name]
		out = append(out, Output{c.speaker, &encoder.NodeQuery{}})
		if c.deputy.IsValid() && c.deputy != c.speaker {
			out = append(out, Output{c.deputy, &encoder.NodeQuery{}})
		}
	}

	return out
}

// nodeList returns the reply to a node that asks for the nodes of the local data centre. If
// there are more than fit into a message, different nodes get different ones.
func (a *Aggregator) nodeList(now time.Time, from netip.Addr) *encoder.NodeList {
	list := addrsToUint32(append(a.runningMembers(now), a.opts.Self))
	if n := len(list); n > encoder.MaxNodes {
		first := int(addrToUint32(from) % uint32(n))
		list = append(list[first:], list[:first]...)[:encoder.MaxNodes]
	}

	return &encoder.NodeList{Centre: a.opts.Centre, Addresses: list}
}

func (a *Aggregator) receiveNodeList(now time.Time, m *encoder.NodeList) {
	if c := a.centres[m.Centre]; c != nil {
		c.nodes, c.nodesTime = m.Addresses, now
	}
}
