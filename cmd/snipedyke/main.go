// Command snipedyke runs a node and administers running nodes.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/alexflint/go-arg"
	"github.com/ansel1/merry/v2"
)

// The exit codes.
const (
	exitOK = iota
	// exitFailed means that a check or a call failed, or that a second signal ended
	// the node.
	exitFailed
	exitUsage
	// exitStart means that the node could not start.
	exitStart
)

// arguments holds the command-line arguments.
type arguments struct {
	Serve     *serveCommand     `arg:"subcommand:serve" help:"run a node"`
	Check     *checkCommand     `arg:"subcommand:check" help:"check settings files, traces and directories with a catalogue"`
	Status    *statusCommand    `arg:"subcommand:status" help:"show a summary of a node's state"`
	Versions  *versionsCommand  `arg:"subcommand:versions" help:"show the versions in force at the node and its peers, and refused publications"`
	Endpoints *endpointsCommand `arg:"subcommand:endpoints" help:"show endpoints with their state and its reason"`
	Queues    *queuesCommand    `arg:"subcommand:queues" help:"show queues by pool and class"`
	Limits    *limitsCommand    `arg:"subcommand:limits" help:"show the limits of entries"`
	Members   *membersCommand   `arg:"subcommand:members" help:"show the hosts and the homes of pools"`
	Decisions *decisionsCommand `arg:"subcommand:decisions" help:"show the latest decisions about requests"`
	Orders    *ordersCommand    `arg:"subcommand:orders" help:"show the emergency orders"`
	Out       *outCommand       `arg:"subcommand:out" help:"give an emergency order that takes a data centre or an endpoint out"`
	In        *inCommand        `arg:"subcommand:in" help:"cancel an emergency order"`
	Leave     *leaveCommand     `arg:"subcommand:leave" help:"shut a node down gracefully"`
	Trace     *traceCommand     `arg:"subcommand:trace" help:"download a node's recording"`
	Explain   *explainCommand   `arg:"subcommand:explain" help:"print the log lines about one request"`
	Place     *placeCommand     `arg:"subcommand:place" help:"show where a routing node would send a request now, and why"`
	Replay    *replayCommand    `arg:"subcommand:replay" help:"replay trace files and check their stated outcomes"`
	Demo      *demoCommand      `arg:"subcommand:demo" help:"run both deployments with stand-ins and a short mixed load"`
	Version   *versionCommand   `arg:"subcommand:version" help:"print the version"`
}

// Description implements arg.Described.
func (arguments) Description() string {
	return "snipedyke routes language-model traffic with service levels and priorities."
}

// Epilogue implements arg.Epilogued.
func (arguments) Epilogue() string {
	return `Administration commands call the node at --node (or SNIPEDYKE_NODE) with the
token in SNIPEDYKE_TOKEN (or --token, which other users of the host can see).

Exit codes: 0 success; 1 a check or a call failed, or a second signal ended a
node at once; 2 wrong usage; 3 a node cannot start.`
}

// command is a subcommand.
type command interface {
	run(ctx context.Context, out io.Writer) error
}

// exitCodeKey is the key of the exit code attached to an error.
type exitCodeKey struct{}

// withExitCode attaches an exit code to an error.
func withExitCode(err error, code int) error {
	return merry.Wrap(err, merry.WithValue(exitCodeKey{}, code), merry.NoCaptureStack())
}

// exitCode returns the exit code attached to an error, or exitFailed if there is
// none.
func exitCode(err error) int {
	if code, ok := merry.Value(err, exitCodeKey{}).(int); ok {
		return code
	}

	return exitFailed
}

// hangup receives SIGHUP, which would end the process by default.
var hangup = make(chan os.Signal, 1)

func main() {
	// A node may be told to reload its settings before it has read them.
	if len(os.Args) > 1 && os.Args[1] == "serve" {
		signal.Notify(hangup, syscall.SIGHUP)
	}
	os.Exit(run(context.Background(), os.Args[1:], os.Stdout, os.Stderr))
}

// run executes the command that args specify and returns the exit code.
func run(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	var a arguments
	parser, err := arg.NewParser(arg.Config{Program: "snipedyke", Out: stderr}, &a)
	if err != nil {
		_, _ = fmt.Fprintln(stderr, err)

		return exitUsage
	}
	err = parser.Parse(args)
	c, ok := parser.Subcommand().(command)
	switch {
	case errors.Is(err, arg.ErrHelp):
		if err := parser.WriteHelpForSubcommand(stdout, parser.SubcommandNames()...); err != nil {
			return exitUsage
		}

		return exitOK
	case err == nil && !ok:
		err = errors.New("a command is required")
		fallthrough
	case err != nil:
		_ = parser.WriteUsageForSubcommand(stderr, parser.SubcommandNames()...)
		_, _ = fmt.Fprintln(stderr, "error:", err)

		return exitUsage
	}
	if err := c.run(ctx, stdout); err != nil {
		_, _ = fmt.Fprintln(stderr, "error:", err)

		return exitCode(err)
	}

	return exitOK
}

// usageError returns an error about invalid arguments, with exit code exitUsage.
func usageError(format string, args ...any) error {
	return withExitCode(fmt.Errorf(format, args...), exitUsage)
}

type versionCommand struct{}

func (*versionCommand) run(_ context.Context, out io.Writer) error {
	_, err := fmt.Fprintln(out, "snipedyke", buildVersion())

	return err
}

// buildVersion returns the module version recorded in the binary, the commit for
// a development build, or "unknown" if the binary has no build information.
func buildVersion() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	version := info.Main.Version
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" && version == "(devel)" {
			version = s.Value
		}
	}

	return version
}
