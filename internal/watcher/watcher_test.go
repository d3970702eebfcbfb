package watcher

import (
	"context"
	"crypto/sha256"
	"errors"
	"fmt"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"snipedyke/internal/standin"
	"snipedyke/pkg/cataloguer"
	"snipedyke/pkg/encoder"
)

// fakeSource is an in-memory Source.
type fakeSource struct {
	mu        sync.Mutex
	version   cataloguer.Version
	manifest  []byte
	documents map[string][]byte
	hosts     *cataloguer.Hosts
	changed   chan struct{}
	down      bool
	// immediate makes watches return without waiting.
	immediate bool
	// reads counts the documents that were read.
	reads int
}

func (f *fakeSource) publish(c *qt.C, cat *cataloguer.Catalogue) {
	manifest, documents, err := cataloguer.Encode(cat)
	c.Assert(err, qt.IsNil)
	f.set(func() { f.version, f.manifest, f.documents = cat.Version, manifest, documents })
}

func (f *fakeSource) set(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
	close(f.changed)
	f.changed = make(chan struct{})
}

func (f *fakeSource) watch(ctx context.Context, after cataloguer.Version, wait time.Duration, get func() (cataloguer.Version, []byte)) (cataloguer.Version, []byte, error) {
	end := time.After(wait)
	for {
		f.mu.Lock()
		version, body := get()
		changed, down, immediate := f.changed, f.down, f.immediate
		f.mu.Unlock()
		if down {
			return 0, nil, errors.New("down")
		}
		if version > after {
			return version, body, nil
		}
		if immediate {
			return version, nil, nil
		}
		select {
		case <-changed:
		case <-end:
			return version, nil, nil
		case <-ctx.Done():
			return 0, nil, ctx.Err()
		}
	}
}

func (f *fakeSource) Manifest(ctx context.Context, after cataloguer.Version, wait time.Duration) (cataloguer.Version, []byte, error) {
	return f.watch(ctx, after, wait, func() (cataloguer.Version, []byte) { return f.version, f.manifest })
}

func (f *fakeSource) Hosts(ctx context.Context, after cataloguer.Version, wait time.Duration) (cataloguer.Version, []byte, error) {
	return f.watch(ctx, after, wait, func() (cataloguer.Version, []byte) {
		return f.hosts.Version, cataloguer.EncodeHosts(f.hosts)
	})
}

func (f *fakeSource) Document(_ context.Context, name string) ([]byte, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reads++

	return f.documents[name], nil
}

func (f *fakeSource) readCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()

	return f.reads
}

// recorder records the callbacks of a Watcher.
type recorder struct {
	mu         sync.Mutex
	catalogues []cataloguer.Version
	hosts      []cataloguer.Version
	contacts   int
	refused    []Refusal
}

func (rec *recorder) record(f func()) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	f()
}

func (rec *recorder) options(source Source) Options {
	return Options{
		Source: source,
		OnCatalogue: func(c *cataloguer.Catalogue) {
			rec.record(func() { rec.catalogues = append(rec.catalogues, c.Version) })
		},
		OnHosts:   func(h *cataloguer.Hosts) { rec.record(func() { rec.hosts = append(rec.hosts, h.Version) }) },
		OnContact: func() { rec.record(func() { rec.contacts++ }) },
		OnRefused: func(r Refusal) { rec.record(func() { rec.refused = append(rec.refused, r) }) },
		Seed:      1,
	}
}

// advance advances the time by d and waits until all goroutines are blocked.
func advance(d time.Duration) {
	time.Sleep(d)
	synctest.Wait()
}

// runReader runs f in a synctest bubble with a running reader of a fake source.
func runReader(t *testing.T, f func(c *qt.C, src *fakeSource, w *Watcher, rec *recorder, site *standin.Site)) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		site, err := standin.Deployment("guild")
		c.Assert(err, qt.IsNil)
		src := &fakeSource{changed: make(chan struct{}), hosts: site.Hosts}
		src.publish(c, site.Catalogue)
		rec := &recorder{}
		w := New(rec.options(src))
		w.SetReader(true)
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() { defer close(done); w.Run(ctx) }()
		defer func() { cancel(); <-done }()
		synctest.Wait()
		f(c, src, w, rec, site)
	})
}

