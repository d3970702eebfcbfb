package director

import (
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"snipedyke/internal/chooser"
	"snipedyke/internal/registrar"
	"snipedyke/internal/router"
	"snipedyke/pkg/encoder"
)

// Guards against a second run of a request that may run only once, and against
// a refusal stating that it has not run.
func TestUnsafeRequestIsNotSentAgainAfterItMayHaveRun(t *testing.T) {
	c := qt.New(t)
	for _, result := range []Result{Broken, TimedOut} {
		n := newNode()
		_, sent := find[Dispatch](n.arrive(1, "/pay/1"))
		c.Assert(sent, qt.IsTrue)
		effects := n.post(AttemptFinished{ID: 1, Result: result})
		_, retried := find[Dispatch](effects)
		c.Check(retried, qt.IsFalse)
		refuse, _ := find[Refuse](effects)
		c.Check(refuse.Status == 502 || refuse.Status == 504, qt.IsTrue, qt.Commentf("%s: %d", result, refuse.Status))
	}
}

// Guards against the loss of a request that an endpoint has certainly not run.
func TestUnreachedAndDeclinedRequestsAreSentToAnotherEndpoint(t *testing.T) {
	c := qt.New(t)
	for _, result := range []Result{Unreached, Misdirected, Declined} {
		n := newNode()
		first, _ := find[Dispatch](n.arrive(1, "/pay/1"))
		second, retried := find[Dispatch](n.post(AttemptFinished{ID: 1, Result: result}))
		c.Assert(retried, qt.IsTrue, qt.Commentf("%s", result))
		c.Check(second.Endpoint, qt.Not(qt.Equals), first.Endpoint)
	}
}

// Guards against accepting keys that may have been revoked, and against
// refusing requests that need no key.
func TestKeysRequireARecentView(t *testing.T) {
	c := qt.New(t)
	n := newNode()
	n.now = n.now.Add(options().KeyLease)
	_, sent := find[Dispatch](n.arrive(1, "/pay/1"))
	c.Check(sent, qt.IsTrue)
	n.now = n.now.Add(time.Millisecond)
	refuse, _ := find[Refuse](n.arrive(2, "/pay/1"))
	c.Check(refuse.Status, qt.Equals, 503)
	c.Check(refuse.Reason, qt.Equals, ReasonStaleView)
	c.Check(refuse.RetryAfter > 0, qt.IsTrue)
	_, sent = find[Dispatch](n.arrive(3, "/open/1"))
	c.Check(sent, qt.IsTrue)
	c.Check(n.Ready(), qt.IsFalse)
	n.post(ViewConfirmed{n.now})
	c.Check(n.Ready(), qt.IsTrue)
}

// Guards against a permanent refusal of requests that a newer view may allow.
func TestUnknownRouteAndKeyAreFinalOnlyInAFreshView(t *testing.T) {
	c := qt.New(t)
	n := newNode()
	refuse, _ := find[Refuse](n.arrive(1, "none"))
	c.Check(refuse.Status, qt.Equals, 404)
	refuse, _ = find[Refuse](n.post(Arrived{Request{ID: 2, Host: "h", Path: "/pay/", Key: "other"}}))
	c.Check(refuse.Status, qt.Equals, 401)
	n.now = n.now.Add(options().FreshView + time.Millisecond)
	refuse, _ = find[Refuse](n.arrive(3, "none"))
	c.Check(refuse.Status, qt.Equals, 503)
}

// Guards against permanent refusals by a node that has no routes yet.
func TestNodeWithoutRoutesRefusesTemporarily(t *testing.T) {
	c := qt.New(t)
	n := &node{Director: New(options()), now: start}
	refuse, _ := find[Refuse](n.arrive(1, "/pay/1"))
	c.Check(refuse.Status, qt.Equals, 503)
	c.Check(n.Ready(), qt.IsFalse)
}

// Guards against a return to an older version of the route table.
func TestOlderTablesAreIgnored(t *testing.T) {
	c := qt.New(t)
	n := newNode()
	n.post(TableLoaded{table(7)})
	n.post(TableLoaded{table(6)})
	c.Check(n.Table().Version(), qt.Equals, uint64(7))
}

