// Package chooser places requests on endpoints.
//
// It answers the load pattern of long prompts beside streamed answers: an
// engine reads a prompt in chunks between the tokens of its other requests, so
// that each long prompt lengthens the pauses of all streams beside it, and a
// prompt part that is read again on another engine costs as much as the part
// itself. Long prompts and short ones therefore go to disjoint engines, whose
// numbers follow the work of both, and prompts that share their parts go to the
// same few engines.
//
// A node knows its own requests at once and those of the other nodes some tens
// of milliseconds late. All nodes split the engines by the same sums and
// rank them by the same hashes, so that they agree.
package chooser

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Need is what a request needs of an engine.
type Need struct {
	// Prompt is the number of tokens of the prompt.
	Prompt int
	// Shared is the hash of the last part of the prompt that other requests
	// share, or zero, and Reused the tokens of all parts up to it.
	Shared uint64
	Reused int
	// Seed differs between requests; it deals the requests of all nodes to
	// different engines.
	Seed uint64
	// Urgency is the rank of the request's route, 0 first.
	Urgency int
}

// longPrompt is the number of prompt tokens from which a request counts as long:
// an engine takes several steps to read it.
const longPrompt = 2048

// Long tells whether the request belongs to the group of long prompts.
func (n Need) Long() bool { return n.Prompt >= longPrompt }

// Unread returns the prompt tokens that are read if the shared parts are
// cached.
func (n Need) Unread() float64 { return float64(max(n.Prompt-n.Reused, 0)) }

// Engine is what a node knows of the load of one engine. The zero value of
// all but ID and Near is an idle engine.
type Engine struct {
	ID string
	// Near tells that the engine is in the node's data centre.
	Near bool
	// Own is the load of the node's own requests, and Others that of the other
	// nodes' as far as it is known.
	Own, Others Load
	// Penalty is at least 0; it multiplies the load of an endpoint that is slow
	// or fails requests by 1 + Penalty.
	Penalty float64

	hash uint64
	// long tells that the engine took long prompts in the last choice, and
	// crowded is when it was last known to have some to read.
	long    bool
	crowded time.Time
}

// NewEngine returns an idle engine.
func NewEngine(id string, near bool) *Engine {
	return &Engine{ID: id, Near: near, hash: xxhash.Sum64String(id)}
}

// Load is the load of some requests at an engine.
type Load struct {
	// Running is the number of requests.
	Running int
	// Unread is the number of prompt tokens that are not cached, of the requests
	// without a first token.
	Unread float64
}

// Running returns the requests of all nodes at the engine.
func (e *Engine) Running() int { return e.Own.Running + e.Others.Running }

// Unread returns the prompt tokens that the engine has yet to read.
func (e *Engine) Unread() float64 { return e.Own.Unread + e.Others.Unread }

// load returns the load that the choice compares.
func (e *Engine) load() float64 {
	return (runningLoad*float64(e.Running()) + e.Unread()/unreadScale) * (1 + e.Penalty)
}

const (
	// runningLoad is the load of a running request.
	runningLoad = 0.5
	// unreadScale is the number of prompt tokens to read that are a load of 1.
	unreadScale = 2000
)

// crowd is the number of prompt tokens whose reading spans an event of the
// streams beside it: an engine reads 1,024 of them in a step.
const crowd = 4096

// Crowd notes that the engine has long prompts to read, if its load tells so.
func (e *Engine) Crowd(now time.Time) {
	if e.long && e.Unread() >= crowd {
		e.crowded = now
	}
}

// Crowded tells whether the engine has had a long prompt to read since a time.
func (e *Engine) Crowded(since time.Time) bool { return e.crowded.After(since) }

const (
	// splitMemory is the time over which running requests are averaged. It
	// is shorter than a burst.
	splitMemory = 1500 * time.Millisecond
	// longWeight is the number of short requests that need as much of an engine
	// as one long prompt: streams share their steps, while prompts are read one
	// after another.
	longWeight = 6.0
	// slotUse is the part of an engine's slots that short requests fill before
	// they count as much of an engine as in a large batch, and largeBatch that
	// batch.
	slotUse    = 0.5
	largeBatch = 16
	// leastMean is the mean number of running requests up to which a group
	// counts as idle.
	leastMean = 0.05
	// splitInertia is the change of the split in engines that is ignored.
	splitInertia = 0.6
	// overload is the ratio of an engine's load to the mean of its group above
	// which the next engine in rank is taken.
	overload = 1.25
	// overloadSlack is added to the bound, so that few requests do not move.
	overloadSlack = 1.5
	// homes is the number of engines that hold the parts of one prompt.
	homes = 2
)

