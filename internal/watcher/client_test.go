package watcher

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against a document with a damaged head that is taken for what the service has
// published: with the name of its length or its version damaged, another part of the
// response becomes the document.
func TestDamagedHeadIsNotTheDocument(t *testing.T) {
	for head, valid := range map[string]bool{
		"HTTP/1.1 200 OK\r\nVersion: 7\r\nContent-Length: 4\r\n\r\n":               true,
		"HTTP/1.1 200 OK\r\nVersion: 7\r\nContent Length: 8\r\n\r\n":               false,
		"HTTP/1.1 200 OK\r\nVersion: 7\r\nTransfer-Encoding : chunked\r\n\r\n":     false,
		"HTTP/1.1 200 OK\r\nVersion: 7\r\nX Note: y\r\nContent-Length: 4\r\n\r\n":  false,
		"HTTP/1.1 200 OK\r\nVersion: 7\r\n X-Note: y\r\nContent-Length: 4\r\n\r\n": false,
		"HTTP/1.1 200 OK\r\nVersion: 7\r\n\nContent-Length: 4\r\n\r\n":             false,
	} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			conn, _, err := w.(http.Hijacker).Hijack()
			if err != nil {
				return
			}
			_, _ = io.WriteString(conn, head+"text")
			_ = conn.Close()
		}))
		address := netip.MustParseAddrPort(server.Listener.Addr().String())
		text, err := NewClient(address, address).Document(context.Background(), "classes")
		qt.Check(t, err == nil, qt.Equals, valid, qt.Commentf("%q: %v, document %q", head, err, text))
		server.Close()
	}
}
