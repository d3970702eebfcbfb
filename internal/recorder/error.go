package recorder

import "fmt"

// Kind classifies an Error.
type Kind string

// The kinds of errors.
const (
	KindInvalid Kind = "invalid trace"
	KindWrite   Kind = "cannot write"
	KindOutcome Kind = "unknown outcome"
)

// Error is an error of this package.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error describes the operation, the kind and the cause.
func (e *Error) Error() string { return fmt.Sprintf("recorder: %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
