// Package soaker runs soak tests: it starts nodes as separate processes, injects
// random faults, and checks the service guarantees against what callers and
// endpoints observe. Faults come from outside the processes: by signals, by a
// proxy between each node and the store, and by faults of the stand-ins.
package soaker

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"snipedyke/platform/standin"
)

// Options configures a soak test.
type Options struct {
	// Binary is the path of the snipedyke executable.
	Binary string
	// Nodes and Servers are the numbers of node processes and stand-in servers.
	Nodes, Servers int
	Seed           uint64
	// Length is the time during which faults are injected. The test then continues
	// without faults for at most half a minute.
	Length time.Duration
	// Callers is the number of callers, which send one request at a time.
	Callers int
	// Limits adds faults that press the limits that all nodes share: the rate of
	// requests to cold servers and the retry budget. There are then at least
	// limitCallers callers for each node.
	Limits bool
	// Load adds faults that degrade servers and bursts of client accounts, and enables
	// overload control in the nodes.
	Load bool
	// Harmful adds callers of a request that crashes each server that runs it. Its kind
	// depends on the seed.
	Harmful bool
	// Unframed makes a share of the responses end with their connection, and adds faults
	// that cut these off. Servers are processes that run the executable of this process
	// with ServerCommand. The share depends on the seed.
	Unframed bool
	// Brittle makes all servers brittle for a time in which callers send more than they
	// can run, and enables overload control in the nodes.
	Brittle bool
	// Series adds series of signals, restarts and changes that overlap, and callers that
	// leave before they have a response.
	Series bool
	// Mature leaves out the SIGHUP of a series to processes that have just been started. The
	// system ends a process whose main function has not begun.
	Mature bool
	// Calm injects no other faults.
	Calm bool
	// Output receives the logs of the nodes and the fault schedule; nil discards
	// them.
	Output io.Writer
}

// Result is the result of a soak test.
type Result struct {
	// Attempts is the number of requests sent, Runs the number of those that an
	// endpoint ran, and Faults the number of faults injected.
	Attempts, Runs, Faults int
	// FinalSuccessRate is the ratio of attempts that succeeded after the faults
	// had ended and settleTime had passed.
	FinalSuccessRate float64
	TakeUps          TakeUps
	Peaks            Peaks
	LoadChecks       LoadChecks
	Unframed         UnframedResponses
	// Crashes is the number of servers that the harmful request has crashed.
	Crashes int
	// Falls is the number of brittle servers that have failed because they declined too
	// many requests, and CountedFalls that of those for which sound nodes are to blame.
	Falls, CountedFalls int
	Violations          []string
}

const (
	// startupTime is the time between the start of the nodes and that of the load
	// and the faults. faultFreeTime is the time for which the load continues after
	// the faults have ended.
	startupTime   = 2 * time.Second
	faultFreeTime = 9 * time.Second
	// settleTime is the first part of faultFreeTime. Attempts in it do not count
	// towards the success rate.
	settleTime = 6 * time.Second
	// minSuccessRate is the minimum of Result.FinalSuccessRate.
	minSuccessRate = 0.9
	// shutdownGrace is the maximum duration of a node's graceful shutdown.
	shutdownGrace = 8 * time.Second
	// revokedTenant is the tenant of revokedKey, which the test revokes.
	revokedTenant = "leaver"
	keptKey       = "stay"
	revokedKey    = "leave"
	service       = "desk"
	host          = "soak.example"
	peerPort      = 7300
	// nodeMemory is the memory of a node in megabytes. No process may exceed it.
	nodeMemory = 112
	// serverWork is the processing time of a request that is not streamed.
	serverWork = 20 * time.Millisecond
	// routeTimeout and routeAttempts are those of all routes. In a test of the limits, the
	// latter is limitRouteAttempts.
	routeTimeout       = 4 * time.Second
	routeAttempts      = 2
	limitRouteAttempts = 3
)

// Soaker is the state of a soak test.
type Soaker struct {
	opts    Options
	rng     *rand.Rand
	history *History
	store   *standin.Store
	nodes   []*node
	dir     string
	// processes counts the processes of the nodes that run or are to be started again.
	processes conc.WaitGroup
	// block is the third byte of the addresses of the nodes, which blockLock keeps
	// from other soak tests.
	block     byte
	blockLock net.Listener
	// absentUntil holds the times until which servers leave or ask for time.
	absentUntil []time.Time

	// brittle is what servers are that start, guarded by mu.
	brittle     brittle
	mu          sync.Mutex
	servers     map[string]*standin.Server
	serverCount int
	// release is the number of releases of the servers' software.
	release int
	closed  bool
	// manifestMu guards manifestVersion, the version of the published manifest.
	manifestMu      sync.Mutex
	manifestVersion int
	// outputMu guards Options.Output and faultCount.
	outputMu   sync.Mutex
	faultCount int
}

