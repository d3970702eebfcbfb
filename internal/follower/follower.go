// Package follower keeps a node's shared view up to date. It reads everything
// once, waits for changes, and reads everything again when the history of the
// changes is gone.
package follower

import (
	"context"
	"errors"
	"sync"
	"time"

	"snipedyke/internal/aggregator"
	"snipedyke/internal/director"
	"snipedyke/internal/logger"
	"snipedyke/internal/registrar"
	"snipedyke/internal/router"
	"snipedyke/pkg/encoder"
)

// ErrHistory tells that the changes after a revision are no longer to be had.
var ErrHistory = errors.New("follower: history is gone")

// Source reads the shared view.
type Source interface {
	// List returns everything, as it was at Revision or later.
	List(ctx context.Context) (View, error)
	// Watch returns the changes after a revision as soon as there are any, or
	// none after a time. It returns ErrHistory if they are no longer to be had.
	Watch(ctx context.Context, after uint64, wait time.Duration) (View, error)
	// Decode turns an item that another node has read into a change, or reports
	// false if it does not concern the project.
	Decode(item encoder.Item) (Change, bool)
}

// View is a list or the changes of one.
type View struct {
	// Revision is where to continue.
	Revision uint64
	Changes  []Change
}

// Change is one item of the shared view. Key and Revision order the changes of
// an item.
type Change struct {
	Key      string
	Revision uint64
	Value    Value
	// Item is the item as it was published.
	Item encoder.Item
}

// Value is what an item holds. Only the types of this package implement it.
type Value interface{ value() }

// Endpoint is the entry of an endpoint.
type Endpoint struct{ Entry registrar.Entry }

// EndpointGone is the end of an endpoint's entry.
type EndpointGone struct{ ID string }

// Table is a table of routes.
type Table struct{ Table *router.Table }

// Centre tells whether a data centre is taken out.
type Centre struct {
	Name string
	Out  bool
}

// Ignored is an item that cannot be used. ID is the endpoint that it would
// have described, or empty.
type Ignored struct {
	ID  string
	Err error
}

func (Endpoint) value()     {}
func (EndpointGone) value() {}
func (Table) value()        {}
func (Centre) value()       {}
func (Ignored) value()      {}

// Logger writes numbered log events.
type Logger interface {
	// Event writes an event; args alternates keys and values.
	Event(number int, args ...any)
}

// Options are what a follower is made of.
type Options struct {
	Source Source
	// Post takes the events of a director.
	Post   func(director.Event)
	Logger Logger
	// Clock is the clock of the director.
	Clock func() time.Time
}

const (
	// watchWait is how long a watch waits for changes. Twice this time, plus
	// watchMargin, must be less than the lease of keys.
	watchWait = 1500 * time.Millisecond
	// watchMargin is how much later than promised an answer may come.
	watchMargin = 500 * time.Millisecond
	// listTimeout bounds the time to read everything.
	listTimeout = 2 * time.Second
	// relayWait is how long a watch waits at a node that relays the view. Twice
	// this time, gatherTime and the interval of digests make up the greatest age
	// of a relayed view while all is well.
	relayWait = 400 * time.Millisecond
	// relayAge is the age of a relayed view from which a node reads for itself,
	// and checkWait how long its first watch waits then. A change must be in
	// force within 2 s, also at the members of a speaker that is cut off.
	relayAge  = 1300 * time.Millisecond
	checkWait = 200 * time.Millisecond
	// relayPoll is the time between two looks at the age of a relayed view.
	relayPoll = 200 * time.Millisecond
	// keptItems bounds the items that are kept for others, and maxRelayed the
	// bytes that one message carries.
	keptItems  = 512
	maxRelayed = 32 << 10
	// gatherTime is the pause after changes, in which others join the next ones.
	gatherTime = 200 * time.Millisecond
	// retryLeast and retryMost bound the pause between two failed calls.
	retryLeast = 100 * time.Millisecond
	retryMost  = 400 * time.Millisecond
)

// Follower follows the shared view. Its methods are safe for concurrent use.
type Follower struct {
	opts Options

	mu       sync.Mutex
	revision uint64
	// confirmed is when the view was last known to be complete.
	confirmed time.Time
	// relayed tells that another node has confirmed the view last, and speaks
	// that this one relays it to others.
	relayed, speaks bool
	// kept holds the last changes, oldest first, and base the revision after
	// which none is missing.
	kept []encoder.Item
	base uint64
	// listed tells that everything has been read.
	listed bool
	// items holds the revision of each item.
	items map[string]uint64
	// out holds the data centres that are taken out.
	out map[string]bool
	// failures counts failed calls in a row.
	failures int
}

// New returns a follower. Run must follow.
func New(opts Options) *Follower {
	return &Follower{opts: opts, items: map[string]uint64{}, out: map[string]bool{}}
}

// Run follows the shared view until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if f.followsOther() {
			pause(ctx, relayPoll)

			continue
		}
		err := f.step(ctx)
		switch {
		case ctx.Err() != nil:
			return
		case err == nil:
			f.failures = 0
		case errors.Is(err, ErrHistory):
			f.mu.Lock()
			f.opts.Logger.Event(logger.HistoryLost, "revision", f.revision)
			f.listed = false
			f.mu.Unlock()
		default:
			f.fail(ctx)
		}
	}
}

// fail pauses after a failed call. The first failure may be a connection that
// has gone silent, so that the next call follows at once.
func (f *Follower) fail(ctx context.Context) {
	f.failures++
	if f.failures < 2 {
		return
	}
	f.opts.Post(director.Lost{})
	pause(ctx, min(retryLeast*time.Duration(f.failures-1), retryMost))
}

