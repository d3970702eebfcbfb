// Package director decides about routed requests: which endpoint a request is
// sent to, when it is sent again, when it is refused and what the caller is
// told. Director.Reduce turns events into effects, without a clock, goroutines
// or I/O.
//
// Each node decides alone, by what it has read of the shared view and what it
// has sent itself; decisions that bind the whole fleet, such as the rate of a
// cold endpoint, use an even share.
package director

import (
	"net/netip"
	"time"

	"snipedyke/internal/chooser"
	"snipedyke/internal/registrar"
	"snipedyke/internal/router"
	"snipedyke/pkg/encoder"
)

// Event is something that happened. Only the types of this package implement
// it.
type Event interface{ event() }

// Arrived is a request of a caller. Its body stays with the forwarder.
type Arrived struct{ Request Request }

// Request describes a caller's request.
type Request struct {
	// ID is unique in the process.
	ID uint64
	// Name is the caller's name for this attempt.
	Name string
	Host string
	// Path has no query.
	Path string
	// Key is the caller's key, or empty.
	Key string
	// Deadline is the time that the caller waits, or zero.
	Deadline time.Duration
	// Body is the size of the body in bytes.
	Body int
	// Need is what the request needs of a model engine.
	Need chooser.Need
}

// Began tells that the first byte of an answer has come from the endpoint.
type Began struct {
	ID uint64
	// Wait is the time since the request was sent.
	Wait time.Duration
}

// Finished tells how an attempt ended. It follows each Dispatch once.
type Finished struct {
	ID uint64
	// Result tells what is known of the attempt.
	Result Result
	// Status is the status of a whole answer.
	Status int
	// Relayed tells that a byte of the answer has reached the caller.
	Relayed bool
	// Took is the time since the request was sent.
	Took time.Duration
	// Pause is the longest pause between the events of a stream.
	Pause time.Duration
	// Cause tells why an attempt has failed, for the log.
	Cause string
	// Cold, if it is not zero, is how much longer the endpoint says it is cold.
	Cold time.Duration
}

// Result tells how an attempt ended.
type Result uint8

// The results.
const (
	// Answered is a whole answer of the endpoint.
	Answered Result = iota
	// Declined is an answer that states that the request has not run.
	Declined
	// Misdirected is the answer of another endpoint at the address. The request
	// has not run.
	Misdirected
	// Unreached is an attempt of which no byte was sent.
	Unreached
	// Broken is an attempt whose answer was cut off or is not an answer. It may
	// have run.
	Broken
	// Silent is an attempt that was given up because nothing came. It may have
	// run.
	Silent
	// Cancelled is an attempt that the director cancelled.
	Cancelled
)

// String returns the name of the result.
func (r Result) String() string {
	names := [...]string{"answered", "declined", "misdirected", "unreached", "broken", "silent", "cancelled"}
	if int(r) < len(names) {
		return names[r]
	}

	return "unknown"
}

// Gone tells that the caller has disconnected.
type Gone struct{ ID uint64 }

// Ticked tells that time has passed.
type Ticked struct{}

// TableLoaded brings a valid table. One that is not newer than the one in
// force is ignored.
type TableLoaded struct{ Table *router.Table }

// EntriesListed brings all entries of endpoints.
type EntriesListed struct{ Entries []registrar.Entry }

// EntryPut brings one entry.
type EntryPut struct{ Entry registrar.Entry }

// EntryRemoved tells that an entry has ended.
type EntryRemoved struct{ ID string }

// CentresOut brings all data centres that are taken out.
type CentresOut struct{ Names []string }

// Confirmed tells that the view was complete at a time.
type Confirmed struct{ At time.Time }

// Heard brings the load of the other nodes.
type Heard struct{ Others encoder.Sum }

// Moved brings the load of the other nodes at the endpoints that it lists.
type Moved struct{ Others encoder.Sum }

// Lost tells that the shared view cannot be read.
type Lost struct{}

// Configured brings changed bounds.
type Configured struct{ Options Options }

// Leaving starts a graceful shutdown.
type Leaving struct{}

