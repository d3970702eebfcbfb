package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// node is a process of the system, started with the command of the deploy file.
type node struct {
	name, ip, zone    string
	front, ready      string
	settings, logPath string
	cmd               *exec.Cmd
	ended             chan struct{}
}

// deployment holds what all nodes share.
type deployment struct {
	root, dir string
	store     string
	zones     []string
	seeds     []string
	memoryMb  int
	ports     [4]int
	nodes     []*node
}

// freePort returns a port that is free on an address.
func freePort(network, ip string) int {
	if network == "udp" {
		c, err := net.ListenPacket("udp", ip+":0")
		must(err)
		defer func() { _ = c.Close() }()

		return c.LocalAddr().(*net.UDPAddr).Port
	}
	l, err := net.Listen("tcp", ip+":0")
	must(err)
	defer func() { _ = l.Close() }()

	return l.Addr().(*net.TCPAddr).Port
}

// newDeployment prepares nodes in the given zones. Their settings are those of
// deploy/settings.json, filled in with the bounds of a small site.
func newDeployment(root, store string, zones ...string) *deployment {
	dir, err := os.MkdirTemp("", "review")
	must(err)
	d := &deployment{root: root, dir: dir, store: store, zones: zones, memoryMb: 134}
	for i := range d.ports {
		network := "tcp"
		if i == 3 {
			network = "udp"
		}
		d.ports[i] = freePort(network, "127.0.0.2")
	}
	for i, zone := range zones {
		ip := fmt.Sprintf("127.0.0.%d", i+2)
		n := &node{
			name: fmt.Sprintf("edge-%d", i+1), ip: ip, zone: zone,
			front: fmt.Sprintf("%s:%d", ip, d.ports[0]), ready: fmt.Sprintf("%s:%d", ip, d.ports[1]),
			settings: filepath.Join(dir, fmt.Sprintf("edge-%d.json", i+1)), logPath: filepath.Join(dir, fmt.Sprintf("edge-%d.log", i+1)),
		}
		d.nodes = append(d.nodes, n)
		if i < 3 {
			d.seeds = append(d.seeds, fmt.Sprintf("%q", fmt.Sprintf("%s:%d", ip, d.ports[2])))
		}
	}
	for _, n := range d.nodes {
		d.writeSettings(n)
	}

	return d
}

// writeSettings fills in the template of the settings.
func (d *deployment) writeSettings(n *node) {
	regions, known := []string{}, map[string]bool{}
	for _, z := range d.zones {
		if !known[z] {
			known[z] = true
			regions = append(regions, fmt.Sprintf(`{ "centre": %q, "region": "valcollina" }`, z))
		}
	}
	text := fmt.Sprintf(`{
  "name": %q,
  "centre": %q,
  "regions": [%s],
  "callers": %q,
  "readiness": %q,
  "metrics": "%s:%d",
  "peers": "%s:%d",
  "seeds": [%s],
  "store": %q,
  "publication": "1200ms",
  "withdrawal": "5000ms",
  "grace": "8s",
  "cold": { "factor": 1.5, "slack": 5 },
  "retries": { "window": "10s", "ratio": 0.2, "slack": 56 },
  "memory": %d,
  "descriptors": 4100,
}
`, n.name, n.zone, strings.Join(regions, ", "), n.front, n.ready, n.ip, d.ports[2], n.ip, d.ports[3], strings.Join(d.seeds, ", "), d.store, d.memoryMb)
	must(os.WriteFile(n.settings, []byte(text), 0o600))
}

// start starts the process of a node.
func (d *deployment) start(n *node) {
	log, err := os.OpenFile(n.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	must(err)
	defer func() { _ = log.Close() }()
	cmd := exec.Command(filepath.Join(d.root, "target/snipedyke"), "serve")
	cmd.Dir, cmd.Stdout, cmd.Stderr = d.root, log, log
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "SNIPEDYKE_BOOT=" + n.settings}
	// The process does not outlast the stand-in.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	startedMu.Lock()
	must(cmd.Start())
	started = append(started, cmd.Process)
	startedMu.Unlock()
	ended := make(chan struct{})
	n.cmd, n.ended = cmd, ended
	go func() {
		_ = cmd.Wait()
		close(ended)
	}()
	record("start %s pid %d", n.name, cmd.Process.Pid)
}

func (n *node) signal(s syscall.Signal) {
	record("signal %s %v", n.name, s)
	_ = n.cmd.Process.Signal(s)
}

// hasEnded reports whether the process has ended.
func (n *node) hasEnded() bool {
	select {
	case <-n.ended:
		return true
	default:
		return false
	}
}

// isReady asks the node as the platform does.
func (n *node) isReady() bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + n.ready + "/readyz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()

	return resp.StatusCode == http.StatusOK
}

// awaitReady waits until all nodes are ready.
func (d *deployment) awaitReady() {
	for limit := time.Now().Add(15 * time.Second); ; time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, n := range d.nodes {
			if n.isReady() {
				ready++
			}
		}
		if ready == len(d.nodes) {
			return
		}
		if time.Now().After(limit) {
			panic("the nodes are not ready")
		}
	}
}

// memory returns the resident memory of the process in bytes and its peak.
func (n *node) memory() (rss, peak int) {
	data, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", n.cmd.Process.Pid))
	for line := range strings.Lines(string(data)) {
		var kb int
		if _, err := fmt.Sscanf(line, "VmRSS: %d kB", &kb); err == nil {
			rss = kb << 10
		}
		if _, err := fmt.Sscanf(line, "VmHWM: %d kB", &kb); err == nil {
			peak = kb << 10
		}
	}

	return rss, peak
}

// stop ends all processes that were started.
func (d *deployment) stop() {
	for _, n := range d.nodes {
		if n.cmd != nil && !n.hasEnded() {
			_ = n.cmd.Process.Kill()
			<-n.ended
		}
	}
	if os.Getenv("KEEP_LOGS") != "" {
		fmt.Println("logs:", d.dir)

		return
	}
	_ = os.RemoveAll(d.dir)
}
