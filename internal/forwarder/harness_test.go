package forwarder

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/valyala/fasthttp"

	"snipedyke/internal/director"
	"snipedyke/internal/logger"
	"snipedyke/internal/registrar"
	"snipedyke/internal/router"
)

// protocol is a Protocol for tests whose header fields are named after what they
// carry.
type protocol struct{}

func (protocol) ParseRequest(h *fasthttp.RequestHeader) (RequestMetadata, error) {
	if len(h.Peek("Malformed")) > 0 {
		return RequestMetadata{}, errors.New("malformed request")
	}

	return RequestMetadata{
		AttemptID: string(h.Peek("Name")), APIKey: string(h.Peek("Key")), Deadline: 2 * longWait,
		Continues: len(h.Peek("Event")) > 0, Resumes: string(h.Peek("Resumes")),
	}, nil
}

func (protocol) RemoveReserved(h *fasthttp.RequestHeader) {
	h.Del("Key")
	h.Del("Account")
	h.Del("Handover")
}

func (protocol) SetHeaders(h *fasthttp.RequestHeader, s EndpointMetadata) {
	h.Set("Instance", s.Instance)
	h.Set("Account", s.Account)
	if s.LastEventID != "" {
		h.Set("Event", s.LastEventID)
	}
}

func (protocol) ParseHandover(h *fasthttp.RequestHeader) (Handover, error) {
	var m Handover
	_, err := fmt.Sscanf(string(h.Peek("Handover")), "%d,%t", &m.Attempts, &m.Counted)

	return m, err
}

func (protocol) SetHandover(h *fasthttp.RequestHeader, m HandoverMetadata) {
	h.Set("Handover", fmt.Sprintf("%d,%t", m.Attempts, m.Counted))
	h.Set("Key", m.APIKey)
	if m.LastEventID != "" {
		h.Set("Event", m.LastEventID)
	}
	if m.Resumes != "" {
		h.Set("Resumes", m.Resumes)
	}
}

func (protocol) SetRefused(h *fasthttp.ResponseHeader, reason string) {
	h.Del("Refused")
	if reason != "" {
		h.Set("Refused", reason)
	}
}

func (protocol) ParseResponse(h *fasthttp.ResponseHeader) ResponseMetadata {
	cold, _ := time.ParseDuration(string(h.Peek("Cold")))
	limit, err := strconv.ParseFloat(string(h.Peek("Limit")), 64)
	declines, brittleErr := strconv.ParseFloat(string(h.Peek("Brittle")), 64)

	return ResponseMetadata{
		Refused: string(h.Peek("Refused")),
		Limit:   limit, HasLimit: err == nil, MaxDeclines: declines, Brittle: brittleErr == nil,
		AttemptID: string(h.Peek("Name")), Sealed: len(h.Peek("Seal")) > 0, Declined: len(h.Peek("Declined")) > 0, ColdRemaining: cold,
		Leaving: len(h.Peek("Leaving")) > 0, Instance: string(h.Peek("Is")), RetryAfter: retryAfter(h),
	}
}

// retryAfter returns the delay that an endpoint or a node states.
func retryAfter(h *fasthttp.ResponseHeader) time.Duration {
	if seconds, err := strconv.ParseFloat(string(h.Peek("Retry-After")), 64); err == nil {
		return time.Duration(seconds * float64(time.Second))
	}

	return time.Duration(len(h.Peek("Busy"))) * time.Minute
}

// longWait limits the wait for an expected condition. It is half of the timeout
// after which requests end on their own.
const longWait = 15 * time.Second

type discardSink struct{}

func (discardSink) Event(int, ...any)        {}
func (discardSink) Count(director.Count)     {}
func (discardSink) Observe(director.Observe) {}

// silenceSink is a Logger that reports the events about silent endpoints while
// there is a receiver.
type silenceSink chan bool

