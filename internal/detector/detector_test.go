package detector

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"snipedyke/pkg/cataloguer"
	"snipedyke/pkg/encoder"
)

var start = time.Unix(1000, 0)

func hostList(version cataloguer.Version, n int) *cataloguer.Hosts {
	l := &cataloguer.Hosts{Version: version}
	for i := range n {
		l.Hosts = append(l.Hosts, cataloguer.Host{Name: fmt.Sprintf("h%03d", i), DataCentre: "a"})
	}

	return l
}

// group runs detectors whose heartbeats are delivered without delay.
type group struct {
	now   time.Time
	nodes map[string]*Detector
	// last holds the last heartbeat by sender and receiver.
	last map[[2]string]*encoder.Heartbeat
}

func newGroup(n int) *group {
	g := &group{now: start, nodes: map[string]*Detector{}, last: map[[2]string]*encoder.Heartbeat{}}
	for _, h := range hostList(1, n).Hosts {
		d := New(h.Name, "a", 7)
		d.SetPools(map[string]string{"p": ""})
		d.SetHosts(g.now, hostList(1, n))
		g.nodes[h.Name] = d
	}

	return g
}

func (g *group) run(d time.Duration) (changes []Change) {
	for end := g.now.Add(d); g.now.Before(end); g.now = g.now.Add(10 * time.Millisecond) {
		for i := range len(g.nodes) {
			name := fmt.Sprintf("h%03d", i)
			beats, lost := g.nodes[name].Step(g.now, nil)
			changes = append(changes, lost...)
			for _, b := range beats {
				g.last[[2]string{name, b.To}] = b.Heartbeat
				changes = append(changes, g.nodes[b.To].HandleHeartbeat(g.now, name, b.Heartbeat)...)
			}
		}
	}

	return changes
}

// Guards against heartbeats that were buffered while the process was paused
// and are then taken as proof of a fresh view or of valid leases.
func TestBufferedHeartbeatsProveNothing(t *testing.T) {
	c := qt.New(t)
	g := newGroup(5)
	g.run(6 * time.Second)
	home := g.nodes["h000"].Home(g.now, "p")
	d := g.nodes[home]
	leases, lenders := d.Leases(g.now, "p")
	c.Assert([]int{leases, lenders}, qt.DeepEquals, []int{5, 5})
	c.Assert(d.IsFresh(g.now), qt.IsTrue)
	g.now = g.now.Add(30 * time.Second)
	beats, lost := d.Step(g.now, nil)
	c.Check(lost, qt.HasLen, 0, qt.Commentf("peers must not be lost because this process paused"))
	for _, b := range beats {
		g.nodes[b.To].HandleHeartbeat(g.now, home, b.Heartbeat)
	}
	for name := range g.nodes {
		if name != home {
			d.HandleHeartbeat(g.now, name, g.last[[2]string{name, home}])
		}
	}
	c.Check(d.IsFresh(g.now), qt.IsFalse)
	leases, _ = d.Leases(g.now, "p")
	c.Check(leases, qt.Equals, 1, qt.Commentf("its own share is all that it may count"))
	// The peers echo with their next heartbeat, after at most slowPeriod.
	g.run(slowPeriod + 100*time.Millisecond)
	c.Check(d.IsFresh(g.now), qt.IsTrue)
}

// Guards against a lender that lends right after its start: it may have lent
// its share to another home before, so it must not lend until that lease has
// expired.
func TestLenderWaitsAfterStart(t *testing.T) {
	c := qt.New(t)
	g := newGroup(3)
	lent := func() (n int) {
		for _, d := range g.nodes {
			leases, _ := d.Leases(g.now, "p")
			n += leases
		}

		return n
	}
	g.run(leaseTerm + leaseMargin)
	c.Check(lent(), qt.Equals, 0)
	g.run(2 * time.Second)
	c.Check(lent(), qt.Equals, 3)
}

