// Package exporter keeps a node's metrics and writes them in the Prometheus
// text format.
package exporter

import (
	"fmt"
	"io"
	"sync"

	"github.com/VictoriaMetrics/metrics"

	"snipedyke/internal/director"
	"snipedyke/internal/reducer"
)

const (
	prefix = "snipedyke_"
	// other replaces a label value that is neither known nor within the
	// bound, so that no input can make the number of time series grow.
	other = "other"
	// maxLabels bounds the label values of one counter and the classes.
	maxLabels = 64
)

// Reasons lists the refusal and retry reasons; each has a time series from
// the start.
var Reasons = []reducer.Reason{
	reducer.ReasonNotReady, reducer.ReasonStaleView, reducer.ReasonLeaving,
	reducer.ReasonRate, reducer.ReasonConcurrent, reducer.ReasonOverload,
	reducer.ReasonDeadline, reducer.ReasonNoEndpoint, reducer.ReasonUnverifiable,
	reducer.ReasonKeyHeld, reducer.ReasonClaimLost, reducer.ReasonRecordsFull,
	reducer.ReasonIssuerLost, reducer.ReasonCoordinator, reducer.ReasonBlocked,
	reducer.ReasonEndpointLost, reducer.ReasonEndpointError,
	reducer.ReasonRetryBudget, reducer.ReasonTimeout, reducer.ReasonCallerGone,
}

// The counters of routed requests.
const (
	RoutedRefusals reducer.Counter = "routed_refusals"
	RoutedRetries  reducer.Counter = "routed_retries"
	RoutedAttempts reducer.Counter = "routed_attempts"
)

// labelNames holds the name of each counter's label, and known the values
// that exist from the start.
var (
	labelNames = map[reducer.Counter]string{
		reducer.CounterRefusals:  "reason",
		reducer.CounterRetries:   "reason",
		reducer.CounterAnswers:   "result",
		reducer.CounterWasted:    "reason",
		reducer.CounterGrants:    "result",
		reducer.CounterClaims:    "verdict",
		reducer.CounterMarks:     "mark",
		reducer.CounterEndpoints: "state",
		RoutedRefusals:           "reason",
		RoutedRetries:            "reason",
		RoutedAttempts:           "result",
	}
	known = map[reducer.Counter][]string{
		reducer.CounterRefusals:  reasonNames(),
		reducer.CounterRetries:   reasonNames(),
		reducer.CounterAnswers:   {"met", "late", "failed"},
		reducer.CounterGrants:    {"used", "stale", "unneeded"},
		reducer.CounterMarks:     {"suspect", "blocked", "cleared"},
		reducer.CounterEndpoints: {"cold", "warming", "warm", "failed", "probing", "out"},
		RoutedRefusals:           routedReasons(),
		RoutedRetries:            append(routedResults(), "status"),
		RoutedAttempts:           routedResults(),
	}
	// byClass tells which counters have time series for each class from the
	// start.
	byClass = []reducer.Counter{reducer.CounterRefusals, reducer.CounterRetries, reducer.CounterAnswers}
)

// bounds are the upper bounds of the histograms' buckets in seconds. They
// include the latency targets of the design, 0.031 and 0.66.
var bounds = []float64{
	0.001, 0.002, 0.005, 0.01, 0.02, 0.031, 0.05, 0.1, 0.2, 0.4, 0.66, 1, 2, 5, 10, 30, 60, 300, 1800,
}

func routedReasons() []string {
	names := make([]string, 0, len(director.Reasons))
	for _, r := range director.Reasons {
		names = append(names, string(r))
	}

	return names
}

func routedResults() []string {
	names := make([]string, 0, len(director.Results))
	for _, r := range director.Results {
		names = append(names, r.String())
	}

	return names
}

func reasonNames() []string {
	names := make([]string, 0, len(Reasons))
	for _, r := range Reasons {
		names = append(names, string(r))
	}

	return names
}

type series struct {
	name  string
	label string
	class string
}

// Exporter holds the metrics of one node. It is safe for concurrent use.
type Exporter struct {
	set *metrics.Set

	mu         sync.Mutex
	counters   map[series]*metrics.Counter
	histograms map[series]*metrics.PrometheusHistogram
	// labels holds the label values in use by counter; the key "class" holds
	// the classes.
	labels map[string]map[string]bool
}

// New returns an exporter in which every known time series is zero.
func New() *Exporter {
	x := &Exporter{
		set:        metrics.NewSet(),
		counters:   map[series]*metrics.Counter{},
		histograms: map[series]*metrics.PrometheusHistogram{},
		labels:     map[string]map[string]bool{},
	}
	for counter, values := range known {
		for _, v := range values {
			x.counter(counter, v, "")
		}
	}

	return x
}

// Classes creates the time series of the classes. It may be called again with
// the classes of the next catalogue.
func (x *Exporter) Classes(names []string) {
	for _, class := range names {
		for _, counter := range byClass {
			for _, v := range known[counter] {
				x.counter(counter, v, class)
			}
		}
	}
}

// Count carries out a reducer's Count.
func (x *Exporter) Count(e reducer.Count) {
	n := e.N
	if n == 0 {
		n = 1
	}
	x.counter(e.Counter, e.Label, e.Class).AddInt64(int64(n))
}

// Observe carries out a reducer's Observe.
func (x *Exporter) Observe(e reducer.Observe) {
	x.mu.Lock()
	key := series{name: string(e.Histogram), class: x.bounded("class", e.Class)}
	h := x.histograms[key]
	if h == nil {
		h = x.set.NewPrometheusHistogramExt(
			fmt.Sprintf("%s%s_seconds{class=%q}", prefix, key.name, key.class), bounds)
		x.histograms[key] = h
	}
	x.mu.Unlock()
	h.Update(e.Value.Seconds())
}

// Collect registers a function that writes gauges whenever the metrics are
// written. A name has no prefix and may have labels, whose values must come
// from a bounded set.
func (x *Exporter) Collect(f func(write func(name string, value float64))) {
	x.set.RegisterMetricsWriter(func(w io.Writer) {
		f(func(name string, value float64) {
			_, _ = fmt.Fprintf(w, "%s%s %g\n", prefix, name, value)
		})
	})
}

// Write writes all metrics.
func (x *Exporter) Write(w io.Writer) {
	x.set.WritePrometheus(w)
	metrics.WriteProcessMetrics(w)
}

// Value returns the present value of a counter, for tests and the demo.
func (x *Exporter) Value(counter reducer.Counter, label, class string) uint64 {
	return x.counter(counter, label, class).Get()
}

func (x *Exporter) counter(counter reducer.Counter, label, class string) *metrics.Counter {
	x.mu.Lock()
	defer x.mu.Unlock()
	key := series{
		name:  string(counter),
		label: x.bounded(string(counter), label),
		class: x.bounded("class", class),
	}
	c := x.counters[key]
	if c == nil {
		labelName := labelNames[counter]
		if labelName == "" {
			labelName = "label"
		}
		c = x.set.NewCounter(fmt.Sprintf("%s%s_total{%s=%q,class=%q}", prefix, key.name, labelName, key.label, key.class))
		x.counters[key] = c
	}

	return c
}

// bounded returns the value, or other if the label has too many values
// already.
func (x *Exporter) bounded(label, value string) string {
	values := x.labels[label]
	if values == nil {
		values = map[string]bool{}
		x.labels[label] = values
	}
	if !values[value] {
		if len(values) >= maxLabels {
			return other
		}
		values[value] = true
	}

	return value
}
