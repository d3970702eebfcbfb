package isolator

import (
	"cmp"
	"slices"
	"time"
)

// judgeInterval is how often the verdicts are renewed because observations expire.
const judgeInterval = time.Second

// judge renews the verdicts if necessary.
//
// An endpoint that ends cuts off all that it runs, so that a sound request or part has as
// much against it as the harmful request beside which it ran each time. An isolated request
// explains the ends of the endpoints that have cut it off: they do not count against
// requests with fewer failures, nor against prompt parts under which all ends are
// explained. An end under a part that no isolated request explains makes the part harmful
// itself, in several requests.
func (s *Isolator) judge(now time.Time) {
	if !s.changed && now.Sub(s.judgedAt) < judgeInterval {
		return
	}
	s.changed, s.judgedAt = false, now
	// Copies of the Isolator share the former verdicts.
	former := s.verdicts
	s.verdicts = map[Subject]bool{}
	none := explains(nil)
	type suspect struct {
		id       Subject
		failures int
	}
	var requests []suspect
	for id, p := range s.subjects {
		if id.Request && p.harmful(now, none) {
			requests = append(requests, suspect{id, p.failures(now, none)})
		}
	}
	slices.SortFunc(requests, func(a, b suspect) int {
		return cmp.Or(cmp.Compare(b.failures, a.failures), cmp.Compare(a.id.ID, b.id.ID))
	})
	var isolated []*evidence
	for len(requests) > 0 {
		n := 1
		for n < len(requests) && requests[n].failures == requests[0].failures {
			n++
		}
		explained := explains(isolated)
		for _, r := range requests[:n] {
			if p := s.subjects[r.id]; p.harmful(now, explained) {
				s.verdicts[r.id] = true
				isolated = append(isolated, p)
			}
		}
		requests = requests[n:]
	}
	for id, p := range s.subjects {
		if !id.Request && p.harmfulPart(now, isolated) {
			s.verdicts[id] = true
		}
	}
	for id := range s.verdicts {
		if former[id] {
			continue
		}
		// What the verdict rests on is sent again with it.
		s.unsent = true
		for _, c := range s.subjects[id].cutOffs {
			c.sent = 0
		}
	}
}

// explains returns a function that reports whether an endpoint has cut off one of the given
// requests.
func explains(requests []*evidence) func(endpoint uint32) bool {
	return func(endpoint uint32) bool {
		return slices.ContainsFunc(requests, func(p *evidence) bool {
			_, known := p.cutOffs[endpoint]

			return known
		})
	}
}

// harmful reports whether the subject is isolated for the ends that are not explained
// otherwise.
//
// Nodes adopt the isolations of others, because the times of observations differ between
// them, so that a node may take failures for simultaneous that others see one after the
// other.
func (p *evidence) harmful(now time.Time, explained func(endpoint uint32) bool) bool {
	for endpoint, c := range p.cutOffs {
		if c.isolated && now.Sub(c.at) < isolationTime && !explained(endpoint) {
			return true
		}
	}

	return p.failures(now, explained) >= isolationCrashes
}

// harmfulPart reports whether a prompt part is isolated, where the given requests are.
func (p *evidence) harmfulPart(now time.Time, isolated []*evidence) bool {
	unexplained := p.failures(now, explains(isolated))

	return p.harmful(now, explains(isolated)) || unexplained > 0 && p.failures(now, explains(nil)) >= isolationCrashes
}

// failures returns the number of failures under the subject that are not explained
// otherwise. Endpoints that end one after the other are separate failures, even in quick
// succession: a request that is repeated at once reaches the next one when the former has
// ended.
func (p *evidence) failures(now time.Time, explained func(endpoint uint32) bool) int {
	var crashes []*cutOff
	for endpoint, c := range p.cutOffs {
		if c.ended && now.Sub(c.at) < isolationTime && !explained(endpoint) {
			crashes = append(crashes, c)
		}
	}
	slices.SortFunc(crashes, func(a, b *cutOff) int { return a.at.Compare(b.at) })
	failures, last := 0, time.Time{}
	for _, c := range crashes {
		if c.at.Sub(last) >= simultaneousTime || last.Sub(c.sentAt) <= messageResolution {
			failures, last = failures+1, c.at
		}
	}

	return failures
}
