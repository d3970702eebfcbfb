// Command soak runs nodes as processes under random faults and checks the
// service guarantees.
package main

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"time"

	"github.com/alexflint/go-arg"

	"snipedyke/internal/soaker"
	"snipedyke/platform/standin"
)

// arguments holds the command-line arguments.
type arguments struct {
	Binary   string        `arg:"--binary,required" help:"path of the snipedyke executable"`
	Seed     uint64        `arg:"--seed" default:"1" help:"first seed"`
	Seeds    int           `arg:"--seeds" default:"1" help:"number of seeds"`
	Nodes    int           `arg:"--nodes" default:"4" help:"number of node processes"`
	Servers  int           `arg:"--servers" default:"5" help:"number of stand-in servers"`
	Callers  int           `arg:"--callers" default:"12" help:"number of callers"`
	Limits   bool          `arg:"--limits" help:"press the limits that all nodes share, with more callers and further faults"`
	Load     bool          `arg:"--load" help:"degrade servers and let accounts burst, with overload control enabled"`
	Harmful  bool          `arg:"--harmful" help:"send a request that crashes each server that runs it; its kind depends on the seed"`
	Unframed bool          `arg:"--unframed" help:"run servers as processes that are killed or reset while they send responses without a length or chunks"`
	Brittle  bool          `arg:"--brittle" help:"let all servers be brittle for a time in which callers send more than they can run"`
	Series   bool          `arg:"--series" help:"send signals to nodes and change the manifest in series that overlap, beside callers that leave before they have a response"`
	Mature   bool          `arg:"--mature" help:"send no SIGHUP of a series to processes younger than 0.1 s, which the system may end"`
	Calm     bool          `arg:"--calm" help:"inject no faults but those that other flags name"`
	Length   time.Duration `arg:"--length" default:"20s" help:"time during which faults are injected"`
	Logs     string        `arg:"--logs" help:"directory for the logs of failed seeds, created if missing [default: that for temporary files]"`
}

// Description implements arg.Described.
func (arguments) Description() string {
	return "soak runs nodes as processes under random faults and checks the service guarantees against what callers and endpoints observe. In even seeds, endpoints are also replaced by ones of newer software versions."
}

func main() {
	if len(os.Args) == 2 && os.Args[1] == soaker.ServerCommand {
		if err := standin.ServeProcess(os.Stdin, os.Stdout); err != nil {
			fmt.Fprintln(os.Stderr, "error:", err)
			os.Exit(1)
		}

		return
	}
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

// run runs the soak test of one seed and prints its result. ok reports whether
// it found no violation.
func run(a arguments, seed uint64) (ok bool, err error) {
	path, err := withLog(a.Logs, seed, func(log io.Writer) (bool, error) {
		r, err := soaker.Run(soaker.Options{
			Binary: a.Binary, Nodes: a.Nodes, Servers: a.Servers, Seed: seed, Length: a.Length, Callers: a.Callers, Limits: a.Limits, Load: a.Load, Harmful: a.Harmful, Unframed: a.Unframed, Brittle: a.Brittle, Series: a.Series, Mature: a.Mature, Calm: a.Calm, Output: log,
		})
		if err != nil {
			return false, err
		}
		fmt.Printf("seed %d: %d faults, %d attempts, %d ran, %.3f succeeded after the faults, %d of %d streams went on, %d violations\n",
			seed, r.Faults, r.Attempts, r.Runs, r.FinalSuccessRate, r.TakeUps.WentOn, r.TakeUps.Taken, len(r.Violations))
		if a.Limits {
			fmt.Printf("   at most %d requests in a second to a cold server, %d of %.1f repeats\n", r.Peaks.Cold, r.Peaks.Repeats, r.Peaks.AllowedRepeats)
		}
		if a.Load {
			fmt.Printf("   %d requests met a reset and could be repeated, %d returns of servers and %d accounts beside a burst checked\n", r.LoadChecks.Resets, r.LoadChecks.Returns, r.LoadChecks.Accounts)
		}
		if a.Unframed {
			fmt.Printf("   %d responses without framing began, %d were not received whole\n", r.Unframed.Begun, r.Unframed.Partial)
		}
		if a.Harmful {
			fmt.Printf("   the harmful request crashed %d servers\n", r.Crashes)
		}
		if a.Brittle {
			fmt.Printf("   %d brittle servers have failed, %d of them because of sound nodes\n", r.Falls, r.CountedFalls)
		}
		for _, v := range r.Violations {
			fmt.Println("  ", v)
		}

		return len(r.Violations) == 0, nil
	})
	if path != "" {
		fmt.Println("   log:", path)
	}

	return path == "" && err == nil, err
}

// withLog runs test with a log file in dir, or in the directory for temporary
// files if dir is empty. It removes the file if the test passes, and returns its
// path otherwise.
func withLog(dir string, seed uint64, test func(log io.Writer) (ok bool, err error)) (path string, err error) {
	f, err := createLog(dir, seed)
	if err != nil {
		return "", err
	}
	ok, err := test(f)
	if closeErr := f.Close(); err == nil {
		err = closeErr
	}
	if !ok || err != nil {
		return f.Name(), err
	}

	return "", os.Remove(f.Name())
}

func createLog(dir string, seed uint64) (*os.File, error) {
	if dir == "" {
		return os.CreateTemp("", fmt.Sprintf("soak-%d-*.log", seed))
	}
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, err
	}

	return os.Create(filepath.Join(dir, fmt.Sprintf("soak-%d.log", seed)))
}
