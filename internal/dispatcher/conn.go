package dispatcher

import (
	"bufio"
	"errors"
	"net"
	"os"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"snipedyke/pkg/cataloguer"
)

// endpointConn is a connection to an endpoint with a read buffer.
type endpointConn struct {
	conn net.Conn
	br   *bufio.Reader
	// onRelease returns the connection to its pool if keep is true, and closes
	// it otherwise.
	onRelease func(keep bool)
	// timedOut reports whether a read or write exceeded its deadline, and broken
	// whether one failed for another reason. They are recorded here because
	// fasthttp does not always return the underlying error.
	timedOut, broken bool
}

// Read implements io.Reader. It is the source of br.
func (c *endpointConn) Read(p []byte) (int, error) {
	n, err := c.conn.Read(p)
	c.recordError(err)

	return n, err
}

// Write implements io.Writer. It is the destination of write.
func (c *endpointConn) Write(p []byte) (int, error) {
	n, err := c.conn.Write(p)
	c.recordError(err)

	return n, err
}

func (c *endpointConn) recordError(err error) {
	switch {
	case err == nil:
	case errors.Is(err, os.ErrDeadlineExceeded):
		c.timedOut = true
	default:
		c.broken = true
	}
}

// readerPool and writerPool hold buffers for connections. All read buffers have
// the same size, since a process has only one dispatcher.
var (
	readerPool sync.Pool
	writerPool = sync.Pool{New: func() any { return bufio.NewWriterSize(nil, 4<<10) }}
)

// connect returns a connection for one dispatch. If fresh is true, the connection
// is new and closed after use; otherwise it may come from the pool.
func (d *Dispatcher) connect(endpoint *cataloguer.Endpoint, fresh bool) (*endpointConn, error) {
	if fresh {
		conn, err := d.dial(endpoint.Address)
		if err != nil {
			return nil, err
		}

		return d.newEndpointConn(conn, func(bool) { _ = conn.Close() }), nil
	}
	client := d.client(endpoint.Address)
	for {
		cc, err := client.AcquireConn(0, false)
		if err != nil {
			return nil, err
		}
		// An expired deadline would prevent reading the state of the connection.
		_ = cc.Conn().SetDeadline(time.Time{})
		// On a pooled connection that the endpoint has closed, this request
		// would appear to have crashed the endpoint, and bytes that arrived
		// late would be read as its response.
		if ConnState(cc.Conn()) != SocketIdle {
			client.CloseConn(cc)

			continue
		}

		return d.newEndpointConn(cc.Conn(), func(keep bool) {
			if keep {
				client.ReleaseConn(cc)
			} else {
				client.CloseConn(cc)
			}
		}), nil
	}
}

func (d *Dispatcher) newEndpointConn(conn net.Conn, onRelease func(keep bool)) *endpointConn {
	br, ok := readerPool.Get().(*bufio.Reader)
	if !ok {
		br = bufio.NewReaderSize(nil, d.opts.MaxHeaderBytes)
	}
	c := &endpointConn{conn: conn, br: br, onRelease: onRelease}
	br.Reset(c)

	return c
}

// write writes a request and flushes it.
func (c *endpointConn) write(req *fasthttp.Request) error {
	bw := writerPool.Get().(*bufio.Writer)
	bw.Reset(c)
	defer func() {
		bw.Reset(nil)
		writerPool.Put(bw)
	}()
	if err := req.Write(bw); err != nil {
		return err
	}

	return bw.Flush()
}

// release returns the buffer and releases the connection, which is kept only if
// no unread data is buffered.
func (c *endpointConn) release(keep bool) {
	c.onRelease(keep && c.br.Buffered() == 0)
	c.br.Reset(nil)
	readerPool.Put(c.br)
}
