package runner

import "fmt"

// Kind classifies an Error.
type Kind string

// Kinds of errors.
const (
	KindListen Kind = "cannot listen"
	KindServe  Kind = "ended with an error"
)

// Error is the error type of this package.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("runner: %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the underlying error.
func (e *Error) Unwrap() error { return e.Err }
