// Package listener implements the HTTP interface for callers. It validates
// requests, submits them to the node and relays the answers.
package listener

import (
	"context"
	"crypto/sha256"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/gofiber/fiber/v3"
	"github.com/valyala/fasthttp"

	"snipedyke/internal/acceptor"
	"snipedyke/internal/dispatcher"
	"snipedyke/internal/inspector"
	"snipedyke/internal/issuer"
	"snipedyke/internal/reducer"
	"snipedyke/pkg/cataloguer"
	"snipedyke/pkg/encoder"
)

// Node answers calls.
type Node interface {
	// Catalogue returns the catalogue in force, or nil.
	Catalogue() *cataloguer.Catalogue
	// Submit sets the ID of a call and starts it.
	Submit(call *Call)
	// CallerGone reports that the caller of a call has disconnected.
	CallerGone(id uint64)
	// IssueKeys returns new idempotency keys, or nil if the node cannot issue
	// any at present.
	IssueKeys(count int) []string
}

// Options configure a Listener. A zero field stands for the default that its
// comment states after the semicolon.
type Options struct {
	// Address is the address to listen on; port 0 selects a free port.
	Address netip.AddrPort
	// MaxBodyBytes is the maximum size of a request body in bytes; 4 MiB.
	MaxBodyBytes int
	// MaxTotalBodyBytes is the maximum total size of the bodies of all requests
	// in progress; 256 MiB.
	MaxTotalBodyBytes int
	// MaxRequests is the maximum number of requests in progress; 16,384. A request
	// whose caller has disconnected counts until the node has ended it.
	MaxRequests int
	// MaxHeaderBytes is the maximum size of a request header; 16 KiB.
	MaxHeaderBytes int
	// MaxConnections is the maximum number of open connections; 16,384.
	MaxConnections int
	// ReadTimeout is the maximum time to read a request; 30 s.
	ReadTimeout time.Duration
	// IdleTimeout is the maximum time between two requests on a connection;
	// 2 min.
	IdleTimeout time.Duration
	// WriteTimeout is the maximum time that a write may block because the caller
	// does not read its answer; 30 s.
	WriteTimeout time.Duration
	// TCPUserTimeout is the maximum time that sent data may stay unacknowledged
	// by the caller's host before the connection is closed; 30 s.
	TCPUserTimeout time.Duration
	// StreamHeaderDelay is the time after which the header of a streamed answer
	// is sent even if there is no event yet, to keep the connection alive; 10 s.
	StreamHeaderDelay time.Duration
	// Logger writes the failures to accept a connection. It has no default.
	Logger acceptor.Logger
}

// Listener serves callers.
type Listener struct {
	opts Options
	node Node
	app  *fiber.App
	ln   net.Listener
	// bodyBytes is the total size of the bodies of all requests in progress, and
	// requests the number of those requests.
	bodyBytes, requests atomic.Int64
	// shuttingDown reports whether Shutdown has been called.
	shuttingDown atomic.Bool
}

// New returns a listener that listens on the callers' address. The user must
// call Serve to answer requests.
func New(opts Options, node Node) (*Listener, error) {
	setDefault(&opts.MaxBodyBytes, 4<<20)
	setDefault(&opts.MaxTotalBodyBytes, 256<<20)
	setDefault(&opts.MaxRequests, 16384)
	setDefault(&opts.MaxHeaderBytes, 16<<10)
	setDefault(&opts.MaxConnections, 16384)
	setDefault(&opts.ReadTimeout, 30*time.Second)
	setDefault(&opts.IdleTimeout, 2*time.Minute)
	setDefault(&opts.WriteTimeout, 30*time.Second)
	setDefault(&opts.TCPUserTimeout, 30*time.Second)
	setDefault(&opts.StreamHeaderDelay, 10*time.Second)

	ln, err := listen(opts)
	if err != nil {
		return nil, err
	}
	l := &Listener{opts: opts, node: node, ln: ln}
	l.app = fiber.New(fiber.Config{
		BodyLimit:      opts.MaxBodyBytes,
		ReadBufferSize: opts.MaxHeaderBytes,
		// callerListener enforces the limit on connections, so the server's own
		// limit must not be reached.
		Concurrency:                  2 * opts.MaxConnections,
		ReadTimeout:                  opts.ReadTimeout,
		IdleTimeout:                  opts.IdleTimeout,
		StrictRouting:                true,
		CaseSensitive:                true,
		DisableHeadAutoRegister:      true,
		DisablePreParseMultipartForm: true,
		ErrorHandler:                 l.handleError,
	})
	inspector.Guard(l.app)
	l.app.Post(ChatPath, l.serveChat)
	l.app.Get("/v1/models", l.listModels)
	l.app.Post("/v1/idempotency-keys", l.issueKeys)
	l.app.All("/services/:name/*", l.servePlain)

	return l, nil
}

// setDefault sets a zero field to value.
func setDefault[T int | time.Duration](field *T, value T) {
	if *field == 0 {
		*field = value
	}
}

// Addr returns the address that the listener listens on.
func (l *Listener) Addr() netip.AddrPort {
	return l.ln.Addr().(*net.TCPAddr).AddrPort()
}

