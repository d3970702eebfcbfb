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

// leavingNode returns a node that is shutting down and has to answer all requests
// within 2 s.
func leavingNode() *node {
	n := newNode()
	n.post(ShutdownRequested{AnswerBy: n.now.Add(2 * time.Second)})

	return n
}

// Guards against requests that are left without an answer when the process ends,
// and against one that may have run and is said not to have.
func TestRequestsAreAnsweredBeforeTheProcessEnds(t *testing.T) {
	c := qt.New(t)
	n := leavingNode()
	for id, path := range []string{"/chat/x", "/draft/x", "/chat/y"} {
		dispatched, ok := find[Dispatch](n.post(Arrived{Request{ID: uint64(id), Name: path, Host: "h", Path: path, Key: "key"}}))
		c.Assert(ok, qt.IsTrue)
		c.Check(dispatched.Deadline, qt.Equals, n.answerBy)
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

// Guards against streams that arrive late in a shutdown, begin, and are cut off at its
// end: a stream that has begun cannot be answered with an error.
func TestLateStreamsAreRefused(t *testing.T) {
	c := qt.New(t)
	n := newNodeWithVersions("1", "1", "1")
	n.post(ShutdownRequested{RefuseStreamsFrom: n.now.Add(time.Second), AnswerBy: n.now.Add(3 * time.Second)})
	n.now = n.now.Add(time.Second - 1)
	_, sent := find[Dispatch](n.arrive(1, "/chat/x"))
	c.Check(sent, qt.IsTrue)
	n.now = n.now.Add(1)
	n.arrive(2, "/draft/x")
	for id, effects := range [][]Effect{n.effects, n.arrive(3, "/chat/x")} {
		refused, _ := find[Refuse](effects)
		c.Check(refused.Status, qt.Equals, http.StatusServiceUnavailable, qt.Commentf("%d", id))
		c.Check(refused.Reason, qt.Equals, ReasonLeaving)
	}
	c.Check(n.takeUp(4, "x"), qt.Equals, "")
	_, sent = find[Dispatch](n.arrive(5, "/pay/x"))
	c.Check(sent, qt.IsTrue)
}