// Splitter deals the engines of a service to long and to short prompts, by the
// requests that all nodes have running: a group that gets slower has more of
// them, and so gets more engines. The zero value has seen no requests.
type Splitter struct {
	// long and short are the node's running requests, othersLong and
	// othersShort those of the other nodes.
	long, short             int
	othersLong, othersShort int
	// refused is the moving number of refused requests of the more urgent group,
	// which would run if the group had more engines, and refusedLong tells that
	// it is the one of long prompts.
	refused     float64
	refusedLong bool
	// urgencyLong and urgencyShort are the ranks of the last requests.
	urgencyLong, urgencyShort int
	// meanLong and meanShort are the moving averages of all running requests.
	meanLong, meanShort float64
	updated             time.Time
	// engines is the number of engines of long prompts in use.
	engines float64
	// used is the number of engines of long prompts in the last choice.
	used int
	// mixed is the moving share of streams whose pauses were too long, of those
	// beside long prompts, less firstMixed. together tells that the engines are
	// not dealt, as few are.
	mixed    float64
	together bool
	// sights holds the last use of each shared part.
	sights map[uint64]sight
}

// Add adds a running request, or takes it away if sign is -1.
func (s *Splitter) Add(n Need, sign int) {
	if n.Long() {
		s.long += sign
		s.urgencyLong = n.Urgency
	} else {
		s.short += sign
		s.urgencyShort = n.Urgency
	}
}

// Refuse notes a request that no engine of its group has taken on. Those of the
// less urgent group do not count: it gets what the other one leaves.
func (s *Splitter) Refuse(now time.Time, n Need) {
	s.average(now)
	long := n.Long()
	if long && s.urgencyLong > s.urgencyShort || !long && s.urgencyShort > s.urgencyLong {
		return
	}
	if long != s.refusedLong {
		s.refused, s.refusedLong = 0, long
	}
	s.refused++
}

const (
	// firstMixed is the share of spoilt streams that is assumed at first,
	// mixedWeight the weight of a new one, and together and apart are the shares
	// below which long and short prompts go to the same engines and above which
	// they go to different ones again. A split costs room for prompts, which is
	// worth less than a tenth of the streams where many share an engine.
	firstMixed    = 0.3
	mixedWeight   = 0.1
	togetherBelow = 0.1
	apartAbove    = 0.2
)

// Mixed notes whether the pauses of a stream were too long that ran beside a
// long prompt.
func (s *Splitter) Mixed(spoilt bool) {
	sample := -firstMixed
	if spoilt {
		sample++
	}
	s.mixed += mixedWeight * (sample - s.mixed)
	switch share := s.mixed + firstMixed; {
	case share < togetherBelow:
		s.together = true
	case share > apartAbove:
		s.together = false
	}
}

// Running returns the node's running requests, with those that would run.
func (s *Splitter) Running() (long, short int) {
	if s.refusedLong {
		return s.long + int(s.refused), s.short
	}

	return s.long, s.short + int(s.refused)
}

// Hear takes the running requests of the other nodes.
func (s *Splitter) Hear(long, short int) { s.othersLong, s.othersShort = long, short }

// average updates the moving averages.
func (s *Splitter) average(now time.Time) {
	keep := 0.0
	if !s.updated.IsZero() {
		keep = math.Exp(-now.Sub(s.updated).Seconds() / splitMemory.Seconds())
	}
	s.updated = now
	s.refused *= keep
	long, short := s.Running()
	s.meanLong = keep*s.meanLong + (1-keep)*float64(long+s.othersLong)
	s.meanShort = keep*s.meanShort + (1-keep)*float64(short+s.othersShort)
}

// Long returns the number of engines that long prompts had in the last choice.
func (s *Splitter) Long() int { return s.used }

// longEngines returns the number of engines of long prompts out of n. Each
// group that has work keeps an engine.
func (s *Splitter) longEngines(n, slots int) int {
	weight := longWeight
	if slots > 0 {
		weight *= min(slotUse*float64(slots)/largeBatch, 1)
	}
	long, short := s.meanLong*weight, s.meanShort
	if s.together || n < 2 || long < leastMean || short < leastMean {
		return n
	}
	want := long / (long + short) * float64(n)
	if d := want - s.engines; d > splitInertia || d < -splitInertia {
		s.engines = want
	}

	return min(max(int(s.engines+0.5), 1), n-1)
}

// smallPart is the part of a prompt up to which it does not matter whether its
// shared parts are cached.
const smallPart = 0.25

// Choice is where a request goes.
type Choice struct {
	// Engine is nil if there is none.
	Engine *Engine
	// Holder, if it is not nil, is another engine that probably keeps the parts
	// of the prompt that requests share.
	Holder *Engine
	// Cached tells that the engine keeps these parts, or that they are small.
	Cached bool
}

// Choose returns the engine for a request. It may reorder engines.
//
// slots is the number of requests that an engine runs at once, or zero.
func (s *Splitter) Choose(now time.Time, n Need, slots int, engines []*Engine) Choice {
	if len(engines) == 0 {
		return Choice{}
	}
	s.average(now)
	own, _ := s.deal(n, slots, engines)
	if n.Long() && n.Shared != 0 {
		e := chooseShared(n, own)
		last, known := s.sights[n.Shared]
		cached := known && last.engine == e.ID && now.Sub(last.at) < sightMemory

		return Choice{Engine: e, Holder: s.holder(now, n, e, engines), Cached: cached}
	}

	return Choice{Engine: draw(n, own), Cached: float64(n.Reused) < smallPart*float64(n.Prompt)}
}

