package assembler

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sourcegraph/conc"

	"snipedyke/internal/administrator"
	"snipedyke/internal/standin"
)

// binDir is the directory that holds the built programs.
var binDir string

func TestMain(m *testing.M) { os.Exit(buildAndRun(m)) }

// buildAndRun builds the programs, runs the tests and returns the exit code.
func buildAndRun(m *testing.M) int {
	var err error
	if binDir, err = os.MkdirTemp("", "snipedyke-test-"); err != nil {
		fmt.Fprintln(os.Stderr, err)

		return 1
	}
	defer func() { _ = os.RemoveAll(binDir) }()
	if out, err := exec.Command("go", "build", "-o", binDir, "../../cmd/...").CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "%v\n%s", err, out)

		return 1
	}

	return m.Run()
}

// process is a running program.
type process struct {
	*exec.Cmd
	stderr bytes.Buffer
	exited chan struct{}
}

// startProcess starts a program, which is killed at the end of the test.
func startProcess(c *qt.C, stdout *os.File, name string, args ...string) *process {
	p := &process{Cmd: exec.Command(filepath.Join(binDir, name), args...), exited: make(chan struct{})}
	if stdout != nil {
		p.Stdout = stdout
	}
	p.Stderr = &p.stderr
	c.Assert(p.Start(), qt.IsNil)
	go func() {
		defer close(p.exited)
		_ = p.Wait()
	}()
	c.Cleanup(func() {
		_ = p.Process.Kill()
		<-p.exited
		if c.Failed() {
			c.Logf("%s %v: %s\n%s", name, args, p.ProcessState, p.stderr.String())
		}
	})

	return p
}

// installation is three nodes and all stand-ins as processes, started as the
// README describes.
type installation struct {
	configuration string
	endpoints     map[string]string
	nodes         []*process
	callers       []string
	admins        []*administrator.Client
}

// accountKey is the API key of an account with large limits.
const accountKey = "demo-guild-account-01-fit"

// portBlocks is the number of port blocks that have been tried.
var portBlocks atomic.Int64

// freePorts returns the first of nine consecutive free ports. They lie below the
// system's ephemeral port range.
func freePorts(c *qt.C) int {
	for range 100 {
		base := 20000 + os.Getpid()%1000*10 + int(portBlocks.Add(1))*10
		free := 0
		for ; free < 9; free++ {
			l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", base+free))
			if err != nil {
				break
			}
			_ = l.Close()
		}
		if free == 9 {
			return base
		}
	}
	c.Fatal("no free ports")

	return 0
}

// startInstallation starts the stand-ins and three nodes, raises the epoch and
// waits until the records of all nodes cover their keys.
func startInstallation(c *qt.C) *installation {
	dir := c.TempDir()
	port := freePorts(c)
	s := &installation{endpoints: map[string]string{}}
	r, w, err := os.Pipe()
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = r.Close() })
	startProcess(c, w, "standin", "all", "--nodes", "3", "--settings", dir, "--port", strconv.Itoa(port))
	c.Assert(w.Close(), qt.IsNil)
	for lines, nodes := bufio.NewScanner(r), 0; nodes < 3 && lines.Scan(); {
		switch f := strings.Fields(lines.Text()); f[0] {
		case "configuration":
			s.configuration = f[1]
		case "endpoint":
			s.endpoints[f[1]] = f[2]
		case "node":
			nodes++
		}
	}
	for i := range 3 {
		s.nodes = append(s.nodes, startProcess(c, nil, "snipedyke", "serve", "--settings", fmt.Sprintf("%s/entry-%d.json", dir, i+1)))
		s.callers = append(s.callers, fmt.Sprintf("http://127.0.0.1:%d", port+3*i))
		admin := netip.AddrPortFrom(loopback.Addr(), uint16(port+3*i+2))
		s.admins = append(s.admins, administrator.NewClient(admin, standin.DemoToken))
	}
	s.awaitVersions(c, func(v administrator.Versions) bool { return v.Ready })
	s.postControl(c, s.configuration, `{"epoch":true}`)
	s.awaitVersions(c, func(v administrator.Versions) bool { return v.Covering })

	return s
}

