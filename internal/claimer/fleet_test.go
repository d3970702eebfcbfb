package claimer_test

import (
	"cmp"
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"snipedyke/internal/claimer"
	"snipedyke/internal/detector"
	"snipedyke/pkg/cataloguer"
	"snipedyke/pkg/encoder"
)

const (
	tick     = 10 * time.Millisecond
	poolName = "drafts"
	// coldLimit is prime, so that rounding does not hide an excess lease.
	coldLimit = 13
)

// fleet simulates nodes with a claimer and a detector each, connected by a
// network that loses, delays and duplicates messages.
type fleet struct {
	rng   *rand.Rand
	start time.Time
	now   time.Time
	nodes map[string]*node
	names []string
	hosts *cataloguer.Hosts
	queue packets
	sent  int
	// loss and dup are probabilities, and delay bounds the transit time.
	loss, dup float64
	delay     time.Duration
	// partition assigns hosts to the sides of a network partition. Messages
	// between different sides are lost.
	partition map[string]int
	// intercept reports whether a message is kept back in intercepted.
	intercept   func(from, to string, m encoder.Message) bool
	intercepted []packet
	// runs counts the dispatches by subject, and answers holds their answers.
	runs     map[encoder.Subject]int
	answers  map[encoder.Subject]string
	verdicts map[uint64]claimer.Verdict
	// asked holds the number of requests by subject, in the order of IDs.
	nextID  uint64
	results map[claimer.Result]int
	// failure describes the first violated invariant.
	failure string
	// abandonRate is the probability that a won claim is abandoned.
	abandonRate float64
	quiet       bool
}

type node struct {
	name         string
	incarnation  uint64
	up           bool
	pausedUntil  time.Time
	inbox        []packet
	claimer      *claimer.Claimer
	detector     *detector.Detector
	pending      []pending
	hostsVersion uint64
	// leaving reports whether the process exits once its claimer is drained.
	leaving bool
}

type pending struct {
	at time.Time
	do func()
}

type packet struct {
	at       time.Time
	seq      int
	from, to string
	m        encoder.Message
}

type packets []packet

func (p packets) Len() int { return len(p) }
func (p packets) Less(i, j int) bool {
	return cmp.Or(p[i].at.Compare(p[j].at), cmp.Compare(p[i].seq, p[j].seq)) < 0
}
func (p packets) Swap(i, j int) { p[i], p[j] = p[j], p[i] }
func (p *packets) Push(x any)   { *p = append(*p, x.(packet)) }
func (p *packets) Pop() any {
	old := *p
	x := old[len(old)-1]
	*p = old[:len(old)-1]

	return x
}

func newFleet(seed uint64, hosts int) *fleet {
	f := &fleet{
		rng: rand.New(rand.NewPCG(seed, 1)), start: time.Unix(1000, 0), now: time.Unix(1000, 0),
		nodes: map[string]*node{}, delay: 3 * time.Millisecond, partition: map[string]int{},
		runs: map[encoder.Subject]int{}, answers: map[encoder.Subject]string{},
		verdicts: map[uint64]claimer.Verdict{}, results: map[claimer.Result]int{}, abandonRate: 0.1,
	}
	f.hosts = &cataloguer.Hosts{Version: 1}
	for i := range hosts {
		f.hosts.Hosts = append(f.hosts.Hosts, cataloguer.Host{Name: fmt.Sprintf("h%d", i), DataCentre: "a"})
	}
	for _, h := range f.hosts.Hosts {
		f.boot(h.Name)
	}
	f.run(300 * time.Millisecond)
	for _, n := range f.names {
		f.apply(f.nodes[n], f.nodes[n].claimer.SetEpoch(f.now, 1))
	}
	f.run(4 * time.Second)

	return f
}

func (f *fleet) fail(format string, args ...any) {
	if f.failure == "" {
		f.failure = fmt.Sprintf("at %v: ", f.now.Sub(f.start)) + fmt.Sprintf(format, args...)
	}
}

// boot starts a process without state.
func (f *fleet) boot(name string) {
	n := f.nodes[name]
	if n == nil {
		n = &node{name: name}
		f.nodes[name] = n
		f.names = append(f.names, name)
		slices.Sort(f.names)
	}
	n.incarnation += 1 + uint64(f.rng.IntN(1000))
	n.up, n.leaving, n.pausedUntil, n.inbox, n.pending = true, false, time.Time{}, nil, nil
	n.claimer = claimer.New(name, n.incarnation, f.rng.Uint64())
	n.detector = detector.New(name, "a", n.incarnation)
	n.detector.SetPools(map[string]string{poolName: ""})
	f.apply(n, n.claimer.SetEpoch(f.now, startEpoch(len(f.verdicts) > 0)))
	f.setHosts(n, f.hosts)
}

// startEpoch returns the epoch that a process finds when it starts.
func startEpoch(later bool) uint64 {
	if later {
		return 1
	}

	return 0
}

func (f *fleet) setHosts(n *node, list *cataloguer.Hosts) {
	if !n.up || uint64(list.Version) <= n.hostsVersion && n.detector.Published() != nil {
		return
	}
	n.hostsVersion = uint64(list.Version)
	n.detector.SetHosts(f.now, list)
	f.apply(n, n.claimer.SetHosts(f.now, list))
}

func (f *fleet) publish(hosts []cataloguer.Host) {
	f.hosts = &cataloguer.Hosts{Version: f.hosts.Version + 1, Hosts: hosts}
	list := f.hosts
	for _, name := range f.names {
		n := f.nodes[name]
		f.schedule(n, time.Duration(f.rng.Int64N(int64(400*time.Millisecond))), func() { f.setHosts(n, list) })
	}
}

func (f *fleet) schedule(n *node, after time.Duration, do func()) {
	n.pending = append(n.pending, pending{f.now.Add(after), do})
}

