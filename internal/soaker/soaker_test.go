package soaker

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against two soak tests at the same time whose nodes have the same
// addresses.
func TestSoakTestsDoNotShareAddresses(t *testing.T) {
	c := qt.New(t)
	used := map[byte]bool{}
	for range 3 {
		s := &Soaker{opts: Options{Seed: 99}}
		c.Assert(s.reserveBlock(), qt.IsNil)
		defer func() { c.Check(s.blockLock.Close(), qt.IsNil) }()
		c.Check(used[s.block], qt.IsFalse)
		used[s.block] = true
	}
}
