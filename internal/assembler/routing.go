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

	"snipedyke/internal/acceptor"
	"snipedyke/internal/aggregator"
	"snipedyke/internal/configurer"
	"snipedyke/internal/director"
	"snipedyke/internal/exchanger"
	"snipedyke/internal/exporter"
	"snipedyke/internal/follower"
	"snipedyke/internal/forwarder"
	"snipedyke/internal/guarder"
	"snipedyke/internal/inspector"
	"snipedyke/internal/logger"
	"snipedyke/internal/reducer"
	"snipedyke/pkg/encoder"
)

// RoutingNodeOptions configure a RoutingNode.
type RoutingNodeOptions struct {
	Settings configurer.Routing
	// Output receives the log; nil discards it.
	Output   io.Writer
	Source   follower.Source
	Protocol forwarder.Protocol
	// Clock returns the current time. All decisions use it instead of time.Now.
	Clock func() time.Time
	// Build is the version of the program.
	Build string
}

const (
	// keyLeaseFraction is the fraction of configurer.Routing.RevocationTimeout
	// for which a node accepts keys after its view was last confirmed. The rest
	// of the timeout allows for changes that a watch does not deliver
	// immediately.
	keyLeaseFraction = 0.76
	// freshViewAge is the maximum age of a view at which requests for an unknown
	// route or key are refused permanently. Two consecutive watches update a view
	// within this time.
	freshViewAge = 3500 * time.Millisecond
	// assumedNodes is the number of nodes assumed to share the limits of the
	// fleet until a node knows other nodes.
	assumedNodes = 512
	// reservedDescriptors is the number of file descriptors that are not
	// available to callers' connections, but reserved for files, endpoints and
	// the shared view. Idle connections to endpoints take up at most
	// maxIdleConnections of them.
	reservedDescriptors = 1024
	maxIdleConnections  = 768
	// memoryLimitFraction is the fraction of the process's memory limit that
	// is the runtime's soft limit; above it the garbage collector runs more
	// often.
	memoryLimitFraction = 0.6
	// maxRequestBody and maxRequestHeader bound the parts of a request in bytes.
	maxRequestBody   = 4 << 20
	maxRequestHeader = 16 << 10
	// logFlushTimeout bounds the time to write the last log lines at shutdown.
	logFlushTimeout = 200 * time.Millisecond
	// httpReadTimeout bounds the time to read a request to the readiness or
	// the metrics address.
	httpReadTimeout = 5 * time.Second
)

// RoutingNode is a node that routes requests by host and path.
type RoutingNode struct {
	// mu guards opts.Settings.
	mu        sync.Mutex
	opts      RoutingNodeOptions
	logWriter *logger.AsyncWriter
	logger    *logger.RateLimiter
	exporter  *exporter.Exporter
	forwarder *forwarder.Forwarder
	follower  *follower.Follower
	exchanger *exchanger.Exchanger
	readiness net.Listener
	metrics   net.Listener
	// peerPort is the port at which nodes take requests from each other.
	peerPort uint16
}

