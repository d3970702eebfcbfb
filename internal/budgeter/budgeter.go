// Package budgeter bounds the memory that a process uses for what others send to it.
// Faulty endpoints and callers send bytes without end. Each message has a limit, but
// many of them at once can exceed the memory of the process, which would end all of its
// requests. A Budget is shared by all messages; when it is used up, the largest message
// gives way, so that small ones are not affected.
package budgeter

import (
	"fmt"
	"sync"
	"time"
)

const (
	// FreeBytes is the size up to which a message is not counted. The number of
	// connections bounds the memory of small messages.
	FreeBytes = 8 << 10
	// unreadTimeout is the time after which a complete message can give way: its
	// receiver does not read it.
	unreadTimeout = 10 * time.Second
)

// Kind classifies an Error.
type Kind string

// KindExhausted means that the message had to give way because the budget was used
// up.
const KindExhausted Kind = "memory budget used up"

// Error is an error of this package.
type Error struct {
	Op   string
	Kind Kind
}

// Error returns the operation and the kind.
func (e *Error) Error() string { return fmt.Sprintf("budgeter: %s: %s", e.Op, e.Kind) }

// ErrExhausted is the error of a message that had to give way.
var ErrExhausted error = &Error{Op: "hold message", Kind: KindExhausted}

// Content is what the bytes of a Holding are part of.
type Content string

// The contents of holdings.
const (
	// Response is a response of an endpoint, other than a stream.
	Response Content = "response"
	// Event is an event of a stream.
	Event Content = "event"
	// Request is the body of a caller's request.
	Request Content = "request"
)

// Contents lists all contents.
var Contents = []Content{Response, Event, Request}

// Options configures a Budget.
type Options struct {
	// Limit is the number of bytes that all messages may hold together.
	Limit int
	// Clock returns the current time.
	Clock func() time.Time
	// OnCut is called with each message that gives way and the number of its bytes. It
	// must not call the budget.
	OnCut func(content Content, bytes int)
}

// Budget is the memory for the messages of a process. It is safe for concurrent use.
type Budget struct {
	opts Options

	mu sync.Mutex
	// used is the sum of the counted bytes of holdings, and peak the highest value that
	// it has had. Neither exceeds the limit.
	used, peak int
	holdings   map[*Holding]struct{}
}

// New returns an unused budget.
func New(opts Options) *Budget {
	return &Budget{opts: opts, holdings: map[*Holding]struct{}{}}
}

// Usage is the use of a budget in bytes.
type Usage struct{ Used, Peak, Limit int }

// Usage returns the present use.
func (b *Budget) Usage() Usage {
	b.mu.Lock()
	defer b.mu.Unlock()

	return Usage{Used: b.used, Peak: b.peak, Limit: b.opts.Limit}
}

// Holding is the memory of one message. Its methods are safe for concurrent use. A nil
// Holding accounts for nothing.
type Holding struct {
	budget  *Budget
	content Content
	// cut ends the message. If it is nil, the message never gives way to another one.
	cut func()

	// The fields below are guarded by the budget's lock.

	// counted is the number of bytes that count towards the budget. It is zero after
	// the message gave way or was released, and the holding is in holdings only while
	// it is positive.
	counted int
	// wasCut reports whether the message had to give way.
	wasCut bool
	// completeSince is when the message was complete, or zero.
	completeSince time.Time
}

// Hold returns the holding of a message without bytes. If it has to give way to
// another one, cut is called in a goroutine of its own; it may be called after Release.
// If cut is nil, the message never gives way to another one.
func (b *Budget) Hold(content Content, cut func()) *Holding {
	return &Holding{budget: b, content: content, cut: cut}
}

// Resize sets the number of bytes that the message takes up. It returns ErrExhausted if
// the message has to give way, or had to; its bytes then do not count any more and must
// be released soon.
func (h *Holding) Resize(bytes int) error {
	if h == nil {
		return nil
	}
	b := h.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if h.wasCut {
		return ErrExhausted
	}
	counted := max(bytes-FreeBytes, 0)
	for b.used-h.counted+counted > b.opts.Limit {
		victim := b.largest(h, counted)
		b.cutOff(victim, max(counted, victim.counted))
		if victim == h {
			return ErrExhausted
		}
		go victim.cut()
	}
	b.set(h, counted)

	return nil
}

// largest returns the message that gives way next: the largest that is not complete,
// or else the one that its receiver has not read for longest, or else h, which would
// have the given size.
func (b *Budget) largest(h *Holding, size int) *Holding {
	victim := h
	for other := range b.holdings {
		if other != h && other.cut != nil && other.completeSince.IsZero() && other.counted > size {
			victim, size = other, other.counted
		}
	}
	if victim != h {
		return victim
	}
	oldest := b.opts.Clock().Add(-unreadTimeout)
	for other := range b.holdings {
		if other != h && other.cut != nil && !other.completeSince.IsZero() && !other.completeSince.After(oldest) {
			victim, oldest = other, other.completeSince
		}
	}

	return victim
}

func (b *Budget) cutOff(h *Holding, bytes int) {
	b.set(h, 0)
	h.wasCut = true
	if b.opts.OnCut != nil {
		b.opts.OnCut(h.content, bytes)
	}
}

func (b *Budget) set(h *Holding, counted int) {
	b.used += counted - h.counted
	b.peak = max(b.peak, b.used)
	h.counted = counted
	if counted > 0 {
		b.holdings[h] = struct{}{}
	} else {
		delete(b.holdings, h)
	}
}

// Complete records that the message is complete. It then gives way only if its
// receiver does not read it, and not at all if cut is nil. cut replaces the former
// function.
func (h *Holding) Complete(cut func()) {
	if h == nil {
		return
	}
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	h.completeSince = h.budget.opts.Clock()
	h.cut = cut
}

// Cut reports whether the message had to give way.
func (h *Holding) Cut() bool {
	if h == nil {
		return false
	}
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()

	return h.wasCut
}

// Release records that the message takes up no memory any more. It may be called more
// than once.
func (h *Holding) Release() {
	if h == nil {
		return
	}
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	h.budget.set(h, 0)
}
