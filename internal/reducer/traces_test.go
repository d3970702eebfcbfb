package reducer_test

import (
	"bytes"
	"flag"
	"os"
	"path/filepath"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"snipedyke/internal/recorder"
	"snipedyke/internal/reducer"
)

var write = flag.Bool("write", false, "rewrite the traces of the scenarios")

const traces = "../../traces"

// TestWriteTraces runs the scenarios and, with -write, writes the trace of one
// node for each. It guards against scenarios that violate an invariant or an
// outcome, and against a replay whose decisions differ from those of the node.
func TestWriteTraces(t *testing.T) {
	for _, s := range reducer.Scenarios {
		t.Run(s.Name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			recorders := map[reducer.Process]*recorder.Recorder{}
			node, broken := s.Play(func(p reducer.Process, now time.Time, e reducer.Event) {
				if recorders[p] == nil {
					recorders[p] = recorder.New(recorder.Options{Header: recorder.Header{
						Self: p.Name, Centre: p.Centre, Incarnation: p.Incarnation, Seed: p.Seed,
					}})
				}
				recorders[p].Record(now, e)
			})
			c.Assert(broken, qt.HasLen, 0)
			var raw bytes.Buffer
			c.Assert(recorders[node].WriteTrace(&raw, false), qt.IsNil)
			trace, err := recorder.Decode(&raw)
			c.Assert(err, qt.IsNil)
			c.Assert(trace.Header.Complete, qt.IsTrue)
			for _, o := range s.Outcomes {
				trace.Outcomes = append(trace.Outcomes, recorder.Outcome{Name: o[0], Op: o[1], Bound: o[2]})
			}
			result := recorder.Replay(trace, nil)
			c.Check(result.OK(), qt.IsTrue, qt.Commentf("%s", result))
			if !*write {
				return
			}
			trace.Outcomes = append(trace.Outcomes, recorder.Outcome{Name: "digest", Op: "=", Bound: digest(result)})
			var packed bytes.Buffer
			c.Assert(recorder.Encode(&packed, trace, true), qt.IsNil)
			c.Assert(os.WriteFile(filepath.Join(traces, s.Name+".trace.gz"), packed.Bytes(), 0o644), qt.IsNil)
		})
	}
}

// TestTracesReplay guards against committed traces whose replay depends on the
// time zone of the machine, and against a digest that does not change when an
// event is edited.
func TestTracesReplay(t *testing.T) {
	for _, s := range reducer.Scenarios {
		t.Run(s.Name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			file, err := os.Open(filepath.Join(traces, s.Name+".trace.gz"))
			c.Assert(err, qt.IsNil)
			defer func() { _ = file.Close() }()
			trace, err := recorder.Decode(file)
			c.Assert(err, qt.IsNil)
			stated := map[string]bool{}
			for _, o := range trace.Outcomes {
				stated[o.Name+" "+o.Op+" "+o.Bound] = true
			}
			for _, o := range s.Outcomes {
				c.Check(stated[o[0]+" "+o[1]+" "+o[2]], qt.IsTrue, qt.Commentf("outcome %v is not in the trace", o))
			}
			result := recorder.Replay(trace, nil)
			c.Check(result.OK(), qt.IsTrue, qt.Commentf("%s", result))
			trace.Header.Start = trace.Header.Start.In(time.FixedZone("IST", 19800))
			c.Check(recorder.Replay(trace, nil).Values, qt.DeepEquals, result.Values)
			i := slices.IndexFunc(trace.Events, func(e recorder.Event) bool {
				_, ok := e.Event.(reducer.Arrived)

				return ok
			})
			arrived := trace.Events[i].Event.(reducer.Arrived)
			arrived.Request.Fingerprint++
			trace.Events[i].Event = arrived
			edited := recorder.Replay(trace, nil)
			last := edited.Checks[len(edited.Checks)-1]
			c.Check(last.Name, qt.Equals, "digest")
			c.Check(last.OK, qt.IsFalse)
		})
	}
}

func digest(r *recorder.Result) string {
	for _, v := range r.Values {
		if v.Name == "digest" {
			return v.Value
		}
	}

	return ""
}
