package director

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"snipedyke/internal/chooser"
)

// Guards against refusing urgent requests because of their route's MaxPause
// while longer, less urgent requests are started at other engines (incident
// inc-dce2).
func TestUrgentRequestsSpillOver(t *testing.T) {
	c := qt.New(t)
	n := newNode()
	id := uint64(0)
	send := func(path string, need chooser.Need) (Dispatch, bool) {
		id++

		return find[Dispatch](n.post(Arrived{Request{ID: id, Name: fmt.Sprint(id), Host: "h", Path: path, Key: "key", Deadline: 10 * time.Second, Need: need}}))
	}
	// The engines prefill 30 tokens per millisecond, so that the limit on pauses
	// corresponds to 5,400 tokens.
	send("/chat/", chooser.Need{PromptTokens: 1800})
	n.post(ResponseStarted{ID: id, Wait: 60 * time.Millisecond})
	send("/draft/", chooser.Need{PromptTokens: 2700})
	n.now = n.now.Add(time.Second)
	used := map[string]int{}
	for range 12 {
		d, sent := send("/chat/", chooser.Need{PromptTokens: 2000})
		c.Assert(sent, qt.IsTrue, qt.Commentf("request %d; %v", id, used))
		used[d.Endpoint]++
	}
	c.Check(used, qt.HasLen, 3, qt.Commentf("%v", used))
	// Drafts, which are less urgent, wait while their engine has enough to
	// prefill.
	refused := false
	for range 12 {
		_, sent := send("/draft/", chooser.Need{PromptTokens: 9000})
		refused = refused || !sent
	}
	c.Check(refused, qt.IsTrue)
}

// Guards against less urgent requests that take the places that become free
// while urgent ones are refused, as on jerseyrun-grown at three times the usual
// traffic.
func TestLessUrgentRequestsYieldToRefusedOnes(t *testing.T) {
	c := qt.New(t)
	n := newNode()
	arrive := func(id uint64, path string, tokens int) bool {
		n.post(Arrived{Request{
			ID: id, Name: fmt.Sprint("r", id), Host: "h", Path: path, Key: "key", Deadline: 5 * time.Second,
			Need: chooser.Need{PromptTokens: tokens},
		}})
		_, sent := find[Dispatch](n.effects)

		return sent
	}
	// Drafts that run for 4 s fill the slots of the engines.
	c.Assert(arrive(100, "/draft/1", 9000), qt.IsTrue)
	n.post(AttemptFinished{ID: 100, Result: Answered, Status: 200, Took: 4 * time.Second})
	for id := uint64(1); arrive(id, "/draft/1", 9000); id++ {
		c.Assert(id < 100, qt.IsTrue)
	}
	n.now = n.now.Add(100 * time.Millisecond)
	n.post(Ticked{})
	c.Assert(arrive(200, "/chat/1", 100), qt.IsFalse)
	n.now = n.now.Add(100 * time.Millisecond)
	_, refused := find[Refuse](n.post(Ticked{}))
	c.Assert(refused, qt.IsTrue)

	n.post(AttemptFinished{ID: 1, Result: Answered, Status: 200})
	c.Check(arrive(201, "/draft/1", 9000), qt.IsFalse, qt.Commentf("a draft takes the place"))
	c.Check(arrive(202, "/chat/1", 100), qt.IsTrue)
	n.post(AttemptFinished{ID: 202, Result: Answered, Status: 200})
	n.now = n.now.Add(time.Second)
	c.Check(arrive(203, "/draft/1", 9000), qt.IsTrue, qt.Commentf("drafts are refused after the overload"))
}

// Guards against refusing urgent requests while engines of the other group have
// free slots but long prompts to prefill, which come after urgent ones.
func TestUrgentRequestsTakeFreeSlotsBesideLongPrompts(t *testing.T) {
	c := qt.New(t)
	n := newNode()
	id := uint64(0)
	send := func(path string, tokens int) bool {
		id++
		_, sent := find[Dispatch](n.post(Arrived{Request{
			ID: id, Name: fmt.Sprint(id), Host: "h", Path: path, Key: "key", Deadline: 5 * time.Second,
			Need: chooser.Need{PromptTokens: tokens},
		}}))

		return sent
	}
	// The engines prefill 30 tokens per millisecond, and requests run for 4 s.
	c.Assert(send("/chat/", 1800), qt.IsTrue)
	n.post(ResponseStarted{ID: id, Wait: 60 * time.Millisecond})
	n.post(AttemptFinished{ID: id, Result: Answered, Status: 200, Took: 4 * time.Second})
	// A chat runs, so that the groups share the engines, and one draft at each
	// engine of its group keeps it busy for longer than the target.
	c.Assert(send("/chat/", 100), qt.IsTrue)
	for send("/draft/", 30000) {
		c.Assert(id < 12, qt.IsTrue)
	}
	// Three engines have four slots each.
	running := 0
	for _, e := range n.endpoints {
		running += e.load.Running()
	}
	for ; running < 12; running++ {
		c.Check(send("/chat/", 100), qt.IsTrue, qt.Commentf("%d of 12 slots are in use", running))
	}
	c.Check(send("/chat/", 100), qt.IsFalse)
}

// Guards against refusing less urgent requests beside engines that are nearly idle,
// because of one more urgent request that another engine has refused (pawbin-ops, a
// burst of long prompts on engines that have cached nothing).
func TestLessUrgentRequestsRunBesideIdleEngines(t *testing.T) {
	c := qt.New(t)
	n := newNode()
	id := uint64(0)
	send := func(path string, tokens int) bool {
		id++
		n.post(Arrived{Request{
			ID: id, Name: fmt.Sprint(id), Host: "h", Path: path, Key: "key", Deadline: 5 * time.Second,
			Need: chooser.Need{PromptTokens: tokens},
		}})
		_, sent := find[Dispatch](n.effects)

		return sent
	}
	// The engines prefill 30 tokens per millisecond. Chats are refused while a burst
	// of them is prefilled.
	c.Assert(send("/chat/", 1800), qt.IsTrue)
	n.post(ResponseStarted{ID: id, Wait: 60 * time.Millisecond})
	burst := id + 1
	for send("/chat/", 9000) {
		c.Assert(id < 100, qt.IsTrue)
	}
	end := id
	n.now = n.now.Add(500 * time.Millisecond)
	_, refused := find[Refuse](n.post(Ticked{}))
	c.Assert(refused, qt.IsTrue)
	for id := burst; id < end; id++ {
		n.post(ResponseStarted{ID: id, Wait: 300 * time.Millisecond})
		n.post(AttemptFinished{ID: id, Result: Answered, Status: 200, Took: 400 * time.Millisecond, Relayed: true})
	}
	c.Check(send("/draft/", 2700), qt.IsTrue, qt.Commentf("all engines are idle"))
}
