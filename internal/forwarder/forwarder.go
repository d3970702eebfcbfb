// Package forwarder serves the callers of routed requests. It passes requests,
// responses and errors as events to a director and carries out the effects that
// the director returns: it sends requests to endpoints, checks that responses are
// complete and belong to their requests, and relays them to the callers.
package forwarder

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"

	"snipedyke/internal/acceptor"
	"snipedyke/internal/budgeter"
	"snipedyke/internal/director"
	"snipedyke/internal/guarder"
	"snipedyke/internal/logger"
	"snipedyke/pkg/encoder"
)

// Logger writes numbered log events without blocking.
type Logger interface {
	// Event writes an event. The args alternate between keys and values.
	Event(number int, args ...any)
}

// Meter records counters and histograms.
type Meter interface {
	Count(c director.Count)
	Observe(o director.Observe)
}

// Options configures a Forwarder.
type Options struct {
	Director director.Options
	Protocol Protocol
	Logger   Logger
	Meter    Meter
	// Callers is the address on which to listen for callers.
	Callers netip.AddrPort
	// Nodes is the address on which to listen for requests that other nodes hand over. If
	// it is invalid, none are taken.
	Nodes netip.AddrPort
	// Clock returns the time on which all decisions are based. It must advance
	// while the machine is suspended, since the age of the shared view determines
	// which API keys are accepted.
	Clock func() time.Time
	// MaxBodyBytes and MaxHeaderBytes limit the size of a request's body and
	// header. MaxConnections limits the number of connections from callers. A fraction of
	// it, in addition, limits that of connections from other nodes.
	MaxBodyBytes, MaxHeaderBytes, MaxConnections int
	// MaxIdleConnections is the maximum number of idle connections to endpoints.
	MaxIdleConnections int
	// MemoryBudget is the number of bytes that the bodies of requests and responses and
	// the events of streams may take up together. It must be positive.
	MemoryBudget int
	// GracePeriod is the maximum duration of a graceful shutdown.
	GracePeriod time.Duration
	// AnnounceOrigins tells other nodes at which versions streams have begun, and
	// AskOrigin asks them for that of a stream. They must neither block nor call the
	// forwarder, and must not keep the list. Either may be nil.
	AnnounceOrigins func([]encoder.Origin)
	AskOrigin       func(key uint64, service string)
	// ConfirmView starts a read of the changes of the shared view, which is followed
	// by director.ViewConfirmed. It must not block and may be nil.
	ConfirmView func()
}

const (
	// tickInterval is the time between two checks of the waiting requests.
	tickInterval = 10 * time.Millisecond
	// drainDelay is the time after the start of a shutdown for which new
	// connections are accepted: the load balancer checks readiness every second
	// and acts after two consecutive results.
	drainDelay = 2500 * time.Millisecond
	// exitMargin is the part of the grace period reserved for the process to
	// exit.
	exitMargin = 400 * time.Millisecond
	// answerMargin is the part of the grace period before that in which requests
	// are answered that were not answered until then. It is longer than dialTimeout,
	// as an attempt that connects is not cancelled.
	answerMargin = 300 * time.Millisecond
	// readTimeout limits the time to read a request, and idleTimeout the time
	// between two requests on a connection.
	readTimeout = 10 * time.Second
	// memoryRetryAfter is the retry delay of callers whose requests do not fit into the
	// memory budget. Messages that are too large have given way by then.
	memoryRetryAfter = time.Second
	idleTimeout      = 60 * time.Second
)

// Forwarder is a node that serves routed requests. Its methods are safe for
// concurrent use.
type Forwarder struct {
	opts     Options
	listener *listener
	server   *fasthttp.Server
	pool     *pool
	// nodes serves other nodes, and nodePool holds connections to them.
	nodes        nodeServer
	nodePool     *pool
	budget       *budgeter.Budget
	lastID       atomic.Uint64
	shuttingDown atomic.Bool
	// These are the constants of the same names, or other times in tests.
	streamIdleTimeout, bodyEndTime, streamEndTime time.Duration

	mu       sync.Mutex
	director *director.Director
	calls    map[uint64]*call
	ticking  bool
}

