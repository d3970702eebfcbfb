package cataloguer

import "fmt"

// Kind classifies an Error.
type Kind string

// The kinds of errors.
const (
	// KindInvalid is a document that violates the format or a validation rule.
	// The cause lists the problems, each with file, line, field and accepted
	// range.
	KindInvalid Kind = "invalid"
	// KindEncode is a document that exceeds MaxDocument.
	KindEncode Kind = "cannot encode"
)

// Error is an error of this package.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error returns the operation, the kind and the cause.
func (e *Error) Error() string {
	return fmt.Sprintf("cataloguer: %s: %s: %v", e.Op, e.Kind, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// wrapInvalid returns err as an *Error of KindInvalid, or nil if err is nil.
func wrapInvalid(op string, err error) error {
	if err == nil {
		return nil
	}

	return &Error{Op: op, Kind: KindInvalid, Err: err}
}
