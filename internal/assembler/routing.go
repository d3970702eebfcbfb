package assembler

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"reflect"
	"runtime/debug"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"

	"snipedyke/internal/configurer"
	"snipedyke/internal/director"
	"snipedyke/internal/exchanger"
	"snipedyke/internal/exporter"
	"snipedyke/internal/follower"
	"snipedyke/internal/forwarder"
	"snipedyke/internal/logger"
	"snipedyke/internal/reducer"
	"snipedyke/pkg/encoder"
)

// RoutingOptions are what a node that routes requests by host and path is
// built from.
type RoutingOptions struct {
	Settings configurer.Routing
	// Output takes the log; nil discards it.
	Output   io.Writer
	Source   follower.Source
	Protocol forwarder.Protocol
	// Clock is the clock of all decisions.
	Clock func() time.Time
	// Build is the version of the program.
	Build string
}

const (
	// leaseShare is the part of the time to withdraw a key for which a view
	// serves. The rest covers changes that a watch does not show at once.
	leaseShare = 0.76
	// freshView is the age of the view up to which what is missing in it is
	// refused for good. Two watches in a row renew a view within this time.
	freshView = 3500 * time.Millisecond
	// maxNodes is the number of nodes by which a node divides the bounds of the
	// fleet before it knows others.
	maxNodes = 100
	// reservedDescriptors are left for files, endpoints and the shared view.
	reservedDescriptors = 1024
	// memoryShare is the part of the process's memory from which the collector
	// works harder.
	memoryShare = 0.6
	// maxRequestBody and maxRequestHeader bound requests in bytes.
	maxRequestBody   = 4 << 20
	maxRequestHeader = 16 << 10
	// closeTimeout bounds the writing of the last log lines.
	closeTimeout = 200 * time.Millisecond
	// probeTimeout bounds the reading of a call to the readiness address.
	probeTimeout = 5 * time.Second
)

// Routing is a node that routes requests by host and path.
type Routing struct {
	// mu guards opts.Settings.
	mu        sync.Mutex
	opts      RoutingOptions
	queue     *logger.AsyncWriter
	logger    *logger.RateLimiter
	exporter  *exporter.Exporter
	forwarder *forwarder.Forwarder
	follower  *follower.Follower
	exchanger *exchanger.Exchanger
	readiness net.Listener
	metrics   net.Listener
}

// NewRouting builds a node that listens on its addresses. Run must follow.
func NewRouting(opts RoutingOptions) (*Routing, error) {
	s := opts.Settings
	debug.SetMemoryLimit(int64(memoryShare * float64(s.Memory<<20)))
	output := opts.Output
	if output == nil {
		output = io.Discard
	}
	n := &Routing{opts: opts, exporter: exporter.New(), queue: logger.NewAsyncWriter(output)}
	n.logger = logger.NewRateLimiter(logger.New(logger.Options{
		Output: n.queue, Format: logger.Format(s.Log.Format), Level: hclog.LevelFromString(s.Log.Level), Node: s.Name,
	}), n.queue)
	var err error
	if n.readiness, err = listen("readiness", s.Readiness); err != nil {
		return nil, err
	}
	if s.Metrics.IsValid() {
		if n.metrics, err = listen("metrics", s.Metrics); err != nil {
			return nil, errors.Join(err, n.readiness.Close())
		}
	}
	n.forwarder, err = forwarder.New(forwarder.Options{
		Director: directorOptions(s),
		Protocol: opts.Protocol, Logger: n.logger, Meter: tally{n.exporter}, Callers: s.Callers, Clock: opts.Clock,
		MaxBodyBytes: maxRequestBody, MaxHeaderBytes: maxRequestHeader,
		MaxConnections: max(s.Descriptors-reservedDescriptors, minConnections), GracePeriod: s.Grace,
	})
	if err != nil {
		err = errors.Join(&Error{Op: "callers", Kind: KindListen, Err: err}, n.readiness.Close())
		if n.metrics != nil {
			err = errors.Join(err, n.metrics.Close())
		}

		return nil, err
	}
	n.exporter.Collect(n.collect)
	n.follower = follower.New(follower.Options{
		Source: opts.Source, Post: n.forwarder.Post, Logger: n.logger, Clock: opts.Clock,
	})
	n.exchanger, err = exchanger.New(exchanger.Options{
		Address: s.Peers, Centre: s.DataCentre, Seeds: s.Seeds, Logger: n.logger, Clock: opts.Clock,
		Own: n.forwarder.Load, View: n.follower.View, Relayed: n.follower.ApplyRelayed, Speaks: n.follower.SetRelaying,
		Heard:   func(others encoder.LoadSum) { n.forwarder.Post(director.OthersLoadReplaced{Others: others}) },
		Changed: func() encoder.LoadChange { return n.forwarder.LoadChange() },
		Moved:   func(others encoder.LoadSum) { n.forwarder.Post(director.OthersLoadUpdated{Others: others}) },
	})
	if err != nil {
		return nil, errors.Join(&Error{Op: "nodes", Kind: KindListen, Err: err}, n.readiness.Close())
	}

	return n, nil
}

