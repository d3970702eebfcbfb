// Package isolator finds what crashes endpoints: a request that is sent again and
// again, or a prompt part that requests share. Such requests are then sent to no more
// endpoints.
//
// Any request may be cut off when an endpoint ends. A subject, which is a request or a
// part, is isolated if several endpoints have ended one after the other under it, and
// it has been found sound by no answer since. Nodes exchange what they have observed,
// because the requests come at any node.
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
	// isolationCrashes is the number of failures under a subject after which it is
	// isolated. A request that is sent to two endpoints while hosts fail must not be
	// enough.
	isolationCrashes = 3
	// simultaneousTime is the time within which several endpoints that end under
	// attempts that ran at the same time count as one failure, such as that of a data
	// centre.
	simultaneousTime = 250 * time.Millisecond
	// messageResolution is the resolution of times in messages.
	messageResolution = time.Millisecond
	// isolationTime is how long an observation counts.
	isolationTime = 5 * time.Minute
	// confirmationTime is the time within which an endpoint that has cut off a
	// request must be found to have ended. Otherwise only its answer was lost.
	confirmationTime = 6 * time.Second
	// newsTime is how long an observation is sent to other nodes, unless its
	// subject is isolated.
	newsTime = 5 * time.Second
	// hopTime is added to the age of an observation of another node. It is more
	// than a message takes, so that an observation that comes back is not taken
	// for a later one.
	hopTime = 20 * time.Millisecond
	// maxSent bounds the observations in a message. With 21 bytes each, five
	// messages a second take 3.4 KB/s while endpoints crash.
	maxSent = 32
	// maxSubjects bounds the number of subjects and of endpoints that are kept.
	maxSubjects = 1024
)

// Subject is what endpoints may end under.
type Subject struct {
	// ID is the fingerprint of a request, or the hash of a prompt part.
	ID uint64
	// Request reports whether the subject is a request.
	Request bool
}

// cutOff is an attempt that was cut off.
type cutOff struct {
	at time.Time
	// sentAt is when the attempt was sent.
	sentAt time.Time
	// ended reports whether the endpoint was found to have ended at that time.
	ended bool
	// isolated reports whether another node has isolated the subject for it.
	isolated bool
}

// evidence is what is known about a subject.
type evidence struct {
	// cutOffs holds the first attempt that each endpoint has cut off. All of them
	// are after soundAt.
	cutOffs map[uint32]cutOff
	// soundAt is the last time at which an answer showed that the subject is sound.
	soundAt time.Time
}

// Isolator holds the observations of the fleet. It is not safe for concurrent
// use. The zero value has no observations.
type Isolator struct {
	subjects map[Subject]*evidence
	// endedAt holds the time at which an endpoint was found to have ended.
	endedAt map[uint32]time.Time
	// verdicts holds the subjects that are isolated, as of judgedAt, and reported those
	// that Changes has reported as such. changed reports whether observations have come
	// since judgedAt.
	verdicts, reported map[Subject]bool
	judgedAt           time.Time
	changed            bool
}

// Change is the begin or the end of an isolation.
type Change struct {
	Subject Subject
	// Ends is the number of endpoints that have ended under the subject, or zero if it
	// is no longer isolated.
	Ends int
}

// Changes returns the isolations that have begun or ended since the last call.
func (s *Isolator) Changes(now time.Time) []Change {
	if s.Empty() && len(s.reported) == 0 {
		return nil
	}
	s.judge(now)
	var list []Change
	for id := range s.reported {
		if !s.verdicts[id] {
			list = append(list, Change{Subject: id})
		}
	}
	for id := range s.verdicts {
		if !s.reported[id] {
			list = append(list, Change{Subject: id, Ends: len(s.subjects[id].cutOffs)})
		}
	}
	s.reported = s.verdicts
	slices.SortFunc(list, func(a, b Change) int { return cmp.Compare(a.Subject.ID, b.Subject.ID) })

	return list
}

// Counts returns the number of subjects that are suspected and, of these, of those that
// are isolated, as of the last call of Changes.
func (s *Isolator) Counts() (suspected, isolated int) { return len(s.subjects), len(s.reported) }

// Empty reports whether there are no suspects, so that RecordSound and Isolated need not
// be called.
func (s *Isolator) Empty() bool { return len(s.subjects) == 0 }

// RecordCutOff records that an endpoint has cut off an attempt with the given subjects,
// which was sent at sentAt.
func (s *Isolator) RecordCutOff(now, sentAt time.Time, subjects []Subject, endpoint uint32) {
	for _, id := range subjects {
		s.recordCutOff(now, cutOff{at: now, sentAt: sentAt}, id, endpoint)
	}
}

func (s *Isolator) recordCutOff(now time.Time, c cutOff, id Subject, endpoint uint32) {
	p := s.subjects[id]
	if p == nil {
		s.expire(now)
		if len(s.subjects) >= maxSubjects {
			return
		}
		if s.subjects == nil {
			s.subjects = map[Subject]*evidence{}
		}
		p = &evidence{cutOffs: map[uint32]cutOff{}}
		s.subjects[id] = p
	}
	known, found := p.cutOffs[endpoint]
	switch {
	case found && c.isolated && !known.isolated:
		known.isolated, s.changed = true, true
		p.cutOffs[endpoint] = known
	case !found && c.at.After(p.soundAt):
		s.changed = true
		endedAt, ended := s.endedAt[endpoint]
		c.ended = ended && endedAt.Sub(c.at).Abs() < confirmationTime
		p.cutOffs[endpoint] = c
	}
}

