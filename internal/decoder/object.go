package decoder

import (
	"encoding/hex"
	"fmt"
	"math"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/tailscale/hujson"
)

// Maximum lengths of strings in bytes.
const (
	maxName     = 63
	maxAddress  = 64
	maxDuration = 32
)

// nameRule describes the accepted names in messages.
const nameRule = "1 to 63 lower-case letters, digits, '-', '_' or '.', starting with a letter or digit"

const hashRule = "a SHA-256 of 64 hexadecimal digits"

func textRule(maxLen int) string {
	return fmt.Sprintf("a string of 1 to %d bytes without control characters", maxLen)
}

// Object is an object whose fields are read by name. If a field is missing or
// invalid, its getter adds a problem and returns the zero value, unless the getter
// says otherwise. End must be called after all getters.
type Object struct {
	node    *Node
	members []hujson.ObjectMember
	names   []string
	used    []bool
	// invalid reports whether the value is not a valid object. Then no field is
	// reported as missing.
	invalid bool
}

func (o *Object) child(i int, name string) *Node {
	return &Node{doc: o.node.doc, value: &o.members[i].Value, parent: o.node, name: name}
}

// Has reports whether the object has the field.
func (o *Object) Has(name string) bool {
	for _, n := range o.names {
		if n == name {
			return true
		}
	}

	return false
}

// Field returns the value of a field, or nil if there is none. It counts as reading
// the field, so End does not report it as unknown.
func (o *Object) Field(name string) *Node {
	for i, n := range o.names {
		if n == name {
			o.used[i] = true

			return o.child(i, name)
		}
	}

	return nil
}

// Fail adds a problem of a field. If the object has no such field, the problem has
// the line of the object.
func (o *Object) Fail(name, got, accepted string) {
	if n := o.Field(name); n != nil {
		n.Fail(got, accepted)

		return
	}
	n := Node{doc: o.node.doc, value: o.node.value, parent: o.node, name: name}
	n.Fail(got, accepted)
}

// failMissing adds the problem of a missing field, unless the object is invalid.
func (o *Object) failMissing(name, accepted string) {
	if !o.invalid {
		o.Fail(name, "missing", accepted)
	}
}

// End adds a problem for each field that has not been read.
func (o *Object) End() {
	for i, used := range o.used {
		if !used {
			o.child(i, o.names[i]).Fail("unknown field", "a field of the format")
		}
	}
}

// Text returns a string of 1 to maxLen bytes without control characters.
func (o *Object) Text(name string, maxLen int) string {
	n := o.Field(name)
	if n == nil {
		o.failMissing(name, textRule(maxLen))

		return ""
	}
	s, _ := n.Text(maxLen)

	return s
}

// Name returns a name as nameRule describes it.
func (o *Object) Name(name string) string {
	n := o.Field(name)
	if n == nil {
		o.failMissing(name, nameRule)

		return ""
	}

	return n.readName(maxName)
}

// Choice returns one of the given strings.
func (o *Object) Choice(name string, choices ...string) string {
	accepted := strings.Join(choices, ", ")
	n := o.Field(name)
	if n == nil {
		o.failMissing(name, accepted)

		return ""
	}
	if l, ok := n.literal('"'); ok {
		for _, c := range choices {
			if literalText(l) == c {
				return c
			}
		}
	}
	n.Fail(n.excerpt(), accepted)

	return ""
}

// Int returns an integer from lo to hi.
func (o *Object) Int(name string, lo, hi int64) int64 {
	accepted := func() string { return fmt.Sprintf("a whole number from %d to %d", lo, hi) }
	n := o.Field(name)
	if n == nil {
		o.failMissing(name, accepted())

		return 0
	}
	if l, ok := n.literal('0'); ok {
		if v, err := strconv.ParseInt(string(l), 10, 64); err == nil && v >= lo && v <= hi {
			return v
		}
	}
	n.Fail(n.excerpt(), accepted())

	return 0
}

// Float returns a number from lo to hi.
func (o *Object) Float(name string, lo, hi float64) float64 {
	accepted := func() string { return fmt.Sprintf("a number from %g to %g", lo, hi) }
	n := o.Field(name)
	if n == nil {
		o.failMissing(name, accepted())

		return 0
	}
	if l, ok := n.literal('0'); ok {
		if v, err := strconv.ParseFloat(string(l), 64); err == nil && !math.IsNaN(v) && v >= lo && v <= hi {
			return v
		}
	}
	n.Fail(n.excerpt(), accepted())

	return 0
}

// Bool returns a boolean; a missing field is false.
func (o *Object) Bool(name string) bool {
	n := o.Field(name)
	if n == nil {
		return false
	}
	l, ok := n.value.Value.(hujson.Literal)
	if ok && (l.Kind() == 't' || l.Kind() == 'f') {
		return l.Bool()
	}
	n.Fail(n.excerpt(), "true or false")

	return false
}

