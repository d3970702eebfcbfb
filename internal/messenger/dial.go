package messenger

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/netip"
	"syscall"
	"time"

	"snipedyke/pkg/cataloguer"
)

const (
	firstBackoff = 50 * time.Millisecond
	maxBackoff   = 2 * time.Second
	// secondDialDelay is how long the node with the greater name waits for the
	// other to dial, so that two nodes rarely open two links at the same time.
	secondDialDelay = time.Second
	// stableLinkAge is the age from which a link that ends resets the backoff.
	stableLinkAge = 5 * time.Second
)

// SetPeers replaces the host list, which may contain the node itself. Links to
// hosts that are no longer listed stay until they end, as such a host may still
// be finishing its requests.
func (m *Messenger) SetPeers(hosts []cataloguer.Host) {
	m.mu.Lock()
	defer m.mu.Unlock()
	next := make(map[string]cataloguer.Host, len(hosts))
	for _, h := range hosts {
		if h.Name != m.opts.Self {
			next[h.Name] = h
		}
	}
	for name, stop := range m.dialers {
		if h, ok := next[name]; !ok || h.Peer != m.hosts[name].Peer {
			stop()
			delete(m.dialers, name)
		}
	}
	m.hosts = next
	if m.ctx == nil || m.ctx.Err() != nil {
		return
	}
	for _, h := range next {
		m.dialLocked(h)
	}
}

// dialLocked starts the dialer of a host unless it is running.
func (m *Messenger) dialLocked(h cataloguer.Host) {
	if m.dialers[h.Name] != nil {
		return
	}
	ctx, stop := context.WithCancel(m.ctx)
	m.dialers[h.Name] = stop
	m.spawn(func() { m.maintainLink(ctx, h) })
}

// maintainLink dials the host whenever there is no link to it.
func (m *Messenger) maintainLink(ctx context.Context, h cataloguer.Host) {
	var initialDelay time.Duration
	if m.opts.Self > h.Name {
		initialDelay = secondDialDelay
	}
	backoff := firstBackoff
	sleep(ctx, initialDelay+jitter(firstBackoff))
	for ctx.Err() == nil {
		m.mu.RLock()
		l := m.links[h.Name]
		m.mu.RUnlock()
		if l == nil {
			l = m.dial(ctx, h)
		}
		if l != nil {
			select {
			case <-ctx.Done():
				return
			case <-l.done:
			}
			if time.Since(l.since) >= stableLinkAge {
				backoff = firstBackoff
			}
			sleep(ctx, initialDelay)
		}
		sleep(ctx, jitter(backoff))
		backoff = min(2*backoff, maxBackoff)
	}
}

func (m *Messenger) dial(ctx context.Context, h cataloguer.Host) *link {
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	conn, err := m.opts.Dial(ctx, h.Peer)
	if err != nil {
		m.recordRefusal(h.Name, nil, &Error{Op: "dial", Kind: KindDial, Err: err})
		if m.opts.ConnectionRefused != nil && errors.Is(err, syscall.ECONNREFUSED) {
			m.opts.ConnectionRefused(h.Name)
		}

		return nil
	}
	own := newHello(m.opts.Self, h.Name, m.opts.Incarnation)
	var peer hello
	err = m.runHandshake(conn, func() (err error) {
		peer, err = handshakeDial(conn, m.key, own)

		return err
	})
	if err != nil {
		m.recordRefusal(h.Name, conn, err)
		_ = conn.Close()

		return nil
	}

	return m.startLink(conn, peer)
}

// jitter returns a random duration between d/2 and d.
func jitter(d time.Duration) time.Duration {
	return d/2 + rand.N(d/2+1)
}

func sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

func remoteIP(conn net.Conn) netip.Addr {
	a, err := netip.ParseAddrPort(conn.RemoteAddr().String())
	if err != nil {
		return netip.Addr{}
	}

	return a.Addr().Unmap()
}

func asError(err error, target **Error) bool { return errors.As(err, target) }

func kindOf(err error) Kind {
	var e *Error
	if errors.As(err, &e) {
		return e.Kind
	}

	return KindClosed
}
