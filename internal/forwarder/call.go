package forwarder

import (
	"bytes"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"snipedyke/internal/director"
)

// call is a request in progress.
type call struct {
	f  *Forwarder
	id uint64
	// conn is the caller's connection.
	conn *callerConn
	// name is the caller's name for the attempt.
	name string
	// req is what endpoints are sent, but for what differs between attempts.
	req *fasthttp.Request
	// orders brings what to do next.
	orders chan director.Effect
	// event is the last event that the caller has, or empty.
	event []byte
	// answer is the whole answer of the last attempt, or nil.
	answer *fasthttp.Response

	mu sync.Mutex
	// link is the connection that cancel must close.
	link      *link
	cancelled bool
}

// serve answers one request.
func (f *Forwarder) serve(ctx *fasthttp.RequestCtx) {
	if f.leaving.Load() {
		ctx.Response.Header.SetConnectionClose()
	}
	description, err := f.opts.Protocol.Describe(&ctx.Request.Header)
	if err != nil {
		fail(ctx, http.StatusBadRequest, director.ReasonMalformed, 0)

		return
	}
	c := &call{
		f: f, id: f.lastID.Add(1), name: description.Name, orders: make(chan director.Effect, 2),
		conn: ctx.Conn().(*callerConn), req: fasthttp.AcquireRequest(),
	}
	ctx.Request.CopyTo(c.req)
	f.prepare(c.req)
	f.mu.Lock()
	f.calls[c.id] = c
	f.mu.Unlock()
	c.conn.watch(func() { f.Post(director.Gone{ID: c.id}) })
	f.Post(director.Arrived{Request: director.Request{
		ID: c.id, Name: description.Name, Key: description.Key, Deadline: description.Deadline, Need: description.Need,
		Body: len(ctx.Request.Body()),
		Host: hostName(ctx.Request.Header.Host()), Path: rawPath(ctx.Request.Header.RequestURI()),
	}})
	if !c.run(ctx) {
		c.end()
	}
}

// hostName returns a Host field without its port.
func hostName(field []byte) string {
	name, _, _ := bytes.Cut(field, []byte{':'})

	return string(name)
}

// rawPath returns the path of a request target as the caller sent it.
func rawPath(target []byte) string {
	path, _, _ := bytes.Cut(target, []byte{'?'})

	return string(path)
}

// hopFields are the header fields that concern one connection.
var hopFields = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

// prepare turns a caller's request into one for endpoints.
func (f *Forwarder) prepare(req *fasthttp.Request) {
	target := string(req.Header.RequestURI())
	for listed := range strings.SplitSeq(string(req.Header.Peek("Connection")), ",") {
		if name := strings.TrimSpace(listed); name != "" {
			req.Header.Del(name)
		}
	}
	for _, name := range hopFields {
		req.Header.Del(name)
	}
	req.Header.ResetConnectionClose()
	f.opts.Protocol.Clean(&req.Header)
	req.Header.SetNoDefaultContentType(true)
	// The target is sent as it came.
	req.URI().DisablePathNormalizing = true
	req.Header.SetRequestURI(target)
}

// end forgets the call. A call that streams ends with its body.
func (c *call) end() {
	c.conn.unwatch()
	c.f.mu.Lock()
	delete(c.f.calls, c.id)
	c.f.mu.Unlock()
	fasthttp.ReleaseRequest(c.req)
}

// run carries out orders until the request is answered. It reports whether
// the answer goes on as a stream.
func (c *call) run(ctx *fasthttp.RequestCtx) (streams bool) {
	for {
		switch o := (<-c.orders).(type) {
		case director.Dispatch:
			a := c.attempt(o)
			if a.stream != nil {
				c.relayStream(ctx, a)

				return true
			}
			c.f.Post(a.finished)
		case director.Refuse:
			fail(ctx, o.Status, o.Reason, o.RetryAfter)

			return false
		case director.Relay:
			c.relayAnswer(ctx)

			return false
		case director.Abort:
			_ = c.conn.Conn.Close()
			ctx.Response.Header.SetConnectionClose()

			return false
		}
	}
}

// relayAnswer passes a whole answer on.
func (c *call) relayAnswer(ctx *fasthttp.RequestCtx) {
	copyHeader(&ctx.Response.Header, &c.answer.Header)
	ctx.Response.SetBody(c.answer.Body())
	fasthttp.ReleaseResponse(c.answer)
	c.answer = nil
}

// copyHeader copies status and end-to-end fields.
func copyHeader(to, from *fasthttp.ResponseHeader) {
	to.SetStatusCode(from.StatusCode())
	to.SetStatusMessage(from.StatusMessage())
	for name, value := range from.All() {
		if !isHopField(string(name)) {
			to.AddBytesKV(name, value)
		}
	}
}

func isHopField(name string) bool {
	if strings.EqualFold(name, "Content-Length") {
		return true
	}
	for _, h := range hopFields {
		if strings.EqualFold(name, h) {
			return true
		}
	}

	return false
}

// cancel ends the attempt in progress.
func (c *call) cancel() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cancelled = true
	if c.link != nil {
		_ = c.link.Close()
	}
}

// attach lets cancel close the link, and tells whether cancel came before.
func (c *call) attach(l *link) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.link = l

	return !c.cancelled
}

// wasCancelled tells whether cancel was called.
func (c *call) wasCancelled() bool {
	c.mu.Lock()
	defer c.mu.Unlock()

	return c.cancelled
}

// fail answers a request with an error of the node's own.
func fail(ctx *fasthttp.RequestCtx, status int, reason director.Reason, retryAfter time.Duration) {
	ctx.Response.SetStatusCode(status)
	ctx.Response.Header.SetContentType("application/json")
	if retryAfter > 0 {
		ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, strconv.FormatFloat(retryAfter.Seconds(), 'f', 3, 64))
	}
	ctx.Response.SetBodyString(fmt.Sprintf(`{"error":{"code":%q}}`, reason))
}

// refuseMalformed answers what the HTTP server could not read.
func (f *Forwarder) refuseMalformed(ctx *fasthttp.RequestCtx, err error) {
	var small *fasthttp.ErrSmallBuffer
	switch {
	case errors.As(err, &small):
		fail(ctx, http.StatusRequestHeaderFieldsTooLarge, director.ReasonTooLarge, 0)
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		fail(ctx, http.StatusRequestEntityTooLarge, director.ReasonTooLarge, 0)
	case isTimeout(err):
		fail(ctx, http.StatusRequestTimeout, director.ReasonTimeout, 0)
	default:
		fail(ctx, http.StatusBadRequest, director.ReasonMalformed, 0)
	}
	ctx.Response.Header.SetConnectionClose()
}
