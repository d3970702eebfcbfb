package admitter

import "time"

// yieldTime is how long less urgent requests yield after a refusal. It is
// shorter than a burst, and longer than the time in which a node of a large
// fleet refuses two requests when a tenth of them is refused.
const yieldTime = time.Second

// Class holds the priorities of a request's route and account; 0 is the
// highest. The zero value is the most urgent class.
type Class struct{ Route, Account int }

// Shedder makes requests of a service yield to more urgent ones in overload:
// for a time after a request has been refused, it rejects the less urgent ones,
// which would take the places that become free. The zero value is ready to use.
type Shedder struct {
	// refusedAt holds the time of the last refusal in each class.
	refusedAt map[Class]time.Time
}

// RecordRefusal records that a request was refused because of overload.
func (s *Shedder) RecordRefusal(now time.Time, c Class) {
	if s.refusedAt == nil {
		s.refusedAt = map[Class]time.Time{}
	}
	s.refusedAt[c] = now
}

// Yields reports whether a request must be refused in favor of others whose
// route is more urgent and whose account is no less urgent.
func (s *Shedder) Yields(now time.Time, c Class) bool {
	for refused, at := range s.refusedAt {
		if now.Sub(at) >= yieldTime {
			delete(s.refusedAt, refused)
		} else if refused.Route < c.Route && refused.Account <= c.Account {
			return true
		}
	}

	return false
}
