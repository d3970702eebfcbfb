package placer

import (
	"slices"
	"time"

	"snipedyke/pkg/encoder"
)

const (
	// coldHold is the minimum time for which an endpoint stays cold. It exceeds
	// the delay of load reports (2 s), so that a report of loading arrives before
	// the endpoint gets more work.
	coldHold = 3 * time.Second
	// coldSuccesses is the minimum number of normal first tokens in a row that
	// end the cold state. A first token is normal if it takes at most coldFactor
	// times as long as when the endpoint was last warm: an endpoint in a cold
	// start may answer steadily, only more slowly.
	coldSuccesses = 5
	coldFactor    = 1.5
	// maxColdTrials is the number of first tokens after which an endpoint that is
	// still slow no longer counts as being in a cold start.
	maxColdTrials = 32
	// coldHoldUnknown is the minimum time in the cold state while nothing is
	// known of the class.
	coldHoldUnknown = 10 * time.Second
	// minProbeInterval and maxProbeInterval bound the interval between probes,
	// which doubles with each failed probe.
	minProbeInterval = time.Second
	maxProbeInterval = 32 * time.Second
	// probeTimeout is the time after which a probe without an answer has failed.
	probeTimeout = 5 * time.Second
	// foreignGain is the weight of one load report, which may lag, in an
	// endpoint's foreign load.
	foreignGain = 0.125
)

// Run is a request in progress on an endpoint.
type Run struct {
	ID          uint64
	Endpoint    string
	Class       string
	Fingerprint uint64
	Suspect     bool
	Started     time.Time
	// First is the time to the first token, or zero until it is known.
	First time.Duration
	// Reported reports whether the request's node has reported the run, and
	// NodeStale whether that node's last report is too old. If the run is
	// unreported or its node stale, a missing first token says nothing about the
	// endpoint, because the grant or the report may be lost.
	Reported, NodeStale bool

	// pendingAtStart is the number of requests that waited for their first token
	// at the endpoint when this one began, plus the foreign load at that time.
	pendingAtStart float64
	silent         bool
	// adopted reports whether a former home granted the run, so that its Started
	// is not known.
	adopted bool
	// overdueCount is the number of times that the missing first token has been
	// counted as slow.
	overdueCount int
}

// Begin adds a run to the endpoint that it names. The endpoint may then exceed
// its limit if a former home granted the run.
func (p *Pool) Begin(r *Run) {
	e := p.byName[r.Endpoint]
	if e == nil {
		return
	}
	r.pendingAtStart = float64(e.waitingRuns) + e.foreignLoad
	p.add(e, r)
}

// Adopt adds a run that a former home granted.
func (p *Pool) Adopt(r *Run) {
	r.adopted = true
	if e := p.byName[r.Endpoint]; e != nil {
		p.add(e, r)
	}
}

// MarkWarm makes an endpoint warm that a new home has not observed yet,
// because it was warm when a node last saw it.
func (p *Pool) MarkWarm(now time.Time, endpoint string) {
	if e := p.byName[endpoint]; e != nil && e.unobserved && e.state == Cold {
		p.setState(now, e, Warm, ReasonReportedWarm)
	}
}

func (p *Pool) add(e *Endpoint, r *Run) {
	e.runs = append(e.runs, r)
	if r.Suspect {
		e.suspectRuns++
	}
	if r.awaitsFirstToken() {
		e.waitingRuns++
	}
	p.stale = true
}

// awaitsFirstToken reports whether the run's first token is outstanding.
func (r *Run) awaitsFirstToken() bool { return r.First == 0 && !r.adopted }

// SetSilent sets whether the run's node has stopped reporting. The work may
// still be running, so it counts on endpoints that are not known to be warm.
func (p *Pool) SetSilent(r *Run, silent bool) {
	if r.silent == silent {
		return
	}
	r.silent = silent
	if e := p.byName[r.Endpoint]; e != nil && slices.Contains(e.runs, r) {
		if silent {
			e.silentRuns++
		} else {
			e.silentRuns--
		}
		p.stale = true
	}
}

