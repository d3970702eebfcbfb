package runner

import (
	"net"
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"

	"snipedyke/internal/reducer"
	"snipedyke/pkg/encoder"
)

// The data path must not alter answers or lose parts of them.
func TestAnswersAreRelayedWhole(t *testing.T) {
	done := chunk("data: [DONE]\n\n") + "0\r\n\r\n"
	engine := startEndpoint(t, func(conn net.Conn, r *http.Request) {
		if r.Header.Get("Accept") == "text/event-stream" {
			send(conn, sseHeader, token("a"), token("b"), done)

			return
		}
		send(conn, jsonHeader, "13\r\n\r\n", `{"choices":1}`)
	})
	desk := startEndpoint(t, func(conn net.Conn, r *http.Request) {
		send(conn, "HTTP/1.1 202 Accepted\r\nX-Seen: ", r.Method, " ", r.URL.String(), "\r\nContent-Length: 2\r\n\r\nok")
	})
	n := startNode(t, testCatalogue(engine.address(), desk.address()), nil)

	resp, body := n.do(t, n.request(t, "POST", "/v1/chat/completions", chatBody))
	qt.Check(t, resp.StatusCode, qt.Equals, 200)
	qt.Check(t, resp.Header.Get("Snipedyke-Run"), qt.Equals, "ran")
	qt.Check(t, resp.Header.Get("Content-Type"), qt.Equals, "application/json")
	qt.Check(t, body, qt.Equals, `{"choices":1}`)

	resp, body = n.do(t, n.request(t, "POST", "/v1/chat/completions", streamBody))
	qt.Check(t, resp.Header.Get("Content-Type"), qt.Equals, "text/event-stream")
	qt.Check(t, resp.Header.Get("Snipedyke-Run"), qt.Equals, "ran")
	qt.Check(t, body, qt.Equals, `data: {"choices":[{"delta":{"content":"a"}}]}`+"\n\n"+
		`data: {"choices":[{"delta":{"content":"b"}}]}`+"\n\ndata: [DONE]\n\n")

	resp, body = n.do(t, n.request(t, "POST", "/services/desk/pay/7?x=1%202", "{}"))
	qt.Check(t, resp.StatusCode, qt.Equals, 202)
	qt.Check(t, resp.Header.Get("X-Seen"), qt.Equals, "POST /pay/7?x=1%202")
	qt.Check(t, body, qt.Equals, "ok")
}

// Non-idempotent work whose connection was refused must be reported as not run.
func TestRefusedDialIsNotRun(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	closed := ln.Addr().(*net.TCPAddr).AddrPort()
	qt.Assert(t, ln.Close(), qt.IsNil)
	n := startNode(t, testCatalogue(closed, closed), nil)

	resp, body := n.do(t, n.request(t, "POST", "/services/desk/pay", "{}"))
	ended := await[reducer.Ended](t, n)
	qt.Check(t, ended.Outcome, qt.Equals, encoder.OutcomeRefused)
	qt.Check(t, ended.Written, qt.IsFalse)
	qt.Check(t, resp.Header.Get("Snipedyke-Run"), qt.Equals, "not-run")
	qt.Check(t, resp.Header.Get("Retry-After"), qt.Equals, "1")
	qt.Check(t, body, qt.Contains, `"run":"not-run"`)
}
