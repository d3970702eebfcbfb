// Package runner runs a node: it calls the reducer with events in one goroutine
// and executes the effects that it returns.
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
	// Send queues a message without blocking. The message may be lost.
	Send(to string, m encoder.Message)
}

// Fetcher fetches newer versions of the catalogue and the host list.
type Fetcher interface {
	// Fetch starts a fetch from a peer without blocking.
	Fetch(peer string)
}

// Logger writes numbered log events.
type Logger interface {
	// Event writes an event; args alternates keys and values.
	Event(number int, args ...any)
}

// Meter records counters and histograms.
type Meter interface {
	Count(c reducer.Count)
	Observe(o reducer.Observe)
}

// Recorder records events for a replay.
type Recorder interface {
	// Record is called with each event before the reducer. It does not block.
	Record(now time.Time, e reducer.Event)
}

// Options configure a node.
type Options struct {
	Reducer    reducer.Options
	Listener   listener.Options
	Dispatcher dispatcher.Options
	// ForwardTimeout is the maximum time to wait for the answer to a forwarded
	// request, which an earlier deadline of the request shortens; 60 s if zero.
	ForwardTimeout time.Duration

	Peers    Peers
	Fetcher  Fetcher
	Logger   Logger
	Meter    Meter
	Recorder Recorder
}

const (
	// tickInterval is the time between two ticks of the reducer.
	tickInterval = 10 * time.Millisecond
	// queueLength is the capacity of the event queue. Post blocks while the
	// queue is full.
	queueLength = 8192
	// drainTimeout is the maximum time that a stopping node waits until its last
	// answers are sent.
	drainTimeout = 30 * time.Second
)

// stateMachine is the part of *reducer.Reducer that a node uses.
type stateMachine interface {
	Reduce(now time.Time, e reducer.Event) []reducer.Effect
	Ready(now time.Time) bool
	Catalogue() *cataloguer.Catalogue
}

// Node is a node of the fleet. Its exported methods are safe for concurrent use.
type Node struct {
	opts       Options
	machine    stateMachine
	listener   *listener.Listener
	dispatcher *dispatcher.Dispatcher

	events  chan any
	stopped chan struct{}
	lastID  atomic.Uint64

	catalogue atomic.Pointer[cataloguer.Catalogue]
	ready     atomic.Bool

	decisions decisionRing

	issueMu sync.Mutex
	issuer  *issuer.Issuer

	// The fields below are accessed only by the goroutine of the reducer.

	// asyncPosts waits for the goroutines that post events.
	asyncPosts conc.WaitGroup
	// calls holds the requests that have not ended, by ID.
	calls map[uint64]*call
	// left reports whether the reducer has returned Left, which completes
	// the graceful shutdown.
	left bool
}

// call is a request in progress.
type call struct {
	*listener.Call
	// peer is the node that the request was forwarded to, or empty.
	peer string
	// expires is the time at which a forwarded request times out.
	expires time.Time
}

// New returns a node that listens on the callers' address. The user must call
// Run.
func New(opts Options) (*Node, error) {
	return newNode(opts, reducer.New(opts.Reducer))
}

func newNode(opts Options, machine stateMachine) (*Node, error) {
	if opts.ForwardTimeout == 0 {
		opts.ForwardTimeout = time.Minute
	}
	n := &Node{
		opts:    opts,
		machine: machine,
		events:  make(chan any, queueLength),
		stopped: make(chan struct{}),
		calls:   make(map[uint64]*call),
		issuer:  issuer.New(opts.Reducer.Self, opts.Reducer.Incarnation, opts.Reducer.Secret),
	}
	opts.Listener.Logger = opts.Logger
	l, err := listener.New(opts.Listener, n)
	if err != nil {
		return nil, &Error{Op: "listen for callers", Kind: KindListen, Err: err}
	}
	n.listener = l
	n.dispatcher = dispatcher.New(opts.Dispatcher, n.Post)

	return n, nil
}

