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

// maxOutcomes is the maximum number of outcomes in a trace.
const maxOutcomes = 1000

// Outcome is an expected bound on a value that a replay computes.
type Outcome struct {
	// Name is the name of the value in Result.Values.
	Name string `json:"name"`
	// Op is "=", "<=" or ">=".
	Op string `json:"op"`
	// Bound is a decimal number, or any text if Op is "=".
	Bound string `json:"bound"`
}

func (o Outcome) validate() error {
	switch o.Op {
	case "=":
		return nil
	case "<=", ">=":
		if _, err := strconv.ParseFloat(o.Bound, 64); err != nil {
			return fmt.Errorf("field bound: %q is not a number", o.Bound)
		}

		return nil
	default:
		return fmt.Errorf("field op: %q, accepted are =, <= and >=", o.Op)
	}
}

// Value is a named value that a replay computed.
type Value struct {
	Name  string `json:"name"`
	Value string `json:"value"`
}

// Check is an expected outcome with the value that the replay computed.
type Check struct {
	Outcome
	Value string `json:"value"`
	OK    bool   `json:"ok"`
}

// Result is the result of a replay. It is the same for every replay of a
// trace.
type Result struct {
	Header Header  `json:"header"`
	Events int     `json:"events"`
	Values []Value `json:"values"`
	Checks []Check `json:"checks"`
}

// OK reports whether all expected outcomes hold.
func (r *Result) OK() bool {
	return !slices.ContainsFunc(r.Checks, func(c Check) bool { return !c.OK })
}

// String returns the result as text for operators.
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

// Replay passes the events of a trace to a new reducer and compares the
// computed values with the expected outcomes. The secret is needed only if the
// events carry issued keys.
func Replay(t *Trace, secret []byte) *Result {
	core := reducer.New(reducer.Options{
		Self: t.Header.Self, DataCentre: t.Header.Centre, Incarnation: t.Header.Incarnation,
		Seed: t.Header.Seed, Secret: secret,
	})
	a := newAccumulator()
	// The digest covers times formatted as text, which must not depend on the
	// local time zone.
	start := t.Header.Start.UTC()
	for _, e := range t.Events {
		switch e := e.Event.(type) {
		case reducer.Arrived:
			a.addRequest(e.Request)
		case reducer.Ended:
			a.tokens += uint64(e.Tokens)
		}
		a.at = e.At
		for _, effect := range core.Reduce(start.Add(e.At), e.Event) {
			a.addEffect(effect)
		}
	}
	r := &Result{Header: t.Header, Events: len(t.Events), Values: a.values()}
	for _, o := range t.Outcomes {
		r.Checks = append(r.Checks, checkOutcome(o, r.Values))
	}

	return r
}

