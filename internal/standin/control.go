package standin

import (
	"time"

	"snipedyke/internal/decoder"
)

// Control changes the behaviour of a stand-in. Nil and empty fields change
// nothing, and a stand-in ignores fields that do not concern it.
type Control struct {
	// Crash resets all connections and refuses new ones for this time; then an
	// engine loads its model and is cold. Down does the same without a cold
	// start.
	Crash time.Duration
	Down  time.Duration
	// Slow multiplies all run times.
	Slow float64
	// Cold makes the stand-in cold without a restart.
	Cold bool
	// Drop is the number of answers to cut off, starting with the next one.
	Drop *int
	// Late delays each answer.
	Late *time.Duration
	// Lag is the age of load reports.
	Lag *time.Duration
	// Poison is a word that crashes the engine if a prompt contains it.
	Poison *string
	// Resume reports whether the engine resumes streams.
	Resume *bool
	// Stale makes the configuration service serve its current documents until
	// Stale is false again, even if newer ones are published.
	Stale *bool
	// Publish reads the directory of documents again and publishes them.
	Publish bool
	// Out and In name a data centre to take out of service or to put back into
	// service, by publishing a changed catalogue.
	Out string
	In  string
	// Epoch publishes the catalogue with its epoch incremented.
	Epoch bool
}

const maxControlBytes = 4 << 10

// ParseControl parses a control document: a JSON object whose fields are named
// like those of Control in lower case.
func ParseControl(body []byte) (Control, error) {
	var list decoder.ProblemList
	var c Control
	n, ok := decoder.Parse(&list, "control", body, maxControlBytes)
	if ok {
		c.read(n.Object())
	}
	if err := list.Err(); err != nil {
		return Control{}, &Error{Op: "parse control", Kind: KindControl, Err: err}
	}

	return c, nil
}

func (c *Control) read(o *decoder.Object) {
	duration := func(name string) *time.Duration {
		if !o.Has(name) {
			return nil
		}

		return new(o.Duration(name, 0, time.Hour))
	}
	if d := duration("crash"); d != nil {
		c.Crash = max(1, *d)
	}
	if d := duration("down"); d != nil {
		c.Down = max(1, *d)
	}
	c.Late, c.Lag = duration("late"), duration("lag")
	if o.Has("slow") {
		c.Slow = o.Float("slow", 0.01, 1000)
	}
	c.Cold, c.Publish, c.Epoch = o.Bool("cold"), o.Bool("publish"), o.Bool("epoch")
	if o.Has("drop") {
		c.Drop = new(int(o.Int("drop", 0, 1_000_000)))
	}
	if n := o.Field("poison"); n != nil {
		s, _ := n.Text(64)
		c.Poison = &s
	}
	if o.Has("resume") {
		c.Resume = new(o.Bool("resume"))
	}
	if o.Has("stale") {
		c.Stale = new(o.Bool("stale"))
	}
	if o.Has("out") {
		c.Out = o.Name("out")
	}
	if o.Has("in") {
		c.In = o.Name("in")
	}
	o.End()
}
