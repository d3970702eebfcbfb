package dispatcher

import (
	"bytes"
	"errors"
	"io"
	"net"
	"strconv"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"snipedyke/internal/reducer"
	"snipedyke/pkg/cataloguer"
	"snipedyke/pkg/encoder"
)

// attempt is a dispatch in progress.
type attempt struct {
	d        *Dispatcher
	dispatch reducer.Dispatch
	endpoint *cataloguer.Endpoint
	work     *Work

	mu sync.Mutex
	// conn is the connection that cancel closes, or nil.
	conn      net.Conn
	cancelled bool

	start        time.Time
	endpointConn *endpointConn
	deadline     time.Time
	written      bool
	relayed      bool
	tokens       uint32
	firstOutput  time.Duration
	lastToken    time.Duration
	lastProgress time.Duration
	response     *encoder.Answer
}

// cancel ends the attempt by closing its connection.
func (a *attempt) cancel() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.cancelled = true
	if a.conn != nil {
		_ = a.conn.Close()
	}
}

// setConn sets the connection that cancel closes. It reports whether the
// attempt may proceed, which is false if cancel has already been called.
func (a *attempt) setConn(conn net.Conn) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.conn = conn

	return !a.cancelled
}

// clearConn clears the connection that cancel closes, and reports whether
// cancel has been called.
func (a *attempt) clearConn() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.conn = nil

	return a.cancelled
}

func (a *attempt) run() reducer.Ended {
	a.start = time.Now()
	outcome := a.do()
	run := time.Since(a.start)
	ended := reducer.Ended{
		ID:      a.dispatch.ID,
		Permit:  a.dispatch.Permit,
		Outcome: outcome,
		Written: a.written,
		Relayed: a.relayed,
		Answer:  a.response,
		Tokens:  a.tokens,
		First:   a.firstOutput,
		Run:     run,
	}
	if a.work.Stream && a.tokens > 1 {
		ended.Gap = (a.lastToken - a.firstOutput) / time.Duration(a.tokens-1)
	}

	return ended
}

// do runs the attempt and returns its outcome.
func (a *attempt) do() uint8 {
	resumes := a.dispatch.Resume && a.endpoint.Resumes
	if a.work.Relayed() > 0 && !resumes {
		// The endpoint would repeat output that the caller already has. The
		// dispatch counts as written, since an unused one would be retried
		// indefinitely.
		a.written = true

		return encoder.OutcomeError
	}
	conn, err := a.d.connect(a.endpoint, a.dispatch.Once)
	if err != nil {
		return encoder.OutcomeRefused
	}
	a.endpointConn = conn
	if !a.setConn(conn.conn) {
		conn.release(false)

		return encoder.OutcomeCancelled
	}
	outcome, keep := a.exchange()
	if a.clearConn() {
		keep = false
		if outcome != encoder.OutcomeOK {
			outcome = encoder.OutcomeCancelled
		}
	}
	conn.release(keep)

	return outcome
}

// exchange writes the request and reads the response. keep reports whether the
// connection can be reused.
func (a *attempt) exchange() (outcome uint8, keep bool) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	a.buildRequest(req)
	timeout := a.d.opts.ReadTimeout
	if a.work.Kind == cataloguer.ModelService && !a.work.Stream {
		timeout = a.d.opts.ResponseTimeout
	}
	if err := a.endpointConn.conn.SetDeadline(time.Now().Add(timeout)); err != nil {
		return encoder.OutcomeRefused, false
	}
	// This is the last check before the write, because the process may have been
	// suspended since the dispatch was decided.
	if !a.dispatch.Expires.IsZero() && !time.Now().Before(a.dispatch.Expires) {
		return encoder.OutcomeUnused, true
	}
	a.written = true
	if err := a.endpointConn.write(req); err != nil {
		return a.failureOutcome(), false
	}

	resp.StreamBody = true
	resp.SkipBody = a.work.Method == fasthttp.MethodHead
	if err := a.endpointConn.readResponse(resp, 0); err != nil {
		return a.failureOutcome(), false
	}
	defer func() { _ = resp.CloseBodyStream() }()
	if a.work.Stream && resp.StatusCode() == fasthttp.StatusOK &&
		bytes.HasPrefix(resp.Header.ContentType(), []byte("text/event-stream")) {
		outcome, keep = a.relayStream(resp)
	} else {
		outcome, keep = a.collect(resp)
	}

	return outcome, keep && !resp.ConnectionClose()
}

