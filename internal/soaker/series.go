package soaker

import (
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strings"
	"syscall"
	"time"

	"snipedyke/platform/standin"
)

const (
	// firstLeaver is the index of the first of leavers callers that leave before they have
	// a response.
	firstLeaver, leavers = 900, 6
	// A caller leaves within maxStay milliseconds of its request.
	maxStay = 100
	// seriesPause is the longest pause in a series of signals in milliseconds.
	seriesPause = 400
	// matureAge is the age at which the main function of a process has certainly begun.
	matureAge = 100 * time.Millisecond
	// Servers may still work goneBound later on a quarter of the requests of callers that
	// have left, and on goneSlack ones in any case. goneMargin covers the delays of the
	// test itself.
	goneBound  = 500 * time.Millisecond
	goneMargin = 100 * time.Millisecond
	goneShare  = 0.25
	goneSlack  = 5
)

// seriesFaults injects series of signals to nodes and of changes, which overlap. It has its
// own source of random numbers, so that it does not change the schedule of injectFault.
type seriesFaults struct {
	*limitFaults
	// other injects another fault.
	other func()
}

func newSeriesFaults(s *Soaker, ended <-chan struct{}, other func()) *seriesFaults {
	f := newLimitFaults(s, ended)
	f.rng = rand.New(rand.NewPCG(s.opts.Seed, 699))

	return &seriesFaults{f, other}
}

// inject begins a series at some nodes, or injects another fault, and returns immediately.
func (f *seriesFaults) inject() {
	if f.rng.IntN(3) == 0 {
		f.other()

		return
	}
	nodes := make([]*node, 1+f.rng.IntN(3))
	for i := range nodes {
		nodes[i] = f.nodes[f.rng.IntN(len(f.nodes))]
	}
	delay := time.Duration(0)
	for range 2 + f.rng.IntN(7) {
		n := nodes[f.rng.IntN(len(nodes))]
		// A step is the more probable the more letters it has.
		steps := "hhhhttkmmmfs"
		step, length := steps[f.rng.IntN(len(steps))], f.between(100, 1500)
		f.after(delay, func() { f.step(step, n, length) })
		delay += f.between(0, seriesPause)
	}
}

// step takes one step of a series.
func (f *seriesFaults) step(step byte, n *node, length time.Duration) {
	switch step {
	case 'h':
		f.logFault("settings and hup", n.index, 0)
		if err := f.replaceSettings(n); err != nil {
			f.history.AddViolation("writing settings failed: %v", err)
		}
		if !f.opts.Mature || n.age() >= matureAge {
			n.signal(syscall.SIGHUP, false)
		}
	case 't':
		f.stopNode(n)
	case 'k':
		f.killNode(n)
	case 'm':
		f.logFault("manifest", -1, 0)
		f.changeManifest(false, 0)
	case 'f':
		f.freezeNode(n, length)
	case 's':
		f.logFault("connections to the store are silent", n.index, 0)
		f.history.MarkStoreFault(n.index, time.Now())
		n.storeProxy.Silence()
	}
}

// replaceSettings replaces the settings file of a node by one with the same content. A process
// that starts meanwhile reads either.
func (f *seriesFaults) replaceSettings(n *node) error {
	file, err := os.CreateTemp(f.dir, "settings-")
	if err != nil {
		return err
	}
	_, err = file.WriteString(f.nodeSettings(n))
	if err = errors.Join(err, file.Close()); err != nil {
		return err
	}

	return os.Rename(file.Name(), n.settingsFile)
}

// leaver is a caller that leaves before it has a response.
type leaver struct{ *caller }

func newLeaver(s *Soaker, index int) leaver {
	c := newCaller(s, firstLeaver+index)
	c.paths = []string{"/safe/" + standin.LongPath, "/stream/" + standin.LongPath, resumablePrefix + standin.LongPath}

	return leaver{c}
}

func (l leaver) run(stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(20+l.rng.IntN(100)) * time.Millisecond):
			l.send()
		}
	}
}

// send sends a request and leaves, at once or later, in order or by a reset, and in some
// cases after it has begun another request.
func (l leaver) send() {
	id, n := l.nextID(), l.soaker.nodes[l.rng.IntN(len(l.soaker.nodes))]
	path := l.paths[l.rng.IntN(len(l.paths))] + "x?y=" + id
	body := strings.Repeat("b", []int{0, 10_000, 1_000_000}[l.rng.IntN(3)])
	further := []string{"", "", "\r\n", "GET /safe/x HTTP/1.1\r\nHo"}[l.rng.IntN(4)]
	stay := time.Duration(l.rng.IntN(2)*l.rng.IntN(maxStay)) * time.Millisecond
	resets := l.rng.IntN(10) == 0
	conn, err := net.Dial("tcp", n.callerAddr.String())
	if err != nil {
		return
	}
	o := outcome{unsafe: strings.HasPrefix(path, "/stream/"), sent: time.Now(), account: keptKey, node: n.index}
	l.soaker.history.setOutcome(id, o)
	_ = conn.SetDeadline(o.sent.Add(requestTimeout))
	r, err := http.NewRequest(http.MethodPost, "http://"+host+path, strings.NewReader(body))
	if err == nil {
		standin.SetRequestHeaders(r, id, keptKey, requestTimeout)
		err = r.Write(conn)
	}
	time.Sleep(stay)
	if err == nil && further != "" {
		_, _ = io.WriteString(conn, further)
	}
	if tcp, ok := conn.(*net.TCPConn); ok && resets {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
	o.left, o.ended = time.Now(), time.Now()
	l.soaker.history.setOutcome(id, o)
}

// checkGone returns a violation if servers work on, or get requests, too often after the
// callers have left. Nodes that were interrupted may learn of it late. The caller holds mu.
func (h *History) checkGone() []string {
	worked, late, arrived := 0, 0, 0
	bound := goneBound + goneMargin
	for request, runs := range h.runs {
		o := h.outcomes[request]
		if o.left.IsZero() || h.interrupted(o.node, o.sent.Add(-recoveryTime), o.left.Add(bound)) {
			continue
		}
		worked++
		for _, a := range h.answers[request] {
			if !a.Declined && a.At.Sub(o.left) > bound {
				late++

				break
			}
		}
		for _, r := range runs {
			if r.At.Sub(o.left) > bound {
				arrived++
			}
		}
	}
	var violations []string
	if late > goneSlack && float64(late) > goneShare*float64(worked) {
		violations = append(violations, fmt.Sprintf("servers still worked %s later for %d of %d callers that had left", bound, late, worked))
	}
	if arrived > goneSlack {
		violations = append(violations, fmt.Sprintf("%d requests reached servers over %s after their callers had left", arrived, bound))
	}

	return violations
}
