package assembler

import (
	"fmt"
	"net/http"
	"net/netip"
	"testing"

	qt "github.com/frankban/quicktest"

	"snipedyke/internal/director"
	"snipedyke/internal/registrar"
	"snipedyke/platform/standin"
)

// cutOff replaces the endpoints that a node knows by ones that refuse connections.
func (f *routedFleet) cutOff(node int) {
	entries := make([]registrar.Entry, 3)
	for i := range entries {
		// The port of a listener that was closed may get another one, so these are reserved
		// ports.
		address := netip.AddrPortFrom(loopback.Addr(), uint16(1+i))
		entries[i] = registrar.Entry{ID: fmt.Sprint("lost-", i), Service: "s", Version: "v1", Address: address, DataCentre: "c0"}
	}
	f.nodes[node].forwarder.Post(director.EntriesListed{Entries: entries})
}

// Guards against callers of a node that is cut off from all endpoints who get no streams, or
// cannot take them up again at the software version at which they have begun.
func TestStreamsAtCutOffNode(t *testing.T) {
	c := qt.New(t)
	f := startRoutedFleet(c, 3, "v1", "v2", "v1", "v2")
	f.cutOff(2)
	begun, versions := make([]*callerStream, 12), map[string]int{}
	for i := range begun {
		begun[i] = f.openStream(c, 2, fmt.Sprint("first-", i), "")
		versions[begun[i].readHeld(c)]++
		c.Assert(begun[i].response.Body.Close(), qt.IsNil)
	}
	c.Check(versions, qt.HasLen, 2, qt.Commentf("streams have begun at both versions"))
	await(c, "the gauge", func() bool { return f.nodes[2].forwarder.Status().Stranded })
	f.release()
	for i, first := range begun {
		version, attempt := first.readHeld(c), fmt.Sprint("second-", i)
		s := f.openStream(c, 2, attempt, fmt.Sprint("first-", i))
		err := s.readAll()
		c.Check(s.response.StatusCode, qt.Equals, http.StatusOK, qt.Commentf("stream %d of version %s", i, version))
		c.Check(err, qt.IsNil)
		c.Check(s.events(), qt.Equals, eventsOf(version, attempt, heldEvents+1, standin.Events), qt.Commentf("stream %d of version %s", i, version))
	}
}
