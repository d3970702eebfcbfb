package dispatcher

import (
	"strings"
	"sync/atomic"

	"snipedyke/pkg/cataloguer"
	"snipedyke/pkg/encoder"
)

// The header fields that carry request metadata to endpoints and back.
const (
	HeaderPriority = "Snipedyke-Priority"
	HeaderResume   = "Snipedyke-Resume"
	HeaderRequest  = "Snipedyke-Request"
	HeaderRun      = "Snipedyke-Run"
)

// NotRun is the value of HeaderRun by which a plain service states that it did
// not run the request.
const NotRun = "not-run"

// Work is a request to be sent to endpoints. Successive dispatches of a request
// share it. Its exported fields do not change after the first dispatch.
type Work struct {
	Kind   cataloguer.ServiceKind
	Method string
	// Path is the path at the endpoint, including the query.
	Path    string
	Headers []encoder.Header
	Body    []byte
	// Stream reports whether the response of a model engine is an event stream.
	Stream bool
	// Key identifies the request to endpoints. It is the same for all attempts.
	Key string
	// Sink receives the events of a streamed response.
	Sink Sink

	relayed  atomic.Uint32
	complete atomic.Bool
}

// Sink receives the events of a streamed response, except the terminal event.
type Sink interface {
	// Relay receives complete, encoded events and does not retain them. It
	// blocks while the caller is slow, and returns an error once the caller has
	// disconnected.
	Relay(events []byte) error
}

// Relayed returns the number of tokens sent to the sink.
func (w *Work) Relayed() uint32 { return w.relayed.Load() }

// Complete reports whether a dispatch has read the terminal event of the
// stream.
func (w *Work) Complete() bool { return w.complete.Load() }

// IsEndToEnd reports whether a header field is end-to-end, that is, neither
// specific to a connection nor specific to this system.
func IsEndToEnd(name string) bool {
	switch strings.ToLower(name) {
	case "connection", "content-length", "host", "keep-alive", "proxy-authenticate", "proxy-authorization",
		"proxy-connection", "te", "trailer", "transfer-encoding", "upgrade", "expect", "server", "date":
		return false
	default:
		return len(name) < len(headerPrefix) || !strings.EqualFold(name[:len(headerPrefix)], headerPrefix)
	}
}

// headerPrefix is the prefix of the header fields of this system.
const headerPrefix = "Snipedyke-"
