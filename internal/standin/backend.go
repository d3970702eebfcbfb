package standin

import (
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

const (
	// coldSlowdown and overloadSlowdown multiply the run times of a cold
	// backend, within its cold limit and beyond it.
	coldSlowdown     = 1.5
	overloadSlowdown = 20
	// pollInterval is the interval at which a run or a queued request checks
	// whether its client has disconnected.
	pollInterval = 20 * time.Millisecond
	// defaultMaxQueued is the default of Capacity.MaxQueued.
	defaultMaxQueued = 1024
)

// Capacity describes the concurrency limits, cold start and load reports of a
// stand-in.
type Capacity struct {
	// Slots is the number of requests that run at once; more wait in order of
	// priority. ColdSlots is the number of running and queued requests that a
	// cold backend can handle. With more it crashes if Fragile is set, and
	// otherwise multiplies its run times by overloadSlowdown.
	Slots     int
	ColdSlots int
	Fragile   bool
	// MaxQueued is the number of requests that may wait; zero means 1024.
	MaxQueued int
	// LoadTime is the time for which a crashed backend answers that it is
	// loading.
	LoadTime time.Duration
	// Warmup is the minimum duration of a cold start, counted from its first
	// request. The first request that completes after it makes the backend
	// warm.
	Warmup time.Duration
	// Restart is the time for which a backend refuses connections after a crash
	// that no control requested; zero means 500 ms.
	Restart time.Duration
	// Warm starts the backend warm.
	Warm bool
	// ReportAge is the age of load reports.
	ReportAge time.Duration
}

// Load is the content of a backend's load report.
type Load struct {
	Running int  `json:"running"`
	Queued  int  `json:"queued"`
	Loading bool `json:"loading"`
	Cold    bool `json:"cold"`
	// Loaded lists the models and adapters that an engine has loaded.
	Loaded []string `json:"loaded,omitempty"`
}

// Stats holds the counters of a backend.
type Stats struct {
	// PeakColdRequests is the highest number of running and queued requests
	// while the backend was cold, and Overshoots counts the requests beyond its
	// cold limit.
	PeakColdRequests int `json:"peak"`
	Overshoots       int `json:"overshoots"`
	Crashes          int `json:"crashes"`
}

// backend is the part that engines and plain services share: slots, a queue,
// cold start, crashes and load reports.
type backend struct {
	capacity Capacity
	server   server
	runLog   *RunLog

	mu sync.Mutex
	// generation is incremented by each crash, which invalidates the slots of
	// earlier generations.
	generation int
	cold       bool
	// overloaded reports whether the cold limit was exceeded in this cold
	// start.
	overloaded bool
	// firstRequest is the time of the first request of the current cold start.
	firstRequest time.Time
	loadedAt     time.Time
	running      int
	// waiting is ordered by priority, then by arrival.
	waiting       []*waiter
	slowFactor    float64
	dropsLeft     int
	responseDelay time.Duration
	reportAge     time.Duration
	stats         Stats
	loadHistory   []loadSample
}

type waiter struct {
	priority int
	// ready is closed when the waiter may run or its backend has crashed.
	ready chan struct{}
}

// loadSample is the load of a backend since a point in time, until the next
// sample.
type loadSample struct {
	at   time.Time
	load Load
}

// slot is the permission to run a request at a backend. It is valid until the
// next crash.
type slot struct{ generation int }

func newBackend(c Capacity, runLog *RunLog, handler fasthttp.RequestHandler) *backend {
	if c.MaxQueued == 0 {
		c.MaxQueued = defaultMaxQueued
	}
	if c.Restart == 0 {
		c.Restart = 500 * time.Millisecond
	}
	if runLog == nil {
		runLog = &RunLog{}
	}
	b := &backend{capacity: c, runLog: runLog, cold: !c.Warm, slowFactor: 1, reportAge: c.ReportAge}
	b.server.handler = handler
	b.server.onCrash = b.dropRuns
	// Load reports need a sample from before the first request.
	b.recordLoad()

	return b
}

// dropRuns invalidates the slots of all running requests and empties the queue.
func (b *backend) dropRuns() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.generation++
	b.running = 0
	for _, w := range b.waiting {
		close(w.ready)
	}
	b.waiting = nil
	b.recordLoad()
}

