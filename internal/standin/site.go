package standin

import (
	"crypto/sha256"
	"fmt"
	"net/netip"
	"time"

	"snipedyke/pkg/cataloguer"
)

// Site is a deployment: its catalogue, its hosts and the API keys of its
// callers.
type Site struct {
	Name      string
	Catalogue *cataloguer.Catalogue
	Hosts     *cataloguer.Hosts
	// Keys maps the name of each entry to its demo key.
	Keys map[string]string
	// CallerDelay is the one-way network delay from callers to the data
	// centres.
	CallerDelay time.Duration
}

// siteSpec is the short form from which Deployment builds a site.
type siteSpec struct {
	region       string
	centres      []string
	hosts        int
	callerDelay  time.Duration
	classes      []cataloguer.Class
	modelService modelSpec
	plainService plainSpec
	owners       []string
	// entryClasses are the classes of the entries; each owner has one entry of
	// each.
	entryClasses []string
}

type modelSpec struct {
	service string
	model   string
	// servers is the number of servers in each data centre, in the order of
	// siteSpec.centres.
	servers []int
	slots   int
	cold    int
}

type plainSpec struct {
	service string
	servers []int
	slots   int
	cold    int
	routes  []cataloguer.Route
}

// siteSpecs holds the deployments of the design page.
var siteSpecs = map[string]siteSpec{
	"guild": {
		region: "kerala", centres: []string{"kochi", "kozhikode", "thrissur", "kollam"}, hosts: 8, callerDelay: time.Millisecond,
		classes: []cataloguer.Class{
			{Name: "payments", Tier: 0, FirstToken: 300 * time.Millisecond, Share: 0.3, MaxWait: 2 * time.Second},
			{Name: "status", Tier: 1, FirstToken: 300 * time.Millisecond, Share: 0.2, MaxWait: 2 * time.Second},
			{Name: "fit", Tier: 2, FirstToken: 660 * time.Millisecond, Gap: 31 * time.Millisecond, Share: 0.3, MaxWait: 5 * time.Second},
			{Name: "drafts", Tier: 3, FirstToken: 30 * time.Second, Gap: 100 * time.Millisecond, Share: 0.1, MaxWait: 10 * time.Minute, Batch: true},
		},
		modelService: modelSpec{service: "draftsmith", model: "draftsmith-7b", servers: []int{3, 2, 2, 2}, slots: 8, cold: 3},
		plainService: plainSpec{service: "orderdesk", servers: []int{1, 1, 1, 1}, slots: 16, cold: 4, routes: []cataloguer.Route{
			{Method: "POST", Path: "/payments", Class: "payments"},
			{Method: "GET", Path: "/status", Class: "status", Idempotent: true},
		}},
		owners: []string{"Malabar Wheelers", "Periyar Riders", "Vembanad Cycling Club", "Nila Spokes", "Ashtamudi Racers",
			"Kuttanad Tourers", "Wayanad Climbers", "Beypore Track Team", "Idukki Gravel", "Munnar Descenders"},
		entryClasses: []string{"fit", "drafts"},
	},
	"valcollina": {
		region: "valcollina", centres: []string{"municipio", "deposito-nord", "padiglione"}, hosts: 6, callerDelay: 3 * time.Millisecond,
		classes: []cataloguer.Class{
			{Name: "bookings", Tier: 0, FirstToken: 300 * time.Millisecond, Share: 0.3, MaxWait: 2 * time.Second},
			{Name: "availability", Tier: 1, FirstToken: 300 * time.Millisecond, Share: 0.2, MaxWait: 2 * time.Second},
			{Name: "chat", Tier: 2, FirstToken: 660 * time.Millisecond, Gap: 31 * time.Millisecond, Share: 0.3, MaxWait: 5 * time.Second},
			{Name: "summaries", Tier: 3, FirstToken: 30 * time.Second, Gap: 100 * time.Millisecond, Share: 0.1, MaxWait: 2 * time.Minute, Batch: true},
		},
		modelService: modelSpec{service: "rota-assistant", model: "rota-8b", servers: []int{4, 4, 4}, slots: 8, cold: 3},
		plainService: plainSpec{service: "booking-desk", servers: []int{1, 1, 1}, slots: 16, cold: 4, routes: []cataloguer.Route{
			{Method: "POST", Path: "/bookings", Class: "bookings"},
			{Method: "GET", Path: "/availability", Class: "availability", Idempotent: true},
		}},
		owners: []string{"Bocciofila Collina", "Circolo Croquet", "Rugby Valle", "Calcio Prati", "Cricket Deposito",
			"Tennis Padiglione", "Atletica Nord", "Hockey Prato", "Polisportiva Municipio", "Golf Collina Alta"},
		entryClasses: []string{"chat", "summaries"},
	},
}

