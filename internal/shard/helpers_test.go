package shard_test

import (
	"fmt"
	"time"

	"github.com/stretchr/testify/require"

	"yuccalanding.example/yuccalanding/internal/job"
)

// This file has helpers of the tests. The bounds in the tests follow from the leases, the
// estimates of run times and the objectives of the queues.

// id returns a job ID.
func id(number int) string { return fmt.Sprintf("%016x", number+1) }

var (
	urgentTerms = job.Terms{Queue: "urgent", Priority: 0, MaxAttempts: 4, Stretch: 1.5, Target: 600 * time.Millisecond}
	batchTerms  = job.Terms{Queue: "batch", Priority: 2, MaxAttempts: 2, Stretch: 4, Target: 3 * time.Second}
	workerSize  = job.Demand{MilliCPU: 16000, MemoryMB: 32000, GPUs: 8}
)

func tasks(count, milliCPU int, estimate time.Duration) job.Step {
	return job.Step{Count: count, Demand: job.Demand{MilliCPU: milliCPU, MemoryMB: 100}, Estimate: estimate}
}

func gang(count, gpus int, estimate time.Duration) job.Step {
	return job.Step{Count: count, Demand: job.Demand{MilliCPU: 1000, MemoryMB: 100, GPUs: gpus}, Estimate: estimate, Gang: true}
}

// advanceUntilEnded advances the simulation until the job has ended, and returns the
// simulated time. It fails the test if the job doesn't end within the limit.
func (sim *simulation) advanceUntilEnded(id string, limit time.Duration) time.Duration {
	sim.t.Helper()
	for end := sim.now + limit; sim.now < end; {
		sim.advance(tickLength)
		if state, known := sim.leader.shard.State(id); known && state.Ended() {
			return sim.now
		}
	}
	require.Fail(sim.t, "the job didn't end", "%s within %s", id, limit)
	return 0
}

// requireStarted calls submitMore, which advances the simulation, until the job has
// started. It fails the test if that takes longer than the limit or a rule is broken.
func (sim *simulation) requireStarted(id string, limit time.Duration, submitMore func()) {
	sim.t.Helper()
	for submittedAt := sim.now; ; submitMore() {
		require.Less(sim.t, sim.now-submittedAt, limit, "%s has not started", id)
		if state, _ := sim.leader.shard.State(id); state == job.Running || state.Ended() {
			break
		}
	}
	require.Empty(sim.t, sim.violations)
}