// Run runs a soak test.
func Run(opts Options) (Result, error) {
	s := &Soaker{
		opts: opts, rng: rand.New(rand.NewPCG(opts.Seed, 99)), history: NewHistory(),
		servers: map[string]*standin.Server{},
	}
	s.history.coldRate = s.coldRate()
	s.history.attempts, s.history.nodes = routeAttempts, opts.Nodes
	if opts.Limits {
		s.history.attempts = limitRouteAttempts
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
	defer s.shutDown()
	if err := s.start(); err != nil {
		return Result{}, err
	}

	return s.runLoad()
}

// start publishes the manifest and starts the servers and nodes.
func (s *Soaker) start() error {
	if err := s.publishManifest(true, s.rng.IntN(3)); err != nil {
		return err
	}
	for range s.opts.Servers {
		if err := s.addServer(netip.MustParseAddrPort("127.0.0.1:0")); err != nil {
			return err
		}
	}
	if err := s.reserveBlock(); err != nil {
		return err
	}
	for i := range s.opts.Nodes {
		// Nodes share port numbers, so each needs its own loopback address.
		address := s.address(1 + i)
		proxy, err := NewProxy(s.store.Addr())
		if err != nil {
			return err
		}
		n := &node{index: i, addr: address, callerAddr: netip.AddrPortFrom(address, peerPort+1), storeProxy: proxy}
		n.settingsFile = filepath.Join(s.dir, fmt.Sprintf("node-%d.json", i))
		if err := os.WriteFile(n.settingsFile, []byte(s.nodeSettings(n)), 0o600); err != nil {
			return err
		}
		s.nodes = append(s.nodes, n)
	}
	for _, n := range s.nodes {
		if err := s.startNode(n); err != nil {
			return err
		}
	}

	return nil
}

// address returns a loopback address of the block.
func (s *Soaker) address(n int) netip.Addr { return netip.AddrFrom4([4]byte{127, 0, s.block, byte(n)}) }

const (
	// firstBlock is the first of the blocks, which are as many as blocks.
	firstBlock, blocks = 100, 100
	// lockAddress is the last byte of the address that locks a block.
	lockAddress = 254
)

// reserveBlock chooses the block of the seed, or the next one that no other soak test
// uses.
func (s *Soaker) reserveBlock() error {
	var err error
	for i := range uint64(blocks) {
		s.block = byte(firstBlock + (s.opts.Seed+i)%blocks)
		if s.blockLock, err = net.Listen("tcp", netip.AddrPortFrom(s.address(lockAddress), peerPort).String()); err == nil {
			return nil
		}
	}

	return err
}

// changeManifest writes a new version of the manifest to the store, which may revoke
// revokedKey. The given number of versions is left out.
func (s *Soaker) changeManifest(revokes bool, leftOut int) {
	s.manifestMu.Lock()
	defer s.manifestMu.Unlock()
	s.history.mu.Lock()
	revoked := !s.history.revokedAt.IsZero()
	s.history.mu.Unlock()
	s.recordPublishError(s.publishManifest(!revoked && !revokes, leftOut))
	if revokes {
		s.history.MarkKeyRevoked()
	}
}

// publishManifest writes a new version of the manifest to the store. The
// manifest contains revokedKey if withKey is true. Callers may not overlap.
func (s *Soaker) publishManifest(withKey bool, leftOut int) error {
	s.manifestVersion += 1 + leftOut
	route := func(name, prefix, kind string, resumable bool) standin.Route {
		r := standin.Route{
			Name: name, Host: host, Prefix: prefix, Kind: kind, Service: service,
			Timeout: routeTimeout, Target: 500 * time.Millisecond, Attempts: routeAttempts, Resumable: resumable,
		}
		if s.opts.Limits {
			r.Attempts = limitRouteAttempts
		}
		if s.opts.Load {
			r.Slots = loadSlots
		}
		if s.coldRate() > 0 {
			r.ColdPeriod, r.ColdRate = coldPeriod, s.coldRate()
		}

		return r
	}
	keys := map[string]string{keptKey: "stayer"}
	if withKey {
		keys[revokedKey] = revokedTenant
	}
	if s.opts.Load {
		for _, account := range loadAccounts {
			keys[account] = account
		}
	}

	return s.store.PutManifest(s.manifestVersion, []standin.Route{
		route("a", "/safe/", "safe", false), route("b", "/unsafe/", "unsafe", false),
		route("c", "/stream/", "streaming", false), route("d", "/resumestream/", "streaming", true),
	}, keys)
}

// addServer starts a server of the latest software version on an address and
// registers it in the store.
func (s *Soaker) addServer(addr netip.AddrPort) error {
	s.mu.Lock()
	s.serverCount++
	count, version := s.serverCount, fmt.Sprint("v1.", s.release)
	s.mu.Unlock()
	id := fmt.Sprintf("i-%d-%d", s.opts.Seed, count)
	server, err := s.newServer(id, version, addr, s.opts.Seed+uint64(count))
	if err != nil {
		return err
	}
	server.OnCrash(func() { s.handleCrash(server) })
	s.mu.Lock()
	s.servers[id] = server
	if s.opts.Brittle {
		s.limitRoom(server)
	}
	closed := s.closed
	s.mu.Unlock()
	if closed {
		server.Crash()

		return nil
	}
	s.history.MarkServing(id, version)
	if s.coldRate() > 0 && count > s.opts.Servers {
		s.cool(server, coldPeriod, false)

		return nil
	}

	return s.register(server, false)
}

// isClosed reports whether the soak test has ended.
func (s *Soaker) isClosed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.closed
}

