package claimer_test

import (
	"flag"
	"fmt"
	"runtime"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"snipedyke/internal/claimer"
	"snipedyke/pkg/cataloguer"
)

var (
	schedules = flag.Int("schedules", 10_000, "number of fault schedules")
	firstSeed = flag.Int("seed", 1, "seed of the first schedule")
)

// fault is one fault of a schedule. Its function do starts the fault and returns
// a function that ends it, or nil.
type fault struct {
	name string
	// losesRecords reports whether the fault makes a node lose its records.
	losesRecords bool
	do           func(f *fleet, host string) (end func())
}

var faults = []fault{
	{"crash", true, func(f *fleet, h string) func() { f.crash(h); return func() { f.boot(h) } }},
	{"restart", true, func(f *fleet, h string) func() {
		f.crash(h)
		f.run(time.Duration(f.rng.IntN(8)) * tick)
		f.boot(h)

		return nil
	}},
	{"pause", false, func(f *fleet, h string) func() {
		f.nodes[h].pausedUntil = f.now.Add(time.Duration(50+f.rng.IntN(4000)) * time.Millisecond)
		return nil
	}},
	{"partition", false, func(f *fleet, _ string) func() {
		for _, n := range f.names {
			f.partition[n] = f.rng.IntN(2)
		}

		return func() { clear(f.partition) }
	}},
	{"isolation", false, func(f *fleet, h string) func() { f.partition[h] = 1; return func() { clear(f.partition) } }},
	{"loss", false, func(f *fleet, _ string) func() { f.loss = 0.5; return func() { f.loss = 0 } }},
	{"duplicates", false, func(f *fleet, _ string) func() {
		f.dup, f.delay = 0.5, 250*time.Millisecond
		return func() { f.dup, f.delay = 0, 3*time.Millisecond }
	}},
	{"replacement", true, func(f *fleet, h string) func() {
		hosts := slices.DeleteFunc(slices.Clone(f.hosts.Hosts), func(x cataloguer.Host) bool { return x.Name == h })
		name := fmt.Sprintf("r%d", f.hosts.Version)
		f.crash(h)
		f.publish(append(hosts, cataloguer.Host{Name: name, DataCentre: "a"}))
		f.boot(name)

		return nil
	}},
	{"leaving host", false, func(f *fleet, h string) func() {
		hosts := slices.Clone(f.hosts.Hosts)
		for i := range hosts {
			hosts[i].Leaving = hosts[i].Leaving || hosts[i].Name == h
		}
		f.publish(hosts)

		return nil
	}},
	{"graceful leave", false, func(f *fleet, h string) func() {
		n := f.nodes[h]
		if n.up {
			n.leaving = true
			n.detector.Leave(f.now)
			f.apply(n, n.claimer.Leave(f.now))
		}

		return func() {
			if !n.up {
				f.boot(h)
			}
		}
	}},
}

// runSchedule runs one or two faults while requests are sent and resent through
// random nodes. It returns the fleet and the names of the faults.
func runSchedule(seed uint64) (f *fleet, names []string) {
	f = newFleet(seed, 5)
	// Messages may be lost, delayed or duplicated at any time.
	noise := func() {
		if f.rng.IntN(2) == 0 {
			f.loss, f.dup = 0.2*f.rng.Float64(), 0.3*f.rng.Float64()
			f.delay = time.Duration(3+f.rng.IntN(150)) * time.Millisecond
		}
	}
	noise()
	keys := []string{"k0", "k1", "k2", "k3"}
	send := func() {
		f.claim(f.names[f.rng.IntN(len(f.names))], keys[min(f.rng.IntN(len(keys)), f.rng.IntN(len(keys)))])
	}
	for range f.rng.IntN(6) {
		send()
		f.run(time.Duration(f.rng.IntN(12)) * tick)
	}
	var ends []func()
	lostRecords := map[string]bool{}
	for range 1 + f.rng.IntN(2) {
		ft := faults[f.rng.IntN(len(faults))]
		live := slices.DeleteFunc(slices.Clone(f.names), func(n string) bool { return !f.nodes[n].up })
		host := live[f.rng.IntN(len(live))]
		if f.rng.IntN(4) > 0 {
			// Most faults affect a witness of a key in use, where they are most
			// likely to violate an invariant.
			subject := claimer.KeySubject("account", keys[0])
			host = f.nodes[host].detector.Witnesses(subject)[f.rng.IntN(3)]
		}
		names = append(names, ft.name+" "+host)
		if ft.losesRecords {
			lostRecords[host] = true
		}
		if end := ft.do(f, host); end != nil {
			ends = append(ends, end)
		}
		for range f.rng.IntN(8) {
			send()
			f.run(time.Duration(f.rng.IntN(20)) * tick)
		}
	}
	f.run(time.Duration(f.rng.IntN(300)) * tick)
	for _, end := range ends {
		end()
		f.run(time.Duration(f.rng.IntN(30)) * tick)
	}
	f.loss, f.dup, f.delay = 0, 0, 3*time.Millisecond
	clear(f.partition)
	for range 6 {
		send()
		f.run(time.Duration(f.rng.IntN(40)) * tick)
	}
	f.run(8 * time.Second)
	f.checkRecovery(len(lostRecords))

	return f, names
}

// checkRecovery checks that the fleet works normally after the faults have
// ended.
func (f *fleet) checkRecovery(lostRecords int) {
	f.abandonRate = 0
	var ids []uint64
	for i, name := range f.names {
		n := f.nodes[name]
		if !n.up || n.leaving {
			continue
		}
		ids = append(ids, f.claim(name, fmt.Sprintf("new%d", i)))
	}
	f.run(2 * time.Second)
	for _, id := range ids {
		v, ok := f.verdicts[id]
		if !ok {
			f.fail("no verdict for request %d after the faults", id)
		} else if v.Result != claimer.Won && (v.Result != claimer.Unverifiable || lostRecords < 2) {
			f.fail("new key is %v after the faults", v.Result)
		}
	}
}

// TestSchedules checks, under one or two faults at random times, that no key
// runs twice, that no request gets another request's answer, that the cold
// limits of all homes stay within the total, and that the fleet recovers.
func TestSchedules(t *testing.T) {
	c := qt.New(t)
	var next atomic.Int64
	var mu sync.Mutex
	var broken []string
	results := map[claimer.Result]int{}
	var group sync.WaitGroup
	for range max(1, runtime.GOMAXPROCS(0)/2) {
		group.Go(func() {
			for {
				i := int(next.Add(1)) - 1
				if i >= *schedules {
					return
				}
				seed := uint64(*firstSeed + i)
				f, names := runSchedule(seed)
				mu.Lock()
				if f.failure != "" {
					broken = append(broken, fmt.Sprintf("seed %d %v: %s", seed, names, f.failure))
				}
				for r, n := range f.results {
					results[r] += n
				}
				mu.Unlock()
			}
		})
	}
	group.Wait()
	slices.Sort(broken)
	c.Logf("verdicts: %v", results)
	c.Logf("%d schedules broken", len(broken))
	c.Check(broken[:min(10, len(broken))], qt.HasLen, 0)
}
