package router

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"runtime"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func definition() Definition {
	return Definition{
		Version:  3,
		Services: []Service{{Name: "old"}, {Name: "new"}},
		Routes: []Route{
			{Name: "all", Host: "a.example", Prefix: "/", Attempts: 1, Shares: []Share{{"old", 1}}},
			{Name: "deep", Host: "a.example", Prefix: "/x/y/", Attempts: 1, Shares: []Share{{"old", 9}, {"new", 1}}},
			{Name: "flat", Host: "a.example", Prefix: "/x/", Attempts: 1, Shares: []Share{{"new", 1}}},
		},
		Accounts: []Account{{Name: "club"}},
		Keys:     map[string]string{"k1": "club"},
	}
}

// Guards against a short prefix that hides a longer one, and against a prefix
// that matches only part of a path segment.
func TestLongestPrefixWins(t *testing.T) {
	c := qt.New(t)
	table, err := New(definition())
	c.Assert(err, qt.IsNil)
	for path, want := range map[string]string{
		"/x/y/z": "deep", "/x/y": "flat", "/x/yy/z": "flat", "/x": "all", "/": "all", "/other/x/y/": "all",
	} {
		c.Check(table.Route("a.example", path).Name, qt.Equals, want, qt.Commentf("path %s", path))
	}
	c.Check(table.Route("A.EXAMPLE", "/x/").Name, qt.Equals, "flat")
	c.Check(table.Route("b.example", "/x/"), qt.IsNil)
	c.Check(table.Account("k1").Name, qt.Equals, "club")
	c.Check(table.Account("k2"), qt.IsNil)
}

// Guards against a distribution that ignores the weights, and against a
// repeated request that goes to another service.
func TestServiceFollowsWeights(t *testing.T) {
	c := qt.New(t)
	table, err := New(definition())
	c.Assert(err, qt.IsNil)
	route := table.Route("a.example", "/x/y/")
	newCount := 0
	const requests = 10000
	for i := range requests {
		id := fmt.Sprint("request-", i)
		service := route.Service(id)
		c.Assert(route.Service(id), qt.Equals, service)
		if service == "new" {
			newCount++
		}
	}
	c.Check(newCount > requests*8/100 && newCount < requests*12/100, qt.IsTrue, qt.Commentf("%d of %d", newCount, requests))
}

// Guards against a table that is accepted but fails on its first request.
func TestInvalidDefinitionsAreRejected(t *testing.T) {
	c := qt.New(t)
	for name, corrupt := range map[string]func(*Definition){
		"prefix":   func(d *Definition) { d.Routes[0].Prefix = "/x" },
		"attempts": func(d *Definition) { d.Routes[0].Attempts = 0 },
		"shares":   func(d *Definition) { d.Routes[0].Shares = nil },
		"service":  func(d *Definition) { d.Routes[0].Shares = []Share{{"none", 1}} },
		"account":  func(d *Definition) { d.Keys["k2"] = "none" },
	} {
		d := definition()
		corrupt(&d)
		_, err := New(d)
		var e *Error
		c.Check(errors.As(err, &e), qt.IsTrue, qt.Commentf("%s: %v", name, err))
	}
}

// Guards against a second run of requests that may run only once.
func TestRepeatable(t *testing.T) {
	c := qt.New(t)
	c.Check((&Route{Kind: Unsafe}).Repeatable(), qt.IsFalse)
	c.Check((&Route{Kind: Safe}).Repeatable(), qt.IsTrue)
	c.Check((&Route{Kind: Stream}).Repeatable(), qt.IsFalse)
	c.Check((&Route{Kind: Stream, Resumable: true}).Repeatable(), qt.IsTrue)
	c.Check((&Route{Kind: Unsafe, Resumable: true}).Repeatable(), qt.IsFalse)
}

