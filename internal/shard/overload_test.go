package shard_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"yuccalanding.example/yuccalanding/internal/job"
	"yuccalanding.example/yuccalanding/internal/shard"
)

// An urgent job must not wait behind a large backlog of the least urgent work.
func TestUrgentJobOvertakesBatchBacklog(t *testing.T) {
	sim := newSimulation(t, 1, 4, workerSize)
	sim.advance(time.Second)
	neverLate := batchTerms
	neverLate.Stretch = 1000 // so that no job is refused for lack of capacity
	for i := range 200 {
		sim.submit(id(i), neverLate, job.Spec{Steps: []job.Step{tasks(4, 2000, 2*time.Second)}}, 2*time.Second)
	}
	sim.advance(3 * time.Second)
	submittedAt := sim.now
	sim.submit(id(900), urgentTerms, job.Spec{Steps: []job.Step{tasks(6, 1000, 700*time.Millisecond)}}, 700*time.Millisecond)
	// Capacity becomes free when the next batch task ends, within its 2 s.
	require.Less(t, sim.advanceUntilEnded(id(900), 10*time.Second)-submittedAt, 3*time.Second)
	require.Empty(t, sim.violations)
}

// With more than ten times the batch work that the fleet can do, jobs that would be
// worthless at their end must be refused at once, and their callers told to retry when
// the backlog has shrunk. Accepted jobs must not end far too late.
func TestOverloadIsRefusedAtOnce(t *testing.T) {
	sim := newSimulation(t, 14, 4, workerSize)
	sim.advance(time.Second)
	terms := job.Terms{Queue: "batch", Priority: 2, MaxAttempts: 2, Stretch: 2, Target: time.Second}
	objective := 5 * time.Second
	accepted := map[string]time.Duration{}
	refused := 0
	// A job takes 16 core-seconds, and the fleet has 64 cores, so it can do 4 jobs per
	// second. The 50 that are submitted per second are more than ten times as many.
	for i := range 400 {
		result := sim.leader.shard.Accept(sim.time(), id(i), terms, job.Spec{Steps: []job.Step{tasks(4, 2000, 2*time.Second)}})
		if result.Outcome == shard.Refused {
			refused++
			require.Greater(t, result.RetryAfter, 3*time.Second)
		} else {
			sim.submit(id(i), terms, job.Spec{Steps: []job.Step{tasks(4, 2000, 2*time.Second)}}, 2*time.Second)
			accepted[id(i)] = sim.now
		}
		sim.advance(20 * time.Millisecond)
	}
	require.Greater(t, refused, 250)
	require.Greater(t, len(accepted), 40, "the fleet does 4 jobs per second")
	for len(accepted) > 0 {
		sim.advance(100 * time.Millisecond)
		for id, acceptedAt := range accepted {
			state, _ := sim.leader.shard.State(id)
			if state.Ended() {
				delete(accepted, id)
				continue
			}
			require.Less(t, sim.now-acceptedAt, 4*objective, "%s was accepted but is far too late", id)
		}
	}
	require.Empty(t, sim.violations)
}

// A gang that needs whole workers must start even if small tasks arrive all the time.
func TestGangStartsDespiteSmallTasks(t *testing.T) {
	sim := newSimulation(t, 2, 4, workerSize)
	sim.advance(time.Second)
	small := job.Step{Count: 3, Demand: job.Demand{MilliCPU: 500, MemoryMB: 100, GPUs: 1}, Estimate: time.Second}
	number := 0
	submitSmallJob := func() {
		sim.submit(id(number), batchTerms, job.Spec{Steps: []job.Step{small}}, time.Second)
		number++
		sim.advance(100 * time.Millisecond)
	}
	for range 30 {
		submitSmallJob()
	}
	sim.submit(id(5000), job.Terms{Queue: "gangs", Priority: 1, MaxAttempts: 3, Stretch: 2.2, Target: 1200 * time.Millisecond},
		job.Spec{Steps: []job.Step{gang(2, 8, 2*time.Second)}}, 2*time.Second)
	sim.requireStarted(id(5000), 2*time.Second, submitSmallJob) // a gang must start within twice the run time of the tasks before it
}

