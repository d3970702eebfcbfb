// Package forwarder serves the callers of routed requests. It turns the world
// into events of a director and carries out its effects: it sends requests to
// endpoints, checks that answers are whole and belong to their requests, and
// passes them on.
package forwarder

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"

	"snipedyke/internal/director"
	"snipedyke/pkg/encoder"
)

// Logger writes numbered log events and does not block.
type Logger interface {
	// Event writes an event; args alternates keys and values.
	Event(number int, args ...any)
}

// Meter keeps counters and histograms.
type Meter interface {
	Tally(c director.Count)
	Time(o director.Observe)
}

// Options are what a forwarder is made of.
type Options struct {
	Director director.Options
	Protocol Protocol
	Logger   Logger
	Meter    Meter
	// Callers is the address for callers.
	Callers netip.AddrPort
	// Clock returns the time for all decisions. It must also run while the
	// machine is suspended, since the age of the view decides which keys are
	// accepted.
	Clock func() time.Time
	// Body and Header bound what callers may send in bytes, and Connections the
	// number of their connections.
	Body, Header, Connections int
	// Grace is the time that a graceful shutdown may take.
	Grace time.Duration
}

const (
	// tickInterval is the time between two looks at requests that wait.
	tickInterval = 10 * time.Millisecond
	// outTime is how long after the start of a shutdown new connections may
	// still come: the balancer asks every second whether the node is ready, and
	// goes by two answers.
	outTime = 2500 * time.Millisecond
	// endMargin is the part of the grace that is left for the process to end.
	endMargin = 400 * time.Millisecond
	// readTimeout bounds the time to read a request and defaultIdleTime the
	// time between two of a connection.
	readTimeout     = 10 * time.Second
	defaultIdleTime = 60 * time.Second
)

// Forwarder is a running node for routed requests. Its methods are safe for
// concurrent use.
type Forwarder struct {
	opts     Options
	listener *listener
	server   *fasthttp.Server
	pool     *pool
	lastID   atomic.Uint64
	leaving  atomic.Bool

	mu       sync.Mutex
	director *director.Director
	calls    map[uint64]*call
	ticking  bool
}

// New returns a forwarder that listens for callers. Run must follow.
func New(opts Options) (*Forwarder, error) {
	ln, err := net.Listen("tcp", opts.Callers.String())
	if err != nil {
		return nil, &Error{Op: "listen for callers", Kind: KindListen, Err: err}
	}
	f := &Forwarder{
		opts: opts, pool: newPool(), director: director.New(opts.Director), calls: map[uint64]*call{},
		listener: &listener{Listener: ln, conns: map[*callerConn]struct{}{}},
	}
	f.server = &fasthttp.Server{
		Handler:                      f.serve,
		ErrorHandler:                 f.refuseMalformed,
		ReadBufferSize:               opts.Header,
		MaxRequestBodySize:           opts.Body,
		Concurrency:                  opts.Connections,
		ReadTimeout:                  readTimeout,
		IdleTimeout:                  defaultIdleTime,
		NoDefaultServerHeader:        true,
		NoDefaultDate:                true,
		NoDefaultContentType:         true,
		DisablePreParseMultipartForm: true,
		Logger:                       discard{},
	}

	return f, nil
}

// discard drops the lines of the HTTP server, which tell of connections that
// ended; what concerns a request is logged as an event.
type discard struct{}

func (discard) Printf(string, ...any) {}

// Run serves callers until a graceful shutdown that follows the end of ctx. It
// returns an error of kind KindServe if the listener fails.
func (f *Forwarder) Run(ctx context.Context) error {
	var failed error
	var wg conc.WaitGroup
	served := make(chan struct{})
	wg.Go(func() {
		defer close(served)
		failed = f.server.Serve(f.listener)
	})
	select {
	case <-ctx.Done():
		f.shutDown()
	case <-served:
	}
	wg.Wait()
	if failed != nil && !f.leaving.Load() {
		return &Error{Op: "serve callers", Kind: KindServe, Err: failed}
	}

	return nil
}

// shutDown waits until callers no longer connect and the requests in progress
// are answered, or the grace ends.
func (f *Forwarder) shutDown() {
	start := time.Now()
	f.leaving.Store(true)
	f.Post(director.Leaving{})
	time.Sleep(outTime)
	_ = f.listener.Close()
	for time.Since(start) < f.opts.Grace-endMargin {
		f.listener.closeIdle()
		if f.active() == 0 {
			break
		}
		time.Sleep(tickInterval)
	}
}

func (f *Forwarder) active() int {
	f.mu.Lock()
	defer f.mu.Unlock()

	return len(f.calls)
}

// Post gives the director an event and carries out the effects.
func (f *Forwarder) Post(e director.Event) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, effect := range f.director.Reduce(f.opts.Clock(), e) {
		f.execute(effect)
	}
	if f.director.Busy() && !f.ticking {
		f.ticking = true
		time.AfterFunc(tickInterval, f.tick)
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
		f.order(e.ID, e)
	case director.Refuse:
		f.order(e.ID, e)
	case director.Relay:
		f.order(e.ID, e)
	case director.Abort:
		f.order(e.ID, e)
	case director.Cancel:
		if c := f.calls[e.ID]; c != nil {
			c.cancel()
		}
	case director.Forget:
		f.pool.forget(e.Address)
	case director.Log:
		f.opts.Logger.Event(e.Event, e.Args...)
	case director.Count:
		f.opts.Meter.Tally(e)
	case director.Observe:
		f.opts.Meter.Time(e)
	}
}

// order hands an effect to the goroutine of its request. There is at most one
// at a time.
func (f *Forwarder) order(id uint64, e director.Effect) {
	if c := f.calls[id]; c != nil {
		c.orders <- e
	}
}

// Ready tells whether the node takes new requests.
func (f *Forwarder) Ready() bool {
	f.Post(director.Ticked{})
	f.mu.Lock()
	defer f.mu.Unlock()

	return f.director.Ready()
}

// Status returns what metrics show.
func (f *Forwarder) Status() director.Status {
	f.mu.Lock()
	defer f.mu.Unlock()

	return f.director.Status(f.opts.Clock())
}

// Load returns the load that the node has placed.
func (f *Forwarder) Load() encoder.Sum {
	f.mu.Lock()
	defer f.mu.Unlock()

	return f.director.Load()
}

// Changed returns what has changed in the load since the last call of it or of
// Load.
func (f *Forwarder) Changed() encoder.Change {
	f.mu.Lock()
	defer f.mu.Unlock()

	return f.director.Changed()
}

// Addr returns the address for callers.
func (f *Forwarder) Addr() netip.AddrPort {
	return f.listener.Addr().(*net.TCPAddr).AddrPort()
}

// Kind tells what went wrong.
type Kind string

// The kinds of errors.
const (
	KindListen Kind = "cannot listen"
	KindServe  Kind = "cannot serve"
)

// Error is an error of this package.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error describes the operation, the kind and the cause.
func (e *Error) Error() string { return fmt.Sprintf("forwarder: %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
