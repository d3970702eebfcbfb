// Package watcher keeps a node's catalogue and host list up to date from the
// configuration service, the host list service and other nodes.
//
// A reader is a node that watches the services for its data centre. Other nodes
// check them only at intervals.
package watcher

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"

	"snipedyke/pkg/cataloguer"
	"snipedyke/pkg/encoder"
)

const (
	// watchWait is how long a reader's watch waits for a new version.
	watchWait = 10 * time.Second
	// checkInterval is the maximum time between two checks for a new version by
	// a node that is not a reader.
	checkInterval = 30 * time.Second
	// peerWait is how long a node that is not a reader waits for its peers to
	// send a new publication before it reads the documents from the service. It
	// keeps a starting fleet below the service's limit of 2,000 reads/s.
	peerWait = 3 * time.Second
	// minBackoff and maxBackoff bound the delay after a failed call.
	minBackoff = 200 * time.Millisecond
	maxBackoff = 5 * time.Second
	// maxPending is the number of peer messages that may wait to be applied;
	// further ones are dropped and fetched again. Each may take up to 1 MiB.
	maxPending = 16
	// mismatchLimit is the number of reads after which a publication whose
	// documents differ from its manifest is reported as bad. A publication that
	// is replaced while a node reads it causes only one mismatch.
	mismatchLimit = 3
)

// Origin is where a publication came from.
type Origin string

// Origins of publications.
const (
	Service Origin = "service"
	Peer    Origin = "peer"
)

// Refusal describes a publication that was not applied.
type Refusal struct {
	// Document is "catalogue" or "hosts".
	Document string
	Version  cataloguer.Version
	Origin   Origin
	Err      error
}

// Source provides the documents of the configuration service and the host list.
type Source interface {
	// Manifest returns the manifest once its version is above after, or an
	// empty body after the time wait. The version is the one that the service
	// holds.
	Manifest(ctx context.Context, after cataloguer.Version, wait time.Duration) (version cataloguer.Version, body []byte, err error)
	// Hosts is like Manifest for the host list.
	Hosts(ctx context.Context, after cataloguer.Version, wait time.Duration) (version cataloguer.Version, body []byte, err error)
	// Document returns a document of the service's current catalogue.
	Document(ctx context.Context, name string) ([]byte, error)
}

// Options are the dependencies of a Watcher. The callbacks are called by
// several goroutines. They may block, and may call the Watcher's methods.
type Options struct {
	Source Source
	// OnCatalogue and OnHosts are called with each publication that is applied, in
	// the order of versions.
	OnCatalogue func(*cataloguer.Catalogue)
	OnHosts     func(*cataloguer.Hosts)
	// OnContact is called when the configuration service has shown that the
	// current catalogue is not older than its own.
	OnContact func()
	// OnRefused is called once for each bad publication.
	OnRefused func(Refusal)
	// Seed seeds the jitter of the delays.
	Seed uint64
}

// Stats are counters of a Watcher.
type Stats struct {
	// Calls is the number of calls to the source, and Failures the number of
	// failed ones.
	Calls    uint64
	Failures uint64
	// Dropped is the number of peer messages dropped because the queue was
	// full.
	Dropped uint64
}

// Watcher keeps the publications up to date. Its methods are safe for
// concurrent use.
type Watcher struct {
	opts    Options
	store   store
	reader  atomic.Bool
	pending chan *encoder.Documents
	// wake has a channel for each loop; a send ends the loop's pause between
	// checks.
	wake [2]chan struct{}

	calls, failures, dropped atomic.Uint64

	// applyMu is held while a publication is checked, applied and passed to a
	// callback. Methods that the event loop calls must not lock it.
	applyMu sync.Mutex
	parser  cataloguer.Parser

	// mu guards the following fields, and is held for short times only.
	mu      sync.Mutex
	partial *partialPublication
	// refused is the set of hashes of refused manifests and host lists.
	refused map[hash]bool
	// mismatches counts the failed reads of a manifest's documents.
	mismatches struct {
		hash  hash
		count int
	}
}

// New returns a Watcher without publications. Run starts it.
func New(opts Options) *Watcher {
	w := &Watcher{opts: opts, pending: make(chan *encoder.Documents, maxPending), refused: map[hash]bool{}}
	for i := range w.wake {
		w.wake[i] = make(chan struct{}, 1)
	}

	return w
}

// Run keeps the publications up to date until the context ends.
func (w *Watcher) Run(ctx context.Context) {
	var wg conc.WaitGroup
	wg.Go(func() { w.loop(ctx, 0, w.checkCatalogue) })
	wg.Go(func() { w.loop(ctx, 1, w.checkHosts) })
	wg.Go(func() {
		for {
			select {
			case <-ctx.Done():
				return
			case d := <-w.pending:
				w.applyDocuments(d)
			}
		}
	})
	wg.Wait()
}

// SetReader sets whether the node is a reader.
func (w *Watcher) SetReader(reader bool) {
	if w.reader.Swap(reader) == reader {
		return
	}
	for _, c := range w.wake {
		select {
		case c <- struct{}{}:
		default:
		}
	}
}

// Stats returns the counters.
func (w *Watcher) Stats() Stats {
	return Stats{Calls: w.calls.Load(), Failures: w.failures.Load(), Dropped: w.dropped.Load()}
}

// Versions returns the current versions.
func (w *Watcher) Versions() (catalogue, hosts cataloguer.Version) { return w.store.versions() }

