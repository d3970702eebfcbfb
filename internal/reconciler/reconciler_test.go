package reconciler

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"snipedyke/pkg/cataloguer"
)

var start = time.Unix(1000, 0)

func catalogue(version cataloguer.Version, fences bool, models ...string) *cataloguer.Catalogue {
	c := &cataloguer.Catalogue{
		Version:   version,
		Services:  map[string]*cataloguer.Service{"s": {Name: "s", Kind: cataloguer.ModelService}},
		Endpoints: map[string]*cataloguer.Endpoint{},
	}
	for _, name := range []string{"e1", "e2", "e3"} {
		c.Endpoints[name] = &cataloguer.Endpoint{Name: name, Service: "s", Pool: "p", Models: models, Fences: fences}
	}

	return c
}

func neverOut(*cataloguer.Endpoint) bool { return false }

// TestDownloadsAreLimited checks that a change of model does not make all
// engines of a pool download weights from the store at once.
func TestDownloadsAreLimited(t *testing.T) {
	c := qt.New(t)
	r := New("p")
	r.Configure(catalogue(7, true, "new"), neverOut)
	for _, name := range []string{"e1", "e2", "e3"} {
		r.SetLoaded(start, name, []string{"old"})
	}
	orders := r.Step(start, 1)
	c.Assert(orders, qt.DeepEquals, []Order{{Endpoint: "e1", Fence: 7, Load: []string{"new"}, Unload: []string{"old"}}})
	c.Assert(r.Step(start.Add(time.Second), 1), qt.HasLen, 0)
	r.SetLoaded(start.Add(2*time.Second), "e1", []string{"new"})
	c.Assert(r.Step(start.Add(2*time.Second), 1)[0].Endpoint, qt.Equals, "e2")
}

// TestLateOrderIsHarmless checks that engines that do not check fences get no
// unload orders. A delayed one could unload what a newer order had loaded.
func TestLateOrderIsHarmless(t *testing.T) {
	c := qt.New(t)
	r := New("p")
	r.Configure(catalogue(7, false, "new"), neverOut)
	r.SetLoaded(start, "e1", []string{"old"})
	for _, o := range r.Step(start, 3) {
		c.Assert(o.Unload, qt.HasLen, 0)
	}
}

// TestDownloadSharesSumToLimit checks that the shares of all pools add up to
// the download limit, and that every pool gets a share after some versions.
func TestDownloadSharesSumToLimit(t *testing.T) {
	c := qt.New(t)
	for _, limit := range []int{1, 4, 10} {
		turns := make([]int, 7)
		for version := range cataloguer.Version(7) {
			sum := 0
			for i := range turns {
				turns[i] += DownloadShare(limit, len(turns), i, version)
				sum += DownloadShare(limit, len(turns), i, version)
			}
			c.Assert(sum, qt.Equals, limit)
		}
		for i := range turns {
			c.Assert(turns[i] > 0, qt.IsTrue)
		}
	}
}
