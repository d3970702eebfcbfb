// Package pinner remembers at which software version streams have begun, so that
// they go on at the same version when callers take them up again.
package pinner

import (
	"crypto/sha256"
	"encoding/binary"
	"slices"
	"time"

	"snipedyke/pkg/encoder"
)

// maxStreams bounds the number of streams that a Table remembers. The oldest are
// forgotten first.
const maxStreams = 1 << 15

// Key identifies the stream of an account that began with the named request to a
// service. Requests are named by callers: without knowledge of another account's
// name for a request, no account can find or replace what is known of its streams.
func Key(account, service, request string) uint64 {
	h := sha256.New()
	for _, part := range []string{account, service, request} {
		var length [4]byte
		binary.LittleEndian.PutUint32(length[:], uint32(len(part)))
		h.Write(length[:])
		h.Write([]byte(part))
	}

	return binary.LittleEndian.Uint64(h.Sum(nil))
}

// stream is what is known of one stream.
type stream struct {
	version string
	// recordedAt is when the stream began, or was last taken up again.
	recordedAt time.Time
}

// expiry is the time at which a stream is forgotten unless it has been recorded
// again.
type expiry struct {
	key        uint64
	recordedAt time.Time
	at         time.Time
}

// Table holds the versions of streams. The zero value is an empty table. It is not
// safe for concurrent use.
type Table struct {
	streams map[uint64]stream
	// expiries has an element for each time that a stream was recorded, in that
	// order.
	expiries []expiry
	// unannounced holds the streams of this node of which other nodes have not been
	// told, oldest first.
	unannounced []announcement
}

// announcement is a stream of which other nodes are to be told.
type announcement struct {
	service string
	key     uint64
	at      time.Time
}

// Begin records that a stream of this node has begun, or has been taken up again.
// It is remembered for the given time.
func (t *Table) Begin(now time.Time, key uint64, service, version string, life time.Duration) {
	t.record(now, key, stream{version: version, recordedAt: now}, now.Add(life))
	t.unannounced = append(t.unannounced, announcement{service, key, now.Add(life)})
}

// Learn records what another node knows of a stream. It does not replace what this
// node knows.
func (t *Table) Learn(now time.Time, o encoder.Origin, life time.Duration) {
	recordedAt := now.Add(-time.Duration(o.Age) * time.Millisecond)
	if known, ok := t.streams[o.Key]; ok && (known.version != o.Version || !known.recordedAt.Before(recordedAt)) {
		return
	}
	if end := recordedAt.Add(life); end.After(now) {
		t.record(now, o.Key, stream{version: o.Version, recordedAt: recordedAt}, end)
	}
}

func (t *Table) record(now time.Time, key uint64, s stream, end time.Time) {
	t.expire(now)
	if t.streams == nil {
		t.streams = map[uint64]stream{}
	}
	t.streams[key] = s
	t.expiries = append(t.expiries, expiry{key, s.recordedAt, end})
}

// expire forgets the streams whose time has passed, and the oldest if there are
// too many.
func (t *Table) expire(now time.Time) {
	n := 0
	for ; n < len(t.expiries) && (!now.Before(t.expiries[n].at) || len(t.expiries)-n >= maxStreams); n++ {
		if e := t.expiries[n]; t.streams[e.key].recordedAt.Equal(e.recordedAt) {
			delete(t.streams, e.key)
		}
	}
	t.expiries = t.expiries[n:]
	for n = 0; n < len(t.unannounced) && !now.Before(t.unannounced[n].at); n++ {
	}
	t.unannounced = t.unannounced[n:]
}

// Lookup returns what is known of a stream, and reports whether anything is.
func (t *Table) Lookup(now time.Time, key uint64) (encoder.Origin, bool) {
	t.expire(now)
	s, ok := t.streams[key]

	return s.origin(now, key), ok
}

func (s stream) origin(now time.Time, key uint64) encoder.Origin {
	return encoder.Origin{Key: key, Version: s.version, Age: uint32(max(now.Sub(s.recordedAt), 0).Milliseconds())}
}

// TakeUnannounced returns this node's streams of a service of which other nodes
// have not been told, oldest first, and marks them as announced.
func (t *Table) TakeUnannounced(now time.Time, service string) []encoder.Origin {
	t.expire(now)
	var list []encoder.Origin
	t.unannounced = slices.DeleteFunc(t.unannounced, func(a announcement) bool {
		if a.service != service {
			return false
		}
		if s, ok := t.streams[a.key]; ok {
			list = append(list, s.origin(now, a.key))
		}

		return true
	})

	return list
}

// Len returns the number of streams.
func (t *Table) Len() int { return len(t.streams) }
