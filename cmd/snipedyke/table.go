package main

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"snipedyke/internal/administrator"
)

// printTable prints rows with aligned columns. The header holds the column names,
// separated by spaces; rows calls its argument once for each row.
func printTable(out io.Writer, header string, rows func(row func(cells ...any))) {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, strings.ReplaceAll(header, " ", "\t"))
	rows(func(cells ...any) {
		text := make([]string, 0, len(cells))
		for _, c := range cells {
			if d, ok := c.(time.Duration); ok {
				c = formatDuration(d)
			}
			text = append(text, dashIfEmpty(fmt.Sprint(c)))
		}
		_, _ = fmt.Fprintln(w, strings.Join(text, "\t"))
	})
	_ = w.Flush()
}

// joinFlags takes pairs of a name and a bool, and returns the names whose bool is
// true, separated by commas.
func joinFlags(pairs ...any) string {
	var set []string
	for i := 0; i+1 < len(pairs); i += 2 {
		if pairs[i+1].(bool) {
			set = append(set, pairs[i].(string))
		}
	}

	return strings.Join(set, ",")
}

func printStatus(out io.Writer, s administrator.Status) {
	v := s.Versions
	alive, linked, queued, running := 0, 0, 0, 0
	for _, m := range s.Members.Hosts {
		if m.Alive {
			alive++
		}
		if m.Link != "" {
			linked++
		}
	}
	states := map[string]int{}
	for _, e := range s.Endpoints {
		states[e.State]++
	}
	for _, q := range s.Queues {
		queued += q.Queued
		running += q.Running
	}
	printTable(out, "FIELD VALUE", func(row func(...any)) {
		row("node", v.Node)
		row("build", v.Build)
		row("state", joinFlags("ready", v.Ready, "not-ready", !v.Ready, "stale-view", !v.Fresh, "leaving", v.Leaving))
		row("reason", v.Reason)
		row("covers its keys", v.Covering)
		row("catalogue", fmt.Sprintf("%d (epoch %d)", v.Catalogue, v.Epoch))
		row("host list", v.Hosts)
		row("service contact", v.Contact)
		row("refused publications", len(v.Refused))
		row("members", fmt.Sprintf("%d published, %d alive, %d linked", len(s.Members.Hosts), alive, linked))
		row("emergency orders", len(s.Orders))
		for _, state := range []string{"suspect", "blocked"} {
			count := 0
			for _, m := range s.Marks {
				if m.State == state {
					count++
				}
			}
			row(state+" requests", count)
		}
		for _, state := range []string{"cold", "warming", "warm", "failed", "probing", "out"} {
			if states[state] > 0 {
				row("endpoints "+state, states[state])
			}
		}
		if n := states[""]; n > 0 {
			row("endpoints of other homes", n)
		}
		row("requests running", running)
		row("requests queued", queued)
	})
}

func printVersions(out io.Writer, v administrator.Versions) {
	printTable(out, "NODE CATALOGUE EPOCH HOSTS STATE", func(row func(...any)) {
		row(v.Node, v.Catalogue, v.Epoch, v.Hosts, joinFlags("ready", v.Ready, "stale-view", !v.Fresh, "leaving", v.Leaving))
		for _, p := range v.Peers {
			row(p.Node, p.Catalogue, "", p.Hosts, joinFlags("alive", p.Alive, "lost", !p.Alive))
		}
	})
	for _, r := range v.Refused {
		_, _ = fmt.Fprintf(out, "\nrefused %s %d from %s at %s:\n%s\n", r.Document, r.Version, r.Source, r.At.Format(time.RFC3339), r.Error)
	}
}

func printEndpoints(out io.Writer, endpoints []administrator.Endpoint) {
	printTable(out, "ENDPOINT POOL CENTRE HOME STATE WHY RUNNING LIMIT COLD SLOTS GAP", func(row func(...any)) {
		for _, e := range endpoints {
			row(e.Name, e.Pool, e.Centre, e.Home, e.State, e.Reason, e.Running, e.Limit, e.Cold, e.Slots, e.Gap)
		}
	})
}

func printQueues(out io.Writer, queues []administrator.Queue) {
	printTable(out, "POOL CLASS TIER RESERVED RUNNING QUEUED OLDEST WAIT", func(row func(...any)) {
		for _, q := range queues {
			row(q.Pool, q.Class, q.Tier, q.Reserved, q.Running, q.Queued, q.Oldest, q.Wait)
		}
	})
}

func printLimits(out io.Writer, limits []administrator.Limit) {
	printTable(out, "ENTRY OWNER CLASS RATE BURST CONCURRENT RUNNING ALLOWED", func(row func(...any)) {
		for _, l := range limits {
			row(l.Entry, l.Owner, l.Class, l.Rate, l.Burst, l.Concurrent, l.Running, l.Allowed)
		}
	})
}

func printMembers(out io.Writer, m administrator.Members) {
	printTable(out, "HOST CENTRE STATE INCARNATION SILENCE LINK DROPPED", func(row func(...any)) {
		for _, h := range m.Hosts {
			state := joinFlags("alive", h.Alive, "lost", !h.Alive, "leaving", h.Leaving)
			row(h.Name, h.Centre, state, h.Incarnation, h.SinceHeartbeat, h.Link, h.Dropped)
		}
	})
	_, _ = fmt.Fprintln(out)
	printTable(out, "POOL HOME LEASES FREE QUEUED LENDERS", func(row func(...any)) {
		for _, p := range m.Pools {
			row(p.Name, p.Home, p.Leases, p.Free, p.Queued, strings.Join(p.Lenders, ","))
		}
	})
}

func printDecisions(out io.Writer, decisions []administrator.Decision) {
	printTable(out, "TIME REQUEST ENTRY CLASS VERDICT ENDPOINT HOME", func(row func(...any)) {
		for _, d := range decisions {
			row(d.At.Format(time.RFC3339Nano), d.ID, d.Entry, d.Class, d.Verdict, d.Endpoint, d.Home)
		}
	})
}

func printOrders(out io.Writer, orders []administrator.Order) {
	printTable(out, "ORDER CENTRE ENDPOINT LEFT STATE", func(row func(...any)) {
		for _, o := range orders {
			row(o.ID, o.Centre, o.Endpoint, o.Remaining, joinFlags("in-force", !o.Cancelled, "cancelled", o.Cancelled))
		}
	})
}
