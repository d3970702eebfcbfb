package forwarder

import (
	"context"
	"errors"
	"net/netip"
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
)

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
	a.finished.Took = time.Since(a.start)
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
	select {
	case <-ctx.Done():
	case <-time.After(checkDelay):
		a.finished.HostRefused = a.call.f.refused(ctx, a.dispatch.Address, a.dispatch.MaxIdle, endTime)
	}
}

// checkEndpoint connects to an endpoint and reports the result to the director.
func (f *Forwarder) checkEndpoint(check director.CheckEndpoint) {
	refused := false
	guarder.Run(f.opts.Logger, "check of an endpoint", func() {
		refused = f.refused(context.Background(), check.Address, check.MaxIdle, f.streamEndTime)
	})
	f.Post(director.EndpointChecked{Endpoint: check.Endpoint, Address: check.Address, Refused: refused})
}

// refused connects to an address and reports whether the host refuses the connection, or ends
// it within endTime, and has ended all others by then. An endpoint may refuse new connections
// without having ended. A connection that remains established is kept as an idle one. There is
// no verdict if ctx is done before.
func (f *Forwarder) refused(ctx context.Context, address netip.AddrPort, maxIdle int, endTime time.Duration) bool {
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

	return f.pool.disconnectedBy(ctx, address, until)
}

// endsBy reports whether the peer ends an idle connection by the given time. One that sends
// data is alive.
func (c *endpointConn) endsBy(until time.Time) bool {
	raw := dispatcher.RawConn(c.Conn)
	if raw == nil || c.SetReadDeadline(until) != nil {
		return false
	}
	_ = raw.Read(func(fd uintptr) bool { return dispatcher.PeekSocket(fd) != dispatcher.SocketIdle })

	return socketState(c.Conn) == dispatcher.SocketClosed
}

// disconnectedBy reports whether no connection to an address is open at the given time or
// before.
func (p *pool) disconnectedBy(ctx context.Context, address netip.AddrPort, until time.Time) bool {
	for p.connected(address) {
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
