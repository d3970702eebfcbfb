package runner

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sourcegraph/conc"

	"snipedyke/internal/reducer"
	"snipedyke/pkg/encoder"
)

// A truncated stream must not look complete to the caller.
func TestTruncatedStream(t *testing.T) {
	for name, test := range map[string]struct {
		end     string
		outcome uint8
	}{
		"clean end without terminal event": {"0\r\n\r\n", encoder.OutcomeError},
		"broken connection":                {"", encoder.OutcomeLost},
		"broken chunk":                     {"100\r\ndata", encoder.OutcomeLost},
		"end within an event":              {chunk("data: {") + "0\r\n\r\n", encoder.OutcomeError},
		"error event":                      {chunk("event: error\ndata: {}\n\n") + chunk("data: [DONE]\n\n"), encoder.OutcomeError},
		"lone carriage return":             {chunk("data: x\rdata: [DONE]\n\n"), encoder.OutcomeError},
		"no chunk":                         {"data: [DONE]\n\n", encoder.OutcomeError},
	} {
		t.Run(name, func(t *testing.T) {
			engine := startEndpoint(t, func(conn net.Conn, _ *http.Request) {
				send(conn, sseHeader, token("a"), test.end)
				_ = conn.Close()
			})
			n := startNode(t, testCatalogue(engine.address(), engine.address()), nil)
			_, body := n.do(t, n.request(t, "POST", "/v1/chat/completions", streamBody))
			qt.Check(t, await[reducer.Ended](t, n).Outcome, qt.Equals, test.outcome)
			qt.Check(t, strings.Contains(body, `"content":"a"`), qt.IsTrue)
			qt.Check(t, strings.Contains(body, "[DONE]"), qt.IsFalse)
			qt.Check(t, strings.Contains(body, "event: error\ndata: {\"error\":"), qt.IsTrue)
		})
	}
}

