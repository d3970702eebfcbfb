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

// VersionHeader carries the version of what the configuration service serves.
const VersionHeader = "Version"

// defaultPoll is the longest time that a watch waits.
const defaultPoll = 10 * time.Second

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
	// directory is read again by a control; it may be empty.
	directory string

	mu        sync.Mutex
	published state
	// frozen is what a stale service serves, or nil.
	frozen *state
	// changed is closed and replaced by each change.
	changed chan struct{}
	late    time.Duration
	reads   int
}

// state is what a configuration service holds.
type state struct {
	version  cataloguer.Version
	manifest []byte
	parts    map[string][]byte
	hosts    *cataloguer.Hosts
	list     []byte
}

// NewConfiguration returns a service without documents that does not listen
// yet.
func NewConfiguration() *Configuration {
	c := &Configuration{changed: make(chan struct{}), done: make(chan struct{})}
	c.server.handler = c.handle

	return c
}

// Start listens on the address; port 0 takes a free port.
func (c *Configuration) Start(addr netip.AddrPort) error { return c.server.start(addr) }

// Addr returns the address that the service listens on.
func (c *Configuration) Addr() netip.AddrPort { return c.server.address() }

// Close ends the service and its watches.
func (c *Configuration) Close() {
	close(c.done)
	c.server.close()
}

// Reads returns the number of calls so far.
func (c *Configuration) Reads() int {
	c.mu.Lock()
	defer c.mu.Unlock()

	return c.reads
}

// Publish replaces the documents, which it does not validate.
func (c *Configuration) Publish(manifest []byte, parts map[string][]byte) {
	// A bad manifest is published too; its version is what could be read.
	m, _ := cataloguer.ParseManifest(manifest)
	c.change(func(s *state) { s.version, s.manifest, s.parts = m.Version, manifest, maps.Clone(parts) })
}

// PublishCatalogue publishes a catalogue under its own version.
func (c *Configuration) PublishCatalogue(cat *cataloguer.Catalogue) error {
	manifest, parts, err := cataloguer.Encode(cat)
	if err != nil {
		return &Error{Op: "publish", Kind: KindDocuments, Err: err}
	}
	c.Publish(manifest, parts)

	return nil
}

// PublishHosts publishes a host list under its own version.
func (c *Configuration) PublishHosts(h *cataloguer.Hosts) {
	list := cataloguer.EncodeHosts(h)
	c.change(func(s *state) { s.hosts, s.list = h, list })
}

// PublishDirectory publishes the documents of a directory under the version of
// its manifest, or under the next one if that is published already. It
// computes the hashes anew. The directory may also hold a host list.
func (c *Configuration) PublishDirectory(dir string) error {
	manifest, parts, err := cataloguer.ReadDirectory(dir)
	if err != nil {
		return &Error{Op: "publish", Kind: KindDocuments, Err: err}
	}
	if list, ok := parts[cataloguer.HostsName]; ok {
		delete(parts, cataloguer.HostsName)
		hosts, err := cataloguer.ParseHosts(list)
		if err != nil {
			return &Error{Op: "publish", Kind: KindDocuments, Err: err}
		}
		c.PublishHosts(hosts)
	}
	m, _ := cataloguer.ParseManifest(manifest)
	c.mu.Lock()
	c.directory = dir
	version := max(m.Version, c.published.version+1)
	last, _ := cataloguer.ParseManifest(c.published.manifest)
	c.mu.Unlock()
	// An epoch that was raised by a control must not go back.
	m.Version, m.Epoch = version, max(m.Epoch, last.Epoch)
	manifest, err = cataloguer.EncodeManifest(m, parts)
	if err != nil {
		return &Error{Op: "publish", Kind: KindDocuments, Err: err}
	}
	c.Publish(manifest, parts)

	return nil
}

// TakeOut publishes the catalogue with a data centre taken out, or in again.
func (c *Configuration) TakeOut(centre string, out bool) error {
	return c.edit("take out", func(cat *cataloguer.Catalogue) error {
		d := cat.DataCentres[centre]
		if d == nil {
			return fmt.Errorf("no data centre %q", centre)
		}
		d.OutOfService = out

		return nil
	})
}