// Guards against restarting a stream that cannot be resumed after the caller
// has received events, and against giving up a stream that can be resumed.
func TestOnlyResumableStreamsAreResumed(t *testing.T) {
	c := qt.New(t)
	n := newNode()
	n.arrive(1, "/chat/1")
	_, aborted := find[Abort](n.post(AttemptFinished{ID: 1, Result: Broken, Relayed: true}))
	c.Check(aborted, qt.IsTrue)

	n.arrive(2, "/draft/1")
	d, retried := find[Dispatch](n.post(AttemptFinished{ID: 2, Result: Broken, Relayed: true}))
	c.Assert(retried, qt.IsTrue)
	c.Check(d.Resume, qt.IsTrue)
	_, aborted = find[Abort](n.post(AttemptFinished{ID: 2, Result: Broken, Relayed: true}))
	c.Check(aborted, qt.IsTrue, qt.Commentf("the route allows two attempts"))
}

// Guards against work that continues for callers that have disconnected, and
// against cancelling work that must be completed.
func TestCallerLeaves(t *testing.T) {
	c := qt.New(t)
	n := newNode()
	n.arrive(1, "/draft/1")
	_, cancelled := find[Cancel](n.post(CallerDisconnected{1}))
	c.Check(cancelled, qt.IsTrue)
	n.post(AttemptFinished{ID: 1, Result: Cancelled})
	n.arrive(2, "/pay/1")
	_, cancelled = find[Cancel](n.post(CallerDisconnected{2}))
	c.Check(cancelled, qt.IsFalse)
	n.post(AttemptFinished{ID: 2, Result: Answered, Status: 200})
	c.Check(n.Active(), qt.Equals, 0)
}

// Guards against sending all waiting requests at once to a data centre that
// returns with cold endpoints.
func TestReturningDataCentreIsPaced(t *testing.T) {
	c := qt.New(t)
	n := newNode()
	n.post(CentresOut{[]string{"kochi"}})
	refuse, _ := find[Refuse](n.arrive(1, "/pay/1"))
	if refuse.Status == 0 {
		n.now = n.now.Add(50 * time.Millisecond)
		refuse, _ = find[Refuse](n.post(Ticked{}))
	}
	c.Check(refuse.Status, qt.Equals, 503)
	n.post(CentresOut{nil})
	sent := map[string]int{}
	for i := range 100 {
		n.now = n.now.Add(5 * time.Millisecond)
		if d, ok := find[Dispatch](n.arrive(uint64(10+i), "/pay/1")); ok {
			sent[d.Endpoint]++
		}
	}
	c.Check(sent, qt.HasLen, 3)
	for id, count := range sent {
		// The limit for a cold endpoint is 10*1.5 + 5 = 20 requests per second, and
		// each of the six nodes has an equal share of it.
		c.Check(count <= 20/6, qt.IsTrue, qt.Commentf("%s: %d", id, count))
	}
}

// Guards against nodes that together overload a cold endpoint if the share of
// each node is below one request per second.
func TestColdRateHoldsInALargeFleet(t *testing.T) {
	c := qt.New(t)
	const nodes = 73
	sent := map[int]int{}
	for k := range nodes {
		o := options()
		o.Name, o.AssumedNodes = fmt.Sprint("node-", k), nodes
		n := &node{Director: New(o), now: start}
		n.post(TableLoaded{table(1)})
		cold := entry("desk", 0)
		cold.Cold = 10 * time.Second
		n.post(EntriesListed{[]registrar.Entry{cold}})
		for i := range 499 {
			n.now = n.now.Add(20 * time.Millisecond)
			n.post(ViewConfirmed{n.now})
			if _, ok := find[Dispatch](n.arrive(uint64(i), "/look/1")); ok {
				sent[int(n.now.Sub(start)/time.Second)]++
				n.post(AttemptFinished{ID: uint64(i), Result: Answered, Status: 200})
			}
		}
	}
	for second, count := range sent {
		c.Check(count <= 20, qt.IsTrue, qt.Commentf("second %d: %d requests", second, count))
	}
	c.Check(len(sent) >= 9, qt.IsTrue)
}

