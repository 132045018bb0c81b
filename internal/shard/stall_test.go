package shard_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"yuccalanding.example/yuccalanding/internal/job"
)

// longTasks returns a simulation in which each of three workers runs one of three jobs of one
// task each.
func longTasks(t *testing.T, estimate, runTime time.Duration) *simulation {
	sim := newSimulation(t, 120, 3, workerSize)
	sim.advance(time.Second)
	for i := range 3 {
		sim.submit(id(i), batchTerms, job.Spec{Steps: []job.Step{tasks(1, 9000, estimate)}}, runTime)
	}
	sim.advance(time.Second)
	// Nothing in these tests depends on shorter ticks.
	sim.tickLength = 50 * time.Millisecond
	return sim
}

// Guards against long tasks that are stopped as stalled again and again, because their whole
// percents don't change for seconds (review, point 2 of issue 33).
func TestLongTasksRunOnce(t *testing.T) {
	for name, test := range map[string]struct{ estimate, runTime time.Duration }{
		"5 min, estimated at 30 s":   {30 * time.Second, 5 * time.Minute},
		"1 h, estimated at 2 min":    {2 * time.Minute, time.Hour},
		"10 min":                     {10 * time.Minute, 10 * time.Minute},
		"10 min, estimated at 1 min": {time.Minute, 10 * time.Minute},
		"10 min, estimated at 8 h":   {8 * time.Hour, 10 * time.Minute},
		"1 h":                        {time.Hour, time.Hour},
		"1 h, estimated at 10 min":   {10 * time.Minute, time.Hour},
		"1 h, estimated at 8 h":      {8 * time.Hour, time.Hour},
		"8 h":                        {8 * time.Hour, 8 * time.Hour},
		"8 h, estimated at 10 min":   {10 * time.Minute, 8 * time.Hour},
	} {
		t.Run(name, func(t *testing.T) {
			sim := longTasks(t, test.estimate, test.runTime)
			sim.requireAllEnded(test.runTime + time.Minute)
			require.Equal(t, 3, sim.startCount, "each task runs once")
		})
	}
}

// Guards against a new leader that stops long runs as stalled, because it doesn't know the
// history of the runs that it adopts (point 2 of issue 33). The estimate of 20 s is that of a
// short task: only what the former leader stored shows that these are long.
func TestLongTasksOutliveChangesOfLeader(t *testing.T) {
	for name, test := range map[string]struct {
		estimate, runTime, changes time.Duration
	}{
		"10 min, a change each 90 s":       {10 * time.Minute, 10 * time.Minute, 90 * time.Second},
		"10 min, estimated at 20 s":        {20 * time.Second, 10 * time.Minute, 100 * time.Second},
		"8 h, a change each 40 min":        {8 * time.Hour, 8 * time.Hour, 40 * time.Minute},
		"8 h, estimated at 10 min":         {10 * time.Minute, 8 * time.Hour, 11 * time.Minute},
		"4 min, a change before a percent": {4 * time.Minute, 4 * time.Minute, time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			sim := longTasks(t, test.estimate, test.runTime)
			nextChange, starts := sim.now+test.changes, 0
			for sim.openJobs() > 0 {
				sim.advance(time.Second)
				if sim.now >= nextChange && sim.now < 4*test.changes {
					if starts == 0 {
						starts = sim.startCount
					}
					sim.leader.dead = true
					sim.replaceLeader()
					nextChange += test.changes
				}
				require.Less(t, sim.now, 2*test.runTime)
			}
			require.Empty(t, sim.violations)
			require.Equal(t, starts, sim.startCount, "no run may be stopped after a change of leader")
		})
	}
}

// Guards against runs that resume from a checkpoint and are stopped as stalled: the jump to the
// restored percentage is no measure of their speed.
func TestResumedLongTasksRunToTheirEnd(t *testing.T) {
	sim := newSimulation(t, 121, 2, workerSize)
	sim.advance(time.Second)
	step := tasks(1, 9000, 10*time.Minute)
	step.SavesProgress = true
	sim.checkpointInterval = 45 * time.Second
	sim.submit(id(0), batchTerms, job.Spec{Steps: []job.Step{step}}, time.Hour)
	sim.advance(20 * time.Minute)
	for _, worker := range sim.workers {
		if len(worker.runs) > 0 {
			worker.crash()
			worker.restart()
		}
	}
	sim.requireAllEnded(time.Hour)
	require.Equal(t, 2, sim.startCount, "one run until the crash, one after it")
	require.Less(t, sim.now, 62*time.Minute, "it resumes from its checkpoint")
}

// Guards against runs that are stopped as stalled although their checkpoints change: the task is
// 180 times longer than estimated, so its first percent takes 36 s.
func TestCheckpointsProveProgress(t *testing.T) {
	sim := newSimulation(t, 125, 2, workerSize)
	sim.advance(time.Second)
	step := tasks(1, 9000, 20*time.Second)
	step.SavesProgress = true
	sim.checkpointInterval = 2 * time.Second
	sim.submit(id(0), batchTerms, job.Spec{Steps: []job.Step{step}}, time.Hour)
	sim.advance(time.Second)
	sim.tickLength = 50 * time.Millisecond
	sim.requireAllEnded(61 * time.Minute)
	require.Equal(t, 1, sim.startCount)
}

// Guards against long runs that are stopped as stalled when their worker becomes six times slower.
func TestSlowedLongTasksAreNotStalled(t *testing.T) {
	sim := longTasks(t, time.Hour, time.Hour)
	sim.advance(20 * time.Minute)
	for _, worker := range sim.workers {
		worker.slowdown = 6
	}
	sim.requireAllEnded(6 * time.Hour)
	require.Equal(t, 3, sim.startCount)
}

