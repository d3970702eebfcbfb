package main

import (
	"bytes"
	"os"
	"reflect"
	"regexp"
	"strconv"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"snipedyke/internal/exporter"
	"snipedyke/internal/logger"
)

// Guards against commands, options and log events in the operations guide that
// do not exist, against refusal codes that it omits, and against links to missing
// sections.
func TestGuide(t *testing.T) {
	c := qt.New(t)
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	c.Assert(err, qt.IsNil)
	text := string(page)
	options := map[string]string{}
	var a arguments
	for f := range reflect.TypeOf(a).Fields() {
		name := strings.ToLower(f.Name)
		_, help, _ := runCommand(t, name, "--help")
		options[name] = help
	}
	for _, m := range regexp.MustCompile("`snipedyke ([a-z]+)([^`]*)`").FindAllStringSubmatch(text, -1) {
		help, ok := options[m[1]]
		c.Check(ok, qt.IsTrue, qt.Commentf("command %q", m[1]))
		for _, o := range regexp.MustCompile(`--[a-z]+`).FindAllString(m[2], -1) {
			c.Check(help, qt.Contains, o, qt.Commentf("command %q", m[1]))
		}
	}
	for _, m := range regexp.MustCompile(`(?i)events? ((?:\d{3}(?:, | and | or )?)+)`).FindAllStringSubmatch(text, -1) {
		for _, n := range regexp.MustCompile(`\d{3}`).FindAllString(m[1], -1) {
			number, _ := strconv.Atoi(n)
			_, ok := logger.Lookup(number)
			c.Check(ok, qt.IsTrue, qt.Commentf("event %s", n))
		}
	}
	for _, reason := range exporter.Reasons {
		c.Check(text, qt.Contains, "`"+string(reason)+"`")
	}
	headings := map[string]bool{}
	for _, m := range regexp.MustCompile(`(?m)^#+ (.*)$`).FindAllStringSubmatch(text, -1) {
		headings[strings.ReplaceAll(strings.ToLower(m[1]), " ", "-")] = true
	}
	for _, m := range regexp.MustCompile(`\(#([a-z-]+)\)`).FindAllStringSubmatch(text, -1) {
		c.Check(headings[m[1]], qt.IsTrue, qt.Commentf("section %q", m[1]))
	}
}

// Guards against metrics in the operations guide that no node exports.
func TestGuideMetrics(t *testing.T) {
	c := qt.New(t)
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	c.Assert(err, qt.IsNil)
	var metrics bytes.Buffer
	exporter.New().Write(&metrics)
	source, err := os.ReadFile("../../internal/assembler/monitor.go")
	c.Assert(err, qt.IsNil)
	effects, err := os.ReadFile("../../internal/reducer/effect.go")
	c.Assert(err, qt.IsNil)
	table := string(page)[strings.Index(string(page), "| metric |"):]
	table = table[:strings.Index(table, "\n\n")]
	for _, m := range regexp.MustCompile("`([a-z_]+)(?:\\{[a-z,]+\\})?`").FindAllStringSubmatch(table, -1) {
		name := m[1]
		base := strings.TrimSuffix(strings.TrimSuffix(name, "_total"), "_seconds")
		known := strings.Contains(metrics.String(), "snipedyke_"+name) || strings.Contains(string(source), name) ||
			base != name && strings.Contains(string(effects), `"`+base+`"`) ||
			strings.Contains(string(effects)+string(source)+metrics.String(), `"`+name+`"`)
		c.Check(known, qt.IsTrue, qt.Commentf("metric %q", name))
	}
}
