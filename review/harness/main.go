// Command review plays one case of an independent review. It starts the program
// under review as separate processes and plays the clients, the servers and the
// platform's store. It exits with 1 if the rule was broken, 0 if it held and 2 if
// the case could not run.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// run is the surroundings of a case.
type run struct {
	rec    *recorder
	binary string
	// dir holds the settings and the logs of the nodes.
	dir string
	// trouble reports whether the disruption takes place.
	trouble bool
	store   *store
	nodes   []*node
}

// cases holds the cases by name. Each reports whether the rule was broken.
var cases = map[string]func(*run) (broken bool, err error){
	"frozen-reset": frozenReset,
	"smuggled":     smuggled,
	"gone":         gone,
}

// maxRun is the time after which a case is given up.
const maxRun = 110 * time.Second

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: review CASE BINARY RECORD")
		os.Exit(2)
	}
	os.Exit(play(os.Args[1], os.Args[2], os.Args[3]))
}

func play(name, binary, record string) int {
	rec, err := newRecorder(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)

		return 2
	}
	r := &run{rec: rec, trouble: os.Getenv("TROUBLE") != "0"}
	if r.dir, err = os.MkdirTemp("", "review"); err != nil {
		rec.log("the case could not run: %v", err)

		return 2
	}
	defer r.end()
	type result struct {
		broken bool
		err    error
	}
	done := make(chan result, 1)
	go func() {
		broken, err := r.play(name, binary)
		done <- result{broken, err}
	}()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	res := result{err: errors.New("not finished in time")}
	select {
	case res = <-done:
	case <-signals:
		res.err = errors.New("interrupted")
	case <-time.After(maxRun):
	}
	switch {
	case res.err != nil:
		rec.log("the case could not run: %v", res.err)

		return 2
	case res.broken:
		rec.log("result: the rule was broken")

		return 1
	default:
		rec.log("result: the rule held")

		return 0
	}
}

func (r *run) play(name, binary string) (bool, error) {
	f := cases[name]
	if f == nil {
		return false, fmt.Errorf("unknown case %q", name)
	}
	var err error
	if r.binary, err = filepath.Abs(binary); err != nil {
		return false, err
	}
	if r.store, err = newStore(); err != nil {
		return false, err
	}
	if err := pickPorts(nodeIPs); err != nil {
		return false, err
	}

	return f(r)
}

// end ends all nodes and removes their files.
func (r *run) end() {
	for _, n := range r.nodes {
		n.kill()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(r.dir)
	} else {
		fmt.Println("kept", r.dir)
	}
}

// nodeIPs are the addresses of the machines. Their ports are the same, so each has
// an address of its own in the loopback network.
var nodeIPs = []string{"127.0.0.1", "127.0.0.2", "127.0.0.3"}

var zones = []string{"municipio", "deposito-nord", "padiglione"}

// startNodes starts the first count machines and waits until they are ready.
func (r *run) startNodes(count int) error {
	for i := range count {
		n, err := startNode(r.binary, r.dir, fmt.Sprintf("edge-%s-1", zones[i]), nodeIPs[i], zones[i], r.store.addr, nodeIPs[:count])
		if err != nil {
			return err
		}
		r.nodes = append(r.nodes, n)
	}
	for _, n := range r.nodes {
		if err := n.awaitReady(15 * time.Second); err != nil {
			return err
		}
	}

	return nil
}

// The operator's names.
const (
	host = "ficu95.example"
	key  = "xd9dnn2ctnfzs989anu6"
)

// manifest returns the manifest of a small deployment. The limits and times are
// those of the site prati-rota.
func manifest(version int, keys ...string) map[string]any {
	route := func(name, prefix, kind string, attempts, timeout, goal, gap int, resumable bool) map[string]any {
		return map[string]any{
			"name": name, "host": host, "prefix": prefix, "type": kind, "timeoutMs": timeout, "goalMs": goal, "priority": 2,
			"service": "booking", "attempts": attempts, "public": false, "sticky": false, "resumable": resumable, "gapTargetMs": gap,
		}
	}

	return map[string]any{
		"version": version,
		"routes": []any{
			route("r-confirm", "/confirm/", "unsafe", 1, 800, 300, 0, false),
			route("r-check", "/check/", "safe", 2, 800, 300, 0, false),
			route("r-digest", "/digest/", "streaming", 2, 4000, 500, 250, true),
			route("r-chat", "/chat/", "streaming", 1, 12000, 500, 150, false),
		},
		"services": []any{map[string]any{"name": "booking", "healthPath": "/healthz", "maxConns": 110, "protocol": "h1", "tls": false, "coldS": 0.0, "coldPerS": 0.0}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants":  []any{map[string]any{"name": "huka270", "apiKeys": keys, "priority": 1}},
	}
}
