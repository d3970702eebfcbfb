// Package router holds the table of routes: which route a request takes, to
// which service it goes and which client account holds its key. A Table is
// immutable.
package router

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Kind tells what may be repeated.
type Kind uint8

// The kinds of routes.
const (
	// Unsafe requests run at most once.
	Unsafe Kind = iota
	// Safe requests may run more than once.
	Safe
	// Stream requests are answered by a series of events. They run at most
	// once unless the route says that a stream can be resumed.
	Stream
)

// String returns the name of the kind.
func (k Kind) String() string {
	switch k {
	case Unsafe:
		return "unsafe"
	case Safe:
		return "safe"
	case Stream:
		return "stream"
	default:
		return "unknown"
	}
}

// Route says how the requests under a host and a prefix are handled.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   Kind
	// Timeout is the longest time that a request is kept waiting.
	Timeout time.Duration
	// Target is the time to the answer, or to the first event of a stream.
	Target time.Duration
	// Gap is the longest pause between the events of a stream, or zero.
	Gap time.Duration
	// Attempts is the number of endpoints that one request may be sent to. It
	// is at least 1.
	Attempts int
	// Priority is the rank among routes; 0 is the highest.
	Priority int
	// Public routes need no key.
	Public bool
	// Resumable streams can go on at another endpoint.
	Resumable bool
	// Regions are the only regions whose endpoints may run the requests; all
	// if it is empty.
	Regions []string
	// Shares are the services that the requests go to. There is at least one.
	Shares []Share
}

// Share is a service's part of the requests of a route.
type Share struct {
	Service string
	// Weight is at least 0; a route's weights add up to more than 0.
	Weight int
}

// Repeatable tells whether a request may be sent to a second endpoint after
// the first may have run it.
func (r *Route) Repeatable() bool { return r.Kind == Safe || r.Kind == Stream && r.Resumable }

// Service returns the service for the request with the identifier. Requests
// are dealt by a hash, so that the choice can be repeated.
func (r *Route) Service(id string) string {
	total := 0
	for _, s := range r.Shares {
		total += s.Weight
	}
	if total <= 0 {
		return r.Shares[0].Service
	}
	at := int(xxhash.Sum64String(id) % uint64(total))
	for _, s := range r.Shares {
		if at -= s.Weight; at < 0 {
			return s.Service
		}
	}

	return r.Shares[0].Service
}

// Service is a set of endpoints that run the same software.
type Service struct {
	Name string
	// Connections bounds the connections of an endpoint from all callers, or
	// is zero.
	Connections int
	// Cold is how long an endpoint stays cold after its start, and ColdRate the
	// number of requests a second that a cold endpoint bears.
	Cold     time.Duration
	ColdRate float64
	// Engine is nil for plain services.
	Engine *Engine
}

// Engine describes the model engines of a service.
type Engine struct {
	// Slots is the largest batch.
	Slots int
}

// Account is a client account.
type Account struct {
	Name string
	// Priority, if it is not nil, goes before the priority of routes.
	Priority *int
	// Regions restricts the account like Route.Regions.
	Regions []string
}

// Definition is what a Table is made of.
type Definition struct {
	Version  uint64
	Routes   []Route
	Services []Service
	Accounts []Account
	// Keys holds the name of the account by key.
	Keys map[string]string
	// Body bounds the body of a request in bytes, or is zero.
	Body int
}

// Table is one version of the routes. It is immutable.
type Table struct {
	version  uint64
	body     int
	hosts    map[string][]*Route
	services map[string]*Service
	keys     map[string]*Account
	routes   int
	// accountRanks and routeRanks are the sorted priorities in use.
	accountRanks, routeRanks []int
}

