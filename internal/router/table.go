// Package router holds the route table: which route a request matches, which
// service the route sends it to, and which client account owns its key.
package router

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Kind is the kind of a route. It determines whether a request may be sent
// again after an endpoint may have run it.
type Kind uint8

// The kinds of routes.
const (
	// Unsafe requests run at most once.
	Unsafe Kind = iota
	// Safe requests may run more than once.
	Safe
	// Stream requests are answered by a stream of events. They run at most once
	// unless the route is resumable.
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

// Route describes how requests for a host and a path prefix are handled.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   Kind
	// Timeout limits the time from the arrival of a request to the end of its
	// answer.
	Timeout time.Duration
	// LatencyTarget is the target for the time to the answer, or to the first
	// event of a stream.
	LatencyTarget time.Duration
	// MaxPause is the longest acceptable pause between two events of a stream, or
	// zero if there is no limit.
	MaxPause time.Duration
	// Attempts is the maximum number of endpoints that one request is sent to,
	// not counting those that were not reached. It is at least 1.
	Attempts int
	// Priority is the route's priority; 0 is the highest.
	Priority int
	// Public reports whether requests are accepted without a key.
	Public bool
	// Resumable reports whether an interrupted stream can be continued on another
	// endpoint.
	Resumable bool
	// Regions lists the regions whose endpoints may run the requests. If it is
	// empty, all regions are allowed.
	Regions []string
	// Shares lists the services that the requests are distributed over. There is
	// at least one.
	Shares []Share
}

// Share is the share of a route's requests that goes to one service.
type Share struct {
	Service string
	// Weight is at least 0, and the weights of a route sum to more than 0.
	Weight int
}

// Repeatable reports whether a request may be sent to another endpoint after
// the first one may have run it.
func (r *Route) Repeatable() bool { return r.Kind == Safe || r.Kind == Stream && r.Resumable }

// Service returns the service for the request with the given identifier. It
// chooses by a hash of the identifier, so that a repeated request goes to the
// same service.
func (r *Route) Service(id string) string {
	total := 0
	for _, s := range r.Shares {
		total += s.Weight
	}
	if total <= 0 {
		return r.Shares[0].Service
	}
	point := int(xxhash.Sum64String(id) % uint64(total))
	for _, s := range r.Shares {
		if point -= s.Weight; point < 0 {
			return s.Service
		}
	}

	return r.Shares[0].Service
}

// Service is a set of endpoints that run the same software.
type Service struct {
	Name string
	// MaxConnections is the maximum number of connections that an endpoint accepts
	// in total, or zero if there is no limit.
	MaxConnections int
	// ColdPeriod is how long an endpoint is cold after it starts, and ColdRate is
	// the number of requests per second that a cold endpoint can handle.
	ColdPeriod time.Duration
	ColdRate   float64
	// Engine is nil for plain services.
	Engine *Engine
}

// Engine describes the model engines of a service.
type Engine struct {
	// Slots is the maximum batch size.
	Slots int
}

// Account is a client account.
type Account struct {
	Name string
	// Priority, if not nil, takes precedence over the priorities of routes.
	Priority *int
	// Regions restricts where the account's requests may run, like Route.Regions.
	Regions []string
}

// Definition holds the data from which a Table is built.
type Definition struct {
	Version  uint64
	Routes   []Route
	Services []Service
	Accounts []Account
	// Keys maps each key to the name of its account.
	Keys map[string]string
	// MaxBodyBytes is the maximum size of a request body in bytes, or zero if
	// there is no limit.
	MaxBodyBytes int
}

// host holds the routes of one host by prefix. longest is the length of the longest
// prefix.
type host struct {
	routes  map[string]*Route
	longest int
}

// add adds a route, unless there is one with the same prefix.
func (h *host) add(r *Route) {
	if h.routes[r.Prefix] == nil {
		h.routes[r.Prefix] = r
		h.longest = max(h.longest, len(r.Prefix))
	}
}

// route returns the route with the longest prefix of the path, or nil. All prefixes end
// with a slash, so that the time does not grow with the number of routes.
func (h *host) route(path string) *Route {
	path = path[:min(len(path), h.longest)]
	for end := strings.LastIndexByte(path, '/') + 1; end > 0; end = strings.LastIndexByte(path[:end-1], '/') + 1 {
		if r := h.routes[path[:end]]; r != nil {
			return r
		}
	}

	return nil
}

// Table is one version of the route table. It is immutable.
type Table struct {
	version      uint64
	maxBodyBytes int
	hosts        map[string]*host
	services     map[string]*Service
	keys         map[string]*Account
	routeCount   int
	// accountPriorities and routePriorities are the distinct priorities in use,
	// in ascending order.
	accountPriorities, routePriorities []int
}

