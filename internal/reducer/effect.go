package reducer

import (
	"time"

	"snipedyke/pkg/encoder"
)

// Effect is an action that the node must carry out. Only the types of this
// package implement it.
type Effect interface{ effect() }

// Send sends a message to a peer. Delivery is not guaranteed.
type Send struct {
	To      string
	Message encoder.Message
}

// Dispatch sends a request to an endpoint.
type Dispatch struct {
	ID       uint64
	Endpoint string
	Permit   uint64
	// Attempt counts from 1.
	Attempt uint32
	// Tier is passed to the engine as the request's priority.
	Tier int
	// Once reports whether the dispatch must use a new connection and must not be
	// retried.
	Once bool
	// Resume reports whether the dispatch continues an interrupted stream after
	// the tokens that have already been relayed.
	Resume bool
	// Expires is the time from which the request must no longer be written
	// to the endpoint; the dispatch then ends with OutcomeUnused.
	Expires time.Time
}

// Cancel cancels a running dispatch.
type Cancel struct {
	ID     uint64
	Permit uint64
}

// Refuse answers a request with an error and ends it.
type Refuse struct {
	ID     uint64
	Reason Reason
	// Run is one of the encoder's Run constants.
	Run uint8
	// RetryAfter is zero if a retry would not help.
	RetryAfter time.Duration
}

// Reply answers a request with a complete answer and ends it.
type Reply struct {
	ID     uint64
	Answer encoder.Answer
	Run    uint8
}

// Close ends a streamed answer and the request.
type Close struct {
	ID uint64
	// Reason is empty if the stream is complete; otherwise the listener sends
	// an explicit error event with it.
	Reason Reason
}

// ForwardTo forwards a request to the peer that issued its key. The node
// answers the caller with the ForwardReply, or with ReasonIssuerLost.
type ForwardTo struct {
	ID   uint64
	Peer string
}

// Probe checks whether an endpoint answers.
type Probe struct{ Endpoint string }

// Poll asks a model engine for its load report, which arrives as a LoadReported
// event.
type Poll struct{ Endpoint string }

// Prepare orders a model engine to load and unload models and adapters.
type Prepare struct {
	Endpoint string
	// Fence is the fencing number of the order: the engine rejects later
	// orders with a lower number.
	Fence  uint64
	Load   []string
	Unload []string
}

// FetchFrom fetches a newer catalogue or host list from a peer.
type FetchFrom struct{ Peer string }

// Log writes a numbered log event.
type Log struct {
	Event int
	// Args holds alternating keys and values.
	Args []any
}

// Count adds to a counter.
type Count struct {
	Counter Counter
	// N is the number to add; zero adds one.
	N uint64
	// Label is the value of the counter's label.
	Label string
	// Class is empty if the counter has no class.
	Class string
}

// Observe adds a value to a histogram of durations.
type Observe struct {
	Histogram Histogram
	Class     string
	Value     time.Duration
}

// Decided records a decision about a request: why it was refused, or where it
// was sent.
type Decided struct {
	ID       uint64
	Entry    string
	Class    string
	Verdict  string
	Endpoint string
	Home     string
}

// Left signals that a graceful shutdown is complete.
type Left struct{}

func (Send) effect()      {}
func (Dispatch) effect()  {}
func (Cancel) effect()    {}
func (Refuse) effect()    {}
func (Reply) effect()     {}
func (Close) effect()     {}
func (ForwardTo) effect() {}
func (Probe) effect()     {}
func (FetchFrom) effect() {}
func (Poll) effect()      {}
func (Prepare) effect()   {}
func (Log) effect()       {}
func (Count) effect()     {}
func (Observe) effect()   {}
func (Decided) effect()   {}
func (Left) effect()      {}

// Counter names a counter.
type Counter string

// The counters.
const (
	// CounterRefusals counts refused requests by reason and class.
	CounterRefusals Counter = "refusals"
	// CounterRetries counts repeated dispatches by reason and class.
	CounterRetries Counter = "retries"
	// CounterAnswers counts answers by result and class: "met", "late", "failed".
	CounterAnswers Counter = "answers"
	// CounterWasted counts tokens whose answer never reached a caller.
	CounterWasted Counter = "wasted"
	// CounterGrants counts grants by result: "used", "stale", "unneeded".
	CounterGrants Counter = "grants"
	// CounterClaims counts claims by verdict.
	CounterClaims Counter = "claims"
	// CounterMarks counts fingerprints by mark.
	CounterMarks Counter = "marks"
	// CounterEndpoints counts changes of an endpoint's state by new state.
	CounterEndpoints Counter = "endpoints"
)

// Histogram names a histogram.
type Histogram string

// The histograms.
const (
	HistogramQueue      Histogram = "queue"
	HistogramFirstToken Histogram = "first"
	HistogramGap        Histogram = "gap"
	HistogramTotal      Histogram = "total"
)

// Reason is the code of a refusal or failure. Callers see it, so it must not
// change.
type Reason string

// The reasons. Each is also used as a counter label.
const (
	ReasonNotReady         Reason = "not_ready"
	ReasonStaleView        Reason = "stale_view"
	ReasonLeaving          Reason = "leaving"
	ReasonRateLimit        Reason = "rate_limit"
	ReasonConcurrencyLimit Reason = "concurrency_limit"
	ReasonOverload         Reason = "overload"
	ReasonDeadline         Reason = "deadline"
	ReasonNoEndpoint       Reason = "no_endpoint"
	ReasonKeyUnverifiable  Reason = "key_unverifiable"
	ReasonKeyInUse         Reason = "key_in_use"
	ReasonClaimUnavailable Reason = "claim_unavailable"
	ReasonRecordsFull      Reason = "records_full"
	ReasonIssuerLost       Reason = "issuer_lost"
	ReasonCoordinatorLost  Reason = "coordinator_lost"
	ReasonRequestBlocked   Reason = "request_blocked"
	ReasonEndpointLost     Reason = "endpoint_lost"
	ReasonEndpointError    Reason = "endpoint_error"
	ReasonRetryBudget      Reason = "retry_budget"
	ReasonTimeout          Reason = "timeout"
	ReasonCallerGone       Reason = "caller_gone"
)
