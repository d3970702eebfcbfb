package listener

import (
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/gofiber/fiber/v3"
	"github.com/valyala/fasthttp"

	"snipedyke/internal/dispatcher"
	"snipedyke/pkg/cataloguer"
	"snipedyke/pkg/encoder"
)

// serveChat handles chat completions.
func (l *Listener) serveChat(c fiber.Ctx) error {
	return l.serve(c.RequestCtx(), InboundRequest{Method: http.MethodPost, Path: ChatPath})
}

// servePlain handles calls to plain services.
func (l *Listener) servePlain(c fiber.Ctx) error {
	ctx := c.RequestCtx()
	// The path is forwarded exactly as the caller sent it.
	path := strings.TrimPrefix(string(ctx.URI().PathOriginal()), "/services/")
	name, rest, found := strings.Cut(path, "/")
	if !found || name == "" {
		return problemf(http.StatusNotFound, CodeNotFound, "the path must be /services/NAME/...")
	}
	in := InboundRequest{Service: name, Method: strings.Clone(c.Method()), Path: "/" + rest}
	if query := ctx.URI().QueryString(); len(query) > 0 {
		in.Path += "?" + string(query)
	}

	return l.serve(ctx, in)
}

// serve validates a call, submits it to the node and waits for its answer. It
// copies the data of ctx, because the call may outlive the handler.
func (l *Listener) serve(ctx *fasthttp.RequestCtx, in InboundRequest) error {
	catalogue, entry, p := l.authenticate(ctx)
	if p != nil {
		return p
	}
	in.Entry = entry
	if in.Key, p = readIdempotencyKey(ctx); p != nil {
		return p
	}
	if in.Deadline, p = readDeadline(ctx, time.Now()); p != nil {
		return p
	}
	in.Body = slices.Clone(ctx.Request.Body())
	if in.Service != "" {
		in.Headers = copyHeaders(ctx)
	}
	call, p := NewCall(catalogue, in)
	if p != nil {
		return p
	}

	if p := l.reserve(len(in.Body)); p != nil {
		return p
	}
	pending := newPendingCall(ctx.Conn(), call.Work)
	pending.onFinish = func() { l.release(len(in.Body)) }
	pending.onCallerGone = func() { l.node.CallerGone(call.Request.ID) }
	headerDelay := time.Duration(0)
	if call.Work.Stream {
		headerDelay = l.opts.StreamHeaderDelay
	}
	pending.prepareWait(headerDelay)
	call.Caller = pending
	l.node.Submit(call)
	if !pending.wait() {
		pending.onCallerGone()
		ctx.SetConnectionClose()

		return nil
	}

	pending.writeAnswer(ctx)

	return nil
}

// reserve counts a request with a body of size bytes as in progress, unless that
// exceeds a limit.
func (l *Listener) reserve(size int) *Problem {
	requests, bodyBytes := l.requests.Add(1), l.bodyBytes.Add(int64(size))
	var p *Problem
	switch {
	case requests > int64(l.opts.MaxRequests):
		p = problemf(http.StatusServiceUnavailable, CodeRequestLimit, "this node has too many requests in progress")
	case bodyBytes > int64(l.opts.MaxTotalBodyBytes):
		p = problemf(http.StatusServiceUnavailable, CodeMemoryLimit, "the requests in progress on this node use too much memory")
	default:
		return nil
	}
	l.release(size)
	p.RetryAfter = time.Second

	return p
}

// release reverses reserve.
func (l *Listener) release(size int) {
	l.requests.Add(-1)
	l.bodyBytes.Add(-int64(size))
}

// writeAnswer writes the refusal or the complete answer, or starts the event
// stream.
func (p *pendingCall) writeAnswer(ctx *fasthttp.RequestCtx) {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := &ctx.Response.Header
	switch {
	case p.streaming:
		run := encoder.MayHaveRun
		if p.hasOutput {
			run = encoder.Ran
		}
		h.Set(dispatcher.HeaderRun, RunHeaderValue(run))
		h.SetContentType("text/event-stream")
		h.Set("Cache-Control", "no-store")
		ctx.Response.ImmediateHeaderFlush = true
		ctx.Response.SetBodyStream(&body{pendingCall: p}, -1)
	case p.refusal != nil:
		writeProblem(ctx, p.refusal)
	default:
		ctx.SetStatusCode(p.answer.Status)
		h.SetNoDefaultContentType(true)
		for _, field := range p.answer.Headers {
			h.Add(field.Name, field.Value)
		}
		h.Set(dispatcher.HeaderRun, RunHeaderValue(p.run))
		ctx.Response.SetBodyRaw(p.answer.Body)
	}
}

