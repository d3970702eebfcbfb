package forwarder

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"snipedyke/internal/logger"
)

// newCheckedEndpoint returns an endpoint that ends its first connection with a response
// without a length, and passes the connection of the check to onCheck.
func newCheckedEndpoint(c *qt.C, part string, onCheck func(ln net.Listener, check net.Conn)) *endpoint {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = ln.Close() })
	e := &endpoint{listener: ln, addr: ln.Addr().(*net.TCPAddr).AddrPort()}
	go func() {
		conn, err := ln.Accept()
		if err != nil {
			return
		}
		e.serve(conn, func(conn net.Conn, r *http.Request) bool {
			unframed(conn, r, part)

			return false
		})
		if check, err := ln.Accept(); err == nil {
			onCheck(ln, check)
		}
	}()

	return e
}

// withEndTimes lets the checks of endpoints take a given time.
func withEndTimes(d time.Duration) func(*Forwarder) {
	return func(f *Forwarder) { f.bodyEndTime, f.streamEndTime = d, d }
}

// tookSink is a Logger that reports how long attempts that were cut off took.
type tookSink chan string

func (s tookSink) Event(number int, args ...any) {
	for i := 0; number == logger.AttemptCutOff && i < len(args); i += 2 {
		if args[i] == "took" {
			s <- args[i+1].(string)
		}
	}
}

// Guards against a truncated response that passes as complete because the kernel closes the
// listening socket of a crashed endpoint after its connections, and against a check that
// counts as time of the attempt.
func TestCrashedEndpointMayAcceptConnectionsUntilItsEnd(t *testing.T) {
	for _, path := range []string{"/unsafe/x", "/stream/x"} {
		for _, resets := range []bool{false, true} {
			t.Run(fmt.Sprint(path, " resets=", resets), func(t *testing.T) {
				c := qt.New(t)
				sent, checked := time.Now(), make(chan time.Time, 1)
				e := newCheckedEndpoint(c, events(1, 4), func(ln net.Listener, check net.Conn) {
					now := time.Now()
					checked <- now
					// The check takes longer than the request to arrive.
					<-time.After(now.Sub(sent))
					if resets {
						_ = check.(*net.TCPConn).SetLinger(0)
					}
					_, _ = ln.Close(), check.Close()
				})
				took := make(tookSink, 8)
				s := startWith(t, func(f *Forwarder) {
					withEndTimes(longWait)(f)
					f.opts.Logger = took
				}, e)
				call := s.dial(c)
				call.send("POST", path, "r1", "")
				resp, _, err := call.receive()
				c.Assert(resp, qt.IsNotNil, qt.Commentf("%v", err))
				c.Assert(resp.StatusCode != 200 || err != nil, qt.IsTrue, qt.Commentf("complete"))
				c.Assert(<-checked, qt.Satisfies, func(at time.Time) bool {
					d, err := time.ParseDuration(<-took)

					return err == nil && d <= at.Sub(sent)
				})
			})
		}
	}
}

// Guards against a truncated response that passes as complete because the kernel closes
// another connection of a crashed endpoint later.
func TestCrashedEndpointMayKeepConnectionsUntilItsEnd(t *testing.T) {
	c := qt.New(t)
	var e *endpoint
	arrived, ended := make(chan bool), make(chan bool)
	e = newEndpoint(t, func(conn net.Conn, r *http.Request) bool {
		if r.Header.Get("Name") == "other" {
			arrived <- true
			<-ended
			<-time.After(3 * checkDelay)

			return false
		}
		_ = e.listener.Close()
		unframed(conn, r, "bo")
		close(ended)

		return false
	})
	s := startWith(t, withEndTimes(longWait), e)
	call, other := s.dial(c), s.dial(c)
	other.send("POST", "/unsafe/x", "other", "")
	<-arrived
	call.send("POST", "/unsafe/x", "r1", "")
	resp, _, err := call.receive()
	c.Assert(err, qt.IsNil)
	c.Check(resp.StatusCode, qt.Equals, http.StatusBadGateway)
}

