package encoder

import "fmt"

// Kind classifies an Error.
type Kind string

// The error kinds.
const (
	KindEncode    Kind = "encode"
	KindTruncated Kind = "truncated"
	KindUnknown   Kind = "unknown message"
	KindMalformed Kind = "malformed message"
)

// Error is the error type of this package.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error returns the operation, the kind and the cause as text.
func (e *Error) Error() string {
	if e.Err == nil {
		return fmt.Sprintf("encoder: %s: %s", e.Op, e.Kind)
	}

	return fmt.Sprintf("encoder: %s: %s: %v", e.Op, e.Kind, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
