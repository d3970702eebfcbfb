package soaker

import (
	"math/rand/v2"
	"net/netip"
	"os"
	"os/exec"
	"time"

	"snipedyke/platform/standin"
)

// ServerCommand is the only argument of a process that serves a stand-in server, which
// runs the executable of the soak test.
const ServerCommand = "serve-standin"

// unframedShares lists the shares of responses without framing. They depend on the seed.
var unframedShares = [...]float64{0.3, 0.6, 1}

// newServer starts a server, in a process of its own in a test with responses without
// framing.
func (s *Soaker) newServer(id, version string, address netip.AddrPort, seed uint64) (*standin.Server, error) {
	if !s.opts.Unframed {
		return standin.NewServer(id, version, address, s.workTime(), seed, s.history)
	}
	binary, err := os.Executable()
	if err != nil {
		return nil, err
	}
	cmd := exec.Command(binary, ServerCommand)
	cmd.Stderr = outputWriter{s}
	server, err := standin.StartServer(cmd, id, version, address, s.workTime(), seed, s.history)
	if err != nil {
		return nil, err
	}
	server.SetUnframed(unframedShares[s.opts.Seed%uint64(len(unframedShares))])

	return server, nil
}

const (
	// A server that was killed in a series starts again after minReturn to maxReturn
	// milliseconds.
	minReturn, maxReturn = 300, 2500
	// firstSlowCaller is the index of the first of slowCallers callers whose responses take
	// long, so that faults hit many.
	firstSlowCaller, slowCallers = 800, 8
)

// newSlowCaller returns a caller of responses of all kinds that take long.
func newSlowCaller(s *Soaker, index int) *caller {
	c := newCaller(s, firstSlowCaller+index)
	c.paths = []string{"/safe/slow/", "/unsafe/slow/", "/stream/slow/", resumablePrefix + "slow/"}

	return c
}

// unframedFaults injects faults that cut off responses without framing. It has its own
// source of random numbers, so that it does not change the schedule of injectFault.
type unframedFaults struct {
	*limitFaults
	// other injects another fault.
	other func()
}

func newUnframedFaults(s *Soaker, ended <-chan struct{}, other func()) *unframedFaults {
	f := newLimitFaults(s, ended)
	f.rng = rand.New(rand.NewPCG(s.opts.Seed, 499))

	return &unframedFaults{f, other}
}

// inject injects a random fault and returns immediately. Faults overlap.
func (f *unframedFaults) inject() {
	// A fault is the more probable the more letters it has.
	faults := "kkkkrrrbbzzzwwwnsooo"
	switch faults[f.rng.IntN(len(faults))] {
	case 'k':
		f.killServers()
	case 'r':
		f.resetConnections()
	case 'b':
		f.breakResponses()
	case 'z':
		f.freezeBeside()
	case 'w':
		f.resetSilentServers()
	case 'n':
		f.restartNode()
	case 's':
		server := f.randomServer()
		f.logFault("server "+server.ID()+" is silent", -1, silenceLength)
		f.history.MarkUnusable(server.ID(), silenceLength)
		server.Silence(silenceLength)
	case 'o':
		f.other()
	}
}

// killServers kills servers in series, at most all but one of those that are registered.
func (f *unframedFaults) killServers() {
	f.mu.Lock()
	most := len(f.servers) - 1
	f.mu.Unlock()
	if most < 1 {
		return
	}
	delay := time.Duration(0)
	for range 1 + f.rng.IntN(most) {
		pick, pause := f.rng.Uint64(), f.between(minReturn, maxReturn)
		f.after(delay, func() { f.killServer(pick, pause) })
		delay += f.between(30, 600)
	}
}

// killServer kills the process of a server, unless it is the last one, and starts another
// one at its address after a pause.
func (f *unframedFaults) killServer(pick uint64, pause time.Duration) {
	server := f.pick(pick)
	if server == nil || !f.remove(server) {
		return
	}
	f.logFault("server is killed "+server.ID(), -1, pause)
	f.markAllCuts(time.Second)
	server.Crash()
	time.AfterFunc(expiryTime, func() { f.store.DeleteServer(server.ID()) })
	time.AfterFunc(pause, func() {
		if !f.isClosed() {
			f.recordPublishError(f.addServerAgain(server.Addr()))
		}
	})
}

