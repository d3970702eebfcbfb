package forwarder

import (
	"bytes"
	"errors"
	"strconv"
)

// The reasons for which an event is not passed to the caller.
var (
	errEventOrder = errors.New("event does not follow the previous one")
	errNotEvent   = errors.New("stream contains text that is not an event")
)

// eventOrder checks that the events of a response follow each other, also where
// the response is resumed at another endpoint: their IDs are numbers that
// increase.
type eventOrder struct {
	// count is the number of events; comments are not counted.
	count int
	// last is the ID of the last event that had one, if numbered is set.
	last     uint64
	numbered bool
	// unnumbered reports whether an event had no ID. The response cannot be
	// resumed then, because the event might be repeated.
	unnumbered bool
	// gaps reports whether an ID was not the successor of the previous one.
	// Without gaps, a resumed stream must begin with the successor.
	gaps bool
	// resuming reports whether the response is being resumed and no event of the
	// resumed stream has been accepted.
	resuming bool
}

// resumed returns the order for a stream that resumes the response.
func (o eventOrder) resumed() eventOrder {
	o.resuming = true

	return o
}

// accept returns the length of the events that follow the previous ones. It
// returns an error if the first one does not. While the response is being
// resumed, comments are not counted as events. The argument consists of complete
// events.
func (o *eventOrder) accept(events []byte) (int, error) {
	accepted := 0
	for accepted < len(events) {
		event, n := cutEvent(events[accepted:])
		if err := o.next(event); err != nil {
			if accepted > 0 && !o.resuming {
				break
			}

			return 0, err
		}
		accepted += n
	}

	return accepted, nil
}

// next checks the next event and records its ID.
func (o *eventOrder) next(e streamEvent) error {
	switch {
	case !e.hasID && !e.hasData && !e.hasText:
		return nil
	case o.resuming && (o.unnumbered || !e.hasID):
		return errEventOrder
	case !e.hasID && !e.hasData && o.numbered:
		return errNotEvent
	case !e.hasID:
		o.unnumbered = true
		o.count++

		return nil
	case !o.numbered:
	case e.id <= o.last || o.resuming && !o.gaps && e.id != o.last+1:
		return errEventOrder
	case e.id != o.last+1:
		o.gaps = true
	}
	o.last, o.numbered, o.resuming = e.id, true, false
	o.count++

	return nil
}

// streamEvent describes an event of a stream.
type streamEvent struct {
	id uint64
	// hasID reports whether the event has an ID that is a number, and hasData
	// whether it has data.
	hasID, hasData bool
	// hasText reports whether a line is neither a comment nor of a field that
	// streams define.
	hasText bool
}

// cutEvent returns the first event in b and its length, including the blank line
// that ends it.
func cutEvent(b []byte) (streamEvent, int) {
	var e streamEvent
	for n := 0; ; {
		line, _, found := bytes.Cut(b[n:], []byte{'\n'})
		n += len(line)
		if !found {
			return e, n
		}
		n++
		line = bytes.TrimSuffix(line, []byte{'\r'})
		if len(line) == 0 {
			return e, n
		}
		name, value, _ := bytes.Cut(line, []byte{':'})
		switch string(name) {
		case "data":
			e.hasData = true
		case "id":
			id, err := strconv.ParseUint(string(bytes.TrimSpace(value)), 10, 64)
			e.id, e.hasID = id, err == nil
		case "", "event", "retry":
		default:
			e.hasText = true
		}
	}
}
