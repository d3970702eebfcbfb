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

// Load returns the load that the node has placed.
func (d *Director) Load() encoder.Sum {
	var sum encoder.Sum
	for _, s := range d.services {
		long, short := s.splitter.Running()
		sum.Long += uint32(max(long, 0))
		sum.Short += uint32(max(short, 0))
	}
	for _, e := range d.endpoints {
		own := e.load.Own
		if own.Running > 0 {
			sum.Loads = append(sum.Loads, encoder.Load{
				Endpoint: e.number, Running: uint16(own.Running), Unread: uint32(max(own.Unread, 0)),
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
		e.load.Others = chooser.Load{Running: int(l.Running), Unread: float64(l.Unread)}
	}
	for _, s := range d.services {
		// Nodes sum up the requests of all services; only services of engines
		// use them, and a deployment has one for each model.
		s.splitter.Hear(int(others.Long), int(others.Short))
	}
}

// endpointNumber returns the number by which nodes name an endpoint.
func endpointNumber(id string) uint32 { return uint32(xxhash.Sum64String(id)) }
