// Package decoder decodes JSON with comments strictly: unknown, repeated and missing
// fields and values out of range are problems. Each is reported with file, line,
// field and accepted range.
package decoder

import (
	"fmt"
	"strings"
)

// MaxProblems is the number of problems that a ProblemList keeps. A document
// can have a hundred thousand problems, and operators read only the first few.
const MaxProblems = 50

// Problem is one problem of a document.
type Problem struct {
	File string
	// Line counts from 1; zero means that the problem has no line.
	Line int
	// Field is the path of the field, for example "entries[3].rate". It is
	// empty if the problem concerns the whole document.
	Field string
	// Got describes the fault, and Accepted the accepted range or form.
	Got      string
	Accepted string
}

// String formats the problem as one line.
func (p Problem) String() string {
	var b strings.Builder
	b.WriteString(p.File)
	if p.Line > 0 {
		fmt.Fprintf(&b, ":%d", p.Line)
	}
	if p.Field != "" {
		b.WriteString(": " + p.Field)
	}
	b.WriteString(": " + p.Got)
	if p.Accepted != "" {
		b.WriteString("; accepted: " + p.Accepted)
	}

	return b.String()
}

// ProblemList collects problems. The zero value is empty and ready to use.
type ProblemList struct {
	problems []Problem
	// dropped is the number of problems beyond MaxProblems.
	dropped int
}

// Add adds a problem; beyond MaxProblems, it only counts it.
func (l *ProblemList) Add(p Problem) {
	if len(l.problems) >= MaxProblems {
		l.dropped++

		return
	}
	l.problems = append(l.problems, p)
}

// Len returns the number of problems, including those that were dropped.
func (l *ProblemList) Len() int { return len(l.problems) + l.dropped }

// Empty reports whether no problem has been added.
func (l *ProblemList) Empty() bool { return len(l.problems) == 0 }

// Err returns an *Error with the problems, or nil if there are none.
func (l *ProblemList) Err() error {
	if l.Empty() {
		return nil
	}

	return &Error{Problems: l.problems, Dropped: l.dropped}
}

// Error lists the problems of one or more documents.
type Error struct {
	Problems []Problem
	// Dropped is the number of further problems that are not in Problems.
	Dropped int
}

// Error formats each problem on its own line.
func (e *Error) Error() string {
	lines := make([]string, 0, len(e.Problems)+1)
	for _, p := range e.Problems {
		lines = append(lines, p.String())
	}
	if e.Dropped > 0 {
		lines = append(lines, fmt.Sprintf("and %d more", e.Dropped))
	}

	return strings.Join(lines, "\n")
}
