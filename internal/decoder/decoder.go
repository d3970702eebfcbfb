package decoder

import (
	"bytes"
	"fmt"
	"strconv"
	"strings"
	"unicode"
	"unicode/utf8"

	"github.com/tailscale/hujson"
)

// maxDepth bounds the nesting depth of a document. The JSON parser is recursive, so
// unbounded nesting could overflow the stack, which is fatal and not recoverable.
const maxDepth = 16

// maxFields bounds the number of fields of an object, because their names are
// compared pairwise.
const maxFields = 64

// maxExcerpt bounds the excerpt of a document in a message, in bytes.
const maxExcerpt = 40

// document is a file that is being decoded, and the list of its problems.
type document struct {
	file string
	body []byte
	list *ProblemList
}

// Node is a value of a document.
type Node struct {
	doc    *document
	value  *hujson.Value
	parent *Node
	// name is the name of the field in the parent object. It is empty for an
	// element of an array, which has an index instead.
	name  string
	index int
}

// Parse parses a document of at most limit bytes and adds its problems to the list.
// It reports whether the syntax, the size and the nesting depth are valid.
func Parse(list *ProblemList, file string, body []byte, limit int) (Node, bool) {
	n := Node{doc: &document{file: file, body: body, list: list}}
	if len(body) > limit {
		list.Add(Problem{File: file, Got: fmt.Sprintf("%d bytes", len(body)), Accepted: fmt.Sprintf("at most %d bytes", limit)})

		return n, false
	}
	if line := excessDepthLine(body); line > 0 {
		list.Add(Problem{File: file, Line: line, Got: "nested too deeply", Accepted: fmt.Sprintf("at most %d levels", maxDepth)})

		return n, false
	}
	v, err := hujson.Parse(body)
	if err != nil {
		line, text := splitSyntaxError(err)
		list.Add(Problem{File: file, Line: line, Got: text, Accepted: "JSON with comments"})

		return n, false
	}
	n.value = &v

	return n, true
}

// splitSyntaxError splits the message of a hujson error into the line and the text.
// The line is zero if the message has none.
func splitSyntaxError(err error) (int, string) {
	text := strings.TrimPrefix(err.Error(), "hujson: ")
	var line, column int
	if n, _ := fmt.Sscanf(text, "line %d, column %d:", &line, &column); n != 2 {
		return 0, text
	}
	_, rest, _ := strings.Cut(text, ": ")

	return line, rest
}

// excessDepthLine returns the first line where the nesting depth exceeds maxDepth,
// or zero. It runs before the parser, so it skips strings and comments itself.
func excessDepthLine(body []byte) int {
	depth := 0
	for i := 0; i < len(body); i++ {
		switch c := body[i]; {
		case c == '"':
			for i++; i < len(body) && body[i] != '"'; i++ {
				if body[i] == '\\' {
					i++
				}
			}
		case c == '/' && bytes.HasPrefix(body[i:], []byte("//")):
			i = endOfMark(body, i+2, "\n")
		case c == '/' && bytes.HasPrefix(body[i:], []byte("/*")):
			i = endOfMark(body, i+2, "*/")
		case c == '{' || c == '[':
			if depth++; depth > maxDepth {
				return lineAt(body, i)
			}
		case c == '}' || c == ']':
			depth--
		}
	}

	return 0
}

// endOfMark returns the offset of the last byte of the first mark at or after from,
// or len(body) if there is none.
func endOfMark(body []byte, from int, mark string) int {
	i := bytes.Index(body[from:], []byte(mark))
	if i < 0 {
		return len(body)
	}

	return from + i + len(mark) - 1
}

// lineAt returns the line number of an offset, counted from 1.
func lineAt(body []byte, offset int) int {
	return 1 + bytes.Count(body[:min(offset, len(body))], []byte("\n"))
}

// Line returns the line number of the value, counted from 1, or zero if the
// document could not be parsed.
func (n *Node) Line() int {
	if n.value == nil {
		return 0
	}

	return lineAt(n.doc.body, n.value.StartOffset)
}

// Field returns the path of the value, for example "entries[3].rate". It is empty
// for the whole document.
func (n *Node) Field() string {
	if n.parent == nil {
		return ""
	}
	prefix := n.parent.Field()
	switch {
	case n.name == "":
		return prefix + "[" + strconv.Itoa(n.index) + "]"
	case prefix == "":
		return formatName(n.name)
	default:
		return prefix + "." + formatName(n.name)
	}
}

// Fail adds a problem with the value to the document's list.
func (n *Node) Fail(got, accepted string) {
	n.doc.list.Add(Problem{File: n.doc.file, Line: n.Line(), Field: n.Field(), Got: got, Accepted: accepted})
}

// excerpt returns the text of the value for a message, truncated to maxExcerpt.
func (n *Node) excerpt() string {
	return truncate(string(n.doc.body[n.value.StartOffset:n.value.EndOffset]))
}

// truncate returns s, or at most its first maxExcerpt bytes followed by "..." if
// s is longer.
func truncate(s string) string {
	if len(s) > maxExcerpt {
		return strings.ToValidUTF8(s[:maxExcerpt], "") + "..."
	}

	return s
}

// formatName returns the name of a field for a message. It quotes names that could
// corrupt a log.
func formatName(name string) string {
	if validName(name, true) {
		return truncate(name)
	}

	return strconv.Quote(truncate(name))
}

// Object returns the value as an object. If the value is not an object of at most
// maxFields fields, it adds a problem and returns an object without fields.
func (n *Node) Object() *Object {
	o := &Object{node: n}
	members, ok := n.value.Value.(*hujson.Object)
	if !ok || len(members.Members) > maxFields {
		// The message has no excerpt, because the value may contain secrets.
		n.Fail("not an object of the format", fmt.Sprintf("an object of at most %d fields", maxFields))
		o.invalid = true

		return o
	}
	o.members = members.Members
	o.used = make([]bool, len(o.members))
	o.names = make([]string, len(o.members))
	for i := range o.members {
		literal, _ := o.members[i].Name.Value.(hujson.Literal)
		name := literalText(literal)
		for _, other := range o.names[:i] {
			if other == name {
				o.child(i, name).Fail("field is given twice", "each field once")
				o.used[i] = true
			}
		}
		o.names[i] = name
	}

	return o
}

// literalText returns the value of a string literal. Most literals have no escapes,
// for which the fast path is much faster.
func literalText(l hujson.Literal) string {
	for _, c := range l {
		if c == '\\' || c >= utf8.RuneSelf {
			return l.String()
		}
	}

	return string(l[1 : len(l)-1])
}

// literal returns the value as a literal, and reports whether it is a literal of
// the given kind.
func (n *Node) literal(kind hujson.Kind) (hujson.Literal, bool) {
	l, ok := n.value.Value.(hujson.Literal)

	return l, ok && l.Kind() == kind
}

// Text returns the value as a string of 1 to maxLen bytes without control
// characters, which could corrupt tables and logs, and reports whether it is valid.
// It adds a problem if the value is invalid.
func (n *Node) Text(maxLen int) (string, bool) {
	l, ok := n.literal('"')
	if !ok {
		n.Fail(n.excerpt(), "a string")

		return "", false
	}
	s := literalText(l)
	if s == "" || len(s) > maxLen || strings.ContainsFunc(s, unicode.IsControl) {
		n.Fail(n.excerpt(), textRule(maxLen))

		return "", false
	}

	return s, true
}
