package recorder

import (
	"bytes"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"regexp"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"snipedyke/internal/logger"
	"snipedyke/internal/placer"
	"snipedyke/internal/reducer"
	"snipedyke/pkg/cataloguer"
	"snipedyke/pkg/encoder"
)

var start = time.Date(2026, 3, 1, 0, 0, 0, 0, time.UTC)

func testCatalogue() *cataloguer.Catalogue {
	entry := &cataloguer.Entry{Name: "club", Owner: "guild", Class: "chat", Rate: 5, Burst: 10, MaxConcurrent: 4, Keys: []cataloguer.KeyHash{{1}}}

	return &cataloguer.Catalogue{
		Version: 7, Epoch: 1,
		Services: map[string]*cataloguer.Service{"draft": {Name: "draft", Kind: cataloguer.ModelService, Models: []string{"m"}}},
		Classes: map[string]*cataloguer.Class{"chat": {
			Name: "chat", Tier: 1, FirstToken: time.Second, Gap: 31 * time.Millisecond, Share: 0.5, MaxWait: time.Minute,
		}},
		DataCentres: map[string]*cataloguer.DataCentre{"kochi": {Name: "kochi", Region: "south"}},
		Endpoints: map[string]*cataloguer.Endpoint{"e1": {
			Name: "e1", Service: "draft", DataCentre: "kochi", Pool: "draft", Address: netip.MustParseAddrPort("10.0.0.1:80"),
			Slots: 4, ColdSlots: 1, Models: []string{"m"},
		}},
		Entries: map[string]*cataloguer.Entry{"club": entry},
		Keys:    map[cataloguer.KeyHash]*cataloguer.Entry{{1}: entry},
	}
}

// samples returns events of every type.
func samples() []reducer.Event {
	return []reducer.Event{
		reducer.CatalogueLoaded{Catalogue: testCatalogue()},
		reducer.HostsLoaded{Hosts: &cataloguer.Hosts{Version: 3, Hosts: []cataloguer.Host{
			{Name: "a", DataCentre: "kochi", Peer: netip.MustParseAddrPort("10.0.0.9:7000"), Leaving: true},
		}}},
		reducer.Tick{}, reducer.ServiceContacted{}, reducer.ShutdownRequested{},
		reducer.Arrived{Request: reducer.Request{
			ID: 1 << 60, Entry: "club", Service: "draft", Class: "chat", Model: "m", Adapter: "x",
			Fingerprint: 1<<64 - 1, Prefix: 3, Key: "k", Once: true, Stream: true, Deadline: time.Second, Tokens: 9, Forwarded: true,
		}},
		reducer.CallerGone{ID: 2}, reducer.Started{ID: 2, Permit: 3, First: time.Second}, reducer.Progressed{ID: 2, Permit: 3, Tokens: 4},
		reducer.Ended{ID: 2, Outcome: encoder.OutcomeRefused},
		reducer.Ended{
			ID: 2, Permit: 3, Outcome: encoder.OutcomeOK, Written: true, Relayed: true, Tokens: 4, First: 5, Gap: 6, Run: 7,
			Answer: &encoder.Answer{Status: 200, Headers: []encoder.Header{{Name: "A", Value: "b"}}, Body: []byte("x")},
		},
		reducer.Received{From: "b", Message: &encoder.Heartbeat{Seq: 8, LeasedPools: []string{"draft"}}},
		reducer.Connected{Peer: "b"}, reducer.Disconnected{Peer: "b"},
		reducer.LoadReported{Endpoint: "e1", Running: 1, Queued: 2, Loading: true, Loaded: []string{"m"}}, reducer.Probed{Endpoint: "e1", OK: true},
		reducer.ConnectionRefused{Peer: "n2"},
		reducer.OrderGiven{Order: encoder.Order{ID: "o", DataCentre: "kochi", Left: 5, Cancelled: true}},
	}
}

