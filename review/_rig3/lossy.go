package main

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"os/exec"
	"sync"
	"time"

	"snipedyke/platform/standin"
)

func init() { cases["lossy"] = playLossy }

// playLossy lets a quarter of the servers crash, four times, while the links of a zone to the
// others lose segments. Streams may have neither a length nor chunks.
func playLossy(r *rig) error {
	const (
		servers = 8
		// work makes an event of a slow stream take 0.6 s, and its 12 events 7.2 s.
		work      = 300 * time.Millisecond
		loss      = 0.025
		lossy     = 5400 * time.Millisecond
		down      = 1900 * time.Millisecond
		streamGap = 17 * time.Millisecond
	)
	// The nodes of z1 reach the servers of z2 over links.
	direct, err := r.addStore()
	if err != nil {
		return err
	}
	remote, err := r.addStore()
	if err != nil {
		return err
	}
	if err := putManifest(1, false, direct, remote); err != nil {
		return err
	}
	type server struct {
		*standin.Server
		link *link
		seq  int
		born time.Time
		// unframed reports whether the server sends responses without a length at times.
		unframed bool
	}
	var mu sync.Mutex
	var serving []*server
	register := func(s *server) {
		s.seq++
		entry := map[string]any{
			"service": service, "addr": s.Addr().String(), "zone": "z2", "version": "v1", "slots": 64,
			"state": "ready", "coldLeftMs": 0, "seq": s.seq, "born": s.born.UnixMilli(),
		}
		_ = direct.Put("servers/"+s.ID(), entry)
		entry["addr"] = s.link.address.String()
		_ = remote.Put("servers/"+s.ID(), entry)
	}
	// add starts a server, at the address that it had if it is one that has crashed.
	add := func(id string, address netip.AddrPort, l *link, withUnframed bool) error {
		self, err := executable()
		if err != nil {
			return err
		}
		s, err := standin.StartServer(exec.Command(self, serverCommand), id, "v1", address, work, uint64(time.Now().UnixNano()), r)
		if err != nil {
			return err
		}
		r.mu.Lock()
		r.servers = append(r.servers, s)
		r.mu.Unlock()
		if l == nil {
			l, err = newLink(s.Addr())
		} else {
			err = l.listen()
		}
		if err != nil {
			return err
		}
		mu.Lock()
		defer mu.Unlock()
		added := &server{Server: s, link: l, born: time.Now(), unframed: withUnframed}
		serving = append(serving, added)
		register(added)

		return nil
	}
	for i := range servers {
		if err := add(fmt.Sprintf("i-%04d", i), netip.MustParseAddrPort("127.0.0.1:0"), nil, i < servers/2); err != nil {
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
				register(s)
			}
		})
	}()
	var clients []*client
	for _, zone := range []string{"z1", "z1", "z2"} {
		store := direct
		if zone == "z1" {
			store = remote
		}
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
	setLoss := func(share float64) {
		mu.Lock()
		defer mu.Unlock()
		r.note("the links of z1 lose %v of the segments", share)
		for _, s := range serving {
			s.link.setLoss(share)
		}
	}
	for range 4 {
		time.Sleep(6*time.Second + lossy/2 - unframedTime)
		mu.Lock()
		var some []*standin.Server
		for _, s := range serving {
			if s.unframed {
				some = append(some, s.Server)
			}
		}
		mu.Unlock()
		if r.trouble {
			time.AfterFunc(unframedTime-lossy/2, func() { setLoss(loss) })
		}
		r.sendUnframed(some)
		if !r.trouble {
			continue
		}
		mu.Lock()
		var crashed, others []*server
		for _, s := range serving {
			if s.unframed && len(crashed) < servers/4 {
				crashed = append(crashed, s)
			} else {
				others = append(others, s)
			}
		}
		serving = others
		for _, s := range crashed {
			r.note("server %s crashes", s.ID())
			s.link.refuse()
			s.Crash()
		}
		mu.Unlock()
		time.Sleep(down)
		for _, s := range crashed {
			if err := add(s.ID(), s.Addr(), s.link, true); err != nil {
				return err
			}
			r.note("server %s is back", s.ID())
		}
		time.Sleep(lossy/2 - down)
		setLoss(0)
	}
	time.Sleep(3 * time.Second)
	close(stop)
	wg.Wait()

	return nil
}
