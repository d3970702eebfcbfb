package director

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// afterOutage returns a node with an endpoint whose entry is found to be removed after
// an outage of the given length. during is called within the outage, and after when it
// has ended.
func afterOutage(length time.Duration, during, after func(n *node, began time.Time)) *node {
	n := newNode()
	began := n.now
	n.post(ViewConfirmed{began})
	n.post(ViewLost{"down"})
	n.now = began.Add(length / 2)
	during(n, began)
	n.now = began.Add(length)
	n.post(ViewReachable{n.now})
	n.post(EntryRemoved{"desk-0"})
	n.post(ViewConfirmed{n.now})
	n.now = n.now.Add(200 * time.Millisecond)
	after(n, began)

	return n
}

// Guards against requests to an endpoint that has left, because the node took its own
// failure to read the store for an outage in which entries expire.
func TestEntriesAreHeldOnlyAfterAnOutageOfTheStore(t *testing.T) {
	long := 3 * time.Second
	nothing := func(*node, time.Time) {}
	// reached returns a function that reports a period in which others reached the store,
	// relative to the begin of the outage.
	reached := func(from, to time.Duration) func(*node, time.Time) {
		return func(n *node, began time.Time) { n.post(StoreReached{From: began.Add(from), To: began.Add(to)}) }
	}
	for name, test := range map[string]struct {
		length        time.Duration
		during, after func(*node, time.Time)
		held          bool
	}{
		"nobody reached the store":    {long, nothing, nothing, true},
		"too short to expire":         {2 * time.Second, nothing, nothing, false},
		"reached before the end":      {long, reached(-time.Minute, time.Second), nothing, false},
		"known after the end":         {long, nothing, reached(-time.Minute, long), false},
		"known bit by bit":            {4 * time.Second, reached(-time.Minute, time.Second), reached(2*time.Second, 4*time.Second), false},
		"reached before the outage":   {long, reached(-time.Minute, -time.Second), nothing, true},
		"reached only since its end":  {long, nothing, reached(long-100*time.Millisecond, long+100*time.Millisecond), true},
		"reached again after a while": {5 * time.Second, reached(-time.Minute, 0), reached(2500*time.Millisecond, 5*time.Second), true},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			n := afterOutage(test.length, test.during, test.after)
			_, known := n.endpoints["desk-0"]
			c.Check(known, qt.Equals, test.held)
			n.now = n.now.Add(3 * time.Second)
			n.post(Ticked{})
			c.Check(n.endpoints["desk-0"], qt.IsNil)
			c.Check(n.NeedsTick(), qt.IsFalse)
		})
	}
}

// Guards against entries that a restored store lacks and that are given up before their
// endpoints can publish again, because other nodes reached the store before.
func TestEntriesOfARestoredStoreStayHeld(t *testing.T) {
	c := qt.New(t)
	n := newNode()
	began := n.now
	n.post(ViewConfirmed{began})
	n.post(ViewLost{"down"})
	n.now = began.Add(3 * time.Second)
	n.post(ViewRestored{})
	n.post(EntryRemoved{"desk-0"})
	n.post(StoreReached{From: began.Add(-time.Minute), To: n.now})
	c.Check(n.endpoints["desk-0"], qt.IsNotNil)
}

// Guards against a node that reports an outage of the store as a period in which it
// reached the store.
func TestStoreContactBeginsAfterAnOutage(t *testing.T) {
	c := qt.New(t)
	n := newNode()
	began := n.now
	for _, step := range []struct{ at, since time.Duration }{{0, 0}, {2, 0}, {4, 0}, {7, 7}, {8, 7}, {11, 11}} {
		n.now = began.Add(step.at * time.Second)
		n.post(ViewConfirmed{n.now})
		since, until := n.StoreContact()
		c.Check(since.Sub(began), qt.Equals, step.since*time.Second)
		c.Check(until, qt.Equals, n.now)
	}
}

// Guards against a relayed view from before the outage that ends it, so that entries which
// expire later in it are not held.
func TestEarlierViewDoesNotEndTheOutage(t *testing.T) {
	c := qt.New(t)
	n := newNode()
	began := n.now
	n.now = began.Add(time.Second)
	n.post(ViewLost{"down"})
	early := began.Add(500 * time.Millisecond)
	n.post(ViewReachable{early})
	n.post(ViewConfirmed{early})
	n.now = began.Add(4 * time.Second)
	n.post(ViewReachable{n.now})
	n.post(EntryRemoved{"desk-0"})
	c.Check(n.endpoints["desk-0"], qt.IsNotNil)
}
