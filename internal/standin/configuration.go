package standin

import (
	"fmt"
	"maps"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"snipedyke/pkg/cataloguer"
)

// VersionHeader is the response header field with the version of the served
// document.
const VersionHeader = "Version"

// maxWatchTime is the longest time that a watch waits.
const maxWatchTime = 10 * time.Second

// Configuration is a stand-in of the configuration service and of the host
// list; a deployment uses one instance for each.
//
//	GET /documents/NAME  a document of the catalogue
//	GET /watch?after=V   the manifest once its version is above V, else 204
//	GET /hosts?after=V   the host list once its version is above V, else 204
//
// Both watches answer within 10 s, or within the duration of the parameter
// wait if that is shorter. Each answer has the header Version.
type Configuration struct {
	server server
	done   chan struct{}
	// documentDir is the directory that the control Publish reads again, or
	// empty.
	documentDir string

	mu      sync.Mutex
	current publication
	// frozen is the publication that the service serves while it is stale, or
	// nil.
	frozen *publication
	// changed is closed and replaced at each change.
	changed       chan struct{}
	responseDelay time.Duration
	requestCount  int
}

// publication is the set of documents that a configuration service serves.
type publication struct {
	version       cataloguer.Version
	manifest      []byte
	documents     map[string][]byte
	hosts         *cataloguer.Hosts
	hostsDocument []byte
}

// NewConfiguration returns a service without documents. It does not listen yet.
func NewConfiguration() *Configuration {
	c := &Configuration{changed: make(chan struct{}), done: make(chan struct{})}
	c.server.handler = c.handle

	return c
}

// Start listens on the address; port 0 takes a free port.
func (c *Configuration) Start(addr netip.AddrPort) error { return c.server.start(addr) }

// Addr returns the address that the service listens on.
func (c *Configuration) Addr() netip.AddrPort { return c.server.address() }

// Close stops the service and ends its watches.
func (c *Configuration) Close() {
	close(c.done)
	c.server.close()
}

// RequestCount returns the number of requests so far, without controls.
func (c *Configuration) RequestCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()

	return c.requestCount
}

// Publish replaces the documents of the catalogue without validating them.
func (c *Configuration) Publish(manifest []byte, documents map[string][]byte) {
	// An invalid manifest is published too, under the version that could be
	// parsed from it.
	m, _ := cataloguer.ParseManifest(manifest)
	c.update(func(s *publication) { s.version, s.manifest, s.documents = m.Version, manifest, maps.Clone(documents) })
}

// PublishCatalogue publishes a catalogue under its own version.
func (c *Configuration) PublishCatalogue(cat *cataloguer.Catalogue) error {
	manifest, documents, err := cataloguer.Encode(cat)
	if err != nil {
		return &Error{Op: "publish", Kind: KindDocuments, Err: err}
	}
	c.Publish(manifest, documents)

	return nil
}

// PublishHosts publishes a host list under its own version.
func (c *Configuration) PublishHosts(h *cataloguer.Hosts) {
	list := cataloguer.EncodeHosts(h)
	c.update(func(s *publication) { s.hosts, s.hostsDocument = h, list })
}

// PublishDirectory publishes the documents of a directory under the version of
// its manifest, or under the next one if that is not above the published
// version. It recomputes the hashes of the documents. If the directory has a
// host list, it publishes that too.
func (c *Configuration) PublishDirectory(dir string) error {
	manifest, documents, err := cataloguer.ReadDirectory(dir)
	if err != nil {
		return &Error{Op: "publish", Kind: KindDocuments, Err: err}
	}
	if list, ok := documents[cataloguer.HostsName]; ok {
		delete(documents, cataloguer.HostsName)
		hosts, err := cataloguer.ParseHosts(list)
		if err != nil {
			return &Error{Op: "publish", Kind: KindDocuments, Err: err}
		}
		c.PublishHosts(hosts)
	}
	m, _ := cataloguer.ParseManifest(manifest)
	c.mu.Lock()
	c.documentDir = dir
	version := max(m.Version, c.current.version+1)
	last, _ := cataloguer.ParseManifest(c.current.manifest)
	c.mu.Unlock()
	// A control may have raised the epoch, which must not decrease.
	m.Version, m.Epoch = version, max(m.Epoch, last.Epoch)
	manifest, err = cataloguer.EncodeManifest(m, documents)
	if err != nil {
		return &Error{Op: "publish", Kind: KindDocuments, Err: err}
	}
	c.Publish(manifest, documents)

	return nil
}

// SetOutOfService publishes the catalogue with a data centre taken out of
// service, or put back if out is false.
func (c *Configuration) SetOutOfService(centre string, out bool) error {
	return c.editCatalogue("take out", func(cat *cataloguer.Catalogue) error {
		d := cat.DataCentres[centre]
		if d == nil {
			return fmt.Errorf("no data centre %q", centre)
		}
		d.OutOfService = out

		return nil
	})
}

// RaiseEpoch publishes the catalogue with its epoch incremented.
func (c *Configuration) RaiseEpoch() error {
	return c.editCatalogue("raise epoch", func(cat *cataloguer.Catalogue) error {
		cat.Epoch++

		return nil
	})
}

