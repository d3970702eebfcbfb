// Package administrator implements the administration API of a node, and the client
// that the command line uses.
package administrator

import (
	"bufio"
	"bytes"
	"context"
	"crypto/rand"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/gofiber/fiber/v3"

	"snipedyke/internal/acceptor"
	"snipedyke/internal/inspector"
	"snipedyke/internal/logger"
)

const (
	// Limits on calls. Only operators and a few scripts call the API, and their
	// requests are small.
	maxBodySize     = 16 << 10
	maxConnections  = 256
	readTimeout     = 10 * time.Second
	writeTimeout    = time.Minute
	shutdownTimeout = 5 * time.Second
)

// Node is the node whose state the API reports and which it controls.
type Node interface {
	// Ready reports whether the node accepts requests.
	Ready() bool
	// Status returns the node's status. It fails with KindStopped if the node
	// has stopped.
	Status() (*Status, error)
	// CreateOrder applies an emergency order and floods it to the other nodes. It
	// fails with KindNotFound if the catalogue has no such data centre or
	// endpoint.
	CreateOrder(o Order) error
	// Cancel cancels an order. It fails with KindNotFound if there is no such
	// order.
	Cancel(id string) error
	// Leave starts a graceful shutdown.
	Leave()
	// WriteTrace writes the recorded events.
	WriteTrace(w io.Writer) error
	// WriteMetrics writes the metrics in the Prometheus text format.
	WriteMetrics(w io.Writer)
}

// Logger writes numbered log events.
type Logger interface{ Event(number int, args ...any) }

// Options holds the dependencies and settings of an Administrator.
type Options struct {
	// Listener accepts the connections; Run closes it.
	Listener net.Listener
	// Token authorizes calls under /v1; if it is empty, all of them are
	// refused. Health, readiness and metrics need no token.
	Token  string
	Node   Node
	Logger Logger
}

// Administrator serves the administration API.
type Administrator struct {
	opts  Options
	token [sha256.Size]byte
	app   *fiber.App
	// lastLogged is the time of the last log event of a refused call, in
	// nanoseconds of Unix time.
	lastLogged atomic.Int64
}

// New returns an administrator, which serves no calls before Run.
func New(opts Options) *Administrator {
	opts.Listener = acceptor.New(opts.Listener, "administration", opts.Logger)
	a := &Administrator{opts: opts, token: sha256.Sum256([]byte(opts.Token))}
	a.app = fiber.New(fiber.Config{
		BodyLimit: maxBodySize, Concurrency: maxConnections, ReadTimeout: readTimeout, WriteTimeout: writeTimeout,
		// Values of a request outlive its handler, for example in orders.
		Immutable:     true,
		CaseSensitive: true, StrictRouting: true, DisableHeadAutoRegister: true,
		ErrorHandler: writeError,
	})
	a.routes()

	return a
}

// Addr returns the address of the listener.
func (a *Administrator) Addr() netip.AddrPort {
	addr, _ := netip.ParseAddrPort(a.opts.Listener.Addr().String())

	return addr
}

// Run serves calls until ctx is done.
func (a *Administrator) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() {
		// The timeout keeps idle connections from delaying the node's exit.
		_ = a.app.ShutdownWithTimeout(shutdownTimeout)
		// Shutdown has no effect on a server that has not started yet.
		_ = a.opts.Listener.Close()
	})
	defer stop()
	err := a.app.Listener(a.opts.Listener, fiber.ListenConfig{DisableStartupMessage: true})
	if err != nil && ctx.Err() == nil {
		return &Error{Op: "serve", Kind: KindInternal, Err: err}
	}

	return nil
}

func (a *Administrator) routes() {
	inspector.Guard(a.app)
	a.app.Get("/healthz", func(c fiber.Ctx) error { return c.SendString("ok\n") })
	a.app.Get("/readyz", func(c fiber.Ctx) error {
		if !a.opts.Node.Ready() {
			return c.Status(http.StatusServiceUnavailable).SendString("not ready\n")
		}

		return c.SendString("ready\n")
	})
	a.app.Get("/metrics", func(c fiber.Ctx) error {
		var b bytes.Buffer
		a.opts.Node.WriteMetrics(&b)
		c.Set("Content-Type", "text/plain; version=0.0.4; charset=utf-8")

		return c.Send(b.Bytes())
	})
	v1 := a.app.Group("/v1", a.authorize)
	a.serveSection(v1, "/status", func(_ fiber.Ctx, s *Status) (any, error) { return s, nil })
	a.serveSection(v1, "/versions", func(_ fiber.Ctx, s *Status) (any, error) { return s.Versions, nil })
	a.serveSection(v1, "/endpoints", func(_ fiber.Ctx, s *Status) (any, error) { return s.Endpoints, nil })
	a.serveSection(v1, "/queues", func(_ fiber.Ctx, s *Status) (any, error) { return s.Queues, nil })
	a.serveSection(v1, "/limits", func(_ fiber.Ctx, s *Status) (any, error) { return s.Limits, nil })
	a.serveSection(v1, "/members", func(_ fiber.Ctx, s *Status) (any, error) { return s.Members, nil })
	a.serveSection(v1, "/orders", func(_ fiber.Ctx, s *Status) (any, error) { return s.Orders, nil })
	a.serveSection(v1, "/decisions", selectDecisions)
	v1.Post("/orders", a.createOrder)
	v1.Delete("/orders/:id", func(c fiber.Ctx) error {
		if err := a.opts.Node.Cancel(c.Params("id")); err != nil {
			return err
		}

		return c.SendStatus(http.StatusNoContent)
	})
	v1.Post("/leave", func(c fiber.Ctx) error {
		a.opts.Node.Leave()

		return c.SendStatus(http.StatusAccepted)
	})
	v1.Get("/trace", func(c fiber.Ctx) error {
		c.Set("Content-Type", "application/gzip")
		c.Set("Content-Disposition", `attachment; filename="snipedyke.trace.gz"`)

		return c.SendStreamWriter(func(w *bufio.Writer) {
			// The response header has been sent, so an error cannot be
			// reported; the client fails to decode a truncated trace.
			_ = a.opts.Node.WriteTrace(w)
		})
	})
	a.app.Use(func(fiber.Ctx) error { return &Error{Op: "route", Kind: KindNotFound} })
}

