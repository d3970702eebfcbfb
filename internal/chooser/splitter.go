package chooser

import (
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// averagingTime is the time constant of the moving averages of running
	// requests. It is shorter than a burst.
	averagingTime = 1500 * time.Millisecond
	// longWeight is the number of short requests that need as much of an engine
	// as one long prompt: streams share decoding steps, while prompts are
	// prefilled one after another.
	longWeight = 6.0
	// slotFill is the share of an engine's slots that short requests can fill,
	// and largeBatch is the batch size at which longWeight applies in full. With
	// fewer usable slots, a short request takes up more of an engine, and
	// longWeight is reduced in proportion.
	slotFill   = 0.5
	largeBatch = 16
	// idleMean is the mean number of running requests up to which a group counts
	// as idle.
	idleMean = 0.05
	// splitHysteresis is the change of the split, in engines, that is ignored.
	splitHysteresis = 0.6
	// loadBoundFactor is the ratio of an engine's load to the mean of its group
	// above which the engine next in rank is used instead.
	loadBoundFactor = 1.25
	// loadBoundSlack is added to the bound, so that requests are not moved when
	// there are only a few.
	loadBoundSlack = 1.5
	// enginesPerPart is the number of engines that cache the parts of one prompt.
	enginesPerPart = 2
)

// Splitter divides the engines of a service between long and short prompts,
// according to the running requests of all nodes: a group that gets slower has
// more running requests and so is given more engines. The zero value is ready
// to use.
type Splitter struct {
	// ownLong and ownShort count the node's running requests, and othersLong and
	// othersShort those of the other nodes.
	ownLong, ownShort       int
	othersLong, othersShort int
	// recentRefusals is a decaying count of refused requests of the more urgent
	// group, which would run if the group had more engines. refusedLong reports
	// whether that group is the one with long prompts.
	recentRefusals float64
	refusedLong    bool
	// urgencyLong and urgencyShort are the urgency ranks of the last request in
	// each group.
	urgencyLong, urgencyShort int
	// meanLong and meanShort are moving averages of the running requests of all
	// nodes.
	meanLong, meanShort float64
	updated             time.Time
	// targetLongEngines is the number of engines for long prompts, before
	// rounding.
	targetLongEngines float64
	// lastLongEngines is the number of engines for long prompts in the last
	// choice.
	lastLongEngines int
	// lateShareOffset is the moving share of streams with overlong pauses among
	// those that ran beside long prompts, minus initialLateShare. merged reports
	// whether both groups share all engines because that share is low.
	lateShareOffset float64
	merged          bool
	// partUses holds the last use of each shared prompt part.
	partUses map[uint64]partUse
}

// Clone returns an independent copy.
func (s *Splitter) Clone() Splitter {
	c := *s
	c.partUses = maps.Clone(s.partUses)

	return c
}

// AddRunning adds a running request, or removes one if sign is -1.
func (s *Splitter) AddRunning(n Need, sign int) {
	if n.Long() {
		s.ownLong += sign
		s.urgencyLong = n.Urgency
	} else {
		s.ownShort += sign
		s.urgencyShort = n.Urgency
	}
}

// NoteRefusal records a request that no engine of its group has admitted.
// Refusals of the less urgent group are ignored, because that group only gets
// the engines that the other one leaves.
func (s *Splitter) NoteRefusal(now time.Time, n Need) {
	s.updateAverages(now)
	long := n.Long()
	if long && s.urgencyLong > s.urgencyShort || !long && s.urgencyShort > s.urgencyLong {
		return
	}
	if long != s.refusedLong {
		s.recentRefusals, s.refusedLong = 0, long
	}
	s.recentRefusals++
}

const (
	// initialLateShare is the share of streams with overlong pauses that is
	// assumed at first, and lateShareWeight is the weight of a new sample. Below
	// mergeBelow, long and short prompts go to the same engines; above
	// splitAbove, they go to different ones again. A split reduces the capacity
	// for prompts. Where many streams share an engine, that is worth less than a
	// tenth of the streams.
	initialLateShare = 0.3
	lateShareWeight  = 0.1
	mergeBelow       = 0.1
	splitAbove       = 0.2
)

