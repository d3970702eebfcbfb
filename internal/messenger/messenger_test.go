package messenger

import (
	"bytes"
	"context"
	"errors"
	"net"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"snipedyke/internal/logger"
	"snipedyke/pkg/cataloguer"
	"snipedyke/pkg/encoder"
)

var testSecret = []byte("0123456789abcdef")

// pipeNetwork is an in-memory network, because synctest cannot wait for
// sockets.
type pipeNetwork struct {
	mu        sync.Mutex
	listeners map[netip.AddrPort]*pipeListener
	conns     []net.Conn
}

type pipeListener struct {
	address netip.AddrPort
	conns   chan net.Conn
	done    chan struct{}
	once    sync.Once
}

type pipeConn struct {
	net.Conn
	remote netip.AddrPort
}

func (c pipeConn) RemoteAddr() net.Addr { return net.TCPAddrFromAddrPort(c.remote) }

func (l *pipeListener) Addr() net.Addr { return net.TCPAddrFromAddrPort(l.address) }

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	l.once.Do(func() { close(l.done) })

	return nil
}

func (n *pipeNetwork) listen(address netip.AddrPort) *pipeListener {
	n.mu.Lock()
	defer n.mu.Unlock()
	l := &pipeListener{address: address, conns: make(chan net.Conn), done: make(chan struct{})}
	n.listeners[address] = l

	return l
}

func (n *pipeNetwork) dial(ctx context.Context, from, to netip.AddrPort) (net.Conn, error) {
	n.mu.Lock()
	l := n.listeners[to]
	n.mu.Unlock()
	if l == nil {
		return nil, errors.New("refused")
	}
	a, b := net.Pipe()
	select {
	case l.conns <- pipeConn{b, from}:
	case <-l.done:
		return nil, errors.New("refused")
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.conns = append(n.conns, a, b)

	return pipeConn{a, to}, nil
}

// closeConns closes all connections.
func (n *pipeNetwork) closeConns() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, c := range n.conns {
		_ = c.Close()
	}
	n.conns = nil
}

// testPeer is a messenger that records its link events and received messages.
type testPeer struct {
	*Messenger
	network *pipeNetwork
	stop    func()

	mu       sync.Mutex
	events   []string
	received []uint64
}

func address(name string) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, name[0]}), 7000)
}

func host(name string) cataloguer.Host { return cataloguer.Host{Name: name, Peer: address(name)} }

func (n *pipeNetwork) start(t *testing.T, name string, incarnation uint64) *testPeer {
	p := &testPeer{network: n}
	note := func(s string) {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.events = append(p.events, s)
	}
	p.Messenger = New(Options{
		Self: name, Incarnation: incarnation, Secret: testSecret, Listener: n.listen(address(name)),
		Dial: func(ctx context.Context, to netip.AddrPort) (net.Conn, error) {
			return n.dial(ctx, address(name), to)
		},
		Logger: logger.New(logger.Options{}),
		Receive: func(_ string, m encoder.Message) {
			p.mu.Lock()
			defer p.mu.Unlock()
			p.received = append(p.received, m.(*encoder.Heartbeat).Seq)
		},
		LinkUp:   func(peer string) { note("up " + peer) },
		LinkDown: func(peer string) { note("down " + peer) },
	})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		if err := p.Run(ctx); err != nil {
			t.Error(err)
		}
	}()
	p.stop = func() { cancel(); <-done }

	return p
}

func (p *testPeer) recorded() (events []string, got []uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()

	return append(events, p.events...), append(got, p.received...)
}

func inBubble(t *testing.T, f func(t *testing.T, c *qt.C, n *pipeNetwork)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f(t, qt.New(t), &pipeNetwork{listeners: map[netip.AddrPort]*pipeListener{}})
	})
}

// connect dials a node and completes the handshake under the given name,
// without a messenger.
func (n *pipeNetwork) connect(t *testing.T, name, to string, incarnation uint64) net.Conn {
	conn, err := n.dial(t.Context(), address(name), address(to))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := handshakeDial(conn, deriveKey(testSecret), newHello(name, to, incarnation)); err != nil {
		t.Fatal(err)
	}

	return conn
}

