package main

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"snipedyke/platform/standin"
)

// The time between two publications of a server, and the bound of the manifest's revocations.
const (
	publication = 1200 * time.Millisecond
	revokeTime  = 5 * time.Second
)

// rig runs the processes and stand-ins of a case.
type rig struct {
	binary  string
	trouble bool
	dir     string
	start   time.Time
	// block is the third byte of the addresses of the nodes, which lock keeps from other
	// runs.
	block byte
	lock  net.Listener

	mu sync.Mutex
	// ended reports whether nothing is started and recorded any more.
	ended   bool
	file    *os.File
	record  *bufio.Writer
	faults  int
	nodes   []*node
	servers []*standin.Server
	stores  []*standin.Store
	// runs holds what servers ran, by the ID of the attempt.
	runs map[string][]standin.Run
}

func newRig(binary, record string, trouble bool) (*rig, error) {
	r := &rig{
		binary: binary, trouble: trouble, start: time.Now(),
		runs: map[string][]standin.Run{},
	}
	var err error
	if r.file, err = os.Create(record); err != nil {
		return nil, err
	}
	r.record = bufio.NewWriter(r.file)
	if r.dir, err = os.MkdirTemp("", "snipedyke-review-"); err != nil {
		return nil, err
	}
	for b := 10; b < 90; b++ {
		// The lock is held until the end, so that two runs use different addresses.
		if r.lock, err = net.Listen("tcp", fmt.Sprintf("127.0.%d.254:8748", b)); err == nil {
			r.block = byte(b)
			r.note("TROUBLE=%v", trouble)

			return r, nil
		}
	}

	return nil, err
}

// note writes a line to the record.
func (r *rig) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.record != nil {
		_, _ = fmt.Fprintf(r.record, "%8.3f "+format+"\n", append([]any{time.Since(r.start).Seconds()}, args...)...)
	}
}

// fault records that the rule was broken.
func (r *rig) fault(format string, args ...any) {
	r.note("BROKEN: "+format, args...)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faults++
}

func (r *rig) broken() int {
	r.mu.Lock()
	defer r.mu.Unlock()

	return r.faults
}

// isEnded reports whether the case has ended.
func (r *rig) isEnded() bool {
	r.mu.Lock()
	defer r.mu.Unlock()

	return r.ended
}

// close ends all processes that were started.
func (r *rig) close() {
	r.mu.Lock()
	r.ended = true
	nodes, servers, stores := r.nodes, r.servers, r.stores
	r.mu.Unlock()
	for _, n := range nodes {
		n.kill()
	}
	for _, s := range servers {
		s.Crash()
	}
	for _, s := range stores {
		s.Close()
	}
	_ = r.lock.Close()
	r.mu.Lock()
	_ = r.record.Flush()
	r.mu.Unlock()
	_ = os.RemoveAll(r.dir)
}

// AddArrival implements standin.Observer.
func (r *rig) AddArrival(standin.Arrival) {}

// AddRun implements standin.Observer.
func (r *rig) AddRun(run standin.Run) {
	r.note("run %s at %s for tenant %q", run.Request, run.Server, run.Tenant)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs[run.Request] = append(r.runs[run.Request], run)
}

// AddAnswer implements standin.Observer.
func (r *rig) AddAnswer(a standin.Answer) {
	r.note("server %s answers %s unframed=%v leaving=%v declined=%v", a.Server, a.Request, a.Unframed, a.Leaving, a.Declined)
}

func (r *rig) addStore() (*standin.Store, error) {
	s, err := standin.NewStore()
	if err == nil {
		r.mu.Lock()
		r.stores = append(r.stores, s)
		r.mu.Unlock()
	}

	return s, err
}

// addServer starts a server in this process, or in one of its own.
func (r *rig) addServer(id string, work time.Duration, separate bool) (*standin.Server, error) {
	address := netip.MustParseAddrPort("127.0.0.1:0")
	seed := uint64(time.Now().UnixNano())
	var s *standin.Server
	var err error
	if separate {
		var self string
		if self, err = executable(); err != nil {
			return nil, err
		}
		s, err = standin.StartServer(exec.Command(self, serverCommand), id, "v1", address, work, seed, r)
	} else {
		s, err = standin.NewServer(id, "v1", address, work, seed, r)
	}
	if err == nil {
		r.mu.Lock()
		r.servers = append(r.servers, s)
		r.mu.Unlock()
	}

	return s, err
}

