package guarder

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"snipedyke/internal/logger"
)

type events []map[string]any

func (l *events) Event(number int, args ...any) {
	e := map[string]any{"number": number}
	for i := 0; i < len(args); i += 2 {
		e[args[i].(string)] = args[i+1]
	}
	*l = append(*l, e)
}

// Guards against a panic that ends the process, or that leaves no trace of its cause.
func TestPanicIsLoggedWithItsStack(t *testing.T) {
	c := qt.New(t)
	var log events
	c.Check(Run(&log, "sound", func() {}), qt.IsTrue)
	c.Check(log, qt.HasLen, 0)
	var none map[string]int
	c.Check(Run(&log, "message", func() { none["x"] = 1 }), qt.IsFalse)
	c.Assert(log, qt.HasLen, 1)
	c.Check(log[0]["number"], qt.Equals, logger.UnexpectedError)
	c.Check(log[0]["where"], qt.Equals, "message")
	c.Check(log[0]["error"], qt.Contains, "nil map")
	c.Check(log[0]["stack"], qt.Contains, "guarder_test.go")
}
