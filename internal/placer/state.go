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

// Why is the reason for a change of state.
type Why string

// The reasons for changes of state.
const (
	WhyNew      Why = "new"
	WhyRemoved  Why = "removed"
	WhyOut      Why = "taken out"
	WhyReturned Why = "returned"
	WhyReported Why = "reported warm"
	WhyLoading  Why = "loading"
	WhySlow     Why = "slow first token"
	WhyRefused  Why = "refused"
	WhyCrashed  Why = "crashed"
	WhyProbe    Why = "probe"
	WhySuccess  Why = "success"
)

// Change is a change of an endpoint's state.
type Change struct {
	Endpoint string
	From     State
	To       State
	Why      Why
}
