package assembler

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"
	"time"

	"snipedyke/internal/administrator"
	"snipedyke/internal/limiter"
	"snipedyke/internal/messenger"
	"snipedyke/internal/reducer"
	"snipedyke/internal/scheduler"
	"snipedyke/pkg/cataloguer"
	"snipedyke/pkg/encoder"
)

// adminNode implements administrator.Node.
type adminNode Node

// Ready implements administrator.Node.
func (n *adminNode) Ready() bool { return n.runner.Ready() }

// Leave implements administrator.Node.
func (n *adminNode) Leave() { (*Node)(n).Leave() }

// WriteTrace implements administrator.Node.
func (n *adminNode) WriteTrace(w io.Writer) error { return n.recorder.WriteTrace(w, true) }

// WriteMetrics implements administrator.Node.
func (n *adminNode) WriteMetrics(w io.Writer) { n.exporter.Write(w) }

// stoppedError returns the error of an operation on a node that has stopped.
func stoppedError(op string) error {
	return &administrator.Error{Op: op, Kind: administrator.KindStopped}
}

// CreateOrder implements administrator.Node.
func (n *adminNode) CreateOrder(o administrator.Order) error {
	c := n.runner.Catalogue()
	if c == nil || o.Centre != "" && c.DataCentres[o.Centre] == nil || o.Endpoint != "" && c.Endpoints[o.Endpoint] == nil {
		return &administrator.Error{
			Op: "create order", Kind: administrator.KindNotFound,
			Err: fmt.Errorf("the catalogue in force has no data centre or endpoint %q", o.Centre+o.Endpoint),
		}
	}

	return n.postOrder(encoder.Order{ID: o.ID, DataCentre: o.Centre, Endpoint: o.Endpoint, Left: o.Remaining.Microseconds()})
}

// Cancel implements administrator.Node.
func (n *adminNode) Cancel(id string) error {
	status, ok := (*Node)(n).Status()
	if !ok {
		return stoppedError("cancel order")
	}
	for _, o := range status.Orders {
		if o.ID == id {
			o.Cancelled = true

			return n.postOrder(o)
		}
	}

	return &administrator.Error{Op: "cancel order", Kind: administrator.KindNotFound, Err: fmt.Errorf("no order %q", id)}
}

// postOrder posts an order to the reducer and waits until it is processed.
func (n *adminNode) postOrder(o encoder.Order) error {
	n.runner.Post(reducer.OrderGiven{Order: o})
	if !n.runner.Inspect(func(*reducer.Reducer) {}) {
		return stoppedError("order")
	}

	return nil
}

// Status implements administrator.Node.
func (n *adminNode) Status() (*administrator.Status, error) {
	status, ok := (*Node)(n).Status()
	if !ok {
		return nil, stoppedError("status")
	}
	c := n.runner.Catalogue()
	if c == nil {
		c = &cataloguer.Catalogue{}
	}
	out := &administrator.Status{
		Versions: n.versions(&status), Members: n.members(&status),
		Endpoints: n.endpoints(&status, c), Queues: queues(&status), Limits: limits(&status, c),
		Orders: orders(&status), Marks: marks(&status), Decisions: n.decisions(),
	}

	return out, nil
}