// Guards against a bad publication that replaces a good one, is reported
// repeatedly, makes the reader call in a tight loop, or hides the next good
// one.
func TestBadPublicationIsRefusedOnce(t *testing.T) {
	runReader(t, func(c *qt.C, src *fakeSource, w *Watcher, rec *recorder, site *standin.Site) {
		broken := []byte(`{"version": 2, "epoch": -1}`)
		src.set(func() { src.version, src.manifest = 2, broken })
		advance(time.Minute)
		w.Enqueue(&encoder.Documents{Manifest: broken})
		synctest.Wait()
		c.Assert(rec.refused, qt.HasLen, 1)
		c.Assert(rec.refused[0].Err, qt.ErrorMatches, `(?s).*manifest:1: epoch: -1; accepted: a whole number from 0.*`)
		c.Assert(w.Stats().Calls < 40, qt.IsTrue, qt.Commentf("%d calls", w.Stats().Calls))
		site.Catalogue.Version = 3
		src.publish(c, site.Catalogue)
		advance(time.Second)
		c.Assert(rec.catalogues, qt.DeepEquals, []cataloguer.Version{1, 3})
	})
}

// Guards against a bad publication that hides lower versions after the service has
// gone back to an older copy.
func TestVersionsBelowLostBadPublicationAreApplied(t *testing.T) {
	runReader(t, func(c *qt.C, src *fakeSource, w *Watcher, rec *recorder, site *standin.Site) {
		src.set(func() { src.version, src.manifest = 20, []byte(`{"version": 20, "epoch": -1}`) })
		advance(time.Minute)
		c.Assert(rec.refused, qt.HasLen, 1)
		site.Catalogue.Version = 5
		src.publish(c, site.Catalogue)
		advance(time.Minute)
		c.Assert(rec.catalogues, qt.DeepEquals, []cataloguer.Version{1, 5})
		c.Assert(w.Stats().Calls < 40, qt.IsTrue, qt.Commentf("%d calls", w.Stats().Calls))
	})
}

// Guards against documents that change while they are read: a catalogue mixed
// from two publications must never be applied.
func TestMismatchedDocumentsAreNotApplied(t *testing.T) {
	runReader(t, func(c *qt.C, src *fakeSource, _ *Watcher, rec *recorder, site *standin.Site) {
		site.Catalogue.Version = 2
		site.Catalogue.DataCentres["kochi"].OutOfService = true
		manifest, documents, err := cataloguer.Encode(site.Catalogue)
		c.Assert(err, qt.IsNil)
		src.set(func() { src.version, src.manifest = 2, manifest })
		advance(time.Minute)
		c.Assert(rec.catalogues, qt.DeepEquals, []cataloguer.Version{1})
		c.Assert(rec.refused, qt.HasLen, 1)
		src.set(func() { src.documents = documents })
		advance(maxBackoff)
		c.Assert(rec.catalogues, qt.DeepEquals, []cataloguer.Version{1, 2})
	})
}

// Guards against a return to an older version, and against contact with a
// service whose older version lacks what was taken out of service since.
func TestOlderVersionsAreNotApplied(t *testing.T) {
	runReader(t, func(c *qt.C, src *fakeSource, w *Watcher, rec *recorder, site *standin.Site) {
		site.Catalogue.Version = 5
		src.publish(c, site.Catalogue)
		advance(time.Second)
		site.Catalogue.Version = 4
		src.publish(c, site.Catalogue)
		advance(watchWait + time.Second)
		contacts := rec.contacts
		advance(time.Minute)
		c.Assert(rec.contacts, qt.Equals, contacts)
		manifest, documents, err := cataloguer.Encode(site.Catalogue)
		c.Assert(err, qt.IsNil)
		w.Enqueue(documentsMessage(manifest, documents))
		synctest.Wait()
		// A peer's publication may be completed before a newer one arrives, and
		// be checked after it.
		w.applyCatalogue(manifest, documents, Peer)
		c.Assert(rec.catalogues, qt.DeepEquals, []cataloguer.Version{1, 5})
		site.Catalogue.Version = 6
		src.publish(c, site.Catalogue)
		advance(time.Second)
		c.Assert(rec.catalogues, qt.DeepEquals, []cataloguer.Version{1, 5, 6})
		c.Assert(rec.contacts > contacts, qt.IsTrue)
	})
}

