package cataloguer

import (
	"crypto/sha256"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"snipedyke/internal/decoder"
)

// Accepted ranges.
const (
	maxTier        = 15
	minTarget      = time.Millisecond
	maxTarget      = time.Hour
	minWait        = 10 * time.Millisecond
	maxWait        = 24 * time.Hour
	maxSlots       = 4_096
	maxRate        = 1_000_000
	maxBurst       = 1_000_000
	maxConcurrent  = 1_000_000
	maxServices    = 256
	maxClasses     = 64
	maxDataCentres = 256
	maxEndpoints   = 8_192
	maxModels      = 64
	maxModelName   = 128
	maxRoutes      = 256
	maxPath        = 256
	maxOwner       = 128
	maxKeys        = 64
	// shareTolerance allows for rounding errors of shares like 0.1, which have no
	// exact binary representation.
	shareTolerance = 1e-9
)

// Parse parses and validates the documents of one publication. parts must contain
// exactly the documents that the manifest lists, with the listed hashes. The error
// lists all problems, up to decoder.MaxProblems.
func Parse(manifest []byte, parts map[string][]byte) (*Catalogue, error) {
	return new(Parser).Parse(manifest, parts)
}

// parser builds a catalogue from its documents.
type parser struct {
	list      decoder.ProblemList
	catalogue *Catalogue
	// shareSum is the sum of the shares of the classes read so far.
	shareSum float64
	// seenModels holds the models of all services, poolServices maps each pool
	// to its service, and seenAddresses holds the addresses of all endpoints.
	seenModels    uniqueValues
	poolServices  map[string]string
	seenAddresses uniqueValues
	// interned holds one copy of each string that entries repeat.
	interned map[string]string
	// shardEntries collects the entries of the shard that is being read.
	shardEntries []*Entry
}

// parse reads all documents into p.catalogue. It takes the entries of unchanged
// shards from last, and adds the entries of all valid shards to next.
func (p *parser) parse(manifest []byte, parts map[string][]byte, last, next *Parser) {
	m := parseManifest(&p.list, manifest)
	p.catalogue.Version, p.catalogue.Epoch, p.catalogue.Downloads = m.Version, m.Epoch, m.Downloads
	hashes := map[string][sha256.Size]byte{}
	for _, part := range m.Documents {
		hashes[part.Name] = part.Hash
		p.checkPart(part, parts)
	}
	names := slices.Sorted(maps.Keys(parts))
	for _, name := range names {
		if _, ok := hashes[name]; !ok {
			p.list.Add(decoder.Problem{File: name, Got: "not in the manifest", Accepted: "the documents of the manifest"})
		}
	}
	// References are resolved while reading, so referenced documents come first.
	p.readArray(ClassesName, parts, p.readClass, maxClasses)
	p.readArray(DataCentresName, parts, p.readDataCentre, maxDataCentres)
	p.readArray(ServicesName, parts, p.readService, maxServices)
	p.readArray(EndpointsName, parts, p.readEndpoint, maxEndpoints)
	for _, name := range names {
		if hash, ok := hashes[name]; ok && strings.HasPrefix(name, entriesPrefix) {
			p.readShard(name, hash, parts, last, next)
		}
	}
	if len(p.catalogue.Entries) > MaxEntries {
		p.list.Add(decoder.Problem{File: ManifestName, Got: fmt.Sprintf("%d entries in all shards", len(p.catalogue.Entries)), Accepted: fmt.Sprintf("at most %d", MaxEntries)})
	}
}

// checkPart checks that a listed document is present and has the listed hash.
func (p *parser) checkPart(part Document, parts map[string][]byte) {
	body, ok := parts[part.Name]
	switch {
	case !ok:
		p.list.Add(decoder.Problem{File: part.Name, Got: "document is missing", Accepted: "every document of the manifest"})
	case sha256.Sum256(body) != part.Hash:
		p.list.Add(decoder.Problem{File: part.Name, Got: "content does not have the manifest's hash", Accepted: fmt.Sprintf("SHA-256 %x", part.Hash)})
	}
}

