package configurer

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func sampleSettings(t testing.TB, site string) []byte {
	data, err := os.ReadFile(filepath.Join("../../docs/samples", site, "settings.json"))
	qt.Assert(t, err, qt.IsNil)

	return data
}

// Guards against documented samples that are invalid, and against documented
// defaults that differ from those in the code.
func TestSamples(t *testing.T) {
	c := qt.New(t)
	for _, site := range []string{"guild", "valcollina"} {
		full, err := Parse("settings.json", sampleSettings(t, site))
		c.Assert(err, qt.IsNil)
		text := string(sampleSettings(t, site))
		short, err := Parse("settings.json", []byte(text[:strings.Index(text, `  "log"`)]+"}"))
		c.Assert(err, qt.IsNil)
		c.Assert(fmt.Sprint(short), qt.Equals, fmt.Sprint(full))
		c.Assert(short.Drain, qt.Equals, time.Minute)
	}
	_, err := Load(filepath.Join(t.TempDir(), "none.json"))
	c.Assert(err, qt.ErrorMatches, "configurer: load settings: cannot read: .*")
}

// Guards against invalid settings that are accepted, and against error messages
// that do not name the field and the accepted range.
func TestInvalidSettings(t *testing.T) {
	for _, b := range []struct{ old, new, want string }{
		{`"name": "entry-1"`, `"name": "Entry 1"`, `settings.json:4: name: "Entry 1"; accepted`},
		{`"listen": "0.0.0.0:8080"`, `"listen": "localhost:8080"`, `listen: "localhost:8080"; accepted: an IP address`},
		{`"admin": "10.1.0.1:9090"`, `"admin": "10.1.0.1:7000"`, `admin: address is already used`},
		{`"configuration": "10.0.0.10:8500"`, `"configuration": "10.0.0.10:0"`, `configuration: "10.0.0.10:0"; accepted`},
		{`"secret": "sample-secret-guild-0001"`, `"secret": "short"`, `secret: a string of 5 bytes; accepted: a string of 16 to 256 bytes`},
		{`"level": "info"`, `"level": "trace"`, `log.level: "trace"; accepted: debug, info, warn, error`},
		{`"body": 1048576`, `"body": 10`, `limits.body: 10; accepted: a whole number from 1024 to 67108864`},
		{`"drain": "1m"`, `"drain": "1m", "drian": "2m"`, `drian: unknown field`},
		{`"drain": "1m"`, `"drain": 60`, `drain: 60; accepted: a duration`},
	} {
		c := qt.New(t)
		text := string(sampleSettings(t, "guild"))
		c.Assert(text, qt.Contains, b.old)
		_, err := Parse("settings.json", []byte(strings.Replace(text, b.old, b.new, 1)))
		c.Assert(err, qt.Not(qt.IsNil), qt.Commentf(b.new))
		c.Assert(err.Error(), qt.Contains, b.want)
	}
}

// Guards against secrets that are shown in logs and error messages.
func TestSecretsAreHidden(t *testing.T) {
	c := qt.New(t)
	s, err := Parse("settings.json", sampleSettings(t, "guild"))
	c.Assert(err, qt.IsNil)
	encoded, err := json.Marshal(s)
	c.Assert(err, qt.IsNil)
	for _, shown := range []string{fmt.Sprint(s), fmt.Sprintf("%+v %#v %q", s, s, s.Secret), string(encoded)} {
		c.Assert(shown, qt.Not(qt.Contains), "sample-")
	}
	text := string(sampleSettings(t, "guild"))
	for _, broken := range []string{
		strings.Replace(text, `"secret": `, `"secret": 1, "secrets": `, 1),
		strings.Replace(text, `"secret": "`, `"secret": ["`, 1),
		strings.Replace(text, `"token": "`, `"token": "`+strings.Repeat("x", 300), 1),
		`["sample-secret-guild-0001"]`,
	} {
		_, err := Parse("settings.json", []byte(broken))
		c.Assert(err, qt.Not(qt.IsNil))
		c.Assert(err.Error(), qt.Not(qt.Contains), "sample-")
	}
}

// Guards against settings that crash the parser, and against accepted settings
// without a name, with a short secret or with a drain time below the minimum.
func FuzzParse(f *testing.F) {
	f.Add(sampleSettings(f, "guild"))
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := Parse("settings.json", data)
		if err == nil && (s.Name == "" || len(s.Secret) < minSecret || s.Drain < minDrain) {
			t.Fatalf("accepted %v", s)
		}
	})
}
