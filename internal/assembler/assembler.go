// Package assembler builds a node from its components and runs it. It is used
// by the command line and the demo.
package assembler

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/sourcegraph/conc"

	"snipedyke/internal/administrator"
	"snipedyke/internal/configurer"
	"snipedyke/internal/dispatcher"
	"snipedyke/internal/exporter"
	"snipedyke/internal/listener"
	"snipedyke/internal/logger"
	"snipedyke/internal/messenger"
	"snipedyke/internal/recorder"
	"snipedyke/internal/reducer"
	"snipedyke/internal/runner"
	"snipedyke/internal/watcher"
	"snipedyke/pkg/cataloguer"
	"snipedyke/pkg/encoder"
)

// Options configure a Node.
type Options struct {
	Settings configurer.Settings
	// Output receives the log; nil discards it.
	Output io.Writer
	// Source replaces the clients of the configuration service and the host
	// list unless it is nil.
	Source watcher.Source
	// Build is the version of the program.
	Build string
}

// Kind classifies an Error.
type Kind string

// The error kinds.
const (
	KindListen Kind = "cannot listen"
	KindRun    Kind = "stopped"
	// KindDrain means that a graceful shutdown exceeded its drain timeout;
	// responses may have been cut off and records lost.
	KindDrain Kind = "drain timeout exceeded"
)

