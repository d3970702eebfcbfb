package logger

import (
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxQueuedLines is the maximum number of lines that wait to be written.
	maxQueuedLines = 1024
	// maxQueuedBytes is the maximum size of these lines. A line may quote what others
	// have sent, so the number of lines does not bound their memory.
	maxQueuedBytes = 1 << 20
)

// AsyncWriter writes log lines in a goroutine of its own, so that callers never
// wait for a blocked output. Lines that do not fit into its queue are dropped.
type AsyncWriter struct {
	lines chan []byte
	// queuedBytes is the size of the lines that are queued or being written.
	queuedBytes atomic.Int64
	dropped     atomic.Uint64
	done        chan struct{}
	closeOnce   sync.Once
}

// NewAsyncWriter returns an AsyncWriter that writes to w. The user must call
// Close.
func NewAsyncWriter(w io.Writer) *AsyncWriter {
	a := &AsyncWriter{lines: make(chan []byte, maxQueuedLines), done: make(chan struct{})}
	go func() {
		defer close(a.done)
		for line := range a.lines {
			// A failure to write the log cannot be logged.
			_, _ = w.Write(line)
			a.queuedBytes.Add(-int64(len(line)))
		}
	}()

	return a
}

// Write implements io.Writer. It never blocks and never fails.
func (a *AsyncWriter) Write(line []byte) (int, error) {
	size := int64(len(line))
	if a.queuedBytes.Add(size) > maxQueuedBytes {
		a.queuedBytes.Add(-size)
		a.dropped.Add(1)

		return len(line), nil
	}
	select {
	case a.lines <- append([]byte(nil), line...):
	default:
		a.queuedBytes.Add(-size)
		a.dropped.Add(1)
	}

	return len(line), nil
}

// Dropped returns the number of lines dropped since the last call of Dropped.
func (a *AsyncWriter) Dropped() uint64 { return a.dropped.Swap(0) }

// Close waits until all queued lines are written, but no longer than wait. Write
// must not be called after Close.
func (a *AsyncWriter) Close(wait time.Duration) {
	a.closeOnce.Do(func() { close(a.lines) })
	select {
	case <-a.done:
	case <-time.After(wait):
	}
}

const (
	// eventsPerSecond is the maximum number of lines per second for each event
	// number, except RequestAnswered, the most frequent event, which is limited
	// to answersPerSecond.
	eventsPerSecond  = 100
	answersPerSecond = 50
	// reportInterval is the length of the counting window, and the minimum time
	// between two LinesOmitted events.
	reportInterval = time.Second
)

// RateLimiter passes events on to a Logger and limits the rate of each event
// number separately. It is safe for concurrent use.
type RateLimiter struct {
	logger *Logger
	writer *AsyncWriter

	mu sync.Mutex
	// windowStart is the start of the current counting window.
	windowStart time.Time
	// written counts the lines of the window by event number.
	written map[int]int
	// omitted is the number of lines over the limit since the last report.
	omitted uint64
}

// NewRateLimiter returns a RateLimiter for l, which must write to a. It also
// reports the lines that a drops.
func NewRateLimiter(l *Logger, a *AsyncWriter) *RateLimiter {
	return &RateLimiter{logger: l, writer: a, written: map[int]int{}}
}

// Event writes an event unless its number has reached its limit in the current
// window.
func (l *RateLimiter) Event(number int, args ...any) {
	l.mu.Lock()
	now := time.Now()
	omitted := uint64(0)
	if now.Sub(l.windowStart) >= reportInterval {
		l.windowStart = now
		clear(l.written)
		omitted, l.omitted = l.omitted+l.writer.Dropped(), 0
	}
	rate := eventsPerSecond
	if number == RequestAnswered {
		rate = answersPerSecond
	}
	write := l.written[number] < rate
	if write {
		l.written[number]++
	} else {
		l.omitted++
	}
	l.mu.Unlock()
	if omitted > 0 {
		l.logger.Event(LinesOmitted, "lines", omitted)
	}
	if write {
		l.logger.Event(number, args...)
	}
}