// editCatalogue publishes a changed copy of the catalogue under the next
// version.
func (c *Configuration) editCatalogue(op string, change func(*cataloguer.Catalogue) error) error {
	c.mu.Lock()
	s := c.current
	c.mu.Unlock()
	cat, err := cataloguer.Parse(s.manifest, s.documents)
	if err != nil {
		return &Error{Op: op, Kind: KindDocuments, Err: err}
	}
	if err := change(cat); err != nil {
		return &Error{Op: op, Kind: KindName, Err: err}
	}
	cat.Version++

	return c.PublishCatalogue(cat)
}

// Control applies a control to the service.
func (c *Configuration) Control(ctl Control) error {
	c.mu.Lock()
	if ctl.Late != nil {
		c.responseDelay = *ctl.Late
	}
	dir := c.documentDir
	c.mu.Unlock()
	if ctl.Stale != nil {
		c.setStale(*ctl.Stale)
	}
	if down := max(ctl.Down, ctl.Crash); down > 0 {
		c.server.crash(down)
	}
	if ctl.Publish && dir != "" {
		if err := c.PublishDirectory(dir); err != nil {
			return err
		}
	}
	if ctl.Out != "" {
		if err := c.SetOutOfService(ctl.Out, true); err != nil {
			return err
		}
	}
	if ctl.In != "" {
		if err := c.SetOutOfService(ctl.In, false); err != nil {
			return err
		}
	}
	if ctl.Epoch {
		return c.RaiseEpoch()
	}

	return nil
}

func (c *Configuration) setStale(stale bool) {
	c.update(func(s *publication) {
		c.frozen = nil
		if stale {
			frozen := *s
			c.frozen = &frozen
		}
	})
}

func (c *Configuration) update(f func(*publication)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f(&c.current)
	close(c.changed)
	c.changed = make(chan struct{})
}

// served returns the documents to serve, and a channel that is closed at the
// next change.
func (c *Configuration) served() (publication, <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.frozen != nil {
		return *c.frozen, c.changed
	}

	return c.current, c.changed
}

func (c *Configuration) handle(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	if path == "/control" {
		c.serveControl(ctx)

		return
	}
	c.mu.Lock()
	c.requestCount++
	delay := c.responseDelay
	c.mu.Unlock()
	time.Sleep(delay)
	switch name, isDocument := strings.CutPrefix(path, "/documents/"); {
	case isDocument:
		s, _ := c.served()
		body, ok := s.documents[name]
		if name == cataloguer.ManifestName {
			body, ok = s.manifest, s.manifest != nil
		}
		if !ok {
			writeError(ctx, fasthttp.StatusNotFound, "not_found")

			return
		}
		c.sendDocument(ctx, s.version, body)
	case path == "/watch":
		c.serveWatch(ctx, func(s publication) (cataloguer.Version, []byte) { return s.version, s.manifest })
	case path == "/hosts":
		c.serveWatch(ctx, func(s publication) (cataloguer.Version, []byte) {
			if s.hosts == nil {
				return 0, nil
			}

			return s.hosts.Version, s.hostsDocument
		})
	case path == "/stats":
		writeJSON(ctx, fasthttp.StatusOK, struct {
			Reads int `json:"reads"`
		}{c.RequestCount()})
	default:
		writeError(ctx, fasthttp.StatusNotFound, "not_found")
	}
}

func (c *Configuration) sendDocument(ctx *fasthttp.RequestCtx, version cataloguer.Version, body []byte) {
	ctx.Response.Header.Set(VersionHeader, strconv.FormatUint(uint64(version), 10))
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
}

// serveWatch answers once the document that get returns has a higher version
// than the parameter after, or with status 204 after the wait.
func (c *Configuration) serveWatch(ctx *fasthttp.RequestCtx, get func(publication) (cataloguer.Version, []byte)) {
	after, err := strconv.ParseUint(string(ctx.QueryArgs().Peek("after")), 10, 64)
	if err != nil {
		writeError(ctx, fasthttp.StatusBadRequest, "bad_request")

		return
	}
	wait := maxWatchTime
	if d, err := time.ParseDuration(string(ctx.QueryArgs().Peek("wait"))); err == nil {
		wait = min(wait, max(0, d))
	}
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	for {
		s, changed := c.served()
		version, body := get(s)
		if version > cataloguer.Version(after) {
			c.sendDocument(ctx, version, body)

			return
		}
		select {
		case <-changed:
			continue
		case <-timeout.C:
		case <-c.done:
		}
		c.sendDocument(ctx, version, nil)
		ctx.SetStatusCode(fasthttp.StatusNoContent)

		return
	}
}

func (c *Configuration) serveControl(ctx *fasthttp.RequestCtx) {
	var err error
	serveControl(ctx, func(ctl Control) { err = c.Control(ctl) })
	if err != nil {
		ctx.SetStatusCode(fasthttp.StatusBadRequest)
		ctx.SetBodyString(err.Error() + "\n")
	}
}