// Guards against a load on the service that grows with the fleet, and against a
// node that does not reconnect to a service after an outage.
func TestCallRateIsBounded(t *testing.T) {
	runReader(t, func(c *qt.C, src *fakeSource, w *Watcher, rec *recorder, site *standin.Site) {
		w.SetReader(false)
		advance(watchWait)
		before := w.Stats().Calls
		advance(10 * time.Minute)
		// The catalogue and the host list are each checked at intervals of at
		// least 22.5 s.
		c.Assert(w.Stats().Calls-before <= 2*27, qt.IsTrue, qt.Commentf("%d calls", w.Stats().Calls-before))
		src.set(func() { src.down = true })
		before = w.Stats().Calls
		advance(10 * time.Minute)
		// Each failed call is followed by a delay of at least half of the
		// backoff.
		c.Assert(w.Stats().Calls-before <= 2*250, qt.IsTrue, qt.Commentf("%d calls", w.Stats().Calls-before))
		src.set(func() { src.down, src.immediate = false, true })
		w.SetReader(true)
		before = w.Stats().Calls
		advance(time.Minute)
		c.Assert(w.Stats().Calls-before <= 2*301, qt.IsTrue, qt.Commentf("%d calls", w.Stats().Calls-before))
		src.set(func() { src.immediate = false })
		site.Catalogue.Version = 2
		src.publish(c, site.Catalogue)
		advance(maxBackoff)
		c.Assert(rec.catalogues, qt.DeepEquals, []cataloguer.Version{1, 2})
	})
}

// Guards against a starting fleet in which every node reads the documents from
// the service, and against a node without peers that waits for them forever.
func TestStartingNodeWaitsForPeers(t *testing.T) {
	for _, peers := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			c := qt.New(t)
			site, err := standin.Deployment("guild")
			c.Assert(err, qt.IsNil)
			src := &fakeSource{changed: make(chan struct{}), hosts: site.Hosts}
			src.publish(c, site.Catalogue)
			rec := &recorder{}
			w := New(rec.options(src))
			ctx, cancel := context.WithCancel(context.Background())
			done := make(chan struct{})
			go func() { defer close(done); w.Run(ctx) }()
			defer func() { cancel(); <-done }()
			advance(time.Second)
			c.Assert(src.readCount(), qt.Equals, 0)
			if peers {
				w.Enqueue(documentsMessage(src.manifest, src.documents))
			}
			advance(peerWait)
			c.Assert(rec.catalogues, qt.DeepEquals, []cataloguer.Version{1})
			c.Assert(src.readCount() == 0, qt.Equals, peers)
		})
	}
}

func documentsMessage(manifest []byte, documents map[string][]byte) *encoder.Documents {
	d := &encoder.Documents{Manifest: manifest}
	for name, body := range documents {
		d.Parts = append(d.Parts, encoder.Document{Name: name, Body: body})
	}

	return d
}

