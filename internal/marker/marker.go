// Package marker keeps the fingerprints of requests that are suspected or known
// to crash endpoints.
package marker

import (
	"cmp"
	"slices"
	"time"

	"snipedyke/pkg/encoder"
)

const (
	// markTTL is the time after which a mark expires.
	markTTL = time.Hour
	// maxMarks bounds the memory to a few MB. A crash marks at most the
	// requests in flight at one endpoint, so the bound covers a day of crashes.
	maxMarks = 50_000
)

type mark struct {
	service string
	state   uint8
	created time.Time
}

// Marker maps fingerprints to their marks. It is not safe for concurrent use.
type Marker struct {
	marks map[uint64]mark
	// lastSweep is the time of the last removal of expired marks.
	lastSweep time.Time
}

// New returns an empty marker.
func New() *Marker { return &Marker{marks: map[uint64]mark{}} }

// Apply merges a mark and reports whether it changed the stored marks, in which
// case the caller must forward it to the other nodes. Cleared replaces suspect,
// and blocked replaces both.
//
// A suspect mark replaces a cleared one if it was created later; otherwise one
// success would hide every later crash.
func (m *Marker) Apply(now time.Time, in encoder.Mark) bool {
	if in.State < encoder.MarkSuspect || in.State > encoder.MarkCleared || in.Age < 0 ||
		in.Age >= markTTL.Microseconds() {
		return false
	}
	m.sweep(now)
	created := now.Add(-time.Duration(in.Age) * time.Microsecond)
	old, ok := m.marks[in.Fingerprint]
	if ok && now.Sub(old.created) < markTTL && !replaces(old, in.State, created) {
		return false
	}
	if !ok && len(m.marks) >= maxMarks && !m.evict(in.State) {
		return false
	}
	m.marks[in.Fingerprint] = mark{service: in.Service, state: in.State, created: created}

	return true
}

// propagationDelay is the time within which a mark reaches every node. Ages are
// rounded and exclude the transit time, so a mark that appears newer than a
// clearing by less than this may be older.
const propagationDelay = 2 * time.Second

// replaces reports whether a mark with the given state and creation time
// replaces old. Blocked takes precedence over all other states, so that nodes
// which receive marks in different orders agree.
func replaces(old mark, state uint8, created time.Time) bool {
	switch {
	case old.state == encoder.MarkBlocked:
		return false
	case old.state == encoder.MarkCleared && state == encoder.MarkSuspect:
		return created.Sub(old.created) > propagationDelay
	default:
		return state != old.state
	}
}

// State returns the state of a fingerprint, or zero if it has no unexpired mark.
func (m *Marker) State(now time.Time, fingerprint uint64) uint8 {
	if k, ok := m.marks[fingerprint]; ok && now.Sub(k.created) < markTTL {
		return k.state
	}

	return 0
}

// All returns the unexpired marks, sorted by fingerprint.
func (m *Marker) All(now time.Time) []encoder.Mark {
	out := make([]encoder.Mark, 0, len(m.marks))
	for f, k := range m.marks {
		if age := now.Sub(k.created); age < markTTL {
			out = append(out, encoder.Mark{
				Fingerprint: f, Service: k.service, State: k.state, Age: max(0, age.Microseconds()),
			})
		}
	}
	slices.SortFunc(out, func(a, b encoder.Mark) int { return cmp.Compare(a.Fingerprint, b.Fingerprint) })

	return out
}

// Size returns the number of stored marks, which includes expired ones that
// have not been removed yet.
func (m *Marker) Size() int { return len(m.marks) }

// sweep removes expired marks, at most once a minute.
func (m *Marker) sweep(now time.Time) {
	if now.Sub(m.lastSweep) < time.Minute {
		return
	}
	m.lastSweep = now
	for f, k := range m.marks {
		if now.Sub(k.created) >= markTTL {
			delete(m.marks, f)
		}
	}
}

// evict makes room for a mark with the given state and reports whether it could.
// It removes the oldest of the marks with the lowest rank, if their rank is not
// above that of state. Blocked marks are never removed.
func (m *Marker) evict(state uint8) bool {
	rank := func(s uint8) int {
		switch s {
		case encoder.MarkCleared:
			return 0
		case encoder.MarkSuspect:
			return 1
		default:
			return 2
		}
	}
	var victim uint64
	var victimMark mark
	found := false
	for f, k := range m.marks {
		if k.state == encoder.MarkBlocked || rank(k.state) > rank(state) {
			continue
		}
		order := cmp.Or(cmp.Compare(rank(k.state), rank(victimMark.state)), k.created.Compare(victimMark.created), cmp.Compare(f, victim))
		if !found || order < 0 {
			victim, victimMark, found = f, k, true
		}
	}
	if found {
		delete(m.marks, victim)
	}

	return found
}