// Guards against events that are lost or changed in a trace, and against an
// event type that was added to the reducer but not to the recorder.
func TestEventsRoundTripThroughTrace(t *testing.T) {
	c := qt.New(t)
	source, err := os.ReadFile("../reducer/event.go")
	c.Assert(err, qt.IsNil)
	types := map[string]bool{}
	r := New(Options{Header: Header{Self: "a", Centre: "kochi", Incarnation: 4, Seed: 5}})
	for i, e := range samples() {
		types[fmt.Sprintf("%T", e)] = true
		r.Record(start.Add(time.Duration(i)), e)
	}
	for _, m := range regexp.MustCompile(`func \((\w+)\) event\(\)`).FindAllStringSubmatch(string(source), -1) {
		c.Check(types["reducer."+m[1]], qt.IsTrue, qt.Commentf("no sample of %s", m[1]))
	}
	for _, compress := range []bool{false, true} {
		var out bytes.Buffer
		c.Assert(r.WriteTrace(&out, compress), qt.IsNil)
		trace, err := Decode(&out)
		c.Assert(err, qt.IsNil)
		c.Check(trace.Header, qt.DeepEquals, Header{
			Version: 1, Self: "a", Centre: "kochi", Incarnation: 4, Seed: 5, Start: start, Complete: true,
		})
		c.Assert(trace.Events, qt.HasLen, len(samples()))
		for i, e := range samples() {
			c.Check(trace.Events[i].At, qt.Equals, time.Duration(i))
			c.Check(trace.Events[i].Event, qt.CmpEquals(cmpopts.EquateEmpty(), cmp.Comparer(func(a, b netip.AddrPort) bool { return a == b })), e)
		}
	}
}

// Guards against a recording that exceeds its limit, and against one that is
// marked complete although its first events were dropped.
func TestRecordingIsBounded(t *testing.T) {
	c := qt.New(t)
	r := New(Options{Header: Header{Self: "a"}, Limit: 1 << 20})
	body := make([]byte, 1000)
	for i := range 5000 {
		r.Record(start.Add(time.Duration(i)), reducer.Received{From: "b", Message: &encoder.Documents{Manifest: body}})
	}
	c.Check(r.Size() <= 1<<20, qt.IsTrue)
	var out bytes.Buffer
	c.Assert(r.WriteTrace(&out, true), qt.IsNil)
	trace, err := Decode(&out)
	c.Assert(err, qt.IsNil)
	c.Check(trace.Header.Complete, qt.IsFalse)
	c.Check(trace.Events[len(trace.Events)-1].At, qt.Equals, time.Duration(4999))
	c.Check(len(trace.Events) > 500, qt.IsTrue)
}

// Guards against damaged or unsupported traces that are accepted.
func TestDecodeRejectsInvalidTraces(t *testing.T) {
	c := qt.New(t)
	header := `{"version":1,"self":"a","centre":"","incarnation":0,"seed":0,"start":"2026-03-01T00:00:00Z","complete":true}` + "\n"
	for _, text := range []string{
		"", "{}", strings.Replace(header, `"version":1`, `"version":2`, 1), strings.Replace(header, "seed", "weed", 1),
		header + `{"at":0,"kind":"tock"}`, header + `{"at":0,"kind":"tick","extra":1}`, header + `{"at":0,"kind":"tick"} x`,
		header + `{"at":5,"kind":"tick"}` + "\n" + `{"at":4,"kind":"tick"}`, header + `{"at":0,"kind":"arrived"}`,
		header + `{"at":0,"kind":"received","message":"/w=="}`, header + `{"at":0,"kind":"ended","answer":"gA=="}x`,
		header + `{"at":0,"kind":"document","name":"services","body":"e30="}`,
		header + `{"at":0,"kind":"outcome","outcome":{"name":"wasted","op":"<","bound":"3"}}`,
		header + `{"at":0,"kind":"outcome","outcome":{"name":"wasted","op":"<=","bound":"few"}}`,
		"\x1f\x8b\x00",
	} {
		_, err := Decode(strings.NewReader(text))
		var e *Error
		c.Check(err, qt.ErrorAs, &e, qt.Commentf("%s", text))
	}
}

// Guards against replays of one trace that differ, and against expected
// outcomes that are not checked.
func TestReplayIsDeterministicAndChecksOutcomes(t *testing.T) {
	c := qt.New(t)
	trace := &Trace{Header: Header{Self: "a", Start: start, Complete: true}, Outcomes: []Outcome{
		{"requests", "=", "1"}, {"wasted", "<=", "0"}, {"requests", ">=", "2"}, {"digest", "=", "other"},
	}}
	for i, e := range samples() {
		trace.Events = append(trace.Events, Event{time.Duration(i) * time.Second, e})
	}
	r := Replay(trace, nil)
	c.Check(Replay(trace, nil).String(), qt.Equals, r.String())
	c.Check(r.OK(), qt.IsFalse)
	for i, want := range []bool{true, true, false, false} {
		c.Check(r.Checks[i].OK, qt.Equals, want, qt.Commentf("%v", r.Checks[i]))
	}
}

