// Package logger writes numbered log events. docs/LOGS.md lists them for
// operators.
package logger

import (
	"io"

	"github.com/hashicorp/go-hclog"
)

// Format is the encoding of log lines.
type Format string

// Supported formats.
const (
	Text Format = "text"
	JSON Format = "json"
)

// Options configure a Logger.
type Options struct {
	// Output receives the log lines; nil discards them.
	Output io.Writer
	// Format is Text if empty.
	Format Format
	// Level is the lowest level that is written; Info if it is NoLevel.
	Level hclog.Level
	// Node, unless it is empty, is added to each line as the field "host".
	Node string
}

// Logger writes numbered events. It is safe for concurrent use.
type Logger struct{ out hclog.Logger }

// New returns a logger with the given options.
func New(opts Options) *Logger {
	if opts.Output == nil {
		return &Logger{out: hclog.NewNullLogger()}
	}
	level := opts.Level
	if level == hclog.NoLevel {
		level = hclog.Info
	}
	out := hclog.New(&hclog.LoggerOptions{
		Output:     opts.Output,
		Level:      level,
		JSONFormat: opts.Format == JSON,
	})
	if opts.Node != "" {
		out = out.With("host", opts.Node)
	}

	return &Logger{out: out}
}

// Event writes the event with the given number; args alternates keys and
// values. A number without a definition is logged at error level.
func (l *Logger) Event(number int, args ...any) {
	d, ok := Lookup(number)
	if !ok {
		d = Definition{Number: number, Level: hclog.Error, Text: "event without a definition"}
	}
	l.out.Log(d.Level, d.Text, append([]any{"event", number}, args...)...)
}

// Debug writes a debug line without an event number, for developers.
func (l *Logger) Debug(text string, args ...any) { l.out.Debug(text, args...) }
