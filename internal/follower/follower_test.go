package follower

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"snipedyke/internal/aggregator"
	"snipedyke/internal/director"
	"snipedyke/internal/registrar"
	"snipedyke/internal/router"
	"snipedyke/pkg/encoder"
)

// response is the result of a call and the delay after which it is returned. A
// negative delay means the wait of the watch.
type response struct {
	delay time.Duration
	view  View
	err   error
}

// fakeSource returns the responses in order; later calls block until their
// context ends.
type fakeSource struct {
	responses []response

	mu    sync.Mutex
	calls []string
}

// callCount returns the number of calls.
func (s *fakeSource) callCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()

	return len(s.calls)
}

func (s *fakeSource) next(ctx context.Context, call string, wait time.Duration) (View, error) {
	s.mu.Lock()
	s.calls = append(s.calls, call)
	none := len(s.responses) == 0
	var r response
	if !none {
		r, s.responses = s.responses[0], s.responses[1:]
	}
	s.mu.Unlock()
	if none {
		<-ctx.Done()

		return View{}, ctx.Err()
	}
	if r.delay < 0 {
		r.delay = wait
	}
	select {
	case <-ctx.Done():
		return View{}, ctx.Err()
	case <-time.After(r.delay):
		return r.view, r.err
	}
}

func (s *fakeSource) List(ctx context.Context) (View, error) { return s.next(ctx, "list", 0) }

func (s *fakeSource) Watch(ctx context.Context, after uint64, wait time.Duration) (View, error) {
	return s.next(ctx, fmt.Sprint("watch ", after), wait)
}

func (s *fakeSource) Decode(item encoder.Item) (Change, bool) {
	c := endpoint(item.Key, item.Revision)

	return c, true
}

type discardLogger struct{}

func (discardLogger) Event(int, ...any) {}

// runFollower runs a follower for the time d and returns the events that it
// posts.
func runFollower(s *fakeSource, d time.Duration) []director.Event {
	var events []director.Event
	ctx, cancel := context.WithTimeout(context.Background(), d)
	defer cancel()
	New(Options{
		Source: s, Logger: discardLogger{}, Clock: time.Now,
		Post: func(e director.Event) { events = append(events, e) },
	}).Run(ctx)

	return events
}

func endpoint(id string, revision uint64) Change {
	return Change{
		Key: "e/" + id, Revision: revision, Value: Endpoint{registrar.Entry{ID: id}},
		Item: encoder.Item{Key: id, Revision: revision},
	}
}

var errNoAnswer = errors.New("no answer")

// Guards against a view that counts as complete for longer than the response
// shows: an empty watch confirms the view until its end, a watch with changes
// only at its start.
func TestConfirmationTimeOfWatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		begin := time.Now()
		s := &fakeSource{responses: []response{
			{delay: 10 * time.Millisecond, view: View{Revision: 5}},
			{delay: -1, view: View{Revision: 5}},
			{delay: 700 * time.Millisecond, view: View{Revision: 6, Changes: []Change{endpoint("a", 6)}}},
		}}
		var at []time.Duration
		for _, e := range runFollower(s, 3*time.Second) {
			if e, ok := e.(director.ViewConfirmed); ok {
				at = append(at, e.At.Sub(begin))
			}
		}
		c.Check(at, qt.DeepEquals, []time.Duration{
			0, 10*time.Millisecond + watchWait, 10*time.Millisecond + watchWait,
		})
		c.Check(s.calls[:4], qt.DeepEquals, []string{"list", "watch 5", "watch 5", "watch 6"})
	})
}

