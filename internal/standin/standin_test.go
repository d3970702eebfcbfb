package standin

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"reflect"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"snipedyke/pkg/cataloguer"
)

// fast configures stand-ins with negligible run times.
var fast = FleetOptions{
	Engine:  EngineOptions{FirstToken: time.Microsecond, TokenInterval: time.Microsecond, Capacity: Capacity{Warm: true}},
	Service: ServiceOptions{CallDuration: time.Microsecond, Capacity: Capacity{Warm: true}},
}

func startFleet(c *qt.C, name string, opts FleetOptions) *Fleet {
	site, err := Deployment(name)
	c.Assert(err, qt.IsNil)
	f, err := StartFleet(site, opts)
	c.Assert(err, qt.IsNil)
	c.Cleanup(f.Close)

	return f
}

// call sends a request with header fields given as pairs.
func call(c *qt.C, method, url, body string, headers ...string) (int, []byte, error) {
	req, err := http.NewRequest(method, url, strings.NewReader(body))
	c.Assert(err, qt.IsNil)
	for i := 0; i < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	req.Close = true
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = res.Body.Close() }()
	data, err := io.ReadAll(res.Body)

	return res.StatusCode, data, err
}

// parseStream returns the text of server-sent events and reports whether the
// terminal event was received.
func parseStream(c *qt.C, data []byte) (text string, complete bool) {
	scanner := bufio.NewScanner(bytes.NewReader(data))
	for scanner.Scan() {
		line, ok := strings.CutPrefix(scanner.Text(), "data: ")
		if !ok {
			continue
		}
		if line == "[DONE]" {
			return text, true
		}
		var a completionResponse
		c.Assert(json.Unmarshal([]byte(line), &a), qt.IsNil)
		text += a.Choices[0].Delta.Content
	}

	return text, false
}

const prompt = `{"model":"draftsmith-7b","stream":true,"messages":[{"role":"user","content":"size of a jersey"}]}`

// Guards against deployments whose documents a node would reject, or that do
// not survive encoding and parsing.
func TestDeploymentsAreValid(t *testing.T) {
	c := qt.New(t)
	for _, name := range []string{"guild", "valcollina"} {
		site, err := Deployment(name)
		c.Assert(err, qt.IsNil)
		manifest, documents, err := cataloguer.Encode(site.Catalogue)
		c.Assert(err, qt.IsNil)
		got, err := cataloguer.Parse(manifest, documents)
		c.Assert(err, qt.IsNil)
		c.Assert(reflect.DeepEqual(got, site.Catalogue), qt.IsTrue)
		hosts, err := cataloguer.ParseHosts(cataloguer.EncodeHosts(site.Hosts))
		c.Assert(err, qt.IsNil)
		c.Assert(reflect.DeepEqual(hosts, site.Hosts), qt.IsTrue)
	}
}

// Guards against streams that differ from the text that clients compare them
// with, also if they are cut off and resumed.
func TestEngineStreams(t *testing.T) {
	c := qt.New(t)
	f := startFleet(c, "guild", fast)
	e := f.Engines["draftsmith-1"]
	url := "http://" + e.Addr().String() + "/v1/chat/completions"
	want := Text("draftsmith-7b", "size of a jersey\n", 0, 0)

	_, data, err := call(c, "POST", url, prompt)
	c.Assert(err, qt.IsNil)
	text, complete := parseStream(c, data)
	c.Assert(complete, qt.IsTrue)
	c.Assert(text, qt.Equals, want)

	_, data, err = call(c, "POST", url, strings.Replace(prompt, `"stream":true,`, "", 1))
	c.Assert(err, qt.IsNil)
	var a completionResponse
	c.Assert(json.Unmarshal(data, &a), qt.IsNil)
	c.Assert(a.Choices[0].Message.Content, qt.Equals, want)

	e.Control(Control{Drop: new(1)})
	_, data, err = call(c, "POST", url, prompt, RequestHeader, "r1")
	c.Assert(err, qt.IsNotNil)
	head, complete := parseStream(c, data)
	c.Assert(complete, qt.IsFalse)
	c.Assert(strings.HasPrefix(want, head), qt.IsTrue)

	got := len(strings.Fields(head))
	_, data, err = call(c, "POST", url, prompt, RequestHeader, "r1", ResumeHeader, "3")
	c.Assert(err, qt.IsNil)
	tail, complete := parseStream(c, data)
	c.Assert(complete, qt.IsTrue)
	c.Assert(got >= 3, qt.IsTrue)
	c.Assert(strings.Join(strings.SplitAfter(head, " ")[:3], "")+tail, qt.Equals, want)
	c.Assert(f.RunLog.CountByRequest(), qt.DeepEquals, map[string]int{"r1": 2})
}

