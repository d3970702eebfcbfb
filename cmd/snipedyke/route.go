package main

import (
	"context"
	"errors"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"snipedyke/internal/assembler"
	"snipedyke/internal/configurer"
	"snipedyke/internal/timekeeper"
	"snipedyke/platform"
)

// serveRouting runs a node that routes requests by host and path. It writes the
// log to out, and reloads the settings from path when they change.
func serveRouting(ctx context.Context, path string, settings configurer.Routing, out io.Writer) error {
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	n, err := assembler.NewRoutingNode(assembler.RoutingNodeOptions{
		Settings: settings, Output: out, Source: platform.NewStore(settings.Store),
		Protocol: platform.Protocol{}, Clock: timekeeper.New(), Build: buildVersion(),
	})
	if err != nil {
		return withExitCode(err, exitStart)
	}
	go watchSettings(ctx, path, hangup, n)
	if err := n.Run(ctx); err != nil && !errors.Is(err, context.Canceled) {
		return err
	}

	return nil
}

// settingsPollInterval is the interval at which the settings file is polled,
// because it may change without a signal.
const settingsPollInterval = 2 * time.Second

// watchSettings reloads the settings on a signal, and when the modification time
// or size of the file has changed.
func watchSettings(ctx context.Context, path string, signals <-chan os.Signal, n *assembler.RoutingNode) {
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	last, _ := os.Stat(path)
	for {
		signalled := false
		select {
		case <-ctx.Done():
			return
		case <-signals:
			signalled = true
		case <-ticker.C:
		}
		now, err := os.Stat(path)
		if err != nil {
			// The file may be missing while it is replaced, so this is an error
			// only on a signal.
			if signalled {
				n.LogInvalidSettings(err)
			}

			continue
		}
		same := last != nil && now.ModTime().Equal(last.ModTime()) && now.Size() == last.Size()
		if same && !signalled {
			continue
		}
		last = now
		file, err := configurer.LoadFile(path)
		settings, ok := file.(configurer.Routing)
		if err == nil && !ok {
			err = errors.New("the settings file is not for a routing node")
		}
		if err != nil {
			n.LogInvalidSettings(err)

			continue
		}
		n.Reload(settings)
	}
}