func (Arrived) event()       {}
func (Began) event()         {}
func (Finished) event()      {}
func (Gone) event()          {}
func (Ticked) event()        {}
func (TableLoaded) event()   {}
func (EntriesListed) event() {}
func (EntryPut) event()      {}
func (EntryRemoved) event()  {}
func (CentresOut) event()    {}
func (Confirmed) event()     {}
func (Lost) event()          {}
func (Heard) event()         {}
func (Moved) event()         {}
func (Configured) event()    {}
func (Leaving) event()       {}

// Effect is something that the node must do. Only the types of this package
// implement it.
type Effect interface{ effect() }

// Dispatch sends a request to an endpoint.
type Dispatch struct {
	ID       uint64
	Endpoint string
	Address  netip.AddrPort
	// Account is the name of the caller's account, or empty.
	Account string
	// Urgency is the rank of the request at a model engine, 0 first.
	Urgency int
	// Route is the route of the request.
	Route *router.Route
	// Until is when the answer must be there.
	Until time.Time
	// First is when the first byte must be there, or zero.
	First time.Time
	// Resume tells that a stream goes on after what the caller has.
	Resume bool
	// Holder, if it is valid, is an endpoint from which the shared parts of the
	// prompt can be fetched.
	Holder netip.AddrPort
	// Idle bounds the idle connections to keep to the endpoint.
	Idle int
}

// Refuse answers a request with an error of the node's own.
type Refuse struct {
	ID     uint64
	Status int
	Reason Reason
	// RetryAfter is zero if a retry is of no use.
	RetryAfter time.Duration
}

// Relay passes the answer of the attempt that has just finished on.
type Relay struct{ ID uint64 }

// Abort ends an answer that has begun, so that it does not look whole.
type Abort struct {
	ID     uint64
	Reason Reason
}

// Cancel ends the attempt in progress at its endpoint.
type Cancel struct{ ID uint64 }

// Forget closes the idle connections to an endpoint.
type Forget struct{ Address netip.AddrPort }

// Log writes a numbered event.
type Log struct {
	Event int
	// Args alternates keys and values.
	Args []any
}

// Count adds one to a counter.
type Count struct {
	Counter Counter
	Label   string
}

// Observe adds the time of an answer to the histogram of its route's kind.
type Observe struct {
	Kind  router.Kind
	Value time.Duration
}

func (Dispatch) effect() {}
func (Refuse) effect()   {}
func (Relay) effect()    {}
func (Abort) effect()    {}
func (Cancel) effect()   {}
func (Forget) effect()   {}
func (Log) effect()      {}
func (Count) effect()    {}
func (Observe) effect()  {}

// Counter names a counter.
type Counter string

// The counters.
const (
	// CounterRefusals counts the node's own errors by reason.
	CounterRefusals Counter = "refusals"
	// CounterRetries counts repeated attempts by the result of the last one.
	CounterRetries Counter = "retries"
	// CounterAttempts counts attempts by result.
	CounterAttempts Counter = "attempts"
)

// Reason is the stable code of an error of the node's own.
type Reason string

// The reasons.
const (
	ReasonNotReady   Reason = "not_ready"
	ReasonNoRoute    Reason = "no_route"
	ReasonNoKey      Reason = "unknown_key"
	ReasonStaleView  Reason = "stale_view"
	ReasonTooLarge   Reason = "too_large"
	ReasonMalformed  Reason = "malformed"
	ReasonNoEndpoint Reason = "no_endpoint"
	ReasonOverload   Reason = "overload"
	ReasonDeclined   Reason = "endpoint_declined"
	ReasonBroken     Reason = "endpoint_broken"
	ReasonTimeout    Reason = "timeout"
	ReasonGone       Reason = "caller_gone"
)

// Reasons lists the reasons.
var Reasons = []Reason{
	ReasonNotReady, ReasonNoRoute, ReasonNoKey, ReasonStaleView, ReasonTooLarge, ReasonMalformed,
	ReasonNoEndpoint, ReasonOverload, ReasonDeclined, ReasonBroken, ReasonTimeout, ReasonGone,
}

// Results lists the results.
var Results = []Result{Answered, Declined, Misdirected, Unreached, Broken, Silent, Cancelled}