// Run runs the node until ctx is done or a graceful shutdown is complete. When it
// returns, all goroutines of the node have ended.
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
	n.asyncPosts.Wait()
	close(drained)
	wg.Wait()

	if err := errors.Join(err, serveErr); err != nil {
		return &Error{Op: "serve callers", Kind: KindServe, Err: err}
	}

	return nil
}

// loop handles queued events and ticks until ctx is done or a graceful shutdown
// is complete.
func (n *Node) loop(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case e := <-n.events:
			n.handle(e)
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
// the calls that it contains.
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

// submitted is a queue element that holds a new call.
type submitted struct{ call *listener.Call }

// refuse refuses a call that was submitted too late for a stopped node.
func (s submitted) refuse() {
	run := encoder.NotRun
	if s.call.Request.Key != "" {
		// An earlier request with the same key may have run.
		run = encoder.MayHaveRun
	}
	s.call.Caller.Refuse(listener.NewProblem(reducer.ReasonLeaving, run, time.Second))
}

// handle processes an element of the queue.
func (n *Node) handle(e any) {
	switch e := e.(type) {
	case reducer.Received:
		switch m := e.Message.(type) {
		case *encoder.Forward:
			n.handleForward(e.From, m)
		case *encoder.ForwardReply:
			n.handleForwardReply(e.From, m)
		default:
			n.reduce(e)
		}
	case reducer.Disconnected:
		n.reduce(e)
		n.failForwardsTo(e.Peer)
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

// reduce passes an event to the reducer and executes the effects. The time is
// read here rather than when the event was queued, so that the reducer notices a
// pause of the process in between.
func (n *Node) reduce(e reducer.Event) {
	now := time.Now()
	if n.opts.Recorder != nil {
		n.opts.Recorder.Record(now, e)
	}
	effects := n.machine.Reduce(now, e)
	if c := n.machine.Catalogue(); c != n.catalogue.Load() {
		n.setCatalogue(c)
	}
	n.ready.Store(n.machine.Ready(now) && !n.left)
	for _, effect := range effects {
		n.apply(now, effect)
	}
}

// setCatalogue stores the catalogue in force and drops the connections to
// addresses that are no longer in it.
func (n *Node) setCatalogue(c *cataloguer.Catalogue) {
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

// enqueue adds an element to the queue and reports whether it did. It does not
// if the node has stopped.
func (n *Node) enqueue(e any) bool {
	select {
	case n.events <- e:
		return true
	case <-n.stopped:
		return false
	}
}

// Post queues an event for the reducer. It blocks while the queue is full, and
// drops the event if the node has stopped.
func (n *Node) Post(e reducer.Event) { n.enqueue(e) }

// Leave starts a graceful shutdown. Run returns when it is complete.
func (n *Node) Leave() { n.Post(reducer.ShutdownRequested{}) }

// Ready reports whether the node may accept new requests.
func (n *Node) Ready() bool { return n.ready.Load() }

// Catalogue returns the catalogue in force, or nil.
func (n *Node) Catalogue() *cataloguer.Catalogue { return n.catalogue.Load() }

// Addr returns the address that the node listens on for callers.
func (n *Node) Addr() netip.AddrPort { return n.listener.Addr() }

// Inspect runs f in the goroutine of the reducer and waits until it returns, so
// Run must have been called. It reports whether f has run, which is false if the
// node has stopped.
func (n *Node) Inspect(f func(*reducer.Reducer)) bool {
	r, ok := n.machine.(*reducer.Reducer)
	if !ok {
		return false
	}

	return n.inspect(func() { f(r) })
}

// inspect implements Inspect for a function without an argument.
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
func (n *Node) CallerGone(id uint64) { n.Post(reducer.CallerGone{ID: id}) }

// IssueKeys implements listener.Node. A node that is not ready issues no keys,
// because it may be shutting down and only it can serve requests with its keys.
func (n *Node) IssueKeys(count int) []string {
	if !n.Ready() {
		return nil
	}
	n.issueMu.Lock()
	defer n.issueMu.Unlock()

	return n.issuer.Issue(count)
}
