package director

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"snipedyke/internal/logger"
	"snipedyke/internal/registrar"
)

// logged returns the values of the first line of a log event in the effects by
// their keys, or nil if there is none.
func logged(effects []Effect, event int) map[string]any {
	for _, e := range effects {
		l, ok := e.(Log)
		if !ok || l.Event != event {
			continue
		}
		line := map[string]any{}
		for i := 0; i < len(l.Args); i += 2 {
			line[l.Args[i].(string)] = l.Args[i+1]
		}

		return line
	}

	return nil
}

// at returns an entry that has the address of another one, and was born at the
// given time.
func at(e, other registrar.Entry, born int64) registrar.Entry {
	e.Address, e.Born = other.Address, born

	return e
}

// Guards against attempts that another endpoint answers without any trace of
// which endpoint was expected and which one answered.
func TestMisdirectedAttemptIsLogged(t *testing.T) {
	c := qt.New(t)
	n := newNode()
	sent, ok := find[Dispatch](n.arrive(1, "/pay/1"))
	c.Assert(ok, qt.IsTrue)
	for i := range 3 {
		n.post(EntryPut{at(entry("other", i), entry("desk", i), 0)})
	}
	effects := n.post(AttemptFinished{ID: 1, Result: Misdirected, Status: 421, AnsweredBy: "stranger", OtherLeaving: true})
	line := logged(effects, logger.AttemptMisdirected)
	c.Check(line["request"], qt.Equals, "r1")
	c.Check(line["endpoint"], qt.Equals, sent.Endpoint)
	c.Check(line["address"], qt.Equals, sent.Address.String())
	c.Check(line["answered"], qt.Equals, "stranger")
	c.Check(line["known"], qt.Equals, "other"+sent.Endpoint[len("desk"):])
	c.Check(line["leaving"], qt.Equals, true)
}
