// Package demonstrator runs both deployments with their nodes and stand-ins in
// one process, generates a short mixed load and reports what callers observed.
package demonstrator

import (
	"context"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/sourcegraph/conc"
)

// DefaultDuration is the duration of the load.
const DefaultDuration = 12 * time.Second

// The accepted durations of the load. A load shorter than MinDuration leaves no
// time for a data centre to return to service.
const (
	MinDuration = 2 * time.Second
	MaxDuration = time.Hour
)

// Options configures Run.
type Options struct {
	// Deployment names one deployment; empty means both.
	Deployment string
	// Duration is the duration of the load; zero means DefaultDuration.
	Duration time.Duration
	// JSON reports whether to write the report as JSON instead of tables.
	JSON bool
	// Keep reports whether to keep everything running after the report, until
	// the context ends.
	Keep bool
	// Out receives the report, and Progress the progress lines; nil discards
	// them.
	Out      io.Writer
	Progress io.Writer
	// Seed seeds the random arrival times of requests.
	Seed uint64
	// Traces is the directory to which a trace of one node of each deployment is
	// written, or empty. The traces contain the outcomes that every run must
	// meet.
	Traces string
}

// Kind classifies an Error.
type Kind string

// The kinds of errors.
const (
	KindOption Kind = "invalid option"
	KindStart  Kind = "cannot start"
	// KindViolation is a wrong answer, a request that ran twice although it
	// must not be repeated, or a false statement about a run.
	KindViolation Kind = "a guarantee was violated"
	KindWrite     Kind = "cannot write"
)

// Error is an error of this package.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error returns the operation, the kind and the cause.
func (e *Error) Error() string { return fmt.Sprintf("demonstrator: %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// deploymentNames are the names of the deployments that Run accepts.
var deploymentNames = []string{"guild", "valcollina"}

// Run runs the demo. It returns an *Error of KindViolation, with the report, if
// a guarantee was violated.
func Run(ctx context.Context, opts Options) (Report, error) {
	if opts.Duration == 0 {
		opts.Duration = DefaultDuration
	}
	if opts.Duration < MinDuration || opts.Duration > MaxDuration {
		return Report{}, &Error{Op: "run", Kind: KindOption, Err: fmt.Errorf("duration %v; accepted: %v to %v", opts.Duration, MinDuration, MaxDuration)}
	}
	names := deploymentNames
	if opts.Deployment != "" {
		if !slices.Contains(deploymentNames, opts.Deployment) {
			return Report{}, &Error{Op: "run", Kind: KindOption, Err: fmt.Errorf("deployment %q; accepted: %s", opts.Deployment, strings.Join(deploymentNames, ", "))}
		}
		names = []string{opts.Deployment}
	}
	if opts.Out == nil {
		opts.Out = io.Discard
	}
	progress := &progress{out: opts.Progress, start: time.Now()}
	sites := make([]*site, len(names))
	errs := make([]error, len(names))
	var wg conc.WaitGroup
	for i, name := range names {
		wg.Go(func() { sites[i], errs[i] = startSite(ctx, name, opts.Seed+uint64(i), progress) })
	}
	wg.Wait()
	defer func() {
		for _, s := range sites {
			if s != nil {
				s.close()
			}
		}
	}()
	if err := errors.Join(errs...); err != nil {
		return Report{}, err
	}
	report := Report{Sites: make([]SiteReport, len(sites))}
	for i, s := range sites {
		wg.Go(func() { report.Sites[i], errs[i] = s.run(ctx, opts.Duration) })
	}
	wg.Wait()
	if err := errors.Join(errs...); err != nil {
		return report, &Error{Op: "run", Kind: KindStart, Err: err}
	}
	for _, s := range sites {
		if opts.Traces == "" {
			break
		}
		if err := s.writeTrace(opts.Traces); err != nil {
			return report, &Error{Op: "write trace", Kind: KindWrite, Err: err}
		}
	}
	report.setPassed()
	if err := report.write(opts.Out, opts.JSON); err != nil {
		return report, &Error{Op: "report", Kind: KindWrite, Err: err}
	}
	if opts.Keep {
		for _, s := range sites {
			s.printCalls(opts.Progress)
		}
		<-ctx.Done()
	}
	if !report.Passed {
		return report, &Error{Op: "run", Kind: KindViolation, Err: errors.New(report.violations())}
	}

	return report, nil
}

// progress writes progress lines, each with the time since the start.
type progress struct {
	mu    sync.Mutex
	out   io.Writer
	start time.Time
}

func (p *progress) printf(site, format string, args ...any) {
	if p.out == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	// A failure to write a progress line does not end the demo.
	_, _ = fmt.Fprintf(p.out, "%5.1fs %-10s %s\n", time.Since(p.start).Seconds(), site, fmt.Sprintf(format, args...))
}
