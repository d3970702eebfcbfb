package director

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"reflect"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"snipedyke/internal/chooser"
	"snipedyke/pkg/encoder"
)

// twins are two nodes that get the same events. Only one of them explains requests.
type twins struct {
	c                *qt.C
	explained, plain *node
	outcomes         map[string]int
}

func newTwins(c *qt.C) *twins {
	t := &twins{c: c, explained: newNode(), plain: newNode(), outcomes: map[string]int{}}
	o := options()
	o.Outcomes, o.Speeds, o.Accounts = true, true, true
	t.post(OptionsChanged{o})

	return t
}

func (t *twins) post(e Event) []Effect {
	t.c.Helper()
	t.c.Assert(reflect.DeepEqual(t.explained.post(e), t.plain.post(e)), qt.IsTrue, qt.Commentf("%T: %v, not %v", e, t.explained.effects, t.plain.effects))

	return t.plain.effects
}

func (t *twins) pass(length time.Duration) {
	t.explained.now, t.plain.now = t.explained.now.Add(length), t.plain.now.Add(length)
	t.post(ViewConfirmed{t.plain.now})
}

// send explains a request, checks that this leaves no trace, and sends the request.
func (t *twins) send(id uint64, path string, tokens int) Placement {
	t.c.Helper()
	q := Request{ID: id, Name: fmt.Sprint("r", id), Host: "h", Path: path, Deadline: 5 * time.Second, Need: chooser.Need{PromptTokens: tokens}}
	if tokens > 4000 {
		q.Need.SharedHash, q.Need.SharedParts, q.Need.SharedTokens = uint64(tokens%5), []uint64{uint64(tokens % 5)}, 3000
	}
	p := t.explained.Explain(t.explained.now, q, "club")
	t.c.Assert(reflect.DeepEqual(t.explained.Director, t.plain.Director), qt.IsTrue, qt.Commentf("%+v has changed the state", p))
	q.Key = "key"
	got := Placement{Outcome: OutcomeQueued}
	probed := false
	for _, e := range t.post(Arrived{q}) {
		switch e := e.(type) {
		case Count:
			probed = probed || e.Counter == CounterProbes
		case Dispatch:
			if e.ID == id {
				got = Placement{Outcome: OutcomeSent, Endpoint: e.Endpoint}
			}
		case Refuse:
			if e.ID == id {
				got = Placement{Outcome: OutcomeRejected, Status: e.Status, Reason: e.Reason, Retry: e.RetryAfter}
			}
		}
	}
	want := Placement{Outcome: p.Outcome, Endpoint: p.Endpoint}
	if p.Outcome == OutcomeRejected {
		want.Status, want.Reason, want.Retry = p.Status, p.Reason, p.Retry
	}
	t.c.Assert(got, qt.DeepEquals, want)
	t.c.Assert(!p.Probe || probed, qt.IsTrue)
	t.outcomes[fmt.Sprint(p.Outcome, " ", p.Reason, " ", p.Probe)]++

	return p
}

// Guards against an explanation that is not what happens to the request, and against one
// that changes later decisions or what other nodes are told: in random traffic with
// failures, pauses, queues and accounts beyond their share.
func TestExplanationsComeTrueAndChangeNothing(t *testing.T) {
	c := qt.New(t)
	outcomes := map[string]int{}
	for seed := range uint64(8) {
		rng := rand.New(rand.NewPCG(seed, 1))
		tw := newTwins(c)
		paths := []string{"/pay/1", "/look/1", "/open/1", "/chat/1", "/chat/1", "/draft/1", "/draft/1", "/none"}
		group := func(priority uint64) encoder.Demand {
			req := &request{route: table(1).Route("h", []string{"/chat/1", "/draft/1"}[priority]), service: &service{name: "model"}, account: table(1).Account("key")}
			k := accountKey(req)

			return encoder.Demand{Group: k.Group, Account: k.Account, Offered: 1000, Admitted: 300}
		}
		for id := uint64(1); id < 400; id++ {
			tw.send(id, paths[rng.IntN(len(paths))], rng.IntN(9000))
			for _, other := range slices.Sorted(maps.Keys(tw.plain.requests)) {
				if req := tw.plain.requests[other]; other+uint64(rng.IntN(40)) > id || req.endpoint == nil {
					continue
				}
				result := []Result{Answered, Answered, Answered, Broken, Unreached, Declined}[int(other)%6]
				if result == Answered {
					tw.post(ResponseStarted{ID: other, Wait: time.Duration(20+other%300) * time.Millisecond})
				}
				if other%50 == 0 {
					tw.post(EndpointNoticed{ID: other, Pause: 300 * time.Millisecond, Limited: other%100 == 0, Limit: 3})
				}
				tw.post(AttemptFinished{ID: other, Result: result, Status: 200, Took: 2 * time.Second})

				break
			}
			switch rng.IntN(12) {
			case 0:
				tw.post(ObservationsReceived{[]encoder.Observation{{Endpoint: endpointNumber("desk-1"), Attempts: 20, Failures: 20}}})
			case 1:
				tw.post(DemandsReceived{[]encoder.Demand{group(0), group(1)}})
			case 2:
				tw.post(Ticked{})
			case 3:
				now := tw.plain.now
				c.Assert(tw.explained.TakeObservations(now), qt.DeepEquals, tw.plain.TakeObservations(now))
				c.Assert(tw.explained.TakeDemands(now), qt.DeepEquals, tw.plain.TakeDemands(now))
				c.Assert(tw.explained.TakeLoadChanges(), qt.DeepEquals, tw.plain.TakeLoadChanges())
			}
			tw.pass(time.Duration(rng.IntN(60)) * time.Millisecond)
		}
		for outcome, n := range tw.outcomes {
			outcomes[outcome] += n
		}
	}
	for _, outcome := range []string{"sent  false", "sent  true", "queued overload false", "queued account_share false", "rejected no_route false"} {
		c.Check(outcomes[outcome] > 0, qt.IsTrue, qt.Commentf("%s: %v", outcome, outcomes))
	}
}