// Guards against catalogues of the target size that do not fit into peer
// frames, and against sending documents that the peer has.
func TestPeersTransferLargeCatalogue(t *testing.T) {
	runReader(t, func(c *qt.C, src *fakeSource, from *Watcher, _ *recorder, site *standin.Site) {
		cat := site.Catalogue
		for i := range 11_980 {
			h := cataloguer.KeyHash(sha256.Sum256(fmt.Append(nil, i)))
			e := &cataloguer.Entry{Name: fmt.Sprintf("e%05d", i), Owner: "owner", Class: "fit", Rate: 1, Burst: 1, MaxConcurrent: 1, Keys: []cataloguer.KeyHash{h}}
			cat.Entries[e.Name], cat.Keys[h] = e, e
		}
		cat.Version = 2
		src.publish(c, cat)
		advance(time.Second)

		rec := &recorder{}
		w := New(rec.options(&fakeSource{down: true, changed: make(chan struct{}), hosts: site.Hosts}))
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() { defer close(done); w.Run(ctx) }()
		defer func() { cancel(); <-done }()
		transfer := func() (documents int) {
			for _, d := range from.Answer(w.FetchRequest()) {
				frame, err := encoder.Append(nil, d)
				c.Assert(err, qt.IsNil)
				c.Assert(len(frame) <= 1<<20, qt.IsTrue)
				documents += len(d.Parts)
				w.Enqueue(d)
			}
			synctest.Wait()

			return documents
		}
		c.Assert(transfer(), qt.Equals, 4+cataloguer.MaxShards)
		c.Assert(rec.catalogues, qt.DeepEquals, []cataloguer.Version{2})
		c.Assert(rec.hosts, qt.DeepEquals, []cataloguer.Version{1})

		cat.Version, cat.Entries["e00007"].Rate = 3, 7
		src.publish(c, cat)
		advance(time.Second)
		c.Assert(transfer(), qt.Equals, 1)
		c.Assert(rec.catalogues, qt.DeepEquals, []cataloguer.Version{2, 3})

		// A damaged document is not applied, and its publication is fetched
		// again.
		cat.Version, cat.Entries["e00007"].Rate = 4, 8
		src.publish(c, cat)
		advance(time.Second)
		d := from.Answer(w.FetchRequest())[0]
		w.Enqueue(&encoder.Documents{Manifest: d.Manifest, Parts: []encoder.Document{{Name: d.Parts[0].Name, Body: d.Parts[0].Body[1:]}}})
		synctest.Wait()
		c.Assert(rec.catalogues, qt.DeepEquals, []cataloguer.Version{2, 3})
		transfer()
		c.Assert(rec.catalogues, qt.DeepEquals, []cataloguer.Version{2, 3, 4})
	})
}

// Guards against a client whose protocol differs from the stand-in's.
func TestClientReadsStandin(t *testing.T) {
	c := qt.New(t)
	site, err := standin.Deployment("valcollina")
	c.Assert(err, qt.IsNil)
	conf := standin.NewConfiguration()
	c.Assert(conf.Start(netip.MustParseAddrPort("127.0.0.1:0")), qt.IsNil)
	defer conf.Close()
	client := NewClient(conf.Addr(), conf.Addr())
	version, body, err := client.Manifest(t.Context(), 0, 0)
	c.Assert(err, qt.IsNil)
	c.Assert(version, qt.Equals, cataloguer.Version(0))
	c.Assert(body, qt.HasLen, 0)

	c.Assert(conf.PublishCatalogue(site.Catalogue), qt.IsNil)
	conf.PublishHosts(site.Hosts)
	version, body, err = client.Manifest(t.Context(), 0, time.Second)
	c.Assert(err, qt.IsNil)
	m, err := cataloguer.ParseManifest(body)
	c.Assert(err, qt.IsNil)
	c.Assert(m.Version, qt.Equals, version)
	documents := map[string][]byte{}
	for _, p := range m.Documents {
		documents[p.Name], err = client.Document(t.Context(), p.Name)
		c.Assert(err, qt.IsNil)
	}
	_, err = cataloguer.Parse(body, documents)
	c.Assert(err, qt.IsNil)
	_, body, err = client.Hosts(t.Context(), 0, time.Second)
	c.Assert(err, qt.IsNil)
	c.Assert(strings.Contains(string(body), "entry-6"), qt.IsTrue)
	_, err = client.Document(t.Context(), "nothing")
	c.Assert(err, qt.ErrorMatches, ".*status 404.*")
}
