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
	// Describe reads what a caller's header says of a request. An error means
	// that the header cannot be understood.
	Describe(h *fasthttp.RequestHeader) (Description, error)
	// Clean removes the fields that only the node may send.
	Clean(h *fasthttp.RequestHeader)
	// Address sets the fields of a request to an endpoint.
	Address(h *fasthttp.RequestHeader, s Sending)
	// Interpret reads what an endpoint's header says of an answer.
	Interpret(h *fasthttp.ResponseHeader) Interpretation
}

// Description is what a caller says of a request.
type Description struct {
	// Name is the caller's name for this attempt.
	Name string
	// Key is empty if there is none.
	Key string
	// Deadline is zero if there is none.
	Deadline time.Duration
	Need     chooser.Need
}

// Sending is what an endpoint is told besides what the caller said.
type Sending struct {
	// Instance names the endpoint that may run the request.
	Instance string
	// Account is empty if the request has none.
	Account string
	// Urgency is from 0, the first, to 9; it is sent to engines only.
	Urgency int
	Engine  bool
	// Left is the time until the answer must be there.
	Left time.Duration
	// Event is the last event that the caller has, or empty.
	Event string
	// Holder, if it is valid, is where the endpoint can fetch the parts of the
	// prompt that requests share.
	Holder netip.AddrPort
}

// Interpretation is what an endpoint says of an answer.
type Interpretation struct {
	// Name is the name of the request that is answered.
	Name string
	// Whole tells that the answer is the endpoint's own, as it was made.
	Whole bool
	// Declined states that the request has not run.
	Declined bool
	// Cold is how much longer the endpoint is cold, or zero.
	Cold time.Duration
}