// Guards against a less urgent route that ranks before a more urgent one among
// accounts of the same priority. Engines preempt the newest of their least
// urgent requests; in run scale-2 of the enlarged prati-rota site this affected
// 42 requests.
func TestUrgencyRanksAccountsThenRoutes(t *testing.T) {
	c := qt.New(t)
	d := definition()
	for i, p := range []int{4, 0, 2} {
		d.Routes[i].Priority = p
	}
	high, low := 1, 7
	d.Accounts = []Account{{Name: "club"}, {Name: "high", Priority: &high}, {Name: "low", Priority: &low}}
	table, err := New(d)
	c.Assert(err, qt.IsNil)
	ranks := make([]int, 0, 6)
	for _, account := range []*Account{&d.Accounts[1], &d.Accounts[2]} {
		for _, path := range []string{"/x/y/", "/x/", "/"} {
			ranks = append(ranks, table.Urgency(table.Route("a.example", path), account))
		}
	}
	c.Check(ranks, qt.DeepEquals, []int{0, 1, 2, 3, 4, 5})
	c.Check(table.Urgency(table.Route("a.example", "/"), &d.Accounts[0]), qt.Equals, 2)
	c.Check(table.Urgency(table.Route("a.example", "/"), nil), qt.Equals, 2)
}

// Guards against requests in progress that keep the whole table of a former version in
// memory, so that a series of changes of a large table uses up the memory of the host.
func TestRequestsDoNotKeepFormerTables(t *testing.T) {
	c := qt.New(t)
	const routes, versions, allowed = 5000, 40, 4 << 20
	heap := func() int64 {
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)

		return int64(m.HeapAlloc)
	}
	before := heap()
	kept := make([]any, 0, 3*versions)
	for range versions {
		d := definition()
		for i := range routes {
			d.Routes = append(d.Routes, Route{Name: "r", Host: "b.example", Prefix: fmt.Sprintf("/%d/", i), Attempts: 1, Shares: []Share{{"old", 1}}})
			d.Accounts = append(d.Accounts, Account{Name: fmt.Sprintf("account %d", i)})
		}
		table, err := New(d)
		c.Assert(err, qt.IsNil)
		kept = append(kept, table.Route("b.example", "/7/"), table.Account("k1"), table.Service("old"))
	}
	c.Check(heap()-before < allowed, qt.IsTrue)
	runtime.KeepAlive(kept)
}

// Guards against a lookup that finds another route than a search of all routes does.
func TestRouteIsTheLongestPrefix(t *testing.T) {
	c := qt.New(t)
	rng := rand.New(rand.NewPCG(1, 0))
	path := func() string {
		var b strings.Builder
		for range rng.IntN(5) {
			b.WriteString(pick(rng, "/", "/a", "/b", "/ab", "//"))
		}

		return b.String()
	}
	for range 300 {
		d := Definition{Services: []Service{{Name: "s"}}}
		for range rng.IntN(8) {
			d.Routes = append(d.Routes, Route{Host: "h", Prefix: "/" + strings.Trim(path(), "/") + "/", Attempts: len(d.Routes) + 1, Shares: []Share{{"s", 1}}})
		}
		table, err := New(d)
		c.Assert(err, qt.IsNil)
		for range 50 {
			p := path()
			var want *Route
			for i, r := range d.Routes {
				if strings.HasPrefix(p, r.Prefix) && (want == nil || len(r.Prefix) > len(want.Prefix)) {
					want = &d.Routes[i]
				}
			}
			c.Assert(table.Route("h", p), qt.DeepEquals, want, qt.Commentf("%q of %v", p, d.Routes))
		}
	}
}

func pick(rng *rand.Rand, list ...string) string { return list[rng.IntN(len(list))] }

// Guards against a comparison of tables whose time grows with the square of the number
// of routes: it stalls a node whenever operators change a large table. The bound is some
// hundred times what the comparison takes, and a fraction of what it took.
func TestLargeTablesAreCompared(t *testing.T) {
	c := qt.New(t)
	tables := make([]*Table, 2)
	for i := range tables {
		d := definition()
		for j := range 60_000 {
			d.Routes = append(d.Routes, Route{Host: "b.example", Prefix: fmt.Sprintf("/%d/", j+i), Attempts: 1, Shares: []Share{{"old", 1}}})
		}
		var err error
		tables[i], err = New(d)
		c.Assert(err, qt.IsNil)
	}
	compared := make(chan []string, 1)
	go func() { compared <- tables[1].Rerouted(tables[0]) }()
	select {
	case services := <-compared:
		c.Check(services, qt.HasLen, 0)
	case <-time.After(10 * time.Second):
		c.Fatal("not compared in time")
	}
}
