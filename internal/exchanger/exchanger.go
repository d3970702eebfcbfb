// Package exchanger carries the messages of an aggregator over UDP. Messages
// are small, frequent and superseded by the next one, so a lost one need not
// be sent again, and there are no connections that could stall unnoticed.
package exchanger

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"snipedyke/internal/aggregator"
	"snipedyke/internal/guarder"
	"snipedyke/internal/logger"
	"snipedyke/pkg/encoder"
)

// Logger writes numbered log events and does not block.
type Logger interface {
	// Event writes an event; args alternates keys and values.
	Event(number int, args ...any)
}

// Options configures an Exchanger.
type Options struct {
	// Address is the local address on which the node receives messages. All nodes
	// use the same port.
	Address netip.AddrPort
	Centre  string
	Seeds   []netip.Addr
	// Load returns the node's load. SetOthersLoad is called with the load of all
	// other nodes, and the other data centres that have nodes among them.
	Load          func() encoder.LoadSum
	SetOthersLoad func(others encoder.LoadSum, centres []string)
	// SetNodes is called with the other nodes that are known to run when they have changed.
	// It must not keep the list and may be nil.
	SetNodes func([]aggregator.Node)
	// CutOff reports whether the node has lost its links to all endpoints. Then it needs to
	// know all nodes of the other data centres. It may be nil.
	CutOff func() bool
	// LoadChange returns the change of the node's load since the last call of
	// LoadChange or Load. SetChangedLoads is called with the load of the other
	// nodes at the endpoints where it has changed.
	LoadChange      func() encoder.LoadChange
	SetChangedLoads func(encoder.LoadSum)
	// Observations returns what the node has observed of endpoints since the last call,
	// and MergeObservations is called with what other nodes have observed. Either may be
	// nil.
	Observations      func() []encoder.Observation
	MergeObservations func([]encoder.Observation)
	// View returns the node's copy of the shared view. SetRelayedView is called
	// with the view that the speaker has sent, CompareTable with the version of the
	// routing table of another node, and SetSpeaker with whether the node is the
	// speaker of other nodes.
	View           func() aggregator.View
	SetRelayedView func(aggregator.RelayedView)
	CompareTable   func(aggregator.TableState)
	SetSpeaker     func(bool)
	// Crashes returns what the node knows about requests and prompt parts that crash
	// endpoints, and CrashNews what of that no node was told yet. MergeCrashes is called
	// with what other nodes know.
	Crashes, CrashNews func() []encoder.Crash
	MergeCrashes       func([]encoder.Crash)
	// StoreContact returns the last period in which the node could read the store, or
	// zero times, and NoteContact is called with that of another node. Both are on the
	// clock of this node.
	StoreContact func() (since, until time.Time)
	NoteContact  func(since, until time.Time)
	// Origin returns the version at which a stream of a service has begun, if the
	// node knows it. LearnOrigins is called with what another node knows, and its
	// address.
	Origin       func(key uint64, service string) (encoder.Origin, bool)
	LearnOrigins func(list []encoder.Origin, from netip.Addr)
	// Demands returns what the client accounts ask of this node, and SetDemands is
	// called after it with what they ask of the fleet, or nil if that is unknown. Both
	// are called once per second. If they are nil, demands are not exchanged.
	Demands    func() []encoder.Demand
	SetDemands func([]encoder.Demand)
	Logger     Logger
	// Clock returns the time on the clock that the node's decisions use.
	Clock func() time.Time
}

// askInterval is the time between two queries for the nodes of other data centres.
const askInterval = time.Second

// contactInterval is the time between two messages that tell others of the contact with
// the store. After a node's own outage it must know before its hold of removed entries
// ends.
const contactInterval = time.Second

// maxContact bounds the periods in messages.
const maxContact = 24 * time.Hour

// maxMessageBytes bounds the size of a received message.
const maxMessageBytes = 60 << 10

// Exchanger sends and receives the messages of a node.
type Exchanger struct {
	opts    Options
	conn    *net.UDPConn
	origins *originQueue

	// mu is not held while functions of opts other than Clock are called: they may
	// wait for a lock that is held while Announce and Ask are called.
	mu         sync.Mutex
	aggregator *aggregator.Aggregator
	buf        []byte
	// contactSent is the last time at which others were told of the contact with the
	// store.
	contactSent time.Time
	// asked is the last time at which others were asked for the nodes of their data
	// centres.
	asked time.Time
	// demandsSent is the last time at which demands were sent.
	demandsSent time.Time
	// nodes is the number of known nodes that was last logged, and listed holds those that
	// were last passed to SetNodes.
	nodes  int
	listed []aggregator.Node
	// sendFailed reports whether the last message could not be sent. Only the
	// first of several failures in a row is logged.
	sendFailed bool
}

