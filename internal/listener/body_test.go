package listener

import (
	"encoding/json"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Invalid bodies must be rejected before they reach an engine, with an error
// that names the field.
func TestParseChat(t *testing.T) {
	const messages = `"messages":[{"role":"user","content":"hi"}]`
	for _, test := range []struct{ body, want string }{
		{``, "valid JSON"},
		{`{"model":"a",` + messages, "valid JSON"},
		{"{\"model\":\"\xff\"," + messages + `}`, "valid UTF-8"},
		{`[]`, "not a JSON object"},
		{`{` + messages + `}`, `"model" is missing`},
		{`{"Model":"a",` + messages + `}`, `"model" is missing`},
		{`{"model":"a"}`, `"messages" is missing`},
		{`{"model":7,` + messages + `}`, `"model" must be a string that is not empty, not 7`},
		{`{"model":"",` + messages + `}`, `"model" must be a string that is not empty`},
		{`{"model":null,` + messages + `}`, `"model" must be a string that is not empty`},
		{`{"model":"a","model":"b",` + messages + `}`, `"model" occurs twice`},
		{`{"model":"a","\u006dodel":"b",` + messages + `}`, `contains an escape`},
		{`{"model":"a","messages":{}}`, `"messages" must be an array, not {}`},
		{`{"model":"a","messages":[ ]}`, "at least one message"},
		{`{"model":"a","messages":[{},"x"]}`, "only objects"},
		{`{"model":"a","stream":1,` + messages + `}`, `"stream" must be true or false, not 1`},
		{`{"model":"a","max_tokens":0,` + messages + `}`, `"max_tokens" must be a whole number from 1 to 1048576, not 0`},
		{`{"model":"a","max_tokens":1e3,` + messages + `}`, "not 1e3"},
		{`{"model":"a","max_tokens":1048577,` + messages + `}`, "not 1048577"},
		{`{"model":"a","max_tokens":1,"max_completion_tokens":1,` + messages + `}`, "exclude each other"},
		{`{"model":"a","n":2,` + messages + `}`, `"n" must be 1, not 2`},
	} {
		_, p := ParseChat([]byte(test.body))
		qt.Check(t, p, qt.ErrorMatches, ".*"+test.want+".*", qt.Commentf("%s", test.body))
	}

	chat, p := ParseChat([]byte(` { "x" : {"model":["}",{}]} , "model":"a\u0062", "stream" : true,
		"max_tokens":5 , "messages": [ {"content":"]\"}"} , {} ], "stop":["\\"] } `))
	qt.Assert(t, p == nil, qt.IsTrue)
	qt.Check(t, chat, qt.DeepEquals, ChatRequest{
		Model: "ab", Stream: true, MaxTokens: 5, Messages: []byte(`[ {"content":"]\"}"} , {} ]`),
	})
}

// The node must read a body in the same way as an engine with a standard JSON
// decoder.
func FuzzParseChat(f *testing.F) {
	f.Add([]byte(`{"model":"a","stream":true,"max_tokens":5,"messages":[{"content":"]\"}"},{}]}`))
	f.Add([]byte(`{"n":null,"model":"\u0061","messages":[{"a":[{}]}],"x":{"model":1.5e3}}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		chat, p := ParseChat(body)
		if p != nil {
			return
		}
		var fields map[string]json.RawMessage
		if err := json.Unmarshal(body, &fields); err != nil {
			t.Fatalf("accepted a body that is not an object: %v", err)
		}
		var model string
		if err := json.Unmarshal(fields["model"], &model); err != nil || model != chat.Model {
			t.Fatalf("model %q, not %q (%v)", chat.Model, model, err)
		}
		if string(fields["messages"]) != string(chat.Messages) {
			t.Fatalf("messages %s, not %s", chat.Messages, fields["messages"])
		}
		if (string(fields["stream"]) == "true") != chat.Stream {
			t.Fatalf("stream %v, not %s", chat.Stream, fields["stream"])
		}
	})
}

// A service must not be able to interpret a path differently from the one that
// the route was matched against.
func TestUnambiguousPath(t *testing.T) {
	for _, path := range []string{"/", "/a", "/a/", "/a/b.c", "/a%20b"} {
		qt.Check(t, isUnambiguousPath(path), qt.IsTrue, qt.Commentf("%s", path))
	}
	for _, path := range []string{
		"", "a", "//a", "/a//b", "/a/../b", "/a/..", "/./a", "/a/%2e%2e/b", "/a%2Fb", "/a\\b", "/a;b", "/a b", "/a%252e",
		"/a\x00", "/\u00e9", "/" + strings.Repeat("../", 3),
	} {
		qt.Check(t, isUnambiguousPath(path), qt.IsFalse, qt.Commentf("%s", path))
	}
	qt.Check(t, hasPathPrefix("/pay/1", "/pay"), qt.IsTrue)
	qt.Check(t, hasPathPrefix("/payments", "/pay"), qt.IsFalse)
}
