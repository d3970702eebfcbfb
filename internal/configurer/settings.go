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

// MaxFile is the largest settings file in bytes.
const MaxFile = 64 << 10

// Settings are the settings of one node. They hold for its whole life.
type Settings struct {
	// Name is the host's name in the host list.
	Name       string
	DataCentre string
	// Listen is the address for callers, Peer for other nodes and Admin for
	// the administration API and metrics.
	Listen netip.AddrPort
	Peer   netip.AddrPort
	Admin  netip.AddrPort
	// Secret proves to other nodes that this one belongs to the fleet, and
	// AdminToken opens the administration API.
	Secret     Secret
	AdminToken Secret
	// Configuration is the address of the configuration service, and HostList
	// that of the host list.
	Configuration netip.AddrPort
	HostList      netip.AddrPort
	Log           Log
	Limits        Limits
	// Drain bounds a graceful shutdown.
	Drain time.Duration
}

// Log says what is logged.
type Log struct {
	// Level is one of "debug", "info", "warn" and "error", and Format one of
	// "text" and "json".
	Level  string
	Format string
}

// Limits bounds what a node holds.
type Limits struct {
	// Body is the largest request body, and Answer the largest answer that is
	// not streamed, in bytes.
	Body   int
	Answer int
	// Connections is the number of callers' connections.
	Connections int
	// Requests is the number of requests in progress.
	Requests int
	// Trace is the memory in bytes for recorded events.
	Trace int
}

// The defaults of the optional settings.
const (
	defaultBody        = 1 << 20
	defaultAnswer      = 8 << 20
	defaultConnections = 4096
	defaultRequests    = 4096
	defaultTrace       = 8 << 20
	defaultDrain       = time.Minute
)

// The accepted ranges.
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

// Secret is a string that is not shown when it is printed or encoded.
type Secret string

const redacted = "[redacted]"

// String hides the secret.
func (Secret) String() string { return redacted }

// GoString hides the secret.
func (Secret) GoString() string { return redacted }

// MarshalText hides the secret.
func (Secret) MarshalText() ([]byte, error) { return []byte(redacted), nil }

// Kind tells what went wrong.
type Kind string

// The kinds of errors.
const (
	KindRead Kind = "cannot read"
	// KindInvalid is a file that breaks the format. The cause lists all
	// problems, each with file, line, field and accepted range.
	KindInvalid Kind = "invalid"
)

// Error is an error of this package.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error describes the operation, the kind and the cause.
func (e *Error) Error() string { return fmt.Sprintf("configurer: %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Load reads the settings of a file.
func Load(path string) (Settings, error) {
	data, err := readFile(path)
	if err != nil {
		return Settings{}, err
	}

	return Parse(path, data)
}

// readFile reads a settings file.
func readFile(path string) ([]byte, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, &Error{Op: "load settings", Kind: KindRead, Err: err}
	}
	defer func() { _ = f.Close() }()
	// One byte more than accepted lets the decoder see that the file is too long.
	data, err := io.ReadAll(io.LimitReader(f, MaxFile+1))
	if err != nil {
		return nil, &Error{Op: "load settings", Kind: KindRead, Err: err}
	}

	return data, nil
}

// Parse reads settings; name is the file's name for error messages.
func Parse(name string, data []byte) (Settings, error) {
	var list decoder.List
	var s Settings
	if n, ok := decoder.Parse(&list, name, data, MaxFile); ok {
		s = read(n.Object())
	}
	if err := list.Err(); err != nil {
		return Settings{}, &Error{Op: "parse settings", Kind: KindInvalid, Err: err}
	}

	return s, nil
}

func read(o *decoder.Object) Settings {
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
	distinct(o, "peer", s.Peer, s.Listen)
	distinct(o, "admin", s.Admin, s.Listen, s.Peer)
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

// distinct reports an address that is already in use. Port 0 takes any free
// port, so it never collides.
func distinct(o *decoder.Object, field string, addr netip.AddrPort, others ...netip.AddrPort) {
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
	read := func(field string, to *int, lo, hi int64) {
		if o.Has(field) {
			*to = int(o.Int(field, lo, hi))
		}
	}
	read("body", &l.Body, minBody, maxBody)
	read("answer", &l.Answer, minBody, maxBody)
	read("connections", &l.Connections, 1, maxConnections)
	read("requests", &l.Requests, 1, maxConnections)
	read("trace", &l.Trace, 0, maxTrace)
	o.End()
}
