package forwarder

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"snipedyke/internal/director"
	"snipedyke/pkg/encoder"
)

// startCutOff starts a node whose endpoints refuse connections and that knows the other
// nodes.
func startCutOff(t *testing.T, nodes ...*system) *system {
	// The port of a listener that was closed may get another one, so these are reserved ports.
	endpoints := make([]*endpoint, 3)
	for i := range endpoints {
		endpoints[i] = &endpoint{addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(1+i))}
	}
	s := start(t, endpoints...)
	var known director.NodesKnown
	for _, n := range nodes {
		known.List = append(known.List, director.Node{Address: n.NodeAddr()})
	}
	s.Post(known)

	return s
}

// awaitNoMemory waits until no message of the node is accounted for.
func awaitNoMemory(c *qt.C, nodes ...*system) {
	for _, n := range nodes {
		for end := time.Now().Add(longWait); n.Memory().Used > 0; time.Sleep(time.Millisecond) {
			c.Assert(time.Now().Before(end), qt.IsTrue)
		}
	}
}

// Guards against requests that fail, or that lose a part of themselves or of their answers,
// at a node that has lost its links to all endpoints.
func TestCutOffNodeHandsRequestsOver(t *testing.T) {
	c := qt.New(t)
	large := strings.Repeat("x", 900<<10)
	e := newEndpoint(t, func(conn net.Conn, r *http.Request) bool {
		switch {
		case strings.HasPrefix(r.URL.Path, "/resume/"):
			stream(conn, r, events(1, 4), events(5, 6))
			_, err := io.WriteString(conn, "0\r\n\r\n")

			return err == nil
		case r.Method == http.MethodHead:
			_, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nName: %s\r\nSeal: s\r\nContent-Length: 7\r\n\r\n", r.Header.Get("Name"))

			return err == nil
		default:
			return reply(conn, r, 404, large)
		}
	})
	accepted := &countingListener{}
	b := startWith(t, func(f *Forwarder) {
		accepted.Listener = f.nodes.listener.Listener
		f.nodes.listener.Listener = accepted
	}, e)
	a := startCutOff(t, b)
	call := a.dial(c)
	for i, test := range []struct{ method, target, body, want string }{
		{"POST", "/unsafe/x", "body", large},
		{"POST", "/safe/a//b/%2e%2E?q=%20", large, large},
		{"POST", "/resume/x", "prompt", events(1, 6)},
		{"GET", "/safe/x", "", large},
		{"HEAD", "/safe/x", "", ""},
	} {
		note := qt.Commentf("%s %s", test.method, test.target)
		call.send(test.method, test.target, fmt.Sprint("r", i), test.body)
		request, _ := http.NewRequest(test.method, "/", nil)
		resp, err := http.ReadResponse(call.br, request)
		c.Assert(err, qt.IsNil, note)
		body, err := io.ReadAll(resp.Body)
		c.Check(err, qt.IsNil, note)
		c.Check(string(body), qt.Equals, test.want, note)
		c.Check(resp.Header.Get("Seal"), qt.Equals, "s", note)
		c.Assert(e.requests(), qt.HasLen, i+1, note)
		r := e.requests()[i]
		c.Check([]string{r.Method, r.RequestURI, r.Host, r.Header.Get("Name"), e.body[i]}, qt.DeepEquals, []string{test.method, test.target, "h", fmt.Sprint("r", i), test.body}, note)
		c.Check([]string{r.Header.Get("Account"), r.Header.Get("Key"), r.Header.Get("Handover"), r.Header.Get("X-Hop")}, qt.DeepEquals, []string{"club", "", "", ""}, note)
	}
	c.Check(accepted.count.Load(), qt.Equals, int32(1), qt.Commentf("connections to the other node"))
	awaitNoMemory(c, a, b)
}

