package main

import (
	"context"
	"errors"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"snipedyke/internal/demonstrator"
)

type demoCommand struct {
	Deployment string        `arg:"--deployment" help:"guild or valcollina; both by default"`
	Duration   time.Duration `arg:"--duration" help:"duration of the load, 2s to 1h; 12s by default"`
	JSON       bool          `arg:"--json" help:"print the report as JSON"`
	Keep       bool          `arg:"--keep" help:"keep nodes and stand-ins running after the report until interrupted"`
	Seed       uint64        `arg:"--seed" default:"1" help:"random seed of the request arrivals"`
	Traces     string        `arg:"--traces" placeholder:"DIR" help:"write the trace of one node of each deployment to this directory"`
}

// run runs the demo and writes its progress to standard error.
func (c *demoCommand) run(ctx context.Context, out io.Writer) error {
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	_, err := demonstrator.Run(ctx, demonstrator.Options{
		Deployment: c.Deployment,
		Duration:   c.Duration, JSON: c.JSON, Keep: c.Keep, Seed: c.Seed, Traces: c.Traces, Out: out, Progress: os.Stderr,
	})
	var e *demonstrator.Error
	if errors.As(err, &e) {
		switch e.Kind {
		case demonstrator.KindOption:
			return withExitCode(err, exitUsage)
		case demonstrator.KindStart:
			return withExitCode(err, exitStart)
		}
	}

	return err
}
