package director

import (
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"snipedyke/internal/chooser"
	"snipedyke/internal/isolator"
	"snipedyke/internal/logger"
	"snipedyke/internal/registrar"
)

// firstLogged returns the values of the first line of a log event in the effects by
// their keys, or nil if there is none.
func firstLogged(effects []Effect, event int) map[string]any {
	if lines := logged(effects, event); len(lines) > 0 {
		return lines[0]
	}

	return nil
}

// at returns an entry that has the address of another one, and was born at the
// given time.
func at(e, other registrar.Entry, born int64) registrar.Entry {
	e.Address, e.Born = other.Address, born

	return e
}

// Guards against attempts that another endpoint answers without any trace of
// which endpoint was expected and which one answered.
func TestMisdirectedAttemptIsLogged(t *testing.T) {
	c := qt.New(t)
	n := newNode()
	sent, ok := find[Dispatch](n.arrive(1, "/pay/1"))
	c.Assert(ok, qt.IsTrue)
	for i := range 3 {
		n.post(EntryPut{at(entry("other", i), entry("desk", i), 0)})
	}
	effects := n.post(AttemptFinished{ID: 1, Result: Misdirected, Status: 421, AnsweredBy: "stranger", OtherLeaving: true})
	line := firstLogged(effects, logger.AttemptMisdirected)
	c.Check(line["request"], qt.Equals, "r1")
	c.Check(line["endpoint"], qt.Equals, sent.Endpoint)
	c.Check(line["address"], qt.Equals, sent.Address.String())
	c.Check(line["answered"], qt.Equals, "stranger")
	c.Check(line["known"], qt.Equals, "other"+sent.Endpoint[len("desk"):])
	c.Check(line["leaving"], qt.Equals, true)
}

// server is an endpoint that runs.
type server struct {
	id string
	// leaving reports whether its answers say that it shuts down.
	leaving bool
	// asked is the number of attempts that have reached it, and misdirected that of
	// those for which another endpoint was expected.
	asked, misdirected int
}

// servers holds the servers that run, by address.
type servers map[netip.AddrPort]*server

// startServers returns a node with the entries of the endpoints desk-0 to desk-2,
// which were born at 1000, and their servers.
func startServers() (*node, servers) {
	n, s := newNode(), servers{}
	for i := range 3 {
		e := at(entry("desk", i), entry("desk", i), 1000)
		n.post(EntryPut{e})
		s[e.Address] = &server{id: e.ID}
	}

	return n, s
}

// replace ends desk-0 and starts another server at its address, whose entry it
// returns. That of desk-0 remains.
func (s servers) replace() (*server, registrar.Entry) {
	e := at(entry("desk", 0), entry("desk", 0), 2000)
	e.ID = "newcomer"
	s[e.Address] = &server{id: e.ID}

	return s[e.Address], e
}

// burst sends some requests at the same time and answers all their attempts.
func (s servers) burst(n *node) {
	n.post(ViewConfirmed{n.now})
	var pending []Dispatch
	for range 6 {
		n.lastID++
		if d, ok := find[Dispatch](n.arrive(n.lastID, "/pay/x")); ok {
			pending = append(pending, d)
		}
	}
	for len(pending) > 0 {
		for _, effect := range s.answer(n, pending[0]) {
			if d, ok := effect.(Dispatch); ok {
				pending = append(pending, d)
			}
		}
		pending = pending[1:]
	}
}

// bursts sends a burst each quarter of a second for a time in which each suspension
// ends.
func (s servers) bursts(n *node) {
	for range 2 * maxSuspension / minSuspension {
		n.now = n.now.Add(minSuspension)
		s.burst(n)
	}
}

// answer ends an attempt as the server at its address does, and returns the effects.
func (s servers) answer(n *node, d Dispatch) []Effect {
	server := s[d.Address]
	if server == nil {
		return n.post(AttemptFinished{ID: d.ID, Result: Unreached})
	}
	server.asked++
	if server.id != d.Endpoint {
		server.misdirected++

		return n.post(AttemptFinished{ID: d.ID, Result: Misdirected, Status: 421, OtherLeaving: server.leaving})
	}
	if server.leaving {
		n.post(EndpointNoticed{ID: d.ID, Leaving: true})
	}

	return n.post(AttemptFinished{ID: d.ID, Result: Answered, Status: 200})
}

