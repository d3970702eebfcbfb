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

// answer is what a source answers to one call after a time.
type answer struct {
	after time.Duration
	view  View
	err   error
}

// source plays answers and then answers nothing any more.
type source struct {
	answers []answer

	mu    sync.Mutex
	calls []string
}

// count returns the number of calls.
func (s *source) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()

	return len(s.calls)
}

func (s *source) next(ctx context.Context, call string, wait time.Duration) (View, error) {
	s.mu.Lock()
	s.calls = append(s.calls, call)
	s.mu.Unlock()
	if len(s.answers) == 0 {
		<-ctx.Done()

		return View{}, ctx.Err()
	}
	a := s.answers[0]
	s.answers = s.answers[1:]
	if a.after < 0 {
		a.after = wait
	}
	select {
	case <-ctx.Done():
		return View{}, ctx.Err()
	case <-time.After(a.after):
		return a.view, a.err
	}
}

func (s *source) List(ctx context.Context) (View, error) { return s.next(ctx, "list", 0) }

func (s *source) Watch(ctx context.Context, after uint64, wait time.Duration) (View, error) {
	return s.next(ctx, fmt.Sprint("watch ", after), wait)
}

func (s *source) Decode(item encoder.Item) (Change, bool) {
	c := endpoint(item.Key, item.Revision)

	return c, true
}

type discard struct{}

func (discard) Event(int, ...any) {}

// follow runs a follower over answers for a time and returns its events.
func follow(s *source, d time.Duration) []director.Event {
	var events []director.Event
	ctx, cancel := context.WithTimeout(context.Background(), d)
	defer cancel()
	New(Options{
		Source: s, Logger: discard{}, Clock: time.Now,
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

var errCall = errors.New("no answer")

// Guards against a view that counts as complete for longer than the answer
// shows: an empty watch vouches for the time that it has waited, one with
// changes only for the time of its call.
func TestConfirmedTimes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		begin := time.Now()
		s := &source{answers: []answer{
			{after: 10 * time.Millisecond, view: View{Revision: 5}},
			{after: -1, view: View{Revision: 5}},
			{after: 700 * time.Millisecond, view: View{Revision: 6, Changes: []Change{endpoint("a", 6)}}},
		}}
		var at []time.Duration
		for _, e := range follow(s, 3*time.Second) {
			if e, ok := e.(director.Confirmed); ok {
				at = append(at, e.At.Sub(begin))
			}
		}
		c.Check(at, qt.DeepEquals, []time.Duration{
			0, 10*time.Millisecond + watchWait, 10*time.Millisecond + watchWait,
		})
		c.Check(s.calls[:4], qt.DeepEquals, []string{"list", "watch 5", "watch 5", "watch 6"})
	})
}

// Guards against a lost history that leaves the view as it was.
func TestLostHistoryReadsAllAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := &source{answers: []answer{
			{view: View{Revision: 5, Changes: []Change{endpoint("a", 1)}}},
			{err: ErrHistory},
			{view: View{Revision: 90, Changes: []Change{endpoint("b", 80)}}},
		}}
		var lists []string
		for _, e := range follow(s, time.Second) {
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

// Guards against one silent connection that counts as an outage, and against an
// outage that is not noticed.
func TestOutageIsTwoFailedCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		lost := func(answers ...answer) int {
			n := 0
			for _, e := range follow(&source{answers: answers}, time.Second) {
				if _, ok := e.(director.Lost); ok {
					n++
				}
			}

			return n
		}
		list := answer{view: View{Revision: 1}}
		c.Check(lost(list, answer{err: errCall}, answer{after: -1}), qt.Equals, 0)
		c.Check(lost(list, answer{err: errCall}, answer{err: errCall}, answer{after: -1}), qt.Equals, 1)
	})
}

// Guards against an older state of an item that replaces a younger one: a list
// shows later states than its revision says.
func TestOlderChangesAreIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		gone := Change{Key: "e/a", Revision: 4, Value: EndpointGone{"a"}}
		s := &source{answers: []answer{
			{view: View{Revision: 3, Changes: []Change{endpoint("a", 5)}}},
			{view: View{Revision: 5, Changes: []Change{gone, endpoint("a", 5)}}},
		}}
		for _, e := range follow(s, time.Second) {
			_, removed := e.(director.EntryRemoved)
			c.Check(removed, qt.IsFalse)
		}
	})
}

// Guards against an entry that cannot be read and leaves the endpoint in use.
func TestUnreadableEntryEndsTheEndpoint(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := &source{answers: []answer{
			{view: View{Revision: 3, Changes: []Change{endpoint("a", 2), endpoint("b", 3)}}},
			{view: View{Revision: 4, Changes: []Change{{Key: "e/a", Revision: 4, Value: Ignored{ID: "a", Err: errCall}}}}},
		}}
		var removed []string
		for _, e := range follow(s, time.Second) {
			if e, ok := e.(director.EntryRemoved); ok {
				removed = append(removed, e.ID)
			}
		}
		c.Check(removed, qt.DeepEquals, []string{"a"})
	})
}

