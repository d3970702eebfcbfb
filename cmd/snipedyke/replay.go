package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"strings"

	"snipedyke/internal/recorder"
)

type replayCommand struct {
	Paths  []string `arg:"positional,required" placeholder:"PATH" help:"trace files, and directories with files named *.trace or *.trace.gz"`
	Secret string   `arg:"--secret" placeholder:"FILE" help:"file with the peer secret, required if requests in the trace have issued keys"`
	JSON   bool     `arg:"--json" help:"print JSON"`
}

func (c *replayCommand) run(_ context.Context, out io.Writer) error {
	var secret []byte
	if c.Secret != "" {
		var err error
		if secret, err = os.ReadFile(c.Secret); err != nil {
			return err
		}
		secret = []byte(strings.TrimSpace(string(secret)))
	}
	files, err := traceFiles(c.Paths)
	if err != nil {
		return err
	}
	if len(files) == 0 {
		return errors.New("no trace files found")
	}
	failed := 0
	for _, path := range files {
		result, err := replayFile(path, secret)
		if err != nil {
			return fmt.Errorf("%s: %w", path, err)
		}
		if !result.OK() {
			failed++
		}
		if c.JSON {
			err = json.NewEncoder(out).Encode(result)
		} else {
			_, err = fmt.Fprintf(out, "%s\n%s", path, result)
		}
		if err != nil {
			return err
		}
	}
	if failed > 0 {
		return fmt.Errorf("%d of %d traces miss a stated outcome", failed, len(files))
	}

	return nil
}

func replayFile(path string, secret []byte) (*recorder.Result, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer func() { _ = f.Close() }()
	trace, err := recorder.Decode(f)
	if err != nil {
		return nil, err
	}

	return recorder.Replay(trace, secret), nil
}

// traceFiles returns the paths that are files, and the trace files below those
// that are directories. Files of one directory are in lexical order.
func traceFiles(paths []string) ([]string, error) {
	var files []string
	for _, path := range paths {
		err := filepath.WalkDir(path, func(name string, d fs.DirEntry, err error) error {
			if err != nil || d.IsDir() {
				return err
			}
			if name == path || strings.HasSuffix(name, ".trace") || strings.HasSuffix(name, ".trace.gz") {
				files = append(files, name)
			}

			return nil
		})
		if err != nil {
			return nil, err
		}
	}

	return files, nil
}
