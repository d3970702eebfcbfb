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
