package cataloguer_test

import (
	"bytes"
	"crypto/sha256"
	"errors"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"snipedyke/internal/decoder"
	"snipedyke/internal/standin"
	"snipedyke/pkg/cataloguer"
)

const samplesDir = "../../docs/samples"

func sampleDocuments(t testing.TB, site string) (manifest []byte, parts map[string][]byte) {
	manifest, parts, err := cataloguer.ReadDirectory(filepath.Join(samplesDir, site))
	qt.Assert(t, err, qt.IsNil)
	delete(parts, cataloguer.HostsName)

	return manifest, parts
}

// Guards against documented samples that are invalid or differ from the deployments
// that the tests and the demo use.
func TestSamples(t *testing.T) {
	c := qt.New(t)
	for _, site := range []string{"guild", "valcollina"} {
		want, err := standin.Deployment(site)
		c.Assert(err, qt.IsNil)
		got, err := cataloguer.Parse(sampleDocuments(t, site))
		c.Assert(err, qt.IsNil)
		c.Assert(reflect.DeepEqual(got, want.Catalogue), qt.IsTrue)
		list, err := os.ReadFile(filepath.Join(samplesDir, site, "hosts.json"))
		c.Assert(err, qt.IsNil)
		hosts, err := cataloguer.ParseHosts(list)
		c.Assert(err, qt.IsNil)
		c.Assert(reflect.DeepEqual(hosts, want.Hosts), qt.IsTrue)
	}
}

