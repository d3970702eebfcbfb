package recorder

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"hash"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"snipedyke/internal/logger"
	"snipedyke/internal/placer"
	"snipedyke/internal/reducer"
	"snipedyke/pkg/encoder"
)

const maxOutcomes = 1000

// Outcome is a stated bound on a result of a replay.
type Outcome struct {
	// Name is the result's name, as a Result lists it.
	Name string `json:"name"`
	// Op is "=", "<=" or ">=".
	Op string `json:"op"`
	// Bound is a number, or any text for "=".
	Bound string `json:"bound"`
}

func (o Outcome) validate() error {
	switch o.Op {
	case "=":
		return nil
	case "<=", ">=":
		if _, err := strconv.ParseFloat(o.Bound, 64); err != nil {
			return fmt.Errorf("field bound: %q is no number", o.Bound)
		}

		return nil
	default:
		return fmt.Errorf("field op: %q, accepted are =, <= and >=", o.Op)
	}
}

// Value is a named result.
type Value struct {
	Name  string `json:"name"`
	Value string `json:"value"`
}

// Check is a stated outcome with what the replay gave.
type Check struct {
	Outcome
	Value string `json:"value"`
	OK    bool   `json:"ok"`
}

// Result is what a replay computes. It is the same on every run.
type Result struct {
	Header Header  `json:"header"`
	Events int     `json:"events"`
	Values []Value `json:"values"`
	Checks []Check `json:"checks"`
}

// OK reports whether all stated outcomes hold.
func (r *Result) OK() bool {
	return !slices.ContainsFunc(r.Checks, func(c Check) bool { return !c.OK })
}

// String returns the result as readable text.
func (r *Result) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s: %d events", r.Header.Self, r.Events)
	if !r.Header.Complete {
		b.WriteString(", incomplete: the first events are missing")
	}
	b.WriteByte('\n')
	for _, v := range r.Values {
		fmt.Fprintf(&b, "  %s %s\n", v.Name, v.Value)
	}
	for _, c := range r.Checks {
		verdict := "ok"
		if !c.OK {
			verdict = "FAILED"
		}
		fmt.Fprintf(&b, "  %s: %s %s %s, got %s\n", verdict, c.Name, c.Op, c.Bound, c.Value)
	}

	return b.String()
}

// Replay gives the events to a fresh reducer and compares the results with the
// stated outcomes. The secret is needed only if the events carry issued keys.
func Replay(t *Trace, secret []byte) *Result {
	core := reducer.New(reducer.Options{
		Self: t.Header.Self, DataCentre: t.Header.Centre, Incarnation: t.Header.Incarnation,
		Seed: t.Header.Seed, Secret: secret,
	})
	s := newSums()
	// The digest covers times as text, so they must not depend on the zone of
	// the machine.
	start := t.Header.Start.UTC()
	for _, e := range t.Events {
		switch e := e.Event.(type) {
		case reducer.Arrived:
			s.arrived(e.Request)
		case reducer.Ended:
			s.tokens += uint64(e.Tokens)
		}
		s.at = e.At
		for _, effect := range core.Reduce(start.Add(e.At), e.Event) {
			s.add(effect)
		}
	}
	r := &Result{Header: t.Header, Events: len(t.Events), Values: s.values()}
	for _, o := range t.Outcomes {
		r.Checks = append(r.Checks, check(o, r.Values))
	}

	return r
}

// check compares an outcome with the results. A result that did not occur
// counts as zero, so that "at most" bounds on it hold.
func check(o Outcome, values []Value) Check {
	c := Check{Outcome: o, Value: "0"}
	for _, v := range values {
		if v.Name == o.Name {
			c.Value = v.Value
		}
	}
	if o.Op == "=" {
		c.OK = c.Value == o.Bound

		return c
	}
	got, err := strconv.ParseFloat(c.Value, 64)
	bound, boundErr := strconv.ParseFloat(o.Bound, 64)
	if err != nil || boundErr != nil {
		return c
	}
	c.OK = o.Op == "<=" && got <= bound || o.Op == ">=" && got >= bound

	return c
}