// NoteMixedStream records whether a stream that ran beside a long prompt had
// overlong pauses.
func (s *Splitter) NoteMixedStream(late bool) {
	sample := -initialLateShare
	if late {
		sample++
	}
	s.lateShareOffset += lateShareWeight * (sample - s.lateShareOffset)
	switch share := s.lateShareOffset + initialLateShare; {
	case share < mergeBelow:
		s.merged = true
	case share > splitAbove:
		s.merged = false
	}
}

// Running returns the node's running requests by group, including recently
// refused ones that would run if there were more engines.
func (s *Splitter) Running() (long, short int) {
	if s.refusedLong {
		return s.ownLong + int(s.recentRefusals), s.ownShort
	}

	return s.ownLong, s.ownShort + int(s.recentRefusals)
}

// SetOthers sets the numbers of running requests of the other nodes.
func (s *Splitter) SetOthers(long, short int) { s.othersLong, s.othersShort = long, short }

// updateAverages brings the moving averages up to the current time.
func (s *Splitter) updateAverages(now time.Time) {
	decay := 0.0
	if !s.updated.IsZero() {
		decay = math.Exp(-now.Sub(s.updated).Seconds() / averagingTime.Seconds())
	}
	s.updated = now
	s.recentRefusals *= decay
	long, short := s.Running()
	s.meanLong = decay*s.meanLong + (1-decay)*float64(long+s.othersLong)
	s.meanShort = decay*s.meanShort + (1-decay)*float64(short+s.othersShort)
}

// LongEngines returns the number of engines that were assigned to long prompts
// in the last choice.
func (s *Splitter) LongEngines() int { return s.lastLongEngines }

// computeLongEngines returns how many of n engines serve long prompts. It
// returns n if both groups share all engines; otherwise each group has at least
// one engine of its own.
func (s *Splitter) computeLongEngines(n, slots int) int {
	weight := longWeight
	if slots > 0 {
		weight *= min(slotFill*float64(slots)/largeBatch, 1)
	}
	long, short := s.meanLong*weight, s.meanShort
	if s.merged || n < 2 || long < idleMean || short < idleMean {
		return n
	}
	target := long / (long + short) * float64(n)
	if d := target - s.targetLongEngines; d > splitHysteresis || d < -splitHysteresis {
		s.targetLongEngines = target
	}

	return min(max(int(s.targetLongEngines+0.5), 1), n-1)
}

// negligibleShare is the share of a prompt up to which it does not matter
// whether the shared parts are cached.
const negligibleShare = 0.25

// Choice is the result of placing a request.
type Choice struct {
	// Engine is nil if no engine is available.
	Engine *Engine
	// Holder, if not nil, is another engine that probably has the shared parts of
	// the prompt in its cache.
	Holder *Engine
	// Cached reports whether the engine has cached these parts or they are too
	// small to matter.
	Cached bool
}

// Choose returns the engine for a request. It may reorder engines.
//
// slots is the maximum batch size of an engine, or zero if it is not known.
func (s *Splitter) Choose(now time.Time, n Need, slots int, engines []*Engine) Choice {
	if len(engines) == 0 {
		return Choice{}
	}
	for _, e := range engines {
		e.compared = false
	}
	s.updateAverages(now)
	own, _ := s.split(n, slots, engines)
	if n.Long() && n.SharedHash != 0 {
		e := chooseShared(n, own)
		last, known := s.partUses[n.SharedHash]
		cached := known && last.engine == e.ID && now.Sub(last.at) < partRetention

		return Choice{Engine: e, Holder: s.holder(now, n, e, engines), Cached: cached}
	}

	return Choice{Engine: leastLoadedOfSample(n, own), Cached: float64(n.SharedTokens) < negligibleShare*float64(n.PromptTokens)}
}

// ChooseSpillover returns an engine of the other group, or nil. It is meant
// for requests of the more urgent group that the engines of their own group
// cannot admit.
func (s *Splitter) ChooseSpillover(n Need, slots int, engines []*Engine) *Engine {
	_, other := s.split(n, slots, engines)
	if len(other) == 0 {
		return nil
	}

	return leastLoadedOfSample(n, other)
}

// Urgent reports whether the request belongs to the more urgent group.
func (s *Splitter) Urgent(n Need) bool {
	if n.Long() {
		return n.Urgency < s.urgencyShort
	}

	return n.Urgency < s.urgencyLong
}

