package messenger

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"os"
)

const (
	// MaxFrame is the maximum size of a frame's content in bytes.
	MaxFrame = 1 << 20
	// headerSize is the size in bytes of a frame's header, which holds the size
	// of its content.
	headerSize = 4
	// maxIdleBuffer is the size in bytes of the largest buffer that a link
	// keeps between frames. With 330 nodes, buffers for a few large frames must
	// not stay allocated on each link.
	maxIdleBuffer = 32 << 10
)

// readFrame reads a frame with a content of at most limit bytes and returns the
// content. It reuses buf if it is large enough.
func readFrame(r io.Reader, buf []byte, limit int) ([]byte, error) {
	var header [headerSize]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return buf, connError(err, KindClosed)
	}
	size := binary.BigEndian.Uint32(header[:])
	if uint64(size) > uint64(limit) {
		return buf, &Error{Op: "read frame", Kind: KindOversized, Err: fmt.Errorf("size of %d bytes exceeds the limit of %d", size, limit)}
	}
	if cap(buf) < int(size) || cap(buf) > maxIdleBuffer && size <= maxIdleBuffer {
		buf = make([]byte, size)
	}
	buf = buf[:size]
	if _, err := io.ReadFull(r, buf); err != nil {
		return buf, connError(err, KindTruncated)
	}

	return buf, nil
}

// connError converts an error of a connection; eofKind is the kind of io.EOF.
func connError(err error, eofKind Kind) error {
	kind := KindClosed
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		kind = KindTimeout
	case errors.Is(err, io.ErrUnexpectedEOF):
		kind = KindTruncated
	case errors.Is(err, io.EOF):
		kind = eofKind
	}

	return &Error{Op: "read frame", Kind: kind, Err: err}
}

// appendFrame appends a frame with the given content to buf.
func appendFrame(buf, content []byte) []byte {
	buf = binary.BigEndian.AppendUint32(buf, uint32(len(content)))

	return append(buf, content...)
}
