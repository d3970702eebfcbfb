package aggregator

import (
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"snipedyke/pkg/encoder"
)

// speakerOf returns the node that speaks for a data centre: the running one with
// the lowest address.
func (f *fleet) speakerOf(centre string) netip.Addr {
	var speaker netip.Addr
	for _, addr := range f.order {
		if f.nodes[addr] != nil && f.centre[addr] == centre && (!speaker.IsValid() || addr.Less(speaker)) {
			speaker = addr
		}
	}

	return speaker
}

// Guards against records that are all lost with one data centre or with two nodes,
// against those that are told to a node that is not asked, and against a node that
// counts itself.
func TestHoldersOutliveADataCentreAndTwoNodes(t *testing.T) {
	c := qt.New(t)
	for _, size := range []struct{ nodes, centres, holders int }{
		{1, 1, 0}, {2, 1, 1}, {3, 1, 2}, {9, 1, 2}, {2, 2, 1}, {3, 2, 2}, {4, 2, 3}, {3, 3, 2}, {6, 4, 3}, {8, 3, 3}, {73, 4, 3},
	} {
		f := newFleet(size.nodes, size.centres)
		f.run(4 * time.Second)
		informants := map[netip.Addr][]netip.Addr{}
		for _, addr := range f.order {
			informants[addr] = f.nodes[addr].Informants(f.now)
			c.Assert(slices.Contains(informants[addr], addr), qt.IsFalse)
		}
		for i, addr := range f.order {
			for key := range uint64(20) {
				comment := qt.Commentf("%v: node %d, key %d", size, i, key)
				holders := f.nodes[addr].Holders(f.now, key)
				// The second of two data centres with three nodes has one node, which
				// tells the speaker and the deputy of the first.
				c.Assert(holders, qt.HasLen, size.holders, comment)
				c.Assert(slices.IsSortedFunc(holders, netip.Addr.Compare), qt.IsTrue, comment)
				c.Assert(slices.Compact(slices.Clone(holders)), qt.HasLen, len(holders), comment)
				c.Assert(slices.Contains(holders, addr), qt.IsFalse, comment)
				foreign := 0
				for _, h := range holders {
					if f.centre[h] != f.centre[addr] {
						foreign++
					}
				}
				c.Assert(foreign > 0, qt.Equals, size.centres > 1, comment)
				for _, asker := range f.order {
					found := slices.ContainsFunc(holders, func(h netip.Addr) bool { return h == asker || slices.Contains(informants[asker], h) })
					c.Assert(found || asker == addr, qt.IsTrue, qt.Commentf("%v: node %d, key %d, asked by %v", size, i, key, asker))
				}
			}
		}
	}
}

// Guards against a choice that depends on the order of messages, so that two
// nodes tell different holders without a reason.
func TestNodesOfADataCentreChooseTheSameHolders(t *testing.T) {
	c := qt.New(t)
	f := newFleet(73, 4)
	f.run(4 * time.Second)
	// Neither the first nor the second node is a holder of a key that both choose
	// others for.
	first, second := f.nodes[f.order[4]], f.nodes[f.order[8]]
	for key := range uint64(500) {
		x, y := first.Holders(f.now, key), second.Holders(f.now, key)
		if slices.Contains(x, f.order[8]) || slices.Contains(y, f.order[4]) {
			continue
		}
		c.Assert(slices.Equal(x, y), qt.IsTrue, qt.Commentf("key %d", key))
	}
}

// Guards against origins that are told to a node that has gone, and against a loss
// that also moves the records of other holders.
func TestLostHoldersAreReplaced(t *testing.T) {
	c := qt.New(t)
	f := newFleet(60, 4)
	f.run(4 * time.Second)
	const teller, lost = 8, 20
	before := map[uint64][]netip.Addr{}
	for key := range uint64(2000) {
		before[key] = f.nodes[f.order[teller]].Holders(f.now, key)
	}
	f.nodes[f.order[lost]] = nil
	f.run(6 * time.Second)
	moved := 0
	for key, old := range before {
		holders := f.nodes[f.order[teller]].Holders(f.now, key)
		c.Assert(holders, qt.HasLen, 3)
		c.Assert(slices.Contains(holders, f.order[lost]), qt.IsFalse)
		kept := 0
		for _, h := range holders {
			if slices.Contains(old, h) {
				kept++
			}
		}
		if slices.Contains(old, f.order[lost]) {
			moved++
			c.Assert(kept, qt.Equals, 2)
		} else {
			c.Assert(slices.Equal(holders, old), qt.IsTrue, qt.Commentf("key %d", key))
		}
	}
	c.Check(moved > 0, qt.IsTrue)
}

