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

// monitorInterval is the interval at which the monitor reads the status, and so
// the maximum age of the status in metrics.
const monitorInterval = time.Second

// serviceTimeout is the time without an answer after which the configuration
// service is reported as unreachable. It covers the longest interval between two checks
// of a node that is not a reader, 30 s, and one failed call.
const serviceTimeout = 45 * time.Second

// recordsFullLogInterval is the minimum time between two RecordsFull log events.
const recordsFullLogInterval = time.Minute

// monitorState is the state that the monitor observed in its last iteration.
type monitorState struct {
	status             reducer.Status
	serviceUnreachable bool
	droppedByPeer      map[string]uint64
}

// monitor periodically updates the status for metrics, informs the watcher
// whether the node reads the configuration service for its data centre, and
// logs changes since the previous iteration.
func (n *Node) monitor(ctx context.Context) error {
	ticker := time.NewTicker(monitorInterval)
	defer ticker.Stop()
	state := monitorState{droppedByPeer: map[string]uint64{}}
	started := time.Now()
	for {
		if s, ok := n.Status(); ok {
			n.latestStatus.Store(&s)
			n.watcher.SetReader(s.Members.Reader)
			n.pruneStateReasons()
			n.logChanges(&state.status, &s)
			state.status = s
		}
		n.logServiceState(&state, started)
		n.logDroppedMessages(state.droppedByPeer)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// logChanges logs the differences between two statuses of the reducer.
func (n *Node) logChanges(before, after *reducer.Status) {
	switch {
	case after.Ready && !before.Ready:
		n.logger.Event(logger.NodeReady, "catalogue", after.Catalogue, "hosts", after.Hosts)
	case !after.Ready && before.Ready:
		n.logger.Event(logger.NodeNotReady, "reason", string(after.Reason))
	}
	switch {
	case after.Records.Covering && !before.Records.Covering:
		n.logger.Event(logger.RecordsCovering, "hosts", after.Hosts, "records", after.Records.Size)
	case !after.Records.Covering && (before.Records.Covering || before.Hosts == 0 && after.Hosts > 0):
		n.logger.Event(logger.RecordsNotCovering, "hosts", after.Hosts)
	}
	if before.Catalogue > 0 && after.Epoch > before.Epoch {
		n.logger.Event(logger.EpochRaised, "epoch", after.Epoch, "former", before.Epoch)
	}
}

// logServiceState logs when the configuration service becomes unreachable and
// when it answers again.
func (n *Node) logServiceState(state *monitorState, started time.Time) {
	n.mu.Lock()
	lastContact := n.lastContact
	n.mu.Unlock()
	if lastContact.Before(started) {
		lastContact = started
	}
	age := time.Since(lastContact)
	unreachable := age > serviceTimeout
	if unreachable && !state.serviceUnreachable {
		n.logger.Event(logger.ServiceUnreachable, "age", age)
	}
	if !unreachable && state.serviceUnreachable {
		n.logger.Event(logger.ServiceReachable)
	}
	state.serviceUnreachable = unreachable
}

// logDroppedMessages logs the messages that were dropped since before because
// the queue of a link was full, and updates before.
func (n *Node) logDroppedMessages(before map[string]uint64) {
	for _, p := range n.messenger.Stats().Peers {
		if p.Dropped > before[p.Name] {
			n.logger.Event(logger.MessagesDropped, "peer", p.Name, "messages", p.Dropped-before[p.Name])
		}
		// The counter restarts at zero for a new link.
		before[p.Name] = p.Dropped
	}
}

// meter exports metrics and logs when the record table is full.
type meter struct{ n *Node }

// Count implements runner.Meter.
func (m meter) Count(e reducer.Count) {
	m.n.exporter.Count(e)
	if e.Counter != reducer.CounterRefusals || e.Label != string(reducer.ReasonRecordsFull) {
		return
	}
	m.n.mu.Lock()
	due := time.Since(m.n.recordsFullLogged) >= recordsFullLogInterval
	if due {
		m.n.recordsFullLogged = time.Now()
	}
	m.n.mu.Unlock()
	if due {
		m.n.logger.Event(logger.RecordsFull)
	}
}

// Observe implements runner.Meter.
func (m meter) Observe(e reducer.Observe) { m.n.exporter.Observe(e) }

// pruneStateReasons deletes the reasons of endpoints that are no longer in the
// catalogue.
func (n *Node) pruneStateReasons() {
	c := n.runner.Catalogue()
	n.mu.Lock()
	defer n.mu.Unlock()
	maps.DeleteFunc(n.stateReasons, func(endpoint, _ string) bool { return c == nil || c.Endpoints[endpoint] == nil })
}

// collect writes the metrics that are read from the components at each
// collection.
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
	writeCountsByKind(write, "links_refused_total", m.Refused)
	writeCountsByKind(write, "links_ended_total", m.Ended)
	w := n.watcher.Stats()
	write("service_calls_total", float64(w.Calls))
	write("service_failures_total", float64(w.Failures))
	write(`refused_publications_total{document="catalogue"}`, float64(n.refusedCatalogues.Load()))
	write(`refused_publications_total{document="hosts"}`, float64(n.refusedHosts.Load()))
	write("recording_bytes", float64(n.recorder.Size()))
	write("ready", boolToFloat(n.runner.Ready()))
	if s := n.latestStatus.Load(); s != nil {
		collectStatus(write, s)
	}
}

// writeCountsByKind writes a metric with a reason label for each kind.
func writeCountsByKind(write func(string, float64), name string, counts map[messenger.Kind]uint64) {
	for _, kind := range slices.Sorted(maps.Keys(counts)) {
		write(fmt.Sprintf("%s{reason=%q}", name, kind), float64(counts[kind]))
	}
}

// collectStatus writes the metrics that are read from a reducer's status.
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
	write("view_fresh", boolToFloat(s.Members.Fresh))
	write("members", float64(len(s.Members.Members)))
	write("members_alive", float64(alive))
	write("records", float64(s.Records.Size))
	write("records_covering", boolToFloat(s.Records.Covering))
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

// boolToFloat returns 1 for true and 0 for false, the values of a boolean gauge.
func boolToFloat(b bool) float64 {
	if b {
		return 1
	}

	return 0
}