// buildRequest fills in the request to the endpoint.
func (a *attempt) buildRequest(req *fasthttp.Request) {
	req.Header.DisableNormalizing()
	req.Header.SetMethod(a.work.Method)
	req.Header.SetRequestURI(a.work.Path)
	req.Header.SetHost(a.endpoint.Address.String())
	req.Header.SetNoDefaultContentType(true)
	req.URI().DisablePathNormalizing = true
	for _, h := range a.work.Headers {
		req.Header.Add(h.Name, h.Value)
	}
	req.Header.Set(HeaderRequest, a.work.Key)
	if a.work.Kind == cataloguer.ModelService {
		req.Header.Set(HeaderPriority, strconv.Itoa(a.dispatch.Tier))
		if a.dispatch.Resume && a.endpoint.Resumes {
			req.Header.Set(HeaderResume, strconv.FormatUint(uint64(a.work.Relayed()), 10))
		}
	}
	if a.dispatch.Once {
		req.SetConnectionClose()
	}
	req.SetBodyRaw(a.work.Body)
}

// collect reads a complete response.
func (a *attempt) collect(resp *fasthttp.Response) (outcome uint8, keep bool) {
	outcome = a.classify(resp)
	if outcome == encoder.OutcomeOK {
		a.reportStarted()
	}
	response := &encoder.Answer{Status: resp.StatusCode()}
	for name, value := range resp.Header.All() {
		if IsEndToEnd(string(name)) {
			response.Headers = append(response.Headers, encoder.Header{Name: string(name), Value: string(value)})
		}
	}
	if resp.BodyStream() != nil {
		length := resp.Header.ContentLength()
		// The end of a body without a declared length (-2) is indistinguishable
		// from a broken connection, so the response may be incomplete.
		if length < -1 || length > a.d.opts.MaxResponseBytes {
			return encoder.OutcomeError, false
		}
		body := bytes.NewBuffer(make([]byte, 0, max(length, 0)+bytes.MinRead))
		n, err := body.ReadFrom(io.LimitReader(resp.BodyStream(), int64(a.d.opts.MaxResponseBytes)+1))
		if err != nil {
			return a.failureOutcome(), false
		}
		if n > int64(a.d.opts.MaxResponseBytes) {
			return encoder.OutcomeError, false
		}
		response.Body = body.Bytes()
	}
	if a.work.Kind == cataloguer.ModelService {
		a.tokens = completionTokens(response.Body)
	}
	if outcome == encoder.OutcomeOK || a.work.Kind == cataloguer.PlainService {
		a.response = response
	}

	return outcome, true
}

// classify returns the outcome that the header of a response indicates.
func (a *attempt) classify(resp *fasthttp.Response) uint8 {
	status := resp.StatusCode()
	overloaded := status == fasthttp.StatusServiceUnavailable || status == fasthttp.StatusTooManyRequests
	switch {
	case a.dispatch.Once:
		if status == fasthttp.StatusServiceUnavailable && string(resp.Header.Peek(HeaderRun)) == NotRun {
			// The service states that the request did not run.
			a.written = false

			return encoder.OutcomeRefused
		}

		return encoder.OutcomeOK
	case overloaded:
		return encoder.OutcomeRefused
	case status >= fasthttp.StatusInternalServerError:
		return encoder.OutcomeError
	default:
		return encoder.OutcomeOK
	}
}

