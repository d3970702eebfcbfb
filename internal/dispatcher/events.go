package dispatcher

import (
	"bytes"
	"errors"
	"io"
)

// Event is an event of a server-sent event stream.
type Event struct {
	// Name is the event type, or empty for the default type.
	Name []byte
	// Data is the value of the data lines, joined by newlines.
	Data []byte
}

// EventReader reads server-sent events. It is not safe for concurrent use.
type EventReader struct {
	r     io.Reader
	limit int
	buf   []byte
	// buf[start:end] has been read from r but not consumed.
	start, end int
	event      Event
}

// initialEventBuffer is the initial size of an EventReader's buffer in bytes. Nearly all
// events of a chat completions stream are smaller.
const initialEventBuffer = 4 << 10

// NewEventReader returns a reader of the events in r. Lines and events may be at
// most limit bytes long.
func NewEventReader(r io.Reader, limit int) *EventReader {
	return &EventReader{r: r, limit: limit, buf: make([]byte, min(initialEventBuffer, limit))}
}

// Reset discards any buffered data and switches the reader to read from r. It
// keeps the buffers.
func (e *EventReader) Reset(r io.Reader) {
	e.r, e.start, e.end = r, 0, 0
}

// Next returns the next event that has data. The event is valid until the next
// call. The error is io.EOF if the stream ends after a complete event,
// io.ErrUnexpectedEOF if it ends within an event, and an *Error if an event is
// too large or malformed.
func (e *EventReader) Next() (Event, error) {
	e.event.Name, e.event.Data = e.event.Name[:0], e.event.Data[:0]
	hasData, begun := false, false
	for {
		line, err := e.line()
		if err != nil {
			if begun && errors.Is(err, io.EOF) {
				err = io.ErrUnexpectedEOF
			}

			return Event{}, err
		}
		if len(line) == 0 {
			if hasData {
				return e.event, nil
			}
			// An event without data is discarded together with its name.
			e.event.Name, begun = e.event.Name[:0], false

			continue
		}
		begun = true
		name, value, _ := bytes.Cut(line, []byte{':'})
		value = bytes.TrimPrefix(value, []byte{' '})
		switch string(name) {
		case "data":
			if hasData {
				e.event.Data = append(e.event.Data, '\n')
			}
			e.event.Data = append(e.event.Data, value...)
			hasData = true
			if len(e.event.Data) > e.limit {
				return Event{}, &Error{Op: "read event", Kind: KindTooLarge}
			}
		case "event":
			e.event.Name = append(e.event.Name[:0], value...)
		}
	}
}

// line returns the next line without its line ending.
func (e *EventReader) line() ([]byte, error) {
	scanned := 0
	for {
		if i := bytes.IndexByte(e.buf[e.start+scanned:e.end], '\n'); i >= 0 {
			line := e.buf[e.start : e.start+scanned+i]
			e.start += scanned + i + 1
			line = bytes.TrimSuffix(line, []byte{'\r'})
			// Parsers disagree on whether a carriage return or a null byte ends a
			// line.
			if bytes.IndexByte(line, '\r') >= 0 || bytes.IndexByte(line, 0) >= 0 {
				return nil, &Error{Op: "read event", Kind: KindMalformed}
			}

			return line, nil
		}
		scanned = e.end - e.start
		if scanned > e.limit {
			return nil, &Error{Op: "read event", Kind: KindTooLarge}
		}
		if err := e.fill(); err != nil {
			if scanned > 0 && errors.Is(err, io.EOF) {
				err = io.ErrUnexpectedEOF
			}

			return nil, err
		}
	}
}

// fill reads at least one more byte into the buffer.
func (e *EventReader) fill() error {
	if e.start > 0 {
		copy(e.buf, e.buf[e.start:e.end])
		e.start, e.end = 0, e.end-e.start
	}
	if e.end == len(e.buf) {
		e.buf = append(e.buf, make([]byte, max(len(e.buf), 1))...)
	}
	const emptyReads = 100
	for range emptyReads {
		n, err := e.r.Read(e.buf[e.end:])
		e.end += n
		if n > 0 {
			return nil
		}
		if err != nil {
			return err
		}
	}

	return io.ErrNoProgress
}

// AppendEvent appends the encoding of an event to buf.
func AppendEvent(buf []byte, e Event) []byte {
	if len(e.Name) > 0 {
		buf = append(buf, "event: "...)
		buf = append(buf, e.Name...)
		buf = append(buf, '\n')
	}
	for rest, more := e.Data, true; more; {
		var line []byte
		line, rest, more = bytes.Cut(rest, []byte{'\n'})
		buf = append(buf, "data: "...)
		buf = append(buf, line...)
		buf = append(buf, '\n')
	}

	return append(buf, '\n')
}

// isTerminal reports whether e ends a chat completions stream.
func (e Event) isTerminal() bool {
	return string(bytes.TrimSpace(e.Data)) == "[DONE]"
}

// isError reports whether e is an error of the engine.
func (e Event) isError() bool {
	return string(e.Name) == "error" || bytes.HasPrefix(bytes.TrimLeft(e.Data, " {"), []byte(`"error":{`))
}

// isToken reports whether e carries generated output: non-empty content
// (also reasoning content) or non-empty tool-call arguments.
func (e Event) isToken() bool {
	return hasNonEmptyString(e.Data, `"content":`) || hasNonEmptyString(e.Data, `"arguments":`) ||
		hasNonEmptyString(e.Data, `"reasoning_content":`)
}

// hasNonEmptyString reports whether data contains the key with a non-empty string
// value. A quoted copy of the key inside a string does not match, because its
// closing quote is escaped.
func hasNonEmptyString(data []byte, key string) bool {
	for {
		i := bytes.Index(data, []byte(key))
		if i < 0 {
			return false
		}
		data = data[i+len(key):]
		value := bytes.TrimLeft(data, " ")
		if len(value) > 1 && value[0] == '"' && value[1] != '"' {
			return true
		}
	}
}
