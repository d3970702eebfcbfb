package soaker

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"syscall"
	"time"

	"snipedyke/platform/standin"
)

const (
	// coldPeriod is how long a server is cold after its start.
	coldPeriod = 3 * time.Second
	// smallFleetColdRate is the number of requests per second that a cold server
	// tolerates in a test with few nodes, each of which may send several.
	smallFleetColdRate = 10
	// largeFleetColdRate is that number in a test with at least largeFleet nodes, whose
	// shares are then below one request.
	largeFleetColdRate = 4
	largeFleet         = 12
)

// coldRate returns the number of requests per second that a cold server tolerates, or
// zero if the manifest does not state a limit.
func (s *Soaker) coldRate() float64 {
	switch {
	case !s.opts.Limits || s.pressed() == pressRetries:
		return 0
	case s.opts.Nodes >= largeFleet:
		return largeFleetColdRate
	default:
		return smallFleetColdRate
	}
}

// limitCallers is the number of callers for each node in a test of the limits.
const limitCallers = 4

// newLimitCaller returns a caller for a test of the limits. In some seeds callers send
// at once what a cold server cannot take. In the others they send less, so that
// retrySlack is a large part of the retry budget.
func newLimitCaller(s *Soaker, index int) *caller {
	c := newCaller(s, index)
	c.keys, c.backOff = []string{keptKey}, 150*time.Millisecond
	slow := s.opts.Seed/2%2 == 0
	switch s.pressed() {
	case pressCold, pressBoth:
		if slow {
			c.minPause, c.maxPause = 100, 500
		}
	case pressRetries:
		c.minPause, c.maxPause = 100, 500
		if slow {
			c.minPause, c.maxPause = 400, 1600
		}
	}

	return c
}

// pressed is what a test of the limits presses most.
type pressed int

const (
	pressBoth pressed = iota
	// pressRetries has no limit of cold servers, which would leave no server for
	// retries.
	pressRetries
	// pressCold has few faults of the store, which excuse too many requests.
	pressCold
)

// pressed returns what the test of the seed presses.
func (s *Soaker) pressed() pressed { return pressed(s.opts.Seed % 3) }

// zones are the data centres. Nodes are in both.
var zones = [...]string{"c0", "c1"}

// zone returns the data centre of a server. In a test of the limits there are servers in
// both, so that one can be evacuated.
func (s *Soaker) zone(server *standin.Server) string {
	id := server.ID()
	if s.opts.Limits && (id[len(id)-1]-'0')%2 == 0 {
		return zones[1]
	}

	return zones[0]
}

// register writes the registration of a server to the store.
func (s *Soaker) register(server *standin.Server, draining bool) error {
	return s.store.Register(server, service, s.zone(server), draining)
}

// cool makes a server cold for a time, or for as long as it is cold already, and
// registers it as such.
func (s *Soaker) cool(server *standin.Server, length time.Duration, inResponses bool) {
	length = max(length, server.ColdLeft())
	s.logFault(fmt.Sprintf("server %s is cold, says so: %t", server.ID(), inResponses), -1, length)
	s.history.MarkUnusable(server.ID(), length)
	// The registration states the rest in whole milliseconds.
	until := time.Now().Add(length - time.Millisecond)
	server.SetCold(length, inResponses)
	s.recordPublishError(s.register(server, false))
	s.history.MarkCold(server.ID(), until)
}

// limitFaults injects faults that press the limits that all nodes share. It has its own
// source of random numbers, so that it does not change the schedule of injectFault.
type limitFaults struct {
	*Soaker
	rng   *rand.Rand
	ended <-chan struct{}
}

func newLimitFaults(s *Soaker, ended <-chan struct{}) *limitFaults {
	return &limitFaults{Soaker: s, rng: rand.New(rand.NewPCG(s.opts.Seed, 299)), ended: ended}
}

// after calls what after a time, unless the faults have ended by then.
func (f *limitFaults) after(delay time.Duration, what func()) {
	time.AfterFunc(delay, func() {
		select {
		case <-f.ended:
		default:
			what()
		}
	})
}

// between returns a random time between two numbers of milliseconds.
func (f *limitFaults) between(least, most int) time.Duration {
	return time.Duration(least+f.rng.IntN(most-least)) * time.Millisecond
}

// registeredServers returns the servers that are registered, by ID.
func (s *Soaker) registeredServers() []*standin.Server {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := make([]*standin.Server, 0, len(s.servers))
	for _, id := range slices.Sorted(maps.Keys(s.servers)) {
		list = append(list, s.servers[id])
	}

	return list
}

// most returns all or most of the servers that are registered, in random order.
func (f *limitFaults) most() []*standin.Server {
	list := f.registeredServers()
	f.rng.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })

	return list[:len(list)-f.rng.IntN(len(list)/2+1)]
}

// inject injects a random fault and returns immediately. Faults overlap, as those that
// last for a time, or are repeated, go on.
func (f *limitFaults) inject() {
	length := f.between(500, 3000)
	// A fault is the more probable the more letters it has; a dot stands for none.
	faults := map[pressed]string{
		pressBoth:    "kkffxccccceeezol.....",
		pressRetries: "kkkffffffffxxxxzo.....",
		pressCold:    "kkfccccccceeeeezo......",
	}[f.pressed()]
	switch faults[f.rng.IntN(len(faults))] {
	case 'k':
		f.killNodes()
	case 'f':
		f.failServers(length)
	case 'x':
		f.crashServers(length)
	case 'c':
		f.coolServers()
	case 'e':
		f.evacuate(length)
	case 'z':
		f.freezeNodes(length)
	case 'l':
		f.nameLimits()
	case 'o':
		f.injectFault()
	}
}

