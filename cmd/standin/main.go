// Command standin serves stand-ins for the external systems that a node uses.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"net/netip"
	"os"
	"os/signal"
	"slices"
	"syscall"
	"time"

	"github.com/alexflint/go-arg"

	"snipedyke/internal/standin"
)

// The exit codes.
const (
	exitOK = iota
	exitFailed
	exitUsage
)

// arguments holds the command-line arguments.
type arguments struct {
	Engine        *engineCommand        `arg:"subcommand:engine" help:"serve a model engine"`
	Service       *serviceCommand       `arg:"subcommand:service" help:"serve a plain service"`
	Configuration *configurationCommand `arg:"subcommand:configuration" help:"serve a configuration service and host list"`
	All           *allCommand           `arg:"subcommand:all" help:"serve all stand-ins of a deployment"`
}

// Description implements arg.Described.
func (arguments) Description() string {
	return "standin serves small stand-ins for model engines, plain services, the configuration service and the host list."
}

// Epilogue implements arg.Epilogued.
func (arguments) Epilogue() string {
	return `Each stand-in accepts control commands by POST /control, for example
{"crash": "2s"}, {"slow": 3}, {"cold": true}, {"drop": 2}, {"late": "300ms"},
{"lag": "2s"}, {"down": "5s"}, {"poison": "word"} or {"resume": false}; the
configuration service also {"stale": true}, {"publish": true},
{"out": "CENTRE"}, {"in": "CENTRE"} and {"epoch": true}, which a fleet needs
after its first start.
Engines and services log their runs at GET /runs.`
}

// command is a subcommand, which serves until ctx is cancelled.
type command interface {
	run(ctx context.Context, out io.Writer) error
}

// capacity holds the options common to engines and services.
type capacity struct {
	Listen  netip.AddrPort `arg:"--listen" default:"127.0.0.1:0" help:"address; port 0 takes a free port"`
	Name    string         `arg:"--name" default:"standin-1" help:"name of the stand-in in its log of runs"`
	Slots   int            `arg:"--slots" default:"8" help:"maximum number of requests that run concurrently"`
	Cold    int            `arg:"--cold" default:"2" help:"maximum number of running and waiting requests while cold"`
	Fragile bool           `arg:"--fragile" help:"crash above the cold limit instead of becoming slow"`
	Warm    bool           `arg:"--warm" help:"start warm"`
	Warmup  time.Duration  `arg:"--warmup" default:"2s" help:"minimum time from the first request until the stand-in is warm"`
	Load    time.Duration  `arg:"--load" default:"2s" help:"loading time after a crash"`
	Lag     time.Duration  `arg:"--lag" help:"age of load reports"`
}

func (c *capacity) options() standin.Capacity {
	return standin.Capacity{
		Slots: max(1, c.Slots), ColdSlots: max(1, c.Cold), Fragile: c.Fragile, Warm: c.Warm,
		Warmup: c.Warmup, LoadTime: c.Load, ReportAge: c.Lag,
	}
}

type engineCommand struct {
	capacity
	First   time.Duration `arg:"--first" default:"200ms" help:"time to the first token"`
	Gap     time.Duration `arg:"--gap" default:"20ms" help:"time between two tokens"`
	Tokens  int           `arg:"--tokens" default:"64" help:"mean length of a response in tokens"`
	Resumes bool          `arg:"--resumes" help:"resume broken streams"`
	Poison  string        `arg:"--poison" help:"word that crashes the engine"`
}

func (c *engineCommand) run(ctx context.Context, out io.Writer) error {
	e := standin.NewEngine(standin.EngineOptions{
		Name: c.Name, Capacity: c.options(), FirstToken: c.First, TokenInterval: c.Gap, MeanTokens: c.Tokens, Resumes: c.Resumes, Poison: c.Poison,
	})

	return serve(ctx, out, "engine", c.Listen, e)
}

type serviceCommand struct {
	capacity
	Service string        `arg:"--service" default:"service" help:"name of the service in responses"`
	Work    time.Duration `arg:"--work" default:"20ms" help:"duration of a call"`
}

func (c *serviceCommand) run(ctx context.Context, out io.Writer) error {
	s := standin.NewService(standin.ServiceOptions{Name: c.Name, Service: c.Service, Capacity: c.options(), CallDuration: c.Work})

	return serve(ctx, out, "service", c.Listen, s)
}