// RecordEnded records that an endpoint was found to have ended.
func (s *Isolator) RecordEnded(now time.Time, endpoint uint32) { s.recordEnded(now, now, endpoint) }

func (s *Isolator) recordEnded(now, at time.Time, endpoint uint32) {
	if s.endedAt == nil {
		s.endedAt = map[uint32]time.Time{}
	}
	if len(s.endedAt) >= maxSubjects {
		s.expire(now)
	}
	if at.After(s.endedAt[endpoint]) && len(s.endedAt) < maxSubjects {
		s.endedAt[endpoint] = at
	}
	for _, p := range s.subjects {
		if c, known := p.cutOffs[endpoint]; known && at.Sub(c.at).Abs() < confirmationTime {
			s.changed = s.changed || !c.ended
			c.ended = true
			p.cutOffs[endpoint] = c
		}
	}
}

// RecordSound records that an answer has shown the given subjects to be sound.
func (s *Isolator) RecordSound(now time.Time, subjects []Subject) {
	for _, id := range subjects {
		s.recordSound(now, id)
	}
}

func (s *Isolator) recordSound(at time.Time, id Subject) {
	// Subjects under which no attempt was cut off need no record.
	p := s.subjects[id]
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

// Isolated returns the first of the given subjects that is isolated, and reports whether
// there is one.
func (s *Isolator) Isolated(now time.Time, subjects []Subject) (Subject, bool) {
	s.judge(now)
	for _, id := range subjects {
		if s.verdicts[id] {
			return id, true
		}
	}

	return Subject{}, false
}

// Suspected reports whether attempts with the subject were cut off, and none has shown it
// to be sound since.
func (s *Isolator) Suspected(id Subject) bool {
	p := s.subjects[id]

	return p != nil && len(p.cutOffs) > 0
}

// Observations returns what other nodes need to know, the latest first.
func (s *Isolator) Observations(now time.Time) []encoder.Crash {
	s.judge(now)
	var list []encoder.Crash
	add := func(id Subject, endpoint uint32, at time.Time, took time.Duration, isolated bool) {
		if age := now.Sub(at); isolated || age < newsTime {
			list = append(list, encoder.Crash{
				Subject: id.ID, Request: id.Request, Endpoint: endpoint, Isolated: isolated, Age: uint32(age.Milliseconds()), Took: uint32(took.Milliseconds()),
			})
		}
	}
	for id, p := range s.subjects {
		isolated := s.verdicts[id]
		for endpoint, c := range p.cutOffs {
			add(id, endpoint, c.at, c.at.Sub(c.sentAt), isolated)
			if c.ended && isolated {
				add(Subject{}, endpoint, c.at, 0, true)
			}
		}
		if !p.soundAt.IsZero() {
			add(id, 0, p.soundAt, 0, false)
		}
	}
	for endpoint, at := range s.endedAt {
		add(Subject{}, endpoint, at, 0, false)
	}
	slices.SortFunc(list, func(a, b encoder.Crash) int {
		return cmp.Or(cmp.Compare(a.Age, b.Age), cmp.Compare(a.Subject, b.Subject), cmp.Compare(a.Endpoint, b.Endpoint))
	})

	return list[:min(len(list), maxSent)]
}

// Merge adds the observations of another node.
func (s *Isolator) Merge(now time.Time, list []encoder.Crash) {
	when := func(c encoder.Crash) time.Time { return now.Add(-time.Duration(c.Age)*time.Millisecond - hopTime) }
	for _, c := range list {
		switch at := when(c); {
		case now.Sub(at) >= isolationTime || c.Subject == 0:
		case c.Endpoint == 0:
			s.recordSound(at, Subject{c.Subject, c.Request})
		default:
			s.recordCutOff(now, cutOff{at: at, sentAt: at.Add(-time.Duration(c.Took) * time.Millisecond), isolated: c.Isolated}, Subject{c.Subject, c.Request}, c.Endpoint)
		}
	}
	// Ends confirm the attempts that were cut off, so they come last.
	for _, c := range list {
		if at := when(c); c.Subject == 0 && now.Sub(at) < isolationTime {
			s.recordEnded(now, at, c.Endpoint)
		}
	}
}

// expire removes observations that no longer count.
func (s *Isolator) expire(now time.Time) {
	for id, p := range s.subjects {
		for endpoint, c := range p.cutOffs {
			if now.Sub(c.at) >= isolationTime {
				delete(p.cutOffs, endpoint)
			}
		}
		if len(p.cutOffs) == 0 && now.Sub(p.soundAt) >= newsTime {
			delete(s.subjects, id)
		}
	}
	for endpoint, at := range s.endedAt {
		if now.Sub(at) >= isolationTime {
			delete(s.endedAt, endpoint)
		}
	}
}
