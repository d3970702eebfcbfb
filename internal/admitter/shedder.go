package admitter

import (
	"maps"
	"time"
)

// yieldTime is how long less urgent requests leave room after a refusal. It is
// shorter than a burst, and longer than the time in which a node of a large
// fleet refuses two requests when a tenth of them is refused.
const yieldTime = time.Second

// Class holds the priorities of a request's route and account; 0 is the
// highest. The zero value is the most urgent class.
type Class struct{ Route, Account int }

// Demand is what a request needs of an engine besides a slot.
type Demand struct {
	// Target is the target for its first token. Gap is the maximum gap between
	// tokens, or zero if prefill ahead of the request may take longer than that.
	Target, Gap time.Duration
}

// refusal is the last refusal in a class.
type refusal struct {
	at     time.Time
	demand Demand
}

// Shedder makes requests of a service yield to more urgent ones in overload:
// for a time after a request has been refused, the less urgent ones must leave
// room for another one like it at the engines that they go to. Otherwise they
// would take the places that become free. The zero value is ready to use.
type Shedder struct {
	// refusals holds the last refusal in each class.
	refusals map[Class]refusal
}

// Clone returns an independent copy.
func (s *Shedder) Clone() Shedder { return Shedder{refusals: maps.Clone(s.refusals)} }

// RecordRefusal records that a request was refused because of overload.
func (s *Shedder) RecordRefusal(now time.Time, c Class, d Demand) {
	if s.refusals == nil {
		s.refusals = map[Class]refusal{}
	}
	s.refusals[c] = refusal{now, d}
}

// Reserved returns the demand for which a request must leave room, and reports
// whether there is any: that of refused requests whose route is more urgent and
// whose account is no less urgent. If there are several, it is the strictest.
func (s *Shedder) Reserved(now time.Time, c Class) (Demand, bool) {
	var d Demand
	found := false
	for class, r := range s.refusals {
		switch {
		case now.Sub(r.at) >= yieldTime:
			delete(s.refusals, class)
		case class.Route >= c.Route || class.Account > c.Account:
		case !found:
			d, found = r.demand, true
		default:
			d.Target = min(d.Target, r.demand.Target)
			if d.Gap == 0 || r.demand.Gap > 0 && r.demand.Gap < d.Gap {
				d.Gap = r.demand.Gap
			}
		}
	}

	return d, found
}
