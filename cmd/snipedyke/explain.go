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

// explainCommand prints the log lines about one request, from all nodes in order
// of time.
type explainCommand struct {
	Request string   `arg:"positional,required" placeholder:"ID" help:"the caller's identifier of the attempt"`
	Logs    []string `arg:"positional" placeholder:"FILE" help:"log files of one or more nodes in JSON; standard input if there is none"`
}

// maxLineBytes is the maximum length of a log line.
const maxLineBytes = 1 << 20

// logLine is a parsed log line about the request.
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
		return fmt.Errorf("no log line about request %s found; its lines may have been dropped (event 713), or the log of its node is missing", c.Request)
	}
	slices.SortStableFunc(lines, func(a, b logLine) int { return a.at.Compare(b.at) })
	for _, l := range lines {
		if _, err := fmt.Fprintf(out, "%s  %s  %s\n", l.at.Format("15:04:05.000"), l.host, l.text); err != nil {
			return err
		}
		for _, name := range detailFields(l.fields) {
			if _, err := fmt.Fprintf(out, "    %-10s %v\n", name, l.fields[name]); err != nil {
				return err
			}
		}
	}

	return nil
}

// findRequest returns the log lines about a request. It ignores text before the
// JSON object of a line, such as a prefix that a log collector added.
func findRequest(r io.Reader, request string) ([]logLine, error) {
	var lines []logLine
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
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
			// A line with an invalid time keeps the zero time and is sorted first.
			l.at, _ = time.Parse(time.RFC3339Nano, at)
		}
		lines = append(lines, l)
	}

	return lines, scanner.Err()
}

// detailFields returns the sorted names of the fields to print under a line: all
// but the host, the request and those of the log format.
func detailFields(fields map[string]any) []string {
	var names []string
	for name := range fields {
		if name != "host" && name != "request" && !strings.HasPrefix(name, "@") {
			names = append(names, name)
		}
	}
	slices.Sort(names)

	return names
}
