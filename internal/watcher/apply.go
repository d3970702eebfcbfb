package watcher

import (
	"errors"
	"fmt"

	"snipedyke/pkg/cataloguer"
	"snipedyke/pkg/encoder"
)

// maxRefused bounds the number of refused publications that are remembered.
const maxRefused = 256

// partialPublication collects the documents of a publication that peers send in
// several messages.
type partialPublication struct {
	manifest []byte
	hash     hash
	version  cataloguer.Version
	// missing maps the hash of each missing document to its names.
	missing   map[hash][]string
	documents map[string][]byte
}

// FetchRequest returns a request for the publications and documents that peers
// may have newer.
func (w *Watcher) FetchRequest() *encoder.Fetch {
	f := w.store.fetchRequest()
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.partial != nil {
		for _, body := range w.partial.documents {
			h := hashOf(body)
			f.Have = append(f.Have, h[:])
		}
	}

	return f
}

// Answer returns the messages that answer a peer's request. There are none if
// the peer has the current publications.
func (w *Watcher) Answer(f *encoder.Fetch) []*encoder.Documents { return w.store.missingDocuments(f) }

// Enqueue queues documents sent by a peer. It does not wait for them to be
// checked, and drops them if the queue is full.
func (w *Watcher) Enqueue(d *encoder.Documents) {
	select {
	case w.pending <- d:
	default:
		w.dropped.Add(1)
	}
}

func (w *Watcher) applyDocuments(d *encoder.Documents) {
	if len(d.Hosts) > 0 {
		// An invalid list is reported; the peer is not asked again for it.
		_ = w.applyHosts(d.Hosts, Peer)
	}
	if len(d.Manifest) == 0 {
		return
	}
	if complete := w.addDocuments(d); complete != nil {
		w.applyCatalogue(complete.manifest, complete.documents, Peer)
	}
}

// addDocuments adds documents to the partial publication. It returns the
// publication once it is complete, and nil before.
func (w *Watcher) addDocuments(d *encoder.Documents) *partialPublication {
	h := hashOf(d.Manifest)
	m, err := cataloguer.ParseManifest(d.Manifest)
	if err != nil {
		w.refuse(h, Refusal{Document: "catalogue", Version: m.Version, Origin: Peer, Err: err})

		return nil
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.refused[h] || w.hasCatalogue(m.Version) {
		return nil
	}
	if w.partial == nil || w.partial.hash != h {
		if w.partial != nil && w.partial.version > m.Version {
			return nil
		}
		w.partial = w.newPartialPublication(h, d.Manifest, m)
	}
	for _, part := range d.Parts {
		names, ok := w.partial.missing[hashOf(part.Body)]
		if !ok {
			// The document is known already, or was damaged in transit and will
			// be fetched again.
			continue
		}
		for _, name := range names {
			w.partial.documents[name] = part.Body
		}
		delete(w.partial.missing, hashOf(part.Body))
	}
	if len(w.partial.missing) > 0 {
		return nil
	}
	complete := w.partial
	w.partial = nil

	return complete
}

func (w *Watcher) newPartialPublication(h hash, manifest []byte, m *cataloguer.Manifest) *partialPublication {
	p := &partialPublication{manifest: manifest, hash: h, version: m.Version, missing: map[hash][]string{}, documents: map[string][]byte{}}
	for _, part := range m.Documents {
		if body, ok := w.store.find(part.Hash); ok {
			p.documents[part.Name] = body
		} else {
			p.missing[part.Hash] = append(p.missing[part.Hash], part.Name)
		}
	}

	return p
}

// applyCatalogue checks a complete publication and applies it if it is newer
// than the current one.
func (w *Watcher) applyCatalogue(manifest []byte, documents map[string][]byte, origin Origin) {
	w.applyMu.Lock()
	defer w.applyMu.Unlock()
	h := hashOf(manifest)
	if w.isRefused(h) {
		return
	}
	c, err := w.parser.Parse(manifest, documents)
	if err != nil {
		m, _ := cataloguer.ParseManifest(manifest)
		w.refuse(h, Refusal{Document: "catalogue", Version: m.Version, Origin: origin, Err: err})

		return
	}
	if w.hasCatalogue(c.Version) {
		return
	}
	w.store.setCatalogue(c.Version, manifest, documents)
	w.mu.Lock()
	if w.partial != nil && w.partial.version <= c.Version {
		w.partial = nil
	}
	w.mu.Unlock()
	w.opts.OnCatalogue(c)
}

// applyHosts checks a host list and applies it if it is newer than the current
// one. It returns an error if the list is invalid.
func (w *Watcher) applyHosts(body []byte, origin Origin) error {
	w.applyMu.Lock()
	defer w.applyMu.Unlock()
	hosts, err := cataloguer.ParseHosts(body)
	if err != nil {
		w.refuse(hashOf(body), Refusal{Document: "hosts", Origin: origin, Err: err})

		return err
	}
	if w.hasHosts(hosts.Version) {
		return nil
	}
	w.store.setHosts(hosts.Version, body)
	w.opts.OnHosts(hosts)

	return nil
}

// refuse reports an invalid publication unless it has been reported before.
func (w *Watcher) refuse(h hash, r Refusal) {
	w.mu.Lock()
	known := w.refused[h]
	if len(w.refused) >= maxRefused {
		clear(w.refused)
	}
	w.refused[h] = true
	w.mu.Unlock()
	if !known {
		w.opts.OnRefused(r)
	}
}

func (w *Watcher) isRefused(h hash) bool {
	w.mu.Lock()
	defer w.mu.Unlock()

	return w.refused[h]
}

// countMismatch reports a publication whose documents repeatedly differ from
// its manifest. The documents are read again until they match or a newer
// publication arrives.
func (w *Watcher) countMismatch(manifest []byte, version cataloguer.Version, err error) error {
	var e *Error
	if !errors.As(err, &e) || e.Kind != KindMismatch {
		return err
	}
	h := hashOf(manifest)
	w.mu.Lock()
	if w.mismatches.hash != h {
		w.mismatches.hash, w.mismatches.count = h, 0
	}
	w.mismatches.count++
	report := w.mismatches.count == mismatchLimit
	w.mu.Unlock()
	if report {
		w.opts.OnRefused(Refusal{Document: "catalogue", Version: version, Origin: Service, Err: err})
	}

	return err
}

// Kind classifies an Error.
type Kind string

// Kinds of errors.
const (
	// KindCall is a call that failed or whose answer violates the protocol.
	KindCall Kind = "call failed"
	// KindMismatch is content that differs from the manifest or version it
	// belongs to.
	KindMismatch Kind = "mismatch"
)

// Error is an error of this package.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error returns the operation, the kind and the cause.
func (e *Error) Error() string { return fmt.Sprintf("watcher: %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
