package exchanger

import (
	"context"
	"net"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"snipedyke/internal/aggregator"
	"snipedyke/internal/logger"
	"snipedyke/pkg/encoder"
)

// timeout bounds the wait for a message; a test fails after it.
const timeout = 10 * time.Second

// node is an exchanger whose forwarder is replaced by a lock and a map.
type node struct {
	*Exchanger
	// ready is closed when the node knows all others.
	ready chan struct{}
	// learned gets each origin that other nodes have sent, and refused an element for
	// each message that is refused.
	learned chan encoder.Origin
	refused chan struct{}
	// contact is the period of the node's own contact with the store, and contacts gets
	// those of other nodes.
	contact  [2]time.Time
	contacts chan [2]time.Time
	// fleetDemands gets what the node learns of the demands of the fleet.
	fleetDemands chan []encoder.Demand
	// cutOff is the value of Options.CutOff, and others gets the other nodes.
	cutOff atomic.Bool
	others chan []aggregator.Node

	// mu is held by the callbacks like the lock of a forwarder.
	mu sync.Mutex
	// from is the address of the node that has sent the last origins.
	from  netip.Addr
	known map[uint64]encoder.Origin
}

// Event implements Logger.
func (n *node) Event(number int, _ ...any) {
	if number == logger.MessageRejected {
		n.refused <- struct{}{}
	}
}

func (n *node) know(o encoder.Origin) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.known[o.Key] = o
}

func (n *node) origin(key uint64, _ string) (encoder.Origin, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	o, ok := n.known[key]

	return o, ok
}

func (n *node) learn(list []encoder.Origin, from netip.Addr) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.from = from
	for _, o := range list {
		n.learned <- o
	}
}

func (n *node) lastSender() netip.Addr {
	n.mu.Lock()
	defer n.mu.Unlock()

	return n.from
}

// receive returns the next origin that the node learns.
func (n *node) receive(c *qt.C) encoder.Origin {
	select {
	case o := <-n.learned:
		return o
	case <-time.After(timeout):
		c.Fatal("no origin received")

		return encoder.Origin{}
	}
}

// firstContact is the contact with the store that the first node of a test has had. The
// other nodes have had none.
var firstContact = [2]time.Time{time.Now().Add(-time.Hour), time.Now().Add(-time.Minute)}

// startNodes returns nodes that know each other, one in each of the data centres
// named. They run until the end of the test.
func startNodes(c *qt.C, centres ...string) []*node {
	// All nodes use the same port, so each has a loopback address of its own.
	free, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	c.Assert(err, qt.IsNil)
	port := free.LocalAddr().(*net.UDPAddr).AddrPort().Port()
	c.Assert(free.Close(), qt.IsNil)
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	c.Cleanup(func() {
		cancel()
		wg.Wait()
	})
	nodes := make([]*node, len(centres))
	for i, centre := range centres {
		n := &node{
			ready: make(chan struct{}), learned: make(chan encoder.Origin, 1<<14), refused: make(chan struct{}, 1<<10),
			known: map[uint64]encoder.Origin{}, contacts: make(chan [2]time.Time, 1<<10),
			fleetDemands: make(chan []encoder.Demand, 1<<10), others: make(chan []aggregator.Node, 1<<10),
		}
		if i == 0 {
			n.contact = firstContact
		}
		var once sync.Once
		n.Exchanger, err = New(Options{
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, byte(1 + i)}), port), Centre: centre,
			Seeds: []netip.Addr{netip.MustParseAddr("127.0.0.1")}, Logger: n, Clock: time.Now,
			Load: func() encoder.LoadSum {
				n.mu.Lock()
				defer n.mu.Unlock()

				return encoder.LoadSum{}
			},
			SetOthersLoad: func(others encoder.LoadSum, _ []string) {
				if int(others.Nodes) == len(centres)-1 {
					once.Do(func() { close(n.ready) })
				}
			},
			LoadChange:      func() encoder.LoadChange { return encoder.LoadChange{} },
			SetChangedLoads: func(encoder.LoadSum) {}, View: func() aggregator.View { return aggregator.View{} },
			SetRelayedView: func(aggregator.RelayedView) {}, CompareTable: func(aggregator.TableState) {}, SetSpeaker: func(bool) {},
			Crashes: func() []encoder.Crash { return nil }, CrashNews: func() []encoder.Crash { return nil }, MergeCrashes: func([]encoder.Crash) {},
			StoreContact: func() (since, until time.Time) { return n.contact[0], n.contact[1] },
			NoteContact:  func(since, until time.Time) { n.contacts <- [2]time.Time{since, until} },
			Origin:       n.origin, LearnOrigins: n.learn,
			Demands: func() []encoder.Demand {
				return []encoder.Demand{{Group: 1, Account: 5, Offered: 1 << i, Admitted: 1}}
			},
			SetNodes: func(list []aggregator.Node) { n.others <- list }, CutOff: n.cutOff.Load,
			SetDemands: func(list []encoder.Demand) { n.fleetDemands <- list },
		})
		c.Assert(err, qt.IsNil)
		nodes[i] = n
	}
	for _, n := range nodes {
		wg.Go(func() { n.Run(ctx) })
	}
	for i, n := range nodes {
		select {
		case <-n.ready:
		case <-time.After(timeout):
			c.Fatalf("node %d does not know the others", i)
		}
	}

	return nodes
}