// Guards against retrying every request to a service whose requests fail.
func TestRetriesStayWithinTheirBudget(t *testing.T) {
	c := qt.New(t)
	n := newNode()
	retries := 0
	for i := range 600 {
		n.now = n.now.Add(10 * time.Millisecond)
		n.post(ViewConfirmed{n.now})
		n.arrive(uint64(i), "/look/1")
		if _, retried := find[Dispatch](n.post(AttemptFinished{ID: uint64(i), Result: Answered, Status: 500})); retried {
			retries++
			n.post(AttemptFinished{ID: uint64(i), Result: Answered, Status: 200})
		}
	}
	c.Check(retries <= 600*2/10+52/6+1, qt.IsTrue, qt.Commentf("%d", retries))
	c.Check(retries > 100, qt.IsTrue, qt.Commentf("%d", retries))
}

// Guards against faults in any order of events: a request that gets no
// answer or several, an attempt at an endpoint that takes no new requests, more
// attempts than the route allows, a refusal stating that a request has not
// run although it may have, and a request that goes to a node twice.
func TestRandomEventsKeepThePromises(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := newNode()
		type state struct {
			path string
			// endpoint is the ID of the endpoint of the attempt in progress, or the
			// address of the other node, or empty. nodes holds these addresses.
			endpoint          string
			nodes             []netip.AddrPort
			mayHaveRun, ended bool
		}
		requests := map[uint64]*state{}
		usable := map[string]bool{}
		for i := range 3 {
			usable[entry("desk", i).ID], usable[entry("model", i).ID] = true, true
		}
		check := func(effects []Effect) {
			for _, e := range effects {
				switch e := e.(type) {
				case Dispatch:
					s := requests[e.ID]
					if s.ended || s.endpoint != "" {
						t.Fatalf("request %d was sent to %s in state %+v", e.ID, e.Endpoint, s)
					}
					if !usable[e.Endpoint] {
						t.Fatalf("request was sent to %s, which takes no new requests", e.Endpoint)
					}
					if s.mayHaveRun && (s.path == "/pay/" || s.path == "/chat/") {
						t.Fatalf("%s may run twice", s.path)
					}
					s.endpoint = e.Endpoint
				case HandOver:
					s := requests[e.ID]
					if s.ended || s.endpoint != "" || slices.Contains(s.nodes, e.Node) || !n.stranded() {
						t.Fatalf("request %d was handed over to %s in state %+v", e.ID, e.Node, s)
					}
					if s.mayHaveRun && (s.path == "/pay/" || s.path == "/chat/") {
						t.Fatalf("%s may run twice", s.path)
					}
					s.endpoint, s.nodes = e.Node.String(), append(s.nodes, e.Node)
				case Refuse:
					s := requests[e.ID]
					if s.ended || s.endpoint != "" {
						t.Fatalf("request %d was refused in state %+v", e.ID, s)
					}
					if s.mayHaveRun && e.Status == 503 {
						t.Fatalf("request %d was refused with status 503 although it may have run", e.ID)
					}
					s.ended = true
				case Relay:
					requests[e.ID].ended = true
				case Abort:
					requests[e.ID].ended = true
				}
			}
		}
		id := uint64(0)
		for range rapid.IntRange(1, 80).Draw(t, "events") {
			n.now = n.now.Add(time.Duration(rapid.IntRange(0, 60).Draw(t, "pause")) * time.Millisecond)
			switch rapid.IntRange(0, 9).Draw(t, "event") {
			case 0, 1:
				id++
				path := rapid.SampledFrom([]string{"/pay/", "/look/", "/chat/", "/draft/"}).Draw(t, "path")
				requests[id] = &state{path: path}
				need := chooser.Need{PromptTokens: rapid.IntRange(10, 9000).Draw(t, "prompt")}
				check(n.post(Arrived{Request{ID: id, Name: fmt.Sprint(id), Host: "h", Path: path, Key: "key", Deadline: time.Second, Need: need}}))
			case 2, 3:
				for r := uint64(1); r <= id; r++ {
					s := requests[r]
					if s.endpoint == "" || s.ended {
						continue
					}
					result := Result(rapid.IntRange(int(Answered), int(TimedOut)).Draw(t, "result"))
					status, reason := rapid.SampledFrom([]int{200, 500}).Draw(t, "status"), Reason("")
					if _, err := netip.ParseAddrPort(s.endpoint); err == nil && (result == Declined || result == Misdirected) {
						result, status, reason = Refused, 503, rapid.SampledFrom([]Reason{ReasonStranded, ReasonOverload}).Draw(t, "reason")
					}
					s.endpoint = ""
					s.mayHaveRun = s.mayHaveRun || result == Broken || result == TimedOut
					check(n.post(AttemptFinished{ID: r, Result: result, Status: status, Reason: reason}))

					break
				}
			case 4:
				e := entry(rapid.SampledFrom([]string{"desk", "model"}).Draw(t, "service"), rapid.IntRange(0, 2).Draw(t, "endpoint"))
				e.Draining = rapid.Bool().Draw(t, "draining")
				usable[e.ID] = !e.Draining
				check(n.post(EntryPut{e}))
			case 5:
				check(n.post(Ticked{}))
			case 6:
				check(n.post(ViewConfirmed{n.now}))
			case 7:
				check(n.post(LinksChecked{Reached: n.link.checked[:rapid.IntRange(0, len(n.link.checked)/4).Draw(t, "reached")]}))
			case 8:
				check(n.post(NodesKnown{peersOf("kochi", rapid.IntRange(0, 6).Draw(t, "nodes"))}))
			case 9:
				for r := uint64(1); r <= id; r++ {
					s := requests[r]
					if s.endpoint == "" || s.ended {
						continue
					}
					if _, givenUp := find[GiveUp](n.post(AttemptStalled{ID: r})); givenUp {
						s.endpoint, s.mayHaveRun = "", true
						check(n.post(AttemptFinished{ID: r, Result: TimedOut}))
					}
				}
			}
		}
		n.now = n.now.Add(time.Second)
		check(n.post(Ticked{}))
		for r, s := range requests {
			if !s.ended && s.endpoint == "" {
				t.Fatalf("request %d has no answer and no attempt in progress: %+v", r, s)
			}
		}
		check(n.post(ShutdownRequested{AnswerBy: n.now.Add(time.Second)}))
		n.now = n.now.Add(time.Second)
		effects := n.post(Ticked{})
		check(effects)
		for _, e := range effects {
			if cancel, ok := e.(Cancel); ok {
				s := requests[cancel.ID]
				s.endpoint, s.mayHaveRun = "", true
				check(n.post(AttemptFinished{ID: cancel.ID, Result: Cancelled}))
			}
		}
		for r, s := range requests {
			if !s.ended {
				t.Fatalf("request %d has no answer at the end of the shutdown: %+v", r, s)
			}
		}
	})
}

