package configurer

import (
	"net/netip"
	"time"

	"snipedyke/internal/decoder"
)

// Routing holds the settings of a node that routes requests by host and path.
type Routing struct {
	Name       string
	DataCentre string
	// Regions maps each data centre to its region.
	Regions map[string]string
	// Callers is the listen address for callers, Readiness that of the load
	// balancer's readiness checks, and Metrics that of the metrics. Metrics is
	// the zero AddrPort if the file does not set it.
	Callers   netip.AddrPort
	Readiness netip.AddrPort
	Metrics   netip.AddrPort
	// Peers is the listen address for other nodes, for messages by UDP and requests that are
	// handed over by TCP. All nodes use the same port.
	// Seeds are the addresses of nodes from which others can be discovered.
	Peers netip.AddrPort
	Seeds []netip.Addr
	// Store is the address of the metadata store.
	Store netip.AddrPort
	// RevocationTimeout is the time after which no node may accept a revoked key.
	RevocationTimeout time.Duration
	// PublicationInterval is the time between two publications of an endpoint. A
	// file that does not set it gets defaultPublicationInterval.
	PublicationInterval time.Duration
	// Grace bounds a graceful shutdown.
	Grace time.Duration
	// ColdFactor and ColdSlack limit the requests per second to an endpoint in
	// cold start: its rate times the factor, plus the slack.
	ColdFactor, ColdSlack float64
	// RetryWindow, RetryRatio and RetrySlack set the retry budget of the fleet
	// for each service: the retries within the window are at most the requests
	// times the ratio, plus the slack.
	RetryWindow time.Duration
	RetryRatio  float64
	RetrySlack  float64
	// Outcomes, Speeds and Accounts report whether placement takes into account which
	// endpoints fail attempts, how fast endpoints are and, where room is short, the
	// shares of client accounts.
	Outcomes, Speeds, Accounts bool
	// Memory is the memory limit of the process in megabytes.
	Memory int
	// Descriptors is the file descriptor limit of the process.
	Descriptors int
	Log         Log
}

// Accepted ranges.
const (
	minRevocationTimeout   = time.Second
	maxRevocationTimeout   = time.Hour
	minPublicationInterval = 100 * time.Millisecond
	maxPublicationInterval = time.Minute
	maxFactor              = 100
	maxSlack               = 1e6
	minMemory              = 32
	maxMemory              = 1 << 20
	minDescriptors         = 256
	maxDescriptors         = 1 << 20
	maxDataCentres         = 256
	maxSeeds               = 16
	maxSeedAddress         = 64
)

// defaultPublicationInterval is that of the platform's endpoints.
const defaultPublicationInterval = 1200 * time.Millisecond

// File is the content of a settings file, which is either Settings or Routing.
type File interface{ file() }

func (Settings) file() {}
func (Routing) file()  {}

// LoadFile reads a settings file of either kind.
func LoadFile(path string) (File, error) {
	data, err := readFile(path)
	if err != nil {
		return nil, err
	}

	return ParseFile(path, data)
}

// ParseFile parses settings of either kind; name is the file's name in error
// messages. A file with the field "callers" is parsed as Routing, any other as
// Settings.
func ParseFile(name string, data []byte) (File, error) {
	var problems decoder.ProblemList
	var f File
	if n, ok := decoder.Parse(&problems, name, data, MaxFile); ok {
		if o := n.Object(); o.Has("callers") {
			f = readRouting(o)
		} else {
			f = readSettings(o)
		}
	}
	if err := problems.Err(); err != nil {
		return nil, &Error{Op: "parse settings", Kind: KindInvalid, Err: err}
	}

	return f, nil
}

func readRouting(o *decoder.Object) Routing {
	s := Routing{
		Name:              o.Name("name"),
		DataCentre:        o.Name("centre"),
		Regions:           map[string]string{},
		Callers:           o.Address("callers", true),
		Readiness:         o.Address("readiness", true),
		Peers:             o.Address("peers", false),
		Store:             o.Address("store", false),
		RevocationTimeout: o.Duration("withdrawal", minRevocationTimeout, maxRevocationTimeout),
		Grace:             o.Duration("grace", minDrain, maxDrain),
		Memory:            int(o.Int("memory", minMemory, maxMemory)),
		Descriptors:       int(o.Int("descriptors", minDescriptors, maxDescriptors)),
		Log:               Log{Level: "info", Format: "json"},

		PublicationInterval: defaultPublicationInterval,
	}
	if o.Has("publication") {
		s.PublicationInterval = o.Duration("publication", minPublicationInterval, maxPublicationInterval)
	}
	for _, text := range o.Names("seeds", 0, maxSeeds, maxSeedAddress) {
		seed, err := netip.ParseAddrPort(text)
		if err != nil {
			o.Fail("seeds", text, "addresses with ports")

			continue
		}
		s.Seeds = append(s.Seeds, seed.Addr())
	}
	if o.Has("metrics") {
		s.Metrics = o.Address("metrics", true)
	}
	o.Each("regions", 1, maxDataCentres, func(n *decoder.Node) {
		r := n.Object()
		s.Regions[r.Name("centre")] = r.Name("region")
		r.End()
	})
	if n := o.Field("cold"); n != nil {
		c := n.Object()
		s.ColdFactor, s.ColdSlack = c.Float("factor", 0, maxFactor), c.Float("slack", 0, maxSlack)
		c.End()
	}
	if n := o.Field("retries"); n != nil {
		r := n.Object()
		s.RetryWindow = r.Duration("window", time.Second, time.Hour)
		s.RetryRatio, s.RetrySlack = r.Float("ratio", 0, maxFactor), r.Float("slack", 0, maxSlack)
		r.End()
	}
	readSwitch := func(field string, dst *bool) {
		if o.Has(field) {
			*dst = o.Bool(field)
		}
	}
	readSwitch("outcomes", &s.Outcomes)
	readSwitch("speeds", &s.Speeds)
	readSwitch("accounts", &s.Accounts)
	if n := o.Field("log"); n != nil {
		readLog(n.Object(), &s.Log)
	}
	o.End()

	return s
}
