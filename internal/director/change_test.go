package director

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"snipedyke/internal/chooser"
	"snipedyke/internal/registrar"
	"snipedyke/internal/router"
	"snipedyke/pkg/encoder"
)

var changeSeeds = flag.Int("changeseeds", 10, "number of seeds of TestChangesUnderRunningRequests")

// changingNode drives a director with random events and checks the effects on
// each request.
type changingNode struct {
	*qt.C
	*rand.Rand
	*node
	version  uint64
	requests map[uint64]*changingRequest
	// open holds the requests without a final effect.
	open []uint64
	// endpoints holds all endpoints that there ever were, and reported is what
	// the other nodes have been told of their load.
	endpoints map[*endpoint]bool
	reported  map[uint32]chooser.Load
}

// changingRequest is what a caller and the endpoints know of a request.
type changingRequest struct {
	// attempt is the attempt in progress, or nil.
	attempt                          *Dispatch
	relayed, gone, cancelled, mayRun bool
	// givenUp reports whether the attempt in progress has been given up.
	givenUp bool
	// final is the effect that ended the request, or nil.
	final Effect
}

func (n *changingNode) check(effects []Effect) {
	for _, effect := range effects {
		switch e := effect.(type) {
		case Dispatch:
			r := n.requests[e.ID]
			n.Assert(r.attempt, qt.IsNil, qt.Commentf("second attempt of %d", e.ID))
			n.Assert(r.final, qt.IsNil, qt.Commentf("attempt after the end of %d", e.ID))
			n.Assert(r.gone, qt.IsFalse, qt.Commentf("attempt of %d without a caller", e.ID))
			n.Assert(r.mayRun && !e.Route.Repeatable(), qt.IsFalse, qt.Commentf("%d may run twice", e.ID))
			n.Assert(e.Resume, qt.Equals, r.relayed)
			r.attempt = &e
		case Refuse:
			r := n.end(e.ID, e)
			n.Assert(r.relayed, qt.IsFalse, qt.Commentf("%d was refused within its answer", e.ID))
			n.Assert(e.Status == 503 && r.mayRun, qt.IsFalse, qt.Commentf("%d may have run", e.ID))
		case Relay:
			n.end(e.ID, e)
		case Abort:
			r := n.end(e.ID, e)
			n.Assert(r.relayed || r.gone, qt.IsTrue, qt.Commentf("%d was aborted before its answer", e.ID))
		case GiveUp:
			r := n.requests[e.ID]
			n.Assert(r.attempt, qt.IsNotNil)
			n.Assert(r.givenUp || r.gone || !r.attempt.Route.Repeatable(), qt.IsFalse, qt.Commentf("%d was given up", e.ID))
			r.givenUp = true
		case Cancel:
			n.Assert(n.requests[e.ID].attempt, qt.IsNotNil)
			n.requests[e.ID].cancelled = true
		}
	}
	for _, e := range n.node.endpoints {
		n.endpoints[e] = true
	}
}

// end records the final effect of a request.
func (n *changingNode) end(id uint64, e Effect) *changingRequest {
	r := n.requests[id]
	n.Assert(r.attempt, qt.IsNil, qt.Commentf("request %d ended during an attempt", id))
	n.Assert(r.final, qt.IsNil, qt.Commentf("request %d ended twice", id))
	r.final = e

	return r
}

// pick returns one of the values.
func pick[T any](r *rand.Rand, values ...T) T { return values[r.IntN(len(values))] }

