package forwarder

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"snipedyke/internal/budgeter"
	"snipedyke/internal/director"
	"snipedyke/internal/dispatcher"
	"snipedyke/internal/guarder"
	"snipedyke/internal/inspector"
)

// call is a request in progress.
type call struct {
	f  *Forwarder
	id uint64
	// conn is the caller's connection.
	conn *callerConn
	// attemptID is the ID that the caller gave the attempt, and apiKey its key, or empty.
	// continues reports whether the caller takes a stream up again.
	attemptID, apiKey string
	continues         bool
	// req is the request to endpoints. Each attempt sets its own header fields.
	req *fasthttp.Request
	// effects receives the next effect to carry out.
	effects chan director.Effect
	// lastEventID is the ID of the last event passed to the caller, or empty.
	lastEventID []byte
	// order checks the events of a streamed response. It includes those passed to
	// the caller.
	order eventOrder
	// mediaType is the content type of a streamed response.
	mediaType string
	// response is the complete response of the last attempt, or nil, and
	// responseHolding accounts for its body.
	response        *fasthttp.Response
	responseHolding *budgeter.Holding
	// requestHolding accounts for the body of the request, and attemptHolding for what
	// the last attempt has read.
	requestHolding, attemptHolding *budgeter.Holding

	mu sync.Mutex
	// endpointConn is what cancel closes to end the attempt, or nil.
	endpointConn io.Closer
	cancelled    bool
	// givenUp reports whether the attempt in progress has been given up.
	givenUp bool
}

// serve handles one request. If an unexpected error ends it, only this request fails.
func (f *Forwarder) serve(ctx *fasthttp.RequestCtx) {
	c := &call{f: f, id: f.lastID.Add(1), effects: make(chan director.Effect, 2), conn: ctx.Conn().(*callerConn)}
	if guarder.Run(f.opts.Logger, "request", func() { f.serveCall(ctx, c) }) {
		return
	}
	c.lose()
	c.finish()
	// The request may have run.
	ctx.Response.Reset()
	f.writeError(ctx, http.StatusBadGateway, director.ReasonInternal, 0)
	ctx.Response.Header.SetConnectionClose()
}

// lose ends the attempt in progress and the director's request after an unexpected
// error.
func (c *call) lose() {
	c.cancel()
	c.attemptHolding.Release()
	c.f.Post(director.RequestLost{ID: c.id})
}

// serveCall handles one request.
func (f *Forwarder) serveCall(ctx *fasthttp.RequestCtx, c *call) {
	// The shutdown may begin while the request is in progress.
	defer func() {
		if f.shuttingDown.Load() {
			ctx.Response.Header.SetConnectionClose()
		}
	}()
	if c.conn.refused {
		f.writeError(ctx, http.StatusServiceUnavailable, director.ReasonNotReady, 0)
		ctx.Response.Header.SetConnectionClose()

		return
	}
	if status := inspector.RefusedStatus(&ctx.Request.Header); status != 0 {
		f.writeError(ctx, status, director.ReasonMalformed, 0)

		return
	}
	ctx.Request.Header.SetRequestURIBytes(originForm(ctx.Request.Header.RequestURI()))
	metadata, err := f.opts.Protocol.ParseRequest(&ctx.Request.Header)
	var handover Handover
	if err == nil && c.conn.ofNode() {
		handover, err = f.opts.Protocol.ParseHandover(&ctx.Request.Header)
	}
	if err != nil {
		f.writeError(ctx, http.StatusBadRequest, director.ReasonMalformed, 0)

		return
	}
	c.attemptID, c.apiKey, c.continues, c.req = metadata.AttemptID, metadata.APIKey, metadata.Continues, fasthttp.AcquireRequest()
	body, err := c.readRequestBody(ctx)
	// A request that has waited to be read may have lost its caller by then.
	gone := err == nil && dispatcher.ConnEnded(c.conn.Conn)
	if gone || err != nil {
		c.requestHolding.Release()
		fasthttp.ReleaseRequest(c.req)
	}
	switch {
	case gone:
		f.opts.Meter.Count(director.Count{Counter: director.CounterRefusals, Label: string(director.ReasonGone)})
		c.abort(ctx)

		return
	case err != nil:
		f.handleReadError(ctx, err)

		return
	}
	ctx.Request.CopyTo(c.req)
	c.req.SetBodyRaw(body)
	f.prepare(c.req)
	f.mu.Lock()
	f.calls[c.id] = c
	f.mu.Unlock()
	f.Post(director.Arrived{Request: director.Request{
		ID: c.id, Name: metadata.AttemptID, Continues: metadata.Continues, Resumes: metadata.Resumes, Key: metadata.APIKey, Deadline: metadata.Deadline, Need: metadata.Need,
		Body: len(body), Content: contentHash(&ctx.Request.Header, body),
		Host: hostName(ctx.Request.Header.Host()), Path: rawPath(ctx.Request.Header.RequestURI()),
		HandedOver: c.conn.ofNode(), Attempts: handover.Attempts, Counted: handover.Counted,
	}})
	// The director ignores the disconnect of a request that it does not know yet.
	c.conn.watch(func() { f.Post(director.CallerDisconnected{ID: c.id}) })
	if !c.run(ctx) {
		c.end()
	}
}

