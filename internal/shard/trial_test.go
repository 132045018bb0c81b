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
