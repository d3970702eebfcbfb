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
