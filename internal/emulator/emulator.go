// Package emulator models batching model engines in virtual time, for replays
// of load patterns against placement and admission. An engine works in steps:
// each yields a token to every request whose prompt has been read, and reads a
// chunk of the prompts that wait. Parts of prompts stay cached until others
// need their room.
package emulator

import (
	"slices"
	"time"
)

// Model holds the constants of an engine.
type Model struct {
	// Slots is the number of requests that run at once.
	Slots int
	// Step is the least time of a step, and StepSlot what each running request
	// adds.
	Step, StepSlot time.Duration
	// Read is the number of prompt tokens that are read in a millisecond, and
	// Chunk the most that are read in a step.
	Read  float64
	Chunk int
	// Stride is the number of tokens in an event.
	Stride int
	// Cache is the room for shared parts in tokens.
	Cache int
}

// Dense is the model of a dense 70 B model on two accelerators.
var Dense = Model{
	Slots: 64, Step: 5470 * time.Microsecond, StepSlot: 12 * time.Microsecond,
	Read: 38.7, Chunk: 1024, Stride: 4, Cache: 150000,
}

// Sparse is the model of a sparse 120 B model on two accelerators. It reads
// faster and has more tokens in an event.
var Sparse = Model{
	Slots: 64, Step: 3740 * time.Microsecond, StepSlot: 81 * time.Microsecond,
	Read: 81.9, Chunk: 1024, Stride: 6, Cache: 150000,
}

// Part is a part of a prompt.
type Part struct {
	ID     uint64
	Tokens int
}

// Request is a request and, once it has ended, how it went.
type Request struct {
	Arrival time.Duration
	// Parts are shared with other requests; Prompt is the number of tokens of
	// the whole prompt, and Output that of the answer.
	Parts  []Part
	Prompt int
	Output int

	// First is the time to the first token, Pause the longest time between
	// events, and Read the prompt tokens that were not cached.
	First, Pause time.Duration
	Read         int
	Done         bool

	unread, made int
	last         time.Duration
}

// Engine is one engine. Its methods are not safe for concurrent use.
type Engine struct {
	model   Model
	now     time.Duration
	waiting []*Request
	running []*Request
	// cached holds the parts, the least recently used first.
	cached []Part
	// OnFirst and OnEnd, if they are not nil, are told of first tokens and ends.
	OnFirst, OnEnd func(now time.Duration, r *Request)
}

// New returns an idle engine.
func New(model Model) *Engine { return &Engine{model: model} }

// Send gives the engine a request at the time that it has reached.
func (e *Engine) Send(r *Request) { e.waiting = append(e.waiting, r) }

// Run works until a time, or a little later as a step is not cut.
func (e *Engine) Run(until time.Duration) {
	for e.now < until {
		if len(e.waiting)+len(e.running) == 0 {
			e.now = until

			return
		}
		e.step()
	}
}

// step starts what has a slot, reads a chunk and makes a token for each request
// whose prompt is read.
func (e *Engine) step() {
	for len(e.waiting) > 0 && len(e.running) < e.model.Slots {
		r := e.waiting[0]
		e.waiting = e.waiting[1:]
		r.unread = r.Prompt - e.use(r.Parts)
		r.Read = r.unread
		e.running = append(e.running, r)
	}
	left := e.model.Chunk
	for _, r := range e.running {
		n := min(r.unread, left)
		r.unread -= n
		left -= n
	}
	read := e.model.Chunk - left
	e.now += e.model.Step + time.Duration(len(e.running))*e.model.StepSlot +
		time.Duration(float64(read)/e.model.Read*float64(time.Millisecond))
	for _, r := range e.running {
		if r.unread == 0 {
			e.token(r)
		}
	}
	e.running = slices.DeleteFunc(e.running, func(r *Request) bool { return r.Done })
}

func (e *Engine) token(r *Request) {
	r.made++
	if r.made == 1 {
		r.First, r.last = e.now-r.Arrival, e.now
		if e.OnFirst != nil {
			e.OnFirst(e.now, r)
		}
	} else if r.made%e.model.Stride == 0 {
		r.Pause, r.last = max(r.Pause, e.now-r.last), e.now
	}
	if r.made >= r.Output {
		r.Done = true
		if e.OnEnd != nil {
			e.OnEnd(e.now, r)
		}
	}
}

// use returns the tokens of the leading parts that are cached, and caches all
// of them.
func (e *Engine) use(parts []Part) int {
	kept, hit := 0, true
	for _, p := range parts {
		at := slices.IndexFunc(e.cached, func(c Part) bool { return c.ID == p.ID })
		if at >= 0 {
			e.cached = slices.Delete(e.cached, at, at+1)
		}
		hit = hit && at >= 0
		if hit {
			kept += p.Tokens
		}
		e.cached = append(e.cached, p)
	}
	size := 0
	for _, p := range e.cached {
		size += p.Tokens
	}
	for size > e.model.Cache {
		size -= e.cached[0].Tokens
		e.cached = e.cached[1:]
	}

	return kept
}
