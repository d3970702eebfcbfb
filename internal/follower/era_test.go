package follower

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"snipedyke/internal/aggregator"
	"snipedyke/internal/director"
	"snipedyke/internal/logger"
	"snipedyke/internal/router"
)

// Guards against a node that misses what is written after the store has been
// restored, because the revision of its view has been given out again (six of 73
// nodes kept a lost version on jerseyrun-grown, seed 1).
func TestNodeFollowsStoreThatGivesItsRevisionOutAgain(t *testing.T) {
	for _, later := range []int{1, 6, 7, 30} {
		t.Run(fmt.Sprint(later, " writes"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				store := newModelStore()
				for i := range 20 {
					store.write(fmt.Sprint("e", i%4), false)
				}
				node := newModelNode(store, func() time.Duration { return time.Millisecond })
				ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
				defer cancel()
				go node.follower.Run(ctx)
				time.Sleep(5 * time.Second)
				c.Assert(node.content(), qt.DeepEquals, store.content())

				store.setDown(true)
				time.Sleep(2 * time.Second)
				store.restore(13)
				for i := range later {
					store.write(fmt.Sprint("n", i%3), false)
				}
				store.write("e1", true)
				store.setDown(false)
				time.Sleep(time.Second)
				c.Check(node.content(), qt.DeepEquals, store.content())
				c.Check(node.restored, qt.Equals, 1)

				store.write("e2", false)
				time.Sleep(300 * time.Millisecond)
				c.Check(node.content(), qt.DeepEquals, store.content())
				c.Check(node.fault, qt.Equals, "")
				cancel()
				synctest.Wait()
			})
		})
	}
}

// describe returns what a follower has reported, with the time since begin.
func describe(events []director.Event) []string {
	var list []string
	for _, e := range events {
		switch e := e.(type) {
		case director.ViewReachable:
			list = append(list, "reachable")
		case director.ViewRestored:
			list = append(list, "restored")
		case director.EntriesListed:
			for _, entry := range e.Entries {
				list = append(list, "list "+entry.ID)
			}
		case director.EntryPut:
			list = append(list, "put "+e.Entry.ID)
		case director.ViewConfirmed:
			list = append(list, "confirmed")
		}
	}

	return list
}

// Guards against an answer from a lost copy that arrives late and takes the place
// of the restored view, or that counts as its confirmation; and against a list
// that is put off although the changes are known to be of another copy.
func TestAnswersOfOlderErasAreIgnored(t *testing.T) {
	view := func(era, revision uint64, id string) View {
		return View{Era: era, Revision: revision, Changes: []Change{endpoint(id, revision)}}
	}
	for _, test := range []struct {
		name      string
		responses []response
		calls     []string
		events    []string
	}{
		{
			"list after a watch of the newer era",
			[]response{{view: view(1, 5, "a")}, {view: view(2, 3, "b")}, {view: view(1, 9, "c")}, {view: view(2, 3, "b")}},
			[]string{"list", "watch 5", "list", "list", "watch 3"},
			[]string{"reachable", "list a", "confirmed", "restored", "list b", "confirmed"},
		}, {
			"watch",
			[]response{{view: view(2, 5, "a")}, {view: view(1, 9, "b")}, {view: view(2, 6, "c")}},
			[]string{"list", "watch 5", "watch 5", "watch 6"},
			[]string{"reachable", "list a", "confirmed", "reachable", "put c", "confirmed"},
		}, {
			"list after lost history",
			[]response{{view: view(2, 5, "a")}, {err: ErrHistoryLost}, {view: view(1, 9, "b")}, {view: view(3, 2, "c")}},
			[]string{"list", "watch 5", "list", "list", "watch 2"},
			[]string{"reachable", "list a", "confirmed", "restored", "list c", "confirmed"},
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				s := &fakeSource{responses: test.responses}
				// Without a pause, each call follows at once.
				c.Check(describe(runFollower(s, batchDelay+time.Millisecond)), qt.DeepEquals, test.events)
				c.Check(s.calls, qt.DeepEquals, test.calls)
			})
		})
	}
}