// Serve answers callers until Shutdown.
func (l *Listener) Serve() error {
	err := l.app.Listener(l.ln, fiber.ListenConfig{DisableStartupMessage: true})
	if l.shuttingDown.Load() {
		return nil
	}

	return err
}

// Shutdown stops accepting connections and waits until all answers are sent or
// ctx is done.
func (l *Listener) Shutdown(ctx context.Context) error {
	l.shuttingDown.Store(true)
	err := l.app.ShutdownWithContext(ctx)
	// Shutdown has no effect on a server that has not started yet.
	_ = l.ln.Close()

	return err
}

// handleError answers a request that failed before it was submitted.
func (l *Listener) handleError(c fiber.Ctx, err error) error {
	var p *Problem
	var f *fiber.Error
	switch {
	case errors.As(err, &p):
	case !errors.As(err, &f):
		p = problemf(http.StatusInternalServerError, "internal", "the request failed")
	case f.Code == http.StatusRequestEntityTooLarge:
		p = problemf(f.Code, CodeTooLarge, "the body is larger than %d bytes", l.opts.MaxBodyBytes)
	case f.Code == http.StatusRequestHeaderFieldsTooLarge:
		p = problemf(f.Code, CodeTooLarge, "the header is larger than %d bytes", l.opts.MaxHeaderBytes)
		// The header that could not be read may contain an idempotency key.
		p.Run = encoder.RunUnknown
	case f.Code == http.StatusNotFound:
		p = problemf(f.Code, CodeNotFound, "unknown path %s", truncate([]byte(c.Path())))
	case f.Code == http.StatusBadRequest:
		// The message of fasthttp repeats its input buffer, which may hold the next request.
		p = problemf(f.Code, CodeInvalidRequest, "the request is malformed")
	default:
		p = problemf(f.Code, CodeInvalidRequest, "%s", f.Message)
	}
	ctx := c.RequestCtx()
	if len(ctx.Request.Header.Peek(headerIdempotencyKey)) > 0 {
		// An earlier request with the same idempotency key may have run.
		p.Run = encoder.MayHaveRun
	}
	writeProblem(ctx, p)

	return nil
}

// writeProblem writes p as an error answer.
func writeProblem(ctx *fasthttp.RequestCtx, p *Problem) {
	h := &ctx.Response.Header
	ctx.SetStatusCode(p.Status)
	h.SetContentType("application/json")
	h.Set(dispatcher.HeaderRun, RunHeaderValue(p.Run))
	if p.RetryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(retrySeconds(p.RetryAfter)))
	}
	ctx.SetBody(p.appendBody(nil))
}

// authenticate returns the catalogue in force and the entry that the caller's
// API key belongs to.
func (l *Listener) authenticate(ctx *fasthttp.RequestCtx) (*cataloguer.Catalogue, *cataloguer.Entry, *Problem) {
	c := l.node.Catalogue()
	if c == nil {
		return nil, nil, &Problem{
			Status:     http.StatusServiceUnavailable,
			Code:       CodeNotReady,
			Message:    "this node has no catalogue yet",
			Run:        encoder.NotRun,
			RetryAfter: time.Second,
		}
	}
	const scheme = "Bearer "
	value := ctx.Request.Header.Peek("Authorization")
	if len(value) <= len(scheme) || string(value[:len(scheme)]) != scheme {
		return nil, nil, problemf(http.StatusUnauthorized, CodeUnauthorized, "the header field Authorization must be \"Bearer KEY\"")
	}
	entry := c.Keys[sha256.Sum256(value[len(scheme):])]
	if entry == nil {
		return nil, nil, problemf(http.StatusUnauthorized, CodeUnauthorized, "unknown API key")
	}

	return c, entry, nil
}

// issueKeys handles requests for new idempotency keys.
func (l *Listener) issueKeys(c fiber.Ctx) error {
	ctx := c.RequestCtx()
	if _, _, p := l.authenticate(ctx); p != nil {
		return p
	}
	count := 1
	if text := c.Query("count"); text != "" {
		n, err := strconv.Atoi(text)
		if err != nil || n < 1 || n > issuer.MaxBatch {
			return invalidf("count must be a whole number from 1 to %d", issuer.MaxBatch)
		}
		count = n
	}
	keys := l.node.IssueKeys(count)
	if keys == nil {
		return NewProblem(reducer.ReasonNotReady, encoder.NotRun, time.Second)
	}
	ctx.Response.Header.Set(dispatcher.HeaderRun, RunHeaderValue(encoder.Ran))

	return c.JSON(struct {
		Keys []string `json:"keys"`
	}{keys})
}

// modelList is the JSON answer to GET /v1/models.
type modelList struct {
	Object string  `json:"object"`
	Data   []model `json:"data"`
}

// model is an element of modelList.
type model struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
}

// listModels handles requests for the list of models that the caller may use.
func (l *Listener) listModels(c fiber.Ctx) error {
	ctx := c.RequestCtx()
	catalogue, entry, p := l.authenticate(ctx)
	if p != nil {
		return p
	}
	list := modelList{Object: "list", Data: []model{}}
	for _, name := range modelNames(catalogue, entry) {
		list.Data = append(list.Data, model{ID: name, Object: "model", OwnedBy: "snipedyke"})
	}
	ctx.Response.Header.Set(dispatcher.HeaderRun, RunHeaderValue(encoder.Ran))

	return c.JSON(list)
}
