package administrator

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"snipedyke/internal/logger"
)

type fakeNode struct {
	mu      sync.Mutex
	ready   bool
	left    bool
	stopped bool
	orders  []Order
}

func (n *fakeNode) Ready() bool { return n.ready }

func (n *fakeNode) Status() (*Status, error) {
	if n.stopped {
		return nil, &Error{Op: "status", Kind: KindStopped}
	}
	n.mu.Lock()
	defer n.mu.Unlock()

	return &Status{
		Versions: Versions{Node: "a", Catalogue: 7, Refused: []Refusal{{Version: 8, Error: "entries-000: line 3"}}},
		Orders:   n.orders,
		Decisions: []Decision{
			{ID: 1, Entry: "x", Class: "chat", Verdict: "overload"}, {ID: 2, Entry: "y", Class: "chat", Verdict: "granted"},
		},
	}, nil
}

func (n *fakeNode) CreateOrder(o Order) error {
	if o.Centre == "nowhere" {
		return &Error{Op: "give", Kind: KindNotFound, Err: errors.New("no data centre \"nowhere\"")}
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.orders = append(n.orders, o)

	return nil
}

func (n *fakeNode) Cancel(id string) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if len(n.orders) == 0 || n.orders[0].ID != id {
		return &Error{Op: "cancel", Kind: KindNotFound}
	}
	n.orders[0].Cancelled = true

	return nil
}

func (n *fakeNode) Leave() { n.left = true }

func (n *fakeNode) WriteTrace(w io.Writer) error {
	_, err := w.Write([]byte("trace"))

	return err
}

func (n *fakeNode) WriteMetrics(w io.Writer) { _, _ = w.Write([]byte("snipedyke_up 1\n")) }

// startAdministrator runs an administrator and returns it with a client that uses
// the token.
func startAdministrator(c *qt.C, n Node, token string) (*Administrator, *Client) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	a := New(Options{Listener: l, Token: "right", Node: n, Logger: logger.New(logger.Options{})})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- a.Run(ctx) }()
	c.Cleanup(func() {
		cancel()
		c.Check(<-done, qt.IsNil)
	})

	return a, NewClient(a.Addr(), token)
}

func kindOf(err error) Kind {
	var e *Error
	if errors.As(err, &e) {
		return e.Kind
	}

	return ""
}

// Guards against administration calls that are served without the correct token.
func TestCallsRequireToken(t *testing.T) {
	c := qt.New(t)
	n := &fakeNode{}
	for _, token := range []string{"", "wrong", "rights"} {
		_, client := startAdministrator(c, n, token)
		_, err := client.Status(c.Context())
		c.Check(kindOf(err), qt.Equals, KindUnauthorized)
		c.Check(kindOf(client.Leave(c.Context())), qt.Equals, KindUnauthorized)
		_, err = client.CreateOrder(c.Context(), OrderRequest{Centre: "kochi"})
		c.Check(kindOf(err), qt.Equals, KindUnauthorized)
		c.Check(kindOf(client.Trace(c.Context(), io.Discard)), qt.Equals, KindUnauthorized)
	}
	c.Check(n.left, qt.IsFalse)
	c.Check(n.orders, qt.HasLen, 0)
}

// Guards against a part of a request that is served as another call.
func TestNoPartOfARequestIsServed(t *testing.T) {
	c := qt.New(t)
	n := &fakeNode{}
	a, _ := startAdministrator(c, n, "")
	const inner = "POST /v1/leave HTTP/1.1\r\nHost: n\r\nAuthorization: Bearer right\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
	for _, line := range []string{"POST /nowhere HTTP/1.1", "GET /healthz HTTP/1.1", "GET /v1/status HTTP/1.1"} {
		conn, err := net.Dial("tcp", a.Addr().String())
		c.Assert(err, qt.IsNil)
		c.Assert(conn.SetDeadline(time.Now().Add(15*time.Second)), qt.IsNil)
		_, err = conn.Write([]byte(line + "\r\nHost: n\r\nTransfer-Encoding: identity\r\n\r\n" + inner))
		c.Assert(err, qt.IsNil)
		_, _ = io.ReadAll(conn)
		_ = conn.Close()
		c.Check(n.left, qt.IsFalse, qt.Commentf("%s", line))
	}
}

