package follower

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"snipedyke/internal/aggregator"
	"snipedyke/internal/director"
	"snipedyke/internal/router"
	"snipedyke/pkg/encoder"
)

// versionSource publishes a routing table at each interval, with the number of
// the interval as version and revision. Reading one version takes the time
// transfer. A watch returns all versions after its revision, and fails if
// reading them takes longer than maxWatchTransfer.
type versionSource struct {
	transfer, interval time.Duration
	last               uint64
	begin              time.Time
}

func (s *versionSource) current() uint64 {
	return min(1+uint64(time.Since(s.begin)/s.interval), s.last)
}

func (s *versionSource) List(context.Context) (View, error) {
	v := s.current()
	time.Sleep(s.transfer)

	return View{Revision: v, Changes: []Change{versionChange(v)}}, nil
}

func (s *versionSource) Watch(_ context.Context, after uint64, wait time.Duration) (View, error) {
	for end := time.Now().Add(wait); s.current() <= after && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	view := View{Revision: s.current()}
	for v := after + 1; v <= view.Revision; v++ {
		view.Changes = append(view.Changes, versionChange(v))
	}
	const maxWatchTransfer = 500 * time.Millisecond
	transfer := time.Duration(len(view.Changes)) * s.transfer
	time.Sleep(min(transfer, maxWatchTransfer))
	if transfer > maxWatchTransfer {
		return View{}, fmt.Errorf("watch: %w", ErrIncomplete)
	}

	return view, nil
}

func (s *versionSource) Decode(encoder.Item) (Change, bool) { return Change{}, false }

func versionChange(version uint64) Change {
	table, err := router.New(router.Definition{Version: version})
	if err != nil {
		panic(err)
	}

	return Change{Key: "t", Revision: version, Value: RoutingTable{table}}
}

// Guards against nodes on narrow links that keep an old routing table: a
// member whose relaying node cannot pass large tables on, and a node that
// reads the store itself. Both must have each table within 3 s.
func TestLargeTablesComeIntoForceOnNarrowLinks(t *testing.T) {
	for _, test := range []struct {
		name               string
		transfer, interval time.Duration
		relayed            bool
	}{
		{"member, changes in succession", 450 * time.Millisecond, 330 * time.Millisecond, true},
		{"member, long transfer", 1200 * time.Millisecond, 5 * time.Second, true},
		{"reader, changes in succession", 450 * time.Millisecond, 330 * time.Millisecond, false},
		{"reader, long transfer", 1200 * time.Millisecond, 5 * time.Second, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				s := &versionSource{transfer: test.transfer, interval: test.interval, last: uint64(15 * time.Second / test.interval), begin: time.Now()}
				var inForce atomic.Uint64
				f := New(Options{Source: s, Logger: discardLogger{}, Clock: time.Now, Post: func(e director.Event) {
					if e, ok := e.(director.TableLoaded); ok {
						inForce.Store(max(inForce.Load(), e.Table.Version()))
					}
				}})
				ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
				defer cancel()
				done := make(chan struct{})
				go func() { f.Run(ctx); close(done) }()
				for ctx.Err() == nil {
					time.Sleep(190 * time.Millisecond)
					if v := s.current(); test.relayed {
						f.ApplyRelayed(aggregator.RelayedView{Revision: v, Confirmed: time.Now(), Gap: v > f.View().Revision})
					}
					if due := time.Since(s.begin) - 3*time.Second; due > 0 {
						wanted := min(1+uint64(due/s.interval), s.last)
						c.Assert(inForce.Load() >= wanted, qt.IsTrue, qt.Commentf("after %s version %d is in force, not %d", time.Since(s.begin), inForce.Load(), wanted))
					}
				}
				<-done
				// Run does not wait for its last call.
				time.Sleep(watchWait + watchMargin)
			})
		})
	}
}
