package soaker

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"snipedyke/platform/standin"
)

// Guards against a soak test in which killed servers do not come back, or that leaves its
// callers without a server.
func TestKilledServersStartAgainAndOneIsSpared(t *testing.T) {
	c := qt.New(t)
	store, err := standin.NewStore()
	c.Assert(err, qt.IsNil)
	defer store.Close()
	s := &Soaker{opts: Options{Unframed: true, Output: t.Output()}, store: store, history: NewHistory(), servers: map[string]*standin.Server{}}
	defer s.shutDown()
	for range 2 {
		c.Assert(s.addServer(loopbackAnyPort), qt.IsNil)
	}
	f := newUnframedFaults(s, nil, nil)
	killed, spared := s.registeredServers()[0], s.registeredServers()[1]
	f.killServer(0, time.Hour)
	f.killServer(0, time.Hour)
	c.Assert(s.registeredServers(), qt.HasLen, 1)
	c.Check(s.registeredServers()[0], qt.Equals, spared)
	c.Assert(s.addServer(killed.Addr()), qt.IsNil)
	f.killServer(0, 0)
	for range 500 {
		if len(s.registeredServers()) == 2 {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	addresses := map[string]bool{}
	for _, server := range s.registeredServers() {
		addresses[server.Addr().String()] = true
	}
	c.Check(addresses, qt.DeepEquals, map[string]bool{killed.Addr().String(): true, spared.Addr().String(): true})
	c.Check(s.history.violations, qt.HasLen, 0)
}

// Guards against a report that counts responses with framing, or takes responses that were
// cut off or repeated for whole ones.
func TestUnframedResponsesAreCounted(t *testing.T) {
	c := qt.New(t)
	h := NewHistory()
	for request, o := range map[string]outcome{"whole": {status: 200}, "cut": {status: 200, cut: true}, "failed": {status: 502}, "framed": {status: 200}} {
		h.setOutcome(request, o)
		h.AddAnswer(standin.Answer{Request: request, Unframed: request != "framed"})
	}
	h.setOutcome("repeated", outcome{status: 200})
	h.AddAnswer(standin.Answer{Request: "repeated", Unframed: true})
	h.AddAnswer(standin.Answer{Request: "repeated"})
	c.Check(h.countUnframed(), qt.Equals, UnframedResponses{Begun: 4, Partial: 3})
}

// Guards against a stream that is taken up with another request than its first one.
func TestTakeUpsRepeatTheRequest(t *testing.T) {
	c := qt.New(t)
	distinct := caller{distinct: true}
	c.Check(distinct.query(request{id: "a"}), qt.Equals, distinct.query(request{id: "b", stream: "a"}))
	c.Check(distinct.query(request{id: "a"}), qt.Not(qt.Equals), distinct.query(request{id: "b"}))
}