// Error is an error of this package.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error returns the operation, the kind and the cause as text.
func (e *Error) Error() string { return fmt.Sprintf("assembler: %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the underlying error.
func (e *Error) Unwrap() error { return e.Err }

// Node is a node with all its components.
type Node struct {
	opts        Options
	incarnation uint64

	logger    *logger.Logger
	exporter  *exporter.Exporter
	recorder  *recorder.Recorder
	messenger *messenger.Messenger
	watcher   *watcher.Watcher
	runner    *runner.Node
	admin     *administrator.Administrator

	// refusedCatalogues and refusedHosts count refused publications.
	refusedCatalogues, refusedHosts atomic.Uint64
	// latestStatus is the status that metrics are read from; the monitor
	// updates it.
	latestStatus atomic.Pointer[reducer.Status]

	leaveOnce sync.Once
	// leaving is closed when a graceful shutdown starts.
	leaving chan struct{}

	// mu guards the fields below.
	mu sync.Mutex
	// lastContact is when the configuration service last answered.
	lastContact time.Time
	// recordsFullLogged is when the RecordsFull event was last logged.
	recordsFullLogged time.Time
	// refusals holds the latest refused publications, oldest first.
	refusals []administrator.Refusal
	// stateReasons holds the reason for the last state change of each
	// endpoint, by name.
	stateReasons map[string]string
}

// New returns a node that is already listening on its addresses. Run serves
// requests on them and closes them when it returns.
func New(opts Options) (*Node, error) {
	s := opts.Settings
	now := time.Now()
	n := &Node{
		opts: opts, incarnation: uint64(now.UnixNano()), leaving: make(chan struct{}), stateReasons: map[string]string{},
		exporter: exporter.New(),
		logger: logger.New(logger.Options{
			Output: opts.Output, Format: logger.Format(s.Log.Format), Level: hclog.LevelFromString(s.Log.Level), Node: s.Name,
		}),
	}
	reducerOptions := reducer.Options{
		Self: s.Name, DataCentre: s.DataCentre, Incarnation: n.incarnation,
		Secret: []byte(string(s.Secret)), Seed: rand.Uint64(),
	}
	n.recorder = recorder.New(recorder.Options{
		Header: recorder.Header{Self: s.Name, Centre: s.DataCentre, Incarnation: n.incarnation, Seed: reducerOptions.Seed},
		Limit:  recorderLimit(s.Limits.Trace), Logger: n.logger,
	})
	source := opts.Source
	if source == nil {
		source = watcher.NewClient(s.Configuration, s.HostList)
	}
	n.watcher = watcher.New(watcher.Options{
		Source: source, OnCatalogue: n.handleCatalogue, OnHosts: n.handleHosts, OnContact: n.handleContact, OnRefused: n.handleRefusal, Seed: reducerOptions.Seed,
	})
	peerListener, err := listen("peers", s.Peer)
	if err != nil {
		return nil, err
	}
	n.messenger = messenger.New(messenger.Options{
		Self: s.Name, Incarnation: n.incarnation, Listener: peerListener, Secret: reducerOptions.Secret, Logger: n.logger,
		Receive:           n.handleMessage,
		LinkUp:            func(peer string) { n.runner.Post(reducer.Connected{Peer: peer}) },
		LinkDown:          func(peer string) { n.runner.Post(reducer.Disconnected{Peer: peer}) },
		ConnectionRefused: func(peer string) { n.runner.Post(reducer.ConnectionRefused{Peer: peer}) },
	})
	adminListener, err := listen("administration", s.Admin)
	if err != nil {
		return nil, errors.Join(err, peerListener.Close())
	}
	n.admin = administrator.New(administrator.Options{
		Listener: adminListener, Token: string(s.AdminToken), Node: (*adminNode)(n), Logger: n.logger,
	})
	n.runner, err = runner.New(runner.Options{
		Reducer:    reducerOptions,
		Listener:   listener.Options{Address: s.Listen, MaxBodyBytes: s.Limits.Body, MaxConnections: s.Limits.Connections, MaxRequests: s.Limits.Requests},
		Dispatcher: dispatcher.Options{MaxResponseBytes: s.Limits.Answer},
		Peers:      peerSender{n.messenger}, Fetcher: fetcher{n}, Logger: stateLogger{n}, Meter: meter{n}, Recorder: n.recorder,
	})
	if err != nil {
		return nil, errors.Join(&Error{Op: "callers", Kind: KindListen, Err: err}, adminListener.Close(), peerListener.Close())
	}
	n.exporter.Collect(n.collect)

	return n, nil
}

// recorderLimit converts the trace limit of the settings, where zero disables
// recording, to recorder.Options.Limit, where a negative value does.
func recorderLimit(limit int) int {
	if limit == 0 {
		return -1
	}

	return limit
}

func listen(op string, address netip.AddrPort) (net.Listener, error) {
	l, err := net.Listen("tcp", address.String())
	if err != nil {
		return nil, &Error{Op: op, Kind: KindListen, Err: err}
	}

	return l, nil
}

// CallerAddr returns the address that callers connect to.
func (n *Node) CallerAddr() netip.AddrPort { return n.runner.Addr() }

// PeerAddr returns the address that other nodes connect to.
func (n *Node) PeerAddr() netip.AddrPort { return n.messenger.Addr() }

// AdminAddr returns the address of the administration API.
func (n *Node) AdminAddr() netip.AddrPort { return n.admin.Addr() }

// Ready reports whether the node accepts new requests.
func (n *Node) Ready() bool { return n.runner.Ready() }

// Exporter returns the node's metrics.
func (n *Node) Exporter() *exporter.Exporter { return n.exporter }

// Status returns the status of the reducer. The boolean is false if the node
// has stopped.
func (n *Node) Status() (reducer.Status, bool) {
	var s reducer.Status
	ok := n.runner.Inspect(func(r *reducer.Reducer) { s = r.Status(time.Now()) })

	return s, ok
}

// Leave starts a graceful shutdown; Run returns when it is complete. Further
// calls have no effect.
func (n *Node) Leave() { n.leaveOnce.Do(func() { close(n.leaving) }) }

// Run runs the node until a graceful shutdown completes or exceeds its drain
// timeout, ctx is cancelled, or a component fails.
func (n *Node) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s := n.opts.Settings
	n.logger.Event(logger.NodeStarted, "node", s.Name, "incarnation", n.incarnation, "version", n.opts.Build,
		"peers", n.PeerAddr().String(), "callers", n.CallerAddr().String(), "administration", n.AdminAddr().String())
	// The components outlive the runner, which needs them to transfer its records
	// to other nodes.
	components, stopComponents := context.WithCancel(context.WithoutCancel(ctx))
	defer stopComponents()
	var wg conc.WaitGroup
	var errs [4]error
	// runComponent runs a component, and stops the node if the component
	// returns early or panics.
	runComponent := func(ctx context.Context, run func(context.Context) error, err *error) {
		wg.Go(func() {
			defer cancel()
			*err = run(ctx)
		})
	}
	runComponent(components, n.messenger.Run, &errs[0])
	runComponent(components, n.admin.Run, &errs[1])
	runComponent(components, func(ctx context.Context) error { n.watcher.Run(ctx); return nil }, new(error))
	runComponent(components, n.monitor, new(error))
	runnerCtx, stopRunner := context.WithCancel(ctx)
	wg.Go(func() {
		defer stopRunner()
		select {
		case <-n.leaving:
			n.runner.Leave()
			if sleep(runnerCtx, s.Drain) {
				errs[3] = &Error{Op: "leave", Kind: KindDrain, Err: fmt.Errorf("after %s", s.Drain)}
			}
		case <-runnerCtx.Done():
		}
	})
	errs[2] = n.runner.Run(runnerCtx)
	stopRunner()
	stopComponents()
	wg.Wait()
	if err := errors.Join(errs[:]...); err != nil {
		return &Error{Op: "run", Kind: KindRun, Err: err}
	}

	return nil
}

// sleep waits for d or until ctx is done, and reports whether d has elapsed.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// handleMessage passes a message of a peer to the watcher or the reducer.
func (n *Node) handleMessage(from string, m encoder.Message) {
	switch m := m.(type) {
	case *encoder.Fetch:
		for _, d := range n.watcher.Answer(m) {
			n.messenger.Send(from, d)
		}
	case *encoder.Documents:
		n.watcher.Enqueue(m)
	default:
		n.runner.Post(reducer.Received{From: from, Message: m})
	}
}

// handleCatalogue passes a new catalogue to the metrics and the reducer.
func (n *Node) handleCatalogue(c *cataloguer.Catalogue) {
	classes := make([]string, 0, len(c.Classes))
	for name := range c.Classes {
		classes = append(classes, name)
	}
	n.exporter.AddClasses(classes)
	n.runner.Post(reducer.CatalogueLoaded{Catalogue: c})
}

// handleHosts passes a new host list to the messenger and the reducer.
func (n *Node) handleHosts(h *cataloguer.Hosts) {
	n.messenger.SetPeers(h.Hosts)
	n.runner.Post(reducer.HostsLoaded{Hosts: h})
}

// handleContact records that the configuration service has answered.
func (n *Node) handleContact() {
	n.mu.Lock()
	n.lastContact = time.Now()
	n.mu.Unlock()
	n.runner.Post(reducer.ServiceContacted{})
}

// maxRefusals is the maximum number of refused publications that a node stores.
const maxRefusals = 50

// handleRefusal counts, logs and stores a refused publication.
func (n *Node) handleRefusal(r watcher.Refusal) {
	event, count := logger.CatalogueRefused, &n.refusedCatalogues
	if r.Document == cataloguer.HostsName {
		event, count = logger.HostsRefused, &n.refusedHosts
	}
	count.Add(1)
	n.logger.Event(event, "version", uint64(r.Version), "source", string(r.Origin), "error", r.Err.Error())
	n.mu.Lock()
	defer n.mu.Unlock()
	if len(n.refusals) == maxRefusals {
		n.refusals = n.refusals[1:]
	}
	n.refusals = append(n.refusals, administrator.Refusal{
		At: time.Now(), Source: string(r.Origin), Document: r.Document, Version: uint64(r.Version), Error: r.Err.Error(),
	})
}

// peerSender adapts the messenger to runner.Peers.
type peerSender struct{ *messenger.Messenger }

// Send implements runner.Peers.
func (s peerSender) Send(to string, m encoder.Message) { s.Messenger.Send(to, m) }

// fetcher requests newer documents from peers.
type fetcher struct{ n *Node }

// Fetch implements runner.Fetcher.
func (f fetcher) Fetch(peer string) { f.n.messenger.Send(peer, f.n.watcher.FetchRequest()) }

// stateLogger logs events and stores the reason for the last state change of
// each endpoint.
type stateLogger struct{ n *Node }

// Event implements runner.Logger.
func (l stateLogger) Event(number int, args ...any) {
	l.n.logger.Event(number, args...)
	if number != logger.EndpointState {
		return
	}
	var endpoint, reason string
	for i := 0; i+1 < len(args); i += 2 {
		switch args[i] {
		case "endpoint":
			endpoint = fmt.Sprint(args[i+1])
		case "reason":
			reason = fmt.Sprint(args[i+1])
		}
	}
	l.n.mu.Lock()
	defer l.n.mu.Unlock()
	l.n.stateReasons[endpoint] = reason
}
