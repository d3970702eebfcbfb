package soaker

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"strings"
	"time"

	"snipedyke/platform/standin"
)

// loopbackAnyPort makes a listener choose a free port of the loopback address.
var loopbackAnyPort = netip.MustParseAddrPort("127.0.0.1:0")

// requestTimeout bounds the time that a caller waits for a response.
const requestTimeout = 5 * time.Second

// caller sends requests one at a time over persistent connections.
type caller struct {
	soaker *Soaker
	index  int
	rng    *rand.Rand
	client *http.Client
	sent   int
}

func newCaller(s *Soaker, index int) *caller {
	return &caller{
		soaker: s, index: index, rng: rand.New(rand.NewPCG(s.opts.Seed, uint64(1000+index))),
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4}},
	}
}

func (c *caller) run(stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(10+c.rng.IntN(40)) * time.Millisecond):
			c.send()
		}
	}
}

// send sends a random request, checks the response and records the outcome.
func (c *caller) send() {
	c.sent++
	n := c.soaker.nodes[c.rng.IntN(len(c.soaker.nodes))]
	id := fmt.Sprintf("%08x%04x%04x", c.soaker.opts.Seed, c.index, c.sent)
	path := []string{"/safe/", "/unsafe/", "/stream/", "/resumestream/"}[c.rng.IntN(4)]
	key := []string{keptKey, revokedKey}[c.rng.IntN(2)]
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	// The client can't rewind this body, so it doesn't retry the request on a
	// broken connection.
	body := io.NopCloser(strings.NewReader("a body"))
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+n.callerAddr.String()+path+"x?y=1", body)
	if err != nil {
		c.soaker.history.AddViolation("%s: %v", id, err)

		return
	}
	r.Host, r.ContentLength = host, 6
	standin.SetRequestHeaders(r, id, key, requestTimeout)
	unsafe := path == "/unsafe/" || path == "/stream/"
	o := outcome{unsafe: unsafe, withRevokedKey: key == revokedKey, sent: time.Now(), node: n.index}
	// Record the request before it is sent, because an endpoint may report its
	// run before the response arrives.
	c.soaker.history.setOutcome(id, o)
	resp, err := c.client.Do(r)
	if err == nil {
		o.status, o.sealed = resp.StatusCode, standin.HasSeal(resp, id)
		err = c.checkResponse(id, path, resp)
	}
	o.cut = err != nil && ctx.Err() == nil
	o.ended = time.Now()
	c.soaker.history.setOutcome(id, o)
}

// checkResponse compares a response with what the servers send for the request.
// It returns the error of reading the body, if any.
func (c *caller) checkResponse(id, path string, resp *http.Response) error {
	body, err := io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return err
	}
	if !standin.HasSeal(resp, id) {
		c.soaker.history.AddViolation("%s received a success response that no server sent for it", id)
	}
	want := standin.Body(id)
	if strings.Contains(path, "stream") {
		want = ""
		for i := 1; i <= standin.Events; i++ {
			want += standin.Event{Version: "v1", Request: id, Number: i}.String()
		}
	}
	switch {
	case err == nil && string(body) != want:
		c.soaker.history.AddViolation("%s received a wrong body: got %d bytes, want %d", id, len(body), len(want))
	case err != nil && !strings.HasPrefix(want, string(body)):
		c.soaker.history.AddViolation("%s received wrong events before its stream broke", id)
	}

	return err
}