// New returns an exchanger whose socket is open. It exchanges messages while
// Run runs.
func New(opts Options) (*Exchanger, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(opts.Address))
	if err != nil {
		return nil, &Error{Op: "listen for nodes", Kind: KindListen, Err: err}
	}

	return &Exchanger{opts: opts, conn: conn, origins: newOriginQueue(), aggregator: aggregator.New(aggregator.Options{
		Self: opts.Address.Addr(), Centre: opts.Centre, Seeds: opts.Seeds, StampOffset: rand.Uint64(),
	})}, nil
}

// Run exchanges messages until ctx is done.
func (x *Exchanger) Run(ctx context.Context) {
	var wg conc.WaitGroup
	wg.Go(x.receive)
	wg.Go(func() { x.sendOrigins(ctx) })
	ticker := time.NewTicker(aggregator.UpdateInterval)
	defer ticker.Stop()
	var last time.Time
	for {
		select {
		case <-ctx.Done():
			_ = x.conn.Close()
			wg.Wait()

			return
		case <-ticker.C:
			guarder.Run(x.opts.Logger, "updates to other nodes", x.sendUpdates)
			if now := x.opts.Clock(); now.Sub(last) >= aggregator.Interval {
				last = now
				guarder.Run(x.opts.Logger, "sums to other nodes", x.sendFullSums)
			}
		}
	}
}

// SetSeeds replaces the seeds.
func (x *Exchanger) SetSeeds(seeds []netip.Addr) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.aggregator.SetSeeds(seeds)
}

func (x *Exchanger) sendUpdates() {
	x.origins.update()
	change := x.opts.LoadChange()
	var observed []encoder.Observation
	if x.opts.Observations != nil {
		observed = x.opts.Observations()
	}
	crashes := x.opts.CrashNews()
	x.mu.Lock()
	defer x.mu.Unlock()
	now := x.opts.Clock()
	x.send(x.aggregator.Update(now, change, observed))
	if len(crashes) > 0 {
		x.send(x.aggregator.Announce(now, &encoder.Crashes{List: crashes}))
	}
}

func (x *Exchanger) sendFullSums() {
	load, view, crashes := x.opts.Load(), x.opts.View(), x.opts.Crashes()
	since, until := x.opts.StoreContact()
	isSpeaker, others, centres := x.tick(load, view, crashes)
	x.announceContact(since, until)
	x.exchangeDemands()
	x.opts.SetSpeaker(isSpeaker)
	x.opts.SetOthersLoad(others, centres)
	x.listNodes()
}

// listNodes calls SetNodes if the other nodes that are known to run have changed.
func (x *Exchanger) listNodes() {
	if x.opts.SetNodes == nil {
		return
	}
	cutOff := x.opts.CutOff != nil && x.opts.CutOff()
	x.mu.Lock()
	now := x.opts.Clock()
	if cutOff && now.Sub(x.asked) >= askInterval {
		x.asked = now
		x.send(x.aggregator.AskNodes())
	}
	nodes := x.aggregator.Nodes(now)
	changed := !slices.Equal(nodes, x.listed)
	x.listed = nodes
	x.mu.Unlock()
	if changed {
		x.opts.SetNodes(nodes)
	}
}

// tick sends full sums. It reports whether the node is the speaker of others, and
// returns the load of all other nodes and their data centres.
func (x *Exchanger) tick(load encoder.LoadSum, view aggregator.View, crashes []encoder.Crash) (isSpeaker bool, others encoder.LoadSum, centres []string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	now := x.opts.Clock()
	x.send(x.aggregator.Tick(now, load, view))
	if len(crashes) > 0 {
		x.send(x.aggregator.Announce(now, &encoder.Crashes{List: crashes}))
	}
	others = x.aggregator.Others(now)
	nodes := int(others.Nodes) + 1
	if nodes != x.nodes {
		x.opts.Logger.Event(logger.NodeCountChanged, "nodes", nodes, "former", x.nodes)
		x.nodes = nodes
	}

	return x.aggregator.IsSpeaker(now), others, x.aggregator.Centres(now)
}

// announceContact tells other nodes of the last period in which the node could read the
// store, if that is due.
func (x *Exchanger) announceContact(since, until time.Time) {
	x.mu.Lock()
	defer x.mu.Unlock()
	now := x.opts.Clock()
	if until.IsZero() || now.Sub(x.contactSent) < contactInterval {
		return
	}
	x.contactSent = now
	x.send(x.aggregator.Announce(now, &encoder.Contact{
		Age: uint64(max(now.Sub(until), 0).Milliseconds()), Steady: uint64(min(until.Sub(since), maxContact).Milliseconds()),
	}))
}

