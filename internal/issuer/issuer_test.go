package issuer

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestVerify checks that issued keys are unique, that any node with the secret
// accepts them, and that forged or modified keys are rejected.
func TestVerify(t *testing.T) {
	c := qt.New(t)
	i := New("host-1", 42, []byte("secret"))
	keys := append(i.Issue(3), i.Issue(2)...)
	c.Assert(keys, qt.HasLen, 5)
	seen := map[string]bool{}
	for n, k := range keys {
		c.Check(seen[k], qt.IsFalse)
		seen[k] = true
		key, ok := New("other", 1, []byte("secret")).Verify(k)
		c.Check(ok, qt.IsTrue)
		c.Check(key, qt.Equals, Key{Node: "host-1", Incarnation: 42, Number: uint64(n + 1)})
	}
	_, ok := New("host-1", 42, []byte("another")).Verify(keys[0])
	c.Check(ok, qt.IsFalse)
	for pos := range keys[0] {
		modified := keys[0][:pos] + string('A'+(keys[0][pos]-'A'+1)%26) + keys[0][pos+1:]
		if _, ok := i.Verify(modified); ok && modified != keys[0] {
			c.Errorf("modified key %q is accepted", modified)
		}
	}
	for _, k := range []string{"", "sk1_", "sk1_AAAA", keys[0] + "A", strings.Repeat("A", 1<<16)} {
		_, ok := i.Verify(k)
		c.Check(ok, qt.IsFalse)
	}
}

// FuzzVerify checks that Verify does not panic on arbitrary keys.
func FuzzVerify(f *testing.F) {
	i := New("host-1", 42, []byte("secret"))
	f.Add(i.Issue(1)[0])
	f.Add("sk1_")
	f.Fuzz(func(_ *testing.T, key string) { i.Verify(key) })
}