// readArray reads the elements of a document's only field: an array with the name
// of the document, or "entries" in shards.
func (p *parser) readArray(name string, parts map[string][]byte, readElement func(*decoder.Object), maxElements int) {
	body, ok := parts[name]
	if !ok {
		return
	}
	n, ok := decoder.Parse(&p.list, name, body, MaxDocument)
	if !ok {
		return
	}
	field, minElements := name, 1
	if strings.HasPrefix(name, entriesPrefix) {
		field, minElements = "entries", 0
	}
	o := n.Object()
	o.Each(field, minElements, maxElements, func(n *decoder.Node) {
		o := n.Object()
		readElement(o)
		o.End()
	})
	o.End()
}

// addNamed adds a value under its name. A repeated name is a problem.
func addNamed[V any](o *decoder.Object, values map[string]*V, name string, v *V) {
	if name == "" {
		return
	}
	if values[name] != nil {
		o.Fail("name", fmt.Sprintf("%q is given twice", name), "a name that no other has")

		return
	}
	values[name] = v
}

// readReference reads the name of one of the values. An unknown name is a problem,
// whose message calls the value by its type.
func readReference[V any](o *decoder.Object, field, typeName string, values map[string]*V) string {
	name := o.Name(field)
	if name != "" && values[name] == nil {
		o.Fail(field, fmt.Sprintf("there is no %s %q", typeName, name), "the name of a "+typeName+" of the catalogue")
	}

	return name
}

func (p *parser) readClass(o *decoder.Object) {
	c := &Class{Name: o.Name("name")}
	c.Tier = int(o.Int("tier", 0, maxTier))
	c.FirstToken = o.Duration("first", minTarget, maxTarget)
	if o.Has("gap") {
		c.Gap = o.Duration("gap", 0, maxTarget)
	}
	if o.Has("share") {
		c.Share = o.Float("share", 0, 1)
	}
	before := p.shareSum
	if p.shareSum += c.Share; p.shareSum > 1+shareTolerance && before <= 1+shareTolerance {
		o.Fail("share", fmt.Sprintf("the shares up to here add up to %g", p.shareSum), "shares that add up to at most 1")
	}
	c.MaxWait = o.Duration("wait", minWait, maxWait)
	c.Batch = o.Bool("batch")
	addNamed(o, p.catalogue.Classes, c.Name, c)
}

func (p *parser) readDataCentre(o *decoder.Object) {
	d := &DataCentre{Name: o.Name("name"), Region: o.Name("region"), OutOfService: o.Bool("out")}
	addNamed(o, p.catalogue.DataCentres, d.Name, d)
}

func (p *parser) readService(o *decoder.Object) {
	s := &Service{Name: o.Name("name")}
	s.Kind = ServiceKind(o.Choice("kind", string(ModelService), string(PlainService)))
	switch s.Kind {
	case ModelService:
		s.Models = o.Names("models", 1, maxModels, maxModelName)
		p.checkModels(o, s.Models)
		if o.Has("routes") {
			o.Fail("routes", "a model service has no routes", "routes for a plain service only")
		}
	case PlainService:
		o.Each("routes", 1, maxRoutes, func(n *decoder.Node) {
			r := n.Object()
			p.readRoute(r, s)
			r.End()
		})
		if o.Has("models") {
			o.Fail("models", "a plain service has no models", "models for a model service only")
		}
	default:
		// Without a valid kind, these fields cannot be validated; reading them
		// keeps End from reporting them as unknown.
		o.Field("models")
		o.Field("routes")
	}
	addNamed(o, p.catalogue.Services, s.Name, s)
}

// checkModels checks that each model belongs to one service only, because requests
// name a model and not a service.
func (p *parser) checkModels(o *decoder.Object, models []string) {
	for _, m := range models {
		p.seenModels.add(o, "models", m)
	}
}

