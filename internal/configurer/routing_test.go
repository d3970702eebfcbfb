package configurer

import (
	"os"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func sampleRoutingSettings(c *qt.C) string {
	data, err := os.ReadFile("../../docs/samples/platform/settings.json")
	c.Assert(err, qt.IsNil)

	return string(data)
}

// Guards against settings that are parsed as the other kind, and against values
// that are assigned to the wrong fields.
func TestRoutingSettings(t *testing.T) {
	c := qt.New(t)
	file, err := ParseFile("f", []byte(sampleRoutingSettings(c)))
	c.Assert(err, qt.IsNil)
	s := file.(Routing)
	c.Check(s.Callers.String(), qt.Equals, "10.1.0.19:8740")
	c.Check(s.Store.String(), qt.Equals, "10.200.1.7:8742")
	c.Check(s.Seeds, qt.HasLen, 2)
	c.Check(s.Regions["kollam"], qt.Equals, "kerala")
	c.Check(s.RevocationTimeout, qt.Equals, 5*time.Second)
	c.Check(s.RetrySlack, qt.Equals, 52.0)
	c.Check(s.PublicationInterval, qt.Equals, 1200*time.Millisecond)
	short, err := ParseFile("f", []byte(strings.Replace(sampleRoutingSettings(c), `"publication": "1200ms",`, "", 1)))
	c.Assert(err, qt.IsNil)
	c.Check(short.(Routing).PublicationInterval, qt.Equals, defaultPublicationInterval, qt.Commentf("optional field"))
}

// Guards against invalid settings whose error message does not name the field.
func TestInvalidRoutingSettingsNameTheField(t *testing.T) {
	c := qt.New(t)
	for field, change := range map[string][2]string{
		"callers":     {`"10.1.0.19:8740"`, `"nowhere"`},
		"withdrawal":  {`"5000ms"`, `"soon"`},
		"publication": {`"1200ms"`, `"1ms"`},
		"memory":      {`284`, `-1`},
		"seeds":       {`"10.2.0.13:8748"`, `"seed"`},
		"store":       {`"10.200.1.7:8742"`, `7`},
		"unknown":     {`"memory"`, `"unknown": 1, "memory"`},
		"descriptors": {`"descriptors": 4100,`, ``},
	} {
		text := strings.Replace(sampleRoutingSettings(c), change[0], change[1], 1)
		_, err := ParseFile("f", []byte(text))
		c.Assert(err, qt.IsNotNil, qt.Commentf("%s", field))
		c.Check(err.Error(), qt.Contains, field)
	}
}

// Guards against a deployment template that lacks a field of the documented sample
// or has another one.
func TestDeployTemplateHasTheFieldsOfTheSample(t *testing.T) {
	c := qt.New(t)
	data, err := os.ReadFile("../../deploy/settings.json")
	c.Assert(err, qt.IsNil)
	fields := func(text string) map[string]bool {
		found := map[string]bool{}
		for line := range strings.Lines(text) {
			if name, ok := strings.CutPrefix(line, `  "`); ok {
				found[name[:strings.IndexByte(name, '"')]] = true
			}
		}

		return found
	}
	c.Check(fields(string(data)), qt.DeepEquals, fields(sampleRoutingSettings(c)))
}
