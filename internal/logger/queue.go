package logger

import (
	"io"
	"sync"
	"sync/atomic"
	"time"
)

// queueLines is the number of lines that wait for their writing.
const queueLines = 1024

// Queue writes lines in a goroutine of its own, so that a log that does not
// drain holds nothing up. Lines beyond its length are dropped.
type Queue struct {
	lines   chan []byte
	dropped atomic.Uint64
	done    chan struct{}
	closing sync.Once
}

// NewQueue returns a queue in front of w. Close must follow.
func NewQueue(w io.Writer) *Queue {
	q := &Queue{lines: make(chan []byte, queueLines), done: make(chan struct{})}
	go func() {
		defer close(q.done)
		for line := range q.lines {
			// There is nowhere to tell of a log that cannot be written.
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

// Dropped returns the number of lines that were dropped since the last call.
func (q *Queue) Dropped() uint64 { return q.dropped.Swap(0) }

// Close waits until the lines are written, or for a time. Nothing may be
// written afterwards.
func (q *Queue) Close(wait time.Duration) {
	q.closing.Do(func() { close(q.lines) })
	select {
	case <-q.done:
	case <-time.After(wait):
	}
}

const (
	// eventRate is the number of lines a second of one event, and answerRate
	// that of answered requests, of which there are most.
	eventRate  = 100
	answerRate = 50
	// reportInterval is the time between two lines about lines left out.
	reportInterval = time.Second
)

// Limited bounds the lines of each event in a second. It is safe for concurrent
// use.
type Limited struct {
	logger *Logger
	queue  *Queue

	mu sync.Mutex
	// second is the start of the second that is counted.
	second  time.Time
	written map[int]int
	leftOut uint64
}

// NewLimited returns a limit in front of a logger that writes to a queue.
func NewLimited(l *Logger, q *Queue) *Limited {
	return &Limited{logger: l, queue: q, written: map[int]int{}}
}

// Event writes an event unless there were too many of it in this second.
func (l *Limited) Event(number int, args ...any) {
	l.mu.Lock()
	now := time.Now()
	leftOut := uint64(0)
	if now.Sub(l.second) >= reportInterval {
		l.second = now
		clear(l.written)
		leftOut, l.leftOut = l.leftOut+l.queue.Dropped(), 0
	}
	rate := eventRate
	if number == RequestAnswered {
		rate = answerRate
	}
	write := l.written[number] < rate
	if write {
		l.written[number]++
	} else {
		l.leftOut++
	}
	l.mu.Unlock()
	if leftOut > 0 {
		l.logger.Event(EventsLeftOut, "lines", leftOut)
	}
	if write {
		l.logger.Event(number, args...)
	}
}