// Guards against links that reorder or repeat messages, that are not restored
// after a broken connection, or that time out while idle.
func TestLinkReconnects(t *testing.T) {
	inBubble(t, func(t *testing.T, c *qt.C, n *pipeNetwork) {
		a, b := n.start(t, "a", 1), n.start(t, "b", 1)
		a.SetPeers([]cataloguer.Host{host("a"), host("b")})
		b.SetPeers([]cataloguer.Host{host("a"), host("b")})
		time.Sleep(time.Minute)
		for i := range 100 {
			c.Assert(a.Send("b", &encoder.Heartbeat{Seq: uint64(i)}), qt.IsTrue)
		}
		synctest.Wait()
		events, got := b.recorded()
		c.Check(events, qt.DeepEquals, []string{"up a"})
		c.Assert(got, qt.HasLen, 100)
		for i, seq := range got {
			c.Assert(seq, qt.Equals, uint64(i))
		}
		n.closeConns()
		synctest.Wait()
		c.Check(a.Send("b", &encoder.Heartbeat{}), qt.IsFalse)
		time.Sleep(time.Second)
		c.Check(a.Send("b", &encoder.Heartbeat{Seq: 100}), qt.IsTrue)
		synctest.Wait()
		events, got = b.recorded()
		c.Check(events, qt.DeepEquals, []string{"up a", "down a", "up a"})
		c.Check(got[100:], qt.DeepEquals, []uint64{100})
		a.stop()
		b.stop()
	})
}

// Guards against a pair of nodes without a link because only the node with the
// greater name knows the other, as after a restart without a host list.
func TestEitherSideDials(t *testing.T) {
	inBubble(t, func(t *testing.T, c *qt.C, n *pipeNetwork) {
		a, b := n.start(t, "a", 1), n.start(t, "b", 1)
		b.SetPeers([]cataloguer.Host{host("a"), host("b")})
		time.Sleep(2 * time.Second)
		c.Check(a.Send("b", &encoder.Heartbeat{Seq: 1}), qt.IsTrue)
		a.stop()
		b.stop()
	})
}

// Guards against unlisted, impersonating or damaged connections that get a link
// or affect other links.
func TestInvalidPeersAreRefused(t *testing.T) {
	key := deriveKey(testSecret)
	// handshake performs the dialer's part without checking the acceptor's
	// proof.
	handshake := func(key []byte, own hello) func(net.Conn) {
		return func(conn net.Conn) {
			_, _ = conn.Write(appendFrame(nil, own.append(nil)))
			answer, _ := readFrame(conn, nil, maxHandshakeFrame)
			theirs := answer[:len(answer)-proofSize]
			_, _ = conn.Write(appendFrame(nil, computeProof(key, dialerRole, own.append(nil), theirs)))
			_, _ = readFrame(conn, nil, maxHandshakeFrame)
		}
	}
	raw := func(b []byte) func(net.Conn) {
		return func(conn net.Conn) {
			_, _ = conn.Write(b)
			_ = conn.Close()
		}
	}
	good := newHello("b", "a", 5).append(nil)
	otherVersion := bytes.Clone(good)
	otherVersion[4] = 9
	tests := []struct {
		name string
		from string
		do   func(net.Conn)
		want Kind
	}{
		{"wrong secret", "b", handshake(deriveKey([]byte("fedcba9876543210")), newHello("b", "a", 5)), KindSecret},
		{"name of another host", "b", handshake(key, newHello("c", "a", 5)), KindAddress},
		{"name of no host", "b", handshake(key, newHello("x", "a", 5)), KindName},
		{"own name", "b", handshake(key, newHello("a", "a", 5)), KindName},
		{"looks for another node", "b", handshake(key, newHello("b", "c", 5)), KindName},
		{"older incarnation", "c", handshake(key, newHello("c", "a", 4)), KindIncarnation},
		{"other version", "b", raw(appendFrame(nil, otherVersion)), KindVersion},
		{"oversized", "b", raw([]byte{0, 1, 0, 0}), KindOversized},
		{"truncated", "b", raw(appendFrame(nil, good)[:20]), KindTruncated},
		{"short hello", "b", raw(appendFrame(nil, good[:40])), KindMalformed},
		{"trailing bytes", "b", raw(appendFrame(nil, append(bytes.Clone(good), 0))), KindMalformed},
		{"garbage", "b", raw([]byte("GET / HTTP/1.1\r\n\r\n")), KindOversized},
		{"silence", "b", func(conn net.Conn) { time.Sleep(time.Minute) }, KindTimeout},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			inBubble(t, func(t *testing.T, c *qt.C, n *pipeNetwork) {
				a, d := n.start(t, "a", 1), n.start(t, "c", 5)
				hosts := []cataloguer.Host{host("a"), host("b"), host("c")}
				a.SetPeers(hosts)
				d.SetPeers(hosts[:1])
				time.Sleep(2 * time.Second)
				conn, err := n.dial(t.Context(), address(tt.from), address("a"))
				c.Assert(err, qt.IsNil)
				tt.do(conn)
				synctest.Wait()
				c.Check(a.Stats().Refused[tt.want], qt.Equals, uint64(1))
				events, _ := a.recorded()
				c.Check(events, qt.DeepEquals, []string{"up c"})
				c.Check(d.Send("a", &encoder.Heartbeat{Seq: 7}), qt.IsTrue)
				synctest.Wait()
				_, got := a.recorded()
				c.Check(got, qt.DeepEquals, []uint64{7})
				_ = conn.Close()
				a.stop()
				d.stop()
			})
		})
	}
}

