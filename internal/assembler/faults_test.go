package assembler

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sourcegraph/conc"

	"snipedyke/internal/standin"
)

// publicationDeadline is the specified maximum time from a publication until it
// is in force.
const publicationDeadline = 3 * time.Second

func (f *fleet) callerURL(node int) string {
	return fmt.Sprintf("http://%s", f.nodes[node].CallerAddr())
}

// awaitVersion waits until a version is in force at all nodes.
func (f *fleet) awaitVersion(c *qt.C, version uint64) {
	c.Helper()
	for i := range f.nodes {
		await(c, "the version is in force", func() bool {
			s, _ := f.nodes[i].Status()

			return s.Catalogue == version
		})
	}
}

// Guards against a node that misses a publication because it cannot reach the
// configuration service, and against versions that decrease when the service
// serves an older one, also on a node that has just restarted.
func TestVersionsPropagateAndNeverDecrease(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	f := startFleet(c, 3)
	f.unreachable[2].Store(true)
	published := time.Now()
	c.Assert(f.Configuration.SetOutOfService("kollam", true), qt.IsNil)
	f.awaitVersion(c, 2)
	c.Check(time.Since(published) < publicationDeadline, qt.IsTrue, qt.Commentf("in force after %v", time.Since(published)))

	// The service serves the first version again, as after a restore from a
	// backup, and answers watches whatever version the client has.
	f.stale.Store(true)
	c.Assert(f.Configuration.PublishCatalogue(f.Site.Catalogue), qt.IsNil)
	f.unreachable[2].Store(false)
	f.cancel[1]()
	f.waitForExit(c, 1)
	f.newNode(c, 1)
	f.runNode(1)
	await(c, "the node is ready", func() bool {
		ready := f.nodes[1].Ready()
		s, _ := f.nodes[1].Status()
		if ready {
			c.Check(s.Catalogue, qt.Equals, uint64(2), qt.Commentf("a ready node"))
		}

		return ready && s.Ready
	})
	requests := f.Configuration.RequestCount()
	await(c, "the stale service is polled", func() bool { return f.Configuration.RequestCount() >= requests+6 })
	for i, n := range f.nodes {
		s, _ := n.Status()
		c.Check(s.Catalogue, qt.Equals, uint64(2), qt.Commentf("node %d", i))
	}
}

