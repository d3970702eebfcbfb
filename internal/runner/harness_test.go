package runner

import (
	"bufio"
	"context"
	"crypto/sha256"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sourcegraph/conc"

	"snipedyke/internal/dispatcher"
	"snipedyke/internal/listener"
	"snipedyke/internal/reducer"
	"snipedyke/pkg/cataloguer"
	"snipedyke/pkg/encoder"
)

// scriptedReducer is a reducer that dispatches each request to the endpoint named
// like its service, and answers with the result. Its hooks replace single steps.
type scriptedReducer struct {
	catalogue *cataloguer.Catalogue
	requests  map[uint64]reducer.Request
	// events receives all events except Tick and Progressed, unless it is nil.
	events chan reducer.Event
	// onArrived, if set, returns the effects of an Arrived event.
	onArrived func(reducer.Request) []reducer.Effect
	// onEnded, if set, returns the effects of an Ended event, or nil for the
	// default effects.
	onEnded func(reducer.Ended) []reducer.Effect
	// expires, if set, returns the expiry time of a dispatch.
	expires func(now time.Time) time.Time
}

func (s *scriptedReducer) Ready(time.Time) bool             { return true }
func (s *scriptedReducer) Catalogue() *cataloguer.Catalogue { return s.catalogue }

func (s *scriptedReducer) Reduce(now time.Time, e reducer.Event) []reducer.Effect {
	var effects []reducer.Effect
	switch e := e.(type) {
	case reducer.Tick, reducer.Progressed:
		return nil
	case reducer.Arrived:
		s.requests[e.Request.ID] = e.Request
		effects = s.arrivedEffects(now, e.Request)
	case reducer.CallerGone:
		if !s.requests[e.ID].Once {
			effects = []reducer.Effect{reducer.Cancel{ID: e.ID, Permit: e.ID}}
		}
	case reducer.Ended:
		effects = s.endedEffects(e)
	case reducer.ShutdownRequested:
		effects = []reducer.Effect{reducer.Left{}}
	}
	if s.events == nil {
		return effects
	}
	select {
	case s.events <- e:
	default:
		panic("the test does not receive events fast enough")
	}

	return effects
}

func (s *scriptedReducer) arrivedEffects(now time.Time, r reducer.Request) []reducer.Effect {
	if s.onArrived != nil {
		return s.onArrived(r)
	}
	d := reducer.Dispatch{ID: r.ID, Permit: r.ID, Endpoint: r.Service, Attempt: 1, Tier: 2, Once: r.Once}
	if s.expires != nil {
		d.Expires = s.expires(now)
	}

	return []reducer.Effect{d}
}

func (s *scriptedReducer) endedEffects(e reducer.Ended) []reducer.Effect {
	if s.onEnded != nil {
		if effects := s.onEnded(e); effects != nil {
			return effects
		}
	}
	run := encoder.NotRun
	if e.Written {
		run = encoder.MayHaveRun
	}
	reason := reducer.ReasonEndpointLost
	switch {
	case e.Answer != nil && e.Outcome == encoder.OutcomeOK:
		return []reducer.Effect{reducer.Reply{ID: e.ID, Answer: *e.Answer, Run: encoder.Ran}}
	case e.Outcome == encoder.OutcomeOK:
		return []reducer.Effect{reducer.Close{ID: e.ID}}
	case e.Outcome == encoder.OutcomeCancelled:
		reason = reducer.ReasonCallerGone
	case e.Outcome == encoder.OutcomeUnused:
		reason = reducer.ReasonStaleView
	case e.Outcome == encoder.OutcomeError:
		reason = reducer.ReasonEndpointError
	}
	if e.Relayed {
		return []reducer.Effect{reducer.Close{ID: e.ID, Reason: reason}}
	}

	return []reducer.Effect{reducer.Refuse{ID: e.ID, Reason: reason, Run: run, RetryAfter: time.Second}}
}

// endpoint is a server whose requests are handled by a function of the test.
type endpoint struct {
	ln net.Listener
	wg conc.WaitGroup

	mu    sync.Mutex
	conns []net.Conn
}

func startEndpoint(t testing.TB, serve func(conn net.Conn, r *http.Request)) *endpoint {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	e := &endpoint{ln: ln}
	e.wg.Go(func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			e.mu.Lock()
			e.conns = append(e.conns, conn)
			e.mu.Unlock()
			e.wg.Go(func() {
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
					r.Body = io.NopCloser(strings.NewReader(string(body)))
					serve(conn, r)
				}
			})
		}
	})
	t.Cleanup(func() {
		_ = ln.Close()
		e.mu.Lock()
		for _, conn := range e.conns {
			_ = conn.Close()
		}
		e.mu.Unlock()
		e.wg.Wait()
	})

	return e
}

func (e *endpoint) address() netip.AddrPort { return e.ln.Addr().(*net.TCPAddr).AddrPort() }

// unusedAddr is the address of endpoints that a test does not connect to.
var unusedAddr = netip.MustParseAddrPort("127.0.0.1:1")