// awaitVersions waits until a condition holds for the versions of all nodes.
func (s *installation) awaitVersions(c *qt.C, condition func(administrator.Versions) bool) {
	c.Helper()
	for _, admin := range s.admins {
		await(c, "the node is ready and covers its keys", func() bool {
			v, err := admin.Versions(c.Context())

			return err == nil && condition(v)
		})
	}
}

func (s *installation) postControl(c *qt.C, server, body string) {
	result, err := send(server+"/control", "", "", body)
	c.Assert(err, qt.IsNil)
	c.Assert(result.status < 300, qt.IsTrue, qt.Commentf("%+v", result))
}

func (s *installation) pay(node int, key string) (callResult, error) {
	return send(s.callers[node]+"/services/orderdesk/payments", accountKey, key, `{"club":7}`)
}

// countRunsByKey returns the number of runs of each idempotency key at all
// stand-ins, which share one log of runs.
func (s *installation) countRunsByKey(c *qt.C) map[string]int {
	response, err := http.Get(s.endpoints["orderdesk-1"] + "/runs")
	c.Assert(err, qt.IsNil)
	defer func() { _ = response.Body.Close() }()
	var runLog struct{ Runs []standin.Run }
	c.Assert(json.NewDecoder(response.Body).Decode(&runLog), qt.IsNil)
	counts := map[string]int{}
	for _, r := range runLog.Runs {
		counts[r.Key]++
	}

	return counts
}

// countWarm returns the number of payment endpoints whose home considers them
// warm.
func (s *installation) countWarm(c *qt.C) int {
	count := 0
	for _, admin := range s.admins {
		endpoints, err := admin.Endpoints(c.Context())
		c.Assert(err, qt.IsNil)
		for _, e := range endpoints {
			if e.Pool == "orderdesk" && e.State == "warm" {
				count++
			}
		}
	}

	return count
}

// Guards against programs that do not work as the README describes, and against
// a key that runs twice when it is sent through several nodes.
func TestProgramsServeAndRunEachKeyOnce(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	s := startInstallation(c)
	got := stream(s.callers[0], accountKey, "which size?", func() {})
	c.Check(got.isComplete(), qt.IsTrue, qt.Commentf("%+v", *got))
	result, err := send(s.callers[1]+"/v1/chat/completions", accountKey, "", chat(5))
	c.Assert(err, qt.IsNil)
	c.Check(result.runState, qt.Equals, "ran", qt.Commentf("%+v", result))
	c.Check(result.body, qt.Contains, standin.Text("draftsmith-7b", "hello\n", 0, 5))

	for n := range 10 {
		key := fmt.Sprintf("club-%d", n)
		var concurrent [2]callResult
		var errs [2]error
		var callers conc.WaitGroup
		for i := range concurrent {
			callers.Go(func() { concurrent[i], errs[i] = s.pay((n+i)%3, key) })
		}
		callers.Wait()
		retried, err := s.pay((n+2)%3, key)
		c.Check(err, qt.IsNil)
		c.Check(errs, qt.Equals, [2]error{})
		c.Check(retried.status, qt.Equals, http.StatusOK, qt.Commentf("%+v", retried))
		c.Check(concurrent, qt.Equals, [2]callResult{retried, retried})
		c.Check(s.countRunsByKey(c)[key], qt.Equals, 1)
	}

	issued, err := send(s.callers[0]+"/v1/idempotency-keys?n=1", accountKey, "", "")
	c.Assert(err, qt.IsNil)
	var keys struct{ Keys []string }
	c.Assert(json.Unmarshal([]byte(issued.body), &keys), qt.IsNil)
	c.Assert(keys.Keys, qt.HasLen, 1)
	for _, node := range []int{1, 2, 0} {
		result, err = s.pay(node, keys.Keys[0])
		c.Check(err, qt.IsNil)
		c.Check(result.status, qt.Equals, http.StatusOK, qt.Commentf("node %d: %+v", node, result))
	}
	c.Check(s.countRunsByKey(c)[keys.Keys[0]], qt.Equals, 1)
}

