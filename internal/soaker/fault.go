package soaker

import (
	"errors"
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"syscall"
	"time"

	"snipedyke/platform/standin"
)

// injectFault injects a random fault and returns immediately. Faults that last
// for a time are ended by a timer, so several may overlap.
func (s *Soaker) injectFault() {
	n := s.nodes[s.rng.IntN(len(s.nodes))]
	length := time.Duration(500+s.rng.IntN(4000)) * time.Millisecond
	switch kind := s.rng.IntN(20); kind {
	case 0:
		s.killNode(n)
	case 1:
		s.stopNode(n)
	case 2:
		s.freezeNode(n, length)
	case 3:
		s.logFault("hup", n.index, 0)
		n.signal(syscall.SIGHUP, false)
	case 4, 5:
		mode := Mode(1 + s.rng.IntN(4))
		s.logFault(fmt.Sprint("cut ", mode), n.index, length)
		s.history.MarkStoreFault(n.index, time.Now().Add(length))
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
		revokes := s.rng.IntN(4) == 0
		s.changeManifest(revokes, s.rng.IntN(3))
	case 12, 13:
		server := s.randomServer()
		s.logFault("server "+server.ID()+" is silent", -1, silenceLength)
		s.history.MarkUnusable(server.ID(), silenceLength)
		server.Silence(silenceLength)
	case 14, 15:
		s.announceLeaving(length)
	case 16, 17:
		s.askForTime()
	case 18, 19:
		s.logFault("connections to the store are silent", -1, 0)
		s.markAllDisturbed(0)
		for _, n := range s.nodes {
			n.storeProxy.Silence()
		}
	}
}

// silenceLength is the time for which a server is silent. Its requests can still
// be answered in time.
const silenceLength = 1200 * time.Millisecond

// killNode kills the process of a node, which is then started again.
func (s *Soaker) killNode(n *node) {
	s.logFault("kill", n.index, 0)
	s.history.MarkDisturbed(n.index, time.Now().Add(time.Second))
	s.history.MarkCuts(n.index, time.Second)
	s.history.MarkInterrupted(n.index, 0)
	n.signal(syscall.SIGKILL, true)
}

// stopNode stops a node gracefully. It is then started again.
func (s *Soaker) stopNode(n *node) {
	s.logFault("stop", n.index, 0)
	s.history.MarkDisturbed(n.index, time.Now().Add(shutdownGrace))
	s.history.MarkInterrupted(n.index, 0)
	n.signal(syscall.SIGTERM, true)
}

// logFault counts a fault and writes a line about it to Options.Output. The node is -1 for
// faults of the store, of a server or of the manifest.
func (s *Soaker) logFault(what string, node int, length time.Duration) {
	s.outputMu.Lock()
	defer s.outputMu.Unlock()
	s.faultCount++
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

// markAllDisturbed records that no node may learn what the store says for a time.
func (s *Soaker) markAllDisturbed(length time.Duration) {
	for _, n := range s.nodes {
		s.history.MarkStoreFault(n.index, time.Now().Add(length))
	}
}

// randomServer returns a random one of the registered servers. It waits for one if all
// have crashed.
func (s *Soaker) randomServer() *standin.Server {
	for {
		s.mu.Lock()
		ids := slices.Sorted(maps.Keys(s.servers))
		s.mu.Unlock()
		if len(ids) == 0 {
			time.Sleep(minRestart / 10)

			continue
		}
		s.mu.Lock()
		server := s.servers[ids[s.rng.IntN(len(ids))]]
		s.mu.Unlock()
		if server != nil {
			return server
		}
	}
}

// takeServer removes a random one of the registered servers from them, because it
// leaves or crashes.
func (s *Soaker) takeServer() *standin.Server {
	for {
		if server := s.randomServer(); s.remove(server) {
			return server
		}
	}
}

// remove removes a server from the registered ones, and reports whether it was one.
func (s *Soaker) remove(server *standin.Server) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, registered := s.servers[server.ID()]
	if registered {
		delete(s.servers, server.ID())
		s.history.MarkEnding(server.ID())
	}

	return registered
}

