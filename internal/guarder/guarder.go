// Package guarder keeps an unexpected error in the handling of one message or request
// from ending the process, and with it the requests of all others.
package guarder

import (
	"fmt"
	"runtime/debug"

	"snipedyke/internal/logger"
)

// maxStackBytes bounds the length of a logged stack.
const maxStackBytes = 4 << 10

// Logger writes numbered log events.
type Logger interface {
	// Event writes an event. The args alternate between keys and values.
	Event(number int, args ...any)
}

// Run calls f and reports whether it returned. If it panics, the panic is logged with
// its stack; where says what was being handled.
func Run(l Logger, where string, f func()) (returned bool) {
	defer func() {
		if returned {
			return
		}
		cause := recover()
		stack := debug.Stack()
		l.Event(logger.UnexpectedError, "where", where, "error", fmt.Sprint(cause), "stack", string(stack[:min(len(stack), maxStackBytes)]))
	}()
	f()

	return true
}
