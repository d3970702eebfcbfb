package assembler

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"regexp"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"snipedyke/internal/administrator"
	"snipedyke/internal/configurer"
	"snipedyke/internal/logger"
	"snipedyke/internal/recorder"
	"snipedyke/internal/standin"
	"snipedyke/internal/watcher"
	"snipedyke/pkg/cataloguer"
)

const (
	testToken  = "token-of-the-operators"
	testSecret = "secret-of-the-fleet"
)

var loopback = netip.MustParseAddrPort("127.0.0.1:0")

type fleet struct {
	*standin.Fleet
	settings []configurer.Settings
	nodes    []*Node
	stop     []context.CancelFunc
	ended    []chan error
	// cut separates a node from the configuration service.
	cut []*atomic.Bool
	// stale makes the service answer watches with whatever version it has.
	stale atomic.Bool
	log   *log
}

// log collects what all nodes log.
type log struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (l *log) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()

	return l.text.Write(b)
}

func (l *log) has(event int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()

	return strings.Contains(l.text.String(), fmt.Sprintf(" event=%d", event))
}

// startFleet runs nodes of the guild's deployment in front of stand-ins. The
// site may be changed before.
func startFleet(c *qt.C, count int, change ...func(*standin.Site)) *fleet {
	site, err := standin.Deployment("guild")
	c.Assert(err, qt.IsNil)
	for _, f := range change {
		f(site)
	}
	hosts := &cataloguer.Hosts{Version: 2, Hosts: append([]cataloguer.Host(nil), site.Hosts.Hosts[:count]...)}
	f := &fleet{
		log: &log{}, settings: make([]configurer.Settings, count), nodes: make([]*Node, count),
		stop: make([]context.CancelFunc, count), ended: make([]chan error, count), cut: make([]*atomic.Bool, count),
	}
	f.Fleet, err = standin.Open(site, standin.FleetOptions{})
	c.Assert(err, qt.IsNil)
	c.Cleanup(f.Close)
	for i, h := range hosts.Hosts {
		f.cut[i] = &atomic.Bool{}
		f.settings[i] = configurer.Settings{
			Name: h.Name, DataCentre: h.DataCentre, Listen: loopback, Peer: loopback, Admin: loopback,
			Secret: testSecret, AdminToken: testToken,
			Configuration: f.Configuration.Addr(), HostList: f.HostList.Addr(),
			Log:    configurer.Log{Level: "info", Format: "text"},
			Limits: configurer.Limits{Body: 1 << 20, Answer: 1 << 20, Connections: 100, Trace: 16 << 20},
			Drain:  20 * time.Second,
		}
		f.open(c, i)
		// A node that is started again must be found at its address.
		f.settings[i].Peer, hosts.Hosts[i].Peer = f.nodes[i].Peers(), f.nodes[i].Peers()
	}
	f.HostList.PublishHosts(hosts)
	for i := range f.nodes {
		f.run(i)
	}
	c.Cleanup(func() {
		for i := range f.nodes {
			f.stop[i]()
		}
		for i := range f.nodes {
			f.end(c, i)
		}
	})
	for _, n := range f.nodes {
		await(c, "the node is ready", n.Ready)
	}

	return f
}

// open builds a node, and run runs it.
func (f *fleet) open(c *qt.C, i int) {
	n, err := New(Options{Output: f.log, Settings: f.settings[i], Source: &source{
		Client: watcher.NewClient(f.Configuration.Addr(), f.HostList.Addr()), cut: f.cut[i], stale: &f.stale,
	}})
	c.Assert(err, qt.IsNil)
	f.nodes[i], f.ended[i] = n, make(chan error, 1)
}

func (f *fleet) run(i int) {
	ctx, cancel := context.WithCancel(context.Background())
	f.stop[i] = cancel
	n, ended := f.nodes[i], f.ended[i]
	go func() { ended <- n.Run(ctx) }()
}