func (s silenceSink) Event(number int, _ ...any) {
	if number != logger.EndpointSilent {
		return
	}
	select {
	case s <- true:
	default:
	}
}

// endpoint is a test server that handles requests with a handler. The handler
// reports whether the connection stays open.
type endpoint struct {
	listener net.Listener
	addr     netip.AddrPort
	mu       sync.Mutex
	conns    []net.Conn
	received []*http.Request
	body     []string
}

type handler func(conn net.Conn, r *http.Request) bool

func newEndpoint(t *testing.T, h handler) *endpoint {
	return listen(t, net.ListenConfig{}, func() {}, h)
}

// newSlowReader returns an endpoint that calls wait before it begins to read from
// a connection. Its receive buffer is small.
func newSlowReader(t *testing.T, wait func()) *endpoint {
	config := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) { _ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4<<10) })
	}}

	return listen(t, config, wait, func(conn net.Conn, r *http.Request) bool { return reply(conn, r, 200, "") })
}

func listen(t *testing.T, config net.ListenConfig, wait func(), h handler) *endpoint {
	ln, err := config.Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	e := &endpoint{listener: ln, addr: ln.Addr().(*net.TCPAddr).AddrPort()}
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			e.mu.Lock()
			e.conns = append(e.conns, conn)
			e.mu.Unlock()
			go func() {
				wait()
				e.serve(conn, h)
			}()
		}
	}()

	return e
}

func (e *endpoint) serve(conn net.Conn, h handler) {
	defer func() { _ = conn.Close() }()
	br := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		e.mu.Lock()
		e.received = append(e.received, r)
		e.body = append(e.body, string(body))
		e.mu.Unlock()
		if !h(conn, r) {
			return
		}
	}
}

// crash closes the sockets of the endpoint as the kernel does when its process is killed.
func (e *endpoint) crash() {
	_ = e.listener.Close()
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, conn := range e.conns {
		_ = conn.Close()
	}
}

func (e *endpoint) requests() []*http.Request {
	e.mu.Lock()
	defer e.mu.Unlock()

	return append([]*http.Request(nil), e.received...)
}

// reply writes a complete response. It reports whether the write succeeded.
func reply(conn net.Conn, r *http.Request, status int, body string) bool {
	_, err := fmt.Fprintf(conn, "HTTP/1.1 %d X\r\nName: %s\r\nSeal: s\r\nContent-Length: %d\r\n\r\n%s", status, r.Header.Get("Name"), len(body), body)

	return err == nil
}

// stream writes the header of a streamed response and events, without the
// terminating chunk.
func stream(conn net.Conn, r *http.Request, events ...string) {
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nName: %s\r\nSeal: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", r.Header.Get("Name"))
	for _, e := range events {
		chunk(conn, e)
	}
}

func chunk(conn net.Conn, text string) { _, _ = fmt.Fprintf(conn, "%x\r\n%s\r\n", len(text), text) }

// events returns the encoded events numbered from through to.
func events(from, to int) string {
	var b strings.Builder
	for i := from; i <= to; i++ {
		fmt.Fprintf(&b, "id: %d\ndata: d%d\n\n", i, i)
	}

	return b.String()
}

// system is a running forwarder with the endpoints of one service.
type system struct {
	*Forwarder
	stop func()
	done chan error
}

func start(t *testing.T, endpoints ...*endpoint) *system {
	return startWith(t, func(*Forwarder) {}, endpoints...)
}

