package uptime

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
)

// A machine that isn't suspended must measure the same time on both clocks.
func TestNowAdvancesWithTheSteadyClock(t *testing.T) {
	const pause, tolerance = 20 * time.Millisecond, 2 * time.Second
	started, reading := time.Now(), Now()
	time.Sleep(pause)
	elapsed := Now() - reading
	require.GreaterOrEqual(t, elapsed, pause)
	require.Less(t, elapsed, time.Since(started)+tolerance)
}

// After a suspension the time of day has advanced further than the steady clock. The
// clock must be read again then, and must not be read as long as nothing has changed.
func TestNowIsReadAgainAfterASuspension(t *testing.T) {
	var reading unix.Timespec
	require.NoError(t, unix.ClockGettime(unix.CLOCK_BOOTTIME, &reading))
	boot := time.Duration(reading.Nano())
	const stale = time.Hour
	for name, c := range map[string]struct {
		skewChange time.Duration // since the last calibration
		want       time.Duration
	}{
		"nothing has changed": {0, boot + stale},
		"suspended":           {2 * time.Second, boot},
		"set back":            {-2 * time.Second, boot},
	} {
		t.Run(name, func(t *testing.T) {
			last.Store(nil)
			Now()
			current := last.Load()
			last.Store(&calibration{current.skew - c.skewChange, current.offset + stale})
			require.InDelta(t, c.want.Seconds(), Now().Seconds(), 2)
			last.Store(nil)
		})
	}
}
