package shard_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"yuccalanding.example/yuccalanding/internal/job"
)

// Pattern: workers are taken away as planned, with long-running tasks on them.
// These are at work elsewhere before their worker is gone, and a step with a
// disruption budget doesn't lose more tasks at a time than it may miss.
func TestLongRunningTasksLeaveADrainingWorker(t *testing.T) {
	w := newWorld(t, 23, 3, workerSize)
	w.run(time.Second)
	lasting := job.Step{Count: 12, Demand: job.Demand{MilliCPU: 1000, MemoryMB: 100}, LongRunning: true, MaxUnavailable: 2}
	w.submit(id(0), urgentTerms, job.Spec{Steps: []job.Step{lasting}}, time.Hour)
	w.run(2 * time.Second)
	crowded := w.workers[0]
	for _, worker := range w.workers {
		if len(worker.runs) > len(crowded.runs) {
			crowded = worker
		}
	}
	require.Greater(t, len(crowded.runs), 4)
	crowded.drain(11 * time.Second)
	for range 1000 {
		w.run(step)
		atWork := 0
		for _, worker := range w.workers {
			atWork += len(worker.runs)
		}
		require.GreaterOrEqual(t, atWork, lasting.Count-lasting.MaxUnavailable)
	}
	require.Empty(t, crowded.runs)
	require.Empty(t, w.faults)
}

// Pattern: as above, with work that ends. What ends in time is left alone,
// what keeps its progress works to the last, and the rest moves at once.
func TestWorkLeavesADrainingWorkerInTime(t *testing.T) {
	long := func(saves bool) job.Step {
		return job.Step{Count: 1, Demand: job.Demand{MilliCPU: 9000, MemoryMB: 100}, Estimate: 8 * time.Second, SavesProgress: saves}
	}
	cases := map[string]struct {
		step           job.Step
		drain          time.Duration
		earliest, last time.Duration // of its stop, after the notice; both 0: it isn't stopped
	}{
		"it ends before":         {long(false), 20 * time.Second, 0, 0},
		"it would be lost":       {long(false), 5 * time.Second, 0, 2 * time.Second},
		"its progress is kept":   {long(true), 5 * time.Second, 2 * time.Second, 4 * time.Second},
		"the notice comes short": {long(true), 2 * time.Second, 0, 2 * time.Second},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t, 24, 2, workerSize)
			w.run(time.Second)
			w.submit(id(0), batchTerms, job.Spec{Steps: []job.Step{c.step}}, 8*time.Second)
			w.run(time.Second)
			worker := w.workers[0]
			if len(worker.runs) == 0 {
				worker = w.workers[1]
			}
			began := w.now
			worker.drain(c.drain)
			for len(worker.runs) > 0 {
				w.run(step)
			}
			gone := w.now - began
			if c.last == 0 {
				require.Less(t, w.endedAt(id(0), time.Second)-began, 8*time.Second)
				return
			}
			require.GreaterOrEqual(t, gone, c.earliest)
			require.LessOrEqual(t, gone, c.last)
			w.endedAt(id(0), 20*time.Second)
			require.Empty(t, w.faults)
		})
	}
}