// pause waits for a time or until ctx ends.
func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// followsOther tells whether another node keeps the view up to date.
func (f *Follower) followsOther() bool {
	f.mu.Lock()
	defer f.mu.Unlock()

	return f.listed && f.relayed && f.opts.Clock().Sub(f.confirmed) < relayAge
}

// next returns the revision to continue from and how long to wait for changes.
func (f *Follower) next() (listed bool, revision uint64, wait time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	wait = watchWait
	switch {
	case f.relayed:
		wait = checkWait
	case f.speaks:
		wait = relayWait
	}

	return f.listed, f.revision, wait
}

// Speaks takes whether the node relays the view to others.
func (f *Follower) Speaks(speaks bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.speaks = speaks
}

// View returns the view for others.
func (f *Follower) View() aggregator.View {
	f.mu.Lock()
	defer f.mu.Unlock()

	return aggregator.View{Revision: f.revision, Confirmed: f.confirmed, Since: f.since}
}

// since returns the changes after a revision, or false if they are not known or
// too large for a message.
func (f *Follower) since(revision uint64) ([]encoder.Item, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if revision < f.base {
		return nil, false
	}
	size, at := 0, len(f.kept)
	for at > 0 && f.kept[at-1].Revision > revision {
		at--
		size += len(f.kept[at].Key) + len(f.kept[at].Data)
	}
	if size > maxRelayed {
		return nil, false
	}

	return f.kept[at:len(f.kept):len(f.kept)], true
}

// Relay takes the view of another node.
func (f *Follower) Relay(r aggregator.Relayed) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.listed || r.Gap && r.Revision > f.revision || !r.Confirmed.After(f.confirmed) {
		return
	}
	f.relayed, f.confirmed = true, r.Confirmed
	f.opts.Post(director.Confirmed{At: r.Confirmed})
	view := View{Revision: r.Revision}
	for _, item := range r.Items {
		if c, ok := f.opts.Source.Decode(item); ok {
			view.Changes = append(view.Changes, c)
		}
	}
	f.apply(view)
}

// confirm notes that the view was complete at a time.
func (f *Follower) confirm(at time.Time) {
	f.relayed = false
	if at.After(f.confirmed) {
		f.confirmed = at
	}
	f.opts.Post(director.Confirmed{At: at})
}

// step makes one call.
func (f *Follower) step(ctx context.Context) error {
	sent := f.opts.Clock()
	listed, revision, wait := f.next()
	if !listed {
		ctx, cancel := context.WithTimeout(ctx, listTimeout)
		defer cancel()
		view, err := f.opts.Source.List(ctx)
		if err != nil {
			return err
		}
		f.mu.Lock()
		defer f.mu.Unlock()
		f.list(view)
		f.confirm(sent)

		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, wait+watchMargin)
	defer cancel()
	view, err := f.opts.Source.Watch(ctx, revision, wait)
	if err != nil {
		return err
	}
	if len(view.Changes) == 0 && f.opts.Clock().Sub(sent) >= wait {
		sent = sent.Add(wait)
	}
	f.mu.Lock()
	// The contact comes first: what vanished during an outage may come back.
	f.confirm(sent)
	f.apply(view)
	f.mu.Unlock()
	if len(view.Changes) > 0 {
		// Changes come in groups, and each call is priced.
		pause(ctx, gatherTime)
	}

	return nil
}

// list takes everything.
func (f *Follower) list(view View) {
	f.revision, f.listed = view.Revision, true
	f.kept, f.base = nil, view.Revision
	clear(f.items)
	clear(f.out)
	var entries []registrar.Entry
	for _, c := range view.Changes {
		f.items[c.Key] = c.Revision
		switch v := c.Value.(type) {
		case Endpoint:
			entries = append(entries, v.Entry)
		case Table:
			f.opts.Post(director.TableLoaded{Table: v.Table})
		case Centre:
			f.out[v.Name] = v.Out
		case Ignored:
			f.ignore(c, v)
		case EndpointGone:
		}
	}
	f.postCentres()
	f.opts.Post(director.EntriesListed{Entries: entries})
}

// apply takes changes.
func (f *Follower) apply(view View) {
	f.revision = max(f.revision, view.Revision)
	for _, c := range view.Changes {
		if c.Revision <= f.items[c.Key] {
			continue
		}
		f.items[c.Key] = c.Revision
		f.keep(c.Item)
		switch v := c.Value.(type) {
		case Endpoint:
			f.opts.Post(director.EntryPut{Entry: v.Entry})
		case EndpointGone:
			f.opts.Post(director.EntryRemoved{ID: v.ID})
		case Table:
			f.opts.Post(director.TableLoaded{Table: v.Table})
		case Centre:
			f.out[v.Name] = v.Out
			f.postCentres()
		case Ignored:
			f.ignore(c, v)
			if v.ID != "" {
				f.opts.Post(director.EntryRemoved{ID: v.ID})
			}
		}
	}
}

// keep keeps an item for others.
func (f *Follower) keep(item encoder.Item) {
	if n := len(f.kept); n >= keptItems {
		// What Since has returned may still be in use.
		f.base = f.kept[n/2-1].Revision
		f.kept = append([]encoder.Item(nil), f.kept[n/2:]...)
	}
	f.kept = append(f.kept, item)
}

func (f *Follower) ignore(c Change, v Ignored) {
	f.opts.Logger.Event(logger.EntryIgnored, "key", c.Key, "revision", c.Revision, "error", v.Err.Error())
}

func (f *Follower) postCentres() {
	names := make([]string, 0, len(f.out))
	for name, out := range f.out {
		if out {
			names = append(names, name)
		}
	}
	f.opts.Post(director.CentresOut{Names: names})
}
