package shard_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"yuccalanding.example/yuccalanding/internal/job"
)

// Long-running tasks on a draining worker must run elsewhere before it leaves. Meanwhile
// no more than MaxUnavailable tasks of a step may be unavailable at a time.
func TestLongRunningTasksMoveOffDrainingWorker(t *testing.T) {
	sim := newSimulation(t, 23, 3, workerSize)
	sim.advance(time.Second)
	longRunning := job.Step{Count: 12, Demand: job.Demand{MilliCPU: 1000, MemoryMB: 100}, LongRunning: true, MaxUnavailable: 2}
	sim.submit(id(0), urgentTerms, job.Spec{Steps: []job.Step{longRunning}}, time.Hour)
	sim.advance(2 * time.Second)
	fullest := sim.workers[0]
	for _, worker := range sim.workers {
		if len(worker.runs) > len(fullest.runs) {
			fullest = worker
		}
	}
	require.Greater(t, len(fullest.runs), 4)
	fullest.drain(11 * time.Second)
	for range 1000 { // 10 s
		sim.advance(tickLength)
		running := 0
		for _, worker := range sim.workers {
			running += len(worker.runs)
		}
		require.GreaterOrEqual(t, running, longRunning.Count-longRunning.MaxUnavailable)
	}
	require.Empty(t, fullest.runs)
	require.Empty(t, sim.violations)
}

// A run that isn't long-running must not be lost when a draining worker leaves. If it
// ends before that, it must not be stopped. Otherwise it must be stopped: shortly
// before the worker leaves if its task saves its progress, else at once.
func TestRunsOnDrainingWorkerStopInTime(t *testing.T) {
	longStep := func(savesProgress bool) job.Step {
		return job.Step{Count: 1, Demand: job.Demand{MilliCPU: 9000, MemoryMB: 100}, Estimate: 8 * time.Second, SavesProgress: savesProgress}
	}
	cases := map[string]struct {
		step  job.Step
		drain time.Duration // how long the worker drains before it leaves
		// earliest and latest bound the time from the start of draining to the stop
		// of the run. If latest is 0, the run isn't stopped.
		earliest, latest time.Duration
	}{
		"it ends before the worker leaves": {longStep(false), 20 * time.Second, 0, 0},
		"its progress would be lost":       {longStep(false), 5 * time.Second, 0, 2 * time.Second},
		"its progress is saved":            {longStep(true), 5 * time.Second, 2 * time.Second, 4 * time.Second},
		"the worker leaves very soon":      {longStep(true), 2 * time.Second, 0, 2 * time.Second},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			sim := newSimulation(t, 24, 2, workerSize)
			sim.advance(time.Second)
			sim.submit(id(0), batchTerms, job.Spec{Steps: []job.Step{c.step}}, 8*time.Second)
			sim.advance(time.Second)
			worker := sim.workers[0]
			if len(worker.runs) == 0 {
				worker = sim.workers[1]
			}
			drainStart := sim.now
			worker.drain(c.drain)
			for len(worker.runs) > 0 {
				sim.advance(tickLength)
			}
			stoppedAfter := sim.now - drainStart
			if c.latest == 0 {
				require.Less(t, sim.advanceUntilEnded(id(0), time.Second)-drainStart, 8*time.Second)
				return
			}
			require.GreaterOrEqual(t, stoppedAfter, c.earliest)
			require.LessOrEqual(t, stoppedAfter, c.latest)
			sim.advanceUntilEnded(id(0), 20*time.Second)
			require.Empty(t, sim.violations)
		})
	}
}
