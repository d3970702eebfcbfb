package configurer

import (
	"os"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func routingSample(c *qt.C) string {
	data, err := os.ReadFile("../../docs/samples/platform/settings.json")
	c.Assert(err, qt.IsNil)

	return string(data)
}

// Guards against settings that are taken for those of the other kind, or read
// into the wrong fields.
func TestRoutingSettings(t *testing.T) {
	c := qt.New(t)
	file, err := ParseFile("f", []byte(routingSample(c)))
	c.Assert(err, qt.IsNil)
	s := file.(Routing)
	c.Check(s.Callers.String(), qt.Equals, "10.1.0.19:8740")
	c.Check(s.Store.String(), qt.Equals, "10.200.1.7:8742")
	c.Check(s.Seeds, qt.HasLen, 2)
	c.Check(s.Regions["kollam"], qt.Equals, "kerala")
	c.Check(s.Withdrawal, qt.Equals, 5*time.Second)
	c.Check(s.RetrySlack, qt.Equals, 52.0)
}

// Guards against broken settings whose message does not name the field.
func TestBrokenRoutingSettingsNameTheField(t *testing.T) {
	c := qt.New(t)
	for field, change := range map[string][2]string{
		"callers":     {`"10.1.0.19:8740"`, `"nowhere"`},
		"withdrawal":  {`"5000ms"`, `"soon"`},
		"memory":      {`284`, `-1`},
		"seeds":       {`"10.2.0.13:8748"`, `"seed"`},
		"store":       {`"10.200.1.7:8742"`, `7`},
		"unknown":     {`"memory"`, `"unknown": 1, "memory"`},
		"descriptors": {`"descriptors": 4100,`, ``},
	} {
		text := strings.Replace(routingSample(c), change[0], change[1], 1)
		_, err := ParseFile("f", []byte(text))
		c.Assert(err, qt.IsNotNil, qt.Commentf("%s", field))
		c.Check(err.Error(), qt.Contains, field)
	}
}

// Guards against a template that lacks a required field or names one that the
// settings do not have.
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
	c.Check(fields(string(data)), qt.DeepEquals, fields(routingSample(c)))
}