// Guards against data centres that stay out after their order has ended.
func TestCentresAndTables(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		table, err := router.New(router.Definition{Version: 2})
		c.Assert(err, qt.IsNil)
		s := &source{answers: []answer{
			{view: View{Revision: 1, Changes: []Change{{Key: "t", Revision: 1, Value: Table{table}}, {Key: "c", Revision: 1, Value: Centre{"kochi", true}}}}},
			{view: View{Revision: 2, Changes: []Change{{Key: "c", Revision: 2, Value: Centre{"kochi", false}}}}},
		}}
		var out [][]string
		tables := 0
		for _, e := range follow(s, time.Second) {
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

// Guards against a relayed view that is applied with a gap, goes back in time,
// or lets the node read the store although another one does it.
func TestRelayedView(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := &source{answers: []answer{{view: View{Revision: 5}}}}
		var put []string
		confirmed := time.Time{}
		f := New(Options{Source: s, Logger: discard{}, Clock: time.Now, Post: func(e director.Event) {
			switch e := e.(type) {
			case director.EntryPut:
				put = append(put, e.Entry.ID)
			case director.Confirmed:
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
			f.Relay(aggregator.Relayed{
				Revision: uint64(6 + i), Confirmed: time.Now(), Items: []encoder.Item{{Key: fmt.Sprint("e", i), Revision: uint64(6 + i)}},
			})
		}
		c.Check(put, qt.HasLen, 20)
		c.Check(f.View().Revision, qt.Equals, uint64(25))
		// One watch was under way when the first view was relayed.
		c.Check(s.calls, qt.DeepEquals, []string{"list", "watch 5"})

		last := confirmed
		f.Relay(aggregator.Relayed{Revision: 30, Confirmed: time.Now(), Gap: true})
		c.Check(confirmed, qt.Equals, last, qt.Commentf("a view with a gap confirms nothing"))
		f.Relay(aggregator.Relayed{Revision: 25, Confirmed: last.Add(-time.Second)})
		c.Check(confirmed, qt.Equals, last, qt.Commentf("an older view confirms nothing"))

		time.Sleep(relayAge + relayPoll)
		synctest.Wait()
		c.Check(s.calls[2:], qt.DeepEquals, []string{"watch 25"}, qt.Commentf("the node reads when nobody relays"))
		cancel()
		<-done
	})
}

// Guards against changes that a member never gets although the view that it is
// given counts as complete.
func TestSinceHasNoGaps(t *testing.T) {
	c := qt.New(t)
	f := New(Options{Source: &source{}, Logger: discard{}, Clock: time.Now, Post: func(director.Event) {}})
	f.list(View{Revision: 10})
	for r := uint64(11); r < 11+3*keptItems; r++ {
		f.apply(View{Revision: r, Changes: []Change{endpoint(fmt.Sprint(r), r)}})
	}
	_, known := f.since(10)
	c.Check(known, qt.IsFalse)
	last := uint64(10 + 3*keptItems)
	for _, after := range []uint64{last, last - 1, last - 100} {
		items, known := f.since(after)
		c.Assert(known, qt.IsTrue)
		c.Check(items, qt.HasLen, int(last-after))
	}
}

// Guards against members that go by the view of a speaker that is cut off from
// the store for longer than a change may take to be in force (trouble-1 of
// prati-rota, seed 145843319193: 2.05 s).
func TestMemberReadsSoonWhenItsSpeakerIsCutOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := &source{answers: []answer{{view: View{Revision: 5}}}}
		f := New(Options{Source: s, Logger: discard{}, Clock: time.Now, Post: func(director.Event) {}})
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		done := make(chan struct{})
		go func() { f.Run(ctx); close(done) }()
		synctest.Wait()
		time.Sleep(3 * time.Second)
		f.Relay(aggregator.Relayed{Revision: 6, Confirmed: time.Now()})
		// A watch of the node's own may still be under way.
		time.Sleep(watchWait + watchMargin)
		last := time.Now()
		for range 3 {
			f.Relay(aggregator.Relayed{Revision: 6, Confirmed: last})
		}
		calls := s.count()
		// Changes must be in force after 2 s; 0.4 s are left for the call.
		time.Sleep(1600 * time.Millisecond)
		synctest.Wait()
		c.Check(s.count() > calls, qt.IsTrue, qt.Commentf("%d calls", calls))
		cancel()
		<-done
	})
}
