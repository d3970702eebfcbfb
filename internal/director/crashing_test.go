package director

import (
	"container/heap"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"snipedyke/internal/chooser"
	"snipedyke/internal/registrar"
	"snipedyke/internal/router"
)

// harmfulContent is the content of the request that crashes the endpoints of a
// requestFleet.
const harmfulContent = 4711

// crashCase is a kind of requests of a requestFleet.
type crashCase struct {
	name, service, path string
	work                time.Duration
	// begins is how long before the crash the answer to the harmful request begins, or
	// zero if it does not.
	begins time.Duration
	// parts are the shared parts of all prompts, or nil.
	parts []uint64
	// endpoints is the number of endpoints.
	endpoints int
}

// requestFleet simulates nodes and endpoints. One request crashes each endpoint that runs
// it, which is back after 3 s, as a new incarnation under the same ID.
type requestFleet struct {
	now    time.Time
	calls  timedCalls
	nodes  []*node
	kind   crashCase
	backAt map[string]time.Time
	// running holds the attempts at each endpoint.
	running map[string]map[uint64]*node
	harmful map[uint64]bool
	crashes []time.Time
	// harmfulRuns holds when attempts of the harmful request reached endpoints, and
	// refused is the number of sound requests that were refused as harmful.
	harmfulRuns []time.Time
	refused     int
}

func (f *requestFleet) at(at time.Time, call func()) { heap.Push(&f.calls, timedCall{at, call}) }

func (f *requestFleet) after(d time.Duration, call func()) { f.at(f.now.Add(d), call) }

func (f *requestFleet) post(n *node, e Event) {
	n.now = f.now
	for _, effect := range n.post(e) {
		switch e := effect.(type) {
		case Dispatch:
			f.dispatch(n, e)
		case CheckEndpoint:
			f.after(10*time.Millisecond, func() {
				f.post(n, EndpointChecked{Endpoint: e.Endpoint, Address: e.Address, Refused: f.now.Before(f.backAt[e.Endpoint])})
			})
		case Refuse:
			if !f.harmful[e.ID] && strings.HasPrefix(string(e.Reason), "harmful") {
				f.refused++
			}
		}
	}
}

func (f *requestFleet) dispatch(n *node, d Dispatch) {
	if f.now.Before(f.backAt[d.Endpoint]) {
		f.after(time.Millisecond, func() { f.post(n, AttemptFinished{ID: d.ID, Result: Unreached}) })

		return
	}
	if f.running[d.Endpoint] == nil {
		f.running[d.Endpoint] = map[uint64]*node{}
	}
	f.running[d.Endpoint][d.ID] = n
	runs := func() bool { return f.running[d.Endpoint][d.ID] == n }
	stream := f.kind.service == "model"
	if f.harmful[d.ID] {
		f.harmfulRuns = append(f.harmfulRuns, f.now)
		if f.kind.begins > 0 {
			f.after(f.kind.work-f.kind.begins, func() {
				if runs() {
					f.post(n, ResponseStarted{ID: d.ID, Wait: f.kind.work - f.kind.begins})
				}
			})
		}
	}
	f.after(f.kind.work, func() {
		switch {
		case !runs():
		case f.harmful[d.ID]:
			f.crash(d.Endpoint)
		default:
			if stream {
				f.post(n, ResponseStarted{ID: d.ID, Wait: f.kind.work})
			}
			delete(f.running[d.Endpoint], d.ID)
			f.post(n, AttemptFinished{ID: d.ID, Result: Answered, Status: 200, Relayed: stream, Took: f.kind.work})
		}
	})
}

func (f *requestFleet) crash(endpoint string) {
	f.crashes = append(f.crashes, f.now)
	f.backAt[endpoint] = f.now.Add(3 * time.Second)
	for _, id := range slices.Sorted(maps.Keys(f.running[endpoint])) {
		n := f.running[endpoint][id]
		delete(f.running[endpoint], id)
		f.post(n, AttemptFinished{ID: id, Result: Broken, Relayed: f.harmful[id] && f.kind.begins > 0, Took: f.kind.work, Cause: "EOF"})
	}
	f.after(3*time.Second, func() {
		e := f.entry(endpoint)
		e.Born = f.now.UnixMilli()
		for _, n := range f.nodes {
			f.post(n, EntryPut{e})
		}
	})
}

