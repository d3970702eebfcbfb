package claimer_test

import (
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"snipedyke/internal/claimer"
	"snipedyke/pkg/cataloguer"
	"snipedyke/pkg/encoder"
)

// scenario is a fleet of five nodes: the three witnesses of a key, and the
// other two, x and y.
type scenario struct {
	*fleet
	witnesses []string
	x, y      string
}

func newScenario(c *qt.C) *scenario {
	f := newFleet(1, 5)
	f.abandonRate = 0
	s := &scenario{fleet: f, witnesses: f.nodes["h0"].detector.Witnesses(claimer.KeySubject("account", "key"))}
	for _, n := range f.names {
		if !slices.Contains(s.witnesses, n) {
			s.x, s.y = n, s.x
		}
	}
	c.Assert(f.nodes[s.x].claimer.Covering(), qt.IsTrue)

	return s
}

// deliverIntercepted sends the intercepted messages and stops intercepting.
func (s *scenario) deliverIntercepted() {
	delayed := s.intercepted
	s.intercept, s.intercepted = nil, nil
	for _, p := range delayed {
		s.send(p.from, p.to, p.m)
	}
}

func (s *scenario) result(id uint64) claimer.Result { return s.verdicts[id].Result }

// A witness grants a claim, restarts, and pulls from the other witnesses before
// the claim reaches them. The grant of the earlier incarnation must not count
// toward a quorum.
func TestGrantOfFormerIncarnation(t *testing.T) {
	c := qt.New(t)
	s := newScenario(c)
	crashed := false
	s.intercept = func(from, to string, m encoder.Message) bool {
		_, claim := m.(*encoder.Claim)
		return claim && from == s.x && (to != s.witnesses[0] || crashed)
	}
	first := s.claim(s.x, "key")
	s.run(20 * time.Millisecond)
	s.crash(s.witnesses[0])
	crashed = true
	s.boot(s.witnesses[0])
	s.run(80 * time.Millisecond)
	c.Assert(s.nodes[s.witnesses[0]].claimer.Covering(), qt.IsTrue)
	// The claim now reaches only the second witness.
	s.intercepted = slices.DeleteFunc(s.intercepted, func(p packet) bool { return p.to != s.witnesses[1] })
	delayed := s.intercepted
	s.intercepted = nil
	for _, p := range delayed {
		s.nodes[p.to].inbox = append(s.nodes[p.to].inbox, p)
	}
	s.run(30 * time.Millisecond)
	second := s.claim(s.y, "key")
	s.run(2 * time.Second)
	c.Check(s.failure, qt.Equals, "")
	c.Check(s.result(first) == claimer.Won && s.result(second) == claimer.Won, qt.IsFalse)
}

// A delayed release must not remove the record of a later claim of the same
// coordinator that was won.
func TestLateRelease(t *testing.T) {
	c := qt.New(t)
	s := newScenario(c)
	s.intercept = func(from, _ string, m encoder.Message) bool {
		switch m.(type) {
		case *encoder.ClaimReply:
			return true
		case *encoder.Release:
			return from == s.x
		}

		return false
	}
	first := s.claim(s.x, "key")
	s.run(400 * time.Millisecond)
	c.Assert(s.result(first), qt.Equals, claimer.Unavailable)
	releases := slices.DeleteFunc(s.intercepted, func(p packet) bool {
		_, ok := p.m.(*encoder.Release)
		return !ok
	})
	s.intercept, s.intercepted = nil, nil
	second := s.claim(s.x, "key")
	s.run(40 * time.Millisecond)
	c.Assert(s.result(second), qt.Equals, claimer.Won)
	s.intercepted = releases
	s.deliverIntercepted()
	s.run(20 * time.Millisecond)
	s.claim(s.y, "key")
	s.run(2 * time.Second)
	c.Check(s.failure, qt.Equals, "")
}

