package soaker

import (
	"fmt"
	"net/netip"
	"os/exec"
	"sync"
	"syscall"
	"time"
)

// node is a node of the fleet, whose process is restarted when it ends.
type node struct {
	index        int
	addr         netip.Addr
	callerAddr   netip.AddrPort
	storeProxy   *Proxy
	settingsFile string

	mu  sync.Mutex
	cmd *exec.Cmd
	// started is the time at which the process was started.
	started time.Time
	// stopping reports whether a signal that ends the process has been sent.
	stopping bool
}

// nodeSettings returns the settings file of a node.
func (s *Soaker) nodeSettings(n *node) string {
	first := s.address(1)

	return fmt.Sprintf(`{"name": "node-%d", "centre": "c%d", "regions": [{"centre": "c0", "region": "r"}, {"centre": "c1", "region": "r"}],
 "callers": "%s", "readiness": "%s:%d", "peers": "%s:%d", "seeds": ["%s:1"], "store": "%s",
 "withdrawal": "5s", "grace": "%s", %s, %s
 "memory": %d, "descriptors": 4096}`,
		n.index, n.index%2, n.callerAddr, n.addr, peerPort+2, n.addr, peerPort, first, n.storeProxy.Addr(), shutdownGrace, limitSettings(), s.loadSettings(), nodeMemory)
}

// startNode starts the process of a node, unless the soak test has ended, and restarts
// it whenever it ends.
func (s *Soaker) startNode(n *node) error {
	cmd := exec.Command(s.opts.Binary, "serve", "--settings", n.settingsFile)
	cmd.Stdout, cmd.Stderr = outputWriter{s}, outputWriter{s}
	n.mu.Lock()
	defer n.mu.Unlock()
	// shutDown sets closed before it locks n.mu, so it kills a process that is started
	// here.
	if s.isClosed() {
		return nil
	}
	if err := cmd.Start(); err != nil {
		return err
	}
	n.cmd, n.started, n.stopping = cmd, time.Now(), false
	s.history.MarkInterrupted(n.index, 0)
	s.processes.Go(func() {
		err := cmd.Wait()
		n.mu.Lock()
		stopping := n.stopping
		n.mu.Unlock()
		if s.isClosed() {
			return
		}
		if !stopping {
			s.history.AddViolation("node %d exited unexpectedly: %v", n.index, err)
		}
		s.history.MarkDisturbed(n.index, time.Now().Add(time.Second))
		time.Sleep(300 * time.Millisecond)
		if err := s.startNode(n); err != nil {
			s.history.AddViolation("starting node %d failed: %v", n.index, err)
		}
	})

	return nil
}

// outputWriter serializes the output of all nodes to Options.Output.
type outputWriter struct{ s *Soaker }

func (w outputWriter) Write(p []byte) (int, error) {
	w.s.outputMu.Lock()
	defer w.s.outputMu.Unlock()

	return w.s.opts.Output.Write(p)
}

// signal sends a signal to the process of a node. terminates reports whether the
// signal ends the process.
func (n *node) signal(sig syscall.Signal, terminates bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.stopping = n.stopping || terminates
	// Sending fails if the process has just ended.
	_ = n.cmd.Process.Signal(sig)
}

// age returns the time since the process of a node was started.
func (n *node) age() time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()

	return time.Since(n.started)
}
