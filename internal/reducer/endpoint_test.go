package reducer

import (
	"slices"
	"time"

	"snipedyke/pkg/encoder"
)

// call sends a request to a node and calls done with each answer.
func (f *fleet) call(node string, q Request, done func(*call)) *call {
	f.nextID++
	q.ID = f.nextID
	if q.Entry == "" {
		q.Entry = "e"
	}
	if q.Fingerprint == 0 {
		q.Fingerprint = f.nextID << 20
	}
	c := &call{node: node, request: q, key: q.Key, sent: f.now, done: done}
	n := f.nodes[node]
	n.calls[q.ID] = c
	f.after(messageDelay, func() { f.deliver(n, Arrived{Request: q}) })

	return c
}

// payWithRetries sends a payment and retries it through a random node until it
// is answered with "ran" or no attempts are left.
func (f *fleet) payWithRetries(key string, attempts int) {
	if attempts == 0 {
		return
	}
	again := func() { f.payWithRetries(key, attempts-1) }
	node := f.names[f.rng.IntN(len(f.names))]
	if n := f.nodes[node]; n == nil || !n.up {
		f.after(50*time.Millisecond, again)

		return
	}
	resent := false
	resend := func() {
		if !resent {
			resent = true
			again()
		}
	}
	f.call(node, Request{Service: "desk", Class: "pay", Key: key, Once: true}, func(c *call) {
		if c.run != encoder.Ran {
			f.after(30*time.Millisecond, resend)
		} else {
			resent = true
		}
	})
	f.after(700*time.Millisecond, resend)
}

// dispatch delivers a request to an endpoint.
func (f *fleet) dispatch(n *fakeNode, d Dispatch) {
	if !n.up || f.nodes[n.name] != n {
		return
	}
	if n.pausedUntil.After(f.now) {
		f.after(n.pausedUntil.Sub(f.now), func() { f.dispatch(n, d) })

		return
	}
	end := func(outcome uint8, written bool) {
		f.deliver(n, Ended{ID: d.ID, Permit: d.Permit, Outcome: outcome, Written: written})
	}
	e := f.endpoints[d.Endpoint]
	switch {
	case !f.now.Before(d.Expires):
		end(encoder.OutcomeUnused, false)

		return
	case !e.up:
		end(encoder.OutcomeRefused, false)

		return
	}
	c := n.calls[d.ID]
	c.ran = true
	if out, ok := f.outSince[d.Endpoint]; ok && !out.IsZero() && f.now.Sub(out) > 3*time.Second {
		f.fail("%s dispatched to %s, which was taken out of service %v earlier", n.name, d.Endpoint, f.now.Sub(out))
	}
	if c.key != "" {
		e.runs[c.key]++
		if total := f.runs(c.key); total > 1 {
			f.fail("key %s ran %d times, last through %s", c.key, total, n.name)
		}
	}
	e.running[d.Permit] = &fakeRun{node: n, call: c, dispatch: d, incarnation: n.incarnation}
	if e.cold && !e.crashUnnoticed && len(e.running) > e.ColdSlots {
		f.fail("cold endpoint %s runs %d requests, limit %d", d.Endpoint, len(e.running), e.ColdSlots)
	}
	if c.request.Fingerprint == crashingFingerprint {
		f.after(20*time.Millisecond, func() { f.crash(e) })

		return
	}
	length := e.runTime
	if e.cold {
		length *= coldSlowdown
	}
	f.after(length, func() { f.finish(e, d, n, length) })
}

func (f *fleet) finish(e *fakeEndpoint, d Dispatch, n *fakeNode, length time.Duration) {
	run := e.running[d.Permit]
	if run == nil || run.node != n {
		return
	}
	delete(e.running, d.Permit)
	if e.runsSinceCold++; e.runsSinceCold >= warmupRuns {
		e.cold, e.crashUnnoticed = false, false
	}
	f.deliver(n, Started{ID: d.ID, Permit: d.Permit, First: length / 2})
	f.deliver(n, Ended{
		ID: d.ID, Permit: d.Permit, Outcome: encoder.OutcomeOK, Written: true,
		Answer: &encoder.Answer{Status: 200}, Tokens: 10, First: length / 2, Gap: time.Millisecond, Run: length,
	})
}

