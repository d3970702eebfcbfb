package assembler

import (
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against a process that ends because it is told to reload its settings before it
// has read them.
func TestHangupBeforeTheSettingsAreRead(t *testing.T) {
	c := qt.New(t)
	path := filepath.Join(c.TempDir(), "settings.json")
	c.Assert(syscall.Mkfifo(path, 0o600), qt.IsNil)
	p := startProcess(c, nil, "snipedyke", "serve", "--settings", path)
	// Opening it waits for the process, which then waits for the settings.
	settings, err := os.OpenFile(path, os.O_WRONLY, 0)
	c.Assert(err, qt.IsNil)
	for range 3 {
		c.Assert(p.Process.Signal(syscall.SIGHUP), qt.IsNil)
	}
	_, err = settings.WriteString("{}")
	c.Check(err, qt.IsNil)
	c.Check(settings.Close(), qt.IsNil)
	select {
	case <-p.exited:
	case <-time.After(30 * time.Second):
		c.Fatal("the process goes on with invalid settings")
	}
	c.Check(p.ProcessState.ExitCode(), qt.Equals, 3, qt.Commentf("%s", p.ProcessState))
}
