package soaker

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/sourcegraph/conc"

	"snipedyke/platform/standin"
)

const (
	// harmfulCallers is the number of callers that send the harmful request, each once
	// in every harmfulPause on average.
	harmfulCallers = 3
	harmfulPause   = 400 * time.Millisecond
	// A crashed server starts again after minRestart to maxRestart.
	minRestart = time.Second
	maxRestart = 3 * time.Second
	// firstHarmfulCaller is the index of the first caller of the harmful request.
	firstHarmfulCaller = 700
	// A request may reach servers maxHarmfulArrivals times later than harmfulBound after
	// it has crashed harmfulCrashes.
	harmfulCrashes     = 3
	harmfulBound       = 3 * time.Second
	maxHarmfulArrivals = 3
)

// harmfulPaths lists paths of requests that crash servers, one of each kind.
var harmfulPaths = []string{
	"/safe/" + standin.CrashPath, "/unsafe/" + standin.CrashPath, "/stream/" + standin.CrashPath,
	"/resumestream/" + standin.CrashPath, "/stream/" + standin.LateCrashPath,
}

// harmfulPath returns the path of the harmful request of a seed.
func harmfulPath(seed uint64) string { return harmfulPaths[seed%uint64(len(harmfulPaths))] }

// sendHarmful sends the harmful request of the seed over and over, through all nodes,
// until ended is closed.
func (s *Soaker) sendHarmful(wg *conc.WaitGroup, ended <-chan struct{}) {
	for i := range harmfulCallers {
		c := newCaller(s, firstHarmfulCaller+i)
		c.client = c.fresh
		c.paths, c.keys, c.harmful = []string{harmfulPath(s.opts.Seed)}, []string{keptKey}, true
		c.distinct = false
		mean := int(harmfulPause.Milliseconds())
		c.minPause, c.maxPause = mean/2, mean*3/2
		wg.Go(func() { c.run(ended) })
	}
}

// handleCrash is called when a request crashes a server. It starts another one at the same
// address.
func (s *Soaker) handleCrash(server *standin.Server) {
	if !s.remove(server) {
		return
	}
	s.logFault("request crashes server "+server.ID(), -1, 0)
	s.markAllCuts(time.Second)
	s.history.MarkCrash(server.ID())
	s.restart(server)
}

// restart starts a server that has crashed again after a while.
func (s *Soaker) restart(server *standin.Server) {
	time.AfterFunc(expiryTime, func() { s.store.DeleteServer(server.ID()) })
	pause := minRestart + time.Duration(rand.Int64N(int64(maxRestart-minRestart)))
	time.AfterFunc(pause, func() {
		if !s.isClosed() {
			s.recordPublishError(s.addServerAgain(server.Addr()))
		}
	})
}

// MarkCrash records that the harmful request has crashed an endpoint just now.
func (h *History) MarkCrash(server string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.crashes = append(h.crashes, crash{server, time.Now()})
}

// crash is the end of an endpoint under the harmful request.
type crash struct {
	server string
	at     time.Time
}

// checkHarmful returns a violation if nodes have sent the harmful request to endpoints too
// often after it had crashed several. Requests of nodes that a fault affects do not count.
// The caller holds mu.
func (h *History) checkHarmful() []string {
	if len(h.crashes) < harmfulCrashes {
		return nil
	}
	slices.SortFunc(h.crashes, func(a, b crash) int { return a.at.Compare(b.at) })
	bound := h.crashes[harmfulCrashes-1].at.Add(harmfulBound)
	late := 0
	for _, a := range h.arrivals {
		o, known := h.outcomes[a.Request]
		if known && o.harmful && !a.Misdirected && a.At.After(bound) &&
			!contains(h.storeFaults[o.node], a.At) && !h.interrupted(o.node, a.At.Add(-harmfulBound), a.At) {
			late++
		}
	}
	if late <= maxHarmfulArrivals {
		return nil
	}

	return []string{fmt.Sprintf("BUDGET: a request reached servers %d times later than %s after it had crashed %d; %d crashed in all, the first at %s, the third at %s",
		late, harmfulBound, harmfulCrashes, len(h.crashes), h.crashes[0].at.Format(clock), h.crashes[harmfulCrashes-1].at.Format(clock))}
}