func (n *adminNode) versions(status *reducer.Status) administrator.Versions {
	v := administrator.Versions{
		Node: status.Node, Incarnation: status.Incarnation, Build: n.opts.Build,
		Ready: status.Ready, Reason: string(status.Reason), Fresh: status.Members.Fresh, Leaving: status.Leaving,
		Catalogue: status.Catalogue, Epoch: status.Epoch, Hosts: status.Hosts, Covering: status.Records.Covering,
		Contact: -1, Peers: []administrator.PeerVersions{},
	}
	for _, m := range status.Members.Members {
		if m.Name != status.Node {
			v.Peers = append(v.Peers, administrator.PeerVersions{Node: m.Name, Alive: m.Alive, Catalogue: m.Catalogue, Hosts: m.Hosts})
		}
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.lastContact.IsZero() {
		v.Contact = time.Since(n.lastContact)
	}
	v.Refused = append([]administrator.Refusal{}, n.refusals...)

	return v
}

func (n *adminNode) members(status *reducer.Status) administrator.Members {
	links := map[string]messenger.PeerStats{}
	for _, p := range n.messenger.Stats().Peers {
		links[p.Name] = p
	}
	out := administrator.Members{Hosts: []administrator.Member{}, Pools: []administrator.Pool{}}
	for _, m := range status.Members.Members {
		l := links[m.Name]
		out.Hosts = append(out.Hosts, administrator.Member{
			Name: m.Name, Centre: m.DataCentre, Alive: m.Alive, Leaving: m.Leaving,
			Incarnation: m.Incarnation, SinceHeartbeat: m.SinceHeartbeat, Link: l.Address, Dropped: l.Dropped,
		})
	}
	loads := map[string]encoder.PoolLoad{}
	for _, p := range status.Pools {
		if p.Load != nil {
			loads[p.Pool] = *p.Load
		}
	}
	for _, p := range status.Members.Pools {
		l := loads[p.Pool]
		out.Pools = append(out.Pools, administrator.Pool{
			Name: p.Pool, Home: p.Home, Lenders: p.Lenders, Leases: p.Leases, Free: int(l.Free), Queued: int(l.Queued),
		})
	}

	return out
}

// endpoints returns the endpoints of the catalogue, sorted by name.
func (n *adminNode) endpoints(status *reducer.Status, c *cataloguer.Catalogue) []administrator.Endpoint {
	homes := map[string]string{}
	states := map[string]scheduler.EndpointStatus{}
	for _, p := range status.Pools {
		homes[p.Pool] = p.Home
		if p.LocalHome != nil && p.Home == status.Node {
			for _, e := range p.LocalHome.Endpoints {
				states[e.Name] = e
			}
		}
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	out := make([]administrator.Endpoint, 0, len(c.Endpoints))
	for _, name := range slices.Sorted(maps.Keys(c.Endpoints)) {
		e, state := c.Endpoints[name], states[name]
		item := administrator.Endpoint{
			Name: name, Pool: e.Pool, Centre: e.DataCentre, Home: homes[e.Pool], Slots: e.Slots, Cold: e.ColdSlots,
			State: string(state.State), Limit: state.Limit, Running: state.Running,
			Gap: time.Duration(state.Gap) * time.Microsecond,
		}
		if item.State != "" {
			item.Reason = n.stateReasons[name]
		}
		if reason := outOfServiceReason(status, c, e); reason != "" {
			item.Reason = reason
		}
		out = append(out, item)
	}

	return out
}

// outOfServiceReason returns the reason why an endpoint is out of service, or the
// empty string if it is in service.
func outOfServiceReason(status *reducer.Status, c *cataloguer.Catalogue, e *cataloguer.Endpoint) string {
	dc := c.DataCentres[e.DataCentre]
	switch {
	case e.OutOfService:
		return "catalogue: endpoint"
	case dc != nil && dc.OutOfService:
		return "catalogue: data centre"
	}
	for _, o := range status.Orders {
		if !o.Cancelled && (o.Endpoint == e.Name || o.DataCentre == e.DataCentre) {
			return "order " + o.ID
		}
	}

	return ""
}

// queues returns the queues of the pools whose home is this node, sorted by
// pool, tier and class.
func queues(status *reducer.Status) []administrator.Queue {
	out := []administrator.Queue{}
	for _, p := range status.Pools {
		if p.LocalHome == nil || p.Home != status.Node {
			continue
		}
		for _, c := range p.LocalHome.Classes {
			out = append(out, administrator.Queue{
				Pool: p.Pool, Class: c.Name, Tier: c.Tier, Reserved: c.Reserved, Running: c.Running, Queued: c.Queued,
				Oldest: time.Duration(c.Oldest) * time.Microsecond, Wait: time.Duration(c.Wait) * time.Microsecond,
			})
		}
	}
	slices.SortStableFunc(out, func(a, b administrator.Queue) int {
		return cmp.Or(cmp.Compare(a.Pool, b.Pool), cmp.Compare(a.Tier, b.Tier), cmp.Compare(a.Class, b.Class))
	})

	return out
}

// limits returns the limits of the entries of a catalogue and their use, sorted
// by entry.
func limits(status *reducer.Status, c *cataloguer.Catalogue) []administrator.Limit {
	usage := make(map[string]limiter.Usage, len(status.Usage))
	for _, u := range status.Usage {
		usage[u.Entry] = u
	}
	out := make([]administrator.Limit, 0, len(c.Entries))
	for _, name := range slices.Sorted(maps.Keys(c.Entries)) {
		e := c.Entries[name]
		out = append(out, administrator.Limit{
			Entry: name, Owner: e.Owner, Class: e.Class, Rate: e.Rate, Burst: e.Burst, Concurrent: e.MaxConcurrent,
			Running: usage[name].Running, Allowed: usage[name].Allowed,
		})
	}

	return out
}

func orders(status *reducer.Status) []administrator.Order {
	out := make([]administrator.Order, 0, len(status.Orders))
	for _, o := range status.Orders {
		out = append(out, administrator.Order{
			ID: o.ID, Centre: o.DataCentre, Endpoint: o.Endpoint, Cancelled: o.Cancelled,
			Remaining: time.Duration(o.Left) * time.Microsecond,
		})
	}

	return out
}

// markNames maps the states of marks to their names in the administration API.
var markNames = map[uint8]string{
	encoder.MarkSuspect: "suspect", encoder.MarkBlocked: "blocked", encoder.MarkCleared: "cleared",
}

func marks(status *reducer.Status) []administrator.Mark {
	out := make([]administrator.Mark, 0, len(status.Marks))
	for _, m := range status.Marks {
		out = append(out, administrator.Mark{
			Service: m.Service, Fingerprint: strconv.FormatUint(m.Fingerprint, 10), State: markNames[m.State],
			Age: time.Duration(m.Age) * time.Microsecond,
		})
	}

	return out
}

func (n *adminNode) decisions() []administrator.Decision {
	decisions := n.runner.Decisions()
	out := make([]administrator.Decision, 0, len(decisions))
	for _, d := range decisions {
		out = append(out, administrator.Decision{
			At: d.Time, ID: d.ID, Entry: d.Entry, Class: d.Class, Verdict: d.Verdict, Endpoint: d.Endpoint, Home: d.Home,
		})
	}

	return out
}
