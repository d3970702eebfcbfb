package dispatcher

import (
	"bufio"
	"bytes"

	"github.com/valyala/fasthttp"
)

// maxInterimResponses is the maximum number of interim responses (1xx) that are
// skipped before a response.
const maxInterimResponses = 8

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
			return 0, &Error{Op: "read status line", Kind: KindMalformed}
		}
	}
	if len(head) < length {
		return 0, nil
	}
	digits := head[length-4:]

	return 100*int(digits[0]-'0') + 10*int(digits[1]-'0') + int(digits[2]-'0'), nil
}

// peekStatus waits for the status line of the next response head and returns the
// status without consuming it.
func peekStatus(br *bufio.Reader) (int, error) {
	for n := 1; ; n = br.Buffered() + 1 {
		_, err := br.Peek(n)
		buffered, _ := br.Peek(br.Buffered())
		// The parser skips empty lines before the head.
		status, malformed := ParseStatus(bytes.TrimLeft(buffered, "\r\n"))
		switch {
		case malformed != nil:
			return 0, malformed
		case status != 0:
			return status, nil
		case err != nil:
			return 0, err
		}
	}
}

// readResponse reads the next final response. Unless the response streams its body,
// the body may have at most limit bytes.
func (c *endpointConn) readResponse(resp *fasthttp.Response, limit int) error {
	for range maxInterimResponses + 1 {
		status, err := peekStatus(c.br)
		switch {
		case err != nil:
			return err
		case status == fasthttp.StatusSwitchingProtocols:
			// No request asks for another protocol.
			return &Error{Op: "read response", Kind: KindMalformed}
		case status >= fasthttp.StatusOK:
			return resp.ReadLimitBody(c.br, limit)
		}
		if err := resp.Header.Read(c.br); err != nil {
			return err
		}
	}

	return &Error{Op: "read interim responses", Kind: KindTooLarge}
}