// Guards against requests that are served directly but not by way of another node, as of
// their framing, version or size.
func TestAnyRequestCanBeHandedOver(t *testing.T) {
	c := qt.New(t)
	direct := start(t, newEndpoint(t, func(conn net.Conn, r *http.Request) bool {
		if strings.HasPrefix(r.URL.Path, "/stream/") {
			stream(conn, r, events(1, 4))
			_, err := io.WriteString(conn, "0\r\n\r\n")

			return err == nil
		}

		return reply(conn, r, 200, "done")
	}))
	cutOff := startCutOff(t, direct)
	const fields = "Host: h\r\nName: r1\r\nKey: k\r\n"
	full := "GET /safe/x HTTP/1.1\r\n" + fields + "X-Long: \r\n\r\n"
	full = strings.Replace(full, "X-Long: ", "X-Long: "+strings.Repeat("x", 8<<10-len(full)), 1)
	for name, request := range map[string]string{
		"chunked":       "POST /unsafe/x HTTP/1.1\r\n" + fields + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
		"empty chunked": "POST /unsafe/x HTTP/1.1\r\n" + fields + "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"old version":   "GET /safe/x HTTP/1.0\r\n" + fields + "\r\n",
		"old stream":    "POST /stream/x HTTP/1.0\r\n" + fields + "Content-Length: 0\r\n\r\n",
		"large head":    full,
	} {
		var answers [2]string
		for i, s := range []*system{direct, cutOff} {
			call := s.dial(c)
			_, _ = io.WriteString(call, request)
			resp, body, err := call.receive()
			c.Assert(err, qt.IsNil, qt.Commentf("%s", name))
			answers[i] = fmt.Sprint(resp.StatusCode, body)
		}
		c.Check(answers[0][:3], qt.Equals, "200", qt.Commentf("%s", name))
		c.Check(answers[1], qt.Equals, answers[0], qt.Commentf("%s", name))
	}
}

// countingListener counts the connections that it accepts.
type countingListener struct {
	net.Listener
	count atomic.Int32
}

func (l *countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err == nil {
		l.count.Add(1)
	}

	return conn, err
}

// Guards against callers who pass for a node, and against a node that takes a request of
// another one for that of a caller, or an error of its own for that of an endpoint.
func TestOnlyNodesHandRequestsOver(t *testing.T) {
	c := qt.New(t)
	e := newEndpoint(t, func(conn net.Conn, r *http.Request) bool {
		_, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nName: %s\r\nSeal: s\r\nRefused: forged\r\nContent-Length: 0\r\n\r\n", r.Header.Get("Name"))

		return err == nil
	})
	s := start(t, e)
	callers, nodes := s.dial(c), dial(c, s.NodeAddr())
	for _, test := range []struct {
		call             *caller
		path, handover   string
		status           int
		refused, reached string
	}{
		{callers, "/safe/x", "9,true", 200, "forged", "reached"},
		{callers, "/none", "9,true", 404, "", ""},
		{nodes, "/safe/x", "1,true", 200, "", "reached"},
		{nodes, "/none", "1,true", 404, "no_route", ""},
		{nodes, "/safe/x", "soon", 400, "malformed", ""},
	} {
		note := qt.Commentf("%+v", test)
		before := len(e.requests())
		_, _ = fmt.Fprintf(test.call, "POST %s HTTP/1.1\r\nHost: h\r\nName: r1\r\nKey: k\r\nHandover: %s\r\nContent-Length: 0\r\n\r\n", test.path, test.handover)
		resp, _, err := test.call.receive()
		c.Assert(err, qt.IsNil, note)
		c.Check(resp.StatusCode, qt.Equals, test.status, note)
		c.Check(resp.Header.Get("Refused"), qt.Equals, test.refused, note)
		c.Check(len(e.requests())-before, qt.Equals, len(test.reached)/len("reached"), note)
		for _, r := range e.requests()[before:] {
			c.Check(r.Header.Get("Handover"), qt.Equals, "", note)
		}
	}
}

