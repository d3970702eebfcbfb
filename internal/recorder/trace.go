package recorder

import (
	"bufio"
	"bytes"
	"compress/gzip"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"slices"
	"time"

	"snipedyke/internal/reducer"
	"snipedyke/pkg/cataloguer"
)

const (
	// traceVersion is the version of the file format.
	traceVersion = 1
	// maxLineSize is the maximum size of a line in bytes. The longest line holds
	// a document of 1 MB in base64.
	maxLineSize = 2 << 20
	// maxEvents is the maximum number of events in a trace, and maxTraceSize its
	// maximum size in bytes after decompression.
	maxEvents    = 10_000_000
	maxTraceSize = 1 << 30
)

// Header is the first line of a trace file.
type Header struct {
	Version     int    `json:"version"`
	Self        string `json:"self"`
	Centre      string `json:"centre"`
	Incarnation uint64 `json:"incarnation"`
	Seed        uint64 `json:"seed"`
	// Start is the time of the first event.
	Start time.Time `json:"start"`
	// Complete reports whether the trace begins with the reducer's first event.
	// An incomplete trace still shows the recorded events, but its replay may
	// make other decisions than the recorded node made.
	Complete bool `json:"complete"`
}

// Event is an event of a trace.
type Event struct {
	// At is the time since the start of the trace.
	At    time.Duration
	Event reducer.Event
}

// Trace is a recording with its expected outcomes.
type Trace struct {
	Header   Header
	Events   []Event
	Outcomes []Outcome
}

// Writer writes a trace file.
type Writer struct {
	buf *bufio.Writer
	gz  *gzip.Writer
}

// NewWriter writes the header of a trace and returns a Writer for its events and
// outcomes.
func NewWriter(out io.Writer, header Header, compress bool) (*Writer, error) {
	w := &Writer{}
	if compress {
		w.gz = gzip.NewWriter(out)
		out = w.gz
	}
	w.buf = bufio.NewWriter(out)
	header.Version = traceVersion
	body, err := json.Marshal(header)
	if err != nil {
		return nil, &Error{Op: "write header", Kind: KindWrite, Err: err}
	}

	return w, w.writeRaw(body)
}

// Event writes an event; at is the time since the start of the trace.
func (w *Writer) Event(at time.Duration, e reducer.Event) error {
	switch e := e.(type) {
	case reducer.CatalogueLoaded:
		manifest, documents, err := cataloguer.Encode(e.Catalogue)
		if err != nil {
			return &Error{Op: "write event", Kind: KindWrite, Err: err}
		}
		for _, name := range slices.Sorted(maps.Keys(documents)) {
			if err := w.writeLine(line{At: at, Kind: kindDocument, Name: name, Body: documents[name]}); err != nil {
				return err
			}
		}

		return w.writeLine(line{At: at, Kind: kindCatalogue, Body: manifest})
	case reducer.HostsLoaded:
		return w.writeLine(line{At: at, Kind: kindHosts, Body: cataloguer.EncodeHosts(e.Hosts)})
	}
	l, err := toLine(at, e)
	if err != nil {
		return &Error{Op: "write event", Kind: KindWrite, Err: err}
	}

	return w.writeLine(l)
}

// Outcome writes an expected outcome. No event may follow it.
func (w *Writer) Outcome(o Outcome) error { return w.writeLine(line{Kind: kindOutcome, Outcome: &o}) }

// Close flushes the trace; it does not close the underlying writer.
func (w *Writer) Close() error {
	err := w.buf.Flush()
	if w.gz != nil {
		err = errors.Join(err, w.gz.Close())
	}
	if err != nil {
		return &Error{Op: "close", Kind: KindWrite, Err: err}
	}

	return nil
}

func (w *Writer) writeLine(l line) error {
	body, err := json.Marshal(l)
	if err != nil {
		return &Error{Op: "write line", Kind: KindWrite, Err: err}
	}

	return w.writeRaw(body)
}

func (w *Writer) writeRaw(body []byte) error {
	_, err := w.buf.Write(body)
	if err == nil {
		err = w.buf.WriteByte('\n')
	}
	if err != nil {
		return &Error{Op: "write line", Kind: KindWrite, Err: err}
	}

	return nil
}

