// Command soak runs real nodes under random faults and checks their promises.
package main

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"time"

	"github.com/alexflint/go-arg"

	"snipedyke/internal/soaker"
)

// arguments is the command line.
type arguments struct {
	Binary  string        `arg:"--binary,required" help:"program of the nodes"`
	Seed    uint64        `arg:"--seed" default:"1" help:"first seed"`
	Seeds   int           `arg:"--seeds" default:"1" help:"number of seeds"`
	Nodes   int           `arg:"--nodes" default:"4" help:"node processes"`
	Servers int           `arg:"--servers" default:"5" help:"servers"`
	Callers int           `arg:"--callers" default:"12" help:"callers"`
	Length  time.Duration `arg:"--length" default:"20s" help:"time under faults"`
	Logs    string        `arg:"--logs" help:"directory for the logs of failed seeds"`
}

// Description implements arg.Described.
func (arguments) Description() string {
	return "soak runs nodes as processes under random faults and checks what callers and endpoints see."
}

func main() {
	var a arguments
	arg.MustParse(&a)
	failed := 0
	for i := range a.Seeds {
		ok, err := run(a, a.Seed+uint64(i))
		if err != nil {
			fmt.Fprintln(os.Stderr, "error:", err)
			os.Exit(1)
		}
		if !ok {
			failed++
		}
	}
	fmt.Printf("%d of %d seeds failed\n", failed, a.Seeds)
	if failed > 0 {
		os.Exit(1)
	}
}

// run runs one seed and prints what it found.
func run(a arguments, seed uint64) (ok bool, err error) {
	out := io.Discard
	path := filepath.Join(a.Logs, fmt.Sprintf("soak-%d.log", seed))
	if a.Logs != "" {
		f, err := os.Create(path)
		if err != nil {
			return false, err
		}
		defer func() { _ = f.Close() }()
		out = f
	}
	r, err := soaker.Run(soaker.Options{
		Binary: a.Binary, Nodes: a.Nodes, Servers: a.Servers, Seed: seed, Length: a.Length, Callers: a.Callers, Output: out,
	})
	if err != nil {
		return false, err
	}
	fmt.Printf("seed %d: %d faults, %d attempts, %d ran, %.3f succeeded in the calm, %d violations\n",
		seed, r.Faults, r.Attempts, r.Runs, r.Calm, len(r.Violations))
	for _, v := range r.Violations {
		fmt.Println("  ", v)
	}
	if len(r.Violations) == 0 && a.Logs != "" {
		return true, os.Remove(path)
	}

	return len(r.Violations) == 0, nil
}
