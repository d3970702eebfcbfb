// Package timekeeper reads a clock that goes on while the machine is
// suspended. The clock of the runtime stops then, so that what was read before
// would seem younger than it is.
package timekeeper

import (
	"time"

	"golang.org/x/sys/unix"
)

// New returns a clock that starts at the time of day and is never set. It
// falls back to the clock of the runtime where the system has no such clock.
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

// sinceBoot returns the time since the machine has started, with the time in
// which it was suspended.
func sinceBoot() (time.Duration, bool) {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return 0, false
	}

	return time.Duration(ts.Nano()), true
}
