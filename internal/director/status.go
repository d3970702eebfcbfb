package director

import "time"

// Status is the state of a director as exported in metrics.
type Status struct {
	// Version is the version of the table in force, or zero.
	Version uint64
	// Age is the age of the view, or negative if there is none.
	Age time.Duration
	// Nodes is the number of nodes that share the limits of the fleet.
	Nodes, Endpoints, Requests, Waiting int
	// Leaving is the number of endpoints that have said that they shut down, and
	// Paused that of those that get no requests because they asked for time.
	// Displaced is the number of those that get none because another one has their
	// address. Cold is the number of those that are cold, and
	// Limited that of those that have named a limit of requests. Brittle is the number of
	// those that have said that they are brittle, and Failing that of those that get only
	// probe requests because they fail most requests.
	Leaving, Paused, Displaced, Cold, Limited, Brittle, Failing int
	// Checking is the number of endpoints that are being checked for whether they have
	// ended.
	Checking int
	// Suspected is the number of requests and prompt parts under which endpoints have
	// cut off attempts, and Isolated that of those that are refused.
	Suspected, Isolated int
	// Stranded reports whether the node is cut off from all endpoints.
	Stranded, Ready bool
}

// Status returns the current status.
func (d *Director) Status(now time.Time) Status {
	s := Status{
		Age: d.Age(now), Nodes: d.fleet.size(), Endpoints: d.registrar.Len(),
		Requests: len(d.requests), Waiting: len(d.waiting), Stranded: d.link.stranded, Ready: d.ready,
	}
	s.Suspected, s.Isolated = d.isolator.Counts()
	for _, e := range d.endpoints {
		if e.checking {
			s.Checking++
		}
		if e.leaving() {
			s.Leaving++
		}
		if e.pausedUntil().After(now) {
			s.Paused++
		}
		if d.displaced(now, e) {
			s.Displaced++
		}
		if d.paced(now, e) {
			s.Cold++
		}
		if e.limited() {
			s.Limited++
		}
		if e.brittle() {
			s.Brittle++
		}
		if e.observed.failing {
			s.Failing++
		}
	}
	if d.table != nil {
		s.Version = d.table.Version()
	}

	return s
}
