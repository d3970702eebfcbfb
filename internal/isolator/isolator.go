// Package isolator finds the prompt parts that crash the endpoints that answer
// them, so that requests with such a part are sent to no more endpoints.
//
// Any request may be cut off when an endpoint ends. A part is isolated if several
// endpoints have ended one after the other under requests with the part whose
// answers had not begun, and no answer to a request with the part has begun
// since. Nodes exchange what they have observed, because the requests come at
// any node.
//
// An Isolator has no clock and no connections: time and the observations of
// other nodes are passed in.
package isolator

import (
	"cmp"
	"slices"
	"time"

	"snipedyke/pkg/encoder"
)

const (
	// isolationCrashes is the number of failures under requests with a part after
	// which the part is isolated. A single request that is sent to two endpoints
	// while hosts fail must not be enough.
	isolationCrashes = 3
	// simultaneousTime is the time within which several endpoints that end count
	// as one failure, such as that of a data centre.
	simultaneousTime = 250 * time.Millisecond
	// isolationTime is how long an observation counts.
	isolationTime = 5 * time.Minute
	// confirmationTime is the time within which an endpoint that has cut off a
	// request must be found to have ended. Otherwise only its answer was lost.
	confirmationTime = 6 * time.Second
	// newsTime is how long an observation is sent to other nodes, unless its part
	// is isolated.
	newsTime = 5 * time.Second
	// hopTime is added to the age of an observation of another node. It is more
	// than a message takes, so that an observation that comes back is not taken
	// for a later one.
	hopTime = 20 * time.Millisecond
	// maxSent bounds the observations in a message. With 14 bytes each, five
	// messages a second take 2.2 KB/s while endpoints crash.
	maxSent = 32
	// maxParts bounds the number of parts and of endpoints that are kept.
	maxParts = 1024
)

// cutOff is a request that was cut off before its answer began.
type cutOff struct {
	at time.Time
	// ended reports whether the endpoint was found to have ended at that time.
	ended bool
}

// part is what is known about a prompt part.
type part struct {
	// cutOffs holds the first request that each endpoint has cut off. All of them
	// are after soundAt.
	cutOffs map[uint32]cutOff
	// soundAt is the last time at which an answer began.
	soundAt time.Time
}

// Isolator holds the observations of the fleet. It is not safe for concurrent
// use. The zero value has no observations.
type Isolator struct {
	parts map[uint64]*part
	// endedAt holds the time at which an endpoint was found to have ended.
	endedAt map[uint32]time.Time
	// reported holds what Changes has reported as isolated. changed reports whether
	// observations have come since, and checkedAt is the time of the last call that has
	// looked at them.
	reported  map[uint64]bool
	changed   bool
	checkedAt time.Time
}

// Change is the begin or the end of an isolation.
type Change struct {
	Part uint64
	// Ends is the number of endpoints that have ended under requests with the part,
	// or zero if it is no longer isolated.
	Ends int
}

// checkInterval is how often Changes looks for isolations that have expired.
const checkInterval = time.Second

// Changes returns the isolations that have begun or ended since the last call.
func (s *Isolator) Changes(now time.Time) []Change {
	if !s.changed && (len(s.reported) == 0 || now.Sub(s.checkedAt) < checkInterval) {
		return nil
	}
	s.changed, s.checkedAt = false, now
	var list []Change
	for id := range s.reported {
		if !s.isolated(now, s.parts[id]) {
			delete(s.reported, id)
			list = append(list, Change{Part: id})
		}
	}
	for id, p := range s.parts {
		if !s.reported[id] && s.isolated(now, p) {
			if s.reported == nil {
				s.reported = map[uint64]bool{}
			}
			s.reported[id] = true
			list = append(list, Change{Part: id, Ends: len(p.cutOffs)})
		}
	}
	slices.SortFunc(list, func(a, b Change) int { return cmp.Compare(a.Part, b.Part) })

	return list
}

// Counts returns the number of parts that are suspected and, of these, of those that are
// isolated, as of the last call of Changes.
func (s *Isolator) Counts() (suspected, isolated int) { return len(s.parts), len(s.reported) }

// RecordCutOff records that an endpoint has cut off a request with the given
// parts before its answer began.
func (s *Isolator) RecordCutOff(now time.Time, parts []uint64, endpoint uint32) {
	for _, id := range parts {
		s.recordCutOff(now, now, id, endpoint)
	}
}

func (s *Isolator) recordCutOff(now, at time.Time, id uint64, endpoint uint32) {
	p := s.parts[id]
	if p == nil {
		s.expire(now)
		if len(s.parts) >= maxParts {
			return
		}
		if s.parts == nil {
			s.parts = map[uint64]*part{}
		}
		p = &part{cutOffs: map[uint32]cutOff{}}
		s.parts[id] = p
	}
	if _, known := p.cutOffs[endpoint]; !known && at.After(p.soundAt) {
		s.changed = true
		ended, found := s.endedAt[endpoint]
		p.cutOffs[endpoint] = cutOff{at: at, ended: found && ended.Sub(at).Abs() < confirmationTime}
	}
}

