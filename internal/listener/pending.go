package listener

import (
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"snipedyke/internal/dispatcher"
	"snipedyke/internal/reducer"
	"snipedyke/pkg/encoder"
)

// ErrCallerGone is returned when the caller has disconnected or already has its
// complete answer.
var ErrCallerGone error = NewProblem(reducer.ReasonCallerGone, encoder.RunUnknown, 0)

const (
	// streamBufferBytes is the number of buffered bytes of a stream above which
	// Relay blocks, so that the endpoint waits for a slow caller.
	streamBufferBytes = 64 << 10
	// closeCheckInterval is the time between two checks whether the caller of an
	// idle stream has closed the connection.
	closeCheckInterval = 250 * time.Millisecond
	// keepAliveInterval is the time after which a comment is sent on an idle
	// stream. The unacknowledged data reveals a caller whose host has failed.
	keepAliveInterval = 5 * time.Second
)

// keepAliveComment is a comment line, which parsers of event streams ignore.
const keepAliveComment = ": wait\n\n"

// pendingCall is a call whose caller waits for the answer on a connection. It
// implements Caller.
type pendingCall struct {
	conn net.Conn
	work *dispatcher.Work
	// onCallerGone is called when the caller has disconnected, and onFinish when
	// the node has ended the call.
	onCallerGone, onFinish func()

	// done is closed when the answer or its first part is available.
	done chan struct{}

	mu sync.Mutex
	// waiting reports whether the handler is blocked on the connection, so that
	// only a read deadline can unblock it.
	waiting bool
	// doneClosed reports whether done is closed.
	doneClosed bool
	// streaming reports whether the answer is an event stream, whose header has
	// been or will be sent.
	streaming bool
	// hasOutput reports whether an endpoint has sent events.
	hasOutput bool
	// ended reports whether the call has ended, so that no more events follow.
	ended bool
	// callerGone reports whether the caller has disconnected.
	callerGone bool
	// After the end of a call that is not streaming, either answer or refusal is
	// set.
	answer  *encoder.Answer
	run     uint8
	refusal *Problem
	// buf[head:] holds the events that have yet to be sent.
	buf  []byte
	head int
	// readable and writable receive a value after data was added to or removed
	// from buf.
	readable, writable chan struct{}
	// idle is the time since data was last sent on the stream.
	idle time.Duration
}

func newPendingCall(conn net.Conn, work *dispatcher.Work) *pendingCall {
	p := &pendingCall{conn: conn, work: work, done: make(chan struct{})}
	if work.Stream {
		p.readable, p.writable = make(chan struct{}, 1), make(chan struct{}, 1)
	}

	return p
}

// notify sends on c unless its buffer is full.
func notify(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// wake unblocks the handler. The lock is held.
func (p *pendingCall) wake() {
	if p.doneClosed {
		return
	}
	p.doneClosed = true
	close(p.done)
	if p.waiting {
		// A read deadline in the past ends the wait on the connection.
		_ = p.conn.SetReadDeadline(time.Unix(1, 0))
	}
}

// prepareWait prepares the connection for wait. It must be called before the
// call is submitted. If headerDelay is zero, wait has no time limit.
func (p *pendingCall) prepareWait(headerDelay time.Duration) {
	var deadline time.Time
	if headerDelay > 0 {
		deadline = time.Now().Add(headerDelay)
	}
	p.waiting = dispatcher.RawConn(p.conn) != nil && p.conn.SetReadDeadline(deadline) == nil
}

// wait returns when the answer or its first part is available, the caller has
// disconnected or the delay set by prepareWait has passed. It reports whether
// the caller is still connected.
func (p *pendingCall) wait() bool {
	connected := true
	if p.waiting {
		raw := dispatcher.RawConn(p.conn)
		err := raw.Read(func(fd uintptr) bool {
			connected = !dispatcher.SocketEnded(fd)

			return !connected
		})
		if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			connected = false
		}
	} else {
		<-p.done
	}

	p.mu.Lock()
	defer p.mu.Unlock()
	p.waiting = false
	_ = p.conn.SetReadDeadline(time.Time{})
	if p.doneClosed {
		return true
	}
	if connected {
		// The delay has passed: the header is sent before the first event.
		p.streaming = true
	} else {
		p.callerGone = true
	}

	return connected
}

