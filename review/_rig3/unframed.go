package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"snipedyke/platform/standin"
)

func init() { cases["unframed"] = playUnframed }

// playUnframed lets one server of eight leave, four times. It is gone 2 s after the notice, while
// it sends streams that may have neither a length nor chunks.
func playUnframed(r *rig) error {
	const (
		servers = 8
		// work makes an event of a slow stream take 0.6 s, and its 12 events 7.2 s.
		work      = 300 * time.Millisecond
		notice    = 2 * time.Second
		streamGap = 17 * time.Millisecond
	)
	store, err := r.addStore()
	if err != nil {
		return err
	}
	if err := putManifest(1, false, store); err != nil {
		return err
	}
	var mu sync.Mutex
	draining := map[*standin.Server]bool{}
	var serving []*standin.Server
	add := func(i int) error {
		s, err := r.addServer(fmt.Sprintf("i-%04d", i), work, true)
		if err != nil {
			return err
		}
		mu.Lock()
		defer mu.Unlock()
		serving = append(serving, s)

		return store.Register(s, service, "z1", false)
	}
	for i := range servers {
		if err := add(i); err != nil {
			return err
		}
	}
	stop := make(chan struct{})
	var wg sync.WaitGroup
	wg.Add(1)
	go func() {
		defer wg.Done()
		repeat(publication, stop, func() {
			mu.Lock()
			defer mu.Unlock()
			for _, s := range serving {
				_ = store.Register(s, service, "z1", draining[s])
			}
		})
	}()
	var clients []*client
	for _, zone := range []string{"z1", "z2", "z1"} {
		n, err := r.addNode(zone, store.Addr())
		if err != nil {
			return err
		}
		clients = append(clients, r.newClient(n))
	}
	if err := r.awaitReady(); err != nil {
		return err
	}
	time.Sleep(3 * time.Second)
	wg.Add(1)
	go func() {
		defer wg.Done()
		repeat(streamGap, stop, func() { r.checkStream(clients[rand.IntN(len(clients))]) })
	}()
	leave := func() {
		mu.Lock()
		gone := serving[0]
		draining[gone] = true
		gone.Leave()
		r.note("server %s says that it leaves, and is draining in the store", gone.ID())
		_ = store.Register(gone, service, "z1", true)
		mu.Unlock()
		time.Sleep(notice)
		mu.Lock()
		defer mu.Unlock()
		r.note("server %s is gone", gone.ID())
		gone.Crash()
		store.DeleteServer(gone.ID())
		serving = serving[1:]
	}
	next := servers
	for range 4 {
		time.Sleep(9*time.Second - unframedTime)
		mu.Lock()
		var some []*standin.Server
		for i := 0; i < len(serving); i += 2 {
			some = append(some, serving[i])
		}
		mu.Unlock()
		r.sendUnframed(some)
		if r.trouble {
			leave()
			time.Sleep(4*time.Second - notice)
			if err := add(next); err != nil {
				return err
			}
			next++
		}
	}
	time.Sleep(3 * time.Second)
	close(stop)
	wg.Wait()

	return nil
}

// Half of the servers send a share of their responses without a length or chunks for a time.
const (
	unframedShare = 0.05
	unframedTime  = 4900 * time.Millisecond
)

// sendUnframed lets servers send such responses and returns when the time is over.
func (r *rig) sendUnframed(servers []*standin.Server) {
	set := func(share float64) {
		for _, s := range servers {
			r.note("server %s sends %v of its responses without a length or chunks", s.ID(), share)
			s.SetUnframed(share)
		}
	}
	set(unframedShare)
	time.Sleep(unframedTime)
	set(0)
}

// checkStream sends a request for a stream and checks that an answer which ends as complete
// has all events.
func (r *rig) checkStream(c *client) {
	attempt := newAttempt()
	a := c.send(attempt, "POST", "/stream/slow/", keptKey, 15*time.Second)
	if a.err != nil || a.status != 200 {
		return
	}
	events, rest := standin.ParseEvents(a.body)
	whole := len(events) == standin.Events && rest == ""
	for i, e := range events {
		whole = whole && e.Number == i+1 && e.Request == attempt
	}
	if !whole {
		r.fault("ORDER: %s ended as complete after %d of %d events", attempt, len(events), standin.Events)
	}
}