// headerIdempotencyKey is the header field that carries the idempotency key.
const headerIdempotencyKey = "Idempotency-Key"

// maxKeyBytes is the maximum length of an idempotency key. The longest key that
// nodes issue has 384 bytes.
const maxKeyBytes = 400

// readIdempotencyKey returns the idempotency key of the request, or an empty
// string if it has none.
func readIdempotencyKey(ctx *fasthttp.RequestCtx) (string, *Problem) {
	value, p := readHeader(ctx, headerIdempotencyKey)
	if p != nil || value == nil {
		return "", p
	}
	if len(value) < 1 || len(value) > maxKeyBytes {
		return "", invalidf("%s must have 1 to %d characters", headerIdempotencyKey, maxKeyBytes)
	}
	for _, c := range value {
		if c <= ' ' || c >= 0x7f {
			return "", invalidf("%s must consist of printable ASCII characters without spaces", headerIdempotencyKey)
		}
	}

	return string(value), nil
}

// maxDeadline is the longest time to a deadline that callers may set.
const maxDeadline = 7 * 24 * time.Hour

// readDeadline returns the time left until the earliest deadline of the request,
// or zero if it has none.
func readDeadline(ctx *fasthttp.RequestCtx, now time.Time) (time.Duration, *Problem) {
	left := time.Duration(0)
	value, p := readHeader(ctx, "Snipedyke-Deadline")
	if p != nil {
		return 0, p
	}
	if value != nil {
		d, err := time.ParseDuration(string(value))
		if err != nil || d <= 0 || d > maxDeadline {
			return 0, invalidf("Snipedyke-Deadline must be a duration above 0 and up to %v, such as 1.5s", maxDeadline)
		}
		left = d
	}
	if value, p = readHeader(ctx, "Snipedyke-Batch-Deadline"); p != nil {
		return 0, p
	}
	if value != nil {
		t, err := time.Parse(time.RFC3339, string(value))
		d := t.Sub(now)
		if err != nil || d <= 0 || d > maxDeadline {
			return 0, invalidf("Snipedyke-Batch-Deadline must be an RFC 3339 time in the next %v", maxDeadline)
		}
		if left == 0 || d < left {
			left = d
		}
	}

	return left, nil
}

// readHeader returns a copy of the value of a header field that may occur at
// most once, or nil if it is missing.
func readHeader(ctx *fasthttp.RequestCtx, name string) ([]byte, *Problem) {
	switch values := ctx.Request.Header.PeekAll(name); len(values) {
	case 0:
		return nil, nil
	case 1:
		return append([]byte{}, values[0]...), nil
	default:
		return nil, invalidf("the header field %s occurs %d times", name, len(values))
	}
}

// copyHeaders returns the end-to-end header fields to forward to a plain
// service, without the caller's credentials.
func copyHeaders(ctx *fasthttp.RequestCtx) []encoder.Header {
	connectionOptions := strings.ToLower(string(ctx.Request.Header.Peek("Connection")))
	var headers []encoder.Header
	for key, value := range ctx.Request.Header.All() {
		name := string(key)
		if !dispatcher.IsEndToEnd(name) || strings.EqualFold(name, "Authorization") || listContains(connectionOptions, name) {
			continue
		}
		headers = append(headers, encoder.Header{Name: name, Value: string(value)})
	}

	return headers
}

// listContains reports whether a comma-separated list of lower-case names
// contains name.
func listContains(list, name string) bool {
	for item := range strings.SplitSeq(list, ",") {
		if strings.TrimSpace(item) == strings.ToLower(name) {
			return true
		}
	}

	return false
}

// modelNames returns the sorted, distinct names of the models that an entry may
// use.
func modelNames(c *cataloguer.Catalogue, entry *cataloguer.Entry) []string {
	var names []string
	for _, s := range c.Services {
		if s.Kind == cataloguer.ModelService && mayCall(entry, s.Name) {
			names = append(names, s.Models...)
		}
	}
	slices.Sort(names)

	return slices.Compact(names)
}
