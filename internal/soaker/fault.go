package soaker

import (
	"fmt"
	"maps"
	"slices"
	"syscall"
	"time"

	"snipedyke/platform/standin"
)

// injectFault injects a random fault and returns immediately. Faults that last
// for a time are ended by a timer, so several may overlap.
func (s *Soaker) injectFault() {
	s.faultCount++
	n := s.nodes[s.rng.IntN(len(s.nodes))]
	length := time.Duration(500+s.rng.IntN(4000)) * time.Millisecond
	switch kind := s.rng.IntN(14); kind {
	case 0:
		s.logFault("kill", n.index, 0)
		s.history.MarkDisturbed(n.index, time.Now().Add(time.Second))
		s.history.MarkCuts(n.index, time.Second)
		n.signal(syscall.SIGKILL, true)
	case 1:
		s.logFault("stop", n.index, 0)
		s.history.MarkDisturbed(n.index, time.Now().Add(shutdownGrace))
		n.signal(syscall.SIGTERM, true)
	case 2:
		s.logFault("pause", n.index, length)
		s.history.MarkDisturbed(n.index, time.Now().Add(length))
		s.history.MarkCuts(n.index, length+time.Second)
		n.signal(syscall.SIGSTOP, false)
		time.AfterFunc(length, func() { n.signal(syscall.SIGCONT, false) })
	case 3:
		s.logFault("hup", n.index, 0)
		n.signal(syscall.SIGHUP, false)
	case 4, 5:
		mode := Mode(1 + s.rng.IntN(4))
		s.logFault(fmt.Sprint("cut ", mode), n.index, length)
		s.history.MarkDisturbed(n.index, time.Now().Add(length))
		n.storeProxy.SetMode(mode)
		time.AfterFunc(length, func() { n.storeProxy.SetMode(Pass) })
	case 6:
		s.logFault("store down", -1, length)
		s.markAllDisturbed(length)
		s.store.Down(length)
	case 7:
		s.logFault("store slow", -1, length)
		s.markAllDisturbed(length)
		s.store.Delay(200 * time.Millisecond)
		time.AfterFunc(length, func() { s.store.Delay(0) })
	case 8:
		s.logFault("store drops its history", -1, 0)
		s.store.DropHistory()
	case 9:
		s.injectServerFault(length)
	case 10:
		s.replaceServer()
	case 11:
		s.logFault("manifest", -1, 0)
		if s.rng.IntN(4) == 0 {
			s.recordPublishError(s.publishManifest(false))
			s.history.MarkKeyRevoked()
		} else {
			s.history.mu.Lock()
			revoked := !s.history.revokedAt.IsZero()
			s.history.mu.Unlock()
			s.recordPublishError(s.publishManifest(!revoked))
		}
	case 12, 13:
		server := s.randomServer()
		s.logFault("server "+server.ID()+" is silent", -1, silenceLength)
		server.Silence(silenceLength)
	}
}

// silenceLength is the time for which a server is silent. Its requests can still
// be answered in time.
const silenceLength = 1200 * time.Millisecond

// logFault writes a line about a fault to Options.Output. The node is -1 for
// faults of the store, of a server or of the manifest.
func (s *Soaker) logFault(what string, node int, length time.Duration) {
	s.outputMu.Lock()
	defer s.outputMu.Unlock()
	_, _ = fmt.Fprintf(s.opts.Output, "soak %s: %s node %d for %s\n", time.Now().Format("15:04:05.000"), what, node, length)
}

// recordPublishError records a failed write to the stand-in store as a
// violation.
func (s *Soaker) recordPublishError(err error) {
	if err != nil {
		s.history.AddViolation("publishing to the stand-in store failed: %v", err)
	}
}

// markAllCuts records that a server cuts off connections for a time.
func (s *Soaker) markAllCuts(length time.Duration) {
	for _, n := range s.nodes {
		s.history.MarkCuts(n.index, length)
	}
}

func (s *Soaker) markAllDisturbed(length time.Duration) {
	for _, n := range s.nodes {
		s.history.MarkDisturbed(n.index, time.Now().Add(length))
	}
}

// randomServer returns a random one of the registered servers.
func (s *Soaker) randomServer() *standin.Server {
	s.mu.Lock()
	defer s.mu.Unlock()
	ids := slices.Sorted(maps.Keys(s.servers))

	return s.servers[ids[s.rng.IntN(len(ids))]]
}

// injectServerFault injects a random fault into a random server for length.
func (s *Soaker) injectServerFault(length time.Duration) {
	server := s.randomServer()
	f := standin.Faults{}
	switch s.rng.IntN(4) {
	case 0:
		f.Break = 0.5
		s.markAllCuts(length)
	case 1:
		f.Decline = 0.7
	case 2:
		f.Fail = 0.5
	case 3:
		f.Slow = 300 * time.Millisecond
	}
	s.logFault(fmt.Sprintf("server %s %+v", server.ID(), f), -1, length)
	server.SetFaults(f)
	time.AfterFunc(length, func() { server.SetFaults(standin.Faults{}) })
}

const (
	// drainTime is the time for which a server that leaves continues to serve
	// requests.
	drainTime = 3 * time.Second
	// expiryTime is the time after which the registration of a crashed server is
	// removed from the store.
	expiryTime = 3 * time.Second
)

// replaceServer shuts a random server down gracefully or crashes it, and starts
// another one: at the same address after a crash, at a new one otherwise.
func (s *Soaker) replaceServer() {
	server := s.randomServer()
	s.mu.Lock()
	delete(s.servers, server.ID())
	s.mu.Unlock()
	if s.rng.IntN(2) == 0 {
		s.logFault("server leaves "+server.ID(), -1, 0)
		if s.rng.IntN(2) == 0 {
			s.recordPublishError(s.store.Register(server, service, "c0", true))
		} else {
			s.store.DeleteServer(server.ID())
		}
		s.history.MarkEndpointLeft(server.ID())
		time.AfterFunc(drainTime, func() {
			s.store.DeleteServer(server.ID())
			s.markAllCuts(time.Second)
			server.Crash()
		})
		s.recordPublishError(s.addServer(loopbackAnyPort))

		return
	}
	s.logFault("server crashes "+server.ID(), -1, 0)
	s.markAllCuts(time.Second)
	server.Crash()
	time.AfterFunc(expiryTime, func() { s.store.DeleteServer(server.ID()) })
	s.recordPublishError(s.addServer(server.Addr()))
}

// clearFaults ends all faults of nodes, of the store and of registered servers.
func (s *Soaker) clearFaults() {
	for _, n := range s.nodes {
		n.storeProxy.SetMode(Pass)
		n.signal(syscall.SIGCONT, false)
	}
	s.store.Delay(0)
	s.store.Down(0)
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, server := range s.servers {
		server.SetFaults(standin.Faults{})
	}
}
