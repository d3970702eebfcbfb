package forwarder

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
)

// The reasons for which the head of a response is not accepted.
var (
	errNotHTTP = errors.New("response does not begin with an HTTP version")
	errBareLF  = errors.New("response head has a line that does not end with CRLF")
	errCoded   = errors.New("response of HTTP/1.0 has a transfer coding")
)

// peekHead waits for the next head and returns it without consuming it. It ends
// with the blank line. The parser, which reads it next, does not report
// everything that decides whether the response can be complete.
func peekHead(br *bufio.Reader) ([]byte, error) {
	for n := 1; ; n = br.Buffered() + 1 {
		_, err := br.Peek(n)
		buffered, _ := br.Peek(br.Buffered())
		// The parser skips empty lines before the head.
		head := bytes.TrimLeft(buffered, "\r\n")
		if version := head[:min(len(head), len("HTTP/"))]; !bytes.HasPrefix([]byte("HTTP/"), version) {
			return nil, errNotHTTP
		}
		if end := bytes.Index(head, []byte("\r\n\r\n")); end >= 0 {
			return head[:end+4], nil
		}
		if err != nil {
			return nil, fmt.Errorf("reading the response head after %d bytes: %w", len(buffered), err)
		}
	}
}

// checkHead returns an error if a response with this head cannot be told from one
// whose head is damaged. A line that consists of LF would end the head early, and
// the parser ignores transfer codings before HTTP/1.1.
func checkHead(head []byte) error {
	coded := false
	for line := range bytes.SplitAfterSeq(head, []byte{'\n'}) {
		if len(line) > 0 && !bytes.HasSuffix(line, []byte("\r\n")) {
			return errBareLF
		}
		name, _, _ := bytes.Cut(line, []byte{':'})
		coded = coded || bytes.EqualFold(bytes.TrimSpace(name), []byte("Transfer-Encoding"))
	}
	if coded && !bytes.HasPrefix(head, []byte("HTTP/1.1 ")) {
		return errCoded
	}

	return nil
}
