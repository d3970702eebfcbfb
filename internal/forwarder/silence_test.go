package forwarder

import (
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"snipedyke/internal/dispatcher"
)

// Guards against ending an answer because its only endpoint is silent for a
// while, before the first byte or within a stream.
func TestSilentEndpointIsAwaitedIfNoneCanTakeOver(t *testing.T) {
	for path, want := range map[string]string{"/quick/x": "answer to r1", "/resume/x": events(1, 3)} {
		t.Run(path, func(t *testing.T) {
			c := qt.New(t)
			silent := make(silenceSink)
			e := newEndpoint(t, func(conn net.Conn, r *http.Request) bool {
				if path == "/quick/x" {
					<-silent
					<-silent

					return respondOK(conn, r)
				}
				stream(conn, r, events(1, 1))
				<-silent
				<-silent
				chunk(conn, events(2, 3))
				_, err := io.WriteString(conn, "0\r\n\r\n")

				return err == nil
			})
			call := startWith(t, func(f *Forwarder) { f.opts.Logger, f.streamIdleTimeout = silent, 10*time.Millisecond }, e).dial(c)
			call.send("POST", path, "r1", "")
			resp, body, err := call.receive()
			c.Assert(err, qt.IsNil)
			c.Check(resp.StatusCode, qt.Equals, 200)
			c.Check(body, qt.Equals, want)
			c.Check(e.requests(), qt.HasLen, 1)
		})
	}
}

// Guards against a stalled stream that goes on to its time limit because its endpoint
// sends comments now and then, although another endpoint can take over.
func TestStreamOfCommentsIsReplaced(t *testing.T) {
	c := qt.New(t)
	first := make(chan bool, 1)
	first <- true
	handle := func(conn net.Conn, r *http.Request) bool {
		select {
		case <-first:
			stream(conn, r, events(1, 1))
			for err := error(nil); err == nil; <-time.After(5 * time.Millisecond) {
				_, err = io.WriteString(conn, "8\r\n: ping\n\n\r\n")
			}

			return false
		default:
		}
		c.Check(r.Header.Get("Event"), qt.Equals, "1")
		stream(conn, r, events(2, 3))
		_, err := io.WriteString(conn, "0\r\n\r\n")

		return err == nil
	}
	call := startWith(t, func(f *Forwarder) { f.streamIdleTimeout = 100 * time.Millisecond }, newEndpoint(t, handle), newEndpoint(t, handle)).dial(c)
	call.send("POST", "/resume/x", "r1", "")
	_, body, err := call.receive()
	c.Assert(err, qt.IsNil)
	c.Check(strings.ReplaceAll(body, ": ping\n\n", ""), qt.Equals, events(1, 3))
}

// Guards against cutting sound streams whose route allows longer pauses than the usual
// ones.
func TestStreamWithLongPausesIsAwaited(t *testing.T) {
	c := qt.New(t)
	silent := make(silenceSink)
	paused := make(chan struct{})
	e := newEndpoint(t, func(conn net.Conn, r *http.Request) bool {
		stream(conn, r, events(1, 1))
		select {
		case <-silent:
			c.Error("the stream was taken for a stalled one")
		case <-paused:
		}
		chunk(conn, events(2, 2))
		_, err := io.WriteString(conn, "0\r\n\r\n")

		return err == nil
	})
	call := startWith(t, func(f *Forwarder) { f.opts.Logger, f.streamIdleTimeout = silent, time.Millisecond }, e).dial(c)
	time.AfterFunc(50*time.Millisecond, func() { close(paused) })
	call.send("POST", "/calm/x", "r1", "")
	_, body, err := call.receive()
	c.Assert(err, qt.IsNil)
	c.Check(body, qt.Equals, events(1, 2))
}

// Guards against a caller that waits for a silent endpoint although another one
// can take over, and against lost or duplicated events of its stream.
func TestSilentEndpointIsReplaced(t *testing.T) {
	for path, want := range map[string]string{"/quick/x": "answer to r1", "/resume/x": events(1, 3)} {
		t.Run(path, func(t *testing.T) {
			c := qt.New(t)
			first := make(chan bool, 1)
			first <- true
			handle := func(conn net.Conn, r *http.Request) bool {
				select {
				case <-first:
					if path == "/resume/x" {
						stream(conn, r, events(1, 1), "id: 2\nda")
					}
					_, err := conn.Read(make([]byte, 1))

					return err == nil
				default:
				}
				if path == "/quick/x" {
					return respondOK(conn, r)
				}
				c.Check(r.Header.Get("Event"), qt.Equals, "1")
				stream(conn, r, events(2, 3))
				_, err := io.WriteString(conn, "0\r\n\r\n")

				return err == nil
			}
			call := startWith(t, func(f *Forwarder) { f.streamIdleTimeout = 10 * time.Millisecond }, newEndpoint(t, handle), newEndpoint(t, handle)).dial(c)
			call.send("POST", path, "r1", "")
			resp, body, err := call.receive()
			c.Assert(err, qt.IsNil)
			c.Check(resp.StatusCode, qt.Equals, 200)
			c.Check(body, qt.Equals, want)
		})
	}
}