// startWith calls adjust before the forwarder runs.
func startWith(t *testing.T, adjust func(*Forwarder), endpoints ...*endpoint) *system {
	f, err := New(Options{
		Director: director.Options{
			Name: "n", KeyLease: time.Hour, FreshView: time.Hour, AssumedNodes: 1, RetryWindow: time.Minute, RetrySlack: 1000, ColdSlack: 1,
		},
		Protocol: protocol{}, Logger: discardSink{}, Meter: discardSink{}, Callers: netip.MustParseAddrPort("127.0.0.1:0"), Nodes: netip.MustParseAddrPort("127.0.0.1:0"),
		Clock: time.Now, MaxBodyBytes: 1 << 20, MaxHeaderBytes: 8 << 10, MaxConnections: 100, MaxIdleConnections: 100, MemoryBudget: 256 << 20, GracePeriod: 30 * time.Second,
	})
	if err != nil {
		t.Fatal(err)
	}
	adjust(f)
	route := func(prefix string, kind router.Kind, resumable bool) router.Route {
		return router.Route{
			Name: prefix, Host: "h", Prefix: prefix, Kind: kind, Resumable: resumable, Timeout: 2 * longWait,
			LatencyTarget: 5 * time.Second, Attempts: 3, Shares: []router.Share{{Service: "s", Weight: 1}},
		}
	}
	table, err := router.New(router.Definition{
		Version: 1, Services: []router.Service{{Name: "s", ColdRate: 1}},
		Routes: []router.Route{
			route("/safe/", router.Safe, false), route("/unsafe/", router.Unsafe, false),
			withShortTimeout(route("/brief/", router.Unsafe, false)), withShortTarget(route("/quick/", router.Safe, false)),
			route("/stream/", router.Stream, false), route("/resume/", router.Stream, true),
			withLongPauses(route("/calm/", router.Stream, true)),
		},
		Accounts: []router.Account{{Name: "club"}}, Keys: map[string]string{"k": "club"},
	})
	if err != nil {
		t.Fatal(err)
	}
	entries := make([]registrar.Entry, 0, len(endpoints))
	for i, e := range endpoints {
		entries = append(entries, registrar.Entry{ID: fmt.Sprint("e", i), Service: "s", Address: e.addr})
	}
	f.Post(director.TableLoaded{Table: table})
	f.Post(director.EntriesListed{Entries: entries})
	f.Post(director.ViewConfirmed{At: time.Now()})
	ctx, cancel := context.WithCancel(context.Background())
	s := &system{Forwarder: f, stop: cancel, done: make(chan error, 1)}
	go func() { s.done <- f.Run(ctx) }()

	return s
}

// withShortTimeout returns the route with a short timeout.
func withShortTimeout(r router.Route) router.Route {
	r.Timeout = 100 * time.Millisecond

	return r
}

// withLongPauses returns the route with a pause that is longer than any test.
func withLongPauses(r router.Route) router.Route {
	r.MaxPause = longWait

	return r
}

// withShortTarget returns the route with a short latency target.
func withShortTarget(r router.Route) router.Route {
	r.LatencyTarget = 10 * time.Millisecond

	return r
}

// caller is a connection to the forwarder.
type caller struct {
	net.Conn
	br *bufio.Reader
}

func (s *system) dial(c *qt.C) *caller { return dial(c, s.Addr()) }

func dial(c *qt.C, address netip.AddrPort) *caller {
	conn, err := net.Dial("tcp", address.String())
	c.Assert(err, qt.IsNil)
	c.Assert(conn.SetDeadline(time.Now().Add(20*time.Second)), qt.IsNil)
	c.Cleanup(func() { _ = conn.Close() })

	return &caller{conn, bufio.NewReader(conn)}
}

func (c *caller) send(method, target, name, body string) {
	_, _ = fmt.Fprintf(c, "%s %s HTTP/1.1\r\nHost: h\r\nName: %s\r\nKey: k\r\nAccount: forged\r\nConnection: X-Hop\r\nX-Hop: 1\r\nContent-Length: %d\r\n\r\n%s", method, target, name, len(body), body)
}

// receive reads a response. The error is that of reading the body, if any.
func (c *caller) receive() (resp *http.Response, body string, err error) {
	resp, err = http.ReadResponse(c.br, nil)
	if err != nil {
		return nil, "", err
	}
	b, err := io.ReadAll(resp.Body)

	return resp, string(b), err
}