// RecordEnded records that an endpoint was found to have ended.
func (s *Isolator) RecordEnded(now time.Time, endpoint uint32) { s.recordEnded(now, now, endpoint) }

func (s *Isolator) recordEnded(now, at time.Time, endpoint uint32) {
	if s.endedAt == nil {
		s.endedAt = map[uint32]time.Time{}
	}
	if len(s.endedAt) >= maxParts {
		s.expire(now)
	}
	if at.After(s.endedAt[endpoint]) && len(s.endedAt) < maxParts {
		s.endedAt[endpoint] = at
	}
	for _, p := range s.parts {
		if c, known := p.cutOffs[endpoint]; known && at.Sub(c.at).Abs() < confirmationTime {
			p.cutOffs[endpoint] = cutOff{at: c.at, ended: true}
			s.changed = s.changed || !c.ended
		}
	}
}

// RecordSound records that an answer to a request with the given parts has
// begun.
func (s *Isolator) RecordSound(now time.Time, parts []uint64) {
	for _, id := range parts {
		s.recordSound(now, id)
	}
}

func (s *Isolator) recordSound(at time.Time, id uint64) {
	// Parts without a request that was cut off need no record.
	p := s.parts[id]
	if p == nil || !at.After(p.soundAt) {
		return
	}
	p.soundAt, s.changed = at, true
	for endpoint, c := range p.cutOffs {
		if !c.at.After(at) {
			delete(p.cutOffs, endpoint)
		}
	}
}

// Isolated returns the first of the given parts that is isolated, and reports
// whether there is one.
func (s *Isolator) Isolated(now time.Time, parts []uint64) (uint64, bool) {
	for _, id := range parts {
		if s.isolated(now, s.parts[id]) {
			return id, true
		}
	}

	return 0, false
}

func (s *Isolator) isolated(now time.Time, p *part) bool {
	if p == nil {
		return false
	}
	var crashes []time.Time
	for _, c := range p.cutOffs {
		if c.ended && now.Sub(c.at) < isolationTime {
			crashes = append(crashes, c.at)
		}
	}
	if len(crashes) < isolationCrashes {
		return false
	}
	slices.SortFunc(crashes, time.Time.Compare)
	failures, begin := 0, time.Time{}
	for _, at := range crashes {
		if at.Sub(begin) >= simultaneousTime {
			failures, begin = failures+1, at
		}
	}

	return failures >= isolationCrashes
}

// Observations returns what other nodes need to know, the latest first.
func (s *Isolator) Observations(now time.Time) []encoder.Crash {
	var list []encoder.Crash
	add := func(id uint64, endpoint uint32, at time.Time, keep bool) {
		if age := now.Sub(at); keep || age < newsTime {
			list = append(list, encoder.Crash{Part: id, Endpoint: endpoint, Age: uint32(age.Milliseconds())})
		}
	}
	for id, p := range s.parts {
		isolated := s.isolated(now, p)
		for endpoint, c := range p.cutOffs {
			add(id, endpoint, c.at, isolated)
			if c.ended && isolated {
				add(0, endpoint, c.at, true)
			}
		}
		if !p.soundAt.IsZero() {
			add(id, 0, p.soundAt, false)
		}
	}
	for endpoint, at := range s.endedAt {
		add(0, endpoint, at, false)
	}
	slices.SortFunc(list, func(a, b encoder.Crash) int {
		return cmp.Or(cmp.Compare(a.Age, b.Age), cmp.Compare(a.Part, b.Part), cmp.Compare(a.Endpoint, b.Endpoint))
	})

	return list[:min(len(list), maxSent)]
}

// Merge adds the observations of another node.
func (s *Isolator) Merge(now time.Time, list []encoder.Crash) {
	when := func(c encoder.Crash) time.Time { return now.Add(-time.Duration(c.Age)*time.Millisecond - hopTime) }
	for _, c := range list {
		switch at := when(c); {
		case now.Sub(at) >= isolationTime || c.Part == 0:
		case c.Endpoint == 0:
			s.recordSound(at, c.Part)
		default:
			s.recordCutOff(now, at, c.Part, c.Endpoint)
		}
	}
	// Ends confirm the requests that were cut off, so they come last.
	for _, c := range list {
		if at := when(c); c.Part == 0 && now.Sub(at) < isolationTime {
			s.recordEnded(now, at, c.Endpoint)
		}
	}
}

// expire removes observations that no longer count.
func (s *Isolator) expire(now time.Time) {
	for id, p := range s.parts {
		for endpoint, c := range p.cutOffs {
			if now.Sub(c.at) >= isolationTime {
				delete(p.cutOffs, endpoint)
			}
		}
		if len(p.cutOffs) == 0 && now.Sub(p.soundAt) >= newsTime {
			delete(s.parts, id)
		}
	}
	for endpoint, at := range s.endedAt {
		if now.Sub(at) >= isolationTime {
			delete(s.endedAt, endpoint)
		}
	}
}