const callerKey = "sk-test"

// testCatalogue returns a catalogue with a model service "draft" and a plain
// service "desk", each with one endpoint of the same name.
func testCatalogue(draft, desk netip.AddrPort) *cataloguer.Catalogue {
	entry := &cataloguer.Entry{Name: "club", Class: "chat"}

	return &cataloguer.Catalogue{
		Version: 1,
		Services: map[string]*cataloguer.Service{
			"draft": {Name: "draft", Kind: cataloguer.ModelService, Models: []string{"small"}},
			"desk": {Name: "desk", Kind: cataloguer.PlainService, Routes: []cataloguer.Route{
				{Method: "GET", Path: "/status", Idempotent: true},
				{Method: "POST", Path: "/pay", Class: "pay"},
			}},
		},
		Endpoints: map[string]*cataloguer.Endpoint{
			"draft": {Name: "draft", Service: "draft", Address: draft},
			"desk":  {Name: "desk", Service: "desk", Address: desk},
		},
		Entries: map[string]*cataloguer.Entry{"club": entry},
		Keys:    map[cataloguer.KeyHash]*cataloguer.Entry{sha256.Sum256([]byte(callerKey)): entry},
	}
}

// peerMessages receives the messages that are sent to peers.
type peerMessages chan encoder.Message

func (p peerMessages) Send(_ string, m encoder.Message) { p <- m }

// testNode is a running node with a scriptedReducer.
type testNode struct {
	*Node
	script *scriptedReducer
	peers  peerMessages
	client *http.Client
	// runReturned is closed when Run has returned.
	runReturned chan struct{}
}

func startNode(t testing.TB, c *cataloguer.Catalogue, change func(*Options, *scriptedReducer)) *testNode {
	opts := Options{
		Reducer:    reducer.Options{Self: "n1", Incarnation: 7, Secret: []byte("secret")},
		Listener:   listener.Options{Address: netip.MustParseAddrPort("127.0.0.1:0")},
		Dispatcher: dispatcher.Options{},
	}
	n := &testNode{
		script:      &scriptedReducer{catalogue: c, requests: make(map[uint64]reducer.Request), events: make(chan reducer.Event, 4096)},
		peers:       make(peerMessages, 100),
		client:      &http.Client{Transport: &http.Transport{}},
		runReturned: make(chan struct{}),
	}
	opts.Peers = n.peers
	if change != nil {
		change(&opts, n.script)
	}
	var err error
	n.Node, err = newNode(opts, n.script)
	qt.Assert(t, err, qt.IsNil)
	ctx, cancel := context.WithCancel(context.Background())
	var wg conc.WaitGroup
	wg.Go(func() {
		defer close(n.runReturned)
		qt.Check(t, n.Run(ctx), qt.IsNil)
	})
	t.Cleanup(func() {
		n.client.CloseIdleConnections()
		cancel()
		wg.Wait()
	})
	// The first call of reduce puts the catalogue in force.
	qt.Assert(t, n.inspect(func() { n.reduce(reducer.Tick{}) }), qt.IsTrue)

	return n
}

// request returns an authenticated request to the node.
func (n *testNode) request(t testing.TB, method, path, body string) *http.Request {
	r, err := http.NewRequest(method, "http://"+n.Addr().String()+path, strings.NewReader(body))
	qt.Assert(t, err, qt.IsNil)
	r.Header.Set("Authorization", "Bearer "+callerKey)

	return r
}

// do sends a request and returns the response and its complete body.
func (n *testNode) do(t testing.TB, r *http.Request) (*http.Response, string) {
	resp, err := n.client.Do(r)
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	qt.Assert(t, err, qt.IsNil)

	return resp, string(body)
}

// await waits for the next event of type E and skips others.
func await[E reducer.Event](t testing.TB, n *testNode) E {
	timeout := time.After(20 * time.Second)
	for {
		select {
		case e := <-n.script.events:
			if e, ok := e.(E); ok {
				return e
			}
		case <-timeout:
			var want E
			t.Fatalf("timeout: no event of type %T", want)
		}
	}
}

const (
	chatBody   = `{"model":"small","messages":[{"role":"user","content":"hi"}]}`
	streamBody = `{"model":"small","stream":true,"messages":[{"role":"user","content":"hi"}]}`
	sseHeader  = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
	jsonHeader = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: "
)

// token returns a chunk with an event that holds one token.
func token(text string) string {
	return chunk(`data: {"choices":[{"delta":{"content":"` + text + `"}}]}` + "\n\n")
}

// chunk encodes s as an HTTP chunk.
func chunk(s string) string {
	const hex = "0123456789abcdef"

	return string([]byte{hex[len(s)>>8&15], hex[len(s)>>4&15], hex[len(s)&15]}) + "\r\n" + s + "\r\n"
}

func send(conn net.Conn, parts ...string) {
	_, _ = io.WriteString(conn, strings.Join(parts, ""))
}
