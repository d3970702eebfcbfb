// Package exchanger carries the messages of an aggregator over UDP. They are
// small, sent often and replaced by the next one, so that lost ones need no
// repeat and silent connections cannot arise.
package exchanger

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"snipedyke/internal/aggregator"
	"snipedyke/internal/logger"
	"snipedyke/pkg/encoder"
)

// Logger writes numbered log events and does not block.
type Logger interface {
	// Event writes an event; args alternates keys and values.
	Event(number int, args ...any)
}

// Options are what an exchanger is made of.
type Options struct {
	// Address is where the node receives messages; all nodes use its port.
	Address netip.AddrPort
	Centre  string
	Seeds   []netip.Addr
	// Own returns the node's load, and Heard takes that of the others.
	Own   func() encoder.Sum
	Heard func(encoder.Sum)
	// Changed returns what has changed in the node's load since the last call of
	// it or of Own, and Moved takes the load of the others at some endpoints.
	Changed func() encoder.Change
	Moved   func(encoder.Sum)
	// View returns the node's shared view, and Relayed takes that of the
	// speaker. Speaks takes whether the node speaks for others.
	View    func() aggregator.View
	Relayed func(aggregator.Relayed)
	Speaks  func(bool)
	Logger  Logger
	// Clock is the clock of the node's decisions.
	Clock func() time.Time
}

// maxMessage bounds a message in bytes.
const maxMessage = 60 << 10

// Exchanger sends and receives the messages of a node.
type Exchanger struct {
	opts Options
	conn *net.UDPConn

	mu         sync.Mutex
	aggregator *aggregator.Aggregator
	buf        []byte
	// nodes is the number of nodes that was last logged.
	nodes int
	// failed tells that the last message could not be sent.
	failed bool
}

// New returns an exchanger that listens. Run must follow.
func New(opts Options) (*Exchanger, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(opts.Address))
	if err != nil {
		return nil, &Error{Op: "listen for nodes", Kind: KindListen, Err: err}
	}

	return &Exchanger{opts: opts, conn: conn, aggregator: aggregator.New(aggregator.Options{
		Self: opts.Address.Addr(), Centre: opts.Centre, Seeds: opts.Seeds,
	})}, nil
}

// Run exchanges messages until ctx ends.
func (x *Exchanger) Run(ctx context.Context) {
	var wg conc.WaitGroup
	wg.Go(x.receive)
	ticker := time.NewTicker(aggregator.UpdateInterval)
	defer ticker.Stop()
	var last time.Time
	for {
		select {
		case <-ctx.Done():
			_ = x.conn.Close()
			wg.Wait()

			return
		case <-ticker.C:
			x.update()
			if now := x.opts.Clock(); now.Sub(last) >= aggregator.Interval {
				last = now
				x.tick()
			}
		}
	}
}

// SetSeeds replaces the seeds.
func (x *Exchanger) SetSeeds(seeds []netip.Addr) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.aggregator.SetSeeds(seeds)
}

func (x *Exchanger) update() {
	changed := x.opts.Changed()
	x.mu.Lock()
	x.send(x.aggregator.Update(x.opts.Clock(), changed))
	x.mu.Unlock()
}

func (x *Exchanger) tick() {
	own, view := x.opts.Own(), x.opts.View()
	x.mu.Lock()
	now := x.opts.Clock()
	x.send(x.aggregator.Tick(now, own, view))
	speaks := x.aggregator.Speaks(now)
	others := x.aggregator.Others(now)
	nodes := int(others.Nodes) + 1
	if nodes != x.nodes {
		x.opts.Logger.Event(logger.FleetChanged, "nodes", nodes, "former", x.nodes)
		x.nodes = nodes
	}
	x.mu.Unlock()
	x.opts.Speaks(speaks)
	x.opts.Heard(others)
}

// receive takes messages until the connection is closed.
func (x *Exchanger) receive() {
	buf := make([]byte, maxMessage)
	for {
		n, from, err := x.conn.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			// An earlier message has met no listener.
			continue
		}
		m, err := encoder.Decode(buf[:n])
		if err != nil {
			x.opts.Logger.Event(logger.MessageRefused, "from", from.String(), "error", err.Error())

			continue
		}
		x.mu.Lock()
		x.send(x.aggregator.Receive(x.opts.Clock(), from.Addr().Unmap(), m))
		relayed, ok := x.aggregator.Relayed()
		heard, others := x.aggregator.DigestReceived(), encoder.Sum{}
		moved, some := x.aggregator.ChangedLoads(x.opts.Clock())
		if heard {
			others = x.aggregator.Others(x.opts.Clock())
		}
		x.mu.Unlock()
		switch {
		case heard:
			x.opts.Heard(others)
		case some:
			x.opts.Moved(moved)
		}
		if ok {
			x.opts.Relayed(relayed)
		}
	}
}

func (x *Exchanger) send(outputs []aggregator.Output) {
	for _, o := range outputs {
		var err error
		if x.buf, err = encoder.Append(x.buf[:0], o.Message); err == nil {
			_, err = x.conn.WriteToUDPAddrPort(x.buf, netip.AddrPortFrom(o.To, x.opts.Address.Port()))
		}
		if failed := err != nil; failed != x.failed {
			x.failed = failed
			if failed {
				x.opts.Logger.Event(logger.MessageUnsent, "to", o.To.String(), "error", err.Error())
			}
		}
	}
}

// Kind tells what went wrong.
type Kind string

// KindListen is an address that cannot be used.
const KindListen Kind = "cannot listen"

// Error is an error of this package.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error describes the operation, the kind and the cause.
func (e *Error) Error() string { return fmt.Sprintf("exchanger: %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
