package forwarder

import (
	"bufio"
	"errors"
	"net"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"snipedyke/internal/dispatcher"
)

const (
	// dialTimeout bounds the time to connect. A connection takes a few
	// milliseconds, and the network sends a lost first packet again only after
	// a second.
	dialTimeout = 250 * time.Millisecond
	// lossTimeout is how long an endpoint's host may acknowledge nothing.
	lossTimeout = time.Second
	// defaultIdle is how long a connection is kept whose endpoint states no
	// time, and idleMargin how much earlier than stated it is closed.
	defaultIdle = 4 * time.Second
	idleMargin  = time.Second
	// freshIdle is how long a connection may have been idle to carry a request
	// that runs at most once: the longer, the more likely its end is on the way.
	freshIdle = 500 * time.Millisecond
	// buffer is the size of the read buffer of a connection in bytes; it bounds
	// the header of an answer.
	buffer = 16 << 10
)

// link is a connection to an endpoint.
type link struct {
	net.Conn
	br *bufio.Reader
	// used is when the last answer ended, and idle how long the connection may
	// be kept.
	used time.Time
	idle time.Duration
	// reused tells that the connection has carried a request before.
	reused bool
}

// pool holds idle connections to endpoints.
type pool struct {
	dialer net.Dialer

	mu   sync.Mutex
	idle map[netip.AddrPort][]*link
}

func newPool() *pool {
	return &pool{
		idle: map[netip.AddrPort][]*link{},
		dialer: net.Dialer{
			Timeout: dialTimeout,
			Control: dispatcher.BoundLoss(lossTimeout),
			// Probes find an endpoint whose host is lost while it works.
			KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 1},
		},
	}
}

// get returns a connection that has been idle for less than a time, or a new
// one.
func (p *pool) get(address netip.AddrPort, now time.Time, most time.Duration) (*link, error) {
	for {
		l := p.take(address)
		if l == nil {
			break
		}
		// Unread bytes would be taken for the next answer.
		if now.Sub(l.used) < min(most, l.idle) && dispatcher.StateOf(l.Conn) == dispatcher.SocketIdle {
			l.reused = true

			return l, nil
		}
		_ = l.Close()
	}
	conn, err := p.dialer.Dial("tcp", address.String())
	if err != nil {
		return nil, err
	}

	return &link{Conn: conn, br: bufio.NewReaderSize(conn, buffer)}, nil
}

// take returns the connection that was used last, or nil.
func (p *pool) take(address netip.AddrPort) *link {
	p.mu.Lock()
	defer p.mu.Unlock()
	links := p.idle[address]
	if len(links) == 0 {
		return nil
	}
	l := links[len(links)-1]
	p.idle[address] = links[:len(links)-1]

	return l
}

// put keeps a connection after a whole answer, and at most a number of them.
func (p *pool) put(address netip.AddrPort, l *link, now time.Time, h *fasthttp.ResponseHeader, most int) {
	l.used, l.idle = now, defaultIdle
	if stated, ok := keepAlive(string(h.Peek("Keep-Alive"))); ok {
		l.idle = stated - idleMargin
	}
	if l.idle <= 0 || l.br.Buffered() > 0 || l.SetDeadline(time.Time{}) != nil {
		_ = l.Close()

		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	links := p.idle[address]
	// The oldest connections are the first to be closed by their endpoints.
	for len(links) > 0 && (len(links) >= most || now.Sub(links[0].used) >= links[0].idle) {
		_ = links[0].Close()
		links = links[1:]
	}
	p.idle[address] = append(links, l)
}

// forget closes the idle connections to an address.
func (p *pool) forget(address netip.AddrPort) {
	p.mu.Lock()
	links := p.idle[address]
	delete(p.idle, address)
	p.mu.Unlock()
	for _, l := range links {
		_ = l.Close()
	}
}

// keepAlive returns the timeout of a Keep-Alive field.
func keepAlive(field string) (time.Duration, bool) {
	for part := range strings.SplitSeq(field, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if strings.EqualFold(name, "timeout") {
			n, err := strconv.Atoi(value)

			return time.Duration(n) * time.Second, err == nil
		}
	}

	return 0, false
}

func isTimeout(err error) bool { return errors.Is(err, os.ErrDeadlineExceeded) }
