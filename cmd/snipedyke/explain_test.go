package main

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against log lines of two nodes that are printed in the wrong order, and
// against lines of other requests.
func TestExplain(t *testing.T) {
	c := qt.New(t)
	dir := t.TempDir()
	for name, text := range map[string]string{
		"a.log": `{"@level":"warn","@message":"second","@timestamp":"2026-05-29T20:03:48.9Z","host":"a","event":712,"request":"r1","reason":"overload"}
{"@message":"other","@timestamp":"2026-05-29T20:03:47Z","host":"a","request":"r10"}
no json here r1
`,
		"b.log": `  3.78 b {"@message":"first","@timestamp":"2026-05-29T20:03:47.1Z","host":"b","event":711,"request":"r1","result":"broken"}`,
	} {
		c.Assert(os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600), qt.IsNil)
	}
	var out, errs bytes.Buffer
	code := run(t.Context(), []string{"explain", "r1", filepath.Join(dir, "a.log"), filepath.Join(dir, "b.log")}, &out, &errs)
	c.Assert(code, qt.Equals, exitOK, qt.Commentf("%s", &errs))
	text := out.String()
	c.Check(strings.Index(text, "first") < strings.Index(text, "second"), qt.IsTrue)
	c.Check(text, qt.Contains, "overload")
	c.Check(text, qt.Not(qt.Contains), "other")
	c.Check(run(t.Context(), []string{"explain", "r2", filepath.Join(dir, "a.log")}, &out, &errs), qt.Equals, exitFailed)
}
