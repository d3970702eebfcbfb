package assembler

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"snipedyke/internal/configurer"
	"snipedyke/internal/timekeeper"
	"snipedyke/platform"
	"snipedyke/platform/standin"
)

// heldEvents is the number of events after which the streams of a held endpoint
// stop.
const heldEvents = 4

// routedFleet is a set of routing nodes in one process, with stand-ins for the
// store and the endpoints of one service.
type routedFleet struct {
	store *standin.Store
	nodes []*RoutingNode
	// stops stop the nodes and wait until they have ended.
	stops     []func()
	endpoints []*standin.Server
	// released reports whether new streams are not held.
	released bool
	log      logBuffer
}

// routedBlocks counts the fleets, which listen on different loopback addresses.
var routedBlocks atomic.Uint32

// ignoreRequests is an observer of endpoints that records nothing.
type ignoreRequests struct{}

func (ignoreRequests) AddArrival(standin.Arrival) {}
func (ignoreRequests) AddRun(standin.Run)         {}
func (ignoreRequests) AddAnswer(standin.Answer)   {}

// startRoutedFleet starts nodes in front of endpoints of the given software
// versions, and waits until the nodes know each other and the endpoints.
func startRoutedFleet(c *qt.C, count int, versions ...string) *routedFleet {
	store, err := standin.NewStore()
	c.Assert(err, qt.IsNil)
	c.Cleanup(store.Close)
	f := &routedFleet{store: store}
	c.Assert(store.PutManifest(1, []standin.Route{{
		Name: "a", Host: "h", Prefix: "/stream/", Kind: "streaming", Service: "s", Timeout: time.Minute, Target: 5 * time.Second,
		Attempts: 4, Resumable: true,
	}}, map[string]string{"k": "club"}), qt.IsNil)
	f.addEndpoints(c, versions...)
	block := byte(routedBlocks.Add(1))
	address := func(i int) netip.Addr { return netip.AddrFrom4([4]byte{127, 0, 200 + block, byte(1 + i)}) }
	// All nodes use the same port for messages.
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(address(0), 0)))
	c.Assert(err, qt.IsNil)
	port := conn.LocalAddr().(*net.UDPAddr).AddrPort().Port()
	c.Assert(conn.Close(), qt.IsNil)
	// A node that has started waits for all data centres of its settings.
	regions := map[string]string{}
	for i := range count {
		regions[fmt.Sprint("c", i)] = "r"
	}
	for i := range count {
		n, err := NewRoutingNode(RoutingNodeOptions{
			Settings: configurer.Routing{
				Name: fmt.Sprint("node-", i), DataCentre: fmt.Sprint("c", i), Regions: regions,
				Callers: netip.AddrPortFrom(address(i), 0), Readiness: netip.AddrPortFrom(address(i), 0),
				Peers: netip.AddrPortFrom(address(i), port), Seeds: []netip.Addr{address(0)}, Store: store.Addr(),
				RevocationTimeout: time.Minute, PublicationInterval: time.Second, Grace: time.Second, ColdFactor: 1.5, ColdSlack: 5,
				RetryWindow: time.Millisecond, RetrySlack: 1000, Memory: 1024, Descriptors: 4096,
				Log: configurer.Log{Level: "info", Format: "text"},
			},
			Output: &f.log, Source: platform.NewStore(store.Addr()), Protocol: platform.Protocol{}, Clock: timekeeper.New(),
		})
		c.Assert(err, qt.IsNil)
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan error, 1)
		go func() { ended <- n.Run(ctx) }()
		stop := func() {
			cancel()
			err := <-ended
			ended <- err
			c.Check(err == nil || errors.Is(err, context.Canceled), qt.IsTrue, qt.Commentf("%v", err))
		}
		c.Cleanup(stop)
		f.nodes, f.stops = append(f.nodes, n), append(f.stops, stop)
	}
	f.awaitKnown(c)
	c.Cleanup(func() {
		if c.Failed() {
			f.log.mu.Lock()
			defer f.log.mu.Unlock()
			c.Logf("%s", f.log.text.String())
		}
	})

	return f
}

// addEndpoints starts endpoints of the given software versions and registers them.
// Until release, their streams are held after heldEvents events.
func (f *routedFleet) addEndpoints(c *qt.C, versions ...string) {
	for _, version := range versions {
		id := fmt.Sprint("e", len(f.endpoints))
		e, err := standin.NewServer(id, version, loopback, 4*time.Millisecond, 1, ignoreRequests{})
		c.Assert(err, qt.IsNil)
		c.Cleanup(e.Crash)
		f.endpoints = append(f.endpoints, e)
		if !f.released {
			e.SetFaults(standin.Faults{Hold: heldEvents})
		}
		c.Assert(f.store.Register(e, "s", "c0", false), qt.IsNil)
	}
}

// awaitKnown waits until all nodes are ready and know each other and the
// endpoints.
func (f *routedFleet) awaitKnown(c *qt.C) {
	c.Helper()
	for _, n := range f.nodes {
		await(c, "the nodes know each other and the endpoints", func() bool {
			s := n.forwarder.Status()

			return s.Ready && s.Nodes == len(f.nodes) && s.Endpoints == len(f.endpoints)
		})
	}
}