// changedTable returns a table that lacks some routes, services, engines and
// keys of others, and differs in limits.
func (n *changingNode) changedTable() *router.Table {
	n.version++
	d := router.Definition{Version: n.version, MaxBodyBytes: pick(n.Rand, 0, 0, 50), Accounts: []router.Account{{Name: "club"}}, Keys: map[string]string{}}
	if n.IntN(4) > 0 {
		d.Keys["key"] = "club"
		d.Accounts[0].Priority = pick(n.Rand, nil, new(int))
		d.Accounts[0].Regions = pick(n.Rand, nil, nil, []string{"north"})
	}
	var services []string
	for _, name := range []string{"desk", "model", "other"} {
		s := router.Service{Name: name, MaxConnections: pick(n.Rand, 0, 36), ColdPeriod: time.Second, ColdRate: pick(n.Rand, 0.0, 10)}
		if n.IntN(2) == 0 {
			s.Engine = &router.Engine{Slots: pick(n.Rand, 0, 1, 4)}
		}
		if n.IntN(4) > 0 || name == "other" {
			d.Services, services = append(d.Services, s), append(services, name)
		}
	}
	for i, prefix := range []string{"/pay/", "/look/", "/chat/", "/draft/"} {
		if n.IntN(5) == 0 {
			continue
		}
		d.Routes = append(d.Routes, router.Route{
			Name: prefix, Host: "h", Prefix: prefix, Kind: pick(n.Rand, router.Unsafe, router.Safe, router.Stream, router.Stream),
			Resumable: n.IntN(2) == 0, Public: n.IntN(2) == 0, Priority: n.IntN(3), Attempts: 1 + n.IntN(3),
			Timeout: pick(n.Rand, 100*time.Millisecond, time.Second, 6*time.Second), LatencyTarget: pick(n.Rand, 100*time.Millisecond, 800*time.Millisecond),
			MaxPause: pick(n.Rand, 0, 150*time.Millisecond), Shares: []router.Share{{Service: services[(i+n.IntN(2))%len(services)], Weight: 1}},
		})
	}
	t, err := router.New(d)
	n.Assert(err, qt.IsNil)

	return t
}

// step posts a random event.
func (n *changingNode) step() {
	n.now = n.now.Add(time.Duration(n.IntN(30)) * time.Millisecond)
	e := entry(pick(n.Rand, "desk", "model", "other"), n.IntN(3))
	e.Draining, e.Born, e.DataCentre = n.IntN(4) == 0, int64(n.IntN(3)), pick(n.Rand, "kochi", "kochi", "delhi")
	e.Cold = pick(n.Rand, 0, 0, time.Second)
	switch n.IntN(16) {
	case 0, 1, 2:
		id := uint64(len(n.requests) + 1)
		n.requests[id] = &changingRequest{}
		n.open = append(n.open, id)
		need := chooser.Need{PromptTokens: pick(n.Rand, 0, 300, 9000), SharedTokens: pick(n.Rand, 0, 200), SharedHash: uint64(n.IntN(3))}
		need.SharedParts = []uint64{need.SharedHash}
		n.check(n.post(Arrived{Request{
			ID: id, Name: fmt.Sprint(id), Host: "h", Path: pick(n.Rand, "/pay/", "/look/", "/chat/", "/draft/"), Key: pick(n.Rand, "key", "key", "none"),
			Body: n.IntN(60), Deadline: pick(n.Rand, 0, 50*time.Millisecond, 3*time.Second), Need: need,
		}}))
	case 3, 4, 5, 6, 7:
		n.progress()
	case 8:
		if len(n.open) > 0 {
			id := pick(n.Rand, n.open...)
			n.requests[id].gone = n.requests[id].final == nil
			n.check(n.post(CallerDisconnected{id}))
		}
	case 9:
		n.check(n.post(TableLoaded{n.changedTable()}))
	case 10:
		n.check(n.post(EntryPut{e}))
	case 11:
		n.check(n.post(EntryRemoved{e.ID}))
	case 12:
		n.check(n.post(pick[Event](n.Rand, Ticked{}, CentresOut{}, CentresOut{[]string{"delhi"}}, EntriesListed{[]registrar.Entry{e}})))
	case 13:
		n.check(n.post(pick[Event](n.Rand, ViewLost{"test"}, ViewReachable{n.now}, ViewConfirmed{n.now}, ViewConfirmed{n.now})))
	case 14:
		changed := options()
		changed.Regions = pick(n.Rand, options().Regions, map[string]string{"kochi": "north"}, nil)
		changed.KeyLease = pick(n.Rand, changed.KeyLease, time.Millisecond)
		n.check(n.post(OptionsChanged{changed}))
	case 15:
		n.report()
	}
}

