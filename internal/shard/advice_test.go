package shard_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"yuccalanding.example/yuccalanding/internal/job"
)

// Gangs that wait for long must not keep renewing tickets that expire unused, as the
// adviser takes one call at a time from each node.
func TestWaitingGangsRenewTicketsJustInTime(t *testing.T) {
	sim := newSimulation(t, 7, 4, workerSize)
	sim.requireTickets = true
	sim.allowedShare = 0.9
	sim.advance(time.Second)
	terms := job.Terms{Queue: "gangs", Priority: 1, MaxAttempts: 3, Stretch: 2.2, Target: 1200 * time.Millisecond}
	const jobs = 24
	for i := range jobs {
		sim.submit(id(i), terms, job.Spec{Steps: []job.Step{gang(2, 8, 3*time.Second)}}, 3*time.Second)
	}
	sim.requireAllEnded(2 * time.Minute)
	// One call shows where a gang may run, and one renews its tickets when its workers
	// become available. An inexact estimate of a run time costs one more.
	require.LessOrEqual(t, sim.adviceCalls, 3*jobs)
}

// A step must ask about more workers when some of its tasks still wait and all workers
// that the adviser has allowed so far run MaxPerWorker tasks of the step.
func TestStepAsksAgainAboutUnnamedWorkers(t *testing.T) {
	sim := newSimulation(t, 17, 80, workerSize)
	sim.requireTickets = true
	sim.allowedShare = 0.3
	sim.advance(time.Second)
	allowed := 0
	for _, worker := range sim.workers {
		if sim.adviserAllows(id(0)+".0.0", worker.id) {
			allowed++
		}
	}
	spread := job.Step{Count: allowed, Demand: job.Demand{MilliCPU: 1000, MemoryMB: 100}, Estimate: 500 * time.Millisecond, LongRunning: true, MaxPerWorker: 1}
	for _, worker := range sim.workers[40:] {
		worker.listed = false
	}
	sim.submit(id(0), batchTerms, job.Spec{Steps: []job.Step{spread}}, time.Hour)
	sim.advance(6 * time.Second)
	for _, worker := range sim.workers[40:] {
		worker.listed = true
	}
	sim.advance(3 * time.Second)
	_, running := sim.leader.shard.CountJobsAndRuns()
	require.Equal(t, spread.Count, running)
}

// A step can need more workers than the adviser allows in its shard, while other shards
// of the service have more: 26 tasks, with 24 of 124 workers allowed (site
// mcog-bakehouse-grown, run mix, seed 945390005485). All tasks of the step must run if
// its shard has all workers of the service. Otherwise the log must say why the rest
// waits.
func TestWideStepNeedsAllWorkersOfService(t *testing.T) {
	const serviceWorkers, width = 252, 60
	for name, c := range map[string]struct {
		workers  int
		complete bool
	}{
		"all workers in one shard": {serviceWorkers, true},
		"half of the workers":      {serviceWorkers / 2, false},
	} {
		t.Run(name, func(t *testing.T) {
			sim := newSimulation(t, 21, c.workers, workerSize)
			sim.requireTickets, sim.allowedShare = true, 0.3
			causes := map[any]bool{}
			sim.onLog = func(event string, keyvals []any) {
				for i := 0; i+1 < len(keyvals); i += 2 {
					if event == "step-waiting" && keyvals[i] == "cause" {
						causes[keyvals[i+1]] = true
					}
				}
			}
			sim.advance(time.Second)
			wide := job.Step{Count: width, Demand: job.Demand{MilliCPU: 1000, MemoryMB: 100}, Estimate: 500 * time.Millisecond, LongRunning: true, MaxPerWorker: 1}
			sim.submit(id(0), batchTerms, job.Spec{Steps: []job.Step{wide}}, time.Hour)
			sim.advance(15 * time.Second)
			_, running := sim.leader.shard.CountJobsAndRuns()
			require.Equal(t, c.complete, running == width, "%d of %d tasks run", running, width)
			require.Equal(t, !c.complete, causes["all-allowed-taken"], "%v", causes)
		})
	}
}
