package forwarder

import (
	"net"
	"net/netip"

	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"

	"snipedyke/internal/acceptor"
	"snipedyke/internal/director"
	"snipedyke/internal/guarder"
)

const (
	// nodeFraction is the divisor of the limit of connections from callers that gives that of
	// connections from other nodes, and idleNodeFraction that of the limit of idle
	// connections to endpoints that gives that of idle ones to other nodes.
	nodeFraction     = 4
	idleNodeFraction = 8
	// minNodeConnections is the least limit of connections from other nodes.
	minNodeConnections = 32
	// maxIdleToNode is the maximum number of idle connections to another node.
	maxIdleToNode = 16
	// handoverBytes is the maximum size of what nodes add to the heads of requests and
	// responses.
	handoverBytes = 1 << 10
	// nodeIdleTimeout limits the time between two requests on a connection from another node,
	// which reuses it for less.
	nodeIdleTimeout = 2 * defaultKeepAlive
)

// nodeServer serves the requests that other nodes hand over. The listener is nil if none
// are taken.
type nodeServer struct {
	listener *listener
	server   *fasthttp.Server
	// served is closed when the server accepts no more connections.
	served chan struct{}
}

// newNodePool returns a pool for connections to other nodes. The argument is the limit of idle
// connections to endpoints.
func newNodePool(maxTotal int) *pool {
	p := newPool(maxTotal / idleNodeFraction)
	p.bufferBytes += handoverBytes

	return p
}

// listenForNodes opens the listener for other nodes if there is an address for it.
func (f *Forwarder) listenForNodes() error {
	f.nodes.served = make(chan struct{})
	if !f.opts.Nodes.IsValid() {
		return nil
	}
	ln, err := net.Listen("tcp", f.opts.Nodes.String())
	if err != nil {
		return &Error{Op: "listen for nodes", Kind: KindListen, Err: err}
	}
	limit := max(f.opts.MaxConnections/nodeFraction, minNodeConnections)
	f.nodes.listener = &listener{
		Listener: acceptor.New(ln, "nodes", f.opts.Logger), conns: map[*callerConn]struct{}{}, nodes: true, limit: limit,
	}
	// The HTTP server closes connections beyond its own limit with an error that does not
	// tell the node that its request has not run.
	f.nodes.server = f.newServer(2 * limit)
	f.nodes.server.IdleTimeout, f.nodes.server.ReadBufferSize = nodeIdleTimeout, f.opts.MaxHeaderBytes+handoverBytes

	return nil
}

// serve serves requests until the listener is closed.
func (n *nodeServer) serve() {
	defer close(n.served)
	if n.listener != nil {
		_ = n.server.Serve(n.listener)
	}
}

func (n *nodeServer) stop() {
	if n.listener != nil {
		n.listener.stop()
	}
}

func (n *nodeServer) closeIdle() int {
	if n.listener == nil {
		return 0
	}

	return n.listener.closeIdle()
}

func (n *nodeServer) close() {
	if n.listener != nil {
		_ = n.listener.Close()
	}
}

// NodeAddr returns the address on which the forwarder listens for other nodes, or an invalid
// one if it does not.
func (f *Forwarder) NodeAddr() netip.AddrPort {
	if f.nodes.listener == nil {
		return netip.AddrPort{}
	}

	return f.nodes.listener.Addr().(*net.TCPAddr).AddrPort()
}

// checkLinks connects to endpoints and reports the result to the director.
func (f *Forwarder) checkLinks(check director.CheckLinks) {
	reached := make([]bool, len(check.Addresses))
	var wg conc.WaitGroup
	for i, address := range check.Addresses {
		wg.Go(func() {
			guarder.Run(f.opts.Logger, "check of the links to endpoints", func() {
				conn, err := f.pool.dial(address)
				if err != nil {
					return
				}
				reached[i] = true
				_ = conn.Close()
			})
		})
	}
	wg.Wait()
	var result director.LinksChecked
	for i, address := range check.Addresses {
		if reached[i] {
			result.Reached = append(result.Reached, address)
		}
	}
	f.Post(result)
}