// A body that is truncated or has no length must not be accepted as complete.
func TestTruncatedBody(t *testing.T) {
	for name, test := range map[string]struct {
		answer  string
		outcome uint8
	}{
		"shorter than its length": {jsonHeader + "10\r\n\r\n{\"a\":", encoder.OutcomeLost},
		"without a length":        {"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n{\"a\":1}", encoder.OutcomeError},
		"broken chunk":            {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\n{\"a\"", encoder.OutcomeLost},
		"no answer":               {"", encoder.OutcomeLost},
		"not HTTP":                {"SSH-2.0\r\n\r\n", encoder.OutcomeError},
	} {
		t.Run(name, func(t *testing.T) {
			desk := startEndpoint(t, func(conn net.Conn, _ *http.Request) {
				send(conn, test.answer)
				_ = conn.Close()
			})
			n := startNode(t, testCatalogue(desk.address(), desk.address()), nil)
			resp, _ := n.do(t, n.request(t, "POST", "/services/desk/pay", "{}"))
			ended := await[reducer.Ended](t, n)
			qt.Check(t, ended.Outcome, qt.Equals, test.outcome)
			qt.Check(t, ended.Written, qt.IsTrue)
			qt.Check(t, resp.StatusCode, qt.Equals, http.StatusBadGateway)
			qt.Check(t, resp.Header.Get("Snipedyke-Run"), qt.Equals, "may-have-run")
		})
	}
}

// An endpoint that stops responding must not block its callers forever.
func TestSilentEndpointTimesOut(t *testing.T) {
	for name, test := range map[string]struct{ path, body, first string }{
		"stream":         {"/v1/chat/completions", streamBody, sseHeader + token("a")},
		"whole answer":   {"/v1/chat/completions", chatBody, ""},
		"plain call":     {"/services/desk/pay", "{}", ""},
		"half an answer": {"/services/desk/pay", "{}", jsonHeader + "4\r\n\r\npa"},
	} {
		t.Run(name, func(t *testing.T) {
			endpoint := startEndpoint(t, func(conn net.Conn, _ *http.Request) { send(conn, test.first) })
			n := startNode(t, testCatalogue(endpoint.address(), endpoint.address()), func(o *Options, _ *scriptedReducer) {
				o.Dispatcher.ReadTimeout, o.Dispatcher.ResponseTimeout = 50*time.Millisecond, 50*time.Millisecond
			})
			_, body := n.do(t, n.request(t, "POST", test.path, test.body))
			ended := await[reducer.Ended](t, n)
			qt.Check(t, ended.Outcome, qt.Equals, encoder.OutcomeTimeout)
			qt.Check(t, ended.Written, qt.IsTrue)
			qt.Check(t, strings.Contains(body, `"run":"not-run"`), qt.IsFalse)
		})
	}
}

// A 503 answer means that the request has not run only if the Snipedyke-Run
// header field says so; otherwise it may be an answer of the service itself.
func TestServiceAnswerIsNotRefusal(t *testing.T) {
	const answer = "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n"
	desk := startEndpoint(t, func(conn net.Conn, r *http.Request) {
		send(conn, answer, r.URL.Query().Get("header"), "\r\n\r\n")
	})
	n := startNode(t, testCatalogue(desk.address(), desk.address()), nil)
	for _, test := range []struct {
		method, path string
		outcome      uint8
		written      bool
		run          string
	}{
		{"POST", "/pay?header=Snipedyke-Run:not-run", encoder.OutcomeRefused, false, "not-run"},
		{"POST", "/pay?header=X-A:b", encoder.OutcomeOK, true, "ran"},
		{"GET", "/status?header=X-A:b", encoder.OutcomeRefused, true, "may-have-run"},
	} {
		resp, _ := n.do(t, n.request(t, test.method, "/services/desk"+test.path, ""))
		ended := await[reducer.Ended](t, n)
		qt.Check(t, ended.Outcome, qt.Equals, test.outcome)
		qt.Check(t, ended.Written, qt.Equals, test.written)
		qt.Check(t, resp.Header.Get("Snipedyke-Run"), qt.Equals, test.run)
	}
}

// A request must not be written after its dispatch has expired, which happens if
// the process is paused between the decision and the write.
func TestExpiredDispatchIsNotSent(t *testing.T) {
	reached := make(chan struct{}, 1)
	desk := startEndpoint(t, func(conn net.Conn, _ *http.Request) {
		reached <- struct{}{}
		_ = conn.Close()
	})
	n := startNode(t, testCatalogue(desk.address(), desk.address()), func(_ *Options, s *scriptedReducer) {
		s.expires = func(now time.Time) time.Time { return now }
	})
	resp, _ := n.do(t, n.request(t, "POST", "/services/desk/pay", "{}"))
	ended := await[reducer.Ended](t, n)
	qt.Check(t, ended.Outcome, qt.Equals, encoder.OutcomeUnused)
	qt.Check(t, ended.Written, qt.IsFalse)
	qt.Check(t, resp.Header.Get("Snipedyke-Run"), qt.Equals, "not-run")
	qt.Check(t, reached, qt.HasLen, 0)
}

// sendAndDisconnect sends a request on a new connection, waits for ready, sends further
// input and closes the connection.
func (n *testNode) sendAndDisconnect(t *testing.T, path, body, input string, ready <-chan struct{}) {
	conn, err := net.Dial("tcp", n.Addr().String())
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, n.request(t, "POST", path, body).Write(conn), qt.IsNil)
	<-ready
	send(conn, input)
	qt.Assert(t, conn.Close(), qt.IsNil)
}

// Work for a caller that has disconnected must be cancelled, and a late answer to
// it must not reach the next caller.
func TestCallerGoneCancelsWork(t *testing.T) {
	for name, test := range map[string]struct{ body, first, input string }{
		"whole answer":               {chatBody, "", ""},
		"stream before its start":    {streamBody, "", ""},
		"silent stream":              {streamBody, sseHeader + token("a"), ""},
		"whole answer, line end":     {chatBody, "", "\r\n"},
		"whole answer, next request": {chatBody, "", "GET /v1/models HTTP/1.1\r\nHost: n\r\n\r\n"},
		"silent stream, line end":    {streamBody, sseHeader + token("a"), "\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			ready, late := make(chan struct{}), make(chan struct{})
			var served atomic.Int32
			engine := startEndpoint(t, func(conn net.Conn, _ *http.Request) {
				if served.Add(1) > 1 {
					send(conn, jsonHeader, "11\r\n\r\n", `{"for":"2"}`)

					return
				}
				send(conn, test.first)
				close(ready)
				<-late
				send(conn, jsonHeader, "11\r\n\r\n", `{"for":"1"}`)
			})
			n := startNode(t, testCatalogue(engine.address(), engine.address()), nil)
			n.sendAndDisconnect(t, "/v1/chat/completions", test.body, test.input, ready)
			await[reducer.CallerGone](t, n)
			qt.Check(t, await[reducer.Ended](t, n).Outcome, qt.Equals, encoder.OutcomeCancelled)
			close(late)
			_, body := n.do(t, n.request(t, "POST", "/v1/chat/completions", chatBody))
			qt.Check(t, body, qt.Equals, `{"for":"2"}`)
		})
	}
}

