package soaker

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/sourcegraph/conc"

	"snipedyke/platform/standin"
)

const (
	// brittleSlots is the number of slots of each server in a test with brittle servers,
	// and soundQueue the number of requests that it keeps waiting while it is sound.
	// brittleWork is its processing time.
	brittleSlots = 4
	soundQueue   = 16
	brittleWork  = 100 * time.Millisecond
	// overloadFactor is the number of callers for each slot.
	overloadFactor      = 4
	firstOverloadCaller = 0x2000
	// brittleDelay is the time from which on servers are brittle, and shrinkDelay how much
	// later they keep fewer requests waiting.
	brittleDelay = 2 * time.Second
	shrinkDelay  = 3 * time.Second
	// Brittle servers may fail maxFalls times, and once more for each fallShare of them.
	maxFalls  = 2
	fallShare = 10
)

// brittle is whether servers are brittle that start, and what they then are. If ended is
// true, they remain sound.
type brittle struct {
	on, ended          bool
	maxDeclines, queue int
}

// fall is the end of a brittle endpoint that has declined too many requests, and these
// requests.
type fall struct {
	server   string
	at       time.Time
	requests []string
}

// workTime returns the processing time of a request that is not streamed.
func (s *Soaker) workTime() time.Duration {
	if s.opts.Brittle {
		return brittleWork
	}

	return serverWork
}

// overload runs callers that send more than the servers can run until ended is closed.
func (s *Soaker) overload(wg *conc.WaitGroup, ended <-chan struct{}) {
	for i := range overloadFactor * brittleSlots * s.opts.Servers {
		c := newCaller(s, firstOverloadCaller+i)
		c.keys = []string{keptKey}
		wg.Go(func() { c.run(ended) })
	}
}

// startBrittle makes all servers brittle for the rest of the test. The numbers depend on
// the seed.
func (s *Soaker) startBrittle() {
	rng := rand.New(rand.NewPCG(s.opts.Seed, 499))
	b := brittle{on: true, maxDeclines: []int{3, 6, 12, 25}[rng.IntN(4)], queue: soundQueue}
	shrunk := rng.IntN(3)
	s.history.mu.Lock()
	s.history.brittleEndpoints = s.opts.Servers
	s.history.mu.Unlock()
	set := func(b brittle) {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.closed || s.brittle.ended {
			return
		}
		s.brittle = b
		for _, server := range s.servers {
			s.limitRoom(server)
		}
	}
	time.AfterFunc(brittleDelay, func() {
		s.logFault(fmt.Sprintf("servers are brittle, %d declines", b.maxDeclines), -1, 0)
		set(b)
	})
	time.AfterFunc(brittleDelay+shrinkDelay, func() {
		b.queue = shrunk
		s.logFault(fmt.Sprintf("servers keep %d requests waiting", shrunk), -1, 0)
		set(b)
	})
}

// limitRoom sets the room of a server as it is in force. The caller holds mu.
func (s *Soaker) limitRoom(server *standin.Server) {
	if !s.brittle.on {
		server.SetSlots(brittleSlots, soundQueue)
		server.EndBrittle()

		return
	}
	server.SetSlots(brittleSlots, s.brittle.queue)
	server.SetBrittle(s.brittle.maxDeclines, func(declined []string) { s.handleFall(server, declined) })
}

// endBrittle makes all servers sound.
func (s *Soaker) endBrittle() {
	if !s.opts.Brittle {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.brittle = brittle{ended: true}
	for _, server := range s.servers {
		s.limitRoom(server)
	}
}

// handleFall is called when a brittle server fails. It starts another one at the same
// address after a while.
func (s *Soaker) handleFall(server *standin.Server, declined []string) {
	if !s.remove(server) {
		return
	}
	s.logFault("brittle server fails "+server.ID(), -1, 0)
	s.markAllCuts(time.Second)
	s.history.mu.Lock()
	s.history.falls = append(s.history.falls, fall{server.ID(), time.Now(), declined})
	s.history.mu.Unlock()
	s.restart(server)
}

// checkFalls returns a violation if brittle endpoints have failed too often because of
// nodes that no fault affected. The caller holds mu.
func (h *History) checkFalls() []string {
	h.countedFalls = 0
	for _, f := range h.falls {
		sound := 0
		for _, request := range f.requests {
			if o := h.outcomes[request]; h.undisturbed(o.node, f.at.Add(-time.Second), f.at) {
				sound++
			}
		}
		if 2*sound > len(f.requests) {
			h.countedFalls++
		}
	}
	if h.countedFalls*fallShare <= maxFalls*fallShare+h.brittleEndpoints {
		return nil
	}

	return []string{fmt.Sprintf("LIMIT: brittle endpoints have failed %d times, at most %d and a tenth of %d are allowed", h.countedFalls, maxFalls, h.brittleEndpoints)}
}