// Remove removes a run without measuring it.
func (p *Pool) Remove(r *Run) {
	e := p.byName[r.Endpoint]
	if e == nil {
		return
	}
	i := slices.Index(e.runs, r)
	if i < 0 {
		return
	}
	e.runs = slices.Delete(e.runs, i, i+1)
	if r.Suspect {
		e.suspectRuns--
	}
	if r.awaitsFirstToken() {
		e.waitingRuns--
	}
	if r.silent {
		e.silentRuns--
	}
	p.stale = true
}

// RecordFirstToken records that a run has got its first token after the given
// time.
func (p *Pool) RecordFirstToken(now time.Time, r *Run, first time.Duration) {
	if first <= 0 || r.First != 0 {
		return
	}
	e := p.byName[r.Endpoint]
	if e == nil {
		r.First = first

		return
	}
	if r.awaitsFirstToken() {
		e.waitingRuns--
	}
	r.First = first
	if r.adopted {
		return
	}
	limit := p.slowLimit(now, e, r)
	switch e.state {
	case Cold:
		e.coldTrials++
		p.judgeCold(now, e, r)
	case Warming:
		if e.coldTrials++; e.coldTrials < maxColdTrials {
			limit = p.coldLimit(e, r, slowFactor)
		}
	}
	p.learnFirstToken(now, e, r)
	if e.state != Cold && (e.state == Warm || !r.Started.Before(e.since)) {
		times := 0
		if limit > 0 {
			times = int(min(first.Seconds()/limit, slowStreakLimit))
		}
		p.judgeWarm(now, e, times, r.overdueCount)
	}
}

// judgeCold evaluates the first token of a cold endpoint.
func (p *Pool) judgeCold(now time.Time, e *Endpoint, r *Run) {
	if r.Started.Before(e.since) {
		return
	}
	hold := coldHold
	limit := p.coldLimit(e, r, coldFactor)
	if limit == 0 {
		hold = coldHoldUnknown
	} else if e.coldTrials < maxColdTrials && r.First.Seconds() > limit {
		e.successes = 0

		return
	}
	e.successes++
	if e.successes >= max(coldSuccesses, p.Limit(e)) && now.Sub(e.since) >= hold {
		e.rampLimit = e.conf.ColdSlots
		p.setState(now, e, Warming, ReasonSuccess)
	}
}

// judgeWarm evaluates the first token of a warm or warming endpoint. times is
// the first-token time in multiples of the slow limit, rounded down and at
// most slowStreakLimit. counted is the number of times that the run was
// counted as slow before its first token came.
func (p *Pool) judgeWarm(now time.Time, e *Endpoint, times, counted int) {
	if times > 0 {
		for ; counted < times; counted++ {
			p.countSlow(now, e)
		}

		return
	}
	e.slowStreak = 0
	if e.state != Warming {
		e.warmSlowness = e.speed.slowness(now)

		return
	}
	e.rampLimit++
	p.stale = true
	if e.rampLimit >= e.conf.Slots {
		p.setState(now, e, Warm, ReasonSuccess)
	}
}

// countSlow counts a first token that was slow or is overdue. Enough of them
// in a row make the endpoint cold.
func (p *Pool) countSlow(now time.Time, e *Endpoint) {
	e.slowStreak++
	if e.slowStreak < slowStreakLimit || !e.inService() {
		return
	}
	e.slowStreak = 0
	p.turnCold(now, e, ReasonSlow)
}

