package dispatcher

import (
	"github.com/valyala/fasthttp"

	"snipedyke/internal/inspector"
)

// maxInterimResponses is the maximum number of interim responses (1xx) that are
// skipped before a response.
const maxInterimResponses = 8

// readResponse reads the next final response. Unless the response streams its body,
// the body may have at most limit bytes.
func (c *endpointConn) readResponse(resp *fasthttp.Response, limit int) error {
	for range maxInterimResponses + 1 {
		head, err := inspector.PeekHead(c.br)
		if err != nil {
			return err
		}
		switch status, _ := inspector.ParseStatus(head); {
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
