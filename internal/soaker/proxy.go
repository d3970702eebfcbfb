package soaker

import (
	"io"
	"net"
	"net/netip"
	"sync"
	"time"
)

// Mode is what a proxy does to connections.
type Mode int

// The modes.
const (
	// Pass lets everything through.
	Pass Mode = iota
	// Silent lets nothing through and closes nothing.
	Silent
	// OneWay lets through only what callers send.
	OneWay
	// Reset closes connections.
	Reset
	// Slow delays what passes.
	Slow
)

// slowness is the delay of a proxy in mode Slow.
const slowness = 60 * time.Millisecond

// Proxy passes connections on to an address and spoils them.
type Proxy struct {
	ln net.Listener

	mu     sync.Mutex
	target netip.AddrPort
	mode   Mode
	// changed is closed when the mode changes.
	changed chan struct{}
	conns   map[net.Conn]bool
}

// NewProxy returns a proxy on a free port in front of target.
func NewProxy(target netip.AddrPort) (*Proxy, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Proxy{ln: ln, target: target, changed: make(chan struct{}), conns: map[net.Conn]bool{}}
	go p.accept()

	return p, nil
}

// Addr returns the address of the proxy.
func (p *Proxy) Addr() netip.AddrPort { return p.ln.Addr().(*net.TCPAddr).AddrPort() }

// Set changes the mode. Mode Reset closes the open connections, too.
func (p *Proxy) Set(mode Mode) {
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

// Close ends the proxy and its connections.
func (p *Proxy) Close() {
	_ = p.ln.Close()
	p.Set(Reset)
}

func (p *Proxy) state() (Mode, chan struct{}) {
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
	if mode, _ := p.state(); mode == Reset {
		return
	}
	back, err := net.DialTimeout("tcp", p.target.String(), time.Second)
	if err != nil {
		return
	}
	defer func() { _ = back.Close() }()
	p.track(conn, back, true)
	defer p.track(conn, back, false)
	done := make(chan struct{}, 2)
	go p.copy(back, conn, true, done)
	go p.copy(conn, back, false, done)
	<-done
}

func (p *Proxy) track(a, b net.Conn, open bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if open {
		p.conns[a], p.conns[b] = true, true
	} else {
		delete(p.conns, a)
		delete(p.conns, b)
	}
}

// copy passes bytes on as the mode allows. forward tells that they come from
// the caller.
func (p *Proxy) copy(to io.Writer, from io.Reader, forward bool, done chan<- struct{}) {
	defer func() { done <- struct{}{} }()
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		for {
			mode, changed := p.state()
			if mode == Silent || mode == OneWay && !forward {
				<-changed

				continue
			}
			if mode == Slow {
				time.Sleep(slowness)
			}

			break
		}
		if n > 0 {
			if _, err := to.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