// Guards against crashes that have no effect: by a poisoned prompt, which a
// loading phase follows, and by an exceeded cold limit.
func TestEngineCrashes(t *testing.T) {
	c := qt.New(t)
	e := NewEngine(EngineOptions{Poison: "jersey", Capacity: Capacity{Slots: 4, ColdSlots: 2, LoadTime: time.Hour, Restart: time.Millisecond}})
	c.Assert(e.Start(loopback), qt.IsNil)
	c.Cleanup(e.Close)
	base := "http://" + e.Addr().String()
	_, _, err := call(c, "POST", base+"/v1/chat/completions", prompt)
	c.Assert(err, qt.IsNotNil)
	c.Assert(e.Stats().Crashes, qt.Equals, 1)

	status := 0
	for status == 0 {
		status, _, _ = call(c, "POST", base+"/v1/chat/completions", prompt)
	}
	c.Assert(status, qt.Equals, http.StatusServiceUnavailable)

	b := newBackend(Capacity{Slots: 4, ColdSlots: 2, Fragile: true}, nil, nil)
	for range 3 {
		b.admit(0, nil)
	}
	c.Assert(b.Stats(), qt.Equals, Stats{PeakColdRequests: 3, Overshoots: 1, Crashes: 1})
}

// Guards against an engine that continues a run after its client has
// disconnected, and against a plain service that cancels one.
func TestDisconnectedClient(t *testing.T) {
	c := qt.New(t)
	slow := fast
	slow.Engine.FirstToken, slow.Engine.TokenInterval = time.Hour, time.Hour
	slow.Service.CallDuration = 100 * time.Millisecond
	f := startFleet(c, "guild", slow)
	engine, service := f.Engines["draftsmith-1"], f.Services["orderdesk-1"]
	for _, url := range []string{
		"http://" + engine.Addr().String() + "/v1/chat/completions",
		"http://" + service.Addr().String() + "/payments/1",
	} {
		ctx, cancel := context.WithCancel(t.Context())
		req, err := http.NewRequestWithContext(ctx, "POST", url, strings.NewReader(strings.Replace(prompt, `"stream":true,`, "", 1)))
		c.Assert(err, qt.IsNil)
		runs := f.RunLog.Total()
		ended := make(chan error)
		go func() {
			_, err := http.DefaultClient.Do(req)
			ended <- err
		}()
		await(c, func() bool { return f.RunLog.Total() > runs })
		cancel()
		c.Assert(<-ended, qt.IsNotNil)
	}
	await(c, func() bool {
		runs := f.RunLog.Runs()

		return runs[0].Outcome == Cancelled && runs[1].Outcome == Completed
	})
}

// Guards against controls and reports that have no effect over HTTP, and
// against a crash that cuts off the answer to the control that requests it.
func TestEngineControl(t *testing.T) {
	c := qt.New(t)
	f := startFleet(c, "guild", fast)
	e := f.Engines["draftsmith-1"]
	base := "http://" + e.Addr().String()
	for path, want := range map[string]string{
		"/load":   `{"running":0,"queued":0,"loading":false,"cold":false,"loaded":["draftsmith-7b"]}`,
		"/stats":  `{"peak":0,"overshoots":0,"crashes":0}`,
		"/runs":   `{"total":0,"runs":[]}`,
		"/health": `{}`,
	} {
		status, data, err := call(c, "GET", base+path, "")
		c.Assert(err, qt.IsNil)
		c.Assert(status, qt.Equals, http.StatusOK)
		c.Assert(string(data), qt.Equals, want)
	}
	status, _, err := call(c, "POST", base+"/control", `{"crash": "1ms", "slow": 2, "poison": "word"}`)
	c.Assert(err, qt.IsNil)
	c.Assert(status, qt.Equals, http.StatusNoContent)
	await(c, func() bool { return e.Stats().Crashes == 1 })
	await(c, func() bool {
		_, data, err := call(c, "GET", base+"/load", "")

		return err == nil && strings.Contains(string(data), `"cold":true`)
	})
}