// crash ends all runs and refuses connections for the given time. After that,
// the backend is loading for Capacity.LoadTime, and cold.
func (b *backend) crash(downtime time.Duration) {
	b.mu.Lock()
	b.stats.Crashes++
	b.setCold()
	b.loadedAt = time.Now().Add(downtime + b.capacity.LoadTime)
	b.mu.Unlock()
	b.server.crash(downtime)
}

// setCold starts a cold start. It must be called with the lock held.
func (b *backend) setCold() {
	b.cold, b.overloaded, b.firstRequest = true, false, time.Time{}
}

// applyControl applies the fields of a control that concern all backends.
func (b *backend) applyControl(c Control) {
	b.mu.Lock()
	if c.Slow > 0 {
		b.slowFactor = c.Slow
	}
	if c.Cold {
		b.setCold()
	}
	if c.Drop != nil {
		b.dropsLeft = *c.Drop
	}
	if c.Late != nil {
		b.responseDelay = *c.Late
	}
	if c.Lag != nil {
		b.reportAge = *c.Lag
	}
	b.recordLoad()
	b.mu.Unlock()
	if c.Crash > 0 {
		b.crash(c.Crash)
	}
	if c.Down > 0 {
		b.server.crash(c.Down)
	}
}

// refusal is the reason why a backend does not run a request.
type refusal string

// The reasons of refusals.
const (
	refusedLoading  refusal = "loading"
	refusedOverload refusal = "overloaded"
	refusedCrashed  refusal = "crashed"
)

// admit waits for a slot. It returns a refusal if the request gets none.
func (b *backend) admit(priority int, conn net.Conn) (slot, refusal) {
	b.mu.Lock()
	now := time.Now()
	if now.Before(b.loadedAt) {
		b.mu.Unlock()

		return slot{}, refusedLoading
	}
	if b.firstRequest.IsZero() {
		b.firstRequest = now
	}
	s := slot{generation: b.generation}
	if pending := b.running + len(b.waiting) + 1; b.cold {
		b.stats.PeakColdRequests = max(b.stats.PeakColdRequests, pending)
		if pending > b.capacity.ColdSlots {
			b.stats.Overshoots++
			b.overloaded = true
			if b.capacity.Fragile {
				b.mu.Unlock()
				b.crash(b.capacity.Restart)

				return s, refusedCrashed
			}
		}
	}
	if b.running < b.capacity.Slots {
		b.running++
		b.recordLoad()
		b.mu.Unlock()

		return s, ""
	}
	if len(b.waiting) >= b.capacity.MaxQueued {
		b.mu.Unlock()

		return s, refusedOverload
	}
	w := &waiter{priority: priority, ready: make(chan struct{})}
	at := len(b.waiting)
	for at > 0 && b.waiting[at-1].priority > priority {
		at--
	}
	b.waiting = slices.Insert(b.waiting, at, w)
	b.recordLoad()
	b.mu.Unlock()

	return b.waitForSlot(s, w, conn)
}

// waitForSlot waits until a queued request gets its slot.
func (b *backend) waitForSlot(s slot, w *waiter, conn net.Conn) (slot, refusal) {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-w.ready:
			if !b.isCurrent(s) {
				return s, refusedCrashed
			}

			return s, ""
		case <-ticker.C:
			if isDisconnected(conn) && b.removeWaiter(w) {
				return s, refusedCrashed
			}
		}
	}
}

// removeWaiter removes a waiter from the queue, and reports whether it was still
// there. A waiter that has got its slot is not.
func (b *backend) removeWaiter(w *waiter) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	i := slices.Index(b.waiting, w)
	if i < 0 {
		return false
	}
	b.waiting = slices.Delete(b.waiting, i, i+1)
	b.recordLoad()

	return true
}