// Guards against responses that wait for a check that cannot say whether they are complete.
func TestOnlyResponsesThatEndWithTheirConnectionAreChecked(t *testing.T) {
	for name, response := range map[string]string{
		"length":  "Content-Length: 4\r\n\r\nbody",
		"chunks":  "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
		"leaving": "Leaving: 1\r\n\r\nbody",
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			var accepted atomic.Int32
			e := listen(t, net.ListenConfig{}, func() { accepted.Add(1) }, func(conn net.Conn, r *http.Request) bool {
				_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nName: %s\r\nSeal: s\r\nConnection: close\r\n%s", r.Header.Get("Name"), response)

				return false
			})
			call := startWith(t, withEndTimes(longWait), e).dial(c)
			call.send("POST", "/unsafe/x", "r1", "")
			_, body, err := call.receive()
			c.Assert(err, qt.IsNil)
			c.Check(body, qt.Equals, "body")
			// The endpoint has accepted any check before this connection.
			conn, err := net.Dial("tcp", e.addr.String())
			c.Assert(err, qt.IsNil)
			defer func() { _ = conn.Close() }()
			_, err = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
			c.Assert(err, qt.IsNil)
			_, err = io.ReadAll(conn)
			c.Assert(err, qt.IsNil)
			c.Check(accepted.Load(), qt.Equals, int32(2))
		})
	}
}

// Guards against a check that goes on after its caller has left.
func TestCheckEndsWithItsCaller(t *testing.T) {
	c := qt.New(t)
	for _, path := range []string{"/safe/x", "/stream/x"} {
		checks := make(chan net.Conn, 1)
		e := newCheckedEndpoint(c, events(1, 1), func(_ net.Listener, check net.Conn) { checks <- check })
		call := startWith(t, withEndTimes(4*longWait), e).dial(c)
		call.send("POST", path, "r1", "")
		check := <-checks
		c.Assert(call.Close(), qt.IsNil)
		c.Assert(check.SetReadDeadline(time.Now().Add(longWait)), qt.IsNil)
		_, err := check.Read(make([]byte, 1))
		c.Check(err, qt.IsNotNil)
		c.Check(isTimeout(err), qt.IsFalse)
	}
}

// Guards against a check that goes on after the time limit of its attempt.
func TestCheckEndsWithItsAttempt(t *testing.T) {
	c := qt.New(t)
	var checked atomic.Bool
	e := newCheckedEndpoint(c, "body", func(net.Listener, net.Conn) { checked.Store(true) })
	call := startWith(t, withEndTimes(4*longWait), e).dial(c)
	call.send("POST", "/brief/x", "r1", "")
	_, _, err := call.receive()
	c.Assert(err, qt.IsNil)
	c.Check(checked.Load(), qt.IsTrue)
}

// Guards against a refusal without an ID that counts as the response to another request,
// although the connection has carried none before.
func TestConnectionOfACheckHasCarriedNoRequest(t *testing.T) {
	c := qt.New(t)
	var e *endpoint
	e = newCheckedEndpoint(c, "body", func(_ net.Listener, check net.Conn) {
		e.serve(check, func(conn net.Conn, _ *http.Request) bool {
			_, err := io.WriteString(conn, "HTTP/1.1 503 X\r\nDeclined: 1\r\nContent-Length: 0\r\n\r\n")

			return err == nil
		})
	})
	call := start(t, e).dial(c)
	call.send("POST", "/unsafe/x", "r1", "")
	_, body, err := call.receive()
	c.Assert(err, qt.IsNil)
	c.Check(body, qt.Equals, "body")
	call.send("GET", "/safe/x", "r2", "")
	resp, _, err := call.receive()
	c.Assert(err, qt.IsNil)
	c.Check(resp.StatusCode, qt.Equals, http.StatusServiceUnavailable)
}

// newWitnessedEndpoint returns an endpoint that sends two events without framing, and calls end
// with its second connection once that is open. The response ends when end returns.
func newWitnessedEndpoint(t *testing.T, end func(e *endpoint, second net.Conn)) *endpoint {
	var e *endpoint
	accepted := make(chan bool, 2)
	e = listen(t, net.ListenConfig{}, func() { accepted <- true }, func(conn net.Conn, r *http.Request) bool {
		unframed(conn, r, events(1, 2))
		for range 2 {
			select {
			case <-accepted:
			case <-time.After(longWait):
				return false
			}
		}
		e.mu.Lock()
		second := e.conns[1]
		e.mu.Unlock()
		end(e, second)

		return false
	})

	return e
}

