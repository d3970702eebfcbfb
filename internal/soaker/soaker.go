// Package soaker runs real nodes as separate processes under random faults and
// checks their promises by what callers and endpoints see. Faults come from
// outside the processes: signals, a proxy in front of the store for each node,
// and stand-ins that misbehave.
package soaker

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/sourcegraph/conc"

	"snipedyke/platform/standin"
)

// Options configure a run.
type Options struct {
	// Binary is the program of the nodes.
	Binary string
	// Nodes and Servers are the numbers of processes and of stand-ins.
	Nodes, Servers int
	Seed           uint64
	// Length is the time under faults; half a minute of calm follows it at most.
	Length time.Duration
	// Callers is the number of callers that send one request after another.
	Callers int
	// Output takes the nodes' logs and the schedule; nil discards them.
	Output io.Writer
}

// Result is what a run has found.
type Result struct {
	Attempts, Runs, Faults int
	// Calm is the share of attempts that succeeded after the last fault.
	Calm       float64
	Violations []string
}

const (
	// warmUp is the time in which the nodes start, and calmDown how long calm
	// lasts at the end.
	warmUp   = 2 * time.Second
	calmDown = 9 * time.Second
	// settle is the part of the calm that does not count.
	settle = 6 * time.Second
	// leastCalm is the share of attempts that must succeed in the calm.
	leastCalm = 0.9
	// grace is the time of a graceful shutdown.
	grace = 8 * time.Second
	// revokedTenant holds the key that is withdrawn.
	revokedTenant = "leaver"
	stayKey       = "stay"
	leaveKey      = "leave"
	service       = "desk"
	host          = "soak.example"
	peerPort      = 7300
)

// node is a process of the fleet.
type node struct {
	index   int
	address netip.Addr
	callers netip.AddrPort
	store   *Proxy
	file    string

	mu  sync.Mutex
	cmd *exec.Cmd
	// stopping tells that the process was told to end.
	stopping bool
}

// Soaker is a run.
type Soaker struct {
	opts   Options
	rng    *rand.Rand
	ledger *Ledger
	store  *standin.Store
	nodes  []*node
	dir    string
	faults int

	mu      sync.Mutex
	servers map[string]*standin.Server
	next    int
	closed  bool
	// version is that of the published manifest.
	version int
	// output guards Options.Output.
	output sync.Mutex
}

// Run runs a soak.
func Run(opts Options) (Result, error) {
	s := &Soaker{
		opts: opts, rng: rand.New(rand.NewPCG(opts.Seed, 99)), ledger: NewLedger(),
		servers: map[string]*standin.Server{},
	}
	if s.opts.Output == nil {
		s.opts.Output = io.Discard
	}
	var err error
	if s.dir, err = os.MkdirTemp("", "snipedyke-soak-"); err != nil {
		return Result{}, err
	}
	defer func() { _ = os.RemoveAll(s.dir) }()
	if s.store, err = standin.NewStore(); err != nil {
		return Result{}, err
	}
	defer s.store.Close()
	defer s.end()
	if err := s.start(); err != nil {
		return Result{}, err
	}

	return s.play()
}

// start publishes the manifest and starts stand-ins and nodes.
func (s *Soaker) start() error {
	if err := s.publish(true); err != nil {
		return err
	}
	for range s.opts.Servers {
		if err := s.addServer(netip.MustParseAddrPort("127.0.0.1:0")); err != nil {
			return err
		}
	}
	for i := range s.opts.Nodes {
		// All nodes use one port, each on an address of its own.
		address := netip.AddrFrom4([4]byte{127, 0, byte(100 + s.opts.Seed%100), byte(1 + i)})
		proxy, err := NewProxy(s.store.Addr())
		if err != nil {
			return err
		}
		n := &node{index: i, address: address, callers: netip.AddrPortFrom(address, peerPort+1), store: proxy}
		n.file = filepath.Join(s.dir, fmt.Sprintf("node-%d.json", i))
		if err := os.WriteFile(n.file, []byte(s.settings(n)), 0o600); err != nil {
			return err
		}
		s.nodes = append(s.nodes, n)
	}
	for _, n := range s.nodes {
		if err := s.boot(n); err != nil {
			return err
		}
	}

	return nil
}

func (s *Soaker) settings(n *node) string {
	first := netip.AddrFrom4([4]byte{127, 0, byte(100 + s.opts.Seed%100), 1})

	return fmt.Sprintf(`{"name": "node-%d", "centre": "c%d", "regions": [{"centre": "c0", "region": "r"}, {"centre": "c1", "region": "r"}],
 "callers": "%s", "readiness": "%s:%d", "peers": "%s:%d", "seeds": ["%s:1"], "store": "%s",
 "withdrawal": "5s", "grace": "%s", "cold": {"factor": 1.5, "slack": 5},
 "retries": {"window": "10s", "ratio": 0.2, "slack": 52}, "memory": 256, "descriptors": 4096}`,
		n.index, n.index%2, n.callers, n.address, peerPort+2, n.address, peerPort, first, n.store.Addr(), grace)
}