// Guards against more connections of other nodes than the limit, and against requests on them
// that may have run as far as the other node knows.
func TestConnectionsOfNodesAreLimited(t *testing.T) {
	c := qt.New(t)
	s := startWith(t, func(f *Forwarder) { f.nodes.listener.limit = 1 }, newEndpoint(t, func(conn net.Conn, r *http.Request) bool { return reply(conn, r, 200, "") }))
	for _, want := range []string{"200 ", "503 not_ready"} {
		call := dial(c, s.NodeAddr())
		_, _ = io.WriteString(call, "POST /unsafe/x HTTP/1.1\r\nHost: h\r\nName: r1\r\nKey: k\r\nHandover: 1,true\r\nContent-Length: 0\r\n\r\n")
		resp, _, err := call.receive()
		c.Assert(err, qt.IsNil)
		c.Check(fmt.Sprint(resp.StatusCode, " ", resp.Header.Get("Refused")), qt.Equals, want)
		c.Check(resp.Close, qt.Equals, want != "200 ")
	}
}

// Guards against an unsafe request that fails, or runs twice, because a node refuses it before
// it has read the body.
func TestRefusedRequestRunsOnceAtAnotherNode(t *testing.T) {
	c := qt.New(t)
	done := func(conn net.Conn, r *http.Request) bool { return reply(conn, r, 200, "done") }
	e, full := newEndpoint(t, done), newEndpoint(t, done)
	nodes := []*system{start(t, e), startWith(t, func(f *Forwarder) { f.nodes.listener.limit = 1 }, full)}
	dial(c, nodes[1].NodeAddr()).send("POST", "/safe/x", "r0", "")
	for i := range 8 {
		call := startCutOff(t, nodes...).dial(c)
		call.send("POST", "/unsafe/x", fmt.Sprint("r", i), strings.Repeat("x", 900<<10))
		resp, body, err := call.receive()
		c.Assert(err, qt.IsNil)
		c.Check(resp.StatusCode, qt.Equals, 200, qt.Commentf("%s", body))
		c.Check(e.requests(), qt.HasLen, i+1)
	}
	c.Check(full.requests(), qt.HasLen, 0)
}

// Guards against an error of the node that takes a request which reaches the caller as another
// one, or without its retry delay.
func TestErrorsOfTheOtherNodeAreThoseOfDirectService(t *testing.T) {
	busy := func(conn net.Conn, r *http.Request) bool {
		_, err := fmt.Fprintf(conn, "HTTP/1.1 503 X\r\nName: %s\r\nDeclined: 1\r\nBusy: 1\r\nContent-Length: 0\r\n\r\n", r.Header.Get("Name"))

		return err == nil
	}
	breaks := func(net.Conn, *http.Request) bool { return false }
	for name, handle := range map[string]handler{"busy": busy, "breaks": breaks} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			answers := make([]string, 0, 2)
			for _, handed := range []bool{false, true} {
				s := start(t, newEndpoint(t, handle))
				if handed {
					s = startCutOff(t, s)
				}
				call := s.dial(c)
				call.send("POST", "/unsafe/x", "r1", "")
				resp, body, err := call.receive()
				c.Assert(err, qt.IsNil)
				answers = append(answers, fmt.Sprint(resp.StatusCode, body, resp.Header.Get("Retry-After") != ""))
			}
			c.Check(answers[1], qt.Equals, answers[0])
		})
	}
}

// Guards against an unsafe request that runs twice, and a safe one that fails, when the node
// that has taken it ends.
func TestNodeThatHasTakenRequestsEnds(t *testing.T) {
	c := qt.New(t)
	for path, want := range map[string]struct {
		status, runs int
	}{"/unsafe/x": {502, 1}, "/safe/x": {200, 2}} {
		var ran atomic.Int32
		var b, d *system
		nodes := []**system{&b, &d}
		for _, n := range nodes {
			*n = start(t, newEndpoint(t, func(conn net.Conn, r *http.Request) bool {
				if ran.Add(1) > 1 {
					return reply(conn, r, 200, "")
				}
				// The process of the node that has taken the request ends.
				closeBusy(b, d)

				return false
			}))
		}
		call := startCutOff(t, b, d).dial(c)
		call.send("POST", path, "r1", "")
		resp, body, err := call.receive()
		c.Assert(err, qt.IsNil)
		c.Check(resp.StatusCode, qt.Equals, want.status, qt.Commentf("%s: %s", path, body))
		c.Check(int(ran.Load()), qt.Equals, want.runs, qt.Commentf("%s", path))
	}
}

