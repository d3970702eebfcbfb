package follower

import (
	"context"
	"maps"
	"slices"
	"strconv"
	"sync"
	"time"

	"snipedyke/internal/director"
	"snipedyke/internal/registrar"
	"snipedyke/pkg/encoder"
)

// modelStore is a store in memory that can be restored from a copy. Its items are
// entries of endpoints; Born is the number of the write, which is never used
// again.
type modelStore struct {
	// delay returns the time between the state of an answer and its return.
	delay func() time.Duration

	mu        sync.Mutex
	era, rev  uint64
	writes    int64
	items     map[string]encoder.Item
	history   []encoder.Item
	compacted uint64
	down      bool
	changed   chan struct{}
}

func newModelStore(delay func() time.Duration) *modelStore {
	return &modelStore{delay: delay, era: 1, rev: 1, items: map[string]encoder.Item{}, changed: make(chan struct{})}
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
	s.notify()
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

// pause lets the answer take its time, or returns the error of ctx.
func (s *modelStore) pause(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(s.delay()):
		return nil
	}
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
func (s *modelStore) List(ctx context.Context) (View, error) {
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

func (s *modelStore) Watch(ctx context.Context, after uint64, wait time.Duration) (View, error) {
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

func (s *modelStore) Decode(item encoder.Item) (Change, bool) {
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
	follower *Follower

	mu       sync.Mutex
	entries  map[string]int64
	restored int
	// regressed describes the first entry that was replaced by an older one
	// without a restored view.
	regressed string
	// confirmed is the time of the last confirmation.
	confirmed time.Time
}

func newModelNode(source Source) *modelNode {
	n := &modelNode{entries: map[string]int64{}}
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
	}
}

func (n *modelNode) put(former map[string]int64, entry registrar.Entry) {
	if entry.Born < former[entry.ID] && n.regressed == "" {
		n.regressed = entry.ID
	}
	n.entries[entry.ID] = entry.Born
}

func (n *modelNode) content() map[string]int64 {
	n.mu.Lock()
	defer n.mu.Unlock()

	return maps.Clone(n.entries)
}
