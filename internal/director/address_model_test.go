package director

import (
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"snipedyke/internal/registrar"
)

var addressSeeds = flag.Int("addressseeds", 100, "number of seeds of TestAddressesThatChangeHands")

// addressWorld is a fleet of servers that crash, leave and start at each other's
// addresses, a store that loses their entries late and is at times out of reach,
// and a node.
type addressWorld struct {
	*qt.C
	*rand.Rand
	*node
	running map[netip.AddrPort]*worldServer
	started int
	// entries holds the entries in the store, and expiry the times at which those of
	// ended servers are removed.
	entries map[string]registrar.Entry
	expiry  map[string]time.Time
	// unseen holds what the node has still to see of the store, in order. While down
	// is true, it sees nothing.
	unseen  []Event
	down    bool
	pending []worldAttempt
}

type worldServer struct {
	id      string
	leaving bool
	// told reports whether the node has had an answer of the server saying that it
	// leaves.
	told bool
	// answeredAt is the last time at which it answered.
	answeredAt time.Time
}

// worldAttempt is an attempt in progress and the server that it has reached, or nil.
type worldAttempt struct {
	Dispatch
	server *worldServer
}

func (w *addressWorld) address(i int) netip.AddrPort { return entry("desk", i).Address }

// startServer starts a server at an address that none has. The clocks of hosts
// differ.
func (w *addressWorld) startServer(address netip.AddrPort) {
	w.started++
	e := entry("desk", 0)
	e.ID, e.Address = fmt.Sprint("desk-", w.started), address
	e.Born = w.now.Add(time.Duration(w.IntN(2000)) * time.Millisecond).UnixMilli()
	if w.IntN(4) == 0 {
		e.Born = 0
	}
	w.running[address] = &worldServer{id: e.ID}
	w.put(e)
}

func (w *addressWorld) put(e registrar.Entry) {
	w.entries[e.ID] = e
	w.unseen = append(w.unseen, EntryPut{e})
}

func (w *addressWorld) remove(id string) {
	delete(w.entries, id)
	delete(w.expiry, id)
	w.unseen = append(w.unseen, EntryRemoved{id})
}

// end ends a server. Its entry expires after three missed publications.
func (w *addressWorld) end(address netip.AddrPort) {
	if s := w.running[address]; s != nil {
		delete(w.running, address)
		w.expiry[s.id] = w.now.Add(3 * options().PublicationInterval)
	}
}

// fault does something to a server or the store.
func (w *addressWorld) fault() {
	address := w.address(w.IntN(3))
	server := w.running[address]
	switch w.IntN(8) {
	case 0, 1:
		w.end(address)
		w.startServer(address)
	case 2:
		w.end(address)
	case 3:
		if server == nil {
			w.startServer(address)
		}
	case 4, 5:
		if server != nil {
			server.leaving = true
		}
	case 6:
		if server == nil {
			return
		}
		// It is cut off from the store for a while.
		if e, registered := w.entries[server.id]; registered {
			w.remove(e.ID)
		} else if e, known := w.endpoints[server.id]; known {
			w.put(e.entry)
		}
	case 7:
		w.setDown(!w.down)
	}
}

func (w *addressWorld) setDown(down bool) {
	if w.down == down {
		return
	}
	w.down = down
	if down {
		w.post(ViewLost{"down"})

		return
	}
	w.post(ViewReachable{w.now})
	if w.IntN(2) == 0 {
		// The history is gone, so the node reads a list.
		list := make([]registrar.Entry, 0, len(w.entries))
		for _, id := range slices.Sorted(maps.Keys(w.entries)) {
			list = append(list, w.entries[id])
		}
		w.unseen = []Event{EntriesListed{list}}
	}
}

// step ends the attempts of the last step, passes on what the store shows, and
// sends requests.
func (w *addressWorld) step() {
	w.now = w.now.Add(time.Duration(50+w.IntN(200)) * time.Millisecond)
	for _, id := range slices.Sorted(maps.Keys(w.expiry)) {
		if !w.now.Before(w.expiry[id]) {
			w.remove(id)
		}
	}
	if !w.down {
		for _, e := range w.unseen {
			w.send(w.post(e))
		}
		w.unseen = nil
	}
	w.post(confirmedUnless(w.down, w.now))
	w.send(w.post(Ticked{}))
	pending := w.pending
	w.pending = nil
	for _, a := range pending {
		w.answer(a)
	}
	for range 6 {
		w.lastID++
		w.send(w.arrive(w.lastID, "/open/x"))
	}
}

// confirmedUnless returns an event that confirms the view, or one without an
// effect.
func confirmedUnless(down bool, now time.Time) Event {
	if down {
		return Ticked{}
	}

	return ViewConfirmed{now}
}

// send notes the attempts among effects and checks whom they reach.
func (w *addressWorld) send(effects []Effect) {
	for _, effect := range effects {
		d, ok := effect.(Dispatch)
		if !ok {
			continue
		}
		server := w.running[d.Address]
		if server != nil {
			w.Assert(server.told, qt.IsFalse, qt.Commentf("an attempt for %s reached %s, which leaves", d.Endpoint, server.id))
		}
		w.pending = append(w.pending, worldAttempt{d, server})
	}
}

// answer ends an attempt.
func (w *addressWorld) answer(a worldAttempt) {
	switch {
	case a.server == nil:
		w.send(w.post(AttemptFinished{ID: a.ID, Result: Unreached}))
	case a.server.id != a.Endpoint:
		w.send(w.post(AttemptFinished{ID: a.ID, Result: Misdirected, OtherLeaving: a.server.leaving}))
	case w.running[a.Address] != a.server:
		w.send(w.post(AttemptFinished{ID: a.ID, Result: Broken}))
	default:
		if a.server.leaving {
			w.post(EndpointNoticed{ID: a.ID, Leaving: true})
			a.server.told = true
		}
		a.server.answeredAt = w.now
		w.send(w.post(AttemptFinished{ID: a.ID, Result: Answered, Status: 200}))
	}
}

// Guards against courses of crashes, starts at the same address, lost entries and
// outages in which requests reach a server that has told the node that it leaves,
// or after which a sound server gets none.
func TestAddressesThatChangeHands(t *testing.T) {
	for seed := range uint64(*addressSeeds) {
		c := qt.New(t)
		w := &addressWorld{
			C: c, Rand: rand.New(rand.NewPCG(seed, 26)), node: newNode(), running: map[netip.AddrPort]*worldServer{},
			entries: map[string]registrar.Entry{}, expiry: map[string]time.Time{},
		}
		w.post(EntriesListed{})
		for i := range 3 {
			w.startServer(w.address(i))
		}
		for range 100 {
			if w.IntN(3) == 0 {
				w.fault()
			}
			w.step()
		}
		w.setDown(false)
		begin := w.now
		for w.now.Sub(begin) < 20*time.Second {
			w.step()
		}
		for _, s := range w.running {
			if _, registered := w.entries[s.id]; registered && !s.leaving {
				c.Check(w.now.Sub(s.answeredAt) < 5*time.Second, qt.IsTrue, qt.Commentf("seed %d: %s gets no requests", seed, s.id))
			}
		}
		if c.Failed() {
			t.Fatalf("seed %d", seed)
		}
	}
}