// Guards against a recorded handshake that opens another link.
func TestReplayedHandshakeIsRefused(t *testing.T) {
	inBubble(t, func(t *testing.T, c *qt.C, n *pipeNetwork) {
		a := n.start(t, "a", 1)
		a.SetPeers([]cataloguer.Host{host("b")})
		conn, err := n.dial(t.Context(), address("b"), address("a"))
		c.Assert(err, qt.IsNil)
		record := &recordingConn{Conn: conn}
		_, err = handshakeDial(record, deriveKey(testSecret), newHello("b", "a", 1))
		c.Assert(err, qt.IsNil)
		_ = conn.Close()
		conn, err = n.dial(t.Context(), address("b"), address("a"))
		c.Assert(err, qt.IsNil)
		go func() {
			for {
				if _, err := readFrame(conn, nil, maxHandshakeFrame); err != nil {
					return
				}
			}
		}()
		_, _ = conn.Write(record.written)
		synctest.Wait()
		c.Check(a.Stats().Refused[KindSecret], qt.Equals, uint64(1))
		a.stop()
	})
}

type recordingConn struct {
	net.Conn
	written []byte
}

func (r *recordingConn) Write(b []byte) (int, error) {
	r.written = append(r.written, b...)

	return r.Conn.Write(b)
}

// Guards against a peer that does not read and so exhausts the memory or delays
// messages to other peers, and against a peer that sends malformed messages.
func TestBadPeersDoNotAffectOthers(t *testing.T) {
	inBubble(t, func(t *testing.T, c *qt.C, n *pipeNetwork) {
		a, d := n.start(t, "a", 1), n.start(t, "d", 1)
		hosts := []cataloguer.Host{host("a"), host("b"), host("d")}
		a.SetPeers(hosts)
		d.SetPeers(hosts)
		time.Sleep(2 * time.Second)
		slow := n.connect(t, "b", "a", 1)
		synctest.Wait()
		const size, count = 100 << 10, 300
		for range count {
			a.Send("b", &encoder.Documents{Hosts: make([]byte, size)})
		}
		// One full queue may be held by the writer while another one is
		// waiting.
		c.Check(a.Stats().Dropped >= count-2*maxQueueSize/size, qt.IsTrue, qt.Commentf("%d", a.Stats().Dropped))
		c.Check(a.Stats().Peers[0].Queued <= maxQueueSize, qt.IsTrue)
		c.Check(a.Send("d", &encoder.Heartbeat{Seq: 3}), qt.IsTrue)
		synctest.Wait()
		_, got := d.recorded()
		c.Check(got, qt.DeepEquals, []uint64{3})
		time.Sleep(2 * writeTimeout)
		c.Check(a.Stats().Ended[KindTimeout], qt.Equals, uint64(1))
		_ = slow.Close()

		for _, bad := range [][]byte{{0xff, 1, 2}, {1, 0xc1}, {2}} {
			conn := n.connect(t, "b", "a", 2)
			_, err := conn.Write(appendFrame(nil, bad))
			c.Assert(err, qt.IsNil)
			synctest.Wait()
			_ = conn.Close()
		}
		c.Check(a.Stats().Ended[KindMalformed], qt.Equals, uint64(3))
		c.Check(a.Send("d", &encoder.Documents{Hosts: make([]byte, MaxFrame)}), qt.IsFalse)
		c.Check(a.Stats().Unsendable, qt.Equals, uint64(1))
		c.Check(a.Stats().Peers, qt.HasLen, 1)
		a.stop()
		d.stop()
	})
}

// Guards against a restarted peer that cannot connect until the link of its
// former process times out.
func TestRestartReplacesLink(t *testing.T) {
	inBubble(t, func(t *testing.T, c *qt.C, n *pipeNetwork) {
		a := n.start(t, "a", 1)
		a.SetPeers([]cataloguer.Host{host("b")})
		old := n.connect(t, "b", "a", 1)
		synctest.Wait()
		fresh := n.connect(t, "b", "a", 2)
		synctest.Wait()
		events, _ := a.recorded()
		c.Check(events, qt.DeepEquals, []string{"up b", "down b", "up b"})
		c.Check(a.Stats().Peers[0].Incarnation, qt.Equals, uint64(2))
		_ = old.Close()
		_ = fresh.Close()
		a.stop()
	})
}