// node is a node whose process the rig starts.
type node struct {
	rig      *rig
	name     string
	address  netip.Addr
	settings string

	mu  sync.Mutex
	cmd *exec.Cmd
	// done is closed when the process has ended.
	done chan struct{}
}

// The ports of the nodes.
const (
	frontPort   = 8740
	controlPort = 8748
	readyPort   = 8749
	metricsPort = 9464
	peerPort    = 7200
)

// addNode starts a node of a zone whose store has the given address. The first two nodes are
// the seeds of all.
func (r *rig) addNode(zone string, store netip.AddrPort) (*node, error) {
	r.mu.Lock()
	i := len(r.nodes) + 1
	r.mu.Unlock()
	at := func(i int) netip.Addr { return netip.AddrFrom4([4]byte{127, 0, r.block, byte(i)}) }
	n := &node{rig: r, name: fmt.Sprintf("edge-%s-%d", zone, i), address: at(i), settings: filepath.Join(r.dir, fmt.Sprintf("node-%d.json", i))}
	// The template deploy/settings.json, filled in.
	text := fmt.Sprintf(`{
  "name": %q,
  "centre": %q,
  "regions": [{ "centre": "z1", "region": "r" }, { "centre": "z2", "region": "r" }, { "centre": "z3", "region": "r" }],
  "callers": "%s:%d",
  "readiness": "%s:%d",
  "metrics": "%s:%d",
  "peers": "%s:%d",
  "seeds": ["%s:%d","%s:%d"],
  "store": "%s",
  "publication": "1200ms",
  "withdrawal": "5000ms",
  "grace": "8s",
  "cold": { "factor": 1.5, "slack": 5 },
  "retries": { "window": "10s", "ratio": 0.2, "slack": 52 },
  "memory": 284,
  "descriptors": 4100,
  "outcomes": true,
  "speeds": true,
  "accounts": true,
}
`, n.name, zone, n.address, frontPort, n.address, readyPort, n.address, metricsPort, n.address, peerPort,
		at(1), controlPort, at(2), controlPort, store)
	if err := os.WriteFile(n.settings, []byte(text), 0o600); err != nil {
		return nil, err
	}
	r.mu.Lock()
	r.nodes = append(r.nodes, n)
	r.mu.Unlock()

	return n, n.start()
}

// start starts the process of the node, with the command of deploy/system.toml.
func (n *node) start() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.rig.isEnded() {
		return errors.New("the case has ended")
	}
	cmd := exec.Command(n.rig.binary, "serve")
	cmd.Env = append(os.Environ(), "SNIPEDYKE_BOOT="+n.settings)
	if logs := os.Getenv("LOGS"); logs != "" {
		f, err := os.OpenFile(filepath.Join(logs, n.name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
		if err != nil {
			return err
		}
		defer func() { _ = f.Close() }()
		cmd.Stdout, cmd.Stderr = f, f
	}
	if err := cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	n.cmd, n.done = cmd, done
	n.rig.note("node %s starts", n.name)
	go func() {
		_ = cmd.Wait()
		close(done)
	}()

	return nil
}

// kill kills the process of the node and waits for its end.
func (n *node) kill() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cmd == nil {
		return
	}
	_ = n.cmd.Process.Signal(syscall.SIGKILL)
	<-n.done
}

func (n *node) front() string { return fmt.Sprintf("%s:%d", n.address, frontPort) }

// awaitReady waits until all nodes are ready.
func (r *rig) awaitReady() error {
	for _, n := range r.nodes {
		for end := time.Now().Add(10 * time.Second); ; time.Sleep(50 * time.Millisecond) {
			resp, err := http.Get(fmt.Sprintf("http://%s:%d/readyz", n.address, readyPort))
			if err == nil {
				_ = resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(end) {
				return fmt.Errorf("node %s is not ready", n.name)
			}
		}
	}

	return nil
}

// executable returns the path of this program.
func executable() (string, error) { return os.Executable() }
