package soaker

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"testing/synctest"

	qt "github.com/frankban/quicktest"

	"snipedyke/platform/standin"
)

// TestMain runs the tests. In the processes that these start as nodes, it listens for
// readiness checks instead, until it is killed; in those for servers, it serves.
func TestMain(m *testing.M) {
	var err error
	switch {
	case len(os.Args) > 1 && os.Args[1] == "serve":
		err = listenUntilKilled(os.Args[len(os.Args)-1])
	case len(os.Args) > 1 && os.Args[1] == ServerCommand:
		err = standin.ServeProcess(os.Stdin, os.Stdout)
	default:
		os.Exit(m.Run())
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func listenUntilKilled(settingsFile string) error {
	content, err := os.ReadFile(settingsFile)
	if err != nil {
		return err
	}
	var settings struct{ Readiness string }
	if err := json.Unmarshal(content, &settings); err != nil {
		return err
	}
	ln, err := net.Listen("tcp", settings.Readiness)
	if err != nil {
		return err
	}
	fmt.Println("listening")
	_, err = ln.Accept()

	return errors.Join(err, ln.Close())
}

// heldOutput closes begun when it is first written to, and then waits for release.
type heldOutput struct {
	once           sync.Once
	begun, release chan struct{}
}

func (o *heldOutput) Write(p []byte) (int, error) {
	o.once.Do(func() { close(o.begun) })
	<-o.release

	return len(p), nil
}

// newTestSoaker returns a soak test whose only node is a process of this test. Its proxy
// is closed, as goroutines that wait for connections hold up synctest.Wait.
func newTestSoaker(c *qt.C, out *heldOutput) *Soaker {
	binary, err := os.Executable()
	c.Assert(err, qt.IsNil)
	s := &Soaker{opts: Options{Binary: binary, Seed: 98, Output: out}, history: NewHistory()}
	c.Assert(s.reserveBlock(), qt.IsNil)
	proxy, err := NewProxy(netip.AddrPort{})
	c.Assert(err, qt.IsNil)
	n := &node{addr: s.address(1), storeProxy: proxy, settingsFile: filepath.Join(c.TempDir(), "node.json")}
	c.Assert(os.WriteFile(n.settingsFile, []byte(s.nodeSettings(n)), 0o600), qt.IsNil)
	proxy.Close()
	s.nodes = []*node{n}

	return s
}

// Guards against a node that cannot start because a process of a soak test that has just
// ended still has its port (seed 406).
func TestShutdownWaitsForProcesses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		out := &heldOutput{begun: make(chan struct{}), release: make(chan struct{})}
		s := newTestSoaker(c, out)
		c.Assert(s.startNode(s.nodes[0]), qt.IsNil)
		<-out.begun
		done := make(chan struct{})
		go func() {
			defer close(done)
			s.shutDown()
		}()
		// The process has been killed, but its output has not been read to the end.
		synctest.Wait()
		other := &Soaker{opts: s.opts}
		c.Assert(other.reserveBlock(), qt.IsNil)
		c.Check(other.block, qt.Not(qt.Equals), s.block)
		c.Check(other.blockLock.Close(), qt.IsNil)
		close(out.release)
		<-done
		ln, err := net.Listen("tcp", netip.AddrPortFrom(s.address(1), peerPort+2).String())
		c.Assert(err, qt.IsNil)
		c.Check(ln.Close(), qt.IsNil)
	})
}

// Guards against a process that is started again while the soak test ends, and has its
// ports for longer than that.
func TestNoProcessIsStartedAfterShutdown(t *testing.T) {
	c := qt.New(t)
	s := newTestSoaker(c, &heldOutput{begun: make(chan struct{})})
	n := s.nodes[0]
	s.shutDown()
	c.Assert(s.startNode(n), qt.IsNil)
	if !c.Check(n.cmd, qt.IsNil) {
		c.Check(n.cmd.Process.Kill(), qt.IsNil)
	}
}
