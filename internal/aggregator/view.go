package aggregator

import (
	"net/netip"
	"time"

	"snipedyke/pkg/encoder"
)

// maxViewAge is the age up to which a relayed view is of any use.
const maxViewAge = 24 * time.Hour

// View is a node's copy of the shared view.
type View struct {
	// Era and Revision identify the state of the store that the view holds.
	// Revisions are comparable within one era only.
	Era, Revision uint64
	// Table is the version of the routing table, or zero if there is none.
	Table uint64
	// Confirmed is the latest time at which the view is known to have been
	// complete.
	Confirmed time.Time
	// Since returns the changes after a revision of the same era up to Revision,
	// and reports whether they are known.
	Since func(revision uint64) ([]encoder.Item, bool)
}

// RelayedView is the part of the speaker's shared view that its last digest
// carried.
type RelayedView struct {
	// Era and Revision identify the state of the store that the speaker's view
	// holds.
	Era, Revision uint64
	Confirmed     time.Time
	Items         []encoder.Item
	// Gap reports whether changes are missing between the reported revision and
	// Items.
	Gap bool
}

// TableState is the version of the routing table of another node, and the state of
// the store that its view holds.
type TableState struct{ Era, Revision, Table uint64 }

// viewReport returns the report of the view to the speaker.
func (a *Aggregator) viewReport(now time.Time, v View) *encoder.ViewReport {
	if a.firstReport.IsZero() {
		a.firstReport = now
	}

	return &encoder.ViewReport{Sent: uint64(now.UnixMicro()) + a.opts.StampOffset, Era: v.Era, Revision: v.Revision, Table: v.Table}
}

// echoedTime returns the time at which this process sent the view report that a digest
// answers, and reports whether it did. After a restart the speaker may still answer a
// report of the former process, whose clock was another one.
func (a *Aggregator) echoedTime(now time.Time, d *encoder.ViewDigest) (time.Time, bool) {
	sent := time.UnixMicro(int64(d.Echo - a.opts.StampOffset))
	if a.firstReport.IsZero() || sent.Before(a.firstReport.Truncate(time.Microsecond)) || sent.After(now) {
		return time.Time{}, false
	}

	return sent, d.EchoDelay <= uint64(now.Sub(sent).Microseconds())
}

// viewDigest returns the changes of the shared view that the member lacks, or nil
// if the member has not reported its view or the speaker has none.
func (m *member) viewDigest(now time.Time, view View) *encoder.ViewDigest {
	if m.viewReport.Sent == 0 || view.Since == nil || view.Confirmed.IsZero() {
		return nil
	}
	d := &encoder.ViewDigest{
		Echo: m.viewReport.Sent, EchoDelay: uint64(now.Sub(m.viewReported).Microseconds()),
		Era: view.Era, Revision: view.Revision, Table: view.Table, Age: uint64(max(now.Sub(view.Confirmed), 0).Microseconds()),
		Gap: true,
	}
	if m.viewReport.Era == view.Era {
		items, known := view.Since(m.viewReport.Revision)
		d.Items, d.Gap = items, !known
	}

	return d
}

// receiveViewReport records the state of a member's shared view.
func (a *Aggregator) receiveViewReport(now time.Time, from netip.Addr, r *encoder.ViewReport) {
	if m := a.members[from]; m != nil {
		m.viewReport, m.viewReported = *r, now
		a.tableStates = append(a.tableStates, TableState{r.Era, r.Revision, r.Table})
	}
}

// receiveViewDigest keeps the speaker's shared view for Relayed.
func (a *Aggregator) receiveViewDigest(now time.Time, from netip.Addr, d *encoder.ViewDigest) {
	if a.members[from] == nil {
		return
	}
	a.tableStates = append(a.tableStates, TableState{d.Era, d.Revision, d.Table})
	sent, ok := a.echoedTime(now, d)
	if !ok || d.Age > uint64(maxViewAge.Microseconds()) {
		return
	}
	// The time of the report plus EchoDelay is no later than the time at which the
	// sender sent the digest, so the confirmed time is never too late.
	confirmed := sent.Add(time.Duration(d.EchoDelay) * time.Microsecond).Add(-time.Duration(d.Age) * time.Microsecond)
	a.relayed = &RelayedView{Era: d.Era, Revision: d.Revision, Confirmed: confirmed, Items: d.Items, Gap: d.Gap}
}

// Relayed returns the shared view received from the speaker since the last
// call, and reports whether there is one.
func (a *Aggregator) Relayed() (RelayedView, bool) {
	r := a.relayed
	a.relayed = nil
	if r == nil {
		return RelayedView{}, false
	}

	return *r, true
}

// TableStates returns the routing tables that other nodes have reported since the
// last call. The result is valid until the next call of Receive.
func (a *Aggregator) TableStates() []TableState {
	states := a.tableStates
	a.tableStates = a.tableStates[:0]

	return states
}
