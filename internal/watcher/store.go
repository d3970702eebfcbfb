package watcher

import (
	"crypto/sha256"
	"sync"

	"snipedyke/pkg/cataloguer"
	"snipedyke/pkg/encoder"
)

type hash = [sha256.Size]byte

func hashOf(body []byte) hash { return sha256.Sum256(body) }

const (
	// maxMessageSize bounds the documents of a message in bytes, so that the
	// encoded message fits into a peer frame of 1 MiB.
	maxMessageSize = 1<<20 - 8<<10
	// documentOverhead is the encoded size of a document in bytes beyond its
	// body.
	documentOverhead = 64
)

// store holds the current publications.
type store struct {
	mu               sync.Mutex
	catalogueVersion cataloguer.Version
	manifest         []byte
	// documents holds the bodies by hash, and names the names by hash.
	documents map[hash][]byte
	names     map[hash]string
	// skipped is the highest version of a bad publication.
	skipped      cataloguer.Version
	hostsVersion cataloguer.Version
	hostList     []byte
}

func (s *store) versions() (catalogue, hosts cataloguer.Version) {
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.catalogueVersion, s.hostsVersion
}

// watchAfter returns the version above which a publication is requested.
func (s *store) watchAfter() cataloguer.Version {
	s.mu.Lock()
	defer s.mu.Unlock()

	return max(s.catalogueVersion, s.skipped)
}

// observe records the version that the service holds. A bad publication above it
// is gone, and its version may be published again.
func (s *store) observe(v cataloguer.Version) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if v < s.skipped {
		s.skipped = 0
	}
}

// skip marks a version of the service as bad.
func (s *store) skip(v cataloguer.Version) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.skipped = max(s.skipped, v)
}

// find returns the current document with the hash.
func (s *store) find(h hash) ([]byte, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	body, ok := s.documents[h]

	return body, ok
}

func (s *store) setCatalogue(v cataloguer.Version, manifest []byte, documents map[string][]byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.catalogueVersion, s.manifest = v, manifest
	s.documents, s.names = map[hash][]byte{}, map[hash]string{}
	for name, body := range documents {
		h := hashOf(body)
		s.documents[h], s.names[h] = body, name
	}
}

func (s *store) setHosts(v cataloguer.Version, list []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hostsVersion, s.hostList = v, list
}

// fetchRequest returns a request for the versions newer than those in the
// store.
func (s *store) fetchRequest() *encoder.Fetch {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := &encoder.Fetch{Catalogue: uint64(s.catalogueVersion), Hosts: uint64(s.hostsVersion)}
	for h := range s.documents {
		f.Have = append(f.Have, h[:])
	}

	return f
}

// missingDocuments returns what a peer lacks, in messages that fit into a
// frame.
func (s *store) missingDocuments(f *encoder.Fetch) []*encoder.Documents {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []*encoder.Documents
	if s.hostsVersion > cataloguer.Version(f.Hosts) {
		out = append(out, &encoder.Documents{Hosts: s.hostList})
	}
	if s.catalogueVersion <= cataloguer.Version(f.Catalogue) {
		return out
	}
	have := map[string]bool{}
	for _, h := range f.Have {
		have[string(h)] = true
	}
	d := &encoder.Documents{Manifest: s.manifest}
	size := len(s.manifest)
	for h, body := range s.documents {
		if have[string(h[:])] {
			continue
		}
		if size+len(body)+documentOverhead > maxMessageSize && len(d.Parts) > 0 {
			out = append(out, d)
			d, size = &encoder.Documents{Manifest: s.manifest}, len(s.manifest)
		}
		d.Parts = append(d.Parts, encoder.Document{Name: s.names[h], Body: body})
		size += len(body) + documentOverhead
	}

	return append(out, d)
}
