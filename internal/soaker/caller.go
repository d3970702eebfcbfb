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

// addressOfAnyPort is a free port of the loopback address.
var addressOfAnyPort = netip.MustParseAddrPort("127.0.0.1:0")

// patience is how long a caller waits for an answer.
const patience = 5 * time.Second

// caller sends one request after another over connections that it keeps.
type caller struct {
	s      *Soaker
	index  int
	rng    *rand.Rand
	client *http.Client
	sent   int
}

func newCaller(s *Soaker, index int) *caller {
	return &caller{
		s: s, index: index, rng: rand.New(rand.NewPCG(s.opts.Seed, uint64(1000+index))),
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4}},
	}
}

func (c *caller) run(stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(10+c.rng.IntN(40)) * time.Millisecond):
			c.request()
		}
	}
}

// request sends a request and checks its answer.
func (c *caller) request() {
	c.sent++
	n := c.s.nodes[c.rng.IntN(len(c.s.nodes))]
	id := fmt.Sprintf("%08x%04x%04x", c.s.opts.Seed, c.index, c.sent)
	path := []string{"/safe/", "/unsafe/", "/stream/", "/resumestream/"}[c.rng.IntN(4)]
	key := []string{stayKey, leaveKey}[c.rng.IntN(2)]
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	// A body that cannot be read twice keeps the client from sending it again.
	body := io.NopCloser(strings.NewReader("a body"))
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+n.callers.String()+path+"x?y=1", body)
	if err != nil {
		c.s.ledger.Broken("%s: %v", id, err)

		return
	}
	r.Host, r.ContentLength = host, 6
	standin.Label(r, id, key, patience)
	unsafe := path == "/unsafe/" || path == "/stream/"
	o := outcome{unsafe: unsafe, leaver: key == leaveKey, sent: time.Now(), node: n.index}
	// The request is noted before it is sent, as a run may come before the
	// answer.
	c.s.ledger.note(id, o)
	resp, err := c.client.Do(r)
	if err == nil {
		o.status = resp.StatusCode
		c.check(id, path, resp)
	}
	o.ended = time.Now()
	c.s.ledger.note(id, o)
}

// check reads an answer and compares it with what the servers send.
func (c *caller) check(id, path string, resp *http.Response) {
	body, err := io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return
	}
	if !standin.Sound(resp, id) {
		c.s.ledger.Broken("%s got a success that is not the answer to it", id)
	}
	want := standin.Body(id)
	if strings.Contains(path, "stream") {
		want = ""
		for i := 1; i <= standin.Events; i++ {
			want += standin.Event(id, i)
		}
	}
	switch {
	case err == nil && string(body) != want:
		c.s.ledger.Broken("%s got another body: %d bytes of %d", id, len(body), len(want))
	case err != nil && !strings.HasPrefix(want, string(body)):
		c.s.ledger.Broken("%s got other events before its stream broke", id)
	}
}
