// Package dispatcher sends requests to endpoints and returns their responses. It
// sends each dispatch at most once, and reports whether any byte of it may have
// reached the endpoint.
package dispatcher

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"

	"snipedyke/internal/reducer"
	"snipedyke/pkg/cataloguer"
	"snipedyke/pkg/encoder"
)

// Options sets the timeouts and size limits of dispatches. A zero field selects
// the default stated in its comment.
type Options struct {
	// DialTimeout limits the time to connect to an endpoint. The default is 1 s.
	DialTimeout time.Duration
	// ReadTimeout limits the time without a byte from the endpoint. The default is
	// 60 s.
	ReadTimeout time.Duration
	// ResponseTimeout limits the time until a model engine responds to a request
	// without streaming, since it sends nothing before the response is complete.
	// The default is 10 min.
	ResponseTimeout time.Duration
	// UnackedTimeout limits the time that sent data may remain unacknowledged by
	// the endpoint's host. The default is 20 s.
	UnackedTimeout time.Duration
	// ProgressInterval is the minimum time between two progress reports. The
	// default is 250 ms.
	ProgressInterval time.Duration
	// ConnIdleTimeout limits the time that an idle connection is kept open. The
	// default is 10 s.
	ConnIdleTimeout time.Duration
	// MaxResponseBytes limits the size of a response body in bytes, except for
	// streams. The default is 4 MiB.
	MaxResponseBytes int
	// MaxEventBytes limits the size of a stream event. The default is 256 KiB.
	MaxEventBytes int
	// MaxHeaderBytes limits the size of a response header. The default is 16
	// KiB.
	MaxHeaderBytes int
}

// maxConns is higher than any limit on the requests at an endpoint, so that the
// connection pool is never the bottleneck.
const maxConns = 1 << 16

// Dispatcher runs dispatches. Its methods are safe for concurrent use.
type Dispatcher struct {
	opts Options
	post func(reducer.Event)
	wg   conc.WaitGroup

	mu      sync.Mutex
	running map[attemptKey]*attempt
	clients map[netip.AddrPort]*fasthttp.HostClient
	closed  bool
}

// attemptKey identifies a dispatch. The permit alone is not unique, since
// different homes may issue equal permits.
type attemptKey struct{ id, permit uint64 }

// New returns a dispatcher that passes its events to post.
func New(opts Options, post func(reducer.Event)) *Dispatcher {
	setDefault(&opts.DialTimeout, time.Second)
	setDefault(&opts.ReadTimeout, time.Minute)
	setDefault(&opts.ResponseTimeout, 10*time.Minute)
	setDefault(&opts.UnackedTimeout, 20*time.Second)
	setDefault(&opts.ProgressInterval, 250*time.Millisecond)
	setDefault(&opts.ConnIdleTimeout, 10*time.Second)
	setDefault(&opts.MaxResponseBytes, 4<<20)
	setDefault(&opts.MaxEventBytes, 256<<10)
	setDefault(&opts.MaxHeaderBytes, 16<<10)

	return &Dispatcher{
		opts:    opts,
		post:    post,
		running: make(map[attemptKey]*attempt),
		clients: make(map[netip.AddrPort]*fasthttp.HostClient),
	}
}

func setDefault[T int | time.Duration](field *T, value T) {
	if *field == 0 {
		*field = value
	}
}

// Start begins to send work to an endpoint and returns immediately. Exactly one
// reducer.Ended is posted for each call.
func (d *Dispatcher) Start(e reducer.Dispatch, endpoint *cataloguer.Endpoint, work *Work) {
	a := &attempt{d: d, dispatch: e, endpoint: endpoint, work: work}
	key := attemptKey{id: e.ID, permit: e.Permit}
	d.mu.Lock()
	_, exists := d.running[key]
	refused := d.closed || exists
	if !refused {
		d.running[key] = a
	}
	d.mu.Unlock()

	d.wg.Go(func() {
		ended := reducer.Ended{ID: e.ID, Permit: e.Permit, Outcome: encoder.OutcomeUnused}
		if !refused {
			ended = a.run()
			d.mu.Lock()
			delete(d.running, key)
			d.mu.Unlock()
		}
		d.post(ended)
	})
}

// Cancel cancels a dispatch if it is still running.
func (d *Dispatcher) Cancel(id, permit uint64) {
	d.mu.Lock()
	a := d.running[attemptKey{id: id, permit: permit}]
	d.mu.Unlock()
	if a != nil {
		a.cancel()
	}
}

// Retain closes the idle connections to all addresses for which keep returns
// false.
func (d *Dispatcher) Retain(keep func(netip.AddrPort) bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for address, client := range d.clients {
		if !keep(address) {
			delete(d.clients, address)
			client.CloseIdleConnections()
		}
	}
}

// Close cancels all dispatches, waits until they have ended and closes the idle
// connections. Dispatches started later end with encoder.OutcomeUnused.
func (d *Dispatcher) Close() {
	d.mu.Lock()
	d.closed = true
	attempts := make([]*attempt, 0, len(d.running))
	for _, a := range d.running {
		attempts = append(attempts, a)
	}
	d.mu.Unlock()
	for _, a := range attempts {
		a.cancel()
	}
	d.wg.Wait()
	d.Retain(func(netip.AddrPort) bool { return false })
}

// client returns the connection pool of an address. The dispatcher uses only
// the pool and the buffers of a HostClient. It does not send requests through
// it, because the HostClient does not report whether any byte was written.
func (d *Dispatcher) client(address netip.AddrPort) *fasthttp.HostClient {
	d.mu.Lock()
	defer d.mu.Unlock()
	client, ok := d.clients[address]
	if !ok {
		client = &fasthttp.HostClient{
			Addr:                      address.String(),
			Dial:                      func(string) (net.Conn, error) { return d.dial(address) },
			MaxConns:                  maxConns,
			MaxIdleConnDuration:       d.opts.ConnIdleTimeout,
			MaxIdemponentCallAttempts: 1,
			ConnPoolStrategy:          fasthttp.LIFO,
		}
		d.clients[address] = client
	}

	return client
}

func (d *Dispatcher) dial(address netip.AddrPort) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(context.Background(), d.opts.DialTimeout)
	defer cancel()
	dialer := net.Dialer{KeepAliveConfig: KeepAlive, Control: SetTCPUserTimeout(d.opts.UnackedTimeout)}

	return dialer.DialTCP(ctx, "tcp", netip.AddrPort{}, address)
}