// noteContact converts a message about the contact with the store to times. They are
// later than the actual ones by the time that the message took.
func (x *Exchanger) noteContact(m *encoder.Contact) {
	if max(m.Age, m.Steady) > uint64(maxContact.Milliseconds()) {
		return
	}
	until := x.opts.Clock().Add(-time.Duration(m.Age) * time.Millisecond)
	x.opts.NoteContact(until.Add(-time.Duration(m.Steady)*time.Millisecond), until)
}

// receive handles messages until the socket is closed.
func (x *Exchanger) receive() {
	buf := make([]byte, maxMessageBytes)
	for {
		n, from, err := x.conn.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			// The destination of an earlier message had no listener.
			continue
		}
		guarder.Run(x.opts.Logger, "message of another node", func() { x.handle(buf[:n], from) })
	}
}

// handle decodes and applies a message.
func (x *Exchanger) handle(data []byte, from netip.AddrPort) {
	m, err := encoder.Decode(data)
	if err != nil {
		x.opts.Logger.Event(logger.MessageRejected, "from", from.String(), "error", err.Error())

		return
	}
	switch m := m.(type) {
	case *encoder.Crashes:
		x.opts.MergeCrashes(m.List)
	case *encoder.Contact:
		x.noteContact(m)
	case *encoder.Origins:
		x.opts.LearnOrigins(m.List, from.Addr().Unmap())
	case *encoder.OriginQuery:
		x.answer(from.Addr().Unmap(), m)
	default:
		x.applyNews(x.aggregate(from.Addr().Unmap(), m))
	}
}

// news is what the aggregator has learned from a message.
type news struct {
	// others is the load of all other nodes if hasOthers is true, and changedLoads that
	// at the endpoints where it has changed if hasChanges is.
	others, changedLoads  encoder.LoadSum
	hasOthers, hasChanges bool
	// centres holds the data centres of the other nodes if hasOthers is true.
	centres []string
	// relayed is the view that the speaker has sent, if hasView is true.
	relayed  aggregator.RelayedView
	hasView  bool
	tables   []aggregator.TableState
	observed []encoder.Observation
}

// aggregate passes a message to the aggregator and sends the messages that follow.
func (x *Exchanger) aggregate(from netip.Addr, m encoder.Message) news {
	x.mu.Lock()
	defer x.mu.Unlock()
	var n news
	x.send(x.aggregator.Receive(x.opts.Clock(), from, m))
	n.relayed, n.hasView = x.aggregator.Relayed()
	n.tables = x.aggregator.TableStates()
	n.observed = x.aggregator.Observations()
	n.hasOthers = x.aggregator.DigestReceived()
	n.changedLoads, n.hasChanges = x.aggregator.ChangedLoads(x.opts.Clock())
	if n.hasOthers {
		n.others, n.centres = x.aggregator.Others(x.opts.Clock()), x.aggregator.Centres(x.opts.Clock())
	}

	return n
}

func (x *Exchanger) applyNews(n news) {
	switch {
	case n.hasOthers:
		x.opts.SetOthersLoad(n.others, n.centres)
	case n.hasChanges:
		x.opts.SetChangedLoads(n.changedLoads)
	}
	if len(n.observed) > 0 && x.opts.MergeObservations != nil {
		x.opts.MergeObservations(n.observed)
	}
	if n.hasView {
		x.opts.SetRelayedView(n.relayed)
	}
	for _, t := range n.tables {
		x.opts.CompareTable(t)
	}
}

func (x *Exchanger) send(outputs []aggregator.Output) {
	for _, o := range outputs {
		var err error
		if x.buf, err = encoder.Append(x.buf[:0], o.Message); err == nil {
			_, err = x.conn.WriteToUDPAddrPort(x.buf, netip.AddrPortFrom(o.To, x.opts.Address.Port()))
		}
		if failed := err != nil; failed != x.sendFailed {
			x.sendFailed = failed
			if failed {
				x.opts.Logger.Event(logger.MessageSendFailed, "to", o.To.String(), "error", err.Error())
			}
		}
	}
}

// Kind classifies an Error.
type Kind string

// KindListen means that the node cannot listen on its address.
const KindListen Kind = "cannot listen"

// Error is an error of this package.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error returns the operation, the kind and the cause.
func (e *Error) Error() string { return fmt.Sprintf("exchanger: %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
