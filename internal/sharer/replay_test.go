package sharer

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"snipedyke/pkg/encoder"
)

// Replay of a fleet: requests of 24 accounts arrive at random nodes and go to the engine
// with the fewest prompt tokens to prefill. An engine takes a request if no more than
// replayBound tokens wait there, and one beyond its account's share only if that is still
// so after a request like it.
const (
	replayNodes, replayEngines, replayAccounts = 12, 24, 24
	// engineRate is the prefill rate of an engine in tokens per second, and replayBound
	// what it prefills in 0.6 of a first-token target of 400 ms.
	engineRate, replayBound = 30_000, 7200
	// sumDelay is the number of seconds after which nodes know the sums of the fleet,
	// with one second each at the speakers of two data centres.
	sumDelay         = 2
	warmUp, duration = 5 * time.Second, 35 * time.Second
	// meanPrompt is the mean of the prompts that prompt returns, in tokens.
	meanPrompt = 0.9*1100 + 0.1*5000
	// largePrompt is the least size of the largest tenth of prompts.
	largePrompt = 3000
)

func prompt(r *rand.Rand) float64 {
	if r.Float64() < 0.1 {
		return largePrompt + 4000*r.Float64()
	}

	return 200 + 1800*r.Float64()
}

// weight returns an account's load relative to its usual one.
func weight(account int) float64 {
	switch account {
	case 0:
		return 7.5
	case 1, 2:
		return 6
	default:
		return 1
	}
}

const totalWeight = 7.5 + 2*6 + (replayAccounts - 3)

// tally counts requests and their tokens.
type tally struct{ requests, served, tokens, servedTokens float64 }

func (t *tally) add(tokens float64, served bool) {
	t.requests++
	t.tokens += tokens
	if served {
		t.served++
		t.servedTokens += tokens
	}
}

func (t tally) share() float64 { return t.served / t.requests }

type result struct {
	accounts                  [replayAccounts]tally
	all, others, three, large tally
	// jumps counts how often a node's share of the largest account has changed by more
	// than a quarter from one second to the next.
	jumps int
}

// replay runs the fleet at a multiple of its capacity. cut separates every third node
// and engine from the rest. With fair unset, all requests count as within their share.
func replay(load float64, cut, fair bool, seed uint64) result {
	r := rand.New(rand.NewPCG(seed, 1))
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	end, measured := now.Add(duration), now.Add(warmUp)
	part := func(i int) int {
		if cut && i%3 == 0 {
			return 1
		}

		return 0
	}
	nodes := make([]*Sharer, replayNodes)
	for i := range nodes {
		nodes[i] = New()
	}
	former := make([]float64, replayNodes)
	// sums holds the demands of each part by second.
	var sums [][2][]encoder.Demand
	// free is the time at which an engine has prefilled all its prompts.
	free := make([]time.Time, replayEngines)
	var res result
	nextSum := now
	for id := uint64(0); ; id++ {
		now = now.Add(time.Duration(r.ExpFloat64() * float64(time.Second) * meanPrompt / (load * replayEngines * engineRate)))
		if now.After(end) {
			return res
		}
		if !now.Before(nextSum) {
			nextSum = nextSum.Add(time.Second)
			var lists [2][]encoder.Demand
			for i, n := range nodes {
				lists[part(i)] = append(lists[part(i)], n.Own(now)...)
			}
			sums = append(sums, lists)
			for i, n := range nodes {
				if len(sums) > sumDelay {
					n.SetFleet(now, sums[len(sums)-1-sumDelay][part(i)])
				}
				share := n.Share(now, Key{1, 1})
				if now.After(measured) && math.Abs(share-former[i]) > 0.25 {
					res.jumps++
				}
				former[i] = share
			}
		}
		account, x := 0, r.Float64()*totalWeight
		for x -= weight(account); x > 0 && account < replayAccounts-1; x -= weight(account) {
			account++
		}
		tokens, node := prompt(r), r.IntN(replayNodes)
		key := Key{1, uint32(account + 1)}
		nodes[node].Record(now, key, tokens, false)
		within := !fair || position(id) < nodes[node].Share(now, key)
		engine := -1
		for e := range free {
			if part(e) == part(node) && (engine < 0 || free[e].Before(free[engine])) {
				engine = e
			}
		}
		pending := max(free[engine].Sub(now).Seconds(), 0) * engineRate
		if !within {
			pending += tokens
		}
		served := pending <= replayBound
		if served {
			nodes[node].Record(now, key, tokens, true)
			if free[engine].Before(now) {
				free[engine] = now
			}
			free[engine] = free[engine].Add(time.Duration(tokens / engineRate * float64(time.Second)))
		}
		if now.Before(measured) {
			continue
		}
		res.all.add(tokens, served)
		res.accounts[account].add(tokens, served)
		if tokens >= largePrompt {
			res.large.add(tokens, served)
		}
		if account < 3 {
			res.three.add(tokens, served)
		} else {
			res.others.add(tokens, served)
		}
	}
}

