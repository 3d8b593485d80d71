// Package uptime reads a monotonic clock that keeps running while the machine is
// suspended, unlike the monotonic clock of package time. Leases are measured with it.
package uptime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the machine booted. If the clock can't be read, it
// returns the time since the Unix epoch.
func Now() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return time.Duration(time.Now().UnixNano())
	}
	return time.Duration(t.Nano())
}