// runLoad runs the callers, first with faults and then without, and checks the
// history.
func (s *Soaker) runLoad() (Result, error) {
	time.Sleep(startupTime)
	stop := make(chan struct{})
	var wg conc.WaitGroup
	ended := make(chan struct{})
	callers, create, inject := s.opts.Callers, newCaller, s.injectFault
	if s.opts.Limits {
		callers, create, inject = max(callers, limitCallers*s.opts.Nodes), newLimitCaller, newLimitFaults(s, ended).inject
	}
	freeTime := faultFreeTime
	var load *loadFaults
	if s.opts.Load {
		load = newLoadFaults(s, ended, inject)
		inject, create, freeTime = load.inject, loadCallers(create), loadFreeTime
	}
	if s.opts.Calm {
		inject = func() {}
	}
	if s.opts.Unframed {
		inject = newUnframedFaults(s, ended, inject).inject
		for i := range slowCallers {
			wg.Go(func() { newSlowCaller(s, i).run(stop) })
		}
	}
	if s.opts.Series {
		inject = newSeriesFaults(s, ended, inject).inject
		for i := range leavers {
			wg.Go(func() { newLeaver(s, i).run(stop) })
		}
	}
	for i := range callers {
		wg.Go(func() { create(s, i).run(stop) })
	}
	var releases conc.WaitGroup
	if s.releases() && !s.opts.Calm {
		for i := range streamCallers {
			wg.Go(func() { newStreamCaller(s, i).run(stop) })
		}
		releases.Go(func() { newReleaser(s).run(ended) })
	}
	if s.opts.Brittle {
		s.overload(&wg, ended)
		s.startBrittle()
	}
	var harmful conc.WaitGroup
	if s.opts.Harmful {
		s.sendHarmful(&harmful, ended)
	}
	end := time.Now().Add(s.opts.Length)
	for time.Now().Before(end) {
		inject()
		time.Sleep(time.Duration(100+s.rng.IntN(900)) * time.Millisecond)
	}
	close(ended)
	releases.Wait()
	harmful.Wait()
	s.clearFaults()
	if load != nil {
		load.callers.Wait()
	}
	from := time.Now().Add(settleTime)
	time.Sleep(freeTime)
	to := time.Now()
	close(stop)
	wg.Wait()
	s.checkMemory()
	s.history.MarkEnd(to)
	r := Result{Faults: s.faultCount, TakeUps: s.history.TakeUps(), Violations: s.history.Check()}
	s.history.mu.Lock()
	r.Peaks, r.LoadChecks = s.history.peaks, s.history.loadChecks
	r.Unframed = s.history.countUnframed()
	r.Crashes = len(s.history.crashes)
	r.Falls, r.CountedFalls = len(s.history.falls), s.history.countedFalls
	r.Attempts, r.Runs = len(s.history.outcomes), len(s.history.runs)
	s.history.mu.Unlock()
	sent := 0
	if r.FinalSuccessRate, sent = s.history.SuccessRate(from, to); r.FinalSuccessRate < minSuccessRate {
		r.Violations = append(r.Violations, fmt.Sprintf("%.0f percent of attempts succeeded after the faults ended (%d sent)", 100*r.FinalSuccessRate, sent))
	}

	return r, nil
}

// checkMemory checks the highest memory use of the processes. Where the system does not
// state it, nothing is checked.
func (s *Soaker) checkMemory() {
	for _, n := range s.nodes {
		n.mu.Lock()
		pid := n.cmd.Process.Pid
		n.mu.Unlock()
		status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
		if err != nil {
			// The process has just ended and is started again.
			continue
		}
		_, field, _ := strings.Cut(string(status), "VmHWM:")
		kilobytes := 0
		if _, err := fmt.Sscan(field, &kilobytes); err == nil && kilobytes > nodeMemory<<10 {
			s.history.AddViolation("node %d used %d MB of memory, more than %d", n.index, kilobytes>>10, nodeMemory)
		}
	}
}

// shutDown kills the processes of the nodes, waits for them, and closes proxies and
// servers. A killed process keeps its ports until it has ended, so the block is released
// after that.
func (s *Soaker) shutDown() {
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	for _, n := range s.nodes {
		n.mu.Lock()
		if n.cmd != nil {
			_ = n.cmd.Process.Kill()
		}
		n.mu.Unlock()
		n.storeProxy.Close()
	}
	for _, server := range s.registeredServers() {
		server.Crash()
	}
	s.processes.Wait()
	if s.blockLock != nil {
		_ = s.blockLock.Close()
	}
}