// Guards against streams that are cut off, repeated or mixed up when an engine
// crashes. If engines resume streams, callers must not notice the crash;
// otherwise each incomplete stream must end with the error event and without
// [DONE].
func TestEngineCrashResumesOrReportsStreams(t *testing.T) {
	tests := []struct {
		name    string
		resumes func(n int) bool
	}{
		{"all engines resume", func(int) bool { return true }},
		{"some engines resume", func(n int) bool { return n%2 == 0 }},
		{"no engine resumes", func(int) bool { return false }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			const streams = 12
			f := startFleet(c, 3, func(s *standin.Site) {
				for n := range 9 {
					s.Catalogue.Endpoints[fmt.Sprintf("draftsmith-%d", n+1)].Resumes = tt.resumes(n)
				}
			})
			for name := range f.Engines {
				f.Control(name, standin.Control{Slow: 3})
			}
			// Nodes that have just started may refuse requests, which callers send
			// again. They open one stream after the other until the crash, so that
			// all streams run at the same time at some moment.
			var running atomic.Int32
			var last atomic.Bool
			var callers conc.WaitGroup
			defer func() {
				last.Store(true)
				callers.Wait()
			}()
			results := make([]*streamResult, streams)
			for i := range results {
				callers.Go(func() {
					for n := 0; results[i] == nil; n++ {
						begun := false
						s := stream(f.callerURL(i%3), f.Site.Keys["account-01-fit"], fmt.Sprintf("question %d of caller %d", n, i), func() {
							begun = true
							running.Add(1)
						})
						if begun {
							running.Add(-1)
						}
						if last.Load() {
							results[i] = s
						} else if !s.isComplete() {
							c.Check(s.isRefused(), qt.IsTrue, qt.Commentf("before the crash: %+v", *s))
							<-time.After(refusalPause)
						}
					}
				})
			}
			// A request that runs alone on a crashing engine would be blocked as
			// the cause, so the test crashes an engine that runs several.
			busiest := ""
			await(c, "all streams have begun, two of them on one engine", func() bool {
				runs := map[string]int{}
				for _, r := range f.RunLog.Runs() {
					if r.Outcome == standin.Running {
						runs[r.Endpoint]++
					}
				}
				busiest = ""
				for name, n := range runs {
					if n > runs[busiest] {
						busiest = name
					}
				}

				return running.Load() == streams && runs[busiest] > 1
			})
			last.Store(true)
			f.Control(busiest, standin.Control{Crash: 300 * time.Millisecond})
			callers.Wait()
			complete, truncated := 0, []streamResult(nil)
			for _, s := range results {
				if s.isComplete() {
					complete++
				} else {
					truncated = append(truncated, *s)
					c.Check(s.isTruncated(), qt.IsTrue, qt.Commentf("%+v", *s))
				}
			}
			crashed, resumed := 0, 0
			for _, r := range f.RunLog.Runs() {
				if r.Outcome == standin.Crashed {
					crashed++
				}
				if r.Skipped > 0 {
					resumed++
				}
			}
			c.Check(crashed > 0, qt.IsTrue)
			if tt.resumes(0) && tt.resumes(1) {
				c.Check(complete, qt.Equals, streams, qt.Commentf("%+v", truncated))
				c.Check(resumed > 0, qt.IsTrue)
			} else {
				c.Check(complete >= streams-crashed, qt.IsTrue, qt.Commentf("%d complete, %d crashed: %+v", complete, crashed, truncated))
			}
			if !tt.resumes(0) {
				c.Check(resumed, qt.Equals, 0)
			}
		})
	}
}

// Guards against requests that reach a data centre after it was taken out of
// service, also through a node that cannot reach the configuration service.
func TestDataCentreOutGetsNoRequests(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	f := startFleet(c, 3)
	f.raiseEpoch(c)
	f.unreachable[1].Store(true)
	var stop atomic.Bool
	// answered counts the successful payments and the complete streams.
	var answered [2]atomic.Int32
	var callers conc.WaitGroup
	for i := range 6 {
		callers.Go(func() {
			for n := 0; !stop.Load(); n++ {
				url := f.callerURL(i%3) + "/services/orderdesk/payments"
				result, err := send(url, f.Site.Keys["account-01-fit"], fmt.Sprintf("out-%d-%d", i, n), `{}`)
				if c.Check(err, qt.IsNil) && result.status == http.StatusOK {
					answered[0].Add(1)
				}
				if stream(f.callerURL(i%3), f.Site.Keys["account-02-fit"], fmt.Sprintf("out %d %d", i, n), func() {}).isComplete() {
					answered[1].Add(1)
				}
			}
		})
	}
	inCentre := func(after time.Time) int {
		count := 0
		for _, r := range f.RunLog.Runs() {
			if f.Site.Catalogue.Endpoints[r.Endpoint].DataCentre == "kochi" && r.Start.After(after) {
				count++
			}
		}

		return count
	}
	await(c, "the data centre is in use", func() bool { return inCentre(time.Time{}) > 5 })
	published := time.Now()
	c.Assert(f.Configuration.SetOutOfService("kochi", true), qt.IsNil)
	await(c, "the publication deadline has passed", func() bool { return time.Since(published) > publicationDeadline })
	before := [2]int32{answered[0].Load(), answered[1].Load()}
	await(c, "requests are still answered", func() bool { return answered[0].Load() > before[0]+10 && answered[1].Load() > before[1]+10 })
	stop.Store(true)
	callers.Wait()
	c.Check(inCentre(published.Add(publicationDeadline)), qt.Equals, 0)
}
