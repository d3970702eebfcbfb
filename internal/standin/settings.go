package standin

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"slices"

	"snipedyke/pkg/cataloguer"
)

// The secrets of nodes on loopback. They are public and protect nothing.
const (
	DemoSecret = "demo-secret-of-all-nodes"
	DemoToken  = "demo-token-of-operators"
)

// portsPerNode is the number of ports of a node: one each for callers, peers
// and administration.
const portsPerNode = 3

// OnLoopback returns a copy of the site with its hosts on loopback. If nodes is
// not zero, the copy has at most that number of hosts. The host with index i has
// three consecutive ports, for callers, peers and administration, of which the
// first is port + 3*i.
func (s *Site) OnLoopback(port uint16, nodes int) *Site {
	result := *s
	hosts := s.Hosts.Hosts
	if nodes > 0 {
		hosts = hosts[:min(nodes, len(hosts))]
	}
	result.Hosts = &cataloguer.Hosts{Version: s.Hosts.Version, Hosts: slices.Clone(hosts)}
	for i := range result.Hosts.Hosts {
		result.Hosts.Hosts[i].Peer = netip.AddrPortFrom(loopback.Addr(), port+uint16(portsPerNode*i)+1)
	}

	return &result
}

// WriteSettings writes a settings file NAME.json for each host of a site that
// OnLoopback has returned.
func (f *Fleet) WriteSettings(dir string) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return &Error{Op: "write settings", Kind: KindDocuments, Err: err}
	}
	for _, h := range f.Site.Hosts.Hosts {
		peer := h.Peer.Port()
		settings := struct {
			Name          string         `json:"name"`
			Centre        string         `json:"centre"`
			Listen        netip.AddrPort `json:"listen"`
			Peer          netip.AddrPort `json:"peer"`
			Admin         netip.AddrPort `json:"admin"`
			Secret        string         `json:"secret"`
			Token         string         `json:"token"`
			Configuration netip.AddrPort `json:"configuration"`
			Hosts         netip.AddrPort `json:"hosts"`
		}{
			Name: h.Name, Centre: h.DataCentre, Secret: DemoSecret, Token: DemoToken,
			Listen:        netip.AddrPortFrom(loopback.Addr(), peer-1),
			Peer:          h.Peer,
			Admin:         netip.AddrPortFrom(loopback.Addr(), peer+1),
			Configuration: f.Configuration.Addr(),
			Hosts:         f.HostList.Addr(),
		}
		data, err := json.MarshalIndent(settings, "", "  ")
		if err != nil {
			return &Error{Op: "write settings", Kind: KindDocuments, Err: err}
		}
		path := filepath.Join(dir, fmt.Sprintf("%s.json", h.Name))
		if err := os.WriteFile(path, append(data, '\n'), 0o600); err != nil {
			return &Error{Op: "write settings", Kind: KindDocuments, Err: err}
		}
	}

	return nil
}
