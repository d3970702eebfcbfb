package forwarder

import (
	"bufio"
	"errors"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"snipedyke/internal/director"
	"snipedyke/internal/router"
)

const (
	// maxAnswer bounds a whole answer in bytes.
	maxAnswer = 16 << 20
	// maxStale bounds the answers to earlier requests that are passed over on a
	// connection.
	maxStale = 2
	// answerMargin is the time that an answer may still come after the
	// endpoint was told to stop.
	answerMargin = 100 * time.Millisecond
	// streamSilence is the pause in a stream after which it goes on at another
	// endpoint, if it can.
	streamSilence = 1200 * time.Millisecond
)

// What makes an answer unsound.
var (
	errName     = errors.New("the answer is to another request")
	errSeal     = errors.New("the answer is not marked as the endpoint's own")
	errEncoded  = errors.New("the body of the answer is encoded")
	errNoStream = errors.New("the answer does not go on with the stream")
)

// writers holds the buffers that requests are written through.
var writers = sync.Pool{New: func() any { return bufio.NewWriterSize(nil, 4<<10) }}

// attempt is one attempt at an endpoint.
type attempt struct {
	call     *call
	order    director.Dispatch
	start    time.Time
	link     *link
	resp     *fasthttp.Response
	finished director.Finished

	// stream reads the events of an answer that has begun, or is nil.
	stream *eventReader
	// first holds the first events.
	first []byte
	// heard is when the last events came.
	heard time.Time
}

// attempt sends the request to an endpoint and reads the answer, or the first
// events of one.
func (c *call) attempt(o director.Dispatch) *attempt {
	a := &attempt{call: c, order: o, start: time.Now(), finished: director.Finished{ID: c.id}}
	a.finished.Result = a.do()
	if a.stream == nil {
		a.close()
	}

	return a
}

// close ends the use of the connection, unless its answer was whole.
func (a *attempt) close() {
	a.finished.Took = time.Since(a.start)
	if a.link != nil {
		a.call.attach(nil)
		_ = a.link.Close()
		a.link = nil
	}
	if a.resp != nil {
		_ = a.resp.CloseBodyStream()
		fasthttp.ReleaseResponse(a.resp)
		a.resp = nil
	}
	if a.call.wasCancelled() && a.finished.Result != director.Answered {
		a.finished.Result = director.Cancelled
	}
}

// failure returns the result for an error after bytes were sent, and keeps it
// as the cause.
func (a *attempt) failure(err error) director.Result {
	a.finished.Cause = err.Error()
	if isTimeout(err) || errors.Is(err, fasthttp.ErrTimeout) {
		return director.Silent
	}

	return director.Broken
}

func (a *attempt) do() director.Result {
	idle := time.Hour
	if !a.order.Route.Repeatable() {
		idle = freshIdle
	}
	l, err := a.call.f.pool.get(a.order.Address, a.start, idle)
	if err != nil {
		a.finished.Cause = err.Error()

		return director.Unreached
	}
	a.link = l
	left := a.order.Until.Sub(a.call.f.opts.Clock())
	if !a.call.attach(l) || left <= 0 {
		return director.Unreached
	}
	end := time.Now().Add(left + answerMargin)
	first := end
	if !a.order.First.IsZero() {
		first = end.Add(a.order.First.Sub(a.order.Until))
	}
	if l.SetDeadline(first) != nil {
		return director.Unreached
	}
	if err := a.write(left); err != nil {
		return a.failure(err)
	}

	return a.read(end)
}

// write sends the request.
func (a *attempt) write(left time.Duration) error {
	req := a.call.req
	a.call.f.opts.Protocol.Address(&req.Header, Sending{
		Instance: a.order.Endpoint, Account: a.order.Account, Urgency: a.order.Urgency,
		Engine: a.order.Route.Kind == router.Stream, Left: left, Event: string(a.call.event),
		Holder: a.order.Holder,
	})
	bw := writers.Get().(*bufio.Writer)
	bw.Reset(a.link)
	defer func() {
		bw.Reset(nil)
		writers.Put(bw)
	}()
	if err := req.Write(bw); err != nil {
		return err
	}

	return bw.Flush()
}

// read reads the answer.
func (a *attempt) read(end time.Time) director.Result {
	a.resp = fasthttp.AcquireResponse()
	h := &a.resp.Header
	h.SetNoDefaultContentType(true)
	for range maxStale + 1 {
		a.resp.StreamBody = false
		if err := h.Read(a.link.br); err != nil {
			return a.failure(err)
		}
		m := a.call.f.opts.Protocol.Interpret(h)
		a.finished.Cold, a.finished.Status = m.Cold, h.StatusCode()
		if m.Name != a.call.name && m.Name != "" && a.link.reused {
			// It answers an earlier request of the connection.
			if err := a.resp.ReadBody(a.link.br, maxAnswer); err != nil {
				return a.failure(err)
			}

			continue
		}

		return a.take(m, end)
	}

	return a.failure(errName)
}