// Guards against results that are computed wrongly, such as retries that count
// as requests of their own or a failed probe that counts as a failure.
func TestAccumulatorResults(t *testing.T) {
	c := qt.New(t)
	a := newAccumulator()
	a.tokens, a.at = 1000, 2*time.Second
	for _, r := range []reducer.Request{{ID: 1, Entry: "e", Fingerprint: 5}, {ID: 2, Entry: "e", Fingerprint: 5}} {
		a.addRequest(r)
	}
	for _, e := range []reducer.Effect{
		reducer.Dispatch{ID: 1, Endpoint: "e1"}, reducer.Dispatch{ID: 2, Endpoint: "e1"},
		reducer.Count{Counter: reducer.CounterAnswers, Label: "met", Class: "chat", N: 3},
		reducer.Count{Counter: reducer.CounterAnswers, Label: "late", Class: "chat"},
		reducer.Count{Counter: reducer.CounterRefusals, Label: "overload", Class: "chat"},
		reducer.Count{Counter: reducer.CounterWasted, N: 40},
		reducer.Count{Counter: reducer.CounterMarks, Label: "blocked"},
		reducer.Log{Event: logger.EndpointState, Args: []any{"former", placer.Warm, "state", placer.Failed}},
		reducer.Log{Event: logger.EndpointState, Args: []any{"former", placer.Probing, "state", placer.Failed}},
		reducer.Observe{Histogram: reducer.HistogramQueue, Class: "chat", Value: time.Second},
		reducer.Observe{Histogram: reducer.HistogramQueue, Class: "chat", Value: time.Millisecond},
	} {
		a.addEffect(e)
	}
	got := map[string]string{}
	for _, v := range a.values() {
		got[v.Name] = v.Value
	}
	delete(got, "digest")
	c.Check(got, qt.DeepEquals, map[string]string{
		"effects": "11", "requests": "1", "dispatches": "2", "dispatches.ratio": "2.000000", "wasted": "40",
		"attainment.chat": "0.750000", "refusals.overload": "1", "wait.chat": "1.000000",
		"refused.chat": "1", "marks.blocked": "1", "wasted.ratio": "0.040000", "last.e1": "2.000000",
		"failures": "1",
	})
}

// Guards against trace files that crash the decoder, and against decoded traces
// that cannot be encoded and decoded again.
func FuzzDecode(f *testing.F) {
	r := New(Options{Header: Header{Self: "a"}})
	for _, e := range samples() {
		r.Record(start, e)
	}
	var plain, compressed bytes.Buffer
	if err := errors.Join(r.WriteTrace(&plain, false), r.WriteTrace(&compressed, true)); err != nil {
		f.Fatal(err)
	}
	f.Add(plain.Bytes())
	f.Add(compressed.Bytes())
	f.Fuzz(func(t *testing.T, data []byte) {
		trace, err := Decode(bytes.NewReader(data))
		if err != nil {
			return
		}
		var out bytes.Buffer
		if err := Encode(&out, trace, false); err != nil {
			return
		}
		again, err := Decode(&out)
		if err != nil || len(again.Events) != len(trace.Events) {
			t.Fatalf("decoded trace changed when encoded and decoded again: %v", err)
		}
	})
}

// BenchmarkRecord measures the cost of recording an event.
func BenchmarkRecord(b *testing.B) {
	for _, s := range []struct {
		name  string
		event reducer.Event
	}{
		{"tick", reducer.Tick{}},
		{"heartbeat", reducer.Received{From: "entry-1", Message: &encoder.Heartbeat{Seq: 90000, Echo: 90000, Incarnation: 1 << 60}}},
		{"arrived", reducer.Arrived{Request: reducer.Request{ID: 1 << 40, Entry: "club", Service: "draft", Class: "chat", Key: "k"}}},
	} {
		b.Run(s.name, func(b *testing.B) {
			b.ReportAllocs()
			r := New(Options{Header: Header{Self: "a"}})
			now := start
			for b.Loop() {
				now = now.Add(time.Millisecond)
				r.Record(now, s.event)
			}
		})
	}
}