// pick returns one of the registered servers, or nil if there are fewer than two.
func (f *unframedFaults) pick(number uint64) *standin.Server {
	servers := f.registeredServers()
	if len(servers) < 2 {
		return nil
	}

	return servers[number%uint64(len(servers))]
}

// resetConnections makes some servers reset all their connections.
func (f *unframedFaults) resetConnections() {
	servers := f.registeredServers()
	f.rng.Shuffle(len(servers), func(i, j int) { servers[i], servers[j] = servers[j], servers[i] })
	if len(servers) == 0 {
		return
	}
	for _, server := range servers[:1+f.rng.IntN(len(servers))] {
		f.resetServer(server)
	}
}

func (f *unframedFaults) resetServer(server *standin.Server) {
	f.logFault("server resets its connections "+server.ID(), -1, 0)
	f.history.MarkUnusable(server.ID(), breakLength)
	f.markAllCuts(breakLength)
	server.ResetConnections()
}

// breakResponses makes a server reset responses in the middle of an event or between two.
func (f *unframedFaults) breakResponses() {
	server, length := f.randomServer(), f.between(500, 3000)
	f.logFault("server "+server.ID()+" breaks off answers", -1, length)
	f.history.MarkUnusable(server.ID(), length)
	f.markAllCuts(length)
	server.SetFaults(standin.Faults{Break: 0.5})
	time.AfterFunc(length, func() { server.SetFaults(standin.Faults{}) })
}

// freezeBeside freezes some nodes, and meanwhile kills servers or resets their connections:
// the nodes then find the end of a connection together with the end of their time limits.
func (f *unframedFaults) freezeBeside() {
	length := f.between(100, 3000)
	frozen := f.rng.IntN(len(f.nodes))
	for i, n := range f.nodes {
		if i == frozen || f.rng.IntN(2) == 0 {
			f.freezeNode(n, length)
		}
	}
	for range 1 + f.rng.IntN(3) {
		delay, pick := time.Duration(f.rng.Int64N(int64(length))), f.rng.Uint64()
		if f.rng.IntN(2) == 0 {
			pause := f.between(minReturn, maxReturn)
			f.after(delay, func() { f.killServer(pick, pause) })

			continue
		}
		f.after(delay, func() {
			if server := f.pick(pick); server != nil {
				f.resetServer(server)
			}
		})
	}
}

// resetSilentServers makes most servers send nothing, freezes some nodes, and resets the
// connections of the servers meanwhile. When the nodes go on, the time limits of reads from
// silent streams have passed and the resets have arrived, but no data.
func (f *unframedFaults) resetSilentServers() {
	length := f.between(1500, 3000)
	for _, server := range f.most() {
		f.logFault("server "+server.ID()+" is silent", -1, length)
		f.history.MarkUnusable(server.ID(), length)
		server.Silence(length)
		f.after(f.between(300, int(length.Milliseconds())), func() {
			if f.registered(server) {
				f.resetServer(server)
			}
		})
	}
	frozen := f.rng.IntN(len(f.nodes))
	for i, n := range f.nodes {
		if i == frozen || f.rng.IntN(2) == 0 {
			f.after(f.between(50, 250), func() { f.freezeNode(n, length) })
		}
	}
}

// restartNode kills a node, or stops it gracefully.
func (f *unframedFaults) restartNode() {
	n := f.nodes[f.rng.IntN(len(f.nodes))]
	if f.rng.IntN(2) == 0 {
		f.killNode(n)

		return
	}
	f.stopNode(n)
}

// UnframedResponses counts responses without framing that endpoints began, and those of
// them that their callers did not get whole from that endpoint.
type UnframedResponses struct{ Begun, Partial int }

// countUnframed counts responses without framing. The caller holds mu.
func (h *History) countUnframed() UnframedResponses {
	var u UnframedResponses
	for request, answers := range h.answers {
		o := h.outcomes[request]
		for i, a := range answers {
			if !a.Unframed {
				continue
			}
			u.Begun++
			if o.status != 200 || o.cut || i < len(answers)-1 {
				u.Partial++
			}
		}
	}

	return u
}