// sums gathers the results of a replay.
type sums struct {
	digest   hash.Hash
	effects  int
	requests map[string]bool
	sent     int
	counts   map[string]uint64
	answers  map[string]map[string]uint64
	wait     map[string]time.Duration
	// tokens counts what the endpoints generated.
	tokens uint64
	// at is the time of the present event, and last that of the last dispatch
	// to each endpoint, since the start.
	at   time.Duration
	last map[string]time.Duration
}

func newSums() *sums {
	return &sums{
		digest: sha256.New(), requests: map[string]bool{}, counts: map[string]uint64{},
		answers: map[string]map[string]uint64{}, wait: map[string]time.Duration{},
		last: map[string]time.Duration{},
	}
}

// arrived notes a request. Requests of one entry with the same key, or without
// one but with the same content, are the same request sent again.
func (s *sums) arrived(r reducer.Request) {
	s.requests[fmt.Sprintf("%s %q %d", r.Entry, r.Key, r.Fingerprint)] = true
}

func (s *sums) add(effect reducer.Effect) {
	s.effects++
	switch e := effect.(type) {
	case reducer.Send:
		// The message is a pointer, which must not become part of the digest.
		body, err := encoder.Append(nil, e.Message)
		_, _ = fmt.Fprintf(s.digest, "send %q %x %v\n", e.To, body, err)

		return
	case reducer.Dispatch:
		s.sent++
		s.last[e.Endpoint] = s.at
	case reducer.Count:
		s.count(e)
	case reducer.Log:
		s.log(e)
	case reducer.Observe:
		if e.Histogram == reducer.HistogramQueue {
			s.wait[e.Class] = max(s.wait[e.Class], e.Value)
		}
	}
	_, _ = fmt.Fprintf(s.digest, "%T %+v\n", effect, effect)
}

// log counts the failures of endpoints. A failed probe does not count as a new
// failure.
func (s *sums) log(e reducer.Log) {
	if e.Event != logger.EndpointState {
		return
	}
	args := map[string]string{}
	for i := 0; i+1 < len(e.Args); i += 2 {
		args[fmt.Sprint(e.Args[i])] = fmt.Sprint(e.Args[i+1])
	}
	if args["state"] == string(placer.Failed) && args["former"] != string(placer.Probing) {
		s.counts["failures"]++
	}
}

func (s *sums) count(e reducer.Count) {
	n := max(e.N, 1)
	switch e.Counter {
	case reducer.CounterRefusals:
		s.counts["refused."+e.Class] += n
		s.counts["refusals."+e.Label] += n
	case reducer.CounterRetries, reducer.CounterMarks, reducer.CounterEndpoints, reducer.CounterGrants:
		s.counts[string(e.Counter)+"."+e.Label] += n
	case reducer.CounterWasted:
		s.counts["wasted"] += n
	case reducer.CounterAnswers:
		if s.answers[e.Class] == nil {
			s.answers[e.Class] = map[string]uint64{}
		}
		s.answers[e.Class][e.Label] += n
	}
}

// values returns the results by name.
func (s *sums) values() []Value {
	out := map[string]string{
		"digest":     hex.EncodeToString(s.digest.Sum(nil)),
		"effects":    strconv.Itoa(s.effects),
		"requests":   strconv.Itoa(len(s.requests)),
		"dispatches": strconv.Itoa(s.sent),
		"wasted":     strconv.FormatUint(s.counts["wasted"], 10),
	}
	if len(s.requests) > 0 {
		out["dispatches.ratio"] = decimal(float64(s.sent) / float64(len(s.requests)))
	}
	if s.tokens > 0 {
		out["wasted.ratio"] = decimal(float64(s.counts["wasted"]) / float64(s.tokens))
	}
	for name, n := range s.counts {
		out[name] = strconv.FormatUint(n, 10)
	}
	for class, results := range s.answers {
		total := uint64(0)
		for _, n := range results {
			total += n
		}
		out["attainment."+class] = decimal(float64(results["met"]) / float64(total))
	}
	for class, d := range s.wait {
		out["wait."+class] = decimal(d.Seconds())
	}
	for endpoint, at := range s.last {
		out["last."+endpoint] = decimal(at.Seconds())
	}
	values := make([]Value, 0, len(out))
	for _, name := range slices.Sorted(maps.Keys(out)) {
		values = append(values, Value{Name: name, Value: out[name]})
	}

	return values
}

func decimal(f float64) string { return strconv.FormatFloat(f, 'f', 6, 64) }
