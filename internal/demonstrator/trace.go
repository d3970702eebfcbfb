package demonstrator

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"

	"snipedyke/internal/administrator"
	"snipedyke/internal/recorder"
	"snipedyke/internal/standin"
)

// writeTrace downloads the trace of the site's first node and writes it with
// the outcomes that a replay must meet. These include no digest, because the
// digest differs between runs.
func (s *site) writeTrace(dir string) error {
	node := s.nodes[0]
	var body bytes.Buffer
	if err := administrator.NewClient(node.AdminAddr(), standin.DemoToken).Trace(context.Background(), &body); err != nil {
		return err
	}
	trace, err := recorder.Decode(&body)
	if err != nil {
		return err
	}
	if !trace.Header.Complete {
		return errors.New("the recording lacks its first events; choose a shorter duration")
	}
	trace.Outcomes = newWorkload(s.fleet.Site).targets()
	var out bytes.Buffer
	if err := recorder.Encode(&out, trace, true); err != nil {
		return err
	}

	return os.WriteFile(filepath.Join(dir, fmt.Sprintf("demo-%s.trace.gz", s.name)), out.Bytes(), 0o644)
}

// targets returns the outcomes that the design page requires during a burst.
func (w *workload) targets() []recorder.Outcome {
	post, get, interactive := w.postClass.Name, w.getClass.Name, w.interactive.Name

	return []recorder.Outcome{
		{Name: "attainment." + post, Op: ">=", Bound: "0.999"},
		{Name: "attainment." + get, Op: ">=", Bound: "0.999"},
		{Name: "attainment." + interactive, Op: ">=", Bound: "0.95"},
		{Name: "refused." + post, Op: "=", Bound: "0"},
		{Name: "refused." + get, Op: "=", Bound: "0"},
		{Name: "wait." + w.batch.Name, Op: "<=", Bound: fmt.Sprint(w.batch.MaxWait.Seconds())},
		{Name: "wasted.ratio", Op: "<=", Bound: "0.02"},
	}
}
