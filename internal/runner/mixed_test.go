package runner

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/sourcegraph/conc"

	"snipedyke/internal/reducer"
)

// fault is the kind of failure of a request of TestMixedFaults.
type fault int

const (
	faultNone fault = iota
	faultConnectionLost
	faultTruncated
	faultCallerGone
	faultBusy
	faultCount
)

// Failed requests must not affect others on the same connections. The test
// detects answers that contain parts of other answers or end wrongly, dispatches
// that end twice or never, and calls that are never removed.
func TestMixedFaults(t *testing.T) {
	const requests, callers, tokens = 400, 16, 20
	events := func(name string, from, to int) string {
		var b strings.Builder
		for i := from; i < to; i++ {
			fmt.Fprintf(&b, "data: {\"choices\":[{\"delta\":{\"content\":\"%s %d\"}}]}\n\n", name, i)
		}

		return b.String()
	}
	engine := startEndpoint(t, func(conn net.Conn, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		_, text, _ := strings.Cut(string(body), `"content":"`)
		name, _, _ := strings.Cut(text, `"`)
		var number, kind int
		_, _ = fmt.Sscanf(name, "r%d-%d", &number, &kind)
		if fault(kind) == faultBusy {
			send(conn, "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")

			return
		}
		send(conn, sseHeader)
		for i := range tokens {
			if i == tokens/2 && fault(kind) == faultConnectionLost {
				_ = conn.Close()

				return
			}
			if i == tokens/2 && fault(kind) == faultTruncated {
				send(conn, "0\r\n\r\n")

				return
			}
			send(conn, chunk(events(name, i, i+1)))
		}
		send(conn, chunk("data: [DONE]\n\n"), "0\r\n\r\n")
	})

	var mu sync.Mutex
	dispatched, ended := map[uint64]int{}, map[uint64]int{}
	n := startNode(t, testCatalogue(engine.address(), engine.address()), func(_ *Options, s *scriptedReducer) {
		s.events = nil
		s.onArrived = func(r reducer.Request) []reducer.Effect {
			mu.Lock()
			defer mu.Unlock()
			dispatched[r.ID]++

			return []reducer.Effect{reducer.Dispatch{ID: r.ID, Permit: r.ID, Endpoint: "draft", Attempt: 1}}
		}
		s.onEnded = func(e reducer.Ended) []reducer.Effect {
			mu.Lock()
			defer mu.Unlock()
			ended[e.ID]++

			return nil
		}
	})

	call := func(number int, kind fault) {
		name := fmt.Sprintf("r%d-%d", number, kind)
		comment := qt.Commentf("%s", name)
		resp, err := n.client.Do(n.request(t, "POST", "/v1/chat/completions", strings.ReplaceAll(streamBody, "hi", name)))
		if !qt.Check(t, err, qt.IsNil, comment) {
			return
		}
		defer func() { _ = resp.Body.Close() }()
		if kind == faultCallerGone {
			// Closing the body early closes the connection.
			line, err := bufio.NewReaderSize(resp.Body, 64).ReadString('}')
			qt.Check(t, err, qt.IsNil, comment)
			qt.Check(t, strings.HasPrefix(events(name, 0, 1), line), qt.IsTrue, comment)

			return
		}
		body, err := io.ReadAll(resp.Body)
		qt.Check(t, err, qt.IsNil, comment)
		const (
			lost   = `{"error":{"code":"endpoint_lost","message":"the endpoint broke the connection","run":"`
			failed = `{"error":{"code":"endpoint_error","message":"the endpoint failed","run":"`
		)
		want := map[fault]string{
			faultNone:           events(name, 0, tokens) + "data: [DONE]\n\n",
			faultConnectionLost: events(name, 0, tokens/2) + "event: error\ndata: " + lost + "ran\"}}\n\n",
			faultTruncated:      events(name, 0, tokens/2) + "event: error\ndata: " + failed + "ran\"}}\n\n",
			faultBusy:           lost + "may-have-run\"}}",
		}[kind]
		qt.Check(t, string(body), qt.Equals, want, comment)
	}
	var wg conc.WaitGroup
	for c := range callers {
		random := rand.New(rand.NewPCG(1, uint64(c)))
		wg.Go(func() {
			for i := range requests / callers {
				call(c*requests+i, fault(random.IntN(int(faultCount))))
			}
		})
	}
	wg.Wait()

	// A graceful shutdown waits until every call is removed.
	n.Leave()
	<-n.runReturned
	mu.Lock()
	defer mu.Unlock()
	qt.Check(t, dispatched, qt.HasLen, requests)
	qt.Check(t, ended, qt.DeepEquals, dispatched)
	qt.Check(t, n.calls, qt.HasLen, 0)
}
