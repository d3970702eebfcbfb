package forwarder

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"

	"snipedyke/internal/budgeter"
)

// Guards against a process that runs out of memory, and ends the requests of all
// callers, because endpoints send many large responses or events without end at once.
func TestFaultyEndpointsDoNotUseUpTheMemory(t *testing.T) {
	const (
		// limit is the budget of the smallest machine, which has 112 MB.
		limit   = 112 << 20 / 4
		callers = 60
		// perCaller bounds what is needed for a caller and its attempts apart from
		// the budget, including the buffers of the test itself.
		perCaller = 128 << 10
	)
	block := strings.Repeat("x", 64<<10)
	for name, test := range map[string]struct {
		path, begin string
		// size is the number of bytes that are sent before the endpoint stalls.
		size int
	}{
		"length": {"/unsafe/bad", "HTTP/1.1 200 OK\r\nName: %s\r\nSeal: s\r\nContent-Length: 16000000\r\n\r\n", 15_000_000},
		"chunk":  {"/unsafe/bad", "HTTP/1.1 200 OK\r\nName: %s\r\nSeal: s\r\nTransfer-Encoding: chunked\r\n\r\nf00000\r\n", 15_000_000},
		"event":  {"/stream/bad", "HTTP/1.1 200 OK\r\nName: %s\r\nSeal: s\r\n\r\n" + events(1, 1) + "id: 2\ndata: ", 1_000_000},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			var sent sync.WaitGroup
			sent.Add(callers)
			released := make(chan struct{})
			e := newEndpoint(t, func(conn net.Conn, r *http.Request) bool {
				if !strings.HasSuffix(r.URL.Path, "/bad") {
					return reply(conn, r, 200, "sound")
				}
				_, err := fmt.Fprintf(conn, test.begin, r.Header.Get("Name"))
				for n := 0; err == nil && n < test.size; n += len(block) {
					_, err = io.WriteString(conn, block)
				}
				sent.Done()
				<-released

				return false
			})
			before := liveBytes()
			f := startWith(t, func(f *Forwarder) { f.budget = budgeter.New(budgeter.Options{Limit: limit, Clock: f.opts.Clock}) }, e)
			for i := range callers {
				f.dial(c).send("POST", test.path, fmt.Sprint("r", i), "")
			}
			sound := f.dial(c)
			for i := range 20 {
				sound.send("POST", "/unsafe/x", fmt.Sprint("s", i), "")
				resp, body, err := sound.receive()
				c.Assert(err, qt.IsNil)
				c.Assert(resp.StatusCode, qt.Equals, 200)
				c.Assert(body, qt.Equals, "sound")
			}
			sent.Wait()
			c.Check(liveBytes()-before <= limit+callers*perCaller, qt.IsTrue, qt.Commentf("%d MB of memory", (liveBytes()-before)>>20))
			c.Check(f.Memory().Peak <= limit, qt.IsTrue)
			c.Check(f.Memory().Peak > 0, qt.IsTrue)
			close(released)
			f.stop()
			c.Check(<-f.done, qt.IsNil)
			c.Check(f.Memory().Used, qt.Equals, 0)
		})
	}
}

// liveBytes returns the number of bytes in use.
func liveBytes() int {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)

	return int(stats.HeapAlloc)
}

// Guards against callers whose bodies use up the memory, and against a refusal of such
// a body that is final, although there may be room for it later.
func TestLargeBodiesOfCallersAreRefusedForNow(t *testing.T) {
	c := qt.New(t)
	e := newEndpoint(t, func(conn net.Conn, r *http.Request) bool { return reply(conn, r, 200, "sound") })
	f := startWith(t, func(f *Forwarder) { f.budget = budgeter.New(budgeter.Options{Limit: 100 << 10, Clock: f.opts.Clock}) }, e)
	large := strings.Repeat("b", 200<<10)
	refused := f.dial(c)
	refused.send("POST", "/unsafe/x", "r1", large)
	resp, body, err := refused.receive()
	c.Assert(err, qt.IsNil)
	c.Check(resp.StatusCode, qt.Equals, 503)
	c.Check(body, qt.Contains, "memory")
	c.Check(resp.Header.Get("Retry-After"), qt.Not(qt.Equals), "")
	c.Check(e.requests(), qt.HasLen, 0)
	sound := f.dial(c)
	sound.send("POST", "/unsafe/x", "r2", large[:40<<10])
	resp, _, err = sound.receive()
	c.Assert(err, qt.IsNil)
	c.Check(resp.StatusCode, qt.Equals, 200)
	c.Check(e.body, qt.DeepEquals, []string{large[:40<<10]})
}
