package cataloguer_test

import (
	"bytes"
	"maps"
	"net/netip"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"snipedyke/pkg/cataloguer"
)

func addrPort(a [4]byte) netip.AddrPort { return netip.AddrPortFrom(netip.AddrFrom4(a), 8000) }

// Guards against documents that crash the parser, and against accepted catalogues
// that cannot be encoded and parsed again.
func FuzzParse(f *testing.F) {
	_, all := sampleDocuments(f, "guild")
	for name, body := range all {
		f.Add(name, body)
	}
	f.Fuzz(func(t *testing.T, name string, body []byte) {
		parts := maps.Clone(all)
		parts[name] = body
		manifest, err := cataloguer.EncodeManifest(&cataloguer.Manifest{Version: 1, Epoch: 1}, parts)
		if err != nil {
			return
		}
		c, err := cataloguer.Parse(manifest, parts)
		if err != nil {
			return
		}
		encoded, encodedParts, err := cataloguer.Encode(c)
		qt.Assert(t, err, qt.IsNil)
		_, err = cataloguer.Parse(encoded, encodedParts)
		qt.Assert(t, err, qt.IsNil)
	})
}

// Guards against accepted manifests that lack one of the four required documents.
func FuzzParseManifest(f *testing.F) {
	manifest, _ := sampleDocuments(f, "guild")
	f.Add(manifest)
	f.Fuzz(func(t *testing.T, body []byte) {
		if m, err := cataloguer.ParseManifest(body); err == nil && len(m.Documents) < 4 {
			t.Fatalf("%d documents", len(m.Documents))
		}
	})
}

// Guards against host lists that crash the parser, against error messages that are
// unbounded or have more than one line for a problem, and against accepted host
// lists that cannot be encoded and parsed again.
func FuzzParseHosts(f *testing.F) {
	_, parts, err := cataloguer.ReadDirectory(samplesDir + "/guild")
	qt.Assert(f, err, qt.IsNil)
	f.Add(parts[cataloguer.HostsName])
	f.Fuzz(func(t *testing.T, body []byte) {
		h, err := cataloguer.ParseHosts(body)
		if err != nil {
			// One line for each of at most 50 problems, and one for the rest.
			if strings.Count(err.Error(), "\n") > 50 || !bytes.Contains([]byte(err.Error()), []byte("accepted")) {
				t.Fatal(err)
			}

			return
		}
		_, err = cataloguer.ParseHosts(cataloguer.EncodeHosts(h))
		qt.Assert(t, err, qt.IsNil)
	})
}
