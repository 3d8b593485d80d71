// Package uptime reads a clock that goes on while the machine is suspended, which
// the clock of package time does not. Leases are measured with it.
package uptime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the machine's start.
func Now() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return time.Duration(time.Now().UnixNano())
	}
	return time.Duration(t.Nano())
}