// Non-idempotent work must not be cancelled when its caller disconnects.
func TestCallerGoneKeepsNonIdempotentWork(t *testing.T) {
	ready, late := make(chan struct{}), make(chan struct{})
	desk := startEndpoint(t, func(conn net.Conn, _ *http.Request) {
		close(ready)
		<-late
		send(conn, jsonHeader, "4\r\n\r\n", "paid")
	})
	n := startNode(t, testCatalogue(desk.address(), desk.address()), nil)
	n.sendAndDisconnect(t, "/services/desk/pay", "{}", "", ready)
	await[reducer.CallerGone](t, n)
	close(late)
	ended := await[reducer.Ended](t, n)
	qt.Check(t, ended.Outcome, qt.Equals, encoder.OutcomeOK)
	qt.Check(t, string(ended.Answer.Body), qt.Equals, "paid")
}

// An idle connection that the endpoint has closed must not be treated as a crash
// of the endpoint.
func TestClosedIdleConnection(t *testing.T) {
	closed := make(chan struct{}, 2)
	desk := startEndpoint(t, func(conn net.Conn, _ *http.Request) {
		send(conn, jsonHeader, "2\r\n\r\n", "ok")
		_ = conn.Close()
		closed <- struct{}{}
	})
	n := startNode(t, testCatalogue(desk.address(), desk.address()), nil)
	for range 2 {
		resp, _ := n.do(t, n.request(t, "GET", "/services/desk/status", ""))
		qt.Assert(t, resp.StatusCode, qt.Equals, 200)
		<-closed
	}
}

// Events of one stream must not reach the caller of another.
func TestStreamsApart(t *testing.T) {
	const streams, tokens = 8, 300
	engine := startEndpoint(t, func(conn net.Conn, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		name := string(body[strings.Index(string(body), "caller-"):][:8])
		send(conn, sseHeader)
		for i := range tokens {
			send(conn, token(fmt.Sprint(name, " ", i)))
		}
		send(conn, chunk("data: [DONE]\n\n"), "0\r\n\r\n")
	})
	n := startNode(t, testCatalogue(engine.address(), engine.address()), nil)
	var wg conc.WaitGroup
	for s := range streams {
		wg.Go(func() {
			name := fmt.Sprint("caller-", s)
			_, body := n.do(t, n.request(t, "POST", "/v1/chat/completions", strings.ReplaceAll(streamBody, "hi", name)))
			var want strings.Builder
			for i := range tokens {
				fmt.Fprintf(&want, "data: {\"choices\":[{\"delta\":{\"content\":\"%s %d\"}}]}\n\n", name, i)
			}
			qt.Check(t, body == want.String()+"data: [DONE]\n\n", qt.IsTrue, qt.Commentf("%s", name))
		})
	}
	wg.Wait()
}

// A graceful shutdown must not cut off streams in progress.
func TestLeave(t *testing.T) {
	more := make(chan struct{})
	engine := startEndpoint(t, func(conn net.Conn, _ *http.Request) {
		send(conn, sseHeader, token("a"))
		<-more
		send(conn, token("b"), chunk("data: [DONE]\n\n"), "0\r\n\r\n")
	})
	n := startNode(t, testCatalogue(engine.address(), engine.address()), nil)
	resp, err := n.client.Do(n.request(t, "POST", "/v1/chat/completions", streamBody))
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = resp.Body.Close() }()
	n.Leave()
	await[reducer.ShutdownRequested](t, n)
	qt.Check(t, n.inspect(func() {}), qt.IsTrue)
	qt.Check(t, n.Ready(), qt.IsFalse)
	close(more)
	body, err := io.ReadAll(resp.Body)
	qt.Check(t, err, qt.IsNil)
	qt.Check(t, strings.HasSuffix(string(body), "data: [DONE]\n\n"), qt.IsTrue)
	<-n.runReturned
}