// Guards against nodes that together use up the connections of an endpoint,
// and against bodies larger than the limit of the table.
func TestTableLimitsApply(t *testing.T) {
	c := qt.New(t)
	n := newNode()
	table, err := router.New(router.Definition{
		Version: 9, MaxBodyBytes: 100, Services: []router.Service{{Name: "desk", MaxConnections: 36}},
		Routes: []router.Route{{Name: "open", Host: "h", Prefix: "/", Kind: router.Safe, Public: true, Timeout: time.Second, LatencyTarget: time.Second, Attempts: 1, Shares: []router.Share{{Service: "desk", Weight: 1}}}},
	})
	c.Assert(err, qt.IsNil)
	n.post(TableLoaded{table})
	d, _ := find[Dispatch](n.post(Arrived{Request{ID: 1, Host: "h", Path: "/x", Body: 100}}))
	// Six nodes share half of 36 connections.
	c.Check(d.MaxIdle, qt.Equals, 3)
	refuse, _ := find[Refuse](n.post(Arrived{Request{ID: 2, Host: "h", Path: "/x", Body: 101}}))
	c.Check(refuse.Status, qt.Equals, 413)
}

// Guards against requests that run in a region that their route or account
// does not allow.
func TestRegionsOfRouteAndAccountApply(t *testing.T) {
	c := qt.New(t)
	o := options()
	o.Regions = map[string]string{"kochi": "kerala", "delhi": "north"}
	n := &node{Director: New(o), now: start}
	route := func(name string, regions ...string) router.Route {
		return router.Route{
			Name: name, Host: "h", Prefix: "/" + name + "/", Kind: router.Safe, Timeout: time.Second, LatencyTarget: time.Second,
			Attempts: 1, Regions: regions, Shares: []router.Share{{Service: "desk", Weight: 1}},
		}
	}
	table, err := router.New(router.Definition{
		Version: 1, Services: []router.Service{{Name: "desk"}},
		Routes:   []router.Route{route("any"), route("north", "north"), route("none", "south")},
		Accounts: []router.Account{{Name: "club"}, {Name: "home", Regions: []string{"kerala"}}},
		Keys:     map[string]string{"key": "club", "homekey": "home"},
	})
	c.Assert(err, qt.IsNil)
	n.post(TableLoaded{table})
	south := entry("desk", 0)
	north := entry("desk", 1)
	north.DataCentre = "delhi"
	n.post(EntriesListed{[]registrar.Entry{south, north}})
	n.post(ViewConfirmed{n.now})
	id := uint64(0)
	send := func(path, key string) string {
		id++
		d, _ := find[Dispatch](n.post(Arrived{Request{ID: id, Name: fmt.Sprint(id), Host: "h", Path: path, Key: key, Deadline: time.Second}}))

		return d.Endpoint
	}
	for range 8 {
		c.Check(send("/north/x", "key"), qt.Equals, north.ID)
		c.Check(send("/any/x", "homekey"), qt.Equals, south.ID)
		c.Check(send("/none/x", "key"), qt.Equals, "")
		c.Check(send("/north/x", "homekey"), qt.Equals, "", qt.Commentf("both restrictions apply"))
	}
}

