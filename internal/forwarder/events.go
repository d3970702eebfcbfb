package forwarder

import (
	"bytes"
	"io"
)

// maxEvent bounds the size of one event of a stream in bytes.
const maxEvent = 1 << 20

// eventReader cuts a stream into whole events. Parts of an event are never
// passed on, as the stream may go on from another endpoint.
type eventReader struct {
	r   io.Reader
	buf []byte
	// passed is the length of what the last call of next has returned.
	passed int
}

// next returns at least one whole event, and all that have been read. It is
// valid until the next call. The error is io.EOF if the stream has ended after
// a whole event, and io.ErrUnexpectedEOF within one.
func (e *eventReader) next() ([]byte, error) {
	e.buf = append(e.buf[:0], e.buf[e.passed:]...)
	e.passed = 0
	for {
		if end := lastEnd(e.buf); end > 0 {
			e.passed = end

			return e.buf[:end], nil
		}
		if len(e.buf) >= maxEvent {
			return nil, io.ErrShortBuffer
		}
		if cap(e.buf)-len(e.buf) < eventSpace {
			e.buf = append(make([]byte, 0, 2*cap(e.buf)+eventSpace), e.buf...)
		}
		n, err := e.r.Read(e.buf[len(e.buf):cap(e.buf)])
		e.buf = e.buf[:len(e.buf)+n]
		if n > 0 {
			continue
		}
		if err == io.EOF && len(e.buf) > 0 {
			err = io.ErrUnexpectedEOF
		}
		if err != nil {
			return nil, err
		}
	}
}

// eventSpace is the least room for a read in bytes.
const eventSpace = 512

// lastEnd returns the length of the whole events in b.
func lastEnd(b []byte) int {
	if i := bytes.LastIndex(b, []byte("\n\n")); i >= 0 {
		return i + 2
	}
	if i := bytes.LastIndex(b, []byte("\r\n\r\n")); i >= 0 {
		return i + 4
	}

	return 0
}

// lastID returns the identifier of the last event in events that has one, or
// nil.
func lastID(events []byte) []byte {
	for rest := events; ; {
		i := bytes.LastIndex(rest, []byte("id:"))
		if i < 0 {
			return nil
		}
		if i == 0 || rest[i-1] == '\n' {
			line, _, _ := bytes.Cut(events[i+len("id:"):], []byte{'\n'})

			return bytes.TrimSpace(line)
		}
		rest = rest[:i]
	}
}
