// Package inspector checks the heads of HTTP messages. Parsers repair or ignore parts of
// a damaged head, and then report another message than the peer has sent. Responses are
// checked before a parser reads them, and requests before their bodies are read.
package inspector

import (
	"bufio"
	"bytes"
	"fmt"
)

// Kind classifies an Error.
type Kind string

// The error kinds.
const (
	KindStatus Kind = "invalid status line"
	KindBareLF Kind = "line that does not end with CRLF"
	KindName   Kind = "field name that is not a token"
	KindCoded  Kind = "transfer coding before HTTP/1.1"
	KindCut    Kind = "incomplete"
)

// Error is the error type of this package.
type Error struct {
	Op   string
	Kind Kind
	// Err is the cause, or nil.
	Err error
}

// Error returns the operation, the kind and the cause as text.
func (e *Error) Error() string {
	if e.Err != nil {
		return fmt.Sprintf("inspector: %s: %s: %v", e.Op, e.Kind, e.Err)
	}

	return fmt.Sprintf("inspector: %s: %s", e.Op, e.Kind)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// opCheck is the operation of the errors of checks.
const opCheck = "check response head"

// ParseStatus returns the status of a response whose head begins with the given
// bytes, or zero if they are too few. The status line must consist of HTTP/1.0 or
// HTTP/1.1, a space, a status from 100 to 599, and a space or the end of the line.
// Otherwise it returns an *Error. fasthttp accepts any three digits and reports the
// status 000 as 200.
func ParseStatus(head []byte) (int, error) {
	// The last byte follows the status.
	const length = len("HTTP/1.1 200 ")
	const version = "HTTP/1."
	for i, b := range head[:min(len(head), length)] {
		var valid bool
		switch {
		case i < len(version):
			valid = b == version[i]
		case i == len(version):
			valid = b == '0' || b == '1'
		case i == len(version)+1:
			valid = b == ' '
		case i == len(version)+2:
			valid = b >= '1' && b <= '5'
		case i < length-1:
			valid = b >= '0' && b <= '9'
		default:
			valid = b == ' ' || b == '\r' || b == '\n'
		}
		if !valid {
			return 0, &Error{Op: opCheck, Kind: KindStatus}
		}
	}
	if len(head) < length {
		return 0, nil
	}
	digits := head[length-4:]

	return 100*int(digits[0]-'0') + 10*int(digits[1]-'0') + int(digits[2]-'0'), nil
}

// CheckHead checks those lines of a response head that have arrived, and returns the
// length of the head in bytes, or zero if it is incomplete. It returns an *Error if
//   - the status line is not as ParseStatus requires, or holds a control byte other than a
//     tab, which fasthttp passes on;
//   - a line does not end with CRLF, so that parsers may end the head there;
//   - a line does not begin with a token and a colon. Parsers accept names with blanks, and
//     so miss a length or a transfer coding. Folded lines look like a name that begins with
//     a blank; RFC 9112, section 5.2, allows to refuse them;
//   - a response before HTTP/1.1 has a transfer coding, which fasthttp ignores.
func CheckHead(head []byte) (int, error) {
	if _, err := ParseStatus(head); err != nil {
		return 0, err
	}
	current := bytes.HasPrefix(head, []byte("HTTP/1.1 "))
	for start := 0; ; {
		end := start + bytes.IndexByte(head[start:], '\n') + 1
		if end == start {
			return 0, nil
		}
		line, ended := bytes.CutSuffix(head[start:end], []byte("\r\n"))
		if !ended {
			return 0, &Error{Op: opCheck, Kind: KindBareLF}
		}
		if len(line) == 0 {
			return end, nil
		}
		name := fieldName(line)
		switch {
		case start == 0:
			if bytes.ContainsFunc(line, isControl) {
				return 0, &Error{Op: opCheck, Kind: KindStatus}
			}
		case len(name) == 0:
			return 0, &Error{Op: opCheck, Kind: KindName}
		case !current && bytes.EqualFold(name, []byte("transfer-encoding")):
			return 0, &Error{Op: opCheck, Kind: KindCoded}
		}
		start = end
	}
}

// isControl reports whether a character must not occur in a status line.
func isControl(r rune) bool { return r < ' ' && r != '\t' || r == 0x7f }

// tokenBytes holds the bytes of a token (RFC 9110, section 5.6.2).
var tokenBytes = func() (set [256]bool) {
	for _, b := range []byte("!#$%&'*+-.^_`|~0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz") {
		set[b] = true
	}

	return set
}()

// fieldName returns the name of the field in a line, or nil if no token stands before
// its first colon.
func fieldName(line []byte) []byte {
	for i, b := range line {
		if !tokenBytes[b] {
			if b == ':' {
				return line[:i]
			}

			break
		}
	}

	return nil
}

// PeekHead waits for the next response head and returns it without consuming it. It
// skips the empty lines before it, as the parser does. It returns an *Error if CheckHead
// does, or if the head does not end within the buffer or the input.
func PeekHead(br *bufio.Reader) ([]byte, error) {
	for n := 1; ; n = br.Buffered() + 1 {
		_, err := br.Peek(n)
		buffered, _ := br.Peek(br.Buffered())
		head := bytes.TrimLeft(buffered, "\r\n")
		length, invalid := CheckHead(head)
		switch {
		case invalid != nil:
			return nil, invalid
		case length > 0:
			return head[:length], nil
		case err != nil:
			return nil, &Error{Op: fmt.Sprintf("read response head after %d bytes", len(buffered)), Kind: KindCut, Err: err}
		}
	}
}
