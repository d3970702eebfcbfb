// Package placer keeps the state of a pool's endpoints as the pool's home sees
// them, and chooses an endpoint for each request.
package placer

// State is the state of an endpoint.
type State string

// The states of an endpoint.
const (
	// Cold endpoints run at most as many requests as their cold limit allows.
	Cold State = "cold"
	// Warming endpoints have shown normal speed; their limit grows with each
	// normal first token.
	Warming State = "warming"
	Warm    State = "warm"
	// Failed endpoints get no work until a probe succeeds.
	Failed  State = "failed"
	Probing State = "probing"
	// Out endpoints are taken out of service by an operator, or are no longer in
	// the catalogue.
	Out State = "out"
)

// Reason is the reason for a change of state.
type Reason string

// The reasons for changes of state.
const (
	ReasonNew          Reason = "new"
	ReasonRemoved      Reason = "removed"
	ReasonOutOfService Reason = "taken out"
	ReasonReturned     Reason = "returned"
	ReasonReportedWarm Reason = "reported warm"
	ReasonLoading      Reason = "loading"
	ReasonSlow         Reason = "slow first token"
	ReasonRefused      Reason = "refused"
	ReasonCrashed      Reason = "crashed"
	ReasonProbe        Reason = "probe"
	ReasonSuccess      Reason = "success"
)

// Change is a change of an endpoint's state.
type Change struct {
	Endpoint string
	From     State
	To       State
	Reason   Reason
}