// loop calls check until the context ends. check returns an error if it must be
// retried after a backoff. A node that lacks a catalogue or host list watches
// like a reader. number is the loop's index in wake.
func (w *Watcher) loop(ctx context.Context, number int, check func(context.Context, time.Duration) error) {
	random := rand.New(rand.NewPCG(w.opts.Seed, uint64(number)))
	backoff := minBackoff
	for wait := time.Duration(0); ctx.Err() == nil; {
		start := time.Now()
		if err := check(ctx, wait); err != nil {
			w.failures.Add(1)
			// The delay is between half of the backoff and all of it, so that
			// nodes that failed together do not retry together.
			w.pause(ctx, number, backoff/2+time.Duration(random.Int64N(int64(backoff/2))), false)
			backoff = min(2*backoff, maxBackoff)

			continue
		}
		backoff, wait = minBackoff, watchWait
		// The service may answer a watch without waiting.
		w.pause(ctx, number, minBackoff-time.Since(start), false)
		if catalogue, hosts := w.store.versions(); !w.reader.Load() && catalogue > 0 && hosts > 0 {
			wait = 0
			w.pause(ctx, number, checkInterval*3/4+time.Duration(random.Int64N(int64(checkInterval/4))), true)
		}
	}
}

// pause waits for d or until the context ends. If wakeable, it also ends when
// the node becomes or ceases to be a reader.
func (w *Watcher) pause(ctx context.Context, number int, d time.Duration, wakeable bool) {
	var wake chan struct{}
	if wakeable {
		wake = w.wake[number]
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	case <-wake:
	}
}

// checkCatalogue asks the service once for a newer catalogue.
func (w *Watcher) checkCatalogue(ctx context.Context, wait time.Duration) error {
	after := w.store.watchAfter()
	w.calls.Add(1)
	version, manifest, err := w.opts.Source.Manifest(ctx, after, wait)
	if err != nil {
		return err
	}
	w.store.observe(version)
	if len(manifest) > 0 {
		if version <= after {
			return &Error{Op: "watch", Kind: KindCall, Err: fmt.Errorf("version %d is not above %d", version, after)}
		}
		if err := w.loadCatalogue(ctx, version, manifest); err != nil {
			return err
		}
		// A version that has not been applied by now is bad. Skipping it
		// prevents the next watch from returning it again at once.
		w.store.skip(version)
	}
	// A configuration service that holds an older version does not know what has
	// been taken out of service since that version.
	if current, _ := w.store.versions(); version >= current {
		w.opts.OnContact()
	}

	return nil
}

// loadCatalogue reads the documents of a manifest and applies or refuses them.
// An error means that the documents could not be read from the service.
func (w *Watcher) loadCatalogue(ctx context.Context, version cataloguer.Version, manifest []byte) error {
	m, err := cataloguer.ParseManifest(manifest)
	if err == nil && m.Version != version {
		err = &Error{Op: "watch", Kind: KindMismatch, Err: fmt.Errorf("manifest of version %d sent as version %d", m.Version, version)}
	}
	if err != nil {
		w.refuse(hashOf(manifest), Refusal{Document: "catalogue", Version: version, Origin: Service, Err: err})

		return nil
	}
	if !w.reader.Load() && w.waitForPeers(ctx, m.Version) {
		return nil
	}
	documents := map[string][]byte{}
	for _, p := range m.Documents {
		body, ok := w.store.find(p.Hash)
		if !ok {
			if body, err = w.readDocument(ctx, p); err != nil {
				return w.countMismatch(manifest, m.Version, err)
			}
		}
		documents[p.Name] = body
	}
	w.applyCatalogue(manifest, documents, Service)

	return nil
}

// waitForPeers waits for peers to send a version, and reports whether they did.
func (w *Watcher) waitForPeers(ctx context.Context, version cataloguer.Version) bool {
	const step = 100 * time.Millisecond
	for waited := time.Duration(0); waited < peerWait && !w.reader.Load(); waited += step {
		if w.hasCatalogue(version) {
			return true
		}
		w.pause(ctx, 0, step, false)
	}

	return w.hasCatalogue(version)
}

func (w *Watcher) hasCatalogue(version cataloguer.Version) bool {
	current, _ := w.store.versions()

	return current >= version
}

func (w *Watcher) hasHosts(version cataloguer.Version) bool {
	_, current := w.store.versions()

	return current >= version
}

// readDocument reads a document and checks its hash.
func (w *Watcher) readDocument(ctx context.Context, p cataloguer.Document) ([]byte, error) {
	w.calls.Add(1)
	body, err := w.opts.Source.Document(ctx, p.Name)
	if err != nil {
		return nil, err
	}
	if hashOf(body) != p.Hash {
		return nil, &Error{Op: "read document", Kind: KindMismatch, Err: fmt.Errorf("hash of document %q differs from the manifest", p.Name)}
	}

	return body, nil
}

// checkHosts asks once for a newer host list.
func (w *Watcher) checkHosts(ctx context.Context, wait time.Duration) error {
	_, after := w.store.versions()
	w.calls.Add(1)
	version, body, err := w.opts.Source.Hosts(ctx, after, wait)
	if err != nil || len(body) == 0 {
		return err
	}
	if err := w.applyHosts(body, Service); err != nil {
		return err
	}
	if !w.hasHosts(version) {
		return &Error{Op: "read hosts", Kind: KindMismatch, Err: fmt.Errorf("list sent as version %d contains another version", version)}
	}

	return nil
}
