package director

import (
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"snipedyke/internal/chooser"
	"snipedyke/internal/pacer"
	"snipedyke/internal/router"
	"snipedyke/internal/sharer"
	"snipedyke/pkg/encoder"
)

// overloadedNode returns a node with two accounts, whose engines prefill 30 tokens per
// millisecond and run requests for 4 s.
func overloadedNode() *node {
	n := newNode()
	n.opts.Accounts = true
	t, err := router.New(router.Definition{
		Version:  2,
		Services: []router.Service{{Name: "model", Engine: &router.Engine{Slots: 4}}},
		Routes: []router.Route{
			{Name: "chat", Host: "h", Prefix: "/chat/", Kind: router.Stream, Timeout: 15 * time.Second, LatencyTarget: 600 * time.Millisecond, Attempts: 1, Shares: []router.Share{{Service: "model", Weight: 1}}},
			{Name: "draft", Host: "h", Prefix: "/draft/", Kind: router.Stream, Resumable: true, Timeout: 6 * time.Second, LatencyTarget: 600 * time.Millisecond, Attempts: 2, Priority: 1, Shares: []router.Share{{Service: "model", Weight: 1}}},
		},
		Accounts: []router.Account{{Name: "club"}, {Name: "guild"}},
		Keys:     map[string]string{"club": "club", "guild": "guild"},
	})
	if err != nil {
		panic(err)
	}
	n.post(TableLoaded{t})
	s := n.ensureService("model")
	s.estimator.RecordFirstToken(3000, 100*time.Millisecond)
	s.estimator.RecordRunTime(4 * time.Second)

	return n
}

func (n *node) draft(key string, deadline time.Duration) (id uint64, sent bool) {
	n.lastID++
	_, sent = find[Dispatch](n.post(Arrived{Request{
		ID: n.lastID, Name: fmt.Sprint("r", n.lastID), Host: "h", Path: "/draft/", Key: key, Deadline: deadline,
		Need: chooser.Need{PromptTokens: 9000},
	}}))

	return n.lastID, sent
}

// refuseWaiting lets the time pass that a request may wait, and returns the refusal.
func (n *node) refuseWaiting() Refuse {
	n.now = n.now.Add(100 * time.Millisecond)
	n.post(ViewConfirmed{n.now})
	refusal, _ := find[Refuse](n.post(Ticked{}))

	return refusal
}

// announceDemands tells the node that its account "club" asks for six times as much as
// "guild", and that half of both is admitted.
func (n *node) announceDemands() {
	key := func(account string) sharer.Key {
		return accountKey(&request{service: n.services["model"], route: &router.Route{Priority: 1}, account: &router.Account{Name: account}})
	}
	club, guild := key("club"), key("guild")
	n.post(DemandsReceived{List: []encoder.Demand{
		{Group: club.Group, Account: club.Account, Offered: 600, Admitted: 300},
		{Group: guild.Group, Account: guild.Account, Offered: 100, Admitted: 50},
	}})
}

// Guards against an account at six times the demand of another one that takes the capacity
// of both, and against holding its requests back while there is room.
func TestAccountBeyondItsShareYieldsWhereRoomIsShort(t *testing.T) {
	c := qt.New(t)
	served := func(key string, busy bool) (share float64, reasons map[Reason]bool) {
		n := overloadedNode()
		if busy {
			// One prompt waits at each engine: room for another one, but not for two.
			for range 3 {
				_, sent := n.draft("guild", 0)
				c.Assert(sent, qt.IsTrue)
			}
		}
		reasons = map[Reason]bool{}
		const count = 200
		for range count {
			n.announceDemands()
			id, sent := n.draft(key, 0)
			if sent {
				share += 1.0 / count
				n.post(AttemptFinished{ID: id, Result: Answered, Status: 200, Took: 4 * time.Second})
			} else {
				reasons[n.refuseWaiting().Reason] = true
			}
		}

		return share, reasons
	}
	share, _ := served("guild", true)
	c.Check(share > 0.999, qt.IsTrue, qt.Commentf("guild %.3f", share))
	// Of the 350 units that are admitted, the guild gets its 100.
	share, reasons := served("club", true)
	c.Check(share > 0.3 && share < 0.5, qt.IsTrue, qt.Commentf("club %.3f", share))
	c.Check(reasons, qt.DeepEquals, map[Reason]bool{ReasonAccountShare: true})
	share, _ = served("club", false)
	c.Check(share > 0.999, qt.IsTrue, qt.Commentf("club beside idle engines %.3f", share))
}

