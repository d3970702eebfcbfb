package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"os"
	"strings"
	"time"

	"snipedyke/internal/administrator"
)

// nodeArgs holds the options that select the node to call and the output format.
type nodeArgs struct {
	Node  netip.AddrPort `arg:"--node,env:SNIPEDYKE_NODE" default:"127.0.0.1:9090" placeholder:"ADDRESS" help:"administration address of the node"`
	Token string         `arg:"--token,env:SNIPEDYKE_TOKEN" help:"administration token"`
	JSON  bool           `arg:"--json" help:"print JSON"`
}

func (a nodeArgs) client() *administrator.Client {
	return administrator.NewClient(a.Node, a.Token)
}

// printResult prints the value of a call as JSON if a.JSON is set, or else by
// printText. It returns err if that is not nil.
func printResult[T any](a nodeArgs, out io.Writer, value T, err error, printText func(io.Writer, T)) error {
	if err != nil {
		return err
	}
	if a.JSON {
		e := json.NewEncoder(out)
		e.SetIndent("", "  ")

		return e.Encode(value)
	}
	printText(out, value)

	return nil
}

type statusCommand struct{ nodeArgs }

func (c *statusCommand) run(ctx context.Context, out io.Writer) error {
	s, err := c.client().Status(ctx)

	return printResult(c.nodeArgs, out, s, err, printStatus)
}

type versionsCommand struct{ nodeArgs }

func (c *versionsCommand) run(ctx context.Context, out io.Writer) error {
	v, err := c.client().Versions(ctx)

	return printResult(c.nodeArgs, out, v, err, printVersions)
}

type endpointsCommand struct{ nodeArgs }

func (c *endpointsCommand) run(ctx context.Context, out io.Writer) error {
	e, err := c.client().Endpoints(ctx)

	return printResult(c.nodeArgs, out, e, err, printEndpoints)
}

type queuesCommand struct{ nodeArgs }

func (c *queuesCommand) run(ctx context.Context, out io.Writer) error {
	q, err := c.client().Queues(ctx)

	return printResult(c.nodeArgs, out, q, err, printQueues)
}

type limitsCommand struct{ nodeArgs }

func (c *limitsCommand) run(ctx context.Context, out io.Writer) error {
	l, err := c.client().Limits(ctx)

	return printResult(c.nodeArgs, out, l, err, printLimits)
}

type membersCommand struct{ nodeArgs }

func (c *membersCommand) run(ctx context.Context, out io.Writer) error {
	m, err := c.client().Members(ctx)

	return printResult(c.nodeArgs, out, m, err, printMembers)
}

type decisionsCommand struct {
	nodeArgs
	Request uint64 `arg:"--request" help:"show only decisions about this request"`
	Entry   string `arg:"--entry" help:"show only decisions about this entry"`
	Class   string `arg:"--class" help:"show only decisions about this class"`
}

func (c *decisionsCommand) run(ctx context.Context, out io.Writer) error {
	d, err := c.client().Decisions(ctx, administrator.Filter{Request: c.Request, Entry: c.Entry, Class: c.Class})

	return printResult(c.nodeArgs, out, d, err, printDecisions)
}

type ordersCommand struct{ nodeArgs }

func (c *ordersCommand) run(ctx context.Context, out io.Writer) error {
	o, err := c.client().Orders(ctx)

	return printResult(c.nodeArgs, out, o, err, printOrders)
}

// targetArgs holds the options that name the target of an emergency order.
type targetArgs struct {
	Centre   string `arg:"--centre" help:"data centre"`
	Endpoint string `arg:"--endpoint" help:"endpoint"`
}

type outCommand struct {
	nodeArgs
	targetArgs
	Duration time.Duration `arg:"--duration" default:"1h" help:"time after which the order ends, at most 24h"`
}

func (c *outCommand) run(ctx context.Context, out io.Writer) error {
	if (c.Centre == "") == (c.Endpoint == "") {
		return usageError("exactly one of --centre and --endpoint is required")
	}
	o, err := c.client().CreateOrder(ctx, administrator.OrderRequest{Centre: c.Centre, Endpoint: c.Endpoint, Duration: c.Duration})

	return printResult(c.nodeArgs, out, []administrator.Order{o}, err, printOrders)
}

type inCommand struct {
	nodeArgs
	targetArgs
	ID string `arg:"--id" help:"id of the order to cancel; without it, all orders for the target are cancelled"`
}

func (c *inCommand) run(ctx context.Context, out io.Writer) error {
	selectors := 0
	for _, s := range []string{c.ID, c.Centre, c.Endpoint} {
		if s != "" {
			selectors++
		}
	}
	if selectors != 1 {
		return usageError("exactly one of --id, --centre and --endpoint is required")
	}
	ids := []string{c.ID}
	if c.ID == "" {
		orders, err := c.client().Orders(ctx)
		if err != nil {
			return err
		}
		ids = nil
		for _, o := range orders {
			if !o.Cancelled && o.Centre == c.Centre && o.Endpoint == c.Endpoint {
				ids = append(ids, o.ID)
			}
		}
		if len(ids) == 0 {
			return fmt.Errorf("no emergency order takes %s out; it may be out in the catalogue", c.Centre+c.Endpoint)
		}
	}
	for _, id := range ids {
		if err := c.client().Cancel(ctx, id); err != nil {
			return err
		}
		if _, err := fmt.Fprintln(out, "cancelled", id); err != nil {
			return err
		}
	}

	return nil
}

type leaveCommand struct{ nodeArgs }

func (c *leaveCommand) run(ctx context.Context, out io.Writer) error {
	if err := c.client().Leave(ctx); err != nil {
		return err
	}
	_, err := fmt.Fprintln(out, "graceful shutdown started")

	return err
}

type traceCommand struct {
	nodeArgs
	Output string `arg:"--output,required" placeholder:"FILE" help:"file to write, which must not exist"`
}

func (c *traceCommand) run(ctx context.Context, out io.Writer) error {
	// A trace contains callers' idempotency keys, so other users must not be able
	// to read it.
	f, err := os.OpenFile(c.Output, os.O_WRONLY|os.O_CREATE|os.O_EXCL, 0o600)
	if err != nil {
		return err
	}
	if err := errors.Join(c.client().Trace(ctx, f), f.Close()); err != nil {
		return errors.Join(err, os.Remove(c.Output))
	}
	_, err = fmt.Fprintln(out, "wrote", c.Output)

	return err
}

// formatDuration formats a duration with three significant digits at least.
func formatDuration(d time.Duration) string {
	switch {
	case d == 0:
		return "-"
	case d < 0:
		return "never"
	case d < time.Second:
		return d.Round(100 * time.Microsecond).String()
	default:
		return d.Round(10 * time.Millisecond).String()
	}
}

// dashIfEmpty returns a dash for a blank cell, and any other cell unchanged.
func dashIfEmpty(s string) string {
	if strings.TrimSpace(s) == "" {
		return "-"
	}

	return s
}