// New returns a forwarder that listens for callers. The caller of New must call
// Run.
func New(opts Options) (*Forwarder, error) {
	ln, err := net.Listen("tcp", opts.Callers.String())
	if err != nil {
		return nil, &Error{Op: "listen for callers", Kind: KindListen, Err: err}
	}
	f := &Forwarder{
		opts: opts, pool: newPool(opts.MaxIdleConnections), nodePool: newNodePool(opts.MaxIdleConnections), director: director.New(opts.Director), calls: map[uint64]*call{},
		streamIdleTimeout: streamIdleTimeout, bodyEndTime: bodyEndTime, streamEndTime: streamEndTime,
		listener: &listener{Listener: acceptor.New(ln, "callers", opts.Logger), conns: map[*callerConn]struct{}{}},
	}
	f.budget = budgeter.New(budgeter.Options{Limit: opts.MemoryBudget, Clock: opts.Clock, OnCut: f.noteCut})
	f.server = f.newServer(opts.MaxConnections)
	if err := f.listenForNodes(); err != nil {
		return nil, errors.Join(err, ln.Close())
	}

	return f, nil
}

// newServer returns an HTTP server for callers or other nodes.
func (f *Forwarder) newServer(maxConnections int) *fasthttp.Server {
	opts := f.opts

	return &fasthttp.Server{
		Handler:                      f.serve,
		ErrorHandler:                 f.handleReadError,
		ConnState:                    func(conn net.Conn, s fasthttp.ConnState) { conn.(*callerConn).setServerState(s) },
		ReadBufferSize:               opts.MaxHeaderBytes,
		MaxRequestBodySize:           opts.MaxBodyBytes,
		StreamRequestBody:            true,
		HeaderReceived:               f.receiveHeader,
		Concurrency:                  maxConnections,
		ReadTimeout:                  readTimeout,
		IdleTimeout:                  idleTimeout,
		NoDefaultServerHeader:        true,
		NoDefaultDate:                true,
		NoDefaultContentType:         true,
		DisablePreParseMultipartForm: true,
		Logger:                       discardLogger{},
	}
}

// noteCut logs and counts a message that had to give way because the memory budget was
// used up.
func (f *Forwarder) noteCut(content budgeter.Content, bytes int) {
	f.opts.Logger.Event(logger.MessageCut, "content", string(content), "bytes", bytes, "limit", f.opts.MemoryBudget)
	f.opts.Meter.Count(director.Count{Counter: director.CounterCuts, Label: string(content)})
}

// Memory returns the use of the memory budget.
func (f *Forwarder) Memory() budgeter.Usage { return f.budget.Usage() }

// discardLogger discards the log lines of the HTTP server, which report closed
// connections. Everything that concerns a request is logged as an event.
type discardLogger struct{}

func (discardLogger) Printf(string, ...any) {}

// Run serves callers until ctx is done, and then shuts down gracefully. It
// returns an error of kind KindServe if the listener fails.
func (f *Forwarder) Run(ctx context.Context) error {
	var failed error
	var wg conc.WaitGroup
	served := make(chan struct{})
	wg.Go(func() {
		defer close(served)
		failed = f.server.Serve(f.listener)
	})
	wg.Go(f.nodes.serve)
	select {
	case <-ctx.Done():
		f.shutdown(served)
	case <-served:
		f.nodes.close()
	}
	wg.Wait()
	if failed != nil && !f.shuttingDown.Load() {
		return &Error{Op: "serve callers", Kind: KindServe, Err: failed}
	}

	return nil
}

