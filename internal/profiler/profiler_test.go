package profiler

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// noise returns 2.5 for 15 % of the calls and otherwise a factor within 10 % of
// 1.
func noise(rng *rand.Rand) float64 {
	if rng.Float64() < 0.15 {
		return 2.5
	}

	return 0.9 + 0.2*rng.Float64()
}

// recordLoads records samples of an engine that takes 8 ms, 1 ms per 32 tokens
// and 0.5 ms per running request, at endpoints whose slowness is 0.8 or, for the
// fifth of the requests with the least work, 1.8.
func recordLoads(m *Model, rng *rand.Rand, samples int) {
	for range samples {
		l, slowness := randomLoad(rng), 0.8
		if l.Tokens < 2000 {
			slowness = 1.8
		}
		m.Record(l, time.Duration(float64(trueTime(l))*slowness*noise(rng)), slowness)
	}
}

func randomLoad(rng *rand.Rand) Load {
	return Load{Tokens: 200 + rng.Float64()*9000, Running: 1 + rng.IntN(16)}
}

func trueTime(l Load) time.Duration {
	return milliseconds(8 + l.Tokens/32 + 0.5*float64(l.Running))
}

// Guards against a model that needs more samples than a node sees within a few
// seconds, that outliers move by more than 15 %, or that does not tell the speed
// of an endpoint from the work that it has. Times are relative to those at the
// geometric mean of the endpoints.
func TestModelLearnsFromFewSamples(t *testing.T) {
	c := qt.New(t)
	mean := 0.8*math.Log(0.8) + 0.2*math.Log(1.8)
	for _, test := range []struct {
		samples int
		most    float64
	}{{30, 0.25}, {200, 0.15}} {
		sum := 0.0
		for seed := range uint64(50) {
			rng := rand.New(rand.NewPCG(seed, 1))
			var m Model
			recordLoads(&m, rng, test.samples)
			for range 20 {
				l := randomLoad(rng)
				sum += math.Abs(math.Log(m.Expect(l).Seconds()/trueTime(l).Seconds())-mean) / 1000
			}
		}
		t.Logf("%d samples: mean error %.3f", test.samples, sum)
		c.Check(sum <= test.most, qt.IsTrue, qt.Commentf("%d samples: %.3f", test.samples, sum))
	}
	var m Model
	recordLoads(&m, rand.New(rand.NewPCG(1, 1)), 30)
	l := Load{Tokens: 3000, Running: 4}
	before := m.Expect(l)
	m.Record(l, time.Hour, 1)
	c.Check(m.Expect(l).Seconds()/before.Seconds() <= 1.15, qt.IsTrue, qt.Commentf("%s after %s", m.Expect(l), before))
}

// Guards against a model that admits everything at the start, and against one
// that expects less time for more work.
func TestModelStartsConservative(t *testing.T) {
	c := qt.New(t)
	var m Model
	c.Check(m.PrefillTime(25000) >= time.Second, qt.IsTrue)
	c.Check(m.Expect(Load{Tokens: 3000, Running: 4}) > m.PrefillTime(3000), qt.IsTrue)
	for range 100 {
		m.Record(Load{Tokens: 100, Running: 1}, time.Hour, 1)
		m.Record(Load{Tokens: 9000, Running: 30}, time.Microsecond, 1)
	}
	c.Check(m.Expect(Load{Tokens: 200, Running: 1}) > m.Expect(Load{Tokens: 100, Running: 1}), qt.IsTrue)
	c.Check(m.Expect(Load{Tokens: 100, Running: 2}) > m.Expect(Load{Tokens: 100, Running: 1}), qt.IsTrue)
}

