package decoder

import "fmt"

// Secret returns a string of lo to hi bytes. Messages never contain its text.
func (o *Object) Secret(name string, lo, hi int) string {
	accepted := fmt.Sprintf("a string of %d to %d bytes", lo, hi)
	n := o.Field(name)
	if n == nil {
		o.failMissing(name, accepted)

		return ""
	}
	l, ok := n.literal('"')
	if !ok {
		n.Fail("not a string", accepted)

		return ""
	}
	s := literalText(l)
	if len(s) < lo || len(s) > hi {
		n.Fail(fmt.Sprintf("a string of %d bytes", len(s)), accepted)

		return ""
	}

	return s
}