// End ends a run with one of the encoder package's outcomes. If the endpoint
// crashed, it returns all runs that were in progress there, including this
// one.
func (p *Pool) End(now time.Time, r *Run, outcome uint8, first, gap time.Duration) []*Run {
	e := p.byName[r.Endpoint]
	if e == nil || !slices.Contains(e.runs, r) {
		return nil
	}
	var crashed []*Run
	switch outcome {
	case encoder.OutcomeOK:
		p.RecordFirstToken(now, r, first)
		e.learnGap(gap)
	case encoder.OutcomeLost:
		// The other runs that a crash ended are reported as lost after the first
		// one.
		if e.inService() && !r.Started.Before(e.failedAt) {
			crashed = slices.Clone(e.runs)
			p.fail(now, e, ReasonCrashed)
		}
	case encoder.OutcomeRefused:
		p.handleRefusal(now, e, r)
	case encoder.OutcomeTimeout:
		if r.awaitsFirstToken() && r.overdueCount == 0 {
			p.countSlow(now, e)
		}
	}
	p.Remove(r)

	return crashed
}

// handleRefusal handles a refused dispatch. The endpoint may be overloaded,
// loading or dead: the first refusal makes it cold, and a refusal in cold
// state makes it failed.
func (p *Pool) handleRefusal(now time.Time, e *Endpoint, r *Run) {
	switch {
	case !e.inService() || r.Started.Before(e.since) && e.state != Warm:
	case e.state == Cold:
		p.fail(now, e, ReasonRefused)
	default:
		p.turnCold(now, e, ReasonRefused)
	}
}

func (p *Pool) fail(now time.Time, e *Endpoint, reason Reason) {
	p.setState(now, e, Failed, reason)
	e.failedAt = now
	e.probeInterval = minProbeInterval
	e.probeAt = now.Add(e.probeInterval)
}

// RecordLoad records an endpoint's report of its load, which may lag.
func (p *Pool) RecordLoad(now time.Time, endpoint string, running, queued int, loading bool) {
	e := p.byName[endpoint]
	if e == nil {
		return
	}
	if loading && e.inService() {
		p.turnCold(now, e, ReasonLoading)
	}
	extra := max(0, running+queued-len(e.runs))
	e.foreignLoad += (float64(extra) - e.foreignLoad) * foreignGain
}

// RecordProbe records the result of a probe.
func (p *Pool) RecordProbe(now time.Time, endpoint string, ok bool) {
	e := p.byName[endpoint]
	switch {
	case e == nil || e.state != Probing:
	case ok:
		p.setState(now, e, Cold, ReasonProbe)
	default:
		p.setState(now, e, Failed, ReasonProbe)
		e.probeInterval = min(2*e.probeInterval, maxProbeInterval)
		e.probeAt = now.Add(e.probeInterval)
	}
}

// Step counts overdue first tokens and returns the endpoints to probe.
func (p *Pool) Step(now time.Time) (probes []string) {
	for _, e := range p.endpoints {
		switch e.state {
		case Failed:
			if !now.Before(e.probeAt) {
				p.setState(now, e, Probing, ReasonProbe)
				probes = append(probes, e.Name())
			}
		case Probing:
			if now.Sub(e.since) >= probeTimeout {
				p.RecordProbe(now, e.Name(), false)
			}
		case Warm, Warming:
			p.countOverdue(now, e)
		}
	}

	return probes
}

// countOverdue counts requests whose first token is overdue, so that an
// endpoint that hangs is detected before it answers.
func (p *Pool) countOverdue(now time.Time, e *Endpoint) {
	if e.waitingRuns == 0 {
		return
	}
	for _, r := range e.runs {
		if !r.awaitsFirstToken() || r.overdueCount >= slowStreakLimit || !r.Reported || r.NodeStale {
			continue
		}
		limit := time.Duration(p.slowLimit(now, e, r) * float64(time.Second))
		if limit > 0 && now.Sub(r.Started) > overdueSlack+time.Duration(r.overdueCount+1)*limit {
			r.overdueCount++
			p.countSlow(now, e)
			if e.state == Cold {
				return
			}
		}
	}
}
