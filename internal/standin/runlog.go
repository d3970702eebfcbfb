package standin

import (
	"encoding/json"
	"sync"
	"time"
)

// The request header fields that stand-ins read.
const (
	RequestHeader  = "Snipedyke-Request"
	PriorityHeader = "Snipedyke-Priority"
	ResumeHeader   = "Snipedyke-Resume"
	KeyHeader      = "Idempotency-Key"
)

// Outcome is the state of a run: running, or how it ended.
type Outcome string

// The outcomes.
const (
	Running   Outcome = "running"
	Completed Outcome = "completed"
	// Dropped is a run whose answer the stand-in cut off because of a control.
	Dropped Outcome = "dropped"
	// Cancelled is a run whose client disconnected.
	Cancelled Outcome = "cancelled"
	Crashed   Outcome = "crashed"
)

// maxRuns bounds the number of runs in a RunLog. Later runs are only counted.
const maxRuns = 200_000

// Run is one execution of a request at an endpoint.
type Run struct {
	// Request and Key are the request key and the idempotency key, or empty.
	Request  string    `json:"request"`
	Key      string    `json:"key,omitempty"`
	Endpoint string    `json:"endpoint"`
	Path     string    `json:"path"`
	Start    time.Time `json:"start"`
	Priority int       `json:"priority"`
	// Skipped is the number of tokens that a resumed stream omitted.
	Skipped int     `json:"skipped,omitempty"`
	Tokens  int     `json:"tokens,omitempty"`
	Outcome Outcome `json:"outcome"`
}

// RunLog is a log of runs. Stand-ins may share one, so that it shows requests
// that ran at more than one endpoint. The zero value is ready to use.
type RunLog struct {
	mu    sync.Mutex
	runs  []Run
	total int
}

// begin adds a run and returns its index, or -1 if the log is full.
func (l *RunLog) begin(r Run) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.total++
	if len(l.runs) >= maxRuns {
		return -1
	}
	r.Outcome = Running
	l.runs = append(l.runs, r)

	return len(l.runs) - 1
}

// end records the number of tokens and the outcome of a run.
func (l *RunLog) end(number, tokens int, outcome Outcome) {
	if number < 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[number].Tokens = tokens
	l.runs[number].Outcome = outcome
}

// Runs returns the logged runs in the order of their starts.
func (l *RunLog) Runs() []Run {
	l.mu.Lock()
	defer l.mu.Unlock()

	return append([]Run{}, l.runs...)
}

// Total returns the number of runs, including those beyond maxRuns.
func (l *RunLog) Total() int {
	l.mu.Lock()
	defer l.mu.Unlock()

	return l.total
}

// CountByRequest returns the number of logged runs by request key.
func (l *RunLog) CountByRequest() map[string]int {
	return l.count(func(r Run) string { return r.Request })
}

// CountByKey returns the number of logged runs by idempotency key.
func (l *RunLog) CountByKey() map[string]int {
	return l.count(func(r Run) string { return r.Key })
}

func (l *RunLog) count(key func(Run) string) map[string]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	counts := map[string]int{}
	for _, r := range l.runs {
		if k := key(r); k != "" {
			counts[k]++
		}
	}

	return counts
}

// encode returns the runs as JSON.
func (l *RunLog) encode() []byte {
	out, err := json.Marshal(struct {
		Total int   `json:"total"`
		Runs  []Run `json:"runs"`
	}{l.Total(), l.Runs()})
	if err != nil {
		return []byte(`{"total":0,"runs":[]}`)
	}

	return out
}
