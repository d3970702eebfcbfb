package cataloguer

import (
	"bytes"
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// meanShardSize is the mean number of entries in a shard while there are fewer
// than MaxShards shards.
const meanShardSize = 94

// The JSON form of the documents and their elements.
type (
	jsonPart struct {
		Name string `json:"name"`
		Hash string `json:"hash"`
	}
	jsonManifest struct {
		Version   Version    `json:"version"`
		Epoch     uint64     `json:"epoch"`
		Downloads int        `json:"downloads,omitempty"`
		Documents []jsonPart `json:"documents"`
	}
	jsonService struct {
		Name   string      `json:"name"`
		Kind   ServiceKind `json:"kind"`
		Models []string    `json:"models,omitempty"`
		Routes []jsonRoute `json:"routes,omitempty"`
	}
	jsonRoute struct {
		Method     string `json:"method"`
		Path       string `json:"path"`
		Class      string `json:"class,omitempty"`
		Idempotent bool   `json:"idempotent,omitempty"`
	}
	jsonClass struct {
		Name  string  `json:"name"`
		Tier  int     `json:"tier"`
		First string  `json:"first"`
		Gap   string  `json:"gap,omitempty"`
		Share float64 `json:"share,omitempty"`
		Wait  string  `json:"wait"`
		Batch bool    `json:"batch,omitempty"`
	}
	jsonDataCentre struct {
		Name         string `json:"name"`
		Region       string `json:"region"`
		OutOfService bool   `json:"out,omitempty"`
	}
	jsonEndpoint struct {
		Name     string   `json:"name"`
		Service  string   `json:"service"`
		Centre   string   `json:"centre"`
		Pool     string   `json:"pool"`
		Address  string   `json:"address"`
		Slots    int      `json:"slots"`
		Cold     int      `json:"cold"`
		Models   []string `json:"models,omitempty"`
		Adapters []string `json:"adapters,omitempty"`
		Resumes  bool     `json:"resumes,omitempty"`
		Fences   bool     `json:"fences,omitempty"`
		Out      bool     `json:"out,omitempty"`
	}
	jsonEntry struct {
		Name       string   `json:"name"`
		Owner      string   `json:"owner"`
		Class      string   `json:"class"`
		Services   []string `json:"services,omitempty"`
		Rate       float64  `json:"rate"`
		Burst      int      `json:"burst"`
		Concurrent int      `json:"concurrent"`
		Keys       []string `json:"keys"`
	}
	jsonHost struct {
		Name    string `json:"name"`
		Centre  string `json:"centre"`
		Peer    string `json:"peer"`
		Leaving bool   `json:"leaving,omitempty"`
	}
)

// Encode encodes a catalogue as documents, which it does not validate. An entry's
// shard depends only on the entry's name and the number of shards, so that a
// change of one entry changes one shard.
func Encode(c *Catalogue) (manifest []byte, parts map[string][]byte, err error) {
	parts = map[string][]byte{
		ServicesName:    encodeArray(ServicesName, c.Services, newJSONService),
		ClassesName:     encodeArray(ClassesName, c.Classes, newJSONClass),
		DataCentresName: encodeArray(DataCentresName, c.DataCentres, newJSONDataCentre),
		EndpointsName:   encodeArray(EndpointsName, c.Endpoints, newJSONEndpoint),
	}
	count := min(MaxShards, (len(c.Entries)+meanShardSize-1)/meanShardSize)
	shards := make([]map[string]*Entry, count)
	for name, e := range c.Entries {
		i := xxhash.Sum64String(name) % uint64(count)
		if shards[i] == nil {
			shards[i] = map[string]*Entry{}
		}
		shards[i][name] = e
	}
	for i, shard := range shards {
		parts[fmt.Sprintf("%s%03d", entriesPrefix, i)] = encodeArray("entries", shard, newJSONEntry)
	}
	manifest, err = EncodeManifest(&Manifest{Version: c.Version, Epoch: c.Epoch, Downloads: c.Downloads}, parts)
	if err != nil {
		return nil, nil, err
	}

	return manifest, parts, nil
}

// EncodeManifest encodes a manifest that lists the parts with their hashes. It
// ignores in.Documents.
func EncodeManifest(in *Manifest, parts map[string][]byte) ([]byte, error) {
	m := jsonManifest{
		Version: in.Version, Epoch: in.Epoch, Downloads: in.Downloads, Documents: []jsonPart{},
	}
	for _, name := range slices.Sorted(maps.Keys(parts)) {
		if len(parts[name]) > MaxDocument {
			return nil, &Error{Op: "encode", Kind: KindEncode, Err: fmt.Errorf("document %q has %d bytes; at most %d are accepted", name, len(parts[name]), MaxDocument)}
		}
		hash := sha256.Sum256(parts[name])
		m.Documents = append(m.Documents, jsonPart{Name: name, Hash: hex.EncodeToString(hash[:])})
	}

	return encodeIndented(m), nil
}

// EncodeHosts encodes a host list as a document.
func EncodeHosts(h *Hosts) []byte {
	hosts := slices.Clone(h.Hosts)
	sortHosts(hosts)
	out := struct {
		Version Version    `json:"version"`
		Hosts   []jsonHost `json:"hosts"`
	}{Version: h.Version, Hosts: []jsonHost{}}
	for _, host := range hosts {
		out.Hosts = append(out.Hosts, jsonHost{Name: host.Name, Centre: host.DataCentre, Peer: host.Peer.String(), Leaving: host.Leaving})
	}

	return encodeIndented(out)
}

// encodeIndented encodes a value of this package's JSON types, which cannot fail.
func encodeIndented(v any) []byte {
	out, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		panic(err)
	}

	return append(out, '\n')
}

