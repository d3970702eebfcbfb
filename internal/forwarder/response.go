package forwarder

import (
	"errors"
	"net/http"
	"time"

	"github.com/valyala/fasthttp"

	"snipedyke/internal/budgeter"
	"snipedyke/internal/director"
	"snipedyke/internal/inspector"
	"snipedyke/internal/router"
)

// read reads the response, skipping responses to earlier requests.
func (a *attempt) read() director.Result {
	a.resp = fasthttp.AcquireResponse()
	h := &a.resp.Header
	h.SetNoDefaultContentType(true)
	for range maxStaleResponses + 1 {
		a.resp.StreamBody = false
		if err := a.readHeader(); err != nil {
			return a.failureResult(err)
		}
		m := a.call.f.opts.Protocol.ParseResponse(h)
		if m.AttemptID == a.call.attemptID || m.AttemptID == "" || !a.conn.reused || a.handover != nil {
			return a.handleResponse(m)
		}
		// The response belongs to an earlier request on this connection.
		if err := a.skipBody(); err != nil {
			return a.failureResult(err)
		}
	}

	return a.failureResult(errRequestMismatch)
}

// skipBody skips the body of a response to an earlier request. It returns an
// error if no other response can follow.
func (a *attempt) skipBody() error {
	if a.resp.Header.ContentLength() < -1 && !a.withoutBody() {
		// The body ends with the connection.
		return errRequestMismatch
	}

	return a.readBody()
}

// identifies reports whether a response is known to belong to this attempt. An
// endpoint echoes the ID of the attempt; a refusal may lack it. On a reused
// connection, a response without an ID may belong to an earlier request.
func (a *attempt) identifies(m ResponseMetadata) bool {
	if m.AttemptID == "" {
		return !a.conn.reused
	}

	return m.AttemptID == a.call.attemptID
}

// readHeader reads the header of the next final response.
func (a *attempt) readHeader() error {
	h := &a.resp.Header
	for range maxInterimResponses + 1 {
		head, err := inspector.PeekHead(a.conn.br)
		if err != nil {
			return err
		}
		a.persistence = parsePersistence(head)
		if err := h.Read(a.conn.br); err != nil {
			return err
		}
		switch {
		case h.StatusCode() >= http.StatusOK:
			return nil
		case h.StatusCode() == http.StatusSwitchingProtocols:
			return errSwitched
		}
	}

	return errTooManyInterim
}

// handleResponse validates the response header and reads the body, or the first
// events of a stream.
func (a *attempt) handleResponse(m ResponseMetadata) director.Result {
	if a.handover != nil {
		return a.handleNodeResponse(m)
	}
	h := &a.resp.Header
	if !a.identifies(m) {
		return a.failureResult(errRequestMismatch)
	}
	a.finished.Cold, a.finished.Status, a.finished.Framing = m.ColdRemaining, h.StatusCode(), a.framing()
	a.noteEndpoint(m)
	switch {
	case h.StatusCode() == http.StatusMisdirectedRequest:
		a.finished.AnsweredBy = m.Instance
		a.finished.OtherLeaving = m.Leaving && m.AttemptID == a.call.attemptID

		return director.Misdirected
	case m.Declined:
		return director.Declined
	case m.AttemptID != a.call.attemptID:
		return a.failureResult(errRequestMismatch)
	case !m.Sealed:
		return a.failureResult(errUnsealed)
	case len(h.ContentEncoding()) > 0:
		return a.failureResult(errContentEncoded)
	case a.partlySent && (h.ContentLength() == identityLength || a.dispatch.Route.Kind == router.Stream && h.StatusCode() == http.StatusOK):
		return a.failureResult(errPartlySent)
	case a.endsWithConn() && a.persistence == persistent:
		return a.failureResult(errNoFrame)
	}
	a.openWitness()

	return a.accept()
}

// accept reads the body of a valid response, or the first events of a stream.
func (a *attempt) accept() director.Result {
	h := &a.resp.Header
	if a.dispatch.Route.Kind == router.Stream && h.StatusCode() == http.StatusOK {
		return a.beginStream()
	}
	if a.dispatch.Resume {
		return a.failureResult(errNotStream)
	}
	a.patience = 0
	if a.extendDeadline() != nil {
		return director.Broken
	}
	unframed := a.endsWithConn()
	if a.call.req.Header.IsHead() {
		a.resp.SkipBody = true
	} else if err := a.readBody(); err != nil {
		return a.failureResult(err)
	}
	if unframed && len(a.resp.Body()) == 0 && a.persistence != closing {
		return a.failureResult(errNoFrame)
	}
	a.releaseConn()
	a.checkHost(a.call.f.bodyEndTime)
	a.call.setResponse(a.resp, a.holding)
	a.resp, a.holding = nil, nil

	return director.Answered
}

