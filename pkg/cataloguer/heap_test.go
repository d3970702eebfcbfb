package cataloguer_test

import (
	"fmt"
	"maps"
	"runtime"
	"testing"

	qt "github.com/frankban/quicktest"

	"snipedyke/pkg/cataloguer"
)

// BenchmarkHeap reports the heap size of a parsed catalogue and the size of its
// documents for several numbers of entries.
func BenchmarkHeap(b *testing.B) {
	for _, entries := range []int{1500, 3000, 6000, 12000} {
		b.Run(fmt.Sprint(entries), func(b *testing.B) {
			manifest, parts, size := documentsWithEntries(b, entries)
			before := heapAlloc()
			var c *cataloguer.Catalogue
			for range b.N {
				var err error
				c, err = cataloguer.Parse(manifest, parts)
				qt.Assert(b, err, qt.IsNil)
			}
			b.ReportMetric(float64(heapAlloc())-float64(before), "heap-B")
			b.ReportMetric(float64(size), "documents-B")
			runtime.KeepAlive(c)
			runtime.KeepAlive(parts)
		})
	}
}

// documentsWithEntries returns the documents of a catalogue with the number of
// entries, and their total size in bytes.
func documentsWithEntries(b *testing.B, entries int) (manifest []byte, parts map[string][]byte, size int) {
	manifest, parts = targetSizeDocuments(b)
	c, err := cataloguer.Parse(manifest, parts)
	qt.Assert(b, err, qt.IsNil)
	maps.DeleteFunc(c.Entries, func(string, *cataloguer.Entry) bool { entries--; return entries < 0 })
	manifest, parts, err = cataloguer.Encode(c)
	qt.Assert(b, err, qt.IsNil)
	size = len(manifest)
	for _, p := range parts {
		size += len(p)
	}

	return manifest, parts, size
}

// heapAlloc returns the size of the live heap objects in bytes.
func heapAlloc() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)

	return m.HeapAlloc
}