// closeBusy cuts off the requests that have been handed over to the nodes by now.
func closeBusy(nodes ...*system) {
	var busy []net.Conn
	for _, n := range nodes {
		l := n.nodes.listener
		l.mu.Lock()
		for conn := range l.conns {
			if conn.state.Load() == connActive {
				busy = append(busy, conn.Conn)
			}
		}
		l.mu.Unlock()
	}
	for _, conn := range busy {
		_ = conn.Close()
	}
}

// handoverMeter counts the requests that are handed over.
type handoverMeter struct {
	discardSink
	count atomic.Int32
}

func (m *handoverMeter) Count(c director.Count) {
	if c.Counter == director.CounterHandovers {
		m.count.Add(1)
	}
}

// Guards against requests that pass to and fro between two nodes which are both cut off.
func TestCutOffNodesDoNotHandOverToEachOther(t *testing.T) {
	c := qt.New(t)
	nodes := []*system{startCutOff(t), startCutOff(t)}
	var meter handoverMeter
	for i, s := range nodes {
		s.mu.Lock()
		s.opts.Meter = &meter
		s.mu.Unlock()
		s.Post(director.NodesKnown{List: []director.Node{{Address: nodes[1-i].NodeAddr()}}})
	}
	for i, s := range nodes {
		for _, path := range []string{"/safe/x", "/unsafe/x"} {
			call := s.dial(c)
			call.send("POST", path, "r1", "")
			resp, _, err := call.receive()
			c.Assert(err, qt.IsNil)
			c.Check(resp.StatusCode, qt.Equals, 503, qt.Commentf("%s at node %d", path, i))
		}
	}
	c.Check(meter.count.Load() <= 4, qt.IsTrue, qt.Commentf("handed over %d times", meter.count.Load()))
	awaitNoMemory(c, nodes...)
}

// Guards against requests that use endpoints after their callers have left.
func TestCallerOfCutOffNodeLeaves(t *testing.T) {
	for _, input := range []string{"", "\r\n"} {
		t.Run(fmt.Sprintf("%q", input), func(t *testing.T) {
			c := qt.New(t)
			working, left := make(chan bool), make(chan bool, 1)
			b := start(t, newEndpoint(t, func(conn net.Conn, _ *http.Request) bool {
				working <- true
				_, err := conn.Read(make([]byte, 1))
				left <- err != nil

				return false
			}))
			a := startCutOff(t, b)
			call := a.dial(c)
			call.send("POST", "/safe/x", "r1", "")
			<-working
			_, err := call.Write([]byte(input))
			c.Assert(err, qt.IsNil)
			c.Assert(call.Close(), qt.IsNil)
			select {
			case closed := <-left:
				c.Check(closed, qt.IsTrue)
			case <-time.After(longWait):
				c.Fatal("the endpoint still works on the request")
			}
			awaitNoMemory(c, a, b)
		})
	}
}

