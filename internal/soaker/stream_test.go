package soaker

import (
	"errors"
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"snipedyke/platform/standin"
)

// eventsOf returns the events of a version from one number to another, as written
// for an attempt.
func eventsOf(version, id string, from, to int) []standin.Event {
	var events []standin.Event
	for i := from; i <= to; i++ {
		events = append(events, standin.Event{Version: version, Request: id, Number: i})
	}

	return events
}

// Guards against a check that accepts an answer whose events are joined from two
// versions, missing, repeated or those of another request.
func TestCheckEventsFindsJoinedAnswers(t *testing.T) {
	first := eventsOf("v1", "r", 1, 4)
	for name, test := range map[string]struct {
		after    int
		events   []standin.Event
		complete bool
		want     string
	}{
		"whole":         {0, eventsOf("v1", "r", 1, standin.Events), true, ""},
		"rest":          {4, eventsOf("v1", "r", 5, standin.Events), true, ""},
		"cut":           {0, first, false, ""},
		"cut at once":   {0, nil, false, ""},
		"two versions":  {0, append(first[:4:4], eventsOf("v2", "r", 5, 6)...), false, "r holds event 5 of version v2 after events of version v1"},
		"missing":       {0, append(first[:4:4], eventsOf("v1", "r", 6, 7)...), false, "r holds event 6 where 5 is due"},
		"repeated":      {0, append(first[:4:4], eventsOf("v1", "r", 4, 5)...), false, "r holds event 4 where 5 is due"},
		"from start":    {4, first, false, "r holds event 1 where 5 is due"},
		"other request": {0, eventsOf("v1", "s", 1, 2), false, "r holds event 1 of s"},
		"ends early":    {4, eventsOf("v1", "r", 5, 6), true, "r ends as complete after event 6"},
		"empty":         {0, nil, true, "r ends as complete after event 0"},
	} {
		t.Run(name, func(t *testing.T) {
			qt.New(t).Check(checkEvents("r", test.after, test.events, test.complete), qt.Equals, test.want)
		})
	}
}

// Guards against checks of streams over several attempts that never fail.
func TestHistoryCheckFindsStreamsThatGoOnElsewhere(t *testing.T) {
	for name, test := range map[string]struct {
		second, third []standin.Event
		want          string
	}{
		"goes on":       {eventsOf("v1", "r2", 5, 6), eventsOf("v1", "r3", 7, 12), ""},
		"refused once":  {nil, eventsOf("v1", "r3", 5, 12), ""},
		"other version": {eventsOf("v2", "r2", 5, 6), nil, "began at version v1 and goes on with event 5 of version v2, answer to r2"},
		"later":         {nil, eventsOf("v2", "r3", 5, 6), "began at version v1 and goes on with event 5 of version v2, answer to r3"},
		"missing":       {eventsOf("v1", "r2", 6, 7), nil, "goes on with event 6 after event 4"},
		"repeated":      {eventsOf("v1", "r2", 5, 6), eventsOf("v1", "r3", 6, 7), "goes on with event 6 after event 6"},
	} {
		t.Run(name, func(t *testing.T) {
			h := NewHistory()
			h.addAttempt("r1", attempt{id: "r1", events: eventsOf("v1", "r1", 1, 4)})
			h.addAttempt("r1", attempt{id: "r2", after: 4, events: test.second})
			h.addAttempt("r1", attempt{id: "r3", events: test.third})
			found := strings.Join(h.Check(), "; ")
			if test.want == "" {
				qt.New(t).Check(found, qt.Equals, "")
			} else {
				qt.New(t).Check(found, qt.Contains, test.want)
			}
		})
	}
}

