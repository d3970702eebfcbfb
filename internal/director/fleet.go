package director

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"snipedyke/internal/chooser"
	"snipedyke/pkg/encoder"
)

const (
	// learnTime is how long after its start a node assumes that many others
	// share the bounds of the fleet. The nodes find each other within it.
	learnTime = 3 * time.Second
	// fleetMemory is how long a node that is no longer heard still counts. It
	// may be cut off and go on.
	fleetMemory = time.Minute
)

// fleet is the number of nodes that share the bounds of the fleet.
type fleet struct {
	// assumed is the number until learned.
	assumed int
	// started is when the node first listened to others.
	started time.Time
	// most is the greatest number that was known since noted.
	most  int
	noted time.Time
}

func (f *fleet) note(now time.Time, nodes int) {
	if f.started.IsZero() {
		f.started = now
	}
	if nodes >= f.most || now.Sub(f.noted) >= fleetMemory {
		f.most, f.noted = nodes, now
	}
}

// size returns the number of nodes by which the bounds are divided.
func (f *fleet) size(now time.Time) int {
	if f.started.IsZero() || now.Sub(f.started) < learnTime {
		return max(f.assumed, f.most)
	}

	return f.most
}

// leastUnread is the change of an endpoint's unread prompt tokens that other
// nodes are told of before the next full sum: half a chunk of reading.
const leastUnread = 512

// Changed returns what has changed in the load that the node has placed since
// others were told of it.
func (d *Director) Changed() encoder.Change {
	long, short := d.running()
	c := encoder.Change{Long: int32(long - d.toldLong), Short: int32(short - d.toldShort)}
	d.toldLong, d.toldShort = long, short
	kept := d.changed[:0]
	for _, e := range d.changed {
		own := e.load.Own
		running := own.Running - e.told.Running
		unread := own.PrefillTokens - e.told.PrefillTokens
		if running == 0 && max(unread, -unread) < leastUnread {
			kept = append(kept, e)

			continue
		}
		chunks := int(unread / encoder.Chunk)
		e.changed = false
		e.told.Running = own.Running
		e.told.PrefillTokens += float64(chunks * encoder.Chunk)
		c.Shifts = append(c.Shifts, encoder.Shift{Endpoint: e.number, Running: running, Chunks: chunks})
	}
	clear(d.changed[len(kept):])
	d.changed = kept

	return c
}

// touch notes that the own load of an endpoint has changed.
func (d *Director) touch(e *endpoint) {
	if !e.changed {
		e.changed = true
		d.changed = append(d.changed, e)
	}
}

// running returns the node's running requests at engines.
func (d *Director) running() (long, short int) {
	for _, s := range d.services {
		l, o := s.splitter.Running()
		long += max(l, 0)
		short += max(o, 0)
	}

	return long, short
}

// move takes the load of the other nodes at some endpoints.
func (d *Director) move(now time.Time, others encoder.Sum) {
	for _, l := range others.Loads {
		if e := d.numbered[l.Endpoint]; e != nil {
			e.load.Others = chooser.Load{Running: int(l.Running), PrefillTokens: float64(l.Unread)}
			e.load.NoteLongPrefill(now)
		}
	}
	for _, s := range d.services {
		s.splitter.SetOthers(int(others.Long), int(others.Short))
	}
}

// Load returns the load that the node has placed.
func (d *Director) Load() encoder.Sum {
	long, short := d.running()
	sum := encoder.Sum{Long: uint32(long), Short: uint32(short)}
	d.toldLong, d.toldShort = long, short
	for _, e := range d.changed {
		e.changed, e.told = false, e.load.Own
	}
	clear(d.changed)
	d.changed = d.changed[:0]
	for _, e := range d.endpoints {
		own := e.load.Own
		if own.Running > 0 {
			sum.Loads = append(sum.Loads, encoder.Load{
				Endpoint: e.number, Running: uint16(own.Running), Unread: uint32(max(own.PrefillTokens, 0)),
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

// hear takes the load of the other nodes.
func (d *Director) hear(now time.Time, others encoder.Sum) {
	d.fleet.note(now, int(others.Nodes)+1)
	loads := make(map[uint32]encoder.Load, len(others.Loads))
	for _, l := range others.Loads {
		loads[l.Endpoint] = l
	}
	for _, e := range d.endpoints {
		l := loads[e.number]
		e.load.Others = chooser.Load{Running: int(l.Running), PrefillTokens: float64(l.Unread)}
		e.load.NoteLongPrefill(now)
	}
	for _, s := range d.services {
		// Nodes sum up the requests of all services; only services of engines
		// use them, and a deployment has one for each model.
		s.splitter.SetOthers(int(others.Long), int(others.Short))
	}
}

// endpointNumber returns the number by which nodes name an endpoint.
func endpointNumber(id string) uint32 { return uint32(xxhash.Sum64String(id) % encoder.EndpointLimit) }
