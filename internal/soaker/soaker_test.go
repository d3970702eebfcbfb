package soaker

import (
	"net"
	"net/netip"
	"testing"

	qt "github.com/frankban/quicktest"

	"snipedyke/platform/standin"
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

// Guards against a soak test that fails because a connection has the port of a server
// that has crashed, which then cannot start there again (seed 40).
func TestServerStartsElsewhereIfItsPortIsTaken(t *testing.T) {
	c := qt.New(t)
	store, err := standin.NewStore()
	c.Assert(err, qt.IsNil)
	defer store.Close()
	peer, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer func() { c.Check(peer.Close(), qt.IsNil) }()
	taken, err := net.Dial("tcp", peer.Addr().String())
	c.Assert(err, qt.IsNil)
	defer func() { c.Check(taken.Close(), qt.IsNil) }()
	s := &Soaker{store: store, history: NewHistory(), servers: map[string]*standin.Server{}}
	c.Assert(s.addServerAgain(netip.MustParseAddrPort(taken.LocalAddr().String())), qt.IsNil)
	c.Assert(s.servers, qt.HasLen, 1)
	for _, server := range s.servers {
		server.Crash()
	}
}
