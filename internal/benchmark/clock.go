package benchmark

import (
	"runtime"
	"time"

	"golang.org/x/sys/unix"
)

// processorTime is the processor time that the calling thread has used. Other
// processes stretch a wall clock's time, but not this one. The caller has to
// keep its thread, see onOneThread.
func processorTime() time.Duration {
	var used unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_THREAD_CPUTIME_ID, &used); err != nil {
		panic(err) // Linux has this clock
	}
	return time.Duration(used.Nano())
}

// onOneThread runs the function on a thread of its own.
func onOneThread(run func()) {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	run()
}