// relayStream reads the events of a stream and sends them to the caller.
func (a *attempt) relayStream(resp *fasthttp.Response) (outcome uint8, keep bool) {
	events, _ := eventReaderPool.Get().(*EventReader)
	if events == nil || events.limit != a.d.opts.MaxEventBytes {
		events = NewEventReader(nil, a.d.opts.MaxEventBytes)
	}
	events.Reset(resp.BodyStream())
	defer func() {
		events.Reset(nil)
		eventReaderPool.Put(events)
	}()
	var buf []byte
	for {
		a.extendDeadline()
		event, err := events.Next()
		switch {
		case err != nil:
			return a.failureOutcome(), false
		case event.isTerminal():
			if len(buf) > 0 && a.relayEvents(buf, 0) != nil {
				return encoder.OutcomeCancelled, false
			}
			a.work.complete.Store(true)
			// The connection can be reused only if the body ends here.
			n, err := resp.BodyStream().Read(make([]byte, 1))

			return encoder.OutcomeOK, n == 0 && errors.Is(err, io.EOF)
		case event.isError():
			return encoder.OutcomeError, false
		}
		tokens := uint32(0)
		if event.isToken() {
			a.countToken()
			tokens = 1
		}
		if a.tokens == 0 && a.dispatch.Resume {
			// The caller already has the events before the first token from an
			// earlier dispatch.
			continue
		}
		buf = AppendEvent(buf, event)
		if a.tokens == 0 && len(buf) < a.d.opts.MaxEventBytes {
			// A request can be retried as long as nothing has reached the caller,
			// so events before the first token are buffered until it arrives.
			continue
		}
		if a.relayEvents(buf, tokens) != nil {
			return encoder.OutcomeCancelled, false
		}
		buf = buf[:0]
	}
}

// relayEvents sends encoded events, which contain the given number of tokens, to
// the caller.
func (a *attempt) relayEvents(events []byte, tokens uint32) error {
	if err := a.work.Sink.Relay(events); err != nil {
		return err
	}
	a.relayed = true
	a.work.relayed.Add(tokens)

	return nil
}

var eventReaderPool sync.Pool

// extendDeadline extends the read deadline. It does so only in coarse steps,
// since there can be thousands of tokens per second.
func (a *attempt) extendDeadline() {
	now := time.Now()
	if now.Before(a.deadline) {
		return
	}
	a.deadline = now.Add(a.d.opts.ReadTimeout / 16)
	// The next read returns any error of the connection.
	_ = a.endpointConn.conn.SetReadDeadline(now.Add(a.d.opts.ReadTimeout + a.d.opts.ReadTimeout/16))
}

// reportStarted records the time of the first token, or of the response header,
// and reports it.
func (a *attempt) reportStarted() {
	a.firstOutput = time.Since(a.start)
	a.d.post(reducer.Started{ID: a.dispatch.ID, Permit: a.dispatch.Permit, First: a.firstOutput})
}

// countToken counts a token and reports progress if it is due.
func (a *attempt) countToken() {
	if a.tokens == 0 {
		a.reportStarted()
	}
	a.tokens++
	a.lastToken = time.Since(a.start)
	if a.lastToken-max(a.lastProgress, a.firstOutput) >= a.d.opts.ProgressInterval {
		a.lastProgress = a.lastToken
		a.d.post(reducer.Progressed{ID: a.dispatch.ID, Permit: a.dispatch.Permit, Tokens: a.tokens})
	}
}

// failureOutcome returns the outcome of an exchange that failed after the write
// began. As long as the connection is open, the endpoint has not crashed.
func (a *attempt) failureOutcome() uint8 {
	switch {
	case a.endpointConn.timedOut:
		return encoder.OutcomeTimeout
	case a.endpointConn.broken:
		return encoder.OutcomeLost
	default:
		return encoder.OutcomeError
	}
}

// completionTokens returns the number of generated tokens reported in the body
// of a chat completion, or zero if there is none.
func completionTokens(body []byte) uint32 {
	const key = `"completion_tokens":`
	i := bytes.LastIndex(body, []byte(key))
	if i < 0 {
		return 0
	}
	digits := bytes.TrimLeft(body[i+len(key):], " ")
	end := 0
	for end < len(digits) && digits[end] >= '0' && digits[end] <= '9' {
		end++
	}
	n, err := strconv.ParseUint(string(digits[:end]), 10, 32)
	if err != nil {
		return 0
	}

	return uint32(n)
}
