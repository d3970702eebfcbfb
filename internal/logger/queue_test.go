package logger

import (
	"bytes"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

// stuck is an output that does not drain until it is released.
type stuck struct {
	release chan struct{}
	buf     bytes.Buffer
}

func (s *stuck) Write(p []byte) (int, error) {
	<-s.release

	return s.buf.Write(p)
}

// Guards against requests that wait for a log that does not drain, and against
// lines that vanish without a word.
func TestStuckOutputBlocksNobody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		out := &stuck{release: make(chan struct{})}
		q := NewQueue(out)
		l := NewLimited(New(Options{Output: q}), q)
		begin := time.Now()
		for range 30 {
			for range eventRate {
				l.Event(RequestFailed, "request", "r")
			}
			time.Sleep(time.Second)
		}
		c.Check(time.Since(begin), qt.Equals, 30*time.Second)
		close(out.release)
		synctest.Wait()
		l.Event(RequestFailed, "request", "last")
		q.Close(time.Second)
		c.Check(strings.Contains(out.buf.String(), "log lines left out"), qt.IsTrue)
		c.Check(strings.Contains(out.buf.String(), "last"), qt.IsTrue)
	})
}

// Guards against a log that grows with the load, and against answers that push
// failures out of it.
func TestLinesAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		var buf bytes.Buffer
		q := NewQueue(&buf)
		l := NewLimited(New(Options{Output: q}), q)
		for range 5000 {
			l.Event(RequestAnswered, "request", "a")
		}
		l.Event(RequestFailed, "request", "f")
		time.Sleep(reportInterval)
		l.Event(RequestAnswered, "request", "b")
		q.Close(time.Second)
		c.Check(strings.Count(buf.String(), "request=a"), qt.Equals, answerRate)
		c.Check(strings.Contains(buf.String(), "request=f"), qt.IsTrue)
		c.Check(strings.Contains(buf.String(), "lines=4950"), qt.IsTrue)
	})
}
