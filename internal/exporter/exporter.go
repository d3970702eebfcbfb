// Package exporter keeps a node's metrics and writes them in the Prometheus
// text format.
package exporter

import (
	"fmt"
	"io"
	"sync"

	"github.com/VictoriaMetrics/metrics"

	"snipedyke/internal/budgeter"
	"snipedyke/internal/director"
	"snipedyke/internal/reducer"
)

const (
	namePrefix = "snipedyke_"
	// otherValue replaces the label values beyond maxLabels, so that no input
	// can make the number of time series grow without bound.
	otherValue = "other"
	// maxLabels is the maximum number of distinct label values of one counter,
	// and of classes.
	maxLabels = 64
)

// Reasons lists the refusal and retry reasons. New creates a time series for
// each of them.
var Reasons = []reducer.Reason{
	reducer.ReasonNotReady, reducer.ReasonStaleView, reducer.ReasonLeaving,
	reducer.ReasonRateLimit, reducer.ReasonConcurrencyLimit, reducer.ReasonOverload,
	reducer.ReasonDeadline, reducer.ReasonNoEndpoint, reducer.ReasonKeyUnverifiable,
	reducer.ReasonKeyInUse, reducer.ReasonClaimUnavailable, reducer.ReasonRecordsFull,
	reducer.ReasonIssuerLost, reducer.ReasonCoordinatorLost, reducer.ReasonRequestBlocked,
	reducer.ReasonEndpointLost, reducer.ReasonEndpointError,
	reducer.ReasonRetryBudget, reducer.ReasonTimeout, reducer.ReasonCallerGone,
}

// Counters of routed requests.
const (
	RoutedRefusals  reducer.Counter = "routed_refusals"
	RoutedRetries   reducer.Counter = "routed_retries"
	RoutedAttempts  reducer.Counter = "routed_attempts"
	RoutedNotices   reducer.Counter = "routed_notices"
	RoutedTakeUps   reducer.Counter = "routed_take_ups"
	RoutedCuts      reducer.Counter = "routed_memory_cuts"
	RoutedProbes    reducer.Counter = "routed_probes"
	RoutedHandovers reducer.Counter = "routed_handovers"
	RoutedHanded    reducer.Counter = "routed_handed"
)

// labelNames maps each counter to the name of its label, and initialValues to
// the label values whose time series New creates.
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
		RoutedNotices:            "notice",
		RoutedTakeUps:            "source",
		RoutedCuts:               "content",
		RoutedProbes:             "service",
		RoutedHandovers:          "result",
		RoutedHanded:             "result",
	}
	initialValues = map[reducer.Counter][]string{
		reducer.CounterRefusals:  reasonNames(),
		reducer.CounterRetries:   reasonNames(),
		reducer.CounterAnswers:   {"met", "late", "failed"},
		reducer.CounterGrants:    {"used", "stale", "unneeded"},
		reducer.CounterMarks:     {"suspect", "blocked", "cleared"},
		reducer.CounterEndpoints: {"cold", "warming", "warm", "failed", "probing", "out"},
		RoutedRefusals:           routedReasonNames(),
		RoutedRetries:            append(routedResultNames(), "status", director.LabelReplaced),
		RoutedAttempts:           routedResultNames(),
		RoutedNotices:            director.NoticeLabels,
		RoutedTakeUps:            director.TakeUpLabels,
		RoutedCuts:               contentNames(),
		RoutedHandovers:          routedResultNames(),
		RoutedHanded:             {director.LabelAccepted, director.LabelRefused},
	}
	// perClass lists the counters whose initial time series are also created
	// for each class.
	perClass = []reducer.Counter{reducer.CounterRefusals, reducer.CounterRetries, reducer.CounterAnswers}
)

// bucketBounds are the upper bounds of the histogram buckets in seconds. They
// include the design's latency targets, 0.031 and 0.66.
var bucketBounds = []float64{
	0.001, 0.002, 0.005, 0.01, 0.02, 0.031, 0.05, 0.1, 0.2, 0.4, 0.66, 1, 2, 5, 10, 30, 60, 300, 1800,
}

