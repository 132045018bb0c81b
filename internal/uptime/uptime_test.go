package uptime_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"yuccalanding.example/yuccalanding/internal/uptime"
)

// A machine that isn't suspended must measure the same time on both clocks.
func TestNowAdvancesWithTheSteadyClock(t *testing.T) {
	const pause, tolerance = 20 * time.Millisecond, 2 * time.Second
	started, reading := time.Now(), uptime.Now()
	time.Sleep(pause)
	elapsed := uptime.Now() - reading
	require.GreaterOrEqual(t, elapsed, pause)
	require.Less(t, elapsed, time.Since(started)+tolerance)
}
