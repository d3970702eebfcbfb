package forwarder

import (
	"bytes"
	"errors"
	"io"

	"snipedyke/internal/budgeter"
)

// maxEventBytes is the maximum size of one event of a stream.
const maxEventBytes = 1 << 20

// eventReader splits a stream into complete events. Partial events are never
// returned, because the stream may continue from another endpoint.
type eventReader struct {
	r   io.Reader
	buf []byte
	// returned is the number of bytes returned by the last call of next.
	returned int
	// order checks the events. It includes those returned by next.
	order eventOrder
	// holding accounts for buf.
	holding *budgeter.Holding
	// err is the error of the last read from r. A read that returns data may fail
	// as well, and the next one need not fail again.
	err error
}

// next returns all complete events that have been read and follow each other, at
// least one. The result is valid until the next call. The error is io.EOF if the
// stream ended after a complete event, and io.ErrUnexpectedEOF if it ended within
// one or resumed a response without any event.
func (e *eventReader) next() ([]byte, error) {
	e.buf = append(e.buf[:0], e.buf[e.returned:]...)
	e.returned = 0
	for {
		if end := lastEventEnd(e.buf); end > 0 {
			order := e.order
			n, err := order.accept(e.buf[:end])
			if err != nil {
				return nil, err
			}
			if !order.resuming {
				e.returned, e.order = n, order

				return e.buf[:n], nil
			}
		}
		if len(e.buf) >= maxEventBytes {
			return nil, io.ErrShortBuffer
		}
		if cap(e.buf)-len(e.buf) < minReadBytes {
			if err := e.grow(); err != nil {
				return nil, err
			}
		}
		if e.err == nil {
			var n int
			n, e.err = e.r.Read(e.buf[len(e.buf):cap(e.buf)])
			e.buf = e.buf[:len(e.buf)+n]
			if n > 0 {
				continue
			}
		}
		if errors.Is(e.err, io.EOF) && (len(e.buf) > 0 || e.order.resuming) {
			e.err = io.ErrUnexpectedEOF
		}
		if e.err != nil {
			return nil, e.err
		}
	}
}

// grow replaces the buffer by one of twice its capacity.
func (e *eventReader) grow() error {
	size := 2*cap(e.buf) + minReadBytes
	if err := e.holding.Resize(cap(e.buf) + size); err != nil {
		return err
	}
	e.buf = append(make([]byte, 0, size), e.buf...)

	return e.holding.Resize(size)
}

// minReadBytes is the minimum free space in the buffer for a read.
const minReadBytes = 512

// lastEventEnd returns the index of the end of the last complete event in b, or
// zero if there is none.
func lastEventEnd(b []byte) int {
	if i := bytes.LastIndex(b, []byte("\n\n")); i >= 0 {
		return i + 2
	}
	if i := bytes.LastIndex(b, []byte("\r\n\r\n")); i >= 0 {
		return i + 4
	}

	return 0
}

// lastEventID returns the ID of the last event that has one, or nil.
func lastEventID(events []byte) []byte {
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
