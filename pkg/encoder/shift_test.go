package encoder

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against shifts that change in an encoding round trip, and against
// accepting malformed lengths, such as those of another message version.
func TestShiftsRoundTrip(t *testing.T) {
	c := qt.New(t)
	for _, shifts := range []Shifts{nil, {{Endpoint: EndpointLimit - 1, Running: -128, Chunks: 127}, {Endpoint: 1, Running: 1, Chunks: -1}}} {
		buf, err := Append(nil, &Update{Changes: []LoadChange{{Centre: "kochi", Long: -1, Shifts: shifts}}})
		c.Assert(err, qt.IsNil)
		m, err := Decode(buf)
		c.Assert(err, qt.IsNil)
		c.Check(m.(*Update).Changes[0].Shifts, qt.DeepEquals, shifts)
	}
	// Values out of range are clamped; the next full sum corrects them.
	c.Check(int8(fit(1000)), qt.Equals, int8(127))
	c.Check(int8(fit(-1000)), qt.Equals, int8(-128))
	var s Shifts
	_, err := s.UnmarshalMsg([]byte{0xc4, 4, 1, 2, 3, 4})
	c.Check(err, qt.ErrorMatches, "encoder: .*")
	_, err = s.UnmarshalMsg([]byte{0xc4, 9, 1})
	c.Check(err, qt.IsNotNil)
}

// Guards against observations and demands that change in an encoding round trip, and
// against numbers out of range that wrap around, such as a burst of failures that
// arrives as none.
func TestObservationsAndDemandsRoundTrip(t *testing.T) {
	c := qt.New(t)
	observations := ObservationList{
		{Endpoint: EndpointLimit - 1, Attempts: 255, Failures: 3, Light: SpeedSum{7, -128}, Busy: SpeedSum{255, 127}}, {Endpoint: 1},
	}
	demands := DemandList{{Group: 65535, Account: EndpointLimit - 1, Offered: 65535, Admitted: 1}, {Admitted: 256}}
	for _, m := range []Message{&Observations{Centre: "kochi", List: observations}, &Demands{List: demands}} {
		buf, err := Append(nil, m)
		c.Assert(err, qt.IsNil)
		decoded, err := Decode(buf)
		c.Assert(err, qt.IsNil)
		c.Check(decoded, qt.DeepEquals, m)
	}
	var o ObservationList
	_, err := o.UnmarshalMsg(ObservationList{{Attempts: 510, Failures: 100, Light: SpeedSum{100, -254}, Busy: SpeedSum{510, 100}}}.appendTo(nil))
	c.Assert(err, qt.IsNil)
	// The shares and means are kept.
	c.Check(o, qt.DeepEquals, ObservationList{{Attempts: 255, Failures: 50, Light: SpeedSum{50, -128}, Busy: SpeedSum{255, 50}}})
	var d DemandList
	_, err = d.UnmarshalMsg([]byte{0xc4, 4, 1, 2, 3, 4})
	c.Check(err, qt.ErrorMatches, "encoder: .*")
}

func (l ObservationList) appendTo(b []byte) []byte {
	b, _ = l.MarshalMsg(b)

	return b
}
