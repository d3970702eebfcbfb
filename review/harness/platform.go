package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sort"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// recorder writes record.txt: one line for what was sent, answered and run.
type recorder struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecorder(path string) (*recorder, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}

	return &recorder{file: f, start: time.Now()}, nil
}

func (r *recorder) log(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%8.3f s  ", time.Since(r.start).Seconds()) + fmt.Sprintf(format, args...)
	fmt.Fprintln(r.file, line)
}

// item is an item of the store.
type item struct {
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Rev       uint64 `json:"rev"`
	Created   uint64 `json:"created,omitempty"`
	Lease     uint64 `json:"lease"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

// store is the platform's metadata store: linearizable reads and watches.
type store struct {
	addr string

	mu      sync.Mutex
	rev     uint64
	items   map[string]item
	history []item
	changed chan struct{}
	// denied reports whether the store turns a caller's address away.
	denied func(ip string) bool
}

func newStore() (*store, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{addr: ln.Addr().String(), rev: 10, items: map[string]item{}, changed: make(chan struct{})}
	go func() { _ = http.Serve(ln, s) }()

	return s, nil
}

// put writes a key. It returns when the write is acknowledged.
func (s *store) put(key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.write(item{Key: key, Value: data})
}

func (s *store) remove(key string) { s.write(item{Key: key, Tombstone: true}) }

func (s *store) write(i item) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	i.Rev = s.rev
	if old, ok := s.items[i.Key]; ok {
		i.Created = old.Created
	} else {
		i.Created = i.Rev
	}
	if i.Tombstone {
		delete(s.items, i.Key)
	} else {
		s.items[i.Key] = i
	}
	s.history = append(s.history, i)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	host, _, _ := net.SplitHostPort(r.RemoteAddr)
	s.mu.Lock()
	denied := s.denied
	s.mu.Unlock()
	if denied != nil && denied(host) {
		w.WriteHeader(http.StatusServiceUnavailable)

		return
	}
	time.Sleep(4 * time.Millisecond)
	q := r.URL.Query()
	w.Header().Set("Content-Type", "application/json")
	switch r.URL.Path {
	case rangePath:
		s.serveRange(w, q.Get("prefix"), q.Get("after"))
	case watchPath:
		after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
		wait, _ := strconv.Atoi(q.Get("waitMs"))
		s.serveWatch(w, r, q.Get("prefix"), after, time.Duration(wait)*time.Millisecond)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) serveRange(w http.ResponseWriter, prefix, after string) {
	s.mu.Lock()
	items, rev := []item{}, s.rev
	for key, i := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			items = append(items, i)
		}
	}
	s.mu.Unlock()
	sort.Slice(items, func(a, b int) bool { return items[a].Key < items[b].Key })
	_ = json.NewEncoder(w).Encode(map[string]any{"items": items, "truncated": false, "currentRev": rev})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request, prefix string, after uint64, wait time.Duration) {
	deadline := time.After(wait)
	for {
		s.mu.Lock()
		events, rev, changed := []item{}, s.rev, s.changed
		for _, i := range s.history {
			if i.Rev > after && strings.HasPrefix(i.Key, prefix) {
				events = append(events, i)
			}
		}
		s.mu.Unlock()
		ended := false
		if len(events) == 0 {
			select {
			case <-r.Context().Done():
				return
			case <-changed:
				continue
			case <-deadline:
				ended = true
			}
		}
		if ended || len(events) > 0 {
			_ = json.NewEncoder(w).Encode(map[string]any{"events": events, "currentRev": rev})

			return
		}
	}
}

// node is a process of the program under review.
type node struct {
	name, ip string
	cmd      *exec.Cmd
	settings string
	exited   chan struct{}
	// frozen reports whether the process is stopped.
	frozen bool
}

// front is the address that clients connect to.
func (n *node) front() string { return n.ip + ":" + strconv.Itoa(frontPort) }

// The ports are the same on all machines, as the pages say.
var frontPort, readyPort, metricsPort, peerPort, controlPort int

// pickPorts finds ports that are free on all addresses.
func pickPorts(ips []string) error {
	for _, p := range []*int{&frontPort, &readyPort, &metricsPort, &peerPort, &controlPort} {
		var err error
		for range 20 {
			if *p, err = freePort(ips); err == nil {
				break
			}
		}
		if err != nil {
			return err
		}
	}

	return nil
}

// freePort returns a port that is free for TCP and UDP on all addresses.
func freePort(ips []string) (int, error) {
	ln, err := net.Listen("tcp", ips[0]+":0")
	if err != nil {
		return 0, err
	}
	defer ln.Close()
	port := ln.Addr().(*net.TCPAddr).Port
	for i, ip := range ips {
		if i > 0 {
			other, err := net.Listen("tcp", net.JoinHostPort(ip, strconv.Itoa(port)))
			if err != nil {
				return 0, err
			}
			defer other.Close()
		}
		conn, err := net.ListenPacket("udp", net.JoinHostPort(ip, strconv.Itoa(port)))
		if err != nil {
			return 0, err
		}
		defer conn.Close()
	}

	return port, nil
}

// writeSettings writes a settings file as deploy/settings.json is filled in.
func (n *node) writeSettings(zone, storeAddr string, seeds []string) error {
	quoted := make([]string, len(seeds))
	for i, s := range seeds {
		quoted[i] = strconv.Quote(fmt.Sprintf("%s:%d", s, controlPort))
	}
	text := fmt.Sprintf(`{
  "name": %q, "centre": %q,
  "regions": [{ "centre": "municipio", "region": "valcollina" },{ "centre": "deposito-nord", "region": "valcollina" },{ "centre": "padiglione", "region": "valcollina" }],
  "callers": "%s:%d", "readiness": "%s:%d", "metrics": "%s:%d", "peers": "%s:%d",
  "seeds": [%s], "store": %q,
  "publication": "1200ms", "withdrawal": "5000ms", "grace": "8s",
  "cold": { "factor": 1.5, "slack": 5 }, "retries": { "window": "10s", "ratio": 0.2, "slack": 56 },
  "memory": 134, "descriptors": 4100, "outcomes": true, "speeds": true, "accounts": true,
}
`, n.name, zone, n.ip, frontPort, n.ip, readyPort, n.ip, metricsPort, n.ip, peerPort, strings.Join(quoted, ","), storeAddr)

	return os.WriteFile(n.settings, []byte(text), 0o644)
}

// startNode starts a process with the command of the deploy file.
func startNode(binary, dir, name, ip, zone, storeAddr string, seeds []string) (*node, error) {
	n := &node{name: name, ip: ip, settings: filepath.Join(dir, name+".json")}
	if err := n.writeSettings(zone, storeAddr, seeds); err != nil {
		return nil, err
	}

	return n, n.start(binary, dir)
}

func (n *node) start(binary, dir string) error {
	out, err := os.OpenFile(filepath.Join(dir, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	n.cmd = exec.Command(binary, "serve")
	n.cmd.Env = []string{"SNIPEDYKE_BOOT=" + n.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + dir}
	n.cmd.Stdout, n.cmd.Stderr = out, out
	n.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := n.cmd.Start(); err != nil {
		return err
	}
	n.exited = make(chan struct{})
	exited, cmd := n.exited, n.cmd
	go func() { _ = cmd.Wait(); close(exited); _ = out.Close() }()

	return nil
}

func (n *node) signal(s syscall.Signal) { _ = n.cmd.Process.Signal(s) }

func (n *node) running() bool {
	select {
	case <-n.exited:
		return false
	default:
		return true
	}
}

// kill ends the process.
func (n *node) kill() {
	if n.running() {
		n.signal(syscall.SIGKILL)
		<-n.exited
	}
}

// ready reports whether the readiness call answers 200.
func (n *node) ready() bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get(fmt.Sprintf("http://%s:%d/readyz", n.ip, readyPort))
	if err != nil {
		return false
	}
	_ = resp.Body.Close()

	return resp.StatusCode == http.StatusOK
}

func (n *node) awaitReady(limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if n.ready() {
			return nil
		}
	}

	return fmt.Errorf("node %s was not ready within %s", n.name, limit)
}
