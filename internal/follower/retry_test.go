package follower

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"snipedyke/internal/aggregator"
	"snipedyke/internal/director"
)

// Guards against the calls of a large fleet while its store is down: in a data centre,
// the node that relays the view finds out when it is back. A node that hears of none
// must find out itself.
func TestMembersCallAStoreThatIsDownLessOften(t *testing.T) {
	const outage = 10 * time.Second
	for _, test := range []struct {
		name            string
		relaying, hears bool
		// least and most are the calls in the outage.
		least, most int
	}{
		{name: "member", hears: true, least: 6, most: 13},
		{name: "relaying node", relaying: true, hears: true, least: 20, most: 40},
		{name: "node that hears of none", least: 20, most: 40},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				s := &fakeSource{responses: []response{{view: View{Revision: 5}}}}
				for range 1000 {
					s.responses = append(s.responses, response{err: errNoAnswer})
				}
				ctx, cancel := context.WithTimeout(context.Background(), outage)
				defer cancel()
				f := New(Options{Source: s, Logger: discardLogger{}, Clock: time.Now, Post: func(director.Event) {}})
				f.SetRelaying(test.relaying)
				old := time.Now().Add(-time.Minute)
				go func() {
					for ; test.hears && ctx.Err() == nil; sleep(ctx, aggregator.Interval) {
						f.ApplyRelayed(aggregator.RelayedView{Revision: 5, Confirmed: old})
					}
				}()
				f.Run(ctx)
				c.Check(s.callCount() >= test.least && s.callCount() <= test.most, qt.IsTrue, qt.Commentf("%d calls", s.callCount()))
				synctest.Wait()
			})
		})
	}
}

// Guards against a member that goes on without the view after the node that relays it
// has it again.
func TestMemberUsesTheRelayedViewAsSoonAsTheStoreIsBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := &fakeSource{responses: []response{{view: View{Revision: 5}}}}
		for range 1000 {
			s.responses = append(s.responses, response{err: errNoAnswer})
		}
		var confirmed time.Time
		ctx, cancel := context.WithTimeout(context.Background(), 11*time.Second)
		defer cancel()
		f := New(Options{Source: s, Logger: discardLogger{}, Clock: time.Now, Post: func(e director.Event) {
			if e, ok := e.(director.ViewConfirmed); ok {
				confirmed = e.At
			}
		}})
		begin := time.Now()
		go func() {
			for ctx.Err() == nil {
				at := begin
				if time.Since(begin) >= 10*time.Second {
					at = time.Now()
				}
				f.ApplyRelayed(aggregator.RelayedView{Revision: 5, Confirmed: at})
				sleep(ctx, aggregator.Interval)
			}
		}()
		f.Run(ctx)
		synctest.Wait()
		c.Check(confirmed.Sub(begin) >= 10*time.Second, qt.IsTrue)
	})
}