// Guards against a view that is not listed again after the change history is
// lost.
func TestLostHistoryReloadsList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := &fakeSource{responses: []response{
			{view: View{Revision: 5, Changes: []Change{endpoint("a", 1)}}},
			{err: ErrHistoryLost},
			{view: View{Revision: 90, Changes: []Change{endpoint("b", 80)}}},
		}}
		var lists []string
		for _, e := range runFollower(s, time.Second) {
			if e, ok := e.(director.EntriesListed); ok {
				for _, entry := range e.Entries {
					lists = append(lists, entry.ID)
				}
			}
		}
		c.Check(lists, qt.DeepEquals, []string{"a", "b"})
		c.Check(s.calls, qt.DeepEquals, []string{"list", "watch 5", "list", "watch 90"})
	})
}

// Guards against a single stale connection that counts as an outage, and
// against an outage that is not reported.
func TestOutageIsReportedAfterTwoFailures(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		lost := func(responses ...response) int {
			n := 0
			for _, e := range runFollower(&fakeSource{responses: responses}, time.Second) {
				if _, ok := e.(director.ViewLost); ok {
					n++
				}
			}

			return n
		}
		list := response{view: View{Revision: 1}}
		c.Check(lost(list, response{err: errNoAnswer}, response{delay: -1}), qt.Equals, 0)
		c.Check(lost(list, response{err: errNoAnswer}, response{err: errNoAnswer}, response{delay: -1}), qt.Equals, 1)
	})
}

// Guards against an older state of an item that replaces a newer one: a list
// may contain items newer than its revision.
func TestOlderChangesAreIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		gone := Change{Key: "e/a", Revision: 4, Value: EndpointRemoved{"a"}}
		s := &fakeSource{responses: []response{
			{view: View{Revision: 3, Changes: []Change{endpoint("a", 5)}}},
			{view: View{Revision: 5, Changes: []Change{gone, endpoint("a", 5)}}},
		}}
		for _, e := range runFollower(s, time.Second) {
			_, removed := e.(director.EntryRemoved)
			c.Check(removed, qt.IsFalse)
		}
	})
}

// Guards against an invalid entry that leaves its endpoint in use.
func TestInvalidEntryRemovesEndpoint(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := &fakeSource{responses: []response{
			{view: View{Revision: 3, Changes: []Change{endpoint("a", 2), endpoint("b", 3)}}},
			{view: View{Revision: 4, Changes: []Change{{Key: "e/a", Revision: 4, Value: Invalid{ID: "a", Err: errNoAnswer}}}}},
		}}
		var removed []string
		for _, e := range runFollower(s, time.Second) {
			if e, ok := e.(director.EntryRemoved); ok {
				removed = append(removed, e.ID)
			}
		}
		c.Check(removed, qt.DeepEquals, []string{"a"})
	})
}

// Guards against data centres that stay out of service after their order has
// ended.
func TestCentreChangesAndTablesArePosted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		table, err := router.New(router.Definition{Version: 2})
		c.Assert(err, qt.IsNil)
		s := &fakeSource{responses: []response{
			{view: View{Revision: 1, Changes: []Change{{Key: "t", Revision: 1, Value: RoutingTable{table}}, {Key: "c", Revision: 1, Value: DataCentre{"kochi", true}}}}},
			{view: View{Revision: 2, Changes: []Change{{Key: "c", Revision: 2, Value: DataCentre{"kochi", false}}}}},
		}}
		var out [][]string
		tables := 0
		for _, e := range runFollower(s, time.Second) {
			switch e := e.(type) {
			case director.CentresOut:
				out = append(out, e.Names)
			case director.TableLoaded:
				tables++
			}
		}
		c.Check(out, qt.DeepEquals, [][]string{{"kochi"}, {}})
		c.Check(tables, qt.Equals, 1)
	})
}