// fieldTooLarge marks a request whose body exceeds the limit. It is never forwarded.
const fieldTooLarge = "Snipedyke-Body-Too-Large"

// receiveHeader checks the head of a request. It marks a request whose announced body
// exceeds the limit, so that it is refused before any of the body is awaited.
func (f *Forwarder) receiveHeader(h *fasthttp.RequestHeader) fasthttp.RequestConfig {
	h.Del(fieldTooLarge)
	if h.ContentLength() > f.opts.MaxBodyBytes {
		h.Set(fieldTooLarge, "1")
		inspector.DropBody(h)
	}

	return inspector.ReceiveRequest(h)
}

// readRequestBody reads the body of the caller's request.
func (c *call) readRequestBody(ctx *fasthttp.RequestCtx) ([]byte, error) {
	conn := c.conn.Conn
	c.requestHolding = c.f.budget.Hold(budgeter.Request, func() { _ = conn.SetReadDeadline(expiredDeadline) })
	if len(ctx.Request.Header.Peek(fieldTooLarge)) > 0 {
		return nil, budgeter.ErrTooLarge
	}
	stream := ctx.RequestBodyStream()
	if stream == nil {
		return nil, nil
	}
	body, err := budgeter.ReadAll(stream, ctx.Request.Header.ContentLength(), c.f.opts.MaxBodyBytes, c.requestHolding)
	if c.requestHolding.Cut() {
		err = budgeter.ErrExhausted
	}
	c.requestHolding.Complete(nil)

	return body, err
}

// hostName returns the value of a Host field without the port.
func hostName(field []byte) string {
	name, _, _ := bytes.Cut(field, []byte{':'})

	return string(name)
}

// rawPath returns the path of a request target as the caller sent it.
func rawPath(target []byte) string {
	path, _, _ := bytes.Cut(target, []byte{'?'})

	return string(path)
}

// originForm returns a request target without its scheme and authority. Endpoints need
// not accept the absolute form; its authority is the host of the request (RFC 9112,
// section 3.2).
func originForm(target []byte) []byte {
	if bytes.HasPrefix(target, []byte{'/'}) {
		return target
	}
	_, rest, absolute := bytes.Cut(target, []byte("://"))
	if !absolute {
		return target
	}
	i := bytes.IndexAny(rest, "/?#")
	switch {
	case i < 0:
		return []byte{'/'}
	case rest[i] == '/':
		return rest[i:]
	default:
		return append([]byte{'/'}, rest[i:]...)
	}
}

// hopByHopHeaders are the header fields that apply to a single connection only.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

// prepare turns a caller's request into a request to endpoints: it removes
// hop-by-hop fields and those that only the node may set.
func (f *Forwarder) prepare(req *fasthttp.Request) {
	target := string(req.Header.RequestURI())
	for listed := range strings.SplitSeq(string(req.Header.Peek("Connection")), ",") {
		if name := strings.TrimSpace(listed); name != "" {
			req.Header.Del(name)
		}
	}
	for _, name := range hopByHopHeaders {
		req.Header.Del(name)
	}
	req.Header.ResetConnectionClose()
	f.opts.Protocol.RemoveReserved(&req.Header)
	req.Header.SetNoDefaultContentType(true)
	// Without a parsed URI, the target is forwarded unchanged.
	req.SetRequestURI(target)
}

// end releases the call. For a streamed response, it runs when the body is
// closed.
func (c *call) end() {
	c.finish()
	fasthttp.ReleaseRequest(c.req)
}

// finish releases what the call holds except for its request.
func (c *call) finish() {
	c.conn.unwatch()
	c.f.mu.Lock()
	delete(c.f.calls, c.id)
	c.f.mu.Unlock()
	c.requestHolding.Release()
	c.setResponse(nil, nil)
}

// run carries out effects until the request is answered. It reports whether the
// response continues as a stream.
func (c *call) run(ctx *fasthttp.RequestCtx) (streams bool) {
	for {
		switch e := (<-c.effects).(type) {
		case director.Dispatch:
			if c.finishAttempt(ctx, c.attempt(e)) {
				return true
			}
		case director.HandOver:
			if c.finishAttempt(ctx, c.handOver(e)) {
				return true
			}
		case director.Refuse:
			c.f.writeError(ctx, e.Status, e.Reason, e.RetryAfter)

			return false
		case director.Relay:
			c.relayResponse(ctx)

			return false
		case director.Abort:
			c.abort(ctx)

			return false
		}
	}
}

// abort ends the request without a response.
func (c *call) abort(ctx *fasthttp.RequestCtx) {
	_ = c.conn.Conn.Close()
	ctx.Response.Header.SetConnectionClose()
}

// finishAttempt relays the stream of an attempt, or reports the end of the attempt to the
// director if there is no stream. It reports whether there is one.
func (c *call) finishAttempt(ctx *fasthttp.RequestCtx, a *attempt) (streams bool) {
	if a.stream != nil {
		c.relayStream(ctx, a)

		return true
	}
	c.f.Post(a.finished)

	return false
}

