package exchanger

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against a node that cannot read the store and does not learn that others can,
// also in other data centres, and against times that are not on its own clock.
func TestContactWithTheStoreIsAnnounced(t *testing.T) {
	c := qt.New(t)
	nodes := startNodes(c, "a", "a", "b")
	for i, n := range nodes[1:] {
		select {
		case got := <-n.contacts:
			// The message takes some time, and its times are in milliseconds.
			for j, at := range got {
				c.Check(at.Before(firstContact[j].Add(-2*time.Millisecond)), qt.IsFalse, qt.Commentf("node %d", i+1))
				c.Check(at.After(firstContact[j].Add(timeout)), qt.IsFalse, qt.Commentf("node %d", i+1))
			}
		case <-time.After(timeout):
			c.Fatalf("node %d is not told", i+1)
		}
	}
	c.Check(nodes[0].contacts, qt.HasLen, 0)
}