// split returns the engines of the request's group and those of the other
// group. It reorders engines.
func (s *Splitter) split(n Need, slots int, engines []*Engine) (own, other []*Engine) {
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
	k := s.computeLongEngines(len(engines), slots)
	s.lastLongEngines = k
	for i, e := range engines {
		e.servesLong = i < k
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
	// partRetention is how long an engine is expected to keep a part in its cache
	// after a request has used it, and maxPartUses limits the number of parts
	// that are tracked.
	partRetention = 10 * time.Second
	maxPartUses   = 4096
)

// partUse is the node's last use of a prompt part.
type partUse struct {
	engine string
	at     time.Time
}

// holder returns the engine other than e that most probably has the shared
// parts in its cache: the one that this node used last, or else the one with
// the highest rank, which the other nodes use.
func (s *Splitter) holder(now time.Time, n Need, e *Engine, engines []*Engine) *Engine {
	var lastUsed, highest *Engine
	last, known := s.partUses[n.SharedHash]
	known = known && now.Sub(last.at) < partRetention
	for _, other := range engines {
		if other == e {
			continue
		}
		if known && other.ID == last.engine {
			lastUsed = other
		}
		if highest == nil || other.rank(n) > highest.rank(n) {
			highest = other
		}
	}
	if lastUsed != nil {
		return lastUsed
	}

	return highest
}

// RecordUse records that a request is sent to an engine, which then caches the
// shared parts of its prompt.
func (s *Splitter) RecordUse(now time.Time, n Need, e *Engine) {
	if !n.Long() || n.SharedHash == 0 {
		return
	}
	if s.partUses == nil {
		s.partUses = map[uint64]partUse{}
	}
	if len(s.partUses) >= maxPartUses {
		for p, v := range s.partUses {
			if now.Sub(v.at) >= partRetention {
				delete(s.partUses, p)
			}
		}
		if len(s.partUses) >= maxPartUses {
			clear(s.partUses)
		}
	}
	s.partUses[n.SharedHash] = partUse{engine: e.ID, at: now}
}

// rank returns the engine's rendezvous hash for the shared parts of a request.
func (e *Engine) rank(n Need) uint64 { return splitmix64(e.hash ^ n.SharedHash) }

// chooseShared returns the first of the enginesPerPart highest-ranked engines
// for the shared parts whose load is within the bound, or else the least
// loaded engine of a sample.
func chooseShared(n Need, group []*Engine) *Engine {
	sum := 0.0
	for _, e := range group {
		sum += e.weightedLoad()
	}
	bound := loadBoundFactor*sum/float64(len(group)) + loadBoundSlack
	var ranked [enginesPerPart]*Engine
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
		if e == nil {
			continue
		}
		e.compared = true
		if e.cost() <= bound {
			return e
		}
	}

	return leastLoadedOfSample(n, group)
}

// remoteLoad is the load that is added to engines in other data centres, so
// that requests stay in their own unless its engines are much busier.
const remoteLoad = 2

// leastLoaded returns the engine with the least load.
func leastLoaded(engines []*Engine) *Engine {
	var best *Engine
	lowest := 0.0
	for _, e := range engines {
		e.compared = true
		load := e.Cost()
		if best == nil || load < lowest {
			best, lowest = e, load
		}
	}

	return best
}

// sampleSize is the number of engines that a request compares. Nodes learn of
// each other's load some tens of milliseconds late: if all of them chose the
// least loaded engine, it would receive all requests of that time at once.
const sampleSize = 5

// leastLoadedOfSample returns the least loaded engine of a random sample,
// which n.Seed selects.
func leastLoadedOfSample(n Need, engines []*Engine) *Engine {
	if len(engines) <= sampleSize {
		return leastLoaded(engines)
	}
	var sample [sampleSize]*Engine
	for i := range sample {
		offset := splitmix64(n.Seed+uint64(i)) % uint64(len(engines)-i)
		engines[i], engines[i+int(offset)] = engines[i+int(offset)], engines[i]
		sample[i] = engines[i]
	}

	return leastLoaded(sample[:])
}

// splitmix64 applies the finalizer of the SplitMix64 generator.
func splitmix64(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb

	return x ^ x>>31
}