// injectServerFault injects a random fault into a random server for length.
func (s *Soaker) injectServerFault(length time.Duration) {
	server := s.randomServer()
	f := standin.Faults{}
	switch s.rng.IntN(5) {
	case 0:
		f.Break = 0.5
		s.markAllCuts(length)
	case 4:
		f.Endless = 0.5
		s.markAllCuts(length)
	case 1:
		f.Decline = 0.7
	case 2:
		f.Fail = 0.5
	case 3:
		f.Slow = 300 * time.Millisecond
	}
	s.logFault(fmt.Sprintf("server %s %+v", server.ID(), f), -1, length)
	s.history.MarkUnusable(server.ID(), length)
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
	server := s.takeServer()
	if s.rng.IntN(2) == 0 {
		s.logFault("server leaves "+server.ID(), -1, 0)
		if s.rng.IntN(2) == 0 {
			s.recordPublishError(s.register(server, true))
		} else {
			s.store.DeleteServer(server.ID())
		}
		s.history.MarkEndpointLeft(server.ID())
		time.AfterFunc(drainTime, func() {
			s.store.DeleteServer(server.ID())
			s.markAllCuts(time.Second)
			server.ShutDown()
		})
		s.recordPublishError(s.addServer(loopbackAnyPort))

		return
	}
	s.logFault("server crashes "+server.ID(), -1, 0)
	s.markAllCuts(time.Second)
	server.Crash()
	time.AfterFunc(expiryTime, func() { s.store.DeleteServer(server.ID()) })
	s.recordPublishError(s.addServerAgain(server.Addr()))
}

// addServerAgain starts a server at the address of one that has crashed, or at another
// one if a connection of a node has taken the port meanwhile.
func (s *Soaker) addServerAgain(addr netip.AddrPort) error {
	err := s.addServer(addr)
	if errors.Is(err, syscall.EADDRINUSE) {
		return s.addServer(loopbackAnyPort)
	}

	return err
}

const (
	// noticeTime is the time for which a server that says that it leaves continues
	// to serve requests. Nodes have drainBound of it to stop sending them.
	noticeTime = 5 * time.Second
	// absence is the time for which the registration of such a server is missing.
	absence = time.Second
	// maxAbsent is the maximum number of servers that leave, or ask for time, at
	// the same time.
	maxAbsent = 2
)

// reserveAbsence reports whether another server may be out of service for a time,
// and counts it if it may.
func (s *Soaker) reserveAbsence(length time.Duration) bool {
	now := time.Now()
	s.absentUntil = slices.DeleteFunc(s.absentUntil, now.After)
	if len(s.absentUntil) >= maxAbsent {
		return false
	}
	s.absentUntil = append(s.absentUntil, now.Add(length))

	return true
}

// announceLeaving makes a random server say in its responses that it leaves, while
// the store shows it as ready or draining, loses its registration for a time, or is
// down. It starts another server.
func (s *Soaker) announceLeaving(length time.Duration) {
	if !s.reserveAbsence(noticeTime) {
		return
	}
	server := s.takeServer()
	s.recordPublishError(s.addServer(loopbackAnyPort))
	server.Leave()
	switch s.rng.IntN(4) {
	case 0:
		s.logFault("server says that it leaves "+server.ID(), -1, 0)
	case 1:
		s.logFault("server says that it leaves and is registered again "+server.ID(), -1, absence)
		s.store.DeleteServer(server.ID())
		time.AfterFunc(absence, func() { s.recordPublishError(s.register(server, false)) })
	case 2:
		s.logFault("server says that it leaves, and the store is down "+server.ID(), -1, length)
		s.markAllDisturbed(length)
		s.store.Down(length)
	case 3:
		s.logFault("server says that it leaves and is draining "+server.ID(), -1, 0)
		s.recordPublishError(s.register(server, true))
		s.history.MarkEndpointLeft(server.ID())
	}
	time.AfterFunc(noticeTime, func() {
		s.store.DeleteServer(server.ID())
		s.markAllCuts(time.Second)
		server.ShutDown()
	})
}

// askForTime makes a random server turn requests away for a time, and ask for no
// requests for longer.
func (s *Soaker) askForTime() {
	f := standin.Faults{Decline: 1, RetryAfter: time.Duration(2+s.rng.IntN(2)) * time.Second}
	length := time.Duration(300+s.rng.IntN(1200)) * time.Millisecond
	if !s.reserveAbsence(length + f.RetryAfter) {
		return
	}
	server := s.randomServer()
	s.logFault(fmt.Sprintf("server %s asks for %s", server.ID(), f.RetryAfter), -1, length)
	s.history.MarkUnusable(server.ID(), length+f.RetryAfter)
	server.SetFaults(f)
	time.AfterFunc(length, func() { server.SetFaults(standin.Faults{}) })
}

// clearFaults ends all faults of nodes, of the store and of registered servers.
func (s *Soaker) clearFaults() {
	for _, n := range s.nodes {
		n.storeProxy.SetMode(Pass)
		n.signal(syscall.SIGCONT, false)
	}
	s.store.Delay(0)
	s.store.Down(0)
	if s.opts.Limits {
		for _, zone := range zones {
			s.store.EndEvacuation(zone)
		}
	}
	s.endBrittle()
	s.history.EndLimits()
	s.history.EndLoad()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, server := range s.servers {
		server.SetLimit(0)
		server.SetFaults(standin.Faults{})
		server.SetDegradation(standin.Degradation{})
	}
}
