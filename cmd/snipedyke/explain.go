package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"time"
)

// explainCommand prints what logs say of one request.
type explainCommand struct {
	Request string   `arg:"positional,required" placeholder:"ID" help:"the caller's identifier of the attempt"`
	Logs    []string `arg:"positional" placeholder:"FILE" help:"log files of one or more nodes in JSON; standard input if there is none"`
}

// maxLine bounds a log line in bytes.
const maxLine = 1 << 20

// logLine is a line that names the request.
type logLine struct {
	at     time.Time
	host   string
	text   string
	fields map[string]any
}

func (c *explainCommand) run(_ context.Context, out io.Writer) error {
	var lines []logLine
	if len(c.Logs) == 0 {
		found, err := findRequest(os.Stdin, c.Request)
		if err != nil {
			return err
		}
		lines = found
	}
	for _, path := range c.Logs {
		f, err := os.Open(path)
		if err != nil {
			return err
		}
		found, err := findRequest(f, c.Request)
		if err := errors.Join(err, f.Close()); err != nil {
			return fmt.Errorf("%s: %w", path, err)
		}
		lines = append(lines, found...)
	}
	if len(lines) == 0 {
		return fmt.Errorf("no line names the request %s; its lines may have been left out (event 713) or its node's log is missing", c.Request)
	}
	slices.SortStableFunc(lines, func(a, b logLine) int { return a.at.Compare(b.at) })
	for _, l := range lines {
		if _, err := fmt.Fprintf(out, "%s  %s  %s\n", l.at.Format("15:04:05.000"), l.host, l.text); err != nil {
			return err
		}
		for _, name := range sortedFields(l.fields) {
			if _, err := fmt.Fprintf(out, "    %-10s %v\n", name, l.fields[name]); err != nil {
				return err
			}
		}
	}

	return nil
}

// findRequest returns the lines that name a request. Text before the JSON of a
// line, such as a prefix of the collector, is passed over.
func findRequest(r io.Reader, request string) ([]logLine, error) {
	var lines []logLine
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLine)
	for scanner.Scan() {
		start := bytes.IndexByte(scanner.Bytes(), '{')
		if start < 0 || !bytes.Contains(scanner.Bytes(), []byte(request)) {
			continue
		}
		fields := map[string]any{}
		if json.Unmarshal(scanner.Bytes()[start:], &fields) != nil || fields["request"] != request {
			continue
		}
		l := logLine{fields: fields}
		l.host, _ = fields["host"].(string)
		l.text, _ = fields["@message"].(string)
		if at, ok := fields["@timestamp"].(string); ok {
			// A time that cannot be read leaves the line first.
			l.at, _ = time.Parse(time.RFC3339Nano, at)
		}
		lines = append(lines, l)
	}

	return lines, scanner.Err()
}

// sortedFields returns the names of the fields that tell something of a
// request.
func sortedFields(fields map[string]any) []string {
	var names []string
	for name := range fields {
		if name != "host" && name != "request" && !strings.HasPrefix(name, "@") {
			names = append(names, name)
		}
	}
	slices.Sort(names)

	return names
}
