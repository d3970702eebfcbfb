// Package recorder records the latest events of a reducer in a bounded buffer,
// reads and writes trace files, and replays them.
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
	// DefaultLimit is the default limit on the size of a recording in bytes.
	DefaultLimit = 16 << 20
	// chunkSize is the size in bytes at which a new chunk is started.
	chunkSize = 256 << 10
	// maxScratchSize is the maximum size in bytes of an encoding buffer that is
	// kept for reuse.
	maxScratchSize = 16 << 10
	// headerSize bounds the part of a record before its content.
	headerSize = 1 + 2*binary.MaxVarintLen64
)

// The record types. The first byte of a record is its type. Ticks and received
// messages are by far the most frequent events, so each has a compact encoding.
const (
	recordTick byte = iota
	recordReceived
	// recordLine is the type of a record that holds a line of the trace file in
	// JSON.
	recordLine
	// recordReference is the type of a record that refers to the next event in
	// chunk.references.
	recordReference
)

// Logger logs the events that package logger lists by number.
type Logger interface{ Event(number int, args ...any) }

// Options configure a Recorder.
type Options struct {
	Header Header
	// Limit is the maximum size of the recording in bytes; zero means
	// DefaultLimit, and a negative value disables recording.
	Limit  int
	Logger Logger
}

// Recorder records the latest events of a reducer. It is safe for concurrent
// use.
type Recorder struct {
	opts Options

	mu     sync.Mutex
	start  time.Time
	header Header
	// chunks are ordered by time; the oldest is dropped when the limit is
	// exceeded.
	chunks []*chunk
	size   int
	// encodeErrors is the number of events that could not be encoded.
	encodeErrors uint64
	// scratch is the buffer in which messages are encoded.
	scratch []byte
}

// chunk is a part of a recording.
type chunk struct {
	// records holds encoded records in the order of recording.
	records []byte
	// references holds the events that carry published documents. Catalogues
	// are immutable, so they are encoded only when a trace is written.
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
	c := r.currentChunk()
	before := len(c.records)
	switch e := e.(type) {
	case reducer.Tick:
		c.records = binary.AppendUvarint(append(c.records, recordTick), uint64(at))
	case reducer.Received:
		c.records = binary.AppendUvarint(append(c.records, recordReceived), uint64(at))
		c.records = binary.AppendUvarint(c.records, uint64(len(e.From)))
		c.records = append(c.records, e.From...)
		message, err := encoder.Append(r.scratch[:0], e.Message)
		if err != nil {
			r.encodeErrors++
		}
		c.records = binary.AppendUvarint(c.records, uint64(len(message)))
		c.records = append(c.records, message...)
		if cap(message) <= maxScratchSize {
			r.scratch = message
		}
	case reducer.CatalogueLoaded, reducer.HostsLoaded:
		c.records = binary.AppendUvarint(append(c.records, recordReference), uint64(at))
		c.references = append(c.references, e)
	default:
		l, err := toLine(at, e)
		if err != nil {
			r.encodeErrors++

			return
		}
		body, err := json.Marshal(l)
		if err != nil {
			r.encodeErrors++

			return
		}
		c.records = binary.AppendUvarint(append(c.records, recordLine), uint64(len(body)))
		c.records = append(c.records, body...)
	}
	r.size += len(c.records) - before
	r.evict()
}

// currentChunk returns the chunk to which the next record is appended. It starts
// a new chunk if the last one is full.
func (r *Recorder) currentChunk() *chunk {
	if n := len(r.chunks); n > 0 && len(r.chunks[n-1].records) < chunkSize-headerSize {
		return r.chunks[n-1]
	}
	r.chunks = append(r.chunks, &chunk{records: make([]byte, 0, min(chunkSize, r.opts.Limit))})

	return r.chunks[len(r.chunks)-1]
}

// evict drops the oldest chunks while the recording exceeds its limit. The
// newest chunk is always kept.
func (r *Recorder) evict() {
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

// WriteTrace writes the recording as a trace file. Recording continues
// meanwhile; events recorded after the call are not included.
func (r *Recorder) WriteTrace(out io.Writer, compress bool) error {
	r.mu.Lock()
	header := r.header
	header.Complete = header.Complete && r.encodeErrors == 0
	// Chunks are only appended to, so copies of their slice headers stay valid
	// without the lock.
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

// write decodes the records of a chunk and writes them as lines of a trace. It
// does not validate the records, because only Record encodes them.
func (c *chunk) write(w *Writer) error {
	buf, references := c.records, c.references
	readInt := func() int {
		v, n := binary.Uvarint(buf)
		buf = buf[n:]

		return int(v)
	}
	readBytes := func() []byte {
		n := readInt()
		b := buf[:n]
		buf = buf[n:]

		return b
	}
	for len(buf) > 0 {
		recordType := buf[0]
		buf = buf[1:]
		var err error
		switch recordType {
		case recordTick:
			err = w.writeLine(line{At: time.Duration(readInt()), Kind: kindTick})
		case recordReceived:
			l := line{At: time.Duration(readInt()), Kind: kindReceived}
			l.Peer, l.Message = string(readBytes()), readBytes()
			err = w.writeLine(l)
		case recordReference:
			err = w.Event(time.Duration(readInt()), references[0])
			references = references[1:]
		default:
			err = w.writeRaw(readBytes())
		}
		if err != nil {
			return err
		}
	}

	return nil
}
