// Package messenger maintains authenticated links between nodes and sends
// messages over them. A message may be lost, but is never delivered twice, and
// the messages of a link arrive in order.
package messenger

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"

	"snipedyke/internal/logger"
	"snipedyke/pkg/cataloguer"
	"snipedyke/pkg/encoder"
)

const (
	handshakeTimeout = 2 * time.Second
	// maxHandshakes bounds the concurrent handshakes. It applies to addresses
	// in the host list and to all others separately, so that unlisted clients
	// cannot keep nodes from connecting.
	maxHandshakes = 64
	// maxUnlistedLinks bounds the links of a node that has no host list yet.
	maxUnlistedLinks = 1024
)

// Logger writes numbered log events.
type Logger interface{ Event(number int, args ...any) }

// Options are the dependencies of a Messenger.
type Options struct {
	// Self is the node's name in the host list.
	Self        string
	Incarnation uint64
	// Listener accepts peers; Run closes it.
	Listener net.Listener
	// Dial opens a connection. If it is nil, the messenger dials by TCP from
	// the listener's address.
	Dial func(ctx context.Context, address netip.AddrPort) (net.Conn, error)
	// Secret is shared by all nodes and has at least 16 bytes.
	Secret []byte
	Logger Logger
	// Receive is called for each message, one at a time for each peer. A slow
	// Receive delays only the link of its peer.
	Receive func(from string, m encoder.Message)
	// LinkUp and LinkDown are called when a link to a peer starts and ends; LinkUp
	// is called before the first message of the link and LinkDown after the last.
	LinkUp, LinkDown func(peer string)
	// ConnectionRefused is called when a peer's address refuses a connection,
	// which means that no process listens there. It may be nil.
	ConnectionRefused func(peer string)
}

// Messenger maintains the links of a node. It is safe for concurrent use.
type Messenger struct {
	opts Options
	key  []byte

	sent, received, sentBytes, receivedBytes atomic.Uint64
	dropped, unlinked, unsendable            atomic.Uint64
	// refused counts failed handshakes and dials by kind, and ended the links
	// that have ended.
	refused, ended     map[Kind]*atomic.Uint64
	unlistedHandshakes chan struct{}
	listedHandshakes   chan struct{}

	mu sync.RWMutex
	// ctx is nil before Run.
	ctx        context.Context
	stop       context.CancelFunc
	wg         conc.WaitGroup
	links      map[string]*link
	hosts      map[string]cataloguer.Host
	dialers    map[string]context.CancelFunc
	lastLogged map[Kind]time.Time
}

// New returns a Messenger. Run starts it.
func New(opts Options) *Messenger {
	if opts.Dial == nil {
		opts.Dial = tcpDial(opts.Listener.Addr())
	}
	m := &Messenger{
		opts:               opts,
		key:                deriveKey(opts.Secret),
		refused:            map[Kind]*atomic.Uint64{},
		ended:              map[Kind]*atomic.Uint64{},
		unlistedHandshakes: make(chan struct{}, maxHandshakes),
		listedHandshakes:   make(chan struct{}, maxHandshakes),
		links:              map[string]*link{},
		hosts:              map[string]cataloguer.Host{},
		dialers:            map[string]context.CancelFunc{},
		lastLogged:         map[Kind]time.Time{},
	}
	for _, k := range kinds {
		m.refused[k] = new(atomic.Uint64)
		m.ended[k] = new(atomic.Uint64)
	}

	return m
}

// tcpDial returns a function that dials from the listener's address, because
// peers compare the source address of a connection with the host list.
func tcpDial(local net.Addr) func(context.Context, netip.AddrPort) (net.Conn, error) {
	var d net.Dialer
	if a, ok := local.(*net.TCPAddr); ok && !a.IP.IsUnspecified() {
		d.LocalAddr = &net.TCPAddr{IP: a.IP, Zone: a.Zone}
	}

	return func(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
		return d.DialContext(ctx, "tcp", address.String())
	}
}

// Addr returns the address that the messenger listens on.
func (m *Messenger) Addr() netip.AddrPort {
	a, _ := netip.ParseAddrPort(m.opts.Listener.Addr().String())

	return a
}

