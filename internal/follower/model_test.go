package follower

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"snipedyke/internal/director"
	"snipedyke/internal/registrar"
	"snipedyke/pkg/encoder"
)

// modelStore is a store in memory that can be restored from a copy. Its items are
// entries of endpoints; Born is the number of the write, which is never used
// again.
type modelStore struct {
	mu        sync.Mutex
	era, rev  uint64
	writes    int64
	items     map[string]encoder.Item
	history   []encoder.Item
	compacted uint64
	down      bool
	changed   chan struct{}
	// past holds for each key the numbers of the writes that have been in force.
	// Zero stands for no entry.
	past map[string][]state
}

// state is a number that was in force until a time, or that still is.
type state struct {
	number int64
	until  time.Time
}

func newModelStore() *modelStore {
	return &modelStore{
		era: 1, rev: 1, items: map[string]encoder.Item{}, changed: make(chan struct{}), past: map[string][]state{},
	}
}

// outdated returns a key whose number in entries has not been in force at any
// time since the given one, or an empty string.
func (s *modelStore) outdated(entries map[string]int64, since time.Time) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, key := range slices.Sorted(maps.Keys(s.past)) {
		if !slices.ContainsFunc(s.past[key], func(p state) bool {
			return p.number == entries[key] && (p.until.IsZero() || !p.until.Before(since))
		}) {
			return key
		}
	}

	return ""
}

// record records the present state of a key.
func (s *modelStore) record(key string) {
	number := int64(0)
	if item, ok := s.items[key]; ok && !item.Deleted {
		number = born(item)
	}
	if s.past[key] == nil {
		s.past[key] = []state{{}}
	}
	s.past[key][len(s.past[key])-1].until = time.Now()
	s.past[key] = append(s.past[key], state{number: number})
}

// write writes a key, or deletes it.
func (s *modelStore) write(key string, deleted bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	s.writes++
	item := encoder.Item{Key: key, Revision: s.rev, Data: strconv.AppendInt(nil, s.writes, 10), Deleted: deleted}
	s.history = append(s.history, item)
	s.items[key] = item
	s.record(key)
	s.notify()
}

func (s *modelStore) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *modelStore) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	s.notify()
}

// restore brings the state as of a revision back.
func (s *modelStore) restore(rev uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
	s.rev, s.compacted = rev, min(s.compacted, rev)
	clear(s.items)
	at := 0
	for ; at < len(s.history) && s.history[at].Revision <= rev; at++ {
		s.items[s.history[at].Key] = s.history[at]
	}
	s.history = s.history[:at:at]
	for key := range s.past {
		s.record(key)
	}
	s.notify()
}

// rebuild replaces the store by a new one with the same items and another era.
func (s *modelStore) rebuild(era uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era = era
	s.notify()
}

func (s *modelStore) compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.compacted = s.rev
}

func (s *modelStore) revision() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.rev
}

// content returns the number of the last write of each entry.
func (s *modelStore) content() map[string]int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	content := map[string]int64{}
	for key, item := range s.items {
		if !item.Deleted {
			content[key] = born(item)
		}
	}

	return content
}

func born(item encoder.Item) int64 {
	n, err := strconv.ParseInt(string(item.Data), 10, 64)
	if err != nil {
		panic(err)
	}

	return n
}

// modelSource is a node's client of the store.
type modelSource struct {
	*modelStore
	// delay returns the time between the state of an answer and its return.
	delay func() time.Duration
	// cut reports whether the node does not reach the store.
	cut atomic.Bool
	// calls is the number of answers that the node has waited for.
	calls atomic.Int64
}

// pause lets the answer take its time, or returns the error of ctx.
func (s *modelSource) pause(ctx context.Context) error {
	s.calls.Add(1)
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(s.delay()):
	}
	if s.cut.Load() {
		return errNoAnswer
	}

	return nil
}

// page returns the items whose keys are from first to before last.
func (s *modelStore) page(first, last string) (View, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return View{}, errNoAnswer
	}
	view := View{Era: s.era, Revision: s.rev}
	for _, key := range slices.Sorted(maps.Keys(s.items)) {
		if item := s.items[key]; !item.Deleted && key >= first && key < last {
			c, _ := s.Decode(item)
			view.Changes = append(view.Changes, c)
		}
	}

	return view, nil
}