// Guards against a graceful shutdown after SIGTERM that cuts off streams.
func TestSIGTERMCompletesRunningStreams(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	s := startInstallation(c)
	var started atomic.Int32
	open := func(round string) []*streamResult {
		var callers conc.WaitGroup
		results := make([]*streamResult, 50)
		for i := range results {
			callers.Go(func() {
				key := strings.Replace(accountKey, "fit", "drafts", 1)
				results[i] = stream(s.callers[0], key, fmt.Sprintf("%s %d", round, i), func() { started.Add(1) })
			})
		}
		if round == "end" {
			await(c, "all streams have begun", func() bool { return started.Load() == 100 })
			c.Assert(s.nodes[0].Process.Signal(syscall.SIGTERM), qt.IsNil)
		}
		callers.Wait()

		return results
	}
	// The first round warms the engines, so that they run all streams of the
	// second one at the same time.
	open("warm")
	for name, url := range s.endpoints {
		if strings.HasPrefix(name, "draftsmith") {
			s.postControl(c, url, `{"slow":4}`)
		}
	}
	for _, got := range open("end") {
		c.Check(got.isComplete(), qt.IsTrue, qt.Commentf("%+v", *got))
	}
	select {
	case <-s.nodes[0].exited:
		c.Check(s.nodes[0].ProcessState.ExitCode(), qt.Equals, 0)
	case <-time.After(30 * time.Second):
		c.Error("node did not exit within 30 s")
	}
}

// Guards against keys that run twice, and payments that no longer succeed, when
// a node is killed.
func TestKilledNodeRunsNoKeyTwice(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	s := startInstallation(c)
	var paid, stop atomic.Int32
	var callers conc.WaitGroup
	sent := make([]int, 6)
	for i := range sent {
		callers.Go(func() {
			for n := 0; stop.Load() == 0; n++ {
				sent[i]++
				key := fmt.Sprintf("kill-%d-%d", i, n)
				first, err := s.pay(i%3, key)
				if err == nil && first.status == http.StatusOK {
					paid.Add(1)

					continue
				}
				// A caller without an answer retries through another node.
				retried, err := s.pay(i%2, key)
				c.Check(err, qt.IsNil)
				if retried.status != http.StatusOK {
					c.Check(retried.runState, qt.Not(qt.Equals), "", qt.Commentf("%+v", retried))
				}
			}
		})
	}
	// A new home dispatches nothing to a cold endpoint until it knows that the
	// killed node runs no request there. Only warm endpoints accept payments
	// immediately.
	await(c, "payments work and their endpoints are warm", func() bool { return paid.Load() > 30 && s.countWarm(c) == 4 })
	c.Assert(s.nodes[2].Process.Kill(), qt.IsNil)
	<-s.nodes[2].exited
	// A node is suspected after 1 s; payments must succeed again 1 s later.
	killed := time.Now()
	await(c, "2 s have passed since the kill", func() bool { return time.Since(killed) > 2*time.Second })
	stop.Store(1)
	callers.Wait()
	// Callers 2 and 5 used the killed node; the keys that it ran must not run
	// again.
	for _, i := range []int{2, 5} {
		for n := range min(sent[i], 10) {
			_, err := s.pay(n%2, fmt.Sprintf("kill-%d-%d", i, n))
			c.Check(err, qt.IsNil)
		}
	}
	for n := range 100 {
		result, err := s.pay(n%2, fmt.Sprintf("later-%d", n))
		c.Check(err, qt.IsNil)
		c.Check(result.status, qt.Equals, http.StatusOK, qt.Commentf("%+v", result))
	}
	for key, count := range s.countRunsByKey(c) {
		if key != "" {
			c.Check(count, qt.Equals, 1, qt.Commentf("%s", key))
		}
	}
}
