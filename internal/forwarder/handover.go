package forwarder

import (
	"net/http"
	"time"

	"github.com/valyala/fasthttp"

	"snipedyke/internal/director"
	"snipedyke/internal/router"
)

// handOver sends the request to another node and reads the response, or the first events of
// a streamed response.
func (c *call) handOver(h director.HandOver) *attempt {
	now := time.Now()

	return (&attempt{
		call: c, pool: c.f.nodePool, handover: &h, start: now, lastRead: now,
		dispatch: director.Dispatch{ID: h.ID, Address: h.Node, Route: h.Route, Deadline: h.Deadline, Resume: h.Resume, MaxIdle: maxIdleToNode},
	}).run()
}

// margin returns the additional time that the response is awaited. Another node needs that of
// its endpoint, and some to answer.
func (a *attempt) margin() time.Duration {
	if a.handover != nil {
		return 2 * responseMargin
	}

	return responseMargin
}

// writeHandover sends the request to another node as the caller has sent it. The fields set
// there do not apply to later attempts, so they are set in a copy of the header.
func (a *attempt) writeHandover(left time.Duration) error {
	c := a.call
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	c.req.Header.CopyTo(&req.Header)
	req.SetBodyRaw(c.req.Body())
	m := HandoverMetadata{
		Handover: Handover{Attempts: a.handover.Attempts, Counted: a.handover.Counted},
		APIKey:   c.apiKey, TimeRemaining: left, LastEventID: string(c.lastEventID),
	}
	if m.LastEventID != "" && !c.continues {
		m.Resumes = c.attemptID
	}
	c.f.opts.Protocol.RemoveReserved(&req.Header)
	c.f.opts.Protocol.SetHandover(&req.Header, m)

	return a.send(req)
}

// handleNodeResponse validates the response header of another node and reads the body, or the
// first events of a stream.
func (a *attempt) handleNodeResponse(m ResponseMetadata) director.Result {
	h := &a.resp.Header
	a.finished.Status, a.finished.Framing = h.StatusCode(), a.framing()
	switch {
	case a.endsWithConn():
		return a.failureResult(errNoFrame)
	case m.Refused != "":
		return a.readRefusal(m)
	case m.AttemptID != a.call.attemptID:
		return a.failureResult(errRequestMismatch)
	case a.partlySent && a.dispatch.Route.Kind == router.Stream && h.StatusCode() == http.StatusOK:
		return a.failureResult(errPartlySent)
	}

	return a.accept()
}

// readRefusal returns the result for an error of another node. It reads the body so that the
// connection can be reused.
func (a *attempt) readRefusal(m ResponseMetadata) director.Result {
	a.finished.Reason, a.finished.RetryAfter = director.Reason(m.Refused), m.RetryAfter
	if a.call.req.Header.IsHead() {
		a.resp.SkipBody = true
	} else if a.readBody() != nil {
		return director.Refused
	}
	a.releaseConn()

	return director.Refused
}
