// Package follower keeps a node's shared view of the metadata store up to date.
// It lists all items once, watches for changes, and lists again when the change
// history is no longer available.
package follower

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"snipedyke/internal/director"
	"snipedyke/internal/guarder"
	"snipedyke/internal/logger"
	"snipedyke/internal/registrar"
	"snipedyke/internal/router"
	"snipedyke/pkg/encoder"
)

// ErrHistoryLost is returned by Source.Watch if the changes after a revision
// are no longer available.
var ErrHistoryLost = errors.New("follower: change history is no longer available")

// ErrIncomplete is wrapped by errors of Source.Watch if there are more changes
// than could be read.
var ErrIncomplete = errors.New("follower: changes are incomplete")

// errOlderEra is the failure of a call whose answer is of an older era than an
// earlier answer, or of none after one with an era.
var errOlderEra = errors.New("follower: answer is of an older era of the store")

// errUnexpected is the failure of a call whose answer could not be handled.
var errUnexpected = errors.New("unexpected error")

// Source reads the shared view.
type Source interface {
	// List returns all items, each as of Revision or later. The deadline of ctx
	// bounds the time until the response begins; it may take longer to complete.
	List(ctx context.Context) (View, error)
	// Watch returns the changes after a revision as soon as there are any, or
	// none after the time wait. It returns ErrHistoryLost if they are no longer
	// available, and an error that wraps ErrIncomplete if they are too large to be
	// read soon.
	Watch(ctx context.Context, after uint64, wait time.Duration) (View, error)
	// Decode converts an item that another node has read to a change, and
	// reports whether the item is of use.
	Decode(item encoder.Item) (Change, bool)
}

// View is a full list of items, or the changes since a revision.
type View struct {
	// Era rises each time that the store comes back from an older copy. Such a
	// store gives revisions out again, so revisions are comparable within one
	// era only. It is zero if the answer has no era.
	Era uint64
	// Revision is the revision after which to watch.
	Revision uint64
	Changes  []Change
}

// Change is the state of an item. Key and Revision order the changes of an
// item.
type Change struct {
	Key      string
	Revision uint64
	Value    Value
	// Item is the item as published.
	Item encoder.Item
}

// Value is the content of an item. Only the types of this package implement it.
type Value interface{ value() }

// Endpoint is the registration of an endpoint.
type Endpoint struct{ Entry registrar.Entry }

// EndpointRemoved is the removal of an endpoint's registration.
type EndpointRemoved struct{ ID string }

// RoutingTable is one version of the routing table.
type RoutingTable struct{ RoutingTable *router.Table }

// DataCentre is the state of a data centre; Out reports whether it is taken out
// of service.
type DataCentre struct {
	Name string
	Out  bool
}

// Invalid is an item that cannot be used. ID is the endpoint that it describes,
// or empty.
type Invalid struct {
	ID  string
	Err error
}

func (Endpoint) value()        {}
func (EndpointRemoved) value() {}
func (RoutingTable) value()    {}
func (DataCentre) value()      {}
func (Invalid) value()         {}

// Logger writes numbered log events.
type Logger interface {
	// Event writes an event; args alternates keys and values.
	Event(number int, args ...any)
}

// Options are the dependencies of a Follower.
type Options struct {
	Source Source
	// Post passes an event to the director.
	Post   func(director.Event)
	Logger Logger
	// Clock returns the director's time.
	Clock func() time.Time
}

