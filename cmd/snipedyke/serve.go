package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"snipedyke/internal/assembler"
	"snipedyke/internal/configurer"
	"snipedyke/platform"
)

type serveCommand struct {
	Settings string `arg:"--settings" placeholder:"FILE" help:"settings file; by default the one that the users' platform names"`
}

// run runs a node of the kind that its settings file specifies. A node that
// routes by host and path logs to standard output, any other node to standard
// error.
func (c *serveCommand) run(ctx context.Context, out io.Writer) error {
	path := c.Settings
	if path == "" {
		path = os.Getenv(platform.SettingsVariable)
	}
	if path == "" {
		return usageError("--settings is required where %s is not set", platform.SettingsVariable)
	}
	file, err := configurer.LoadFile(path)
	if err != nil {
		return withExitCode(err, exitStart)
	}
	switch s := file.(type) {
	case configurer.Routing:
		return serveRouting(ctx, path, s, out)
	case configurer.Settings:
		return serveModels(ctx, s)
	default:
		return withExitCode(fmt.Errorf("%s: unknown kind of settings", path), exitStart)
	}
}

// serveModels runs a node that routes language-model requests.
func serveModels(ctx context.Context, settings configurer.Settings) error {
	// It does not reload its settings.
	signal.Reset(syscall.SIGHUP)
	n, err := assembler.New(assembler.Options{Settings: settings, Output: os.Stderr, Build: buildVersion()})
	if err != nil {
		return withExitCode(err, exitStart)
	}
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	defer signal.Stop(signals)

	return serve(ctx, n, signals)
}

// errSecondSignal means that a second signal ended the node during its graceful
// shutdown.
var errSecondSignal = errors.New("a second signal ended the node during its graceful shutdown")

// node is the set of methods of a node that serve calls. Leave starts a graceful
// shutdown; Run returns when it is complete.
type node interface {
	Run(ctx context.Context) error
	Leave()
}

// serve runs a node until its Run method returns. The first signal starts a
// graceful shutdown; on the second, serve returns errSecondSignal without waiting
// for the node.
func serve(ctx context.Context, n node, signals <-chan os.Signal) error {
	done := make(chan error, 1)
	go func() { done <- n.Run(ctx) }()
	for left := false; ; left = true {
		select {
		case err := <-done:
			return err
		case <-signals:
			if left {
				return withExitCode(errSecondSignal, exitFailed)
			}
			n.Leave()
		}
	}
}

type checkCommand struct {
	Paths []string `arg:"positional,required" placeholder:"PATH" help:"settings files, and directories with the documents of a catalogue"`
}

func (c *checkCommand) run(_ context.Context, out io.Writer) error {
	failed := 0
	for _, path := range c.Paths {
		text, err := checkPath(path)
		if err != nil {
			failed++
			text = err.Error()
		}
		if _, err := fmt.Fprintf(out, "%s: %s\n", path, text); err != nil {
			return err
		}
	}
	if failed > 0 {
		return fmt.Errorf("%d of %d checks failed", failed, len(c.Paths))
	}

	return nil
}
