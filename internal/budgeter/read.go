package budgeter

import (
	"errors"
	"io"
)

// ErrTooLarge is returned by ReadAll for a body that exceeds its own limit.
var ErrTooLarge error = &Error{Op: "read body", Kind: KindTooLarge}

// KindTooLarge means that one body exceeds its own limit.
const KindTooLarge Kind = "body too large"

// firstBytes is the size of the first buffer of a body without a length.
const firstBytes = 4 << 10

// ReadAll reads a body to its end into memory that h accounts for. length is the
// length that was announced, or negative; less memory is taken up until the bytes have
// arrived. It returns ErrTooLarge if the body exceeds limit bytes, ErrExhausted if it
// had to give way, and io.ErrUnexpectedEOF if it is shorter than announced.
func ReadAll(r io.Reader, length, limit int, h *Holding) ([]byte, error) {
	if length > limit {
		return nil, ErrTooLarge
	}
	size := firstBytes
	if length >= 0 {
		size = min(length, FreeBytes)
	}
	body := make([]byte, 0, size)
	for {
		if len(body) == cap(body) {
			if len(body) > limit {
				return nil, ErrTooLarge
			}
			if len(body) != length {
				grown, err := grow(body, length, limit, h)
				if err != nil {
					return nil, err
				}
				body = grown
			}
		}
		var n int
		var err error
		if len(body) == length {
			// The announced body must also end here.
			n, err = r.Read(make([]byte, 1))
			if n > 0 {
				return nil, ErrTooLarge
			}
		} else {
			n, err = r.Read(body[len(body):cap(body)])
			body = body[:len(body)+n]
		}
		switch {
		case len(body) > limit:
			return nil, ErrTooLarge
		case errors.Is(err, io.EOF) && len(body) < length:
			return nil, io.ErrUnexpectedEOF
		case errors.Is(err, io.EOF):
			return body, nil
		case err != nil:
			return nil, err
		}
	}
}

// grow returns a copy of body with twice its capacity, or less if that suffices for
// the length or the limit. Both copies count while the bytes are copied.
func grow(body []byte, length, limit int, h *Holding) ([]byte, error) {
	size := max(2*cap(body), firstBytes)
	if length >= 0 {
		size = min(size, length)
	} else {
		// One more byte shows that the limit is exceeded.
		size = min(size, limit+1)
	}
	if err := h.Resize(cap(body) + size); err != nil {
		return nil, err
	}
	grown := append(make([]byte, 0, size), body...)

	return grown, h.Resize(size)
}
