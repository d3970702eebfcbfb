package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"time"

	"snipedyke/internal/director"
)

// placeCommand asks a routing node where a request would go now.
type placeCommand struct {
	Node     netip.AddrPort `arg:"--node,required" placeholder:"ADDRESS" help:"metrics address of the node"`
	Host     string         `arg:"--host,required" help:"host of the request"`
	Path     string         `arg:"--path,required" help:"path of the request"`
	Account  string         `arg:"--account" help:"name of the client account"`
	Name     string         `arg:"--name" help:"caller's name of the request, which selects the compared endpoints"`
	Tokens   int            `arg:"--tokens" help:"prompt tokens"`
	Shared   int            `arg:"--shared" help:"prompt tokens in parts that other requests share"`
	Part     string         `arg:"--part" placeholder:"HASH" help:"hash of the last shared part in hexadecimal"`
	Deadline time.Duration  `arg:"--deadline" help:"time that the caller waits"`
	JSON     bool           `arg:"--json" help:"print JSON"`
}

const (
	placeTimeout = 10 * time.Second
	// maxPlaceBytes bounds the answer of a node.
	maxPlaceBytes = 1 << 20
)

func (c *placeCommand) run(ctx context.Context, out io.Writer) error {
	q := url.Values{"host": {c.Host}, "path": {c.Path}, "tokens": {strconv.Itoa(c.Tokens)}, "shared": {strconv.Itoa(c.Shared)}}
	for field, value := range map[string]string{"account": c.Account, "name": c.Name, "part": c.Part} {
		if value != "" {
			q.Set(field, value)
		}
	}
	if c.Deadline != 0 {
		q.Set("deadline", c.Deadline.String())
	}
	ctx, cancel := context.WithTimeout(ctx, placeTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+c.Node.String()+"/place?"+q.Encode(), nil)
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxPlaceBytes))
	if err != nil {
		return err
	}
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("the node answered with status %d: %s", response.StatusCode, body)
	}
	var p director.Placement
	if err := json.Unmarshal(body, &p); err != nil {
		return fmt.Errorf("malformed answer of the node: %w", err)
	}

	return printResult(nodeArgs{JSON: c.JSON}, out, p, nil, printPlacement)
}

// printPlacement prints the outcome and a table of the candidates.
func printPlacement(out io.Writer, p director.Placement) {
	_, _ = fmt.Fprintln(out, describePlacement(p))
	if len(p.Candidates) == 0 {
		return
	}
	printTable(out, "ENDPOINT CENTRE STATE RUNNING TOKENS SLOWNESS FAILURES LOSS REMOTE COST WHY", func(row func(...any)) {
		for _, e := range p.Candidates {
			row(e.Endpoint, e.Centre, e.State, e.Running, math.Round(e.Tokens), fmt.Sprintf("%.2f", e.Slowness), fmt.Sprintf("%.2f", e.Failures),
				fmt.Sprintf("%.2f", e.Loss), joinFlags("remote", e.Remote), fmt.Sprintf("%.2f", e.Cost), e.Why)
		}
	})
	if p.Omitted > 0 {
		_, _ = fmt.Fprintf(out, "and %d more\n", p.Omitted)
	}
}

// describePlacement returns the outcome and its reason as one line.
func describePlacement(p director.Placement) string {
	failure := fmt.Sprintf("status %d, reason %s", p.Status, p.Reason)
	if p.Cause != "" {
		failure += " (" + p.Cause + ")"
	}
	if p.Retry > 0 {
		failure += ", Retry-After " + formatDuration(p.Retry)
	}
	switch {
	case p.Outcome == director.OutcomeSent && p.Probe:
		return "sent to " + p.Endpoint + " as a probe request"
	case p.Node != "":
		return "handed over to the node at " + p.Node
	case p.Outcome == director.OutcomeSent:
		return "sent to " + p.Endpoint + " of service " + p.Service
	case p.Outcome == director.OutcomeQueued:
		return "queued for " + formatDuration(p.Wait) + ", then rejected unless something changes: " + failure
	default:
		return string(p.Outcome) + ": " + failure
	}
}
