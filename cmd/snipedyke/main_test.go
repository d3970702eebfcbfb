package main

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"snipedyke/internal/administrator"
	"snipedyke/internal/assembler"
	"snipedyke/internal/configurer"
	"snipedyke/internal/recorder"
	"snipedyke/internal/reducer"
)

// runCommand runs the command with args and returns its exit code, standard
// output and standard error.
func runCommand(t *testing.T, args ...string) (int, string, string) {
	var out, errs bytes.Buffer
	code := run(t.Context(), args, &out, &errs)

	return code, out.String(), errs.String()
}

// Guards against changed exit codes, which scripts rely on.
func TestExitCodes(t *testing.T) {
	c := qt.New(t)
	dir := t.TempDir()
	bad := filepath.Join(dir, "bad.json")
	c.Assert(os.WriteFile(bad, []byte(`{"name": 5}`), 0o600), qt.IsNil)
	tests := []struct {
		want int
		args []string
	}{
		{exitOK, []string{"--help"}},
		{exitOK, []string{"out", "--help"}},
		{exitOK, []string{"version"}},
		{exitOK, []string{"check", "../../docs/samples/guild", "../../docs/samples/valcollina"}},
		{exitFailed, []string{"check", bad}},
		{exitFailed, []string{"check", dir}},
		{exitFailed, []string{"replay", dir}},
		{exitFailed, []string{"status", "--node", "127.0.0.1:1", "--token", "x"}},
		{exitUsage, nil},
		{exitUsage, []string{"dance"}},
		{exitUsage, []string{"serve"}},
		{exitUsage, []string{"out", "--node", "127.0.0.1:1"}},
		{exitUsage, []string{"in", "--id", "a", "--centre", "b"}},
		{exitUsage, []string{"status", "--node", "somewhere"}},
		{exitUsage, []string{"demo", "--duration", "1ms"}},
		{exitStart, []string{"serve", "--settings", bad}},
		{exitStart, []string{"serve", "--settings", filepath.Join(dir, "none")}},
	}
	for _, tt := range tests {
		code, out, errs := runCommand(t, tt.args...)
		c.Check(code, qt.Equals, tt.want, qt.Commentf("%q: %s%s", tt.args, out, errs))
		c.Check(errs == "", qt.Equals, tt.want == exitOK, qt.Commentf("%q: %s", tt.args, errs))
	}
	_, _, errs := runCommand(t, "check", bad)
	c.Check(errs, qt.Contains, "1 of 1 checks failed")
}

// Guards against a replay that succeeds although the trace misses a stated
// outcome.
func TestReplayFailsOnMissedOutcome(t *testing.T) {
	c := qt.New(t)
	write := func(name, bound string) string {
		path := filepath.Join(t.TempDir(), name)
		f, err := os.Create(path)
		c.Assert(err, qt.IsNil)
		err = recorder.Encode(f, &recorder.Trace{
			Header:   recorder.Header{Self: "a"},
			Events:   []recorder.Event{{Event: reducer.Tick{}}},
			Outcomes: []recorder.Outcome{{Name: "requests", Op: "=", Bound: bound}},
		}, true)
		c.Assert(errors.Join(err, f.Close()), qt.IsNil)

		return path
	}
	good, missed := write("good.trace.gz", "0"), write("missed.trace.gz", "1")
	code, first, _ := runCommand(t, "replay", good)
	c.Check(code, qt.Equals, exitOK)
	_, again, _ := runCommand(t, "replay", good)
	c.Check(again, qt.Equals, first)
	code, out, _ := runCommand(t, "replay", filepath.Dir(missed))
	c.Check(code, qt.Equals, exitFailed)
	c.Check(out, qt.Contains, "FAILED: requests = 1, got 0")
}

// Guards against administration commands that print no table or no JSON, and
// against a node that doesn't shut down on a signal.
func TestServeAndAdminister(t *testing.T) {
	c := qt.New(t)
	loopback := netip.MustParseAddrPort("127.0.0.1:0")
	n, err := assembler.New(assembler.Options{Output: io.Discard, Settings: configurer.Settings{
		Name: "a", DataCentre: "kochi", Listen: loopback, Peer: loopback, Admin: loopback, Secret: "0123456789abcdef", AdminToken: "token",
		Configuration: netip.MustParseAddrPort("127.0.0.1:1"), HostList: netip.MustParseAddrPort("127.0.0.1:1"), Drain: time.Minute,
	}})
	c.Assert(err, qt.IsNil)
	signals := make(chan os.Signal, 2)
	done := make(chan error, 1)
	go func() { done <- serve(t.Context(), n, signals) }()
	node := []string{"--node", n.AdminAddr().String(), "--token", "token"}
	for _, command := range []string{"status", "versions", "endpoints", "queues", "limits", "members", "decisions", "orders"} {
		code, out, errs := runCommand(t, append([]string{command}, node...)...)
		c.Check(code, qt.Equals, exitOK, qt.Commentf("%s: %s", command, errs))
		c.Check(strings.ToUpper(out[:4]), qt.Equals, out[:4], qt.Commentf("%s prints no header", command))
		code, out, _ = runCommand(t, append([]string{command, "--json"}, node...)...)
		c.Check(code, qt.Equals, exitOK)
		c.Check(strings.ContainsAny(out[:1], "[{"), qt.IsTrue, qt.Commentf("%s", out))
	}
	path := filepath.Join(t.TempDir(), "node.trace.gz")
	code, _, errs := runCommand(t, append([]string{"trace", "--output", path}, node...)...)
	c.Check(code, qt.Equals, exitOK, qt.Commentf("%s", errs))
	code, _, errs = runCommand(t, "replay", path)
	c.Check(code, qt.Equals, exitOK, qt.Commentf("%s", errs))
	signals <- syscall.SIGTERM
	c.Check(<-done, qt.IsNil)
}

// Guards against a node that a second signal doesn't end during its graceful
// shutdown.
func TestSecondSignalEndsNode(t *testing.T) {
	c := qt.New(t)
	signals := make(chan os.Signal, 2)
	signals <- syscall.SIGTERM
	signals <- syscall.SIGINT
	err := serve(t.Context(), stuckNode{}, signals)
	c.Assert(err, qt.ErrorIs, errSecondSignal)
	c.Check(exitCode(err), qt.Equals, exitFailed)
}

func TestEndpointTable(t *testing.T) {
	c := qt.New(t)
	var out bytes.Buffer
	printEndpoints(&out, []administrator.Endpoint{{Name: "e1", Pool: "p", Home: "a", State: "warm", Gap: 20 * time.Millisecond}})
	c.Check(strings.Split(out.String(), "\n")[1], qt.Matches, `e1 +p +- +a +warm +- +0 +0 +0 +0 +20ms`)
}

// stuckNode is a node whose graceful shutdown never completes.
type stuckNode struct{}

func (stuckNode) Leave() {}

func (stuckNode) Run(ctx context.Context) error {
	<-ctx.Done()

	return nil
}