const (
	// watchWait is how long a watch waits for changes. Twice this time plus
	// watchMargin must be less than the lease of keys.
	watchWait = 1500 * time.Millisecond
	// watchMargin is how much longer than its wait a watch may take.
	watchMargin = 500 * time.Millisecond
	// listTimeout bounds the time until the response to a call of List begins.
	listTimeout = 2 * time.Second
	// relayingWatchWait is how long a watch waits at a node that relays the
	// view. Twice this time plus batchDelay and the interval of digests is the
	// maximum age of a relayed view in normal operation.
	relayingWatchWait = 400 * time.Millisecond
	// maxRelayAge is the age at which a relayed view is no longer relied on and
	// the node reads the store itself; fallbackWatchWait is how long its first
	// watch then waits. A change must take effect within 2 s, also at nodes
	// whose relaying node is cut off from the store.
	maxRelayAge       = 1300 * time.Millisecond
	fallbackWatchWait = 200 * time.Millisecond
	// relayCheckInterval is the time between two checks of a relayed view's
	// age.
	relayCheckInterval = 200 * time.Millisecond
	// maxRelaySize bounds the bytes of the items in one message. maxHistory bounds the
	// number of items that are kept to be relayed, and maxHistorySize their bytes:
	// after older items were dropped, as much as fits in a message is left.
	maxRelaySize   = 32 << 10
	maxHistory     = 512
	maxHistorySize = 2 * maxRelaySize
	// batchDelay is the pause after a watch with changes, so that the next
	// watch returns several changes at once.
	batchDelay = 200 * time.Millisecond
	// maxListDelay bounds the pause after a list that replaced a watch. The pause
	// is as long as the list took, so that lists take up at most half of a narrow
	// link.
	maxListDelay = 800 * time.Millisecond
	// maxOlderAnswers is the number of successive answers of an older era after
	// which the store counts as rebuilt. A node makes one call at a time, so a
	// late answer is a single one, and the calls take about 5 s.
	maxOlderAnswers = 15
	// confirmCallTimeout bounds a call that confirms the view on request, and
	// confirmInterval is the time from its end to the next one.
	confirmCallTimeout = 400 * time.Millisecond
	confirmInterval    = 10 * time.Millisecond
	// minRetryDelay and maxRetryDelay bound the delay after a repeated failure.
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = 400 * time.Millisecond
	// maxMemberRetryDelay replaces maxRetryDelay at a node that hears another one which
	// relays the view, within relayTimeout. That node finds out when the store is back.
	// Calls that fail have a cost, too, and a large fleet makes many.
	maxMemberRetryDelay = 1600 * time.Millisecond
	relayTimeout        = time.Second
)

// Follower keeps the shared view up to date. Its methods are safe for
// concurrent use.
type Follower struct {
	opts Options

	mu sync.Mutex
	// era and revision identify the state of the store that the view holds.
	// revision is zero before the first list.
	era, revision uint64
	// storeEra is the newest era that an answer of the store had, since the store
	// was rebuilt last. If it differs from era, the view is that of a lost copy.
	storeEra uint64
	// olderAnswers is the number of successive answers of an older era.
	olderAnswers int
	// confirmed is the last time at which the view was known to be complete.
	confirmed time.Time
	// relayConfirmed is the last time at which another node knew that the view was
	// complete, and relayed reports whether the node has relied on it since the
	// last call to the store. relaying reports whether this node relays the view to
	// others.
	relayConfirmed    time.Time
	relayed, relaying bool
	// relayHeard is the last time at which another node has relayed any view.
	relayHeard time.Time
	// history holds the latest changes, oldest first, and historySize is the sum of
	// their sizes. It is complete for the revisions of the present era after
	// historyStart.
	history      []encoder.Item
	historySize  int
	historyStart uint64
	// listed reports whether a full list has been read.
	listed bool
	// behind reports whether the changes after revision cannot be had from the
	// relaying node or by a watch, so that the next call must be a list. It is
	// true while storeEra differs from era.
	behind bool
	// wake receives a value when behind becomes true.
	wake chan struct{}
	// itemRevisions holds the revision of each item by key, in the present era.
	itemRevisions map[string]uint64
	// table is the highest version of the routing table that has been read, or zero.
	table uint64
	// centresOut reports for each data centre whether it is taken out of
	// service.
	centresOut map[string]bool
	// failures is the number of consecutive failed calls.
	failures int
	// confirmRequested receives a value when the view must be confirmed by a call
	// that begins after that.
	confirmRequested chan struct{}
}

// New returns a Follower. Run starts it.
func New(opts Options) *Follower {
	return &Follower{
		opts: opts, itemRevisions: map[string]uint64{}, centresOut: map[string]bool{},
		wake: make(chan struct{}, 1), confirmRequested: make(chan struct{}, 1),
	}
}