// entry returns the entry of the endpoint with the given ID.
func (f *requestFleet) entry(id string) registrar.Entry {
	i := 0
	_, _ = fmt.Sscanf(id, f.kind.service+"-%d", &i)
	e := entry(f.kind.service, i)
	e.Born = 1

	return e
}

// newRequestFleet returns a fleet with the settings that are shipped.
func newRequestFleet(kind crashCase, nodes int) *requestFleet {
	f := &requestFleet{
		now: start.Add(discoveryPeriod), kind: kind,
		backAt: map[string]time.Time{}, running: map[string]map[uint64]*node{}, harmful: map[uint64]bool{},
	}
	entries := make([]registrar.Entry, 0, kind.endpoints)
	for i := range kind.endpoints {
		entries = append(entries, f.entry(fmt.Sprint(kind.service, "-", i)))
	}
	for range nodes {
		n := newNode()
		n.opts.Outcomes, n.opts.Speeds, n.opts.Accounts = true, true, true
		n.post(EntriesListed{entries})
		f.nodes = append(f.nodes, n)
	}

	return f
}

// run sends sound requests and the harmful one until end, and plays all that follows.
// Nodes hear of each other within 0.6 s.
func (f *requestFleet) run(rng *rand.Rand, end time.Time, sound, harmful float64) {
	id := uint64(0)
	send := func(rate float64, content func() uint32) {
		for at := f.now; at.Before(end); {
			at = at.Add(time.Duration(rng.ExpFloat64() * float64(time.Second) / rate))
			id++
			q := Request{
				ID: id, Name: fmt.Sprint(id), Host: "h", Path: f.kind.path, Key: "key", Deadline: 5 * time.Second, Content: content(),
			}
			if f.kind.service == "model" {
				q.Need = chooser.Need{PromptTokens: 9000, SharedTokens: 6300, SharedParts: f.kind.parts}
			}
			f.harmful[id] = q.Content == harmfulContent
			n := f.nodes[rng.IntN(len(f.nodes))]
			f.at(at, func() {
				f.post(n, ViewConfirmed{f.now})
				f.post(n, Arrived{q})
			})
		}
	}
	send(sound, func() uint32 { return 10000 + uint32(id) })
	send(harmful, func() uint32 { return harmfulContent })
	for at := f.now; at.Before(end); at = at.Add(200 * time.Millisecond) {
		f.at(at, func() {
			for _, n := range f.nodes {
				f.post(n, Ticked{})
				list := n.Crashes(f.now)
				for _, other := range f.nodes {
					if other != n && len(list) > 0 {
						f.after(600*time.Millisecond, func() { f.post(other, CrashesObserved{list}) })
					}
				}
			}
		})
	}
	for len(f.calls) > 0 {
		next := heap.Pop(&f.calls).(timedCall)
		f.now = next.at
		next.call()
	}
}

// Guards against a request that crashes endpoint after endpoint because nothing is held
// against requests without prompt parts, or only against the parts (issue 48). The users'
// bound is three requests, sent later than 3 s after the third crash.
func TestRequestThatCrashesEndpointsIsIsolated(t *testing.T) {
	for _, kind := range []crashCase{
		{name: "safe", service: "desk", path: "/look/1", work: 15 * time.Millisecond, endpoints: 6},
		{name: "safe, few endpoints", service: "desk", path: "/look/1", work: 15 * time.Millisecond, endpoints: 2},
		{name: "unsafe", service: "desk", path: "/pay/1", work: 15 * time.Millisecond, endpoints: 6},
		{name: "stream without parts", service: "model", path: "/chat/1", work: 300 * time.Millisecond, endpoints: 6},
		{name: "stream that begins", service: "model", path: "/chat/1", work: 300 * time.Millisecond, begins: 100 * time.Millisecond, parts: []uint64{1, 2}, endpoints: 6},
		{name: "stream with shared parts", service: "model", path: "/draft/1", work: 300 * time.Millisecond, parts: []uint64{1, 2}, endpoints: 6},
	} {
		for seed := range uint64(5) {
			t.Run(fmt.Sprint(kind.name, "/seed ", seed), func(t *testing.T) {
				c := qt.New(t)
				f := newRequestFleet(kind, 6)
				f.run(rand.New(rand.NewPCG(seed, 48)), f.now.Add(25*time.Second), 10, 1.5)
				c.Assert(len(f.crashes) >= 3, qt.IsTrue)
				late := 0
				for _, at := range f.harmfulRuns {
					if at.After(f.crashes[2].Add(3 * time.Second)) {
						late++
					}
				}
				c.Check(late <= 3, qt.IsTrue, qt.Commentf("%d requests after the third of %d crashes", late, len(f.crashes)))
				c.Check(f.refused, qt.Equals, 0, qt.Commentf("sound requests refused"))
			})
		}
	}
}

