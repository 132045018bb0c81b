package shard_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"yuccalanding.example/yuccalanding/internal/job"
)

// Pattern: a worker fails all that it starts, quickly, and so always has room.
func TestFailingWorkerLosesFewTasks(t *testing.T) {
	w := newWorld(t, 3, 6, workerSize)
	w.run(time.Second)
	w.workers[0].fails = true
	for i := range 120 {
		w.submit(id(i), urgentTerms, job.Spec{Steps: []job.Step{tasks(4, 1000, 700*time.Millisecond)}}, 700*time.Millisecond)
		w.run(100 * time.Millisecond)
	}
	w.requireWhole(30 * time.Second)
	failures, failed := 0, 0
	for _, id := range w.order {
		for _, count := range w.jobs[id].failures {
			failures += count
		}
		if state, _ := w.holder.shard.State(id); state == job.Failed {
			failed++
		}
	}
	require.Zero(t, failed, "jobs that could be done are shown as failed")
	// A placement round can fill the worker before its first failure is known,
	// and each probe after a pause can do so once more (3 probes in 12 s).
	require.LessOrEqual(t, failures, 4*16)
}

// Pattern: tasks on one worker stand still while its calls are answered.
func TestStalledTasksStartElsewhere(t *testing.T) {
	w := newWorld(t, 4, 3, workerSize)
	w.run(time.Second)
	for i := range 6 {
		w.submit(id(i), batchTerms, job.Spec{Steps: []job.Step{tasks(4, 2000, time.Second)}}, time.Second)
	}
	w.workers[0].hangs = true
	w.requireWhole(12 * time.Second)
}

// Pattern: some workers turn slow by six times while they stay healthy.
func TestSlowWorkersGetLittleWork(t *testing.T) {
	w := newWorld(t, 15, 6, workerSize)
	w.run(time.Second)
	w.workers[0].slow, w.workers[1].slow = 6.5, 6.5
	var late int
	for i := range 150 {
		w.submit(id(i), urgentTerms, job.Spec{Steps: []job.Step{tasks(4, 1000, 700*time.Millisecond)}}, 700*time.Millisecond)
		w.run(80 * time.Millisecond)
	}
	began := map[string]time.Duration{}
	for i := 150; i < 250; i++ {
		w.submit(id(i), urgentTerms, job.Spec{Steps: []job.Step{tasks(4, 1000, 700*time.Millisecond)}}, 700*time.Millisecond)
		began[id(i)] = w.now
		w.run(80 * time.Millisecond)
		for id, at := range began {
			if state, _ := w.holder.shard.State(id); state.Ended() {
				delete(began, id)
			} else if w.now-at > 1650*time.Millisecond { // the queue's objective
				delete(began, id)
				late++
			}
		}
	}
	// A worker without runs is tried again when its last samples are old:
	// each 10 s, on 2 of 6 workers, with a job or two.
	require.LessOrEqual(t, late, 10)
	w.requireWhole(30 * time.Second)
}

// Pattern: a long task is on a worker that turns slow; sound workers have room.
func TestLongTaskMovesAwayFromASlowWorker(t *testing.T) {
	w := newWorld(t, 16, 2, workerSize)
	w.run(time.Second)
	w.submit(id(0), batchTerms, job.Spec{Steps: []job.Step{tasks(1, 4000, 4*time.Second)}}, 4*time.Second)
	w.submit(id(1), batchTerms, job.Spec{Steps: []job.Step{tasks(1, 4000, 4*time.Second)}}, 4*time.Second)
	w.run(300 * time.Millisecond)
	for _, worker := range w.workers {
		if len(worker.runs) > 0 {
			worker.slow = 6.5
		}
	}
	// 26 s on the slow worker; noticed within two reports, then 4 s elsewhere.
	require.Less(t, w.endedAt(id(0), 40*time.Second), 12*time.Second)
	require.Empty(t, w.faults)
}

// Pattern: members of a gang are ready before the others. They stand at their
// end until all are, which is no reason to start the gang anew
// (mcog-bakehouse-grown, quiet-1: 18 gangs of 128).
func TestGangThatWaitsForItsSlowestMemberIsNotStalled(t *testing.T) {
	w := newWorld(t, 35, 3, workerSize)
	w.run(time.Second)
	w.submit(id(0), batchTerms, job.Spec{Steps: []job.Step{gang(3, 8, 8*time.Second)}}, 14*time.Second)
	for _, worker := range w.workers {
		worker.fullAfter = 8 * time.Second
	}
	require.Less(t, w.endedAt(id(0), 30*time.Second), 16*time.Second)
	for _, worker := range w.workers {
		require.LessOrEqual(t, worker.number, int64(1), "no member was stopped")
	}
	require.Empty(t, w.faults)
}
