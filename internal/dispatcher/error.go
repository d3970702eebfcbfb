package dispatcher

import "fmt"

// Kind classifies an Error.
type Kind string

// The error kinds.
const (
	KindTooLarge  Kind = "larger than the limit"
	KindMalformed Kind = "malformed"
)

// Error is the error type of this package.
type Error struct {
	Op   string
	Kind Kind
}

// Error returns the operation and the kind as text.
func (e *Error) Error() string { return fmt.Sprintf("dispatcher: %s: %s", e.Op, e.Kind) }