// authorize checks the bearer token. It compares hashes of equal length in constant
// time, so that the response time does not leak information about the token.
func (a *Administrator) authorize(c fiber.Ctx) error {
	token, isBearer := strings.CutPrefix(c.Get("Authorization"), "Bearer ")
	got := sha256.Sum256([]byte(token))
	if a.opts.Token == "" || !isBearer || subtle.ConstantTimeCompare(got[:], a.token[:]) != 1 {
		a.logUnauthorized(c)

		return &Error{Op: "authorize", Kind: KindUnauthorized}
	}

	return c.Next()
}

// logUnauthorized logs at most one refused call per second, so that unauthorized
// clients cannot flood the log.
func (a *Administrator) logUnauthorized(c fiber.Ctx) {
	now := time.Now().UnixNano()
	last := a.lastLogged.Load()
	if now-last >= int64(time.Second) && a.lastLogged.CompareAndSwap(last, now) {
		a.opts.Logger.Event(logger.AdminRefused, "address", c.IP(), "path", c.Path(), "reason", string(KindUnauthorized))
	}
}

// serveSection adds a route that responds with a part of the node's status.
func (a *Administrator) serveSection(r fiber.Router, path string, selectPart func(fiber.Ctx, *Status) (any, error)) {
	r.Get(path, func(c fiber.Ctx) error {
		s, err := a.opts.Node.Status()
		if err != nil {
			return err
		}
		part, err := selectPart(c, s)
		if err != nil {
			return err
		}

		return c.JSON(part)
	})
}

// selectDecisions returns the decisions that the filter in the query selects.
func selectDecisions(c fiber.Ctx, s *Status) (any, error) {
	f := Filter{Entry: c.Query("entry"), Class: c.Query("class")}
	if id := c.Query("request"); id != "" {
		var err error
		if f.Request, err = strconv.ParseUint(id, 10, 64); err != nil {
			return nil, &Error{Op: "decisions", Kind: KindInvalidInput, Err: fmt.Errorf("field request: %q; accepted: a whole number", id)}
		}
	}
	selected := []Decision{}
	for _, d := range s.Decisions {
		if f.matches(d) {
			selected = append(selected, d)
		}
	}

	return selected, nil
}

// createOrder validates an order, assigns it an ID and applies it at the node.
func (a *Administrator) createOrder(c fiber.Ctx) error {
	var req OrderRequest
	d := json.NewDecoder(bytes.NewReader(c.Body()))
	d.DisallowUnknownFields()
	if err := d.Decode(&req); err != nil {
		return &Error{Op: "create order", Kind: KindInvalidInput, Err: err}
	}
	if req.Duration == 0 {
		req.Duration = DefaultOrderDuration
	}
	if (req.Centre == "") == (req.Endpoint == "") {
		return &Error{Op: "create order", Kind: KindInvalidInput, Err: errors.New("fields centre and endpoint: both or none set; accepted: exactly one")}
	}
	if req.Duration < time.Second || req.Duration > MaxOrderDuration {
		return &Error{Op: "create order", Kind: KindInvalidInput, Err: fmt.Errorf("field duration: %s; accepted: a duration from 1s to %s", req.Duration, MaxOrderDuration)}
	}
	o := Order{ID: rand.Text(), Centre: req.Centre, Endpoint: req.Endpoint, Remaining: req.Duration}
	if err := a.opts.Node.CreateOrder(o); err != nil {
		return err
	}

	return c.Status(http.StatusCreated).JSON(o)
}

// errorBody is the body of an error response.
type errorBody struct {
	Error struct {
		Code    Kind   `json:"code"`
		Message string `json:"message"`
	} `json:"error"`
}

// httpStatuses maps the kinds of errors to HTTP status codes.
var httpStatuses = map[Kind]int{
	KindUnauthorized: http.StatusUnauthorized,
	KindInvalidInput: http.StatusBadRequest,
	KindNotFound:     http.StatusNotFound,
	KindStopped:      http.StatusServiceUnavailable,
	KindInternal:     http.StatusInternalServerError,
}

// writeError responds with an error. Errors of fiber keep their status.
func writeError(c fiber.Ctx, err error) error {
	var body errorBody
	var e *Error
	var f *fiber.Error
	status := http.StatusInternalServerError
	body.Error.Code, body.Error.Message = KindInternal, err.Error()
	switch {
	case errors.As(err, &e) && httpStatuses[e.Kind] != 0:
		status, body.Error.Code = httpStatuses[e.Kind], e.Kind
		if e.Err != nil {
			body.Error.Message = e.Err.Error()
		}
	case errors.As(err, &f):
		status, body.Error.Code = f.Code, KindInvalidInput
		if status == http.StatusBadRequest {
			// The message of fasthttp repeats its input buffer, which may hold the next request.
			body.Error.Message = "the request is malformed"
		}
	}

	return c.Status(status).JSON(body)
}
