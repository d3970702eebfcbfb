package soaker

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/sourcegraph/conc"

	"snipedyke/platform/standin"
)

const (
	// loadSlots is the number of slots of each server. It is small, so that a burst needs
	// more slots than there are.
	loadSlots = 4
	// loadPromptTokens is the number of prompt tokens of each request.
	loadPromptTokens = 200
	// burstFactor is the number of callers of a burst for each usual caller of the account.
	burstFactor = 8
	// loadFreeTime replaces faultFreeTime, so that returnBound passes in it.
	loadFreeTime = returnBound + 2*time.Second
	// firstBurstCaller is the index of the first caller of a burst.
	firstBurstCaller = 0x1000
)

// firstResetDelay is the time before the first reset in seeds without other faults. Before
// it, nodes have had too few requests for a retry budget of their own.
const firstResetDelay = retryWindow + time.Second

// loadAccounts are the accounts in a test with load patterns. Their names are their keys.
var loadAccounts = [...]string{"account-1", "account-2", "account-3"}

// loadSettings returns the part of a node's settings that enables overload control.
func (s *Soaker) loadSettings() string {
	if !s.opts.Load && !s.opts.Brittle {
		return ""
	}

	return `"outcomes": true, "speeds": true, "accounts": true,`
}

// loadCallers returns a function that creates callers like create does, each of which
// sends for one account.
func loadCallers(create func(*Soaker, int) *caller) func(*Soaker, int) *caller {
	return func(s *Soaker, index int) *caller {
		c := create(s, index)
		c.keys = []string{loadAccounts[index%len(loadAccounts)]}

		return c
	}
}

// loadFaults injects faults that degrade servers, and bursts of accounts. It has its own
// source of random numbers, so that it does not change the schedule of other faults.
type loadFaults struct {
	*Soaker
	rng   *rand.Rand
	ended <-chan struct{}
	// other injects another fault.
	other func()
	// begun is when the callers began.
	begun time.Time
	// callers counts the callers of bursts.
	callers conc.WaitGroup
	bursts  int
	// degradedUntil holds the times until which servers degrade, and burstUntil is the
	// time until which an account bursts.
	degradedUntil map[string]time.Time
	burstUntil    time.Time
}

func newLoadFaults(s *Soaker, ended <-chan struct{}, other func()) *loadFaults {
	return &loadFaults{
		Soaker: s, rng: rand.New(rand.NewPCG(s.opts.Seed, 399)), ended: ended, other: other, begun: time.Now(),
		degradedUntil: map[string]time.Time{},
	}
}

// onlyLoad reports whether a test with load patterns has no other faults, nor releases.
// They would excuse most of what is promised under load.
func (s *Soaker) onlyLoad() bool { return s.opts.Load && s.opts.Seed/2%2 == 0 }

// inject injects a random fault and returns immediately.
func (f *loadFaults) inject() {
	// A fault is the more probable the more letters it has; a dot stands for none.
	faults := "rrreesssboooo"
	if f.onlyLoad() {
		faults = "rrrreessb...."
		if time.Since(f.begun) < firstResetDelay {
			faults = "ss.b"
		}
	}
	length := time.Duration(2000+f.rng.IntN(3000)) * time.Millisecond
	switch faults[f.rng.IntN(len(faults))] {
	case 'r':
		f.degrade(standin.Degradation{Reset: true}, length)
	case 'e':
		f.degrade(standin.Degradation{Error: true}, length)
	case 's':
		f.degrade(standin.Degradation{Slowdown: 3 + 2*f.rng.Float64()}, length)
	case 'b':
		f.burst(length)
	case 'o':
		f.other()
	}
}

// degrade degrades a random server for a time, unless half of the servers degrade
// already.
func (f *loadFaults) degrade(d standin.Degradation, length time.Duration) {
	now := time.Now()
	maps.DeleteFunc(f.degradedUntil, func(_ string, until time.Time) bool { return now.After(until) })
	f.mu.Lock()
	ids := slices.Sorted(maps.Keys(f.servers))
	server := f.servers[ids[f.rng.IntN(len(ids))]]
	f.mu.Unlock()
	if _, degrades := f.degradedUntil[server.ID()]; degrades || 2*(len(f.degradedUntil)+1) > len(ids) {
		return
	}
	f.degradedUntil[server.ID()] = now.Add(length)
	f.logFault(fmt.Sprintf("server %s %+v", server.ID(), d), -1, length)
	f.history.MarkDegraded(server.ID(), d.Reset, length)
	server.SetDegradation(d)
	time.AfterFunc(length, func() { server.SetDegradation(standin.Degradation{}) })
}

// burst makes an account send for a time with burstFactor times its usual callers in
// addition, unless one bursts already. They send long streams, which need many slots.
func (f *loadFaults) burst(length time.Duration) {
	now := time.Now()
	if now.Before(f.burstUntil) {
		return
	}
	f.burstUntil = now.Add(length)
	account := loadAccounts[f.rng.IntN(len(loadAccounts))]
	f.logFault("burst of "+account, -1, length)
	f.history.MarkBurst(account, length)
	stop := make(chan struct{})
	f.callers.Go(func() {
		select {
		case <-f.ended:
		case <-time.After(length):
		}
		close(stop)
	})
	for range burstFactor * max(f.opts.Callers/len(loadAccounts), 1) {
		c := newCaller(f.Soaker, firstBurstCaller+f.bursts)
		c.paths, c.keys = []string{"/stream/slow/", resumablePrefix + "slow/"}, []string{account}
		f.bursts++
		f.callers.Go(func() { c.run(stop) })
	}
}
