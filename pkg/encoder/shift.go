package encoder

import (
	"math"

	"github.com/tinylib/msgp/msgp"
)

// Chunk is the unit of Shift.Chunks in prompt tokens.
const Chunk = 256

// Shift is a change in the load that a set of nodes places on one endpoint.
type Shift struct {
	// Endpoint has the value of Load.Endpoint, which is less than EndpointLimit.
	Endpoint uint32
	Running  int
	// Chunks is the change of Load.PrefillTokens divided by Chunk.
	Chunks int
}

// EndpointLimit is the exclusive upper bound of endpoint numbers in messages.
const EndpointLimit = 1 << 24

// Shifts is a list of shifts. Each is encoded in 5 bytes: 3 for the endpoint and
// one for each change, which is clamped to the range of an int8.
type Shifts []Shift

const shiftSize = 5

// EncodeMsg implements msgp.Encodable.
func (s Shifts) EncodeMsg(w *msgp.Writer) error { return w.WriteBytes(s.pack()) }

// MarshalMsg implements msgp.Marshaler.
func (s Shifts) MarshalMsg(b []byte) ([]byte, error) { return msgp.AppendBytes(b, s.pack()), nil }

// Msgsize implements msgp.Sizer.
func (s Shifts) Msgsize() int { return msgp.BytesPrefixSize + shiftSize*len(s) }

// DecodeMsg implements msgp.Decodable.
func (s *Shifts) DecodeMsg(r *msgp.Reader) error {
	packed, err := r.ReadBytes(nil)
	if err != nil {
		return err
	}

	return s.unpack(packed)
}

// UnmarshalMsg implements msgp.Unmarshaler.
func (s *Shifts) UnmarshalMsg(b []byte) ([]byte, error) {
	packed, rest, err := msgp.ReadBytesZC(b)
	if err != nil {
		return b, err
	}

	return rest, s.unpack(packed)
}

func (s Shifts) pack() []byte {
	b := make([]byte, 0, shiftSize*len(s))
	for _, x := range s {
		b = append(b, byte(x.Endpoint>>16), byte(x.Endpoint>>8), byte(x.Endpoint), fit(x.Running), fit(x.Chunks))
	}

	return b
}

func fit(n int) byte { return byte(int8(min(max(n, math.MinInt8), math.MaxInt8))) }

func (s *Shifts) unpack(b []byte) error {
	if len(b)%shiftSize != 0 {
		return &Error{Op: "decode shifts", Kind: KindMalformed}
	}
	*s = nil
	for ; len(b) > 0; b = b[shiftSize:] {
		*s = append(*s, Shift{
			Endpoint: uint32(b[0])<<16 | uint32(b[1])<<8 | uint32(b[2]), Running: int(int8(b[3])), Chunks: int(int8(b[4])),
		})
	}

	return nil
}
