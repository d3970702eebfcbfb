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

// fleet is a set of nodes in one process, with stand-ins for their services and
// endpoints.
type fleet struct {
	*standin.Fleet
	settings []configurer.Settings
	nodes    []*Node
	cancel   []context.CancelFunc
	runErrs  []chan error
	// unreachable makes the calls of a node to the configuration service fail.
	unreachable []*atomic.Bool
	// stale makes the service answer watches with its version even if that is
	// not newer.
	stale atomic.Bool
	log   *logBuffer
}

// logBuffer collects the log of all nodes.
type logBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (l *logBuffer) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()

	return l.text.Write(b)
}

func (l *logBuffer) hasEvent(event int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()

	return strings.Contains(l.text.String(), fmt.Sprintf(" event=%d", event))
}

// startFleet starts nodes of the guild's deployment in front of stand-ins, and
// waits until they are ready. The site can be changed before it starts.
func startFleet(c *qt.C, count int, modify ...func(*standin.Site)) *fleet {
	site, err := standin.Deployment("guild")
	c.Assert(err, qt.IsNil)
	for _, f := range modify {
		f(site)
	}
	hosts := &cataloguer.Hosts{Version: 2, Hosts: append([]cataloguer.Host(nil), site.Hosts.Hosts[:count]...)}
	f := &fleet{
		log: &logBuffer{}, settings: make([]configurer.Settings, count), nodes: make([]*Node, count),
		cancel: make([]context.CancelFunc, count), runErrs: make([]chan error, count), unreachable: make([]*atomic.Bool, count),
	}
	f.Fleet, err = standin.StartFleet(site, standin.FleetOptions{})
	c.Assert(err, qt.IsNil)
	c.Cleanup(f.Close)
	for i, h := range hosts.Hosts {
		f.unreachable[i] = &atomic.Bool{}
		f.settings[i] = configurer.Settings{
			Name: h.Name, DataCentre: h.DataCentre, Listen: loopback, Peer: loopback, Admin: loopback,
			Secret: testSecret, AdminToken: testToken,
			Configuration: f.Configuration.Addr(), HostList: f.HostList.Addr(),
			Log:    configurer.Log{Level: "info", Format: "text"},
			Limits: configurer.Limits{Body: 1 << 20, Answer: 1 << 20, Connections: 100, Trace: 16 << 20},
			Drain:  20 * time.Second,
		}
		f.newNode(c, i)
		// A restarted node must listen on the same peer address.
		f.settings[i].Peer, hosts.Hosts[i].Peer = f.nodes[i].PeerAddr(), f.nodes[i].PeerAddr()
	}
	f.HostList.PublishHosts(hosts)
	for i := range f.nodes {
		f.runNode(i)
	}
	c.Cleanup(func() {
		for i := range f.nodes {
			f.cancel[i]()
		}
		for i := range f.nodes {
			f.waitForExit(c, i)
		}
	})
	for _, n := range f.nodes {
		await(c, "the node is ready", n.Ready)
	}

	return f
}

// newNode builds node i; runNode starts it.
func (f *fleet) newNode(c *qt.C, i int) {
	n, err := New(Options{Output: f.log, Settings: f.settings[i], Source: &faultySource{
		Client: watcher.NewClient(f.Configuration.Addr(), f.HostList.Addr()), unreachable: f.unreachable[i], stale: &f.stale,
	}})
	c.Assert(err, qt.IsNil)
	f.nodes[i], f.runErrs[i] = n, make(chan error, 1)
}

func (f *fleet) runNode(i int) {
	ctx, cancel := context.WithCancel(context.Background())
	f.cancel[i] = cancel
	n, runErr := f.nodes[i], f.runErrs[i]
	go func() { runErr <- n.Run(ctx) }()
}

// waitForExit waits until node i has stopped, and checks that it returned no
// error.
func (f *fleet) waitForExit(c *qt.C, i int) {
	select {
	case err := <-f.runErrs[i]:
		c.Check(err, qt.IsNil)
		f.runErrs[i] <- err
	case <-time.After(time.Minute):
		c.Error("node did not stop within a minute")
	}
}

