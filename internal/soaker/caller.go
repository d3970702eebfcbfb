package soaker

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"snipedyke/platform/standin"
)

// loopbackAnyPort makes a listener choose a free port of the loopback address.
var loopbackAnyPort = netip.MustParseAddrPort("127.0.0.1:0")

// requestTimeout bounds the time that a caller waits for a response.
const requestTimeout = 5 * time.Second

// caller sends requests one at a time over persistent connections, and takes broken
// streams up over new ones.
type caller struct {
	soaker *Soaker
	index  int
	rng    *rand.Rand
	// pauses is the source of the pauses before take-ups and of their nodes.
	pauses *rand.Rand
	client *http.Client
	// fresh opens a connection for each request.
	fresh       *http.Client
	paths, keys []string
	// breaks is the probability that the caller loses its connection while it
	// receives a stream that can be taken up.
	breaks float64
	// The caller pauses for minPause to maxPause milliseconds between requests, and for
	// backOff longer if it got no response: nodes that are not there would otherwise
	// add many requests to those that the retry budget is a part of. penalty is backOff
	// after such a request, or zero.
	minPause, maxPause int
	backOff, penalty   time.Duration
	sent               int
	// harmful reports whether the requests crash the servers that run them.
	harmful bool
	// distinct makes the caller send no request twice. Nodes refuse one under which
	// several endpoints have ended.
	distinct bool
}

// newCaller returns a caller that sends requests of all kinds.
func newCaller(s *Soaker, index int) *caller {
	return &caller{
		soaker: s, index: index, rng: rand.New(rand.NewPCG(s.opts.Seed, uint64(1000+index))),
		pauses: rand.New(rand.NewPCG(s.opts.Seed, uint64(3000+index))),
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4}},
		fresh:  &http.Client{Transport: &http.Transport{DisableKeepAlives: true}},
		paths:  []string{"/safe/", "/unsafe/", "/stream/", resumablePrefix}, keys: []string{keptKey, revokedKey},
		minPause: 10, maxPause: 50, distinct: s.opts.Unframed || s.opts.Brittle,
	}
}

// newStreamCaller returns a caller of long streams that can be taken up.
func newStreamCaller(s *Soaker, index int) *caller {
	c := newCaller(s, firstStreamCaller+index)
	c.paths, c.keys, c.breaks = []string{resumablePrefix + "slow/"}, []string{keptKey}, 0.4

	return c
}

// firstStreamCaller is the index of the first caller of long streams.
const firstStreamCaller = 500

func (c *caller) run(stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(c.minPause+c.rng.IntN(c.maxPause-c.minPause))*time.Millisecond + c.penalty):
			c.send()
		}
	}
}

// request is a request of a caller.
type request struct {
	id        string
	client    *http.Client
	node      *node
	path, key string
	timeout   time.Duration
	// stream is the ID of the attempt that brought the first event of the stream
	// that the request takes up, or empty. after is the number of its last event.
	stream string
	after  int
	// breakAfter is the number of events after which the caller loses its
	// connection, or zero.
	breakAfter int
}

// nextID returns the ID of the next attempt.
func (c *caller) nextID() string {
	c.sent++

	return fmt.Sprintf("%08x%04x%04x", c.soaker.opts.Seed, c.index, c.sent)
}

// send sends a random request and takes it up again if it is a stream that breaks.
func (c *caller) send() {
	r := request{
		id: c.nextID(), client: c.client, node: c.soaker.nodes[c.rng.IntN(len(c.soaker.nodes))],
		path: c.paths[c.rng.IntN(len(c.paths))], key: c.keys[c.rng.IntN(len(c.keys))], timeout: requestTimeout,
	}
	if c.breaks > 0 && c.pauses.Float64() < c.breaks {
		r.breakAfter = 1 + c.pauses.IntN(standin.Events-1)
	}
	ends := time.Now().Add(r.timeout)
	t, wait := c.attempt(r)
	if !strings.HasPrefix(r.path, resumablePrefix) {
		return
	}
	stream := r.id
	c.soaker.history.addAttempt(stream, t)
	if len(t.events) == 0 {
		return
	}
	for range maxTakeUps {
		r.after += len(t.events)
		if t.complete || r.after >= standin.Events {
			return
		}
		time.Sleep(min(wait, time.Until(ends)/3) + time.Duration(20+c.pauses.IntN(200))*time.Millisecond)
		r.id, r.client, r.stream, r.breakAfter = c.nextID(), c.fresh, stream, 0
		r.node, r.timeout = c.soaker.nodes[c.pauses.IntN(len(c.soaker.nodes))], time.Until(ends)
		if r.timeout < minTimeout {
			return
		}
		t, wait = c.attempt(r)
		c.soaker.history.addAttempt(stream, t)
	}
}

const (
	// resumablePrefix begins the paths of streams that can be taken up.
	resumablePrefix = "/resumestream/"
	// maxTakeUps bounds how often a caller takes a stream up.
	maxTakeUps = 4
	// minTimeout is the minimum time for which a caller waits for a response.
	minTimeout = 300 * time.Millisecond
)

