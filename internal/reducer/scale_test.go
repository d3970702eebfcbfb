package reducer

import (
	"fmt"
	"reflect"
	"runtime"
	"slices"
	"strings"
	"testing"
	"time"

	"snipedyke/pkg/cataloguer"
	"snipedyke/pkg/encoder"
)

// The target size of a fleet. Smaller fleets have the same ratios.
const (
	targetNodes     = 330
	targetEndpoints = 2100
	targetEntries   = 12000
	targetPools     = 45
	targetRate      = 2600
)

// traffic counts the messages between nodes by kind.
type traffic struct {
	count, bytes map[string]int
}

// scaledCatalogue returns a catalogue with endpoints, pools and entries in
// proportion to the number of nodes.
func scaledCatalogue(nodes int) *cataloguer.Catalogue {
	c := testCatalogue(1)
	c.Epoch = 1
	clear(c.Endpoints)
	for i := range 9 {
		name := fmt.Sprintf("dc%d", i)
		c.DataCentres[name] = &cataloguer.DataCentre{Name: name, Region: fmt.Sprintf("r%d", i/3)}
	}
	pools := max(1, nodes*targetPools/targetNodes)
	for i := range max(pools, nodes*targetEndpoints/targetNodes) {
		name := fmt.Sprintf("e%04d", i)
		c.Endpoints[name] = &cataloguer.Endpoint{
			Name: name, Service: "chat", DataCentre: fmt.Sprintf("dc%d", i%pools%9), Pool: fmt.Sprintf("p%02d", i%pools),
			Slots: 64, ColdSlots: 8, Models: []string{"m"},
		}
	}
	for i := range max(10, nodes*targetEntries/targetNodes) {
		name := fmt.Sprintf("account-%05d", i)
		c.Entries[name] = &cataloguer.Entry{
			Name: name, Owner: name, Class: "ask", Rate: 50, Burst: 100, MaxConcurrent: 100,
		}
	}

	return c
}

// BenchmarkFleet runs fleets in virtual time under the target load per node, and
// reports the traffic and CPU time of the control plane per node and second. The
// figures in docs/CAPACITY.md come from it.
func BenchmarkFleet(b *testing.B) {
	for _, nodes := range []int{8, 40, 80, 160, 330} {
		b.Run(fmt.Sprintf("nodes=%d", nodes), func(b *testing.B) {
			for range b.N {
				measureFleet(b, nodes)
			}
		})
	}
}

func measureFleet(b *testing.B, nodes int) {
	f := newEmptyFleet(1)
	f.catalogue = scaledCatalogue(nodes)
	f.traffic = &traffic{count: map[string]int{}, bytes: map[string]int{}}
	before := heapInUse()
	for i := range nodes {
		name := fmt.Sprintf("n%03d", i)
		f.names = append(f.names, name)
		f.hosts.Hosts = append(f.hosts.Hosts, cataloguer.Host{Name: name, DataCentre: fmt.Sprintf("dc%d", i%9)})
	}
	f.addEndpoints(30 * time.Millisecond)
	for _, name := range f.names {
		f.startNode(name)
	}
	f.run(6 * time.Second)
	f.sendScaledLoad(nodes, 6*time.Second)
	f.run(2 * time.Second)
	clear(f.traffic.count)
	clear(f.traffic.bytes)
	const seconds = 4
	began := time.Now()
	f.run(seconds * time.Second)
	elapsed := time.Since(began)
	perNode := 1 / float64(nodes) / seconds
	total := 0
	for _, kind := range slices.Sorted(keysOf(f.traffic.bytes)) {
		total += f.traffic.bytes[kind]
		b.ReportMetric(float64(f.traffic.count[kind])*perNode, kind+"/s")
		b.ReportMetric(float64(f.traffic.bytes[kind])*perNode, kind+"-B/s")
	}
	b.ReportMetric(float64(total)*perNode, "B/s")
	b.ReportMetric(elapsed.Seconds()*perNode*100, "%core")
	b.ReportMetric(float64(heapInUse()-before)/float64(nodes)/1024, "KiB/node")
	b.ReportMetric(float64(f.answersByReason[""]), "answered")
	runtime.KeepAlive(f)
}

func keysOf(m map[string]int) func(func(string) bool) {
	return func(yield func(string) bool) {
		for k := range m {
			if !yield(k) {
				return
			}
		}
	}
}

// heapInUse returns the number of allocated heap bytes after a garbage
// collection.
func heapInUse() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)

	return m.HeapAlloc
}

// sendScaledLoad sends requests at the target rate per node for a duration of
// d, one in twenty with an idempotency key.
func (f *fleet) sendScaledLoad(nodes int, d time.Duration) {
	entries := make([]string, 0, len(f.catalogue.Entries))
	for name := range f.catalogue.Entries {
		entries = append(entries, name)
	}
	slices.Sort(entries)
	gap := time.Duration(float64(time.Second) * targetNodes / targetRate / float64(nodes))
	for at, i := time.Duration(0), 0; at < d; at, i = at+gap, i+1 {
		f.after(at, func() {
			q := Request{Service: "chat", Class: "ask", Model: "m"}
			if i%20 == 0 {
				q = Request{Service: "chat", Class: "pay", Once: true, Key: fmt.Sprintf("k%d", i)}
			}
			q.Entry = entries[f.rng.IntN(len(entries))]
			f.call(f.names[f.rng.IntN(len(f.names))], q, nil)
		})
	}
}

// record counts a message and its size including the frame header.
func (t *traffic) record(m encoder.Message) {
	const frameHeader = 4
	kind := strings.ToLower(reflect.TypeOf(m).Elem().Name())
	buf, err := encoder.Append(nil, m)
	if err != nil {
		return
	}
	t.count[kind]++
	t.bytes[kind] += len(buf) + frameHeader
}