// Spill returns an engine of the other group, or nil. It is for requests of the
// more urgent group that their own engines cannot take on.
func (s *Splitter) Spill(n Need, slots int, engines []*Engine) *Engine {
	_, other := s.deal(n, slots, engines)
	if len(other) == 0 {
		return nil
	}

	return draw(n, other)
}

// Urgent tells whether the request belongs to the group that goes first.
func (s *Splitter) Urgent(n Need) bool {
	if n.Long() {
		return n.Urgency < s.urgencyShort
	}

	return n.Urgency < s.urgencyLong
}

// deal returns the engines of the request's group and those of the other one.
// It reorders engines.
func (s *Splitter) deal(n Need, slots int, engines []*Engine) (own, other []*Engine) {
	slices.SortFunc(engines, func(a, b *Engine) int {
		switch {
		case a.hash < b.hash:
			return -1
		case a.hash > b.hash:
			return 1
		default:
			return 0
		}
	})
	k := s.longEngines(len(engines), slots)
	s.used = k
	for i, e := range engines {
		e.long = i < k
	}
	switch {
	case k == len(engines):
		return engines, nil
	case n.Long():
		return engines[:k], engines[k:]
	default:
		return engines[k:], engines[:k]
	}
}

const (
	// sightMemory is how long an engine is expected to keep a part that a
	// request has used, and maxSights bounds the parts that are remembered.
	sightMemory = 10 * time.Second
	maxSights   = 4096
)

// sight is the last use of a part by the node.
type sight struct {
	engine string
	at     time.Time
}

// holder returns the engine other than e that most probably keeps the shared
// parts: the one that the node used last, else the first in rank, which other
// nodes use, and notes the use of e.
func (s *Splitter) holder(now time.Time, n Need, e *Engine, engines []*Engine) *Engine {
	var seen, first *Engine
	last, known := s.sights[n.Shared]
	known = known && now.Sub(last.at) < sightMemory
	for _, o := range engines {
		if o == e {
			continue
		}
		if known && o.ID == last.engine {
			seen = o
		}
		if first == nil || o.rank(n) > first.rank(n) {
			first = o
		}
	}
	s.see(now, n.Shared, e)
	if seen != nil {
		return seen
	}

	return first
}

// see notes the use of a part at an engine.
func (s *Splitter) see(now time.Time, part uint64, e *Engine) {
	if s.sights == nil {
		s.sights = map[uint64]sight{}
	}
	if len(s.sights) >= maxSights {
		for p, v := range s.sights {
			if now.Sub(v.at) >= sightMemory {
				delete(s.sights, p)
			}
		}
		if len(s.sights) >= maxSights {
			clear(s.sights)
		}
	}
	s.sights[part] = sight{engine: e.ID, at: now}
}

// rank orders engines for the shared parts of a request.
func (e *Engine) rank(n Need) uint64 { return mix(e.hash ^ n.Shared) }

// chooseShared returns the engine of highest rank for the shared parts whose
// load is within the bound, else the one with the least load.
func chooseShared(n Need, group []*Engine) *Engine {
	sum := 0.0
	for _, e := range group {
		sum += e.load()
	}
	bound := overload*sum/float64(len(group)) + overloadSlack
	var ranked [homes]*Engine
	for _, e := range group {
		candidate := e
		for i := range ranked {
			if ranked[i] == nil || candidate.rank(n) > ranked[i].rank(n) {
				candidate, ranked[i] = ranked[i], candidate
			}
			if candidate == nil {
				break
			}
		}
	}
	for _, e := range ranked {
		if e != nil && e.load() <= bound {
			return e
		}
	}

	return draw(n, group)
}

// nearBonus is the load that a request may add to stay in the data centre.
const nearBonus = 2

// least returns the engine with the least load.
func least(engines []*Engine) *Engine {
	var best *Engine
	lowest := 0.0
	for _, e := range engines {
		l := e.load()
		if !e.Near {
			l += nearBonus * (1 + e.Penalty)
		}
		if best == nil || l < lowest {
			best, lowest = e, l
		}
	}

	return best
}

// draws is the number of engines that a request compares. Nodes know the load
// of the others some tens of milliseconds late: if all took the engine with the
// least load, it would get the requests of that time at once.
const draws = 5

// draw returns the engine with the least load of a few.
func draw(n Need, engines []*Engine) *Engine {
	if len(engines) <= draws {
		return least(engines)
	}
	var some [draws]*Engine
	for i := range some {
		at := mix(n.Seed+uint64(i)) % uint64(len(engines)-i)
		engines[i], engines[i+int(at)] = engines[i+int(at)], engines[i]
		some[i] = engines[i]
	}

	return least(some[:])
}

// mix is the finalizer of splitmix64.
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb

	return x ^ x>>31
}
