package director

import (
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"snipedyke/internal/logger"
)

// logged returns the log events of a number as maps of their arguments.
func logged(effects []Effect, number int) []map[string]any {
	var found []map[string]any
	for _, e := range effects {
		if l, ok := e.(Log); ok && l.Event == number {
			args := map[string]any{}
			for i := 0; i < len(l.Args); i += 2 {
				args[l.Args[i].(string)] = l.Args[i+1]
			}
			found = append(found, args)
		}
	}

	return found
}

// Guards against requests that a shutdown cuts off without a trace of when they
// came and whether they were passed on.
func TestCutOffRequestsAreLogged(t *testing.T) {
	c := qt.New(t)
	n := newNode()
	n.arrive(1, "/chat/x")
	n.post(ResponseStarted{ID: 1})
	n.now = n.now.Add(time.Second)
	n.post(ShutdownRequested{AnswerBy: n.now.Add(4 * time.Second)})
	n.now = n.now.Add(2 * time.Second)
	dispatched, ok := find[Dispatch](n.arrive(2, "/chat/x"))
	c.Assert(ok, qt.IsTrue)
	n.now = n.now.Add(500 * time.Millisecond)
	entries := logged(n.post(ShutdownEnded{}), logger.RequestCutOff)
	c.Assert(entries, qt.HasLen, 2)
	c.Check(entries[0]["age"], qt.Equals, "3.5s")
	c.Check(entries[1], qt.DeepEquals, map[string]any{
		"request": entries[1]["request"], "route": "chat", "endpoint": dispatched.Endpoint,
		"age": "500ms", "leaving": "2.5s", "begun": false,
	})
}

// Guards against requests that are left without an answer when the process ends,
// and against one that may have run and is said not to have.
func TestRequestsAreAnsweredBeforeTheProcessEnds(t *testing.T) {
	c := qt.New(t)
	n := newNode()
	n.answerRequests("/chat/x", 20*time.Millisecond)
	n.answerRequests("/draft/x", 20*time.Millisecond)
	n.post(ShutdownRequested{AnswerBy: n.now.Add(2 * time.Second)})
	for id, path := range []string{"/chat/x", "/draft/x", "/chat/y"} {
		_, ok := find[Dispatch](n.post(Arrived{Request{ID: uint64(id), Name: path, Host: "h", Path: path, Key: "key"}}))
		c.Assert(ok, qt.IsTrue)
	}
	n.post(ResponseStarted{ID: 2})
	n.now = n.answerBy
	c.Check(n.NeedsTick(), qt.IsTrue)
	var cancelled []uint64
	for _, e := range n.post(Ticked{}) {
		if cancel, ok := e.(Cancel); ok {
			cancelled = append(cancelled, cancel.ID)
		}
	}
	c.Check(cancelled, qt.DeepEquals, []uint64{0, 1})
	c.Check(logged(n.post(Ticked{}), logger.RequestFailed), qt.HasLen, 0)
	refused, _ := find[Refuse](n.post(AttemptFinished{ID: 0, Result: Cancelled}))
	c.Check(refused.Status, qt.Equals, http.StatusBadGateway)
	c.Check(refused.Reason, qt.Equals, ReasonLeaving)
	refused, _ = find[Refuse](n.post(AttemptFinished{ID: 1, Result: Unsent}))
	c.Check(refused.Status, qt.Equals, http.StatusServiceUnavailable)
	refused, _ = find[Refuse](n.arrive(3, "/pay/x"))
	c.Check(refused.Status, qt.Equals, http.StatusServiceUnavailable)
	_, relayed := find[Relay](n.post(AttemptFinished{ID: 2, Result: Answered, Status: 200, Relayed: true}))
	c.Check(relayed, qt.IsTrue)
	c.Check(n.Active(), qt.Equals, 0)
}

// Guards against requests that wait for an endpoint until the process ends.
func TestWaitingRequestsAreRefusedBeforeTheProcessEnds(t *testing.T) {
	c := qt.New(t)
	n := newNode()
	n.answerRequests("/draft/x", time.Millisecond)
	for i := range 3 {
		n.post(EntryRemoved{ID: entry("model", i).ID})
	}
	n.post(EntryPut{Entry: entry("model", 0)})
	n.post(ShutdownRequested{AnswerBy: n.now.Add(50 * time.Millisecond)})
	n.arrive(1, "/draft/x")
	n.post(AttemptFinished{ID: 1, Result: Unreached})
	c.Assert(n.Active(), qt.Equals, 1)
	n.now = n.answerBy
	refused, _ := find[Refuse](n.post(Ticked{}))
	c.Check(refused.Status, qt.Equals, http.StatusServiceUnavailable)
	c.Check(refused.Reason, qt.Equals, ReasonLeaving)
}

