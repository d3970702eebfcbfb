package inspector

import (
	"bufio"
	"bytes"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	qt "github.com/frankban/quicktest"
	"github.com/valyala/fasthttp"
)

// Guards against a name that is no token and passes, wherever its invalid byte stands,
// and against a token that is refused.
func TestCheckHeadNeedsTokens(t *testing.T) {
	for i := range 256 {
		b := string([]byte{byte(i)})
		valid := i >= '0' && i <= '9' || i >= 'a' && i <= 'z' || i >= 'A' && i <= 'Z' || strings.Contains("!#$%&'*+-.^_`|~", b)
		for _, name := range []string{b + "ab", "a" + b + "b", "ab" + b} {
			head := "HTTP/1.1 200 OK\r\nA: 1\r\n" + name + ": 2\r\n\r\n"
			// A colon ends the name. What follows belongs to the value.
			want := valid || b == ":" && name[0] == 'a'
			length, err := CheckHead([]byte(head + "body"))
			qt.Check(t, err == nil, qt.Equals, want, qt.Commentf("%q: %v", name, err))
			qt.Check(t, length == len(head), qt.Equals, want, qt.Commentf("%q", name))
		}
	}
	for _, line := range []string{"name", ": value", " ", "\t", "a\r: b"} {
		_, err := CheckHead([]byte("HTTP/1.1 200 OK\r\n" + line + "\r\nA: 1\r\n\r\n"))
		qt.Check(t, err, qt.ErrorMatches, ".*not a token", qt.Commentf("%q", line))
	}
}

// Guards against a head whose acceptance depends on how it arrives.
func TestPeekHeadInParts(t *testing.T) {
	for head, want := range map[string]string{
		"HTTP/1.1 200 OK\r\nA: 1\r\n\r\n":                       "",
		"HTTP/1.0 404\r\n\r\n":                                  "",
		"HTTP/1.1 000 X\r\nA: 1\r\n\r\n":                        "invalid status line",
		"HTTP/1.1 200 OK\n\r\nA: 1\r\n\r\n":                     "line that does not end with CRLF",
		"HTTP/1.1 200 OK\r\nA B: 1\r\n\r\n":                     "field name that is not a token",
		"HTTP/1.0 200 OK\r\ntransfer-ENCODING: chunked\r\n\r\n": "transfer coding before HTTP/1.1",
		"HTTP/1.1 200 OK\r\nA: 1\r\n":                           "incomplete: EOF",
		"HTTP/1.1 200 OK\r\nA: " + strings.Repeat("x", 5000):    "incomplete: bufio: buffer full",
	} {
		for _, before := range []string{"", "\r\n\r\n"} {
			for _, r := range []io.Reader{strings.NewReader(before + head), iotest.OneByteReader(strings.NewReader(before + head))} {
				got, err := PeekHead(bufio.NewReader(r))
				if want == "" {
					qt.Check(t, err, qt.IsNil)
					qt.Check(t, string(got), qt.Equals, head)
				} else {
					qt.Check(t, err, qt.ErrorMatches, ".*: "+want, qt.Commentf("%q", head))
				}
			}
		}
	}
}

// Guards against a head without end that is kept in memory, and against a limit that counts
// interim responses or the body.
func TestCheckerLimitsHeads(t *testing.T) {
	line := "A: " + strings.Repeat("x", 1000) + "\r\n"
	lines := func(bytes int) string { return strings.Repeat(line, bytes/len(line)) }
	var c Checker
	for _, text := range []string{"HTTP/1.1 103 X\r\n", lines(60 << 10), "\r\nHTTP/1.1 200 X\r\n", lines(60 << 10), "\r\n", lines(200 << 10)} {
		qt.Check(t, c.Check([]byte(text)), qt.IsNil)
	}
	c.Reset()
	qt.Check(t, c.Check([]byte("HTTP/1.1 200 X\r\n"+lines(60<<10))), qt.IsNil)
	qt.Check(t, c.Check([]byte(lines(5<<10))), qt.ErrorMatches, ".*incomplete")
}

// Guards against a head that the parser reads in another way than it was checked: one
// that ends elsewhere, or has a field whose name is no token.
func FuzzCheckHead(f *testing.F) {
	f.Add([]byte("HTTP/1.1 200 OK\r\nA: 1\r\nContent-Length: 4\r\n\r\nbody"))
	f.Add([]byte("HTTP/1.0 404\r\nA:\r\n b: 1\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 200\n\r\nTransfer Encoding : chunked\r\n\r\n\r\n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		length, err := CheckHead(text)
		if err != nil || length == 0 {
			return
		}
		var h fasthttp.ResponseHeader
		r := bytes.NewReader(text)
		br := bufio.NewReaderSize(r, len(text)+bytes.MinRead)
		if h.Read(br) != nil {
			return
		}
		if read := len(text) - r.Len() - br.Buffered(); read != length {
			t.Fatalf("%q: the parser has read %d bytes, not %d", text, read, length)
		}
		for name := range h.All() {
			if len(fieldName(append(bytes.Clone(name), ':'))) != len(name) {
				t.Fatalf("%q: name %q", text, name)
			}
		}
	})
}
