package director

import (
	"math"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"snipedyke/internal/chooser"
	"snipedyke/internal/logger"
	"snipedyke/pkg/encoder"
)

const (
	// discoveryPeriod is how long the number of nodes must be steady until a node that
	// has started takes it for complete.
	discoveryPeriod = 3 * time.Second
	// fleetRetention is how long, at least, a node that is no longer heard from still
	// counts. It may be partitioned from the others and still send requests. For as
	// long, a node that has started assumes that it may be partitioned itself if it
	// has not heard of all data centres.
	fleetRetention = time.Minute
)

// fleet estimates the number of nodes that share the limits of the fleet.
type fleet struct {
	// assumedNodes is the number that is used at least until the nodes have discovered
	// each other.
	assumedNodes int
	// startedAt is when the node first received the load of the others.
	startedAt time.Time
	// peakNodes is the highest number of nodes since peakSince, and formerPeak that in
	// the period before, which is as long as fleetRetention.
	peakNodes, formerPeak int
	peakSince             time.Time
	// unsteadyAt is when the number of nodes last exceeded all former ones, or was less
	// than half of the highest: the node is cut off from the others, or did not run, and
	// their number may have grown unnoticed.
	unsteadyAt time.Time
	// unheard holds the data centres of which no node has been heard yet.
	unheard map[string]bool
	// discovered reports whether the nodes have discovered each other. It never
	// becomes false.
	discovered bool
	// logged is the size that was last logged.
	logged int
}

// newFleet returns the estimate of a node that knows no other node yet.
func newFleet(opts Options) fleet {
	f := fleet{assumedNodes: opts.AssumedNodes, unheard: map[string]bool{}}
	for centre := range opts.Regions {
		if centre != opts.DataCentre {
			f.unheard[centre] = true
		}
	}

	return f
}

// recordNodes records the number of nodes that are heard from, and the data centres of
// the others.
func (f *fleet) recordNodes(now time.Time, nodes int, centres []string) {
	if f.startedAt.IsZero() {
		f.startedAt, f.unsteadyAt, f.peakSince = now, now, now
	}
	for _, centre := range centres {
		delete(f.unheard, centre)
	}
	if known := max(f.peakNodes, f.formerPeak); nodes > known || 2*nodes < known {
		f.unsteadyAt = now
	}
	if now.Sub(f.peakSince) >= fleetRetention {
		f.formerPeak, f.peakNodes, f.peakSince = f.peakNodes, 0, now
	}
	f.peakNodes = max(f.peakNodes, nodes)
	allHeard := len(f.unheard) == 0 || now.Sub(f.startedAt) >= fleetRetention
	f.discovered = f.discovered || allHeard && now.Sub(f.unsteadyAt) >= discoveryPeriod
}

// size returns the number of nodes by which the limits are divided.
func (f *fleet) size() int {
	nodes := max(f.peakNodes, f.formerPeak)
	if !f.discovered {
		return max(f.assumedNodes, nodes)
	}

	return nodes
}

// minReportedPrefillTokens is the least change in the number of prompt tokens to
// prefill at an endpoint that is reported before the next full sum: half a
// chunk.
const minReportedPrefillTokens = 512

// TakeLoadChanges returns the changes of the load that the node has placed
// since it was last reported, and marks them as reported. Changes that are too
// small are left for a later report.
func (d *Director) TakeLoadChanges() encoder.LoadChange {
	long, short := d.runningRequests()
	c := encoder.LoadChange{Long: int32(long - d.reportedLong), Short: int32(short - d.reportedShort)}
	d.reportedLong, d.reportedShort = long, short
	unreported := d.changedEndpoints[:0]
	for _, e := range d.changedEndpoints {
		own := d.ownLoad(e)
		running := own.Running - e.reported.Running
		prefill := own.PrefillTokens - e.reported.PrefillTokens
		if running == 0 && max(prefill, -prefill) < minReportedPrefillTokens {
			unreported = append(unreported, e)

			continue
		}
		chunks := int(prefill / encoder.Chunk)
		e.changed = false
		e.reported.Running = own.Running
		e.reported.PrefillTokens += float64(chunks * encoder.Chunk)
		c.Shifts = append(c.Shifts, encoder.Shift{Endpoint: e.number, Running: running, Chunks: chunks})
	}
	clear(d.changedEndpoints[len(unreported):])
	d.changedEndpoints = unreported

	return c
}

