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
	// Describe parses the header of a caller's request. It returns an error if
	// the header is malformed.
	Describe(h *fasthttp.RequestHeader) (Description, error)
	// Clean removes the header fields that only the node may set.
	Clean(h *fasthttp.RequestHeader)
	// Address sets the header fields of a request to an endpoint.
	Address(h *fasthttp.RequestHeader, s Sending)
	// Interpret parses the header of an endpoint's response.
	Interpret(h *fasthttp.ResponseHeader) Interpretation
}

// Description is the metadata in the header of a caller's request.
type Description struct {
	// Name is the caller's ID of this attempt.
	Name string
	// Key is the API key, or empty if there is none.
	Key string
	// Deadline is the time allowed for the request, or zero if there is no
	// limit.
	Deadline time.Duration
	Need     chooser.Need
}

// Sending is the metadata that the node adds to a request to an endpoint.
type Sending struct {
	// Instance is the identifier of the endpoint that may run the request.
	Instance string
	// Account is the client account, or empty if the request has none.
	Account string
	// Urgency ranges from 0, the most urgent, to 9. It is sent to engines only.
	Urgency int
	Engine  bool
	// Left is the time remaining until the response is due.
	Left time.Duration
	// Event is the ID of the last event passed to the caller, or empty.
	Event string
	// Holder, if valid, is the address from which the endpoint can fetch
	// the KV cache of the prompt parts that requests share.
	Holder netip.AddrPort
}

// Interpretation is the metadata in the header of an endpoint's response.
type Interpretation struct {
	// Name is the ID of the attempt that the response belongs to.
	Name string
	// Whole reports whether the response carries the endpoint's seal, that is,
	// whether it is the endpoint's own and unmodified.
	Whole bool
	// Declined reports whether the endpoint states that it did not run the
	// request.
	Declined bool
	// Cold is the remaining time for which the endpoint is cold, or zero.
	Cold time.Duration
}
