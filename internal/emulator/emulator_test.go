package emulator

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against an engine whose timing does not follow from the parameters of
// its model, and against one that prefills cached parts again.
func TestTimesFollowModel(t *testing.T) {
	c := qt.New(t)
	m := Model{Slots: 2, BaseStep: 5 * time.Millisecond, PrefillTokensPerMs: 10, ChunkTokens: 100, TokensPerEvent: 2, CacheTokens: 1000}
	e := New(m)
	first := &Request{Parts: []Part{{1, 150}}, PromptTokens: 200, OutputTokens: 4}
	e.Submit(first)
	e.RunUntil(time.Second)
	// Each of the two steps prefills 100 tokens and takes 15 ms.
	c.Check(first.TimeToFirstToken, qt.Equals, 30*time.Millisecond)
	c.Check(first.Done, qt.IsTrue)
	second := &Request{Arrival: time.Second, Parts: []Part{{1, 150}}, PromptTokens: 200, OutputTokens: 1}
	e.Submit(second)
	e.RunUntil(2 * time.Second)
	c.Check(second.PrefillTokens, qt.Equals, 50)
	c.Check(second.TimeToFirstToken, qt.Equals, 10*time.Millisecond)
	// A long prompt in the batch lengthens the pauses of a stream.
	stream := &Request{Arrival: 2 * time.Second, PromptTokens: 10, OutputTokens: 40}
	e.Submit(stream)
	e.RunUntil(2*time.Second + 30*time.Millisecond)
	e.Submit(&Request{PromptTokens: 1000, OutputTokens: 1})
	e.RunUntil(3 * time.Second)
	c.Check(stream.LongestPause, qt.Equals, 30*time.Millisecond)
}

// Guards against steps that do not take longer by the slowness, the batch size
// or the noise, and against a change that does not apply.
func TestStepsTakeLonger(t *testing.T) {
	c := qt.New(t)
	m := Model{
		Slots: 4, BaseStep: 10 * time.Millisecond, PrefillTokensPerMs: 10, ChunkTokens: 100, TokensPerEvent: 2,
		Slowness: 2, SlowBatch: 2, SlowBatchFactor: 3,
	}
	e := New(m)
	// measure returns the time for the first tokens of a number of requests.
	measure := func(requests int) time.Duration {
		start := e.now
		for range requests {
			e.Submit(&Request{Arrival: start, PromptTokens: 10, OutputTokens: 1})
		}
		e.RunUntil(start + 1)

		return e.now - start
	}
	c.Check(measure(1), qt.Equals, 22*time.Millisecond)
	c.Check(measure(2), qt.Equals, 72*time.Millisecond)
	e.SetSlowness(0)
	c.Check(measure(1), qt.Equals, 11*time.Millisecond)
	// A step without a prompt takes 10 ms. Two of them pass before the request
	// advances.
	e.Noise = func(time.Duration, *Request) float64 { return 2.5 }
	noisy := &Request{Arrival: e.now, PromptTokens: 10, OutputTokens: 1}
	e.Submit(noisy)
	e.RunUntil(e.now + time.Second)
	c.Check(noisy.TimeToFirstToken, qt.Equals, 31*time.Millisecond)
}