// Guards against an error message that repeats what was received, such as the token in the
// next call on a connection that callers share.
func TestErrorsDoNotRepeatTheInput(t *testing.T) {
	c := qt.New(t)
	a, _ := startAdministrator(c, &fakeNode{}, "")
	for _, fields := range []string{"Transfer-Encoding: gzip", "Content-Length: x", "A\x00: b"} {
		conn, err := net.Dial("tcp", a.Addr().String())
		c.Assert(err, qt.IsNil)
		c.Assert(conn.SetDeadline(time.Now().Add(15*time.Second)), qt.IsNil)
		_, err = conn.Write([]byte("GET /v1/status HTTP/1.1\r\nAuthorization: Bearer right\r\n" + fields + "\r\n\r\n"))
		c.Assert(err, qt.IsNil)
		received, _ := io.ReadAll(conn)
		_ = conn.Close()
		c.Check(bytes.Contains(received, []byte("right")), qt.IsFalse, qt.Commentf("%s: %s", fields, received))
	}
}

// Guards against health checks, readiness checks or metrics that need a token or
// return the wrong result.
func TestHealthReadinessAndMetrics(t *testing.T) {
	c := qt.New(t)
	n := &fakeNode{}
	a, _ := startAdministrator(c, n, "")
	get := func(path string) (int, string) {
		answer, err := http.Get("http://" + a.Addr().String() + path)
		c.Assert(err, qt.IsNil)
		defer closeBody(answer)
		body, err := io.ReadAll(answer.Body)
		c.Assert(err, qt.IsNil)

		return answer.StatusCode, string(body)
	}
	code, _ := get("/healthz")
	c.Check(code, qt.Equals, http.StatusOK)
	code, _ = get("/readyz")
	c.Check(code, qt.Equals, http.StatusServiceUnavailable)
	n.ready = true
	code, _ = get("/readyz")
	c.Check(code, qt.Equals, http.StatusOK)
	_, body := get("/metrics")
	c.Check(body, qt.Equals, "snipedyke_up 1\n")
}

// Guards against calls whose parameters, effect or response are lost between client
// and node.
func TestClientCalls(t *testing.T) {
	c := qt.New(t)
	n := &fakeNode{}
	_, client := startAdministrator(c, n, "right")
	ctx := c.Context()
	v, err := client.Versions(ctx)
	c.Assert(err, qt.IsNil)
	c.Check(v.Refused[0].Error, qt.Equals, "entries-000: line 3")
	d, err := client.Decisions(ctx, Filter{Entry: "x"})
	c.Assert(err, qt.IsNil)
	c.Check(d, qt.DeepEquals, []Decision{{ID: 1, Entry: "x", Class: "chat", Verdict: "overload"}})
	d, err = client.Decisions(ctx, Filter{Request: 2, Class: "chat"})
	c.Assert(err, qt.IsNil)
	c.Check(d[0].Verdict, qt.Equals, "granted")

	order, err := client.CreateOrder(ctx, OrderRequest{Centre: "kochi"})
	c.Assert(err, qt.IsNil)
	c.Check(order.Remaining, qt.Equals, time.Hour)
	orders, err := client.Orders(ctx)
	c.Assert(err, qt.IsNil)
	c.Check(orders, qt.DeepEquals, []Order{order})
	c.Check(client.Cancel(ctx, order.ID), qt.IsNil)
	c.Check(kindOf(client.Cancel(ctx, "no/such")), qt.Equals, KindNotFound)
	c.Check(n.orders[0].Cancelled, qt.IsTrue)

	var trace bytes.Buffer
	c.Check(client.Trace(ctx, &trace), qt.IsNil)
	c.Check(trace.String(), qt.Equals, "trace")
	c.Check(client.Leave(ctx), qt.IsNil)
	c.Check(n.left, qt.IsTrue)
	n.stopped = true
	_, err = client.Queues(ctx)
	c.Check(kindOf(err), qt.Equals, KindStopped)
}

// Guards against orders that are accepted without a single valid target, or with a
// duration out of range.
func TestInvalidOrdersAreRejected(t *testing.T) {
	c := qt.New(t)
	n := &fakeNode{}
	_, client := startAdministrator(c, n, "right")
	for _, req := range []OrderRequest{
		{}, {Centre: "kochi", Endpoint: "e"}, {Centre: "kochi", Duration: 25 * time.Hour}, {Centre: "kochi", Duration: -1},
	} {
		_, err := client.CreateOrder(c.Context(), req)
		c.Check(kindOf(err), qt.Equals, KindInvalidInput, qt.Commentf("%v", req))
	}
	_, err := client.CreateOrder(c.Context(), OrderRequest{Centre: "nowhere"})
	c.Check(kindOf(err), qt.Equals, KindNotFound)
	c.Check(n.orders, qt.HasLen, 0)
}

// Guards against a Run that does not return because its context was cancelled
// before the server had started.
func TestRunReturnsWhenCancelledAtStart(t *testing.T) {
	c := qt.New(t)
	for range 20 {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		c.Assert(err, qt.IsNil)
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		c.Check(New(Options{Listener: l, Node: &fakeNode{}, Logger: logger.New(logger.Options{})}).Run(ctx), qt.IsNil)
	}
}
