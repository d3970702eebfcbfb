package demonstrator

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"slices"
	"time"

	"github.com/sourcegraph/conc"

	"snipedyke/internal/assembler"
	"snipedyke/internal/configurer"
	"snipedyke/internal/placer"
	"snipedyke/internal/scheduler"
	"snipedyke/internal/standin"
	"snipedyke/pkg/cataloguer"
)

const (
	// first, gap and tokens describe the engines: a request takes about a
	// second, so that a burst of a few seconds fills the queues.
	first  = 100 * time.Millisecond
	gap    = 20 * time.Millisecond
	tokens = 32
	// warmup is the least time of a cold start.
	warmup = 500 * time.Millisecond
	// readyTime bounds the time until all nodes are ready.
	readyTime = 30 * time.Second
	// traceSize bounds the recording of a node in bytes. It holds the default
	// duration whole.
	traceSize = 8 << 20
	// drainTime bounds the shutdown of a node.
	drainTime = 10 * time.Second
)

// loopback takes a free port.
var loopback = netip.MustParseAddrPort("127.0.0.1:0")

// site is a running deployment.
type site struct {
	name     string
	seed     uint64
	progress *progress
	fleet    *standin.Fleet
	nodes    []*assembler.Node
	running  conc.WaitGroup
	stop     context.CancelFunc
	client   *http.Client
}

// startSite starts the stand-ins of a deployment and one node in each of its
// data centres, and waits until they are ready.
func startSite(ctx context.Context, name string, seed uint64, p *progress) (*site, error) {
	plan, err := standin.Deployment(name)
	if err != nil {
		return nil, &Error{Op: "start " + name, Kind: KindStart, Err: err}
	}
	plan.Hosts = &cataloguer.Hosts{Version: 1, Hosts: onePerCentre(plan.Hosts.Hosts)}
	// The servers have been in use before; only those of the data centre that
	// returns are cold.
	capacity := standin.Capacity{Warm: true, Warmup: warmup}
	fleet, err := standin.Open(plan, standin.FleetOptions{
		Engine:  standin.EngineOptions{First: first, Gap: gap, Tokens: tokens, Capacity: capacity},
		Service: standin.ServiceOptions{Capacity: capacity},
	})
	if err != nil {
		return nil, &Error{Op: "start " + name, Kind: KindStart, Err: err}
	}
	s := &site{name: name, seed: seed, progress: p, fleet: fleet, client: &http.Client{
		Transport: &http.Transport{MaxIdleConnsPerHost: 256},
	}}
	if err := s.startNodes(ctx, plan.Hosts.Hosts); err != nil {
		s.close()

		return nil, &Error{Op: "start " + name, Kind: KindStart, Err: err}
	}

	return s, nil
}

// onePerCentre returns the first host of each data centre.
func onePerCentre(hosts []cataloguer.Host) []cataloguer.Host {
	var out []cataloguer.Host
	for _, h := range hosts {
		if !slices.ContainsFunc(out, func(o cataloguer.Host) bool { return o.DataCentre == h.DataCentre }) {
			out = append(out, h)
		}
	}

	return out
}

// startNodes builds the nodes, publishes the addresses that they got, and
// runs them.
func (s *site) startNodes(ctx context.Context, hosts []cataloguer.Host) error {
	ctx, s.stop = context.WithCancel(context.WithoutCancel(ctx))
	for i, h := range hosts {
		n, err := assembler.New(assembler.Options{Settings: configurer.Settings{
			Name: h.Name, DataCentre: h.DataCentre, Listen: loopback, Peer: loopback, Admin: loopback,
			Secret: standin.DemoSecret, AdminToken: standin.DemoToken,
			Configuration: s.fleet.Configuration.Addr(), HostList: s.fleet.HostList.Addr(),
			Log:    configurer.Log{Level: "info", Format: "text"},
			Limits: configurer.Limits{Body: 1 << 20, Answer: 1 << 20, Connections: 4096, Requests: 4096, Trace: traceSize},
			Drain:  drainTime,
		}})
		if err != nil {
			return err
		}
		hosts[i].Peer = n.Peers()
		s.nodes = append(s.nodes, n)
	}
	s.fleet.HostList.PublishHosts(&cataloguer.Hosts{Version: 2, Hosts: hosts})
	for _, n := range s.nodes {
		s.running.Go(func() {
			if err := n.Run(ctx); err != nil {
				s.progress.line(s.name, "a node ended: %v", err)
			}
		})
	}
	if err := await(ctx, s.isSettled); err != nil {
		return err
	}
	// The fleet has just been started, so no earlier key can come again.
	if err := s.fleet.Configuration.RaiseEpoch(); err != nil {
		return err
	}
	c := s.fleet.Site.Catalogue
	if err := await(ctx, func() bool { return s.hasEpoch(c.Epoch + 1) }); err != nil {
		return err
	}
	s.progress.line(s.name, "%d nodes are ready in front of %d endpoints", len(s.nodes), len(c.Endpoints))

	return nil
}

