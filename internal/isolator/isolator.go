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
	// Observations of isolated subjects that are no news are sent to nodes that have
	// started since, at most maxStanding of them every standingInterval.
	maxStanding      = 8
	standingInterval = time.Second
	// soundTime is how long after an answer to a request nothing counts against it:
	// where many send the same sound request, several are cut off before the next
	// answer.
	soundTime = time.Second
	// recentAnswers bounds the number of answered requests that are remembered.
	recentAnswers = 2048
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
	// sent is how often the observation was sent to other nodes.
	sent int
}

// ending is the end of an endpoint.
type ending struct {
	at time.Time
	// sent is how often the observation was sent to other nodes.
	sent int
}

// answer is an answer to a request.
type answer struct {
	request uint64
	at      time.Time
}

// evidence is what is known about a subject.
type evidence struct {
	// cutOffs holds the first attempt that each endpoint has cut off. All of them
	// are after soundAt and the subject's grace.
	cutOffs map[uint32]*cutOff
	// soundAt is the last time at which an answer showed that the subject is sound, and
	// soundSent is how often that was sent to other nodes.
	soundAt   time.Time
	soundSent int
}

// Isolator holds the observations of the fleet. It is not safe for concurrent
// use. The zero value has no observations.
type Isolator struct {
	subjects map[Subject]*evidence
	// answers holds the last answers to requests, by their fingerprints modulo its
	// length. It is nil before the first one.
	answers []answer
	// endings holds when endpoints were found to have ended.
	endings map[uint32]*ending
	// unsent reports whether there may be observations that were never sent to other
	// nodes, and standingAt is when those that are no news were last sent.
	unsent     bool
	standingAt time.Time
	// expiredAt is when expired observations were last removed.
	expiredAt time.Time
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
	if now.Sub(s.expiredAt) >= judgeInterval {
		s.expire(now)
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
		s.recordCutOff(now, &cutOff{at: now, sentAt: sentAt}, id, endpoint)
	}
}

func (s *Isolator) recordCutOff(now time.Time, c *cutOff, id Subject, endpoint uint32) {
	p := s.subjects[id]
	if p == nil {
		if len(s.subjects) >= maxSubjects {
			s.expire(now)
		}
		if len(s.subjects) >= maxSubjects {
			s.evict()
		}
		if s.subjects == nil {
			s.subjects = map[Subject]*evidence{}
		}
		p = &evidence{cutOffs: map[uint32]*cutOff{}, soundAt: s.lastAnswer(id)}
		s.subjects[id] = p
		s.unsent = s.unsent || !p.soundAt.IsZero()
	}
	known, found := p.cutOffs[endpoint]
	switch {
	case found && c.isolated && !known.isolated:
		known.isolated, s.changed = true, true
	case !found && c.at.Sub(p.soundAt) > id.grace():
		s.changed, s.unsent = true, true
		end, ended := s.endings[endpoint]
		c.ended = ended && end.at.Sub(c.at).Abs() < confirmationTime
		p.cutOffs[endpoint] = c
	}
}

// RecordEnded records that an endpoint was found to have ended.
func (s *Isolator) RecordEnded(now time.Time, endpoint uint32) { s.recordEnded(now, now, endpoint) }

func (s *Isolator) recordEnded(now, at time.Time, endpoint uint32) {
	if s.endings == nil {
		s.endings = map[uint32]*ending{}
	}
	if len(s.endings) >= maxSubjects {
		s.expire(now)
	}
	switch end := s.endings[endpoint]; {
	case end == nil && len(s.endings) < maxSubjects:
		s.endings[endpoint], s.unsent = &ending{at: at}, true
	case end != nil && at.Sub(end.at) >= confirmationTime:
		*end, s.unsent = ending{at: at}, true
	}
	for _, p := range s.subjects {
		if c := p.cutOffs[endpoint]; c != nil && at.Sub(c.at).Abs() < confirmationTime {
			s.changed = s.changed || !c.ended
			c.ended = true
		}
	}
}

// grace returns how long after an answer nothing counts against the subject.
func (id Subject) grace() time.Duration {
	if id.Request {
		return soundTime
	}

	return 0
}

// lastAnswer returns when the request was last answered, or zero if that is not known.
func (s *Isolator) lastAnswer(id Subject) time.Time {
	if !id.Request || s.answers == nil {
		return time.Time{}
	}
	if a := s.answers[id.ID%recentAnswers]; a.request == id.ID {
		return a.at
	}

	return time.Time{}
}

