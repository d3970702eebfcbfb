package runner

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sourcegraph/conc"

	"snipedyke/internal/reducer"
	"snipedyke/pkg/encoder"
)

// Invalid requests must be refused before they reach the reducer, with an error
// in the documented format.
func TestBadRequests(t *testing.T) {
	n := startNode(t, testCatalogue(unusedAddr, unusedAddr), func(o *Options, s *scriptedReducer) {
		o.Listener.MaxBodyBytes, o.Listener.MaxHeaderBytes = 1000, 2048
		s.onArrived = func(r reducer.Request) []reducer.Effect {
			t.Errorf("the reducer received %+v", r)

			return []reducer.Effect{reducer.Refuse{ID: r.ID}}
		}
	})
	const chat = "/v1/chat/completions"
	for _, test := range []struct {
		method, path, body, field, value string
		status                           int
		code                             string
	}{
		{"POST", chat, chatBody, "Authorization", "Bearer no", 401, "unauthorized"},
		{"POST", chat, chatBody, "Authorization", callerKey, 401, "unauthorized"},
		{"POST", chat, `{"model":`, "", "", 400, "invalid_request"},
		{"POST", chat, `{"model":`, "Idempotency-Key", "k", 400, "invalid_request"},
		{"POST", chat, `{"model":"big","messages":[{}]}`, "", "", 404, "unknown_model"},
		{"POST", chat, strings.Repeat("x", 1001), "", "", 413, "too_large"},
		{"POST", chat, chatBody, "X-Long", strings.Repeat("x", 3000), 431, "too_large"},
		{"POST", chat, chatBody, "Idempotency-Key", "a b", 400, "invalid_request"},
		{"POST", chat, chatBody, "Idempotency-Key", strings.Repeat("k", 401), 400, "invalid_request"},
		{"POST", chat, chatBody, "Snipedyke-Deadline", "0s", 400, "invalid_request"},
		{"POST", chat, chatBody, "Snipedyke-Deadline", "200h", 400, "invalid_request"},
		{"POST", chat, chatBody, "Snipedyke-Batch-Deadline", "2020-01-01T00:00:00Z", 400, "invalid_request"},
		{"GET", chat, "", "", "", 405, "invalid_request"},
		{"POST", "/services/desk/status", "", "", "", 404, "not_found"},
		{"POST", "/services/desk/pay/..%2fstatus", "", "", "", 400, "invalid_request"},
		{"POST", "/services/draft/pay", "", "", "", 404, "not_found"},
		{"POST", "/services/desk", "", "", "", 404, "not_found"},
		{"GET", "/nowhere", "", "", "", 404, "not_found"},
		{"POST", "/v1/idempotency-keys?count=1001", "", "", "", 400, "invalid_request"},
	} {
		r := n.request(t, test.method, test.path, test.body)
		if test.field != "" {
			r.Header.Set(test.field, test.value)
		}
		resp, body := n.do(t, r)
		comment := qt.Commentf("%+v: %s", test, body)
		qt.Check(t, resp.StatusCode, qt.Equals, test.status, comment)
		run := "not-run"
		if test.field == "Idempotency-Key" || test.status == 431 {
			// An earlier request with the key, which may be in a header that is
			// too large to be read, may have run.
			run = "may-have-run"
		}
		qt.Check(t, resp.Header.Get("Snipedyke-Run"), qt.Equals, run, comment)
		qt.Check(t, strings.Contains(body, `"run":"`+run+`"`), qt.IsTrue, comment)
		qt.Check(t, strings.HasPrefix(body, `{"error":{"code":"`+test.code+`","message":"`), qt.IsTrue, comment)
	}
}

// Guards against a part of a request that is served as another request.
func TestNoPartOfARequestIsServed(t *testing.T) {
	n := startNode(t, testCatalogue(unusedAddr, unusedAddr), func(_ *Options, s *scriptedReducer) {
		s.onArrived = func(r reducer.Request) []reducer.Effect {
			t.Errorf("the reducer received %+v", r)

			return []reducer.Effect{reducer.Refuse{ID: r.ID}}
		}
	})
	inner := "POST /v1/chat/completions HTTP/1.1\r\nHost: n\r\nAuthorization: Bearer " + callerKey + "\r\nContent-Length: " + strconv.Itoa(len(chatBody)) + "\r\n\r\n" + chatBody
	for _, line := range []string{"POST /nowhere HTTP/1.1", "POST /v1/chat/completions HTTP/1.1", "GET /v1/models HTTP/1.1", "GET /v1/models HTTP/2.0"} {
		for _, fields := range []string{"Transfer-Encoding: identity\r\n", "Transfer-Encoding: gzip\r\n", "Expect: x\r\nContent-Length: " + strconv.Itoa(len(inner)) + "\r\n"} {
			conn, err := net.Dial("tcp", n.Addr().String())
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, conn.SetDeadline(time.Now().Add(15*time.Second)), qt.IsNil)
			_, err = conn.Write([]byte(line + "\r\nHost: n\r\n" + fields + "\r\n" + inner))
			qt.Assert(t, err, qt.IsNil)
			// Closing a connection with unread bytes may reset it.
			received, err := io.ReadAll(conn)
			qt.Check(t, err == nil || errors.Is(err, syscall.ECONNRESET), qt.IsTrue, qt.Commentf("%v", err))
			_ = conn.Close()
			qt.Check(t, strings.Count(string(received), "HTTP/1.1 ") <= 1, qt.IsTrue, qt.Commentf("%s, %q: %s", line, fields, received))
		}
	}
}