// NewRoutingNode returns a node that is already listening on its addresses. Run
// serves requests on them and closes them when it returns.
func NewRoutingNode(opts RoutingNodeOptions) (*RoutingNode, error) {
	s := opts.Settings
	debug.SetMemoryLimit(int64(memoryLimitFraction * float64(s.Memory<<20)))
	output := opts.Output
	if output == nil {
		output = io.Discard
	}
	n := &RoutingNode{opts: opts, peerPort: s.Peers.Port(), exporter: exporter.New(), logWriter: logger.NewAsyncWriter(output)}
	n.logger = logger.NewRateLimiter(logger.New(logger.Options{
		Output: n.logWriter, Format: logger.Format(s.Log.Format), Level: hclog.LevelFromString(s.Log.Level), Node: s.Name,
	}), n.logWriter)
	var err error
	if n.readiness, err = n.listen("readiness", s.Readiness); err != nil {
		return nil, err
	}
	if s.Metrics.IsValid() {
		if n.metrics, err = n.listen("metrics", s.Metrics); err != nil {
			return nil, errors.Join(err, n.readiness.Close())
		}
	}
	n.forwarder, err = forwarder.New(forwarder.Options{
		Director: directorOptions(s),
		Protocol: opts.Protocol, Logger: n.logger, Meter: routedMeter{n.exporter}, Callers: s.Callers, Nodes: s.Peers, Clock: opts.Clock,
		MaxBodyBytes: maxRequestBody, MaxHeaderBytes: maxRequestHeader,
		MaxConnections: maxConnections(s), MemoryBudget: memoryShare(s), MaxIdleConnections: min(maxIdleConnections, s.Descriptors/4),
		GracePeriod: s.Grace, AnnounceOrigins: n.announceOrigins, AskOrigin: n.askOrigin, ConfirmView: n.confirmView,
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
		Load: n.forwarder.Load, View: n.follower.View, SetRelayedView: n.follower.ApplyRelayed, CompareTable: n.follower.CompareTable, SetSpeaker: n.follower.SetRelaying,
		SetOthersLoad: func(others encoder.LoadSum, centres []string) {
			n.forwarder.Post(director.OthersLoadReplaced{Others: others, Centres: centres})
		},
		SetNodes:        n.setNodes,
		CutOff:          func() bool { return n.forwarder.Status().Stranded },
		LoadChange:      func() encoder.LoadChange { return n.forwarder.LoadChange() },
		SetChangedLoads: func(others encoder.LoadSum) { n.forwarder.Post(director.OthersLoadUpdated{Others: others}) },
		Observations:    n.forwarder.Observations,
		MergeObservations: func(list []encoder.Observation) {
			n.forwarder.Post(director.ObservationsReceived{List: list})
		},
		Crashes:      n.forwarder.Crashes,
		CrashNews:    n.forwarder.CrashNews,
		MergeCrashes: func(list []encoder.Crash) { n.forwarder.Post(director.CrashesObserved{Crashes: list}) },
		StoreContact: n.forwarder.StoreContact,
		NoteContact: func(since, until time.Time) {
			n.forwarder.Post(director.StoreReached{From: since, To: until})
		},
		Demands:    n.demands,
		SetDemands: func(list []encoder.Demand) { n.forwarder.Post(director.DemandsReceived{List: list}) },
		Origin:     n.forwarder.Origin,
		LearnOrigins: func(list []encoder.Origin, from netip.Addr) {
			n.forwarder.Post(director.OriginsLearned{List: list, From: from})
		},
	})
	if err != nil {
		return nil, errors.Join(&Error{Op: "nodes", Kind: KindListen, Err: err}, n.readiness.Close())
	}

	return n, nil
}

// announceOrigins tells other nodes at which versions streams have begun. The
// forwarder exists before the exchanger.
func (n *RoutingNode) announceOrigins(list []encoder.Origin) {
	if n.exchanger != nil {
		n.exchanger.Announce(list)
	}
}

// setNodes tells the director which other nodes run. All nodes use the same port.
func (n *RoutingNode) setNodes(list []aggregator.Node) {
	nodes := make([]director.Node, 0, len(list))
	for _, node := range list {
		nodes = append(nodes, director.Node{Address: netip.AddrPortFrom(node.Address, n.peerPort), DataCentre: node.Centre})
	}
	n.forwarder.Post(director.NodesKnown{List: nodes})
}

// askOrigin asks other nodes at which version a stream has begun.
func (n *RoutingNode) askOrigin(key uint64, service string) {
	if n.exchanger != nil {
		n.exchanger.Ask(key, service)
	}
}

// demands returns what the client accounts ask of this node if they share capacity.
func (n *RoutingNode) demands() []encoder.Demand {
	n.mu.Lock()
	shared := n.opts.Settings.Accounts
	n.mu.Unlock()
	if !shared {
		return nil
	}

	return n.forwarder.Demands()
}

// confirmView starts a read of the changes of the shared view. The forwarder exists
// before the follower.
func (n *RoutingNode) confirmView() {
	if n.follower != nil {
		n.follower.Confirm()
	}
}

// listen returns a listener whose failures to accept are logged.
func (n *RoutingNode) listen(name string, address netip.AddrPort) (net.Listener, error) {
	l, err := listen(name, address)
	if err != nil {
		return nil, err
	}

	return acceptor.New(l, name, n.logger), nil
}

