package main

import (
	"fmt"
	"sync"
	"time"

	"snipedyke/internal/soaker"
	"snipedyke/platform/standin"
)

func init() { cases["restored"] = playRestored }

// playRestored takes a key away. Later the store is away for a second and comes back from a
// copy that still has the key, and the only node of a zone is killed and started again. The
// operator writes the manifest again when the store has been back for 2 s.
func playRestored(r *rig) error {
	const (
		away        = time.Second
		rewriteTime = 2 * time.Second
		// restoredAfter is the time from the acknowledgement to the return of the store.
		restoredAfter = 5 * time.Second
		requestGap    = 40 * time.Millisecond
	)
	store, err := r.addStore()
	if err != nil {
		return err
	}
	path, err := soaker.NewProxy(store.Addr())
	if err != nil {
		return err
	}
	defer path.Close()
	if err := putManifest(1, true, store); err != nil {
		return err
	}
	var servers []*standin.Server
	for i := range 4 {
		s, err := r.addServer(fmt.Sprintf("i-%04d", i), 15*time.Millisecond, false)
		if err != nil {
			return err
		}
		servers = append(servers, s)
		if err := store.Register(s, service, "z1", false); err != nil {
			return err
		}
	}
	stop := make(chan struct{})
	var wg sync.WaitGroup
	wg.Add(1)
	go func() {
		defer wg.Done()
		repeat(publication, stop, func() {
			for _, s := range servers {
				_ = store.Register(s, service, "z1", false)
			}
		})
	}()
	var nodes []*node
	for _, zone := range []string{"z1", "z1", "z2"} {
		n, err := r.addNode(zone, path.Addr())
		if err != nil {
			return err
		}
		nodes = append(nodes, n)
	}
	if err := r.awaitReady(); err != nil {
		return err
	}
	time.Sleep(3 * time.Second)
	var mu sync.Mutex
	sentAt := map[string]time.Time{}
	for _, n := range nodes {
		c := r.newClient(n)
		wg.Add(2)
		for _, key := range []string{lostKey, keptKey} {
			go func() {
				defer wg.Done()
				repeat(requestGap, stop, func() {
					attempt := newAttempt()
					if key == lostKey {
						mu.Lock()
						sentAt[attempt] = time.Now()
						mu.Unlock()
					}
					c.send(attempt, "POST", "/unsafe/", key, 1500*time.Millisecond)
				})
			}()
		}
	}
	time.Sleep(4 * time.Second)
	before := store.Revision()
	if err := putManifest(2, false, store); err != nil {
		return err
	}
	acked := time.Now()
	r.note("the store acknowledges version 2, which takes %s away", lostKey)
	if r.trouble {
		time.Sleep(restoredAfter - away)
		r.note("the store is away")
		path.SetMode(soaker.Reset)
		time.Sleep(away)
		store.Restore(before)
		path.SetMode(soaker.Pass)
		r.note("the store is back from a copy of revision %d, and node %s is killed", before, nodes[2].name)
		nodes[2].kill()
		time.Sleep(300 * time.Millisecond)
		if err := nodes[2].start(); err != nil {
			return err
		}
		time.Sleep(rewriteTime - 300*time.Millisecond)
		if err := putManifest(2, false, store); err != nil {
			return err
		}
		r.note("the store acknowledges version 2 again")
	} else {
		time.Sleep(restoredAfter + rewriteTime)
	}
	time.Sleep(4 * time.Second)
	close(stop)
	wg.Wait()
	r.mu.Lock()
	runs := r.runs
	r.mu.Unlock()
	for attempt, at := range sentAt {
		if late := at.Sub(acked) - revokeTime; late > 0 && len(runs[attempt]) > 0 {
			r.fault("CONFIG: %s was sent with %s %s after revokeMs and ran at %s for %q", attempt, lostKey, late, runs[attempt][0].Server, runs[attempt][0].Tenant)
		}
	}

	return nil
}