// faultySource is a client of the configuration service and the host list that
// can be made unreachable or stale.
type faultySource struct {
	*watcher.Client
	unreachable, stale *atomic.Bool
}

var errUnreachable = errors.New("configuration service is unreachable")

// orUnreachable returns err, or errUnreachable if the source is unreachable.
func (s *faultySource) orUnreachable(err error) error {
	if s.unreachable.Load() {
		return errUnreachable
	}

	return err
}

// Manifest implements watcher.Source.
func (s *faultySource) Manifest(ctx context.Context, after cataloguer.Version, wait time.Duration) (cataloguer.Version, []byte, error) {
	if s.unreachable.Load() {
		return 0, nil, errUnreachable
	}
	if s.stale.Load() {
		after = 0
	}
	v, body, err := s.Client.Manifest(ctx, after, wait)

	return v, body, s.orUnreachable(err)
}

// Document implements watcher.Source.
func (s *faultySource) Document(ctx context.Context, name string) ([]byte, error) {
	body, err := s.Client.Document(ctx, name)

	return body, s.orUnreachable(err)
}

// await polls a condition until it holds, and fails the test if it never does.
func await(c *qt.C, description string, condition func() bool) {
	c.Helper()
	for range 3000 {
		if condition() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	c.Fatalf("timed out waiting until %s", description)
}

func (f *fleet) client(node int) *administrator.Client {
	return administrator.NewClient(f.nodes[node].AdminAddr(), testToken)
}

// request sends a caller's request and returns the status, the Snipedyke-Run
// header and the body of the response.
func (f *fleet) request(c *qt.C, node int, entry, path, key, body string) (int, string, string) {
	r, err := send(fmt.Sprintf("http://%s%s", f.nodes[node].CallerAddr(), path), f.Site.Keys[entry], key, body)
	c.Assert(err, qt.IsNil)

	return r.status, r.runState, r.body
}

// raiseEpoch publishes a raised epoch, as an operator does after the first
// start, and waits until the records of all nodes cover their keys.
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

// Guards against wrongly connected components, so that a request fails, a
// retried payment runs twice, or a refused catalogue is not reported.
func TestFleetServesRequestsAndReportsRefusedCatalogue(t *testing.T) {
	c := qt.New(t)
	f := startFleet(c, 3)
	f.raiseEpoch(c)
	code, run, _ := f.request(c, 0, "account-01-fit", "/v1/chat/completions", "", chat(5))
	c.Check(code, qt.Equals, http.StatusOK)
	c.Check(run, qt.Equals, "ran")

	code, run, first := f.request(c, 0, "account-01-fit", "/services/orderdesk/payments", "order-1", `{"amount":5}`)
	c.Check(code, qt.Equals, http.StatusOK)
	c.Check(run, qt.Equals, "ran")
	code, _, again := f.request(c, 1, "account-01-fit", "/services/orderdesk/payments", "order-1", `{"amount":5}`)
	c.Check(code, qt.Equals, http.StatusOK)
	c.Check(again, qt.Equals, first)
	c.Check(f.RunLog.CountByKey()["order-1"], qt.Equals, 1)

	f.Configuration.Publish([]byte(`{"version": 9}`), nil)
	await(c, "the refused catalogue is reported", func() bool {
		v, err := f.client(1).Versions(c.Context())
		c.Assert(err, qt.IsNil)

		return len(v.Refused) == 1 && v.Catalogue == 2
	})
	for _, event := range []int{
		logger.CatalogueInForce, logger.CatalogueRefused, logger.EpochRaised, logger.NodeJoined, logger.NodeReady,
		logger.RecordsNotCovering, logger.RecordsCovering, logger.LinkUp, logger.NodeStarted,
	} {
		await(c, fmt.Sprintf("event %d is logged", event), func() bool { return f.log.hasEvent(event) })
	}
	var metrics bytes.Buffer
	f.nodes[1].exporter.Write(&metrics)
	for _, line := range []string{
		"snipedyke_ready 1\n", "snipedyke_catalogue_version 2\n", "snipedyke_refused_publications_total{document=\"catalogue\"} 1\n",
	} {
		c.Check(strings.Contains(metrics.String(), line), qt.IsTrue, qt.Commentf("%s", line))
	}
	var traceFile bytes.Buffer
	c.Assert(f.client(0).Trace(c.Context(), &traceFile), qt.IsNil)
	trace, err := recorder.Decode(&traceFile)
	c.Assert(err, qt.IsNil)
	c.Check(trace.Header.Complete, qt.IsTrue)
	result := recorder.Replay(trace, []byte(testSecret))
	c.Check(recorder.Replay(trace, []byte(testSecret)), qt.DeepEquals, result)
	c.Check(result.String(), qt.Contains, "dispatches 2\n")
}

// Guards against emergency orders that do not reach all nodes, or cannot be
// cancelled at a node other than the one that received them.
func TestEmergencyOrderReachesAllNodes(t *testing.T) {
	c := qt.New(t)
	f := startFleet(c, 3)
	order, err := f.client(0).CreateOrder(c.Context(), administrator.OrderRequest{Centre: "kochi"})
	c.Assert(err, qt.IsNil)
	outOfService := func(node int) int {
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
		await(c, "the order is in force", func() bool { return outOfService(node) == 4 })
	}
	c.Assert(f.client(1).Cancel(c.Context(), order.ID), qt.IsNil)
	for node := range f.nodes {
		await(c, "the order is cancelled", func() bool { return outOfService(node) == 0 })
	}
	_, err = f.client(0).CreateOrder(c.Context(), administrator.OrderRequest{Centre: "nowhere"})
	c.Check(err, qt.ErrorMatches, ".*not_found.*")
}

// Guards against a graceful shutdown that cuts off a response or never ends.
func TestLeaveWaitsForRunningRequest(t *testing.T) {
	c := qt.New(t)
	f := startFleet(c, 3)
	f.raiseEpoch(c)
	status := make(chan int, 1)
	go func() {
		code, _, _ := f.request(c, 0, "account-01-fit", "/v1/chat/completions", "", chat(100))
		status <- code
	}()
	await(c, "the request is running", func() bool {
		s, _ := f.nodes[0].Status()

		return len(s.Requests) > 0 && s.Requests[0].Phase == "running"
	})
	c.Assert(f.client(0).Leave(c.Context()), qt.IsNil)
	await(c, "the node accepts no new requests", func() bool { return !f.nodes[0].Ready() })
	c.Check(<-status, qt.Equals, http.StatusOK)
	f.waitForExit(c, 0)
}

// chat returns the body of a chat completion request.
func chat(tokens int) string {
	return fmt.Sprintf(`{"model":"draftsmith-7b","messages":[{"role":"user","content":"hello"}],"max_tokens":%d}`, tokens)
}

// Guards against the loss of the configuration service not being logged, or
// being logged repeatedly.
func TestServiceLossIsLoggedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		output := &logBuffer{}
		n := &Node{logger: logger.New(logger.Options{Output: output})}
		var state monitorState
		started := time.Now()
		eventsAfter := func(d time.Duration) string {
			time.Sleep(d)
			n.logServiceState(&state, started)
			defer output.text.Reset()

			return strings.Join(regexp.MustCompile(`event=\d+`).FindAllString(output.text.String(), -1), " ")
		}
		c.Check(eventsAfter(30*time.Second), qt.Equals, "")
		c.Check(eventsAfter(20*time.Second), qt.Equals, "event=105")
		c.Check(eventsAfter(time.Hour), qt.Equals, "")
		n.lastContact = time.Now()
		c.Check(eventsAfter(time.Second), qt.Equals, "event=106")
		c.Check(eventsAfter(time.Minute), qt.Equals, "event=105")
	})
}