// eventLogger records the arguments of one event.
type eventLogger struct {
	number int
	args   [][]any
}

func (l *eventLogger) Event(number int, args ...any) {
	if number == l.number {
		l.args = append(l.args, args)
	}
}

// Guards against a restored store that operators cannot see, and against a first
// list that is reported as one.
func TestRestoredViewIsLogged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		log := &eventLogger{number: logger.ViewRestored}
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		s := &fakeSource{responses: []response{{view: View{Era: 4, Revision: 20}}, {err: ErrHistoryLost}, {view: View{Era: 5, Revision: 12}}}}
		f := New(Options{Source: s, Logger: log, Clock: time.Now, Post: func(director.Event) {}})
		f.Run(ctx)
		c.Check(log.args, qt.DeepEquals, [][]any{{"era", uint64(5), "former", uint64(4), "revision", uint64(12), "formerRevision", uint64(20)}})
		c.Check(f.View().Era, qt.Equals, uint64(5))
		c.Check(f.View().Revision, qt.Equals, uint64(12))
	})
}

// Guards against nodes that refuse each answer for good, because the store has been
// rebuilt and counts its eras anew or has none any more.
func TestNodesFollowRebuiltStore(t *testing.T) {
	for _, era := range []uint64{0, 1} {
		synctest.Test(t, func(t *testing.T) {
			c := qt.New(t)
			f := newModelFleet(1, 3)
			f.store.era = 4
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			for i := range 20 {
				f.store.write(fmt.Sprint("e", i%4), false)
			}
			go f.run(ctx)
			time.Sleep(5 * time.Second)
			f.check(c, "before")
			f.store.rebuild(era)
			rebuilt := time.Now()
			f.store.write("e1", false)
			time.Sleep(3 * time.Second)
			for i, n := range f.nodes {
				confirmed, _ := n.state()
				c.Check(confirmed.After(rebuilt), qt.IsFalse, qt.Commentf("node %d", i))
			}
			time.Sleep(9 * time.Second)
			f.check(c, "rebuilt")
			f.store.write("e2", false)
			time.Sleep(time.Second)
			f.check(c, "written")
			for i, n := range f.nodes {
				_, restored := n.state()
				c.Check(restored, qt.Equals, 1, qt.Commentf("node %d", i))
			}
			f.store.restore(3)
			time.Sleep(3 * time.Second)
			f.check(c, "restored")
			cancel()
			synctest.Wait()
		})
	}
}

// Guards against a node that does not notice that the store has lost a version of
// the routing table, and against one that takes a version for lost which it has not
// read yet.
func TestLostTableIsReported(t *testing.T) {
	table := func(version uint64) Change {
		r, err := router.New(router.Definition{Version: version})
		if err != nil {
			t.Fatal(err)
		}

		return Change{Key: "table", Revision: 12, Value: RoutingTable{r}}
	}
	c := qt.New(t)
	var missing []uint64
	f := New(Options{Source: &fakeSource{}, Logger: discardLogger{}, Clock: time.Now, Post: func(e director.Event) {
		if m, ok := e.(director.TableMissing); ok {
			missing = append(missing, m.Version)
		}
	}})
	f.CompareTable(aggregator.TableState{Era: 1, Revision: 40, Table: 9})
	c.Check(missing, qt.HasLen, 0, qt.Commentf("no list yet"))
	f.applyList(View{Era: 2, Revision: 20, Changes: []Change{table(7)}})
	c.Check(f.View().Table, qt.Equals, uint64(7))
	for _, state := range []aggregator.TableState{
		{Era: 2, Revision: 21, Table: 8}, {Era: 3, Revision: 5, Table: 8}, {Era: 2, Revision: 20, Table: 7}, {Era: 1, Revision: 40, Table: 6},
	} {
		f.CompareTable(state)
		c.Check(missing, qt.HasLen, 0, qt.Commentf("%+v", state))
	}
	f.CompareTable(aggregator.TableState{Era: 2, Revision: 20, Table: 8})
	f.CompareTable(aggregator.TableState{Era: 1, Revision: 40, Table: 9})
	c.Check(missing, qt.DeepEquals, []uint64{8, 9})
}
