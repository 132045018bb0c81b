package shard_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"yuccalanding.example/yuccalanding/internal/job"
	"yuccalanding.example/yuccalanding/internal/shard"
)

// Guards against trials on workers that were cut off which take the places of other trials
// for a lease: only workers that could be used otherwise count among those that are held.
func TestTrialsOnLostWorkersDoNotDelayOthers(t *testing.T) {
	sim := newSimulation(t, 58, 8, workerSize)
	sim.advance(time.Second)
	for i := range 4 {
		sim.submit(id(i), urgentTerms, job.Spec{Steps: []job.Step{tasks(1, 16000, 20*time.Second)}}, 20*time.Second)
	}
	healthy := id(9) + ".0.0.0"
	starts := map[string]int{}
	cuts := 0
	var restartedAt, trialAt time.Duration
	sim.onStart = func(start shard.Start) {
		m := sim.worker(start.ID)
		switch starts[start.Task]++; {
		case starts[start.Task] == 1: // makes the task suspected
			sim.schedule(60*time.Millisecond, nil, func(time.Time) { m.crash() })
			sim.schedule(time.Second, nil, func(time.Time) { m.restart() })
			restartedAt = sim.now + time.Second
		case start.Task == healthy && trialAt == 0:
			trialAt = sim.now
		case starts[start.Task] == 2:
			cuts++
			sim.schedule(60*time.Millisecond, nil, func(time.Time) { sim.cutWorker(m, false) })
		}
	}
	sim.advance(4 * time.Second)
	require.GreaterOrEqual(t, cuts, 3)
	sim.submit(id(9), urgentTerms, job.Spec{Steps: []job.Step{tasks(1, 16000, time.Second)}}, time.Second)
	sim.advance(30 * time.Second)
	require.Empty(t, sim.violations)
	require.Positive(t, trialAt)
	require.Less(t, trialAt-restartedAt, 2*time.Second)
}

// Guards against a task that takes down many other runs with each worker that it crashes:
// its trial must start on an empty worker, though other tasks fill up used workers first.
func TestTrialStartsOnEmptiestWorker(t *testing.T) {
	for name, step := range map[string]job.Step{"single": tasks(1, 1000, time.Second), "gang": gang(2, 1, time.Second)} {
		t.Run(name, func(t *testing.T) {
			sim := newSimulation(t, 59, 5, workerSize)
			sim.advance(time.Second)
			poison := sim.submitPoison(id(0), urgentTerms, step)
			sim.advance(2 * time.Second)
			sim.submit(id(1), batchTerms, job.Spec{Steps: []job.Step{tasks(3, 5000, time.Minute)}}, time.Minute)
			trials := 0
			sim.onStart = func(start shard.Start) {
				if start.Task[:16] != poison.id {
					return
				}
				trials++
				for _, other := range sim.worker(start.ID).runs {
					require.Equal(t, poison.id, other.key.Task[:16])
				}
			}
			sim.advance(20 * time.Second)
			require.GreaterOrEqual(t, trials, step.Count)
		})
	}
}

// Guards against a standing task without a run for 10 s because its trial waits behind those of other
// tasks that started on the same lost workers (LOST).
func TestStandingTaskDoesNotWaitBehindOtherTrials(t *testing.T) {
	for name, c := range map[string]struct{ workers, others int }{
		"three workers": {3, 6}, "six workers": {6, 24}, "twelve workers": {12, 24},
	} {
		t.Run(name, func(t *testing.T) {
			sim := newSimulation(t, 55, c.workers, job.Demand{MilliCPU: 64000, MemoryMB: 128000})
			sim.advance(time.Second)
			standing := tasks(1, 1000, time.Second)
			standing.LongRunning = true
			sim.submit(id(0), batchTerms, job.Spec{Steps: []job.Step{standing}}, time.Hour)
			sim.submit(id(1), urgentTerms, job.Spec{Steps: []job.Step{tasks(c.others, 1000, 3*time.Second)}}, 3*time.Second)
			var cutAt, restartedAt time.Duration
			sim.onStart = func(start shard.Start) {
				switch {
				case start.Task[:16] != id(0):
				case cutAt == 0:
					cutAt = sim.now + 60*time.Millisecond
					sim.schedule(60*time.Millisecond, nil, func(time.Time) {
						for _, m := range sim.workers[:c.workers/3] {
							sim.cutWorker(m, true)
						}
						if m := sim.worker(start.ID); !m.unreachable {
							sim.cutWorker(m, true)
						}
					})
				case restartedAt == 0:
					restartedAt = sim.now
				}
			}
			sim.advance(time.Minute)
			require.Empty(t, sim.violations)
			require.Positive(t, restartedAt)
			// The rule allows 6 s and 3 s more; the lease of the simulation is 1 s longer.
			require.Less(t, restartedAt-cutAt, 9*time.Second)
		})
	}
}