// A restarted witness pulls records of the same key from two coordinators. The
// release of one claim must not free the key, as the other coordinator runs it.
func TestReleaseOfContestedKey(t *testing.T) {
	c := qt.New(t)
	s := newScenario(c)
	// The claim of x reaches one witness, and its release is lost.
	s.intercept = func(from, to string, m encoder.Message) bool {
		switch m.(type) {
		case *encoder.Claim:
			return from == s.x && to != s.witnesses[0]
		case *encoder.Release:
			return from == s.x
		case *encoder.Finish:
			return true
		}

		return false
	}
	s.claim(s.x, "key")
	s.run(400 * time.Millisecond)
	second := s.claim(s.y, "key")
	s.run(30 * time.Millisecond)
	c.Assert(s.result(second), qt.Equals, claimer.Won)
	s.crash(s.y)
	s.intercepted = nil
	s.intercept = func(from, to string, m encoder.Message) bool {
		switch m.(type) {
		case *encoder.Finish:
			return true
		case *encoder.Push:
			return from == s.witnesses[1] && to == s.witnesses[2]
		}

		return false
	}
	s.crash(s.witnesses[2])
	s.run(50 * time.Millisecond)
	s.boot(s.witnesses[2])
	s.run(50 * time.Millisecond)
	for _, p := range s.intercepted {
		if _, push := p.m.(*encoder.Push); push {
			s.nodes[p.to].inbox = append(s.nodes[p.to].inbox, p)
		}
	}
	s.run(time.Second)
	c.Assert(s.nodes[s.witnesses[2]].claimer.Covering(), qt.IsTrue)
	s.crash(s.witnesses[1])
	third := s.claim(s.x, "key")
	s.run(3 * time.Second)
	c.Check(s.failure, qt.Equals, "")
	c.Check(s.result(third), qt.Not(qt.Equals), claimer.Won)
}

// A grant that was sent to an earlier incarnation must not count for the claim
// of another key by the next incarnation.
func TestReplyToFormerIncarnation(t *testing.T) {
	c := qt.New(t)
	s := newScenario(c)
	s.intercept = func(_, to string, m encoder.Message) bool {
		_, reply := m.(*encoder.ClaimReply)
		return reply && to == s.x
	}
	s.crash(s.x)
	s.boot(s.x)
	s.run(time.Second)
	s.claim(s.x, "key")
	s.run(30 * time.Millisecond)
	s.crash(s.x)
	s.boot(s.x)
	replies := s.intercepted
	s.intercepted = nil
	s.run(time.Second)
	s.intercept = func(from, _ string, m encoder.Message) bool {
		_, claim := m.(*encoder.Claim)
		return claim && from == s.x
	}
	id := s.claim(s.x, "key")
	for _, p := range replies {
		s.nodes[p.to].inbox = append(s.nodes[p.to].inbox, p)
	}
	s.run(20 * time.Millisecond)
	c.Check(s.result(id), qt.Not(qt.Equals), claimer.Won)
}

// No record may be lost when nodes leave: after all witnesses of a key have left
// and restarted in turn, a request with the key still gets the answer.
func TestLeaveKeepsAnswers(t *testing.T) {
	c := qt.New(t)
	s := newScenario(c)
	c.Assert(s.claim(s.x, "key"), qt.Equals, uint64(1))
	s.run(time.Second)
	for _, w := range s.witnesses {
		n := s.nodes[w]
		n.leaving = true
		n.detector.Leave(s.now)
		s.apply(n, n.claimer.Leave(s.now))
		s.run(2 * time.Second)
		c.Assert(n.up, qt.IsFalse)
		s.boot(w)
		s.run(2 * time.Second)
	}
	id := s.claim(s.y, "key")
	s.run(time.Second)
	c.Check(s.result(id), qt.Equals, claimer.Answered)
	c.Check(s.failure, qt.Equals, "")
}

