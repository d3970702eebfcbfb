package director

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"snipedyke/internal/chooser"
	"snipedyke/internal/registrar"
)

// timedCall is a call at a time of a simulation.
type timedCall struct {
	at   time.Time
	call func()
}

type timedCalls []timedCall

func (q timedCalls) Len() int           { return len(q) }
func (q timedCalls) Less(i, j int) bool { return q[i].at.Before(q[j].at) }
func (q timedCalls) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *timedCalls) Push(x any)        { *q = append(*q, x.(timedCall)) }

func (q *timedCalls) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]

	return last
}

// harmfulPart is the prompt part that crashes the engines of a crashingFleet.
const harmfulPart = 99

// crashingFleet simulates nodes and engines. An engine answers after 300 ms,
// but crashes if the prompt has the harmful part, and is back after 3 s.
type crashingFleet struct {
	now     time.Time
	calls   timedCalls
	nodes   []*node
	backAt  map[string]time.Time
	running map[string]map[uint64]*node
	harmful map[uint64]bool
	// begins reports whether engines begin the answers to harmful requests, 100 ms
	// before they crash.
	begins bool
	// crashes and harmfulRuns hold the times of crashes and of dispatches with
	// the harmful part. begun counts the answers to sound requests.
	crashes, harmfulRuns []time.Time
	begun                int
}

func (f *crashingFleet) after(d time.Duration, call func()) {
	heap.Push(&f.calls, timedCall{f.now.Add(d), call})
}

func (f *crashingFleet) post(n *node, e Event) {
	n.now = f.now
	for _, effect := range n.post(e) {
		if d, ok := effect.(Dispatch); ok {
			f.dispatch(n, d)
		}
	}
}

func (f *crashingFleet) dispatch(n *node, d Dispatch) {
	if f.now.Before(f.backAt[d.Endpoint]) {
		f.after(time.Millisecond, func() { f.post(n, AttemptFinished{ID: d.ID, Result: Unreached}) })

		return
	}
	if f.running[d.Endpoint] == nil {
		f.running[d.Endpoint] = map[uint64]*node{}
	}
	f.running[d.Endpoint][d.ID] = n
	if f.harmful[d.ID] {
		f.harmfulRuns = append(f.harmfulRuns, f.now)
	}
	if f.begins && f.harmful[d.ID] {
		f.after(200*time.Millisecond, func() {
			if f.running[d.Endpoint][d.ID] == n {
				f.post(n, ResponseStarted{ID: d.ID, Wait: 200 * time.Millisecond})
			}
		})
	}
	f.after(300*time.Millisecond, func() {
		switch {
		case f.running[d.Endpoint][d.ID] != n:
		case f.harmful[d.ID]:
			f.crash(d.Endpoint)
		default:
			f.begun++
			f.post(n, ResponseStarted{ID: d.ID, Wait: 300 * time.Millisecond})
			delete(f.running[d.Endpoint], d.ID)
			f.post(n, AttemptFinished{ID: d.ID, Result: Answered, Status: 200, Relayed: true, Took: 300 * time.Millisecond})
		}
	})
}

func (f *crashingFleet) crash(endpoint string) {
	f.crashes = append(f.crashes, f.now)
	f.backAt[endpoint] = f.now.Add(3 * time.Second)
	ids := make([]uint64, 0, len(f.running[endpoint]))
	for id := range f.running[endpoint] {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		n := f.running[endpoint][id]
		delete(f.running[endpoint], id)
		f.post(n, AttemptFinished{ID: id, Result: Broken, Relayed: f.begins && f.harmful[id], Cause: "EOF"})
	}
}

// Guards against a prompt part that crashes engine after engine because no node
// remembers it, or each node only its own crashes (day "tainted"). The users'
// bound is three requests, sent later than 3 s after the fifth crash.
func TestRequestsWithHarmfulPartReachFewEngines(t *testing.T) {
	for seed := range uint64(20) {
		begins := seed >= 10
		t.Run(fmt.Sprint("seed ", seed%10, " begins ", begins), func(t *testing.T) {
			c := qt.New(t)
			rng := rand.New(rand.NewPCG(seed%10, 1))
			f := &crashingFleet{
				begins: begins,
				now:    start.Add(discoveryPeriod), backAt: map[string]time.Time{},
				running: map[string]map[uint64]*node{}, harmful: map[uint64]bool{},
			}
			entries := make([]registrar.Entry, 0, 9)
			for i := range 9 {
				entries = append(entries, entry("model", i))
			}
			for range 6 {
				n := newNode()
				n.post(EntriesListed{entries})
				f.nodes = append(f.nodes, n)
			}
			end := f.now.Add(22 * time.Second)
			soundLate := 0
			for id, at := uint64(1), f.now; at.Before(end); id++ {
				at = at.Add(time.Duration(rng.ExpFloat64() * float64(time.Second) / 30))
				parts := []uint64{1 + rng.Uint64N(4), 10 + rng.Uint64N(80)}
				if f.harmful[id] = rng.Float64() < 0.05; f.harmful[id] {
					parts = slices.Insert(parts, int(rng.Uint64N(3)), harmfulPart)
				} else if end.Sub(at) < 10*time.Second {
					soundLate++
				}
				n := f.nodes[rng.IntN(len(f.nodes))]
				heap.Push(&f.calls, timedCall{at, func() {
					f.post(n, ViewConfirmed{f.now})
					f.post(n, Arrived{Request{
						ID: id, Name: fmt.Sprint(id), Host: "h", Path: "/draft/1", Key: "key", Deadline: 5 * time.Second,
						Need: chooser.Need{PromptTokens: 9000, SharedParts: parts, SharedHash: parts[len(parts)-1], SharedTokens: 6300},
					}})
				}})
			}
			// Nodes hear of each other within 0.6 s.
			for at := f.now; at.Before(end); at = at.Add(200 * time.Millisecond) {
				heap.Push(&f.calls, timedCall{at, func() {
					for _, n := range f.nodes {
						f.post(n, Ticked{})
						list := n.Crashes(f.now)
						for _, other := range f.nodes {
							if other != n {
								f.after(600*time.Millisecond, func() { f.post(other, CrashesObserved{list}) })
							}
						}
					}
				}})
			}
			begunBefore := 0
			for len(f.calls) > 0 {
				next := heap.Pop(&f.calls).(timedCall)
				f.now = next.at
				next.call()
				if end.Sub(f.now) >= 10*time.Second {
					begunBefore = f.begun
				}
			}
			if len(f.crashes) >= 5 {
				bound, late := f.crashes[4].Add(3*time.Second), 0
				for _, at := range f.harmfulRuns {
					if at.After(bound) {
						late++
					}
				}
				c.Check(late <= 3, qt.IsTrue, qt.Commentf("%d requests with the part after the fifth of %d crashes", late, len(f.crashes)))
			}
			c.Check(f.begun-begunBefore >= soundLate/2, qt.IsTrue, qt.Commentf("%d of %d sound requests answered in the last 10 s", f.begun-begunBefore, soundLate))
		})
	}
}
