package detector

import "time"

// Status is the membership as the administration API returns it.
type Status struct {
	Self        string       `json:"self"`
	Incarnation uint64       `json:"incarnation"`
	Hosts       uint64       `json:"hosts"`
	Fresh       bool         `json:"fresh"`
	Reader      bool         `json:"reader"`
	Leaving     bool         `json:"leaving"`
	Members     []Member     `json:"members"`
	Pools       []PoolStatus `json:"pools"`
}

// Member is a published host.
type Member struct {
	Name        string `json:"name"`
	DataCentre  string `json:"centre"`
	Incarnation uint64 `json:"incarnation"`
	Alive       bool   `json:"alive"`
	Leaving     bool   `json:"leaving"`
	Catalogue   uint64 `json:"catalogue"`
	Hosts       uint64 `json:"hosts"`
	// SinceHeartbeat is the time since the last heartbeat, or zero if the node
	// is this one or has never sent one.
	SinceHeartbeat time.Duration `json:"silence"`
}

// PoolStatus is the home and the leases of a pool.
type PoolStatus struct {
	Pool    string   `json:"pool"`
	Home    string   `json:"home"`
	Lenders []string `json:"lenders"`
	// Leases is the number of leases that this node holds as the pool's home.
	Leases int `json:"leases"`
}

// Status returns the membership as this node sees it.
func (d *Detector) Status(now time.Time) Status {
	s := Status{
		Self: d.self, Incarnation: d.incarnation, Fresh: d.IsFresh(now),
		Reader: d.IsReader(now), Leaving: d.leaving,
	}
	if d.hosts != nil {
		s.Hosts = uint64(d.hosts.Version)
	}
	for _, n := range d.ranks.Names() {
		h := d.published[n]
		m := Member{Name: n, DataCentre: h.DataCentre, Leaving: h.Leaving, Alive: d.alive(now, n)}
		if n == d.self {
			m.Incarnation, m.Catalogue, m.Hosts = d.incarnation, d.catalogue, s.Hosts
			m.Leaving = m.Leaving || d.leaving
		} else if p := d.peers[n]; p != nil && p.known {
			m.Incarnation, m.Catalogue, m.Hosts = p.incarnation, p.catalogue, p.hosts
			m.Leaving = m.Leaving || p.leaving
			m.SinceHeartbeat = now.Sub(p.lastHeard)
		}
		s.Members = append(s.Members, m)
	}
	for _, name := range d.poolNames {
		leases, _ := d.Leases(now, name)
		s.Pools = append(s.Pools, PoolStatus{
			Pool: name, Home: d.Home(now, name), Lenders: d.Lenders(name), Leases: leases,
		})
	}

	return s
}