// A witness that has begun to transfer its records must not grant claims,
// because the receivers treat the transferred records as complete.
func TestNoVoteWhileHandingOver(t *testing.T) {
	c := qt.New(t)
	s := newScenario(c)
	n := s.nodes[s.witnesses[0]]
	s.apply(n, n.claimer.Leave(s.now))
	out := n.claimer.Receive(s.now, s.x, &encoder.Claim{
		ID: 1, Subject: claimer.KeySubject("account", "key"), Hosts: 1, Incarnation: s.nodes[s.x].incarnation,
	})
	c.Assert(out, qt.HasLen, 1)
	c.Check(out[0].(claimer.Send).Message.(*encoder.ClaimReply).Result, qt.Not(qt.Equals), encoder.ClaimGranted)
}

// Two witnesses that lose their records at once must not vouch for their keys,
// even if the third one has no record: the request gets "may have run" and no
// second run.
func TestDoubleRestart(t *testing.T) {
	c := qt.New(t)
	s := newScenario(c)
	// The claim and the outcome do not reach the third witness.
	s.intercept = func(_, to string, m encoder.Message) bool {
		_, beat := m.(*encoder.Heartbeat)
		return !beat && to == s.witnesses[2]
	}
	c.Assert(s.claim(s.x, "key"), qt.Equals, uint64(1))
	s.run(time.Second)
	s.intercept, s.intercepted = nil, nil
	s.crash(s.x)
	s.crash(s.witnesses[0])
	s.crash(s.witnesses[1])
	s.run(time.Second)
	s.boot(s.witnesses[0])
	s.boot(s.witnesses[1])
	s.boot(s.x)
	s.run(12 * time.Second)
	id := s.claim(s.y, "key")
	s.run(2 * time.Second)
	c.Check(s.failure, qt.Equals, "")
	c.Check(s.result(id), qt.Equals, claimer.Unverifiable)
}

// One or two witnesses of a key and the first coordinator apply a host list late
// that gives the key new witnesses. A claim under the old list and one under the
// new list must not both win: the new witnesses must not treat the answers of
// late nodes as complete, and a witness with the new list must not vote under
// the old one.
func TestClaimsUnderTwoLists(t *testing.T) {
	for lagging := 1; lagging <= 2; lagging++ {
		claimUnderTwoLists(qt.New(t), lagging)
	}
}

func claimUnderTwoLists(c *qt.C, lagging int) {
	f := newFleet(1, 8)
	f.abandonRate = 0
	w := f.nodes["h0"].detector.Witnesses(claimer.KeySubject("account", "key"))
	list := &cataloguer.Hosts{Version: 2, Hosts: slices.Clone(f.hosts.Hosts)}
	var rest []string
	for i, h := range list.Hosts {
		list.Hosts[i].Leaving = h.Name == w[1] || h.Name == w[2]
		if !slices.Contains(w, h.Name) {
			rest = append(rest, h.Name)
		}
	}
	f.hosts = list
	lag := append([]string{rest[0]}, w[1:1+lagging]...)
	f.intercept = func(_, to string, m encoder.Message) bool {
		_, beat := m.(*encoder.Heartbeat)
		_, finish := m.(*encoder.Finish)

		return finish || beat && slices.Contains(lag, to)
	}
	for _, n := range f.names {
		if !slices.Contains(lag, n) {
			f.setHosts(f.nodes[n], list)
		}
	}
	f.run(2 * time.Second)
	old := f.claim(rest[0], "key")
	f.run(100 * time.Millisecond)
	c.Check(f.verdicts[old].Result == claimer.Won, qt.Equals, lagging == 2)
	f.claim(rest[1], "key")
	f.run(time.Second)
	c.Check(f.failure, qt.Equals, "")
	f.intercept = nil
	for _, n := range lag {
		f.setHosts(f.nodes[n], list)
	}
	f.run(2 * time.Second)
	late := f.claim(rest[2], "key")
	f.run(time.Second)
	c.Check(f.verdicts[late].Result, qt.Equals, claimer.Answered, qt.Commentf("%d lag", lagging))
	c.Check(f.failure, qt.Equals, "")
}