// Duration returns a duration from lo to hi in the format of time.ParseDuration,
// for example "660ms".
func (o *Object) Duration(name string, lo, hi time.Duration) time.Duration {
	accepted := fmt.Sprintf("a duration from %q to %q", lo, hi)
	n := o.Field(name)
	if n == nil {
		o.failMissing(name, accepted)

		return 0
	}
	if l, ok := n.literal('"'); ok && len(l) <= maxDuration {
		if d, err := time.ParseDuration(literalText(l)); err == nil && d >= lo && d <= hi {
			return d
		}
	}
	n.Fail(n.excerpt(), accepted)

	return 0
}

// Address returns an IP address with a port. Port 0 and the unspecified address are
// accepted only for listen addresses.
func (o *Object) Address(name string, listen bool) netip.AddrPort {
	const accepted = `an IP address with a port, like "10.0.0.1:8080" or "[fd00::1]:8080"`
	n := o.Field(name)
	if n == nil {
		o.failMissing(name, accepted)

		return netip.AddrPort{}
	}
	if l, ok := n.literal('"'); ok && len(l) <= maxAddress {
		a, err := netip.ParseAddrPort(literalText(l))
		if err == nil && a.Addr().Zone() == "" && (listen || a.Port() > 0 && !a.Addr().IsUnspecified()) {
			return a
		}
	}
	n.Fail(n.excerpt(), accepted)

	return netip.AddrPort{}
}

// Hash returns the value as a SHA-256 in hexadecimal, and reports whether it is
// valid. An invalid value is a problem.
func (n *Node) Hash() (hash [32]byte, ok bool) {
	l, ok := n.literal('"')
	if ok && len(l) == 2+hex.EncodedLen(len(hash)) {
		if _, err := hex.Decode(hash[:], l[1:len(l)-1]); err == nil {
			return hash, true
		}
	}
	n.Fail(n.excerpt(), hashRule)

	return [32]byte{}, false
}

// Hash returns a SHA-256 in hexadecimal, and reports whether it is valid.
func (o *Object) Hash(name string) (hash [32]byte, ok bool) {
	n := o.Field(name)
	if n == nil {
		o.failMissing(name, hashRule)

		return hash, false
	}

	return n.Hash()
}

// Each calls f for each element of an array of lo to hi elements. A missing field is
// treated as an empty array. An array of another length is a problem, and f is not
// called.
func (o *Object) Each(name string, lo, hi int, f func(*Node)) {
	accepted := func() string { return fmt.Sprintf("an array of %d to %d elements", lo, hi) }
	n := o.Field(name)
	if n == nil {
		if lo > 0 {
			o.failMissing(name, accepted())
		}

		return
	}
	array, ok := n.value.Value.(*hujson.Array)
	if !ok {
		n.Fail(n.excerpt(), accepted())

		return
	}
	if len(array.Elements) < lo || len(array.Elements) > hi {
		n.Fail(fmt.Sprintf("%d elements", len(array.Elements)), accepted())

		return
	}
	for i := range array.Elements {
		f(&Node{doc: n.doc, value: &array.Elements[i], parent: n, index: i})
	}
}

// Names returns an array of lo to hi distinct names of at most maxLen bytes. If
// maxLen exceeds maxName, the names may be model names, which may also contain
// upper-case letters, '/' and ':'.
func (o *Object) Names(name string, lo, hi, maxLen int) []string {
	var names []string
	o.Each(name, lo, hi, func(n *Node) {
		s := n.readName(maxLen)
		if s == "" {
			return
		}
		for _, other := range names {
			if other == s {
				n.Fail(n.excerpt()+" is given twice", "each name once")

				return
			}
		}
		names = append(names, s)
	})

	return names
}

// readName returns the value as a name of at most maxLen bytes, or an empty string
// and adds a problem. If maxLen exceeds maxName, it accepts the larger character set
// of model names.
func (n *Node) readName(maxLen int) string {
	s := ""
	if l, ok := n.literal('"'); ok {
		s = literalText(l)
	}
	if s == "" || len(s) > maxLen || !validName(s, maxLen > maxName) {
		accepted := nameRule
		if maxLen > maxName {
			accepted = fmt.Sprintf("1 to %d letters, digits, '-', '_', '.', '/' or ':', starting with a letter or digit", maxLen)
		}
		n.Fail(n.excerpt(), accepted)

		return ""
	}

	return s
}

// validName reports whether all characters of a name are accepted; modelName selects
// the character set of model names.
func validName(s string, modelName bool) bool {
	for i := range len(s) {
		c := s[i]
		switch {
		case c >= 'a' && c <= 'z', c >= '0' && c <= '9':
		case modelName && c >= 'A' && c <= 'Z':
		case i > 0 && (c == '-' || c == '_' || c == '.'):
		case i > 0 && modelName && (c == '/' || c == ':'):
		default:
			return false
		}
	}

	return true
}
