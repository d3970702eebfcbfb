package standin

import (
	"maps"
	"net/netip"
	"slices"
	"time"

	"snipedyke/pkg/cataloguer"
)

// FleetOptions configures the stand-ins of a site. Zero fields take the
// defaults of the demo.
type FleetOptions struct {
	// Engine and Service are the templates of all engines and plain services.
	// StartFleet sets Name, Service, Slots, ColdSlots, Resumes, Loaded,
	// ChecksFence and RunLog itself.
	Engine  EngineOptions
	Service ServiceOptions
}

// Fleet runs the stand-ins of a site on loopback.
type Fleet struct {
	// Site is the site with the addresses of the stand-ins filled in. The peer
	// addresses of its hosts are unchanged.
	Site          *Site
	Engines       map[string]*Engine
	Services      map[string]*Service
	Configuration *Configuration
	HostList      *Configuration
	// RunLog logs the runs at all endpoints.
	RunLog *RunLog
}

// loopback is the loopback address with port 0, for which the system chooses a
// free port.
var loopback = netip.MustParseAddrPort("127.0.0.1:0")

// StartFleet starts the stand-ins of a site and publishes its catalogue and
// host list. It does not modify the site.
func StartFleet(site *Site, opts FleetOptions) (*Fleet, error) {
	c := *site.Catalogue
	c.Endpoints = maps.Clone(c.Endpoints)
	filled := *site
	filled.Catalogue = &c
	f := &Fleet{
		Site: &filled, Engines: map[string]*Engine{}, Services: map[string]*Service{},
		Configuration: NewConfiguration(), HostList: NewConfiguration(), RunLog: &RunLog{},
	}
	for _, name := range slices.Sorted(maps.Keys(c.Endpoints)) {
		e := *c.Endpoints[name]
		addr, err := f.startEndpoint(&e, opts)
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
	f.HostList.PublishHosts(filled.Hosts)

	return f, nil
}

// startEndpoint starts the stand-in of one endpoint and returns its address.
func (f *Fleet) startEndpoint(e *cataloguer.Endpoint, opts FleetOptions) (netip.AddrPort, error) {
	if f.Site.Catalogue.Services[e.Service].Kind == cataloguer.ModelService {
		o := opts.Engine
		o.Name, o.Slots, o.ColdSlots, o.Resumes, o.RunLog = e.Name, e.Slots, e.ColdSlots, e.Resumes, f.RunLog
		o.FirstToken = durationOr(o.FirstToken, 100*time.Millisecond)
		o.TokenInterval = durationOr(o.TokenInterval, 8*time.Millisecond)
		o.Warmup = durationOr(o.Warmup, 300*time.Millisecond)
		o.Loaded, o.ChecksFence = slices.Concat(e.Models, e.Adapters), e.Fences
		engine := NewEngine(o)
		f.Engines[e.Name] = engine

		err := engine.Start(loopback)

		return engine.Addr(), err
	}
	o := opts.Service
	o.Name, o.Service, o.Slots, o.ColdSlots, o.RunLog = e.Name, e.Service, e.Slots, e.ColdSlots, f.RunLog
	o.CallDuration = durationOr(o.CallDuration, 20*time.Millisecond)
	o.Warmup = durationOr(o.Warmup, 100*time.Millisecond)
	service := NewService(o)
	f.Services[e.Name] = service

	err := service.Start(loopback)

	return service.Addr(), err
}

func durationOr(d, fallback time.Duration) time.Duration {
	if d == 0 {
		return fallback
	}

	return d
}

// Control changes the behaviour of an endpoint's stand-in.
func (f *Fleet) Control(endpoint string, c Control) {
	if e := f.Engines[endpoint]; e != nil {
		e.Control(c)
	}
	if s := f.Services[endpoint]; s != nil {
		s.Control(c)
	}
}

// Stats returns the counters of each endpoint.
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

// Close stops all stand-ins.
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