// invalidEdits lists edits that make the sample of the guild invalid, and the text
// that the error message must contain.
var invalidEdits = []struct{ file, old, new, want string }{
	{"services", `"kind": "model"`, `"kind": "mode"`, `services:8: services[0].kind: "mode"; accepted: model, plain`},
	{"services", `"models": ["draftsmith-7b"]`, `"models": []`, `services[0].models: 0 elements; accepted: an array of 1 to 64 elements`},
	{"services", `"method": "POST"`, `"method": "PSOT"`, `services[1].routes[0].method: "PSOT"; accepted: GET, HEAD, POST`},
	{"services", `"path": "/payments"`, `"path": "/payments/"`, `services[1].routes[0].path: "/payments/"; accepted: a path`},
	{"services", `"path": "/payments"`, `"path": "/a/../status"`, `services[1].routes[0].path`},
	{"services", `{"method": "GET", "path": "/status"`, `{"method": "POST", "path": "/payments"`, `services[1].routes[1].path: POST /payments is given twice`},
	{"services", `"class": "payments"`, `"class": "paymemts"`, `services[1].routes[0].class: there is no class "paymemts"`},
	{"services", `"path": "/status", "class": "status", "idempotent": true`, `"path": "/status"`, `services[1].routes[1].class: the route is not idempotent`},
	{"services", `"name": "orderdesk"`, `"name": "draftsmith"`, `services[1].name: "draftsmith" is given twice`},
	{"services", `"name": "orderdesk"`, `"name": "Order Desk"`, `services[1].name: "Order Desk"; accepted: 1 to 63`},
	{"classes", `"tier": 0,`, ``, `classes[2].tier: missing; accepted: a whole number from 0 to 15`},
	{"classes", `"tier": 0,`, `"tier": 0, "teir": 1,`, `classes[2].teir: unknown field`},
	{"classes", `"tier": 0,`, `"tier": 0, "tier": 1,`, `classes[2].tier: field is given twice`},
	{"classes", `"tier": 0,`, `"tier": 16,`, `classes[2].tier: 16; accepted`},
	{"classes", `"tier": 0,`, `"tier": 0.5,`, `classes[2].tier: 0.5; accepted`},
	{"classes", `"share": 0.1`, `"share": 0.9`, `classes[1].share: the shares up to here add up to 1.2`},
	{"classes", `"wait": "10m0s"`, `"wait": "10 minutes"`, `classes[0].wait: "10 minutes"; accepted: a duration from "10ms" to "24h0m0s"`},
	{"datacentres", `"name": "kollam"`, `"name": "cochin"`, `endpoints[7].centre: there is no data centre "kollam"`},
	{"datacentres", `"out": false`, `"out": "no"`, `datacentres[0].out: "no"; accepted: true or false`},
	{"endpoints", `"cold": 3`, `"cold": 9`, `endpoints[0].cold: 9; accepted: a whole number from 1 to 8`},
	{"endpoints", `"slots": 8`, `"slots": 0`, `endpoints[0].slots: 0; accepted: a whole number from 1 to 4096`},
	{"endpoints", `"address": "10.1.1.1:8000"`, `"address": "draftsmith-1:8000"`, `endpoints[0].address: "draftsmith-1:8000"; accepted: an IP address`},
	{"endpoints", `"address": "10.1.1.1:8000"`, `"address": "10.1.1.2:8000"`, `endpoints[1].address: "10.1.1.2:8000" is given twice`},
	{"endpoints", `"pool": "draftsmith"`, `"pool": "orderdesk"`, `endpoints[9].pool: pool "orderdesk" has endpoints of service "draftsmith"`},
	{"endpoints", `"models": ["draftsmith-7b"]`, `"models": ["draftsmith-8b"]`, `endpoints[0].models: service "draftsmith" has no model "draftsmith-8b"`},
	{"entries-000", `"rate": 100`, `"rate": 0`, `entries[0].rate: 0; accepted: a number from 0.001 to 1e+06`},
	{"entries-000", `"class": "drafts"`, `"class": "draft"`, `entries[0].class: there is no class "draft"`},
	{"entries-000", `["draftsmith", "orderdesk"]`, `["draftsmith", "desk"]`, `entries[0].services: there is no service "desk"`},
	{"entries-000", `"keys": ["`, `"keys": ["0`, `entries[0].keys[0]: "0`},
	{"entries-000", `"keys": [`, `"keys": ["KEY1", `, `the hash is already used by entry "account-01-drafts"`},
	{"entries-000", `"owner": "Malabar`, `"owner": "\n`, `entries[0].owner: "\n Wheelers"; accepted: a string of 1 to 128 bytes without control`},
	{"entries-000", `{`, `{]`, `entries-000:4: `},
	{"manifest", `"epoch": 1,`, ``, `manifest:2: epoch: missing`},
	{"manifest", `"epoch": 1,`, `"epoch": 1, "downloads": -1,`, `manifest:7: downloads: -1; accepted: a whole number`},
	{"manifest", `"name": "classes"`, `"name": "klasses"`, `documents[0].name: "klasses" is not a document of a catalogue`},
	{"manifest", `"name": "classes"`, `"name": "entries-001"`, `documents: document "classes" is missing`},
	{"manifest", `"version": 1`, `"version": ` + strings.Repeat("[", 100), `manifest:4: nested too deeply; accepted: at most 16 levels`},
}

// Guards against invalid documents that are accepted, and against error messages
// that do not name the file, the field and the fault.
func TestInvalidDocuments(t *testing.T) {
	for _, b := range invalidEdits {
		t.Run(b.file+" "+b.new[:min(30, len(b.new))], func(t *testing.T) {
			c := qt.New(t)
			manifest, parts := sampleDocuments(t, "guild")
			text := string(parts[b.file])
			if b.file == cataloguer.ManifestName {
				text = string(manifest)
			}
			c.Assert(text, qt.Contains, b.old)
			edited := strings.Replace(text, b.old, b.new, 1)
			if key := strings.Index(text, `"keys": ["`) + len(`"keys": ["`); strings.Contains(b.new, "KEY1") {
				edited = strings.Replace(edited, "KEY1", text[key:key+64], 1)
			}
			if b.file == cataloguer.ManifestName {
				manifest = []byte(edited)
			} else {
				parts[b.file] = []byte(edited)
				var err error
				manifest, err = cataloguer.EncodeManifest(&cataloguer.Manifest{Version: 1, Epoch: 1}, parts)
				c.Assert(err, qt.IsNil)
			}
			_, err := cataloguer.Parse(manifest, parts)
			var e *cataloguer.Error
			c.Assert(errors.As(err, &e), qt.IsTrue)
			c.Assert(err.Error(), qt.Contains, b.want)
		})
	}
}

