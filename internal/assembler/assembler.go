// Package assembler builds a whole node out of its parts and runs it. The
// command line and the demo use it.
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

// Options are what a node is built from.
type Options struct {
	Settings configurer.Settings
	// Output takes the log; nil discards it.
	Output io.Writer
	// Source replaces the clients of the configuration service and of the
	// host list if it is not nil.
	Source watcher.Source
	// Build is the version of the program.
	Build string
}

// Kind tells what went wrong.
type Kind string

// The kinds of errors.
const (
	KindListen Kind = "cannot listen"
	KindRun    Kind = "stopped"
	// KindDrain is a graceful shutdown that did not end in its time; answers
	// may have been cut off and records lost.
	KindDrain Kind = "drain time passed"
)

// Error is an error of this package.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error describes the operation, the kind and the cause.
func (e *Error) Error() string { return fmt.Sprintf("assembler: %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Node is a whole node.
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

	// refusedCatalogues and refusedHosts count bad publications.
	refusedCatalogues, refusedHosts atomic.Uint64
	// latest is the status that metrics show; the monitor renews it.
	latest atomic.Pointer[reducer.Status]

	leave sync.Once
	// leaving is closed when a graceful shutdown starts.
	leaving chan struct{}

	mu      sync.Mutex
	contact time.Time
	// fullLogged is when a full record table was last logged.
	fullLogged time.Time
	// refused holds the latest bad publications, oldest first.
	refused []administrator.Refusal
	// reasons holds the reason of the last change of state by endpoint.
	reasons map[string]string
}

// New builds a node that listens on its addresses. Run must follow.
func New(opts Options) (*Node, error) {
	s := opts.Settings
	now := time.Now()
	n := &Node{
		opts: opts, incarnation: uint64(now.UnixNano()), leaving: make(chan struct{}), reasons: map[string]string{},
		exporter: exporter.New(),
		logger: logger.New(logger.Options{
			Output: opts.Output, Format: logger.Format(s.Log.Format), Level: hclog.LevelFromString(s.Log.Level), Node: s.Name,
		}),
	}
	identity := reducer.Options{
		Self: s.Name, DataCentre: s.DataCentre, Incarnation: n.incarnation,
		Secret: []byte(string(s.Secret)), Seed: rand.Uint64(),
	}
	n.recorder = recorder.New(recorder.Options{
		Header: recorder.Header{Self: s.Name, Centre: s.DataCentre, Incarnation: n.incarnation, Seed: identity.Seed},
		Limit:  recorderLimit(s.Limits.Trace), Logger: n.logger,
	})
	source := opts.Source
	if source == nil {
		source = watcher.NewClient(s.Configuration, s.HostList)
	}
	n.watcher = watcher.New(watcher.Options{
		Source: source, OnCatalogue: n.catalogue, OnHosts: n.hosts, OnContact: n.contacted, OnRefused: n.refuse, Seed: identity.Seed,
	})
	peers, err := listen("peers", s.Peer)
	if err != nil {
		return nil, err
	}
	n.messenger = messenger.New(messenger.Options{
		Self: s.Name, Incarnation: n.incarnation, Listener: peers, Secret: identity.Secret, Logger: n.logger,
		Receive:           n.receive,
		LinkUp:            func(peer string) { n.runner.Post(reducer.Connected{Peer: peer}) },
		LinkDown:          func(peer string) { n.runner.Post(reducer.Disconnected{Peer: peer}) },
		ConnectionRefused: func(peer string) { n.runner.Post(reducer.ConnectionRefused{Peer: peer}) },
	})
	admin, err := listen("administration", s.Admin)
	if err != nil {
		return nil, errors.Join(err, peers.Close())
	}
	n.admin = administrator.New(administrator.Options{
		Listener: admin, Token: string(s.AdminToken), Node: (*steering)(n), Logger: n.logger,
	})
	n.runner, err = runner.New(runner.Options{
		Reducer:    identity,
		Listener:   listener.Options{Address: s.Listen, MaxBodyBytes: s.Limits.Body, MaxConnections: s.Limits.Connections, MaxRequests: s.Limits.Requests},
		Dispatcher: dispatcher.Options{MaxResponseBytes: s.Limits.Answer},
		Peers:      links{n.messenger}, Fetcher: fetcher{n}, Logger: reasons{n}, Meter: meter{n}, Recorder: n.recorder,
	})
	if err != nil {
		return nil, errors.Join(&Error{Op: "callers", Kind: KindListen, Err: err}, admin.Close(), peers.Close())
	}
	n.exporter.Collect(n.collect)

	return n, nil
}

// recorderLimit maps the setting, in which zero switches recording off.
func recorderLimit(trace int) int {
	if trace == 0 {
		return -1
	}

	return trace
}

func listen(what string, address netip.AddrPort) (net.Listener, error) {
	l, err := net.Listen("tcp", address.String())
	if err != nil {
		return nil, &Error{Op: what, Kind: KindListen, Err: err}
	}

	return l, nil
}

// Callers returns the address for callers.
func (n *Node) Callers() netip.AddrPort { return n.runner.Addr() }

// Peers returns the address for other nodes.
func (n *Node) Peers() netip.AddrPort { return n.messenger.Addr() }

// Administration returns the address of the administration API.
func (n *Node) Administration() netip.AddrPort { return n.admin.Addr() }

// Ready tells whether the node takes new requests.
func (n *Node) Ready() bool { return n.runner.Ready() }

// Exporter returns the node's metrics.
func (n *Node) Exporter() *exporter.Exporter { return n.exporter }

// Status returns the reducer's status, or false if the node has stopped.
func (n *Node) Status() (reducer.Status, bool) {
	var s reducer.Status
	ok := n.runner.Inspect(func(r *reducer.Reducer) { s = r.Status(time.Now()) })

	return s, ok
}

// Leave starts a graceful shutdown, at whose end Run returns. It may be called
// several times.
func (n *Node) Leave() { n.leave.Do(func() { close(n.leaving) }) }

// Run runs the node until a graceful shutdown is complete, its drain time has
// passed, ctx ends, or a part fails.
func (n *Node) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s := n.opts.Settings
	n.logger.Event(logger.NodeStarted, "node", s.Name, "incarnation", n.incarnation, "version", n.opts.Build,
		"peers", n.Peers().String(), "callers", n.Callers().String(), "administration", n.Administration().String())
	// The parts outlive the runner, which needs them to hand over its records.
	parts, stopParts := context.WithCancel(context.WithoutCancel(ctx))
	defer stopParts()
	var wg conc.WaitGroup
	var errs [4]error
	// part runs a part and stops the node when it ends early, by a panic too.
	part := func(ctx context.Context, run func(context.Context) error, err *error) {
		wg.Go(func() {
			defer cancel()
			*err = run(ctx)
		})
	}
	part(parts, n.messenger.Run, &errs[0])
	part(parts, n.admin.Run, &errs[1])
	part(parts, func(ctx context.Context) error { n.watcher.Run(ctx); return nil }, new(error))
	part(parts, n.monitor, new(error))
	running, stopRunner := context.WithCancel(ctx)
	wg.Go(func() {
		defer stopRunner()
		select {
		case <-n.leaving:
			n.runner.Leave()
			if pause(running, s.Drain) {
				errs[3] = &Error{Op: "leave", Kind: KindDrain, Err: fmt.Errorf("after %s", s.Drain)}
			}
		case <-running.Done():
		}
	})
	errs[2] = n.runner.Run(running)
	stopRunner()
	stopParts()
	wg.Wait()
	if err := errors.Join(errs[:]...); err != nil {
		return &Error{Op: "run", Kind: KindRun, Err: err}
	}

	return nil
}