// Relay implements dispatcher.Sink.
func (p *pendingCall) Relay(events []byte) error {
	p.mu.Lock()
	for len(p.buf)-p.head > streamBufferBytes && !p.callerGone && !p.ended {
		p.mu.Unlock()
		<-p.writable
		p.mu.Lock()
	}
	defer p.mu.Unlock()
	if p.callerGone || p.ended || p.answer != nil || p.refusal != nil {
		return ErrCallerGone
	}
	p.streaming, p.hasOutput = true, true
	p.appendEvents(events)
	p.wake()

	return nil
}

// appendEvents adds events to the buffer. The lock is held.
func (p *pendingCall) appendEvents(events []byte) {
	// Moves the unsent data to the start of the buffer, which would otherwise
	// keep growing while a caller lags slightly behind.
	if p.head >= len(p.buf)-p.head {
		p.buf, p.head = p.buf[:copy(p.buf, p.buf[p.head:])], 0
	}
	p.buf = append(p.buf, events...)
	notify(p.readable)
}

// finish ends the call with the result that set stores. Later calls have no
// effect.
func (p *pendingCall) finish(set func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ended {
		return
	}
	p.ended = true
	p.onFinish()
	set()
	if p.streaming {
		notify(p.readable)
		notify(p.writable)
	}
	p.wake()
}

// Refuse implements Caller.
func (p *pendingCall) Refuse(problem *Problem) {
	p.finish(func() {
		if p.streaming {
			p.appendEvents(errorEvent(problem))
		} else {
			p.refusal = problem
		}
	})
}

// Reply implements Caller.
func (p *pendingCall) Reply(answer encoder.Answer, run uint8) {
	p.finish(func() {
		switch {
		case p.streaming:
			// The header already announced an event stream.
			p.appendEvents(errorEvent(NewProblem(reducer.ReasonEndpointError, run, 0)))
		case answer.Cut:
			p.refusal = &Problem{
				Status:  http.StatusConflict,
				Code:    CodeAnswerNotKept,
				Message: "the request with this key has run, but its answer was too large to be stored",
				Run:     run,
			}
		default:
			p.answer, p.run = &answer, run
		}
	})
}

// Close implements Caller.
func (p *pendingCall) Close(reason reducer.Reason) {
	p.finish(func() {
		if reason == "" && p.work.Complete() {
			p.streaming = true
			p.appendEvents([]byte("data: [DONE]\n\n"))

			return
		}
		if reason == "" {
			reason = reducer.ReasonEndpointLost
		}
		problem := NewProblem(reason, encoder.MayHaveRun, 0)
		if p.hasOutput {
			problem.Run = encoder.Ran
		}
		if p.streaming {
			p.appendEvents(errorEvent(problem))
		} else {
			p.refusal = problem
		}
	})
}

// errorEvent encodes the event that ends an incomplete stream.
func errorEvent(problem *Problem) []byte {
	return append(problem.appendBody([]byte("event: error\ndata: ")), "\n\n"...)
}

// body is the event stream of a pending call as an io.ReadCloser for the HTTP
// server.
type body struct {
	*pendingCall
	timer *time.Timer
}

// Read implements io.Reader. It returns events as soon as they are available,
// and a comment after each keepAliveInterval without any.
func (b *body) Read(to []byte) (int, error) {
	for {
		b.mu.Lock()
		if b.head < len(b.buf) {
			n := copy(to, b.buf[b.head:])
			b.head += n
			b.idle = 0
			b.mu.Unlock()
			notify(b.writable)

			return n, nil
		}
		ended := b.ended
		b.mu.Unlock()
		if ended {
			return 0, io.EOF
		}
		if b.timer == nil {
			b.timer = time.NewTimer(closeCheckInterval)
		} else {
			b.timer.Reset(closeCheckInterval)
		}
		select {
		case <-b.readable:
			b.timer.Stop()
		case <-b.timer.C:
			if dispatcher.ConnEnded(b.conn) {
				return 0, ErrCallerGone
			}
			if b.idle += closeCheckInterval; b.idle >= keepAliveInterval {
				b.idle = 0

				return copy(to, keepAliveComment), nil
			}
		}
	}
}

// Close implements io.Closer. The HTTP server calls it after the last Read or a
// failed write.
func (b *body) Close() error {
	b.mu.Lock()
	disconnected := !b.callerGone && (!b.ended || b.head < len(b.buf))
	if disconnected {
		b.callerGone = true
	}
	b.mu.Unlock()
	if disconnected {
		notify(b.writable)
		b.onCallerGone()
	}

	return nil
}