// crash crashes an endpoint, which ends all its runs. The endpoint is back
// after 2 s, in cold start.
func (f *fleet) crash(e *fakeEndpoint) {
	if !e.up {
		return
	}
	e.crashes++
	e.up = false
	e.crashUnnoticed = true
	for _, run := range e.sortedRuns() {
		e.crashUnnoticed = e.crashUnnoticed && !run.node.up
		f.deliver(run.node, Ended{ID: run.dispatch.ID, Permit: run.dispatch.Permit, Outcome: encoder.OutcomeLost, Written: true})
	}
	e.running = map[uint64]*fakeRun{}
	f.after(2*time.Second, func() { e.up, e.cold, e.runsSinceCold = true, true, 0 })
}

// sortedRuns returns the runs sorted by permit.
func (e *fakeEndpoint) sortedRuns() []*fakeRun {
	var runs []*fakeRun
	for _, run := range e.running {
		i := len(runs)
		for i > 0 && runs[i-1].dispatch.Permit > run.dispatch.Permit {
			i--
		}
		runs = append(runs[:i], append([]*fakeRun{run}, runs[i:]...)...)
	}

	return runs
}

func (f *fleet) cancel(n *fakeNode, c Cancel) {
	for _, e := range f.endpoints {
		if run := e.running[c.Permit]; run != nil && run.node == n {
			delete(e.running, c.Permit)
			f.deliver(n, Ended{ID: c.ID, Permit: c.Permit, Outcome: encoder.OutcomeCancelled, Written: true})
		}
	}
}

// poll delivers a load report that is 2 s old when it arrives.
func (f *fleet) poll(n *fakeNode, p Poll) {
	if e := f.endpoints[p.Endpoint]; e.up {
		report := LoadReported{Endpoint: p.Endpoint, Running: len(e.running), Loading: e.cold, Loaded: slices.Clone(e.loaded)}
		f.after(2*time.Second, func() { f.deliver(n, report) })
	}
}

// prepare carries out an order to an engine. A download takes 3 s.
func (f *fleet) prepare(p Prepare) {
	e := f.endpoints[p.Endpoint]
	if e.Fences && p.Fence < e.fence {
		return
	}
	e.fence = max(e.fence, p.Fence)
	e.loaded = slices.DeleteFunc(e.loaded, func(m string) bool { return slices.Contains(p.Unload, m) })
	if len(p.Load) == 0 {
		return
	}
	e.loading++
	loading := 0
	for _, other := range f.endpoints {
		loading += other.loading
	}
	if loading > f.catalogue.Downloads {
		f.fail("%d downloads in progress, limit %d", loading, f.catalogue.Downloads)
	}
	f.after(3*time.Second, func() {
		e.loading--
		e.loaded = append(e.loaded, p.Load...)
	})
}

// refuseConnections reports to all reachable nodes that the address of a node
// refuses connections, if the node is down.
func (f *fleet) refuseConnections(name string) {
	for _, other := range f.names {
		if n := f.nodes[other]; n.up && !f.nodes[name].up && !f.unreachable(other, name) {
			f.deliver(n, ConnectionRefused{Peer: name})
		}
	}
}

// kill terminates the process of a node, which breaks its connections to
// endpoints. Non-idempotent runs continue.
func (f *fleet) kill(name string) {
	n := f.nodes[name]
	n.up = false
	if f.rng.IntN(2) == 0 {
		// The host is still up and refuses connections. In the other case it
		// does not respond.
		f.after(200*time.Millisecond, func() { f.refuseConnections(name) })
	}
	for _, e := range f.endpoints {
		for _, run := range e.sortedRuns() {
			if run.node == n && !run.dispatch.Once {
				delete(e.running, run.dispatch.Permit)
			}
		}
	}
}