// Guards against requests that reach an endpoint which has said that it shuts down
// under the name of an ended one, whose entry is still there and has the same
// address. This is the course of seed 9005 of the soak.
func TestLeavingEndpointIsNotReachedByAnOlderEntry(t *testing.T) {
	c := qt.New(t)
	for _, born := range []int64{2000, 0} {
		n, s := startServers()
		n.post(ViewLost{"down"})
		n.post(ViewReachable{n.now})
		later, e := s.replace()
		s.burst(n)
		c.Check(later.misdirected > 0, qt.IsTrue, qt.Commentf("the node does not know the later endpoint yet"))
		e.Born, later.misdirected = born, 0
		n.post(EntryPut{e})
		later.leaving = true
		s.bursts(n)
		c.Assert(n.endpoints[e.ID].leaving(), qt.IsTrue)
		c.Check(later.misdirected, qt.Equals, 0, qt.Commentf("born %d", born))

		later.asked = 0
		n.post(EntryRemoved{e.ID})
		n.now = n.now.Add(registrar.HoldTime)
		n.post(Ticked{})
		c.Assert(n.endpoints[e.ID], qt.IsNil)
		n.post(ViewLost{"down"})
		n.now = n.now.Add(n.expiryOutage())
		s.burst(n)
		n.now = n.now.Add(time.Second)
		s.burst(n)
		n.post(ViewReachable{n.now})
		n.post(EntryPut{e})
		n.post(EntryRemoved{"desk-0"})
		c.Assert(n.endpoints["desk-0"], qt.IsNotNil, qt.Commentf("it is held"))
		s.bursts(n)
		n.post(Ticked{})
		s.bursts(n)
		c.Assert(n.endpoints["desk-0"], qt.IsNil)
		c.Check(later.asked, qt.Equals, 0, qt.Commentf("born %d", born))
	}
}

// Guards against requests that reach an endpoint under the name of an ended one
// with the same address, although it asked for time, drains, is of another service
// or is in a data centre that is out of service.
func TestOlderEntryEvadesNothingKnownOfTheEndpointAtItsAddress(t *testing.T) {
	c := qt.New(t)
	for name, change := range map[string]func(n *node, e registrar.Entry){
		"asks for time": func(n *node, e registrar.Entry) {
			n.post(EntryPut{e})
			n.noticeOf(n.now, n.endpoints[e.ID]).pausedUntil = n.now.Add(time.Minute)
		},
		"drains": func(n *node, e registrar.Entry) {
			e.Draining = true
			n.post(EntryPut{e})
		},
		"is of another service": func(n *node, e registrar.Entry) {
			e.Service = "model"
			n.post(EntryPut{e})
		},
		"is in a data centre out of service": func(n *node, e registrar.Entry) {
			e.DataCentre = "kollam"
			n.post(EntryPut{e})
			n.post(CentresOut{[]string{"kollam"}})
		},
		"is listed before the older entry": func(n *node, e registrar.Entry) {
			e.Draining = true
			former := []registrar.Entry{n.endpoints["desk-0"].entry, n.endpoints["desk-1"].entry}
			n.Director = New(options())
			n.post(TableLoaded{table(1)})
			n.post(EntriesListed{append([]registrar.Entry{e}, former...)})
		},
	} {
		n, s := startServers()
		later, e := s.replace()
		change(n, e)
		c.Assert(n.endpoints["desk-0"], qt.IsNotNil)
		s.burst(n)
		n.now = n.now.Add(maxSuspension)
		s.burst(n)
		c.Check(later.asked, qt.Equals, 0, qt.Commentf("%s", name))
	}
}

// Guards against callers that lose the time of an attempt again and again while the
// entry of an ended endpoint is held.
func TestRequestsAreNotMisdirectedOnceTheLaterEntryIsKnown(t *testing.T) {
	c := qt.New(t)
	n, s := startServers()
	later, e := s.replace()
	n.post(EntryPut{e})
	s.bursts(n)
	c.Check(later.misdirected, qt.Equals, 0)
	c.Check(later.asked > 0, qt.IsTrue)
}

