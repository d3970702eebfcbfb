package forwarder

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"

	"snipedyke/internal/dispatcher"
)

// The reasons for which the head of a response is not accepted.
var (
	errBareLF  = errors.New("response head has a line that does not end with CRLF")
	errCoded   = errors.New("response of HTTP/1.0 has a transfer coding")
	errNoFrame = errors.New("response has no length, and the connection was not to be closed")
)

// peekHead waits for the next head and returns it without consuming it. It ends
// with the blank line, and its status is from 100 to 599. The parser, which reads it
// next, does not report
// everything that decides whether the response can be complete.
func peekHead(br *bufio.Reader) ([]byte, error) {
	for n := 1; ; n = br.Buffered() + 1 {
		_, err := br.Peek(n)
		buffered, _ := br.Peek(br.Buffered())
		// The parser skips empty lines before the head.
		head := bytes.TrimLeft(buffered, "\r\n")
		if _, malformed := dispatcher.ParseStatus(head); malformed != nil {
			return nil, malformed
		}
		if end := bytes.Index(head, []byte("\r\n\r\n")); end >= 0 {
			return head[:end+4], nil
		}
		if err != nil {
			return nil, fmt.Errorf("reading the response head after %d bytes: %w", len(buffered), err)
		}
	}
}

// persistence is what a response head says about the connection.
type persistence int

const (
	// unstated means that the head says nothing, as of HTTP/1.1.
	unstated persistence = iota
	// persistent means that the connection stays open.
	persistent
	// closing means that the connection will be closed.
	closing
)

// checkHead returns what a head says about the connection, or an error if the
// response cannot be told from one whose head is damaged. A line that consists of
// LF would end the head early, and the parser ignores transfer codings before
// HTTP/1.1.
func checkHead(head []byte) (persistence, error) {
	conn, coded, closes := unstated, false, false
	current := bytes.HasPrefix(head, []byte("HTTP/1.1 "))
	if !current {
		conn = closing
	}
	for line := range bytes.SplitAfterSeq(head, []byte{'\n'}) {
		if len(line) > 0 && !bytes.HasSuffix(line, []byte("\r\n")) {
			return conn, errBareLF
		}
		name, value, _ := bytes.Cut(line, []byte{':'})
		switch string(bytes.ToLower(bytes.TrimSpace(name))) {
		case "transfer-encoding":
			coded = true
		case "keep-alive":
			conn = persistent
		case "connection":
			for option := range bytes.SplitSeq(bytes.ToLower(value), []byte{','}) {
				switch string(bytes.TrimSpace(option)) {
				case "close":
					closes = true
				case "keep-alive":
					conn = persistent
				}
			}
		}
	}
	switch {
	case coded && !current:
		return conn, errCoded
	case closes:
		return closing, nil
	default:
		return conn, nil
	}
}