// Guards against failing a request because its only endpoint does not read it
// for a while.
func TestEndpointThatReadsLateIsAwaited(t *testing.T) {
	c := qt.New(t)
	silent := make(silenceSink)
	e := newSlowReader(t, func() {
		<-silent
		<-silent
	})
	body := strings.Repeat("x", 8<<20)
	call := startWith(t, func(f *Forwarder) { f.opts.Logger, f.opts.MaxBodyBytes = silent, len(body) }, e).dial(c)
	call.send("POST", "/quick/x", "r1", body)
	resp, _, err := call.receive()
	c.Assert(err, qt.IsNil)
	c.Check(resp.StatusCode, qt.Equals, 200)
	c.Assert(e.requests(), qt.HasLen, 1)
	c.Check(e.body[0] == body, qt.IsTrue)
}

// Guards against a kernel that closes the connection to an endpoint whose host
// takes no data for two seconds, which cut off requests that cannot be repeated.
func TestConnectionOutlastsShortSilenceOfHost(t *testing.T) {
	c := qt.New(t)
	e := newSlowReader(t, func() { <-time.After(2 * time.Second) })
	body := strings.Repeat("x", 8<<20)
	call := startWith(t, func(f *Forwarder) { f.opts.MaxBodyBytes = len(body) }, e).dial(c)
	call.send("POST", "/unsafe/x", "r1", body)
	resp, _, err := call.receive()
	c.Assert(err, qt.IsNil)
	c.Check(resp.StatusCode, qt.Equals, 200)
	c.Assert(e.requests(), qt.HasLen, 1)
	c.Check(e.body[0] == body, qt.IsTrue)
}

// Guards against taking an endpoint for silent whose data has arrived, because
// the process did not run for a while.
func TestDataThatHasArrivedIsReadAfterDeadline(t *testing.T) {
	for name, left := range map[string]time.Duration{"silent": time.Minute, "end of attempt": -time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			c.Assert(err, qt.IsNil)
			defer func() { _ = ln.Close() }()
			conn, err := net.Dial("tcp", ln.Addr().String())
			c.Assert(err, qt.IsNil)
			defer func() { _ = conn.Close() }()
			peer, err := ln.Accept()
			c.Assert(err, qt.IsNil)
			defer func() { _ = peer.Close() }()
			_, err = peer.Write([]byte("answer"))
			c.Assert(err, qt.IsNil)
			for dispatcher.ConnState(conn) != dispatcher.SocketReadable {
				continue
			}
			e := &endpointConn{Conn: conn}
			a := &attempt{conn: e, end: time.Now().Add(left)}
			e.onTimeout = a.continueAfterTimeout
			c.Assert(e.SetDeadline(time.Now().Add(-time.Millisecond)), qt.IsNil)
			answer := make([]byte, 6)
			_, err = io.ReadFull(e, answer)
			c.Check(err, qt.IsNil)
			c.Check(string(answer), qt.Equals, "answer")
		})
	}
}

// Guards against suspending a sound endpoint because the process did not run
// while it connected.
func TestLateDialIsRepeated(t *testing.T) {
	c := qt.New(t)
	e := newEndpoint(t, respondOK)
	suspended := make(chan time.Duration, 1)
	suspended <- 2 * dialTimeout
	call := startWith(t, func(f *Forwarder) {
		control := f.pool.dialer.Control
		f.pool.dialer.Control = func(network, address string, raw syscall.RawConn) error {
			select {
			case d := <-suspended:
				<-time.After(d)
			default:
			}

			return control(network, address, raw)
		}
	}, e).dial(c)
	call.send("POST", "/quick/x", "r1", "")
	resp, _, err := call.receive()
	c.Assert(err, qt.IsNil)
	c.Check(resp.StatusCode, qt.Equals, 200)
}

// Guards against suspending a sound endpoint because the node was late.
func TestLateNodeDoesNotSuspendEndpoint(t *testing.T) {
	c := qt.New(t)
	var late atomic.Int64
	call := startWith(t, func(f *Forwarder) {
		f.opts.Clock = func() time.Time { return time.Now().Add(time.Duration(late.Load())) }
		control := f.pool.dialer.Control
		f.pool.dialer.Control = func(network, address string, raw syscall.RawConn) error {
			late.Store(int64(time.Minute))

			return control(network, address, raw)
		}
	}, newEndpoint(t, respondOK)).dial(c)
	for _, status := range []int{503, 200} {
		call.send("POST", "/quick/x", "r1", "")
		resp, _, err := call.receive()
		c.Assert(err, qt.IsNil)
		c.Check(resp.StatusCode, qt.Equals, status)
	}
}