// Guards against candidates without the terms that decide, and against endpoints that get
// nothing and are shown without the reason.
func TestExplanationNamesTermsAndObstacles(t *testing.T) {
	c := qt.New(t)
	tw := newTwins(c)
	states := func(p Placement) map[string]State {
		all := map[string]State{}
		for _, candidate := range p.Candidates {
			all[candidate.Endpoint] = candidate.State
		}

		return all
	}
	first := tw.send(1, "/chat/1", 100)
	c.Check(first.Candidates, qt.HasLen, 3)
	c.Check(first.Candidates[0].Endpoint, qt.Equals, first.Endpoint)
	c.Check(first.Candidates[0].Running, qt.Equals, 0)
	second := tw.send(2, "/chat/1", 100)
	c.Check(second.Endpoint, qt.Not(qt.Equals), first.Endpoint)
	last := second.Candidates[2]
	c.Check(last.Endpoint, qt.Equals, first.Endpoint)
	c.Check([]float64{float64(last.Running), last.Tokens}, qt.DeepEquals, []float64{1, 100})
	c.Check(last.Cost > second.Candidates[0].Cost, qt.IsTrue)

	draining := entry("model", 0)
	draining.Draining = true
	draining.Sequence++
	tw.post(EntryPut{draining})
	c.Check(states(tw.send(3, "/chat/1", 100))["model-0"], qt.Equals, StateDraining)

	// Of the endpoints of the other service, one fails and one pauses.
	tw.post(ObservationsReceived{[]encoder.Observation{{Endpoint: endpointNumber("desk-1"), Attempts: 10, Failures: 10}}})
	p := tw.send(4, "/pay/1", 0)
	c.Check(states(p)["desk-1"], qt.Equals, StateFailing)
	c.Check(p.Candidates[2].Failures, qt.Equals, 10.0/12)
	tw.post(EndpointNoticed{ID: 4, Pause: time.Minute})
	c.Check(states(tw.send(5, "/pay/1", 0))[p.Endpoint], qt.Equals, StatePaused)

	unknown := tw.explained.Explain(tw.explained.now, Request{Host: "h", Path: "/pay/1"}, "nobody")
	c.Check([]any{unknown.Status, unknown.Reason}, qt.DeepEquals, []any{401, ReasonNoKey})
}

// Guards against terms that include less urgent requests, which are placed after the
// explained one.
func TestExplanationLeavesOutRequestsThatComeAfter(t *testing.T) {
	c := qt.New(t)
	tw := newTwins(c)
	for id := uint64(1); id <= 3; id++ {
		tw.send(id, "/chat/1", 100)
		tw.post(EndpointNoticed{ID: id, Pause: 60 * time.Millisecond})
	}
	for id := uint64(1); id <= 3; id++ {
		tw.post(AttemptFinished{ID: id, Result: Answered, Status: 200, Relayed: true})
	}
	tw.pass(20 * time.Millisecond)
	c.Assert(tw.send(4, "/draft/1", 100).Outcome, qt.Equals, OutcomeQueued)
	tw.pass(60 * time.Millisecond)
	p := tw.send(5, "/chat/1", 100)
	c.Assert(p.Outcome, qt.Equals, OutcomeSent)
	for _, candidate := range p.Candidates {
		c.Check(candidate.Running, qt.Equals, 0, qt.Commentf("%s", candidate.Endpoint))
	}
	c.Check(tw.plain.waiting, qt.HasLen, 0, qt.Commentf("the draft still waits"))
}