// Guards against a relayed view that is applied although changes are missing,
// that goes back in time, or that does not spare the node its own reads.
func TestRelayedViewReplacesReads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := &fakeSource{responses: []response{{view: View{Revision: 5}}}}
		var put []string
		confirmed := time.Time{}
		f := New(Options{Source: s, Logger: discardLogger{}, Clock: time.Now, Post: func(e director.Event) {
			switch e := e.(type) {
			case director.EntryPut:
				put = append(put, e.Entry.ID)
			case director.ViewConfirmed:
				confirmed = e.At
			}
		}})
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		done := make(chan struct{})
		go func() { f.Run(ctx); close(done) }()
		synctest.Wait()
		for i := range 20 {
			time.Sleep(200 * time.Millisecond)
			f.ApplyRelayed(aggregator.RelayedView{
				Revision: uint64(6 + i), Confirmed: time.Now(), Items: []encoder.Item{{Key: fmt.Sprint("e", i), Revision: uint64(6 + i)}},
			})
		}
		c.Check(put, qt.HasLen, 20)
		c.Check(f.View().Revision, qt.Equals, uint64(25))
		// One watch was in progress when the first view was relayed.
		c.Check(s.calls, qt.DeepEquals, []string{"list", "watch 5"})

		last := confirmed
		f.ApplyRelayed(aggregator.RelayedView{Revision: 25, Confirmed: last.Add(-time.Second)})
		c.Check(confirmed, qt.Equals, last, qt.Commentf("an older view confirms nothing"))

		time.Sleep(maxRelayAge + relayCheckInterval)
		synctest.Wait()
		c.Check(s.calls[2:], qt.DeepEquals, []string{"watch 25"}, qt.Commentf("the node reads when nobody relays"))

		// The watch ends, and another node relays again.
		f.ApplyRelayed(aggregator.RelayedView{Revision: 25, Confirmed: time.Now().Add(fallbackWatchWait + watchMargin)})
		time.Sleep(fallbackWatchWait + watchMargin + relayCheckInterval)
		synctest.Wait()
		last = confirmed
		f.ApplyRelayed(aggregator.RelayedView{Revision: 30, Confirmed: time.Now(), Gap: true})
		c.Check(confirmed, qt.Equals, last, qt.Commentf("a view with a gap confirms nothing"))
		synctest.Wait()
		c.Check(s.calls[3:], qt.DeepEquals, []string{"list"}, qt.Commentf("the node reads at once what it misses"))
		cancel()
		<-done
	})
}

// Guards against changes that a node never receives although the view relayed
// to it counts as complete.
func TestChangesSinceHasNoGaps(t *testing.T) {
	c := qt.New(t)
	f := New(Options{Source: &fakeSource{}, Logger: discardLogger{}, Clock: time.Now, Post: func(director.Event) {}})
	f.applyList(View{Revision: 10})
	for r := uint64(11); r < 11+3*maxHistory; r++ {
		f.applyChanges(View{Revision: r, Changes: []Change{endpoint(fmt.Sprint(r), r)}})
	}
	_, known := f.View().Since(10)
	c.Check(known, qt.IsFalse)
	last := uint64(10 + 3*maxHistory)
	for _, after := range []uint64{last, last - 1, last - 100} {
		items, known := f.View().Since(after)
		c.Assert(known, qt.IsTrue)
		c.Check(items, qt.HasLen, int(last-after))
	}
}

// Guards against nodes that rely on the view of a relaying node that is cut off
// from the store, so that a change takes effect later than allowed (2.05 s in
// trouble-1 of prati-rota, seed 145843319193).
func TestNodeReadsStoreWhenRelayGoesStale(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := &fakeSource{responses: []response{{view: View{Revision: 5}}}}
		f := New(Options{Source: s, Logger: discardLogger{}, Clock: time.Now, Post: func(director.Event) {}})
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		done := make(chan struct{})
		go func() { f.Run(ctx); close(done) }()
		synctest.Wait()
		time.Sleep(3 * time.Second)
		f.ApplyRelayed(aggregator.RelayedView{Revision: 6, Confirmed: time.Now()})
		// A watch of the node itself may still be in progress.
		time.Sleep(watchWait + watchMargin)
		last := time.Now()
		for range 3 {
			f.ApplyRelayed(aggregator.RelayedView{Revision: 6, Confirmed: last})
		}
		calls := s.callCount()
		// Changes must take effect within 2 s; 0.4 s are left for the call.
		time.Sleep(1600 * time.Millisecond)
		synctest.Wait()
		c.Check(s.callCount() > calls, qt.IsTrue, qt.Commentf("%d calls", calls))
		cancel()
		<-done
	})
}

