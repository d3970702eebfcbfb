// Package reducer implements the decision logic of a node as a deterministic
// state machine. It turns events into effects without a clock, goroutines or
// I/O, so that recorded events can be replayed.
package reducer

import (
	"time"

	"snipedyke/pkg/cataloguer"
	"snipedyke/pkg/encoder"
)

// Event is something that happened. Only the types of this package implement
// it.
type Event interface{ event() }

// Tick signals that time has passed. The node sends one every 10 ms.
type Tick struct{}

// Arrived signals the arrival of a valid request for a known entry.
type Arrived struct{ Request Request }

// Request describes a caller's request without its body, which the listener
// keeps.
type Request struct {
	// ID is unique within the node's incarnation.
	ID      uint64
	Entry   string
	Service string
	Class   string
	// Model and Adapter are empty for services other than model services.
	Model   string
	Adapter string
	// Fingerprint is a hash of service, method, path and body, and Prefix a
	// hash of the first part of the prompt.
	Fingerprint uint64
	Prefix      uint64
	// Key is the caller's idempotency key. It is empty without one.
	Key string
	// Once reports whether the request is non-idempotent and may run at most
	// once.
	Once   bool
	Stream bool
	// Deadline is the time left until the caller's deadline. It is zero
	// without one.
	Deadline time.Duration
	// Tokens limits the length of the answer. It is zero without a limit.
	Tokens uint32
	// Forwarded reports whether a peer forwarded the request because this
	// node issued its key.
	Forwarded bool
}

// CallerGone signals that the caller of a request has disconnected.
type CallerGone struct{ ID uint64 }

// Started signals that the endpoint has sent the first token, or the header of
// an answer that is not from a model.
type Started struct {
	ID     uint64
	Permit uint64
	// First is the time from the dispatch to the first token or header.
	First time.Duration
}

// Progressed reports the number of tokens that a running request has received
// so far.
type Progressed struct {
	ID     uint64
	Permit uint64
	Tokens uint32
}

// Ended reports the result of a dispatch. Each Dispatch is followed by exactly
// one Ended.
type Ended struct {
	ID     uint64
	Permit uint64
	// Outcome is one of the encoder's Outcome constants.
	Outcome uint8
	// Written reports whether any byte of the request may have reached the
	// endpoint.
	Written bool
	// Relayed reports whether any byte of the answer has been sent to the
	// caller.
	Relayed bool
	// Answer is the complete answer of a request that is not streamed, or
	// nil.
	Answer *encoder.Answer
	Tokens uint32
	First  time.Duration
	// Gap is the mean time between tokens.
	Gap time.Duration
	Run time.Duration
}

// Received is a message of an authenticated peer.
type Received struct {
	From    string
	Message encoder.Message
}

// Connected signals that a link to a peer is up.
type Connected struct{ Peer string }

// Disconnected signals that a link to a peer is down.
type Disconnected struct{ Peer string }

// ConnectionRefused signals that a peer's address has refused a connection. It
// implies that no process of that node runs and that its connections to
// endpoints are closed.
type ConnectionRefused struct{ Peer string }

// CatalogueLoaded carries a valid catalogue. It is ignored unless it is newer
// than the catalogue in force.
type CatalogueLoaded struct{ Catalogue *cataloguer.Catalogue }

// HostsLoaded carries a valid host list. It is ignored unless it is newer than
// the host list in force.
type HostsLoaded struct{ Hosts *cataloguer.Hosts }

// ServiceContacted signals that the configuration service has answered.
type ServiceContacted struct{}

// LoadReported carries an endpoint's own load report, which lags behind its
// actual load.
type LoadReported struct {
	Endpoint string
	Running  int
	Queued   int
	// Loading reports whether the endpoint is in cold start.
	Loading bool
	// Loaded lists the models and adapters that the endpoint has loaded.
	Loaded []string
}

// Probed carries the result of a Probe.
type Probed struct {
	Endpoint string
	OK       bool
}

// OrderGiven carries an emergency order that was created at this node.
type OrderGiven struct{ Order encoder.Order }

// ShutdownRequested starts a graceful shutdown.
type ShutdownRequested struct{}

func (Tick) event()              {}
func (Arrived) event()           {}
func (CallerGone) event()        {}
func (Started) event()           {}
func (Progressed) event()        {}
func (Ended) event()             {}
func (Received) event()          {}
func (Connected) event()         {}
func (Disconnected) event()      {}
func (ConnectionRefused) event() {}
func (CatalogueLoaded) event()   {}
func (HostsLoaded) event()       {}
func (ServiceContacted) event()  {}
func (LoadReported) event()      {}
func (Probed) event()            {}
func (OrderGiven) event()        {}
func (ShutdownRequested) event() {}
