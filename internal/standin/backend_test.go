package standin

import (
	"path/filepath"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"snipedyke/internal/configurer"
)

// Guards against load reports that are newer than the configured lag, which
// would hide faults of nodes that trust stale reports.
func TestLoadReportsHaveConfiguredAge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		b := newBackend(Capacity{Slots: 2, ColdSlots: 1, Warm: true, ReportAge: 2 * time.Second}, nil, nil)
		s, refused := b.admit(0, nil)
		c.Assert(refused, qt.Equals, refusal(""))
		time.Sleep(1999 * time.Millisecond)
		c.Assert(b.reportedLoad().Running, qt.Equals, 0)
		time.Sleep(time.Millisecond)
		c.Assert(b.reportedLoad().Running, qt.Equals, 1)
		b.release(s, true)
		c.Assert(b.reportedLoad().Running, qt.Equals, 1)
		time.Sleep(2 * time.Second)
		c.Assert(b.reportedLoad().Running, qt.Equals, 0)
	})
}

// Guards against a queue that ignores priorities, and against a backend that
// stays cold or becomes warm before the warmup has passed.
func TestQueueOrderAndWarmup(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		b := newBackend(Capacity{Slots: 1, ColdSlots: 3, Warmup: time.Second}, nil, nil)
		s, _ := b.admit(0, nil)
		var mu sync.Mutex
		var order []int
		for _, priority := range []int{3, 1} {
			go func() {
				s, _ := b.admit(priority, nil)
				mu.Lock()
				order = append(order, priority)
				mu.Unlock()
				time.Sleep(time.Second)
				b.release(s, true)
			}()
			synctest.Wait()
		}
		c.Assert(b.reportedLoad(), qt.DeepEquals, Load{Running: 1, Queued: 2, Cold: true})
		b.release(s, true)
		synctest.Wait()
		c.Assert(b.reportedLoad().Cold, qt.IsTrue)
		time.Sleep(time.Second)
		synctest.Wait()
		c.Assert(b.reportedLoad().Cold, qt.IsFalse)
		time.Sleep(time.Second)
		synctest.Wait()
		c.Assert(order, qt.DeepEquals, []int{1, 3})
	})
}

// Guards against settings that nodes would reject, and against addresses that
// differ from the published ones.
func TestWriteSettings(t *testing.T) {
	c := qt.New(t)
	site, err := Deployment("guild")
	c.Assert(err, qt.IsNil)
	f, err := StartFleet(site.OnLoopback(20000, 3), fast)
	c.Assert(err, qt.IsNil)
	defer f.Close()
	dir := t.TempDir()
	c.Assert(f.WriteSettings(dir), qt.IsNil)
	c.Assert(f.Site.Hosts.Hosts, qt.HasLen, 3)
	for _, h := range f.Site.Hosts.Hosts {
		s, err := configurer.Load(filepath.Join(dir, h.Name+".json"))
		c.Assert(err, qt.IsNil)
		c.Assert(s.Name, qt.Equals, h.Name)
		c.Assert(s.DataCentre, qt.Equals, h.DataCentre)
		c.Assert(s.Peer.String(), qt.Equals, h.Peer.String())
		c.Assert(s.Configuration.String(), qt.Equals, f.Configuration.Addr().String())
	}
}