// Encode writes a whole trace.
func Encode(out io.Writer, t *Trace, compress bool) error {
	w, err := NewWriter(out, t.Header, compress)
	if err != nil {
		return err
	}
	for _, e := range t.Events {
		if err := w.Event(e.At, e.Event); err != nil {
			return err
		}
	}
	for _, o := range t.Outcomes {
		if err := w.Outcome(o); err != nil {
			return err
		}
	}

	return w.Close()
}

// Decode reads a trace file, compressed with gzip or not. It rejects unknown
// fields, decreasing times, and traces that exceed the limits.
func Decode(in io.Reader) (*Trace, error) {
	r := bufio.NewReader(in)
	if start, _ := r.Peek(2); bytes.Equal(start, []byte{0x1f, 0x8b}) {
		z, err := gzip.NewReader(r)
		if err != nil {
			return nil, &Error{Op: "decode", Kind: KindInvalid, Err: err}
		}
		r = bufio.NewReader(z)
	}
	limited := &io.LimitedReader{R: r, N: maxTraceSize + 1}
	lines := bufio.NewScanner(limited)
	lines.Buffer(nil, maxLineSize)
	t := &Trace{}
	documents := map[string][]byte{}
	number := 0
	for lines.Scan() {
		number++
		var err error
		if number == 1 {
			err = t.decodeHeader(lines.Bytes())
		} else {
			err = t.decodeLine(lines.Bytes(), documents)
		}
		if err != nil {
			return nil, &Error{Op: "decode", Kind: KindInvalid, Err: fmt.Errorf("line %d: %w", number, err)}
		}
	}
	err := lines.Err()
	switch {
	case err != nil:
	case limited.N <= 0:
		err = fmt.Errorf("more than %d bytes", maxTraceSize)
	case number == 0:
		err = errors.New("header is missing")
	case len(documents) > 0:
		err = errors.New("document lines without a catalogue line after them")
	}
	if err != nil {
		return nil, &Error{Op: "decode", Kind: KindInvalid, Err: fmt.Errorf("after line %d: %w", number, err)}
	}

	return t, nil
}

func (t *Trace) decodeHeader(body []byte) error {
	if err := decodeStrict(body, &t.Header); err != nil {
		return err
	}
	if t.Header.Version != traceVersion {
		return fmt.Errorf("field version: %d, accepted is %d", t.Header.Version, traceVersion)
	}
	if t.Header.Self == "" {
		return errors.New("field self: empty")
	}

	return nil
}

func (t *Trace) decodeLine(body []byte, documents map[string][]byte) error {
	var l line
	if err := decodeStrict(body, &l); err != nil {
		return err
	}
	if l.Kind == kindOutcome {
		if l.Outcome == nil {
			return errors.New("field outcome: missing")
		}
		if len(t.Outcomes) >= maxOutcomes {
			return fmt.Errorf("more than %d outcomes", maxOutcomes)
		}
		t.Outcomes = append(t.Outcomes, *l.Outcome)

		return l.Outcome.validate()
	}
	if len(t.Outcomes) > 0 {
		return errors.New("event after an outcome")
	}
	if n := len(t.Events); l.At < 0 || n > 0 && l.At < t.Events[n-1].At {
		return fmt.Errorf("field at: %d is earlier than in the previous event", l.At)
	}
	if len(t.Events) >= maxEvents {
		return fmt.Errorf("more than %d events", maxEvents)
	}
	if l.Kind == kindDocument && len(documents) >= cataloguer.MaxShards+4 {
		return errors.New("too many document lines before a catalogue line")
	}
	e, err := fromLine(&l, documents)
	if err != nil {
		return err
	}
	if e != nil {
		t.Events = append(t.Events, Event{At: l.At, Event: e})
	}

	return nil
}

// decodeStrict decodes a single JSON value and rejects unknown fields and
// trailing data.
func decodeStrict(body []byte, v any) error {
	d := json.NewDecoder(bytes.NewReader(body))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		return err
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return errors.New("trailing data after the JSON value")
	}

	return nil
}