// killNodes kills all or most nodes at once, and again within seconds.
func (f *limitFaults) killNodes() {
	kill := func(spared int) {
		for i, n := range f.nodes {
			if i != spared {
				f.killNode(n)
			}
		}
	}
	kill(f.rng.IntN(2*len(f.nodes)) - len(f.nodes))
	// Processes that last for a while have the time to use up their shares.
	delay, least, most := time.Duration(0), 600, 2500
	if f.rng.IntN(2) == 0 {
		least, most = 3500, 6000
	}
	for range f.rng.IntN(3) {
		delay += f.between(least, most)
		spared := f.rng.IntN(2*len(f.nodes)) - len(f.nodes)
		f.after(delay, func() { kill(spared) })
	}
}

// failServers makes most servers fail, turn away or cut off requests.
func (f *limitFaults) failServers(length time.Duration) {
	length *= time.Duration(1 + f.rng.IntN(3))
	faults := standin.Faults{}
	switch f.rng.IntN(3) {
	case 0:
		faults.Fail = 0.9
	case 1:
		faults.Decline = 0.9
	case 2:
		faults.Break = 0.9
	}
	f.markAllCuts(length)
	for _, server := range f.most() {
		f.logFault(fmt.Sprintf("server %s %+v", server.ID(), faults), -1, length)
		f.history.MarkUnusable(server.ID(), length)
		server.SetFaults(faults)
		time.AfterFunc(length, func() { server.SetFaults(standin.Faults{}) })
	}
}

// crashServers crashes most servers, which come back at their addresses under new IDs
// while the store is down.
func (f *limitFaults) crashServers(length time.Duration) {
	f.logFault("store down", -1, length)
	f.markAllDisturbed(length)
	f.store.Down(length)
	f.markAllCuts(time.Second)
	for _, server := range f.most() {
		if !f.remove(server) {
			continue
		}
		f.logFault("server crashes "+server.ID(), -1, 0)
		server.Crash()
		time.AfterFunc(expiryTime, func() { f.store.DeleteServer(server.ID()) })
		f.recordPublishError(f.addServerAgain(server.Addr()))
	}
}

// coolServers makes most servers cold, and perhaps once more.
func (f *limitFaults) coolServers() {
	length, inResponses := f.between(1500, 4000), f.rng.IntN(2) == 0
	servers := f.most()
	cool := func(length time.Duration) {
		for _, server := range servers {
			if f.registered(server) {
				f.cool(server, length, inResponses)
			}
		}
	}
	cool(length)
	if f.rng.IntN(2) == 0 {
		again := f.between(1500, 4000)
		if f.rng.IntN(4) == 0 {
			// Such a registration differs from the one before in its sequence number only.
			again = length
		}
		f.after(f.between(500, 5000), func() { cool(again) })
	}
}

// registered reports whether a server neither leaves nor has crashed.
func (f *limitFaults) registered(server *standin.Server) bool {
	f.mu.Lock()
	defer f.mu.Unlock()

	return f.servers[server.ID()] == server
}

// evacuate evacuates a data centre, whose servers have become cold just before, and
// takes that back while they are cold.
func (f *limitFaults) evacuate(length time.Duration) {
	zone := zones[f.rng.IntN(len(zones))]
	for _, server := range f.most() {
		if f.zone(server) == zone {
			f.cool(server, min(length, 1500*time.Millisecond)+f.between(1000, 2500), false)
		}
	}
	f.mu.Lock()
	for id, server := range f.servers {
		if f.zone(server) == zone {
			f.history.MarkUnusable(id, length+coldPeriod)
		}
	}
	f.mu.Unlock()
	f.after(f.between(0, 500), func() {
		f.logFault("evacuation of "+zone, -1, length)
		f.recordPublishError(f.store.Evacuate(zone))
		time.AfterFunc(length, func() { f.store.EndEvacuation(zone) })
	})
}

// freezeNodes freezes several nodes at once.
func (f *limitFaults) freezeNodes(length time.Duration) {
	length /= time.Duration(1 + f.rng.IntN(4))
	for _, n := range f.nodes {
		if f.rng.IntN(2) == 0 {
			f.freezeNode(n, length)
		}
	}
}

// freezeNode stops the process of a node for a time.
func (s *Soaker) freezeNode(n *node, length time.Duration) {
	s.logFault("pause", n.index, length)
	s.history.MarkStoreFault(n.index, time.Now().Add(length))
	s.history.MarkCuts(n.index, length+time.Second)
	s.history.MarkInterrupted(n.index, length)
	n.signal(syscall.SIGSTOP, false)
	time.AfterFunc(length, func() { n.signal(syscall.SIGCONT, false) })
}

// limitSettings returns the parts of a node's settings that state the limits.
func limitSettings() string {
	return fmt.Sprintf(`"cold": {"factor": %v, "slack": %v}, "retries": {"window": "%s", "ratio": %v, "slack": %v}`,
		coldFactor, coldSlack, retryWindow, retryRatio, retrySlack)
}