// encodeArray encodes a document whose only field is an array of the values,
// sorted by name, one on each line.
func encodeArray[V, W any](field string, values map[string]*V, convert func(*V) W) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "{%q: [", field)
	for i, name := range slices.Sorted(maps.Keys(values)) {
		if i > 0 {
			b.WriteByte(',')
		}
		line, err := json.Marshal(convert(values[name]))
		if err != nil {
			// Only a NaN or infinite number cannot be encoded; the document
			// then shows it as null and fails validation.
			line = []byte("null")
		}
		b.WriteString("\n  ")
		b.Write(line)
	}
	b.WriteString("\n]}\n")

	return b.Bytes()
}

func newJSONService(s *Service) jsonService {
	w := jsonService{Name: s.Name, Kind: s.Kind, Models: s.Models}
	for _, r := range s.Routes {
		w.Routes = append(w.Routes, jsonRoute(r))
	}

	return w
}

func newJSONClass(c *Class) jsonClass {
	w := jsonClass{Name: c.Name, Tier: c.Tier, First: c.FirstToken.String(), Share: c.Share, Wait: c.MaxWait.String(), Batch: c.Batch}
	if c.Gap > 0 {
		w.Gap = c.Gap.String()
	}

	return w
}

func newJSONDataCentre(d *DataCentre) jsonDataCentre { return jsonDataCentre(*d) }

func newJSONEndpoint(e *Endpoint) jsonEndpoint {
	return jsonEndpoint{
		Name: e.Name, Service: e.Service, Centre: e.DataCentre, Pool: e.Pool, Address: e.Address.String(),
		Slots: e.Slots, Cold: e.ColdSlots, Models: e.Models, Adapters: e.Adapters,
		Resumes: e.Resumes, Fences: e.Fences, Out: e.OutOfService,
	}
}

func newJSONEntry(e *Entry) jsonEntry {
	w := jsonEntry{
		Name: e.Name, Owner: e.Owner, Class: e.Class, Services: e.Services,
		Rate: e.Rate, Burst: e.Burst, Concurrent: e.MaxConcurrent,
	}
	for _, k := range slices.SortedFunc(slices.Values(e.Keys), func(a, b KeyHash) int { return cmp.Compare(string(a[:]), string(b[:])) }) {
		w.Keys = append(w.Keys, hex.EncodeToString(k[:]))
	}

	return w
}
