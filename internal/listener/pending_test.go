package listener

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"snipedyke/internal/dispatcher"
)

// The buffer of a stream must not keep data that was already sent, even if it is
// never empty because the caller lags slightly behind.
func TestStreamBufferIsBounded(t *testing.T) {
	p := newPendingCall(nil, &dispatcher.Work{Stream: true})
	b := &body{pendingCall: p}
	event, buf := make([]byte, 1000), make([]byte, 1000)
	qt.Assert(t, p.Relay(event), qt.IsNil)
	for range 10_000 {
		qt.Assert(t, p.Relay(event), qt.IsNil)
		n, err := b.Read(buf)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, n, qt.Equals, len(event))
	}
	qt.Check(t, cap(p.buf) <= streamBufferBytes, qt.IsTrue, qt.Commentf("%d bytes", cap(p.buf)))
}
