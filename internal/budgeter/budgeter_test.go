package budgeter

import (
	"bytes"
	"errors"
	"io"
	"testing"
	"testing/iotest"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

func newBudget(limit int) *Budget { return New(Options{Limit: limit, Clock: time.Now}) }

// Guards against messages that take up more memory together than the process has, and
// against small messages that fail because of large ones.
func TestLargestMessageGivesWay(t *testing.T) {
	c := qt.New(t)
	b := newBudget(100 << 10)
	cut := make(chan struct{})
	endless := b.Hold(Response, func() { close(cut) })
	small, other := b.Hold(Response, nil), b.Hold(Request, func() {})
	c.Assert(other.Resize(FreeBytes+30<<10), qt.IsNil)
	c.Assert(endless.Resize(FreeBytes+60<<10), qt.IsNil)
	c.Check(small.Resize(FreeBytes+20<<10), qt.IsNil)
	<-cut
	c.Check(endless.Cut(), qt.IsTrue)
	c.Check(endless.Resize(FreeBytes+61<<10), qt.Equals, ErrExhausted)
	c.Check(other.Cut(), qt.IsFalse)
	// The message that grows is itself the largest.
	c.Check(other.Resize(FreeBytes+90<<10), qt.Equals, ErrExhausted)
	c.Check(small.Cut(), qt.IsFalse)
	for range 1000 {
		c.Assert(b.Hold(Response, nil).Resize(FreeBytes), qt.IsNil)
	}
	small.Release()
	small.Release()
	c.Check(b.Usage(), qt.Equals, Usage{Used: 0, Peak: 90 << 10, Limit: 100 << 10})
}

// Guards against answers that are ready and not delivered because faulty ones need
// their memory, and against receivers that do not read and keep it for good.
func TestCompleteMessagesGiveWayOnlyIfUnread(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		b := newBudget(100 << 10)
		cut := make(chan struct{})
		ready, endless := b.Hold(Response, nil), b.Hold(Response, nil)
		c.Assert(ready.Resize(FreeBytes+80<<10), qt.IsNil)
		ready.Complete(func() { close(cut) })
		c.Check(endless.Resize(FreeBytes+40<<10), qt.Equals, ErrExhausted)
		c.Check(ready.Cut(), qt.IsFalse)
		time.Sleep(unreadTimeout)
		next := b.Hold(Response, nil)
		c.Check(next.Resize(FreeBytes+40<<10), qt.IsNil)
		<-cut
	})
}

// Guards against a use that exceeds the limit or is not given back, in any order of
// calls.
func TestUseStaysWithinTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(0, 64<<10).Draw(t, "limit")
		b := newBudget(limit)
		holdings := make([]*Holding, 4)
		sizes := make([]int, len(holdings))
		for i := range holdings {
			holdings[i] = b.Hold(Response, func() {})
		}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			i := rapid.IntRange(0, len(holdings)-1).Draw(t, "holding")
			switch rapid.IntRange(0, 5).Draw(t, "call") {
			case 0:
				holdings[i].Release()
				holdings[i], sizes[i] = b.Hold(Response, func() {}), 0
			case 1:
				holdings[i].Complete(nil)
			default:
				size := rapid.IntRange(0, 80<<10).Draw(t, "size")
				if holdings[i].Resize(size) == nil {
					sizes[i] = size
				}
			}
			sum := 0
			for j, h := range holdings {
				if !h.Cut() {
					sum += max(sizes[j]-FreeBytes, 0)
				}
			}
			usage := b.Usage()
			if usage.Used != sum || usage.Used > limit || usage.Peak > limit {
				t.Fatalf("%+v, want %d used", usage, sum)
			}
		}
	})
}

// Guards against a body that broke off and passes as complete, one that is longer than
// announced or allowed, and memory that is taken up for announced bytes only.
func TestReadAll(t *testing.T) {
	data := bytes.Repeat([]byte("0123456789"), 5000)
	const limit = 50000
	for name, test := range map[string]struct {
		sent, length int
		err          error
	}{
		"announced":         {sent: 50000, length: 50000},
		"short":             {sent: 3, length: 3},
		"empty":             {sent: 0, length: 0},
		"empty, unknown":    {sent: 0, length: -1},
		"unknown":           {sent: 50000, length: -1},
		"broke off":         {sent: 49999, length: 50000, err: io.ErrUnexpectedEOF},
		"broke off at once": {sent: 0, length: 1, err: io.ErrUnexpectedEOF},
		"too long":          {sent: 10, length: 50001, err: ErrTooLarge},
		"longer than said":  {sent: 10, length: 9, err: ErrTooLarge},
	} {
		for _, reader := range []func(io.Reader) io.Reader{iotest.DataErrReader, iotest.HalfReader} {
			t.Run(name, func(t *testing.T) {
				c := qt.New(t)
				b := newBudget(1 << 20)
				body, err := ReadAll(reader(bytes.NewReader(data[:test.sent])), test.length, limit, b.Hold(Response, nil))
				c.Check(err, qt.Equals, test.err)
				if test.err == nil {
					c.Check(bytes.Equal(body, data[:test.sent]), qt.IsTrue)
				}
			})
		}
	}
	c := qt.New(t)
	b := newBudget(1 << 20)
	_, err := ReadAll(endless{}, -1, limit, b.Hold(Response, nil))
	c.Check(err, qt.Equals, ErrTooLarge)
	b = newBudget(20 << 10)
	_, err = ReadAll(endless{}, -1, limit, b.Hold(Response, nil))
	c.Check(err, qt.Equals, ErrExhausted)
	// Nothing arrives of what was announced.
	b = newBudget(1 << 20)
	_, err = ReadAll(iotest.ErrReader(errLost), 1<<20, 1<<20, b.Hold(Response, nil))
	c.Check(errors.Is(err, errLost), qt.IsTrue)
	c.Check(b.Usage().Peak, qt.Equals, 0)
}

var errLost = errors.New("connection lost")

// endless is a reader whose bytes have no end.
type endless struct{}

func (endless) Read(p []byte) (int, error) { return len(p), nil }