// Guards against a member that goes on naming the former speaker of another data
// centre after it has been replaced, and against one that tells a speaker that has
// fallen silent while its data centre has no other yet.
func TestMembersFollowSpeakersOfOtherDataCentres(t *testing.T) {
	c := qt.New(t)
	f := newFleet(24, 3)
	f.run(4 * time.Second)
	member := f.nodes[f.order[21]]
	former := f.speakerOf("centre-1")
	f.nodes[former] = nil
	f.run(6 * time.Second)
	for _, centre := range []string{"centre-1", "centre-2"} {
		c.Check(slices.Contains(member.Informants(f.now), f.speakerOf(centre)), qt.IsTrue, qt.Commentf("%s", centre))
	}
	c.Check(slices.Contains(member.Informants(f.now), former), qt.IsFalse)
	told := map[netip.Addr]bool{}
	for key := range uint64(200) {
		for _, h := range member.Holders(f.now, key) {
			told[h] = true
		}
	}
	c.Check(told[former], qt.IsFalse)
	c.Check(told[f.speakerOf("centre-1")], qt.IsTrue)

	f.blocked = func(a, b netip.Addr) bool { return (f.centre[a] == "centre-2") != (f.centre[b] == "centre-2") }
	f.run(2 * time.Second)
	for key := range uint64(200) {
		holders := member.Holders(f.now, key)
		c.Assert(holders, qt.HasLen, 3)
		c.Assert(slices.Contains(holders, f.speakerOf("centre-2")), qt.IsFalse)
	}
}

// Guards against a record that a node of another data centre cannot find because
// the speaker that was told has handed over meanwhile.
func TestFormerSpeakersAreAsked(t *testing.T) {
	c := qt.New(t)
	f := newFleet(24, 3)
	first := f.speakerOf("centre-1")
	f.nodes[first] = nil
	f.run(6 * time.Second)
	acting := f.speakerOf("centre-1")
	f.startNode(first)
	f.run(6 * time.Second)
	c.Assert(f.speakerOf("centre-1"), qt.Equals, first)
	for _, i := range []int{0, 21, 23} {
		informants := f.nodes[f.order[i]].Informants(f.now)
		c.Check(slices.Contains(informants, first), qt.IsTrue, qt.Commentf("node %d", i))
		c.Check(slices.Contains(informants, acting), qt.IsTrue, qt.Commentf("node %d", i))
	}
	// All 7 other nodes of the data centre, and two of each other one.
	c.Check(f.nodes[f.order[21]].Informants(f.now), qt.HasLen, 7+2*2)
}

// Guards against holders that get a larger share of the origins than others.
func TestHoldersShareOriginsEvenly(t *testing.T) {
	c := qt.New(t)
	f := newFleet(80, 4)
	f.run(4 * time.Second)
	const keys = 10_000
	local, foreign := map[netip.Addr]int{}, map[netip.Addr]int{}
	teller := f.order[40]
	for i := range uint64(keys) {
		// Consecutive keys and keys that differ in their upper bits only.
		for _, key := range []uint64{i, i << 44} {
			for _, h := range f.nodes[teller].Holders(f.now, key) {
				if f.centre[h] == f.centre[teller] {
					local[h]++
				} else {
					foreign[h]++
				}
			}
		}
	}
	c.Assert(local, qt.HasLen, 19)
	c.Assert(foreign, qt.HasLen, 3)
	check := func(counts map[netip.Addr]int, total int) {
		mean := total / len(counts)
		for addr, n := range counts {
			c.Check(n > mean*9/10 && n < mean*11/10, qt.IsTrue, qt.Commentf("%v has %d, mean %d", addr, n, mean))
		}
	}
	check(local, 2*2*keys)
	check(foreign, 2*keys)
}

