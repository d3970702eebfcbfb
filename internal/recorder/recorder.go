// Package recorder keeps a bounded recording of a reducer's events, reads and
// writes trace files, and replays them.
package recorder

import (
	"encoding/binary"
	"encoding/json"
	"io"
	"sync"
	"time"

	"snipedyke/internal/logger"
	"snipedyke/internal/reducer"
	"snipedyke/pkg/encoder"
)

const (
	// DefaultLimit is the default size of a recording in bytes.
	DefaultLimit = 16 << 20
	chunkSize    = 256 << 10
	// maxScratch is the largest buffer in bytes that is kept for encoding.
	maxScratch = 16 << 10
	// headerSize bounds the part of a record before its content.
	headerSize = 1 + 2*binary.MaxVarintLen64
)

// The forms of a record. Ticks and messages are by far the most frequent
// events and have a form of their own.
const (
	formTick byte = iota
	formReceived
	// formLine is a JSON line.
	formLine
	// formReference is an index into the chunk's references.
	formReference
)

// Logger writes numbered log events.
type Logger interface{ Event(number int, args ...any) }

// Options configure a Recorder.
type Options struct {
	Header Header
	// Limit is the size of the recording in bytes; DefaultLimit if zero. A
	// negative limit switches the recorder off.
	Limit  int
	Logger Logger
}

// Recorder keeps the latest events of a reducer. It is safe for concurrent
// use.
type Recorder struct {
	opts Options

	mu     sync.Mutex
	start  time.Time
	header Header
	// chunks are in the order of time; the oldest is dropped when the limit
	// is reached.
	chunks []*chunk
	size   int
	// failed counts events that could not be encoded.
	failed uint64
	// scratch is reused for the encoding of messages.
	scratch []byte
}

type chunk struct {
	records []byte
	// references holds events with documents. Catalogues are immutable, so
	// they are encoded only when a trace is written.
	references []reducer.Event
}

// New returns an empty recorder.
func New(opts Options) *Recorder {
	if opts.Limit == 0 {
		opts.Limit = DefaultLimit
	}
	opts.Header.Version = traceVersion
	opts.Header.Complete = true

	return &Recorder{opts: opts, header: opts.Header}
}

// Record appends an event that happened at now.
func (r *Recorder) Record(now time.Time, e reducer.Event) {
	if r.opts.Limit < 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.start.IsZero() {
		r.start = now
		r.header.Start = now.Round(0)
	}
	at := now.Sub(r.start)
	c := r.chunk()
	before := len(c.records)
	switch e := e.(type) {
	case reducer.Tick:
		c.records = binary.AppendUvarint(append(c.records, formTick), uint64(at))
	case reducer.Received:
		c.records = binary.AppendUvarint(append(c.records, formReceived), uint64(at))
		c.records = binary.AppendUvarint(c.records, uint64(len(e.From)))
		c.records = append(c.records, e.From...)
		message, err := encoder.Append(r.scratch[:0], e.Message)
		if err != nil {
			r.failed++
		}
		c.records = binary.AppendUvarint(c.records, uint64(len(message)))
		c.records = append(c.records, message...)
		if cap(message) <= maxScratch {
			r.scratch = message
		}
	case reducer.CatalogueLoaded, reducer.HostsLoaded:
		c.records = binary.AppendUvarint(append(c.records, formReference), uint64(at))
		c.references = append(c.references, e)
	default:
		l, err := toLine(at, e)
		if err != nil {
			r.failed++

			return
		}
		body, err := json.Marshal(l)
		if err != nil {
			r.failed++

			return
		}
		c.records = binary.AppendUvarint(append(c.records, formLine), uint64(len(body)))
		c.records = append(c.records, body...)
	}
	r.size += len(c.records) - before
	r.trim()
}

// chunk returns the chunk for the next record.
func (r *Recorder) chunk() *chunk {
	if n := len(r.chunks); n > 0 && len(r.chunks[n-1].records) < chunkSize-headerSize {
		return r.chunks[n-1]
	}
	r.chunks = append(r.chunks, &chunk{records: make([]byte, 0, min(chunkSize, r.opts.Limit))})

	return r.chunks[len(r.chunks)-1]
}

// trim drops the oldest chunks above the limit; the newest always stays.
func (r *Recorder) trim() {
	for r.size > r.opts.Limit && len(r.chunks) > 1 {
		r.size -= len(r.chunks[0].records)
		r.chunks[0] = nil
		r.chunks = r.chunks[1:]
		if r.header.Complete && r.opts.Logger != nil {
			r.opts.Logger.Event(logger.TraceIncomplete, "bytes", r.opts.Limit)
		}
		r.header.Complete = false
	}
}

// Size returns the size of the recording in bytes.
func (r *Recorder) Size() int {
	r.mu.Lock()
	defer r.mu.Unlock()

	return r.size
}

// WriteTrace writes the recording as a trace file. Recording continues in the
// meantime, but later events are not part of the file.
func (r *Recorder) WriteTrace(out io.Writer, compress bool) error {
	r.mu.Lock()
	header := r.header
	header.Complete = header.Complete && r.failed == 0
	// Chunks only grow, so copies of their slice headers stay valid.
	chunks := make([]chunk, 0, len(r.chunks))
	for _, c := range r.chunks {
		chunks = append(chunks, *c)
	}
	r.mu.Unlock()
	w, err := NewWriter(out, header, compress)
	if err != nil {
		return err
	}
	for _, c := range chunks {
		if err := c.write(w); err != nil {
			return err
		}
	}

	return w.Close()
}

// write writes the records of a chunk, which only this package has encoded.
func (c *chunk) write(w *Writer) error {
	buf, references := c.records, c.references
	number := func() int {
		v, n := binary.Uvarint(buf)
		buf = buf[n:]

		return int(v)
	}
	text := func() []byte {
		n := number()
		t := buf[:n]
		buf = buf[n:]

		return t
	}
	for len(buf) > 0 {
		form := buf[0]
		buf = buf[1:]
		var err error
		switch form {
		case formTick:
			err = w.line(line{At: time.Duration(number()), Kind: kindTick})
		case formReceived:
			l := line{At: time.Duration(number()), Kind: kindReceived}
			l.Peer, l.Message = string(text()), text()
			err = w.line(l)
		case formReference:
			err = w.Event(time.Duration(number()), references[0])
			references = references[1:]
		default:
			err = w.raw(text())
		}
		if err != nil {
			return err
		}
	}

	return nil
}