// Guards against a silent node that is not noticed within lossTimeout, and
// against a heartbeat of an earlier incarnation that makes it count as alive
// again.
func TestSilentPeerIsLostAndRestartIsNoticed(t *testing.T) {
	c := qt.New(t)
	g := newGroup(3)
	g.run(6 * time.Second)
	d := g.nodes["h000"]
	d.UseFastPeriod(g.now, "h001")
	g.nodes["h001"].UseFastPeriod(g.now, "h000")
	g.run(500 * time.Millisecond)
	last := g.now
	var lost []Change
	for len(lost) == 0 && g.now.Sub(last) < 10*time.Second {
		g.now = g.now.Add(10 * time.Millisecond)
		_, lost = d.Step(g.now, nil)
		d.HandleHeartbeat(g.now, "h002", &encoder.Heartbeat{Incarnation: 7, Seq: 1 << 60})
	}
	c.Check(lost, qt.DeepEquals, []Change{Lost{"h001", 7}})
	c.Check(g.now.Sub(last) <= lossTimeout+20*time.Millisecond, qt.IsTrue)
	c.Check(d.HandleHeartbeat(g.now, "h001", &encoder.Heartbeat{Incarnation: 6, Seq: 1}), qt.HasLen, 0)
	c.Check(d.Live(g.now), qt.DeepEquals, []string{"h000", "h002"})
	c.Check(d.HandleHeartbeat(g.now, "h001", &encoder.Heartbeat{Incarnation: 8, Seq: 1}), qt.DeepEquals,
		[]Change{Restarted{"h001", 7, 8}})
}

// Guards against a new catalogue version that reaches the peers only with the
// next heartbeat at slowPeriod, so that endpoints are taken out of service too
// late.
func TestNewVersionIsSentAtOnce(t *testing.T) {
	c := qt.New(t)
	g := newGroup(8)
	g.run(6500 * time.Millisecond)
	g.nodes["h003"].SetVersions(5, 0)
	g.run(150 * time.Millisecond)
	for _, d := range g.nodes {
		if d.self != "h003" {
			c.Check(d.Newest().Catalogue, qt.Equals, uint64(5))
		}
	}
	// A node whose version is older than its peers' loses its fresh view.
	g.run(freshWindow + 100*time.Millisecond)
	c.Check(g.nodes["h000"].IsFresh(g.now), qt.IsTrue)
	for i := range 5 {
		g.nodes[fmt.Sprintf("h%03d", i)].SetVersions(5, 0)
	}
	g.run(freshWindow + 100*time.Millisecond)
	c.Check(g.nodes["h000"].IsFresh(g.now), qt.IsTrue)
	c.Check(g.nodes["h007"].IsFresh(g.now), qt.IsFalse)
}

// BenchmarkStep measures one second of a node: 100 steps, the heartbeats that
// they send, and one heartbeat from each peer. bytes/s is what the node sends,
// with 52 bytes of TCP and IP headers and 4 bytes of framing for each
// heartbeat.
func BenchmarkStep(b *testing.B) {
	for _, n := range []int{8, 50, 150, 330} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			g := newGroup(1)
			d := New("h000", "a", 7)
			d.SetPools(map[string]string{"p": "", "q": "a"})
			d.SetHosts(start, hostList(1, n))
			now, seq, bytes := g.now, uint64(0), 0
			var buf []byte
			names := d.Published()
			b.ReportAllocs()
			for b.Loop() {
				for range 100 {
					now = now.Add(10 * time.Millisecond)
					beats, _ := d.Step(now, nil)
					for _, beat := range beats {
						buf, _ = encoder.Append(buf[:0], beat.Heartbeat)
						bytes += 56 + len(buf)
					}
				}
				seq++
				for _, name := range names[1:] {
					d.HandleHeartbeat(now, name, &encoder.Heartbeat{
						Incarnation: 7, Seq: seq, Hosts: 1, Echo: d.peers[name].sentSeq, Period: 1e6,
					})
				}
			}
			b.ReportMetric(float64(bytes)/float64(b.N), "bytes/s")
		})
	}
}