// New builds a table. It returns an error of kind KindInvalid if a definition
// refers to something that is missing.
func New(d Definition) (*Table, error) {
	t := &Table{
		version: d.Version, body: d.Body, routes: len(d.Routes),
		hosts:    make(map[string][]*Route),
		services: make(map[string]*Service, len(d.Services)),
		keys:     make(map[string]*Account, len(d.Keys)),
	}
	for i := range d.Services {
		t.services[d.Services[i].Name] = &d.Services[i]
	}
	for i := range d.Routes {
		r := &d.Routes[i]
		if err := t.check(r); err != nil {
			return nil, err
		}
		host := strings.ToLower(r.Host)
		t.hosts[host] = append(t.hosts[host], r)
	}
	for _, routes := range t.hosts {
		slices.SortStableFunc(routes, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	accounts := make(map[string]*Account, len(d.Accounts))
	for i := range d.Accounts {
		accounts[d.Accounts[i].Name] = &d.Accounts[i]
		if p := d.Accounts[i].Priority; p != nil {
			t.accountRanks = append(t.accountRanks, *p)
		}
	}
	for i := range d.Routes {
		t.routeRanks = append(t.routeRanks, d.Routes[i].Priority)
	}
	t.accountRanks, t.routeRanks = distinct(t.accountRanks), distinct(t.routeRanks)
	for key, name := range d.Keys {
		account := accounts[name]
		if account == nil {
			return nil, invalid("a key names the unknown account %q", name)
		}
		t.keys[key] = account
	}

	return t, nil
}

// distinct sorts ranks and drops repeats.
func distinct(ranks []int) []int {
	slices.Sort(ranks)

	return slices.Compact(ranks)
}

// Urgency returns the rank of a request, 0 first. The priority of the account
// goes before that of the route; account may be nil.
func (t *Table) Urgency(r *Route, account *Account) int {
	byRoute, _ := slices.BinarySearch(t.routeRanks, r.Priority)
	if account == nil || account.Priority == nil {
		return byRoute
	}
	byAccount, _ := slices.BinarySearch(t.accountRanks, *account.Priority)

	return byAccount*len(t.routeRanks) + byRoute
}

func (t *Table) check(r *Route) error {
	switch {
	case !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/"):
		return invalid("route %q: prefix %q must begin and end with a slash", r.Name, r.Prefix)
	case r.Attempts < 1:
		return invalid("route %q: attempts %d must be at least 1", r.Name, r.Attempts)
	case len(r.Shares) == 0:
		return invalid("route %q has no service", r.Name)
	}
	for _, s := range r.Shares {
		if t.services[s.Service] == nil {
			return invalid("route %q: unknown service %q", r.Name, s.Service)
		}
	}

	return nil
}

// Version returns the version of the table.
func (t *Table) Version() uint64 { return t.version }

// Body returns the largest body of a request in bytes, or zero.
func (t *Table) Body() int { return t.body }

// Routes returns the number of routes.
func (t *Table) Routes() int { return t.routes }

// Route returns the route with the longest prefix of the path, or nil.
func (t *Table) Route(host, path string) *Route {
	routes := t.hosts[host]
	if routes == nil {
		routes = t.hosts[strings.ToLower(host)]
	}
	for _, r := range routes {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}

	return nil
}

// Service returns the service with the name, or nil.
func (t *Table) Service(name string) *Service { return t.services[name] }

// Account returns the account that holds the key, or nil.
func (t *Table) Account(key string) *Account { return t.keys[key] }

// ErrorKind tells what went wrong.
type ErrorKind string

// KindInvalid is a definition that contradicts itself.
const KindInvalid ErrorKind = "invalid definition"

// Error is an error of this package.
type Error struct {
	Op   string
	Kind ErrorKind
	Text string
}

// Error describes the operation, the kind and the cause.
func (e *Error) Error() string { return fmt.Sprintf("router: %s: %s: %s", e.Op, e.Kind, e.Text) }

func invalid(format string, args ...any) error {
	return &Error{Op: "build table", Kind: KindInvalid, Text: fmt.Sprintf(format, args...)}
}
