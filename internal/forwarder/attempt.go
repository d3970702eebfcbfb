package forwarder

import (
	"bufio"
	"errors"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"snipedyke/internal/budgeter"
	"snipedyke/internal/director"
	"snipedyke/internal/dispatcher"
	"snipedyke/internal/router"
)

const (
	// maxResponseBytes is the maximum size of a response body, except for
	// streams.
	maxResponseBytes = 16 << 20
	// maxStaleResponses is the maximum number of responses to earlier requests
	// that are skipped on a connection.
	maxStaleResponses = 2
	// maxInterimResponses is the maximum number of interim responses (1xx) that
	// are skipped before a response.
	maxInterimResponses = 8
	// responseMargin is the additional time that a response is awaited after
	// the deadline sent to the endpoint.
	responseMargin = 100 * time.Millisecond
	// lateReadTimeout is the time in which data that has arrived by the end of an
	// attempt is read.
	lateReadTimeout = 100 * time.Millisecond
	// earlyReadTimeout is the time in which a response is read that has arrived
	// before the request was written.
	earlyReadTimeout = 100 * time.Millisecond
	// streamIdleTimeout is the least time without an event after which a resumable
	// stream is resumed at another endpoint if one can take over. idlePauses is that
	// time in pauses that the route still counts as on time.
	streamIdleTimeout = 1200 * time.Millisecond
	idlePauses        = 2
)

// identityLength is the ContentLength of a response whose body ends with its
// connection, and chunkedLength that of one that ends with its last chunk.
const (
	chunkedLength  = -1
	identityLength = -2
)

// The reasons for which a response is not accepted.
var (
	errRequestMismatch = errors.New("response may belong to another request")
	errUnsealed        = errors.New("response has no seal of the endpoint")
	errContentEncoded  = errors.New("response has a content encoding")
	errTooManyInterim  = errors.New("too many interim responses")
	errSwitched        = errors.New("response switches to another protocol")
	errNotStream       = errors.New("response does not resume the stream")
	errPartlySent      = errors.New("response to a part of the request")
)

// writerPool holds buffers for writing requests.
var writerPool = sync.Pool{New: func() any { return bufio.NewWriterSize(nil, 4<<10) }}

// attempt is one attempt to have a request answered by an endpoint.
type attempt struct {
	call     *call
	dispatch director.Dispatch
	// pool holds the connections to endpoints, or to nodes if handover is not nil. The
	// endpoint of dispatch is then the other node.
	pool     *pool
	handover *director.HandOver
	start    time.Time
	conn     *endpointConn
	resp     *fasthttp.Response
	finished director.AttemptFinished
	// end is the time by which the response must be complete. patience is the time
	// without data after which the director decides whether the attempt goes on, or
	// zero if it goes on until the end.
	end      time.Time
	patience time.Duration
	// lateEnd is the end of the additional time for reading data that had arrived
	// by end, or zero if there was none.
	lateEnd time.Time
	// givenUp reports whether the director has given up the attempt.
	givenUp bool
	// partlySent reports whether the write of the request has failed. The end of
	// the connection then does not end a response.
	partlySent bool
	// persistence is what the last response head said about the connection.
	persistence persistence
	// leaving reports whether the endpoint has said that it shuts down.
	leaving bool
	// witness is open beside a response that ends with its connection, or nil.
	witness *witness

	// stream reads the events of a streamed response, or is nil.
	stream *eventReader
	// firstEvents holds the first events of the stream.
	firstEvents []byte
	// holding accounts for the memory of the response, or of the events of a stream. It
	// is nil before that is read.
	holding *budgeter.Holding
	// lastRead is the time at which events were last read, or the start of the
	// attempt.
	lastRead time.Time
}

// attempt sends the request to an endpoint and reads the response, or the first
// events of a streamed response.
func (c *call) attempt(d director.Dispatch) *attempt {
	now := time.Now()

	return (&attempt{call: c, dispatch: d, pool: c.f.pool, start: now, lastRead: now}).run()
}

// run makes the attempt and returns it.
func (a *attempt) run() *attempt {
	a.finished.ID = a.call.id
	a.finished.Result = a.do()
	if a.stream == nil {
		a.close()
	}

	return a
}

// close finishes the attempt. It closes the connection unless it was returned to
// the pool.
func (a *attempt) close() {
	if a.finished.Took == 0 {
		a.finished.Took = time.Since(a.start)
	}
	if a.conn != nil {
		a.call.setEndpointConn(nil)
		_ = a.conn.Close()
		a.conn = nil
	}
	a.closeWitness()
	a.holding.Release()
	if a.resp != nil {
		_ = a.resp.CloseBodyStream()
		fasthttp.ReleaseResponse(a.resp)
		a.resp = nil
	}
	if r := a.finished.Result; (r == director.Broken || r == director.TimedOut) && a.call.wasCancelled() {
		a.finished.Result = director.Cancelled
	}
	if r := a.finished.Result; a.handover != nil && (r == director.Broken || r == director.Unreached) {
		// If the node has ended, its other connections fail, too.
		a.pool.closeIdle(a.dispatch.Address)
	}
}