// RecordAnswer records that a request was answered, so that nothing counts against it for a
// time. Unlike RecordSound, it must be called also while there are no suspects.
func (s *Isolator) RecordAnswer(now time.Time, request uint64) {
	if s.answers == nil {
		s.answers = make([]answer, recentAnswers)
	}
	s.answers[request%recentAnswers] = answer{request, now}
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
	p.soundAt, p.soundSent, s.changed, s.unsent = at, 0, true, true
	for endpoint, c := range p.cutOffs {
		if c.at.Sub(at) <= id.grace() {
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

// observation is an observation that can be sent to other nodes.
type observation struct {
	encoder.Crash
	// sent points to the number of times that it was sent, and weight is the number of
	// attempts with its subject that were cut off.
	sent   *int
	weight int
}

// News returns the observations that were never sent to other nodes. They are marked as
// sent.
func (s *Isolator) News(now time.Time) []encoder.Crash {
	if !s.unsent {
		return nil
	}
	list := slices.DeleteFunc(s.observations(now), func(o observation) bool { return *o.sent > 0 })
	s.unsent = len(list) > maxSent

	return take(list)
}

// Observations returns what other nodes need to know, and marks it as sent. Messages may be
// lost, so that all is sent again for newsTime; what was sent least often comes first.
func (s *Isolator) Observations(now time.Time) []encoder.Crash {
	list := s.observations(now)
	fresh := slices.DeleteFunc(slices.Clone(list), func(o observation) bool { return !isNews(o.Crash) })
	standing := slices.DeleteFunc(list, func(o observation) bool { return isNews(o.Crash) })
	if now.Sub(s.standingAt) < standingInterval {
		return take(fresh)
	}
	s.standingAt = now

	return take(append(standing[:min(len(standing), maxStanding)], fresh...))
}

// isNews reports whether an observation is recent.
func isNews(c encoder.Crash) bool { return time.Duration(c.Age)*time.Millisecond < newsTime }

// take marks the first observations of a list as sent, as many as fit into a message, and
// returns them.
func take(list []observation) []encoder.Crash {
	list = list[:min(len(list), maxSent)]
	crashes := make([]encoder.Crash, 0, len(list))
	for _, o := range list {
		*o.sent++
		crashes = append(crashes, o.Crash)
	}

	return crashes
}

// observations returns the observations that are news or belong to an isolated subject, in
// the order in which they are sent.
func (s *Isolator) observations(now time.Time) []observation {
	s.judge(now)
	var list []observation
	add := func(o observation, at time.Time) {
		age := now.Sub(at)
		if o.Age = uint32(age.Milliseconds()); age < newsTime || o.Isolated {
			list = append(list, o)
		}
	}
	for id, p := range s.subjects {
		for endpoint, c := range p.cutOffs {
			add(observation{encoder.Crash{
				Subject: id.ID, Request: id.Request, Endpoint: endpoint, Isolated: s.verdicts[id], Took: uint32(c.at.Sub(c.sentAt).Milliseconds()),
			}, &c.sent, len(p.cutOffs)}, c.at)
		}
		if !p.soundAt.IsZero() {
			add(observation{encoder.Crash{Subject: id.ID, Request: id.Request}, &p.soundSent, 0}, p.soundAt)
		}
	}
	for endpoint, end := range s.endings {
		add(observation{encoder.Crash{Endpoint: endpoint}, &end.sent, 0}, end.at)
	}
	slices.SortFunc(list, func(a, b observation) int {
		return cmp.Or(cmp.Compare(*a.sent, *b.sent), cmp.Compare(b.weight, a.weight), cmp.Compare(a.Age, b.Age),
			cmp.Compare(a.Subject, b.Subject), cmp.Compare(a.Endpoint, b.Endpoint))
	})

	return list
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
			s.recordCutOff(now, &cutOff{at: at, sentAt: at.Add(-time.Duration(c.Took) * time.Millisecond), isolated: c.Isolated}, Subject{c.Subject, c.Request}, c.Endpoint)
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
	s.expiredAt, s.changed = now, true
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
	for endpoint, end := range s.endings {
		if now.Sub(end.at) >= confirmationTime {
			delete(s.endings, endpoint)
		}
	}
}

// evict removes an eighth of the subjects that are not isolated, those that are least likely
// to be harmful: with the fewest attempts that were cut off, and of those the ones that were
// cut off first.
func (s *Isolator) evict() {
	ids := make([]Subject, 0, len(s.subjects))
	for id := range s.subjects {
		if !s.verdicts[id] {
			ids = append(ids, id)
		}
	}
	slices.SortFunc(ids, func(a, b Subject) int {
		p, q := s.subjects[a], s.subjects[b]

		return cmp.Or(cmp.Compare(len(p.cutOffs), len(q.cutOffs)), p.latest().Compare(q.latest()), cmp.Compare(a.ID, b.ID))
	})
	for _, id := range ids[:(len(ids)+7)/8] {
		delete(s.subjects, id)
	}
}

// latest returns when an attempt with the subject was last cut off.
func (p *evidence) latest() time.Time {
	var latest time.Time
	for _, c := range p.cutOffs {
		if c.at.After(latest) {
			latest = c.at
		}
	}

	return latest
}
