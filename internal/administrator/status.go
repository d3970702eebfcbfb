package administrator

import "time"

// Status is the status of a node. The API returns all of it or one section.
// Durations are in nanoseconds in JSON.
type Status struct {
	Versions  Versions   `json:"versions"`
	Endpoints []Endpoint `json:"endpoints"`
	Queues    []Queue    `json:"queues"`
	Limits    []Limit    `json:"limits"`
	Members   Members    `json:"members"`
	Orders    []Order    `json:"orders"`
	Marks     []Mark     `json:"marks"`
	// Decisions holds the latest decisions, oldest first.
	Decisions []Decision `json:"decisions"`
}

// Versions describes the state of a node: its versions and those of its peers, its
// readiness, and the publications that it refused.
type Versions struct {
	Node        string `json:"node"`
	Incarnation uint64 `json:"incarnation"`
	// Build is the version of the node's program.
	Build string `json:"build"`
	Ready bool   `json:"ready"`
	// Reason is why the node is not ready, or empty.
	Reason    string `json:"reason,omitempty"`
	Fresh     bool   `json:"fresh"`
	Leaving   bool   `json:"leaving"`
	Catalogue uint64 `json:"catalogue"`
	Epoch     uint64 `json:"epoch"`
	Hosts     uint64 `json:"hosts"`
	// Covering reports whether the node covers its keys: it can answer for all
	// idempotency keys of which it is a witness.
	Covering bool `json:"covering"`
	// Contact is the age of the last contact with the configuration service,
	// or negative if there was none.
	Contact time.Duration  `json:"contact"`
	Peers   []PeerVersions `json:"peers"`
	Refused []Refusal      `json:"refused"`
}

// PeerVersions holds the versions in force at a peer, as it last reported them.
type PeerVersions struct {
	Node      string `json:"node"`
	Alive     bool   `json:"alive"`
	Catalogue uint64 `json:"catalogue"`
	Hosts     uint64 `json:"hosts"`
}

// Refusal is a publication that the node refused.
type Refusal struct {
	At     time.Time `json:"at"`
	Source string    `json:"source"`
	// Document is "catalogue" or "hosts".
	Document string `json:"document"`
	Version  uint64 `json:"version"`
	Error    string `json:"error"`
}

// Endpoint is the state of an endpoint. Only the home node of its pool knows the
// state; on other nodes State is empty, and Home is the node to ask.
type Endpoint struct {
	Name   string `json:"name"`
	Pool   string `json:"pool"`
	Centre string `json:"centre"`
	Home   string `json:"home"`
	State  string `json:"state"`
	// Reason is why the state last changed, or what has taken the endpoint out of
	// service.
	Reason  string `json:"why"`
	Slots   int    `json:"slots"`
	Cold    int    `json:"cold"`
	Limit   int    `json:"limit"`
	Running int    `json:"running"`
	// Gap is the measured time between tokens.
	Gap time.Duration `json:"gap"`
}

// Queue is the state of a class in the queue of a pool whose home is the node.
type Queue struct {
	Pool     string `json:"pool"`
	Class    string `json:"class"`
	Tier     int    `json:"tier"`
	Reserved int    `json:"reserved"`
	Running  int    `json:"running"`
	Queued   int    `json:"queued"`
	// Oldest is the waiting time of the oldest request, and Wait the estimated
	// waiting time of a new one.
	Oldest time.Duration `json:"oldest"`
	Wait   time.Duration `json:"wait"`
}

// Limit holds the limits of an entry, and its usage at this node.
type Limit struct {
	Entry      string  `json:"entry"`
	Owner      string  `json:"owner"`
	Class      string  `json:"class"`
	Rate       float64 `json:"rate"`
	Burst      int     `json:"burst"`
	Concurrent int     `json:"concurrent"`
	// Running is the number of requests in progress at this node, and Allowed
	// the part of the limit on concurrent requests that the node may use now;
	// both are zero while the entry is idle.
	Running int `json:"running"`
	Allowed int `json:"allowed"`
}

// Members lists the hosts of the fleet and the home node of each pool.
type Members struct {
	Hosts []Member `json:"hosts"`
	Pools []Pool   `json:"pools"`
}

// Member is a host of the published host list.
type Member struct {
	Name        string `json:"name"`
	Centre      string `json:"centre"`
	Alive       bool   `json:"alive"`
	Leaving     bool   `json:"leaving"`
	Incarnation uint64 `json:"incarnation"`
	// SinceHeartbeat is the time since the last heartbeat, or zero if the node
	// is this one or has never sent one.
	SinceHeartbeat time.Duration `json:"silence"`
	// Link is the address of the peer connection, or empty if there is none.
	Link string `json:"link"`
	// Dropped is the number of messages dropped because the queue of the peer
	// connection was full.
	Dropped uint64 `json:"dropped"`
}

// Pool holds the home, the leases and the load of a pool.
type Pool struct {
	Name    string   `json:"name"`
	Home    string   `json:"home"`
	Lenders []string `json:"lenders"`
	// Leases is the number of leases that the node has.
	Leases int `json:"leases"`
	// Free is the number of free slots and Queued that of queued requests, as
	// the home last reported them.
	Free   int `json:"free"`
	Queued int `json:"queued"`
}

// Mark is the state of a request that may crash endpoints.
type Mark struct {
	Service string `json:"service"`
	// Fingerprint is a number that identifies service and body of the
	// request, as in log events.
	Fingerprint string `json:"fingerprint"`
	// State is "suspect", "blocked" or "cleared".
	State string        `json:"state"`
	Age   time.Duration `json:"age"`
}

// Decision records the verdict on a request and where it was scheduled.
type Decision struct {
	At       time.Time `json:"at"`
	ID       uint64    `json:"id"`
	Entry    string    `json:"entry"`
	Class    string    `json:"class"`
	Verdict  string    `json:"verdict"`
	Endpoint string    `json:"endpoint"`
	Home     string    `json:"home"`
}

// Order is an emergency order that takes a data centre or an endpoint out of
// service. One of Centre and Endpoint is empty.
type Order struct {
	ID        string        `json:"id"`
	Centre    string        `json:"centre,omitempty"`
	Endpoint  string        `json:"endpoint,omitempty"`
	Remaining time.Duration `json:"left"`
	Cancelled bool          `json:"cancelled,omitempty"`
}

// The default and the maximum duration of an order.
const (
	DefaultOrderDuration = time.Hour
	MaxOrderDuration     = 24 * time.Hour
)

// OrderRequest is the request body of a call that creates an order.
type OrderRequest struct {
	Centre   string `json:"centre,omitempty"`
	Endpoint string `json:"endpoint,omitempty"`
	// Duration is the time until the order expires; zero means
	// DefaultOrderDuration.
	Duration time.Duration `json:"duration,omitempty"`
}

// Filter selects decisions. A zero field matches all values.
type Filter struct {
	Request uint64
	Entry   string
	Class   string
}

// matches reports whether the filter selects the decision.
func (f Filter) matches(d Decision) bool {
	return (f.Request == 0 || f.Request == d.ID) && (f.Entry == "" || f.Entry == d.Entry) &&
		(f.Class == "" || f.Class == d.Class)
}
