package main

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"snipedyke/internal/soaker"
	"snipedyke/platform/standin"
)

func init() { cases["leaving"] = playLeaving }

// playLeaving cuts the nodes of one zone off from all servers. Meanwhile a server begins to
// leave, which it says in its answers, while the store is down, so that it cannot report it
// there. Then the links are back.
func playLeaving(r *rig) error {
	const (
		zones      = 3
		serverSize = 4
		requestGap = 15 * time.Millisecond
	)
	// Each zone has a store of its own with the same content, but with the addresses of its
	// own links to the servers. Nodes of different zones do not exchange what stores say.
	var stores []*standin.Store
	var paths []*soaker.Proxy
	for range zones {
		s, err := r.addStore()
		if err != nil {
			return err
		}
		path, err := soaker.NewProxy(s.Addr())
		if err != nil {
			return err
		}
		defer path.Close()
		stores, paths = append(stores, s), append(paths, path)
	}
	if err := putManifest(1, false, stores...); err != nil {
		return err
	}
	var servers []*standin.Server
	links := make([][]*link, zones)
	for i := range serverSize {
		s, err := r.addServer(fmt.Sprintf("i-%04d", i), 60*time.Millisecond, false)
		if err != nil {
			return err
		}
		servers = append(servers, s)
		for z := range zones {
			l, err := newLink(s.Addr())
			if err != nil {
				return err
			}
			links[z] = append(links[z], l)
		}
	}
	var mu sync.Mutex
	draining := false
	seq := 0
	publish := func() {
		mu.Lock()
		defer mu.Unlock()
		seq++
		for z, store := range stores {
			for i, s := range servers {
				state := "ready"
				if i == 0 && draining {
					state = "draining"
				}
				_ = store.Put("servers/"+s.ID(), map[string]any{
					"service": service, "addr": links[z][i].address.String(), "zone": "z1", "version": "v1", "slots": 64,
					"state": state, "coldLeftMs": 0, "seq": seq, "born": r.start.UnixMilli(),
				})
			}
		}
	}
	publish()
	stop := make(chan struct{})
	var wg sync.WaitGroup
	wg.Add(1)
	storeDown := false
	go func() {
		defer wg.Done()
		repeat(publication, stop, func() {
			mu.Lock()
			down := storeDown
			mu.Unlock()
			if !down {
				publish()
			}
		})
	}()
	// Both nodes of the first zone are cut off.
	const cutOff = 2
	for _, z := range []int{0, 0, 1, 2} {
		if _, err := r.addNode(fmt.Sprintf("z%d", z+1), paths[z].Addr()); err != nil {
			return err
		}
	}
	if err := r.awaitReady(); err != nil {
		return err
	}
	time.Sleep(4 * time.Second)
	type sent struct {
		at   time.Time
		node *node
		// cut reports whether the node is cut off for a time.
		cut bool
	}
	requests := map[string]sent{}
	// leavingAt is when each node first passed on an answer of the leaving server.
	leavingAt := map[*node]time.Time{}
	for index, n := range r.nodes {
		c := r.newClient(n)
		wg.Add(1)
		go func() {
			defer wg.Done()
			i := 0
			repeat(requestGap, stop, func() {
				attempt := newAttempt()
				mu.Lock()
				i++
				path := []string{"/public/safe/", "/public/unsafe/"}[i%2]
				requests[attempt] = sent{time.Now(), n, index < cutOff}
				mu.Unlock()
				a := c.send(attempt, "POST", path, "", 1500*time.Millisecond)
				if a.err == nil && a.header.Get("Server-Leaving") == "1" && strings.HasSuffix(a.header.Get("Snipedyke-Server-Seal"), servers[0].ID()) {
					mu.Lock()
					if leavingAt[n].IsZero() {
						leavingAt[n] = time.Now()
						r.note("node %s has passed on an answer with Server-Leaving of %s", n.name, servers[0].ID())
					}
					mu.Unlock()
				}
			})
		}()
	}
	time.Sleep(3 * time.Second)
	var healed time.Time
	if r.trouble {
		r.note("the nodes of z1 are cut off from all servers")
		for _, l := range links[0] {
			l.cut()
		}
		time.Sleep(1500 * time.Millisecond)
		r.note("the store is down")
		mu.Lock()
		storeDown = true
		mu.Unlock()
		for _, p := range paths {
			p.SetMode(soaker.Reset)
		}
	}
	servers[0].Leave()
	r.note("server %s begins to leave", servers[0].ID())
	if r.trouble {
		time.Sleep(2700 * time.Millisecond)
		for _, l := range links[0] {
			if err := l.heal(); err != nil {
				return err
			}
		}
		healed = time.Now()
		r.note("the nodes of z1 reach the servers again")
		time.Sleep(3 * time.Second)
		for _, p := range paths {
			p.SetMode(soaker.Pass)
		}
		r.note("the store is back")
		mu.Lock()
		storeDown = false
		mu.Unlock()
	}
	mu.Lock()
	draining = true
	mu.Unlock()
	publish()
	r.note("the store acknowledges that server %s is draining", servers[0].ID())
	time.Sleep(drainTime + 500*time.Millisecond)
	close(stop)
	wg.Wait()
	r.mu.Lock()
	arrivals := r.arrivals
	r.mu.Unlock()
	// Until the links are back, the requests of the node reach servers through others.
	for attempt, s := range requests {
		from := leavingAt[s.node]
		for _, a := range arrivals[attempt] {
			if a.Server == servers[0].ID() && !a.Misdirected && !from.IsZero() && s.at.Sub(from) > drainTime && (!s.cut || a.At.After(healed)) {
				r.fault("DRAIN: %s, sent %s after node %s had passed on an answer with Server-Leaving of %s, reaches that server", attempt, s.at.Sub(from), s.node.name, a.Server)
			}
		}
	}

	return nil
}