func (p *parser) readRoute(o *decoder.Object, s *Service) {
	r := Route{Method: o.Choice("method", routeMethods...), Path: o.Text("path", maxPath), Idempotent: o.Bool("idempotent")}
	if r.Path != "" && (r.Path[0] != '/' || !isCleanPath(r.Path) || r.Path != "/" && strings.HasSuffix(r.Path, "/")) {
		o.Fail("path", fmt.Sprintf("%q", r.Path), `a path that starts with "/", does not end with it and has no empty or dotted segment or escape`)
	}
	if o.Has("class") {
		r.Class = readReference(o, "class", "class", p.catalogue.Classes)
	}
	// Calls that must not be retried need reserved slots, which lower tiers cannot
	// occupy.
	if c := p.catalogue.Classes[r.Class]; !r.Idempotent && (c == nil && r.Class == "" || c != nil && c.Share == 0) {
		o.Fail("class", "the route is not idempotent and has no reserved places", "a class with a share above 0")
	}
	for _, other := range s.Routes {
		if other.Path == r.Path && other.Method == r.Method && r.Path != "" {
			o.Fail("path", fmt.Sprintf("%s %s is given twice", r.Method, r.Path), "one route for each method and path")
		}
	}
	s.Routes = append(s.Routes, r)
}

func (p *parser) readEndpoint(o *decoder.Object) {
	e := &Endpoint{
		Name:         o.Name("name"),
		Service:      readReference(o, "service", "service", p.catalogue.Services),
		DataCentre:   readReference(o, "centre", "data centre", p.catalogue.DataCentres),
		Pool:         o.Name("pool"),
		Address:      o.Address("address", false),
		Slots:        int(o.Int("slots", 1, maxSlots)),
		Resumes:      o.Bool("resumes"),
		Fences:       o.Bool("fences"),
		OutOfService: o.Bool("out"),
	}
	e.ColdSlots = int(o.Int("cold", 1, int64(max(1, e.Slots))))
	e.Models = o.Names("models", 0, maxModels, maxModelName)
	e.Adapters = o.Names("adapters", 0, maxModels, maxModelName)
	if s := p.catalogue.Services[e.Service]; s != nil && s.Kind != "" {
		for _, m := range e.Models {
			if !slices.Contains(s.Models, m) {
				o.Fail("models", fmt.Sprintf("service %q has no model %q", s.Name, m), "models of the endpoint's service")
			}
		}
		if s.Kind == ModelService && len(e.Models) == 0 {
			o.Fail("models", "no model is loaded", "at least one model of the endpoint's service")
		}
	}
	if other, ok := p.poolServices[e.Pool]; ok && other != e.Service {
		o.Fail("pool", fmt.Sprintf("pool %q has endpoints of service %q", e.Pool, other), "a pool of one service")
	} else {
		p.poolServices[e.Pool] = e.Service
	}
	// Two endpoints with one address would double the cold limit of the server.
	if e.Address.IsValid() {
		p.seenAddresses.add(o, "address", e.Address.String())
	}
	addNamed(o, p.catalogue.Endpoints, e.Name, e)
}

func (p *parser) readEntry(o *decoder.Object) {
	e := &Entry{
		Name:          o.Name("name"),
		Owner:         p.intern(o.Text("owner", maxOwner)),
		Class:         p.intern(readReference(o, "class", "class", p.catalogue.Classes)),
		Rate:          o.Float("rate", 0.001, maxRate),
		Burst:         int(o.Int("burst", 1, maxBurst)),
		MaxConcurrent: int(o.Int("concurrent", 1, maxConcurrent)),
	}
	e.Services = o.Names("services", 0, maxServices, 63)
	for i, s := range e.Services {
		if e.Services[i] = p.intern(s); p.catalogue.Services[s] == nil {
			o.Fail("services", fmt.Sprintf("there is no service %q", s), "names of services of the catalogue")
		}
	}
	o.Each("keys", 1, maxKeys, func(n *decoder.Node) {
		hash, ok := n.Hash()
		if !ok {
			return
		}
		if other := p.catalogue.Keys[hash]; other != nil {
			n.Fail(fmt.Sprintf("the hash is already used by entry %q", other.Name), "a hash that is used once")

			return
		}
		p.catalogue.Keys[hash] = e
		e.Keys = append(e.Keys, hash)
	})
	addNamed(o, p.catalogue.Entries, e.Name, e)
	p.shardEntries = append(p.shardEntries, e)
}

// intern returns the first string that is equal to s, so that entries share the
// memory of repeated strings.
func (p *parser) intern(s string) string {
	if first, ok := p.interned[s]; ok {
		return first
	}
	p.interned[s] = s

	return s
}
