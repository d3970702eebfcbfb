// Package emulator simulates batching model engines in virtual time, for
// replays of load patterns against placement and admission control. An engine
// works in steps. Each step prefills up to one chunk of the incomplete prompts
// and generates one token for every request whose prompt is complete. Prompt
// parts stay cached until they are evicted, least recently used first.
package emulator

import (
	"slices"
	"time"
)

// Model holds the performance parameters of an engine.
type Model struct {
	// Slots is the maximum number of requests in a batch.
	Slots int
	// BaseStep is the duration of a step with an empty batch, and StepPerRequest
	// is the time that each running request adds.
	BaseStep, StepPerRequest time.Duration
	// PrefillTokensPerMs is the prefill speed in tokens per millisecond, and
	// ChunkTokens is the maximum number of prompt tokens that are prefilled in
	// one step.
	PrefillTokensPerMs float64
	ChunkTokens        int
	// TokensPerEvent is the number of tokens in an event of a stream.
	TokensPerEvent int
	// CacheTokens is the capacity of the prefix cache in tokens.
	CacheTokens int
	// Slowness is the factor by which steps take longer. Zero means 1.
	Slowness float64
	// SlowBatch is the batch size from which steps take SlowBatchFactor times as
	// long, or zero if there is none.
	SlowBatch       int
	SlowBatchFactor float64
}

// Dense models a dense 70 B model on two accelerators.
var Dense = Model{
	Slots: 64, BaseStep: 5470 * time.Microsecond, StepPerRequest: 12 * time.Microsecond,
	PrefillTokensPerMs: 38.7, ChunkTokens: 1024, TokensPerEvent: 4, CacheTokens: 150000,
}

// Sparse models a sparse 120 B model on two accelerators. Compared with Dense,
// it prefills faster and puts more tokens into an event.
var Sparse = Model{
	Slots: 64, BaseStep: 3740 * time.Microsecond, StepPerRequest: 81 * time.Microsecond,
	PrefillTokensPerMs: 81.9, ChunkTokens: 1024, TokensPerEvent: 6, CacheTokens: 150000,
}

// Part is a part of a prompt that several requests may share.
type Part struct {
	ID     uint64
	Tokens int
}

// Request is a request and, once it is done, its measurements.
type Request struct {
	Arrival time.Duration
	// Parts are the leading parts of the prompt, which other requests may share.
	// PromptTokens is the length of the whole prompt, and OutputTokens that of
	// the answer.
	Parts        []Part
	PromptTokens int
	OutputTokens int

	// TimeToFirstToken is measured from the arrival, LongestPause is the longest
	// time between two events, and PrefillTokens is the number of prompt tokens
	// that were not cached.
	TimeToFirstToken, LongestPause time.Duration
	PrefillTokens                  int
	Done                           bool

	pendingTokens, generatedTokens int
	lastEvent                      time.Duration
	// progress is the fraction of a step that noise has left to the request, and
	// advances reports whether it takes part in the present step.
	progress float64
	advances bool
}

// Engine simulates one engine. It is not safe for concurrent use.
type Engine struct {
	model   Model
	now     time.Duration
	waiting []*Request
	running []*Request
	// cache holds the cached parts, least recently used first.
	cache []Part
	// OnFirstToken and OnDone, if not nil, are called at the first token and at
	// the end of a request.
	OnFirstToken, OnDone func(now time.Duration, r *Request)
	// Noise, if not nil, returns the factor, at least 1, by which a request takes
	// longer than its engine at the given time. It must be deterministic.
	Noise func(now time.Duration, r *Request) float64
}

// New returns an idle engine.
func New(model Model) *Engine { return &Engine{model: model} }

// SetSlowness changes the factor by which steps take longer, from the next step
// on.
func (e *Engine) SetSlowness(factor float64) { e.model.Slowness = factor }

// Submit queues a request at the engine's current time.
func (e *Engine) Submit(r *Request) { e.waiting = append(e.waiting, r) }

// RunUntil simulates the engine until the given time. A step that has begun is
// completed, so the engine may end up slightly later.
func (e *Engine) RunUntil(until time.Duration) {
	for e.now < until {
		if len(e.waiting)+len(e.running) == 0 {
			e.now = until

			return
		}
		e.step()
	}
}

// step admits waiting requests to free slots, prefills one chunk and generates
// a token for each request whose prompt is complete.
func (e *Engine) step() {
	for len(e.waiting) > 0 && len(e.running) < e.model.Slots {
		r := e.waiting[0]
		e.waiting = e.waiting[1:]
		r.pendingTokens = r.PromptTokens - e.cacheParts(r.Parts)
		r.PrefillTokens = r.pendingTokens
		e.running = append(e.running, r)
	}
	chunkLeft := e.model.ChunkTokens
	for _, r := range e.running {
		r.advances = e.advances(r)
		if !r.advances {
			continue
		}
		n := min(r.pendingTokens, chunkLeft)
		r.pendingTokens -= n
		chunkLeft -= n
	}
	prefilled := e.model.ChunkTokens - chunkLeft
	duration := e.model.BaseStep + time.Duration(len(e.running))*e.model.StepPerRequest +
		time.Duration(float64(prefilled)/e.model.PrefillTokensPerMs*float64(time.Millisecond))
	e.now += time.Duration(float64(duration) * e.stepFactor())
	for _, r := range e.running {
		if r.advances && r.pendingTokens == 0 {
			e.emitToken(r)
		}
	}
	e.running = slices.DeleteFunc(e.running, func(r *Request) bool { return r.Done })
}

// stepFactor returns the factor by which the next step takes longer.
func (e *Engine) stepFactor() float64 {
	factor := 1.0
	if e.model.Slowness > 0 {
		factor = e.model.Slowness
	}
	if e.model.SlowBatch > 0 && len(e.running) >= e.model.SlowBatch {
		factor *= e.model.SlowBatchFactor
	}

	return factor
}

// advances reports whether a request takes part in the next step.
func (e *Engine) advances(r *Request) bool {
	if e.Noise == nil {
		return true
	}
	r.progress += 1 / e.Noise(e.now, r)
	if r.progress < 1 {
		return false
	}
	r.progress--

	return true
}

func (e *Engine) emitToken(r *Request) {
	r.generatedTokens++
	if r.generatedTokens == 1 {
		r.TimeToFirstToken, r.lastEvent = e.now-r.Arrival, e.now
		if e.OnFirstToken != nil {
			e.OnFirstToken(e.now, r)
		}
	} else if r.generatedTokens%e.model.TokensPerEvent == 0 {
		r.LongestPause, r.lastEvent = max(r.LongestPause, e.now-r.lastEvent), e.now
	}
	if r.generatedTokens >= r.OutputTokens {
		r.Done = true
		if e.OnDone != nil {
			e.OnDone(e.now, r)
		}
	}
}

// cacheParts adds all parts to the cache and returns the number of tokens in
// the leading parts that were already cached.
func (e *Engine) cacheParts(parts []Part) int {
	cachedTokens, cached := 0, true
	for _, p := range parts {
		index := slices.IndexFunc(e.cache, func(c Part) bool { return c.ID == p.ID })
		if index >= 0 {
			e.cache = slices.Delete(e.cache, index, index+1)
		}
		cached = cached && index >= 0
		if cached {
			cachedTokens += p.Tokens
		}
		e.cache = append(e.cache, p)
	}
	size := 0
	for _, p := range e.cache {
		size += p.Tokens
	}
	for size > e.model.CacheTokens {
		size -= e.cache[0].Tokens
		e.cache = e.cache[1:]
	}

	return cachedTokens
}
