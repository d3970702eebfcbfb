package forwarder

import (
	"net/netip"
	"time"

	"github.com/valyala/fasthttp"

	"snipedyke/internal/chooser"
)

// Protocol translates between the header fields of callers and endpoints and
// the types of this package. Its methods are safe for concurrent use.
type Protocol interface {
	// ParseRequest parses the header of a caller's request. It returns an error if
	// the header is malformed.
	ParseRequest(h *fasthttp.RequestHeader) (RequestMetadata, error)
	// RemoveReserved removes the header fields that only the node may set.
	RemoveReserved(h *fasthttp.RequestHeader)
	// SetHeaders sets the header fields of a request to an endpoint.
	SetHeaders(h *fasthttp.RequestHeader, s EndpointMetadata)
	// ParseHandover parses what the header of a request that another node has handed over
	// states about that. It returns an error if it is missing or malformed.
	ParseHandover(h *fasthttp.RequestHeader) (Handover, error)
	// SetHandover sets the header fields of a request that is handed over to another node.
	// The header has no reserved fields.
	SetHandover(h *fasthttp.RequestHeader, m HandoverMetadata)
	// SetRefused marks a response to another node as an error of this node, with its
	// reason, or as that of an endpoint if the reason is empty.
	SetRefused(h *fasthttp.ResponseHeader, reason string)
	// ParseResponse parses the header of an endpoint's response.
	ParseResponse(h *fasthttp.ResponseHeader) ResponseMetadata
}

// RequestMetadata is the metadata in the header of a caller's request.
type RequestMetadata struct {
	// AttemptID is the caller's ID of this attempt.
	AttemptID string
	// Continues reports whether the caller takes a stream up again after its last
	// event, and Resumes is the ID of the attempt that brought the stream's first
	// event, or empty if it is not stated.
	Continues bool
	Resumes   string
	// APIKey is the API key, or empty if there is none.
	APIKey string
	// Deadline is the time allowed for the request, or zero if there is no
	// limit.
	Deadline time.Duration
	Need     chooser.Need
}

// EndpointMetadata is the metadata that the node adds to a request to an
// endpoint.
type EndpointMetadata struct {
	// Instance is the identifier of the endpoint that may run the request.
	Instance string
	// Account is the client account, or empty if the request has none.
	Account string
	// Urgency ranges from 0, the most urgent, to 9. It is sent to engines only.
	Urgency int
	Engine  bool
	// TimeRemaining is the time remaining until the response is due.
	TimeRemaining time.Duration
	// LastEventID is the ID of the last event passed to the caller, or empty.
	LastEventID string
	// CacheAddress, if valid, is the address from which the endpoint can fetch
	// the KV cache of the prompt parts that requests share.
	CacheAddress netip.AddrPort
}

// Handover is what a node states about a request that it hands over. The fields are those of
// director.Request.
type Handover struct {
	Attempts int
	Counted  bool
}

// HandoverMetadata is the metadata that the node adds to a request that it hands over.
type HandoverMetadata struct {
	Handover
	// APIKey is the caller's API key, or empty.
	APIKey string
	// TimeRemaining is the time remaining until the response is due.
	TimeRemaining time.Duration
	// LastEventID is the ID of the last event passed to the caller, and Resumes the ID of
	// the attempt that brought the stream's first event. Both are empty if they are as the
	// caller has stated them.
	LastEventID, Resumes string
}

// ResponseMetadata is the metadata in the header of a response of an endpoint or another
// node.
type ResponseMetadata struct {
	// Refused is the reason if the response is an error of the node to which the request
	// was handed over, and otherwise empty.
	Refused string
	// AttemptID is the ID of the attempt that the response belongs to.
	AttemptID string
	// Sealed reports whether the response carries the endpoint's seal, that is,
	// whether it is the endpoint's own and unmodified.
	Sealed bool
	// Declined reports whether the endpoint states that it did not run the
	// request.
	Declined bool
	// Leaving reports whether the endpoint shuts down and wants no new requests.
	Leaving bool
	// Instance is the ID by which the endpoint names itself, or empty.
	Instance string
	// RetryAfter is the time for which the endpoint wants no requests from this
	// node, or zero. InvalidRetryAfter is the value of the field if it is malformed,
	// or empty. They count in a response with status 503 only.
	RetryAfter        time.Duration
	InvalidRetryAfter string
	// Limit is the number of requests a second that the endpoint takes from all nodes
	// together, if HasLimit is true. InvalidLimit is the value of the field if it is
	// malformed, or empty.
	Limit        float64
	HasLimit     bool
	InvalidLimit string
	// MaxDeclines is the number of requests that the endpoint can decline in a second for
	// want of room without failing, if Brittle is true. InvalidBrittle is the value of the
	// field if it is malformed, or empty.
	MaxDeclines    float64
	Brittle        bool
	InvalidBrittle string
	// ColdRemaining is the remaining time for which the endpoint is cold, or zero.
	ColdRemaining time.Duration
}
