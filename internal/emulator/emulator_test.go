package emulator

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against an engine whose times do not follow from its constants, or
// that reads cached parts again.
func TestEngineTimes(t *testing.T) {
	c := qt.New(t)
	m := Model{Slots: 2, Step: 5 * time.Millisecond, Read: 10, Chunk: 100, Stride: 2, Cache: 1000}
	e := New(m)
	first := &Request{Parts: []Part{{1, 150}}, Prompt: 200, Output: 4}
	e.Send(first)
	e.Run(time.Second)
	// Two steps read 100 tokens each, in 15 ms each.
	c.Check(first.First, qt.Equals, 30*time.Millisecond)
	c.Check(first.Done, qt.IsTrue)
	second := &Request{Arrival: time.Second, Parts: []Part{{1, 150}}, Prompt: 200, Output: 1}
	e.Send(second)
	e.Run(2 * time.Second)
	c.Check(second.Read, qt.Equals, 50)
	c.Check(second.First, qt.Equals, 10*time.Millisecond)
	// A long prompt beside a stream lengthens its pauses.
	stream := &Request{Arrival: 2 * time.Second, Prompt: 10, Output: 40}
	e.Send(stream)
	e.Run(2*time.Second + 30*time.Millisecond)
	e.Send(&Request{Prompt: 1000, Output: 1})
	e.Run(3 * time.Second)
	c.Check(stream.Pause, qt.Equals, 30*time.Millisecond)
}