// failureResult returns the result for an error that occurred after the write
// began, and records the error as the cause.
func (a *attempt) failureResult(err error) director.Result {
	if a.holding.Cut() {
		// The connection was closed for that.
		err = budgeter.ErrExhausted
	}
	a.finished.Cause = err.Error()
	if a.givenUp || isTimeout(err) || errors.Is(err, fasthttp.ErrTimeout) {
		return director.TimedOut
	}

	return director.Broken
}

func (a *attempt) do() director.Result {
	idle := time.Hour
	if !a.dispatch.Route.Repeatable() {
		idle = maxIdleUnrepeatable
	}
	conn, err := a.pool.get(a.dispatch.Address, a.start, idle)
	if err != nil {
		a.finished.Cause = err.Error()

		return director.Unreached
	}
	a.conn = conn
	a.finished.Connected = a.handover == nil && conn.lastUsed.IsZero()
	now := a.call.f.opts.Clock()
	left := a.dispatch.Deadline.Sub(now)
	if !a.call.setEndpointConn(conn) || left <= 0 {
		return director.Unsent
	}
	if !a.dispatch.SendBy.IsZero() && now.After(a.dispatch.SendBy) {
		// The connection is ready for the next attempt, which need not wait for one.
		a.call.setEndpointConn(nil)
		a.pool.put(a.dispatch.Address, conn, time.Now(), &fasthttp.ResponseHeader{}, a.dispatch.MaxIdle)
		a.conn = nil

		return director.Unsent
	}
	a.end = time.Now().Add(left + a.margin())
	if !a.dispatch.FirstByteDeadline.IsZero() {
		a.patience = max(left-a.dispatch.Deadline.Sub(a.dispatch.FirstByteDeadline), 0) + responseMargin
	}
	conn.onTimeout = a.continueAfterTimeout
	if a.extendDeadline() != nil {
		return director.Unsent
	}
	write := a.write
	if a.handover != nil {
		write = a.writeHandover
	}
	if err := write(left); err != nil {
		return a.readEarly(err)
	}

	return a.read()
}

// readEarly reads the response of an endpoint that has answered a request before
// it was written. Any other result than a refusal or a complete response is that
// of the failed write. The connection is not reused, as the endpoint may still
// wait for the rest of the request.
func (a *attempt) readEarly(err error) director.Result {
	result := a.failureResult(err)
	if a.givenUp || socketState(a.conn.Conn) != dispatcher.SocketReadable {
		return result
	}
	cause := a.finished.Cause
	a.partlySent, a.patience, a.end = true, 0, time.Now().Add(earlyReadTimeout)
	if a.extendDeadline() != nil {
		return result
	}
	switch early := a.read(); early {
	case director.Answered, director.Declined, director.Misdirected, director.Refused:
		return early
	default:
		a.finished.Cause = cause

		return result
	}
}

// extendDeadline sets the deadline of the connection for the next data.
func (a *attempt) extendDeadline() error {
	deadline := a.end
	if a.patience > 0 {
		if next := time.Now().Add(a.patience); next.Before(deadline) {
			deadline = next
		}
	}

	return a.conn.SetDeadline(deadline)
}

// continueAfterTimeout reports whether the attempt goes on after a read or write
// has timed out, and extends the deadline if it does. An endpoint whose data has
// arrived is not silent.
func (a *attempt) continueAfterTimeout(arrived bool) bool {
	now := time.Now()
	switch {
	case !now.Before(a.end):
		if a.lateEnd.IsZero() {
			a.lateEnd = now.Add(lateReadTimeout)
		}

		return arrived && now.Before(a.lateEnd) && a.conn.SetDeadline(a.lateEnd) == nil
	case arrived:
		return a.extendDeadline() == nil
	case a.patience == 0:
		return false
	}
	// Post carries out GiveUp before it returns.
	a.call.f.Post(director.AttemptStalled{ID: a.call.id, Silent: time.Since(a.lastRead), Relayed: a.stream != nil})
	a.givenUp = a.call.takeGiveUp()

	return !a.givenUp && a.extendDeadline() == nil
}

// write sends the request to the endpoint.
func (a *attempt) write(left time.Duration) error {
	req := a.call.req
	a.call.f.opts.Protocol.SetHeaders(&req.Header, EndpointMetadata{
		Instance: a.dispatch.Endpoint, Account: a.dispatch.Account, Urgency: a.dispatch.Urgency,
		Engine: a.dispatch.Route.Kind == router.Stream, TimeRemaining: left, LastEventID: string(a.call.lastEventID),
		CacheAddress: a.dispatch.CacheHolder,
	})

	return a.send(req)
}

// send writes a request to the connection.
func (a *attempt) send(req *fasthttp.Request) error {
	bw := writerPool.Get().(*bufio.Writer)
	bw.Reset(a.conn)
	defer func() {
		bw.Reset(nil)
		writerPool.Put(bw)
	}()
	if err := req.Write(bw); err != nil {
		return err
	}

	return bw.Flush()
}