// Crashes returns what the other nodes need to know about requests and prompt parts that
// crash endpoints.
func (d *Director) Crashes(now time.Time) []encoder.Crash { return d.isolator.Observations(now) }

// CrashNews returns what of Crashes the other nodes were never told.
func (d *Director) CrashNews(now time.Time) []encoder.Crash { return d.isolator.News(now) }

// ownLoad returns the load that the node places on an endpoint, as reported to
// the other nodes. It is zero after the endpoint's entry was removed: the other
// nodes would count its last requests for an endpoint that starts with its ID.
func (d *Director) ownLoad(e *endpoint) chooser.Load {
	if !d.current(e) {
		return chooser.Load{}
	}

	return e.load.Own
}

// markChanged records that the own load of an endpoint has changed.
func (d *Director) markChanged(e *endpoint) {
	if !e.changed {
		e.changed = true
		d.changedEndpoints = append(d.changedEndpoints, e)
	}
}

// runningRequests returns the node's numbers of running requests at engines.
func (d *Director) runningRequests() (long, short int) {
	for _, s := range d.services {
		serviceLong, serviceShort := s.splitter.Running()
		long += max(serviceLong, 0)
		short += max(serviceShort, 0)
	}

	return long, short
}

// updateOthersLoad sets the load of the other nodes at the listed endpoints.
func (d *Director) updateOthersLoad(now time.Time, others encoder.LoadSum) {
	for _, l := range others.Loads {
		if e := d.endpointsByNumber[l.Endpoint]; e != nil {
			e.load.Others = chooser.Load{Running: int(l.Running), PrefillTokens: float64(l.PrefillTokens)}
			e.load.NoteLongPrefill(now)
		}
	}
	for _, s := range d.services {
		s.splitter.SetOthers(int(others.Long), int(others.Short))
	}
}

// TakeLoad returns the load that the node has placed, and marks it as reported.
func (d *Director) TakeLoad() encoder.LoadSum {
	long, short := d.runningRequests()
	sum := encoder.LoadSum{Long: uint32(long), Short: uint32(short)}
	d.reportedLong, d.reportedShort = long, short
	for _, e := range d.changedEndpoints {
		e.changed, e.reported = false, d.ownLoad(e)
	}
	clear(d.changedEndpoints)
	d.changedEndpoints = d.changedEndpoints[:0]
	for _, e := range d.endpoints {
		own := e.load.Own
		if own.Running > 0 {
			sum.Loads = append(sum.Loads, encoder.Load{
				Endpoint: e.number, Running: uint16(own.Running), PrefillTokens: uint32(max(own.PrefillTokens, 0)),
			})
		}
	}
	slices.SortFunc(sum.Loads, func(a, b encoder.Load) int {
		switch {
		case a.Endpoint < b.Endpoint:
			return -1
		case a.Endpoint > b.Endpoint:
			return 1
		default:
			return 0
		}
	})

	return sum
}

// replaceOthersLoad sets the load of the other nodes at all endpoints. centres are the
// data centres of these nodes.
func (d *Director) replaceOthersLoad(now time.Time, others encoder.LoadSum, centres []string) {
	d.fleet.recordNodes(now, int(others.Nodes)+1, centres)
	if size := d.fleet.size(); size != d.fleet.logged {
		d.log(logger.FleetSizeChanged, "nodes", size, "former", d.fleet.logged)
		d.fleet.logged = size
	}
	loads := make(map[uint32]encoder.Load, len(others.Loads))
	for _, l := range others.Loads {
		loads[l.Endpoint] = l
	}
	for _, e := range d.endpoints {
		l := loads[e.number]
		e.load.Others = chooser.Load{Running: int(l.Running), PrefillTokens: float64(l.PrefillTokens)}
		e.load.NoteLongPrefill(now)
	}
	for _, s := range d.services {
		// The sums cover the requests of all services. Only services with engines
		// use them, and a deployment has one such service per model.
		s.splitter.SetOthers(int(others.Long), int(others.Short))
	}
}

// number returns the number that identifies an incarnation in messages about crashes. An
// endpoint that has started again under its ID can crash again.
func (i incarnation) number() uint32 {
	h := xxhash.Sum64String(i.id + " " + strconv.FormatInt(i.born, 10) + " " + i.address.String())

	return uint32(h%math.MaxUint32) + 1
}

// endpointNumber returns the number that identifies an endpoint in messages
// between nodes.
func endpointNumber(id string) uint32 { return uint32(xxhash.Sum64String(id) % encoder.EndpointLimit) }
