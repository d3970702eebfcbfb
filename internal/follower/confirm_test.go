package follower

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"snipedyke/internal/director"
)

// Guards against a view whose confirmation on request waits for the watch in progress,
// counts from before the request, or needs a call for each request.
func TestViewIsConfirmedOnRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		begin := time.Now()
		s := &fakeSource{responses: []response{
			{delay: 0, view: View{Revision: 5}},
			{delay: time.Second, view: View{Revision: 5}},
			{delay: 4 * time.Millisecond, view: View{Revision: 6, Changes: []Change{endpoint("a", 6)}}},
			{delay: 4 * time.Millisecond, view: View{Revision: 6}},
		}}
		var confirmed []time.Duration
		put := time.Duration(0)
		ctx, cancel := context.WithTimeout(context.Background(), 900*time.Millisecond)
		defer cancel()
		f := New(Options{Source: s, Logger: discardLogger{}, Clock: time.Now, Post: func(e director.Event) {
			switch e := e.(type) {
			case director.ViewConfirmed:
				confirmed = append(confirmed, e.At.Sub(begin))
			case director.EntryPut:
				put = time.Since(begin)
			}
		}})
		for _, at := range []time.Duration{500, 501, 502} {
			time.AfterFunc(at*time.Millisecond, f.Confirm)
		}
		f.Run(ctx)
		c.Check(put, qt.Equals, 504*time.Millisecond)
		c.Check(confirmed, qt.DeepEquals, []time.Duration{0, 500 * time.Millisecond, 514 * time.Millisecond})
		c.Check(s.callCount(), qt.Equals, 4)
	})
}
