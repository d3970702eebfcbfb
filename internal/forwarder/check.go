package forwarder

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"sync"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"

	"snipedyke/internal/director"
	"snipedyke/internal/dispatcher"
	"snipedyke/internal/guarder"
)

const (
	// checkDelay is the time after an attempt was cut off in which the host of an
	// endpoint that has ended usually closes its listening socket, too.
	checkDelay = 10 * time.Millisecond
	// bodyEndTime and streamEndTime are the additional time in which a host may end the
	// connections of a process that has ended: the kernel closes its sockets one after
	// another. Bodies are held back meanwhile, but of streams only the end.
	bodyEndTime   = 30 * time.Millisecond
	streamEndTime = 100 * time.Millisecond
	// endPollInterval is the time between two looks at connections that may end.
	endPollInterval = 5 * time.Millisecond
	// witnessDialTimeout limits the time in which a witness is connected, as the response
	// waits for it. witnessMargin is how long before the end of the response the endpoint
	// must have ended its witness for that to say nothing.
	witnessDialTimeout = 20 * time.Millisecond
	witnessMargin      = 50 * time.Millisecond
)

// witness is a connection that is open beside a response that ends with its connection. It
// outlasts the response unless the process of the endpoint has ended, even if another
// process has taken its address by then.
type witness struct {
	// dialed is closed when the connection is open or could not be opened.
	dialed chan struct{}
	// done is closed when the connection is no longer watched. endedAt is then the time at
	// which the peer has ended it, or zero.
	done    chan struct{}
	endedAt time.Time
	// timely reports whether the connection was opened before the response ended. It is
	// set before dialed is closed. A later one may be to another process.
	timely bool

	mu sync.Mutex
	// conn is nil until the connection is open. closed reports whether it is no longer
	// needed.
	conn   *endpointConn
	closed bool
}

// openWitness connects to the endpoint of a response that ends with its connection. There is
// no witness if the response has arrived whole. The response waits for the connection for
// witnessDialTimeout at most; a busy host opens it later.
func (a *attempt) openWitness() {
	if !a.endsWithConn() || a.leaving || dispatcher.ConnEnded(a.conn.Conn) {
		return
	}
	w := &witness{dialed: make(chan struct{}), done: make(chan struct{})}
	a.witness = w
	go w.run(a.call.f, a.dispatch.Address, a.conn.Conn, time.Now().Add(witnessDialTimeout))
	select {
	case <-w.dialed:
	case <-time.After(witnessDialTimeout):
	}
}

// run opens the connection and watches it. One that is opened by the given time, or while the
// connection of the response is open, is timely.
func (w *witness) run(f *Forwarder, address netip.AddrPort, response net.Conn, by time.Time) {
	defer close(w.done)
	open := false
	guarder.Run(f.opts.Logger, "check of an endpoint", func() {
		defer close(w.dialed)
		conn, err := f.pool.connect(address)
		if err != nil {
			return
		}
		w.timely = time.Now().Before(by) || !dispatcher.ConnEnded(response)
		w.mu.Lock()
		defer w.mu.Unlock()
		if open = !w.closed; open {
			w.conn = conn
		} else {
			_ = conn.Close()
		}
	})
	if open {
		w.watch(f.opts.Logger)
	}
}

// close ends the watch and closes the connection.
func (w *witness) close() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.closed = true
	if w.conn != nil {
		_ = w.conn.Close()
	}
}

// watch records when the peer ends the connection, until the read deadline of the connection.
func (w *witness) watch(logger Logger) {
	guarder.Run(logger, "check of an endpoint", func() {
		if w.conn.ends() {
			w.endedAt = time.Now()
		}
	})
}

// closeWitness ends the watch of the witness if there is one.
func (a *attempt) closeWitness() {
	if a.witness != nil {
		a.witness.close()
		a.witness = nil
	}
}