// Guards against a model and a slowness that move each other: the slowness is
// measured against the model, whose samples are corrected by the slowness.
func TestModelAndSpeedsDoNotDrift(t *testing.T) {
	c := qt.New(t)
	rng := rand.New(rand.NewPCG(1, 2))
	var m Model
	speeds, truth := make([]Speed, 8), []float64{2, 2, 1, 1, 1, 1, 1, 1}
	now := epoch
	for range 20000 {
		now = now.Add(20 * time.Millisecond)
		i, l := rng.IntN(len(speeds)), randomLoad(rng)
		wait := time.Duration(float64(trueTime(l)) * truth[i] * noise(rng))
		speeds[i].Record(now, false, 1, LogRatio(wait, m.Expect(l)))
		m.Record(l, wait, speeds[i].Slowness(now, false))
	}
	l := Load{Tokens: 3000, Running: 4}
	ratio := m.Expect(l).Seconds() / trueTime(l).Seconds()
	c.Check(ratio > 0.8 && ratio < 1.5, qt.IsTrue, qt.Commentf("%.2f", ratio))
	factor := speeds[0].Slowness(now, false) / speeds[7].Slowness(now, false)
	c.Check(factor > 1.5 && factor < 2.7, qt.IsTrue, qt.Commentf("%.2f", factor))
}

// record records ten samples within two seconds and returns the time of the
// last one.
func record(s *Speed, now time.Time, busy bool, factor float64, noise func() float64) time.Time {
	for range 10 {
		now = now.Add(200 * time.Millisecond)
		s.Record(now, busy, 1, LogRatio(time.Duration(factor*noise()*float64(time.Second)), time.Second))
	}

	return now
}

// Guards against a slowness that is off by more than 15 % after ten samples, or
// two seconds after a change at five samples per second. A factor of 2 is that
// between the engines of the deployment with uneven engines. With 15 % of
// outliers, the mean error must stay within the 15 %.
func TestSpeedFollowsChanges(t *testing.T) {
	c := qt.New(t)
	steady := func() float64 { return 1 }
	for _, factors := range [][2]float64{{2, 1}, {0.6, 1.2}, {1, 2}, {1.8, 0.8}} {
		var s Speed
		now := epoch
		for _, factor := range factors {
			now = record(&s, now, false, factor, steady)
			c.Check(math.Abs(s.Slowness(now, false)/factor-1) <= 0.15, qt.IsTrue, qt.Commentf("%v: %.2f", factors, s.Slowness(now, false)))
		}
	}
	sum := 0.0
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 3))
		var s Speed
		now := record(&s, epoch, false, 1.8, func() float64 { return noise(rng) })
		sum += math.Abs(math.Log(s.Slowness(now, false)/1.8)) / 200
	}
	t.Logf("with outliers: mean error %.3f", sum)
	c.Check(sum <= 0.15, qt.IsTrue, qt.Commentf("%.3f", sum))
}

// Guards against endpoints that are never tried again after they were slow,
// against one stalled request that makes an endpoint slow, against a busy
// endpoint that counts as typical although it is slow when light, and against
// samples of a busy endpoint that change its estimate for light load.
func TestSpeedOfUnmeasuredEndpoints(t *testing.T) {
	c := qt.New(t)
	var s Speed
	c.Check(s.Slowness(epoch, false), qt.Equals, 1.0)
	c.Check(s.Slowness(epoch, true), qt.Equals, 1.0)
	now := record(&s, epoch, false, 3, func() float64 { return 1 })
	c.Check(s.Slowness(now, true), qt.Equals, s.Slowness(now, false))
	c.Check(s.Slowness(now.Add(time.Minute), false) < 1.05, qt.IsTrue)
	now = record(&s, now.Add(time.Minute), false, 1, func() float64 { return 1 })
	light := s.Slowness(now, false)
	s.Record(now, false, 1, LogRatio(time.Hour, time.Millisecond))
	c.Check(s.Slowness(now, false) < 1.15*light, qt.IsTrue)
	light = s.Slowness(now, false)
	for range 20 {
		s.Record(now, true, 5, 5*maxLog)
	}
	c.Check(s.Slowness(now, false), qt.Equals, light)
	c.Check(s.Slowness(now, true) > 3, qt.IsTrue)
	c.Check(s.Slowness(now, true) <= 4.0001, qt.IsTrue)
}
