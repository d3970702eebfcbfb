package dispatcher

import (
	"bufio"
	"bytes"

	"github.com/valyala/fasthttp"

	"snipedyke/internal/inspector"
)

// maxInterimResponses is the maximum number of interim responses (1xx) that are
// skipped before a response.
const maxInterimResponses = 8

// peekStatus waits for the status line of the next response head and returns the
// status without consuming it.
func peekStatus(br *bufio.Reader) (int, error) {
	for n := 1; ; n = br.Buffered() + 1 {
		_, err := br.Peek(n)
		buffered, _ := br.Peek(br.Buffered())
		// The parser skips empty lines before the head.
		status, malformed := inspector.ParseStatus(bytes.TrimLeft(buffered, "\r\n"))
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