// Run accepts and dials peers until ctx ends, and returns after all links have
// ended. It must be called only once.
func (m *Messenger) Run(ctx context.Context) error {
	if len(m.opts.Secret) < minSecretSize {
		_ = m.opts.Listener.Close()

		return &Error{Op: "run", Kind: KindSecret, Err: fmt.Errorf("secret has %d bytes, want at least %d", len(m.opts.Secret), minSecretSize)}
	}
	ctx, cancel := context.WithCancel(ctx)
	m.mu.Lock()
	m.ctx, m.stop = ctx, cancel
	for _, h := range m.hosts {
		m.dialLocked(h)
	}
	m.mu.Unlock()
	stop := context.AfterFunc(ctx, func() {
		_ = m.opts.Listener.Close()
		m.mu.Lock()
		defer m.mu.Unlock()
		for _, l := range m.links {
			l.close(KindStopped)
		}
	})
	defer stop()
	err := m.accept(ctx)
	cancel()
	// Waits for a caller that holds the lock and may still start goroutines;
	// later callers see that ctx has ended.
	m.mu.Lock()
	m.mu.Unlock() //nolint:staticcheck // an empty critical section is meant
	m.wg.Wait()

	return err
}

func (m *Messenger) accept(ctx context.Context) error {
	for {
		conn, err := m.opts.Listener.Accept()
		switch {
		case ctx.Err() != nil:
			if conn != nil {
				_ = conn.Close()
			}

			return nil
		case errors.Is(err, net.ErrClosed):
			return &Error{Op: "accept", Kind: KindClosed, Err: err}
		case err != nil:
			// Such an error is temporary, for example if no file descriptors
			// are left.
			m.recordRefusal("", nil, &Error{Op: "accept", Kind: KindBusy, Err: err})
			sleep(ctx, 100*time.Millisecond)
		default:
			m.admitConn(conn)
		}
	}
}

// admitConn starts the handshake of a connection, or closes it if too many
// handshakes are in progress.
func (m *Messenger) admitConn(conn net.Conn) {
	remote := remoteIP(conn)
	slots := m.unlistedHandshakes
	m.mu.RLock()
	for _, h := range m.hosts {
		if h.Peer.Addr() == remote {
			slots = m.listedHandshakes

			break
		}
	}
	m.mu.RUnlock()
	select {
	case slots <- struct{}{}:
	default:
		m.recordRefusal("", conn, &Error{Op: "accept", Kind: KindBusy})
		_ = conn.Close()

		return
	}
	m.spawn(func() {
		own := newHello(m.opts.Self, "", m.opts.Incarnation)
		var peer hello
		err := m.runHandshake(conn, func() (err error) {
			peer, err = handshakeAccept(conn, m.key, own, func(h hello) error { return m.checkPeer(h, remote) })

			return err
		})
		<-slots
		if err != nil {
			m.recordRefusal(peer.name, conn, err)
			_ = conn.Close()

			return
		}
		m.startLink(conn, peer)
	})
}

// runHandshake runs a handshake with a time limit. It is interrupted when the
// messenger stops.
func (m *Messenger) runHandshake(conn net.Conn, handshake func() error) error {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetNoDelay(true)
	}
	stop := context.AfterFunc(m.ctx, func() { _ = conn.Close() })
	defer stop()
	if err := conn.SetDeadline(time.Now().Add(handshakeTimeout)); err != nil {
		return connError(err, KindClosed)
	}
	if err := handshake(); err != nil {
		return err
	}
	if err := conn.SetDeadline(time.Time{}); err != nil {
		return connError(err, KindClosed)
	}

	return nil
}

// checkPeer returns an error unless an authenticated peer may use its name. All
// nodes share the secret, so the source address must be the listed address of
// that name. A node without a host list accepts any name, as it may be starting
// while the configuration service is down.
func (m *Messenger) checkPeer(h hello, remote netip.Addr) error {
	m.mu.RLock()
	defer m.mu.RUnlock()
	host, listed := m.hosts[h.name]
	kind := Kind("")
	switch {
	case h.name == m.opts.Self:
		kind = KindName
	case !listed && (len(m.hosts) > 0 || len(m.links) >= maxUnlistedLinks):
		kind = KindName
	case listed && host.Peer.Addr() != remote:
		kind = KindAddress
	case m.links[h.name] != nil && m.links[h.name].incarnation > h.incarnation:
		kind = KindIncarnation
	default:
		return nil
	}

	return &Error{Op: "admit", Kind: kind, Err: fmt.Errorf("peer %q from %s", h.name, remote)}
}