// Guards against documents that are altered, missing or not in the manifest but are
// accepted, and against an error that lists only the first problem or an unbounded
// number of them.
func TestPublicationProblemsAreReported(t *testing.T) {
	c := qt.New(t)
	manifest, parts := sampleDocuments(t, "guild")
	parts["entries-000"] = append(parts["entries-000"], '\n')
	delete(parts, "classes")
	parts["entries-001"] = []byte(`{"entries": []}`)
	_, err := cataloguer.Parse(manifest, parts)
	c.Assert(err, qt.ErrorMatches, `(?s).*classes: document is missing.*`)
	c.Assert(err, qt.ErrorMatches, `(?s).*entries-000: content does not have the manifest's hash.*`)
	c.Assert(err, qt.ErrorMatches, `(?s).*entries-001: not in the manifest.*`)

	list := bytes.Repeat([]byte("{},\n"), 1000)
	_, err = cataloguer.ParseHosts(append(append([]byte(`{"version": 1, "hosts": [`), list...), "]}"...))
	var e *decoder.Error
	c.Assert(errors.As(err, &e), qt.IsTrue)
	c.Assert(e.Problems, qt.HasLen, 50)
	c.Assert(e.Dropped, qt.Equals, 3000-50)
	_, err = cataloguer.ParseHosts(make([]byte, cataloguer.MaxDocument+1))
	c.Assert(err, qt.ErrorMatches, `.*hosts: 1000001 bytes; accepted: at most 1000000 bytes`)
}

// Guards against an unusual form of a path that selects the wrong route, so that a
// call is wrongly treated as idempotent or gets another class.
func TestRoute(t *testing.T) {
	c := qt.New(t)
	s := &cataloguer.Service{Routes: []cataloguer.Route{
		{Method: "*", Path: "/a", Class: "low", Idempotent: true},
		{Method: "POST", Path: "/a", Class: "post"},
		{Method: "*", Path: "/a/b", Class: "long"},
	}}
	for call, want := range map[string]string{
		"GET /a": "low", "POST /a": "post", "POST /a/x": "post", "GET /a/b/c": "long", "POST /a/b/": "long",
		"GET /ab": "", "GET /": "", "GET /a/../b": "", "GET /a//b": "", "GET /a/%2e%2E/b": "", "GET /a%2fb": "", `GET /a\b`: "", "GET a": "",
	} {
		method, path, _ := strings.Cut(call, " ")
		r, ok := s.Route(method, path)
		c.Check(ok, qt.Equals, want != "", qt.Commentf(call))
		c.Check(r.Class, qt.Equals, want, qt.Commentf(call))
	}
}

// Guards against slots of a pool that are reserved for classes whose requests never
// reach it.
func TestServiceClasses(t *testing.T) {
	c := qt.New(t)
	got, err := cataloguer.Parse(sampleDocuments(t, "guild"))
	c.Assert(err, qt.IsNil)
	c.Assert(got.ServiceClasses("draftsmith"), qt.DeepEquals, map[string]bool{"fit": true, "drafts": true})
	c.Assert(got.ServiceClasses("orderdesk"), qt.DeepEquals, map[string]bool{"payments": true, "status": true})
	c.Assert(got.ServiceClasses("none"), qt.HasLen, 0)
}

