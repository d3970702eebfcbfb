package encoder

import (
	"bytes"
	"encoding/binary"
	"errors"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/tinylib/msgp/msgp"
)

// Guards against origins and queries that change in an encoding round trip.
func TestOriginsRoundTrip(t *testing.T) {
	c := qt.New(t)
	for _, m := range []Message{
		&Origins{},
		&Origins{List: []Origin{
			{Key: 1<<64 - 1, Version: strings.Repeat("v", MaxVersionBytes), Sole: true, Age: 1<<32 - 1}, {Key: 7},
		}},
		&Origins{List: make([]Origin, MaxOrigins)},
		&OriginQuery{Key: 1 << 63, Service: strings.Repeat("s", MaxServiceBytes)},
	} {
		buf, err := Append(nil, m)
		c.Assert(err, qt.IsNil)
		got, err := Decode(buf)
		c.Assert(err, qt.IsNil)
		c.Check(got, qt.DeepEquals, m)
	}
}

// Guards against messages that make a node keep more than the limits allow, or
// allocate memory for elements that a message does not contain.
func TestOriginsOverTheirLimitsAreRefused(t *testing.T) {
	c := qt.New(t)
	for _, m := range []Message{
		&Origins{List: []Origin{{Key: 1, Version: "a"}, {Key: 2, Version: strings.Repeat("v", MaxVersionBytes+1)}}},
		&Origins{List: make([]Origin, MaxOrigins+1)},
		&OriginQuery{Key: 1, Service: strings.Repeat("s", MaxServiceBytes+1)},
	} {
		buf, err := Append(nil, m)
		c.Assert(err, qt.IsNil)
		got, err := Decode(buf)
		c.Check(got, qt.IsNil)
		c.Check(err, qt.ErrorMatches, "encoder: decode: malformed message: .*")
	}
	// A list that claims four billion elements and contains none.
	claimed := binary.BigEndian.AppendUint32([]byte{(*Origins)(nil).kind(), 0x91, 0xdd}, 1<<32-1)
	_, err := Decode(claimed)
	c.Check(errors.Is(err, msgp.ErrLimitExceeded), qt.IsTrue, qt.Commentf("%v", err))
}

// Guards against malformed messages about origins that are accepted or crash the
// decoder, and against accepted ones over their limits.
func FuzzDecodeOrigins(f *testing.F) {
	for _, m := range []Message{
		&Origins{List: []Origin{{Key: 1 << 60, Version: "4.1.0", Age: 20}, {Key: 7, Version: "", Sole: true}}},
		&OriginQuery{Key: 1 << 60, Service: "chat"},
	} {
		buf, err := Append(nil, m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(buf[0] == (*Origins)(nil).kind(), buf[1:])
	}
	f.Fuzz(func(t *testing.T, origins bool, data []byte) {
		kind := (*OriginQuery)(nil).kind()
		if origins {
			kind = (*Origins)(nil).kind()
		}
		m, err := Decode(append([]byte{kind}, data...))
		if err != nil {
			return
		}
		switch m := m.(type) {
		case *Origins:
			if len(m.List) > MaxOrigins {
				t.Fatalf("%d origins", len(m.List))
			}
			for _, o := range m.List {
				if len(o.Version) > MaxVersionBytes {
					t.Fatalf("version of %d bytes", len(o.Version))
				}
			}
		case *OriginQuery:
			if len(m.Service) > MaxServiceBytes {
				t.Fatalf("service name of %d bytes", len(m.Service))
			}
		}
		once, err := Append(nil, m)
		if err != nil {
			t.Fatal(err)
		}
		again, err := Decode(once)
		if err != nil {
			t.Fatal(err)
		}
		twice, err := Append(nil, again)
		if err != nil || !bytes.Equal(once, twice) {
			t.Fatalf("encoded as %x and then as %x, error %v", once, twice, err)
		}
	})
}