// outlasts reports whether the witness is open for endTime after the end of the response at
// the given time, and whether that is known. It keeps an open one as an idle connection.
func (a *attempt) outlasts(ctx context.Context, end time.Time, endTime time.Duration) (outlasts, known bool) {
	w := a.witness
	if w == nil {
		return false, false
	}
	a.witness = nil
	wait, cancel := context.WithTimeout(ctx, endTime)
	defer cancel()
	select {
	case <-w.dialed:
	case <-wait.Done():
	}
	w.mu.Lock()
	conn := w.conn
	w.closed = conn == nil
	w.mu.Unlock()
	if conn == nil {
		return false, false
	}
	select {
	case <-w.done:
	case <-wait.Done():
	}
	_ = conn.SetReadDeadline(expiredDeadline)
	<-w.done
	if ctx.Err() != nil || !w.endedAt.IsZero() {
		_ = conn.Close()

		return false, ctx.Err() == nil && end.Sub(w.endedAt) < witnessMargin
	}
	a.call.f.pool.put(a.dispatch.Address, conn, time.Now(), &fasthttp.ResponseHeader{}, a.dispatch.MaxIdle)

	return true, w.timely
}

// closerFunc is a function that implements io.Closer.
type closerFunc func()

// Close implements io.Closer.
func (f closerFunc) Close() error {
	f()

	return nil
}

// checkHost finds out whether the endpoint of a response that has ended with its connection
// has ended, too. The kernel ends the connections of a process that has crashed as if it had
// closed them.
func (a *attempt) checkHost(endTime time.Duration) {
	now := time.Now()
	a.finished.Took = now.Sub(a.start)
	defer a.closeWitness()
	if a.finished.Framing != director.FramedByConnection || a.leaving {
		return
	}
	end := a.end
	if a.lateEnd.After(end) {
		end = a.lateEnd
	}
	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	if !a.call.setEndpointConn(closerFunc(cancel)) {
		return
	}
	defer a.call.setEndpointConn(nil)
	if outlasts, known := a.outlasts(ctx, now, endTime); known {
		a.finished.HostRefused = !outlasts && a.call.f.pool.disconnectedBy(ctx, a.dispatch.Address, now, now.Add(endTime))

		return
	}
	select {
	case <-ctx.Done():
	case <-time.After(checkDelay):
		a.finished.HostRefused = a.call.f.refused(ctx, a.dispatch.Address, a.dispatch.MaxIdle, now, endTime)
	}
}

// checkEndpoint connects to an endpoint and reports the result to the director.
func (f *Forwarder) checkEndpoint(check director.CheckEndpoint) {
	refused := false
	guarder.Run(f.opts.Logger, "check of an endpoint", func() {
		refused = f.refused(context.Background(), check.Address, check.MaxIdle, time.Now(), f.streamEndTime)
	})
	f.Post(director.EndpointChecked{Endpoint: check.Endpoint, Address: check.Address, Refused: refused})
}

// refused connects to an address and reports whether the host refuses the connection, or ends
// it within endTime, and has ended all others by then that were opened before the given time.
// An endpoint may refuse new connections without having ended. A connection that remains established is kept as an idle one. There is
// no verdict if ctx is done before.
func (f *Forwarder) refused(ctx context.Context, address netip.AddrPort, maxIdle int, opened time.Time, endTime time.Duration) bool {
	conn, err := f.pool.connectOnce(ctx, address)
	if err != nil && !errors.Is(err, syscall.ECONNREFUSED) && !errors.Is(err, syscall.ECONNRESET) {
		return false
	}
	until := time.Now().Add(endTime)
	if err == nil {
		stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
		ended := conn.endsBy(until)
		if !stop() {
			return false
		}
		if !ended {
			f.pool.put(address, conn, time.Now(), &fasthttp.ResponseHeader{}, maxIdle)

			return false
		}
		_ = conn.Close()
	}

	return f.pool.disconnectedBy(ctx, address, opened, until)
}

// endsBy reports whether the peer ends an idle connection by the given time. One that sends
// data is alive.
func (c *endpointConn) endsBy(until time.Time) bool {
	return c.SetReadDeadline(until) == nil && c.ends()
}

// ends is like endsBy with the read deadline of the connection.
func (c *endpointConn) ends() bool {
	raw := dispatcher.RawConn(c.Conn)
	if raw == nil {
		return false
	}
	_ = raw.Read(func(fd uintptr) bool { return dispatcher.PeekSocket(fd) != dispatcher.SocketIdle })

	return socketState(c.Conn) == dispatcher.SocketClosed
}

// disconnectedBy reports whether all connections to an address that were opened before a
// given time have ended by the time until.
func (p *pool) disconnectedBy(ctx context.Context, address netip.AddrPort, opened, until time.Time) bool {
	for p.connected(address, opened) {
		if !time.Now().Before(until) {
			return false
		}
		select {
		case <-ctx.Done():
			return false
		case <-time.After(endPollInterval):
		}
	}

	return true
}
