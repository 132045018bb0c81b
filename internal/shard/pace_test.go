package shard_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"yuccalanding.example/yuccalanding/internal/job"
)

// Pattern: batch tasks fill beside services on every worker, and the services'
// own load rises and falls within seconds. The services keep their targets, and
// the batch work is done in what is left.
func TestFillingTasksGiveWayToServices(t *testing.T) {
	w := newWorld(t, 36, 3, workerSize)
	w.run(time.Second)
	serving := job.Step{Count: 3, Demand: job.Demand{MilliCPU: 8000, MemoryMB: 100}, LongRunning: true, TailLatencyTarget: 100 * time.Millisecond, MaxPerWorker: 1}
	w.submit(id(0), urgentTerms, job.Spec{Steps: []job.Step{serving}}, time.Hour)
	w.run(time.Second)
	filling := job.Step{Count: 9, Demand: job.Demand{MilliCPU: 8000, MemoryMB: 100}, Estimate: 5 * time.Second, BestEffort: true, MaxPerWorker: 3}
	w.submit(id(1), batchTerms, job.Spec{Steps: []job.Step{filling}}, 5*time.Second)
	for i := range 20 {
		for _, worker := range w.workers {
			worker.load = time.Duration(i%3) * 15 * time.Millisecond
		}
		w.run(1500 * time.Millisecond)
	}
	for _, worker := range w.workers {
		worker.load = 0
	}
	w.endedAt(id(1), time.Minute)
	require.Empty(t, w.faults)
}

// Guards against fillers that a former holder halted and nobody wakes, and
// against orders to pace that are lost for good.
func TestNextHolderTakesTheFillersPaceOver(t *testing.T) {
	w := newWorld(t, 37, 1, workerSize)
	w.lost = 0.3
	w.run(time.Second)
	filling := job.Step{Count: 2, Demand: job.Demand{MemoryMB: 100}, Estimate: 8 * time.Second, BestEffort: true}
	w.submit(id(1), batchTerms, job.Spec{Steps: []job.Step{filling}}, 8*time.Second)
	w.run(2 * time.Second)
	require.Len(t, w.workers[0].runs, 2)
	for _, r := range w.workers[0].runs {
		r.pace = 0
	}
	w.holder.dead = true
	w.takeOver()
	w.endedAt(id(1), 30*time.Second)
	require.Empty(t, w.faults)
}