// directorOptions returns the bounds that settings state.
func directorOptions(s configurer.Routing) director.Options {
	return director.Options{
		Name: s.Name, DataCentre: s.DataCentre, Regions: s.Regions,
		KeyLease:  time.Duration(leaseShare * float64(s.RevocationTimeout)),
		FreshView: freshView, Nodes: maxNodes,
		ColdFactor: s.ColdFactor, ColdSlack: s.ColdSlack,
		RetryWindow: s.RetryWindow, RetryRatio: s.RetryRatio, RetrySlack: s.RetrySlack,
	}
}

// Reload takes settings that were read again. Addresses and limits of the
// process stay as they are until the next start.
func (n *Routing) Reload(s configurer.Routing) {
	n.mu.Lock()
	defer n.mu.Unlock()
	changed := !reflect.DeepEqual(n.opts.Settings, s)
	n.logger.Event(logger.SettingsReloaded, "changed", changed)
	if changed {
		n.opts.Settings = s
		n.forwarder.Post(director.OptionsChanged{Options: directorOptions(s)})
		n.exchanger.SetSeeds(s.Seeds)
	}
}

// RefuseSettings logs settings that cannot be used.
func (n *Routing) RefuseSettings(err error) {
	n.logger.Event(logger.SettingsRejected, "error", err.Error())
}

// minConnections is the least number of callers' connections.
const minConnections = 128

// Callers returns the address for callers.
func (n *Routing) Callers() netip.AddrPort { return n.forwarder.Addr() }

// Run runs the node until a graceful shutdown that follows the end of ctx.
func (n *Routing) Run(ctx context.Context) error {
	n.logger.Event(logger.ForwarderStarted, "callers", n.Callers().String(), "version", n.opts.Build)
	following, stop := context.WithCancel(context.Background())
	var wg conc.WaitGroup
	wg.Go(func() { n.follower.Run(following) })
	wg.Go(func() { n.exchanger.Run(following) })
	wg.Go(func() { n.serve(n.readiness, n.answerReadiness) })
	if n.metrics != nil {
		wg.Go(func() { n.serve(n.metrics, n.answerMetrics) })
	}
	err := n.forwarder.Run(ctx)
	stop()
	_ = n.readiness.Close()
	if n.metrics != nil {
		_ = n.metrics.Close()
	}
	wg.Wait()
	n.logger.Event(logger.ShutdownComplete)
	n.queue.Close(closeTimeout)
	if err != nil {
		return &Error{Op: "serve callers", Kind: KindRun, Err: err}
	}

	return nil
}

// serve answers calls until the listener is closed.
func (n *Routing) serve(l net.Listener, handler fasthttp.RequestHandler) {
	server := fasthttp.Server{
		Handler: handler, ReadTimeout: probeTimeout, NoDefaultServerHeader: true, Logger: hclog.NewNullLogger().StandardLogger(&hclog.StandardLoggerOptions{}),
	}
	// The end of the listener is the end of the node, which is logged.
	_ = server.Serve(l)
}

func (n *Routing) answerReadiness(ctx *fasthttp.RequestCtx) {
	if n.forwarder.Ready() {
		ctx.SetStatusCode(http.StatusOK)
	} else {
		ctx.SetStatusCode(http.StatusServiceUnavailable)
	}
}

// collect writes the gauges.
func (n *Routing) collect(write func(name string, value float64)) {
	s := n.forwarder.Status()
	ready := 0.0
	if s.Ready {
		ready = 1
	}
	write("ready", ready)
	write("view_age_seconds", s.Age.Seconds())
	write("view_version", float64(s.Version))
	write("fleet_nodes", float64(s.Nodes))
	write("endpoints_known", float64(s.Endpoints))
	write("requests", float64(s.Requests))
	write("requests_waiting", float64(s.Waiting))
}

func (n *Routing) answerMetrics(ctx *fasthttp.RequestCtx) {
	ctx.SetContentType("text/plain; version=0.0.4")
	ctx.SetBodyStreamWriter(func(w *bufio.Writer) {
		var b bytes.Buffer
		n.exporter.Write(&b)
		_, _ = w.Write(b.Bytes())
	})
}

// routedCounter returns the name of a director's counter among all counters.
func routedCounter(c director.Counter) reducer.Counter {
	switch c {
	case director.CounterRefusals:
		return exporter.RoutedRefusals
	case director.CounterRetries:
		return exporter.RoutedRetries
	case director.CounterAttempts:
		return exporter.RoutedAttempts
	default:
		return reducer.Counter(c)
	}
}

// tally turns a director's counts into metrics.
type tally struct{ exporter *exporter.Exporter }

// Tally implements forwarder.Meter.
func (t tally) Count(c director.Count) {
	t.exporter.Count(reducer.Count{Counter: routedCounter(c.Counter), Label: c.Label})
}

// Time implements forwarder.Meter.
func (t tally) Observe(o director.Observe) {
	t.exporter.Observe(reducer.Observe{Histogram: "routed_total", Class: o.Kind.String(), Value: o.Value})
}
