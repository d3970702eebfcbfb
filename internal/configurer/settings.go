// Package configurer reads the settings of a node.
package configurer

import (
	"fmt"
	"io"
	"net/netip"
	"os"
	"time"

	"snipedyke/internal/decoder"
)

// MaxFile is the maximum size of a settings file in bytes.
const MaxFile = 64 << 10

// Settings holds the settings of a node. They do not change while the node runs.
type Settings struct {
	// Name is the host's name in the host list.
	Name       string
	DataCentre string
	// Listen is the listen address for callers, Peer that for other nodes and
	// Admin that of the administration API and the metrics.
	Listen netip.AddrPort
	Peer   netip.AddrPort
	Admin  netip.AddrPort
	// Secret authenticates the node to other nodes of the fleet, and AdminToken
	// authorizes calls of the administration API.
	Secret     Secret
	AdminToken Secret
	// Configuration is the address of the configuration service, and HostList
	// that of the service of the host list.
	Configuration netip.AddrPort
	HostList      netip.AddrPort
	Log           Log
	Limits        Limits
	// Drain bounds a graceful shutdown.
	Drain time.Duration
}

// Log configures the node's log.
type Log struct {
	// Level is one of "debug", "info", "warn" and "error", and Format one of
	// "text" and "json".
	Level  string
	Format string
}

// Limits holds the limits of a node on sizes, connections and requests.
type Limits struct {
	// Body is the maximum size of a request body, and Answer that of a response
	// that is not streamed, in bytes.
	Body   int
	Answer int
	// Connections is the maximum number of callers' connections.
	Connections int
	// Requests is the maximum number of requests in progress.
	Requests int
	// Trace is the maximum size of the recorded events in memory, in bytes.
	Trace int
}

// Defaults of the optional settings.
const (
	defaultBody        = 1 << 20
	defaultAnswer      = 8 << 20
	defaultConnections = 4096
	defaultRequests    = 4096
	defaultTrace       = 8 << 20
	defaultDrain       = time.Minute
)

// Accepted ranges.
const (
	minSecret      = 16
	maxSecret      = 256
	minBody        = 1 << 10
	maxBody        = 64 << 20
	maxConnections = 1 << 20
	maxTrace       = 1 << 30
	minDrain       = time.Second
	maxDrain       = time.Hour
)

// Secret is a string that is redacted when it is printed or encoded as text.
type Secret string

const redacted = "[redacted]"

// String returns a placeholder instead of the secret.
func (Secret) String() string { return redacted }

// GoString returns a placeholder instead of the secret.
func (Secret) GoString() string { return redacted }

// MarshalText returns a placeholder instead of the secret.
func (Secret) MarshalText() ([]byte, error) { return []byte(redacted), nil }

// Kind classifies an Error.
type Kind string

// The kinds of errors.
const (
	// KindRead is a file that cannot be read.
	KindRead Kind = "cannot read"
	// KindInvalid is a file that violates the format. The cause lists the
	// problems, each with file, line, field and accepted range.
	KindInvalid Kind = "invalid"
)

// Error is an error of this package.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error returns the operation, the kind and the cause.
func (e *Error) Error() string { return fmt.Sprintf("configurer: %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Load reads and parses a file of Settings.
func Load(path string) (Settings, error) {
	data, err := readFile(path)
	if err != nil {
		return Settings{}, err
	}

	return Parse(path, data)
}

// readFile reads a settings file, up to one byte more than MaxFile.
func readFile(path string) ([]byte, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, &Error{Op: "load settings", Kind: KindRead, Err: err}
	}
	defer func() { _ = f.Close() }()
	// The extra byte makes the decoder report a file that is too long.
	data, err := io.ReadAll(io.LimitReader(f, MaxFile+1))
	if err != nil {
		return nil, &Error{Op: "load settings", Kind: KindRead, Err: err}
	}

	return data, nil
}

// Parse parses settings; name is the file's name in error messages.
func Parse(name string, data []byte) (Settings, error) {
	var problems decoder.ProblemList
	var s Settings
	if n, ok := decoder.Parse(&problems, name, data, MaxFile); ok {
		s = readSettings(n.Object())
	}
	if err := problems.Err(); err != nil {
		return Settings{}, &Error{Op: "parse settings", Kind: KindInvalid, Err: err}
	}

	return s, nil
}

func readSettings(o *decoder.Object) Settings {
	s := Settings{
		Name:          o.Name("name"),
		DataCentre:    o.Name("centre"),
		Listen:        o.Address("listen", true),
		Peer:          o.Address("peer", true),
		Admin:         o.Address("admin", true),
		Secret:        Secret(o.Secret("secret", minSecret, maxSecret)),
		AdminToken:    Secret(o.Secret("token", minSecret, maxSecret)),
		Configuration: o.Address("configuration", false),
		HostList:      o.Address("hosts", false),
		Log:           Log{Level: "info", Format: "text"},
		Limits: Limits{
			Body: defaultBody, Answer: defaultAnswer, Connections: defaultConnections,
			Requests: defaultRequests, Trace: defaultTrace,
		},
		Drain: defaultDrain,
	}
	if s.Secret != "" && s.Secret == s.AdminToken {
		o.Fail("token", "same as secret", "a token of its own")
	}
	requireDistinct(o, "peer", s.Peer, s.Listen)
	requireDistinct(o, "admin", s.Admin, s.Listen, s.Peer)
	if n := o.Field("log"); n != nil {
		readLog(n.Object(), &s.Log)
	}
	if n := o.Field("limits"); n != nil {
		readLimits(n.Object(), &s.Limits)
	}
	if o.Has("drain") {
		s.Drain = o.Duration("drain", minDrain, maxDrain)
	}
	o.End()

	return s
}

// requireDistinct reports an address that another field already uses. Port 0
// selects a free port, so it never conflicts.
func requireDistinct(o *decoder.Object, field string, addr netip.AddrPort, others ...netip.AddrPort) {
	for _, other := range others {
		if addr.IsValid() && addr.Port() != 0 && addr == other {
			o.Fail(field, "address is already used by another field", "an address of its own")

			return
		}
	}
}

func readLog(o *decoder.Object, l *Log) {
	if o.Has("level") {
		l.Level = o.Choice("level", "debug", "info", "warn", "error")
	}
	if o.Has("format") {
		l.Format = o.Choice("format", "text", "json")
	}
	o.End()
}

func readLimits(o *decoder.Object, l *Limits) {
	readInt := func(field string, dst *int, lo, hi int64) {
		if o.Has(field) {
			*dst = int(o.Int(field, lo, hi))
		}
	}
	readInt("body", &l.Body, minBody, maxBody)
	readInt("answer", &l.Answer, minBody, maxBody)
	readInt("connections", &l.Connections, 1, maxConnections)
	readInt("requests", &l.Requests, 1, maxConnections)
	readInt("trace", &l.Trace, 0, maxTrace)
	o.End()
}