// attempt sends a request, checks the response and records the outcome. It returns
// the attempt and the time for which a refusal asks not to be repeated.
func (c *caller) attempt(q request) (attempt, time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), q.timeout)
	defer cancel()
	a := attempt{id: q.id, after: q.after, node: q.node.index, withRevokedKey: q.key == revokedKey, sent: time.Now()}
	// The client can't rewind this body, so it doesn't retry the request on a
	// broken connection.
	body := io.NopCloser(strings.NewReader("a body"))
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+q.node.callerAddr.String()+q.path+"x?y="+c.query(q), body)
	if err != nil {
		c.soaker.history.AddViolation("%s: %v", q.id, err)

		return a, 0
	}
	r.Host, r.ContentLength = host, 6
	standin.SetRequestHeaders(r, q.id, q.key, q.timeout)
	if c.soaker.opts.Load {
		standin.SetTokens(r, loadPromptTokens, standin.Events)
	}
	if q.stream != "" {
		standin.TakeUp(r, q.stream, q.after)
	}
	unsafe := strings.HasPrefix(q.path, "/unsafe/") || strings.HasPrefix(q.path, "/stream/")
	o := outcome{harmful: c.harmful, unsafe: unsafe, takesUp: q.stream != "", withRevokedKey: a.withRevokedKey, account: q.key, sent: a.sent, node: q.node.index}
	// Record the request before it is sent, because an endpoint may report its
	// run before the response arrives.
	c.soaker.history.setOutcome(q.id, o)
	resp, err := q.client.Do(r)
	var wait time.Duration
	if err == nil {
		o.status = resp.StatusCode
		if server, sealed := standin.SealedBy(resp, q.id); sealed {
			o.servers = append(o.servers, server)
		}
		if seconds, parseErr := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); parseErr == nil {
			wait = time.Duration(seconds * float64(time.Second))
		}
		a.events, err = c.checkResponse(q, resp)
		a.complete = err == nil && o.status == http.StatusOK
		for _, e := range a.events {
			o.servers = append(o.servers, e.Server)
		}
	}
	o.cut = err != nil && ctx.Err() == nil && !errors.Is(err, errLost)
	o.ended = time.Now()
	a.ended = o.ended
	c.soaker.history.setOutcome(q.id, o)
	c.penalty = 0
	if o.status == 0 {
		c.penalty = c.backOff
	}

	return a, wait
}

// query returns the query of a request. A stream that is taken up keeps that of its first
// attempt.
func (c *caller) query(q request) string {
	switch {
	case !c.distinct:
		return "1"
	case q.stream != "":
		return q.stream
	default:
		return q.id
	}
}

// errLost is the error of a body whose connection the caller has lost.
var errLost = errors.New("connection lost")

// readBody reads a body to its end, or at least the given number of events, and
// closes it.
func readBody(body io.ReadCloser, events int) ([]byte, error) {
	defer func() { _ = body.Close() }()
	if events == 0 {
		return io.ReadAll(body)
	}
	text, buf := []byte(nil), make([]byte, 512)
	for bytes.Count(text, []byte("\n\n")) < events {
		n, err := body.Read(buf)
		text = append(text, buf[:n]...)
		if errors.Is(err, io.EOF) {
			return text, nil
		}
		if err != nil {
			return text, err
		}
	}

	return text, errLost
}

// checkResponse compares a response with what the servers send for the request.
// It returns the events of a stream, and the error of reading the body, if any.
func (c *caller) checkResponse(q request, resp *http.Response) ([]standin.Event, error) {
	body, err := readBody(resp.Body, q.breakAfter)
	if resp.StatusCode != http.StatusOK {
		if !c.harmful && bytes.Contains(body, []byte(`"harmful_`)) {
			c.soaker.history.AddViolation("%s is sound, but was refused with %s", q.id, body)
		}

		return nil, err
	}
	if _, sealed := standin.SealedBy(resp, q.id); !sealed {
		c.soaker.history.AddViolation("%s received a success response that no server sent for it", q.id)
	}
	if strings.Contains(q.path, "stream") {
		events, rest := standin.ParseEvents(string(body))
		switch {
		case err == nil && rest != "":
			c.soaker.history.AddViolation("%s received a wrong body: it ends with %q", q.id, rest)
		case err != nil && !standin.IsPartial(rest, q.id, q.after+len(events)+1):
			c.soaker.history.AddViolation("%s received wrong events before its stream broke: %q", q.id, rest)
		}
		if problem := checkEvents(q.id, q.after, events, err == nil); problem != "" {
			c.soaker.history.AddViolation("ORDER: %s", problem)
		}

		return events, err
	}
	want := standin.Body(q.id)
	switch {
	case err == nil && string(body) != want:
		c.soaker.history.AddViolation("%s received a wrong body: got %d bytes, want %d", q.id, len(body), len(want))
	case err != nil && !strings.HasPrefix(want, string(body)):
		c.soaker.history.AddViolation("%s received a wrong body before it broke", q.id)
	}

	return nil, err
}