// publish writes a manifest. The key of revokedTenant is in it as told.
func (s *Soaker) publish(withKey bool) error {
	s.version += 1 + s.rng.IntN(3)
	route := func(name, prefix, kind string, resumable bool) standin.Route {
		return standin.Route{
			Name: name, Host: host, Prefix: prefix, Kind: kind, Service: service,
			Timeout: 4 * time.Second, Target: 500 * time.Millisecond, Attempts: 2, Resumable: resumable,
		}
	}
	keys := map[string]string{stayKey: "stayer"}
	if withKey {
		keys[leaveKey] = revokedTenant
	}

	return s.store.PutManifest(s.version, []standin.Route{
		route("a", "/safe/", "safe", false), route("b", "/unsafe/", "unsafe", false),
		route("c", "/stream/", "streaming", false), route("d", "/resumestream/", "streaming", true),
	}, keys)
}

// addServer starts a server on an address and registers it.
func (s *Soaker) addServer(addr netip.AddrPort) error {
	s.mu.Lock()
	s.next++
	id := fmt.Sprintf("i-%d-%d", s.opts.Seed, s.next)
	s.mu.Unlock()
	server, err := standin.NewServer(id, addr, 20*time.Millisecond, s.opts.Seed+uint64(s.next), s.ledger.Run)
	if err != nil {
		return err
	}
	s.mu.Lock()
	s.servers[id] = server
	s.mu.Unlock()

	return s.store.PutServer(id, service, "c0", server.Addr(), false)
}

// boot starts the process of a node, which is started again whenever it ends.
func (s *Soaker) boot(n *node) error {
	cmd := exec.Command(s.opts.Binary, "serve", "--settings", n.file)
	cmd.Stdout, cmd.Stderr = writer{s}, writer{s}
	if err := cmd.Start(); err != nil {
		return err
	}
	n.mu.Lock()
	n.cmd, n.stopping = cmd, false
	n.mu.Unlock()
	go func() {
		err := cmd.Wait()
		n.mu.Lock()
		stopping := n.stopping
		n.mu.Unlock()
		s.mu.Lock()
		closed := s.closed
		s.mu.Unlock()
		if closed {
			return
		}
		if !stopping {
			s.ledger.Broken("node %d ended by itself: %v", n.index, err)
		}
		s.ledger.Disturb(n.index, time.Now().Add(time.Second))
		time.Sleep(300 * time.Millisecond)
		if err := s.boot(n); err != nil {
			s.ledger.Broken("node %d does not start: %v", n.index, err)
		}
	}()

	return nil
}

// writer writes the lines of all nodes to one output.
type writer struct{ s *Soaker }

func (w writer) Write(p []byte) (int, error) {
	w.s.output.Lock()
	defer w.s.output.Unlock()

	return w.s.opts.Output.Write(p)
}

// signal sends a signal to a node's process.
func (n *node) signal(sig syscall.Signal, ends bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.stopping = n.stopping || ends
	// A process that has just ended takes no signal.
	_ = n.cmd.Process.Signal(sig)
}

// play runs load and faults and checks what was seen.
func (s *Soaker) play() (Result, error) {
	time.Sleep(warmUp)
	stop := make(chan struct{})
	var wg conc.WaitGroup
	for i := range s.opts.Callers {
		wg.Go(func() { newCaller(s, i).run(stop) })
	}
	end := time.Now().Add(s.opts.Length)
	for time.Now().Before(end) {
		s.fault()
		time.Sleep(time.Duration(100+s.rng.IntN(900)) * time.Millisecond)
	}
	s.heal()
	calm := time.Now().Add(settle)
	time.Sleep(calmDown)
	until := time.Now()
	close(stop)
	wg.Wait()
	r := Result{Faults: s.faults, Violations: s.ledger.Check()}
	s.ledger.mu.Lock()
	r.Attempts, r.Runs = len(s.ledger.outcomes), len(s.ledger.runs)
	s.ledger.mu.Unlock()
	sent := 0
	if r.Calm, sent = s.ledger.Share(calm, until); r.Calm < leastCalm {
		r.Violations = append(r.Violations, fmt.Sprintf("%.0f of 100 attempts succeeded after the faults (%d sent)", 100*r.Calm, sent))
	}

	return r, nil
}

// end ends the processes that the soak has started.
func (s *Soaker) end() {
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	for _, n := range s.nodes {
		n.mu.Lock()
		if n.cmd != nil {
			_ = n.cmd.Process.Kill()
		}
		n.mu.Unlock()
		n.store.Close()
	}
	for _, server := range s.servers {
		server.Crash()
	}
}
