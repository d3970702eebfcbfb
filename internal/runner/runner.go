// Package runner is a node: it runs the reducer in one goroutine, feeds it
// events and carries out its effects.
package runner

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"

	"snipedyke/internal/dispatcher"
	"snipedyke/internal/issuer"
	"snipedyke/internal/listener"
	"snipedyke/internal/reducer"
	"snipedyke/pkg/cataloguer"
	"snipedyke/pkg/encoder"
)

// Peers sends messages to other nodes.
type Peers interface {
	// Send queues a message and does not block. It may be lost.
	Send(to string, m encoder.Message)
}

// Fetcher gets the newer catalogue or host list.
type Fetcher interface {
	// Fetch asks a peer and does not block.
	Fetch(peer string)
}

// Logger writes numbered log events.
type Logger interface {
	// Event writes an event; args alternates keys and values.
	Event(number int, args ...any)
}

// Meter keeps counters and histograms.
type Meter interface {
	Count(c reducer.Count)
	Observe(o reducer.Observe)
}

// Recorder records events for a replay.
type Recorder interface {
	// Record takes an event before the reducer does, and does not block.
	Record(now time.Time, e reducer.Event)
}

// Options are what a node is made of.
type Options struct {
	Reducer    reducer.Options
	Listener   listener.Options
	Dispatcher dispatcher.Options
	// Forward bounds the time that a request waits at the node that issued
	// its key, and the time of a request that has no deadline; 60 s.
	Forward time.Duration

	Peers    Peers
	Fetcher  Fetcher
	Logger   Logger
	Meter    Meter
	Recorder Recorder
}

const (
	// tickInterval is the time between two ticks of the reducer.
	tickInterval = 10 * time.Millisecond
	// queueLength is the number of events that wait for the reducer before
	// their sources have to wait.
	queueLength = 8192
	// drainTimeout bounds the time in which callers take the last answers of
	// a leaving node.
	drainTimeout = 30 * time.Second
)

// core is what a node needs of *reducer.Reducer.
type core interface {
	Reduce(now time.Time, e reducer.Event) []reducer.Effect
	Ready(now time.Time) bool
	Catalogue() *cataloguer.Catalogue
}

// Node is a running node. Its methods are safe for concurrent use.
type Node struct {
	opts       Options
	core       core
	listener   *listener.Listener
	dispatcher *dispatcher.Dispatcher

	events  chan any
	stopped chan struct{}
	lastID  atomic.Uint64

	catalogue atomic.Pointer[cataloguer.Catalogue]
	ready     atomic.Bool

	ring decisionRing

	issueMu sync.Mutex
	issuer  *issuer.Issuer

	// The fields below belong to the goroutine of the reducer.

	// wg holds the goroutines that post events later.
	wg conc.WaitGroup
	// calls holds the requests whose caller has no answer yet.
	calls map[uint64]*call
	// left tells that the reducer has nothing to do any more.
	left bool
}

// call is a request in progress.
type call struct {
	*listener.Call
	// peer is the node that the request was forwarded to, or empty, and
	// expires the time at which the answer is no longer awaited.
	peer    string
	expires time.Time
}

// New returns a node that listens for callers. Run must follow.
func New(opts Options) (*Node, error) {
	return newNode(opts, reducer.New(opts.Reducer))
}

func newNode(opts Options, c core) (*Node, error) {
	if opts.Forward == 0 {
		opts.Forward = time.Minute
	}
	n := &Node{
		opts:    opts,
		core:    c,
		events:  make(chan any, queueLength),
		stopped: make(chan struct{}),
		calls:   make(map[uint64]*call),
		issuer:  issuer.New(opts.Reducer.Self, opts.Reducer.Incarnation, opts.Reducer.Secret),
	}
	l, err := listener.New(opts.Listener, n)
	if err != nil {
		return nil, &Error{Op: "listen for callers", Kind: KindListen, Err: err}
	}
	n.listener = l
	n.dispatcher = dispatcher.New(opts.Dispatcher, n.Post)

	return n, nil
}

// Run runs the node until ctx ends or a graceful shutdown is complete. After
// it, all goroutines of the node have ended.
func (n *Node) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var wg conc.WaitGroup
	var serveErr error
	wg.Go(func() {
		serveErr = n.listener.Serve()
		cancel()
	})
	n.loop(ctx)

	n.ready.Store(false)
	close(n.stopped)
	for _, c := range n.calls {
		c.Caller.Refuse(listener.NewProblem(reducer.ReasonLeaving, encoder.MayHaveRun, 0))
	}
	drained := make(chan struct{})
	wg.Go(func() { n.drain(drained) })
	limit, stop := context.WithTimeout(context.Background(), drainTimeout)
	defer stop()
	err := n.listener.Shutdown(limit)
	n.dispatcher.Close()
	n.wg.Wait()
	close(drained)
	wg.Wait()

	if err := errors.Join(err, serveErr); err != nil {
		return &Error{Op: "serve callers", Kind: KindServe, Err: err}
	}

	return nil
}