// release frees a slot. A completed run may make the backend warm.
func (b *backend) release(s slot, completed bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if s.generation != b.generation {
		return
	}
	b.running--
	if len(b.waiting) > 0 && b.running < b.capacity.Slots {
		close(b.waiting[0].ready)
		b.waiting = b.waiting[1:]
		b.running++
	}
	if completed && b.cold && time.Since(b.firstRequest) >= b.capacity.Warmup {
		b.cold, b.overloaded = false, false
	}
	b.recordLoad()
}

func (b *backend) isCurrent(s slot) bool {
	b.mu.Lock()
	defer b.mu.Unlock()

	return s.generation == b.generation
}

// slowdown returns the factor by which runs take longer.
func (b *backend) slowdown() float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case b.overloaded:
		return b.slowFactor * overloadSlowdown
	case b.cold:
		return b.slowFactor * coldSlowdown
	default:
		return b.slowFactor
	}
}

// simulateWork sleeps for the time d, multiplied by the slowdown. It returns
// Completed, Cancelled if conn is not nil and its peer has disconnected, or
// Crashed.
func (b *backend) simulateWork(s slot, d time.Duration, conn net.Conn) Outcome {
	for left := float64(d); left > 0; {
		factor := b.slowdown()
		step := min(time.Duration(left*factor), pollInterval)
		time.Sleep(step)
		left -= max(1, float64(step)/factor)
		if !b.isCurrent(s) {
			return Crashed
		}
		if conn != nil && isDisconnected(conn) {
			return b.cutOutcome(s)
		}
	}

	return Completed
}

// cutOutcome returns the outcome of a run whose connection has ended: a crash ends it, too.
func (b *backend) cutOutcome(s slot) Outcome {
	if !b.isCurrent(s) {
		return Crashed
	}

	return Cancelled
}

// takeDrop reports whether the next answer must be cut off, and if so decrements
// the number of answers to cut off.
func (b *backend) takeDrop() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.dropsLeft == 0 {
		return false
	}
	b.dropsLeft--

	return true
}

// delayResponse sleeps for the configured delay of answers.
func (b *backend) delayResponse() {
	b.mu.Lock()
	delay := b.responseDelay
	b.mu.Unlock()
	time.Sleep(delay)
}

// recordLoad adds a sample of the load. It must be called with the lock held.
func (b *backend) recordLoad() {
	now := time.Now()
	b.loadHistory = append(b.loadHistory, loadSample{at: now, load: b.currentLoad(now)})
	// Of the samples that are at least reportAge old, only the latest is
	// needed.
	old := 0
	for old+1 < len(b.loadHistory) && now.Sub(b.loadHistory[old+1].at) >= b.reportAge {
		old++
	}
	b.loadHistory = b.loadHistory[old:]
}

func (b *backend) currentLoad(now time.Time) Load {
	return Load{Running: b.running, Queued: len(b.waiting), Loading: now.Before(b.loadedAt), Cold: b.cold}
}

// reportedLoad returns the load as it was reportAge ago.
func (b *backend) reportedLoad() Load {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.reportAge == 0 {
		return b.currentLoad(time.Now())
	}
	b.recordLoad()

	return b.loadHistory[0].load
}

func (b *backend) isLoading() bool {
	b.mu.Lock()
	defer b.mu.Unlock()

	return time.Now().Before(b.loadedAt)
}

// Stats returns the counters so far.
func (b *backend) Stats() Stats {
	b.mu.Lock()
	defer b.mu.Unlock()

	return b.stats
}

// Addr returns the address that the stand-in listens on.
func (b *backend) Addr() netip.AddrPort { return b.server.address() }

// Close stops the stand-in and resets its connections.
func (b *backend) Close() {
	b.server.close()
	b.dropRuns()
}

// RunLog returns the log of runs.
func (b *backend) RunLog() *RunLog { return b.runLog }