// List returns two pages, the second as of a later time.
func (s *modelSource) List(ctx context.Context) (View, error) {
	view, err := s.page("", "m")
	if err == nil {
		err = s.pause(ctx)
	}
	if err != nil {
		return View{}, err
	}
	second, err := s.page("m", "~")
	if err == nil && second.Era != view.Era {
		err = errNoAnswer
	}
	if err == nil {
		err = s.pause(ctx)
	}
	view.Changes = append(view.Changes, second.Changes...)

	return view, err
}

func (s *modelSource) Watch(ctx context.Context, after uint64, wait time.Duration) (View, error) {
	for end := time.After(wait); ; {
		view, gone, changed, err := s.changes(after)
		if err == nil && !gone && len(view.Changes) == 0 {
			select {
			case <-ctx.Done():
				return View{}, ctx.Err()
			case <-changed:
				continue
			case <-end:
			}
		}
		if err == nil {
			err = s.pause(ctx)
		}
		if err == nil && gone {
			err = ErrHistoryLost
		}

		return view, err
	}
}

func (s *modelStore) changes(after uint64) (view View, gone bool, changed chan struct{}, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return View{}, false, nil, errNoAnswer
	}
	view = View{Era: s.era, Revision: s.rev}
	for _, item := range s.history {
		if item.Revision > after {
			c, _ := s.Decode(item)
			view.Changes = append(view.Changes, c)
		}
	}

	return view, after > s.rev || after < s.compacted, s.changed, nil
}

func (*modelStore) Decode(item encoder.Item) (Change, bool) {
	c := Change{Key: item.Key, Revision: item.Revision, Item: item}
	if item.Deleted {
		c.Value = EndpointRemoved{ID: item.Key}
	} else {
		c.Value = Endpoint{Entry: registrar.Entry{ID: item.Key, Born: born(item)}}
	}

	return c, true
}

// modelNode applies the events of a follower as a node does.
type modelNode struct {
	source   *modelSource
	follower *Follower

	mu       sync.Mutex
	entries  map[string]int64
	restored int
	lists    int
	// fault describes the first entry that was replaced by an older one without a
	// restored view, or that was not in force any more when it was confirmed.
	fault string
	// confirmed is the time of the last confirmation.
	confirmed time.Time
}

func newModelNode(store *modelStore, delay func() time.Duration) *modelNode {
	source := &modelSource{modelStore: store, delay: delay}
	n := &modelNode{source: source, entries: map[string]int64{}}
	n.follower = New(Options{Source: source, Logger: discardLogger{}, Clock: time.Now, Post: n.post})

	return n
}

func (n *modelNode) post(e director.Event) {
	n.mu.Lock()
	defer n.mu.Unlock()
	switch e := e.(type) {
	case director.ViewRestored:
		n.restored++
		n.entries = map[string]int64{}
	case director.EntriesListed:
		n.lists++
		former := n.entries
		n.entries = map[string]int64{}
		for _, entry := range e.Entries {
			n.put(former, entry)
		}
	case director.EntryPut:
		n.put(n.entries, e.Entry)
	case director.EntryRemoved:
		delete(n.entries, e.ID)
	case director.ViewConfirmed:
		n.confirmed = e.At
		if key := n.source.outdated(n.entries, e.At); key != "" {
			n.setFault(fmt.Sprintf("%s: write %d is confirmed as of %s", key, n.entries[key], e.At))
		}
	}
}

func (n *modelNode) setFault(text string) {
	if n.fault == "" {
		n.fault = text
	}
}

func (n *modelNode) put(former map[string]int64, entry registrar.Entry) {
	if entry.Born < former[entry.ID] {
		n.setFault(fmt.Sprintf("%s: write %d after write %d", entry.ID, entry.Born, former[entry.ID]))
	}
	n.entries[entry.ID] = entry.Born
}

func (n *modelNode) state() (confirmed time.Time, restored int) {
	n.mu.Lock()
	defer n.mu.Unlock()

	return n.confirmed, n.restored
}

func (n *modelNode) content() map[string]int64 {
	n.mu.Lock()
	defer n.mu.Unlock()

	return maps.Clone(n.entries)
}
