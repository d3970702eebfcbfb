package configurer

import (
	"net/netip"
	"time"

	"snipedyke/internal/decoder"
)

// Routing are the settings of a node that routes requests by host and path.
type Routing struct {
	Name       string
	DataCentre string
	// Regions holds the region of each data centre.
	Regions map[string]string
	// Callers is the address for callers, Readiness the one that the balancer
	// asks, and Metrics that of the metrics, or invalid.
	Callers   netip.AddrPort
	Readiness netip.AddrPort
	Metrics   netip.AddrPort
	// Peers is the address for other nodes, which use the same port, and Seeds
	// the addresses of nodes that may know others.
	Peers netip.AddrPort
	Seeds []netip.Addr
	// Store is the address of the shared view.
	Store netip.AddrPort
	// Withdrawal is the time in which a withdrawn key must no longer be
	// accepted by any node.
	Withdrawal time.Duration
	// Grace is the time that a graceful shutdown may take.
	Grace time.Duration
	// ColdFactor and ColdSlack bound the requests of a cold endpoint in a
	// second: its rate times the factor, plus the slack.
	ColdFactor, ColdSlack float64
	// RetryWindow, RetryRatio and RetrySlack bound the retries of the fleet.
	RetryWindow time.Duration
	RetryRatio  float64
	RetrySlack  float64
	// Memory is the limit of the process in megabytes.
	Memory int
	// Descriptors is the limit of the process.
	Descriptors int
	Log         Log
}

// The accepted ranges.
const (
	minWithdrawal  = time.Second
	maxWithdrawal  = time.Hour
	maxFactor      = 100
	maxSlack       = 1e6
	minMemory      = 32
	maxMemory      = 1 << 20
	minDescriptors = 256
	maxDescriptors = 1 << 20
	maxCentres     = 256
	maxSeeds       = 16
	maxAddress     = 64
)

// File is what a settings file holds. Only Settings and Routing implement it.
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

// ParseFile reads settings of either kind; name is the file's name for error
// messages. Settings of a node that routes by host and path name the address
// for callers "callers".
func ParseFile(name string, data []byte) (File, error) {
	var list decoder.List
	var f File
	if n, ok := decoder.Parse(&list, name, data, MaxFile); ok {
		if o := n.Object(); o.Has("callers") {
			f = readRouting(o)
		} else {
			f = read(o)
		}
	}
	if err := list.Err(); err != nil {
		return nil, &Error{Op: "parse settings", Kind: KindInvalid, Err: err}
	}

	return f, nil
}

func readRouting(o *decoder.Object) Routing {
	s := Routing{
		Name:        o.Name("name"),
		DataCentre:  o.Name("centre"),
		Regions:     map[string]string{},
		Callers:     o.Address("callers", true),
		Readiness:   o.Address("readiness", true),
		Peers:       o.Address("peers", false),
		Store:       o.Address("store", false),
		Withdrawal:  o.Duration("withdrawal", minWithdrawal, maxWithdrawal),
		Grace:       o.Duration("grace", minDrain, maxDrain),
		Memory:      int(o.Int("memory", minMemory, maxMemory)),
		Descriptors: int(o.Int("descriptors", minDescriptors, maxDescriptors)),
		Log:         Log{Level: "info", Format: "json"},
	}
	for _, text := range o.Names("seeds", 0, maxSeeds, maxAddress) {
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
	o.Each("regions", 1, maxCentres, func(n *decoder.Node) {
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
	if n := o.Field("log"); n != nil {
		readLog(n.Object(), &s.Log)
	}
	o.End()

	return s
}