// Data that an endpoint sends after an answer must not be taken for the answer to
// the next request on the connection.
func TestStrayAnswer(t *testing.T) {
	stray, sent := make(chan struct{}), make(chan struct{})
	var served atomic.Int32
	desk := startEndpoint(t, func(conn net.Conn, _ *http.Request) {
		text := fmt.Sprint(served.Add(1))
		send(conn, jsonHeader, "1\r\n\r\n", text)
		if text == "1" {
			<-stray
			send(conn, jsonHeader, "1\r\n\r\n", "X")
			close(sent)
		}
	})
	n := startNode(t, testCatalogue(desk.address(), desk.address()), nil)
	_, body := n.do(t, n.request(t, "GET", "/services/desk/status", ""))
	qt.Check(t, body, qt.Equals, "1")
	close(stray)
	<-sent
	_, body = n.do(t, n.request(t, "GET", "/services/desk/status", ""))
	qt.Check(t, body, qt.Equals, "2")
}

// A resumed stream must not repeat or skip tokens.
func TestResumedStreamIsContinuous(t *testing.T) {
	engine := startEndpoint(t, func(conn net.Conn, r *http.Request) {
		role := chunk(`data: {"choices":[{"delta":{"role":"assistant","content":""}}]}` + "\n\n")
		if from := r.Header.Get("Snipedyke-Resume"); from != "" {
			send(conn, sseHeader, role, token("from "+from), chunk("data: [DONE]\n\n"), "0\r\n\r\n")

			return
		}
		send(conn, sseHeader, role, token("a"), token("b"))
		_ = conn.Close()
	})
	c := testCatalogue(engine.address(), engine.address())
	for _, resumes := range []bool{true, false} {
		c.Endpoints["draft"].Resumes = resumes
		n := startNode(t, c, func(_ *Options, s *scriptedReducer) {
			s.onEnded = func(e reducer.Ended) []reducer.Effect {
				if e.Outcome != encoder.OutcomeLost {
					return nil
				}

				return []reducer.Effect{reducer.Dispatch{ID: e.ID, Permit: 2, Endpoint: "draft", Attempt: 2, Resume: true}}
			}
		})
		_, body := n.do(t, n.request(t, "POST", "/v1/chat/completions", streamBody))
		qt.Check(t, strings.Count(body, "role"), qt.Equals, 1)
		qt.Check(t, strings.Count(body, `"a"`), qt.Equals, 1)
		qt.Check(t, strings.HasSuffix(body, `"from 2"}}]}`+"\n\ndata: [DONE]\n\n"), qt.Equals, resumes)
		qt.Check(t, strings.Contains(body, "event: error"), qt.Equals, !resumes)
	}
}

// A caller that does not read its answer must not occupy an endpoint forever.
func TestStalledCallerCancelsDispatch(t *testing.T) {
	engine := startEndpoint(t, func(conn net.Conn, _ *http.Request) {
		send(conn, sseHeader)
		part := []byte(token(strings.Repeat("x", 1000)))
		for {
			if _, err := conn.Write(part); err != nil {
				return
			}
		}
	})
	n := startNode(t, testCatalogue(engine.address(), engine.address()), func(o *Options, _ *scriptedReducer) {
		o.Listener.WriteTimeout = 50 * time.Millisecond
	})
	resp, err := n.client.Do(n.request(t, "POST", "/v1/chat/completions", streamBody))
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = resp.Body.Close() }()
	// CallerGone is not awaited, because Ended may precede it.
	qt.Check(t, await[reducer.Ended](t, n).Outcome, qt.Equals, encoder.OutcomeCancelled)
}

// Initial events without output must not make a request count as started, because
// it could then no longer be retried.
func TestInitialEventsDoNotCountAsOutput(t *testing.T) {
	engine := startEndpoint(t, func(conn net.Conn, _ *http.Request) {
		send(conn, sseHeader, chunk(`data: {"choices":[{"delta":{"role":"assistant","content":""}}]}`+"\n\n"))
		_ = conn.Close()
	})
	n := startNode(t, testCatalogue(engine.address(), engine.address()), nil)
	resp, _ := n.do(t, n.request(t, "POST", "/v1/chat/completions", streamBody))
	qt.Check(t, await[reducer.Ended](t, n).Relayed, qt.IsFalse)
	qt.Check(t, resp.StatusCode, qt.Equals, http.StatusBadGateway)
}
