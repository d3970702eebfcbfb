package inspector

import (
	"bytes"
	"net/http"
	"strconv"

	"github.com/gofiber/fiber/v3"
	"github.com/valyala/fasthttp"
)

// fieldRefused holds the status with which a request is refused because of its head. A
// caller's field of this name is removed.
const fieldRefused = "Snipedyke-Refused-Head"

// ReceiveRequest checks the head of a request before its body is read. It is meant for
// the field HeaderReceived of a fasthttp.Server, whose handler must call RefusedStatus
// first. A head is refused if
//   - the HTTP version is not 1.x (505). fasthttp reads others like HTTP/1.0;
//   - it has a transfer coding other than chunked (400). The length of such a request
//     cannot be known (RFC 9112, section 6.3), and fasthttp takes identity for no body;
//   - it has an expectation other than 100-continue (417);
//   - its method is CONNECT (405). What follows it is not framed.
//
// The body of a refused request is not read, so its connection is closed after the response.
func ReceiveRequest(h *fasthttp.RequestHeader) fasthttp.RequestConfig {
	h.Del(fieldRefused)
	if status := checkRequest(h); status != 0 {
		h.Set(fieldRefused, strconv.Itoa(status))
		DropBody(h)
	}

	return fasthttp.RequestConfig{}
}

// Guard makes an app refuse requests as ReceiveRequest does. It must be called before the
// routes are registered.
func Guard(app *fiber.App) {
	app.Server().HeaderReceived = ReceiveRequest
	app.Use(func(c fiber.Ctx) error {
		if status := RefusedStatus(&c.RequestCtx().Request.Header); status != 0 {
			return fiber.NewError(status)
		}

		return c.Next()
	})
}

// DropBody makes the server leave the body of a request unread, whatever its length, and
// close the connection after the response. Otherwise it would take the body for the next
// request.
func DropBody(h *fasthttp.RequestHeader) {
	h.Del(fasthttp.HeaderExpect)
	h.SetContentLength(0)
	h.SetConnectionClose()
}

// RefusedStatus returns the status with which a request must be refused because of its
// head, or zero if it is served.
func RefusedStatus(h *fasthttp.RequestHeader) int {
	status, _ := strconv.Atoi(string(h.Peek(fieldRefused)))

	return status
}

func checkRequest(h *fasthttp.RequestHeader) int {
	expectation := h.Peek(fasthttp.HeaderExpect)
	switch {
	case !bytes.HasPrefix(h.Protocol(), []byte("HTTP/1.")):
		return http.StatusHTTPVersionNotSupported
	case h.IsConnect():
		return http.StatusMethodNotAllowed
	case !onlyChunked(h.RawHeaders()):
		return http.StatusBadRequest
	case len(expectation) == 0:
		return 0
	case !bytes.EqualFold(expectation, []byte("100-continue")):
		return http.StatusExpectationFailed
	case h.IsHTTP11():
		// fasthttp compares it with case.
		h.Set(fasthttp.HeaderExpect, "100-continue")
	default:
		// RFC 9110, section 10.1.1: a server ignores it.
		h.Del(fasthttp.HeaderExpect)
	}

	return 0
}

// onlyChunked reports whether the fields of a head name no transfer coding other than
// chunked. fasthttp drops the others.
func onlyChunked(fields []byte) bool {
	for line := range bytes.Lines(fields) {
		name, value, _ := bytes.Cut(line, []byte{':'})
		if bytes.EqualFold(name, []byte(fasthttp.HeaderTransferEncoding)) && !bytes.EqualFold(bytes.TrimSpace(value), []byte("chunked")) {
			return false
		}
	}

	return true
}
