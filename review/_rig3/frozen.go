package main

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"os/exec"
	"sync"
	"syscall"
	"time"

	"snipedyke/platform/standin"
)

func init() { cases["frozen"] = playFrozen }

// playFrozen lets one node after the other stand still. Meanwhile a quarter of the servers crash
// and are back. Streams may have neither a length nor chunks.
func playFrozen(r *rig) error {
	const (
		servers = 8
		rounds  = 10
		// work makes an event of a slow stream take 0.6 s, and its 12 events 7.2 s.
		work      = 300 * time.Millisecond
		frozen    = 2900 * time.Millisecond
		before    = 650 * time.Millisecond
		down      = 1900 * time.Millisecond
		calm      = 5 * time.Second
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
	serving := map[int]*standin.Server{}
	// add starts a server.
	add := func(i int, address netip.AddrPort) error {
		self, err := executable()
		if err != nil {
			return err
		}
		s, err := standin.StartServer(exec.Command(self, serverCommand), fmt.Sprintf("i-%04d", i), "v1", address, work, uint64(time.Now().UnixNano()), r)
		if err != nil {
			return err
		}
		r.mu.Lock()
		r.servers = append(r.servers, s)
		r.mu.Unlock()
		mu.Lock()
		defer mu.Unlock()
		serving[i] = s

		return store.Register(s, service, "z1", false)
	}
	for i := range servers {
		if err := add(i, netip.MustParseAddrPort("127.0.0.1:0")); err != nil {
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
				_ = store.Register(s, service, "z1", false)
			}
		})
	}()
	var clients []*client
	for _, zone := range []string{"z1", "z1", "z2"} {
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
	round := func(i int, sent <-chan struct{}) error {
		n := r.nodes[i%len(r.nodes)]
		n.signal(syscall.SIGSTOP)
		start := time.Now()
		<-sent
		mu.Lock()
		crashed := []int{2 * i % (servers / 2), 2*i%(servers/2) + 1}
		addresses := map[int]netip.AddrPort{}
		for _, k := range crashed {
			s := serving[k]
			addresses[k] = s.Addr()
			delete(serving, k)
			r.note("server %s crashes", s.ID())
			s.Crash()
		}
		mu.Unlock()
		time.Sleep(down)
		for _, k := range crashed {
			if err := add(k, addresses[k]); err != nil {
				return err
			}
			r.note("server i-%04d is back", k)
		}
		time.Sleep(time.Until(start.Add(frozen)))
		n.signal(syscall.SIGCONT)

		return nil
	}
	for i := range rounds {
		time.Sleep(calm + before - unframedTime)
		mu.Lock()
		var some []*standin.Server
		for k := range servers / 2 {
			some = append(some, serving[k])
		}
		mu.Unlock()
		sent := make(chan struct{})
		go func() {
			defer close(sent)
			r.sendUnframed(some)
		}()
		time.Sleep(unframedTime - before)
		if !r.trouble {
			time.Sleep(frozen)
		} else if err := round(i, sent); err != nil {
			return err
		}
	}
	time.Sleep(3 * time.Second)
	close(stop)
	wg.Wait()

	return nil
}

// signal sends a signal to the process of the node.
func (n *node) signal(s syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.rig.note("node %s gets signal %v", n.name, s)
	_ = n.cmd.Process.Signal(s)
}
