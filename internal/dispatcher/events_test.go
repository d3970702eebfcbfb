package dispatcher

import (
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	qt "github.com/frankban/quicktest"
)

// Guards against events that are split, joined or truncated incorrectly.
func TestEventReader(t *testing.T) {
	r := NewEventReader(iotest.OneByteReader(strings.NewReader(
		": comment\n\nevent: e\r\ndata:1\r\ndata: 2\r\n\r\nevent: dropped\n\ndata\n\nid: 1\ndata: [DONE] \n\ndata: cut")), 64)
	for _, want := range []string{"event: e\ndata: 1\ndata: 2\n\n", "data: \n\n", "data: [DONE] \n\n"} {
		e, err := r.Next()
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, string(AppendEvent(nil, e)), qt.Equals, want)
		qt.Check(t, e.isTerminal(), qt.Equals, strings.Contains(want, "DONE"))
	}
	_, err := r.Next()
	qt.Check(t, err, qt.Equals, io.ErrUnexpectedEOF)

	for _, text := range []string{"data: " + strings.Repeat("x", 100), strings.Repeat("data: 0123456789\n", 9)} {
		_, err = NewEventReader(strings.NewReader(text), 64).Next()
		qt.Check(t, err, qt.ErrorMatches, "dispatcher: read event: larger than the limit")
	}
}

// Guards against miscounted tokens. A stream is resumed at the number of tokens
// counted.
func TestIsToken(t *testing.T) {
	for data, want := range map[string]bool{
		`{"choices":[{"delta":{"content":"a"}}]}`:                                         true,
		`{"choices":[{"delta":{"role":"assistant","content":""}}]}`:                       false,
		`{"choices":[{"delta":{"content":null}}]}`:                                        false,
		`{"choices":[{"delta":{},"finish_reason":"stop"}],"x":"\"content\":\"a\""}`:       false,
		`{"choices":[{"delta":{"tool_calls":[{"function":{"arguments": "{"}}]}}]}`:        true,
		`{"choices":[{"delta":{"content":"","tool_calls":[{"function":{"name":"f"}}]}}]}`: false,
	} {
		qt.Check(t, Event{Data: []byte(data)}.isToken(), qt.Equals, want, qt.Commentf("%s", data))
	}
}

// Guards against an event that is not equal after an encoding round trip.
func FuzzEventReader(f *testing.F) {
	f.Add([]byte("event: a\r\ndata: b\ndata:c\n\n: d\n\ndata: [DONE]\n\n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		const limit = 256
		r := NewEventReader(strings.NewReader(string(text)), limit)
		for {
			e, err := r.Next()
			if err != nil {
				return
			}
			if len(e.Data) > limit {
				t.Fatalf("event data of %d bytes exceeds the limit", len(e.Data))
			}
			encoded := AppendEvent(nil, e)
			again := NewEventReader(strings.NewReader(string(encoded)), 2*limit)
			e2, err := again.Next()
			if err != nil || string(e2.Data) != string(e.Data) || string(e2.Name) != string(e.Name) {
				t.Fatalf("%q decodes to name %q, data %q (%v)", encoded, e2.Name, e2.Data, err)
			}
			if _, err := again.Next(); !errors.Is(err, io.EOF) {
				t.Fatalf("%q contains more than one event", encoded)
			}
		}
	})
}