func (f *fleet) crash(name string) {
	n := f.nodes[name]
	n.up, n.hostsVersion, n.inbox, n.pending = false, 0, nil, nil
}

func (f *fleet) send(from, to string, m encoder.Message) {
	if f.intercept != nil && f.intercept(from, to, m) {
		f.intercepted = append(f.intercepted, packet{f.now, 0, from, to, m})
		return
	}
	copies := 1
	if f.rng.Float64() < f.dup {
		copies++
	}
	for range copies {
		if f.rng.Float64() < f.loss || f.nodes[to] == nil {
			continue
		}
		f.sent++
		at := f.now.Add(time.Duration(f.rng.Int64N(int64(f.delay))))
		heap.Push(&f.queue, packet{at, f.sent, from, to, m})
	}
}

// claim sends a request with the key to a node and returns its ID.
func (f *fleet) claim(name, key string) uint64 {
	f.nextID++
	n, id := f.nodes[name], f.nextID
	if n.up && !f.now.Before(n.pausedUntil) && !n.leaving {
		f.apply(n, n.claimer.Claim(f.now, id, encoder.ClaimKey, claimer.KeySubject("account", key)))
	}

	return id
}

func (f *fleet) apply(n *node, outs []claimer.Output) {
	for _, o := range outs {
		switch o := o.(type) {
		case claimer.Send:
			f.send(n.name, o.To, o.Message)
		case claimer.Verdict:
			f.verdict(n, o)
		}
	}
}

// verdict acts as the reducer: it dispatches requests whose claim was won.
func (f *fleet) verdict(n *node, v claimer.Verdict) {
	if _, twice := f.verdicts[v.ID]; twice && v.Result != claimer.Won {
		f.fail("second verdict %v for request %d", v.Result, v.ID)
	}
	f.verdicts[v.ID] = v
	f.results[v.Result]++
	switch v.Result {
	case claimer.Won:
		if f.rng.Float64() < f.abandonRate {
			f.schedule(n, time.Duration(f.rng.Int64N(int64(50*time.Millisecond))), func() {
				f.apply(n, n.claimer.Abandon(f.now, v.Kind, v.Subject))
			})

			return
		}
		f.runs[v.Subject]++
		if f.runs[v.Subject] > 1 {
			f.fail("key %x ran %d times, last at %s", v.Subject[:4], f.runs[v.Subject], n.name)
		}
		body := fmt.Sprintf("%x by %s", v.Subject, n.name)
		f.answers[v.Subject] = body
		f.schedule(n, time.Duration(f.rng.Int64N(int64(300*time.Millisecond))), func() {
			f.apply(n, n.claimer.Finish(f.now, v.Subject, &encoder.Answer{Status: 200, Body: []byte(body)}))
		})
	case claimer.Answered:
		if got := string(v.Answer.Body); f.answers[v.Subject] != got {
			f.fail("answer %q to a request whose run gave %q", got, f.answers[v.Subject])
		}
	}
}

// run advances the simulated time.
func (f *fleet) run(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(tick) {
		for len(f.queue) > 0 && !f.queue[0].at.After(f.now) {
			p := heap.Pop(&f.queue).(packet)
			n := f.nodes[p.to]
			if !n.up || f.partition[p.from] != f.partition[p.to] {
				continue
			}
			n.inbox = append(n.inbox, p)
		}
		for _, name := range f.names {
			if n := f.nodes[name]; n.up && !f.now.Before(n.pausedUntil) {
				f.stepNode(n)
			}
		}
		if !f.quiet {
			f.checkLeases()
		}
	}
}

func (f *fleet) stepNode(n *node) {
	inbox := n.inbox
	n.inbox = nil
	for _, p := range inbox {
		if hb, ok := p.m.(*encoder.Heartbeat); ok {
			f.changes(n, n.detector.HandleHeartbeat(f.now, p.from, hb))
			continue
		}
		f.apply(n, n.claimer.Receive(f.now, p.from, p.m))
	}
	due := n.pending
	n.pending = nil
	for _, t := range due {
		if t.at.After(f.now) {
			n.pending = append(n.pending, t)
		} else {
			t.do()
		}
	}
	if newest := n.detector.Newest(); newest.Hosts > n.hostsVersion && newest.Hosts == uint64(f.hosts.Version) {
		f.setHosts(n, f.hosts)
	}
	beats, changes := n.detector.Step(f.now, nil)
	for _, b := range beats {
		f.send(n.name, b.To, b.Heartbeat)
	}
	f.changes(n, changes)
	f.apply(n, n.claimer.Step(f.now))
	if n.leaving && n.claimer.Drained() {
		f.crash(n.name)
	}
}

func (f *fleet) changes(n *node, changes []detector.Change) {
	for _, c := range changes {
		switch c := c.(type) {
		case detector.Joined:
			f.apply(n, n.claimer.NodeJoined(f.now, c.Node, c.Incarnation))
		case detector.Restarted:
			f.apply(n, n.claimer.NodeLost(f.now, c.Node, c.Former))
		case detector.Lost:
			f.apply(n, n.claimer.NodeLost(f.now, c.Node, c.Incarnation))
		}
	}
}

// checkLeases checks the sum of the cold limits of all homes with a fresh view.
func (f *fleet) checkLeases() {
	total := 0
	for _, name := range f.names {
		n := f.nodes[name]
		if !n.up || !n.detector.IsFresh(f.now) {
			continue
		}
		if leases, lenders := n.detector.Leases(f.now, poolName); lenders > 0 {
			total += coldLimit * leases / (lenders + 1)
		}
	}
	if total > coldLimit {
		f.fail("cold limits of all homes add up to %d, above %d", total, coldLimit)
	}
}
