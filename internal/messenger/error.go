package messenger

import "fmt"

// Kind is the reason why a link was refused or ended.
type Kind string

// Kinds of errors.
const (
	KindClosed      Kind = "closed"
	KindTimeout     Kind = "timeout"
	KindTruncated   Kind = "truncated"
	KindOversized   Kind = "oversized"
	KindMalformed   Kind = "malformed"
	KindVersion     Kind = "version"
	KindSecret      Kind = "secret"
	KindName        Kind = "name"
	KindAddress     Kind = "address"
	KindIncarnation Kind = "incarnation"
	KindBusy        Kind = "busy"
	KindDial        Kind = "dial"
	KindReplaced    Kind = "replaced"
	KindStopped     Kind = "stopped"
)

// kinds lists the kinds that Stats counts.
var kinds = []Kind{
	KindClosed, KindTimeout, KindTruncated, KindOversized, KindMalformed,
	KindVersion, KindSecret, KindName, KindAddress, KindIncarnation, KindBusy,
	KindDial, KindReplaced, KindStopped,
}

// Error is an error of this package.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error returns the operation, the kind and the cause.
func (e *Error) Error() string {
	if e.Err == nil {
		return fmt.Sprintf("messenger: %s: %s", e.Op, e.Kind)
	}

	return fmt.Sprintf("messenger: %s: %s: %v", e.Op, e.Kind, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
