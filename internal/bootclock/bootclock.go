// Package bootclock reads a clock that also counts the time in which the host is suspended.
//
// The monotonic clock of package time stands still during a suspension, so that a process that
// wakes up would take what it knew before for recent.
package bootclock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the host was booted, suspensions included.
func Now() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		// Only a kernel without this clock fails.
		panic("bootclock: " + err.Error())
	}
	return time.Duration(t.Nano())
}
