// Package chooser places requests on endpoints.
//
// It is designed for long prompts that run beside streamed answers. An engine
// prefills a prompt in chunks between the decoding steps of its other
// requests, so each long prompt lengthens the pauses of all streams in the
// same batch. A prompt part that another engine has cached must be prefilled
// again, at the cost of the whole part. Long and short prompts therefore go to
// disjoint sets of engines, whose sizes follow the load of both groups, and
// prompts with the same shared parts go to the same few engines.
//
// A node knows its own requests at once and those of the other nodes some tens
// of milliseconds later. All nodes split the engines by the same totals and
// rank them by the same hashes, so that they agree.
package chooser

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Need describes what a request needs from an engine.
type Need struct {
	// PromptTokens is the number of tokens in the prompt.
	PromptTokens int
	// SharedParts lists the hashes of the prompt parts that other requests share,
	// in the order of the prompt.
	SharedParts []uint64
	// SharedHash is the hash of the last prompt part that other requests share, or
	// zero, and SharedTokens is the number of tokens in all parts up to and
	// including it.
	SharedHash   uint64
	SharedTokens int
	// Seed differs between requests. It selects the engines that a request
	// compares, so that the requests of all nodes spread out.
	Seed uint64
	// Urgency is the urgency rank of the request's route; 0 is the most urgent.
	Urgency int
}

// longPromptTokens is the number of prompt tokens from which a request counts
// as long: an engine takes several steps to prefill it.
const longPromptTokens = 2048

// Long reports whether the request belongs to the group with long prompts.
func (n Need) Long() bool { return n.PromptTokens >= longPromptTokens }

// PrefillTokens returns the number of prompt tokens that must be prefilled if
// the shared parts are cached.
func (n Need) PrefillTokens() float64 { return float64(max(n.PromptTokens-n.SharedTokens, 0)) }

// Engine is a node's view of the load of one engine. With all fields except ID
// and Local zero, the engine is idle.
type Engine struct {
	ID string
	// Local reports whether the engine is in the node's own data centre.
	Local bool
	// Own is the load placed by this node, and Others is the load placed by the
	// other nodes as far as it is known.
	Own, Others Load
	// Loss is the load that the risk of losing the request to be placed is worth. It is
	// at least 0.
	Loss float64
	// Slowness multiplies the load and that of the request to be placed.
	Slowness Slowness

	hash uint64
	// compared reports whether the last choice compared the cost of the engine.
	compared bool
	// servesLong reports whether the engine was assigned to long prompts in the
	// last choice, and lastLongPrefill is when it was last known to have long
	// prompts to prefill.
	servesLong      bool
	lastLongPrefill time.Time
}

// Slowness is the factor by which requests take longer at an engine than at a
// typical one of its service. Factors of zero mean 1.
type Slowness struct {
	// Light applies below BusyFrom requests, and Busy from there on.
	Light, Busy float64
	// BusyFrom is a number of requests, including the one to be placed, or zero if
	// Light always applies.
	BusyFrom int
}

// Factor returns the slowness of an engine with a number of running requests
// when another one is placed there.
func (s Slowness) Factor(running int) float64 {
	factor := s.Light
	if s.BusyFrom > 0 && running+1 >= s.BusyFrom {
		factor = s.Busy
	}
	if factor == 0 {
		return 1
	}

	return factor
}

// NewEngine returns an idle engine.
func NewEngine(id string, local bool) *Engine {
	return &Engine{ID: id, Local: local, hash: xxhash.Sum64String(id)}
}

// Load is the load that a set of requests puts on an engine.
type Load struct {
	// Running is the number of requests.
	Running int
	// PrefillTokens is the number of uncached prompt tokens of the requests that
	// have not produced their first token.
	PrefillTokens float64
}

// Running returns the number of requests of all nodes at the engine.
func (e *Engine) Running() int { return e.Own.Running + e.Others.Running }

// PrefillTokens returns the number of prompt tokens that the engine still has
// to prefill.
func (e *Engine) PrefillTokens() float64 { return e.Own.PrefillTokens + e.Others.PrefillTokens }

// weightedLoad returns the load by which engines are compared.
func (e *Engine) weightedLoad() float64 {
	load := loadPerRequest*float64(e.Running()) + e.PrefillTokens()/prefillTokensPerLoad
	slowness := e.Slowness.Factor(e.Running())

	return load*slowness + placedLoad*(slowness-1)
}

// cost returns the load by which an engine is compared for the request to be placed.
func (e *Engine) cost() float64 { return e.weightedLoad() + e.Loss }

// Cost returns the load by which engines in different data centres are compared for the
// request to be placed.
func (e *Engine) Cost() float64 {
	if e.Local {
		return e.cost()
	}

	return e.cost() + remoteLoad
}

// Compared reports whether the last choice with the engine as a candidate compared its
// cost. Others are of the other group, or not in the sample of the request.
func (e *Engine) Compared() bool { return e.compared }

const (
	// loadPerRequest is the load of one running request.
	loadPerRequest = 0.5
	// prefillTokensPerLoad is the number of prompt tokens to prefill that count
	// as a load of 1.
	prefillTokensPerLoad = 2000
	// placedLoad is the load of the request to be placed. It is counted only as
	// far as the slowness changes it, so that other engines are ranked by their
	// load alone.
	placedLoad = 1.0
)

// interferingPrefillTokens is the number of prompt tokens whose prefill takes
// as long as the streams in the same batch take for one event. An engine
// prefills 1,024 tokens per step.
const interferingPrefillTokens = 4096

// NoteLongPrefill records the time if the load of the engine shows that it has
// long prompts to prefill.
func (e *Engine) NoteLongPrefill(now time.Time) {
	if e.servesLong && e.PrefillTokens() >= interferingPrefillTokens {
		e.lastLongPrefill = now
	}
}

// HadLongPrefill reports whether the engine had a long prompt to prefill after
// the given time.
func (e *Engine) HadLongPrefill(since time.Time) bool { return e.lastLongPrefill.After(since) }