// Run keeps the shared view up to date until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	var wg conc.WaitGroup
	defer wg.Wait()
	wg.Go(func() { f.confirmOnRequest(ctx) })
	for ctx.Err() == nil {
		if f.relayIsFresh() {
			select {
			case <-ctx.Done():
			case <-f.wake:
			case <-time.After(relayCheckInterval):
			}

			continue
		}
		err := errUnexpected
		guarder.Run(f.opts.Logger, "shared view", func() { err = f.update(ctx) })
		switch {
		case ctx.Err() != nil:
			return
		case err == nil:
			f.failures = 0
		case errors.Is(err, ErrHistoryLost):
			f.mu.Lock()
			f.opts.Logger.Event(logger.HistoryUnavailable, "revision", f.revision)
			f.listed = false
			f.mu.Unlock()
		default:
			if errors.Is(err, ErrIncomplete) {
				f.mu.Lock()
				f.behind = true
				f.mu.Unlock()
			}
			f.handleFailure(ctx, err)
		}
	}
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// nextCall returns whether the next call is a list and, if it is a watch, the
// revision to watch from and how long to wait for changes.
func (f *Follower) nextCall() (list bool, revision uint64, wait time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	wait = watchWait
	switch {
	case f.relayed || f.failures > 0:
		// After an outage, an answer soon shows whether the store has been
		// restored.
		wait = fallbackWatchWait
	case f.relaying:
		wait = relayingWatchWait
	}

	return !f.listed || f.behind, f.revision, wait
}

// endOutage reports that the store has answered at the given time or later. The report
// comes before the changes, so that the director can hold removals for a time: the
// removed endpoints may register again.
func (f *Follower) endOutage(at time.Time) {
	f.opts.Post(director.ViewReachable{At: at})
}

// checkEra compares the era of an answer of the store with those before it. It
// returns errOlderEra if the answer must be ignored. If the answer shows a newer
// era than that of the view, or that the store has been rebuilt, behind becomes
// true.
func (f *Follower) checkEra(view View) error {
	if view.Era < f.storeEra && f.olderAnswers < maxOlderAnswers {
		f.olderAnswers++

		return errOlderEra
	}
	f.storeEra, f.olderAnswers = view.Era, 0
	if f.storeEra != f.era {
		f.behind = true
	}

	return nil
}

// confirm records that the view was complete at the given time. It comes after
// the changes: until they are in force, keys that they withdraw must not be
// accepted again.
func (f *Follower) confirm(at time.Time) {
	if at.After(f.confirmed) {
		f.confirmed = at
	}
	f.opts.Post(director.ViewConfirmed{At: at})
}

// setUnrelayed records that the node has read the view itself since it last relied on
// another node.
func (f *Follower) setUnrelayed() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.relayed = false
}

// call makes a call of the source. When ctx ends, it returns without waiting for
// the call, since a source may be unable to cancel it.
func (f *Follower) call(ctx context.Context, makeCall func() (View, error)) (View, error) {
	type result struct {
		view View
		err  error
	}
	done := make(chan result, 1)
	go func() {
		r := result{err: errUnexpected}
		guarder.Run(f.opts.Logger, "answer of the store", func() { r.view, r.err = makeCall() })
		done <- r
	}()
	select {
	case r := <-done:
		return r.view, r.err
	case <-ctx.Done():
		return View{}, ctx.Err()
	}
}

// update makes one call to the store and applies its result.
func (f *Follower) update(ctx context.Context) error {
	sent := f.opts.Clock()
	list, revision, wait := f.nextCall()
	if list {
		return f.updateByList(ctx, sent)
	}
	watchCtx, cancel := context.WithTimeout(ctx, wait+watchMargin)
	defer cancel()
	view, err := f.call(ctx, func() (View, error) { return f.opts.Source.Watch(watchCtx, revision, wait) })
	if err != nil {
		return err
	}
	if len(view.Changes) == 0 && f.opts.Clock().Sub(sent) >= wait {
		sent = sent.Add(wait)
	}
	current, err := f.applyWatch(view, sent)
	if current {
		f.setUnrelayed()
	}
	if current && len(view.Changes) > 0 {
		// Changes come in bursts, and each call to the store has a cost.
		sleep(ctx, batchDelay)
	}

	return err
}

