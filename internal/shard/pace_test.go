package shard_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"yuccalanding.example/yuccalanding/internal/job"
)

// Best-effort tasks must slow down in favor of serving tasks on the same workers, whose
// load rises and falls within seconds, and must still complete.
func TestBestEffortTasksYieldToServingTasks(t *testing.T) {
	sim := newSimulation(t, 36, 3, workerSize)
	sim.advance(time.Second)
	serving := job.Step{Count: 3, Demand: job.Demand{MilliCPU: 8000, MemoryMB: 100}, LongRunning: true, TailLatencyTarget: 100 * time.Millisecond, MaxPerWorker: 1}
	sim.submit(id(0), urgentTerms, job.Spec{Steps: []job.Step{serving}}, time.Hour)
	sim.advance(time.Second)
	bestEffort := job.Step{Count: 9, Demand: job.Demand{MilliCPU: 8000, MemoryMB: 100}, Estimate: 5 * time.Second, BestEffort: true, MaxPerWorker: 3}
	sim.submit(id(1), batchTerms, job.Spec{Steps: []job.Step{bestEffort}}, 5*time.Second)
	for i := range 20 {
		for _, worker := range sim.workers {
			worker.addedTailLatency = time.Duration(i%3) * 15 * time.Millisecond
		}
		sim.advance(1500 * time.Millisecond)
	}
	for _, worker := range sim.workers {
		worker.addedTailLatency = 0
	}
	sim.advanceUntilEnded(id(1), time.Minute)
	require.Empty(t, sim.violations)
}

// A new leader must speed up best-effort tasks that the former leader halted, even if
// some of its Pace commands are lost.
func TestNewLeaderResetsBestEffortPace(t *testing.T) {
	sim := newSimulation(t, 37, 1, workerSize)
	sim.lostAnswerShare = 0.3
	sim.advance(time.Second)
	bestEffort := job.Step{Count: 2, Demand: job.Demand{MemoryMB: 100}, Estimate: 8 * time.Second, BestEffort: true}
	sim.submit(id(1), batchTerms, job.Spec{Steps: []job.Step{bestEffort}}, 8*time.Second)
	sim.advance(2 * time.Second)
	require.Len(t, sim.workers[0].runs, 2)
	for _, r := range sim.workers[0].runs {
		r.pace = 0
	}
	sim.leader.dead = true
	sim.replaceLeader()
	sim.advanceUntilEnded(id(1), 30*time.Second)
	require.Empty(t, sim.violations)
}

// Guards against best-effort tasks that are stopped as stalled, and a worker that gets no more
// tasks, because the leader itself has halted them.
func TestHaltedBestEffortTasksAreNotStalled(t *testing.T) {
	for name, changeLeader := range map[string]bool{"one leader": false, "leader replaced": true} {
		t.Run(name, func(t *testing.T) {
			sim, events := newPacedSimulation(t)
			sim.workers[0].addedTailLatency = 150 * time.Millisecond // its own load is over the target
			sim.advance(3 * time.Second)
			for _, r := range sim.workers[0].runs {
				require.Equal(t, r.bestEffort, r.pace == 0)
			}
			if changeLeader {
				sim.leader.dead = true
				sim.replaceLeader()
			}
			sim.advance(5 * time.Second)
			sim.workers[0].addedTailLatency = 0
			sim.advanceUntilEnded(id(1), 30*time.Second)
			require.Zero(t, events["run-stalled"])
			require.Zero(t, events["worker-shunned"])
			require.Equal(t, 4, sim.startCount)
			require.Empty(t, sim.violations)
		})
	}
}

// Best-effort tasks that make no progress although they aren't halted must still be found.
func TestStalledBestEffortTasksAreFound(t *testing.T) {
	for name, addedTailLatency := range map[string]time.Duration{"full speed": 0, "paced down": 60 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			sim, events := newPacedSimulation(t)
			sim.workers[0].addedTailLatency = addedTailLatency
			sim.advance(2 * time.Second)
			sim.workers[0].stallsTasks = true
			sim.advance(15 * time.Second)
			require.Positive(t, events["run-stalled"])
			require.Empty(t, sim.violations)
		})
	}
}

// newPacedSimulation returns a simulation of one worker, with a serving task and three best-effort
// tasks at work, and the counts of the logged events by name.
func newPacedSimulation(t *testing.T) (*simulation, map[string]int) {
	sim := newSimulation(t, 79, 1, workerSize)
	events := map[string]int{}
	sim.onLog = func(event string, _ []any) { events[event]++ }
	sim.advance(time.Second)
	serving := tasks(1, 4000, time.Second)
	serving.LongRunning, serving.TailLatencyTarget = true, 200*time.Millisecond
	sim.submit(id(0), urgentTerms, job.Spec{Steps: []job.Step{serving}}, time.Hour)
	sim.advance(time.Second)
	bestEffort := tasks(3, 2000, 8*time.Second)
	bestEffort.BestEffort = true
	sim.submit(id(1), batchTerms, job.Spec{Steps: []job.Step{bestEffort}}, 8*time.Second)
	sim.advance(time.Second)
	require.Len(t, sim.workers[0].runs, 4)
	return sim, events
}
