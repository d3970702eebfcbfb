package encoder

import (
	"math"

	"github.com/tinylib/msgp/msgp"
)

// Observation is what a set of nodes has observed of one endpoint since the last
// message.
type Observation struct {
	// Endpoint has the value of Load.Endpoint, which is less than EndpointLimit.
	Endpoint uint32
	// Attempts is the number of attempts that have ended, and Failures that of those
	// that have failed because of the endpoint.
	Attempts, Failures int
	// Light and Busy sum up the times to the first token that were measured while
	// less than half of the endpoint's slots were in use, and while at least half
	// were.
	Light, Busy SpeedSum
}

// LogUnits is the number of units of SpeedSum.Log in a natural logarithm of 1.
const LogUnits = 16

// SpeedSum sums up measured times to the first token.
type SpeedSum struct {
	// Samples is the number of times, and Log the sum of the natural logarithms of
	// measured by expected time, in units of 1/LogUnits.
	Samples, Log int
}

// ObservationList is a list of observations. Each is encoded in 9 bytes: 3 for
// the endpoint and one for each number. Sums that do not fit are scaled down.
type ObservationList []Observation

const observationSize = 9

// Demand is what a client account asks of a group of requests.
type Demand struct {
	// Group is a hash of the service and the priority of the requests.
	Group uint16
	// Account is a hash of the name of the account that is less than EndpointLimit,
	// or zero for all accounts of the group that are not listed.
	Account uint32
	// Offered is the number of prompt tokens a second that the account has asked for,
	// and Admitted that of those that were sent to an endpoint, both in units of
	// DemandUnit.
	Offered, Admitted int
}

// DemandUnit is the unit of the rates of Demand in prompt tokens a second.
const DemandUnit = 64

// DemandList is a list of demands. Each is encoded in 9 bytes: 2 for the group, 3
// for the account and 2 for each rate, which is clamped to the range of a uint16.
type DemandList []Demand

const demandSize = 9

// EncodeMsg implements msgp.Encodable.
func (l ObservationList) EncodeMsg(w *msgp.Writer) error { return w.WriteBytes(l.pack()) }

// MarshalMsg implements msgp.Marshaler.
func (l ObservationList) MarshalMsg(b []byte) ([]byte, error) {
	return msgp.AppendBytes(b, l.pack()), nil
}

// Msgsize implements msgp.Sizer.
func (l ObservationList) Msgsize() int { return msgp.BytesPrefixSize + observationSize*len(l) }

// DecodeMsg implements msgp.Decodable.
func (l *ObservationList) DecodeMsg(r *msgp.Reader) error {
	packed, err := r.ReadBytes(nil)
	if err != nil {
		return err
	}

	return l.unpack(packed)
}

// UnmarshalMsg implements msgp.Unmarshaler.
func (l *ObservationList) UnmarshalMsg(b []byte) ([]byte, error) {
	packed, rest, err := msgp.ReadBytesZC(b)
	if err != nil {
		return b, err
	}

	return rest, l.unpack(packed)
}

func (l ObservationList) pack() []byte {
	b := make([]byte, 0, observationSize*len(l))
	for _, o := range l {
		o = o.scaled()
		b = append(b, byte(o.Endpoint>>16), byte(o.Endpoint>>8), byte(o.Endpoint), count(o.Attempts), count(o.Failures),
			count(o.Light.Samples), fit(o.Light.Log), count(o.Busy.Samples), fit(o.Busy.Log))
	}

	return b
}

// scaled returns the observation with sums that fit into their bytes. Sums that belong
// together keep their ratio.
func (o Observation) scaled() Observation {
	if o.Attempts > math.MaxUint8 {
		o.Failures = o.Failures * math.MaxUint8 / o.Attempts
		o.Attempts = math.MaxUint8
	}
	o.Light, o.Busy = o.Light.scaled(), o.Busy.scaled()

	return o
}

func (s SpeedSum) scaled() SpeedSum {
	factor := 1.0
	if s.Samples > math.MaxUint8 {
		factor = math.MaxUint8 / float64(s.Samples)
	}
	limit := float64(math.MaxInt8)
	if s.Log < 0 {
		limit = -math.MinInt8
	}
	if size := math.Abs(float64(s.Log)); factor*size > limit {
		factor = limit / size
	}
	if factor == 1 {
		return s
	}

	return SpeedSum{Samples: max(int(factor*float64(s.Samples)), 1), Log: int(factor * float64(s.Log))}
}

func count(n int) byte { return byte(min(max(n, 0), math.MaxUint8)) }

func (l *ObservationList) unpack(b []byte) error {
	if len(b)%observationSize != 0 {
		return &Error{Op: "decode observations", Kind: KindMalformed}
	}
	*l = nil
	for ; len(b) > 0; b = b[observationSize:] {
		*l = append(*l, Observation{
			Endpoint: uint32(b[0])<<16 | uint32(b[1])<<8 | uint32(b[2]), Attempts: int(b[3]), Failures: int(b[4]),
			Light: SpeedSum{int(b[5]), int(int8(b[6]))}, Busy: SpeedSum{int(b[7]), int(int8(b[8]))},
		})
	}

	return nil
}

// EncodeMsg implements msgp.Encodable.
func (l DemandList) EncodeMsg(w *msgp.Writer) error { return w.WriteBytes(l.pack()) }

// MarshalMsg implements msgp.Marshaler.
func (l DemandList) MarshalMsg(b []byte) ([]byte, error) { return msgp.AppendBytes(b, l.pack()), nil }

// Msgsize implements msgp.Sizer.
func (l DemandList) Msgsize() int { return msgp.BytesPrefixSize + demandSize*len(l) }

// DecodeMsg implements msgp.Decodable.
func (l *DemandList) DecodeMsg(r *msgp.Reader) error {
	packed, err := r.ReadBytes(nil)
	if err != nil {
		return err
	}

	return l.unpack(packed)
}

// UnmarshalMsg implements msgp.Unmarshaler.
func (l *DemandList) UnmarshalMsg(b []byte) ([]byte, error) {
	packed, rest, err := msgp.ReadBytesZC(b)
	if err != nil {
		return b, err
	}

	return rest, l.unpack(packed)
}

func (l DemandList) pack() []byte {
	b := make([]byte, 0, demandSize*len(l))
	for _, d := range l {
		offered, admitted := rate(d.Offered), rate(d.Admitted)
		b = append(b, byte(d.Group>>8), byte(d.Group), byte(d.Account>>16), byte(d.Account>>8), byte(d.Account),
			byte(offered>>8), byte(offered), byte(admitted>>8), byte(admitted))
	}

	return b
}

func rate(n int) uint16 { return uint16(min(max(n, 0), math.MaxUint16)) }

func (l *DemandList) unpack(b []byte) error {
	if len(b)%demandSize != 0 {
		return &Error{Op: "decode demands", Kind: KindMalformed}
	}
	*l = nil
	for ; len(b) > 0; b = b[demandSize:] {
		*l = append(*l, Demand{
			Group: uint16(b[0])<<8 | uint16(b[1]), Account: uint32(b[2])<<16 | uint32(b[3])<<8 | uint32(b[4]),
			Offered: int(b[5])<<8 | int(b[6]), Admitted: int(b[7])<<8 | int(b[8]),
		})
	}

	return nil
}