// applyWatch applies the answer of a watch that was sent at the given time, or whose
// answer shows that the view was complete then. It reports whether the answer is of
// the present era.
func (f *Follower) applyWatch(view View, sent time.Time) (current bool, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	err = f.checkEra(view)
	current = err == nil && view.Era == f.era
	if current {
		f.endOutage(f.opts.Clock())
		f.applyChanges(view)
		f.confirm(sent)
	}

	return current, err
}

// updateByList reads a full list and applies it. sent is the present time.
func (f *Follower) updateByList(ctx context.Context, sent time.Time) error {
	listCtx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	view, err := f.call(ctx, func() (View, error) { return f.opts.Source.List(listCtx) })
	if err != nil {
		return err
	}
	repeated, err := f.handleList(view, sent)
	if repeated {
		sleep(ctx, min(max(f.opts.Clock().Sub(sent), batchDelay), maxListDelay))
	}

	return err
}

// handleList applies the answer of a list that was sent at the given time. It reports
// whether the view had been listed before.
func (f *Follower) handleList(view View, sent time.Time) (repeated bool, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.checkEra(view); err != nil {
		return false, err
	}
	repeated = f.listed
	if !repeated || view.Era != f.era || view.Revision >= f.revision {
		f.applyList(view)
		f.relayed = false
		f.confirm(sent)
	}

	return repeated, nil
}

// applyList replaces the view by a full list. A list of another era may lack what
// was in the view, so the director is told before.
func (f *Follower) applyList(view View) {
	if f.revision > 0 && view.Era != f.era {
		f.opts.Post(director.ViewRestored{})
		f.opts.Logger.Event(logger.ViewRestored, "era", view.Era, "former", f.era, "revision", view.Revision, "formerRevision", f.revision)
	} else {
		f.endOutage(f.opts.Clock())
	}
	f.era, f.revision, f.listed, f.behind = view.Era, view.Revision, true, false
	f.history, f.historySize, f.historyStart, f.relayConfirmed = nil, 0, view.Revision, time.Time{}
	clear(f.itemRevisions)
	clear(f.centresOut)
	var entries []registrar.Entry
	for _, c := range view.Changes {
		f.itemRevisions[c.Key] = c.Revision
		switch v := c.Value.(type) {
		case Endpoint:
			entries = append(entries, v.Entry)
		case RoutingTable:
			f.loadTable(v)
		case DataCentre:
			f.centresOut[v.Name] = v.Out
		case Invalid:
			f.logInvalid(c, v)
		case EndpointRemoved:
		}
	}
	f.postCentresOut()
	f.opts.Post(director.EntriesListed{Entries: entries})
}

// applyChanges applies the changes of a view of the present era.
func (f *Follower) applyChanges(view View) {
	former := f.revision
	f.revision = max(f.revision, view.Revision)
	for _, c := range view.Changes {
		if c.Revision <= former {
			continue
		}
		// The later pages of a list may already have contained the item. The
		// history needs it nevertheless.
		f.appendHistory(c.Item)
		if c.Revision <= f.itemRevisions[c.Key] {
			continue
		}
		f.itemRevisions[c.Key] = c.Revision
		switch v := c.Value.(type) {
		case Endpoint:
			f.opts.Post(director.EntryPut{Entry: v.Entry})
		case EndpointRemoved:
			f.opts.Post(director.EntryRemoved{ID: v.ID})
		case RoutingTable:
			f.loadTable(v)
		case DataCentre:
			f.centresOut[v.Name] = v.Out
			f.postCentresOut()
		case Invalid:
			f.logInvalid(c, v)
			if v.ID != "" {
				f.opts.Post(director.EntryRemoved{ID: v.ID})
			}
		}
	}
}

func (f *Follower) loadTable(t RoutingTable) {
	f.table = max(f.table, t.RoutingTable.Version())
	f.opts.Post(director.TableLoaded{Table: t.RoutingTable})
}

func (f *Follower) logInvalid(c Change, v Invalid) {
	f.opts.Logger.Event(logger.EntryIgnored, "key", c.Key, "revision", c.Revision, "error", v.Err.Error())
}

func (f *Follower) postCentresOut() {
	names := make([]string, 0, len(f.centresOut))
	for name, out := range f.centresOut {
		if out {
			names = append(names, name)
		}
	}
	f.opts.Post(director.CentresOut{Names: names})
}
