package shard_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"yuccalanding.example/yuccalanding/internal/job"
)

// A worker whose capacity shrinks below what its runs reserve must get no start before
// these fit again, in whichever resource it shrank. Its runs must go on, and what waits
// must start when the capacity has grown.
func TestShrunkWorkerGetsNoStartOverItsCapacity(t *testing.T) {
	bestEffort := tasks(2, 4000, time.Second)
	bestEffort.BestEffort = true
	later := map[string]job.Step{
		"small": tasks(3, 1000, time.Second), "as large as before": tasks(1, 14000, time.Second), "gang": gang(2, 1, time.Second), "best-effort": bestEffort,
		"no memory": {Count: 1, Demand: job.Demand{MilliCPU: 100}, Estimate: time.Second}, "GPU only": {Count: 1, Demand: job.Demand{GPUs: 1}, Estimate: time.Second},
	}
	for resource, shrunk := range map[string]job.Demand{
		"CPU": {MilliCPU: 6000, MemoryMB: 32000, GPUs: 8}, "memory": {MilliCPU: 16000, MemoryMB: 300, GPUs: 8}, "GPUs": {MilliCPU: 16000, MemoryMB: 32000, GPUs: 1},
		"all": {},
	} {
		t.Run(resource, func(t *testing.T) {
			sim := newSimulation(t, 60, 1, workerSize)
			sim.advance(time.Second)
			// Reserves 8000m, 400 MB and 4 GPUs until second 9.
			held := job.Step{Count: 4, Demand: job.Demand{MilliCPU: 2000, MemoryMB: 100, GPUs: 1}, Estimate: 8 * time.Second}
			sim.submit(id(0), batchTerms, job.Spec{Steps: []job.Step{held}}, 8*time.Second)
			sim.advance(time.Second)
			require.Equal(t, 4, sim.startCount)
			sim.workers[0].capacity = shrunk
			sim.advance(500 * time.Millisecond) // until the list shows it
			number := 1
			for _, step := range later {
				sim.submit(id(number), urgentTerms, job.Spec{Steps: []job.Step{step}}, time.Second)
				number++
			}
			sim.advance(5 * time.Second)
			require.Equal(t, 4, sim.startCount, "starts while the worker is over its capacity")
			require.Len(t, sim.workers[0].runs, 4, "its runs go on")
			sim.advance(3 * time.Second)
			sim.workers[0].capacity = workerSize
			sim.requireAllEnded(20 * time.Second)
			for i := range number {
				state, _ := sim.leader.shard.State(id(i))
				require.Equal(t, job.Completed, state)
			}
		})
	}
}

// A trial that waits for the store must not start on a worker that has shrunk meanwhile.
func TestTrialDoesNotStartOnShrunkWorker(t *testing.T) {
	sim := newSimulation(t, 61, 2, workerSize)
	sim.advance(time.Second)
	sim.submitPoison(id(0), urgentTerms, tasks(1, 4000, time.Second))
	sim.advance(time.Second)
	sim.storeDown = true
	sim.advance(9 * time.Second) // the trial is placed
	starts := sim.startCount
	for _, worker := range sim.workers {
		worker.capacity = job.Demand{MilliCPU: 2000, MemoryMB: 32000}
		worker.listed = true
	}
	sim.leader.shard.SetWorkers(sim.time(), sim.workerList())
	sim.storeDown = false
	sim.advance(2 * time.Second)
	require.Equal(t, starts, sim.startCount)
	require.Empty(t, sim.violations)
}

// Capacities that change all the time must not fill the memory, and a job that fits only
// an earlier, larger one must still be accepted, as the capacity may grow again.
func TestChangingCapacitiesAreBounded(t *testing.T) {
	sim := newSimulation(t, 62, 2, workerSize)
	sim.advance(time.Second)
	for i := range 200 {
		sim.workers[0].capacity = job.Demand{MilliCPU: 16000 - 10*i, MemoryMB: 32000 - 100*i, GPUs: 8}
		sim.leader.shard.SetWorkers(sim.time(), sim.workerList())
	}
	sim.workers[1].capacity = job.Demand{MilliCPU: 1000, MemoryMB: 1000}
	sim.advance(time.Second)
	require.Equal(t, 1, sim.leader.shard.SeenCapacities())
	sim.submit(id(0), batchTerms, job.Spec{Steps: []job.Step{tasks(1, 16000, time.Second)}}, time.Second)
	require.Zero(t, sim.refusedCount)
}
