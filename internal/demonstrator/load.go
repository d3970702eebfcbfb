package demonstrator

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/sourcegraph/conc"
)

// The load: in requests per second, as shares of the capacity of the engines,
// or as a multiple of it.
const (
	postRate         = 6
	getRate          = 12
	interactiveShare = 0.25
	batchShare       = 0.2
	burstFactor      = 3
)

// The start and end of the burst, and the times at which a data centre is taken
// out of service and put back, as fractions of the duration.
const (
	burstStart, burstEnd               = 0.2, 0.5
	outOfServiceStart, outOfServiceEnd = 0.35, 0.65
)

const (
	// warmupTimeout is the maximum time until the nodes know that the engines
	// are warm.
	warmupTimeout = 8 * time.Second
	// warmupShare is the load during the warm-up, as a share of the capacity.
	warmupShare = 0.3
	// firstWarmupCall is the number of the first call of the warm-up. The calls
	// of the load have lower numbers, so that the IDs of all calls differ.
	firstWarmupCall = 1 << 30
	// gracePeriod is how long the demo waits for answers after the last
	// request.
	gracePeriod = 4 * time.Second
	// duplicateEvery is the number n for which every n-th request that must not
	// be repeated is sent to two nodes at once.
	duplicateEvery = 5
)

// run generates the load on the site and returns a report of what callers
// observed.
func (s *site) run(ctx context.Context, duration time.Duration) (SiteReport, error) {
	w := newWorkload(s.fleet.Site)
	results := newCollector()
	s.warmUp(ctx, w, results)
	start := time.Now()
	callCtx, cancel := context.WithDeadline(ctx, start.Add(duration+gracePeriod))
	defer cancel()
	var wg conc.WaitGroup
	schedule := func(stream uint64, rate func(at float64) float64, startCall func(n int)) {
		wg.Go(func() { s.startCalls(callCtx, start, duration, stream, rate, startCall) })
	}
	constant := func(rate float64) func(float64) float64 { return func(float64) float64 { return rate } }
	sendOne := func(c *call, node int) { results.add(send(callCtx, s.client, s.url(node), c)) }
	schedule(1, constant(postRate), func(n int) { s.sendPost(callCtx, results, w, n) })
	schedule(2, constant(getRate), func(n int) { sendOne(w.getCall(n), n) })
	schedule(3, constant(interactiveShare*w.capacity()), func(n int) { sendOne(w.modelCall(w.interactive, n), n) })
	schedule(4, func(at float64) float64 {
		if at >= burstStart && at < burstEnd {
			return burstFactor * w.capacity()
		}

		return batchShare * w.capacity()
	}, func(n int) {
		c := w.modelCall(w.batch, n)
		c.deadline = start.Add(duration + gracePeriod)
		sendOne(c, n)
	})
	var err error
	wg.Go(func() { err = s.runPhases(callCtx, start, duration, w) })
	done := make(chan struct{})
	var watch conc.WaitGroup
	watch.Go(func() { s.reportProgress(done, results) })
	wg.Wait()
	close(done)
	watch.Wait()
	r := results.report(s.name, w, s.fleet)
	r.Nodes = len(s.nodes)

	return r, err
}

// warmUp sends batch requests until the homes of the engines know that they are
// warm. A home assumes that an engine is cold until it knows its state, so at
// first only the slots of cold engines are available.
func (s *site) warmUp(ctx context.Context, w *workload, results *collector) {
	ctx, cancel := context.WithTimeout(ctx, warmupTimeout+gracePeriod)
	defer cancel()
	gap := time.Duration(float64(time.Second) / (warmupShare * w.capacity()))
	var wg conc.WaitGroup
	defer wg.Wait()
	for n := range int(warmupTimeout / gap) {
		if s.enginesWarm() {
			s.progress.printf(s.name, "the engines are warm")

			return
		}
		if !sleep(ctx, gap) {
			return
		}
		wg.Go(func() { results.add(send(ctx, s.client, s.url(n), w.modelCall(w.batch, firstWarmupCall+n))) })
	}
}

// startCalls starts calls at random times with the given rate per second, which
// is a function of the fraction of the duration that has passed. It returns
// when all calls have ended.
func (s *site) startCalls(ctx context.Context, start time.Time, duration time.Duration, stream uint64, rate func(float64) float64, startCall func(n int)) {
	random := rand.New(rand.NewPCG(s.seed, stream))
	var wg conc.WaitGroup
	defer wg.Wait()
	// The start times do not depend on how long calls take, so that the load does
	// not decrease when the system is slow.
	for at, n := time.Duration(0), 0; ; n++ {
		at += time.Duration(random.ExpFloat64() / rate(float64(at)/float64(duration)) * float64(time.Second))
		if at >= duration || !sleep(ctx, time.Until(start.Add(at))) {
			return
		}
		wg.Go(func() { startCall(n) })
	}
}

// sendPost sends a request that must not be repeated: alternately with an
// idempotency key of the caller and with an issued one, and every
// duplicateEvery-th to two nodes at once, as a caller does that retries without
// waiting for the first answer.
func (s *site) sendPost(ctx context.Context, results *collector, w *workload, n int) {
	c := w.postCall(n)
	if n%2 == 1 {
		key, ok := issueKey(ctx, s.client, s.url(n), c.token)
		if !ok {
			results.add(&outcome{call: c, code: "no_issued_key", runStatement: runNotRun})

			return
		}
		c.key = key
	}
	if n%duplicateEvery == 0 {
		var wg conc.WaitGroup
		defer wg.Wait()
		wg.Go(func() { results.addDuplicate(send(ctx, s.client, s.url(n+1), c)) })
	}
	results.add(send(ctx, s.client, s.url(n), c))
}

// runPhases reports the phases of the load, and takes a data centre out of
// service and puts it back.
func (s *site) runPhases(ctx context.Context, start time.Time, duration time.Duration, w *workload) error {
	at := func(part float64) bool {
		return sleep(ctx, time.Until(start.Add(time.Duration(part*float64(duration)))))
	}
	centre := s.fleet.Site.Hosts.Hosts[0].DataCentre
	s.progress.printf(s.name, "load: %.0f model requests/s, capacity: %.0f requests/s", (interactiveShare+batchShare)*w.capacity(), w.capacity())
	if !at(burstStart) {
		return ctx.Err()
	}
	s.progress.printf(s.name, "burst of %s at %d times the capacity", w.batch.Name, burstFactor)
	if !at(outOfServiceStart) {
		return ctx.Err()
	}
	if err := s.setOutOfService(centre, true); err != nil {
		return err
	}
	if !at(burstEnd) {
		return ctx.Err()
	}
	s.progress.printf(s.name, "the burst ends")
	if !at(outOfServiceEnd) {
		return ctx.Err()
	}

	return s.setOutOfService(centre, false)
}

// reportProgress writes a progress line every second until done is closed.
func (s *site) reportProgress(done <-chan struct{}, results *collector) {
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for {
		select {
		case <-done:
			return
		case <-ticker.C:
			answered, refused := results.counts()
			s.progress.printf(s.name, "%d answered, %d refused", answered, refused)
		}
	}
}
