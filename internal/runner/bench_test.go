package runner

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/netip"
	"runtime"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// startRawEngine starts an engine that answers every request with as little work
// as possible, so that its own cost does not hide that of the node.
func startRawEngine(b *testing.B, size int, answer func(conn net.Conn)) netip.AddrPort {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(b, err, qt.IsNil)
	b.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				br := bufio.NewReader(conn)
				for {
					// The header ends with an empty line; the body has a known size.
					for {
						line, err := br.ReadSlice('\n')
						if err != nil {
							return
						}
						if len(line) == 2 {
							break
						}
					}
					if _, err := br.Discard(size); err != nil {
						return
					}
					answer(conn)
				}
			}()
		}
	}()

	return ln.Addr().(*net.TCPAddr).AddrPort()
}

// rawCaller repeatedly sends the same request.
type rawCaller struct {
	conn    net.Conn
	br      *bufio.Reader
	request []byte
}

func newRawCaller(b *testing.B, to netip.AddrPort, body string) *rawCaller {
	conn, err := net.Dial("tcp", to.String())
	qt.Assert(b, err, qt.IsNil)
	b.Cleanup(func() { _ = conn.Close() })

	return &rawCaller{conn: conn, br: bufio.NewReader(conn), request: fmt.Appendf(nil,
		"POST /v1/chat/completions HTTP/1.1\r\nHost: n\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s",
		callerKey, len(body), body)}
}

func (c *rawCaller) send(b *testing.B) {
	if _, err := c.conn.Write(c.request); err != nil {
		b.Fatal(err)
	}
}

// readTo reads lines up to the one that contains mark.
func (c *rawCaller) readTo(b *testing.B, mark []byte) {
	for {
		line, err := c.br.ReadSlice('\n')
		if err != nil {
			b.Fatal(err)
		}
		if bytes.Contains(line, mark) {
			return
		}
	}
}

// compare runs a step b.N times directly against the engine and b.N times through
// the node, in alternating rounds, and reports the cost of both and their ratio.
func compare(b *testing.B, direct, through func()) {
	const turns = 10
	var spent [2]time.Duration
	var allocs, size [2]uint64
	var before, after runtime.MemStats
	for _, f := range []func(){direct, through} {
		f()
	}
	b.ResetTimer()
	done := 0
	for turn := range turns {
		count := b.N*(turn+1)/turns - done
		done += count
		for i, f := range []func(){direct, through} {
			runtime.ReadMemStats(&before)
			start := time.Now()
			for range count {
				f()
			}
			spent[i] += time.Since(start)
			runtime.ReadMemStats(&after)
			allocs[i] += after.Mallocs - before.Mallocs
			size[i] += after.TotalAlloc - before.TotalAlloc
		}
	}
	n := float64(b.N)
	b.ReportMetric(0, "ns/op")
	b.ReportMetric(float64(spent[0])/n, "direct-ns")
	b.ReportMetric(float64(spent[1])/n, "through-ns")
	b.ReportMetric(float64(spent[1])/float64(spent[0]), "ratio")
	b.ReportMetric(float64(allocs[0])/n, "direct-allocs")
	b.ReportMetric(float64(allocs[1])/n, "through-allocs")
	b.ReportMetric(float64(size[1])/n, "through-B")
}

// BenchmarkCall measures a call with an answer that is not streamed.
func BenchmarkCall(b *testing.B) {
	answer := []byte(jsonHeader + "16\r\n\r\n{\"choices\": []}\n")
	engine := startRawEngine(b, len(chatBody), func(conn net.Conn) { _, _ = conn.Write(answer) })
	n := startNode(b, testCatalogue(engine, engine), func(_ *Options, s *scriptedReducer) { s.events = nil })
	mark := []byte("choices")
	step := func(to netip.AddrPort) func() {
		c := newRawCaller(b, to, chatBody)

		return func() {
			c.send(b)
			c.readTo(b, mark)
		}
	}
	compare(b, step(engine), step(n.Addr()))
}

// BenchmarkChunk measures one chunk of a stream. The engine sends a chunk after
// the caller has read the previous one.
func BenchmarkChunk(b *testing.B) {
	var next [2]chan struct{}
	for i := range next {
		next[i] = make(chan struct{})
	}
	part := []byte(token("word"))
	stream := func(i int) func(net.Conn) {
		return func(conn net.Conn) {
			_, _ = io.WriteString(conn, sseHeader)
			for range next[i] {
				_, _ = conn.Write(part)
			}
			_ = conn.Close()
		}
	}
	engines := [2]netip.AddrPort{startRawEngine(b, len(streamBody), stream(0)), startRawEngine(b, len(streamBody), stream(1))}
	n := startNode(b, testCatalogue(engines[1], engines[1]), func(_ *Options, s *scriptedReducer) { s.events = nil })
	mark := []byte("word")
	step := func(i int, to netip.AddrPort) func() {
		c := newRawCaller(b, to, streamBody)
		c.send(b)

		return func() {
			next[i] <- struct{}{}
			c.readTo(b, mark)
		}
	}
	compare(b, step(0, engines[0]), step(1, n.Addr()))
	for i := range next {
		close(next[i])
	}
}
