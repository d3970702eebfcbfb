package logger

import (
	"bytes"
	"encoding/json"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Every event must be documented in LOGS.md, and every documented event must
// still exist.
func TestCatalogueAgreesWithDocument(t *testing.T) {
	c := qt.New(t)
	page, err := os.ReadFile("../../docs/LOGS.md")
	c.Assert(err, qt.IsNil)
	documented := map[int][]string{}
	for line := range strings.Lines(string(page)) {
		cells := strings.Split(line, "|")
		if len(cells) < 7 {
			continue
		}
		for i := range cells {
			cells[i] = strings.TrimSpace(cells[i])
		}
		number, err := strconv.Atoi(cells[1])
		if err != nil {
			continue
		}
		c.Assert(documented[number], qt.IsNil, qt.Commentf("event %d is documented twice", number))
		documented[number] = cells[2:5]
		c.Assert(cells[5], qt.Not(qt.Equals), "", qt.Commentf("event %d has no advice", number))
	}
	last := 0
	for _, d := range Catalogue() {
		c.Assert(d.Number > last, qt.IsTrue, qt.Commentf("event %d is out of order", d.Number))
		last = d.Number
		c.Check(documented[d.Number], qt.DeepEquals,
			[]string{d.Level.String(), d.Text, strings.Join(d.Fields, ", ")}, qt.Commentf("event %d", d.Number))
	}
	c.Check(len(documented), qt.Equals, len(Catalogue()))
}

// Every event of the catalogue must be used in some package, and each call must
// use only the fields that the catalogue lists for the event.
func TestEventsAreWritten(t *testing.T) {
	c := qt.New(t)
	numbers := map[string]int{}
	written := map[int]bool{}
	file, err := parser.ParseFile(token.NewFileSet(), "events.go", nil, 0)
	c.Assert(err, qt.IsNil)
	ast.Inspect(file, func(n ast.Node) bool {
		if v, ok := n.(*ast.ValueSpec); ok && len(v.Values) == 1 {
			if lit, ok := v.Values[0].(*ast.BasicLit); ok {
				numbers[v.Names[0].Name], _ = strconv.Atoi(lit.Value)
			}
		}

		return true
	})
	// inside reports whether the file belongs to this package, which refers to
	// events without a package name.
	inside := false
	// event returns the event number that an expression such as logger.LinkUp
	// refers to, or 0.
	event := func(n ast.Node) int {
		if x, ok := n.(*ast.Ident); ok && inside {
			return numbers[x.Name]
		}
		s, ok := n.(*ast.SelectorExpr)
		if !ok {
			return 0
		}
		if x, ok := s.X.(*ast.Ident); !ok || x.Name != "logger" {
			return 0
		}

		return numbers[s.Sel.Name]
	}
	err = filepath.WalkDir("..", func(path string, _ fs.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		if path == "../logger/events.go" {
			return nil
		}
		inside = strings.HasPrefix(path, "../logger/")
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
		c.Assert(err, qt.IsNil)
		ast.Inspect(file, func(n ast.Node) bool {
			written[event(n)] = true
			call, ok := n.(*ast.CallExpr)
			if !ok || len(call.Args) == 0 || event(call.Args[0]) == 0 {
				return true
			}
			d, _ := Lookup(event(call.Args[0]))
			for i := 1; i < len(call.Args); i += 2 {
				key, err := strconv.Unquote(call.Args[i].(*ast.BasicLit).Value)
				c.Check(err, qt.IsNil)
				c.Check(d.Fields, qt.Contains, key, qt.Commentf("event %d in %s", d.Number, path))
			}

			return true
		})

		return nil
	})
	c.Assert(err, qt.IsNil)
	for _, d := range Catalogue() {
		c.Check(written[d.Number], qt.IsTrue, qt.Commentf("nothing writes event %d", d.Number))
	}
}

// Alerts match on the event number, so every line must carry it.
func TestEventCarriesNumber(t *testing.T) {
	c := qt.New(t)
	var out bytes.Buffer
	l := New(Options{Output: &out, Format: JSON, Node: "a"})
	l.Event(LinkUp, "peer", "b")
	l.Event(999)
	var first, second map[string]any
	dec := json.NewDecoder(&out)
	c.Assert(dec.Decode(&first), qt.IsNil)
	c.Assert(dec.Decode(&second), qt.IsNil)
	c.Check(first["event"], qt.Equals, 501.0)
	c.Check(first["host"], qt.Equals, "a")
	c.Check(first["peer"], qt.Equals, "b")
	c.Check(second["@level"], qt.Equals, "error")
}
