package forwarder

import (
	"github.com/cespare/xxhash/v2"
	"github.com/valyala/fasthttp"
)

// contentHash returns a hash of what a request asks for: its method, its host, its path
// with the query, and its body. Other header fields are left out, as they differ between
// the attempts of a caller.
func contentHash(h *fasthttp.RequestHeader, body []byte) uint32 {
	var digest xxhash.Digest
	digest.Reset()
	for _, field := range [][]byte{h.Method(), h.Host(), h.RequestURI()} {
		_, _ = digest.Write(field)
		// None of them contains a line break.
		_, _ = digest.Write([]byte{'\n'})
	}
	_, _ = digest.Write(body)

	return uint32(digest.Sum64())
}