// malformedRequests are requests that fasthttp cannot read, with a secret in their head.
var malformedRequests = []string{
	"POST /x HTTP/1.1\r\nAuthorization: secret\r\nTransfer-Encoding: gzip\r\n\r\n", "POST /x HTTP/1.1\r\nAuthorization: secret\r\nContent-Length: x\r\n\r\n",
	"POST /x HTTP/x\r\nAuthorization: secret\r\n\r\n", "POST x HTTP/1.1\r\nAuthorization: secret\r\n\r\n", "POST\r\nAuthorization: secret\r\n\r\n",
	"P{}ST /x HTTP/1.1\r\nAuthorization: secret\r\n\r\n", "GET /x HTTP/1.1\r\nAuthorization: secret\x00\r\n\r\n", "GET /x HTTP/1.1\r\nAuthorization: secret\r\n: x\r\n\r\n",
	"POST /x HTTP/1.1\r\nAuthorization: secret\r\nTransfer-Encoding: chunked\r\n\r\nsecret\r\n",
}

// Guards against an error message that repeats what was received, such as the key in the
// next request on a connection that callers share.
func TestErrorsDoNotRepeatTheInput(t *testing.T) {
	n := startNode(t, testCatalogue(unusedAddr, unusedAddr), nil)
	for _, malformed := range malformedRequests {
		conn, err := net.Dial("tcp", n.Addr().String())
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, conn.SetDeadline(time.Now().Add(15*time.Second)), qt.IsNil)
		_, err = conn.Write([]byte(malformed + "GET /x HTTP/1.1\r\nAuthorization: secret\r\n\r\n"))
		qt.Assert(t, err, qt.IsNil)
		received, err := io.ReadAll(conn)
		qt.Check(t, err == nil || errors.Is(err, syscall.ECONNRESET), qt.IsTrue, qt.Commentf("%v", err))
		_ = conn.Close()
		qt.Check(t, strings.Contains(string(received), "secret"), qt.IsFalse, qt.Commentf("%q: %s", malformed, received))
	}
}

// A refusal must reach the caller as an error event if the header of the stream
// was already sent before the first event.
func TestRefusalAfterStreamHeader(t *testing.T) {
	arrived := make(chan uint64, 1)
	n := startNode(t, testCatalogue(unusedAddr, unusedAddr), func(o *Options, s *scriptedReducer) {
		o.Listener.StreamHeaderDelay = time.Millisecond
		s.onArrived = func(r reducer.Request) []reducer.Effect {
			arrived <- r.ID

			return nil
		}
	})
	resp, err := n.client.Do(n.request(t, "POST", "/v1/chat/completions", streamBody))
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = resp.Body.Close() }()
	qt.Check(t, resp.Header.Get("Snipedyke-Run"), qt.Equals, "may-have-run")
	id := <-arrived
	n.inspect(func() {
		n.apply(time.Now(), reducer.Refuse{ID: id, Reason: reducer.ReasonOverload, Run: encoder.NotRun})
	})
	line, err := bufio.NewReader(resp.Body).ReadString('}')
	qt.Check(t, err, qt.IsNil)
	qt.Check(t, line, qt.Equals, "event: error\ndata: "+
		`{"error":{"code":"overload","message":"the service is overloaded","run":"not-run"}`)
}

// The number of requests in progress and the memory of their bodies must be
// limited, and a request must stop counting when it ends.
func TestRequestLimits(t *testing.T) {
	t.Run("bodies", func(t *testing.T) {
		testRequestLimit(t, func(o *Options) { o.Listener.MaxTotalBodyBytes = len(chatBody) }, `"memory_limit"`)
	})
	t.Run("number", func(t *testing.T) {
		testRequestLimit(t, func(o *Options) { o.Listener.MaxRequests = 1 }, `"request_limit"`)
	})
}

