package logger

import (
	"bytes"
	"runtime"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

// blockedWriter blocks every Write until release is closed.
type blockedWriter struct {
	release chan struct{}
	buf     bytes.Buffer
}

func (s *blockedWriter) Write(p []byte) (int, error) {
	<-s.release

	return s.buf.Write(p)
}

// A blocked log output must not delay the requests that write events, and lines
// that are dropped in the meantime must be reported.
func TestBlockedOutputBlocksNoEvent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		out := &blockedWriter{release: make(chan struct{})}
		a := NewAsyncWriter(out)
		l := NewRateLimiter(New(Options{Output: a}), a)
		begin := time.Now()
		for range 30 {
			for range eventsPerSecond {
				l.Event(RequestFailed, "request", "r")
			}
			time.Sleep(time.Second)
		}
		c.Check(time.Since(begin), qt.Equals, 30*time.Second)
		close(out.release)
		synctest.Wait()
		l.Event(RequestFailed, "request", "last")
		a.Close(time.Second)
		c.Check(strings.Contains(out.buf.String(), "log lines left out"), qt.IsTrue)
		c.Check(strings.Contains(out.buf.String(), "last"), qt.IsTrue)
	})
}

// The size of the log must not grow with the load, and frequent answer events
// must not displace failure events.
func TestEventRateIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		var buf bytes.Buffer
		a := NewAsyncWriter(&buf)
		l := NewRateLimiter(New(Options{Output: a}), a)
		for range 5000 {
			l.Event(RequestAnswered, "request", "a")
		}
		l.Event(RequestFailed, "request", "f")
		time.Sleep(reportInterval)
		l.Event(RequestAnswered, "request", "b")
		a.Close(time.Second)
		c.Check(strings.Count(buf.String(), "request=a"), qt.Equals, answersPerSecond)
		c.Check(strings.Contains(buf.String(), "request=f"), qt.IsTrue)
		c.Check(strings.Contains(buf.String(), "lines=4950"), qt.IsTrue)
	})
}

// Guards against a process that exceeds the memory of its host because the output is
// blocked while long lines are written, which quote what others have sent.
func TestBlockedOutputDoesNotUseUpTheMemory(t *testing.T) {
	c := qt.New(t)
	const size, lines, allowed = 100 << 10, 500, 8 << 20
	out := &blockedWriter{release: make(chan struct{})}
	a := NewAsyncWriter(out)
	heap := func() int64 {
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)

		return int64(m.HeapAlloc)
	}
	before := heap()
	for range lines {
		_, _ = a.Write(bytes.Repeat([]byte("x"), size))
	}
	c.Check(heap()-before < allowed, qt.IsTrue)
	dropped := a.Dropped()
	c.Check(dropped > 0, qt.IsTrue)
	close(out.release)
	a.Close(time.Minute)
	c.Check(out.buf.Len(), qt.Equals, (lines-int(dropped))*size)
}
