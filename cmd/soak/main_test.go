package main

import (
	"io"
	"os"
	"path/filepath"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against the loss of the log of a failed seed if the directory does not
// exist or none is given.
func TestLogOfFailedSeedIsKept(t *testing.T) {
	for name, dir := range map[string]string{"none": "", "missing": filepath.Join(t.TempDir(), "a", "b")} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			t.Setenv("TMPDIR", t.TempDir())
			for _, test := range []struct {
				ok  bool
				err error
			}{{false, nil}, {false, io.ErrClosedPipe}, {true, nil}} {
				var file string
				path, err := withLog(dir, 7, func(log io.Writer) (bool, error) {
					file = log.(*os.File).Name()
					_, err := io.WriteString(log, "lines")
					c.Check(err, qt.IsNil)

					return test.ok, test.err
				})
				c.Check(err, qt.Equals, test.err)
				kept, err := os.ReadFile(file)
				if test.ok {
					c.Check(path, qt.Equals, "")
					c.Check(err, qt.ErrorIs, os.ErrNotExist)
				} else {
					c.Check(path, qt.Equals, file)
					c.Check(string(kept), qt.Equals, "lines")
				}
			}
		})
	}
}