// Guards against a new leader that stops a gang whose members are ready, and wait for the slowest
// one, as it doesn't know for how long they have worked.
func TestAdoptedGangWaitingForSlowestMemberIsNotStalled(t *testing.T) {
	sim := newSimulation(t, 126, 3, workerSize)
	sim.advance(time.Second)
	sim.submit(id(0), batchTerms, job.Spec{Steps: []job.Step{gang(3, 8, 8*time.Second)}}, 14*time.Second)
	for _, worker := range sim.workers {
		worker.fullPercentAfter = 8 * time.Second
	}
	sim.advance(9 * time.Second)
	sim.leader.dead = true
	sim.replaceLeader()
	sim.advance(time.Second)
	sim.requireAllEnded(10 * time.Second)
	require.Equal(t, 3, sim.startCount, "each member runs once")
}

// A task that is far longer than its estimate, which is that of a short one, ends after a few
// runs: each that shows no progress on a further worker doubles the time.
func TestTaskFarLongerThanShortEstimateEnds(t *testing.T) {
	sim := newSimulation(t, 122, 3, workerSize)
	sim.advance(time.Second)
	sim.submit(id(0), batchTerms, job.Spec{Steps: []job.Step{tasks(1, 9000, 5*time.Second)}}, time.Hour)
	sim.advance(time.Second)
	sim.tickLength = 50 * time.Millisecond
	sim.requireAllEnded(time.Hour + 2*time.Minute)
	require.LessOrEqual(t, sim.startCount, 6)
}

// Guards against a stall that is found too late: after 3 s for short tasks, a tenth of the estimate or,
// if that is over 100 s, half of it (at most 5 min) before the first percent, and 8 percents of
// the run time after it.
func TestStalledRunsAreFoundInTime(t *testing.T) {
	for name, test := range map[string]struct {
		estimate, runTime, stallsAfter, limit time.Duration
	}{
		"short, at the start":                 {11 * time.Second, 11 * time.Second, 0, 3 * time.Second},
		"short, after a percent":              {11 * time.Second, 11 * time.Second, 150 * time.Millisecond, 3 * time.Second},
		"short, later":                        {11 * time.Second, 11 * time.Second, 5 * time.Second, 3 * time.Second},
		"30 s":                                {30 * time.Second, 30 * time.Second, 10 * time.Second, 3 * time.Second},
		"1 min, at the start":                 {time.Minute, time.Minute, 0, 6 * time.Second},
		"10 min, at the start":                {10 * time.Minute, 10 * time.Minute, 0, 5 * time.Minute},
		"10 min, later":                       {10 * time.Minute, 10 * time.Minute, time.Minute, 48 * time.Second},
		"8 h, at the start":                   {8 * time.Hour, 8 * time.Hour, 0, 48 * time.Minute},
		"8 h, later":                          {8 * time.Hour, 8 * time.Hour, time.Hour, 8 * 288 * time.Second},
		"1 min, estimated at 8 h":             {8 * time.Hour, time.Minute, 10 * time.Second, 5 * time.Second},
		"8 h, estimated at 10 min, at 1 h":    {10 * time.Minute, 8 * time.Hour, time.Hour, 8 * 288 * time.Second},
		"8 h, estimated at 10 min, at 10 min": {10 * time.Minute, 8 * time.Hour, 10 * time.Minute, 8 * 288 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			sim := newSimulation(t, 123, 3, workerSize)
			sim.advance(time.Second)
			found := time.Duration(0)
			sim.onLog = func(event string, _ []any) {
				if event == "run-stalled" && found == 0 {
					found = sim.now
				}
			}
			sim.submit(id(0), batchTerms, job.Spec{Steps: []job.Step{tasks(1, 9000, test.estimate)}}, test.runTime)
			for sim.startCount == 0 {
				sim.advance(tickLength)
			}
			sim.tickLength = 50 * time.Millisecond
			sim.advance(test.stallsAfter)
			require.Zero(t, found)
			for _, worker := range sim.workers {
				worker.stallsTasks = len(worker.runs) > 0
			}
			stalledAt := sim.now
			// A percent may have been reported just before, and a report may be 1.5 s old.
			limit := test.limit + test.limit/10 + 2*time.Second
			sim.advance(limit)
			require.NotZero(t, found, "no stall was found in %s", limit)
			t.Log("found after", found-stalledAt)
			sim.requireAllEnded(2 * test.runTime)
			require.Equal(t, 2, sim.startCount)
		})
	}
}

// Guards against long tasks that are moved as slow, and lose their work, because their estimates
// are far too low: the worker seems slow to the runs of all jobs on it.
func TestLongTasksWithLowEstimatesAreNotMoved(t *testing.T) {
	for name, test := range map[string]struct{ estimate, runTime time.Duration }{
		"10 min, estimated at 1 min": {time.Minute, 10 * time.Minute},
		"1 h, estimated at 10 min":   {10 * time.Minute, time.Hour},
		"8 h, estimated at 1 h":      {time.Hour, 8 * time.Hour},
	} {
		t.Run(name, func(t *testing.T) {
			sim := newSimulation(t, 124, 3, workerSize)
			sim.advance(time.Second)
			for i := range 6 {
				sim.submit(id(i), batchTerms, job.Spec{Steps: []job.Step{tasks(1, 4000, test.estimate)}}, test.runTime)
			}
			sim.advance(time.Second)
			sim.tickLength = 50 * time.Millisecond
			sim.advance(test.runTime / 50)
			sim.addWorker(workerSize)
			sim.requireAllEnded(test.runTime + time.Minute)
			require.Equal(t, 6, sim.startCount, "each task runs once")
		})
	}
}
