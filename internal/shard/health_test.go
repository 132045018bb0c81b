package shard_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"yuccalanding.example/yuccalanding/internal/job"
)

// A worker whose runs all fail quickly always has free capacity. It must not get most
// tasks for that reason.
func TestFailingWorkerFailsFewTasks(t *testing.T) {
	sim := newSimulation(t, 3, 6, workerSize)
	sim.advance(time.Second)
	sim.workers[0].failsTasks = true
	for i := range 120 {
		sim.submit(id(i), urgentTerms, job.Spec{Steps: []job.Step{tasks(4, 1000, 700*time.Millisecond)}}, 700*time.Millisecond)
		sim.advance(100 * time.Millisecond)
	}
	sim.requireAllEnded(30 * time.Second)
	failures, failed := 0, 0
	for _, id := range sim.jobIDs {
		for _, count := range sim.jobs[id].handledFailures {
			failures += count
		}
		if state, _ := sim.leader.shard.State(id); state == job.Failed {
			failed++
		}
	}
	require.Zero(t, failed, "no job may fail because of its worker")
	// A placement pass can fill the worker (16 tasks) before its first failure is
	// known. So can the first pass after each of 3 quarantines in 12 s.
	require.LessOrEqual(t, failures, 4*16)
}

// Tasks that make no progress must restart elsewhere, even if their worker answers all
// calls.
func TestStalledTasksRestartElsewhere(t *testing.T) {
	sim := newSimulation(t, 4, 3, workerSize)
	sim.advance(time.Second)
	for i := range 6 {
		sim.submit(id(i), batchTerms, job.Spec{Steps: []job.Step{tasks(4, 2000, time.Second)}}, time.Second)
	}
	sim.workers[0].stallsTasks = true
	sim.requireAllEnded(12 * time.Second)
}

// Workers that become six times slower but answer all calls must get little work.
func TestSlowWorkersGetLittleWork(t *testing.T) {
	sim := newSimulation(t, 15, 6, workerSize)
	sim.advance(time.Second)
	sim.workers[0].slowdown, sim.workers[1].slowdown = 6.5, 6.5
	var late int
	for i := range 150 {
		sim.submit(id(i), urgentTerms, job.Spec{Steps: []job.Step{tasks(4, 1000, 700*time.Millisecond)}}, 700*time.Millisecond)
		sim.advance(80 * time.Millisecond)
	}
	submittedAt := map[string]time.Duration{}
	for i := 150; i < 250; i++ {
		sim.submit(id(i), urgentTerms, job.Spec{Steps: []job.Step{tasks(4, 1000, 700*time.Millisecond)}}, 700*time.Millisecond)
		submittedAt[id(i)] = sim.now
		sim.advance(80 * time.Millisecond)
		for id, submitted := range submittedAt {
			if state, _ := sim.leader.shard.State(id); state.Ended() {
				delete(submittedAt, id)
			} else if sim.now-submitted > 1650*time.Millisecond { // the objective of the queue
				delete(submittedAt, id)
				late++
			}
		}
	}
	// A slow worker without runs gets tasks again when its samples are too old: every
	// 10 s, a job or two on each of the 2 slow workers.
	require.LessOrEqual(t, late, 10)
	sim.requireAllEnded(30 * time.Second)
}

// A long task on a worker that becomes slow must move to a worker that isn't slow and on
// which it fits.
func TestLongTaskMovesOffSlowWorker(t *testing.T) {
	sim := newSimulation(t, 16, 2, workerSize)
	sim.advance(time.Second)
	sim.submit(id(0), batchTerms, job.Spec{Steps: []job.Step{tasks(1, 4000, 4*time.Second)}}, 4*time.Second)
	sim.submit(id(1), batchTerms, job.Spec{Steps: []job.Step{tasks(1, 4000, 4*time.Second)}}, 4*time.Second)
	sim.advance(300 * time.Millisecond)
	for _, worker := range sim.workers {
		if len(worker.runs) > 0 {
			worker.slowdown = 6.5
		}
	}
	// It would take 26 s on the slow worker. That is detected within two reports, and
	// the new run takes 4 s.
	require.Less(t, sim.advanceUntilEnded(id(0), 40*time.Second), 12*time.Second)
	require.Empty(t, sim.violations)
}

// Gang members that are ready report 100 percent until all others are. That must not
// count as a stall, or the gang starts anew, as 18 of 128 gangs did (site
// mcog-bakehouse-grown, run quiet-1).
func TestGangWaitingForSlowestMemberIsNotStalled(t *testing.T) {
	sim := newSimulation(t, 35, 3, workerSize)
	sim.advance(time.Second)
	sim.submit(id(0), batchTerms, job.Spec{Steps: []job.Step{gang(3, 8, 8*time.Second)}}, 14*time.Second)
	for _, worker := range sim.workers {
		worker.fullPercentAfter = 8 * time.Second
	}
	require.Less(t, sim.advanceUntilEnded(id(0), 30*time.Second), 16*time.Second)
	for _, worker := range sim.workers {
		require.LessOrEqual(t, worker.lastSequence, int64(1), "no member may be stopped: a worker has one result, of its member's only run")
	}
	require.Empty(t, sim.violations)
}

// Guards against tasks that last and wait although workers are nearly empty, because each failure of
// such a task counted against its worker, and nothing for it (review/9).
func TestFailuresOfTasksThatLastDoNotExcludeWorkers(t *testing.T) {
	for name, failsIn := range map[string]time.Duration{"each fails after 20 s or more": 20 * time.Second, "each fails after 1 s or more": time.Second} {
		t.Run(name, func(t *testing.T) { requireTasksThatLastToRun(t, failsIn) })
	}
}

// requireTasksThatLastToRun plays tasks that last, and fail after failsIn or up to three times as
// long. None may be without a run for 9 s.
func requireTasksThatLastToRun(t *testing.T, failsIn time.Duration) {
	sim := newSimulation(t, 92, 4, workerSize)
	sim.advance(time.Second)
	const jobs, count = 4, 4
	standing := tasks(count, 1000, 500*time.Millisecond)
	standing.LongRunning, standing.MaxPerWorker = true, 1
	for i := range jobs {
		sim.submit(id(i), batchTerms, job.Spec{Steps: []job.Step{standing}}, time.Hour).standingFailsIn = failsIn
	}
	sim.advance(time.Second)
	lastRun := map[string]time.Duration{}
	for end := sim.now + 5*time.Minute; sim.now < end; {
		sim.advance(50 * time.Millisecond)
		for i := range jobs {
			for index := range count {
				name := fmt.Sprintf("%s.0.0.%d", id(i), index)
				if sim.runs(name) {
					lastRun[name] = sim.now
				}
				require.Less(t, sim.now-lastRun[name], 9*time.Second, "%s has no run at %s", name, sim.now)
			}
		}
	}
	require.Greater(t, sim.startCount, 4*jobs*count, "the tasks fail")
	require.Empty(t, sim.violations)
}