// Guards against an endpoint that gets no requests because an entry that seems
// later wrongly has its address.
func TestEndpointIsUsedIfTheLaterEntryIsWrong(t *testing.T) {
	c := qt.New(t)
	n, s := startServers()
	sound := s[n.endpoints["desk-0"].entry.Address]
	_, e := s.replace()
	s[e.Address] = sound
	n.post(EntryPut{e})
	s.burst(n)
	first := sound.misdirected
	c.Check(first > 0, qt.IsTrue)
	s.burst(n)
	c.Check(sound.asked > first, qt.IsTrue)
	s.bursts(n)
	n.now = n.now.Add(2 * doubtedPublications * options().PublicationInterval)
	s.bursts(n)
	c.Check(sound.misdirected, qt.Equals, first, qt.Commentf("it has answered, so the other is not tried again"))
}

// Guards against an endpoint that gets no requests because the clock of its host is
// behind that of the host of the endpoint that had its address before.
func TestEndpointThatSeemsOlderIsUsedAfterAMisdirectedAnswer(t *testing.T) {
	c := qt.New(t)
	for _, known := range []bool{false, true} {
		n, s := startServers()
		later, e := s.replace()
		e.Born = 500
		if known {
			n.post(EntryPut{e})
		}
		s.burst(n)
		first := later.misdirected
		c.Check(first > 0, qt.IsTrue)
		n.post(EntryPut{e})
		s.bursts(n)
		c.Check(later.misdirected, qt.Equals, first, qt.Commentf("known %v", known))
		c.Check(later.asked > first, qt.IsTrue, qt.Commentf("known %v", known))
	}
}

// Guards against an endpoint that gets no requests for good because a wrong entry
// has its address which is never used, or was removed, and against requests to an
// ended endpoint while its entry may be a remainder.
func TestEndpointIsUsedAgainIfItsEntryOutlastsAnother(t *testing.T) {
	c := qt.New(t)
	doubt := doubtedPublications * options().PublicationInterval
	for _, removed := range []bool{false, true} {
		n, s := startServers()
		sound := s[n.endpoints["desk-0"].entry.Address]
		_, e := s.replace()
		s[e.Address] = sound
		e.Draining = true
		n.post(EntryPut{e})
		if removed {
			n.post(EntryRemoved{e.ID})
		}
		n.now = n.now.Add(doubt - 1)
		s.burst(n)
		c.Check(sound.asked, qt.Equals, 0, qt.Commentf("removed %v", removed))
		n.now = n.now.Add(1)
		n.post(ViewLost{"down"})
		s.burst(n)
		n.post(ViewReachable{n.now})
		s.burst(n)
		c.Check(sound.asked, qt.Equals, 0, qt.Commentf("removed %v; nobody can publish during an outage", removed))
		n.now = n.now.Add(doubt)
		s.burst(n)
		c.Check(sound.asked > 0, qt.IsTrue, qt.Commentf("removed %v", removed))
	}
}

// Guards against requests that are sent again and again to the address of an
// endpoint without an entry that says that it shuts down.
func TestUnknownLeavingEndpointIsReachedOnce(t *testing.T) {
	c := qt.New(t)
	n, s := startServers()
	later, e := s.replace()
	later.leaving = true
	s.burst(n)
	sent := later.asked
	c.Assert(sent > 0, qt.IsTrue)
	s.bursts(n)
	c.Check(later.asked, qt.Equals, sent)

	e.Born = 3000
	s[e.Address] = &server{id: e.ID}
	n.post(EntryPut{e})
	s.bursts(n)
	c.Check(s[e.Address].asked > 0, qt.IsTrue, qt.Commentf("another one has started there"))
}

// Guards against requests to an endpoint that says that it shuts down in its answer
// to a request for an ended one with its address.
func TestNoticeInMisdirectedAnswerHoldsForTheEndpointAtTheAddress(t *testing.T) {
	c := qt.New(t)
	n, s := startServers()
	for id := uint64(1); n.endpoints["desk-0"].load.Own.Running == 0; id++ {
		n.arrive(id, "/pay/x")
	}
	n.lastID = 10
	later, e := s.replace()
	later.leaving = true
	n.post(EntryPut{e})
	for id, req := range n.requests {
		if req.endpoint.entry.ID == "desk-0" {
			s.answer(n, Dispatch{ID: id, Endpoint: "desk-0", Address: e.Address})
		}
	}
	c.Check(later.asked, qt.Equals, 1)
	c.Check(n.endpoints[e.ID].leaving(), qt.IsTrue)
	s.bursts(n)
	c.Check(later.asked, qt.Equals, 1)
}