// checkOutcome compares an outcome with the computed values. A missing value
// counts as zero, so that an upper bound on it holds.
func checkOutcome(o Outcome, values []Value) Check {
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

// accumulator computes the values of a replay from its events and effects.
type accumulator struct {
	digest         hash.Hash
	effects        int
	requests       map[string]bool
	dispatches     int
	counts         map[string]uint64
	answersByClass map[string]map[string]uint64
	maxWait        map[string]time.Duration
	// tokens is the number of tokens that endpoints generated.
	tokens uint64
	// at is the time of the current event, and lastDispatch that of the last
	// dispatch to each endpoint, both since the start of the trace.
	at           time.Duration
	lastDispatch map[string]time.Duration
}

func newAccumulator() *accumulator {
	return &accumulator{
		digest: sha256.New(), requests: map[string]bool{}, counts: map[string]uint64{},
		answersByClass: map[string]map[string]uint64{}, maxWait: map[string]time.Duration{},
		lastDispatch: map[string]time.Duration{},
	}
}

// addRequest counts a request once. Requests of one entry with the same key, or
// without a key but with the same content, are retries of one request.
func (a *accumulator) addRequest(r reducer.Request) {
	a.requests[fmt.Sprintf("%s %q %d", r.Entry, r.Key, r.Fingerprint)] = true
}

// addEffect counts an effect and adds it to the digest.
func (a *accumulator) addEffect(effect reducer.Effect) {
	a.effects++
	switch e := effect.(type) {
	case reducer.Send:
		// The message is a pointer, and the digest must not depend on its address.
		body, err := encoder.Append(nil, e.Message)
		_, _ = fmt.Fprintf(a.digest, "send %q %x %v\n", e.To, body, err)

		return
	case reducer.Dispatch:
		a.dispatches++
		a.lastDispatch[e.Endpoint] = a.at
	case reducer.Count:
		a.addCount(e)
	case reducer.Log:
		a.addLog(e)
	case reducer.Observe:
		if e.Histogram == reducer.HistogramQueue {
			a.maxWait[e.Class] = max(a.maxWait[e.Class], e.Value)
		}
	}
	_, _ = fmt.Fprintf(a.digest, "%T %+v\n", effect, effect)
}

// addLog counts the failures of endpoints. A failed probe is not counted,
// because the endpoint had already failed before it.
func (a *accumulator) addLog(e reducer.Log) {
	if e.Event != logger.EndpointState {
		return
	}
	args := map[string]string{}
	for i := 0; i+1 < len(e.Args); i += 2 {
		args[fmt.Sprint(e.Args[i])] = fmt.Sprint(e.Args[i+1])
	}
	if args["state"] == string(placer.Failed) && args["former"] != string(placer.Probing) {
		a.counts["failures"]++
	}
}

// addCount adds a counter effect to the totals.
func (a *accumulator) addCount(e reducer.Count) {
	n := max(e.N, 1)
	switch e.Counter {
	case reducer.CounterRefusals:
		a.counts["refused."+e.Class] += n
		a.counts["refusals."+e.Label] += n
	case reducer.CounterRetries, reducer.CounterMarks, reducer.CounterEndpoints, reducer.CounterGrants:
		a.counts[string(e.Counter)+"."+e.Label] += n
	case reducer.CounterWasted:
		a.counts["wasted"] += n
	case reducer.CounterAnswers:
		if a.answersByClass[e.Class] == nil {
			a.answersByClass[e.Class] = map[string]uint64{}
		}
		a.answersByClass[e.Class][e.Label] += n
	}
}

// values returns the computed values, sorted by name.
func (a *accumulator) values() []Value {
	values := map[string]string{
		"digest":     hex.EncodeToString(a.digest.Sum(nil)),
		"effects":    strconv.Itoa(a.effects),
		"requests":   strconv.Itoa(len(a.requests)),
		"dispatches": strconv.Itoa(a.dispatches),
		"wasted":     strconv.FormatUint(a.counts["wasted"], 10),
	}
	if len(a.requests) > 0 {
		values["dispatches.ratio"] = formatDecimal(float64(a.dispatches) / float64(len(a.requests)))
	}
	if a.tokens > 0 {
		values["wasted.ratio"] = formatDecimal(float64(a.counts["wasted"]) / float64(a.tokens))
	}
	for name, n := range a.counts {
		values[name] = strconv.FormatUint(n, 10)
	}
	for class, results := range a.answersByClass {
		total := uint64(0)
		for _, n := range results {
			total += n
		}
		values["attainment."+class] = formatDecimal(float64(results["met"]) / float64(total))
	}
	for class, d := range a.maxWait {
		values["wait."+class] = formatDecimal(d.Seconds())
	}
	for endpoint, at := range a.lastDispatch {
		values["last."+endpoint] = formatDecimal(at.Seconds())
	}
	sorted := make([]Value, 0, len(values))
	for _, name := range slices.Sorted(maps.Keys(values)) {
		sorted = append(sorted, Value{Name: name, Value: values[name]})
	}

	return sorted
}

func formatDecimal(f float64) string { return strconv.FormatFloat(f, 'f', 6, 64) }
