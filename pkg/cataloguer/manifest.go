package cataloguer

import (
	"crypto/sha256"
	"fmt"
	"strings"

	"snipedyke/internal/decoder"
)

// Names of the documents. Shards of entries are named entries-000 to entries-127.
const (
	ManifestName    = "manifest"
	ServicesName    = "services"
	EndpointsName   = "endpoints"
	ClassesName     = "classes"
	DataCentresName = "datacentres"
	HostsName       = "hosts"
	entriesPrefix   = "entries-"
)

// Limits of the documents.
const (
	// MaxDocument is the maximum size of a document in bytes. A document and a
	// manifest together fit into one peer frame of 1 MiB.
	MaxDocument = 1_000_000
	// MaxManifest is the maximum size of a manifest in bytes.
	MaxManifest = 32 << 10
	MaxShards   = 128
	MaxEntries  = 12_000
	maxHosts    = 4_096
	// maxVersion keeps versions exact in JSON tools that use floating-point
	// numbers.
	maxVersion = 1 << 53
)

// Manifest lists the documents of one publication.
type Manifest struct {
	Version Version
	Epoch   uint64
	// Downloads is the maximum number of concurrent downloads of the fleet from
	// the weight store; zero means DefaultDownloads.
	Downloads int
	Documents []Document
}

// DefaultDownloads is the maximum number of concurrent downloads if the manifest
// does not set one.
const DefaultDownloads = 4

const maxDownloads = 10_000

// Document is the name and the SHA-256 of a document of a manifest.
type Document struct {
	Name string
	Hash [sha256.Size]byte
}

// ParseManifest parses a manifest. The manifest must list services, endpoints,
// classes and datacentres; shards of entries are optional, and other documents are
// refused.
func ParseManifest(body []byte) (*Manifest, error) {
	var list decoder.ProblemList
	m := parseManifest(&list, body)

	return m, wrapInvalid("parse manifest", list.Err())
}

func parseManifest(list *decoder.ProblemList, body []byte) *Manifest {
	m := &Manifest{}
	n, ok := decoder.Parse(list, ManifestName, body, MaxManifest)
	if !ok {
		return m
	}
	o := n.Object()
	m.Version = Version(o.Int("version", 1, maxVersion))
	m.Epoch = uint64(o.Int("epoch", 0, maxVersion))
	if o.Has("downloads") {
		m.Downloads = int(o.Int("downloads", 1, maxDownloads))
	}
	seen := map[string]bool{}
	o.Each("documents", 0, MaxShards+4, func(n *decoder.Node) {
		o := n.Object()
		name := o.Name("name")
		hash, ok := o.Hash("hash")
		o.End()
		switch {
		case name == "":
			return
		case !isDocument(name):
			o.Fail("name", fmt.Sprintf("%q is not a document of a catalogue", name), "services, endpoints, classes, datacentres, entries-000 to entries-127")
		case seen[name]:
			o.Fail("name", fmt.Sprintf("%q is given twice", name), "each document once")
		case ok:
			m.Documents = append(m.Documents, Document{Name: name, Hash: hash})
		}
		seen[name] = true
	})
	for _, name := range []string{ServicesName, EndpointsName, ClassesName, DataCentresName} {
		if !seen[name] {
			o.Fail("documents", fmt.Sprintf("document %q is missing", name), "services, endpoints, classes and datacentres, and any shards of entries")
		}
	}
	o.End()

	return m
}

// isDocument reports whether the name is that of a document that a manifest may
// list.
func isDocument(name string) bool {
	switch name {
	case ServicesName, EndpointsName, ClassesName, DataCentresName:
		return true
	}
	digits, ok := strings.CutPrefix(name, entriesPrefix)
	if !ok || len(digits) != 3 {
		return false
	}
	number := 0
	for _, d := range digits {
		if d < '0' || d > '9' {
			return false
		}
		number = number*10 + int(d-'0')
	}

	return number < MaxShards
}

// ParseHosts parses a host list.
func ParseHosts(body []byte) (*Hosts, error) {
	var list decoder.ProblemList
	hosts := &Hosts{}
	n, ok := decoder.Parse(&list, HostsName, body, MaxDocument)
	if !ok {
		return nil, wrapInvalid("parse hosts", list.Err())
	}
	o := n.Object()
	hosts.Version = Version(o.Int("version", 1, maxVersion))
	names, peers := uniqueValues{}, uniqueValues{}
	o.Each("hosts", 1, maxHosts, func(n *decoder.Node) {
		o := n.Object()
		h := Host{Name: o.Name("name"), DataCentre: o.Name("centre"), Peer: o.Address("peer", false), Leaving: o.Bool("leaving")}
		o.End()
		names.add(o, "name", h.Name)
		if h.Peer.IsValid() {
			peers.add(o, "peer", h.Peer.String())
		}
		hosts.Hosts = append(hosts.Hosts, h)
	})
	o.End()
	if err := list.Err(); err != nil {
		return nil, wrapInvalid("parse hosts", err)
	}
	sortHosts(hosts.Hosts)

	return hosts, nil
}

// uniqueValues is a set of the values of a field that must be unique.
type uniqueValues map[string]bool

// add adds a value and reports whether it is new. A repeated value is a problem of
// the field; an empty one, whose problem the decoder has reported, is ignored.
func (u uniqueValues) add(o *decoder.Object, field, value string) bool {
	if value == "" {
		return false
	}
	if u[value] {
		o.Fail(field, fmt.Sprintf("%q is given twice", value), "a value that no other has")

		return false
	}
	u[value] = true

	return true
}
