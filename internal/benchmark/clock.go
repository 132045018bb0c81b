package benchmark

import (
	"runtime"
	"time"

	"golang.org/x/sys/unix"
)

// processorTime returns the processor time that the calling thread has used.
// Unlike wall-clock time it doesn't grow while other processes run. The caller
// must stay on one thread, see onOneThread.
func processorTime() time.Duration {
	var used unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_THREAD_CPUTIME_ID, &used); err != nil {
		panic(err) // Linux always has this clock.
	}
	return time.Duration(used.Nano())
}

// onOneThread runs the function with its goroutine locked to one thread.
func onOneThread(run func()) {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	run()
}
