package claimer

import (
	"encoding/binary"
	"fmt"
	"runtime"
	"testing"
	"time"

	"snipedyke/pkg/cataloguer"
	"snipedyke/pkg/encoder"
)

// newCovering returns the claimer of host h000, which covers its keys.
func newCovering(b *testing.B, hosts int) *Claimer {
	b.Helper()
	l := &cataloguer.Hosts{Version: 1}
	for i := range hosts {
		l.Hosts = append(l.Hosts, cataloguer.Host{Name: fmt.Sprintf("h%03d", i)})
	}
	c := New("h000", 1, 1)
	c.SetHosts(time.Unix(0, 0), l)
	c.coverage.memberSince, c.coverage.ready, c.coverage.closed = 1, true, 1

	return c
}

func subject(i int) (s encoder.Subject) {
	binary.BigEndian.PutUint64(s[:], uint64(i)*0x9e3779b97f4a7c15)
	return s
}

// BenchmarkWitness measures one vote and the release of the claim.
func BenchmarkWitness(b *testing.B) {
	for _, hosts := range []int{3, 330} {
		b.Run(fmt.Sprint(hosts), func(b *testing.B) {
			c, now, i := newCovering(b, hosts), time.Unix(0, 0), 0
			b.ReportAllocs()
			for b.Loop() {
				i++
				c.Receive(now, "h001", &encoder.Claim{ID: uint64(i), Subject: subject(i), Hosts: 1, Incarnation: 1})
				c.Receive(now, "h001", &encoder.Release{Claim: uint64(i), Subject: subject(i), Incarnation: 1})
			}
		})
	}
}

// BenchmarkCoordinator measures a claim that wins, its outcome and the replies.
func BenchmarkCoordinator(b *testing.B) {
	for _, hosts := range []int{3, 330} {
		b.Run(fmt.Sprint(hosts), func(b *testing.B) {
			c, now, i := newCovering(b, hosts), time.Unix(0, 0), 0
			answer := &encoder.Answer{Status: 200}
			b.ReportAllocs()
			for b.Loop() {
				i++
				for _, o := range c.Claim(now, uint64(i), encoder.ClaimKey, subject(i)) {
					if s, ok := o.(Send); ok {
						m := s.Message.(*encoder.Claim)
						c.Receive(now, s.To, &encoder.ClaimReply{ID: m.ID, Hosts: 1, Incarnation: 1})
					}
				}
				for _, o := range c.Finish(now, subject(i), answer) {
					if s, ok := o.(Send); ok {
						c.Receive(now, s.To, &encoder.ClaimReply{
							ID: s.Message.(*encoder.Finish).ID, Result: encoder.ClaimStored,
						})
					}
				}
				c.Step(now)
				c.keys.remove(subject(i))
			}
		})
	}
}

// BenchmarkRecord reports the memory of one record in a full table.
func BenchmarkRecord(b *testing.B) {
	for b.Loop() {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		c, now := newCovering(b, 3), time.Unix(0, 0)
		for i := range maxRecords {
			c.keys.put(subject(i+1), record{claim: uint64(i), coordinator: c.keys.intern(c.self), createdS: c.keys.seconds(now)})
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/maxRecords, "bytes/record")
		runtime.KeepAlive(c)
	}
}