// RaiseEpoch publishes the catalogue with the next epoch.
func (c *Configuration) RaiseEpoch() error {
	return c.edit("raise epoch", func(cat *cataloguer.Catalogue) error {
		cat.Epoch++

		return nil
	})
}

// edit publishes a changed copy of the catalogue under the next version.
func (c *Configuration) edit(op string, change func(*cataloguer.Catalogue) error) error {
	c.mu.Lock()
	s := c.published
	c.mu.Unlock()
	cat, err := cataloguer.Parse(s.manifest, s.parts)
	if err != nil {
		return &Error{Op: op, Kind: KindDocuments, Err: err}
	}
	if err := change(cat); err != nil {
		return &Error{Op: op, Kind: KindName, Err: err}
	}
	cat.Version++

	return c.PublishCatalogue(cat)
}

// Control changes the service's behaviour.
func (c *Configuration) Control(ctl Control) error {
	c.mu.Lock()
	if ctl.Late != nil {
		c.late = *ctl.Late
	}
	dir := c.directory
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
		if err := c.TakeOut(ctl.Out, true); err != nil {
			return err
		}
	}
	if ctl.In != "" {
		if err := c.TakeOut(ctl.In, false); err != nil {
			return err
		}
	}
	if ctl.Epoch {
		return c.RaiseEpoch()
	}

	return nil
}

func (c *Configuration) setStale(stale bool) {
	c.change(func(s *state) {
		c.frozen = nil
		if stale {
			frozen := *s
			c.frozen = &frozen
		}
	})
}

func (c *Configuration) change(f func(*state)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f(&c.published)
	close(c.changed)
	c.changed = make(chan struct{})
}

// view returns what is served, and a channel that is closed by the next change.
func (c *Configuration) view() (state, <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.frozen != nil {
		return *c.frozen, c.changed
	}

	return c.published, c.changed
}

func (c *Configuration) handle(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	if path == "/control" {
		c.serveControl(ctx)

		return
	}
	c.mu.Lock()
	c.reads++
	late := c.late
	c.mu.Unlock()
	time.Sleep(late)
	switch name, isDocument := strings.CutPrefix(path, "/documents/"); {
	case isDocument:
		s, _ := c.view()
		body, ok := s.parts[name]
		if name == cataloguer.ManifestName {
			body, ok = s.manifest, s.manifest != nil
		}
		if !ok {
			fail(ctx, fasthttp.StatusNotFound, "not_found")

			return
		}
		c.send(ctx, s.version, body)
	case path == "/watch":
		c.watch(ctx, func(s state) (cataloguer.Version, []byte) { return s.version, s.manifest })
	case path == "/hosts":
		c.watch(ctx, func(s state) (cataloguer.Version, []byte) {
			if s.hosts == nil {
				return 0, nil
			}

			return s.hosts.Version, s.list
		})
	case path == "/stats":
		writeJSON(ctx, fasthttp.StatusOK, struct {
			Reads int `json:"reads"`
		}{c.Reads()})
	default:
		fail(ctx, fasthttp.StatusNotFound, "not_found")
	}
}

func (c *Configuration) send(ctx *fasthttp.RequestCtx, version cataloguer.Version, body []byte) {
	ctx.Response.Header.Set(VersionHeader, strconv.FormatUint(uint64(version), 10))
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
}

// watch answers once the document that get returns is newer than the caller's.
func (c *Configuration) watch(ctx *fasthttp.RequestCtx, get func(state) (cataloguer.Version, []byte)) {
	after, err := strconv.ParseUint(string(ctx.QueryArgs().Peek("after")), 10, 64)
	if err != nil {
		fail(ctx, fasthttp.StatusBadRequest, "bad_request")

		return
	}
	wait := defaultPoll
	if d, err := time.ParseDuration(string(ctx.QueryArgs().Peek("wait"))); err == nil {
		wait = min(wait, max(0, d))
	}
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	for {
		s, changed := c.view()
		version, body := get(s)
		if version > cataloguer.Version(after) {
			c.send(ctx, version, body)

			return
		}
		select {
		case <-changed:
			continue
		case <-timeout.C:
		case <-c.done:
		}
		c.send(ctx, version, nil)
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