func routedReasonNames() []string {
	names := make([]string, 0, len(director.Reasons))
	for _, r := range director.Reasons {
		names = append(names, string(r))
	}

	return names
}

func contentNames() []string {
	names := make([]string, 0, len(budgeter.Contents))
	for _, c := range budgeter.Contents {
		names = append(names, string(c))
	}

	return names
}

func routedResultNames() []string {
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

// seriesKey identifies a time series.
type seriesKey struct {
	name  string
	label string
	class string
}

// Exporter holds the metrics of one node. It is safe for concurrent use.
type Exporter struct {
	set *metrics.Set

	mu         sync.Mutex
	counters   map[seriesKey]*metrics.Counter
	histograms map[seriesKey]*metrics.PrometheusHistogram
	// labels holds the label values in use for each counter; the key "class"
	// holds the classes.
	labels map[string]map[string]bool
}

// New returns an exporter with the initial time series at zero.
func New() *Exporter {
	x := &Exporter{
		set:        metrics.NewSet(),
		counters:   map[seriesKey]*metrics.Counter{},
		histograms: map[seriesKey]*metrics.PrometheusHistogram{},
		labels:     map[string]map[string]bool{},
	}
	for counter, values := range initialValues {
		for _, v := range values {
			x.counter(counter, v, "")
		}
	}

	return x
}

// AddClasses creates the initial time series of the named classes. It may be
// called again with the classes of a later catalogue.
func (x *Exporter) AddClasses(names []string) {
	for _, class := range names {
		for _, counter := range perClass {
			for _, v := range initialValues[counter] {
				x.counter(counter, v, class)
			}
		}
	}
}

// Count adds e.N to a counter, or 1 if e.N is zero.
func (x *Exporter) Count(e reducer.Count) {
	n := e.N
	if n == 0 {
		n = 1
	}
	x.counter(e.Counter, e.Label, e.Class).AddInt64(int64(n))
}

// Observe adds a value to a histogram.
func (x *Exporter) Observe(e reducer.Observe) {
	x.mu.Lock()
	key := seriesKey{name: string(e.Histogram), class: x.boundedValue("class", e.Class)}
	h := x.histograms[key]
	if h == nil {
		h = x.set.NewPrometheusHistogramExt(
			fmt.Sprintf("%s%s_seconds{class=%q}", namePrefix, key.name, key.class), bucketBounds)
		x.histograms[key] = h
	}
	x.mu.Unlock()
	h.Update(e.Value.Seconds())
}

// Collect registers a function that writes gauges each time the metrics are
// written. The names it passes to write have no prefix and may include labels,
// whose values must come from a bounded set.
func (x *Exporter) Collect(f func(write func(name string, value float64))) {
	x.set.RegisterMetricsWriter(func(w io.Writer) {
		f(func(name string, value float64) {
			_, _ = fmt.Fprintf(w, "%s%s %g\n", namePrefix, name, value)
		})
	})
}

// Write writes all metrics, including those of the process.
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
	key := seriesKey{
		name:  string(counter),
		label: x.boundedValue(string(counter), label),
		class: x.boundedValue("class", class),
	}
	c := x.counters[key]
	if c == nil {
		labelName := labelNames[counter]
		if labelName == "" {
			labelName = "label"
		}
		c = x.set.NewCounter(fmt.Sprintf("%s%s_total{%s=%q,class=%q}", namePrefix, key.name, labelName, key.label, key.class))
		x.counters[key] = c
	}

	return c
}

// boundedValue returns value, or otherValue if it is new and the label already
// has maxLabels values. The lock is held.
func (x *Exporter) boundedValue(label, value string) string {
	values := x.labels[label]
	if values == nil {
		values = map[string]bool{}
		x.labels[label] = values
	}
	if !values[value] {
		if len(values) >= maxLabels {
			return otherValue
		}
		values[value] = true
	}

	return value
}