// Guards against a request that costs an endpoint for each of its copies, because they come
// at many nodes at once and each chooses another endpoint for the next attempt. With news
// after 0.6 s, the copies of that time may each cost one; the aim is 8 on average.
func TestCopiesOfASuspectCostOneEndpointAtATime(t *testing.T) {
	c := qt.New(t)
	crashes := 0
	for seed := range uint64(10) {
		f := newRequestFleet(crashCase{service: "model", path: "/chat/1", work: 300 * time.Millisecond, parts: []uint64{1, 2}, endpoints: 24}, 12)
		f.run(rand.New(rand.NewPCG(seed, 49)), f.now.Add(10*time.Second), 40, 5)
		crashes += len(f.crashes)
	}
	c.Check(crashes <= 8*10, qt.IsTrue, qt.Commentf("%d endpoints in 10 runs", crashes))
}

// Guards against an account that makes nodes refuse the requests of another one.
func TestRequestOfAnotherAccountIsNotRefused(t *testing.T) {
	c := qt.New(t)
	own, other := &router.Account{Name: "own"}, &router.Account{Name: "other"}
	fingerprint := func(a *router.Account, content uint32) uint64 {
		return (&request{Request: Request{Content: content}, account: a}).fingerprint()
	}
	c.Check(fingerprint(own, 1), qt.Equals, fingerprint(own, 1))
	c.Check(fingerprint(own, 1), qt.Not(qt.Equals), fingerprint(own, 2))
	// No content of one account leads to a fingerprint of the other one.
	c.Check(fingerprint(own, 1)>>32, qt.Equals, fingerprint(own, 2)>>32)
	c.Check(fingerprint(own, 1)>>32, qt.Not(qt.Equals), fingerprint(other, 1)>>32)
}

// Guards against a sound request that is refused as harmful because endpoints refuse new
// connections after they have answered it.
func TestRefusedConnectionsAreNoEvidenceAgainstARequest(t *testing.T) {
	c := qt.New(t)
	n := newNode()
	put := func(id string, draining bool) {
		entry := n.endpoints[id].entry
		entry.Draining = draining
		n.post(EntryPut{Entry: entry})
	}
	endpoints := make([]string, 0, 3)
	send := func(id uint64) (Dispatch, bool) {
		n.advance(time.Second)

		return find[Dispatch](n.post(Arrived{Request{ID: id, Host: "h", Path: "/pay/1", Key: "key", Deadline: time.Second, Content: 7}}))
	}
	for id := range uint64(3) {
		d, sent := send(id)
		c.Assert(sent, qt.IsTrue)
		effects := n.post(AttemptFinished{ID: id, Result: Answered, Status: 200, Took: 50 * time.Millisecond, HostRefused: true})
		if check, ok := find[CheckEndpoint](effects); ok {
			n.post(EndpointChecked{Endpoint: check.Endpoint, Address: check.Address, Refused: true})
		}
		// The next request goes to another endpoint.
		put(d.Endpoint, true)
		endpoints = append(endpoints, d.Endpoint)
	}
	for _, id := range endpoints {
		put(id, false)
	}
	_, sent := send(3)
	c.Check(sent, qt.IsTrue)
}

// Guards against an attempt whose result is replaced because its host refuses connections:
// only an answer may lack a part.
func TestRefusedConnectionChangesAnswersOnly(t *testing.T) {
	c := qt.New(t)
	for result, want := range map[Result]Reason{Answered: ReasonBroken, TimedOut: ReasonTimeout, Cancelled: ReasonLeaving} {
		n := newNode()
		n.arrive(1, "/pay/1")
		refuse, _ := find[Refuse](n.post(AttemptFinished{ID: 1, Result: result, Status: 200, HostRefused: true}))
		c.Check(refuse.Reason, qt.Equals, want)
	}
}
