package assembler

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"time"

	"snipedyke/internal/logger"
	"snipedyke/internal/messenger"
	"snipedyke/internal/reducer"
)

// monitorInterval is the age that metrics may have.
const monitorInterval = time.Second

// serviceSilence is the time without contact after which the configuration
// service counts as lost. It covers the longest time between two checks of a
// node that is no reader, 30 s, and one failed call.
const serviceSilence = 45 * time.Second

// fullInterval spaces the log events of a full record table.
const fullInterval = time.Minute

// watched is what the monitor saw last.
type watched struct {
	status  reducer.Status
	lost    bool
	dropped map[string]uint64
}

// monitor renews the status for metrics, tells the watcher whether the node
// reads the configuration service for its data centre, and logs what has
// changed since its last look.
func (n *Node) monitor(ctx context.Context) error {
	ticker := time.NewTicker(monitorInterval)
	defer ticker.Stop()
	last := watched{dropped: map[string]uint64{}}
	started := time.Now()
	for {
		if s, ok := n.Status(); ok {
			n.latest.Store(&s)
			n.watcher.SetReader(s.Members.Reader)
			n.forgetReasons()
			n.logChanges(&last.status, &s)
			last.status = s
		}
		n.logService(&last, started)
		n.logDropped(last.dropped)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// logChanges logs what differs between two looks at the reducer.
func (n *Node) logChanges(before, now *reducer.Status) {
	switch {
	case now.Ready && !before.Ready:
		n.logger.Event(logger.NodeReady, "catalogue", now.Catalogue, "hosts", now.Hosts)
	case !now.Ready && before.Ready:
		n.logger.Event(logger.NodeNotReady, "reason", string(now.Reason))
	}
	switch {
	case now.Records.Covering && !before.Records.Covering:
		n.logger.Event(logger.RecordsCovering, "hosts", now.Hosts, "records", now.Records.Size)
	case !now.Records.Covering && (before.Records.Covering || before.Hosts == 0 && now.Hosts > 0):
		n.logger.Event(logger.RecordsNotCovering, "hosts", now.Hosts)
	}
	if before.Catalogue > 0 && now.Epoch > before.Epoch {
		n.logger.Event(logger.EpochRaised, "epoch", now.Epoch, "former", before.Epoch)
	}
}

// logService logs when the configuration service is lost and when it is back.
func (n *Node) logService(last *watched, started time.Time) {
	n.mu.Lock()
	contact := n.contact
	n.mu.Unlock()
	if contact.Before(started) {
		contact = started
	}
	age := time.Since(contact)
	lost := age > serviceSilence
	if lost && !last.lost {
		n.logger.Event(logger.ServiceUnreachable, "age", age)
	}
	if !lost && last.lost {
		n.logger.Event(logger.ServiceReachable)
	}
	last.lost = lost
}

// logDropped logs the links whose queue has overflowed.
func (n *Node) logDropped(before map[string]uint64) {
	for _, p := range n.messenger.Stats().Peers {
		if p.Dropped > before[p.Name] {
			n.logger.Event(logger.MessagesDropped, "peer", p.Name, "messages", p.Dropped-before[p.Name])
		}
		// A new link counts from zero again.
		before[p.Name] = p.Dropped
	}
}

// meter is an exporter that also logs when the record table is full.
type meter struct{ n *Node }

// Count implements runner.Meter.
func (m meter) Count(e reducer.Count) {
	m.n.exporter.Count(e)
	if e.Counter != reducer.CounterRefusals || e.Label != string(reducer.ReasonRecordsFull) {
		return
	}
	m.n.mu.Lock()
	due := time.Since(m.n.fullLogged) >= fullInterval
	if due {
		m.n.fullLogged = time.Now()
	}
	m.n.mu.Unlock()
	if due {
		m.n.logger.Event(logger.RecordsFull)
	}
}

// Observe implements runner.Meter.
func (m meter) Observe(e reducer.Observe) { m.n.exporter.Observe(e) }

// forgetReasons drops the reasons of endpoints that the catalogue no longer
// has.
func (n *Node) forgetReasons() {
	c := n.runner.Catalogue()
	n.mu.Lock()
	defer n.mu.Unlock()
	maps.DeleteFunc(n.reasons, func(endpoint, _ string) bool { return c == nil || c.Endpoints[endpoint] == nil })
}

// collect writes the gauges.
func (n *Node) collect(write func(string, float64)) {
	m := n.messenger.Stats()
	write("links", float64(len(m.Peers)))
	write("peer_messages_sent_total", float64(m.Sent))
	write("peer_messages_received_total", float64(m.Received))
	write("peer_bytes_sent_total", float64(m.SentBytes))
	write("peer_bytes_received_total", float64(m.ReceivedBytes))
	write(`peer_messages_lost_total{reason="queue"}`, float64(m.Dropped))
	write(`peer_messages_lost_total{reason="link"}`, float64(m.Unlinked))
	write(`peer_messages_lost_total{reason="size"}`, float64(m.Unsendable))
	writeKinds(write, "links_refused_total", m.Refused)
	writeKinds(write, "links_ended_total", m.Ended)
	w := n.watcher.Stats()
	write("service_calls_total", float64(w.Calls))
	write("service_failures_total", float64(w.Failures))
	write(`refused_publications_total{document="catalogue"}`, float64(n.refusedCatalogues.Load()))
	write(`refused_publications_total{document="hosts"}`, float64(n.refusedHosts.Load()))
	write("recording_bytes", float64(n.recorder.Size()))
	write("ready", number(n.runner.Ready()))
	if s := n.latest.Load(); s != nil {
		collectStatus(write, s)
	}
}

func writeKinds(write func(string, float64), name string, counts map[messenger.Kind]uint64) {
	for _, kind := range slices.Sorted(maps.Keys(counts)) {
		write(fmt.Sprintf("%s{reason=%q}", name, kind), float64(counts[kind]))
	}
}

func collectStatus(write func(string, float64), s *reducer.Status) {
	alive := 0
	for _, m := range s.Members.Members {
		if m.Alive {
			alive++
		}
	}
	write("catalogue_version", float64(s.Catalogue))
	write("catalogue_epoch", float64(s.Epoch))
	write("hosts_version", float64(s.Hosts))
	write("view_fresh", number(s.Members.Fresh))
	write("members", float64(len(s.Members.Members)))
	write("members_alive", float64(alive))
	write("records", float64(s.Records.Size))
	write("records_covering", number(s.Records.Covering))
	write("orders", float64(len(s.Orders)))
	write("marks", float64(len(s.Marks)))
	for _, c := range s.Requests {
		write(fmt.Sprintf("requests{class=%q,phase=%q}", c.Class, c.Phase), float64(c.Count))
	}
	for _, p := range s.Pools {
		if p.LocalHome == nil {
			continue
		}
		write(fmt.Sprintf("pool_leases{pool=%q}", p.Pool), float64(p.LocalHome.Leases))
		for _, c := range p.LocalHome.Classes {
			write(fmt.Sprintf("pool_queued{pool=%q,class=%q}", p.Pool, c.Name), float64(c.Queued))
			write(fmt.Sprintf("pool_running{pool=%q,class=%q}", p.Pool, c.Name), float64(c.Running))
		}
	}
}

func number(b bool) float64 {
	if b {
		return 1
	}

	return 0
}
