package limiter

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"snipedyke/pkg/cataloguer"
	"snipedyke/pkg/encoder"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// delivery is a message in flight to a node.
type delivery struct {
	at       time.Time
	from, to int
	message  encoder.Message
}

// cluster simulates nodes whose messages take 1 ms.
type cluster struct {
	nodes       []*Limiter
	inFlight    []delivery
	now         time.Time
	finishes    map[time.Time][]int
	running     int
	admitted    int
	maxRunning  int
	partitioned bool
}

func newCluster(n int, e *cataloguer.Entry) *cluster {
	cl := &cluster{now: start, finishes: map[time.Time][]int{}}
	c := &cataloguer.Catalogue{Entries: map[string]*cataloguer.Entry{e.Name: e}}
	for i := range n {
		l := New(fmt.Sprint(i))
		l.Configure(c, n)
		cl.nodes = append(cl.nodes, l)
	}

	return cl
}

// tick advances the time by 1 ms; rate returns a node's requests per second.
func (cl *cluster) tick(rng *rand.Rand, rate func(node int) float64, hold time.Duration) {
	cl.now = cl.now.Add(time.Millisecond)
	for _, i := range cl.finishes[cl.now] {
		cl.nodes[i].Finish(cl.now, "a")
		cl.running--
	}
	delete(cl.finishes, cl.now)
	inFlight := cl.inFlight
	cl.inFlight = nil
	for _, m := range inFlight {
		if m.at.After(cl.now) {
			cl.inFlight = append(cl.inFlight, m)

			continue
		}
		switch msg := m.message.(type) {
		case *encoder.Spend:
			if b := cl.nodes[m.to].HandleSpend(cl.now, fmt.Sprint(m.from), msg); b != nil {
				cl.send(m.to, m.from, b)
			}
		case *encoder.Budget:
			cl.nodes[m.to].HandleBudget(cl.now, msg)
		}
	}
	for i, l := range cl.nodes {
		if rng.Float64() < rate(i)/1000 {
			if _, ok := l.Admit(cl.now, "a").(Admitted); ok {
				cl.admitted++
				cl.running++
				cl.maxRunning = max(cl.maxRunning, cl.running)
				end := cl.now.Add(hold)
				cl.finishes[end] = append(cl.finishes[end], i)
			}
		}
		for _, s := range l.Step(cl.now, func(string) string {
			if cl.partitioned {
				return ""
			}

			return "0"
		}) {
			cl.send(i, 0, s.Message)
		}
	}
}

func (cl *cluster) send(from, to int, m encoder.Message) {
	cl.inFlight = append(cl.inFlight, delivery{at: cl.now.Add(time.Millisecond), from: from, to: to, message: m})
}

// Guards against nodes that together exceed an entry's rate limit, or that
// leave much of it unused when the load is uneven.
func TestRateLimitHoldsAcrossNodes(t *testing.T) {
	for _, cut := range []bool{false, true} {
		t.Run(fmt.Sprintf("cut=%v", cut), func(t *testing.T) {
			c := qt.New(t)
			const rate, burst, seconds, nodes = 100, 20, 20, 8
			cl := newCluster(nodes, &cataloguer.Entry{Name: "a", Rate: rate, Burst: burst})
			cl.partitioned = cut
			rng := rand.New(rand.NewPCG(1, 2))
			for range seconds * 1000 {
				cl.tick(rng, func(i int) float64 { return float64(10 + 60*(i%2)) }, time.Millisecond)
			}
			// Each node may use one token of its static share at the start.
			c.Assert(cl.admitted <= rate*seconds+burst+nodes, qt.IsTrue, qt.Commentf("admitted %d", cl.admitted))
			if !cut {
				c.Assert(cl.admitted >= rate*seconds*95/100, qt.IsTrue, qt.Commentf("admitted %d", cl.admitted))
			}
		})
	}
}

// Guards against nodes that together exceed an entry's concurrency limit, or
// that cannot use it when one node receives all requests.
func TestConcurrencyLimitHoldsAcrossNodes(t *testing.T) {
	for _, busy := range []int{1, 8} {
		t.Run(fmt.Sprintf("busy=%d", busy), func(t *testing.T) {
			c := qt.New(t)
			const limit = 24
			cl := newCluster(8, &cataloguer.Entry{Name: "a", MaxConcurrent: limit})
			rng := rand.New(rand.NewPCG(3, 4))
			sum := 0
			for i := range 10000 {
				cl.tick(rng, func(i int) float64 {
					if i < busy {
						return 200
					}

					return 0
				}, 400*time.Millisecond)
				if i > 2000 {
					sum += cl.running
				}
			}
			c.Assert(cl.maxRunning <= limit, qt.IsTrue, qt.Commentf("%d in progress", cl.maxRunning))
			c.Assert(float64(sum)/8000 >= 0.7*limit, qt.IsTrue, qt.Commentf("mean %v", float64(sum)/8000))
		})
	}
}

// Guards against state that is kept for entries that are no longer in use.
func TestIdleEntriesAreRemoved(t *testing.T) {
	c := qt.New(t)
	cat := &cataloguer.Catalogue{Entries: map[string]*cataloguer.Entry{}}
	for i := range 12000 {
		e := &cataloguer.Entry{Name: fmt.Sprint("e", i), Rate: 10, Burst: 10, MaxConcurrent: 10}
		cat.Entries[e.Name] = e
	}
	l := New("n0")
	l.Configure(cat, 8)
	now := start
	self := func(string) string { return "n0" }
	for name := range cat.Entries {
		l.Admit(now, name)
		l.Finish(now, name)
	}
	l.Step(now, self)
	c.Assert(l.states, qt.HasLen, 12000)
	for range 100 {
		now = now.Add(100 * time.Millisecond)
		l.Step(now, self)
	}
	c.Assert(l.states, qt.HasLen, 0)
	c.Assert(l.quotas, qt.HasLen, 0)
	c.Assert(l.names, qt.HasLen, 0)
}

func BenchmarkEntries(b *testing.B) {
	for _, n := range []int{100, 12000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			cat := &cataloguer.Catalogue{Entries: map[string]*cataloguer.Entry{}}
			names := make([]string, 0, n)
			for i := range n {
				e := &cataloguer.Entry{Name: fmt.Sprint("e", i), Rate: 1e6, Burst: 1e6, MaxConcurrent: 1e6}
				cat.Entries[e.Name] = e
				names = append(names, e.Name)
			}
			var m0, m1 runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&m0)
			l := New("n0")
			l.Configure(cat, 8)
			now := start
			self := func(string) string { return "n0" }
			for _, name := range names {
				l.Admit(now, name)
				l.Finish(now, name)
			}
			l.Step(now, self)
			runtime.GC()
			runtime.ReadMemStats(&m1)
			b.ResetTimer()
			for i := range b.N {
				now = now.Add(time.Millisecond)
				l.Admit(now, names[i%n])
				l.Finish(now, names[i%n])
				l.Step(now, self)
			}
			b.ReportMetric(float64(m1.HeapAlloc-m0.HeapAlloc)/float64(n), "B/entry")
			runtime.KeepAlive(l)
		})
	}
}
