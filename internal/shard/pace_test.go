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
