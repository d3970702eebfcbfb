// Package timekeeper provides a clock that keeps running while the machine is
// suspended. Go's monotonic clock stops during suspension, so data that was
// read before it would seem younger than it is.
package timekeeper

import (
	"time"

	"golang.org/x/sys/unix"
)

// New returns a clock that starts at the current wall-clock time and ignores
// later changes to the wall clock. It falls back to time.Now if the system has
// no clock that counts suspended time.
func New() func() time.Time {
	start := time.Now()
	first, ok := sinceBoot()
	if !ok {
		return time.Now
	}
	origin := start.Round(0).Add(-first)

	return func() time.Time {
		now, _ := sinceBoot()

		return origin.Add(now)
	}
}

// sinceBoot returns the time since the machine booted, including the time it
// was suspended, and reports whether the system has such a clock.
func sinceBoot() (time.Duration, bool) {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return 0, false
	}

	return time.Duration(ts.Nano()), true
}