// setResponse replaces the complete response, which may be nil.
func (c *call) setResponse(resp *fasthttp.Response, holding *budgeter.Holding) {
	if c.response != nil {
		fasthttp.ReleaseResponse(c.response)
	}
	c.responseHolding.Release()
	c.response, c.responseHolding = resp, holding
}

// relayResponse sends a complete response to the caller. Its memory is accounted for
// until it is written.
func (c *call) relayResponse(ctx *fasthttp.RequestCtx) {
	c.copyHeader(&ctx.Response.Header, &c.response.Header)
	body := c.response.Body()
	if len(body) <= budgeter.FreeBytes {
		ctx.Response.SetBodyRaw(body)
	} else {
		conn := c.conn.Conn
		c.responseHolding.Complete(func() { _ = conn.Close() })
		ctx.Response.SetBodyStream(&heldBody{Reader: bytes.NewReader(body), holding: c.responseHolding}, len(body))
		c.responseHolding = nil
	}
	c.setResponse(nil, nil)
}

// heldBody is the body of a response that is released when it has been written.
type heldBody struct {
	*bytes.Reader
	holding *budgeter.Holding
}

// Close implements io.Closer. The HTTP server calls it after the last Read, even if
// the caller has disconnected.
func (b *heldBody) Close() error {
	b.holding.Release()

	return nil
}

// copyHeader copies the status and the end-to-end header fields.
func (c *call) copyHeader(to, from *fasthttp.ResponseHeader) {
	to.SetStatusCode(from.StatusCode())
	to.SetStatusMessage(from.StatusMessage())
	for name, value := range from.All() {
		if !isHopByHop(string(name)) {
			to.AddBytesKV(name, value)
		}
	}
	if c.conn.ofNode() {
		// Only errors that this node generates are refusals.
		c.f.opts.Protocol.SetRefused(to, "")
	}
}

func isHopByHop(name string) bool {
	if strings.EqualFold(name, "Content-Length") {
		return true
	}
	for _, h := range hopByHopHeaders {
		if strings.EqualFold(name, h) {
			return true
		}
	}

	return false
}

// cancel cancels the attempt in progress by closing its connection, or that of its check.
func (c *call) cancel() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cancelled = true
	if c.endpointConn != nil {
		_ = c.endpointConn.Close()
	}
}

// giveUp ends the attempt in progress, which is waiting for the director's
// decision.
func (c *call) giveUp() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.givenUp = true
}

// takeGiveUp reports whether giveUp has been called since the last call of
// takeGiveUp.
func (c *call) takeGiveUp() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	givenUp := c.givenUp
	c.givenUp = false

	return givenUp
}

// setEndpointConn sets what cancel closes. It reports whether the
// attempt may proceed, which is false if cancel has already been called.
func (c *call) setEndpointConn(conn io.Closer) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.endpointConn = conn

	return !c.cancelled
}

// wasCancelled reports whether cancel was called.
func (c *call) wasCancelled() bool {
	c.mu.Lock()
	defer c.mu.Unlock()

	return c.cancelled
}

// writeError sends an error response that the node generates itself.
func (f *Forwarder) writeError(ctx *fasthttp.RequestCtx, status int, reason director.Reason, retryAfter time.Duration) {
	ctx.Response.SetStatusCode(status)
	ctx.Response.Header.SetContentType("application/json")
	if retryAfter > 0 {
		ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, strconv.FormatFloat(retryAfter.Seconds(), 'f', 3, 64))
	}
	if ctx.Conn().(*callerConn).ofNode() {
		f.opts.Protocol.SetRefused(&ctx.Response.Header, string(reason))
	}
	ctx.Response.SetBodyString(fmt.Sprintf(`{"error":{"code":%q}}`, reason))
}

// handleReadError responds to a request that the HTTP server could not read.
func (f *Forwarder) handleReadError(ctx *fasthttp.RequestCtx, err error) {
	var small *fasthttp.ErrSmallBuffer
	switch {
	case errors.Is(err, budgeter.ErrExhausted):
		f.opts.Meter.Count(director.Count{Counter: director.CounterRefusals, Label: string(director.ReasonMemory)})
		f.writeError(ctx, http.StatusServiceUnavailable, director.ReasonMemory, memoryRetryAfter)
	case errors.Is(err, budgeter.ErrTooLarge):
		f.writeError(ctx, http.StatusRequestEntityTooLarge, director.ReasonTooLarge, 0)
	case errors.As(err, &small):
		f.writeError(ctx, http.StatusRequestHeaderFieldsTooLarge, director.ReasonTooLarge, 0)
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		f.writeError(ctx, http.StatusRequestEntityTooLarge, director.ReasonTooLarge, 0)
	case isTimeout(err):
		f.writeError(ctx, http.StatusRequestTimeout, director.ReasonTimeout, 0)
	default:
		f.writeError(ctx, http.StatusBadRequest, director.ReasonMalformed, 0)
	}
	ctx.Response.Header.SetConnectionClose()
}