// Guards against a node that accepts withdrawn keys after an outage because
// its view counts as recent before the changes are in force, and against one
// that drops endpoints whose entries have expired during the outage.
func TestChangesComeBetweenReturnAndConfirmation(t *testing.T) {
	for name, after := range map[string][]response{
		"watch": {{view: View{Revision: 9, Changes: []Change{versionChange(9)}}}},
		"list":  {{err: ErrHistoryLost}, {view: View{Revision: 9, Changes: []Change{versionChange(9)}}}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				responses := []response{{view: View{Revision: 5}}, {delay: time.Second, err: errNoAnswer}, {err: errNoAnswer}}
				order := make([]string, 0, 3)
				for _, e := range runFollower(&fakeSource{responses: append(responses, after...)}, 3*time.Second) {
					switch e.(type) {
					case director.ViewLost:
						order = order[:0]
					case director.ViewReachable:
						order = append(order, "reachable")
					case director.TableLoaded:
						order = append(order, "changes")
					case director.ViewConfirmed:
						order = append(order, "confirmed")
					}
				}
				c.Check(order, qt.DeepEquals, []string{"reachable", "changes", "confirmed"})
			})
		})
	}
}

// Guards against members that miss a change which the later pages of the relaying
// node's list contained already, and against deleted entries that a relayed view
// older than the member's list brings back.
func TestListAndRelayedViewOverlap(t *testing.T) {
	c := qt.New(t)
	var put []string
	f := New(Options{Source: &fakeSource{}, Logger: discardLogger{}, Clock: time.Now, Post: func(e director.Event) {
		if e, ok := e.(director.EntryPut); ok {
			put = append(put, e.Entry.ID)
		}
	}})
	f.applyList(View{Revision: 10, Changes: []Change{endpoint("listed", 12)}})
	f.applyChanges(View{Revision: 13, Changes: []Change{endpoint("listed", 12), endpoint("new", 13)}})
	c.Check(put, qt.DeepEquals, []string{"new"})
	items, known := f.View().Since(10)
	c.Assert(known, qt.IsTrue)
	c.Check(items, qt.DeepEquals, []encoder.Item{{Key: "listed", Revision: 12}, {Key: "new", Revision: 13}})

	f.ApplyRelayed(aggregator.RelayedView{Revision: 14, Confirmed: time.Now(), Items: []encoder.Item{
		{Key: "deleted", Revision: 9}, {Key: "newer", Revision: 14},
	}})
	c.Check(put, qt.DeepEquals, []string{"new", "newer"})
}

// stuckSource is a Source whose calls return only once release is closed.
type stuckSource struct {
	fakeSource
	release chan struct{}
}

func (s *stuckSource) List(context.Context) (View, error) {
	<-s.release

	return View{}, errors.New("no answer")
}

// Guards against a process that is killed at the end of its grace period, since
// it waits for a call of the store.
func TestRunEndsWithoutWaitingForItsCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		source := &stuckSource{release: make(chan struct{})}
		defer close(source.release)
		f := New(Options{Source: source, Post: func(director.Event) {}, Logger: discardLogger{}, Clock: time.Now})
		ctx, cancel := context.WithCancel(t.Context())
		returned := make(chan struct{})
		go func() {
			f.Run(ctx)
			close(returned)
		}()
		synctest.Wait()
		cancel()
		synctest.Wait()
		select {
		case <-returned:
		default:
			c.Errorf("Run waits for its call")
		}
	})
}
