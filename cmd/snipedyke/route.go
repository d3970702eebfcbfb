package main

import (
	"context"
	"errors"
	"io"
	"os"
	"os/signal"
	"syscall"

	"snipedyke/internal/assembler"
	"snipedyke/internal/configurer"
	"snipedyke/internal/timekeeper"
	"snipedyke/platform"
)

type routeCommand struct {
	Settings string `arg:"--settings" placeholder:"FILE" help:"settings file; by default the one that the platform names"`
}

// run runs a node on the users' platform. The log goes to standard output.
func (c *routeCommand) run(ctx context.Context, out io.Writer) error {
	path := c.Settings
	if path == "" {
		path = os.Getenv(platform.SettingsVariable)
	}
	if path == "" {
		return usageError("--settings is required where %s is not set", platform.SettingsVariable)
	}
	settings, err := configurer.LoadRouting(path)
	if err != nil {
		return withExit(err, exitStart)
	}
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	signal.Ignore(syscall.SIGHUP)
	n, err := assembler.NewRouting(assembler.RoutingOptions{
		Settings: settings, Output: out, Source: platform.NewStore(settings.Store),
		Protocol: platform.Protocol{}, Clock: timekeeper.New(), Build: buildVersion(),
	})
	if err != nil {
		return withExit(err, exitStart)
	}
	if err := n.Run(ctx); err != nil && !errors.Is(err, context.Canceled) {
		return err
	}

	return nil
}
