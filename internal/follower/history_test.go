package follower

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"snipedyke/internal/aggregator"
	"snipedyke/internal/director"
	"snipedyke/pkg/encoder"
)

// heapBytes returns the size of the live heap.
func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)

	return m.HeapAlloc
}

// Guards against a node that relays the view and keeps all versions of a large routing
// table, until its process exceeds the memory of its host.
func TestLargeChangesDoNotUseUpTheMemory(t *testing.T) {
	c := qt.New(t)
	const size, versions, allowed = 512 << 10, 210, 8 << 20
	f := New(Options{Source: &fakeSource{}, Logger: discardLogger{}, Clock: time.Now, Post: func(director.Event) {}})
	f.applyList(View{Revision: 1})
	before := heapBytes()
	for i := range uint64(versions) {
		item := encoder.Item{Key: "table", Revision: 2 + i, Data: make([]byte, size)}
		f.applyChanges(View{Revision: 2 + i, Changes: []Change{{Key: item.Key, Revision: item.Revision, Value: DataCentre{Name: "k"}, Item: item}}})
	}
	c.Check(int64(heapBytes())-int64(before) < allowed, qt.IsTrue)
	runtime.KeepAlive(f)
}

// Guards against members that must read the store themselves because the node that
// relays the view has dropped changes that fit in a message, and against a relayed view
// that lacks dropped changes.
func TestChangesThatFitInAMessageAreRelayed(t *testing.T) {
	c := qt.New(t)
	f := New(Options{Source: &fakeSource{}, Logger: discardLogger{}, Clock: time.Now, Post: func(director.Event) {}})
	f.applyList(View{Revision: 1})
	var sizes []int
	put := func(size int) {
		item := encoder.Item{Key: "k", Revision: uint64(2 + len(sizes)), Data: make([]byte, size-1)}
		sizes = append(sizes, size)
		f.applyChanges(View{Revision: item.Revision, Changes: []Change{{Key: item.Key, Revision: item.Revision, Value: DataCentre{Name: "k"}, Item: item}}})
	}
	check := func(view aggregator.View) {
		sum := 0
		for n := 0; n <= min(len(sizes), maxHistory/2); n++ {
			if n > 0 {
				sum += sizes[len(sizes)-n]
			}
			items, known := view.Since(view.Revision - uint64(n))
			c.Assert(known, qt.Equals, sum <= maxRelaySize, qt.Commentf("%d changes of %d bytes", n, sum))
			if known {
				c.Assert(items, qt.HasLen, n)
			}
		}
	}
	for i, size := range []int{10, 40 << 10, 10, 32 << 10, 20 << 10, 12 << 10, 30 << 10, 20 << 10, 20 << 10, 512 << 10, 10} {
		put(size)
		c.Run(fmt.Sprintf("%d bytes after %d changes", size, i), func(*qt.C) { check(f.View()) })
	}
	for range 3 * maxHistory {
		put(20)
		check(f.View())
	}
}
