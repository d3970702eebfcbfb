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

// route runs a node that routes requests by host and path on the users'
// platform. The log goes to out.
func route(ctx context.Context, path string, settings configurer.Routing, out io.Writer) error {
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	defer signal.Stop(reload)
	n, err := assembler.NewRouting(assembler.RoutingOptions{
		Settings: settings, Output: out, Source: platform.NewStore(settings.Store),
		Protocol: platform.Protocol{}, Clock: timekeeper.New(), Build: buildVersion(),
	})
	if err != nil {
		return withExit(err, exitStart)
	}
	go watchSettings(ctx, path, reload, n)
	if err := n.Run(ctx); err != nil && !errors.Is(err, context.Canceled) {
		return err
	}

	return nil
}

// settingsInterval is the time between two looks at the settings file, which
// may change without a signal.
const settingsInterval = 2 * time.Second

// watchSettings reads the settings again on a signal and when the file has
// changed.
func watchSettings(ctx context.Context, path string, signals <-chan os.Signal, n *assembler.Routing) {
	ticker := time.NewTicker(settingsInterval)
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
			// The file is being replaced; a missing one is told on the signal.
			if signalled {
				n.RefuseSettings(err)
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
			err = errors.New("the file holds settings of another kind")
		}
		if err != nil {
			n.RefuseSettings(err)

			continue
		}
		n.Reload(settings)
	}
}
