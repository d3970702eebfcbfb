package administrator

import "fmt"

// Kind is the error code of the API. The codes are stable.
type Kind string

// The kinds of errors.
const (
	KindUnauthorized Kind = "unauthorized"
	KindInvalidInput Kind = "invalid_input"
	KindNotFound     Kind = "not_found"
	KindStopped      Kind = "stopped"
	KindInternal     Kind = "internal"
	// KindCallFailed is a call that did not reach the node; only the client
	// reports it.
	KindCallFailed Kind = "call_failed"
)

// Error is an error of this package.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error returns the operation, the kind and the cause, if there is one.
func (e *Error) Error() string {
	if e.Err == nil {
		return fmt.Sprintf("administrator: %s: %s", e.Op, e.Kind)
	}

	return fmt.Sprintf("administrator: %s: %s: %v", e.Op, e.Kind, e.Err)
}

// Unwrap returns the cause, or nil.
func (e *Error) Unwrap() error { return e.Err }