// shutdown stops accepting connections after drainDelay, and then waits until
// the requests in progress are answered and their responses are written, or the
// grace period ends. By then, only streams that have begun and callers that do not
// read are left. The channel served is closed when the HTTP server accepts no
// more connections.
func (f *Forwarder) shutdown(served <-chan struct{}) {
	start := time.Now()
	f.shuttingDown.Store(true)
	f.Post(director.ShutdownRequested{AnswerBy: f.opts.Clock().Add(f.opts.GracePeriod - exitMargin - answerMargin)})
	time.Sleep(drainDelay)
	f.listener.stop()
	f.nodes.stop()
	// A connection that has just been accepted may not be known to the listener
	// before.
	select {
	case <-served:
	case <-time.After(f.opts.GracePeriod - exitMargin - time.Since(start)):
	}
	select {
	case <-f.nodes.served:
	case <-time.After(f.opts.GracePeriod - exitMargin - time.Since(start)):
	}
	for {
		remaining, waited := f.listener.closeIdle()+f.nodes.closeIdle(), time.Since(start)
		if remaining == 0 {
			return
		}
		if waited >= f.opts.GracePeriod-exitMargin {
			f.opts.Logger.Event(logger.ShutdownCutOff, "connections", remaining, "waited", waited.String())
			f.Post(director.ShutdownEnded{})

			return
		}
		time.Sleep(tickInterval)
	}
}

// Post passes an event to the director and carries out the resulting effects.
func (f *Forwarder) Post(e director.Event) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !guarder.Run(f.opts.Logger, "decision", func() { f.reduce(e) }) {
		f.loseRequest(e)
	}
	if f.director.NeedsTick() && !f.ticking {
		f.ticking = true
		time.AfterFunc(tickInterval, f.tick)
	}
}

func (f *Forwarder) reduce(e director.Event) {
	for _, effect := range f.director.Reduce(f.opts.Clock(), e) {
		f.execute(effect)
	}
}

// loseRequest ends the request of an event that could not be handled.
func (f *Forwarder) loseRequest(e director.Event) {
	id, ok := requestID(e)
	if !ok {
		return
	}
	guarder.Run(f.opts.Logger, "decision", func() { f.reduce(director.RequestLost{ID: id}) })
	if c := f.calls[id]; c != nil {
		select {
		case c.effects <- director.Abort{ID: id, Reason: director.ReasonInternal}:
		default:
		}
	}
}

// requestID returns the request of an event, and reports whether it has one.
func requestID(e director.Event) (uint64, bool) {
	switch e := e.(type) {
	case director.Arrived:
		return e.Request.ID, true
	case director.ResponseStarted:
		return e.ID, true
	case director.AttemptStalled:
		return e.ID, true
	case director.EndpointNoticed:
		return e.ID, true
	case director.AttemptFinished:
		return e.ID, true
	case director.CallerDisconnected:
		return e.ID, true
	default:
		return 0, false
	}
}

func (f *Forwarder) tick() {
	f.mu.Lock()
	f.ticking = false
	f.mu.Unlock()
	f.Post(director.Ticked{})
}

// execute carries out an effect without blocking.
func (f *Forwarder) execute(effect director.Effect) {
	switch e := effect.(type) {
	case director.Dispatch:
		f.deliver(e.ID, e)
	case director.HandOver:
		f.deliver(e.ID, e)
	case director.CheckLinks:
		go f.checkLinks(e)
	case director.Refuse:
		f.deliver(e.ID, e)
	case director.Relay:
		f.deliver(e.ID, e)
	case director.Abort:
		f.deliver(e.ID, e)
	case director.Cancel:
		if c := f.calls[e.ID]; c != nil {
			c.cancel()
		}
	case director.GiveUp:
		if c := f.calls[e.ID]; c != nil {
			c.giveUp()
		}
	case director.CloseIdleConnections:
		f.pool.closeIdle(e.Address)
	case director.CheckEndpoint:
		time.AfterFunc(checkDelay, func() { f.checkEndpoint(e) })
	case director.AnnounceOrigins:
		if f.opts.AnnounceOrigins != nil {
			f.opts.AnnounceOrigins(e.List)
		}
	case director.AskOrigin:
		if f.opts.AskOrigin != nil {
			f.opts.AskOrigin(e.Key, e.Service)
		}
	case director.ConfirmView:
		if f.opts.ConfirmView != nil {
			f.opts.ConfirmView()
		}
	case director.Log:
		f.opts.Logger.Event(e.Event, e.Args...)
	case director.Count:
		f.opts.Meter.Count(e)
	case director.Observe:
		f.opts.Meter.Observe(e)
	}
}

