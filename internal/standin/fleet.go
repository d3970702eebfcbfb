package standin

import (
	"maps"
	"net/netip"
	"slices"
	"time"

	"snipedyke/pkg/cataloguer"
)

// FleetOptions describes the speed of a site's stand-ins. Zero fields take the
// defaults of the demo.
type FleetOptions struct {
	// Engine and Service are the templates of all engines and plain services.
	// Name, Slots, Cold, Resumes and Ledger are taken from the catalogue and
	// the fleet.
	Engine  EngineOptions
	Service ServiceOptions
}

// Fleet is a site's stand-ins on loopback.
type Fleet struct {
	// Site is the site with the addresses of the stand-ins filled in. The
	// peer addresses of its hosts are those that the site gave.
	Site          *Site
	Engines       map[string]*Engine
	Services      map[string]*Service
	Configuration *Configuration
	HostList      *Configuration
	// Ledger logs the runs at all endpoints.
	Ledger *Ledger
}

// loopback takes a free port.
var loopback = netip.MustParseAddrPort("127.0.0.1:0")

// Open starts the stand-ins of a site and publishes its catalogue and host
// list. The site is not changed.
func Open(site *Site, opts FleetOptions) (*Fleet, error) {
	c := *site.Catalogue
	c.Endpoints = maps.Clone(c.Endpoints)
	own := *site
	own.Catalogue = &c
	f := &Fleet{
		Site: &own, Engines: map[string]*Engine{}, Services: map[string]*Service{},
		Configuration: NewConfiguration(), HostList: NewConfiguration(), Ledger: &Ledger{},
	}
	for _, name := range slices.Sorted(maps.Keys(c.Endpoints)) {
		e := *c.Endpoints[name]
		addr, err := f.open(&e, opts)
		if err != nil {
			f.Close()

			return nil, err
		}
		e.Address = addr
		c.Endpoints[name] = &e
	}
	for _, s := range []*Configuration{f.Configuration, f.HostList} {
		if err := s.Start(loopback); err != nil {
			f.Close()

			return nil, err
		}
	}
	if err := f.Configuration.PublishCatalogue(&c); err != nil {
		f.Close()

		return nil, err
	}
	f.HostList.PublishHosts(own.Hosts)

	return f, nil
}

// open starts the stand-in of one endpoint.
func (f *Fleet) open(e *cataloguer.Endpoint, opts FleetOptions) (netip.AddrPort, error) {
	if f.Site.Catalogue.Services[e.Service].Kind == cataloguer.ModelService {
		o := opts.Engine
		o.Name, o.Slots, o.Cold, o.Resumes, o.Ledger = e.Name, e.Slots, e.ColdSlots, e.Resumes, f.Ledger
		o.First = orElse(o.First, 100*time.Millisecond)
		o.Gap = orElse(o.Gap, 8*time.Millisecond)
		o.Warmup = orElse(o.Warmup, 300*time.Millisecond)
		o.Loaded, o.Fences = slices.Concat(e.Models, e.Adapters), e.Fences
		engine := NewEngine(o)
		f.Engines[e.Name] = engine

		err := engine.Start(loopback)

		return engine.Addr(), err
	}
	o := opts.Service
	o.Name, o.Service, o.Slots, o.Cold, o.Ledger = e.Name, e.Service, e.Slots, e.ColdSlots, f.Ledger
	o.Work = orElse(o.Work, 20*time.Millisecond)
	o.Warmup = orElse(o.Warmup, 100*time.Millisecond)
	service := NewService(o)
	f.Services[e.Name] = service

	err := service.Start(loopback)

	return service.Addr(), err
}

func orElse(d, standard time.Duration) time.Duration {
	if d == 0 {
		return standard
	}

	return d
}

// Control changes the behaviour of an endpoint.
func (f *Fleet) Control(endpoint string, c Control) {
	if e := f.Engines[endpoint]; e != nil {
		e.Control(c)
	}
	if s := f.Services[endpoint]; s != nil {
		s.Control(c)
	}
}

// Stats returns what happened at each endpoint.
func (f *Fleet) Stats() map[string]Stats {
	stats := map[string]Stats{}
	for name, e := range f.Engines {
		stats[name] = e.Stats()
	}
	for name, s := range f.Services {
		stats[name] = s.Stats()
	}

	return stats
}

// Close ends all stand-ins.
func (f *Fleet) Close() {
	for _, e := range f.Engines {
		e.Close()
	}
	for _, s := range f.Services {
		s.Close()
	}
	f.Configuration.Close()
	f.HostList.Close()
}
