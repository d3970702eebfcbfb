package director

import (
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
	n.post(ShutdownRequested{})
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