// loop feeds the reducer until ctx ends or the node has left.
func (n *Node) loop(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case e := <-n.events:
			n.take(e)
		case <-ticker.C:
			n.reduce(reducer.Tick{})
			n.expireForwards(time.Now())
		case <-ctx.Done():
			return
		}
		if n.left && len(n.calls) == 0 {
			return
		}
	}
}

// drain empties the queue of a stopped node until done is closed, and refuses
// the calls in it.
func (n *Node) drain(done <-chan struct{}) {
	for {
		select {
		case e := <-n.events:
			if s, ok := e.(submitted); ok {
				s.refuse()
			}
		case <-done:
			return
		}
	}
}

// submitted is a new call.
type submitted struct{ call *listener.Call }

// refuse answers a call that comes after the end of the node.
func (s submitted) refuse() {
	run := encoder.NotRun
	if s.call.Request.Key != "" {
		// An earlier request with the key may have run.
		run = encoder.MayHaveRun
	}
	s.call.Caller.Refuse(listener.NewProblem(reducer.ReasonLeaving, run, time.Second))
}

// take handles one element of the queue.
func (n *Node) take(e any) {
	switch e := e.(type) {
	case reducer.Received:
		switch m := e.Message.(type) {
		case *encoder.Forward:
			n.takeForward(e.From, m)
		case *encoder.ForwardReply:
			n.takeForwardReply(e.From, m)
		default:
			n.reduce(e)
		}
	case reducer.Disconnected:
		n.reduce(e)
		n.loseForwards(e.Peer)
	case reducer.Event:
		n.reduce(e)
	case submitted:
		e.call.Work.Sink = e.call.Caller
		n.calls[e.call.Request.ID] = &call{Call: e.call}
		n.reduce(reducer.Arrived{Request: e.call.Request})
	case func():
		e()
	}
}

// reduce gives an event to the reducer and carries out the effects. The time
// is read here, so that a pause of the process before it is seen.
func (n *Node) reduce(e reducer.Event) {
	now := time.Now()
	if n.opts.Recorder != nil {
		n.opts.Recorder.Record(now, e)
	}
	effects := n.core.Reduce(now, e)
	if c := n.core.Catalogue(); c != n.catalogue.Load() {
		n.adopt(c)
	}
	n.ready.Store(n.core.Ready(now) && !n.left)
	for _, effect := range effects {
		n.apply(now, effect)
	}
}

// adopt publishes the catalogue in force and drops what it no longer needs.
func (n *Node) adopt(c *cataloguer.Catalogue) {
	n.catalogue.Store(c)
	if c == nil {
		return
	}
	addresses := make(map[netip.AddrPort]bool, len(c.Endpoints))
	for _, e := range c.Endpoints {
		addresses[e.Address] = true
	}
	n.dispatcher.Retain(func(a netip.AddrPort) bool { return addresses[a] })
}

// enqueue hands an element to the loop, unless the node has stopped.
func (n *Node) enqueue(e any) bool {
	select {
	case n.events <- e:
		return true
	case <-n.stopped:
		return false
	}
}

// Post hands an event to the reducer. It waits while the queue is full, and
// drops the event if the node has stopped.
func (n *Node) Post(e reducer.Event) { n.enqueue(e) }

// Leave starts a graceful shutdown, at whose end Run returns.
func (n *Node) Leave() { n.Post(reducer.Leave{}) }

// Ready tells whether the node may take new requests.
func (n *Node) Ready() bool { return n.ready.Load() }

// Catalogue returns the catalogue in force, or nil.
func (n *Node) Catalogue() *cataloguer.Catalogue { return n.catalogue.Load() }

// Addr returns the address that callers connect to.
func (n *Node) Addr() netip.AddrPort { return n.listener.Addr() }

// Inspect runs f in the goroutine of the reducer and waits for its end, so Run
// must have been called. It tells whether f has run; it has not if the node
// has stopped.
func (n *Node) Inspect(f func(*reducer.Reducer)) bool {
	r, ok := n.core.(*reducer.Reducer)
	if !ok {
		return false
	}

	return n.inspect(func() { f(r) })
}

func (n *Node) inspect(f func()) bool {
	done := make(chan struct{})
	if !n.enqueue(func() {
		f()
		close(done)
	}) {
		return false
	}
	select {
	case <-done:
		return true
	case <-n.stopped:
		return false
	}
}

// Submit implements listener.Node.
func (n *Node) Submit(c *listener.Call) {
	c.Request.ID = n.lastID.Add(1)
	if c.Work.Key = c.Request.Key; c.Work.Key == "" {
		c.Work.Key = fmt.Sprintf("%s-%x-%x", n.opts.Reducer.Self, n.opts.Reducer.Incarnation, c.Request.ID)
	}
	if s := (submitted{c}); !n.enqueue(s) {
		s.refuse()
	}
}

// CallerGone implements listener.Node.
func (n *Node) CallerGone(id uint64) { n.Post(reducer.Gone{ID: id}) }

// IssueKeys implements listener.Node. A node that is not ready issues none, as
// it may be leaving and only it can serve its keys.
func (n *Node) IssueKeys(count int) []string {
	if !n.Ready() {
		return nil
	}
	n.issueMu.Lock()
	defer n.issueMu.Unlock()

	return n.issuer.Issue(count)
}
