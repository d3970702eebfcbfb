package logger

import (
	"io"
	"sync"
	"sync/atomic"
	"time"
)

// maxQueuedLines is the maximum number of lines that wait to be written.
const maxQueuedLines = 1024

// Queue is an asynchronous writer of log lines. Its goroutine does the writing,
// so that callers never wait for a blocked output. Lines are dropped while the
// queue is full.
type Queue struct {
	lines     chan []byte
	dropped   atomic.Uint64
	done      chan struct{}
	closeOnce sync.Once
}

// NewQueue returns a queue that writes to w. The user must call Close.
func NewQueue(w io.Writer) *Queue {
	q := &Queue{lines: make(chan []byte, maxQueuedLines), done: make(chan struct{})}
	go func() {
		defer close(q.done)
		for line := range q.lines {
			// A failure to write the log cannot be logged.
			_, _ = w.Write(line)
		}
	}()

	return q
}

// Write implements io.Writer. It never blocks and never fails.
func (q *Queue) Write(line []byte) (int, error) {
	select {
	case q.lines <- append([]byte(nil), line...):
	default:
		q.dropped.Add(1)
	}

	return len(line), nil
}

// Dropped returns the number of lines dropped since the last call of Dropped.
func (q *Queue) Dropped() uint64 { return q.dropped.Swap(0) }

// Close waits until all queued lines are written, but no longer than wait. Write
// must not be called after Close.
func (q *Queue) Close(wait time.Duration) {
	q.closeOnce.Do(func() { close(q.lines) })
	select {
	case <-q.done:
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
	// between two EventsLeftOut events.
	reportInterval = time.Second
)

// Limited is a rate limiter in front of a Logger, with a separate limit for each
// event number. It is safe for concurrent use.
type Limited struct {
	logger *Logger
	queue  *Queue

	mu sync.Mutex
	// windowStart is the start of the current counting window.
	windowStart time.Time
	// written counts the lines of the window by event number.
	written map[int]int
	// omitted is the number of lines over the limit since the last report.
	omitted uint64
}

// NewLimited returns a rate limiter for l, which must write to q. It also
// reports the lines that q drops.
func NewLimited(l *Logger, q *Queue) *Limited {
	return &Limited{logger: l, queue: q, written: map[int]int{}}
}

// Event writes an event unless its number has reached its limit in the current
// window.
func (l *Limited) Event(number int, args ...any) {
	l.mu.Lock()
	now := time.Now()
	omitted := uint64(0)
	if now.Sub(l.windowStart) >= reportInterval {
		l.windowStart = now
		clear(l.written)
		omitted, l.omitted = l.omitted+l.queue.Dropped(), 0
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
		l.logger.Event(EventsLeftOut, "lines", omitted)
	}
	if write {
		l.logger.Event(number, args...)
	}
}
