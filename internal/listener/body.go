package listener

import (
	"bytes"
	"encoding/json"
	"strconv"
	"unicode/utf8"
)

// maxTokens is the largest token limit that a caller may request.
const maxTokens = 1 << 20

// ChatRequest holds the fields of a chat completions request that the node
// needs.
type ChatRequest struct {
	Model string
	// Messages is the JSON array of the messages.
	Messages []byte
	Stream   bool
	// MaxTokens is the limit on the length of the answer, or zero if there is
	// none.
	MaxTokens uint32
}

// ParseChat parses and validates the body of a chat completions request. The
// result refers to body. Fields that only the engine needs are not validated.
// The message of a problem names the invalid field and the accepted values.
func ParseChat(body []byte) (ChatRequest, *Problem) {
	var req ChatRequest
	if !utf8.Valid(body) {
		return req, invalidf("the body is not valid UTF-8")
	}
	if !json.Valid(body) {
		return req, invalidf("the body is not valid JSON")
	}
	s := scanner{text: body}
	s.skipSpace()
	if !s.accept('{') {
		return req, invalidf("the body is not a JSON object")
	}
	var seen fieldSet
	for s.skipSpace(); !s.accept('}'); s.skipSpace() {
		name := s.scanValue()
		s.skipSpace()
		s.accept(':')
		s.skipSpace()
		value := s.scanValue()
		s.skipSpace()
		s.accept(',')
		// Engines differ in how they treat escaped and repeated field names, so
		// the request that an engine runs could differ from the one checked here.
		if bytes.IndexByte(name, '\\') >= 0 {
			return req, invalidf("the field name %s contains an escape", truncate(name))
		}
		name = name[1 : len(name)-1]
		f := fieldOf(name)
		if f == 0 {
			continue
		}
		if seen&f != 0 {
			return req, invalidf("the field %q occurs twice", name)
		}
		seen |= f
		if p := req.setField(string(name), value); p != nil {
			return req, p
		}
	}
	switch {
	case seen&fieldModel == 0:
		return req, invalidf("the field \"model\" is missing")
	case seen&fieldMessages == 0:
		return req, invalidf("the field \"messages\" is missing")
	case seen&fieldMaxTokens != 0 && seen&fieldMaxCompletionTokens != 0:
		return req, invalidf("\"max_tokens\" and \"max_completion_tokens\" exclude each other")
	}

	return req, nil
}

// fieldSet is a set of fields that the node reads.
type fieldSet uint8

const (
	fieldModel fieldSet = 1 << iota
	fieldMessages
	fieldStream
	fieldMaxTokens
	fieldMaxCompletionTokens
	fieldChoices
)

// fieldOf returns the field with the given name, or zero if the node does not
// read it.
func fieldOf(name []byte) fieldSet {
	switch string(name) {
	case "model":
		return fieldModel
	case "messages":
		return fieldMessages
	case "stream":
		return fieldStream
	case "max_tokens":
		return fieldMaxTokens
	case "max_completion_tokens":
		return fieldMaxCompletionTokens
	case "n":
		return fieldChoices
	default:
		return 0
	}
}

// setField validates and stores the value of the named field.
func (r *ChatRequest) setField(name string, value []byte) *Problem {
	isNull := string(value) == "null"
	switch name {
	case "model":
		if err := json.Unmarshal(value, &r.Model); err != nil || value[0] != '"' || r.Model == "" {
			return invalidf("\"model\" must be a string that is not empty, not %s", truncate(value))
		}
	case "messages":
		if value[0] != '[' {
			return invalidf("\"messages\" must be an array, not %s", truncate(value))
		}
		if !isNonEmptyObjectArray(value) {
			return invalidf("\"messages\" must hold at least one message, and only objects")
		}
		r.Messages = value
	case "stream":
		r.Stream = string(value) == "true"
		if !r.Stream && !isNull && string(value) != "false" {
			return invalidf("\"stream\" must be true or false, not %s", truncate(value))
		}
	case "max_tokens", "max_completion_tokens":
		if isNull {
			return nil
		}
		n, err := strconv.ParseUint(string(value), 10, 32)
		if err != nil || n < 1 || n > maxTokens {
			return invalidf("%q must be a whole number from 1 to %d, not %s", name, maxTokens, truncate(value))
		}
		r.MaxTokens = uint32(n)
	case "n":
		// A stream with several choices cannot be resumed by a token count.
		if !isNull && string(value) != "1" {
			return invalidf("\"n\" must be 1, not %s", truncate(value))
		}
	}

	return nil
}

// isNonEmptyObjectArray reports whether array has at least one element and all
// elements are objects.
func isNonEmptyObjectArray(array []byte) bool {
	s := scanner{text: array}
	s.accept('[')
	n := 0
	for s.skipSpace(); !s.accept(']'); s.skipSpace() {
		if s.text[s.pos] != '{' {
			return false
		}
		s.scanValue()
		n++
		s.skipSpace()
		s.accept(',')
	}

	return n > 0
}

// truncate shortens a text for an error message.
func truncate(value []byte) string {
	const most = 40
	if len(value) <= most {
		return string(value)
	}

	return string(bytes.ToValidUTF8(value[:most], nil)) + "..."
}

// scanner scans JSON text that is known to be valid.
type scanner struct {
	text []byte
	pos  int
}

// skipSpace skips white space.
func (s *scanner) skipSpace() {
	for s.pos < len(s.text) {
		switch s.text[s.pos] {
		case ' ', '\t', '\n', '\r':
			s.pos++
		default:
			return
		}
	}
}

// accept skips c if it is the next byte, and reports whether it did.
func (s *scanner) accept(c byte) bool {
	if s.pos >= len(s.text) || s.text[s.pos] != c {
		return false
	}
	s.pos++

	return true
}

// scanValue skips the next value and returns its text.
func (s *scanner) scanValue() []byte {
	start, depth := s.pos, 0
	for s.pos < len(s.text) {
		switch s.text[s.pos] {
		case '"':
			s.skipString()
		case '{', '[':
			depth++
			s.pos++
		case '}', ']':
			if depth == 0 {
				return s.text[start:s.pos]
			}
			depth--
			s.pos++
		case ',', ':', ' ', '\t', '\n', '\r':
			if depth == 0 {
				return s.text[start:s.pos]
			}
			s.pos++

			continue
		default:
			s.pos++

			continue
		}
		if depth == 0 {
			break
		}
	}

	return s.text[start:s.pos]
}

// skipString skips a string literal.
func (s *scanner) skipString() {
	for s.pos++; s.text[s.pos] != '"'; s.pos++ {
		if s.text[s.pos] == '\\' {
			s.pos++
		}
	}
	s.pos++
}