// New builds a table. It returns an *Error of kind KindInvalid if a route is
// malformed or if the definition refers to an unknown service or account.
func New(d Definition) (*Table, error) {
	t := &Table{
		version: d.Version, maxBodyBytes: d.MaxBodyBytes, routeCount: len(d.Routes),
		hosts:    map[string]*host{},
		services: make(map[string]*Service, len(d.Services)),
		keys:     make(map[string]*Account, len(d.Keys)),
	}
	for _, service := range d.Services {
		t.services[service.Name] = &service
	}
	for _, route := range d.Routes {
		// Each route is allocated by itself, since requests in progress keep theirs: a
		// pointer into d.Routes would keep all routes of a former version.
		r := &route
		if err := t.validateRoute(r); err != nil {
			return nil, err
		}
		name := strings.ToLower(r.Host)
		if t.hosts[name] == nil {
			t.hosts[name] = &host{routes: map[string]*Route{}}
		}
		t.hosts[name].add(r)
	}
	accounts := make(map[string]*Account, len(d.Accounts))
	for _, account := range d.Accounts {
		accounts[account.Name] = &account
		if p := account.Priority; p != nil {
			t.accountPriorities = append(t.accountPriorities, *p)
		}
	}
	for i := range d.Routes {
		t.routePriorities = append(t.routePriorities, d.Routes[i].Priority)
	}
	t.accountPriorities, t.routePriorities = distinct(t.accountPriorities), distinct(t.routePriorities)
	for key, name := range d.Keys {
		account := accounts[name]
		if account == nil {
			return nil, invalidError("a key refers to unknown account %q", name)
		}
		t.keys[key] = account
	}

	return t, nil
}

// distinct sorts priorities in place and removes duplicates.
func distinct(ranks []int) []int {
	slices.Sort(ranks)

	return slices.Compact(ranks)
}

// Urgency returns the urgency rank of a request; 0 is the most urgent.
// Requests are ranked by the priority of the account first and by that of the
// route second. A request without an account, or whose account has no priority,
// ranks like those of the accounts with the highest priority.
func (t *Table) Urgency(r *Route, account *Account) int {
	routeRank, _ := slices.BinarySearch(t.routePriorities, r.Priority)
	if account == nil || account.Priority == nil {
		return routeRank
	}
	accountRank, _ := slices.BinarySearch(t.accountPriorities, *account.Priority)

	return accountRank*len(t.routePriorities) + routeRank
}

func (t *Table) validateRoute(r *Route) error {
	switch {
	case !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/"):
		return invalidError("route %q: prefix %q must start and end with a slash", r.Name, r.Prefix)
	case r.Attempts < 1:
		return invalidError("route %q: number of attempts must be at least 1, got %d", r.Name, r.Attempts)
	case len(r.Shares) == 0:
		return invalidError("route %q: no service", r.Name)
	}
	for _, s := range r.Shares {
		if t.services[s.Service] == nil {
			return invalidError("route %q: unknown service %q", r.Name, s.Service)
		}
	}

	return nil
}

// Version returns the version of the table.
func (t *Table) Version() uint64 { return t.version }

// MaxBodyBytes returns the maximum size of a request body in bytes, or zero if
// there is no limit.
func (t *Table) MaxBodyBytes() int { return t.maxBodyBytes }

// NumRoutes returns the number of routes.
func (t *Table) NumRoutes() int { return t.routeCount }

// LongestResumable returns the longest timeout of the routes whose streams can be
// resumed, or zero if there is none.
func (t *Table) LongestResumable() time.Duration {
	var longest time.Duration
	for _, h := range t.hosts {
		for _, r := range h.routes {
			if r.Kind == Stream && r.Resumable {
				longest = max(longest, r.Timeout)
			}
		}
	}

	return longest
}

// Rerouted returns the sorted names of the services that get resumable streams
// which went to other services, or to other shares of them, by the former table.
func (t *Table) Rerouted(former *Table) []string {
	names := map[string]bool{}
	compare := func(host, prefix string) {
		r, f := t.Route(host, prefix), former.Route(host, prefix)
		if r == nil || f == nil || r.Kind != Stream || !r.Resumable || slices.Equal(f.Shares, r.Shares) {
			return
		}
		for _, s := range r.Shares {
			names[s.Service] = true
		}
	}
	// The routes of both tables, as an added or removed route leaves requests to one
	// with a shorter prefix.
	for _, hosts := range []map[string]*host{t.hosts, former.hosts} {
		for name, h := range hosts {
			for prefix := range h.routes {
				compare(name, prefix)
			}
		}
	}

	return slices.Sorted(maps.Keys(names))
}

// Route returns the route of the host with the longest matching path prefix,
// or nil.
func (t *Table) Route(host, path string) *Route {
	h := t.hosts[host]
	if h == nil {
		h = t.hosts[strings.ToLower(host)]
	}
	if h == nil {
		return nil
	}

	return h.route(path)
}

// Service returns the named service, or nil.
func (t *Table) Service(name string) *Service { return t.services[name] }

// Account returns the account that owns the key, or nil.
func (t *Table) Account(key string) *Account { return t.keys[key] }

// Key returns a key of the named account, and reports whether there is one.
func (t *Table) Key(account string) (string, bool) {
	for key, a := range t.keys {
		if a.Name == account {
			return key, true
		}
	}

	return "", false
}

// ErrorKind classifies an Error.
type ErrorKind string

// KindInvalid is the kind of errors caused by an inconsistent definition.
const KindInvalid ErrorKind = "invalid definition"

// Error is the error type of this package.
type Error struct {
	Op   string
	Kind ErrorKind
	Text string
}

// Error returns the package, the operation, the kind and the details.
func (e *Error) Error() string { return fmt.Sprintf("router: %s: %s: %s", e.Op, e.Kind, e.Text) }

func invalidError(format string, args ...any) error {
	return &Error{Op: "build table", Kind: KindInvalid, Text: fmt.Sprintf(format, args...)}
}