// release ends the holding of new streams.
func (f *routedFleet) release() {
	f.released = true
	for _, e := range f.endpoints {
		e.SetFaults(standin.Faults{})
	}
}

// callerStream is a stream that a caller receives.
type callerStream struct {
	response *http.Response
	// text is what has been received.
	text string
}

// openStream sends a request for a stream from a connection of its own. If first
// is not empty, it takes up the stream that began with that attempt, after
// heldEvents events.
func (f *routedFleet) openStream(c *qt.C, node int, attempt, first string) *callerStream {
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	c.Cleanup(cancel)
	url := fmt.Sprintf("http://%s/stream/x", f.nodes[node].CallerAddr())
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader("a body"))
	c.Assert(err, qt.IsNil)
	r.Host = "h"
	standin.SetRequestHeaders(r, attempt, "k", 30*time.Second)
	if first != "" {
		standin.TakeUp(r, first, heldEvents)
	}
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(r)
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = response.Body.Close() })

	return &callerStream{response: response}
}

// readHeld reads the events that a held stream has, and returns the version of the
// endpoint that wrote them.
func (s *callerStream) readHeld(c *qt.C) string {
	c.Assert(s.response.StatusCode, qt.Equals, http.StatusOK)
	buf := make([]byte, 1024)
	for {
		if events, _ := standin.ParseEvents(s.text); len(events) >= heldEvents {
			return events[0].Version
		}
		n, err := s.response.Body.Read(buf)
		s.text += string(buf[:n])
		c.Assert(err, qt.IsNil)
	}
}

// readAll reads the stream to its end, and returns the error with which it ended.
func (s *callerStream) readAll() error {
	text, err := io.ReadAll(s.response.Body)
	s.text += string(text)

	return err
}

// events returns the received text without the endpoints that wrote the events.
func (s *callerStream) events() string {
	events, rest := standin.ParseEvents(s.text)
	var b strings.Builder
	for _, e := range events {
		e.Server = ""
		b.WriteString(e.String())
	}

	return b.String() + rest
}

// eventsOf returns the encoded events of a stream from one number to another, as
// endpoints of a version write them, without the endpoint.
func eventsOf(version, attempt string, from, to int) string {
	var b strings.Builder
	for i := from; i <= to; i++ {
		b.WriteString(standin.Event{Version: version, Request: attempt, Number: i}.String())
	}

	return b.String()
}

// Guards against an answer that joins the events of two software versions, whose
// streams do not fit together, after the endpoint that began it has crashed.
func TestStreamDoesNotGoOnAtAnotherVersion(t *testing.T) {
	c := qt.New(t)
	f := startRoutedFleet(c, 1, "v1")
	s := f.openStream(c, 0, "a1", "")
	c.Assert(s.readHeld(c), qt.Equals, "v1")
	f.release()
	f.addEndpoints(c, "v2", "v2")
	f.awaitKnown(c)
	f.endpoints[0].Crash()
	err := s.readAll()
	c.Check(s.events(), qt.Equals, eventsOf("v1", "a1", 1, heldEvents))
	c.Check(err, qt.IsNotNil, qt.Commentf("the answer ends as complete"))
}

// Guards against a stream that is cut although another endpoint of its software
// version could go on, among endpoints of other versions.
func TestStreamGoesOnAtItsVersion(t *testing.T) {
	c := qt.New(t)
	f := startRoutedFleet(c, 1, "v1")
	s := f.openStream(c, 0, "a1", "")
	c.Assert(s.readHeld(c), qt.Equals, "v1")
	f.release()
	f.addEndpoints(c, "v2", "v2", "v2", "v1", "v3", "v3", "v3")
	f.awaitKnown(c)
	f.endpoints[0].Crash()
	c.Check(s.readAll(), qt.IsNil)
	c.Check(s.events(), qt.Equals, eventsOf("v1", "a1", 1, standin.Events))
}

// Guards against a stream that goes on at another software version when its caller
// takes it up at another node, which has not seen its beginning.
func TestTakenUpStreamStaysAtItsVersion(t *testing.T) {
	c := qt.New(t)
	f := startRoutedFleet(c, 2, "v1", "v2", "v1", "v2")
	begun, versions := make([]*callerStream, 12), map[string]int{}
	for i := range begun {
		begun[i] = f.openStream(c, 0, fmt.Sprint("first-", i), "")
		versions[begun[i].readHeld(c)]++
	}
	c.Assert(versions, qt.HasLen, 2, qt.Commentf("streams have begun at both versions"))
	for _, s := range begun {
		c.Assert(s.response.Body.Close(), qt.IsNil)
	}
	f.stops[0]()
	f.release()
	for i, first := range begun {
		version, attempt := first.readHeld(c), fmt.Sprint("second-", i)
		s := f.openStream(c, 1, attempt, fmt.Sprint("first-", i))
		err := s.readAll()
		c.Check(s.response.StatusCode, qt.Equals, http.StatusOK, qt.Commentf("stream %d of version %s", i, version))
		c.Check(err, qt.IsNil)
		c.Check(s.events(), qt.Equals, eventsOf(version, attempt, heldEvents+1, standin.Events), qt.Commentf("stream %d of version %s", i, version))
	}
}