// Guards against an announcement that does not reach its holders, or that is lost
// with the one message that carried it.
func TestOriginsReachTheirHoldersTwice(t *testing.T) {
	c := qt.New(t)
	nodes := startNodes(c, "a", "a", "a", "b")
	origin := encoder.Origin{Key: 1 << 60, Version: "4.1.0", Age: 3}
	nodes[1].Announce([]encoder.Origin{origin})
	for _, i := range []int{0, 2, 3} {
		for range 2 {
			c.Check(nodes[i].receive(c), qt.Equals, origin, qt.Commentf("node %d", i))
		}
	}
	// A second announcement shows that the first was not sent a third time.
	second := encoder.Origin{Key: 7, Version: "4.2.0"}
	nodes[1].Announce([]encoder.Origin{second})
	for _, i := range []int{0, 2, 3} {
		c.Check(nodes[i].receive(c), qt.Equals, second, qt.Commentf("node %d", i))
	}
	c.Check(nodes[1].learned, qt.HasLen, 0)
}

// Guards against a query that the nodes that know do not answer, also across data
// centres, and against answers of nodes that do not know.
func TestQueriesAreAnsweredByNodesThatKnow(t *testing.T) {
	c := qt.New(t)
	nodes := startNodes(c, "a", "a", "b")
	local, foreign := encoder.Origin{Key: 1, Version: "4.1.0"}, encoder.Origin{Key: 2, Version: "4.2.0", Sole: true, Age: 900}
	nodes[0].know(local)
	nodes[2].know(foreign)
	nodes[1].Ask(3, "chat")
	nodes[1].Ask(1, "chat")
	c.Check(nodes[1].receive(c), qt.Equals, local)
	c.Check(nodes[1].lastSender(), qt.Equals, nodes[0].opts.Address.Addr())
	nodes[1].Ask(2, "chat")
	c.Check(nodes[1].receive(c), qt.Equals, foreign)
	c.Check(nodes[1].lastSender(), qt.Equals, nodes[2].opts.Address.Addr())
	c.Check(nodes[1].learned, qt.HasLen, 0)
}

// Guards against announcements that wait for a lock that their caller holds, and
// against a burst that overruns the receivers.
func TestBurstOfOriginsNeitherBlocksNorGetsLost(t *testing.T) {
	c := qt.New(t)
	nodes := startNodes(c, "a", "a", "b")
	const count = 2000
	list := make([]encoder.Origin, count)
	for i := range list {
		list[i] = encoder.Origin{Key: uint64(i), Version: "2026.11.3"}
	}
	returned := make(chan struct{})
	go func() {
		defer close(returned)
		nodes[0].mu.Lock()
		defer nodes[0].mu.Unlock()
		nodes[0].Announce(list)
		for key := range uint64(200) {
			nodes[0].Ask(count+key, "chat")
		}
		// All others learn of the origins while the lock is held.
		for _, n := range nodes[1:] {
			seen := map[uint64]bool{}
			for len(seen) < count {
				select {
				case o := <-n.learned:
					seen[o.Key] = true
				case <-time.After(timeout):
					c.Errorf("only %d origins received", len(seen))

					return
				}
			}
		}
	}()
	select {
	case <-returned:
	case <-time.After(3 * timeout):
		c.Fatal("blocked")
	}
}

// Guards against a node that stops listening to others because it does not know a
// kind of message, as in a fleet with two versions of the program, or because one
// exceeds its limits.
func TestRefusedMessagesDoNotStopTheExchange(t *testing.T) {
	c := qt.New(t)
	nodes := startNodes(c, "a", "a")
	oversized, err := encoder.Append(nil, &encoder.Origins{List: []encoder.Origin{{Version: strings.Repeat("v", encoder.MaxVersionBytes+1)}}})
	c.Assert(err, qt.IsNil)
	for _, message := range [][]byte{{255, 0x91, 0x90}, oversized, oversized[:20]} {
		_, err = nodes[0].conn.WriteToUDPAddrPort(message, nodes[1].opts.Address)
		c.Assert(err, qt.IsNil)
		select {
		case <-nodes[1].refused:
		case <-time.After(timeout):
			c.Fatal("not refused")
		}
	}
	nodes[0].Announce([]encoder.Origin{{Key: 5, Version: "4.1.0"}})
	c.Check(nodes[1].receive(c).Key, qt.Equals, uint64(5))
}

// Guards against a queue that grows without bound, that sends too much at once, or
// that repeats an announcement more than once.
func TestOriginQueueIsBounded(t *testing.T) {
	c := qt.New(t)
	q := newOriginQueue()
	c.Check(q.announce(make([]encoder.Origin, maxQueuedOrigins-1)), qt.Equals, 0)
	c.Check(q.announce(make([]encoder.Origin, 3)), qt.Equals, 2)
	for range maxQueuedQueries {
		c.Assert(q.ask(encoder.OriginQuery{}), qt.IsTrue)
	}
	c.Check(q.ask(encoder.OriginQuery{}), qt.IsFalse)
	drain := func() (origins, queries int) {
		for {
			o, s := q.take()
			c.Assert(len(o) <= originBatch && len(s) <= queryBatch, qt.IsTrue)
			if len(o)+len(s) == 0 {
				return origins, queries
			}
			origins += len(o)
			queries += len(s)
		}
	}
	origins, queries := drain()
	c.Check(origins, qt.Equals, maxQueuedOrigins)
	c.Check(queries, qt.Equals, maxQueuedQueries)
	for _, want := range []int{maxQueuedOrigins, 0, 0} {
		q.update()
		origins, queries = drain()
		c.Check(origins, qt.Equals, want)
		c.Check(queries, qt.Equals, 0)
	}
}