// take judges an answer by its header and reads its body.
func (a *attempt) take(m Interpretation, end time.Time) director.Result {
	h := &a.resp.Header
	switch {
	case h.StatusCode() == http.StatusMisdirectedRequest:
		return director.Misdirected
	case m.Declined:
		return director.Declined
	case m.Name != a.call.name:
		return a.failure(errName)
	case !m.Whole:
		return a.failure(errSeal)
	case len(h.ContentEncoding()) > 0:
		return a.failure(errEncoded)
	}
	if a.order.Route.Kind == router.Stream && h.StatusCode() == http.StatusOK {
		return a.begin(end)
	}
	if a.order.Resume {
		return a.failure(errNoStream)
	}
	if err := a.link.SetDeadline(end); err != nil {
		return director.Broken
	}
	if a.call.req.Header.IsHead() {
		a.resp.SkipBody = true
	} else if err := a.readBody(); err != nil {
		return a.failure(err)
	}
	a.keep()
	a.call.answer, a.resp = a.resp, nil

	return director.Answered
}

func (a *attempt) readBody() error {
	chunked := a.resp.Header.ContentLength() == -1
	if err := a.resp.ReadBody(a.link.br, maxAnswer); err != nil {
		return err
	}
	if chunked {
		return a.resp.Header.ReadTrailer(a.link.br)
	}

	return nil
}

// keep gives the connection back after a whole answer.
func (a *attempt) keep() {
	a.call.attach(nil)
	if a.resp.Header.ConnectionClose() {
		_ = a.link.Close()
	} else {
		a.call.f.pool.put(a.order.Address, a.link, time.Now(), &a.resp.Header, a.order.Idle)
	}
	a.link = nil
}

// begin reads the first events of a stream.
func (a *attempt) begin(end time.Time) director.Result {
	a.resp.StreamBody = true
	if err := a.resp.ReadBody(a.link.br, 0); err != nil {
		return a.failure(err)
	}
	stream := &eventReader{r: a.resp.BodyStream()}
	events, err := stream.next()
	if err != nil && (!errors.Is(err, io.EOF) || !a.order.Resume) {
		return a.failure(err)
	}
	if a.call.f.opts.Clock().After(a.order.Until) || a.link.SetDeadline(end) != nil {
		return director.Silent
	}
	a.stream, a.first, a.heard = stream, events, time.Now()
	a.call.f.Post(director.Began{ID: a.call.id, Wait: time.Since(a.start)})

	return director.Answered
}

// streamBody is the body of a streamed answer. It reads from one endpoint
// after another.
type streamBody struct {
	call *call
	at   *attempt
	// rest holds events that have been read but not taken.
	rest []byte
	// err ends the body.
	err error
	// sent tells that events have been taken.
	sent bool
}

// relayStream starts a streamed answer to the caller.
func (c *call) relayStream(ctx *fasthttp.RequestCtx, a *attempt) {
	copyHeader(&ctx.Response.Header, &a.resp.Header)
	body := &streamBody{call: c, at: a}
	body.take(a.first)
	ctx.Response.SetBodyStream(body, -1)
}

// take makes events available to the caller.
func (b *streamBody) take(events []byte) {
	b.rest = events
	if id := lastID(events); id != nil {
		b.call.event = append(b.call.event[:0], id...)
	}
}

// Read implements io.Reader. It returns an error other than io.EOF if the
// answer ends early, so that the caller's connection is closed.
func (b *streamBody) Read(p []byte) (int, error) {
	for len(b.rest) == 0 {
		if b.err != nil {
			return 0, b.err
		}
		b.fill()
	}
	n := copy(p, b.rest)
	b.rest = b.rest[n:]
	b.sent = true

	return n, nil
}

// errAborted ends a body that is not whole.
var errAborted = errors.New("answer aborted")

// fill reads the next events, from another endpoint if this one has failed.
func (b *streamBody) fill() {
	a := b.at
	if a.order.Route.Resumable {
		silence := time.Now().Add(streamSilence)
		if end := time.Now().Add(a.order.Until.Sub(a.call.f.opts.Clock()) + answerMargin); end.Before(silence) {
			silence = end
		}
		_ = a.link.SetReadDeadline(silence)
	}
	events, err := a.stream.next()
	if err == nil {
		now := time.Now()
		a.finished.Pause, a.heard = max(a.finished.Pause, now.Sub(a.heard)), now
		b.take(events)

		return
	}
	if errors.Is(err, io.EOF) {
		a.finished.Result = director.Answered
		_ = a.resp.CloseBodyStream()
		a.keep()
	} else {
		a.finished.Result = a.failure(err)
	}
	a.close()
	a.finished.Relayed = true
	b.call.f.Post(a.finished)
	b.goOn()
}

// goOn follows the order after the end of an attempt.
func (b *streamBody) goOn() {
	for {
		switch o := (<-b.call.orders).(type) {
		case director.Relay:
			b.err = io.EOF

			return
		case director.Dispatch:
			a := b.call.attempt(o)
			if a.stream == nil {
				a.finished.Relayed = true
				b.call.f.Post(a.finished)

				continue
			}
			b.at = a
			b.take(a.first)

			return
		default:
			b.err = errAborted

			return
		}
	}
}

// Close implements io.Closer. The HTTP server calls it after the last Read,
// also if the caller has left.
func (b *streamBody) Close() error {
	if b.err == nil {
		b.call.f.Post(director.Gone{ID: b.call.id})
		b.at.finished.Result = director.Cancelled
		b.at.close()
		b.call.f.Post(b.at.finished)
		b.err = errAborted
	}
	b.call.end()

	return nil
}