// pause waits for a time or until ctx ends, and tells whether the time passed.
func pause(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// receive routes the messages of a peer.
func (n *Node) receive(from string, m encoder.Message) {
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

func (n *Node) catalogue(c *cataloguer.Catalogue) {
	classes := make([]string, 0, len(c.Classes))
	for name := range c.Classes {
		classes = append(classes, name)
	}
	n.exporter.AddClasses(classes)
	n.runner.Post(reducer.CatalogueLoaded{Catalogue: c})
}

func (n *Node) hosts(h *cataloguer.Hosts) {
	n.messenger.SetPeers(h.Hosts)
	n.runner.Post(reducer.HostsLoaded{Hosts: h})
}

func (n *Node) contacted() {
	n.mu.Lock()
	n.contact = time.Now()
	n.mu.Unlock()
	n.runner.Post(reducer.ServiceContacted{})
}

// maxRefused is the number of refused publications that a node remembers.
const maxRefused = 50

func (n *Node) refuse(r watcher.Refusal) {
	event, count := logger.CatalogueRefused, &n.refusedCatalogues
	if r.Document == cataloguer.HostsName {
		event, count = logger.HostsRefused, &n.refusedHosts
	}
	count.Add(1)
	n.logger.Event(event, "version", uint64(r.Version), "source", string(r.Origin), "error", r.Err.Error())
	n.mu.Lock()
	defer n.mu.Unlock()
	if len(n.refused) == maxRefused {
		n.refused = n.refused[1:]
	}
	n.refused = append(n.refused, administrator.Refusal{
		At: time.Now(), Source: string(r.Origin), Document: r.Document, Version: uint64(r.Version), Error: r.Err.Error(),
	})
}

// links adapts the messenger to the runner.
type links struct{ *messenger.Messenger }

// Send implements runner.Peers.
func (l links) Send(to string, m encoder.Message) { l.Messenger.Send(to, m) }

// fetcher asks peers for what they have newer.
type fetcher struct{ n *Node }

// Fetch implements runner.Fetcher.
func (f fetcher) Fetch(peer string) { f.n.messenger.Send(peer, f.n.watcher.FetchRequest()) }

// reasons is a logger that also keeps why endpoints changed their state.
type reasons struct{ n *Node }

// Event implements runner.Logger.
func (r reasons) Event(number int, args ...any) {
	r.n.logger.Event(number, args...)
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
	r.n.mu.Lock()
	defer r.n.mu.Unlock()
	r.n.reasons[endpoint] = reason
}
