package main

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"os/exec"
	"strconv"
	"sync"
	"time"

	"snipedyke/internal/soaker"
	"snipedyke/platform/standin"
)

func init() { cases["upgrade"] = playUpgrade }

// playUpgrade lets the last server of a software version crash while the store is down, and
// start again under its ID and at its address with the newer version that the others have. It
// can register only when the store is back.
func playUpgrade(r *rig) error {
	const (
		work      = 200 * time.Millisecond
		down      = 2 * time.Second
		storeDown = 4500 * time.Millisecond
		// before is the time from the outage to the crash.
		before    = 500 * time.Millisecond
		streamGap = 50 * time.Millisecond
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
	if err := putManifest(1, false, store); err != nil {
		return err
	}
	var mu sync.Mutex
	var serving []*standin.Server
	start := func(id, version string, address netip.AddrPort) (*standin.Server, error) {
		cmd, err := serverProcess()
		if err != nil {
			return nil, err
		}
		s, err := standin.StartServer(cmd, id, version, address, work, uint64(time.Now().UnixNano()), r)
		if err != nil {
			return nil, err
		}
		r.mu.Lock()
		r.servers = append(r.servers, s)
		r.mu.Unlock()

		return s, nil
	}
	for i := range 4 {
		version := "v2"
		if i == 0 {
			version = "v1"
		}
		s, err := start("i-000"+strconv.Itoa(i), version, netip.MustParseAddrPort("127.0.0.1:0"))
		if err == nil {
			err = store.Register(s, service, "z1", false)
		}
		if err != nil {
			return err
		}
		serving = append(serving, s)
	}
	isDown := false
	stop := make(chan struct{})
	var wg sync.WaitGroup
	wg.Add(1)
	go func() {
		defer wg.Done()
		repeat(publication, stop, func() {
			mu.Lock()
			defer mu.Unlock()
			for _, s := range serving {
				if isDown {
					break
				}
				_ = store.Register(s, service, "z1", false)
			}
		})
	}()
	var clients []*client
	for _, zone := range []string{"z1", "z1", "z2"} {
		n, err := r.addNode(zone, path.Addr())
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
		repeat(streamGap, stop, func() { r.followStream(clients) })
	}()
	time.Sleep(6 * time.Second)
	if r.trouble {
		r.note("the store is down")
		path.SetMode(soaker.Reset)
		mu.Lock()
		isDown = true
		mu.Unlock()
		time.Sleep(before)
		mu.Lock()
		x := serving[0]
		serving = serving[1:]
		mu.Unlock()
		r.note("server %s crashes", x.ID())
		x.Crash()
		time.Sleep(down)
		s, err := start(x.ID(), "v2", x.Addr())
		if err != nil {
			return err
		}
		r.note("server %s is back with version v2", x.ID())
		time.Sleep(storeDown - before - down)
		path.SetMode(soaker.Pass)
		mu.Lock()
		isDown = false
		serving = append(serving, s)
		for _, s := range serving {
			_ = store.Register(s, service, "z1", false)
		}
		mu.Unlock()
		r.note("the store is back, and all servers are registered")
	}
	time.Sleep(8 * time.Second)
	close(stop)
	wg.Wait()

	return nil
}

// followStream begins a resumable stream and takes it up again until it is complete or its
// time is over.
func (r *rig) followStream(clients []*client) {
	const limit = 12 * time.Second
	end := time.Now().Add(limit)
	first, last := "", 0
	versions := map[string]bool{}
	for n := 0; time.Now().Before(end) && n < 40; n++ {
		c := clients[rand.IntN(len(clients))]
		attempt := newAttempt()
		ctx, cancel := context.WithDeadline(context.Background(), end)
		req, err := http.NewRequestWithContext(ctx, "POST", "http://"+c.node.front()+"/resumable/slow/stream", http.NoBody)
		if err != nil {
			cancel()

			return
		}
		req.Host = host
		standin.SetRequestHeaders(req, attempt, keptKey, time.Until(end))
		if last > 0 {
			standin.TakeUp(req, first, last)
		}
		r.note("client sends %s (first %s, last %d) to %s", attempt, first, last, c.node.name)
		resp, err := c.http.Do(req)
		wait := 100 * time.Millisecond
		if err == nil {
			body, _ := io.ReadAll(resp.Body)
			_ = resp.Body.Close()
			events, _ := standin.ParseEvents(string(body))
			server, _ := standin.SealedBy(resp, attempt)
			r.note("client: %s answered %d by %s with %d events", attempt, resp.StatusCode, server, len(events))
			for _, e := range events {
				versions[e.Version] = true
				last = e.Number
			}
			if len(events) > 0 && first == "" {
				first = attempt
			}
			if s, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil {
				wait = time.Duration(s * float64(time.Second))
			}
		}
		cancel()
		if last >= standin.Events {
			break
		}
		time.Sleep(wait)
	}
	if len(versions) > 1 {
		r.fault("ORDER: stream %s holds events of two software versions", first)
	}
}

func serverProcess() (*exec.Cmd, error) {
	self, err := executable()

	return exec.Command(self, serverCommand), err
}