// end waits for the end of a node.
func (f *fleet) end(c *qt.C, i int) {
	select {
	case err := <-f.ended[i]:
		c.Check(err, qt.IsNil)
		f.ended[i] <- err
	case <-time.After(time.Minute):
		c.Error("a node does not end")
	}
}

// source is the configuration service and the host list, which may be out of
// reach.
type source struct {
	*watcher.Client
	cut, stale *atomic.Bool
}

var errCut = errors.New("out of reach")

func (s *source) check(err error) error {
	if s.cut.Load() {
		return errCut
	}

	return err
}

// Manifest implements watcher.Source.
func (s *source) Manifest(ctx context.Context, after cataloguer.Version, wait time.Duration) (cataloguer.Version, []byte, error) {
	if s.cut.Load() {
		return 0, nil, errCut
	}
	if s.stale.Load() {
		after = 0
	}
	v, body, err := s.Client.Manifest(ctx, after, wait)

	return v, body, s.check(err)
}

// Document implements watcher.Source.
func (s *source) Document(ctx context.Context, name string) ([]byte, error) {
	body, err := s.Client.Document(ctx, name)

	return body, s.check(err)
}

// await waits for a condition of running nodes.
func await(c *qt.C, what string, holds func() bool) {
	c.Helper()
	for range 3000 {
		if holds() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	c.Fatalf("waited in vain until %s", what)
}

func (f *fleet) client(node int) *administrator.Client {
	return administrator.NewClient(f.nodes[node].Administration(), testToken)
}

// call makes a caller's call and returns status, what is said of its run, and
// body.
func (f *fleet) call(c *qt.C, node int, entry, path, key, body string) (int, string, string) {
	a, err := send(fmt.Sprintf("http://%s%s", f.nodes[node].Callers(), path), f.Site.Keys[entry], key, body)
	c.Assert(err, qt.IsNil)

	return a.status, a.run, a.text
}

// raiseEpoch covers all keys, as an operator does after the first start.
func (f *fleet) raiseEpoch(c *qt.C) {
	next := *f.Site.Catalogue
	next.Version++
	next.Epoch++
	c.Assert(f.Configuration.PublishCatalogue(&next), qt.IsNil)
	for _, n := range f.nodes {
		await(c, "the node covers its keys", func() bool {
			s, _ := n.Status()

			return s.Catalogue == uint64(next.Version) && s.Records.Covering
		})
	}
}

// Guards against parts that are wired wrongly, so that a call fails, a resent
// payment runs twice, or a bad publication stays unseen.
func TestCallsAndPublications(t *testing.T) {
	c := qt.New(t)
	f := startFleet(c, 3)
	f.raiseEpoch(c)
	code, run, _ := f.call(c, 0, "account-01-fit", "/v1/chat/completions", "", chat(5))
	c.Check(code, qt.Equals, http.StatusOK)
	c.Check(run, qt.Equals, "ran")

	code, run, first := f.call(c, 0, "account-01-fit", "/services/orderdesk/payments", "order-1", `{"amount":5}`)
	c.Check(code, qt.Equals, http.StatusOK)
	c.Check(run, qt.Equals, "ran")
	code, _, again := f.call(c, 1, "account-01-fit", "/services/orderdesk/payments", "order-1", `{"amount":5}`)
	c.Check(code, qt.Equals, http.StatusOK)
	c.Check(again, qt.Equals, first)
	c.Check(f.Ledger.CountByKey()["order-1"], qt.Equals, 1)

	f.Configuration.Publish([]byte(`{"version": 9}`), nil)
	await(c, "the refusal is shown", func() bool {
		v, err := f.client(1).Versions(c.Context())
		c.Assert(err, qt.IsNil)

		return len(v.Refused) == 1 && v.Catalogue == 2
	})
	for _, event := range []int{
		logger.CatalogueInForce, logger.CatalogueRefused, logger.EpochRaised, logger.NodeJoined, logger.NodeReady,
		logger.RecordsNotCovering, logger.RecordsCovering, logger.LinkUp, logger.NodeStarted,
	} {
		await(c, fmt.Sprintf("event %d is logged", event), func() bool { return f.log.has(event) })
	}
	var metrics bytes.Buffer
	f.nodes[1].exporter.Write(&metrics)
	for _, line := range []string{
		"snipedyke_ready 1\n", "snipedyke_catalogue_version 2\n", "snipedyke_refused_publications_total{document=\"catalogue\"} 1\n",
	} {
		c.Check(strings.Contains(metrics.String(), line), qt.IsTrue, qt.Commentf("%s", line))
	}
	var file bytes.Buffer
	c.Assert(f.client(0).Trace(c.Context(), &file), qt.IsNil)
	trace, err := recorder.Decode(&file)
	c.Assert(err, qt.IsNil)
	c.Check(trace.Header.Complete, qt.IsTrue)
	result := recorder.Replay(trace, []byte(testSecret))
	c.Check(recorder.Replay(trace, []byte(testSecret)), qt.DeepEquals, result)
	c.Check(result.String(), qt.Contains, "dispatches 2\n")
}

// Guards against emergency orders that do not reach all nodes or cannot be
// cancelled at another node.
func TestEmergencyOrder(t *testing.T) {
	c := qt.New(t)
	f := startFleet(c, 3)
	order, err := f.client(0).CreateOrder(c.Context(), administrator.OrderRequest{Centre: "kochi"})
	c.Assert(err, qt.IsNil)
	outAt := func(node int) int {
		endpoints, err := f.client(node).Endpoints(c.Context())
		c.Assert(err, qt.IsNil)
		count := 0
		for _, e := range endpoints {
			if e.Centre == "kochi" && e.Reason == "order "+order.ID {
				count++
			}
		}

		return count
	}
	for node := range f.nodes {
		await(c, "the order is in force", func() bool { return outAt(node) == 4 })
	}
	c.Assert(f.client(1).Cancel(c.Context(), order.ID), qt.IsNil)
	for node := range f.nodes {
		await(c, "the order is cancelled", func() bool { return outAt(node) == 0 })
	}
	_, err = f.client(0).CreateOrder(c.Context(), administrator.OrderRequest{Centre: "nowhere"})
	c.Check(err, qt.ErrorMatches, ".*not_found.*")
}

// Guards against a graceful shutdown that cuts an answer off, or never ends.
func TestLeave(t *testing.T) {
	c := qt.New(t)
	f := startFleet(c, 3)
	f.raiseEpoch(c)
	answered := make(chan int, 1)
	go func() {
		code, _, _ := f.call(c, 0, "account-01-fit", "/v1/chat/completions", "", chat(100))
		answered <- code
	}()
	await(c, "the request runs", func() bool {
		s, _ := f.nodes[0].Status()

		return len(s.Requests) > 0 && s.Requests[0].Phase == "running"
	})
	c.Assert(f.client(0).Leave(c.Context()), qt.IsNil)
	await(c, "the node takes no new requests", func() bool { return !f.nodes[0].Ready() })
	c.Check(<-answered, qt.Equals, http.StatusOK)
	f.end(c, 0)
}

func chat(tokens int) string {
	return fmt.Sprintf(`{"model":"draftsmith-7b","messages":[{"role":"user","content":"hello"}],"max_tokens":%d}`, tokens)
}

// Guards against a lost configuration service that operators are not told of,
// or are told of again and again.
func TestServiceEvents(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		lines := &log{}
		n := &Node{logger: logger.New(logger.Options{Output: lines})}
		var last watched
		started := time.Now()
		look := func(d time.Duration) string {
			time.Sleep(d)
			n.logService(&last, started)
			defer lines.text.Reset()

			return strings.Join(regexp.MustCompile(`event=\d+`).FindAllString(lines.text.String(), -1), " ")
		}
		c.Check(look(30*time.Second), qt.Equals, "")
		c.Check(look(20*time.Second), qt.Equals, "event=105")
		c.Check(look(time.Hour), qt.Equals, "")
		n.contact = time.Now()
		c.Check(look(time.Second), qt.Equals, "event=106")
		c.Check(look(time.Minute), qt.Equals, "event=105")
	})
}