// Guards against a check of the share of streams that go on which never fails, or
// counts attempts that say nothing about it.
func TestHistoryCheckFindsStreamsThatCannotBeTakenUp(t *testing.T) {
	now := time.Now()
	serving := func(h *History, ids ...string) {
		for _, id := range ids {
			h.services[id] = &serviceTime{version: "v1", from: now.Add(-drainBound - time.Second)}
		}
	}
	// takeUp lets streams begin, or not, and callers take the first ones up.
	takeUp := func(h *History, began, failed, wentOn, refused, node int) {
		for i := range began + failed {
			stream := fmt.Sprint("r", i)
			a := attempt{id: stream, sent: now, ended: now.Add(time.Second)}
			if i < began {
				a.events = eventsOf("v1", stream, 1, 4)
			}
			h.addAttempt(stream, a)
			if i >= wentOn+refused {
				continue
			}
			a = attempt{id: stream + "+", node: node, after: 4, sent: now, ended: now.Add(time.Second)}
			if i < wentOn {
				a.events = eventsOf("v1", a.id, 5, 12)
			}
			h.addAttempt(stream, a)
		}
	}
	const want = "LOST: 5 of 12 streams that were taken up went on, while 20 of 20 new ones began"
	for name, test := range map[string]struct {
		build func(h *History)
		want  string
	}{
		"refused": {func(h *History) {
			serving(h, "i-1", "i-2")
			takeUp(h, 20, 0, 5, 7, 1)
		}, want},
		"half": {func(h *History) {
			serving(h, "i-1", "i-2")
			takeUp(h, 20, 0, 6, 6, 1)
		}, ""},
		"new streams fail too": {func(h *History) {
			serving(h, "i-1", "i-2")
			takeUp(h, 20, 20, 3, 9, 1)
		}, ""},
		"few": {func(h *History) {
			serving(h, "i-1", "i-2")
			takeUp(h, 20, 0, 0, 11, 1)
		}, ""},
		"at a disturbed node": {func(h *History) {
			serving(h, "i-1", "i-2")
			h.MarkDisturbed(1, now.Add(-recoveryTime+time.Millisecond))
			takeUp(h, 20, 0, 5, 7, 1)
		}, ""},
		"at a node that was disturbed before": {func(h *History) {
			serving(h, "i-1", "i-2")
			h.MarkDisturbed(1, now.Add(-recoveryTime-time.Millisecond))
			takeUp(h, 20, 0, 5, 7, 1)
		}, want},
		"one endpoint": {func(h *History) {
			serving(h, "i-1")
			h.MarkServing("i-2", "v1")
			h.services["i-3"] = &serviceTime{version: "v2", from: now.Add(-time.Hour)}
			takeUp(h, 20, 0, 5, 7, 1)
		}, ""},
		"one endpoint leaves": {func(h *History) {
			serving(h, "i-1", "i-2")
			h.MarkEnding("i-2")
			takeUp(h, 20, 0, 5, 7, 1)
		}, ""},
		"one endpoint leaves later": {func(h *History) {
			serving(h, "i-1", "i-2")
			h.services["i-2"].to = now.Add(time.Minute)
			takeUp(h, 20, 0, 5, 7, 1)
		}, want},
		"one endpoint fails": {func(h *History) {
			serving(h, "i-1", "i-2")
			h.MarkUnusable("i-2", time.Second)
			takeUp(h, 20, 0, 5, 7, 1)
		}, ""},
	} {
		t.Run(name, func(t *testing.T) {
			h := NewHistory()
			test.build(h)
			qt.New(t).Check(strings.Join(h.Check(), "; "), qt.Equals, test.want)
		})
	}
}

// Guards against a caller that reads on after it has lost its connection, or that
// takes a whole stream for a broken one.
func TestCallerLosesItsConnectionAfterEvents(t *testing.T) {
	c := qt.New(t)
	text := ""
	for _, e := range eventsOf("v1", "r", 1, 3) {
		text += e.String()
	}
	one := len(text) / 3
	body := func(parts ...string) io.ReadCloser {
		readers := make([]io.Reader, 0, len(parts))
		for _, p := range parts {
			readers = append(readers, strings.NewReader(p))
		}

		return io.NopCloser(io.MultiReader(readers...))
	}
	got, err := readBody(body(text[:one], text[one:]), 1)
	c.Check(string(got), qt.Equals, text[:one])
	c.Check(errors.Is(err, errLost), qt.IsTrue)
	for _, events := range []int{0, 4} {
		got, err = readBody(body(text), events)
		c.Check(string(got), qt.Equals, text)
		c.Check(err, qt.IsNil)
	}
}