// Guards against other nodes that send long prompts to an engine because they
// do not know that it is prefilling one, and against a change that is reported
// twice or never.
func TestLoadChangesAreReportedOnce(t *testing.T) {
	c := qt.New(t)
	n := newNode()
	n.TakeLoad()
	n.post(Arrived{Request{
		ID: 1, Name: "long", Host: "h", Path: "/draft/1", Key: "key", Deadline: 10 * time.Second,
		Need: chooser.Need{PromptTokens: 4096},
	}})
	sent, ok := find[Dispatch](n.effects)
	c.Assert(ok, qt.IsTrue)
	number := endpointNumber(sent.Endpoint)
	c.Check(n.TakeLoadChanges(), qt.DeepEquals, encoder.LoadChange{
		Long: 1, Shifts: encoder.Shifts{{Endpoint: number, Running: 1, Chunks: 4096 / encoder.Chunk}},
	})
	c.Check(n.TakeLoadChanges(), qt.DeepEquals, encoder.LoadChange{})
	n.post(ResponseStarted{ID: 1, Wait: 100 * time.Millisecond})
	c.Check(n.TakeLoadChanges().Shifts, qt.DeepEquals, encoder.Shifts{{Endpoint: number, Chunks: -4096 / encoder.Chunk}})
	// A full sum includes the changes since the last report.
	n.post(AttemptFinished{ID: 1, Result: Answered, Status: 200})
	c.Check(n.TakeLoad().Loads, qt.HasLen, 0)
	c.Check(n.TakeLoadChanges(), qt.DeepEquals, encoder.LoadChange{})
	// The load of other nodes is applied to the listed endpoints.
	n.post(OthersLoadUpdated{encoder.LoadSum{Long: 2, Loads: []encoder.Load{{Endpoint: number, Running: 2, PrefillTokens: 512}}}})
	c.Check(n.endpoints[sent.Endpoint].load.Others, qt.Equals, chooser.Load{Running: 2, PrefillTokens: 512})
}
