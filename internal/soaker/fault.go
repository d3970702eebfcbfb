package soaker

import (
	"fmt"
	"maps"
	"slices"
	"syscall"
	"time"

	"snipedyke/platform/standin"
)

// fault begins a random fault; those that last end by themselves, so that
// several overlap.
func (s *Soaker) fault() {
	s.faults++
	n := s.nodes[s.rng.IntN(len(s.nodes))]
	length := time.Duration(500+s.rng.IntN(4000)) * time.Millisecond
	switch kind := s.rng.IntN(12); kind {
	case 0:
		s.tell("kill", n.index, 0)
		s.ledger.Disturb(n.index, time.Now().Add(time.Second))
		n.signal(syscall.SIGKILL, true)
	case 1:
		s.tell("stop", n.index, 0)
		s.ledger.Disturb(n.index, time.Now().Add(grace))
		n.signal(syscall.SIGTERM, true)
	case 2:
		s.tell("pause", n.index, length)
		s.ledger.Disturb(n.index, time.Now().Add(length))
		n.signal(syscall.SIGSTOP, false)
		time.AfterFunc(length, func() { n.signal(syscall.SIGCONT, false) })
	case 3:
		s.tell("hup", n.index, 0)
		n.signal(syscall.SIGHUP, false)
	case 4, 5:
		mode := Mode(1 + s.rng.IntN(4))
		s.tell(fmt.Sprint("cut ", mode), n.index, length)
		s.ledger.Disturb(n.index, time.Now().Add(length))
		n.store.Set(mode)
		time.AfterFunc(length, func() { n.store.Set(Pass) })
	case 6:
		s.tell("store down", -1, length)
		s.disturbAll(length)
		s.store.Down(length)
	case 7:
		s.tell("store slow", -1, length)
		s.disturbAll(length)
		s.store.Delay(200 * time.Millisecond)
		time.AfterFunc(length, func() { s.store.Delay(0) })
	case 8:
		s.tell("store forgets", -1, 0)
		s.store.Forget()
	case 9:
		s.spoil(length)
	case 10:
		s.replace()
	case 11:
		s.tell("manifest", -1, 0)
		if s.rng.IntN(4) == 0 {
			s.note(s.publish(false))
			s.ledger.Revoked()
		} else {
			s.ledger.mu.Lock()
			revoked := !s.ledger.revoked.IsZero()
			s.ledger.mu.Unlock()
			s.note(s.publish(!revoked))
		}
	}
}

func (s *Soaker) tell(what string, node int, length time.Duration) {
	s.output.Lock()
	defer s.output.Unlock()
	_, _ = fmt.Fprintf(s.opts.Output, "soak %s: %s node %d for %s\n", time.Now().Format("15:04:05.000"), what, node, length)
}

// note keeps an error of the soak's own store.
func (s *Soaker) note(err error) {
	if err != nil {
		s.ledger.Broken("the soak could not publish: %v", err)
	}
}

func (s *Soaker) disturbAll(length time.Duration) {
	for _, n := range s.nodes {
		s.ledger.Disturb(n.index, time.Now().Add(length))
	}
}

// pick returns a random server.
func (s *Soaker) pick() *standin.Server {
	s.mu.Lock()
	defer s.mu.Unlock()
	ids := slices.Sorted(maps.Keys(s.servers))

	return s.servers[ids[s.rng.IntN(len(ids))]]
}

// spoil lets a server misbehave for a time.
func (s *Soaker) spoil(length time.Duration) {
	server := s.pick()
	f := standin.Faults{}
	switch s.rng.IntN(4) {
	case 0:
		f.Break = 0.5
	case 1:
		f.Decline = 0.7
	case 2:
		f.Fail = 0.5
	case 3:
		f.Slow = 300 * time.Millisecond
	}
	s.tell(fmt.Sprintf("server %s %+v", server.ID(), f), -1, length)
	server.SetFaults(f)
	time.AfterFunc(length, func() { server.SetFaults(standin.Faults{}) })
}

const (
	// drainTime is how long a server that leaves serves on.
	drainTime = 3 * time.Second
	// lapse is the time after which the entry of a crashed server ends.
	lapse = 3 * time.Second
)

// replace lets a server leave or crash and another one take its place, at the
// same address after a crash.
func (s *Soaker) replace() {
	server := s.pick()
	s.mu.Lock()
	delete(s.servers, server.ID())
	s.mu.Unlock()
	if s.rng.IntN(2) == 0 {
		s.tell("server leaves "+server.ID(), -1, 0)
		if s.rng.IntN(2) == 0 {
			s.note(s.store.PutServer(server.ID(), service, "c0", server.Addr(), true))
		} else {
			s.store.DeleteServer(server.ID())
		}
		s.ledger.Left(server.ID())
		time.AfterFunc(drainTime, func() {
			s.store.DeleteServer(server.ID())
			server.Crash()
		})
		s.note(s.addServer(addressOfAnyPort))

		return
	}
	s.tell("server crashes "+server.ID(), -1, 0)
	server.Crash()
	time.AfterFunc(lapse, func() { s.store.DeleteServer(server.ID()) })
	s.note(s.addServer(server.Addr()))
}

// heal ends all faults.
func (s *Soaker) heal() {
	for _, n := range s.nodes {
		n.store.Set(Pass)
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
