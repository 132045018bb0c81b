// Package uptime reads a clock that goes on while the machine is suspended.
//
// The monotonic readings of package time stop during a suspension, and the time of
// day may be set. A permission that ends after some time has to be timed with neither.
//
// # Usage
//
//	granted := uptime.Now()
//	...
//	if uptime.Now()-granted < lifetime { ... }
package uptime

import (
	"time"

	"golang.org/x/sys/unix"
)

// start is the origin of the readings if the machine lacks the clock.
var start = time.Now()

// Now returns the time since the machine was booted, suspensions included.
func Now() time.Duration {
	var reading unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &reading); err != nil {
		return time.Since(start)
	}
	return time.Duration(reading.Nano())
}