// Guards against waiting requests that overtake more urgent ones, those of accounts within
// their share, or those whose callers come back.
func TestWaitingRequestsAreServedInTurn(t *testing.T) {
	c := qt.New(t)
	urgent, draft := &router.Route{Timeout: 15 * time.Second}, &router.Route{Timeout: 6 * time.Second, Priority: 1}
	waits := func(route *router.Route, beyond bool, deadline, arrived time.Duration) *request {
		return &request{Request: Request{Deadline: deadline}, route: route, beyondShare: beyond, arrivedAt: start.Add(arrived)}
	}
	inTurn := []*request{
		waits(urgent, false, 15*time.Second, time.Second),
		waits(urgent, true, time.Second, 0),
		waits(draft, false, 4*time.Second, 3*time.Second),
		waits(draft, false, 6*time.Second, time.Second),
		waits(draft, false, 0, 2*time.Second),
		waits(draft, true, 6*time.Second, 0),
	}
	for _, order := range [][]int{{5, 4, 3, 2, 1, 0}, {2, 0, 5, 1, 4, 3}, {3, 4, 2, 0, 1, 5}} {
		var waiting []*request
		for _, i := range order {
			waiting = append(waiting, inTurn[i])
		}
		slices.SortStableFunc(waiting, compareWaiting)
		c.Check(slices.Equal(waiting, inTurn), qt.IsTrue, qt.Commentf("from %v", order))
	}

	// A new request does not take the place that a waiting one can have.
	n := overloadedNode()
	ids := []uint64{}
	for id, sent := n.draft("club", 0); sent; id, sent = n.draft("club", 0) {
		ids = append(ids, id)
	}
	waiting := n.lastID
	n.release(n.requests[ids[0]])
	n.post(Arrived{Request{ID: 1000, Name: "new", Host: "h", Path: "/draft/", Key: "club", Need: chooser.Need{PromptTokens: 9000}}})
	dispatch, sent := find[Dispatch](n.effects)
	c.Check(sent, qt.IsTrue)
	c.Check(dispatch.ID, qt.Equals, waiting)
}

// Guards against callers that are told to come back long before there is room, and against
// a delay that they do not wait for.
func TestRetryAfterFollowsTheLoad(t *testing.T) {
	c := qt.New(t)
	n := overloadedNode()
	n.opts.Speeds = true
	delays := make([]time.Duration, 0, 3)
	tokensPerSecond := 1000 / n.services["model"].model.PrefillTime(1000).Seconds()
	for _, seconds := range []float64{0.6, 1.8, 20} {
		for _, e := range n.endpoints {
			e.load.Others.PrefillTokens = seconds * tokensPerSecond
		}
		_, sent := n.draft("club", 0)
		c.Assert(sent, qt.IsFalse)
		delays = append(delays, n.refuseWaiting().RetryAfter)
	}
	c.Check(delays[1] > delays[0]+time.Second/2, qt.IsTrue, qt.Commentf("%v", delays))
	c.Check(delays[2] <= 2*time.Second+retryAfterSpread, qt.IsTrue, qt.Commentf("a third of 6 s: %v", delays))
}

// Guards against retries that are not sent, but use up the retry budget: in the soak test
// later requests were lost for lack of it.
func TestRetryThatIsNotSentLeavesTheBudget(t *testing.T) {
	c := qt.New(t)
	n := overloadedNode()
	first, _ := n.draft("club", 0)
	for _, e := range n.endpoints {
		e.load.Others.Running = 100
	}
	n.post(AttemptFinished{ID: first, Result: Broken})
	retry := n.requests[first]
	c.Assert(retry.retryPending, qt.IsTrue)
	c.Check(n.refuseWaiting().Status, qt.Equals, 502)
	allowed := func(budget pacer.Budget) (count int) {
		budget.Slack = 8
		for budget.AllowRetry(n.now) {
			count++
		}

		return count
	}
	fresh := overloadedNode()
	fresh.draft("club", 0)
	c.Check(allowed(n.services["model"].retryBudget), qt.Equals, allowed(fresh.services["model"].retryBudget))
}