// await polls until a condition holds, and fails the test after 10 s.
func await(c *qt.C, holds func() bool) {
	for range 2000 {
		if holds() {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	c.Fatal("the condition is not met after 10 s")
}

// Guards against runs of a plain service that are not logged or whose answer
// cannot be verified.
func TestServiceCountsRuns(t *testing.T) {
	c := qt.New(t)
	f := startFleet(c, "guild", fast)
	s := f.Services["orderdesk-1"]
	url := "http://" + s.Addr().String() + "/payments/7?club=3"
	status, data, err := call(c, "POST", url, "pay", KeyHeader, "k1")
	c.Assert(err, qt.IsNil)
	c.Assert(status, qt.Equals, http.StatusOK)
	c.Assert(string(data), qt.Equals, string(ServiceAnswer("orderdesk", "POST", "/payments/7?club=3", []byte("pay"))))

	// The request has run although its answer is cut off.
	s.Control(Control{Drop: new(1)})
	_, _, err = call(c, "POST", url, "pay", KeyHeader, "k1")
	c.Assert(err, qt.IsNotNil)
	c.Assert(f.RunLog.CountByKey(), qt.DeepEquals, map[string]int{"k1": 2})
}

// Guards against a directory that is published with its old hashes, version or
// epoch when it is read again.
func TestPublishDirectory(t *testing.T) {
	c := qt.New(t)
	s := NewConfiguration()
	for i := range 2 {
		c.Assert(s.PublishDirectory("../../docs/samples/guild"), qt.IsNil)
		view, _ := s.served()
		got, err := cataloguer.Parse(view.manifest, view.documents)
		c.Assert(err, qt.IsNil)
		c.Assert(got.Version, qt.Equals, cataloguer.Version(1+2*i))
		c.Assert(got.Epoch, qt.Equals, uint64(1+i))
		c.Assert(view.hosts.Hosts, qt.HasLen, 8)
		c.Assert(s.RaiseEpoch(), qt.IsNil)
	}
	c.Assert(s.PublishDirectory("none"), qt.ErrorMatches, "standin: publish: invalid documents: .*")
}

// Guards against a watch that misses a publication, and against a stale service
// that serves a new one.
func TestConfigurationWatch(t *testing.T) {
	c := qt.New(t)
	f := startFleet(c, "valcollina", fast)
	base := "http://" + f.Configuration.Addr().String()
	status, data, err := call(c, "GET", base+"/watch?after=0", "")
	c.Assert(err, qt.IsNil)
	c.Assert(status, qt.Equals, http.StatusOK)
	m, err := cataloguer.ParseManifest(data)
	c.Assert(err, qt.IsNil)
	c.Assert(m.Version, qt.Equals, cataloguer.Version(1))

	status, _, err = call(c, "POST", base+"/control", `{"out": "municipio"}`)
	c.Assert(err, qt.IsNil)
	c.Assert(status, qt.Equals, http.StatusNoContent)
	_, data, err = call(c, "GET", base+"/watch?after=1", "")
	c.Assert(err, qt.IsNil)
	m, err = cataloguer.ParseManifest(data)
	c.Assert(err, qt.IsNil)
	c.Assert(m.Version, qt.Equals, cataloguer.Version(2))

	_, _, err = call(c, "POST", base+"/control", `{"stale": true}`)
	c.Assert(err, qt.IsNil)
	c.Assert(f.Configuration.SetOutOfService("municipio", false), qt.IsNil)
	status, _, err = call(c, "GET", base+"/watch?after=2&wait=0s", "")
	c.Assert(err, qt.IsNil)
	c.Assert(status, qt.Equals, http.StatusNoContent)

	status, data, err = call(c, "POST", base+"/control", `{"sloww": 2}`)
	c.Assert(err, qt.IsNil)
	c.Assert(status, qt.Equals, http.StatusBadRequest)
	c.Assert(string(data), qt.Contains, "sloww: unknown field")
}