// targetSizeDocuments returns documents of the target size: 12,000 entries and 2,100
// endpoints.
func targetSizeDocuments(t testing.TB) (manifest []byte, parts map[string][]byte) {
	site, err := standin.Deployment("guild")
	qt.Assert(t, err, qt.IsNil)
	c := site.Catalogue
	for i := len(c.Entries); i < cataloguer.MaxEntries; i++ {
		h := cataloguer.KeyHash(sha256.Sum256(fmt.Append(nil, i)))
		e := &cataloguer.Entry{Name: fmt.Sprintf("account-%05d-fit", i), Owner: fmt.Sprintf("Club number %d", i/2), Class: "fit",
			Services: []string{"draftsmith", "orderdesk"}, Rate: 20, Burst: 40, MaxConcurrent: 40, Keys: []cataloguer.KeyHash{h}}
		c.Entries[e.Name] = e
	}
	for i := len(c.Endpoints); i < 2100; i++ {
		e := *c.Endpoints["draftsmith-1"]
		e.Name = fmt.Sprintf("draftsmith-%d", i)
		a := e.Address.Addr().As4()
		a[2], a[3] = byte(10+i/250), byte(i%250)
		e.Address = addrPort(a)
		c.Endpoints[e.Name] = &e
	}
	manifest, parts, err = cataloguer.Encode(c)
	qt.Assert(t, err, qt.IsNil)

	return manifest, parts
}

// Guards against document limits that are too small for a catalogue of the target
// size.
func TestTargetSize(t *testing.T) {
	c := qt.New(t)
	manifest, parts := targetSizeDocuments(t)
	got, err := cataloguer.Parse(manifest, parts)
	c.Assert(err, qt.IsNil)
	c.Assert(got.Entries, qt.HasLen, cataloguer.MaxEntries)
	c.Assert(got.Endpoints, qt.HasLen, 2100)
}

// Guards against a Parser that reuses entries which a later publication changes,
// removes or makes invalid.
func TestParserReuse(t *testing.T) {
	c := qt.New(t)
	var p cataloguer.Parser
	manifest, parts := targetSizeDocuments(t)
	first, err := p.Parse(manifest, parts)
	c.Assert(err, qt.IsNil)
	delete(first.Entries, "account-01-fit")
	first.Entries["account-02-fit"] = new(*first.Entries["account-02-fit"])
	first.Entries["account-02-fit"].Rate = 7
	manifest, parts, err = cataloguer.Encode(first)
	c.Assert(err, qt.IsNil)
	want, err := cataloguer.Parse(manifest, parts)
	c.Assert(err, qt.IsNil)
	got, err := p.Parse(manifest, parts)
	c.Assert(err, qt.IsNil)
	c.Assert(reflect.DeepEqual(got, want), qt.IsTrue)

	delete(got.Services, "orderdesk")
	maps.DeleteFunc(got.Endpoints, func(_ string, e *cataloguer.Endpoint) bool { return e.Service == "orderdesk" })
	manifest, parts, err = cataloguer.Encode(got)
	c.Assert(err, qt.IsNil)
	_, wantErr := cataloguer.Parse(manifest, parts)
	_, err = p.Parse(manifest, parts)
	c.Assert(err, qt.ErrorMatches, `(?s).*there is no service "orderdesk".*`)
	c.Assert(err.Error(), qt.Equals, wantErr.Error())
}

// BenchmarkReparseTargetSize parses publications that differ in one entry.
func BenchmarkReparseTargetSize(b *testing.B) {
	manifest, parts := targetSizeDocuments(b)
	var p cataloguer.Parser
	c, err := p.Parse(manifest, parts)
	qt.Assert(b, err, qt.IsNil)
	delete(c.Entries, "account-01-fit")
	changed, changedParts, err := cataloguer.Encode(c)
	qt.Assert(b, err, qt.IsNil)
	b.ReportAllocs()
	for b.Loop() {
		manifest, parts, changed, changedParts = changed, changedParts, manifest, parts
		if _, err := p.Parse(manifest, parts); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkParseTargetSize(b *testing.B) {
	manifest, parts := targetSizeDocuments(b)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := cataloguer.Parse(manifest, parts); err != nil {
			b.Fatal(err)
		}
	}
}