// largeOwners is the number of owners with five times the limits of the rest.
const largeOwners = 3

// The ports of a site that does not run on loopback.
const (
	endpointPort = 8000
	peerPort     = 7000
)

// Deployment returns the deployment "guild" or "valcollina", with addresses of
// the private range 10.0.0.0/8. Its demo keys are fixed.
func Deployment(name string) (*Site, error) {
	spec, ok := siteSpecs[name]
	if !ok {
		return nil, &Error{Op: "deployment", Kind: KindName, Err: fmt.Errorf("%q; accepted: guild, valcollina", name)}
	}
	c := &cataloguer.Catalogue{
		Version:     1,
		Epoch:       1,
		Services:    map[string]*cataloguer.Service{},
		Classes:     map[string]*cataloguer.Class{},
		DataCentres: map[string]*cataloguer.DataCentre{},
		Endpoints:   map[string]*cataloguer.Endpoint{},
		Entries:     map[string]*cataloguer.Entry{},
		Keys:        map[cataloguer.KeyHash]*cataloguer.Entry{},
	}
	s := &Site{Name: name, Catalogue: c, Hosts: &cataloguer.Hosts{Version: 1}, Keys: map[string]string{}, CallerDelay: spec.callerDelay}
	for _, centre := range spec.centres {
		c.DataCentres[centre] = &cataloguer.DataCentre{Name: centre, Region: spec.region}
	}
	for _, class := range spec.classes {
		c.Classes[class.Name] = &class
	}
	c.Services[spec.modelService.service] = &cataloguer.Service{Name: spec.modelService.service, Kind: cataloguer.ModelService, Models: []string{spec.modelService.model}}
	c.Services[spec.plainService.service] = &cataloguer.Service{Name: spec.plainService.service, Kind: cataloguer.PlainService, Routes: spec.plainService.routes}
	s.addEndpoints(spec)
	s.addEntries(spec)
	for i := range spec.hosts {
		centre := i % len(spec.centres)
		s.Hosts.Hosts = append(s.Hosts.Hosts, cataloguer.Host{
			Name: fmt.Sprintf("entry-%d", i+1), DataCentre: spec.centres[centre],
			Peer: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(centre + 1), 0, byte(i + 1)}), peerPort),
		})
	}

	return s, nil
}

func (s *Site) addEndpoints(spec siteSpec) {
	add := func(service string, network byte, servers []int, e cataloguer.Endpoint) {
		n := 0
		for centre, count := range servers {
			for range count {
				n++
				e.Name, e.Service, e.Pool = fmt.Sprintf("%s-%d", service, n), service, service
				e.DataCentre = spec.centres[centre]
				e.Address = netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(centre + 1), network, byte(n)}), endpointPort)
				s.Catalogue.Endpoints[e.Name] = new(e)
			}
		}
	}
	add(spec.modelService.service, 1, spec.modelService.servers, cataloguer.Endpoint{Slots: spec.modelService.slots, ColdSlots: spec.modelService.cold, Models: []string{spec.modelService.model}, Resumes: true})
	add(spec.plainService.service, 2, spec.plainService.servers, cataloguer.Endpoint{Slots: spec.plainService.slots, ColdSlots: spec.plainService.cold})
}

func (s *Site) addEntries(spec siteSpec) {
	for i, owner := range spec.owners {
		factor := 1
		if i < largeOwners {
			factor = 5
		}
		for _, class := range spec.entryClasses {
			e := &cataloguer.Entry{
				Name: fmt.Sprintf("account-%02d-%s", i+1, class), Owner: owner, Class: class,
				Services: []string{spec.modelService.service, spec.plainService.service},
				Rate:     float64(20 * factor), Burst: 40 * factor, MaxConcurrent: 40 * factor,
			}
			key := "demo-" + s.Name + "-" + e.Name
			hash := cataloguer.KeyHash(sha256.Sum256([]byte(key)))
			e.Keys = []cataloguer.KeyHash{hash}
			s.Keys[e.Name] = key
			s.Catalogue.Entries[e.Name] = e
			s.Catalogue.Keys[hash] = e
		}
	}
}
