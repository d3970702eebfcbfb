package soaker

import (
	"io"
	"net"
	"net/netip"
	"sync"
	"time"
)

// Mode is the fault that a proxy injects into its connections.
type Mode int

// The modes.
const (
	// Pass forwards all data.
	Pass Mode = iota
	// Stall stops forwarding data in both directions, and keeps connections open.
	Stall
	// StallResponses stops forwarding only the data that the target sends.
	StallResponses
	// Reset closes open and new connections.
	Reset
	// Slow delays each chunk of data by slowDelay.
	Slow
)

// slowDelay is the delay in mode Slow.
const slowDelay = 60 * time.Millisecond

// Proxy is a TCP proxy that injects network faults.
type Proxy struct {
	ln net.Listener

	mu     sync.Mutex
	target netip.AddrPort
	mode   Mode
	// changed is closed and replaced when the mode changes.
	changed chan struct{}
	conns   map[net.Conn]bool
	// silent holds the connections of clients that are silent for good.
	silent map[net.Conn]bool
}

// NewProxy starts a proxy to target on a free port of the loopback address.
func NewProxy(target netip.AddrPort) (*Proxy, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Proxy{ln: ln, target: target, changed: make(chan struct{}), conns: map[net.Conn]bool{}, silent: map[net.Conn]bool{}}
	go p.accept()

	return p, nil
}

// Addr returns the address that the proxy listens on.
func (p *Proxy) Addr() netip.AddrPort { return p.ln.Addr().(*net.TCPAddr).AddrPort() }

// SetMode changes the mode of open and new connections.
func (p *Proxy) SetMode(mode Mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = mode
	close(p.changed)
	p.changed = make(chan struct{})
	if mode == Reset {
		for c := range p.conns {
			_ = c.Close()
		}
	}
}

// Silence drops all further data on the open connections, without closing them. New ones
// are not affected.
func (p *Proxy) Silence() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		p.silent[c] = true
	}
}

// isSilent reports whether data on a client's connection is dropped.
func (p *Proxy) isSilent(c net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()

	return p.silent[c]
}

// Close stops listening and closes all connections.
func (p *Proxy) Close() {
	_ = p.ln.Close()
	p.SetMode(Reset)
}

// currentMode returns the mode and a channel that is closed when it changes.
func (p *Proxy) currentMode() (Mode, chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()

	return p.mode, p.changed
}

func (p *Proxy) accept() {
	for {
		conn, err := p.ln.Accept()
		if err != nil {
			return
		}
		go p.serve(conn)
	}
}

func (p *Proxy) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	if mode, _ := p.currentMode(); mode == Reset {
		return
	}
	upstream, err := net.DialTimeout("tcp", p.target.String(), time.Second)
	if err != nil {
		return
	}
	defer func() { _ = upstream.Close() }()
	p.track(conn, upstream, true)
	defer p.track(conn, upstream, false)
	done := make(chan struct{}, 2)
	go p.relay(conn, upstream, conn, true, done)
	go p.relay(conn, conn, upstream, false, done)
	<-done
}

// track adds the connections to those that mode Reset closes, or removes them.
func (p *Proxy) track(a, b net.Conn, open bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if open {
		p.conns[a], p.conns[b] = true, true
	} else {
		delete(p.conns, a)
		delete(p.conns, b)
		delete(p.silent, a)
		delete(p.silent, b)
	}
}

// relay copies data of a client's connection in one direction as the mode permits, and
// sends to done when it returns. fromClient reports whether the data comes from the client.
func (p *Proxy) relay(client net.Conn, to io.Writer, from io.Reader, fromClient bool, done chan<- struct{}) {
	defer func() { done <- struct{}{} }()
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		for {
			mode, changed := p.currentMode()
			if mode == Stall || mode == StallResponses && !fromClient {
				<-changed

				continue
			}
			if mode == Slow {
				time.Sleep(slowDelay)
			}

			break
		}
		if n > 0 && !p.isSilent(client) {
			if _, err := to.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
