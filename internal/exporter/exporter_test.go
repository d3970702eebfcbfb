package exporter

import (
	"bytes"
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"snipedyke/internal/reducer"
)

// A refusal reason without an initial time series would hide its first
// occurrence from an alert on its rate.
func TestEveryReasonStartsAtZero(t *testing.T) {
	c := qt.New(t)
	file, err := parser.ParseFile(token.NewFileSet(), "../reducer/effect.go", nil, 0)
	c.Assert(err, qt.IsNil)
	x := New()
	x.AddClasses([]string{"payment"})
	var out bytes.Buffer
	x.Write(&out)
	found := 0
	ast.Inspect(file, func(n ast.Node) bool {
		spec, ok := n.(*ast.ValueSpec)
		if !ok || !strings.HasPrefix(spec.Names[0].Name, "Reason") {
			return true
		}
		found++
		reason := spec.Values[0].(*ast.BasicLit).Value
		for _, counter := range []string{"refusals", "retries"} {
			for _, class := range []string{"", "payment"} {
				line := fmt.Sprintf("snipedyke_%s_total{reason=%s,class=%q} 0\n", counter, reason, class)
				c.Check(strings.Contains(out.String(), line), qt.IsTrue, qt.Commentf("%s", line))
			}
		}

		return true
	})
	c.Check(found, qt.Equals, len(Reasons))
}

// Label values that come from outside must not use up the memory.
func TestLabelsAreBounded(t *testing.T) {
	c := qt.New(t)
	x := New()
	for i := range 1000 {
		x.Count(reducer.Count{Counter: reducer.CounterClaims, Label: fmt.Sprint("v", i)})
		x.Observe(reducer.Observe{Histogram: reducer.HistogramFirstToken, Class: fmt.Sprint("c", i), Value: time.Second})
	}
	c.Check(x.Value(reducer.CounterClaims, "v0", ""), qt.Equals, uint64(1))
	c.Check(x.Value(reducer.CounterClaims, "v999", ""), qt.Equals, uint64(1000-maxLabels))
	c.Check(len(x.histograms) <= maxLabels+1, qt.IsTrue)
}

func TestCountAddsN(t *testing.T) {
	c := qt.New(t)
	x := New()
	x.Count(reducer.Count{Counter: reducer.CounterWasted, Class: "chat", N: 40})
	x.Count(reducer.Count{Counter: reducer.CounterWasted, Class: "chat"})
	c.Check(x.Value(reducer.CounterWasted, "", "chat"), qt.Equals, uint64(41))
}