// position maps a request to a number from 0 to less than 1, like the hash of its name.
func position(id uint64) float64 {
	id = (id ^ id>>30) * 0xbf58476d1ce4e5b9
	id = (id ^ id>>27) * 0x94d049bb133111eb

	return float64((id^id>>31)>>11) / (1 << 53)
}

// maxMin returns the fraction of the others' demand that is within a max-min fair
// allocation at a multiple of the capacity.
func maxMin(load float64) float64 {
	low, high := 0.0, 1.0
	for range 60 {
		level, used := (low+high)/2, 0.0
		for a := range replayAccounts {
			used += min(level, load*weight(a)/totalWeight)
		}
		if used < 1 {
			low = level
		} else {
			high = level
		}
	}

	return min(low/(load/totalWeight), 1)
}

// Guards against accounts that lose their capacity to others that send a multiple of
// their usual load, against a part that refuses what there is room for or that reacts to
// its own refusals, and against accounts or large requests that are starved.
func TestOtherAccountsKeepTheirShare(t *testing.T) {
	c := qt.New(t)
	t.Log("load  cut    others: without  with  max-min   three: without  with   all: without  with   largest tenth: with   tokens: with/without  jumps")
	for _, cut := range []bool{false, true} {
		for _, load := range []float64{0.8, 1.05, 1.2, 2, 3} {
			for seed := range uint64(3) {
				without, with := replay(load, cut, false, seed), replay(load, cut, true, seed)
				name := qt.Commentf("%s", fmt.Sprintf("load %.1f, cut %t, seed %d", load, cut, seed))
				t.Logf("%.2f  %-5t          %.3f  %.3f    %.3f           %.3f  %.3f         %.3f  %.3f                   %.3f                 %.3f         %d", load, cut,
					without.others.share(), with.others.share(), maxMin(load), without.three.share(), with.three.share(),
					without.all.share(), with.all.share(), with.large.share(), with.all.servedTokens/without.all.servedTokens, with.jumps)
				if load < 1 {
					for a := range with.accounts {
						c.Check(with.accounts[a].served >= without.accounts[a].served, qt.IsTrue, name)
					}

					continue
				}
				c.Check(with.others.share() >= maxMin(load)-0.05, qt.IsTrue, name)
				// A spiral of refusals would leave capacity unused.
				c.Check(with.all.servedTokens >= sufficient*without.all.servedTokens, qt.IsTrue, name)
				seconds := int((duration - warmUp) / time.Second)
				c.Check(with.jumps <= replayNodes*seconds/5, qt.IsTrue, name)
				c.Check(with.large.share() >= with.all.share()/2, qt.IsTrue, name)
				mean := with.all.servedTokens / replayAccounts
				for a, got := range with.accounts {
					c.Check(got.servedTokens >= min(got.tokens, mean)/4, qt.IsTrue, qt.Commentf("%s: account %d got %.0f of a mean of %.0f", name, a, got.servedTokens, mean))
				}
			}
		}
	}
}
