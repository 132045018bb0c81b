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
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// start is the origin of the readings if the machine lacks the clock.
var start = time.Now()

// maxSkewChange is the change of the difference between the time of day and the steady
// clock from which on the clock is read again. A suspension changes it, as does a clock
// that is set.
const maxSkewChange = time.Millisecond

// calibration is the result of the last system call that read the clock.
type calibration struct {
	skew   time.Duration // of the time of day to the steady clock, since start
	offset time.Duration // of the clock to the steady clock since start
}

var last atomic.Pointer[calibration]

// Now returns the time since the machine was booted, suspensions included. It makes a
// system call only if the machine may have been suspended since the last one.
func Now() time.Duration {
	now := time.Now()
	steady := now.Sub(start)
	skew := now.Round(0).Sub(start.Round(0)) - steady
	if known := last.Load(); known != nil && (skew-known.skew).Abs() <= maxSkewChange {
		return steady + known.offset
	}
	var reading unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &reading); err != nil {
		return steady
	}
	since := time.Duration(reading.Nano())
	last.Store(&calibration{skew, since - steady})
	return since
}
