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
	// firstToken, tokenInterval and meanTokens configure the engines: a request
	// takes about a second, so that a burst of a few seconds fills the queues.
	firstToken    = 100 * time.Millisecond
	tokenInterval = 20 * time.Millisecond
	meanTokens    = 32
	// warmupTime is the minimum duration of a cold start.
	warmupTime = 500 * time.Millisecond
	// readyTimeout bounds the time until all nodes are ready.
	readyTimeout = 30 * time.Second
	// maxTraceBytes bounds the recording of a node. It is enough for the
	// default duration.
	maxTraceBytes = 8 << 20
	// drainTimeout bounds the shutdown of a node.
	drainTimeout = 10 * time.Second
)

// loopback is the loopback address with port 0, for which the system chooses a
// free port.
var loopback = netip.MustParseAddrPort("127.0.0.1:0")

// site is a running deployment.
type site struct {
	name         string
	seed         uint64
	progress     *progress
	fleet        *standin.Fleet
	nodes        []*assembler.Node
	nodesRunning conc.WaitGroup
	cancelNodes  context.CancelFunc
	client       *http.Client
}

// startSite starts the stand-ins of a deployment and one node in each of its
// data centres, and waits until they are ready.
func startSite(ctx context.Context, name string, seed uint64, p *progress) (*site, error) {
	deployment, err := standin.Deployment(name)
	if err != nil {
		return nil, &Error{Op: "start " + name, Kind: KindStart, Err: err}
	}
	deployment.Hosts = &cataloguer.Hosts{Version: 1, Hosts: onePerCentre(deployment.Hosts.Hosts)}
	// The servers start warm, as if they had been in use; only those of the
	// data centre that returns to service are cold.
	capacity := standin.Capacity{Warm: true, Warmup: warmupTime}
	fleet, err := standin.StartFleet(deployment, standin.FleetOptions{
		Engine:  standin.EngineOptions{FirstToken: firstToken, TokenInterval: tokenInterval, MeanTokens: meanTokens, Capacity: capacity},
		Service: standin.ServiceOptions{Capacity: capacity},
	})
	if err != nil {
		return nil, &Error{Op: "start " + name, Kind: KindStart, Err: err}
	}
	s := &site{name: name, seed: seed, progress: p, fleet: fleet, client: &http.Client{
		Transport: &http.Transport{MaxIdleConnsPerHost: 256},
	}}
	if err := s.startNodes(ctx, deployment.Hosts.Hosts); err != nil {
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

// startNodes creates the nodes, publishes their peer addresses, and runs them.
func (s *site) startNodes(ctx context.Context, hosts []cataloguer.Host) error {
	ctx, s.cancelNodes = context.WithCancel(context.WithoutCancel(ctx))
	for i, h := range hosts {
		n, err := assembler.New(assembler.Options{Settings: configurer.Settings{
			Name: h.Name, DataCentre: h.DataCentre, Listen: loopback, Peer: loopback, Admin: loopback,
			Secret: standin.DemoSecret, AdminToken: standin.DemoToken,
			Configuration: s.fleet.Configuration.Addr(), HostList: s.fleet.HostList.Addr(),
			Log:    configurer.Log{Level: "info", Format: "text"},
			Limits: configurer.Limits{Body: 1 << 20, Answer: 1 << 20, Connections: 4096, Requests: 4096, Trace: maxTraceBytes},
			Drain:  drainTimeout,
		}})
		if err != nil {
			return err
		}
		hosts[i].Peer = n.PeerAddr()
		s.nodes = append(s.nodes, n)
	}
	s.fleet.HostList.PublishHosts(&cataloguer.Hosts{Version: 2, Hosts: hosts})
	for _, n := range s.nodes {
		s.nodesRunning.Go(func() {
			if err := n.Run(ctx); err != nil {
				s.progress.printf(s.name, "a node stopped with an error: %v", err)
			}
		})
	}
	if err := waitUntil(ctx, s.isReady); err != nil {
		return err
	}
	// This is the first start of the fleet, so no caller can repeat an
	// idempotency key that the nodes have forgotten.
	if err := s.fleet.Configuration.RaiseEpoch(); err != nil {
		return err
	}
	c := s.fleet.Site.Catalogue
	if err := waitUntil(ctx, func() bool { return s.hasEpoch(c.Epoch + 1) }); err != nil {
		return err
	}
	s.progress.printf(s.name, "%d nodes are ready in front of %d endpoints", len(s.nodes), len(c.Endpoints))

	return nil
}

// waitUntil polls a condition until it holds. It returns an error if ctx is done
// first, or if the condition does not hold within readyTimeout.
func waitUntil(ctx context.Context, condition func() bool) error {
	const step = 20 * time.Millisecond
	for waited := time.Duration(0); waited < readyTimeout; waited += step {
		if condition() {
			return nil
		}
		if !sleep(ctx, step) {
			return ctx.Err()
		}
	}

	return fmt.Errorf("the nodes are not ready after %v", readyTimeout)
}

// hasEpoch reports whether the epoch of every node is at least epoch.
func (s *site) hasEpoch(epoch uint64) bool {
	return !slices.ContainsFunc(s.nodes, func(n *assembler.Node) bool {
		status, ok := n.Status()

		return !ok || status.Epoch < epoch
	})
}

// isReady reports whether all nodes are ready and each pool has a home that
// grants slots. A home grants none before all nodes have reported their work.
func (s *site) isReady() bool {
	missing := map[string]bool{}
	for _, e := range s.fleet.Site.Catalogue.Endpoints {
		missing[e.Pool] = true
	}
	for _, n := range s.nodes {
		status, ok := n.Status()
		if !ok || !n.Ready() {
			return false
		}
		for _, p := range status.Pools {
			if p.LocalHome != nil && p.LocalHome.Complete && p.LocalHome.Leases == p.LocalHome.Lenders {
				delete(missing, p.Pool)
			}
		}
	}

	return len(missing) == 0
}

// enginesWarm reports whether the homes consider all engines warm.
func (s *site) enginesWarm() bool {
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

// url returns the base URL for callers of a node.
func (s *site) url(node int) string {
	return "http://" + s.nodes[node%len(s.nodes)].CallerAddr().String()
}

// close shuts the nodes down gracefully and stops the stand-ins.
func (s *site) close() {
	for _, n := range s.nodes {
		n.Leave()
	}
	if s.cancelNodes != nil {
		t := time.AfterFunc(drainTimeout, s.cancelNodes)
		s.nodesRunning.Wait()
		t.Stop()
		s.cancelNodes()
	}
	s.client.CloseIdleConnections()
	s.fleet.Close()
}

// setOutOfService publishes the catalogue with a data centre taken out of
// service, or put back with cold endpoints if out is false.
func (s *site) setOutOfService(centre string, out bool) error {
	if !out {
		for _, e := range s.fleet.Site.Catalogue.Endpoints {
			if e.DataCentre == centre {
				s.fleet.Control(e.Name, standin.Control{Cold: true})
			}
		}
	}
	if err := s.fleet.Configuration.SetOutOfService(centre, out); err != nil {
		return err
	}
	state := "returns to service cold"
	if out {
		state = "is taken out of service"
	}
	s.progress.printf(s.name, "data centre %s %s", centre, state)

	return nil
}

// printCalls prints commands that send requests to the site and show its status.
func (s *site) printCalls(out io.Writer) {
	if out == nil {
		return
	}
	w := newWorkload(s.fleet.Site)
	call := w.modelCall(w.interactive, 0)
	_, _ = fmt.Fprintf(out, "curl -N %s%s -H 'Authorization: Bearer %s' -d '%s'\n", s.url(0), call.path, call.token, call.body)
	call = w.postCall(0)
	_, _ = fmt.Fprintf(out, "curl -i %s%s -H 'Authorization: Bearer %s' -H 'Idempotency-Key: my-key' -d '%s'\n", s.url(0), call.path, call.token, call.body)
	_, _ = fmt.Fprintf(out, "SNIPEDYKE_TOKEN=%s snipedyke status --node %s\n", standin.DemoToken, s.nodes[0].AdminAddr())
}
