package messenger

import (
	"bufio"
	"encoding/binary"
	"net"
	"sync"
	"time"

	"snipedyke/pkg/encoder"
)

const (
	// maxQueueSize bounds the bytes queued for a peer. It holds several frames
	// of the maximum size.
	maxQueueSize = 4 << 20
	// keepaliveInterval is the idle time after which an empty frame is sent. It
	// is above the longest period of heartbeats, 1 s, which make keepalives
	// unnecessary.
	keepaliveInterval = 1500 * time.Millisecond
	// readTimeout ends a link on which no frame arrives; it covers two
	// keepalives.
	readTimeout = 4 * time.Second
	// writeTimeout ends a link whose peer does not read.
	writeTimeout   = 3 * time.Second
	readBufferSize = 4 << 10
)

// link is an authenticated connection to a peer.
type link struct {
	m           *Messenger
	conn        net.Conn
	peer        string
	incarnation uint64
	since       time.Time
	// wake holds at most one signal for the writer.
	wake chan struct{}
	// done is closed after LinkDown has been called.
	done chan struct{}

	mu sync.Mutex
	// queue holds complete frames that the writer has not taken yet.
	queue        []byte
	queuedFrames int
	dropped      uint64
	closed       bool
	reason       Kind
}

// send appends a message to the queue, and reports whether it did.
func (l *link) send(msg encoder.Message) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		l.m.unlinked.Add(1)

		return false
	}
	start := len(l.queue)
	buf := append(l.queue, 0, 0, 0, 0)
	buf, err := encoder.Append(buf, msg)
	size := len(buf) - start - headerSize
	switch {
	case err != nil, size > MaxFrame:
		l.m.unsendable.Add(1)
	case len(buf) > maxQueueSize:
		l.dropped++
		l.m.dropped.Add(1)
	default:
		binary.BigEndian.PutUint32(buf[start:], uint32(size))
		l.queue = buf
		l.queuedFrames++
		l.signal()

		return true
	}

	return false
}

func (l *link) signal() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// close ends the link. Only the first call sets the reason.
func (l *link) close(reason Kind) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return
	}
	l.closed = true
	l.reason = reason
	l.queue = nil
	_ = l.conn.Close()
	l.signal()
}

// takeQueue returns the queue and replaces it by buf, and reports whether the
// link is open.
func (l *link) takeQueue(buf []byte) (taken []byte, frames int, open bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	taken, frames = l.queue, l.queuedFrames
	if cap(buf) > maxIdleBuffer {
		buf = nil
	}
	l.queue, l.queuedFrames = buf[:0], 0

	return taken, frames, !l.closed
}

// write sends the queued frames, all of them in one system call, and
// keepalives.
func (l *link) write() {
	timer := time.NewTimer(keepaliveInterval)
	defer timer.Stop()
	var buf []byte
	keepalive := appendFrame(nil, nil)
	for {
		idle := false
		select {
		case <-l.wake:
		case <-timer.C:
			idle = true
		}
		var frames int
		var open bool
		buf, frames, open = l.takeQueue(buf)
		if !open {
			return
		}
		out := buf
		if len(out) == 0 {
			if !idle {
				continue
			}
			out = keepalive
		}
		if err := l.flush(out); err != nil {
			l.close(kindOf(err))

			return
		}
		l.m.sent.Add(uint64(frames))
		l.m.sentBytes.Add(uint64(len(out)))
		timer.Reset(keepaliveInterval)
	}
}

func (l *link) flush(out []byte) error {
	if err := l.conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return connError(err, KindClosed)
	}

	return writeAll(l.conn, out)
}

// read passes the peer's messages to Receive until the link ends.
func (l *link) read() {
	r := bufio.NewReaderSize(l.conn, readBufferSize)
	var buf []byte
	var deadline time.Time
	for {
		// The deadline is extended at most once per second, as each change
		// locks the runtime's network poller.
		if now := time.Now(); deadline.Sub(now) <= readTimeout-time.Second {
			deadline = now.Add(readTimeout)
			if err := l.conn.SetReadDeadline(deadline); err != nil {
				l.close(KindClosed)

				return
			}
		}
		var err error
		buf, err = readFrame(r, buf, MaxFrame)
		if err != nil {
			l.close(kindOf(err))

			return
		}
		l.m.receivedBytes.Add(uint64(headerSize + len(buf)))
		if len(buf) == 0 {
			continue
		}
		msg, err := encoder.Decode(buf)
		if err != nil {
			l.close(KindMalformed)

			return
		}
		l.m.received.Add(1)
		l.m.opts.Receive(l.peer, msg)
	}
}

func (l *link) stats() PeerStats {
	l.mu.Lock()
	defer l.mu.Unlock()

	return PeerStats{
		Name: l.peer, Incarnation: l.incarnation, Address: l.conn.RemoteAddr().String(),
		Since: l.since, Queued: len(l.queue), Dropped: l.dropped,
	}
}