// Guards against streams that end when the node that has taken them does, and against events
// that are lost or repeated when another node goes on.
func TestStreamGoesOnAtAnotherNode(t *testing.T) {
	c := qt.New(t)
	nodes := make([]*system, 0, 2)
	var attempts atomic.Int32
	handle := func(conn net.Conn, r *http.Request) bool {
		if attempts.Add(1) == 1 {
			stream(conn, r, events(1, 4))
			_, _ = conn.Read(make([]byte, 1))

			return false
		}
		c.Check(r.Header.Get("Event"), qt.Equals, "4")
		stream(conn, r, events(5, 6))
		_, err := io.WriteString(conn, "0\r\n\r\n")

		return err == nil
	}
	for range 2 {
		nodes = append(nodes, startWith(t, func(f *Forwarder) {
			f.opts.AnnounceOrigins = func(list []encoder.Origin) {
				go func() {
					for _, n := range nodes {
						n.Post(director.OriginsLearned{List: list, From: netip.MustParseAddr("127.0.0.2")})
					}
				}()
			}
		}, newEndpoint(t, handle)))
	}
	call := startCutOff(t, nodes...).dial(c)
	call.send("POST", "/resume/x", "r1", "")
	resp, err := http.ReadResponse(call.br, nil)
	c.Assert(err, qt.IsNil)
	body := bufio.NewReader(resp.Body)
	first := make([]byte, len(events(1, 4)))
	_, err = io.ReadFull(body, first)
	c.Assert(err, qt.IsNil)
	closeBusy(nodes...)
	rest, err := io.ReadAll(body)
	c.Check(err, qt.IsNil)
	c.Check(string(first)+string(rest), qt.Equals, events(1, 6))
}

// Guards against a stream that its caller cannot take up again at a node that is cut off.
func TestStreamIsTakenUpAtCutOffNode(t *testing.T) {
	c := qt.New(t)
	e := newEndpoint(t, func(conn net.Conn, r *http.Request) bool {
		if r.Header.Get("Event") == "" {
			stream(conn, r, events(1, 4))
			_, _ = conn.Read(make([]byte, 1))

			return false
		}
		stream(conn, r, events(5, 6))
		_, err := io.WriteString(conn, "0\r\n\r\n")

		return err == nil
	})
	s := startCutOff(t, start(t, e))
	first := s.dial(c)
	first.send("POST", "/resume/x", "r1", "")
	resp, err := http.ReadResponse(first.br, nil)
	c.Assert(err, qt.IsNil)
	_, err = io.ReadFull(resp.Body, make([]byte, len(events(1, 4))))
	c.Assert(err, qt.IsNil)
	c.Assert(first.Close(), qt.IsNil)
	second := s.dial(c)
	_, _ = io.WriteString(second, "POST /resume/x HTTP/1.1\r\nHost: h\r\nName: r2\r\nKey: k\r\nEvent: 4\r\nResumes: r1\r\nContent-Length: 0\r\n\r\n")
	_, body, err := second.receive()
	c.Assert(err, qt.IsNil)
	c.Check(body, qt.Equals, events(5, 6))
	r := e.requests()[1]
	c.Check([]string{r.Header.Get("Event"), r.Header.Get("Resumes")}, qt.DeepEquals, []string{"4", "r1"})
}

// Guards against requests that are cut off because one of the two nodes shuts down.
func TestShutdownCompletesHandedRequests(t *testing.T) {
	for name, stopped := range map[string]int{"cut off": 0, "other": 1} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			working, finish := make(chan bool), make(chan bool)
			b := start(t, newEndpoint(t, func(conn net.Conn, r *http.Request) bool {
				working <- true
				<-finish

				return reply(conn, r, 200, "done")
			}))
			nodes := []*system{startCutOff(t, b), b}
			call := nodes[0].dial(c)
			call.send("POST", "/unsafe/x", "r1", "")
			<-working
			nodes[stopped].stop()
			for nodes[stopped].Ready() {
				continue
			}
			select {
			case err := <-nodes[stopped].done:
				c.Fatalf("the shutdown has ended before the request: %v", err)
			case <-time.After(drainDelay + minConnAge):
				finish <- true
			}
			_, body, err := call.receive()
			c.Assert(err, qt.IsNil)
			c.Check(body, qt.Equals, "done")
			c.Check(<-nodes[stopped].done, qt.IsNil)
		})
	}
}
