package logger

import (
	"bytes"
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
