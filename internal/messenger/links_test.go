package messenger

import (
	"context"
	"fmt"
	"net"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"snipedyke/internal/logger"
	"snipedyke/pkg/cataloguer"
	"snipedyke/pkg/encoder"
)

// BenchmarkLinks reports the processor time of a node for its links to
// increasing numbers of peers, with one heartbeat per second in each direction.
// Half of the process's time is counted, as the peers run in the same process.
func BenchmarkLinks(b *testing.B) {
	for _, peers := range []int{8, 40, 80, 160} {
		b.Run(fmt.Sprint(peers), func(b *testing.B) {
			c := qt.New(b)
			ctx, cancel := context.WithCancel(b.Context())
			up := make(chan struct{}, 4*peers)
			done := make(chan error, peers+1)
			start := func(name string) *Messenger {
				l, err := net.Listen("tcp", "127.0.0.1:0")
				c.Assert(err, qt.IsNil)
				m := New(Options{
					Self: name, Incarnation: 1, Listener: l, Secret: testSecret, Logger: logger.New(logger.Options{}),
					Receive: func(string, encoder.Message) {},
					LinkUp:  func(string) { up <- struct{}{} }, LinkDown: func(string) {},
				})
				go func() { done <- m.Run(ctx) }()

				return m
			}
			hub := start("hub")
			hosts := []cataloguer.Host{{Name: "hub", Peer: hub.Addr()}}
			leaves := make([]*Messenger, peers)
			for i := range leaves {
				leaves[i] = start(fmt.Sprintf("leaf%03d", i))
				hosts = append(hosts, cataloguer.Host{Name: fmt.Sprintf("leaf%03d", i), Peer: leaves[i].Addr()})
			}
			hub.SetPeers(hosts)
			for i, m := range leaves {
				m.SetPeers([]cataloguer.Host{hosts[0], hosts[i+1]})
			}
			for range 2 * peers {
				<-up
			}
			beat := samples[0].msg
			before := processorTime()
			b.ResetTimer()
			for range b.N {
				tick := time.NewTicker(time.Second / time.Duration(peers))
				for i := range peers {
					hub.Send(hosts[i+1].Name, beat)
					leaves[i].Send("hub", beat)
					<-tick.C
				}
				tick.Stop()
			}
			b.ReportMetric(100*(processorTime()-before).Seconds()/2/b.Elapsed().Seconds(), "%core")
			cancel()
			for range peers + 1 {
				c.Check(<-done, qt.IsNil)
			}
		})
	}
}

// processorTime returns the processor time that the process has used.
func processorTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}

	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
