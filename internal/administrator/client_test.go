package administrator

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against an order that counts as carried out although the response has an
// invalid status, or a field name with a blank.
func TestInvalidStatusIsNotSuccess(t *testing.T) {
	for line, succeeds := range map[string]bool{
		"HTTP/1.1 000 X": false, "HTTP/1.1 099 X": false, "HTTP/1.1 600 X": false, "HTTP/1.1 204 X": true,
		"HTTP/1.1 204 X\r\nX Note: y": false, "HTTP/1.1 204 X\r\nX-Note : y": false, "HTTP/1.1 204 X\r\nX-Note: y\r\n z": false,
	} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			conn, _, err := w.(http.Hijacker).Hijack()
			if err != nil {
				return
			}
			_, _ = io.WriteString(conn, line+"\r\nContent-Length: 0\r\n\r\n")
			_ = conn.Close()
		}))
		err := NewClient(netip.MustParseAddrPort(server.Listener.Addr().String()), "t").Leave(context.Background())
		qt.Check(t, err == nil, qt.Equals, succeeds, qt.Commentf("%q: %v", line, err))
		server.Close()
	}
}