// A gang whose tasks are small, but that needs most of the fleet at once, must start even
// if other small tasks arrive all the time and take each place that becomes free (site
// bouffon-hq-grown, run scale-2: a gang of 52 waited for 21 s).
func TestWideGangStartsDespiteSmallTasks(t *testing.T) {
	for name, requireTickets := range map[string]bool{"any worker": false, "workers that the adviser allows": true} {
		t.Run(name, func(t *testing.T) {
			sim := newSimulation(t, 24, 8, workerSize)
			sim.requireTickets = requireTickets
			sim.allowedShare = 1
			sim.advance(time.Second)
			const runTime = time.Second
			small := job.Step{Count: 4, Demand: job.Demand{MilliCPU: 3900, MemoryMB: 100}, Estimate: runTime}
			neverRefused := batchTerms
			neverRefused.Stretch = 1000
			number := 0
			submitSmallJob := func() {
				sim.submit(id(number), neverRefused, job.Spec{Steps: []job.Step{small}}, runTime)
				number++
				sim.advance(125 * time.Millisecond) // 32 tasks a second, as many as the fleet runs
			}
			for range 24 {
				submitSmallJob()
			}
			gang := job.Step{Count: 24, Demand: job.Demand{MilliCPU: 3900, MemoryMB: 100}, Estimate: 2 * time.Second, Gang: true}
			sim.submit(id(5000), job.Terms{Queue: "gangs", Priority: 1, MaxAttempts: 3, Stretch: 2.2, Target: 1200 * time.Millisecond}, job.Spec{Steps: []job.Step{gang}}, 2*time.Second)
			sim.requireStarted(id(5000), 3*runTime, submitSmallJob) // a gang must start soon after the tasks before it have ended
		})
	}
}

// Estimates of run times are off by up to 90%. A gang must start soon even if the less
// urgent tasks that arrive all the time run for twice their estimate: each of them would
// seem to end before the planned start of the gang (site rlts-voucher-large, run
// scale-1: gangs waited for up to 20 s while less urgent tasks waited for 0.6 s).
func TestGangStartsDespiteUnderestimatedTasks(t *testing.T) {
	sim := newSimulation(t, 25, 12, workerSize)
	sim.advance(time.Second)
	const estimate, runTime = time.Second, 3500 * time.Millisecond
	small := job.Step{Count: 6, Demand: job.Demand{MilliCPU: 500, MemoryMB: 100, GPUs: 1}, Estimate: estimate}
	neverRefused := batchTerms
	neverRefused.Stretch = 1000
	number := 0
	submitSmallJob := func() {
		sim.submit(id(number), neverRefused, job.Spec{Steps: []job.Step{small}}, runTime)
		number++
		sim.advance(200 * time.Millisecond) // 30 GPU tasks a second; the fleet runs 27
	}
	for range 24 {
		submitSmallJob()
	}
	sim.submit(id(5000), job.Terms{Queue: "gangs", Priority: 1, MaxAttempts: 3, Stretch: 2.2, Target: 1200 * time.Millisecond}, job.Spec{Steps: []job.Step{gang(8, 8, 2*time.Second)}}, 2*time.Second)
	sim.requireStarted(id(5000), 2*runTime, submitSmallJob) // a gang must start within twice the run time of the tasks before it
}

// An urgent job must not wait for long while many jobs are cancelled at once.
func TestMassCancellationDoesNotDelayUrgentJob(t *testing.T) {
	sim := newSimulation(t, 6, 4, workerSize)
	sim.advance(time.Second)
	neverLate := batchTerms
	neverLate.Stretch = 1000 // so that no job is refused for lack of capacity
	for i := range 300 {
		sim.submit(id(i), neverLate, job.Spec{Steps: []job.Step{tasks(8, 2000, 3*time.Second)}}, 3*time.Second)
	}
	sim.advance(time.Second)
	for i := range 300 {
		sim.cancel(id(i))
	}
	submittedAt := sim.now
	sim.submit(id(900), urgentTerms, job.Spec{Steps: []job.Step{tasks(6, 1000, 700*time.Millisecond)}}, 700*time.Millisecond)
	// A stop takes up to 0.9 s on the platform. Then the workers are free.
	require.Less(t, sim.advanceUntilEnded(id(900), 10*time.Second)-submittedAt, 2500*time.Millisecond)
	for i := range 300 {
		require.NotZero(t, sim.jobs[id(i)].cancelledAt, "cancellation %d was not acknowledged", i)
	}
	require.Empty(t, sim.violations)
}

// A large gang whose job is so late that it is worthless is placed after the small tasks
// that arrive. It must start as soon as these have ended.
func TestLateGangStartsWhenLoadEnds(t *testing.T) {
	sim := newSimulation(t, 13, 6, workerSize)
	sim.requireTickets = true
	sim.allowedShare = 0.6
	sim.advance(time.Second)
	for i := range 60 {
		small := job.Step{Count: 6, Demand: job.Demand{MilliCPU: 500, MemoryMB: 100, GPUs: 1}, Estimate: 2 * time.Second}
		sim.submit(id(i), batchTerms, job.Spec{Steps: []job.Step{small}}, 2*time.Second)
		if i == 5 {
			sim.submit(id(5000), job.Terms{Queue: "gangs", Priority: 1, MaxAttempts: 3, Stretch: 0.1, Target: 10 * time.Millisecond},
				job.Spec{Steps: []job.Step{gang(2, 8, 2*time.Second)}}, 2*time.Second)
		}
		sim.advance(250 * time.Millisecond)
	}
	loadEnd := sim.now
	// The bound covers the remaining small tasks and then the 2 s of the gang itself.
	require.Less(t, sim.advanceUntilEnded(id(5000), 30*time.Second)-loadEnd, 8*time.Second)
	require.Empty(t, sim.violations)
}