// Guards against messages that do not fit into a packet, origins that are told to
// too few or to the wrong nodes, and one version over the limit that makes the
// receivers refuse the other origins.
func TestOriginsOfOneHolderShareMessages(t *testing.T) {
	c := qt.New(t)
	f := newFleet(24, 3)
	f.run(4 * time.Second)
	node := f.nodes[f.order[21]]
	list := make([]encoder.Origin, 0, 2001)
	for key := range uint64(2000) {
		list = append(list, encoder.Origin{Key: mix(key), Version: strings.Repeat("v", int(key%(encoder.MaxVersionBytes+1))), Age: 1 << 20})
	}
	list = append(list, encoder.Origin{Key: 1, Version: strings.Repeat("v", encoder.MaxVersionBytes+1)})
	told := map[uint64][]netip.Addr{}
	messages := 0
	for _, o := range node.AnnounceOrigins(f.now, list) {
		buf, err := encoder.Append(nil, o.Message)
		c.Assert(err, qt.IsNil)
		c.Assert(len(buf) <= maxOriginBytes, qt.IsTrue, qt.Commentf("%d bytes", len(buf)))
		m, err := encoder.Decode(buf)
		c.Assert(err, qt.IsNil)
		for _, origin := range m.(*encoder.Origins).List {
			told[origin.Key] = append(told[origin.Key], o.To)
		}
		messages++
	}
	for _, o := range list[:2000] {
		c.Assert(slices.Equal(told[o.Key], node.Holders(f.now, o.Key)), qt.IsTrue, qt.Commentf("key %d", o.Key))
	}
	c.Check(told, qt.HasLen, 2000)
	// 3 holders for each of 2,000 origins of 80 bytes take 480 KB.
	c.Check(messages < 500, qt.IsTrue, qt.Commentf("%d messages", messages))
	c.Check(node.AnnounceOrigins(f.now, nil), qt.HasLen, 0)
}

// Guards against announcements that do not fit into the limit of 19 KB/s per node
// beside the 17.0 KB/s of the load: 330 nodes in 9 data centres, 2,600 requests a
// second, each a stream of a service with two versions and announced twice.
func TestOriginBytesAtTheTargetSize(t *testing.T) {
	c := qt.New(t)
	const nodes, centres, rate = 330, 9, 2600
	f := newFleet(nodes, centres)
	f.run(2 * time.Second)
	sent, received := map[netip.Addr]int{}, map[netip.Addr]int{}
	send := func(from netip.Addr, out []Output) (bytes int) {
		for _, o := range out {
			buf, err := encoder.Append(nil, o.Message)
			c.Assert(err, qt.IsNil)
			sent[from] += len(buf)
			received[o.To] += len(buf)
			bytes += len(buf)
		}

		return bytes
	}
	total := 0
	for i := range rate {
		addr := f.order[i%nodes]
		origin := encoder.Origin{Key: mix(uint64(i)), Version: "2026.11.3", Age: uint32(i % 20)}
		for range 2 {
			total += send(addr, f.nodes[addr].AnnounceOrigins(f.now, []encoder.Origin{origin}))
		}
	}
	speakers := map[netip.Addr]bool{}
	for i := range centres {
		speakers[f.speakerOf(fmt.Sprint("centre-", i))] = true
	}
	mean := func(counts map[netip.Addr]int, ofSpeakers bool) (mean float64) {
		n := 0
		for _, addr := range f.order {
			if speakers[addr] == ofSpeakers {
				mean += float64(counts[addr])
				n++
			}
		}

		return mean / float64(n)
	}
	t.Logf("%d bytes a message; a second, members send %.0f bytes and receive %.0f, speakers send %.0f and receive %.0f",
		total/(rate*2*maxHolders), mean(sent, false), mean(received, false), mean(sent, true), mean(received, true))
	asked := f.nodes[f.order[100]].Informants(f.now)
	query := send(f.order[100], f.nodes[f.order[100]].AskOrigin(f.now, &encoder.OriginQuery{Key: mix(1), Service: "chat-large"}))
	t.Logf("a query: %d messages of %d bytes", len(asked), query/len(asked))
	c.Check(float64(total)/nodes <= 2000, qt.IsTrue, qt.Commentf("%.0f bytes per node and second", float64(total)/nodes))
}