// Guards against requests on connections to an ended endpoint that are meant for
// the one at its address, and against closing the connections of the latter when
// the older entry goes.
func TestIdleConnectionsAreClosedWhenAnAddressChangesHands(t *testing.T) {
	c := qt.New(t)
	n, s := startServers()
	_, e := s.replace()
	closed, ok := find[CloseIdleConnections](n.post(EntryPut{e}))
	c.Check(ok, qt.IsTrue)
	c.Check(closed.Address, qt.Equals, e.Address)
	c.Check(firstLogged(n.effects, logger.EndpointDisplaced)["holder"], qt.Equals, e.ID)
	c.Check(n.Status(n.now).Displaced, qt.Equals, 1)
	_, ok = find[CloseIdleConnections](n.post(EntryRemoved{"desk-0"}))
	c.Check(ok, qt.IsFalse)
	_, ok = find[CloseIdleConnections](n.post(EntryRemoved{e.ID}))
	c.Check(ok, qt.IsTrue)
}

// Guards against a copy of the store that brings back an ended endpoint and lacks
// the one at its address.
func TestRestoredEntryDoesNotGetTheAddressOfALaterOne(t *testing.T) {
	c := qt.New(t)
	n, s := startServers()
	former := []registrar.Entry{n.endpoints["desk-0"].entry, n.endpoints["desk-1"].entry, n.endpoints["desk-2"].entry}
	later, e := s.replace()
	n.post(EntryPut{e})
	n.post(EntryRemoved{"desk-0"})
	n.post(ViewRestored{})
	n.post(EntriesListed{former})
	s.burst(n)
	n.post(EntryPut{e})
	s.bursts(n)
	c.Check(later.misdirected, qt.Equals, 0)
	c.Check(later.asked > 0, qt.IsTrue)
}

// Guards against prompt parts that crash endpoints and are found late, because
// nothing is sent any more to an endpoint that has ended.
func TestDisplacedEndpointCountsAsEnded(t *testing.T) {
	c := qt.New(t)
	n := newNode()
	for i := range 3 {
		n.lastID++
		n.now = n.now.Add(time.Second)
		n.post(ViewConfirmed{n.now})
		n.post(Arrived{Request{ID: n.lastID, Name: "r", Host: "h", Path: "/chat/x", Key: "key", Deadline: 10 * time.Second, Need: chooser.Need{
			PromptTokens: 100, SharedTokens: 50, SharedHash: 7, SharedParts: []uint64{7},
		}}})
		crashed := n.requests[n.lastID].endpoint.entry
		n.post(AttemptFinished{ID: n.lastID, Result: Broken})
		later := crashed
		later.ID = entry("later", i).ID
		n.post(EntryPut{later})
	}
	_, isolated := n.isolator.Isolated(n.now, []isolator.Subject{{ID: 7}})
	c.Check(isolated, qt.IsTrue)
}

// Guards against keeping a connection to an ended endpoint that was in use when
// another one got its address.
func TestConnectionInUseIsClosedWhenItsAddressHasChangedHands(t *testing.T) {
	c := qt.New(t)
	n, s := startServers()
	id := uint64(1)
	for ; n.endpoints["desk-0"].load.Own.Running == 0; id++ {
		n.arrive(id, "/pay/x")
	}
	_, e := s.replace()
	n.post(EntryPut{e})
	closed, ok := find[CloseIdleConnections](n.post(AttemptFinished{ID: id - 1, Result: Answered, Status: 200}))
	c.Check(ok, qt.IsTrue)
	c.Check(closed.Address, qt.Equals, e.Address)
}

// Guards against an endpoint that gets no requests after it has started anew under
// its ID on a host whose clock was set back.
func TestEndpointReturnsUnderItsIDWithAnEarlierStart(t *testing.T) {
	c := qt.New(t)
	n, s := startServers()
	e := n.endpoints["desk-0"].entry
	e.Born = 500
	n.post(EntryPut{e})
	s.burst(n)
	c.Check(s[e.Address].asked > 0, qt.IsTrue)
}