type configurationCommand struct {
	Listen    netip.AddrPort `arg:"--listen" default:"127.0.0.1:0" help:"address; port 0 takes a free port"`
	Directory string         `arg:"--directory,required" help:"directory of the documents and of hosts.json"`
}

func (c *configurationCommand) run(ctx context.Context, out io.Writer) error {
	s := standin.NewConfiguration()
	if err := s.PublishDirectory(c.Directory); err != nil {
		return err
	}

	return serve(ctx, out, "configuration", c.Listen, s)
}

// server is a stand-in that listens on an address.
type server interface {
	Start(addr netip.AddrPort) error
	Addr() netip.AddrPort
	Close()
}

// serve prints the address of a stand-in and serves it until ctx is cancelled.
func serve(ctx context.Context, out io.Writer, what string, addr netip.AddrPort, s server) error {
	if err := s.Start(addr); err != nil {
		return err
	}
	defer s.Close()
	if _, err := fmt.Fprintf(out, "%s http://%s\n", what, s.Addr()); err != nil {
		return err
	}
	<-ctx.Done()

	return nil
}

type allCommand struct {
	Deployment string `arg:"--deployment" default:"guild" help:"guild or valcollina"`
	Settings   string `arg:"--settings" help:"directory to write the nodes' settings to; a new one by default"`
	Nodes      int    `arg:"--nodes" help:"number of hosts in the host list; all of the deployment by default"`
	Port       uint16 `arg:"--port" default:"17000" help:"first port of the nodes, which take three each"`
}

func (c *allCommand) run(ctx context.Context, out io.Writer) error {
	site, err := standin.Deployment(c.Deployment)
	if err != nil {
		return err
	}
	f, err := standin.StartFleet(site.OnLoopback(c.Port, c.Nodes), standin.FleetOptions{})
	if err != nil {
		return err
	}
	defer f.Close()
	dir := c.Settings
	if dir == "" {
		if dir, err = os.MkdirTemp("", "snipedyke-"); err != nil {
			return err
		}
	}
	if err := f.WriteSettings(dir); err != nil {
		return err
	}
	if err := printDeployment(out, f, dir); err != nil {
		return err
	}
	<-ctx.Done()

	return nil
}

// printDeployment prints the addresses and keys of a deployment, and the command
// that starts each node.
func printDeployment(out io.Writer, f *standin.Fleet, dir string) error {
	w := &errWriter{out: out}
	w.printLine("configuration http://%s", f.Configuration.Addr())
	w.printLine("hosts http://%s", f.HostList.Addr())
	c := f.Site.Catalogue
	for _, name := range slices.Sorted(maps.Keys(c.Endpoints)) {
		w.printLine("endpoint %s http://%s", name, c.Endpoints[name].Address)
	}
	for _, name := range slices.Sorted(maps.Keys(f.Site.Keys)) {
		w.printLine("key %s %s", name, f.Site.Keys[name])
	}
	for _, h := range f.Site.Hosts.Hosts {
		w.printLine("node snipedyke serve --settings %s/%s.json", dir, h.Name)
	}

	return w.err
}

// errWriter writes lines until the first error, and keeps that error.
type errWriter struct {
	out io.Writer
	err error
}

func (w *errWriter) printLine(format string, args ...any) {
	if w.err == nil {
		_, w.err = fmt.Fprintf(w.out, format+"\n", args...)
	}
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	os.Exit(run(ctx, os.Args[1:], os.Stdout, os.Stderr))
}

// run executes the command that args specify and returns the exit code.
func run(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	var a arguments
	parser, err := arg.NewParser(arg.Config{Program: "standin", Out: stderr}, &a)
	if err != nil {
		_, _ = fmt.Fprintln(stderr, err)

		return exitUsage
	}
	err = parser.Parse(args)
	c, ok := parser.Subcommand().(command)
	switch {
	case errors.Is(err, arg.ErrHelp):
		parser.WriteHelp(stdout)

		return exitOK
	case err != nil || !ok:
		parser.WriteUsage(stderr)
		if err != nil {
			_, _ = fmt.Fprintln(stderr, "error:", err)
		}

		return exitUsage
	}
	if err := c.run(ctx, stdout); err != nil {
		_, _ = fmt.Fprintln(stderr, err)

		return exitFailed
	}

	return exitOK
}
