package forwarder

import (
	"errors"
	"io"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"snipedyke/internal/director"
	"snipedyke/internal/guarder"
)

// streamBody is the body of a streamed response. If an attempt fails, it
// continues with the stream of the next attempt.
type streamBody struct {
	call    *call
	attempt *attempt
	// pending holds events that have been read from the endpoint but not
	// returned by Read.
	pending []byte
	// err is the error with which the body ends, or nil.
	err error
	// count is the number of events at the last extension of the deadline.
	count int
	// sent reports whether Read has returned any events.
	sent bool
}

// relayStream begins a streamed response to the caller.
func (c *call) relayStream(ctx *fasthttp.RequestCtx, a *attempt) {
	c.copyHeader(&ctx.Response.Header, &a.resp.Header)
	c.mediaType = mediaType(&a.resp.Header)
	body := &streamBody{call: c, attempt: a}
	body.buffer(a.firstEvents)
	ctx.Response.SetBodyStream(body, -1)
}

// buffer makes events available to Read and records the ID of the last one.
func (b *streamBody) buffer(events []byte) {
	b.pending, b.call.order = events, b.attempt.stream.order
	if id := lastEventID(events); id != nil {
		b.call.lastEventID = append(b.call.lastEventID[:0], id...)
	}
}

// Read implements io.Reader. It returns an error other than io.EOF if the
// response is incomplete, so that the HTTP server closes the caller's
// connection.
func (b *streamBody) Read(p []byte) (int, error) {
	for len(b.pending) == 0 {
		if b.err != nil {
			return 0, b.err
		}
		if !guarder.Run(b.call.f.opts.Logger, "stream", b.fill) {
			b.call.lose()
			b.err = errAborted
		}
	}
	n := copy(p, b.pending)
	b.pending = b.pending[n:]
	b.sent = true

	return n, nil
}

// errAborted is returned by Read if the response is incomplete.
var errAborted = errors.New("response aborted")

// fill reads the next events. If the attempt fails, it continues with the next
// attempt.
func (b *streamBody) fill() {
	a := b.attempt
	if count := a.stream.order.count; a.patience > 0 && count != b.count {
		// Comments do not show that the stream goes on. The next read returns any
		// error of the connection.
		b.count = count
		_ = a.extendDeadline()
	}
	events, err := a.stream.next()
	if err == nil {
		if a.stream.order.count != b.count {
			now := time.Now()
			a.finished.LongestPause, a.lastRead = max(a.finished.LongestPause, now.Sub(a.lastRead)), now
		}
		b.buffer(events)

		return
	}
	if errors.Is(err, io.EOF) {
		a.finished.Result = director.Answered
		_ = a.resp.CloseBodyStream()
		a.releaseConn()
		a.checkHost(b.call.f.streamEndTime)
	} else {
		a.finished.Result = a.failureResult(err)
	}
	a.close()
	a.finished.Relayed, a.finished.Events = true, a.stream.order.count
	b.call.f.Post(a.finished)
	b.nextAttempt()
}

// nextAttempt waits for the director's decision after the end of an attempt and
// carries it out.
func (b *streamBody) nextAttempt() {
	for {
		switch e := (<-b.call.effects).(type) {
		case director.Relay:
			b.err = io.EOF

			return
		case director.Dispatch:
			if b.resume(b.call.attempt(e)) {
				return
			}
		case director.HandOver:
			if b.resume(b.call.handOver(e)) {
				return
			}
		default:
			b.err = errAborted

			return
		}
	}
}

// resume continues with the stream of an attempt, and reports whether there is one.
func (b *streamBody) resume(a *attempt) bool {
	if a.stream == nil {
		a.finished.Relayed = true
		b.call.f.Post(a.finished)

		return false
	}
	b.attempt = a
	b.buffer(a.firstEvents)

	return true
}

// Close implements io.Closer. The HTTP server calls it after the last Read, even
// if the caller has disconnected.
func (b *streamBody) Close() error {
	if b.err == nil {
		b.call.f.Post(director.CallerDisconnected{ID: b.call.id})
		b.attempt.finished.Result = director.Cancelled
		b.attempt.close()
		b.call.f.Post(b.attempt.finished)
		b.err = errAborted
	}
	b.call.end()

	return nil
}

// mediaType returns the content type in lower case without parameters.
func mediaType(h *fasthttp.ResponseHeader) string {
	t, _, _ := strings.Cut(string(h.ContentType()), ";")

	return strings.ToLower(strings.TrimSpace(t))
}
