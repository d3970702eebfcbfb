// Package cataloguer defines the catalogue that operators publish. It parses,
// validates and encodes the catalogue's documents.
package cataloguer

import (
	"net/netip"
	"time"
)

// Version is the version of a catalogue or of a host list. A publication replaces
// those with a lower version; zero means that nothing has been published.
type Version uint64

// ServiceKind is the protocol of a service's endpoints.
type ServiceKind string

// The service kinds.
const (
	ModelService ServiceKind = "model"
	PlainService ServiceKind = "plain"
)

// Catalogue is one validated publication. It must not be modified after it has
// been built, so that several goroutines may read it.
type Catalogue struct {
	Version Version
	// Epoch increases when the operator declares that no earlier idempotency key
	// will be sent again.
	Epoch uint64
	// Downloads is the maximum number of concurrent downloads of the fleet from
	// the weight store; zero means DefaultDownloads.
	Downloads int
	// Services, Classes, DataCentres, Endpoints and Entries are keyed by name.
	// All references between them resolve.
	Services    map[string]*Service
	Classes     map[string]*Class
	DataCentres map[string]*DataCentre
	Endpoints   map[string]*Endpoint
	Entries     map[string]*Entry
	// Keys maps the hash of a caller's key to the entry that the key belongs to;
	// no hash is in two entries.
	Keys map[KeyHash]*Entry
}

// KeyHash is the SHA-256 of a caller's key.
type KeyHash [32]byte

// Service is a set of endpoints that serve the same requests.
type Service struct {
	Name string
	Kind ServiceKind
	// Models lists the model names whose requests a model service accepts.
	Models []string
	// Routes is empty for a model service.
	Routes []Route
}

// Route sets the class and idempotence of the calls of a plain service that match
// a method and a path prefix.
type Route struct {
	// Method is an upper-case HTTP method, or "*" for all.
	Method string
	// Path is a path prefix that starts with a slash.
	Path string
	// Class overrides the class of the caller's entry if it is not empty.
	Class string
	// Idempotent reports whether a call may be retried.
	Idempotent bool
}

// Class is a class of service.
type Class struct {
	Name string
	// Tier orders classes by importance; 0 is the highest.
	Tier int
	// FirstToken is the target for the time to first token of a model request,
	// or to the whole response of a plain call.
	FirstToken time.Duration
	// Gap is the target for the time between two tokens; zero for plain calls.
	Gap time.Duration
	// Share is the fraction of a pool's slots that is reserved for the class,
	// between 0 and 1. The shares of all classes add up to at most 1.
	Share float64
	// MaxWait bounds the time that the oldest request waits for a slot.
	MaxWait time.Duration
	// Batch reports whether requests wait for a slot until the caller's batch
	// deadline, where requests of other classes are refused early.
	Batch bool
}

// DataCentre is a site of endpoints and hosts.
type DataCentre struct {
	Name   string
	Region string
	// OutOfService reports whether operators have taken the data centre out of
	// service.
	OutOfService bool
}

// Endpoint is one server of a service.
type Endpoint struct {
	Name       string
	Service    string
	DataCentre string
	// Pool names the endpoints that are scheduled together.
	Pool    string
	Address netip.AddrPort
	// Slots is the maximum number of concurrent requests of a warm endpoint, and
	// ColdSlots that of an endpoint in cold start; 1 <= ColdSlots <= Slots.
	Slots     int
	ColdSlots int
	// Models and Adapters list what the endpoint must have loaded.
	Models   []string
	Adapters []string
	// Resumes reports whether the engine can resume a broken stream.
	Resumes bool
	// Fences reports whether the endpoint rejects orders with an outdated fencing
	// token.
	Fences bool
	// OutOfService reports whether operators have taken the endpoint out of
	// service.
	OutOfService bool
}

// Entry sets the class and the limits of a group of callers.
type Entry struct {
	Name  string
	Owner string
	// Class is the class of requests whose route does not set one.
	Class string
	// Services lists the services that the entry may call; empty means all.
	Services []string
	// Rate is the sustained limit of the whole fleet in requests per second.
	Rate float64
	// Burst is the number of requests that may arrive at once.
	Burst int
	// MaxConcurrent is the limit of the whole fleet on requests in progress.
	MaxConcurrent int
	Keys          []KeyHash
}

// Host is a machine that runs a node.
type Host struct {
	Name       string
	DataCentre string
	// Peer is the address that other nodes connect to.
	Peer netip.AddrPort
	// Leaving reports whether the platform is about to remove the host.
	Leaving bool
}

// Hosts is one publication of the platform's host list. It may lag behind the
// actual state of the hosts.
type Hosts struct {
	Version Version
	// Hosts is sorted by name, and names are unique.
	Hosts []Host
}