func testRequestLimit(t *testing.T, limit func(*Options), code string) {
	arrived := make(chan uint64, 1)
	n := startNode(t, testCatalogue(unusedAddr, unusedAddr), func(o *Options, s *scriptedReducer) {
		limit(o)
		s.onArrived = func(r reducer.Request) []reducer.Effect {
			arrived <- r.ID

			return nil
		}
	})
	end := func(id uint64) {
		n.inspect(func() { n.apply(time.Now(), reducer.Refuse{ID: id, Reason: reducer.ReasonOverload}) })
	}
	var wg conc.WaitGroup
	defer wg.Wait()
	call := func() string {
		_, body := n.do(t, n.request(t, "POST", "/v1/chat/completions", chatBody))

		return body
	}
	wg.Go(func() { qt.Check(t, call(), qt.Contains, `"overload"`) })
	first := <-arrived
	qt.Check(t, call(), qt.Contains, code)
	end(first)
	wg.Go(func() { qt.Check(t, call(), qt.Contains, `"overload"`) })
	end(<-arrived)
}

// A forwarded request must keep its body, its answer and the information whether
// it has run.
func TestForward(t *testing.T) {
	desk := startEndpoint(t, func(conn net.Conn, r *http.Request) {
		send(conn, jsonHeader, "4\r\n\r\n", "paid")
	})
	issuer := startNode(t, testCatalogue(unusedAddr, desk.address()), nil)
	n := startNode(t, testCatalogue(unusedAddr, unusedAddr), func(_ *Options, s *scriptedReducer) {
		s.onArrived = func(r reducer.Request) []reducer.Effect {
			return []reducer.Effect{reducer.ForwardTo{ID: r.ID, Peer: "n2"}}
		}
	})
	r := n.request(t, "POST", "/services/desk/pay", "{}")
	r.Header.Set("Idempotency-Key", "k1")
	forward := func() *encoder.Forward {
		m := <-n.peers

		return m.(*encoder.Forward)
	}

	go func() {
		issuer.Post(reducer.Received{From: "n1", Message: forward()})
		n.Post(reducer.Received{From: "n2", Message: <-issuer.peers})
	}()
	resp, body := n.do(t, r)
	qt.Check(t, resp.Header.Get("Snipedyke-Run"), qt.Equals, "ran")
	qt.Check(t, body, qt.Equals, "paid")
	request := await[reducer.Arrived](t, issuer).Request
	qt.Check(t, request.Forwarded && request.Once, qt.IsTrue)
	qt.Check(t, request.Key, qt.Equals, "k1")
	qt.Check(t, request.Fingerprint, qt.Equals, await[reducer.Arrived](t, n).Request.Fingerprint)

	go func() {
		forward()
		n.Post(reducer.Disconnected{Peer: "n2"})
	}()
	r.Body, _ = r.GetBody()
	resp, body = n.do(t, r)
	qt.Check(t, resp.Header.Get("Snipedyke-Run"), qt.Equals, "may-have-run")
	qt.Check(t, strings.Contains(body, "issuer_lost"), qt.IsTrue)
}

// Connections above the limit must be refused with an error in the documented
// format.
func TestConnectionLimit(t *testing.T) {
	n := startNode(t, testCatalogue(unusedAddr, unusedAddr), func(o *Options, _ *scriptedReducer) { o.Listener.MaxConnections = 1 })
	conn, err := net.Dial("tcp", n.Addr().String())
	qt.Assert(t, err, qt.IsNil)
	resp, body := n.do(t, n.request(t, "GET", "/v1/models", ""))
	qt.Check(t, resp.StatusCode, qt.Equals, 503)
	qt.Check(t, resp.Header.Get("Snipedyke-Run"), qt.Equals, "not-run")
	qt.Check(t, body, qt.Equals, `{"error":{"code":"connection_limit","message":"this node has too many connections","run":"not-run"}}`)
	r := n.request(t, "GET", "/v1/models", "")
	r.Header.Set("Idempotency-Key", "k")
	resp, _ = n.do(t, r)
	qt.Check(t, resp.Header.Get("Snipedyke-Run"), qt.Equals, "may-have-run")

	// The connection stops counting once the server has noticed the close.
	qt.Assert(t, conn.Close(), qt.IsNil)
	for resp.StatusCode == 503 {
		resp, _ = n.do(t, n.request(t, "GET", "/v1/models", ""))
	}
	qt.Check(t, resp.StatusCode, qt.Equals, 200)
}