// withoutBody reports whether the response ends with its header, whatever the
// header fields say.
func (a *attempt) withoutBody() bool {
	status := a.resp.StatusCode()

	return status == http.StatusNoContent || status == http.StatusNotModified
}

// endsWithConn reports whether the body of the response ends with the connection.
// A head that has lost its end describes such a response, too.
func (a *attempt) endsWithConn() bool {
	return a.resp.Header.ContentLength() == identityLength && !a.withoutBody() && !a.call.req.Header.IsHead()
}

// framing returns how the end of the response is marked.
func (a *attempt) framing() director.Framing {
	switch {
	case a.endsWithConn():
		return director.FramedByConnection
	case a.resp.Header.ContentLength() == chunkedLength:
		return director.FramedByChunks
	default:
		return director.FramedByLength
	}
}

// noteEndpoint reports what the response says about the endpoint. A response to
// another request, or of another endpoint at the address, says nothing about it.
func (a *attempt) noteEndpoint(m ResponseMetadata) {
	if m.AttemptID == "" || m.AttemptID != a.call.attemptID || a.resp.StatusCode() == http.StatusMisdirectedRequest {
		return
	}
	notice := director.EndpointNoticed{
		ID: a.call.id, Leaving: m.Leaving, Limit: m.Limit, Limited: m.HasLimit, InvalidLimit: m.InvalidLimit,
		MaxDeclines: m.MaxDeclines, Brittle: m.Brittle, InvalidBrittle: m.InvalidBrittle,
	}
	if a.resp.StatusCode() == http.StatusServiceUnavailable {
		notice.Pause, notice.InvalidPause = m.RetryAfter, m.InvalidRetryAfter
	}
	if a.dispatch.AwaitsNotice || notice != (director.EndpointNoticed{ID: a.call.id}) {
		a.leaving = m.Leaving
		a.call.f.Post(notice)
	}
}

func (a *attempt) readBody() error {
	if a.withoutBody() {
		return nil
	}
	a.hold(budgeter.Response)
	a.resp.StreamBody = true
	if err := a.resp.ReadBody(a.conn.br, 0); err != nil {
		return err
	}
	body, err := budgeter.ReadAll(a.resp.BodyStream(), a.resp.Header.ContentLength(), maxResponseBytes, a.holding)
	if err = errors.Join(err, a.resp.CloseBodyStream()); err != nil {
		return err
	}
	a.resp.SetBodyRaw(body)
	a.resp.Header.SetContentLength(len(body))

	return nil
}

// hold begins to account for memory of the response.
func (a *attempt) hold(content budgeter.Content) {
	a.holding.Release()
	conn := a.conn
	a.holding = a.call.f.budget.Hold(content, func() { _ = conn.Close() })
	a.call.attemptHolding = a.holding
}

// releaseConn returns the connection to the pool after a complete response, or
// closes it if the endpoint asked for that.
func (a *attempt) releaseConn() {
	a.call.setEndpointConn(nil)
	if a.partlySent || a.resp.Header.ConnectionClose() || a.leaving {
		_ = a.conn.Close()
	} else {
		a.conn.reused = true
		a.pool.put(a.dispatch.Address, a.conn, time.Now(), &a.resp.Header, a.dispatch.MaxIdle)
	}
	a.conn = nil
}

// beginStream reads the first events of a stream. A stream that resumes a
// response has the content type of the response and begins with the event that
// follows the last one. That the response was already complete cannot be known,
// so a stream without events does not resume it.
func (a *attempt) beginStream() director.Result {
	order := a.call.order
	if a.dispatch.Resume {
		if mediaType(&a.resp.Header) != a.call.mediaType {
			return a.failureResult(errNotStream)
		}
		order = order.resumed()
	}
	a.resp.StreamBody = true
	if err := a.resp.ReadBody(a.conn.br, 0); err != nil {
		return a.failureResult(err)
	}
	a.hold(budgeter.Event)
	stream := &eventReader{r: a.resp.BodyStream(), order: order, holding: a.holding}
	events, err := stream.next()
	if err != nil {
		return a.failureResult(err)
	}
	a.patience = 0
	if a.dispatch.Route.Resumable && a.handover == nil {
		a.patience = max(a.call.f.streamIdleTimeout, idlePauses*a.dispatch.Route.MaxPause)
	}
	if a.call.f.opts.Clock().After(a.dispatch.Deadline) || a.extendDeadline() != nil {
		return director.TimedOut
	}
	a.stream, a.firstEvents, a.lastRead = stream, events, time.Now()
	a.call.f.Post(director.ResponseStarted{ID: a.call.id, Wait: time.Since(a.start)})

	return director.Answered
}