// checkBackIsBroken sends a request to an endpoint that crashes with its second connection open
// and is back at its address at once, and checks that the response is not complete. crash is
// called just before.
func checkBackIsBroken(t *testing.T, path string, adjust func(*Forwarder), crash func(second net.Conn)) {
	c := qt.New(t)
	back := make(chan net.Listener, 1)
	call := startWith(t, adjust, newWitnessedEndpoint(t, func(e *endpoint, second net.Conn) {
		crash(second)
		e.crash()
		ln, err := net.Listen("tcp", e.addr.String())
		c.Check(err, qt.IsNil)
		back <- ln
	})).dial(c)
	call.send("POST", path, "r1", "")
	resp, _, err := call.receive()
	c.Assert(resp, qt.IsNotNil, qt.Commentf("%v", err))
	c.Check(resp.StatusCode != 200 || err != nil, qt.IsTrue, qt.Commentf("complete"))
	select {
	case ln := <-back:
		c.Check(ln.Close(), qt.IsNil)
	case <-time.After(longWait):
		c.Error("no second connection")
	}
}

// Guards against a truncated response that passes as complete because the crashed endpoint is
// back at its address before the node looks.
func TestEndpointThatIsBackAtItsAddressHasCrashed(t *testing.T) {
	for _, path := range []string{"/unsafe/x", "/stream/x"} {
		for _, secondFirst := range []bool{false, true} {
			t.Run(fmt.Sprint(path, " second connection first=", secondFirst), func(t *testing.T) {
				checkBackIsBroken(t, path, func(*Forwarder) {}, func(second net.Conn) {
					if secondFirst {
						_ = second.Close()
					}
				})
			})
		}
	}
}

// Guards against a response that has no second connection, and passes as complete although its
// endpoint has crashed, because the host is slow to connect.
func TestSlowSecondConnectionShowsTheCrash(t *testing.T) {
	for _, path := range []string{"/unsafe/x", "/stream/x"} {
		t.Run(path, func(t *testing.T) {
			var dials atomic.Int32
			checkBackIsBroken(t, path, func(f *Forwarder) {
				f.pool.dialer.Control = func(string, string, syscall.RawConn) error {
					if dials.Add(1) == 2 {
						<-time.After(3 * witnessDialTimeout)
					}

					return nil
				}
			}, func(net.Conn) {})
		})
	}
}

// Guards against a sound response that is withheld or cut off because its endpoint has ended a
// connection that it did not use before.
func TestEndpointMayEndItsOtherConnections(t *testing.T) {
	for _, path := range []string{"/unsafe/x", "/stream/x"} {
		t.Run(path, func(t *testing.T) {
			c := qt.New(t)
			call := start(t, newWitnessedEndpoint(t, func(_ *endpoint, second net.Conn) {
				_ = second.Close()
				<-time.After(20 * witnessMargin)
			})).dial(c)
			call.send("POST", path, "r1", "")
			resp, body, err := call.receive()
			c.Assert(err, qt.IsNil)
			c.Check(resp.StatusCode, qt.Equals, http.StatusOK)
			c.Check(body, qt.Equals, events(1, 2))
		})
	}
}

// Guards against a response that waits for the end of its endpoint because the watch of its
// second connection began after it had been told to end.
func TestWatchThatBeginsLateEnds(t *testing.T) {
	c := qt.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer func() { _ = ln.Close() }()
	conn, err := newPool(1).connect(ln.Addr().(*net.TCPAddr).AddrPort())
	c.Assert(err, qt.IsNil)
	defer func() { _ = conn.Close() }()
	w := &witness{conn: conn}
	c.Assert(conn.SetReadDeadline(expiredDeadline), qt.IsNil)
	done := make(chan struct{})
	go func() {
		defer close(done)
		w.watch(discardSink{})
	}()
	select {
	case <-done:
	case <-time.After(longWait):
		c.Fatal("the watch goes on")
	}
	c.Check(w.endedAt.IsZero(), qt.IsTrue)
}