// directorOptions converts settings to the options of a director.
func directorOptions(s configurer.Routing) director.Options {
	return director.Options{
		Name: s.Name, DataCentre: s.DataCentre, Regions: s.Regions,
		KeyLease:  time.Duration(keyLeaseFraction * float64(s.RevocationTimeout)),
		FreshView: freshViewAge, AssumedNodes: assumedNodes, PublicationInterval: s.PublicationInterval,
		ColdFactor: s.ColdFactor, ColdSlack: s.ColdSlack,
		RetryWindow: s.RetryWindow, RetryRatio: s.RetryRatio, RetrySlack: s.RetrySlack,
		Restarted: true, Outcomes: s.Outcomes, Speeds: s.Speeds, Accounts: s.Accounts,
	}
}

// Reload applies new settings. Changed addresses and process limits take effect
// only after a restart.
func (n *RoutingNode) Reload(s configurer.Routing) {
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

// LogInvalidSettings logs that reloaded settings are invalid.
func (n *RoutingNode) LogInvalidSettings(err error) {
	n.logger.Event(logger.SettingsRejected, "error", err.Error())
}

const (
	// minConnections is the minimum limit of callers' connections. It applies even if
	// the limits of file descriptors or of memory are too low for it.
	minConnections = 128
	// memoryShares is the number of shares into which the process's memory is divided.
	// Messages may take up one, and connections another one. The rest is for the
	// program, its other state and memory that has not been collected.
	memoryShares = 4
	// connectionBytes is the memory of a caller's connection: its buffers, which hold
	// request heads, and the stacks of its goroutines.
	connectionBytes = 32 << 10
)

// memoryShare returns the size of a share of the process's memory in bytes.
func memoryShare(s configurer.Routing) int { return s.Memory << 20 / memoryShares }

// maxConnections returns the maximum number of callers' connections.
func maxConnections(s configurer.Routing) int {
	return max(min(s.Descriptors-reservedDescriptors, memoryShare(s)/connectionBytes), minConnections)
}

// CallerAddr returns the address that callers connect to.
func (n *RoutingNode) CallerAddr() netip.AddrPort { return n.forwarder.Addr() }

// Run runs the node until ctx is cancelled, and then shuts it down gracefully.
func (n *RoutingNode) Run(ctx context.Context) error {
	n.logger.Event(logger.ForwarderStarted, "callers", n.CallerAddr().String(), "version", n.opts.Build)
	background, stop := context.WithCancel(context.Background())
	var wg conc.WaitGroup
	wg.Go(func() { n.follower.Run(background) })
	wg.Go(func() { n.exchanger.Run(background) })
	wg.Go(func() { n.serveHTTP(n.readiness, n.handleReadiness) })
	if n.metrics != nil {
		wg.Go(func() { n.serveHTTP(n.metrics, n.handleMonitoring) })
	}
	err := n.forwarder.Run(ctx)
	stop()
	_ = n.readiness.Close()
	if n.metrics != nil {
		_ = n.metrics.Close()
	}
	wg.Wait()
	n.logger.Event(logger.ShutdownComplete)
	n.logWriter.Close(logFlushTimeout)
	if err != nil {
		return &Error{Op: "serve callers", Kind: KindRun, Err: err}
	}

	return nil
}

// serveHTTP serves requests until the listener is closed.
func (n *RoutingNode) serveHTTP(l net.Listener, handler fasthttp.RequestHandler) {
	server := fasthttp.Server{
		Handler:        func(ctx *fasthttp.RequestCtx) { n.guard(ctx, handler) },
		HeaderReceived: inspector.ReceiveRequest,
		ReadTimeout:    httpReadTimeout, NoDefaultServerHeader: true, Logger: hclog.NewNullLogger().StandardLogger(&hclog.StandardLoggerOptions{}),
	}
	// Serve returns once Run has closed the listener at shutdown. Run logs the
	// shutdown itself.
	_ = server.Serve(l)
}

// guard calls a handler unless the head of the request is refused, and responds with status
// 500 if the handler fails unexpectedly.
func (n *RoutingNode) guard(ctx *fasthttp.RequestCtx, handler fasthttp.RequestHandler) {
	if status := inspector.RefusedStatus(&ctx.Request.Header); status != 0 {
		ctx.SetStatusCode(status)

		return
	}
	if !guarder.Run(n.logger, "readiness or metrics", func() { handler(ctx) }) {
		ctx.Response.Reset()
		ctx.SetStatusCode(http.StatusInternalServerError)
	}
}

// handleReadiness responds with status 200 if the node is ready, and with 503
// otherwise.
func (n *RoutingNode) handleReadiness(ctx *fasthttp.RequestCtx) {
	if n.forwarder.Ready() {
		ctx.SetStatusCode(http.StatusOK)
	} else {
		ctx.SetStatusCode(http.StatusServiceUnavailable)
	}
}

// collect writes the gauges.
func (n *RoutingNode) collect(write func(name string, value float64)) {
	s := n.forwarder.Status()
	ready, stranded := 0.0, 0.0
	if s.Ready {
		ready = 1
	}
	if s.Stranded {
		stranded = 1
	}
	write("ready", ready)
	write("stranded", stranded)
	write("view_age_seconds", s.Age.Seconds())
	write("view_version", float64(s.Version))
	view := n.follower.View()
	write("view_era", float64(view.Era))
	write("view_revision", float64(view.Revision))
	write("fleet_nodes", float64(s.Nodes))
	write("endpoints_known", float64(s.Endpoints))
	write("endpoints_leaving", float64(s.Leaving))
	write("endpoints_paused", float64(s.Paused))
	write("endpoints_displaced", float64(s.Displaced))
	write("endpoints_cold", float64(s.Cold))
	write("endpoints_limited", float64(s.Limited))
	write("endpoints_brittle", float64(s.Brittle))
	write("endpoints_failing", float64(s.Failing))
	write("suspects", float64(s.Suspected))
	write("suspects_isolated", float64(s.Isolated))
	memory := n.forwarder.Memory()
	write("memory_budget_bytes", float64(memory.Limit))
	write("memory_budget_used_bytes", float64(memory.Used))
	write("memory_budget_peak_bytes", float64(memory.Peak))
	write("requests", float64(s.Requests))
	write("requests_waiting", float64(s.Waiting))
}

// handleMonitoring responds with the placement of a described request on the path /place,
// and with the metrics on others.
func (n *RoutingNode) handleMonitoring(ctx *fasthttp.RequestCtx) {
	if string(ctx.Path()) == "/place" {
		n.handlePlace(ctx)
	} else {
		n.handleMetrics(ctx)
	}
}

// handleMetrics responds with the metrics in the Prometheus text format.
func (n *RoutingNode) handleMetrics(ctx *fasthttp.RequestCtx) {
	ctx.SetContentType("text/plain; version=0.0.4")
	ctx.SetBodyStreamWriter(func(w *bufio.Writer) {
		var b bytes.Buffer
		n.exporter.Write(&b)
		_, _ = w.Write(b.Bytes())
	})
}

// routedCounter returns the exported counter for a counter of the director.
func routedCounter(c director.Counter) reducer.Counter {
	switch c {
	case director.CounterRefusals:
		return exporter.RoutedRefusals
	case director.CounterRetries:
		return exporter.RoutedRetries
	case director.CounterAttempts:
		return exporter.RoutedAttempts
	case director.CounterNotices:
		return exporter.RoutedNotices
	case director.CounterTakeUps:
		return exporter.RoutedTakeUps
	case director.CounterCuts:
		return exporter.RoutedCuts
	case director.CounterProbes:
		return exporter.RoutedProbes
	case director.CounterHandovers:
		return exporter.RoutedHandovers
	case director.CounterHanded:
		return exporter.RoutedHanded
	default:
		return reducer.Counter(c)
	}
}

// routedMeter exports the counts and durations of a director as metrics.
type routedMeter struct{ exporter *exporter.Exporter }

// Count implements forwarder.Meter.
func (m routedMeter) Count(c director.Count) {
	m.exporter.Count(reducer.Count{Counter: routedCounter(c.Counter), Label: c.Label})
}

// Observe implements forwarder.Meter.
func (m routedMeter) Observe(o director.Observe) {
	m.exporter.Observe(reducer.Observe{Histogram: "routed_total", Class: o.Kind.String(), Value: o.Value})
}