// startLink starts a link on an authenticated connection. It replaces an older
// link to the same peer, as the peer has opened a new one because it restarted
// or lost the old one.
func (m *Messenger) startLink(conn net.Conn, peer hello) *link {
	l := &link{
		m: m, conn: conn, peer: peer.name, incarnation: peer.incarnation, since: time.Now(),
		wake: make(chan struct{}, 1), done: make(chan struct{}),
	}
	for {
		m.mu.Lock()
		old := m.links[l.peer]
		if old != nil && old.incarnation > l.incarnation || m.ctx.Err() != nil {
			m.mu.Unlock()
			_ = conn.Close()

			return nil
		}
		if old == nil {
			m.links[l.peer] = l
			m.mu.Unlock()

			break
		}
		m.mu.Unlock()
		old.close(KindReplaced)
		<-old.done
	}
	m.opts.Logger.Event(logger.LinkUp, "peer", l.peer, "incarnation", l.incarnation, "address", conn.RemoteAddr().String())
	m.opts.LinkUp(l.peer)
	m.spawn(l.write)
	m.spawn(func() {
		l.read()
		m.endLink(l)
	})

	return l
}

func (m *Messenger) endLink(l *link) {
	m.mu.Lock()
	delete(m.links, l.peer)
	m.mu.Unlock()
	m.ended[l.reason].Add(1)
	m.opts.Logger.Event(logger.LinkDown, "peer", l.peer, "incarnation", l.incarnation, "reason", string(l.reason))
	m.opts.LinkDown(l.peer)
	close(l.done)
}

// Send queues a message for a peer, and reports whether it did. It never
// blocks: if there is no link or its queue is full, the message is dropped.
func (m *Messenger) Send(to string, msg encoder.Message) bool {
	m.mu.RLock()
	l := m.links[to]
	m.mu.RUnlock()
	if l == nil {
		m.unlinked.Add(1)

		return false
	}

	return l.send(msg)
}

// recordRefusal counts a failed handshake or dial, and logs at most one per
// second and kind, so that unauthenticated clients cannot flood the log.
func (m *Messenger) recordRefusal(peer string, conn net.Conn, err error) {
	kind := kindOf(err)
	m.refused[kind].Add(1)
	m.mu.Lock()
	now := time.Now()
	last, logged := m.lastLogged[kind]
	suppress := logged && now.Sub(last) < time.Second || m.ctx.Err() != nil
	if !suppress {
		m.lastLogged[kind] = now
	}
	m.mu.Unlock()
	if suppress {
		return
	}
	address := ""
	if conn != nil {
		address = conn.RemoteAddr().String()
	}
	m.opts.Logger.Event(logger.LinkRefused, "peer", peer, "address", address, "reason", string(kind), "error", err.Error())
}

// spawn runs f in a goroutine, for which Run waits. If f panics, Run ends and
// propagates the panic.
func (m *Messenger) spawn(f func()) {
	m.wg.Go(func() {
		returned := false
		defer func() {
			if !returned {
				m.stop()
			}
		}()
		f()
		returned = true
	})
}

// Stats returns the counters and the state of the links.
func (m *Messenger) Stats() Stats {
	s := Stats{
		Sent: m.sent.Load(), Received: m.received.Load(),
		SentBytes: m.sentBytes.Load(), ReceivedBytes: m.receivedBytes.Load(),
		Dropped: m.dropped.Load(), Unlinked: m.unlinked.Load(), Unsendable: m.unsendable.Load(),
		Refused: map[Kind]uint64{}, Ended: map[Kind]uint64{},
	}
	for _, k := range kinds {
		s.Refused[k] = m.refused[k].Load()
		s.Ended[k] = m.ended[k].Load()
	}
	m.mu.RLock()
	defer m.mu.RUnlock()
	for _, l := range m.links {
		s.Peers = append(s.Peers, l.stats())
	}
	sort.Slice(s.Peers, func(i, j int) bool { return s.Peers[i].Name < s.Peers[j].Name })

	return s
}
