package pinner

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"snipedyke/pkg/encoder"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

const life = 8 * time.Second

// Guards against an account that finds or replaces what is known of another
// account's stream.
func TestKeysOfAccountsDiffer(t *testing.T) {
	c := qt.New(t)
	keys := map[uint64]bool{}
	for _, parts := range [][3]string{
		{"a", "s", "r"}, {"b", "s", "r"}, {"a", "t", "r"}, {"a", "s", "q"}, {"as", "", "r"}, {"", "as", "r"}, {"a", "sr", ""},
	} {
		keys[Key(parts[0], parts[1], parts[2])] = true
	}
	c.Check(keys, qt.HasLen, 7)
}

// Guards against streams that are remembered for too short a time, or for good.
func TestStreamsAreRememberedForTheirLife(t *testing.T) {
	c := qt.New(t)
	var table Table
	table.Begin(start, 1, "s", "v1", life)
	table.Begin(start.Add(3*time.Second), 2, "s", "v2", life)
	// The first stream is taken up again.
	table.Begin(start.Add(6*time.Second), 1, "s", "v1", life)
	known := func(at time.Duration, key uint64) bool {
		_, ok := table.Lookup(start.Add(at), key)

		return ok
	}
	c.Check(known(life+time.Second, 1), qt.IsTrue)
	c.Check(known(3*time.Second+life-1, 2), qt.IsTrue)
	c.Check(known(3*time.Second+life, 2), qt.IsFalse)
	c.Check(known(6*time.Second+life, 1), qt.IsFalse)
	c.Check(table.Len(), qt.Equals, 0)
}

// Guards against memory that grows with the number of streams, and against the
// oldest ones being kept in place of the newest.
func TestNumberOfStreamsIsBounded(t *testing.T) {
	c := qt.New(t)
	var table Table
	for key := range uint64(3 * maxStreams) {
		table.Begin(start, key, "s", "v1", life)
	}
	c.Check(table.Len() <= maxStreams, qt.IsTrue)
	_, oldest := table.Lookup(start, 0)
	_, newest := table.Lookup(start, 3*maxStreams-1)
	c.Check(oldest, qt.IsFalse)
	c.Check(newest, qt.IsTrue)
}

// Guards against what a node knows of its own stream being replaced by what
// another node says, and against streams of other nodes that outlast their life.
func TestKnownStreamsAreNotReplaced(t *testing.T) {
	c := qt.New(t)
	var table Table
	table.Begin(start, 1, "s", "v1", life)
	table.Learn(start, encoder.Origin{Key: 1, Version: "v2"}, life)
	table.Learn(start, encoder.Origin{Key: 2, Version: "v2", Age: 7000}, life)
	table.Learn(start, encoder.Origin{Key: 3, Version: "v2", Age: 9000}, life)
	own, _ := table.Lookup(start, 1)
	c.Check(own.Version, qt.Equals, "v1")
	learned, ok := table.Lookup(start.Add(time.Second-1), 2)
	c.Check(ok, qt.IsTrue)
	c.Check(learned.Version, qt.Equals, "v2")
	_, ok = table.Lookup(start, 3)
	c.Check(ok, qt.IsFalse)
}

// Guards against streams that are announced twice, or not at all after a second
// version has appeared.
func TestStreamsAreAnnouncedOnce(t *testing.T) {
	c := qt.New(t)
	var table Table
	table.Begin(start, 1, "s", "v1", life)
	table.Begin(start, 2, "t", "v1", life)
	table.Begin(start, 3, "s", "v1", life)
	table.Learn(start, encoder.Origin{Key: 4, Version: "v2"}, life)
	now := start.Add(time.Second)
	c.Check(table.TakeUnannounced(now, "s"), qt.DeepEquals, []encoder.Origin{
		{Key: 1, Version: "v1", Age: 1000}, {Key: 3, Version: "v1", Age: 1000},
	})
	c.Check(table.TakeUnannounced(now, "s"), qt.HasLen, 0)
	c.Check(table.TakeUnannounced(now, "t"), qt.HasLen, 1)
}

// Guards against a version whose last endpoint has left being forgotten while its
// streams can still be taken up again.
func TestVersionsOfRemovedEndpointsCount(t *testing.T) {
	c := qt.New(t)
	var v Versions
	_, sole := v.Sole(start, life)
	c.Check(sole, qt.IsFalse)
	v.Add("1")
	v.Add("1")
	version, sole := v.Sole(start, life)
	c.Check(sole, qt.IsTrue)
	c.Check(version, qt.Equals, "1")
	v.Add("2")
	v.Remove(start, "1")
	v.Remove(start, "1")
	c.Check(v.List(), qt.DeepEquals, []string{"2"})
	_, sole = v.Sole(start.Add(life-1), life)
	c.Check(sole, qt.IsFalse)
	version, sole = v.Sole(start.Add(life), life)
	c.Check(sole, qt.IsTrue)
	c.Check(version, qt.Equals, "2")
}