// Guards against requests that wait for the answers of other nodes when the process
// ends, or longer than their callers do.
func TestTakeUpsDoNotAskLongerThanTheyHave(t *testing.T) {
	c := qt.New(t)
	for _, left := range []time.Duration{0, 50 * time.Millisecond} {
		n := newNodeWithVersions("1", "2", "2")
		n.post(ShutdownRequested{AnswerBy: n.now.Add(left)})
		n.takeUp(1, "x")
		_, asked := find[AskOrigin](n.effects)
		c.Check(asked, qt.Equals, left > 0)
		if asked {
			n.now = n.answerBy
			n.post(Ticked{})
		}
		refused, _ := find[Refuse](n.effects)
		c.Check(refused.Status, qt.Equals, http.StatusServiceUnavailable)
		c.Check(refused.Reason, qt.Equals, ReasonLeaving)
		c.Check(n.NeedsTick(), qt.IsFalse)
	}
}

// answerRequests has requests of a path answered after the given time.
func (n *node) answerRequests(path string, took time.Duration) {
	for id := range uint64(8) {
		n.post(Arrived{Request{ID: 100 + id, Name: path, Host: "h", Path: path, Key: "key"}})
		n.now = n.now.Add(took)
		n.post(ViewConfirmed{n.now})
		n.post(AttemptFinished{ID: 100 + id, Result: Answered, Status: 200, Took: took})
	}
}

// Guards against requests that come late in a shutdown, are passed on without a
// chance to be finished, and run without an answer.
func TestRequestsThatCannotBeFinishedAreRefusedInAShutdown(t *testing.T) {
	c := qt.New(t)
	for _, test := range []struct {
		path        string
		takes, left time.Duration
		passed      bool
	}{
		// The timeouts are 15 s and 1 s.
		{"/chat/x", 0, 7 * time.Second, false},
		{"/chat/x", 0, 8 * time.Second, true},
		{"/chat/x", 2 * time.Second, 1900 * time.Millisecond, false},
		{"/chat/x", 2 * time.Second, 4 * time.Second, true},
		{"/pay/x", 0, 450 * time.Millisecond, false},
		{"/pay/x", 0, 550 * time.Millisecond, true},
		{"/pay/x", 50 * time.Millisecond, 49 * time.Millisecond, false},
		{"/pay/x", 50 * time.Millisecond, 200 * time.Millisecond, true},
	} {
		n := newNode()
		if test.takes > 0 {
			n.answerRequests(test.path, test.takes)
		}
		n.post(ShutdownRequested{AnswerBy: n.now.Add(test.left)})
		effects := n.post(Arrived{Request{ID: 1, Name: "r", Host: "h", Path: test.path, Key: "key"}})
		_, passed := find[Dispatch](effects)
		c.Check(passed, qt.Equals, test.passed, qt.Commentf("%+v", test))
		if refused, ok := find[Refuse](effects); ok {
			c.Check(refused.Status, qt.Equals, http.StatusServiceUnavailable)
			c.Check(refused.Reason, qt.Equals, ReasonLeaving)
			c.Check(refused.RetryAfter > 0, qt.IsTrue)
		}
	}
}

// Guards against an error status for a request that has run and can still be
// answered by another endpoint.
func TestRequestThatMayHaveRunIsRetriedInAShutdown(t *testing.T) {
	c := qt.New(t)
	n := newNode()
	n.arrive(1, "/look/x")
	n.post(ShutdownRequested{AnswerBy: n.now.Add(time.Second / 2)})
	_, retried := find[Dispatch](n.post(AttemptFinished{ID: 1, Result: Broken}))
	c.Check(retried, qt.IsTrue)
}

// Guards against an endpoint that goes on after the process has ended, and against
// one that ends a stream which the caller could still receive.
func TestShutdownBoundsTheDeadlineOfAttemptsOtherThanStreams(t *testing.T) {
	c := qt.New(t)
	n := newNode()
	n.answerRequests("/look/x", 5*time.Millisecond)
	n.answerRequests("/chat/x", 5*time.Millisecond)
	answerBy := n.now.Add(100 * time.Millisecond)
	n.post(ShutdownRequested{AnswerBy: answerBy})
	for path, want := range map[string]time.Time{"/look/x": answerBy, "/chat/x": n.now.Add(15 * time.Second)} {
		dispatched, ok := find[Dispatch](n.post(Arrived{Request{ID: uint64(len(path)) + n.lastID, Name: path, Host: "h", Path: path, Key: "key"}}))
		n.lastID++
		c.Assert(ok, qt.IsTrue)
		c.Check(dispatched.Deadline, qt.Equals, want, qt.Commentf("%s", path))
	}
}