// await waits until a condition of the nodes holds.
func await(ctx context.Context, holds func() bool) error {
	const step = 20 * time.Millisecond
	for waited := time.Duration(0); waited < readyTime; waited += step {
		if holds() {
			return nil
		}
		if !sleep(ctx, step) {
			return ctx.Err()
		}
	}

	return fmt.Errorf("the nodes are not ready after %v", readyTime)
}

// hasEpoch tells whether an epoch is in force at all nodes.
func (s *site) hasEpoch(epoch uint64) bool {
	return !slices.ContainsFunc(s.nodes, func(n *assembler.Node) bool {
		status, ok := n.Status()

		return !ok || status.Epoch < epoch
	})
}

// isSettled tells whether all nodes are ready and each pool has a home that
// grants places. A home grants none before all nodes have reported their work.
func (s *site) isSettled() bool {
	lacking := map[string]bool{}
	for _, e := range s.fleet.Site.Catalogue.Endpoints {
		lacking[e.Pool] = true
	}
	for _, n := range s.nodes {
		status, ok := n.Status()
		if !ok || !n.Ready() {
			return false
		}
		for _, p := range status.Pools {
			if p.LocalHome != nil && p.LocalHome.Complete && p.LocalHome.Leases == p.LocalHome.Lenders {
				delete(lacking, p.Pool)
			}
		}
	}

	return len(lacking) == 0
}

// isWarm tells whether the homes take all engines for warm.
func (s *site) isWarm() bool {
	c := s.fleet.Site.Catalogue
	for _, n := range s.nodes {
		status, ok := n.Status()
		if !ok {
			return false
		}
		for _, p := range status.Pools {
			if p.LocalHome == nil || c.Services[p.Service].Kind != cataloguer.ModelService {
				continue
			}
			if slices.ContainsFunc(p.LocalHome.Endpoints, func(e scheduler.EndpointStatus) bool { return e.State != placer.Warm }) {
				return false
			}
		}
	}

	return true
}

// sleep waits for a time and tells whether the context still holds.
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

// url returns the address of a node for callers.
func (s *site) url(node int) string { return "http://" + s.nodes[node%len(s.nodes)].Callers().String() }

// close shuts the nodes down gracefully and ends the stand-ins.
func (s *site) close() {
	for _, n := range s.nodes {
		n.Leave()
	}
	if s.stop != nil {
		t := time.AfterFunc(drainTime, s.stop)
		s.running.Wait()
		t.Stop()
		s.stop()
	}
	s.client.CloseIdleConnections()
	s.fleet.Close()
}

// takeOut publishes the catalogue with a data centre out, or in again. On its
// return its endpoints are cold.
func (s *site) takeOut(centre string, out bool) error {
	if !out {
		for _, e := range s.fleet.Site.Catalogue.Endpoints {
			if e.DataCentre == centre {
				s.fleet.Control(e.Name, standin.Control{Cold: true})
			}
		}
	}
	if err := s.fleet.Configuration.TakeOut(centre, out); err != nil {
		return err
	}
	state := "returns cold"
	if out {
		state = "is taken out"
	}
	s.progress.line(s.name, "data centre %s %s", centre, state)

	return nil
}

// printCalls prints calls of the site for a user to try.
func (s *site) printCalls(out io.Writer) {
	if out == nil {
		return
	}
	p := newPlan(s.fleet.Site)
	call := p.model(p.interactive, 0)
	_, _ = fmt.Fprintf(out, "curl -N %s%s -H 'Authorization: Bearer %s' -d '%s'\n", s.url(0), call.path, call.token, call.body)
	call = p.once(0)
	_, _ = fmt.Fprintf(out, "curl -i %s%s -H 'Authorization: Bearer %s' -H 'Idempotency-Key: my-key' -d '%s'\n", s.url(0), call.path, call.token, call.body)
	_, _ = fmt.Fprintf(out, "SNIPEDYKE_TOKEN=%s snipedyke status --node %s\n", standin.DemoToken, s.nodes[0].Administration())
}
