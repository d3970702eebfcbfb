package standin

import (
	"crypto/sha256"
	"fmt"
	"net/netip"
	"time"

	"snipedyke/pkg/cataloguer"
)

// Site is a deployment: its catalogue, hosts and callers' keys.
type Site struct {
	Name      string
	Catalogue *cataloguer.Catalogue
	Hosts     *cataloguer.Hosts
	// Keys holds the demo key of each entry.
	Keys map[string]string
	// Clients is the one-way delay from callers to the data centres.
	Clients time.Duration
}

// plan describes a site in short.
type plan struct {
	region  string
	centres []string
	hosts   int
	clients time.Duration
	classes []cataloguer.Class
	model   modelPlan
	plain   plainPlan
	owners  []string
	// kinds are the classes of entries; each owner has an entry for each.
	kinds []string
}

type modelPlan struct {
	service string
	model   string
	// servers gives the number of servers by data centre.
	servers []int
	slots   int
	cold    int
}

type plainPlan struct {
	service string
	servers []int
	slots   int
	cold    int
	routes  []cataloguer.Route
}

// plans holds the deployments of the design page.
var plans = map[string]plan{
	"guild": {
		region: "kerala", centres: []string{"kochi", "kozhikode", "thrissur", "kollam"}, hosts: 8, clients: time.Millisecond,
		classes: []cataloguer.Class{
			{Name: "payments", Tier: 0, FirstToken: 300 * time.Millisecond, Share: 0.3, MaxWait: 2 * time.Second},
			{Name: "status", Tier: 1, FirstToken: 300 * time.Millisecond, Share: 0.2, MaxWait: 2 * time.Second},
			{Name: "fit", Tier: 2, FirstToken: 660 * time.Millisecond, Gap: 31 * time.Millisecond, Share: 0.3, MaxWait: 5 * time.Second},
			{Name: "drafts", Tier: 3, FirstToken: 30 * time.Second, Gap: 100 * time.Millisecond, Share: 0.1, MaxWait: 10 * time.Minute, Batch: true},
		},
		model: modelPlan{service: "draftsmith", model: "draftsmith-7b", servers: []int{3, 2, 2, 2}, slots: 8, cold: 3},
		plain: plainPlan{service: "orderdesk", servers: []int{1, 1, 1, 1}, slots: 16, cold: 4, routes: []cataloguer.Route{
			{Method: "POST", Path: "/payments", Class: "payments"},
			{Method: "GET", Path: "/status", Class: "status", Idempotent: true},
		}},
		owners: []string{"Malabar Wheelers", "Periyar Riders", "Vembanad Cycling Club", "Nila Spokes", "Ashtamudi Racers",
			"Kuttanad Tourers", "Wayanad Climbers", "Beypore Track Team", "Idukki Gravel", "Munnar Descenders"},
		kinds: []string{"fit", "drafts"},
	},
	"valcollina": {
		region: "valcollina", centres: []string{"municipio", "deposito-nord", "padiglione"}, hosts: 6, clients: 3 * time.Millisecond,
		classes: []cataloguer.Class{
			{Name: "bookings", Tier: 0, FirstToken: 300 * time.Millisecond, Share: 0.3, MaxWait: 2 * time.Second},
			{Name: "availability", Tier: 1, FirstToken: 300 * time.Millisecond, Share: 0.2, MaxWait: 2 * time.Second},
			{Name: "chat", Tier: 2, FirstToken: 660 * time.Millisecond, Gap: 31 * time.Millisecond, Share: 0.3, MaxWait: 5 * time.Second},
			{Name: "summaries", Tier: 3, FirstToken: 30 * time.Second, Gap: 100 * time.Millisecond, Share: 0.1, MaxWait: 2 * time.Minute, Batch: true},
		},
		model: modelPlan{service: "rota-assistant", model: "rota-8b", servers: []int{4, 4, 4}, slots: 8, cold: 3},
		plain: plainPlan{service: "booking-desk", servers: []int{1, 1, 1}, slots: 16, cold: 4, routes: []cataloguer.Route{
			{Method: "POST", Path: "/bookings", Class: "bookings"},
			{Method: "GET", Path: "/availability", Class: "availability", Idempotent: true},
		}},
		owners: []string{"Bocciofila Collina", "Circolo Croquet", "Rugby Valle", "Calcio Prati", "Cricket Deposito",
			"Tennis Padiglione", "Atletica Nord", "Hockey Prato", "Polisportiva Municipio", "Golf Collina Alta"},
		kinds: []string{"chat", "summaries"},
	},
}

// largeOwners is the number of owners with five times the limits of the rest.
const largeOwners = 3

// The ports of a site that does not run on loopback.
const (
	endpointPort = 8000
	peerPort     = 7000
)

// Deployment returns one of the deployments "guild" and "valcollina", with
// addresses of the private range 10.0.0.0/8. Its demo keys are fixed.
func Deployment(name string) (*Site, error) {
	p, ok := plans[name]
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
	s := &Site{Name: name, Catalogue: c, Hosts: &cataloguer.Hosts{Version: 1}, Keys: map[string]string{}, Clients: p.clients}
	for _, centre := range p.centres {
		c.DataCentres[centre] = &cataloguer.DataCentre{Name: centre, Region: p.region}
	}
	for _, class := range p.classes {
		c.Classes[class.Name] = &class
	}
	c.Services[p.model.service] = &cataloguer.Service{Name: p.model.service, Kind: cataloguer.ModelService, Models: []string{p.model.model}}
	c.Services[p.plain.service] = &cataloguer.Service{Name: p.plain.service, Kind: cataloguer.PlainService, Routes: p.plain.routes}
	s.addEndpoints(p)
	s.addEntries(p)
	for i := range p.hosts {
		centre := i % len(p.centres)
		s.Hosts.Hosts = append(s.Hosts.Hosts, cataloguer.Host{
			Name: fmt.Sprintf("entry-%d", i+1), DataCentre: p.centres[centre],
			Peer: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(centre + 1), 0, byte(i + 1)}), peerPort),
		})
	}

	return s, nil
}

func (s *Site) addEndpoints(p plan) {
	add := func(service string, network byte, servers []int, e cataloguer.Endpoint) {
		n := 0
		for centre, count := range servers {
			for range count {
				n++
				e.Name, e.Service, e.Pool = fmt.Sprintf("%s-%d", service, n), service, service
				e.DataCentre = p.centres[centre]
				e.Address = netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(centre + 1), network, byte(n)}), endpointPort)
				s.Catalogue.Endpoints[e.Name] = new(e)
			}
		}
	}
	add(p.model.service, 1, p.model.servers, cataloguer.Endpoint{Slots: p.model.slots, ColdSlots: p.model.cold, Models: []string{p.model.model}, Resumes: true})
	add(p.plain.service, 2, p.plain.servers, cataloguer.Endpoint{Slots: p.plain.slots, ColdSlots: p.plain.cold})
}

func (s *Site) addEntries(p plan) {
	for i, owner := range p.owners {
		factor := 1
		if i < largeOwners {
			factor = 5
		}
		for _, kind := range p.kinds {
			e := &cataloguer.Entry{
				Name: fmt.Sprintf("account-%02d-%s", i+1, kind), Owner: owner, Class: kind,
				Services: []string{p.model.service, p.plain.service},
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