// deliver sends an effect to the goroutine of its request. There is at most one
// outstanding effect per request.
func (f *Forwarder) deliver(id uint64, e director.Effect) {
	if c := f.calls[id]; c != nil {
		c.effects <- e
	}
}

// Ready reports whether the node accepts new requests.
func (f *Forwarder) Ready() bool {
	f.Post(director.Ticked{})
	f.mu.Lock()
	defer f.mu.Unlock()

	return f.director.Ready()
}

// Status returns the state that is exported as metrics.
func (f *Forwarder) Status() director.Status {
	f.mu.Lock()
	defer f.mu.Unlock()

	return f.director.Status(f.opts.Clock())
}

// Explain returns where a request would go now, and why, without sending it. If account is
// not empty, it names the account of the caller.
func (f *Forwarder) Explain(q director.Request, account string) director.Placement {
	f.mu.Lock()
	defer f.mu.Unlock()

	return f.director.Explain(f.opts.Clock(), q, account)
}

// Load returns the load that the node places on endpoints.
func (f *Forwarder) Load() encoder.LoadSum {
	f.mu.Lock()
	defer f.mu.Unlock()

	return f.director.TakeLoad()
}

// LoadChange returns the change in the load since the last call of LoadChange
// or Load.
func (f *Forwarder) LoadChange() encoder.LoadChange {
	f.mu.Lock()
	defer f.mu.Unlock()

	return f.director.TakeLoadChanges()
}

// Observations returns what the node has observed of endpoints since the last call.
func (f *Forwarder) Observations() []encoder.Observation {
	f.mu.Lock()
	defer f.mu.Unlock()

	return f.director.TakeObservations(f.opts.Clock())
}

// Demands returns what the client accounts ask of this node.
func (f *Forwarder) Demands() []encoder.Demand {
	f.mu.Lock()
	defer f.mu.Unlock()

	return f.director.TakeDemands(f.opts.Clock())
}

// StoreContact returns the last period in which the node could read the store without an
// outage in which entries can expire. Both times are zero if there is none.
func (f *Forwarder) StoreContact() (since, until time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()

	return f.director.StoreContact()
}

// Crashes returns what the other nodes need to know about prompt parts that
// crash endpoints.
func (f *Forwarder) Crashes() []encoder.Crash {
	f.mu.Lock()
	defer f.mu.Unlock()

	return f.director.Crashes(f.opts.Clock())
}

// CrashNews returns what of Crashes the other nodes were never told.
func (f *Forwarder) CrashNews() []encoder.Crash {
	f.mu.Lock()
	defer f.mu.Unlock()

	return f.director.CrashNews(f.opts.Clock())
}

// Origin returns the version at which a stream of a service has begun, and reports
// whether the node knows it.
func (f *Forwarder) Origin(key uint64, service string) (encoder.Origin, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()

	return f.director.Origin(f.opts.Clock(), key, service)
}

// Addr returns the address on which the forwarder listens for callers.
func (f *Forwarder) Addr() netip.AddrPort {
	return f.listener.Addr().(*net.TCPAddr).AddrPort()
}

// Kind classifies an Error.
type Kind string

// The error kinds.
const (
	KindListen Kind = "cannot listen"
	KindServe  Kind = "cannot serve"
)

// Error is the error type of this package.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error returns the operation, the kind and the cause as text.
func (e *Error) Error() string { return fmt.Sprintf("forwarder: %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