// progress posts the next event of a random attempt.
func (n *changingNode) progress() {
	if len(n.open) == 0 {
		return
	}
	i := n.IntN(len(n.open))
	id := n.open[i]
	r := n.requests[id]
	switch {
	case r.final != nil:
		n.open = append(n.open[:i], n.open[i+1:]...)
	case r.attempt != nil && r.attempt.Route.Kind == router.Stream && !r.relayed && n.IntN(2) == 0:
		r.relayed = true
		n.check(n.post(ResponseStarted{ID: id, Wait: time.Duration(n.IntN(200)) * time.Millisecond}))
	case r.givenUp:
		n.finish(id, TimedOut)
	case r.attempt != nil && n.IntN(3) == 0:
		n.check(n.post(AttemptStalled{ID: id, Silent: time.Second, Relayed: r.relayed}))
	case r.attempt != nil:
		n.finish(id, pick(n.Rand, Answered, Declined, Misdirected, Unreached, Unsent, Broken, TimedOut))
	case n.NeedsTick():
		n.check(n.post(Ticked{}))
	default:
		n.Fatalf("request %d has no answer, attempt or place among the waiting", id)
	}
}

// finish ends the attempt in progress.
func (n *changingNode) finish(id uint64, result Result) {
	r := n.requests[id]
	if r.cancelled && result != Answered {
		result = Cancelled
	}
	r.attempt, r.givenUp = nil, false
	r.mayRun = r.mayRun || result == Broken || result == TimedOut
	n.check(n.post(AttemptFinished{ID: id, Result: result, Status: pick(n.Rand, 200, 200, 500), Relayed: r.relayed, Took: 100 * time.Millisecond}))
}

// report takes the load as the other nodes receive it.
func (n *changingNode) report() {
	if n.IntN(2) == 0 {
		clear(n.reported)
		for _, l := range n.TakeLoad().Loads {
			n.reported[l.Endpoint] = chooser.Load{Running: int(l.Running), PrefillTokens: float64(l.PrefillTokens)}
		}

		return
	}
	for _, s := range n.TakeLoadChanges().Shifts {
		l := n.reported[s.Endpoint]
		n.reported[s.Endpoint] = chooser.Load{Running: l.Running + s.Running, PrefillTokens: l.PrefillTokens + float64(s.Chunks*encoder.Chunk)}
	}
}

// Guards against requests that get no answer or several while routes, services,
// engines, keys and endpoints change, and against load that remains afterwards.
func TestChangesUnderRunningRequests(t *testing.T) {
	for seed := range *changeSeeds {
		t.Run(fmt.Sprint("seed=", seed), func(t *testing.T) {
			n := &changingNode{
				C: qt.New(t), Rand: rand.New(rand.NewPCG(uint64(seed), 0)), node: newNode(), version: 1,
				requests: map[uint64]*changingRequest{}, endpoints: map[*endpoint]bool{}, reported: map[uint32]chooser.Load{},
			}
			for range 3000 {
				n.step()
			}
			n.now = n.now.Add(time.Hour)
			n.check(n.post(Ticked{}))
			for len(n.open) > 0 {
				n.progress()
			}
			n.Check(n.Active(), qt.Equals, 0)
			n.Check(n.waiting, qt.HasLen, 0)
			for e := range n.endpoints {
				n.Check(e.load.Own, qt.Equals, chooser.Load{}, qt.Commentf("%s", e.entry.ID))
			}
			for _, s := range n.services {
				s.splitter.Choose(n.now, chooser.Need{}, 0, []*chooser.Engine{chooser.NewEngine("x", true)})
				long, short := s.splitter.Running()
				n.Check([]int{long, short}, qt.DeepEquals, []int{0, 0}, qt.Commentf("%s", s.name))
			}
			n.report()
			for number, l := range n.reported {
				n.Check(l.Running, qt.Equals, 0, qt.Commentf("load reported for endpoint %d", number))
			}
		})
	}
}
