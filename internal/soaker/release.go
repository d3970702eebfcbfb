package soaker

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"snipedyke/platform/standin"
)

// streamCallers is the number of additional callers in a test with releases. Their
// streams last half a second, so that faults hit some.
const streamCallers = 6

// releases reports whether servers of newer software versions replace the others
// during the test. Seeds that are odd have one version only.
func (s *Soaker) releases() bool { return s.opts.Seed%2 == 0 && !s.onlyLoad() }

// releaser replaces all servers by ones of a newer software version, again and again,
// and injects other faults meanwhile. It has its own source of random numbers, so
// that it does not change the schedule of injectFault.
type releaser struct {
	*Soaker
	rng     *rand.Rand
	stopped <-chan struct{}
}

func newReleaser(s *Soaker) *releaser {
	return &releaser{Soaker: s, rng: rand.New(rand.NewPCG(s.opts.Seed, 199))}
}

// run releases versions until stopped is closed.
func (r *releaser) run(stopped <-chan struct{}) {
	r.stopped = stopped
	for r.pause(500, 1500) {
		r.replaceAll()
	}
}

// pause waits for a random number of milliseconds between two bounds, and reports
// whether the releases go on.
func (r *releaser) pause(least, most int) bool {
	select {
	case <-r.stopped:
		return false
	case <-time.After(time.Duration(least+r.rng.IntN(most-least)) * time.Millisecond):
		return true
	}
}

// replaceAll replaces the servers one after the other. The versions may serve side
// by side for long, with half of the servers replaced.
func (r *releaser) replaceAll() {
	r.mu.Lock()
	r.release++
	version := fmt.Sprint("v1.", r.release)
	old := make([]*standin.Server, 0, len(r.servers))
	for _, id := range slices.Sorted(maps.Keys(r.servers)) {
		old = append(old, r.servers[id])
	}
	r.mu.Unlock()
	sideBySide := r.rng.IntN(2) == 0
	r.logFault(fmt.Sprintf("release of version %s, side by side for long: %t", version, sideBySide), -1, 0)
	for i, server := range old {
		for range 3 {
			if i != len(old)/2 || !sideBySide {
				break
			}
			if !r.pause(700, 1400) {
				return
			}
			r.injectBeside(old[r.rng.IntN(len(old))])
		}
		if r.rng.IntN(3) == 0 {
			r.injectBeside(old[r.rng.IntN(len(old))])
		}
		how := r.rng.IntN(4)
		if r.remove(server) {
			r.recordPublishError(r.addServer(loopbackAnyPort))
			r.leave(server, how)
		}
		if !r.pause(200, 800) {
			return
		}
	}
}

// leave makes a server end: it says so in its responses, is draining in the store,
// or both, or its registration is removed.
func (r *releaser) leave(server *standin.Server, how int) {
	what := []string{"says that it leaves", "says that it leaves and is draining", "is draining", "is removed"}[how]
	r.logFault(fmt.Sprintf("server of version %s %s %s", server.Version(), what, server.ID()), -1, 0)
	switch how {
	case 0:
		server.Leave()
	case 1, 2:
		if how == 1 {
			server.Leave()
		}
		r.recordPublishError(r.register(server, true))
		r.history.MarkEndpointLeft(server.ID())
	case 3:
		r.store.DeleteServer(server.ID())
		r.history.MarkEndpointLeft(server.ID())
	}
	time.AfterFunc(noticeTime, func() {
		r.store.DeleteServer(server.ID())
		r.markAllCuts(time.Second)
		server.ShutDown()
	})
}

// injectBeside injects a random fault that breaks streams: the server crashes or
// breaks off its answers, or one or all nodes are killed.
func (r *releaser) injectBeside(server *standin.Server) {
	switch kind := r.rng.IntN(8); kind {
	case 0, 1, 2:
		if !r.remove(server) {
			return
		}
		r.logFault("server crashes "+server.ID()+" of version "+server.Version(), -1, 0)
		r.markAllCuts(time.Second)
		server.Crash()
		time.AfterFunc(expiryTime, func() { r.store.DeleteServer(server.ID()) })
		r.recordPublishError(r.addServer(loopbackAnyPort))
	case 3, 4, 5:
		r.logFault("server "+server.ID()+" breaks off answers", -1, breakLength)
		r.history.MarkUnusable(server.ID(), breakLength)
		r.markAllCuts(breakLength)
		server.SetFaults(standin.Faults{Break: 0.5})
		time.AfterFunc(breakLength, func() { server.SetFaults(standin.Faults{}) })
	case 6:
		r.killNode(r.nodes[r.rng.IntN(len(r.nodes))])
	case 7:
		for _, n := range r.nodes {
			r.killNode(n)
		}
	}
}

// breakLength is the time for which a server breaks off answers.
const breakLength = time.Second
