package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	qt "github.com/frankban/quicktest"

	"snipedyke/pkg/cataloguer"
	"snipedyke/pkg/encoder"
)

// harness drives a home with one node and a pool of one endpoint step by step.
type harness struct {
	home *Home
	now  time.Time
	asks uint64
	// class holds the class of each ask.
	class map[uint64]string
	// running holds the permits in use by class, and refused the reason of the
	// last refusal of each class.
	running map[string][]uint64
	refused map[string]string
}

func newHarness(slots int, classes ...*cataloguer.Class) *harness {
	return &harness{
		home: warmHome(fleet(1, slots, slots, classes...)), now: start,
		class: map[uint64]string{}, running: map[string][]uint64{}, refused: map[string]string{},
	}
}

func (h *harness) ask(class string, n int, a encoder.Ask) {
	for range n {
		h.asks++
		x := a
		x.ID, x.Pool, x.Class = h.asks, "p", class
		h.class[h.asks] = class
		h.home.Ask(h.now, "n0", &x)
	}
}

// step advances the time, with a report of the node and a step every 100 ms.
func (h *harness) step(d time.Duration) {
	for end := h.now.Add(d); ; h.now = h.now.Add(100 * time.Millisecond) {
		var permits []encoder.Permit
		for _, ids := range h.running {
			for _, id := range ids {
				permits = append(permits, encoder.Permit{ID: id, Pool: "p"})
			}
		}
		h.home.Report(h.now, "n0", 1, 1, permits, true)
		for _, x := range h.home.Step(h.now) {
			switch x := x.(type) {
			case Grant:
				class := h.class[x.Grant.Ask]
				h.running[class] = append(h.running[class], x.Grant.Permit)
			case Refuse:
				h.refused[h.class[x.Refuse.Ask]] = x.Refuse.Reason
			}
		}
		if !h.now.Before(end) {
			return
		}
	}
}

// done returns the oldest permit of a class.
func (h *harness) done(class string, outcome uint8, run time.Duration) {
	id := h.running[class][0]
	h.running[class] = h.running[class][1:]
	h.home.Done(h.now, "n0", &encoder.Done{Permit: id, Outcome: outcome, Run: run.Microseconds()})
}

var (
	pay  = &cataloguer.Class{Name: "pay", Tier: 0, FirstToken: time.Second, Share: 0.25, MaxWait: 2 * time.Second}
	talk = &cataloguer.Class{Name: "talk", Tier: 1, FirstToken: time.Second, Share: 0.25, MaxWait: 5 * time.Second}
	bulk = &cataloguer.Class{Name: "bulk", Tier: 2, FirstToken: time.Minute, Share: 0.25, MaxWait: 10 * time.Second, Batch: true}
)

// Guards against lower tiers that use places reserved for non-idempotent work, and
// against non-idempotent work that is refused in favour of a lower tier.
func TestPlacesStayReservedForNonIdempotentWork(t *testing.T) {
	c := qt.New(t)
	h := newHarness(8, pay, talk, bulk)
	h.ask("pay", 1, encoder.Ask{Once: true})
	h.step(0)
	h.done("pay", encoder.OutcomeOK, time.Second)
	h.ask("bulk", 50, encoder.Ask{})
	h.step(time.Second)
	c.Assert(len(h.running["bulk"]) <= 6, qt.IsTrue, qt.Commentf("bulk uses %d of 8 places", len(h.running["bulk"])))
	h.ask("pay", 2, encoder.Ask{Once: true})
	h.step(0)
	c.Assert(h.running["pay"], qt.HasLen, 2)
	h.ask("pay", 1, encoder.Ask{Once: true})
	h.step(0)
	c.Assert(h.refused, qt.HasLen, 0)
	h.done("bulk", encoder.OutcomeOK, time.Second)
	h.step(0)
	c.Assert(h.running["pay"], qt.HasLen, 3, qt.Commentf("the next place must go to the higher tier"))
}

// Guards against a class that starves behind higher tiers.
func TestLowestTierIsServedWithinMaxWait(t *testing.T) {
	c := qt.New(t)
	h := newHarness(2, pay, talk, bulk)
	h.ask("bulk", 1, encoder.Ask{})
	h.ask("pay", 2, encoder.Ask{Once: true})
	for range 120 {
		h.step(100 * time.Millisecond)
		for len(h.running["pay"]) > 0 {
			h.done("pay", encoder.OutcomeOK, 100*time.Millisecond)
		}
		h.ask("pay", 3, encoder.Ask{Once: true})
		if len(h.running["bulk"]) > 0 {
			break
		}
	}
	c.Assert(h.running["bulk"], qt.HasLen, 1)
	waited := h.now.Sub(start)
	c.Assert(waited <= bulk.MaxWait+time.Second, qt.IsTrue, qt.Commentf("waited %v", waited))
}

// Guards against requests that are queued although they cannot meet their target
// or deadline.
func TestLateRequestsAreRefusedAtOnce(t *testing.T) {
	c := qt.New(t)
	h := newHarness(4, talk)
	h.ask("talk", 4, encoder.Ask{})
	h.step(0)
	for range 4 {
		h.done("talk", encoder.OutcomeOK, 4*time.Second)
	}
	h.step(1100 * time.Millisecond)
	h.ask("talk", 4, encoder.Ask{})
	h.step(0)
	h.ask("talk", 8, encoder.Ask{})
	h.step(0)
	c.Assert(h.refused["talk"], qt.Equals, string(ReasonOverload))
	h.refused = map[string]string{}
	h.ask("talk", 1, encoder.Ask{Deadline: 1000})
	h.step(0)
	c.Assert(h.refused["talk"], qt.Equals, string(ReasonDeadline))
}

// Guards against callers that multiply the load by retries, whether they state
// that a request is a retry or not.
func TestRetryBudgetBoundsRetries(t *testing.T) {
	for _, stated := range []bool{true, false} {
		t.Run(fmt.Sprintf("stated=%v", stated), func(t *testing.T) {
			c := qt.New(t)
			h := newHarness(100, talk)
			for i := range 40 {
				h.ask("talk", 1, encoder.Ask{Fingerprint: uint64(i + 1), Attempt: 1})
			}
			h.step(0)
			for range 40 {
				h.done("talk", encoder.OutcomeCancelled, time.Second)
			}
			for i := range 40 {
				a := encoder.Ask{Fingerprint: uint64(i + 1), Attempt: 1}
				if stated {
					a = encoder.Ask{Fingerprint: uint64(i + 101), Attempt: 2}
				}
				h.ask("talk", 1, a)
			}
			h.step(0)
			c.Assert(h.running["talk"], qt.HasLen, 4, qt.Commentf("10%% of 40"))
			c.Assert(h.refused["talk"], qt.Equals, string(ReasonRetryBudget))
		})
	}
}

// Guards against decisions that depend on map order, so that a recorded trace would
// not replay.
func TestDecisionsAreDeterministic(t *testing.T) {
	run := func() string {
		sim := newSimulation(draftsmith, 1, []*workload{chats(0.4, 9, 8), batch(1, 9, 8)}, newHomePolicy, 30*time.Second)
		p := sim.policy.(*homePolicy)
		p.digest = xxhash.New()
		sim.at(start.Add(10*time.Second), func() { sim.engines[0].crash() })
		sim.run(30 * time.Second)

		return fmt.Sprint(p.digest.Sum64())
	}
	first := run()
	for range 5 {
		qt.Assert(t, run(), qt.Equals, first)
	}
}
