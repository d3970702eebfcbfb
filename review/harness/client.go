package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// request is one client attempt.
type request struct {
	method, path, id, body string
	// limit is the client's time limit.
	limit time.Duration
	// extra holds further header lines.
	extra string
}

// answer is what a client got.
type answer struct {
	status int
	header http.Header
	body   string
	// complete reports whether the answer was complete in the protocol.
	complete bool
	err      error
}

func (r request) bytes() string {
	text := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\n"+fieldAttempt+": %s\r\nSnipedyke-Deadline-Ms: %d\r\nAuthorization: Bearer %s\r\n%s",
		r.method, r.path, host, r.id, r.limit.Milliseconds(), key, r.extra)
	if r.method != "GET" {
		text += fmt.Sprintf("Content-Length: %d\r\n", len(r.body))
	}

	return text + "\r\n" + r.body
}

// send sends a request on a new connection and reads the answer within the
// request's time limit.
func (r request) send(addr string) answer {
	conn, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return answer{err: err}
	}
	defer conn.Close()

	return r.sendOn(conn, bufio.NewReader(conn))
}

func (r request) sendOn(conn net.Conn, br *bufio.Reader) answer {
	_ = conn.SetDeadline(time.Now().Add(r.limit))
	if _, err := io.WriteString(conn, r.bytes()); err != nil {
		return answer{err: err}
	}
	resp, err := http.ReadResponse(br, &http.Request{Method: r.method})
	if err != nil {
		return answer{err: err}
	}
	var b strings.Builder
	_, err = io.Copy(&b, resp.Body)

	return answer{status: resp.StatusCode, header: resp.Header, body: b.String(), complete: err == nil, err: err}
}
